package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/world"
)

// Parameters of a queueing model of uneven servers, after the deployments in
// docs/design/demands.md: many instances that see the same late totals, servers that prefill one
// prompt at a time, and slowdowns at random.
const (
	mixInstances = 90
	mixServers   = 30
	mixSlots     = 64
	mixCallSlots = 6
	mixCallTime  = 80 * time.Millisecond
	mixPerToken  = 15600 * time.Nanosecond
	mixDecode    = 4230 * time.Microsecond // a token, alone; twice as long in a full batch
	mixReport    = 250 * time.Millisecond
	mixNetwork   = time.Millisecond
	mixWarmUp    = 2 * time.Second // not counted; the caches are empty at first
	mixLength    = 5 * time.Second
)

// mixLoad is a load; the rates are per second.
type mixLoad struct {
	name                  string
	chats, reviews, calls float64
	documents             int
	bursts                bool          // reviews come at four times the rate a fifth of the time
	halfSpeed             float64       // share of the servers
	slowdowns             bool          // a sixth of the time 2.5 times as slow
	delay                 time.Duration // of reports
}

// mixServer runs prompts one after the other, at its speed of the moment.
type mixServer struct {
	rnd              *rand.Rand
	usual            float64
	slowFrom, freeAt time.Time
	slots            []time.Time
	cached           map[int]bool
	running          int
}

func (s *mixServer) pace(now time.Time) float64 {
	for now.Sub(s.slowFrom) >= 600*time.Millisecond {
		s.slowFrom = s.slowFrom.Add(600*time.Millisecond + time.Duration(s.rnd.ExpFloat64()*3*float64(time.Second)))
	}
	if now.Before(s.slowFrom) {
		return s.usual
	}
	return s.usual * 2.5
}

func (s *mixServer) run(q *Query, doc int, arrived time.Time) (first, end time.Time) {
	slots := s.slots
	if q.Class == world.Call {
		slots = slots[:mixCallSlots]
	}
	slices.SortFunc(slots, time.Time.Compare)
	begin := latest(arrived, slots[0])
	if q.Class == world.Call {
		slots[0] = begin.Add(time.Duration(float64(mixCallTime) * s.pace(begin)))
		return slots[0], slots[0]
	}
	begin = latest(begin, s.freeAt)
	pace, tokens := s.pace(begin), q.PromptTokens
	if s.cached[doc] {
		tokens -= q.SharedTokens
	}
	s.cached[doc] = true
	s.freeAt = begin.Add(time.Duration(float64(tokens) * float64(mixPerToken) * pace))
	slots[0] = s.freeAt.Add(time.Duration(float64(q.MaxTokens) * float64(mixDecode) * pace * (1 + float64(s.running)/mixSlots)))
	return s.freeAt, slots[0]
}

func mixQuery(rnd *rand.Rand, class world.Class, documents int) (q Query, doc int) {
	q = Query{Service: "m", Version: "1", Class: class, Target: 250 * time.Millisecond}
	switch class {
	case world.Lookup:
		q.PromptTokens, q.SharedTokens, q.MaxTokens, q.Target, doc = 1500, 200, 80, 500*time.Millisecond, 10000+rnd.IntN(5)
	case world.Review:
		q.PromptTokens, q.SharedTokens, q.MaxTokens, q.Target, doc = 17000, 13300, 150, 900*time.Millisecond, rnd.IntN(documents)
	}
	q.AffinityKey = uint64(doc+1) * 0x9E3779B97F4A7C15
	for b := 0; b < q.PromptTokens; b += 256 {
		h := uint64(doc)<<32 + uint64(b)
		if b >= q.SharedTokens {
			h = rnd.Uint64()
		}
		q.Prefix = append(q.Prefix, h*0x9E3779B97F4A7C15)
	}
	return q, doc
}

type mixResult struct {
	offered, met [3]int // by class
	busiest      float64
}

func (r mixResult) share(c world.Class) float64 {
	return float64(r.met[c]) / float64(max(r.offered[c], 1))
}

func (r mixResult) plus(o mixResult) mixResult {
	for c := range r.offered {
		r.offered[c] += o.offered[c]
		r.met[c] += o.met[c]
	}
	r.busiest = max(r.busiest, o.busiest)
	return r
}

// runMix replays a load. With paced, the servers state their pace, in responses and in the
// totals; otherwise the same servers say nothing.
func runMix(l mixLoad, seed uint64, paced bool) (out mixResult) {
	rnd := rand.New(rand.NewPCG(seed, 7))
	var servers [mixServers]*mixServer
	backends := make([]world.Backend, mixServers)
	for i := range servers {
		s := &mixServer{rnd: rand.New(rand.NewPCG(seed, uint64(100+i))), usual: 1, slowFrom: start.Add(time.Hour), slots: make([]time.Time, mixSlots), cached: map[int]bool{}}
		if l.halfSpeed > 0 {
			s.usual = 1 / 1.2
			if float64(i) < l.halfSpeed*mixServers {
				s.usual = 1 / 0.55
			}
		}
		if l.slowdowns {
			s.slowFrom = start.Add(time.Duration(s.rnd.ExpFloat64() * 3 * float64(time.Second)))
		}
		servers[i] = s
		backends[i] = world.Backend{ID: fmt.Sprint("e", i), Service: "m", Versions: []string{"1"}, State: world.Ready, Slots: mixSlots, Price: 1, DataCentre: fmt.Sprint(i % 4)}
		if l.calls > 0 {
			backends[i].Slots = mixCallSlots
		}
	}
	var tables [mixInstances]*Table
	for i := range tables {
		tables[i] = New(Config{Seed: seed*1000 + uint64(i), PrefillPerToken: 21 * time.Microsecond, CacheBlocks: 4000})
		tables[i].SetBackends(backends, start)
	}
	var waitingTokens, served [mixServers]int
	var ownTokens [mixInstances][mixServers]int
	var statedAt [mixServers]time.Time
	var statedPace [mixServers]float64
	var events []simEvent
	schedule := func(at time.Time, run func()) {
		i, _ := slices.BinarySearchFunc(events, at, func(e simEvent, at time.Time) int { return e.at.Compare(at) })
		events = slices.Insert(events, i, simEvent{at, run})
	}
	var cached []func(*Table) // reports of prefixes
	reportedAt := map[[2]int]time.Time{}
	request := func(now time.Time, class world.Class) {
		q, doc := mixQuery(rnd, class, l.documents)
		instance := rnd.IntN(mixInstances)
		q.DataCentre = fmt.Sprint(instance % 4)
		table := tables[instance]
		choice, _ := table.Pick(q, now)
		n := slices.IndexFunc(backends, func(b world.Backend) bool { return b.ID == choice.Backend.ID })
		server, tokens, id := servers[n], choice.Cost.UncachedTokens, choice.Backend.ID
		table.Started(id, choice.Cost, now)
		first, end := server.run(&q, doc, now.Add(mixNetwork))
		first, end = first.Add(mixNetwork), end.Add(mixNetwork)
		if now.Sub(start) >= mixWarmUp {
			out.offered[class]++
			if first.Sub(now) <= q.Target {
				out.met[class]++
			}
		}
		served[n]++
		server.running++
		waitingTokens[n] += tokens
		ownTokens[instance][n] += tokens
		schedule(first, func() {
			waitingTokens[n] -= tokens
			ownTokens[instance][n] -= tokens
			table.FirstToken(choice, first.Sub(now), first)
			if paced {
				statedAt[n], statedPace[n] = first, server.pace(first.Add(-mixNetwork))
				table.Observe(id, 0, Observation{Running: server.running, Slots: mixSlots, Pace: statedPace[n]}, first)
			}
			if key := [2]int{n, doc}; q.SharedTokens > 0 && first.Sub(reportedAt[key]) > 2*time.Second {
				reportedAt[key] = first
				cached = append(cached, func(t *Table) { t.AddCached(id, q.Prefix[:q.SharedTokens/256]) })
			}
		})
		schedule(end, func() {
			server.running--
			table.Ended(id, Result{Cost: choice.Cost, Duration: end.Sub(now)}, end)
		})
	}
	report := func(now time.Time) {
		var running [mixServers]int
		for i, s := range servers {
			running[i] = s.running
		}
		waiting, own, held := waitingTokens, ownTokens, cached
		at, pace := statedAt, statedPace
		cached = nil
		schedule(now.Add(150*time.Millisecond+l.delay), func() {
			for n, t := range tables {
				for i, b := range backends {
					t.Report(b.ID, world.Load{Running: running[i], WaitingTokens: max(waiting[i]-own[n][i], 0), PrefillPerToken: 21 * time.Microsecond, MeasuredAt: now}, now)
					t.ObservePace(b.ID, pace[i], at[i])
				}
				for _, add := range held {
					add(t)
				}
			}
		})
	}
	for at := time.Duration(0); at < mixLength; at += mixReport {
		schedule(start.Add(at), func() { report(start.Add(at)) })
	}
	for now := start; now.Before(start.Add(mixLength)); {
		reviews := l.reviews
		if l.bursts {
			if reviews /= 4; now.Sub(start)%(2500*time.Millisecond) < 500*time.Millisecond {
				reviews *= 16
			}
		}
		total := reviews + l.chats + l.calls
		now = now.Add(time.Duration(rnd.ExpFloat64() / total * float64(time.Second)))
		for len(events) > 0 && !events[0].at.After(now) {
			e := events[0]
			events = events[1:]
			e.run()
		}
		switch u := rnd.Float64() * total; {
		case u < reviews:
			request(now, world.Review)
		case u < reviews+l.chats:
			request(now, world.Lookup)
		default:
			request(now, world.Call)
		}
	}
	all := 0
	for _, n := range served {
		all += n
	}
	out.busiest = float64(slices.Max(served[:])) * mixServers / float64(all)
	return out
}

// Guards against a choice by lateness and pace that serves fewer requests of some kind within
// their target than the choice without them, when 90 instances see the same late totals.
func TestMixedAgainstUnpaced(t *testing.T) {
	for _, l := range []mixLoad{
		{name: "1:1", reviews: 100, chats: 100, documents: 60},
		{name: "1:10", reviews: 40, chats: 400, documents: 60},
		{name: "bursts of reviews", reviews: 60, chats: 300, documents: 60, bursts: true},
		{name: "a quarter at half speed", reviews: 70, chats: 200, documents: 60, halfSpeed: 0.25},
		{name: "slowdowns", reviews: 60, chats: 200, documents: 60, slowdowns: true},
		{name: "bursts, half speed, slowdowns", reviews: 50, chats: 200, documents: 60, bursts: true, halfSpeed: 0.25, slowdowns: true},
		{name: "few documents", reviews: 120, chats: 120, documents: 6},
		{name: "one document", reviews: 120, chats: 120, documents: 1},
		{name: "many documents", reviews: 40, chats: 200, documents: 2000},
		{name: "chats only", chats: 700},
		{name: "reviews only", reviews: 150, documents: 60},
		{name: "stale reports", reviews: 60, chats: 200, documents: 60, delay: 500 * time.Millisecond},
		{name: "calls, slowdowns", calls: 900, slowdowns: true},
		{name: "calls, slowdowns, stale reports", calls: 900, slowdowns: true, delay: 500 * time.Millisecond},
	} {
		var before, after mixResult
		for seed := range uint64(2) {
			before, after = before.plus(runMix(l, seed, false)), after.plus(runMix(l, seed, true))
		}
		line := fmt.Sprintf("%-32s busiest %.2f -> %.2f", l.name, before.busiest, after.busiest)
		for _, c := range []world.Class{world.Lookup, world.Call, world.Review} {
			if after.offered[c] == 0 {
				continue
			}
			line += fmt.Sprintf(", %s %.3f -> %.3f", c, before.share(c), after.share(c))
			if after.share(c) < before.share(c)-0.005 {
				t.Errorf("%s: %s within their target %.3f, before %.3f", l.name, c, after.share(c), before.share(c))
			}
		}
		t.Log(line)
	}
}
