package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/world"
)

// Parameters of a queueing model. Servers prefill one prompt at a time and decode up to
// simSlots requests at once. Entry instances decide independently and receive reports
// and cache events late. The model compares policies; it does not predict real servers.
const (
	simServers        = 10
	simInstances      = 10
	simSlots          = 16
	simPerToken       = 200 * time.Microsecond
	simDecode         = 20 * time.Millisecond
	simReportInterval = time.Second
	simReportDelay    = 500 * time.Millisecond
	simCacheBlocks    = 6000 // per server
)

type simServer struct {
	slotFreeAt    []time.Time // by slot
	prefillFreeAt time.Time
	cached        map[uint64]int
	recency       []uint64
	seq           uint64
	added         []uint64
	removed       []uint64
}

func (s *simServer) run(q Query, now time.Time) (first, end time.Time, recomputed int) {
	slot := 0
	for i := range s.slotFreeAt {
		if s.slotFreeAt[i].Before(s.slotFreeAt[slot]) {
			slot = i
		}
	}
	begin := latest(now, s.slotFreeAt[slot], s.prefillFreeAt)
	hit := 0
	for hit < len(q.Prefix) && s.cached[q.Prefix[hit]] > 0 {
		hit++
	}
	recomputed = q.PromptTokens - hit*q.PromptTokens/max(len(q.Prefix), 1)
	first = begin.Add(time.Duration(recomputed) * simPerToken)
	s.prefillFreeAt = first
	end = first.Add(time.Duration(q.MaxTokens) * simDecode)
	s.slotFreeAt[slot] = end
	for i, h := range q.Prefix {
		if s.cached[h] == 0 && i >= hit {
			s.added = append(s.added, h)
		}
		s.cached[h] = len(s.recency) + 1
		s.recency = append(s.recency, h)
	}
	for i := 0; len(s.cached) > simCacheBlocks; i++ {
		h := s.recency[i]
		if s.cached[h] == i+1 {
			delete(s.cached, h)
			s.removed = append(s.removed, h)
		}
		s.recency[i] = 0
	}
	return first, end, recomputed
}

func latest(ts ...time.Time) time.Time {
	return slices.MaxFunc(ts, time.Time.Compare)
}

type simEvent struct {
	at  time.Time
	run func()
}

// simulate returns the 95th percentile of the time to first token of lookups and
// reviews, and the prompt tokens computed beyond the first computation of each document.
func simulate(policy string, seed uint64, perSecond float64) (lookup, review time.Duration, recomputed int) {
	rnd := rand.New(rand.NewPCG(seed, 3))
	servers := make([]*simServer, simServers)
	backends := make([]world.Backend, simServers)
	for i := range servers {
		servers[i] = &simServer{slotFreeAt: make([]time.Time, simSlots), cached: map[uint64]int{}}
		backends[i] = world.Backend{ID: fmt.Sprint("e", i), Service: "m", Versions: []string{"1"}, State: world.Ready, Slots: simSlots, Price: 1, CacheBlocks: simCacheBlocks, DataCentre: fmt.Sprint(i % 4)}
	}
	tables := make([]*Table, simInstances)
	for i := range tables {
		tables[i] = New(Config{Seed: seed*100 + uint64(i)})
		tables[i].SetBackends(backends, start)
	}
	var events []simEvent
	schedule := func(when time.Time, do func()) {
		i, _ := slices.BinarySearchFunc(events, when, func(e simEvent, w time.Time) int { return e.at.Compare(w) })
		events = slices.Insert(events, i, simEvent{when, do})
	}
	running, waiting := make([]int, simServers), make([]int, simServers)
	reported := make([][simServers]int, simInstances)
	outstanding := make([][simServers]int, simInstances)
	roundRobin := make([]int, simInstances)
	var firstTokens [2][]time.Duration
	unavoidable := 0
	docs := map[int]bool{}
	request := func(now time.Time) {
		instance := rnd.IntN(simInstances)
		q, doc, fresh := simQuery(rnd)
		q.DataCentre = fmt.Sprint(instance % 4)
		if docs[doc] {
			unavoidable += fresh
		} else {
			unavoidable += q.PromptTokens
			docs[doc] = true
		}
		var server int
		var choice Choice
		switch policy {
		case "round robin":
			roundRobin[instance]++
			server = roundRobin[instance] % simServers
		case "least outstanding":
			server = rnd.IntN(simServers)
			for i := range simServers {
				if reported[instance][i]+outstanding[instance][i] < reported[instance][server]+outstanding[instance][server] {
					server = i
				}
			}
		default:
			choice, _ = tables[instance].Pick(q, now)
			_, _ = fmt.Sscanf(choice.Backend.ID, "e%d", &server)
			tables[instance].Started(choice.Backend.ID, choice.Cost, now)
		}
		outstanding[instance][server]++
		first, end, uncached := servers[server].run(q, now)
		recomputed += uncached
		class := 0
		if q.Class == world.Review {
			class = 1
		}
		firstTokens[class] = append(firstTokens[class], first.Sub(now))
		waiting[server]++
		schedule(first, func() {
			waiting[server]--
			running[server]++
			if choice.Backend.ID != "" {
				tables[instance].FirstToken(choice, first.Sub(now), first)
			}
		})
		schedule(end, func() {
			running[server]--
			outstanding[instance][server]--
			if choice.Backend.ID != "" {
				tables[instance].Ended(choice.Backend.ID, Result{Cost: choice.Cost, Duration: end.Sub(now)}, end)
			}
		})
	}
	report := func(now time.Time) {
		for i, s := range servers {
			load := world.Load{Running: running[i], Waiting: waiting[i], PrefillPerToken: simPerToken, At: now}
			ev := world.CacheEvents{From: s.seq, Added: s.added, Removed: s.removed}
			s.seq, s.added, s.removed = ev.Next(), nil, nil
			schedule(now.Add(simReportDelay), func() {
				for n, t := range tables {
					t.Report(backends[i].ID, load, now.Add(simReportDelay))
					t.Cache(backends[i].ID, ev, now.Add(simReportDelay))
					reported[n][i] = max(load.Running+load.Waiting-outstanding[n][i], 0)
				}
			})
		}
	}
	for s := range 60 {
		schedule(start.Add(time.Duration(s)*simReportInterval), func() { report(start.Add(time.Duration(s) * simReportInterval)) })
	}
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(time.Duration(rnd.ExpFloat64() / perSecond * float64(time.Second))) {
		for len(events) > 0 && !events[0].at.After(now) {
			e := events[0]
			events = events[1:]
			e.run()
		}
		request(now)
	}
	return p95(firstTokens[0]), p95(firstTokens[1]), recomputed - unavoidable
}

func p95(d []time.Duration) time.Duration {
	slices.Sort(d)
	return d[len(d)*95/100]
}

// simQuery returns a request, the document at its start and the number of its tokens
// after the document. One third of the requests are reviews of one of 60 long
// documents; the others are lookups with the system prompt of one of 5 organisations.
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

// Guards against a Pick with higher latency or more recomputed tokens than simple
// policies when reports lag and many instances decide.
func TestPickAgainstSimplePolicies(t *testing.T) {
	for _, rate := range []float64{10, 20} {
		for seed := range uint64(2) {
			var lookup, review [3]time.Duration
			var recomputed [3]int
			for i, policy := range []string{"pick", "round robin", "least outstanding"} {
				lookup[i], review[i], recomputed[i] = simulate(policy, seed, rate)
				t.Logf("%2.0f/s seed %d %-18s p95 lookup %7.0f ms, review %7.0f ms, recomputed %8d tokens", rate, seed, policy,
					float64(lookup[i].Microseconds())/1e3, float64(review[i].Microseconds())/1e3, recomputed[i])
			}
			for i := 1; i < 3; i++ {
				if lookup[0] > lookup[i] || review[0] > review[i] || recomputed[0] > recomputed[i] {
					t.Errorf("seed %d, %.0f/s: pick is worse than policy %d", seed, rate, i)
				}
			}
		}
	}
}
