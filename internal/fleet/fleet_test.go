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

func declaration(minimum, maximum int) decl.Declaration {
	return decl.Declaration{
		Classes:  []decl.MachineClass{{Name: "large", OnDemandPrice: 8, ReclaimablePrice: 3}},
		Services: []decl.Service{{Name: "s", Kind: decl.Model, Version: "v1", Class: "large", Slots: 8}},
		Presets: []decl.Preset{
			{Name: "p", Capacity: []decl.Capacity{{Service: "s", Min: minimum, Max: maximum}}, SpareDataCentres: 1, OnDemandShare: 0.2, CleaningAllowed: true},
			{Name: "peak", Capacity: []decl.Capacity{{Service: "s", Min: 2 * minimum, Max: maximum}}, SpareDataCentres: 1, PaceSeconds: 600},
		},
		Cleaning: decl.Cleaning{EveryHours: 168, MaxAtOnce: 1, DrainMinutes: 30},
	}
}

// simulation is a deployment on a cloud that reclaims and refuses instances and loses
// data centres.
type simulation struct {
	rnd              *rand.Rand
	view             View
	now              time.Time
	paid             map[string]world.Instance // by RequestID: instances that are billed
	readyAt          map[string]time.Time      // by instance ID
	draining         map[string]bool
	refusedUntil     map[string]time.Time // by data centre: end of the refusal of reclaimable starts
	crashProbability float64              // probability of a controller crash between two steps
	violations       []string
	cleaned          int
	cost             float64
	withoutHeadroom  int // steps with too few servers after the loss of a data centre
	overloaded       int // steps with fewer ready servers than the load needs
}

func newSimulation(seed uint64, d decl.Declaration) *simulation {
	s := &simulation{
		rnd: rand.New(rand.NewPCG(seed, 5)), now: start, paid: map[string]world.Instance{}, readyAt: map[string]time.Time{},
		draining: map[string]bool{}, refusedUntil: map[string]time.Time{},
	}
	s.view = View{Declaration: d, Preset: "p", Demand: map[string]Demand{}, Requests: map[string]int{}, Queue: WeightQueue{MaxConcurrent: 8}}
	for dc := range 4 {
		for z := range 2 {
			name, zone := fmt.Sprint("dc", dc), fmt.Sprint("z", z)
			s.view.Offers = append(s.view.Offers, Offer{name, zone, "large", false, 8}, Offer{name, zone, "large", true, 2.5 + s.rnd.Float64()})
		}
	}
	return s
}

func (s *simulation) index(requestID string) int {
	return slices.IndexFunc(s.view.Instances, func(i world.Instance) bool { return i.RequestID == requestID })
}

// execute records an action and then executes it; the controller may crash in between.
// It returns false after a crash.
func (s *simulation) execute(a Action) bool {
	n := s.index(a.RequestID)
	switch {
	case a.Kind == Buy && n < 0:
		if !IsNextPurchase(a, s.view.Deployment, s.view.PurchaseCount) {
			return true // decided from an older state
		}
		i, _ := RecordAction(world.Instance{}, a, s.now)
		s.view.Instances, s.view.PurchaseCount = append(s.view.Instances, i), s.view.PurchaseCount+1
		n = len(s.view.Instances) - 1
	case n < 0:
		return true
	default:
		if i, ok := RecordAction(s.view.Instances[n], a, s.now); ok {
			s.view.Instances[n] = i
		}
	}
	if s.rnd.Float64() < s.crashProbability {
		return false
	}
	i := s.view.Instances[n]
	switch a.Kind {
	case Buy:
		if i.Phase != Requested {
			return true
		}
		if _, bought := s.paid[i.RequestID]; !bought && i.Reclaimable && s.now.Before(s.refusedUntil[i.DataCentre]) {
			s.view.Refusals = AddRefusal(s.view.Refusals, i, s.now)
			s.view.Instances[n] = i.WithPhase(Gone, s.now)
			return true
		}
		i.ID = "i-" + i.RequestID
		s.paid[i.RequestID] = i
		s.readyAt[i.ID] = s.now.Add(2 * time.Minute)
		if s.rnd.Float64() < s.crashProbability {
			return false // the response is lost
		}
		s.view.Refusals = ClearRefusals(s.view.Refusals, i)
		s.view.Instances[n] = i.WithPhase(Running, s.now)
	case Drain:
		s.draining[i.ID] = true
	case Clean:
		s.draining[i.ID] = false
		s.cleaned++
		i.Cleaned = s.now
		s.view.Instances[n] = i.WithPhase(Running, s.now)
	case Stop:
		if s.view.Requests[i.ID] > 0 {
			s.violations = append(s.violations, i.RequestID+" was stopped with requests in flight")
		}
		delete(s.paid, i.RequestID)
		s.view.Instances[n] = i.WithPhase(Gone, s.now)
	}
	return true
}

// advance advances the simulation by 30 s.
func (s *simulation) advance(reclaims bool) {
	const step = 30 * time.Second
	s.now = s.now.Add(step)
	for n := range s.view.Offers {
		if o := &s.view.Offers[n]; o.Reclaimable {
			o.Price = min(max(o.Price*(1+0.01*s.rnd.NormFloat64()), 1.5), 6)
		}
	}
	if reclaims && s.rnd.IntN(240) == 0 { // every two hours on average
		o := s.view.Offers[s.rnd.IntN(len(s.view.Offers))]
		wholeDataCentre := s.rnd.IntN(4) == 0
		s.refusedUntil[o.DataCentre] = s.now.Add(time.Duration(s.rnd.IntN(30)) * time.Minute)
		for n, i := range s.view.Instances {
			if i.ID != "" && i.Phase != Gone && i.DataCentre == o.DataCentre && i.Reclaimable && (wholeDataCentre || i.Zone == o.Zone) && i.LeaveBy.IsZero() {
				s.view.Instances[n].LeaveBy = s.now.Add(step)
			}
		}
	}
	s.view.Backends = s.view.Backends[:0]
	for n, i := range s.view.Instances {
		if !i.LeaveBy.IsZero() && s.now.After(i.LeaveBy) && i.Phase != Gone {
			delete(s.paid, i.RequestID)
			s.view.Instances[n] = i.WithPhase(Gone, s.now)
		}
		if _, isPaid := s.paid[i.RequestID]; !isPaid || s.now.Before(s.readyAt[i.ID]) || i.ID == "" {
			continue
		}
		b := world.Backend{ID: i.ID, Service: i.Service, Versions: []string{i.Version}, State: world.Ready}
		if s.draining[i.ID] {
			b.State = world.Leaving
			s.view.Requests[i.ID] = max(s.view.Requests[i.ID]-s.rnd.IntN(2), 0)
		} else {
			s.view.Requests[i.ID] = 3
		}
		s.view.Backends = append(s.view.Backends, b)
	}
	for _, i := range s.paid {
		price := 8.0
		for _, o := range s.view.Offers {
			if (placement{o.DataCentre, o.Zone, o.Class, o.Reclaimable}) == placementOf(i) {
				price = o.Price
			}
		}
		s.cost += price * step.Hours()
	}
	s.view.Instances = slices.DeleteFunc(s.view.Instances, func(i world.Instance) bool { return i.Phase == Gone })
}

// measureHeadroom counts steps without headroom for the loss of any one data centre.
func (s *simulation) measureHeadroom(required int) {
	perDataCentre, ready := map[string]int{}, 0
	d := decision{now: s.now, view: s.view, backends: map[string]world.Backend{}}
	for _, b := range s.view.Backends {
		d.backends[b.ID] = b
	}
	for _, i := range s.view.Instances {
		if d.isReady(i) {
			perDataCentre[i.DataCentre]++
			ready++
		}
	}
	largest := 0
	for _, n := range perDataCentre {
		largest = max(largest, n)
	}
	if ready-largest < required {
		s.withoutHeadroom++
	}
	if ready < required {
		s.overloaded++
	}
}

// cheapestFirst is a naive policy that buys the required number plus a third of the
// cheapest offer.
func cheapestFirst(_ time.Time, v View) []Action {
	required := int(math.Ceil(v.Demand["s"].Recent / (8 * targetUtilisation)))
	required += (required + 2) / 3
	var out []Action
	cheapest := v.Offers[0]
	for _, o := range v.Offers {
		if o.Price < cheapest.Price {
			cheapest = o
		}
	}
	alive := 0
	for _, i := range v.Instances {
		if i.Phase == Requested {
			out = append(out, Action{Kind: Buy, ID: i.RequestID, RequestID: i.RequestID})
		}
		if i.LeaveBy.IsZero() && (i.Phase == Running || i.Phase == Requested) {
			alive++
		}
	}
	for n := range max(required-alive, 0) {
		id := buyID(v.Deployment, v.PurchaseCount+1+uint64(n))
		out = append(out, Action{Kind: Buy, ID: id, RequestID: id, Service: "s", Version: "v1", DataCentre: cheapest.DataCentre, Zone: cheapest.Zone, Class: cheapest.Class, Reclaimable: cheapest.Reclaimable})
	}
	return out
}

func onDemandOnly(now time.Time, v View) []Action {
	v.Offers = slices.DeleteFunc(slices.Clone(v.Offers), func(o Offer) bool { return o.Reclaimable })
	return Decide(now, v)
}

func simulateDay(seed uint64, policy func(time.Time, View) []Action) *simulation {
	s := newSimulation(seed, declaration(4, 40))
	for step := range 2880 {
		slots := 60 + 30*math.Sin(float64(step)/2880*2*math.Pi)
		s.view.Demand["s"] = Demand{slots, 90}
		for _, a := range policy(s.now, s.view) {
			s.execute(a)
		}
		s.advance(true)
		if step > 20 {
			s.measureHeadroom(int(math.Ceil(slots / (8 * targetUtilisation))))
		}
	}
	return s
}

// Guards against a mix that costs as much as on-demand instances, or that is cheap
// because it lacks headroom.
func TestCost(t *testing.T) {
	var cost [3]float64
	var withoutHeadroom, overloaded [3]int
	for seed := range uint64(*days) {
		for n, policy := range []func(time.Time, View) []Action{Decide, onDemandOnly, cheapestFirst} {
			s := simulateDay(seed, policy)
			cost[n] += s.cost
			withoutHeadroom[n] += s.withoutHeadroom
			overloaded[n] += s.overloaded
		}
	}
	t.Logf("seeds 0 to %d, a day each: cost of Decide %.0f, on demand %.0f, cheapest first %.0f", *days-1, cost[0], cost[1], cost[2])
	t.Logf("of %d steps without headroom: %v, without capacity for the load: %v", *days*2859, withoutHeadroom, overloaded)
	if cost[0] > 0.7*cost[1] || overloaded[0] > overloaded[2]/10 || withoutHeadroom[0] > *days*2859/20 || withoutHeadroom[0] >= withoutHeadroom[2] {
		t.Errorf("the mix is too expensive or lacks headroom")
	}
}

// Guards against duplicate purchases, unrecorded instances, stops that abort requests,
// and cleaning that is late or costs headroom, when controllers crash between any two
// steps and a deposed controller repeats decisions from an older state.
func TestCrashes(t *testing.T) {
	for seed := range uint64(8) {
		s := newSimulation(seed, declaration(4, 40))
		s.crashProbability = 0.2
		s.view.Declaration.Cleaning.EveryHours = 12
		var previous []Action
		for step := range 2880 {
			s.view.Demand["s"] = Demand{30, 30}
			actions := Decide(s.now, s.view)
			for _, a := range actions {
				if !s.execute(a) {
					break
				}
			}
			for _, a := range previous {
				if a.Kind == Buy {
					s.execute(a)
				}
			}
			previous = actions
			s.advance(false)
			if len(s.paid) > len(s.view.Instances) || len(s.view.Instances) > 14 {
				t.Fatalf("seed %d, step %d: %d instances billed, %d recorded", seed, step, len(s.paid), len(s.view.Instances))
			}
			if step > 100 {
				s.measureHeadroom(5)
			}
			for _, i := range s.view.Instances {
				if s.now.Sub(i.Cleaned) > 12*time.Hour {
					t.Fatalf("seed %d, step %d: cleaning of %s is overdue", seed, step, i.RequestID)
				}
			}
		}
		if len(s.violations) > 0 || s.withoutHeadroom > 0 || s.cleaned == 0 {
			t.Errorf("seed %d: %v; %d steps without headroom; %d cleanings", seed, s.violations, s.withoutHeadroom, s.cleaned)
		}
		t.Logf("seed %d: %d purchases recorded, %d cleanings", seed, s.view.PurchaseCount, s.cleaned)
	}
}

// Guards against a mix that does not tolerate the loss of a data centre or costs more
// than the optimum found by exhaustive search.
func TestCheapestPlacementIsOptimal(t *testing.T) {
	for seed := range uint64(60) {
		r := rand.New(rand.NewPCG(seed, 6))
		required := 1 + r.IntN(4)
		var options []option
		for dc := range 3 {
			options = append(options,
				option{placement{fmt.Sprint(dc), "z", "large", true}, 1 + 3*r.Float64(), r.IntN(6)},
				option{placement{fmt.Sprint(dc), "z", "large", false}, 5 + r.Float64(), 6})
		}
		slices.SortFunc(options, func(a, b option) int {
			if a.price < b.price {
				return -1
			}
			return 1
		})
		lowestCost := math.Inf(1)
		var enumerate func(n int, cost float64, dcs [3]int)
		enumerate = func(n int, cost float64, dcs [3]int) {
			if cost >= lowestCost {
				return
			}
			if n == len(options) {
				if dcs[0]+dcs[1]+dcs[2]-max(dcs[0], dcs[1], dcs[2]) >= required {
					lowestCost = cost
				}
				return
			}
			for k := range options[n].cap + 1 {
				next := dcs
				next[options[n].dataCentre[0]-'0'] += k
				enumerate(n+1, cost+float64(k)*options[n].price, next)
			}
		}
		enumerate(0, 0, [3]int{})
		allocated, missing := cheapestPlacement(options, required, 1, 0)
		cost, perDataCentre, total := 0.0, map[string]int{}, 0
		for _, b := range options {
			cost += float64(allocated[b.placement]) * b.price
			perDataCentre[b.dataCentre] += allocated[b.placement]
			total += allocated[b.placement]
		}
		if missing > 0 || total-max(perDataCentre["0"], perDataCentre["1"], perDataCentre["2"]) < required || cost > lowestCost+1e-9 {
			t.Errorf("seed %d: need %d: cost %.2f, best %.2f, missing %d, %v", seed, required, cost, lowestCost, missing, allocated)
		}
	}
}

// Guards against retry delays outside 5 s to 300 s and against a queue that ignores the
// urgency of weight loads.
func TestRetryDelaysAndQueue(t *testing.T) {
	var refusals []Refusal
	now, i := start, world.Instance{DataCentre: "dc0", Class: "large"}
	for _, want := range []int{5, 10, 20, 40, 80, 160, 300, 300} {
		refusals = AddRefusal(AddRefusal(refusals, i, now), i, now)
		if got := refusals[0].RetryAt().Sub(now); got != time.Duration(want)*time.Second {
			t.Fatalf("delay %s, want %d s", got, want)
		}
		now = refusals[0].RetryAt()
	}
	if len(ClearRefusals(refusals, i)) != 0 {
		t.Error("an accepted start did not clear the refusals")
	}
	loads := []WeightLoad{{OrderID: "grow", Urgency: Growth}, {OrderID: "later", Urgency: ForMove, Deadline: start.Add(time.Hour)}, {OrderID: "sooner", Urgency: ForMove, Deadline: start}, {OrderID: "lost", Urgency: Headroom}}
	got := WeightQueue{MaxConcurrent: 4}.Next(now, loads[:1], loads)
	if len(got) != 3 || got[0].OrderID != "lost" || got[1].OrderID != "sooner" || got[2].OrderID != "later" {
		t.Errorf("got %v", got)
	}
}

// steadyState returns a simulation in a steady state with all instances ready.
func steadyState(d decl.Declaration) *simulation {
	s := newSimulation(1, d)
	s.view.Demand["s"] = Demand{20, 20}
	for range 10 {
		for _, a := range Decide(s.now, s.view) {
			s.execute(a)
		}
		s.advance(false)
	}
	return s
}

// Guards against the loss of individual rules: each case changes one property of a
// deployment in a steady state whose instances all have version v1.
func TestDecide(t *testing.T) {
	move := world.Move{ID: "m", Service: "s", From: "v1", To: "v2", Started: start, Deadline: start.Add(time.Hour)}
	startMove := func(s *simulation, share float64) {
		s.view.Moves, s.view.Provision = []world.Move{move}, map[string]float64{"m": share}
	}
	tests := []struct {
		name   string
		change func(*simulation)
		want   map[Kind]int // except Report
	}{
		{"nothing", func(*simulation) {}, map[Kind]int{}},
		{"reclaim notice", func(s *simulation) { s.view.Instances[0].LeaveBy = s.now.Add(time.Minute) }, map[Kind]int{Drain: 1, Buy: 1}},
		{"first share of a move", func(s *simulation) { startMove(s, 0.05) }, map[Kind]int{Buy: 1}},
		{"full share of a move", func(s *simulation) { startMove(s, 1) }, map[Kind]int{Buy: 6}},
		{"ended move whose servers are missing", func(s *simulation) { s.view.Versions = map[string]string{"s": "v2"} }, map[Kind]int{Buy: 6}},
		{"small price change", func(s *simulation) {
			for n := range s.view.Offers {
				s.view.Offers[n].Price *= 1 + 0.05*float64(n%2)
			}
		}, map[Kind]int{}},
		{"preset at its start", func(s *simulation) { s.view.Preset, s.view.PreviousPreset, s.view.PresetSince = "peak", "p", s.now }, map[Kind]int{}},
		{"preset half way", func(s *simulation) {
			s.view.Preset, s.view.PreviousPreset, s.view.PresetSince = "peak", "p", s.now.Add(-5*time.Minute)
		}, map[Kind]int{Buy: 3}}, // 9 in three cheap data centres instead of 8 in four
		{"restarted server", func(s *simulation) { s.view.Backends[0].Versions = nil }, map[Kind]int{LoadVersion: 1}},
		{"adapter", func(s *simulation) { s.view.Adapters = map[string][]string{"s": {"a"}}; s.view.Queue.MaxConcurrent = 2 }, map[Kind]int{LoadAdapter: 2}},
		{"role", func(s *simulation) { s.view.Roles = map[string]string{s.view.Backends[0].ID: "prefill"} }, map[Kind]int{SetRole: 1}},
		{"cleaning is due", func(s *simulation) { s.view.Instances[0].Cleaned = s.now.Add(-160 * time.Hour) }, map[Kind]int{Buy: 1}}, // a purchase precedes the cleaning, to keep the headroom
		{"cleaning in maintenance", func(s *simulation) {
			s.view.Preset = "peak"
			s.view.Instances[0].Cleaned = s.now.Add(-160 * time.Hour)
			s.view.Declaration.Presets[1].Capacity[0].Min, s.view.Declaration.Presets[1].OnDemandShare = 4, 0.2
		}, map[Kind]int{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := steadyState(declaration(4, 40))
			tt.change(s)
			got := map[Kind]int{}
			for _, a := range Decide(s.now, s.view) {
				if a.Kind != Report {
					got[a.Kind]++
				}
			}
			if !maps.Equal(got, tt.want) {
				t.Errorf("got %v, want %v (%d instances)", got, tt.want, len(s.view.Instances))
			}
		})
	}
}

func benchSimulation(n int) *simulation {
	s := newSimulation(1, declaration(n, 2*n))
	for range 10 {
		for _, a := range Decide(s.now, s.view) {
			s.execute(a)
		}
		s.advance(false)
	}
	return s
}

func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{10, 2800} {
		s := benchSimulation(n)
		b.Run(fmt.Sprint(len(s.view.Instances)), func(b *testing.B) {
			for b.Loop() {
				Decide(s.now, s.view)
			}
		})
	}
}
