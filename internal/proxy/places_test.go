package proxy

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/coord"
	"cranberrypath.example/cranberrypath/internal/judge"
	"cranberrypath.example/cranberrypath/internal/roster"
	"cranberrypath.example/cranberrypath/internal/world"
)

// evacuatingSender evacuates the data centre of the server that gets the first attempt.
type evacuatingSender struct {
	scriptedSender
	p       *Proxy
	servers []roster.Server
}

func (s *evacuatingSender) Send(ctx context.Context, r *Request, a Attempt) (*Response, error) {
	if len(s.attempts) == 0 {
		s.p.SetPlaces(Places{Evacuated: []string{a.Server.DataCentre}})
		s.p.SetServers(s.servers, time.Now())
	}
	return s.scriptedSender.Send(ctx, r, a)
}

// Guards against a retry or a resumed stream that goes to a data centre which was evacuated
// while the request ran, against running requests that are cut, and against results from there
// that count against a version.
func TestEvacuationDuringARequest(t *testing.T) {
	begun := scriptedResponse{status: 200, isEventStream: true, body: firstEvent, truncated: true}
	for _, c := range []struct {
		name     string
		path     string
		steps    []scriptedResponse
		attempts int
		want     error
	}{
		{"answered", "/safe/", []scriptedResponse{{status: 200, body: "x"}}, 1, nil},
		{"retried", "/safe/", []scriptedResponse{{status: 503, notRun: true}, {status: 200, body: "x"}}, 2, nil},
		{"failed", "/safe/", []scriptedResponse{{status: 500}, {status: 200, body: "x"}}, 2, nil},
		{"resumed", "/resume/", []scriptedResponse{begun, {status: 200, isEventStream: true, body: secondEvent}}, 2, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(20) {
				s := &evacuatingSender{scriptedSender: scriptedSender{responses: c.steps}}
				s.p = newProxy(t, s, 0)
				s.p.cfg.VersionResults = judge.NewRecorder("n", 1)
				s.p.SetRollouts([]coord.Rollout{{Service: "s", Target: "v2", Phase: coord.Running}})
				dataCentres := []string{"x", "x", "x", "y", "y", "y"}
				rand.New(rand.NewPCG(seed, 0)).Shuffle(len(dataCentres), func(i, j int) { dataCentres[i], dataCentres[j] = dataCentres[j], dataCentres[i] })
				for i, dataCentre := range dataCentres {
					s.servers = append(s.servers, roster.Server{ID: fmt.Sprint("e", i), Service: "s", DataCentre: dataCentre, Address: fmt.Sprint("10.0.0.", i, ":1"), Slots: 8, State: world.Ready, Version: "v1"})
				}
				s.p.SetServers(s.servers, time.Now())
				if err := s.p.Serve(context.Background(), httptest.NewRecorder(), newRequest(c.path)); !errors.Is(err, c.want) {
					t.Fatalf("got %v, want %v", err, c.want)
				}
				if len(s.attempts) != c.attempts {
					t.Fatalf("%d attempts, want %d", len(s.attempts), c.attempts)
				}
				for _, a := range s.attempts[1:] {
					if a.Server.DataCentre == s.attempts[0].Server.DataCentre {
						t.Errorf("%s got an attempt in the evacuated data centre", a.Server.ID)
					}
				}
				recorded := 0
				for _, cell := range s.p.cfg.VersionResults.Take(time.Now()).Cells {
					recorded += int(cell.Requests)
				}
				if want := c.attempts - 1; recorded != want {
					t.Errorf("%d results are recorded for the rollout, want those of the %d attempts elsewhere", recorded, want)
				}
			}
		})
	}
}

// Guards against a request that waits, or whose refusal names no time, if all data centres
// are evacuated.
func TestAllDataCentresEvacuated(t *testing.T) {
	s := &scriptedSender{responses: []scriptedResponse{{status: 200, body: "x"}}}
	p := newProxy(t, s, 0)
	p.SetPlaces(Places{Evacuated: []string{"x"}})
	p.SetServers([]roster.Server{{ID: "e", Service: "s", DataCentre: "x", Address: "10.0.0.1:1", Slots: 8, State: world.Ready}}, time.Now())
	began := time.Now()
	err := p.Serve(context.Background(), httptest.NewRecorder(), newRequest("/safe/"))
	var refusal *Refusal
	if !errors.As(err, &refusal) || refusal.Cause != NoServer || refusal.RetryAfter < maxRetryAfter || len(s.attempts) > 0 {
		t.Errorf("got %v after %d attempts, want a refusal with a time", err, len(s.attempts))
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("refused after %v", took)
	}
}
