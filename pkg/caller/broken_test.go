package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/faults"
)

// scriptedEntry is a stand-in for an entry instance that sends the given responses in turn, the
// last one to all further requests, and its own address.
type scriptedEntry struct {
	*faults.Responder
	requests atomic.Int64 // other than for addresses
}

func newScriptedEntry(t *testing.T, responses ...faults.Response) *scriptedEntry {
	t.Helper()
	e := &scriptedEntry{}
	s, err := faults.NewResponder(func(conn *net.TCPConn, r *http.Request) {
		if r.URL.Path == "/v1/addresses" {
			list := fmt.Sprintf(`{"addresses": [{"address": %q}], "keepSeconds": 60}`, e.Addr())
			faults.SoundResponses("200 OK", "", list)[0].Send(conn)
			return
		}
		n := int(e.requests.Add(1))
		responses[min(n, len(responses))-1].Send(conn)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	e.Responder = s
	return e
}

func newTestClient(t *testing.T, seeds ...string) (context.Context, *Client) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	c := New(Config{Seeds: seeds, Key: "k", MaxAttempts: 2})
	t.Cleanup(c.Close)
	return ctx, c
}

// Guards against a broken response that a call returns as its answer, or that makes a call run
// twice, and against a call that does not get a sound answer.
func TestBrokenAnswers(t *testing.T) {
	const fields = "X-Outcome: answer\r\n"
	sound := faults.SoundResponses("200 OK", fields, "whole")
	for _, r := range sound {
		t.Run("sound/"+r.Name, func(t *testing.T) {
			t.Parallel()
			ctx, c := newTestClient(t, newScriptedEntry(t, r).Addr())
			if got, err := c.Call(ctx, "POST", "/orders", "", []byte("body")); err != nil || got.Status != 200 || string(got.Body) != "whole" {
				t.Errorf("got %+v, %v", got, err)
			}
		})
	}
	for _, r := range faults.BrokenResponses("200 OK", fields, "whole") {
		for _, method := range []string{"GET", "POST"} {
			t.Run(method+"/"+r.Name, func(t *testing.T) {
				t.Parallel()
				e := newScriptedEntry(t, r, sound[0])
				ctx, c := newTestClient(t, e.Addr())
				var refusal *Failure
				if got, err := c.Call(ctx, method, "/orders", "", nil); err == nil || errors.As(err, &refusal) || ctx.Err() != nil {
					t.Errorf("got %+v, %v", got, err)
				}
				if n := e.requests.Load(); n != 1 {
					t.Errorf("%d requests, want 1: the call may have run", n)
				}
			})
		}
		t.Run("with a key/"+r.Name, func(t *testing.T) {
			t.Parallel()
			ctx, c := newTestClient(t, newScriptedEntry(t, r, sound[0]).Addr())
			if got, err := c.Call(ctx, "POST", "/orders", "key", []byte("body")); err != nil || got.Status != 200 || string(got.Body) != "whole" {
				t.Errorf("got %+v, %v", got, err)
			}
		})
	}
}

// Guards against a call that the transport sends a second time by itself if a connection that was
// used before ends without a response.
func TestNoResponseOnAReusedConnection(t *testing.T) {
	sound := faults.SoundResponses("200 OK", "X-Outcome: answer\r\n", "whole")[0]
	for _, r := range []faults.Response{
		{Name: "closed", Closes: true},
		{Name: "reset", Resets: true},
		{Name: "line feed", Text: "\n"},
		{Name: "line feed before a response", Text: "\n" + sound.Text},
	} {
		for _, method := range []string{"GET", "HEAD", "OPTIONS", "DELETE", "POST"} {
			for name, body := range map[string][]byte{"no body": nil, "empty body": {}, "body": []byte("body")} {
				t.Run(fmt.Sprint(r.Name, "/", method, "/", name), func(t *testing.T) {
					t.Parallel()
					e := newScriptedEntry(t, r, sound)
					ctx, c := newTestClient(t, e.Addr()) // the connection is used for the addresses first
					var refusal *Failure
					if got, err := c.Call(ctx, method, "/orders", "", body); err == nil || errors.As(err, &refusal) || ctx.Err() != nil {
						t.Errorf("got %+v, %v", got, err)
					}
					if n := e.requests.Load(); n != 1 {
						t.Errorf("%d requests, want 1: the call may have run", n)
					}
				})
			}
		}
	}
}

// Guards against calls that get a body or a coding, which some servers reject, so that they are
// not sent a second time.
func TestCallsWithoutABody(t *testing.T) {
	for _, method := range []string{"GET", "HEAD", "OPTIONS", "DELETE", "POST"} {
		t.Run(method, func(t *testing.T) {
			got := make(chan *http.Request, 2)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/v1/addresses" {
					_, _ = fmt.Fprintf(w, `{"addresses": [{"address": %q}], "keepSeconds": 60}`, r.Host)
					return
				}
				got <- r
				w.Header().Set("X-Outcome", Answered)
			}))
			defer srv.Close()
			ctx, c := newTestClient(t, srv.Listener.Addr().String())
			for _, body := range [][]byte{nil, {}} {
				if _, err := c.Call(ctx, method, "/orders", "", body); err != nil {
					t.Fatal(err)
				}
				if r := <-got; r.ContentLength != 0 || r.TransferEncoding != nil {
					t.Errorf("length %d, coding %q", r.ContentLength, r.TransferEncoding)
				}
			}
		})
	}
}

// Guards against a call that is sent again because a malformed response says that it has not run.
func TestBrokenRefusals(t *testing.T) {
	const (
		fields = "X-Outcome: not-run\r\nRetry-After: 1\r\n"
		body   = `{"error": {"code": "noCapacity", "outcome": "not-run"}}`
	)
	for _, r := range faults.BrokenResponses("503 Service Unavailable", fields, body) {
		if r.Cut {
			continue // the head says that the call has not run
		}
		t.Run(r.Name, func(t *testing.T) {
			t.Parallel()
			e := newScriptedEntry(t, r)
			ctx, c := newTestClient(t, e.Addr())
			var refusal *Failure
			if _, err := c.Call(ctx, "POST", "/orders", "", []byte("body")); err == nil || errors.As(err, &refusal) {
				t.Errorf("got %v, want an error that is no refusal", err)
			}
			if n := e.requests.Load(); n != 1 {
				t.Errorf("%d requests, want 1: the call may have run", n)
			}
		})
	}
}

// Guards against a stream that takes a broken response for events, or that does not go on after
// one.
func TestBrokenStreams(t *testing.T) {
	const (
		fields = "Content-Type: text/event-stream\r\n"
		whole  = "id: 1\ndata: {\"choices\": [{\"text\": \"a\"}]}\n\nid: 2\ndata: {\"choices\": [{\"text\": \"b\", \"finish_reason\": \"stop\"}]}\n\ndata: [DONE]\n\n"
		rest   = "id: 2\ndata: {\"choices\": [{\"text\": \"b\", \"finish_reason\": \"stop\"}]}\n\ndata: [DONE]\n\n"
		other  = "id: 1\ndata: {\"choices\": [{\"text\": \"not the answer\"}]}\n\n"
	)
	soundWhole, soundRest := faults.SoundResponses("200 OK", fields, whole), faults.SoundResponses("200 OK", fields, rest)[0]
	read := func(t *testing.T, responses ...faults.Response) {
		t.Helper()
		ctx, c := newTestClient(t, newScriptedEntry(t, responses...).Addr())
		s, err := c.Complete(ctx, Request{Model: "m"})
		if err != nil {
			t.Error(err)
			return
		}
		defer s.Close()
		if text, reason, err := s.ReadAll(); err != nil || text != "ab" || reason != "stop" {
			t.Errorf("got %q, %q, %v", text, reason, err)
		}
	}
	for _, r := range soundWhole {
		t.Run("sound/"+r.Name, func(t *testing.T) {
			t.Parallel()
			read(t, r)
		})
	}
	for _, r := range faults.BrokenResponses("200 OK", fields, other) {
		if r.Cut {
			continue
		}
		t.Run(r.Name, func(t *testing.T) {
			t.Parallel()
			read(t, r, soundWhole[0])
		})
	}
	first := soundWhole[0]
	first.Text, first.Resets = first.Text[:len(first.Text)-len(rest)], true
	t.Run("reset between events", func(t *testing.T) { read(t, first, soundRest) })
}

// Guards against addresses from a broken response, and against giving up although another
// instance has them.
func TestBrokenAddresses(t *testing.T) {
	good := newScriptedEntry(t, faults.SoundResponses("200 OK", "X-Outcome: answer\r\n", "whole")[0])
	for _, r := range faults.BrokenResponses("200 OK", "", `{"addresses": [{"address": "127.0.0.1:1"}], "keepSeconds": 60}`+"    ") {
		t.Run(r.Name, func(t *testing.T) {
			t.Parallel()
			bad, err := faults.NewResponder(func(conn *net.TCPConn, _ *http.Request) { r.Send(conn) })
			if err != nil {
				t.Fatal(err)
			}
			defer bad.Close()
			ctx, c := newTestClient(t, bad.Addr(), good.Addr())
			if got, err := c.Call(ctx, "POST", "/orders", "", []byte("body")); err != nil || string(got.Body) != "whole" {
				t.Errorf("got %+v, %v", got, err)
			}
		})
	}
}

// Guards against a part of an answer that passes for the whole because the connection was reset
// while a long call was being sent.
func TestResetDuringACall(t *testing.T) {
	for range 20 {
		e := newScriptedEntry(t, faults.Response{Text: "HTTP/1.1 200 OK\r\nX-Outcome: answer\r\n\r\npart", Resets: true})
		ctx, c := newTestClient(t, e.Addr())
		if got, err := c.Call(ctx, "POST", "/orders", "", make([]byte, 16<<20)); err == nil {
			t.Errorf("got %q as the whole answer", got.Body)
		}
	}
}

// Guards against losing a whole answer that ends with the connection while a long call is being
// sent.
func TestWholeAnswerDuringACall(t *testing.T) {
	s, err := faults.NewResponder(func(conn *net.TCPConn, r *http.Request) {
		if r.URL.Path == "/v1/addresses" {
			faults.SoundResponses("200 OK", "", fmt.Sprintf(`{"addresses": [{"address": %q}], "keepSeconds": 60}`, conn.LocalAddr()))[0].Send(conn)
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Outcome: answer\r\n\r\nwhole")
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, r.Body) // ends when the client closes the connection
	})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for range 20 {
		ctx, c := newTestClient(t, s.Addr())
		if got, err := c.Call(ctx, "POST", "/orders", "", make([]byte, 16<<20)); err != nil || string(got.Body) != "whole" {
			t.Errorf("got %q, %v", got.Body, err)
		}
	}
}
