package proxy

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"cranberrypath.example/cranberrypath/internal/quota"
	"cranberrypath.example/cranberrypath/internal/roster"
	"cranberrypath.example/cranberrypath/internal/routes"
	"cranberrypath.example/cranberrypath/internal/world"
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

// Guards against requests that wait for the first configuration and reach cold servers before
// the servers are limited as it demands.
func TestColdServersAtTheFirstConfiguration(t *testing.T) {
	s := &scriptedSender{}
	p, err := New(Config{
		Sender: s, Quota: quota.NewBuckets(nil), Clock: time.Now, Log: &log.Logger{Handler: discard.New()}, UsageWindow: time.Second,
		ColdPart: func(roster.Server, float64) float64 { return 0 },
	})
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	var all []roster.Server
	for i := range 10 {
		all = append(all, roster.Server{
			ID: fmt.Sprint("e", i), Service: "s", Address: fmt.Sprint("10.0.0.", i, ":1"), Slots: 8, State: world.Ready, ColdUntil: now.Add(time.Minute),
		})
	}
	p.SetServers(all, now)
	var wg sync.WaitGroup
	for range 50 {
		s.responses = append(s.responses, scriptedResponse{status: 200, body: "x"})
	}
	for range 50 {
		wg.Go(func() { _ = p.Serve(t.Context(), httptest.NewRecorder(), newRequest("/unsafe/")) })
	}
	time.Sleep(20 * time.Millisecond) // the requests wait
	config := *testConfig(t)
	config.Services = []routes.Service{{Name: "s", ColdRate: 6}}
	c, err := routes.New(config)
	if err != nil {
		t.Fatal(err)
	}
	p.SetConfig(c, now)
	time.Sleep(20 * time.Millisecond) // a slow machine
	p.SetServers(all, now)
	wg.Wait()
	if len(s.attempts) > 0 {
		t.Errorf("%d requests were sent to cold servers without a part of their rate", len(s.attempts))
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

// Guards against turns of cold servers that are taken by requests which the retry limit refuses.
func TestColdTurnIsNotTakenWithoutABudget(t *testing.T) {
	s := &scriptedSender{}
	p := newProxy(t, s, 2)
	config := *p.Config()
	config.Services = []routes.Service{{Name: "s", ColdRate: 6}}
	c, err := routes.New(config)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	p.cfg.Clock = func() time.Time { return now }
	p.cfg.Retry = RetryLimit{Window: time.Minute}
	p.cfg.ColdPart = func(roster.Server, float64) float64 { return 0.5 }
	p.SetConfig(c, now)
	warm, cold := p.servers["e0"], p.servers["e1"]
	cold.ColdUntil = now.Add(time.Hour)
	p.SetServers([]roster.Server{warm, cold}, now)
	serve := func(r scriptedResponse) error {
		s.responses = append(s.responses[:len(s.attempts)], r)
		return p.Serve(t.Context(), httptest.NewRecorder(), &Request{
			ID: "r", HasKey: true, Key: "k", Method: "POST", Host: "h", Path: "/unsafe/", URI: "/unsafe/", Arrived: now, CallerTimeout: 5 * time.Second,
		})
	}
	for range 100 {
		now = now.Add(5 * time.Second) // the cold server has a turn
		var refusal *Refusal
		if err := serve(scriptedResponse{status: 503, notRun: true}); !errors.As(err, &refusal) || refusal.Cause != Full {
			t.Fatalf("a request that may not be retried ends with %v", err)
		}
		if s.attempts[len(s.attempts)-1].Server.ID == "e0" {
			p.SetServers([]roster.Server{cold}, now)
			if err := serve(scriptedResponse{status: 200, body: "x"}); err != nil {
				t.Errorf("the next request is not sent to the cold server: %v", err)
			}
			return
		}
	}
	t.Fatal("no request was sent to the warm server first")
}

// Guards against refusals because a cold server opens before a warm one that is worth waiting
// for.
func TestWaitForTheWarmServer(t *testing.T) {
	s := &scriptedSender{responses: []scriptedResponse{{status: 200, body: "x"}}}
	p := newProxy(t, s, 2)
	config := *p.Config()
	config.Services = []routes.Service{{Name: "s", ColdRate: 6}}
	c, err := routes.New(config)
	if err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	p.cfg.ColdPart = func(roster.Server, float64) float64 { return 0 } // opens elsewhere, 0.2 s later
	p.SetConfig(c, began)
	warm, cold := p.servers["e0"], p.servers["e1"]
	cold.ColdUntil = began.Add(time.Hour)
	p.SetServers([]roster.Server{warm, cold}, began)
	now := time.Now()
	p.holdOff(warm, now, 300*time.Millisecond, now)
	if err := p.Serve(t.Context(), httptest.NewRecorder(), newRequest("/unsafe/")); err != nil || s.attempts[0].Server.ID != "e0" {
		t.Errorf("%v after %v with %d attempts, want an answer of the warm server", err, time.Since(now), len(s.attempts))
	}
}
