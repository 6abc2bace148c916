package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/world"
)

// The model: engines prefill one prompt after the other and decode up to their
// slots at once; each node decides for itself, and reports and cache events
// reach it late. It compares policies, and says nothing about real engines.
const (
	simEngines  = 10
	simNodes    = 10
	simSlots    = 16
	simPerToken = 200 * time.Microsecond
	simDecode   = 20 * time.Millisecond
	simReport   = time.Second // between reports
	simLag      = 500 * time.Millisecond
	simBlocks   = 6000 // cache of an engine
)

type simEngine struct {
	slots   []time.Time // when each is free
	prefill time.Time   // when the prefill unit is free
	cached  map[uint64]int
	order   []uint64
	seq     uint64
	added   []uint64
	removed []uint64
}

func (e *simEngine) run(q Query, now time.Time) (first, end time.Time, recomputed int) {
	slot := 0
	for i := range e.slots {
		if e.slots[i].Before(e.slots[slot]) {
			slot = i
		}
	}
	begin := later(now, e.slots[slot], e.prefill)
	hit := 0
	for hit < len(q.Prefix) && e.cached[q.Prefix[hit]] > 0 {
		hit++
	}
	recomputed = q.PromptTokens - hit*q.PromptTokens/max(len(q.Prefix), 1)
	first = begin.Add(time.Duration(recomputed) * simPerToken)
	e.prefill = first
	end = first.Add(time.Duration(q.MaxTokens) * simDecode)
	e.slots[slot] = end
	for i, h := range q.Prefix {
		if e.cached[h] == 0 && i >= hit {
			e.added = append(e.added, h)
		}
		e.cached[h] = len(e.order) + 1
		e.order = append(e.order, h)
	}
	for i := 0; len(e.cached) > simBlocks; i++ {
		h := e.order[i]
		if e.cached[h] == i+1 {
			delete(e.cached, h)
			e.removed = append(e.removed, h)
		}
		e.order[i] = 0
	}
	return first, end, recomputed
}

func later(ts ...time.Time) time.Time {
	return slices.MaxFunc(ts, time.Time.Compare)
}

type simEvent struct {
	at time.Time
	do func()
}

// simulate returns the 95th percentile of the time to first token of lookups and
// reviews, and the prompt tokens computed although an engine could have had them.
func simulate(policy string, seed uint64, perSecond float64) (lookup, review time.Duration, recomputed int) {
	rnd := rand.New(rand.NewPCG(seed, 3))
	engines := make([]*simEngine, simEngines)
	backends := make([]world.Backend, simEngines)
	for i := range engines {
		engines[i] = &simEngine{slots: make([]time.Time, simSlots), cached: map[uint64]int{}}
		backends[i] = world.Backend{ID: fmt.Sprint("e", i), Service: "m", Versions: []string{"1"}, State: world.Ready, Slots: simSlots, Price: 1, CacheBlocks: simBlocks, DataCentre: fmt.Sprint(i % 4)}
	}
	tables := make([]*Table, simNodes)
	for i := range tables {
		tables[i] = New(Config{Seed: seed*100 + uint64(i)})
		tables[i].Set(backends, start)
	}
	var events []simEvent
	at := func(when time.Time, do func()) {
		i, _ := slices.BinarySearchFunc(events, when, func(e simEvent, w time.Time) int { return e.at.Compare(w) })
		events = slices.Insert(events, i, simEvent{when, do})
	}
	running, waiting := make([]int, simEngines), make([]int, simEngines)
	reported := make([][simEngines]int, simNodes)
	outstanding := make([][simEngines]int, simNodes)
	turn := make([]int, simNodes)
	var firsts [2][]time.Duration
	best := 0
	docs := map[int]bool{}
	request := func(now time.Time) {
		node := rnd.IntN(simNodes)
		q, doc, fresh := simQuery(rnd)
		q.DataCenter = fmt.Sprint(node % 4)
		if docs[doc] {
			best += fresh
		} else {
			best += q.PromptTokens
			docs[doc] = true
		}
		var e int
		var choice Choice
		switch policy {
		case "round robin":
			turn[node]++
			e = turn[node] % simEngines
		case "least outstanding":
			e = rnd.IntN(simEngines)
			for i := range simEngines {
				if reported[node][i]+outstanding[node][i] < reported[node][e]+outstanding[node][e] {
					e = i
				}
			}
		default:
			choice, _ = tables[node].Pick(q, now)
			_, _ = fmt.Sscanf(choice.Backend.ID, "e%d", &e)
			tables[node].Started(choice.Backend.ID, choice.Cost, now)
		}
		outstanding[node][e]++
		first, end, again := engines[e].run(q, now)
		recomputed += again
		kind := 0
		if q.Class == world.Review {
			kind = 1
		}
		firsts[kind] = append(firsts[kind], first.Sub(now))
		waiting[e]++
		at(first, func() {
			waiting[e]--
			running[e]++
			if choice.Backend.ID != "" {
				tables[node].FirstToken(choice, first.Sub(now), first)
			}
		})
		at(end, func() {
			running[e]--
			outstanding[node][e]--
			if choice.Backend.ID != "" {
				tables[node].Ended(choice.Backend.ID, Result{Cost: choice.Cost, Took: end.Sub(now)}, end)
			}
		})
	}
	report := func(now time.Time) {
		for i, e := range engines {
			load := world.Load{Running: running[i], Waiting: waiting[i], PrefillPerToken: simPerToken, At: now}
			ev := world.CacheEvents{From: e.seq, Added: e.added, Removed: e.removed}
			e.seq, e.added, e.removed = ev.Next(), nil, nil
			at(now.Add(simLag), func() {
				for n, t := range tables {
					t.Report(backends[i].ID, load, now.Add(simLag))
					t.Cache(backends[i].ID, ev, now.Add(simLag))
					reported[n][i] = max(load.Running+load.Waiting-outstanding[n][i], 0)
				}
			})
		}
	}
	for s := range 60 {
		at(start.Add(time.Duration(s)*simReport), func() { report(start.Add(time.Duration(s) * simReport)) })
	}
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(time.Duration(rnd.ExpFloat64() / perSecond * float64(time.Second))) {
		for len(events) > 0 && !events[0].at.After(now) {
			e := events[0]
			events = events[1:]
			e.do()
		}
		request(now)
	}
	return p95(firsts[0]), p95(firsts[1]), recomputed - best
}

func p95(d []time.Duration) time.Duration {
	slices.Sort(d)
	return d[len(d)*95/100]
}

// simQuery returns a request, the document it starts with and its fresh tokens.
// A third are reviews over one of 60 long documents, the others short lookups
// that share a system prompt for each of 5 organisations.
func simQuery(rnd *rand.Rand) (q Query, doc, fresh int) {
	q = Query{Service: "m", Version: "1", Class: world.Lookup, PromptTokens: 800, MaxTokens: 60}
	doc, blocks, shared := 1000+rnd.IntN(5), 50, 30
	if rnd.IntN(3) == 0 {
		q.Class, q.PromptTokens, q.MaxTokens = world.Review, 6400, 300
		doc, blocks, shared = rnd.IntN(60), 400, 370
	}
	for b := range blocks {
		h := uint64(doc)<<20 + uint64(b)
		if b >= shared {
			h = rnd.Uint64()
		}
		q.Prefix = append(q.Prefix, h*0x9E3779B97F4A7C15)
	}
	return q, doc, (blocks - shared) * q.PromptTokens / blocks
}

// Guards against a Pick that is worse than the simple policies it replaces, in
// latency or in recomputed tokens, when reports lag and many nodes decide.
func TestPickAgainstSimplePolicies(t *testing.T) {
	for _, rate := range []float64{10, 20} {
		for seed := range uint64(2) {
			var lookup, review [3]time.Duration
			var again [3]int
			for i, policy := range []string{"pick", "round robin", "least outstanding"} {
				lookup[i], review[i], again[i] = simulate(policy, seed, rate)
				t.Logf("%2.0f/s seed %d %-18s p95 lookup %7.0f ms, review %7.0f ms, recomputed %8d tokens", rate, seed, policy,
					float64(lookup[i].Microseconds())/1e3, float64(review[i].Microseconds())/1e3, again[i])
			}
			for i := 1; i < 3; i++ {
				if lookup[0] > lookup[i] || review[0] > review[i] || again[0] > again[i] {
					t.Errorf("seed %d, %.0f/s: pick is worse than policy %d", seed, rate, i)
				}
			}
		}
	}
}
