package intact

import "net/http"

// statusLine is the form of the start of a status line; 0 stands for any digit.
const statusLine = "HTTP/1.0 000"

// minStatus and maxStatus bound the statuses that HTTP defines.
const (
	minStatus = 100
	maxStatus = 599
)

// scanner checks the heads of a response as their bytes arrive: those of interim responses, and
// that of the final response. The zero value is at the start of the first head.
type scanner struct {
	column     int // number of bytes of the current line, without its end
	start      [len(statusLine)]byte
	inFields   bool // the status line has ended
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
	switch c {
	case '\r':
		return nil
	case '\n':
		return s.endLine()
	}
	s.column++
	switch {
	case s.inFields:
	case s.column <= len(statusLine):
		s.start[s.column-1] = c
		if s.column == len(statusLine) {
			return s.checkStart()
		}
	case s.column == len(statusLine)+1 && c != ' ':
		return errStatusLine
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
	for _, c := range s.start[len(statusLine)-3:] {
		n = 10*n + int(c-'0')
	}
	return n
}

func (s *scanner) endLine() error {
	switch {
	case !s.inFields && s.column < len(statusLine):
		return errStatusLine
	case s.inFields && s.column == 0:
		s.endHead()
		return nil
	}
	s.column, s.inFields = 0, true
	return nil
}

func (s *scanner) endHead() {
	status := s.status()
	interim := status < http.StatusOK && status != http.StatusSwitchingProtocols
	*s = scanner{headsEnded: !interim}
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }
