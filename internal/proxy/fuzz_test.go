package proxy

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// FuzzEventReader checks that a stream is split into the same complete events however its
// bytes arrive, and that no part of an incomplete event is returned.
func FuzzEventReader(f *testing.F) {
	for _, seed := range []string{
		firstEvent + secondEvent, "data: a\r\n\r\ndata: b\r\n\r\n", ": comment\n\n", "data: cut", "id: 1\ndata: a\n\n\n\n", "\n\n", "",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		read := func(r io.Reader) (string, error) {
			e := &eventReader{r: r}
			var out bytes.Buffer
			for {
				events, err := e.next()
				if !onlyBlankLines(events) && !bytes.HasSuffix(events, []byte("\n\n")) && !bytes.HasSuffix(events, []byte("\r\n\r\n")) {
					t.Fatalf("an incomplete event was returned: %q", events)
				}
				out.Write(events)
				if err != nil {
					return out.String(), err
				}
			}
		}
		whole, err := read(bytes.NewReader(b))
		slow, slowErr := read(iotest.OneByteReader(bytes.NewReader(b)))
		trim := func(s string) string { return strings.TrimRight(s, "\r\n") } // blank lines between events belong to either
		if trim(whole) != trim(slow) || (err == io.EOF) != (slowErr == io.EOF) {
			t.Fatalf("at once: %q, %v; byte by byte: %q, %v", whole, err, slow, slowErr)
		}
		if !bytes.HasPrefix(b, []byte(whole)) {
			t.Fatalf("the events %q are not the start of %q", whole, b)
		}
	})
}
