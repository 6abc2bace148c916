package route

import (
	"errors"
	"testing"
	"time"
)

// Guards against picking a server that accepts no requests for some time, even if all others
// are ejected or excluded, and in groups that are sampled.
func TestHoldOff(t *testing.T) {
	for _, servers := range []int{2, 2 * fullScanServers} {
		table := New(Config{Seed: 1})
		all := fleet(servers)
		table.SetBackends(all, start)
		for i, b := range all[:servers/2] {
			table.HoldOff(b.ID, b.Incarnation, start.Add(time.Duration(i+1)*time.Second))
		}
		table.SetBackends(all, start) // the same incarnations
		held := map[string]bool{}
		var others []string
		for i, b := range all {
			held[b.ID] = i < servers/2
			if i >= servers/2 {
				others = append(others, b.ID)
			}
		}
		q := Query{Service: "m", Version: "1", PromptTokens: 100}
		for range 200 {
			c, err := table.Pick(q, start)
			if err != nil || held[c.Backend.ID] {
				t.Fatalf("%d servers: picked %s, %v", servers, c.Backend.ID, err)
			}
		}
		if o, ok := table.NextOpening(q, start); !ok || !o.At.Equal(start) {
			t.Errorf("%d servers: accepted from %v, %v, want at once", servers, o.At, ok)
		}
		for _, id := range others {
			table.eject(table.servers[id], start)
		}
		if c, err := table.Pick(q, start); err != nil || held[c.Backend.ID] {
			t.Errorf("%d servers: picked %s as a last resort, %v", servers, c.Backend.ID, err)
		}
		q.Exclude = others
		if _, err := table.Pick(q, start); !errors.Is(err, ErrExcluded) {
			t.Errorf("%d servers: %v, want ErrExcluded", servers, err)
		}
		o, ok := table.NextOpening(q, start)
		if want := start.Add(time.Second); !ok || !o.At.Equal(want) {
			t.Errorf("%d servers: accepted from %v, %v, want %v", servers, o.At, ok, want)
		}
		if c, err := table.Pick(q, o.At); err != nil || c.Backend.ID != all[0].ID {
			t.Errorf("%d servers: picked %s, %v at that time, want %s", servers, c.Backend.ID, err, all[0].ID)
		}
		all[0].Incarnation++
		table.HoldOff(all[0].ID, all[0].Incarnation-1, start.Add(time.Hour))
		table.SetBackends(all, start)
		if c, err := table.Pick(q, start); err != nil || c.Backend.ID != all[0].ID {
			t.Errorf("%d servers: picked %s, %v, want the next incarnation of %s", servers, c.Backend.ID, err, all[0].ID)
		}
		q.Service = "none"
		if _, ok := table.NextOpening(q, start); ok {
			t.Errorf("%d servers: a service without servers accepts requests", servers)
		}
	}
}
