package proxy

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/roster"
	"cranberrypath.example/cranberrypath/internal/routes"
)

// Guards against requests to cold servers beyond this instance's part, against callers that
// wait for a cold server or return together, and against limits for services that have none.
func TestColdServers(t *testing.T) {
	for _, c := range []struct {
		name     string
		coldRate float64 // of the service
		cold     int     // of two servers
		served   bool
	}{
		{"one server is cold", 6, 1, true},
		{"all servers are cold", 6, 2, false},
		{"cold servers are not limited", 0, 2, true},
	} {
		p := newProxy(t, &scriptedSender{}, 2)
		config := *p.Config()
		config.Services = []routes.Service{{Name: "s", ColdRate: c.coldRate}}
		withRate, err := routes.New(config)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Now()
		p.SetConfig(withRate, now)
		p.cfg.ColdPart = func(_ roster.Server, rate float64) float64 { return rate / 4 }
		var all []roster.Server
		for _, id := range []string{"e0", "e1"} {
			s := p.servers[id]
			if len(all) < c.cold {
				s.ColdUntil = now.Add(time.Minute)
			}
			all = append(all, s)
		}
		p.SetServers(all, now)
		s := p.cfg.Sender.(*scriptedSender)
		first, last := time.Hour, time.Duration(0)
		for range 20 {
			s.responses = append(s.responses, scriptedResponse{status: 200, body: "x"})
			began := time.Now()
			err := p.Serve(context.Background(), httptest.NewRecorder(), newRequest("/unsafe/"))
			var refusal *Refusal
			if errors.As(err, &refusal) && refusal.Cause == HeldOff {
				first, last = min(first, refusal.RetryAfter), max(last, refusal.RetryAfter)
			}
			if (err == nil) != c.served || refusal != nil && refusal.Cause != HeldOff || time.Since(began) > time.Second {
				t.Fatalf("%s: %v after %v", c.name, err, time.Since(began))
			}
		}
		for _, a := range s.attempts {
			if c.coldRate > 0 && a.Server.Cold(now) {
				t.Errorf("%s: a cold server gets a request within 1.5 s", c.name)
			}
		}
		if !c.served && last-first < 500*time.Millisecond {
			t.Errorf("%s: 20 callers are told to return between %v and %v", c.name, first, last)
		}
	}
}

// Guards against what a response of another server at the address says.
func TestColdResponses(t *testing.T) {
	for _, c := range []struct {
		name     string
		response scriptedResponse
		want     time.Duration
	}{
		{"cold", scriptedResponse{status: 200, body: "x", coldFor: time.Second}, time.Second},
		{"not run", scriptedResponse{status: 503, notRun: true, coldFor: time.Second}, time.Second},
		{"another server", scriptedResponse{status: 421, wrongServer: true, coldFor: time.Second}, 0},
		{"not cold", scriptedResponse{status: 200, body: "x"}, 0},
	} {
		p := newProxy(t, &scriptedSender{responses: []scriptedResponse{c.response}}, 1)
		got := time.Duration(0)
		p.cfg.ServerCold = func(_ roster.Server, coldFor time.Duration) { got = coldFor }
		_ = p.Serve(context.Background(), httptest.NewRecorder(), newRequest("/unsafe/"))
		if got != c.want {
			t.Errorf("%s: cold for %v, want %v", c.name, got, c.want)
		}
	}
}
