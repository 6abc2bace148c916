package entry

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"cranberrypath.example/cranberrypath/internal/stream"
)

// Guards against reporting "not run" at the end of an accepted request, and
// against blaming the caller's header when an answer has lost tokens.
func TestBrokenAnswersAreNeverNotRun(t *testing.T) {
	e := &Entry{server: &server{}}
	for _, err := range []error{
		&stream.AbortedError{Reason: "crashesServers"},
		&stream.AbortedError{Reason: "timeLimit"},
		&stream.AbortedError{Reason: reasonCutOff},
		&stream.AbortedError{Reason: "attemptsExhausted"},
		&stream.AbortedError{TakenOver: true},
		context.DeadlineExceeded,
		&positionError{pos: 3, tokens: 2},
		errBehind,
		stream.ErrPosition,
		stream.ErrUnknown,
		errRolledBack,
		errors.New("link lost"),
	} {
		if f := e.brokenFailure(err); f.outcome != outcomeUnknown {
			t.Errorf("%v: outcome %q, want %q", err, f.outcome, outcomeUnknown)
		}
	}
	if f := e.brokenFailure(errRolledBack); f.code == "badHeader" {
		t.Errorf("a lost token is answered with %q", f.code)
	}
}

// Guards against a long answer of a backend server that looks whole to the caller although the
// server broke it off after it had begun, and against one that was whole and does not.
func TestCutAnswerShows(t *testing.T) {
	for _, c := range []struct {
		name string
		end  error
	}{
		{"whole", io.EOF},
		{"cut", io.ErrUnexpectedEOF},
	} {
		t.Run(c.name, func(t *testing.T) {
			rest := io.MultiReader(strings.NewReader("the rest"), &failingReader{c.end})
			answer := &plainAnswer{status: 200, body: []byte("the beginning and "), remainder: io.NopCloser(rest)}
			ln := fasthttputil.NewInmemoryListener()
			defer ln.Close()
			srv := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { answer.write(ctx, func() {}) }, Logger: discardLogger{}}
			go func() { _ = srv.Serve(ln) }() // ends with the listener
			conn, err := ln.Dial()
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(resp.Body)
			if cut := c.end != io.EOF; (err != nil) != cut || !cut && string(body) != "the beginning and the rest" {
				t.Errorf("got %q, %v, want a cut answer: %v", body, err, cut)
			}
		})
	}
}

type failingReader struct{ err error }

func (r *failingReader) Read([]byte) (int, error) { return 0, r.err }
