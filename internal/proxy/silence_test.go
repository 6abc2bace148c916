package proxy

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"
)

// Guards against requests that wait until their deadline on a server which hangs or
// lost power: 79 requests got a final error after 7.5 s in one recorded run. Repeatable
// requests are retried on another server; other requests must not be.
func TestSilentServer(t *testing.T) {
	for _, c := range []struct {
		path string
		want int // attempts
	}{{"/safe/", 2}, {"/resume/", 2}, {"/unsafe/", 1}, {"/stream/", 1}} {
		t.Run(c.path[1:], func(t *testing.T) {
			t.Parallel()
			s := &scriptedSender{responses: []scriptedResponse{{hang: true}, {status: 200, isEventStream: true, body: firstEvent + secondEvent}}}
			p := newProxy(t, s, 4)
			r := newRequest(c.path)
			r.CallerTimeout = 3 * time.Second
			err := p.Serve(context.Background(), httptest.NewRecorder(), r)
			if len(s.attempts) != c.want {
				t.Fatalf("%d attempts, want %d", len(s.attempts), c.want)
			}
			var refusal *Refusal
			switch {
			case c.want == 2 && err != nil:
				t.Errorf("error %v, want the second server's response", err)
			case c.want == 1 && (!errors.As(err, &refusal) || refusal.Cause != TimedOut):
				t.Errorf("error %v, want a timeout", err)
			}
			now := time.Now()
			first := s.attempts[0].Server.ID
			for range 50 {
				if got, err := p.table.Pick((&inflight{p: p, r: r, cfg: p.Config(), route: p.Config().Match("h", c.path), service: "s"}).routeQuery(now), now); err != nil || got.Backend.ID == first {
					t.Fatalf("picked the silent server %q, %v", first, err)
				}
			}
		})
	}
}

// Guards against a stalled server that counts as working because it sends comments, and
// against comments that count as the first event of a response.
func TestServerThatSendsOnlyComments(t *testing.T) {
	for _, c := range []struct {
		path string
		want int // attempts
	}{{"/safe/", 2}, {"/resume/", 2}, {"/stream/", 1}} {
		t.Run(c.path[1:], func(t *testing.T) {
			t.Parallel()
			s := &scriptedSender{responses: []scriptedResponse{
				{status: 200, isEventStream: true, onlyComments: true}, {status: 200, isEventStream: true, body: firstEvent + secondEvent},
			}}
			p := newProxy(t, s, 4)
			r := newRequest(c.path)
			r.CallerTimeout = 3 * time.Second
			w := httptest.NewRecorder()
			err := p.Serve(context.Background(), w, r)
			if len(s.attempts) != c.want {
				t.Fatalf("%d attempts, want %d", len(s.attempts), c.want)
			}
			if got := w.Body.String(); c.want == 2 && (err != nil || got != firstEvent+secondEvent) {
				t.Errorf("response %q, %v, want that of the second server", got, err)
			}
			var refusal *Refusal
			if c.want == 1 && (!errors.As(err, &refusal) || refusal.Cause != TimedOut) {
				t.Errorf("error %v, want a timeout", err)
			}
			now := time.Now()
			first := s.attempts[0].Server.ID
			for range 50 {
				if got, err := p.table.Pick((&inflight{p: p, r: r, cfg: p.Config(), route: p.Config().Match("h", c.path), service: "s"}).routeQuery(now), now); err != nil || got.Backend.ID == first {
					t.Fatalf("picked the stalled server %q, %v", first, err)
				}
			}
		})
	}
}

// Guards against treating a server as silent because one long prompt waits while other
// requests of this instance are answered, or because this process was stalled.
func TestSilentAfter(t *testing.T) {
	for _, c := range []struct{ target, gap, expected, want time.Duration }{
		{100 * time.Millisecond, 0, 0, 200 * time.Millisecond},
		{2 * time.Second, 0, 0, 1500 * time.Millisecond},
		{time.Second, 0, 900 * time.Millisecond, 3600 * time.Millisecond},
		{time.Second, 600 * time.Millisecond, 0, 1500 * time.Millisecond},
		{time.Second, 2 * time.Second, 0, 3 * time.Second}, // pauses of 2 s are allowed
	} {
		if got := silenceTimeout(c.target, c.gap, c.expected); got != c.want {
			t.Errorf("target %v, gap %v, expected %v: silent after %v, want %v", c.target, c.gap, c.expected, got, c.want)
		}
	}
	const after = time.Second
	sent := time.Unix(1_000_000, 0)
	at := func(ms int) time.Time { return sent.Add(time.Duration(ms) * time.Millisecond) }
	for _, c := range []struct {
		name               string
		lastByte, due, now int // ms after the request was sent
		silent             bool
		wait               time.Duration
	}{
		{"no byte received", 0, 1000, 1000, true, after},
		{"another request was answered", 700, 1000, 1010, false, 690 * time.Millisecond},
		{"this process was stalled", 0, 1000, 7000, false, after},
	} {
		if silent, wait := checkSilence(at(c.lastByte), at(c.due), at(c.now), after); silent != c.silent || wait != c.wait {
			t.Errorf("%s: silent %v, next check after %v, want %v and %v", c.name, silent, wait, c.silent, c.wait)
		}
	}
	p := newProxy(t, &scriptedSender{}, 1)
	a := &attemptState{sentAt: sent, lastByte: p.lastByteOf("e0")}
	p.lastByteOf("e0").Store(at(1000).UnixNano())
	if got := a.lastByteAt(); !got.Equal(at(1000)) {
		t.Errorf("last byte %v after the request, want 1s", got.Sub(sent))
	}
}
