package proxy

import (
	"context"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/roster"
	"cranberrypath.example/cranberrypath/internal/world"
)

// Guards against requests to a server after it has said in any response that it leaves.
func TestLeavingByResponse(t *testing.T) {
	ok := scriptedResponse{status: 200, body: "x"}
	for _, c := range []struct {
		name  string
		path  string
		first scriptedResponse
		left  bool
	}{
		{"answer", "/unsafe/", scriptedResponse{status: 200, body: "x", leaving: true}, true},
		{"error status", "/unsafe/", scriptedResponse{status: 500, leaving: true}, true},
		{"refusal", "/unsafe/", scriptedResponse{status: 503, notRun: true, leaving: true}, true},
		{"503 that may have run", "/unsafe/", scriptedResponse{status: 503, leaving: true}, true},
		{"head of a stream", "/stream/", scriptedResponse{status: 200, isEventStream: true, onlyComments: true, leaving: true}, true},
		{"truncated answer", "/unsafe/", scriptedResponse{status: 200, body: "x", truncated: true, leaving: true}, true},
		{"another server at the address", "/unsafe/", scriptedResponse{status: 421, wrongServer: true, leaving: true}, false},
		{"nothing said", "/unsafe/", ok, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &scriptedSender{responses: slices.Insert(slices.Repeat([]scriptedResponse{ok}, 40), 0, c.first)}
			p := newProxy(t, s, 2)
			marked := make(chan roster.Server, 10)
			p.cfg.ServerLeaves = func(left roster.Server, _ time.Time) {
				p.mu.Lock()
				var all []roster.Server
				for _, other := range p.servers {
					if other.ID == left.ID {
						other.State = world.Leaving
					}
					all = append(all, other)
				}
				p.mu.Unlock()
				p.SetServers(all, time.Now())
				marked <- left
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				_ = p.Serve(ctx, httptest.NewRecorder(), newRequest(c.path))
			}()
			if c.left {
				<-marked // also while the stream goes on
			} else {
				<-ended
			}
			for range 20 {
				if err := p.Serve(context.Background(), httptest.NewRecorder(), newRequest("/safe/")); err != nil {
					t.Fatal(err)
				}
			}
			cancel()
			<-ended
			s.mu.Lock()
			defer s.mu.Unlock()
			used := false
			for _, a := range s.attempts[1:] {
				used = used || a.Server.ID == s.attempts[0].Server.ID
			}
			if used == c.left {
				t.Errorf("requests to the server after the response: %v, want %v", used, !c.left)
			}
			if len(marked) != 0 {
				t.Errorf("%d more servers were marked", len(marked))
			}
		})
	}
}
