package route

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/world"
)

// Parameters of a queueing model of uneven servers, after the deployments in
// docs/design/demands.md: many instances that see the same late totals, servers that prefill one
// prompt at a time, and slowdowns at random.
const (
	mixInstances   = 90
	mixServers     = 30
	mixSlots       = 64
	mixPerToken    = 15600 * time.Nanosecond
	mixDecode      = 4230 * time.Microsecond // a token, alone; twice as long in a full batch
	mixReportEvery = 250 * time.Millisecond
	mixReportDelay = 150 * time.Millisecond
	mixCallSlots   = 6
	mixCallTime    = 80 * time.Millisecond
	mixNetwork     = time.Millisecond
	mixDocuments   = 60
	mixWarmUp      = 2 * time.Second // not counted; the caches are empty at first
	mixLength      = 5 * time.Second
)

type mixLoad struct {
	name      string
	reviews   float64 // per second
	chats     float64
	bursts    bool // reviews come in bursts of four times the rate
	slowShare float64
	slowdowns bool
	documents int     // mixDocuments if 0
	calls     float64 // of a plain service, instead of prompts
	stale     bool    // reports are half a second later
}

// mixServer runs prompts one after the other, at its speed of the moment.
type mixServer struct {
	rnd      *rand.Rand
	usual    float64
	slowTill time.Time
	nextSlow time.Time
	freeAt   time.Time
	slots    []time.Time
	cached   map[int]bool
	running  int
}

func (s *mixServer) pace(now time.Time) float64 {
	for !s.nextSlow.After(now) {
		s.slowTill = s.nextSlow.Add(600 * time.Millisecond)
		s.nextSlow = s.slowTill.Add(time.Duration(s.rnd.ExpFloat64() * 3 * float64(time.Second)))
	}
	if now.Before(s.slowTill) {
		return s.usual * 2.5
	}
	return s.usual
}

func (s *mixServer) run(q *Query, doc int, arrived time.Time) (first, end time.Time) {
	slot, slots := 0, s.slots
	if q.Class == world.Call {
		slots = slots[:mixCallSlots]
	}
	for i := range slots {
		if s.slots[i].Before(s.slots[slot]) {
			slot = i
		}
	}
	if q.Class == world.Call {
		begin := latest(arrived, s.slots[slot])
		s.slots[slot] = begin.Add(time.Duration(float64(mixCallTime) * s.pace(begin)))
		return s.slots[slot], s.slots[slot]
	}
	begin := latest(arrived, s.freeAt, s.slots[slot])
	tokens := q.PromptTokens
	if s.cached[doc] {
		tokens -= sharedTokens(q)
	}
	s.cached[doc] = true
	pace := s.pace(begin)
	first = begin.Add(time.Duration(float64(tokens) * float64(mixPerToken) * pace))
	s.freeAt = first
	end = first.Add(time.Duration(float64(q.MaxTokens) * float64(mixDecode) * pace * (1 + float64(s.running)/mixSlots)))
	s.slots[slot] = end
	return first, end
}

func sharedTokens(q *Query) int {
	switch q.Class {
	case world.Review:
		return 13300
	case world.Lookup:
		return 200
	}
	return 0
}

type timedEvent struct {
	at    time.Time
	order int
	run   func()
}

type eventQueue []timedEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(timedEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

type mixResult struct {
	offered, met [2]int // chats, reviews
	busiest      float64
}

func (r mixResult) share(class int) float64 {
	return float64(r.met[class]) / float64(max(r.offered[class], 1))
}

// runMix replays a load. With paced, the servers state their pace, in responses and in the
// totals; otherwise the same servers say nothing.
func runMix(l mixLoad, seed uint64, paced bool) (out mixResult) {
	rnd := rand.New(rand.NewPCG(seed, 7))
	servers, backends := make([]*mixServer, mixServers), make([]world.Backend, mixServers)
	for i := range servers {
		s := &mixServer{rnd: rand.New(rand.NewPCG(seed, uint64(100+i))), usual: 1, nextSlow: start.Add(time.Hour), slots: make([]time.Time, mixSlots), cached: map[int]bool{}}
		if l.slowShare > 0 {
			s.usual = 1 / 1.2
			if float64(i) < l.slowShare*mixServers {
				s.usual = 1 / 0.55
			}
		}
		if l.slowdowns {
			s.nextSlow = start.Add(time.Duration(s.rnd.ExpFloat64() * 3 * float64(time.Second)))
		}
		servers[i] = s
		backends[i] = world.Backend{ID: fmt.Sprint("e", i), Service: "m", Versions: []string{"1"}, State: world.Ready, Slots: mixSlots, Price: 1, DataCentre: fmt.Sprint(i % 4)}
	}
	tables := make([]*Table, mixInstances)
	ownTokens := make([][mixServers]int, mixInstances)
	for i := range tables {
		tables[i] = New(Config{Seed: seed*1000 + uint64(i), PrefillPerToken: 21 * time.Microsecond, CacheBlocks: 4000})
		tables[i].SetBackends(backends, start)
	}
	var waitingTokens, served [mixServers]int
	var queue eventQueue
	order := 0
	schedule := func(at time.Time, run func()) {
		order++
		heap.Push(&queue, timedEvent{at, order, run})
	}
	type prefixReport struct {
		server int
		blocks []uint64
	}
	var prefixes []prefixReport
	reportedAt := map[[2]int]time.Time{} // by server and document
	type figure struct {
		pace float64
		at   time.Time
	}
	stated := map[int]figure{}
	request := func(now time.Time, class world.Class) {
		q := Query{Service: "m", Version: "1", Class: class, PromptTokens: 1500, MaxTokens: 80, Target: 500 * time.Millisecond}
		doc := 1000 + rnd.IntN(5)
		if class == world.Review {
			q.PromptTokens, q.MaxTokens, q.Target, doc = 17000, 150, 900*time.Millisecond, rnd.IntN(cmp.Or(l.documents, mixDocuments))
		}
		if class == world.Call {
			q.PromptTokens, q.MaxTokens, q.Target = 0, 0, 250*time.Millisecond
		}
		for b := 0; b < q.PromptTokens; b += 256 {
			h := uint64(doc)<<32 + uint64(b)
			if b >= sharedTokens(&q) {
				h = rnd.Uint64()
			}
			q.Prefix = append(q.Prefix, h*0x9E3779B97F4A7C15)
		}
		if class != world.Call {
			q.SharedTokens = sharedTokens(&q)
			q.AffinityKey = q.Prefix[max(sharedTokens(&q)/256-1, 0)]
		}
		instance := rnd.IntN(mixInstances)
		q.DataCentre = fmt.Sprint(instance % 4)
		table := tables[instance]
		choice, err := table.Pick(q, now)
		if err != nil {
			panic(err)
		}
		var n int
		_, _ = fmt.Sscanf(choice.Backend.ID, "e%d", &n)
		server, tokens := servers[n], choice.Cost.UncachedTokens
		table.Started(choice.Backend.ID, choice.Cost, now)
		first, end := server.run(&q, doc, now.Add(mixNetwork))
		seen := first.Add(mixNetwork).Sub(now)
		kind := 0
		if class == world.Review {
			kind = 1
		}
		if now.Sub(start) >= mixWarmUp {
			out.offered[kind]++
			if seen <= q.Target {
				out.met[kind]++
			}
		}
		server.running++
		served[n]++
		waitingTokens[n] += tokens
		ownTokens[instance][n] += tokens
		schedule(first.Add(mixNetwork), func() {
			waitingTokens[n] -= tokens
			ownTokens[instance][n] -= tokens
			table.FirstToken(choice, seen, first.Add(mixNetwork))
			if pace := server.pace(first); paced {
				table.Observe(choice.Backend.ID, 0, Observation{Running: server.running, Slots: mixSlots, Pace: pace}, first.Add(mixNetwork))
				stated[n] = figure{pace, first.Add(mixNetwork)}
			}
			key := [2]int{n, doc}
			if shared := sharedTokens(&q) / 256; shared > 0 && first.Sub(reportedAt[key]) > 2*time.Second {
				reportedAt[key] = first
				prefixes = append(prefixes, prefixReport{n, q.Prefix[:shared]})
			}
		})
		schedule(end.Add(mixNetwork), func() {
			server.running--
			table.Ended(choice.Backend.ID, Result{Cost: choice.Cost, Duration: end.Add(mixNetwork).Sub(now)}, end.Add(mixNetwork))
		})
	}
	report := func(now time.Time) {
		var running, tokens [mixServers]int
		for i, s := range servers {
			running[i], tokens[i] = s.running, waitingTokens[i]
		}
		own := append([][mixServers]int(nil), ownTokens...)
		held := prefixes
		prefixes = nil
		delay := mixReportDelay
		if l.stale {
			delay += 500 * time.Millisecond
		}
		schedule(now.Add(delay), func() {
			for n, t := range tables {
				for i := range servers {
					t.Report(backends[i].ID, world.Load{Running: running[i], WaitingTokens: max(tokens[i]-own[n][i], 0), PrefillPerToken: 21 * time.Microsecond, MeasuredAt: now}, now.Add(delay))
					if p := stated[i]; p.pace > 0 {
						t.ObservePace(backends[i].ID, p.pace, p.at)
					}
				}
				for _, h := range held {
					t.AddCached(backends[h.server].ID, h.blocks)
				}
			}
		})
	}
	for at := time.Duration(0); at < mixLength; at += mixReportEvery {
		schedule(start.Add(at), func() { report(start.Add(at)) })
	}
	arrivals := func(rate float64, class world.Class, bursts bool) {
		for at := time.Duration(0); rate > 0 && at < mixLength; {
			r := rate
			if bursts { // a fifth of the time at four times the usual rate
				if r = rate / 4; at%(2500*time.Millisecond) < 500*time.Millisecond {
					r = rate * 4
				}
			}
			at += time.Duration(rnd.ExpFloat64() / r * float64(time.Second))
			schedule(start.Add(at), func() { request(start.Add(at), class) })
		}
	}
	arrivals(l.reviews, world.Review, l.bursts)
	arrivals(l.chats, world.Lookup, false)
	arrivals(l.calls, world.Call, false)
	for len(queue) > 0 {
		e := heap.Pop(&queue).(timedEvent)
		if e.at.After(start.Add(mixLength)) {
			break
		}
		e.run()
	}
	total := 0
	for _, n := range served {
		total += n
		out.busiest = max(out.busiest, float64(n))
	}
	out.busiest *= mixServers / float64(max(total, 1))
	return out
}

var mixLoads = []mixLoad{
	{name: "1:1", reviews: 100, chats: 100},
	{name: "1:10", reviews: 40, chats: 400},
	{name: "bursts of reviews", reviews: 60, chats: 300, bursts: true},
	{name: "a quarter at half speed", reviews: 70, chats: 200, slowShare: 0.25},
	{name: "slowdowns", reviews: 60, chats: 200, slowdowns: true},
	{name: "bursts, half speed, slowdowns", reviews: 50, chats: 200, bursts: true, slowShare: 0.25, slowdowns: true},
	{name: "few documents", reviews: 120, chats: 120, documents: 6},
	{name: "one document", reviews: 120, chats: 120, documents: 1},
	{name: "many documents", reviews: 40, chats: 200, documents: 2000},
	{name: "chats only", chats: 700},
	{name: "reviews only", reviews: 150},
	{name: "stale reports", reviews: 60, chats: 200, stale: true},
	{name: "plain calls, slowdowns", calls: 900, slowdowns: true},
	{name: "plain calls, stale", calls: 900, slowdowns: true, stale: true},
}

// Guards against a choice by lateness and pace that serves fewer requests of either kind within
// their target than the choice without them, when 90 instances see the same late totals.
func TestMixedAgainstUnpaced(t *testing.T) {
	for _, l := range mixLoads {
		var before, after mixResult
		for seed := range uint64(1) {
			for kind, r := range map[bool]*mixResult{false: &before, true: &after} {
				one := runMix(l, seed, kind)
				for i := range 2 {
					r.offered[i] += one.offered[i]
					r.met[i] += one.met[i]
				}
				r.busiest = max(r.busiest, one.busiest)
			}
		}
		t.Logf("%-30s chats %.3f -> %.3f, reviews %.3f -> %.3f, busiest %.2f -> %.2f", l.name, before.share(0), after.share(0), before.share(1), after.share(1), before.busiest, after.busiest)
		for i, kind := range []string{"chats", "reviews"} {
			if after.offered[i] >= 100 && after.share(i) < before.share(i)-0.005 {
				t.Errorf("%s: %s within their target %.3f, before %.3f", l.name, kind, after.share(i), before.share(i))
			}
		}
	}
}
