package proxy

import (
	"context"
	"errors"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/coord"
	"cranberrypath.example/cranberrypath/internal/roster"
	"cranberrypath.example/cranberrypath/internal/route"
	"cranberrypath.example/cranberrypath/internal/world"
)

// Guards against requests that are refused although a server accepts them in time, and
// against requests that wait for longer than a refused caller would.
func TestWorthWaiting(t *testing.T) {
	const target = time.Second
	arrived := time.UnixMilli(0)
	for _, c := range []struct {
		name                     string
		now, available, deadline int // ms after the arrival
		target                   time.Duration
		want                     bool
	}{
		{"soon", 0, 100, 5000, target, true},
		{"half of the target", 0, 500, 5000, target, true},
		{"later than half of the target", 0, 501, 5000, target, false},
		{"the request has waited before", 450, 550, 5000, target, false},
		{"a third of the time", 0, 200, 600, target, true},
		{"more than a third of the time", 0, 201, 600, target, false},
		{"after the deadline", 0, 700, 600, target, false},
		{"no target", 0, 1, 5000, 0, false},
	} {
		at := func(ms int) time.Time { return arrived.Add(time.Duration(ms) * time.Millisecond) }
		if got := worthWaiting(at(c.now), route.Opening{At: at(c.available)}, arrived, at(c.deadline), c.target); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
		if worthWaiting(at(c.now), route.Opening{At: at(c.available), Limited: true}, arrived, at(c.deadline), c.target) {
			t.Errorf("%s: waits for a server with a rate limit", c.name)
		}
	}
}

// Guards against callers that come back before any server accepts their request, or at once.
func TestHeldOffRetryAfter(t *testing.T) {
	now := time.UnixMilli(0)
	for _, c := range []struct{ available, want time.Duration }{
		{-time.Second, minRetryAfter},
		{0, minRetryAfter},
		{10 * time.Millisecond, minRetryAfter},
		{700 * time.Millisecond, 700 * time.Millisecond},
		{time.Minute, time.Minute},
	} {
		if got := heldOffRetryAfter(now, now.Add(c.available)); got != c.want {
			t.Errorf("available after %v: %v, want %v", c.available, got, c.want)
		}
	}
}

// Guards against a hold-off that ends the one before early, or that holds off an incarnation
// that did not ask for it.
func TestHoldOffOfIncarnations(t *testing.T) {
	at := func(ms int64) time.Time { return time.UnixMilli(ms) }
	said := holdOff{incarnation: 1000, sent: at(5000), until: at(9000)}
	for _, c := range []struct {
		name    string
		started int64
		want    bool
	}{
		{"the same", 1000, true},
		{"restarted before the request", 4999, true},
		{"restarted after the request", 5001, false},
		{"an earlier one", 900, false},
	} {
		if got := said.appliesTo(roster.Server{Incarnation: c.started}); got != c.want {
			t.Errorf("%s: applies %v, want %v", c.name, got, c.want)
		}
	}
	for _, c := range []struct {
		name string
		next holdOff
		want int64
	}{
		{"longer", holdOff{incarnation: 1000, sent: at(6000), until: at(9500)}, 9500},
		{"shorter", holdOff{incarnation: 1000, sent: at(6000), until: at(8000)}, 9000},
		{"next incarnation", holdOff{incarnation: 7000, sent: at(7100), until: at(8000)}, 8000},
	} {
		if got := said.extendedBy(c.next).until; !got.Equal(at(c.want)) {
			t.Errorf("%s: until %d, want %d", c.name, got.UnixMilli(), c.want)
		}
	}
}

// Guards against requests to a server that has said that it wants none for some time, and
// against a server that gets none after that time or as its next incarnation.
func TestHeldOffServer(t *testing.T) {
	const holdFor = 400 * time.Millisecond
	ok := scriptedResponse{status: 200, body: "x"}
	for _, c := range []struct {
		name     string
		first    scriptedResponse
		change   func(*roster.Server) // after the response
		heldOff  bool
		attempts int // of the first request
	}{
		{"refusal", scriptedResponse{status: 503, notRun: true, retryAfter: holdFor}, func(*roster.Server) {}, true, 2},
		{"503 that may have run", scriptedResponse{status: 503, retryAfter: holdFor}, func(*roster.Server) {}, true, 1},
		{"no time", scriptedResponse{status: 503, notRun: true}, func(*roster.Server) {}, false, 2},
		{"another server at the address", scriptedResponse{status: 421, wrongServer: true, retryAfter: holdFor}, func(*roster.Server) {}, false, 2},
		{"later heartbeat", scriptedResponse{status: 503, notRun: true, retryAfter: holdFor}, func(s *roster.Server) { s.Seq++ }, true, 2},
		{"next incarnation", scriptedResponse{status: 503, notRun: true, retryAfter: holdFor}, func(s *roster.Server) { s.Incarnation = time.Now().UnixMilli() + 1 }, false, 2},
		{"restart that was not announced", scriptedResponse{status: 503, notRun: true, retryAfter: holdFor}, func(s *roster.Server) { s.Incarnation++ }, true, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &scriptedSender{responses: slices.Insert(slices.Repeat([]scriptedResponse{ok}, 10_000), 0, c.first)}
			p := newProxy(t, s, 2)
			_ = p.Serve(context.Background(), httptest.NewRecorder(), newRequest("/unsafe/"))
			until := time.Now().Add(holdFor)
			held := s.attempts[0].Server
			if len(s.attempts) != c.attempts {
				t.Errorf("%d attempts, want %d", len(s.attempts), c.attempts)
			}
			var all []roster.Server
			for _, other := range p.servers {
				if other.ID == held.ID {
					c.change(&other)
				}
				all = append(all, other)
			}
			p.SetServers(nil, time.Now()) // the servers are unknown for a moment
			p.SetServers(all, time.Now())
			used := func() bool {
				before := len(s.attempts)
				for range 50 {
					if err := p.Serve(context.Background(), httptest.NewRecorder(), newRequest("/safe/")); err != nil {
						t.Fatal(err)
					}
				}
				return slices.ContainsFunc(s.attempts[before:], func(a Attempt) bool { return a.Server.ID == held.ID })
			}
			if got := used(); time.Now().Before(until.Add(-holdFor/4)) && got == c.heldOff {
				t.Errorf("requests to the server: %v, want %v", got, !c.heldOff)
			}
			time.Sleep(time.Until(until))
			if !used() {
				t.Error("no request to the server after the time")
			}
		})
	}
}

// Guards against requests that wait until their deadline while no server wants them, and
// against callers that are told to come back too early.
func TestAllServersHeldOff(t *testing.T) {
	for _, c := range []struct {
		name    string
		holdFor time.Duration
		served  bool
	}{
		{"short", 150 * time.Millisecond, true},
		{"long", 1500 * time.Millisecond, false},
		{"longer than the request's time", time.Hour, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			refusal := scriptedResponse{status: 503, notRun: true, retryAfter: c.holdFor}
			s := &scriptedSender{responses: []scriptedResponse{refusal, refusal, {status: 200, body: "x"}}}
			p := newProxy(t, s, 2)
			began := time.Now()
			err := p.Serve(context.Background(), httptest.NewRecorder(), newRequest("/unsafe/"))
			var refused *Refusal
			if !errors.As(err, &refused) || refused.Cause != Full || refused.RetryAfter < c.holdFor-time.Since(began) || refused.RetryAfter > c.holdFor+minRetryAfter {
				t.Errorf("refused by both servers: %v, %+v", err, refused)
			}
			arrived := time.Now()
			err = p.Serve(context.Background(), httptest.NewRecorder(), newRequest("/unsafe/"))
			took := time.Since(arrived)
			if c.served {
				if err != nil || took > time.Second {
					t.Errorf("after a short wait: %v after %v", err, took)
				}
				return
			}
			if !errors.As(err, &refused) || refused.Cause != HeldOff || refused.RetryAfter < c.holdFor-time.Since(began) || took > 500*time.Millisecond {
				t.Errorf("no server wants requests: %v, %+v after %v", err, refused, took)
			}
			if len(s.attempts) != 2 {
				t.Errorf("%d attempts, want 2", len(s.attempts))
			}
		})
	}
}

// Guards against refusing requests that a rollout sends to the target version while its
// servers accept none, and against sending more than the rollout's share to the target.
func TestHeldOffVersion(t *testing.T) {
	for _, c := range []struct {
		name   string
		held   string
		share  float64 // of the target version v2
		served bool
	}{
		{"target", "v2", 1, true},
		{"earlier version", "v1", 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &scriptedSender{responses: slices.Repeat([]scriptedResponse{{status: 200, body: "x"}}, 200)}
			p := newProxy(t, s, 0)
			now := time.Now()
			p.rollouts["s"] = coord.Rollout{Service: "s", Target: "v2", Phase: coord.Running, Share: c.share}
			servers := []roster.Server{
				{ID: "a", Service: "s", Address: "10.0.0.1:1", Slots: 8, State: world.Ready, Version: "v1"},
				{ID: "b", Service: "s", Address: "10.0.0.2:1", Slots: 8, State: world.Ready, Version: "v2"},
			}
			p.SetServers(servers, now)
			for _, server := range servers {
				if server.Version == c.held {
					p.holdOff(server, now, time.Hour, now)
				}
			}
			for range 20 {
				if err := p.Serve(context.Background(), httptest.NewRecorder(), newRequest("/safe/")); (err == nil) != c.served {
					t.Fatalf("%v, want served %v", err, c.served)
				}
			}
			for _, a := range s.attempts {
				if a.Server.Version == c.held {
					t.Errorf("a request went to version %s", c.held)
				}
			}
		})
	}
}
