package backnd

import (
	"bufio"
	"bytes"
	"io"
	"testing"
	"testing/iotest"
)

// FuzzReadResponse checks that bytes from a server never make the client read beyond its
// limits or return another status because the bytes arrive one by one.
func FuzzReadResponse(f *testing.F) {
	for _, seed := range []string{
		responseTo("r1", "body"),
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;ext=1\r\nabc\r\n0\r\nX-A: b\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\nto the end",
		"HTTP/1.1 204 No Content\r\n\r\n" + responseTo("r0", "stray"),
		"HTTP/1.1 101 Switching\r\n\r\n",
		"\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		read := func(r io.Reader) (status int, body string, err error) {
			input := &boundedReader{r: r, left: maxHeadBytes}
			resp, err := readResponse(bufio.NewReaderSize(input, 4096), "POST")
			if err != nil {
				return 0, "", err
			}
			defer resp.Body.Close()
			input.left = int64(len(b)) + maxFramingBytes
			out, err := io.ReadAll(resp.Body)
			return resp.StatusCode, string(out), err
		}
		status, body, err := read(bytes.NewReader(b))
		if len(body) > len(b) {
			t.Fatalf("a body of %d bytes from %d", len(body), len(b))
		}
		slowStatus, slowBody, slowErr := read(iotest.OneByteReader(bytes.NewReader(b)))
		if status != slowStatus || (err == nil) != (slowErr == nil) || err == nil && body != slowBody {
			t.Fatalf("at once: %d %q %v; byte by byte: %d %q %v", status, body, err, slowStatus, slowBody, slowErr)
		}
	})
}
