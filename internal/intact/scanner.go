package intact

import (
	"net/http"
	"strings"
)

const (
	// statusLine is the form of the start of a status line; 0 stands for any digit.
	statusLine = "HTTP/1.0 000"
	version10  = "HTTP/1.0"
)

// minStatus and maxStatus bound the statuses that HTTP defines.
const (
	minStatus = 100
	maxStatus = 599
)

// The fields that state where a body ends.
const (
	contentLength    = "Content-Length"
	transferEncoding = "Transfer-Encoding"
)

// scanner checks the heads of a response as their bytes arrive: those of interim responses, and
// that of the final response. The zero value is at the start of the first head.
type scanner struct {
	column     int  // number of bytes of the current line
	afterCR    bool // the last byte was a carriage return
	start      [len(statusLine)]byte
	inFields   bool   // the status line has ended
	inValue    bool   // the name of the current field has ended
	name       []byte // of the current field
	hasLength  bool
	hasCoding  bool
	headsEnded bool // the final head has ended
}

// scan checks the next bytes and returns how many of them are sound. It ignores those after the
// final head.
func (s *scanner) scan(b []byte) (int, error) {
	for i, c := range b {
		if s.headsEnded {
			break
		}
		if err := s.next(c); err != nil {
			return i, err
		}
	}
	return len(b), nil
}

func (s *scanner) next(c byte) error {
	if s.afterCR && c != '\n' {
		return Error.New("carriage return within a line")
	}
	s.afterCR = c == '\r'
	switch c {
	case '\r':
		return nil
	case '\n':
		return s.endLine()
	}
	s.column++
	switch {
	case s.inFields && !s.inValue:
		return s.addName(c)
	case !s.inFields && s.column <= len(statusLine):
		s.start[s.column-1] = c
		if s.column == len(statusLine) {
			return s.checkStart()
		}
	case !s.inFields && s.column == len(statusLine)+1 && c != ' ':
		return errStatusLine
	case c < ' ' && c != '\t', c == 0x7f:
		return Error.New("control byte %q", c)
	}
	return nil
}

func (s *scanner) checkStart() error {
	for i, c := range s.start {
		if want := statusLine[i]; c != want && (want != '0' || !isDigit(c)) {
			return errStatusLine
		}
	}
	if n := s.status(); n < minStatus || n > maxStatus {
		return Error.New("status %03d", n)
	}
	return nil
}

func (s *scanner) status() int {
	n := 0
	for _, c := range s.start[len(version10)+1:] {
		n = 10*n + int(c-'0')
	}
	return n
}

// addName checks a byte of the name of a field, or the colon after it.
func (s *scanner) addName(c byte) error {
	switch {
	case c == ':' && s.column > 1:
		s.inValue = true
		s.hasLength = s.hasLength || strings.EqualFold(string(s.name), contentLength)
		s.hasCoding = s.hasCoding || strings.EqualFold(string(s.name), transferEncoding)
	case !isTokenByte(c):
		return Error.New("byte %q in the name of a field", c)
	case len(s.name) <= len(transferEncoding): // a longer name is neither
		s.name = append(s.name, c)
	}
	return nil
}

func (s *scanner) endLine() error {
	switch {
	case !s.inFields && s.column < len(statusLine):
		return errStatusLine
	case s.inFields && s.column == 0:
		return s.endHead()
	case s.inFields && !s.inValue:
		return Error.New("field without a colon")
	}
	s.column, s.inFields, s.inValue, s.name = 0, true, false, s.name[:0]
	return nil
}

func (s *scanner) endHead() error {
	status := s.status()
	interim := status < http.StatusOK && status != http.StatusSwitchingProtocols
	switch {
	case interim && (s.hasLength || s.hasCoding):
		return Error.New("interim response with a body")
	case s.hasCoding && s.hasLength:
		return Error.New("both %s and %s", contentLength, transferEncoding)
	case s.hasCoding && string(s.start[:len(version10)]) == version10:
		return Error.New("%s in a response of %s", transferEncoding, version10)
	}
	*s = scanner{name: s.name[:0], headsEnded: !interim}
	return nil
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// isTokenByte reports whether a byte may occur in the name of a field.
func isTokenByte(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || isDigit(c) || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}
