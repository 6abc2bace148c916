package route

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/world"
)

var start = time.Unix(1_800_000_000, 0)

func fleet(n int) []world.Backend {
	out := make([]world.Backend, n)
	for i := range out {
		out[i] = world.Backend{
			ID: fmt.Sprintf("e%04d", i), Service: "m", Versions: []string{"1", "2"}[:1+i%2], Adapters: []string{"x", "y"}[:i%3],
			DataCentre: fmt.Sprint(i % 4), State: world.Ready, Slots: 8, Price: 1 + float64(i%3), CacheBlocks: 1 << 14,
		}
	}
	return out
}

// cost returns the Cost that Pick would return for the server.
func (t *Table) cost(id string, prefix []uint64) Cost {
	return Cost{Prefix: prefix, server: t.servers[id].num}
}

func promptBlocks(doc, blocks int) []uint64 {
	out := make([]uint64, blocks)
	for i := range out {
		out[i] = uint64(doc<<20+i) * 0x9E3779B97F4A7C15
	}
	return out
}

// naiveRouter keeps every event and scores every server.
type naiveRouter struct {
	events map[string][]naiveChange
	cached map[string]map[uint64]bool
	load   map[string]world.Load
	busy   map[string]time.Time
}

type naiveChange struct {
	at     time.Time
	delta  int
	review bool
}

// score implements the documented formula; only the smoothed means come from the table.
func (p *naiveRouter) score(g *group, s *server, q Query, now time.Time) float64 {
	own, before, reviews := 0, 0, 0
	for _, e := range p.events[s.backend.ID] {
		own += e.delta
		if e.review {
			reviews += e.delta
		}
		if !e.at.After(p.load[s.backend.ID].MeasuredAt) {
			before += e.delta
		}
	}
	load, seen := p.load[s.backend.ID]
	others, trust := s.group.otherLoad, 0.0
	if seen {
		trust = math.Exp(-now.Sub(load.MeasuredAt).Seconds() / reportDecaySeconds)
		others = trust*float64(max(load.Running+load.Waiting-before, 0)) + (1-trust)*s.group.otherLoad
	}
	perToken := defaultPrefillPerToken.Seconds()
	if load.PrefillPerToken > 0 {
		perToken = load.PrefillPerToken.Seconds()
	}
	all, slots := float64(own)+others, float64(s.backend.Slots)
	d := fullBatchSeconds*min(all/slots, 1) + max(p.busy[s.backend.ID].Sub(now).Seconds(), 0)
	if all >= slots {
		d += (all - slots + 1) * defaultRequestSeconds / slots
	}
	d += float64(load.Waiting) * s.group.avgPrefillTokens * perToken * trust
	if s.backend.DataCentre != q.DataCentre {
		d += 2 * defaultDelay.Seconds()
	}
	hit := 0
	for hit < len(q.Prefix) && p.cached[s.backend.ID][q.Prefix[hit]] {
		hit++
	}
	uncached := q.PromptTokens - int(float64(hit)/float64(max(len(q.Prefix), 1))*float64(q.PromptTokens))
	d += prefillWeight*float64(uncached)*perToken - s.affinityBonus(g, &q)
	d += pricePenaltySeconds[q.Class] * (s.backend.Price/g.meanPrice - 1)
	side := g.reviewShare >= 0.01 && s.partition < min(g.reviewShare, maxReviewShare)
	if q.Class == world.Review && !side && g.reviewShare >= 0.01 {
		d += reviewPartitionSeconds
	}
	if q.Class != world.Review && side {
		d += lookupPartitionSeconds + reviewPartitionSeconds*float64(reviews)/slots
	}
	return d
}

// Guards against optimisations in Pick that lose outstanding work, cached prefixes or a
// better server: without noise, Pick must find the same best score as an exhaustive
// router.
func TestPickAgainstNaive(t *testing.T) {
	for seed := range uint64(60) {
		rnd := rand.New(rand.NewPCG(seed, 4))
		tab, servers := New(Config{Seed: seed}), fleet(5+rnd.IntN(60))
		tab.noise = 0
		tab.SetBackends(servers, start)
		p := &naiveRouter{events: map[string][]naiveChange{}, cached: map[string]map[uint64]bool{}, load: map[string]world.Load{}, busy: map[string]time.Time{}}
		var running []Choice
		for step := range 300 {
			now := start.Add(time.Duration(step) * 20 * time.Millisecond)
			b := servers[rnd.IntN(len(servers))]
			switch rnd.IntN(4) {
			case 0:
				l := world.Load{Running: rnd.IntN(12), Waiting: rnd.IntN(3), PrefillPerToken: time.Duration(100+rnd.IntN(100)) * time.Microsecond, MeasuredAt: now.Add(-time.Duration(rnd.IntN(200)) * time.Millisecond)}
				if old, ok := p.load[b.ID]; !ok || l.MeasuredAt.After(old.MeasuredAt) {
					p.load[b.ID] = l
				}
				tab.Report(b.ID, l, now)
			case 1:
				if len(running) > 0 {
					c := running[0]
					running = running[1:]
					tab.Ended(c.Backend.ID, Result{Cost: c.Cost, Failed: false, Duration: 2 * time.Second}, now)
					p.events[c.Backend.ID] = append(p.events[c.Backend.ID], naiveChange{now, -1, c.Cost.Class == world.Review})
				}
			default:
				blocks := 1 + rnd.IntN(100)
				q := Query{Service: "m", Version: "1", Class: world.Class(rnd.IntN(3)), DataCentre: fmt.Sprint(rnd.IntN(4)), Prefix: promptBlocks(rnd.IntN(6), blocks), PromptTokens: blocks * 16, MaxTokens: 50}
				c, err := tab.Pick(q, now)
				if err != nil {
					t.Fatalf("seed %d: %v", seed, err)
				}
				p.check(t, seed, tab, q, c, now)
				tab.Started(c.Backend.ID, c.Cost, now)
				p.started(tab, c, now)
				running = append(running, c)
			}
		}
	}
}

func (p *naiveRouter) check(t *testing.T, seed uint64, tab *Table, q Query, c Choice, now time.Time) {
	t.Helper()
	g := tab.groups[groupKey{q.Service, q.Version}]
	best := math.Inf(1)
	for _, s := range g.servers {
		best = min(best, p.score(g, s, q, now))
	}
	if got := p.score(g, tab.servers[c.Backend.ID], q, now); got > best+1e-6 {
		t.Fatalf("seed %d: picked score %.6f, best is %.6f", seed, got, best)
	}
}

func (p *naiveRouter) started(tab *Table, c Choice, now time.Time) {
	id := c.Backend.ID
	p.events[id] = append(p.events[id], naiveChange{now, 1, c.Cost.Class == world.Review})
	if p.busy[id].Before(now) {
		p.busy[id] = now
	}
	p.busy[id] = p.busy[id].Add(time.Duration(c.Cost.UncachedTokens) * tab.servers[id].perToken())
	if p.cached[id] == nil {
		p.cached[id] = map[uint64]bool{}
	}
	for _, h := range c.Cost.Prefix {
		p.cached[id][h] = true
	}
}

// Guards against a prefix map that differs from the server's cache after duplicated,
// overlapping and reordered events, that misses a gap, or that exceeds its limit.
func TestCacheAgainstNaive(t *testing.T) {
	for seed := range uint64(500) {
		rnd := rand.New(rand.NewPCG(seed, 5))
		limit := 4000
		c, want := newCache(limit), map[uint64]bool{}
		var sent []world.CacheEvents
		seq := rnd.Uint64N(100)
		c.apply(world.CacheEvents{From: seq, Full: true})
		seq++
		for range 100 {
			ev := world.CacheEvents{From: seq}
			for range rnd.IntN(8) {
				h := rnd.Uint64N(500) + 1
				ev.Added, want[h] = append(ev.Added, h), true
			}
			for h := range want {
				if rnd.IntN(20) == 0 {
					ev.Removed = append(ev.Removed, h)
					delete(want, h)
				}
			}
			seq = ev.Next()
			sent = append(sent, ev)
			if rnd.IntN(20) == 0 {
				seq += 3 // lost events
				lost := world.CacheEvents{From: seq}
				if lost.Added = []uint64{1}; len(c.apply(lost)) != 1 || !c.incomplete {
					t.Fatalf("seed %d: gap not detected", seed)
				}
				full := world.CacheEvents{From: lost.Next(), Full: true}
				for h := range want {
					full.Added = append(full.Added, h)
				}
				sent, seq = append(sent[:0], full), full.Next()
			}
			for _, i := range append(rnd.Perm(len(sent))[:1], len(sent)-1, len(sent)-1) {
				c.apply(sent[i])
			}
			for h := uint64(1); h <= 500; h++ {
				if c.has(h) != want[h] {
					t.Fatalf("seed %d: block %d cached %v, want %v", seed, h, c.has(h), want[h])
				}
			}
		}
		if c.incomplete {
			t.Fatalf("seed %d: map is incomplete without a gap", seed)
		}
		for h := range uint64(3 * limit) {
			c.add(h + 1000)
		}
		if c.blocks() > limit || !c.has(uint64(3*limit)+999) {
			t.Fatalf("seed %d: %d blocks kept of at most %d", seed, c.blocks(), limit)
		}
		p := promptBlocks(1, 1+rnd.IntN(300))
		n := rnd.IntN(len(p) + 1)
		c = newCache(1000)
		for _, h := range p[:n] {
			c.add(h)
		}
		if got := c.prefix(p); got != n {
			t.Fatalf("seed %d: prefix of %d blocks, want %d", seed, got, n)
		}
	}
}

// Guards against requests sent to servers that are leaving, excluded, without the
// version or the adapter, or that leave before the request would end, and against
// a Resync that asks a server too often or never.
func TestPickOnlyAllowed(t *testing.T) {
	for seed := range uint64(300) {
		rnd := rand.New(rand.NewPCG(seed, 6))
		tab, servers := New(Config{Seed: seed}), fleet(1+rnd.IntN(200))
		for i := range servers {
			servers[i].State = world.State(rnd.IntN(4))
			if rnd.IntN(3) == 0 {
				servers[i].LeaveBy = start.Add(time.Second)
			}
		}
		tab.SetBackends(servers, start)
		q := Query{Service: "m", Version: "2", Adapter: "x", MaxTokens: 100, Exclude: []string{servers[0].ID, servers[len(servers)/2].ID}, Prefix: promptBlocks(1, 64), PromptTokens: 1000}
		for _, s := range servers {
			tab.Started(s.ID, tab.cost(s.ID, q.Prefix), start) // the block index must not bypass the eligibility check
		}
		mayRun := func(b world.Backend) bool {
			return b.State == world.Ready && b.Runs("2") && slices.Contains(b.Adapters, "x") && !slices.Contains(q.Exclude, b.ID) && b.LeaveBy.IsZero()
		}
		for range 20 {
			c, err := tab.Pick(q, start)
			if any := slices.ContainsFunc(servers, mayRun); (err == nil) != any && len(servers) <= fullScanServers {
				t.Fatalf("seed %d: %v, want a server: %v", seed, err, any)
			}
			if err == nil && !mayRun(c.Backend) {
				t.Fatalf("seed %d: picked %+v", seed, c.Backend)
			}
		}
	}
	tab := New(Config{})
	tab.SetBackends(fleet(1), start)
	tab.Cache("e0000", world.CacheEvents{From: 7, Added: []uint64{1}}, start)
	if a, b := tab.Resync(start), tab.Resync(start.Add(time.Second)); len(a) != 1 || len(b) != 0 {
		t.Fatalf("resync of %v, then of %v", a, b)
	}
	if _, err := tab.Pick(Query{Service: "none"}, start); !errors.Is(err, ErrNoServer) {
		t.Fatalf("got %v", err)
	}
}

// Guards against ejecting a whole group, sending requests to an ejected server, never
// probing an ejected server, and many instances picking the same idle server.
func TestEjectionAndHerd(t *testing.T) {
	tab := New(Config{Seed: 1})
	tab.SetBackends(fleet(10), start)
	for i := range 10 {
		for range maxConsecutiveFailures {
			id := fmt.Sprintf("e%04d", i)
			tab.Started(id, tab.cost(id, nil), start)
			tab.Ended(id, Result{Cost: tab.cost(id, nil), Failed: true}, start)
		}
	}
	q := Query{Service: "m", Version: "1"}
	pickCounts := func(now time.Time) map[string]int {
		n := map[string]int{}
		for range 500 {
			c, _ := tab.Pick(q, now)
			n[c.Backend.ID]++
		}
		return n
	}
	if n := pickCounts(start); len(n) != 7 || n["e0000"] != 0 {
		t.Fatalf("%v used, want the 7 servers beyond the ejection limit", n)
	}
	later := start.Add(initialEjection)
	if n := pickCounts(later); n["e0000"] == 0 {
		t.Fatal("not probed after the ejection")
	}
	probe := tab.cost("e0000", nil)
	tab.Started("e0000", probe, later)
	if n := pickCounts(later); n["e0000"] != 0 {
		t.Fatal("second request while the probe is in flight")
	}
	tab.Ended("e0000", Result{Cost: probe, Duration: time.Second}, later)
	if n := pickCounts(later); n["e0000"] == 0 {
		t.Fatal("not used after the probe succeeded")
	}
	picked := map[string]int{}
	for instance := range uint64(100) {
		tab := New(Config{Seed: instance})
		tab.SetBackends(fleet(10), start)
		for i := range 10 {
			tab.Report(fmt.Sprintf("e%04d", i), world.Load{Running: min(i, 1) * 2, MeasuredAt: start}, start.Add(time.Second))
		}
		c, _ := tab.Pick(q, start.Add(time.Second))
		picked[c.Backend.ID]++
	}
	if picked["e0000"] > 50 || len(picked) < 5 {
		t.Fatalf("100 instances picked %v, want at most 50 on the idle e0000", picked)
	}
}

// Guards against requests on a lost incarnation, or from before the server was removed
// from the table, changing the outstanding requests or failures of the current entry.
func TestLostIncarnation(t *testing.T) {
	q := Query{Service: "m", Version: "1", Class: world.Review}
	for name, lose := range map[string]func(tab *Table, b world.Backend){
		"restarted": func(tab *Table, b world.Backend) {
			b.Incarnation++
			tab.SetBackends([]world.Backend{b}, start)
		},
		"away": func(tab *Table, b world.Backend) {
			tab.SetBackends(nil, start)
			tab.SetBackends([]world.Backend{b}, start)
		},
	} {
		tab, servers := New(Config{}), fleet(1)
		tab.SetBackends(servers, start)
		var old []Choice
		for range maxConsecutiveFailures + 1 {
			c, err := tab.Pick(q, start)
			if err != nil {
				t.Fatal(err)
			}
			old = append(old, c)
			if len(old) > 1 {
				tab.Started(c.Backend.ID, c.Cost, start)
			}
		}
		lose(tab, servers[0])
		tab.Started(old[0].Backend.ID, old[0].Cost, start) // picked before the loss
		c, err := tab.Pick(q, start)
		if err != nil {
			t.Fatal(err)
		}
		tab.Started(c.Backend.ID, c.Cost, start)
		for _, o := range old[1:] {
			tab.Ended(o.Backend.ID, Result{Cost: o.Cost, Failed: true}, start)
		}
		s := tab.servers["e0000"]
		if s.outstanding != 1 || s.outstandingReviews != 1 || s.health.consecutiveFailures != 0 {
			t.Errorf("%s: %d own requests, %d reviews, %d failures; want 1, 1, 0", name, s.outstanding, s.outstandingReviews, s.health.consecutiveFailures)
		}
		tab.Ended(c.Backend.ID, Result{Cost: c.Cost}, start)
		if s.outstanding != 0 || s.outstandingReviews != 0 {
			t.Errorf("%s: %d own requests and %d reviews after the end", name, s.outstanding, s.outstandingReviews)
		}
	}
}

// Guards against sending all new prompts with a common system prompt to one server, and
// against instances that send the same new prompt, or the next turn of a conversation,
// to different servers.
func TestPromptAffinity(t *testing.T) {
	for _, c := range []struct{ servers, documents, minUsed int }{{20, 60, 15}, {300, 300, 180}} {
		servers := fleet(c.servers)
		for i := range servers {
			servers[i].Price, servers[i].DataCentre = 1, "0"
		}
		serversUsed := map[string]int{}
		for doc := range c.documents {
			picked := map[string]bool{}
			for instance := range uint64(5) {
				tab := New(Config{Seed: instance})
				tab.noise = 0
				tab.SetBackends(servers, start)
				blocks := 180 + int(instance)
				choice, err := tab.Pick(Query{
					Service: "m", Version: "1", Class: world.Review, DataCentre: "0", PromptTokens: 16 * blocks,
					Prefix: append(promptBlocks(0, 48), promptBlocks(1+doc, blocks-48)...),
				}, start)
				if err != nil {
					t.Fatal(err)
				}
				picked[choice.Backend.ID] = true
				serversUsed[choice.Backend.ID]++
			}
			if len(picked) != 1 {
				t.Fatalf("%d servers: document %d was sent to %v by instances without reports, want one server", c.servers, doc, picked)
			}
		}
		if len(serversUsed) < c.minUsed {
			t.Fatalf("%d documents with a common system prompt use %d of %d servers, want %d: %v", c.documents, len(serversUsed), c.servers, c.minUsed, serversUsed)
		}
	}
}

// Guards against replays of streams that could finish or be exported, exports that take
// longer than the notice, and replays that start all at once, out of order or never.
func TestReclaim(t *testing.T) {
	src := Source{DecodePerToken: 30 * time.Millisecond, LeaveBy: start.Add(10 * time.Second), BytesPerSecond: 1e9}
	dst := Target{PrefillPerToken: time.Millisecond, CanImport: true}
	tests := []struct {
		r    Stream
		dst  Target
		want Action
	}{
		{Stream{Remaining: 200, Prompt: 9000}, dst, Finish},
		{Stream{Remaining: 300, Prompt: 9000, KVBytes: 1e9}, dst, Export},
		{Stream{Remaining: 300, Prompt: 9000, KVBytes: 2e10}, dst, Replay},
		{Stream{Remaining: 300, Prompt: 100, KVBytes: 1e9}, dst, Replay},
		{Stream{Remaining: 300, Prompt: 9000, KVBytes: 1e9}, Target{PrefillPerToken: time.Millisecond}, Replay},
		{Stream{Remaining: 300, Prompt: 9000, KVBytes: 1e9}, Target{PrefillPerToken: time.Millisecond, CanImport: true, Cached: 8900}, Replay},
	}
	for i, tt := range tests {
		if p := Decide(tt.r, src, tt.dst, 0, start); p.Action != tt.want {
			t.Errorf("case %d: %v, want %v", i, p.Action, tt.want)
		}
	}
	var all []Stream
	for i := range 20 {
		all = append(all, Stream{ID: fmt.Sprint(i), Class: world.Class(i % 3), Remaining: 9999, Prompt: 5000 + 100*i, KVBytes: 1e9})
	}
	plans := DecideAll(all, src, func(Stream) Target { return dst }, start)
	exports := 0
	var p Pacer
	for _, plan := range plans {
		if plan.Action == Export {
			exports++
		}
		i := slices.IndexFunc(all, func(r Stream) bool { return r.ID == plan.ID })
		p.Add(all[i], 100*time.Millisecond, start)
	}
	if exports != 9 || plans[0].ID != "19" {
		t.Fatalf("%d exports, first %s; want 9 exports of 1 s, longest prompts first", exports, plans[0].ID)
	}
	var order []string
	for now := start; p.Waiting() > 0; now = now.Add(10 * time.Millisecond) {
		order = append(order, p.Next(1, now)...)
		if allowed := 4 + int(now.Sub(start)/(200*time.Millisecond)); len(order) > allowed {
			t.Fatalf("%d replays after %v", len(order), now.Sub(start))
		}
	}
	for i, id := range order {
		var n int
		_, _ = fmt.Sscan(id, &n)
		if want := []int{7, 14, 20}[n%3]; i >= want {
			t.Fatalf("stream %s of class %d is at position %d of %v", id, n%3, i, order)
		}
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 3700} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tab := New(Config{})
			tab.SetBackends(fleet(n), start)
			for i := range n {
				id := fmt.Sprintf("e%04d", i)
				tab.Report(id, world.Load{Running: i % 8, MeasuredAt: start}, start)
				tab.Started(id, tab.cost(id, promptBlocks(i%50, 400)), start)
			}
			q := Query{Service: "m", Version: "1", Class: world.Review, PromptTokens: 6400, MaxTokens: 300, Prefix: promptBlocks(3, 500)}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := tab.Pick(q, start); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkMemory(b *testing.B) {
	const servers, blocks = 3700, 1000
	heap := func() float64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for b.Loop() {
		list := fleet(servers)
		before := heap()
		tab := New(Config{})
		tab.SetBackends(list, start)
		for _, s := range list {
			for range maxChanges {
				tab.Started(s.ID, tab.cost(s.ID, nil), start)
			}
		}
		bare := heap()
		for i, s := range list {
			tab.Cache(s.ID, world.CacheEvents{Full: true, Added: promptBlocks(i, blocks)}, start)
		}
		full := heap()
		b.ReportMetric((bare-before)/servers, "B/server")
		b.ReportMetric((full-bare)/servers/blocks, "B/block")
		runtime.KeepAlive(tab)
	}
}
