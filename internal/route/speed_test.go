package route

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/world"
)

// choices replays a seeded history and returns a hash of all choices. prepare is called for each
// query, and observe for each response.
func choices(seed uint64, prepare func(*Query), observe func(*Table, string, time.Time)) string {
	rnd, hash := rand.New(rand.NewPCG(seed, 5)), fnv.New64a()
	tab := New(Config{Seed: seed})
	servers := make([]world.Backend, 12)
	for i := range servers {
		servers[i] = world.Backend{ID: fmt.Sprint("e", i), Incarnation: 1, Service: "m", Versions: []string{"1"}, State: world.Ready, Slots: 4, Price: 1, DataCentre: fmt.Sprint(i % 3)}
		servers[i].CacheBlocks = 300
	}
	tab.SetBackends(servers, start)
	type running struct {
		choice Choice
		sent   time.Time
	}
	var inFlight []running
	now := start
	for range 2000 {
		now = now.Add(time.Duration(rnd.IntN(30)) * time.Millisecond)
		switch rnd.IntN(5) {
		case 0, 1:
			class := world.Class(rnd.IntN(3))
			q := Query{Service: "m", Version: "1", Class: class, DataCentre: "1", PromptTokens: 1500, MaxTokens: 60, Prefix: promptBlocks(rnd.IntN(9), 20)}
			if class == world.Review {
				q.PromptTokens, q.MaxTokens, q.Prefix, q.AffinityKey = 17000, 300, promptBlocks(20+rnd.IntN(9), 200), rnd.Uint64()
				q.FetchPerToken = time.Microsecond
			}
			prepare(&q)
			c, err := tab.Pick(q, now)
			if err != nil {
				_, _ = fmt.Fprintln(hash, err)
				continue
			}
			_, _ = fmt.Fprintln(hash, c.Backend.ID, c.Expected.Milliseconds(), c.CachedTokens, c.FetchTokens, c.Source.ID)
			tab.Started(c.Backend.ID, c.Cost, now)
			inFlight = append(inFlight, running{c, now})
		case 2:
			if len(inFlight) > 0 {
				r := inFlight[rnd.IntN(len(inFlight))]
				tab.FirstToken(r.choice, now.Sub(r.sent), now)
				observe(tab, r.choice.Backend.ID, now)
			}
		case 3:
			if len(inFlight) > 0 {
				r := inFlight[0]
				inFlight = inFlight[1:]
				tab.Ended(r.choice.Backend.ID, Result{Cost: r.choice.Cost, Failed: rnd.IntN(40) == 0, Duration: now.Sub(r.sent)}, now)
			}
		default:
			id := fmt.Sprint("e", rnd.IntN(len(servers)))
			tab.Report(id, world.Load{Running: rnd.IntN(5), WaitingTokens: rnd.IntN(9000), PrefillPerToken: 21 * time.Microsecond, MeasuredAt: now.Add(-time.Duration(rnd.IntN(300)) * time.Millisecond)}, now)
			if rnd.IntN(20) == 0 {
				tab.SetBackends(servers, now)
			}
		}
	}
	return fmt.Sprintf("%016x", hash.Sum64())
}

// Guards against other choices for services whose servers state no pace: with the header's three
// figures, targets and another service that states its pace, all are those of the program before
// pace was used, of which the hashes were recorded.
func TestChoicesWithoutPace(t *testing.T) {
	recorded := []string{"a90d275dc966ae18", "ad0fed2b17367f0c", "ba0b59b24c63c237", "3a2969e44a40b763", "4b7321771a4c8552", "d4f4edb316f8bcd3", "474d37cf385f9a2b", "41cf38123f9a5ff0"}
	for seed, want := range recorded {
		plain := choices(uint64(seed), func(*Query) {}, func(*Table, string, time.Time) {})
		other := choices(uint64(seed), func(q *Query) { q.Target, q.SharedTokens = 500*time.Millisecond, 1000 }, func(tab *Table, id string, now time.Time) {
			tab.Observe(id, 1, Observation{Running: 3, Waiting: 2, Slots: 4}, now)
			tab.ObservePace(id, 0, now)
			tab.mu.Lock()
			tab.enablePace("another")
			tab.mu.Unlock()
		})
		if plain != want || other != want {
			t.Errorf("seed %d: choices %s, with the header's three figures %s, want %s", seed, plain, other, want)
		}
	}
	paced := choices(0, func(*Query) {}, func(tab *Table, id string, now time.Time) {
		tab.Observe(id, 1, Observation{Running: 3, Slots: 4, Pace: 2}, now)
	})
	if paced == recorded[0] {
		t.Error("the history does not show differences")
	}
}

// Guards against state of a server's estimates that outlives a request or an incarnation, and
// against figures of an earlier incarnation.
func TestWorkState(t *testing.T) {
	tab, now := New(Config{}), start
	b := world.Backend{ID: "e", Incarnation: 2, Service: "m", Versions: []string{"1"}, State: world.Ready, Slots: 4}
	tab.SetBackends([]world.Backend{b}, now)
	tab.Observe("e", 1, Observation{Pace: 2}, now)
	if tab.servers["e"].work != nil {
		t.Fatal("a figure of an earlier incarnation counts")
	}
	tab.Observe("e", 2, Observation{Pace: 2}, now)
	q := Query{Service: "m", Version: "1", Class: world.Review, PromptTokens: 1000, Target: time.Second}
	var sent []Choice
	for range 4 {
		c, err := tab.Pick(q, now)
		if err != nil {
			t.Fatal(err)
		}
		tab.Started("e", c.Cost, now)
		sent = append(sent, c)
	}
	s := tab.servers["e"]
	if s.work.ownTokens != 4000 || sent[3].Reason.Wait <= sent[0].Reason.Wait || sent[0].Reason.Pace != 2 {
		t.Errorf("%d tokens pending, reasons %+v, %+v", s.work.ownTokens, sent[0].Reason, sent[3].Reason)
	}
	for i, c := range sent {
		if i%2 == 0 {
			tab.FirstToken(c, 100*time.Millisecond, now)
		}
		tab.Ended("e", Result{Cost: c.Cost, Duration: time.Second}, now)
	}
	if s.work.ownTokens != 0 || len(s.work.own) != 0 || s.prefillUntil.After(now) {
		t.Errorf("%d tokens pending after all requests have ended", s.work.ownTokens)
	}
	b.Incarnation = 3
	tab.SetBackends([]world.Backend{b}, now)
	if got := tab.servers["e"].factor(now); got != 1 {
		t.Errorf("pace %v after a restart, want 1", got)
	}
	b.Incarnation, b.Service = 3, "plain"
	tab.SetBackends([]world.Backend{b}, now)
	if _, err := tab.Pick(Query{Service: "plain", Version: "1"}, now); err != nil {
		t.Error(err)
	}
}

// Guards against calls without a prompt that go to slowed servers while others are free.
func TestCallsAvoidSlowServers(t *testing.T) {
	tab, now := New(Config{}), start
	var servers []world.Backend
	for i := range 4 {
		servers = append(servers, world.Backend{ID: fmt.Sprint("e", i), Service: "p", Versions: []string{"1"}, State: world.Ready, Slots: 6})
	}
	tab.SetBackends(servers, now)
	slow := 0
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		tab.ObservePace("e0", 2.5, now)
		tab.ObservePace("e1", 1, now)
		c, err := tab.Pick(Query{Service: "p", Version: "1", Class: world.Call, Target: 300 * time.Millisecond}, now)
		if err != nil {
			t.Fatal(err)
		}
		if c.Backend.ID == "e0" {
			slow++
		}
		tab.Started(c.Backend.ID, c.Cost, now)
		tab.Ended(c.Backend.ID, Result{Cost: c.Cost, Duration: 80 * time.Millisecond}, now)
	}
	if slow > 20 {
		t.Errorf("%d of 200 calls went to the slow server", slow)
	}
}

func BenchmarkPickPaced(b *testing.B) {
	for _, n := range []int{10, 94, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tab := New(Config{})
			tab.SetBackends(fleet(n), start)
			for i := range n {
				id := fmt.Sprintf("e%04d", i)
				tab.Report(id, world.Load{Running: i % 8, MeasuredAt: start}, start)
				tab.ObservePace(id, 1+float64(i%3)/2, start)
				tab.Started(id, tab.cost(id, promptBlocks(i%50, 400)), start)
			}
			q := Query{Service: "m", Version: "1", Class: world.Review, PromptTokens: 6400, MaxTokens: 300, Prefix: promptBlocks(3, 500), Target: time.Second, SharedTokens: 5000}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := tab.Pick(q, start); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
