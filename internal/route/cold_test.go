package route

import (
	"errors"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/world"
)

func coldFleet(servers, cold int, rate float64) []world.Backend {
	all := fleet(servers)
	for i := range cold {
		all[i].Cold, all[i].ColdRate = true, rate
	}
	return all
}

// Guards against requests to a cold server beyond this instance's part of its rate, without a
// valid part, or to its next incarnation by a choice made before.
func TestColdServer(t *testing.T) {
	valid := true
	table := New(Config{Seed: 1, PartsValid: func(time.Time) bool { return valid }})
	all := coldFleet(2, 1, 1)
	table.SetBackends(all, start)
	q := Query{Service: "m", Version: "1", PromptTokens: 100, Exclude: []string{all[1].ID}}
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	sent := 0
	for ms := 0; ms <= 12_500; ms += 10 {
		for range 3 {
			if c, err := table.Pick(q, at(ms)); err == nil && table.TakeTurn(c, at(ms)) {
				sent++
			}
		}
	}
	if sent != 11 {
		t.Errorf("%d requests in the 11 s after the first 1.5 s at 1 a second, want 11", sent)
	}
	choice, err := table.Pick(q, at(20_000))
	if err != nil {
		t.Fatal(err)
	}
	valid = false
	if _, err := table.Pick(q, at(20_000)); !errors.Is(err, ErrExcluded) {
		t.Errorf("picked without a valid part, %v", err)
	}
	if table.TakeTurn(choice, at(20_000)) {
		t.Error("a request is sent without a valid part")
	}
	if _, err := table.Pick(Query{Service: "m", Version: "1"}, at(20_000)); err != nil {
		t.Errorf("no warm server is picked without a valid part, %v", err)
	}
	valid = true
	all[0].Incarnation++
	table.SetBackends(all, at(20_000))
	if table.TakeTurn(choice, at(20_000)) {
		t.Error("a request is sent to a cold server that has restarted since it was picked")
	}
	all[0].Cold = false
	table.SetBackends(all, at(20_000))
	if c, err := table.Pick(q, at(20_000)); err != nil || !table.TakeTurn(c, at(20_000)) || !table.TakeTurn(c, at(20_000)) {
		t.Errorf("a warm server is limited, %v", err)
	}
}

// Guards against prompts that are sent to a server for a cache that it has lost, and against a
// cold server that stays idle beside warm ones.
func TestColdPlacement(t *testing.T) {
	table := New(Config{Seed: 1})
	table.SetBackends(fleet(4), start)
	prompt := promptBlocks(1, 64)
	table.AddCached("e0000", prompt)
	q := Query{Service: "m", Version: "1", Prefix: prompt, PromptTokens: 64 * 256}
	if c, err := table.Pick(q, start); err != nil || c.Backend.ID != "e0000" {
		t.Fatalf("picked %s, %v", c.Backend.ID, err)
	}
	table.SetBackends(coldFleet(4, 1, 2), start)
	later := start.Add(time.Minute)
	if c, err := table.Pick(q, later); err != nil || c.CachedTokens > 0 {
		t.Errorf("%d tokens are expected in the cache of %s, %v", c.CachedTokens, c.Backend.ID, err)
	}
	sent := map[string]int{}
	for i := range 400 {
		now := later.Add(time.Duration(i) * 50 * time.Millisecond)
		c, err := table.Pick(Query{Service: "m", Version: "1", PromptTokens: 100}, now)
		if err != nil || !table.TakeTurn(c, now) {
			t.Fatalf("no server is picked, %v", err)
		}
		sent[c.Backend.ID]++
	}
	if n := sent["e0000"]; n < 4 || n > 41 {
		t.Errorf("the cold server got %d of 400 requests in 20 s at 2 a second", n)
	}
}

// Guards against a cold server that is ejected because it is slow: it would stay cold, and
// other servers would count as fast by comparison with it.
func TestColdServerIsNotEjected(t *testing.T) {
	table := New(Config{Seed: 1})
	for _, cold := range []int{1, 0} {
		table.SetBackends(coldFleet(4, cold, 2), start)
		for range 3 * minSlowSamples {
			for i, b := range fleet(4) {
				took := 100 * time.Millisecond
				if i == 0 {
					took = 3 * time.Second
				}
				table.FirstToken(Choice{Backend: b, Cost: table.cost(b.ID, nil)}, took, start)
			}
		}
		if ejected := table.servers["e0000"].health.ejected(); ejected != (cold == 0) {
			t.Errorf("%d cold servers: the slow one is ejected: %v", cold, ejected)
		}
	}
}

// Guards against callers that are refused together and return together when all servers are
// cold, and against requests that wait for a server that another request will get.
func TestAllServersCold(t *testing.T) {
	table := New(Config{Seed: 1})
	table.SetBackends(coldFleet(3, 3, 0), start)
	first, last := start.Add(time.Hour), start
	for range 200 {
		q := Query{Service: "m", Version: "1"}
		if _, err := table.Pick(q, start); !errors.Is(err, ErrExcluded) {
			t.Fatalf("%v, want ErrExcluded", err)
		}
		o, ok := table.NextOpening(q, start)
		if !ok || !o.Limited {
			t.Fatalf("opening %+v, %v", o, ok)
		}
		if o.At.Before(first) {
			first = o.At
		}
		if o.At.After(last) {
			last = o.At
		}
	}
	if first.Before(start.Add(otherInstanceDelay)) || last.Sub(first) < coldRetrySpread*8/10 {
		t.Errorf("200 callers return between %v and %v", first.Sub(start), last.Sub(start))
	}
}
