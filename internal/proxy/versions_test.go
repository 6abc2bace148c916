package proxy

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/coord"
	"cranberrypath.example/cranberrypath/internal/roster"
	"cranberrypath.example/cranberrypath/internal/world"
)

// Guards against a version that was rolled back and gets requests again once another order
// follows, and against refusing requests while a version that nobody found bad can serve.
func TestVersionsThatServe(t *testing.T) {
	rolledBack, superseded := []string{"v2"}, []string{"v2"}
	for _, c := range []struct {
		name     string
		rollout  coord.Rollout
		versions string // of the servers
		want     string // versions that get requests; empty if they are refused
	}{
		{"rolled back", coord.Rollout{Target: "v2", Phase: coord.RolledBack}, "v1 v2", "v1"},
		{"next order runs", coord.Rollout{Target: "v3", Phase: coord.Running, Share: 0.5, RolledBack: rolledBack}, "v1 v2 v3", "v1 v3"},
		{"next order not begun", coord.Rollout{Target: "v3", Phase: coord.Running, RolledBack: rolledBack}, "v1 v2 v3", "v1"},
		{"next order done", coord.Rollout{Target: "v3", Phase: coord.Done, RolledBack: rolledBack}, "v1 v2 v3", "v1 v3"},
		{"next order rolled back", coord.Rollout{Target: "v3", Phase: coord.RolledBack, RolledBack: rolledBack}, "v1 v2 v3", "v1"},
		{"target without servers", coord.Rollout{Target: "v3", Phase: coord.Running, Share: 1, RolledBack: rolledBack}, "v1 v2", "v1"},
		{"only versions rolled back", coord.Rollout{Target: "v3", Phase: coord.RolledBack, RolledBack: rolledBack}, "v2 v3", ""},
		{"ordered again", coord.Rollout{Target: "v2", Phase: coord.Running, Share: 0.5}, "v1 v2", "v1 v2"},
		{"superseded", coord.Rollout{Target: "v3", Phase: coord.Running, Share: 0.5, Superseded: superseded}, "v1 v2 v3", "v1 v3"},
		{"superseded, without others", coord.Rollout{Target: "v3", Phase: coord.Running, Share: 0.5, Superseded: superseded}, "v2 v3", "v2 v3"},
		{"superseded, target without servers", coord.Rollout{Target: "v3", Phase: coord.Running, Share: 1, Superseded: superseded}, "v2", "v2"},
		{"superseded, then done", coord.Rollout{Target: "v3", Phase: coord.Done, Superseded: superseded}, "v2 v3", "v3"},
		{"version in force", coord.Rollout{Target: "v1", Phase: coord.Running, InForce: true, Superseded: superseded}, "v1 v2", "v1"},
		{"version in force, the other rolled back", coord.Rollout{Target: "v1", Phase: coord.Running, InForce: true, RolledBack: rolledBack}, "v1 v2", "v1"},
		{"version in force, rolled back", coord.Rollout{Target: "v1", Phase: coord.RolledBack, InForce: true, Superseded: superseded}, "v1 v2", "v1"},
		{"version in force without others", coord.Rollout{Target: "v1", Phase: coord.Running, InForce: true}, "v1", "v1"},
		{"server without a version", coord.Rollout{Target: "v3", Phase: coord.Running, Share: 0.5, RolledBack: rolledBack}, " v2 v3", " v3"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &scriptedSender{responses: slices.Repeat([]scriptedResponse{{status: 200, body: "x"}}, 200)}
			p := newProxy(t, s, 0)
			c.rollout.Service = "s"
			p.SetRollouts([]coord.Rollout{c.rollout})
			var servers []roster.Server
			for i, v := range strings.Split(c.versions, " ") {
				servers = append(servers, roster.Server{ID: v, Service: "s", Address: fmt.Sprintf("10.0.0.%d:1", i), Slots: 8, State: world.Ready, Version: v})
			}
			p.SetServers(servers, time.Now())
			for range 100 {
				err := p.Serve(context.Background(), httptest.NewRecorder(), newRequest("/safe/"))
				var refusal *Refusal
				if c.want == "" && (!errors.As(err, &refusal) || refusal.Cause != NoServer) || c.want != "" && err != nil {
					t.Fatalf("got %v", err)
				}
			}
			served := map[string]bool{}
			for _, a := range s.attempts {
				served[a.Server.Version] = true
			}
			if got := strings.Join(slices.Sorted(maps.Keys(served)), " "); got != c.want {
				t.Errorf("versions %q got requests, want %q", got, c.want)
			}
		})
	}
}
