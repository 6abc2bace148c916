package fleet

import (
	"flag"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/world"
	"cranberrypath.example/cranberrypath/pkg/decl"
)

var start = time.UnixMilli(1_700_000_000_000)

var days = flag.Int("days", 3, "simulated days of the cost comparison")

func declaration(minimum, upTo int) decl.Declaration {
	return decl.Declaration{
		Classes:  []decl.MachineClass{{Name: "large", OnDemandPrice: 8, ReclaimablePrice: 3}},
		Services: []decl.Service{{Name: "s", Kind: decl.Model, Version: "v1", Class: "large", Slots: 8}},
		Presets: []decl.Preset{
			{Name: "p", Capacity: []decl.Capacity{{Service: "s", Min: minimum, Max: upTo}}, SpareDataCentres: 1, OnDemandShare: 0.2, CleaningAllowed: true},
			{Name: "peak", Capacity: []decl.Capacity{{Service: "s", Min: 2 * minimum, Max: upTo}}, SpareDataCentres: 1, PaceSeconds: 600},
		},
		Cleaning: decl.Cleaning{EveryHours: 168, MaxAtOnce: 1, DrainMinutes: 30},
	}
}

// site is a deployment with a cloud that reclaims, refuses and loses data centres.
type site struct {
	r       *rand.Rand
	v       View
	now     time.Time
	cloud   map[string]world.Instance // by request id, what is paid for
	ready   map[string]time.Time      // by instance id
	leaving map[string]bool
	refuse  map[string]time.Time // by data centre: reclaimable starts refused until
	crash   float64              // probability that the controller dies between two steps
	faults  []string
	cleaned int
	cost    float64
	broken  int // steps with less than the need after the loss of a data centre
	short   int // steps with fewer ready servers than the work needs
}

func newSite(seed uint64, d decl.Declaration) *site {
	s := &site{
		r: rand.New(rand.NewPCG(seed, 5)), now: start, cloud: map[string]world.Instance{}, ready: map[string]time.Time{},
		leaving: map[string]bool{}, refuse: map[string]time.Time{},
	}
	s.v = View{Declaration: d, Preset: "p", Demand: map[string]Demand{}, Work: map[string]int{}, Queue: WeightQueue{AtOnce: 8}}
	for dc := range 4 {
		for z := range 2 {
			name, zone := fmt.Sprint("dc", dc), fmt.Sprint("z", z)
			s.v.Offers = append(s.v.Offers, Offer{name, zone, "large", false, 8}, Offer{name, zone, "large", true, 2.5 + s.r.Float64()})
		}
	}
	return s
}

func (s *site) index(request string) int {
	return slices.IndexFunc(s.v.Instances, func(i world.Instance) bool { return i.RequestID == request })
}

// run records an action and then does it; the controller may die in between.
func (s *site) run(a Action) bool {
	n := s.index(a.Request)
	switch {
	case a.Kind == Buy && n < 0:
		if !IsNext(a, s.v.Deployment, s.v.Bought) {
			return true // decided on an older state
		}
		i, _ := Record(world.Instance{}, a, s.now)
		s.v.Instances, s.v.Bought = append(s.v.Instances, i), s.v.Bought+1
		n = len(s.v.Instances) - 1
	case n < 0:
		return true
	default:
		if i, ok := Record(s.v.Instances[n], a, s.now); ok {
			s.v.Instances[n] = i
		}
	}
	if s.r.Float64() < s.crash {
		return false
	}
	i := s.v.Instances[n]
	switch a.Kind {
	case Buy:
		if i.Phase != Requested {
			return true
		}
		if _, bought := s.cloud[i.RequestID]; !bought && i.Reclaimable && s.now.Before(s.refuse[i.DataCentre]) {
			s.v.Refusals = Refused(s.v.Refusals, i, s.now)
			s.v.Instances[n] = i.WithPhase(Gone, s.now)
			return true
		}
		i.ID = "i-" + i.RequestID
		s.cloud[i.RequestID] = i
		s.ready[i.ID] = s.now.Add(2 * time.Minute)
		if s.r.Float64() < s.crash {
			return false // the answer is lost
		}
		s.v.Refusals = Accepted(s.v.Refusals, i)
		s.v.Instances[n] = i.WithPhase(Running, s.now)
	case Drain:
		s.leaving[i.ID] = true
	case Clean:
		s.leaving[i.ID] = false
		s.cleaned++
		i.Cleaned = s.now
		s.v.Instances[n] = i.WithPhase(Running, s.now)
	case Stop:
		if s.v.Work[i.ID] > 0 {
			s.faults = append(s.faults, i.RequestID+" was stopped with work")
		}
		delete(s.cloud, i.RequestID)
		s.v.Instances[n] = i.WithPhase(Gone, s.now)
	}
	return true
}

// advance moves the world on by one step of 30 s.
func (s *site) advance(waves bool) {
	const step = 30 * time.Second
	s.now = s.now.Add(step)
	for n := range s.v.Offers {
		if o := &s.v.Offers[n]; o.Reclaimable {
			o.Price = min(max(o.Price*(1+0.01*s.r.NormFloat64()), 1.5), 6)
		}
	}
	if waves && s.r.IntN(240) == 0 { // every two hours
		o := s.v.Offers[s.r.IntN(len(s.v.Offers))]
		whole := s.r.IntN(4) == 0
		s.refuse[o.DataCentre] = s.now.Add(time.Duration(s.r.IntN(30)) * time.Minute)
		for n, i := range s.v.Instances {
			if i.ID != "" && i.Phase != Gone && i.DataCentre == o.DataCentre && i.Reclaimable && (whole || i.Zone == o.Zone) && i.LeaveBy.IsZero() {
				s.v.Instances[n].LeaveBy = s.now.Add(step)
			}
		}
	}
	s.v.Backends = s.v.Backends[:0]
	for n, i := range s.v.Instances {
		if !i.LeaveBy.IsZero() && s.now.After(i.LeaveBy) && i.Phase != Gone {
			delete(s.cloud, i.RequestID)
			s.v.Instances[n] = i.WithPhase(Gone, s.now)
		}
		if _, paid := s.cloud[i.RequestID]; !paid || s.now.Before(s.ready[i.ID]) || i.ID == "" {
			continue
		}
		b := world.Backend{ID: i.ID, Service: i.Service, Versions: []string{i.Version}, State: world.Ready}
		if s.leaving[i.ID] {
			b.State = world.Leaving
			s.v.Work[i.ID] = max(s.v.Work[i.ID]-s.r.IntN(2), 0)
		} else {
			s.v.Work[i.ID] = 3
		}
		s.v.Backends = append(s.v.Backends, b)
	}
	for _, i := range s.cloud {
		price := 8.0
		for _, o := range s.v.Offers {
			if (place{o.DataCentre, o.Zone, o.Class, o.Reclaimable}) == placeOf(i) {
				price = o.Price
			}
		}
		s.cost += price * step.Hours()
	}
	s.v.Instances = slices.DeleteFunc(s.v.Instances, func(i world.Instance) bool { return i.Phase == Gone })
}

// measure counts headroom after the loss of any one data centre.
func (s *site) measure(need int) {
	dcs, all := map[string]int{}, 0
	d := decision{now: s.now, v: s.v, backends: map[string]world.Backend{}}
	for _, b := range s.v.Backends {
		d.backends[b.ID] = b
	}
	for _, i := range s.v.Instances {
		if d.isReady(i) {
			dcs[i.DataCentre]++
			all++
		}
	}
	most := 0
	for _, n := range dcs {
		most = max(most, n)
	}
	if all-most < need {
		s.broken++
	}
	if all < need {
		s.short++
	}
}

// cheapestFirst is the naive policy: one third more than needed, bought where it is cheapest.
func cheapestFirst(_ time.Time, v View) []Action {
	need := int(math.Ceil(v.Demand["s"].Recent / (8 * use)))
	need += (need + 2) / 3
	var out []Action
	best := v.Offers[0]
	for _, o := range v.Offers {
		if o.Price < best.Price {
			best = o
		}
	}
	alive := 0
	for _, i := range v.Instances {
		if i.Phase == Requested {
			out = append(out, Action{Kind: Buy, ID: i.RequestID, Request: i.RequestID})
		}
		if i.LeaveBy.IsZero() && (i.Phase == Running || i.Phase == Requested) {
			alive++
		}
	}
	for n := range max(need-alive, 0) {
		id := buyID(v.Deployment, v.Bought+1+uint64(n))
		out = append(out, Action{Kind: Buy, ID: id, Request: id, Service: "s", Version: "v1", DataCentre: best.DataCentre, Zone: best.Zone, Class: best.Class, Reclaimable: best.Reclaimable})
	}
	return out
}

func onDemandOnly(now time.Time, v View) []Action {
	v.Offers = slices.DeleteFunc(slices.Clone(v.Offers), func(o Offer) bool { return o.Reclaimable })
	return Decide(now, v)
}

func day(seed uint64, policy func(time.Time, View) []Action) *site {
	s := newSite(seed, declaration(4, 40))
	for step := range 2880 {
		slots := 60 + 30*math.Sin(float64(step)/2880*2*math.Pi)
		s.v.Demand["s"] = Demand{slots, 90}
		for _, a := range policy(s.now, s.v) {
			s.run(a)
		}
		s.advance(true)
		if step > 20 {
			s.measure(int(math.Ceil(slots / (8 * use))))
		}
	}
	return s
}

// Guards against a mix that costs as much as on-demand instances, or that is
// cheap because it does without headroom.
func TestCost(t *testing.T) {
	var cost [3]float64
	var broken, short [3]int
	for seed := range uint64(*days) {
		for n, policy := range []func(time.Time, View) []Action{Decide, onDemandOnly, cheapestFirst} {
			s := day(seed, policy)
			cost[n] += s.cost
			broken[n] += s.broken
			short[n] += s.short
		}
	}
	t.Logf("seeds 0 to %d, a day each: cost of Decide %.0f, on demand %.0f, cheapest first %.0f", *days-1, cost[0], cost[1], cost[2])
	t.Logf("of %d steps without headroom: %v, without capacity for the work: %v", *days*2859, broken, short)
	if cost[0] > 0.7*cost[1] || short[0] > short[2]/10 || broken[0] > *days*2859/20 || broken[0] >= broken[2] {
		t.Errorf("the mix is too expensive or lacks headroom")
	}
}

// Guards against double purchases, instances that nobody knows, stops that cut work
// and cleaning that is late or costs headroom, when controllers die between any two
// steps and an old controller repeats decisions made on an older state.
func TestCrashes(t *testing.T) {
	for seed := range uint64(8) {
		s := newSite(seed, declaration(4, 40))
		s.crash = 0.2
		s.v.Declaration.Cleaning.EveryHours = 12
		var old []Action
		for step := range 2880 {
			s.v.Demand["s"] = Demand{30, 30}
			actions := Decide(s.now, s.v)
			for _, a := range actions {
				if !s.run(a) {
					break
				}
			}
			for _, a := range old {
				if a.Kind == Buy {
					s.run(a)
				}
			}
			old = actions
			s.advance(false)
			if len(s.cloud) > len(s.v.Instances) || len(s.v.Instances) > 14 {
				t.Fatalf("seed %d, step %d: %d instances paid for, %d recorded", seed, step, len(s.cloud), len(s.v.Instances))
			}
			if step > 100 {
				s.measure(5)
			}
			for _, i := range s.v.Instances {
				if s.now.Sub(i.Cleaned) > 12*time.Hour {
					t.Fatalf("seed %d, step %d: cleaning of %s is overdue", seed, step, i.RequestID)
				}
			}
		}
		if len(s.faults) > 0 || s.broken > 0 || s.cleaned == 0 {
			t.Errorf("seed %d: %v; %d steps without headroom; %d cleanings", seed, s.faults, s.broken, s.cleaned)
		}
		t.Logf("seed %d: %d purchases recorded, %d cleanings", seed, s.v.Bought, s.cleaned)
	}
}

// Guards against a mix that does not survive the loss of a data centre or costs
// more than the best of all mixes.
func TestCheapestAgainstNaive(t *testing.T) {
	for seed := range uint64(60) {
		r := rand.New(rand.NewPCG(seed, 6))
		need := 1 + r.IntN(4)
		var bins []bin
		for dc := range 3 {
			bins = append(bins,
				bin{place{fmt.Sprint(dc), "z", "large", true}, 1 + 3*r.Float64(), r.IntN(6)},
				bin{place{fmt.Sprint(dc), "z", "large", false}, 5 + r.Float64(), 6})
		}
		slices.SortFunc(bins, func(a, b bin) int {
			if a.price < b.price {
				return -1
			}
			return 1
		})
		best := math.Inf(1)
		var try func(n int, cost float64, dcs [3]int)
		try = func(n int, cost float64, dcs [3]int) {
			if cost >= best {
				return
			}
			if n == len(bins) {
				if dcs[0]+dcs[1]+dcs[2]-max(dcs[0], dcs[1], dcs[2]) >= need {
					best = cost
				}
				return
			}
			for k := range bins[n].cap + 1 {
				next := dcs
				next[bins[n].dc[0]-'0'] += k
				try(n+1, cost+float64(k)*bins[n].price, next)
			}
		}
		try(0, 0, [3]int{})
		got, missing := cheapest(bins, need, 1, 0)
		cost, dcs, all := 0.0, map[string]int{}, 0
		for _, b := range bins {
			cost += float64(got[b.place]) * b.price
			dcs[b.dc] += got[b.place]
			all += got[b.place]
		}
		if missing > 0 || all-max(dcs["0"], dcs["1"], dcs["2"]) < need || cost > best+1e-9 {
			t.Errorf("seed %d: need %d: cost %.2f, best %.2f, missing %d, %v", seed, need, cost, best, missing, got)
		}
	}
}

// Guards against pauses outside 5 s to 300 s and against a queue that lets a
// load without urgency go first.
func TestPausesAndQueue(t *testing.T) {
	var all []Refusal
	now, i := start, world.Instance{DataCentre: "dc0", Class: "large"}
	for _, want := range []int{5, 10, 20, 40, 80, 160, 300, 300} {
		all = Refused(Refused(all, i, now), i, now)
		if got := all[0].Until().Sub(now); got != time.Duration(want)*time.Second {
			t.Fatalf("pause %s, want %d s", got, want)
		}
		now = all[0].Until()
	}
	if len(Accepted(all, i)) != 0 {
		t.Error("an accepted start left the refusals")
	}
	loads := []Load{{Order: "grow", Urgency: Growth}, {Order: "later", Urgency: ForMove, Deadline: start.Add(time.Hour)}, {Order: "sooner", Urgency: ForMove, Deadline: start}, {Order: "lost", Urgency: Headroom}}
	got := WeightQueue{AtOnce: 4}.Next(now, loads[:1], loads)
	if len(got) != 3 || got[0].Order != "lost" || got[1].Order != "sooner" || got[2].Order != "later" {
		t.Errorf("got %v", got)
	}
}

// settled returns a site at rest, with its instances ready.
func settled(d decl.Declaration) *site {
	s := newSite(1, d)
	s.v.Demand["s"] = Demand{20, 20}
	for range 10 {
		for _, a := range Decide(s.now, s.v) {
			s.run(a)
		}
		s.advance(false)
	}
	return s
}

// Guards against single rules of a decision being lost: each case changes one
// thing at a site at rest, whose instances all have version v1.
func TestDecide(t *testing.T) {
	move := world.Move{ID: "m", Service: "s", From: "v1", To: "v2", Started: start, Deadline: start.Add(time.Hour)}
	moving := func(s *site, share float64) {
		s.v.Moves, s.v.Provision = []world.Move{move}, map[string]float64{"m": share}
	}
	tests := []struct {
		name   string
		change func(*site)
		want   map[Kind]int // without Tell
	}{
		{"nothing", func(*site) {}, map[Kind]int{}},
		{"reclaim notice", func(s *site) { s.v.Instances[0].LeaveBy = s.now.Add(time.Minute) }, map[Kind]int{Drain: 1, Buy: 1}},
		{"first share of a move", func(s *site) { moving(s, 0.05) }, map[Kind]int{Buy: 1}},
		{"full share of a move", func(s *site) { moving(s, 1) }, map[Kind]int{Buy: 6}},
		{"done move without its servers", func(s *site) { s.v.Versions = map[string]string{"s": "v2"} }, map[Kind]int{Buy: 6}},
		{"small price change", func(s *site) {
			for n := range s.v.Offers {
				s.v.Offers[n].Price *= 1 + 0.05*float64(n%2)
			}
		}, map[Kind]int{}},
		{"preset at its start", func(s *site) { s.v.Preset, s.v.Previous, s.v.PresetAt = "peak", "p", s.now }, map[Kind]int{}},
		{"preset half way", func(s *site) {
			s.v.Preset, s.v.Previous, s.v.PresetAt = "peak", "p", s.now.Add(-5*time.Minute)
		}, map[Kind]int{Buy: 3}}, // 9 in three cheap data centres instead of 8 in four
		{"restarted server", func(s *site) { s.v.Backends[0].Versions = nil }, map[Kind]int{LoadVersion: 1}},
		{"adapter", func(s *site) { s.v.Adapters = map[string][]string{"s": {"a"}}; s.v.Queue.AtOnce = 2 }, map[Kind]int{LoadAdapter: 2}},
		{"role", func(s *site) { s.v.Roles = map[string]string{s.v.Backends[0].ID: "prefill"} }, map[Kind]int{SetRole: 1}},
		{"cleaning is due", func(s *site) { s.v.Instances[0].Cleaned = s.now.Add(-160 * time.Hour) }, map[Kind]int{Buy: 1}}, // headroom first
		{"cleaning in maintenance", func(s *site) {
			s.v.Preset = "peak"
			s.v.Instances[0].Cleaned = s.now.Add(-160 * time.Hour)
			s.v.Declaration.Presets[1].Capacity[0].Min, s.v.Declaration.Presets[1].OnDemandShare = 4, 0.2
		}, map[Kind]int{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := settled(declaration(4, 40))
			tt.change(s)
			got := map[Kind]int{}
			for _, a := range Decide(s.now, s.v) {
				if a.Kind != Tell {
					got[a.Kind]++
				}
			}
			if !maps.Equal(got, tt.want) {
				t.Errorf("got %v, want %v (%d instances)", got, tt.want, len(s.v.Instances))
			}
		})
	}
}

func benchSite(n int) *site {
	s := newSite(1, declaration(n, 2*n))
	for range 10 {
		for _, a := range Decide(s.now, s.v) {
			s.run(a)
		}
		s.advance(false)
	}
	return s
}

func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{10, 2800} {
		s := benchSite(n)
		b.Run(fmt.Sprint(len(s.v.Instances)), func(b *testing.B) {
			for b.Loop() {
				Decide(s.now, s.v)
			}
		})
	}
}
