package proxy

import (
	"context"
	"errors"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/roster"
)

// newLimitedProxy returns a proxy with servers of which the first named a limit and this
// instance has the given part of it.
func newLimitedProxy(t *testing.T, s Sender, servers int, part float64) *Proxy {
	t.Helper()
	p := newProxy(t, s, servers)
	p.cfg.Part = func(roster.Server) float64 { return part }
	var all []roster.Server
	for _, server := range p.servers {
		if server.ID == "e0" || servers == 1 {
			server.Limit = roster.Limit{Named: true, Rate: 4 * part, Version: 1}
		}
		all = append(all, server)
	}
	p.SetServers(all, time.Now())
	return p
}

// Guards against requests that exceed the part of a limit when many are picked at the same
// time, first attempts and retries alike, and against refusals while another server is free.
func TestLimitedServer(t *testing.T) {
	const part = 50 // requests a second
	full := scriptedResponse{status: 503, notRun: true}
	ok := scriptedResponse{status: 200, body: "x"}
	s := &scriptedSender{responses: slices.Concat(slices.Repeat([]scriptedResponse{full, ok}, 100), slices.Repeat([]scriptedResponse{ok}, 2000))}
	p := newLimitedProxy(t, s, 2, part)
	began := time.Now()
	time.Sleep(200 * time.Millisecond)
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			for range 50 {
				var refusal *Refusal
				err := p.Serve(context.Background(), httptest.NewRecorder(), newRequest("/safe/"))
				if errors.As(err, &refusal) && refusal.Cause != Full || err != nil && refusal == nil {
					t.Errorf("%v although a server is free", err)
				}
			}
		})
	}
	callers.Wait()
	limited := 0
	for _, a := range s.attempts {
		if a.Server.ID == "e0" {
			limited++
		}
	}
	if most := int(time.Since(began).Seconds()*part) + 1; limited > most || limited < 5 {
		t.Errorf("%d requests at the limited server, want 5 to %d", limited, most)
	}
}

// Guards against requests that wait for a server which takes no more, and against callers that
// are told to come back at a time at which it takes none.
func TestOnlyLimitedServers(t *testing.T) {
	for _, c := range []struct {
		name     string
		part     float64
		from, to time.Duration // Retry-After
	}{
		{"a part of the limit", 0.5, 1500 * time.Millisecond, 2100 * time.Millisecond},
		{"other instances have the parts", 0, minRetryAfter, time.Second},
	} {
		s := &scriptedSender{}
		p := newLimitedProxy(t, s, 1, c.part)
		began := time.Now()
		err := p.Serve(context.Background(), httptest.NewRecorder(), newRequest("/unsafe/"))
		var refusal *Refusal
		if !errors.As(err, &refusal) || refusal.Cause != HeldOff || refusal.RetryAfter < c.from || refusal.RetryAfter > c.to {
			t.Errorf("%s: %v, %+v, want to be held off for %v to %v", c.name, err, refusal, c.from, c.to)
		}
		if took := time.Since(began); took > 250*time.Millisecond {
			t.Errorf("%s: refused after %v", c.name, took)
		}
	}
}

// Guards against a limit that a response of another server at the address, or one without a
// header, changes wrongly.
func TestLimitsOfResponses(t *testing.T) {
	limit := roster.Limit{Named: true, Rate: 7}
	for _, c := range []struct {
		name     string
		response scriptedResponse
		known    roster.Limit
		want     []roster.Limit
	}{
		{"named", scriptedResponse{status: 200, body: "x", limit: limit}, roster.Limit{}, []roster.Limit{limit}},
		{"named with a failure", scriptedResponse{status: 500, limit: limit}, roster.Limit{}, []roster.Limit{limit}},
		{"named with a refusal", scriptedResponse{status: 503, notRun: true, limit: limit}, roster.Limit{}, []roster.Limit{limit}},
		{"ended", scriptedResponse{status: 200, body: "x"}, roster.Limit{Named: true, Rate: 1, Version: 1}, []roster.Limit{{}}},
		{"none", scriptedResponse{status: 200, body: "x"}, roster.Limit{}, nil},
		{"wrong server", scriptedResponse{status: 421, wrongServer: true, limit: limit}, roster.Limit{}, nil},
	} {
		p := newProxy(t, &scriptedSender{responses: []scriptedResponse{c.response}}, 1)
		p.cfg.Part = func(roster.Server) float64 { return 1000 }
		var got []roster.Limit
		p.cfg.ServerLimit = func(_ roster.Server, l roster.Limit, _ time.Time) { got = append(got, l) }
		server := p.servers["e0"]
		server.Limit = c.known
		p.SetServers([]roster.Server{server}, time.Now())
		time.Sleep(5 * time.Millisecond) // a limit begins without a burst
		_ = p.Serve(context.Background(), httptest.NewRecorder(), newRequest("/unsafe/"))
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
}
