package proxy

import (
	"context"
	"errors"
	"net/http/httptest"
	"slices"
	"testing"
	"time"
)

// Guards against requests that are sent although this instance stops before they complete,
// and against refusing those that complete in time.
func TestRequestsBeforeAStop(t *testing.T) {
	const second = time.Second
	for _, c := range []struct {
		name   string
		path   string
		times  []time.Duration // of recent runs
		stopIn time.Duration
		sent   bool
	}{
		{"longer than its own time", "/unsafe/", nil, 6 * second, true},
		{"its own time is longer", "/unsafe/", nil, 4 * second, false},
		{"unsafe, recent runs were short", "/unsafe/", repeatTime(second/10, 20), 4 * second, false},
		{"safe, recent runs were short", "/safe/", repeatTime(second/10, 20), second, true},
		{"safe, recent runs are not known", "/safe/", repeatTime(second/10, 9), second, false},
		{"safe, one recent run was long", "/safe/", append(repeatTime(second/10, 20), 2*second), 3 * second, false},
		{"stream, recent runs were short", "/stream/", repeatTime(second/10, 20), second, true},
		{"stream, recent runs were long", "/stream/", repeatTime(2*second, 20), 3 * second, false},
	} {
		s := &scriptedSender{responses: []scriptedResponse{{status: 200, body: firstEvent, isEventStream: c.path == "/stream/"}}}
		p := newProxy(t, s, 1)
		r := newRequest(c.path)
		route := p.Config().Match(r.Host, r.Path)
		for _, d := range c.times {
			p.recordRunTime(route.Name, d)
		}
		now := time.Now()
		p.StopBy(now.Add(c.stopIn), now)
		err := p.Serve(context.Background(), httptest.NewRecorder(), r)
		var refusal *Refusal
		if c.sent && err != nil || !c.sent && (!errors.As(err, &refusal) || refusal.Cause != Stopping || refusal.RetryAfter == 0) || len(s.attempts) == 1 != c.sent {
			t.Errorf("%s: %v, %d attempts, want sent %v", c.name, err, len(s.attempts), c.sent)
		}
		if c.sent && len(s.attempts) == 1 && s.attempts[0].TimeLeft > c.stopIn-finalResponseTime {
			t.Errorf("%s: the server has %v", c.name, s.attempts[0].TimeLeft)
		}
	}
}

func repeatTime(d time.Duration, n int) []time.Duration {
	return slices.Repeat([]time.Duration{d}, n)
}

// Guards against requests that are still in flight when this instance stops: those that wait
// for a server's response or its next event, and those that wait for a server.
func TestRequestsAtAStop(t *testing.T) {
	for _, c := range []struct {
		name   string
		script scriptedResponse
		cause  Cause
	}{
		{"no response", scriptedResponse{hang: true}, Lost},
		{"no event", scriptedResponse{status: 200, isEventStream: true, onlyComments: true}, Lost},
	} {
		p := newProxy(t, &scriptedSender{responses: []scriptedResponse{c.script}}, 1)
		ended := make(chan error, 1)
		go func() { ended <- p.Serve(context.Background(), httptest.NewRecorder(), newRequest("/stream/")) }()
		time.Sleep(50 * time.Millisecond)
		now := time.Now()
		p.StopBy(now.Add(finalResponseTime+50*time.Millisecond), now)
		select {
		case err := <-ended:
			var refusal *Refusal
			if !errors.As(err, &refusal) || refusal.Cause != c.cause {
				t.Errorf("%s: %v, want %v", c.name, err, c.cause)
			}
		case <-time.After(2 * time.Second):
			t.Errorf("%s: the request has not ended", c.name)
		}
	}
}
