package admit_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cranberrypath.example/cranberrypath/internal/admit"
	"cranberrypath.example/cranberrypath/internal/route"
	"cranberrypath.example/cranberrypath/internal/world"
)

// A queueing model of a quarter of a deployment of 60 model servers and 92 instances. Servers
// prefill one prompt at a time, decode in batches, keep a queue by priority and preempt the
// newest of the least urgent requests when their memory is full. It compares policies; it does
// not predict real servers.
const (
	simServers     = 15
	simInstances   = 23
	simStep        = 4 * time.Millisecond
	simSlots       = 64
	simQueue       = 134
	simMemory      = 609_564
	simPrefill     = 56.6 // tokens a ms
	simDecodeMs    = 3.79 // a step
	simDecodeEach  = 0.12 // more for each request in the batch, ms
	simDocs        = 12   // shared prompts of reviews
	simCachedDocs  = 6    // per server
	simReportEvery = 200 * time.Millisecond
	simReportDelay = 100 * time.Millisecond // through a relay, each way
	simMaxSends    = 4
)

type simKind struct {
	name           string
	prompt, shared int
	output         int
	urgency        int
	target, limit  time.Duration
	share          float64
}

var simKinds = []simKind{
	{"chat", 1_500, 0, 150, 0, 500 * time.Millisecond, 12 * time.Second, 0.4},
	{"check", 9_200, 0, 40, 1, time.Second, 5500 * time.Millisecond, 0.3},
	{"review", 17_000, 13_300, 250, 2, 900 * time.Millisecond, 10 * time.Second, 0.3},
}

type simRequest struct {
	kind      *simKind
	org       int
	doc       int
	hash      uint64
	first     time.Time // arrival of the first attempt
	arrived   time.Time // of this attempt
	returned  bool
	instance  *simInstance
	server    *simServer
	choice    route.Choice
	tried     []string
	offered   bool
	admitKind admit.Kind
	decision  admit.Decision
	left      float64 // tokens to prefill
	generated float64
	begun     time.Time
	firstByte time.Time
	outcome   string // "", "inTime", "late", "refused", "failed"
}

type simServer struct {
	id      string
	speed   float64
	gone    bool
	queue   []*simRequest
	running []*simRequest
	docs    []int // cached, most recent last
}

func (s *simServer) uncached(r *simRequest) int {
	if r.kind.shared > 0 && slices.Contains(s.docs, r.doc) {
		return r.kind.prompt - r.kind.shared
	}
	return r.kind.prompt
}

func byUrgency(a, b *simRequest) int {
	return cmp.Or(cmp.Compare(a.kind.urgency, b.kind.urgency), a.begun.Compare(b.begun))
}

// step advances the server and returns the requests that it has completed.
func (s *simServer) step(now time.Time, firstByte func(*simRequest)) (done []*simRequest) {
	memory := 0.0
	for _, r := range s.running {
		memory += float64(r.kind.prompt) + r.generated
	}
	for memory > simMemory && len(s.running) > 1 {
		newest := slices.MaxFunc(s.running, byUrgency)
		memory -= float64(newest.kind.prompt) + newest.generated
		s.running = slices.DeleteFunc(s.running, func(r *simRequest) bool { return r == newest })
		newest.left, newest.generated = float64(s.uncached(newest)), 0
		s.queue = append(s.queue, newest)
	}
	prefills := func(r *simRequest) bool { return r.left > 0 }
	for len(s.queue) > 0 && len(s.running) < simSlots && !slices.ContainsFunc(s.running, prefills) {
		next := slices.MinFunc(s.queue, byUrgency)
		if memory+float64(next.kind.prompt) > simMemory {
			break
		}
		memory += float64(next.kind.prompt)
		s.queue = slices.DeleteFunc(s.queue, func(r *simRequest) bool { return r == next })
		next.left = float64(s.uncached(next))
		s.running = append(s.running, next)
	}
	ms := simStep.Seconds() * 1000 * s.speed
	budget, prefilling := ms*simPrefill*0.85, false
	decoding := 0
	for _, r := range s.running {
		if r.left > 0 {
			prefilling = true
			n := min(r.left, budget)
			r.left -= n
			budget -= n
			if r.left > 0 {
				continue
			}
			if r.kind.shared > 0 {
				s.docs = append(slices.DeleteFunc(s.docs, func(d int) bool { return d == r.doc }), r.doc)
				s.docs = s.docs[max(len(s.docs)-simCachedDocs, 0):]
			}
			if r.firstByte.IsZero() {
				r.firstByte = now
				firstByte(r)
			}
			continue
		}
		decoding++
	}
	if prefilling {
		ms /= 2
	}
	for _, r := range s.running {
		if r.left <= 0 {
			if r.generated += ms / (simDecodeMs + simDecodeEach*float64(decoding)); r.generated >= float64(r.kind.output) {
				done = append(done, r)
			}
		}
	}
	return done
}

func (s *simServer) remove(r *simRequest) {
	is := func(o *simRequest) bool { return o == r }
	s.queue, s.running = slices.DeleteFunc(s.queue, is), slices.DeleteFunc(s.running, is)
}

type simLoad struct{ running, waiting, tokens int }

type simInstance struct {
	table   *route.Table
	loads   map[string]simLoad
	totals  map[string]simLoad // least outstanding
	demands admit.Demands
	shares  admit.Shares
}

// simReport is a report on its way to the leader, or the reply.
type simReport struct {
	at, sent time.Time
	instance int
	loads    map[string]simLoad
	demands  admit.Demands
	reply    bool
	shares   map[string]admit.Share
	known    bool
}

// simLoadCurve is the offered load in requests a second from a time on.
type simLoadCurve struct {
	from  time.Duration
	rates [3]float64 // by kind
}

type simScenario struct {
	curve     []simLoadCurve
	length    time.Duration
	orgShares []float64
	reclaim   time.Duration // when a quarter of the servers leaves; 0 for never
	leaderOut [2]time.Duration
	equal     bool // all kinds have the same urgency
}

type simResult struct {
	requests []*simRequest
	inTime   []float64 // a second, by the second of the first attempt
}

func rates(total float64) (out [3]float64) {
	for i, k := range simKinds {
		out[i] = total * k.share
	}
	return out
}

func simulate(policy string, seed uint64, sc simScenario) simResult {
	rnd := rand.New(rand.NewPCG(seed, 7))
	kinds := slices.Clone(simKinds)
	for i := range kinds {
		if sc.equal {
			kinds[i].urgency = 0
		}
	}
	start := time.Unix(1_000_000, 0)
	servers, byID := make([]*simServer, simServers), map[string]*simServer{}
	backends := make([]world.Backend, simServers)
	for i := range servers {
		servers[i] = &simServer{id: fmt.Sprint("s", i), speed: 1}
		byID[servers[i].id] = servers[i]
		backends[i] = world.Backend{ID: servers[i].id, Service: "m", Versions: []string{""}, State: world.Ready, Slots: simSlots, Price: 1, CacheBlocks: simCachedDocs * 60, DataCentre: fmt.Sprint(i % 4)}
	}
	instances := make([]*simInstance, simInstances)
	for i := range instances {
		instances[i] = &simInstance{table: route.New(route.Config{Seed: seed*100 + uint64(i), PrefillPerToken: 21 * time.Microsecond}), loads: map[string]simLoad{}}
		instances[i].table.SetBackends(backends, start)
	}
	ledger := admit.NewLedger(start)
	leaderLoads := make([]map[string]simLoad, simInstances)
	var reports []simReport
	var returns []*simRequest
	var all, open []*simRequest

	addLoad := func(in *simInstance, id string, running, waiting, tokens int) {
		l := in.loads[id]
		in.loads[id] = simLoad{l.running + running, l.waiting + waiting, l.tokens + tokens}
	}
	work := func(c route.Choice) float64 { return admit.Work(1, c.Cost.UncachedTokens) }
	finish := func(r *simRequest, failed bool, now time.Time) {
		if r.firstByte.IsZero() {
			addLoad(r.instance, r.server.id, -1, -1, -r.choice.Cost.UncachedTokens)
		} else {
			addLoad(r.instance, r.server.id, -1, 0, 0)
		}
		r.instance.table.Ended(r.server.id, route.Result{Cost: r.choice.Cost, Failed: failed, Duration: now.Sub(r.begun)}, now)
	}
	firstByteAt := func(now time.Time) func(*simRequest) {
		return func(r *simRequest) {
			addLoad(r.instance, r.server.id, 0, -1, -r.choice.Cost.UncachedTokens)
			r.instance.table.FirstToken(r.choice, now.Sub(r.begun), now)
			r.instance.demands = r.instance.demands.WithStarted("m", r.admitKind, admit.Start{
				Work: work(r.choice), First: now.Sub(r.begun), Own: time.Duration(r.choice.Cost.UncachedTokens) * 21 * time.Microsecond, Target: r.kind.target,
			})
		}
	}
	query := func(r *simRequest) route.Query {
		q := route.Query{Service: "m", Class: world.Call, PromptTokens: r.kind.prompt, MaxTokens: r.kind.output, Exclude: r.tried}
		for n := 0; n < r.kind.prompt; n += 256 {
			key := uint64(r.doc+1) << 32
			if n >= r.kind.shared {
				key = r.hash << 8
			}
			q.Prefix = append(q.Prefix, key+uint64(n))
		}
		if r.kind.shared > 0 {
			q.AffinityKey = uint64(r.doc+1) * 0x9E3779B97F4A7C15
		}
		return q
	}
	refuse := func(r *simRequest, after time.Duration, now time.Time) {
		if r.returned {
			r.outcome = "refused"
			return
		}
		third := r.arrived.Add(r.kind.limit).Sub(now) / 3
		back := &simRequest{kind: r.kind, org: r.org, doc: r.doc, hash: r.hash, first: r.first, returned: true, arrived: now.Add(min(after, third))}
		r.outcome = "returned"
		returns = append(returns, back)
		all = append(all, back)
	}
	send := func(r *simRequest, now time.Time) {
		for sends := 0; sends < simMaxSends; sends++ {
			q := query(r)
			choice, err := r.instance.table.Pick(q, now)
			if err != nil {
				break
			}
			switch policy {
			case "random":
				choice.Backend = backends[rnd.IntN(len(backends))]
			case "least":
				best := -1
				offset := rnd.IntN(len(backends))
				for i := range backends {
					b := backends[(i+offset)%len(backends)]
					if n := r.instance.totals[b.ID].running + r.instance.loads[b.ID].running; !slices.Contains(r.tried, b.ID) && (best < 0 || n < best) {
						best, choice.Backend = n, b
					}
				}
			case "admit":
				f, ok := r.instance.table.Forecast(q, now)
				if !ok {
					break
				}
				k := r.admitKind
				if !r.offered {
					r.offered = true
					r.admitKind = admit.NewKind(fmt.Sprint("o", r.org), r.kind.urgency, admit.Work(1, f.UncachedTokens))
					k = r.admitKind
					r.instance.demands = r.instance.demands.WithOffered("m", k, admit.Work(1, f.UncachedTokens))
				}
				r.decision = r.instance.shares.Decide(admit.Query{
					Service: "m", Kind: k, Hash: r.hash, Left: r.arrived.Add(r.kind.target).Sub(now),
					MaxWait: r.arrived.Add(r.kind.limit).Sub(now)/3 - 100*time.Millisecond,
					Outlook: admit.Outlook{Queueing: f.Queueing, Rest: f.FirstByte - f.Queueing, Running: f.Running, Waiting: f.Waiting, Slots: f.Slots},
				}, now)
				if !r.decision.Admitted() {
					refuse(r, r.decision.RetryAfter, now)
					return
				}
				if sends == 0 {
					r.instance.demands = r.instance.demands.WithAdmitted("m", k, work(choice))
				}
			}
			s := byID[choice.Backend.ID]
			r.tried = append(r.tried, s.id)
			if s.gone || len(s.queue) >= simQueue {
				continue
			}
			r.server, r.choice, r.begun = s, choice, now
			r.instance.table.Started(s.id, choice.Cost, now)
			addLoad(r.instance, s.id, 1, 1, choice.Cost.UncachedTokens)
			s.queue = append(s.queue, r)
			open = append(open, r)
			return
		}
		refuse(r, 100*time.Millisecond+time.Duration(rnd.Float64()*1e8), now)
	}
	arrive := func(r *simRequest, now time.Time) {
		r.instance = instances[rnd.IntN(len(instances))]
		send(r, now)
	}

	nextSync := make([]time.Time, simInstances)
	for i := range nextSync {
		nextSync[i] = start.Add(time.Duration(rnd.Int64N(int64(simReportEvery))))
	}
	reclaimed := false
	for now := start; now.Sub(start) < sc.length+12*time.Second; now = now.Add(simStep) {
		at := now.Sub(start)
		if sc.reclaim > 0 && at >= sc.reclaim && !reclaimed {
			reclaimed = true
			for i := range servers {
				if i%4 == 0 {
					s := servers[i]
					s.gone = true
					lost := slices.Concat(s.queue, s.running)
					s.queue, s.running = nil, nil
					for _, r := range lost {
						finish(r, true, now)
						if r.firstByte.IsZero() {
							open = slices.DeleteFunc(open, func(o *simRequest) bool { return o == r })
							send(r, now)
						}
					}
				}
			}
			backends = slices.DeleteFunc(slices.Clone(backends), func(b world.Backend) bool { return byID[b.ID].gone })
			for _, in := range instances {
				in.table.SetBackends(backends, now)
			}
		}
		for i, in := range instances {
			if now.Before(nextSync[i]) {
				continue
			}
			nextSync[i] = now.Add(simReportEvery)
			loads := map[string]simLoad{}
			for id, l := range in.loads {
				loads[id] = l
			}
			reports = append(reports, simReport{at: now.Add(simReportDelay), sent: now, instance: i, loads: loads, demands: in.demands})
			in.demands = nil
		}
		leaderUp := at < sc.leaderOut[0] || at >= sc.leaderOut[1]
		var next []simReport
		for _, rep := range reports {
			switch {
			case now.Before(rep.at):
				next = append(next, rep)
			case !rep.reply && leaderUp:
				leaderLoads[rep.instance] = rep.loads
				ledger.Add(rep.demands, now)
				rep.loads = map[string]simLoad{}
				for _, loads := range leaderLoads {
					for id, l := range loads {
						sum := rep.loads[id]
						rep.loads[id] = simLoad{sum.running + l.running, sum.waiting + l.waiting, sum.tokens + l.tokens}
					}
				}
				rep.shares, rep.known = ledger.Shares(func() map[string]float64 {
					sum := 0.0
					for _, l := range rep.loads {
						sum += admit.Work(l.waiting, l.tokens)
					}
					return map[string]float64{"m": sum}
				}, now)
				rep.reply, rep.at = true, now.Add(simReportDelay)
				next = append(next, rep)
			case rep.reply:
				in := instances[rep.instance]
				for _, b := range backends {
					l := rep.loads[b.ID]
					in.table.Report(b.ID, world.Load{Running: l.running, Unstarted: l.waiting, WaitingTokens: max(l.tokens-in.loads[b.ID].tokens, 0), PrefillPerToken: 21 * time.Microsecond, MeasuredAt: rep.sent}, now)
				}
				in.totals = rep.loads
				if rep.known {
					in.shares = admit.Shares{At: rep.sent, Services: rep.shares}
				}
			}
		}
		reports = next
		// New requests.
		var load [3]float64
		for _, c := range sc.curve {
			if at >= c.from && at < sc.length {
				load = c.rates
			}
		}
		for i := range simKinds {
			for n := load[i] * simStep.Seconds(); rnd.Float64() < n; n-- {
				r := &simRequest{kind: &kinds[i], org: pickOrg(rnd, sc.orgShares), doc: rnd.IntN(simDocs), hash: rnd.Uint64(), first: now, arrived: now}
				all = append(all, r)
				arrive(r, now)
			}
		}
		var later []*simRequest
		back := returns
		returns = nil
		for _, r := range back {
			if r.arrived.After(now) {
				later = append(later, r)
				continue
			}
			arrive(r, now)
		}
		returns = append(returns, later...)
		for _, s := range servers {
			for _, r := range s.step(now, firstByteAt(now)) {
				finish(r, false, now)
				s.remove(r)
				r.outcome = "late"
				if r.firstByte.Sub(r.first) <= r.kind.target {
					r.outcome = "inTime"
				}
			}
		}
		still := open[:0]
		for _, r := range open {
			if r.outcome == "" && now.Sub(r.arrived) > r.kind.limit {
				r.outcome = "failed"
				r.server.remove(r)
				finish(r, false, now)
			}
			if r.outcome == "" {
				still = append(still, r)
			}
		}
		open = still
	}
	out := simResult{requests: all, inTime: make([]float64, int(sc.length/time.Second)+1)}
	for _, r := range all {
		if r.outcome == "inTime" {
			out.inTime[int(r.first.Sub(start)/time.Second)]++
		}
	}
	return out
}

func pickOrg(rnd *rand.Rand, shares []float64) int {
	x := rnd.Float64()
	for i, s := range shares {
		if x -= s; x < 0 {
			return i
		}
	}
	return max(len(shares)-1, 0)
}

// simSummary is what callers got.
type simSummary struct {
	offered, inTime, late, refused, failed, returned int
	byKind                                           [3]part
	byOrg                                            map[int]part
}

// part counts the requests that were answered, in time or late, of all.
type part struct{ answered, inTime, all int }

func (p part) share() float64  { return float64(p.answered) / float64(max(p.all, 1)) }
func (p part) onTime() float64 { return float64(p.inTime) / float64(max(p.all, 1)) }

// value is what the responses are worth: a late one a tenth.
func (s simSummary) value() float64 {
	return (float64(s.inTime) + 0.1*float64(s.late)) / float64(max(s.offered, 1))
}

func summarize(res simResult, from, to time.Duration) simSummary {
	start := time.Unix(1_000_000, 0)
	out := simSummary{byOrg: map[int]part{}}
	for _, r := range res.requests {
		if at := r.first.Sub(start); at < from || at >= to {
			continue
		}
		kind := slices.IndexFunc(simKinds, func(k simKind) bool { return k.name == r.kind.name })
		p, o := &out.byKind[kind], out.byOrg[r.org]
		if !r.returned {
			out.offered++
			p.all++
			o.all++
		}
		switch r.outcome {
		case "inTime":
			out.inTime++
			p.inTime++
			o.inTime++
		case "late":
			out.late++
		case "refused":
			out.refused++
		case "returned":
			out.returned++
		default:
			out.failed++
		}
		if r.outcome == "inTime" || r.outcome == "late" {
			p.answered++
			o.answered++
		}
		out.byOrg[r.org] = o
	}
	return out
}

func (s simSummary) String() string {
	text := fmt.Sprintf("value %.3f, %5d offered: %5d in time, %5d late, %5d refused, %5d failed; first refusals %5d; in time (answered)", s.value(), s.offered, s.inTime, s.late, s.refused, s.failed, s.returned)
	for i, k := range simKinds {
		text += fmt.Sprintf(" %s %.2f (%.2f)", k.name, s.byKind[i].onTime(), s.byKind[i].share())
	}
	return text
}
