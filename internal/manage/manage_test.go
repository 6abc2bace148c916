package manage

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/backnd"
	"cranberrypath.example/cranberrypath/internal/cloud"
	"cranberrypath.example/cranberrypath/internal/contrl"
	"cranberrypath.example/cranberrypath/internal/entry/entrpb"
	"cranberrypath.example/cranberrypath/internal/event"
	"cranberrypath.example/cranberrypath/internal/fleet"
	"cranberrypath.example/cranberrypath/internal/judge"
	"cranberrypath.example/cranberrypath/internal/link"
	"cranberrypath.example/cranberrypath/internal/store"
	"cranberrypath.example/cranberrypath/internal/world"
	"cranberrypath.example/cranberrypath/pkg/decl"
)

var (
	start    = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	errCrash = errors.New("the leader has crashed")
	errLost  = errors.New("answer lost")
)

func declaration() decl.Declaration {
	preset := func(name string, n int) decl.Preset {
		return decl.Preset{Name: name, Capacity: []decl.Capacity{{Service: "s", Min: n, Max: 9}}, SpareDataCentres: 1, CleaningAllowed: true, PaceSeconds: 100}
	}
	return decl.Declaration{
		Classes:       []decl.MachineClass{{Name: "m", OnDemandPrice: 3, ReclaimablePrice: 1}},
		Services:      []decl.Service{{Name: "s", Kind: decl.Model, Versions: []string{"v1", "v2"}, Version: "v1", Class: "m", Slots: 8}},
		Organisations: []decl.Organisation{{Name: "a", Weight: 3}, {Name: "b", Weight: 1}},
		Presets:       []decl.Preset{preset("calm", 2), preset("peak", 6)},
		Cleaning:      decl.Cleaning{EveryHours: 1, MaxAtOnce: 1, DrainMinutes: 1},
		Moves:         decl.MovePolicy{FirstShare: 0.1, SoakSeconds: 1, FalseAlarm: 0.01},
	}
}

// machine is an instance of the fake cloud with its server.
type machine struct {
	cloud.Instance
	ready       time.Time
	incarnation uint64
	leaving     bool
	cleanUntil  time.Time
	versions    []string
	ids         map[string]bool // of orders
}

// deployment is a leader with a fake log, a fake cloud and fake servers. All
// proposals and calls are counted, and the leader crashes at one of them, with or
// without the effect of that one.
type deployment struct {
	t        *testing.T
	r        *rand.Rand
	now      time.Time
	store    *store.Store
	index    uint64
	term     uint64
	machines []*machine
	refuse   map[string]bool // data centres
	offers   bool
	notices  []cloud.Notice
	lose     float64 // share of answers that are lost
	steps    int
	crashAt  int
	crashed  bool
	ended    int // commands that ended a move
	events   []event.Event
	requests float64 // in use
	fail     string  // version whose requests fail
	recorder *judge.Recorder

	m      *Manager
	keeper *keeper
	mover  *mover
}

func deploy(t *testing.T, seed uint64, withCloud bool) *deployment {
	d := &deployment{
		t: t, r: rand.New(rand.NewPCG(seed, 9)), now: start, store: store.New(), refuse: map[string]bool{}, offers: withCloud,
		recorder: judge.NewRecorder("e1", 1),
	}
	d.apply(store.Apply(store.Origin{ID: "declare", By: "ann", At: start}, 0, declaration()))
	d.elect()
	return d
}

func (d *deployment) apply(c store.Command) (store.Result, error) {
	d.index++
	before := len(running(d.store.View()))
	r, err := store.DecodeResult(d.store.Apply(d.index, c.Encode()))
	if c.Op == store.OpEndMove && len(running(d.store.View())) < before {
		d.ended++
	}
	return r, err
}

// crash counts a step. It reports whether the leader crashes there.
func (d *deployment) crash() bool {
	d.steps++
	d.crashed = d.crashed || d.steps == d.crashAt
	return d.crashed
}

func (d *deployment) propose(_ context.Context, c store.Command) (store.Result, error) {
	if d.crashed {
		return store.Result{}, errCrash
	}
	if d.crash() {
		if d.steps%2 == 0 {
			_, _ = d.apply(c)
		}
		return store.Result{}, errCrash
	}
	if d.r.Float64() < d.lose {
		_, _ = d.apply(c) // the answer is lost and the proposer repeats the command
	}
	return d.apply(c)
}

// elect starts the controllers of a new leader, which knows what is recorded only.
func (d *deployment) elect() {
	d.term++
	d.crashed = false
	cfg := Config{
		Store: d.store, Clock: func() time.Time { return d.now }, Orders: d, Event: func(e event.Event) { d.events = append(d.events, e) },
		Timing: Timing{List: time.Second, Prices: time.Second}, CallsAtOnce: 1, // so that a seed repeats a run
	}
	if d.offers {
		cfg.Cloud = d
	}
	var err error
	if d.m, err = New(cfg); err != nil {
		d.t.Fatal(err)
	}
	l := contrl.Leadership{Fencing: contrl.Fencing{Term: d.term, Index: d.index}, Propose: d.propose}
	d.m.demand.begin(d.now)
	d.keeper, d.mover = newKeeper(d.m, l), newMover(d.m, l)
}

// advance lets time pass and the controllers decide once.
func (d *deployment) advance(by time.Duration) {
	d.now = d.now.Add(by)
	for _, m := range d.machines {
		if m.LeaveBy.IsZero() || d.now.Before(m.LeaveBy) {
			continue
		}
		m.State = cloud.Gone
	}
	d.report()
	ctx := context.Background()
	for _, err := range []error{d.keeper.step(ctx, d.now), d.mover.step(ctx, d.now)} {
		if err != nil && !errors.Is(err, errCrash) && !errors.Is(err, errLost) {
			d.t.Fatal(err)
		}
	}
	if d.crashed {
		d.elect()
		d.now = d.now.Add(4 * time.Second) // the pause before the first decision
		d.report()
	}
}

func (d *deployment) report() {
	msg := &entrpb.Demand{Node: "e1", Cell: "main", Services: []*entrpb.ServiceDemand{{
		Service: "s", Orgs: []*entrpb.OrgDemand{{Org: "a", Weight: 1, Want: d.requests, InUse: d.requests}},
	}}}
	for _, m := range d.machines {
		if b := d.server(m); b != nil {
			msg.Backends = append(msg.Backends, b)
		}
	}
	b, _ := proto.Marshal(msg)
	if _, err := d.m.Demand(context.Background(), link.Peer{Node: "e1"}, b, d.now); err != nil {
		d.t.Fatal(err)
	}
	for service, shares := range d.store.View().Shares {
		for version, share := range shares {
			for range int(100 * share) {
				d.recorder.Add(judge.Result{Service: service, Version: version, Route: "lookup", Failed: version == d.fail, First: time.Second}, d.now)
			}
		}
	}
	b, _ = d.recorder.Take(d.now).Encode()
	if _, err := d.m.Results(context.Background(), link.Peer{Node: "e1"}, b, d.now); err != nil {
		d.t.Fatal(err)
	}
}

func (d *deployment) server(m *machine) *entrpb.Backend {
	if m.State != cloud.Running || d.now.Before(m.ready) {
		return nil
	}
	if !m.cleanUntil.IsZero() && !d.now.Before(m.cleanUntil) {
		m.incarnation, m.leaving, m.cleanUntil = m.incarnation+1, false, time.Time{}
	}
	state := world.Ready
	if m.leaving || !m.LeaveBy.IsZero() {
		state = world.Leaving
	}
	return &entrpb.Backend{Id: m.ID, Incarnation: m.incarnation, Service: "s", Versions: m.versions, DataCentre: m.DataCentre, Slots: 8, State: uint32(state)}
}

func (d *deployment) Start(_ context.Context, s cloud.Start) (cloud.Instance, error) {
	if d.crashed || d.crash() && d.steps%2 == 0 {
		return cloud.Instance{}, errCrash
	}
	at := slices.IndexFunc(d.machines, func(m *machine) bool { return m.RequestID == s.RequestID })
	if at < 0 && d.refuse[s.DataCentre] {
		return cloud.Instance{}, &cloud.Refusal{Status: 409, Code: cloud.CodeNoCapacity}
	}
	if at < 0 {
		at = len(d.machines)
		d.machines = append(d.machines, &machine{
			Instance: cloud.Instance{
				ID: fmt.Sprint("i-", at), RequestID: s.RequestID, DataCentre: s.DataCentre, Zone: s.Zone, MachineClass: s.MachineClass,
				Reclaimable: s.Reclaimable, Service: s.Service, Version: s.Version, State: cloud.Running, Started: d.now,
			},
			ready: d.now.Add(2 * time.Second), incarnation: 1, versions: []string{s.Version}, ids: map[string]bool{},
		})
	}
	if d.crashed || d.r.Float64() < d.lose {
		return cloud.Instance{}, errLost
	}
	return d.machines[at].Instance, nil
}

func (d *deployment) Stop(_ context.Context, id string) error {
	if d.crashed || d.crash() {
		return errCrash
	}
	m := d.find(id)
	if !m.leaving {
		d.t.Errorf("%s was stopped without a drain", id)
	}
	m.State = cloud.Gone
	return nil
}

func (d *deployment) find(id string) *machine {
	return d.machines[slices.IndexFunc(d.machines, func(m *machine) bool { return m.ID == id })]
}

func (d *deployment) up() (all []*machine) {
	for _, m := range d.machines {
		if m.State == cloud.Running {
			all = append(all, m)
		}
	}
	return all
}

func (d *deployment) Instances(context.Context) (out []cloud.Instance, err error) {
	for _, m := range d.up() {
		out = append(out, m.Instance)
	}
	return out, nil
}

func (d *deployment) Notices(_ context.Context, after uint64) ([]cloud.Notice, uint64, error) {
	return d.notices[after:], uint64(len(d.notices)), nil
}

func (d *deployment) Prices(context.Context) (out []cloud.Price, err error) {
	for n, dc := range []string{"dc1", "dc2", "dc3"} {
		out = append(out, cloud.Price{DataCentre: dc, Zone: "a", MachineClass: "m", Reclaimable: true, Price: 1 + float64(n)/100},
			cloud.Price{DataCentre: dc, Zone: "a", MachineClass: "m", Price: 3})
	}
	return out, nil
}

func (d *deployment) Order(_ context.Context, b world.Backend, o backnd.Order) (bool, error) {
	if d.crashed || d.crash() {
		return false, errCrash
	}
	m := d.find(b.ID)
	if o.Fence.Term != d.term {
		d.t.Errorf("order %s has term %d, want %d", o.ID, o.Fence.Term, d.term)
	}
	if m.ids[o.ID] {
		return true, nil
	}
	m.ids[o.ID] = true
	switch o.Kind {
	case backnd.Drain:
		m.leaving = true
	case backnd.Clean:
		m.leaving, m.cleanUntil = true, d.now.Add(20*time.Second)
	case backnd.LoadVersion:
		m.versions = append(m.versions, o.Version)
	default:
		d.t.Errorf("unexpected order %+v", o)
	}
	return false, nil
}

func (d *deployment) count(kind string) (n int) {
	for _, e := range d.events {
		if e.Kind == kind {
			n++
		}
	}
	return n
}

// Guards against purchases that are made twice or forgotten when the leader dies
// before or after any record or call, and when answers of the log and the cloud
// are lost.
func TestPurchasesSurviveCrashes(t *testing.T) {
	crashes := 0
	for crashAt := range 10 {
		d := deploy(t, uint64(crashAt), true)
		d.crashAt, d.lose = crashAt, 0.3
		for range 90 {
			d.advance(time.Second)
		}
		crashes += int(d.term) - 1
		v := d.store.View()
		if len(d.machines) != 3 || len(v.Instances) != 3 || v.Bought != 3 {
			t.Fatalf("seed and crash at %d: %d instances started, %d recorded, %d purchases; want 3", crashAt, len(d.machines), len(v.Instances), v.Bought)
		}
		for _, i := range v.Instances {
			if i.Phase != fleet.Running || i.ID == "" {
				t.Fatalf("crash at %d: %+v", crashAt, i)
			}
		}
	}
	if crashes < 9 {
		t.Errorf("only %d leaders crashed", crashes)
	}
	t.Logf("seeds 0 to 9: %d leaders crashed", crashes)
}

// Guards against deployments that share an account of the cloud and take each
// other's instances for their own, because their request ids are the same.
func TestDeploymentsShareAnAccount(t *testing.T) {
	first := deploy(t, 1, true)
	for range 20 {
		first.advance(time.Second)
	}
	d := deploy(t, 2, true)
	for _, m := range first.up() {
		m.ready = start.Add(24 * time.Hour) // it announces itself to its own deployment
		d.machines = append(d.machines, m)
	}
	for range 20 {
		d.advance(time.Second)
	}
	if len(first.machines) != 3 || len(d.machines) != 6 {
		t.Fatalf("seeds 1 and 2: %d and %d instances started, want 3 of each", len(first.machines), len(d.machines)-3)
	}
	for _, i := range d.store.View().Instances {
		if slices.ContainsFunc(first.machines, func(m *machine) bool { return m.ID == i.ID }) {
			t.Errorf("%s of the other deployment is recorded", i.ID)
		}
	}
}

// Guards against moves with no or two statements, and against a wrong one, when
// the leader dies at any record or call of a move.
func TestMovesSurviveCrashes(t *testing.T) {
	for _, fail := range []string{"", "v2"} {
		crashAt := 1
		for ; ; crashAt++ {
			d := deploy(t, uint64(crashAt), true)
			d.lose, d.fail, d.requests = 0.2, fail, 4
			for range 30 {
				d.advance(time.Second)
			}
			move := store.Origin{ID: "m1", By: "ann", At: d.now}
			if _, err := d.apply(store.StartMove(move, "s", "v2", d.now.Add(3*time.Minute))); err != nil {
				t.Fatal(err)
			}
			d.crashAt = d.steps + crashAt
			for n := 0; n < 200 && (n < 20 || d.ended == 0); n++ {
				d.advance(time.Second)
			}
			m, _ := d.store.View().Move("m1")
			want := world.Done
			if fail != "" {
				want = world.TakenBack
			}
			if stated := d.count("move.ended"); stated < 1 || stated > 2 || m.Outcome != want || d.ended != 1 || m.Ended.After(m.Deadline.Add(5*time.Second)) {
				t.Fatalf("seed and crash at %d, %q fails: term %d, %d ends, %+v", crashAt, fail, d.term, d.ended, m)
			}
			if d.term == 1 {
				d.expectOnly(m)
				break // the move has no more steps
			}
		}
		if crashAt < 12 {
			t.Errorf("only %d leaders crashed", crashAt-1)
		}
		t.Logf("%q fails: seeds 1 to %d, a crash in all but the last", fail, crashAt)
	}
}

// expectOnly checks that the servers of the version that lost are drained and
// stopped in the end.
func (d *deployment) expectOnly(m store.Move) {
	stays := m.From
	if m.Outcome == world.Done {
		stays = m.To
	}
	for range 120 {
		d.advance(time.Second)
	}
	for _, i := range d.up() {
		if i.Version != stays {
			d.t.Errorf("%s of version %s still runs after the move ended as %s", i.ID, i.Version, m.Outcome)
		}
	}
	if len(d.up()) < 3 {
		d.t.Errorf("%d servers are left, want 3", len(d.up()))
	}
}

// Guards against a reclaimed zone that is not replaced, against starts that are
// tried again at once where they were refused, and against refusals that a new
// leader does not know.
func TestReclaimAndRefusals(t *testing.T) {
	d := deploy(t, 1, true)
	for range 20 {
		d.advance(time.Second)
	}
	lost := d.up()[0].DataCentre
	d.refuse[lost] = true
	for _, m := range d.up() {
		if m.DataCentre == lost {
			m.LeaveBy = d.now.Add(10 * time.Second)
			d.notices = append(d.notices, cloud.Notice{Number: 1, Instance: m.ID, LeaveBy: m.LeaveBy})
		}
	}
	d.crashAt = d.steps + 12
	for range 60 {
		d.advance(time.Second)
	}
	left := map[string]int{}
	for _, m := range d.up() {
		left[m.DataCentre]++
	}
	if left[lost] != 0 || len(d.up()) < 3 || d.count("instance.notice") == 0 || len(d.store.View().Instances) != len(d.up()) {
		t.Fatalf("instances %v, %d recorded, %d notices", left, len(d.store.View().Instances), d.count("instance.notice"))
	}
	// Pauses of 5, 10, 20 and 40 s leave room for at most five tries in 60 s for
	// each of the two kinds.
	if n := d.count("fleet.refused"); n > 10 {
		t.Fatalf("%d refused starts in a minute", n)
	}
}

// Guards against cleaning that is not recorded, takes headroom or is forgotten
// with the leader, with and without a cloud.
func TestCleaning(t *testing.T) {
	for _, withCloud := range []bool{true, false} {
		d := deploy(t, 2, withCloud)
		for n := range 3 {
			if withCloud {
				break
			}
			d.machines = append(d.machines, &machine{
				Instance:    cloud.Instance{ID: fmt.Sprint("own-", n), DataCentre: fmt.Sprint("dc", n), State: cloud.Running},
				incarnation: 1, versions: []string{"v1"}, ids: map[string]bool{},
			})
		}
		for n := range 720 {
			if n%100 == 99 {
				d.crashed = true
			}
			d.advance(10 * time.Second)
			leaving := 0
			for _, m := range d.up() {
				if m.leaving {
					leaving++
				}
			}
			if leaving > 1 {
				t.Fatalf("step %d: %d servers are being cleaned at the same time", n, leaving)
			}
		}
		if d.count("instance.cleaned") < 3 || d.count("instance.cleaningOverdue") > 0 || len(d.up()) < 3 {
			t.Errorf("cloud %v: %d cleanings, %d overdue, %d instances", withCloud, d.count("instance.cleaned"), d.count("instance.cleaningOverdue"), len(d.up()))
		}
	}
}

// Guards against a move without a cloud whose servers never get the new version.
func TestMoveOfGivenServers(t *testing.T) {
	d := deploy(t, 3, false)
	d.requests = 4
	for n := range 3 {
		d.machines = append(d.machines, &machine{
			Instance: cloud.Instance{ID: fmt.Sprint("own-", n), State: cloud.Running}, incarnation: 1, versions: []string{"v1"}, ids: map[string]bool{},
		})
	}
	d.advance(time.Second)
	if _, err := d.apply(store.StartMove(store.Origin{ID: "m1", By: "ann", At: d.now}, "s", "v2", d.now.Add(3*time.Minute))); err != nil {
		t.Fatal(err)
	}
	for range 200 {
		d.advance(time.Second)
	}
	if m, _ := d.store.View().Move("m1"); m.Outcome != world.Done {
		t.Fatalf("%+v", m)
	}
	for _, m := range d.machines {
		if !slices.Equal(m.versions, []string{"v1", "v2"}) {
			t.Errorf("%s has %v", m.ID, m.versions)
		}
	}
}

// Guards against a change of preset that takes effect at once, not at all, or
// again from the start when the leader changes.
func TestPresetIsPaced(t *testing.T) {
	d := deploy(t, 4, true)
	for range 20 {
		d.advance(time.Second)
	}
	if _, err := d.apply(store.SetPreset(store.Origin{ID: "p", By: "ann", At: d.now}, 0, "peak")); err != nil {
		t.Fatal(err)
	}
	for n := range 110 {
		d.crashed = n == 60
		d.advance(time.Second)
		if n == 50 && (len(d.up()) < 5 || len(d.up()) > 7) {
			t.Fatalf("%d instances half way, want about 6", len(d.up()))
		}
	}
	if len(d.up()) != 9 {
		t.Fatalf("%d instances at the end, want 6 and 3 spare ones", len(d.up()))
	}
}

// Guards against grants beyond the capacity, grants to a new leader's first
// reporters alone, and weights of a preset that is no longer in force.
func TestGrants(t *testing.T) {
	d := deploy(t, 5, true)
	for range 20 {
		d.advance(time.Second)
	}
	ask := func(node string, want float64) map[string]float64 {
		msg := &entrpb.Demand{Cell: "main", Services: []*entrpb.ServiceDemand{{Service: "s", Orgs: []*entrpb.OrgDemand{
			{Org: "a", Weight: 1, Want: want}, {Org: "b", Weight: 1, Want: want},
		}}}}
		if node == "e1" {
			for _, m := range d.up() {
				msg.Backends = append(msg.Backends, d.server(m))
			}
		}
		b, _ := proto.Marshal(msg)
		out, err := d.m.Demand(context.Background(), link.Peer{Node: node}, b, d.now)
		if err != nil {
			t.Fatal(err)
		}
		var g entrpb.Grants
		if err := proto.Unmarshal(out, &g); err != nil {
			t.Fatal(err)
		}
		sums := map[string]float64{}
		for _, one := range g.Grants {
			sums[one.Org] += one.Amount
		}
		return sums
	}
	ask("e1", 100)
	two := ask("e2", 100)
	one := ask("e1", 100)
	if got, want := one["a"]+two["a"], 27.0; got != want { // 3 servers, 8 slots, factor 1.5, weight 3 of 4
		t.Errorf("a has %g, want %g", got, want)
	}
	if got, want := one["b"]+two["b"], 9.0; got != want {
		t.Errorf("b has %g, want %g", got, want)
	}
	d.elect()
	if got := ask("e1", 100); len(got) != 0 {
		t.Errorf("a new leader granted %v to the first reporter", got)
	}
}

// BenchmarkDemand is one report at 350 entry instances in cells of 12 with 106
// backend servers each.
func BenchmarkDemand(b *testing.B) {
	m, err := New(Config{Store: store.New()})
	if err != nil {
		b.Fatal(err)
	}
	var reports [][]byte
	for n := range 350 {
		msg := &entrpb.Demand{Cell: fmt.Sprint("cell", n/12)}
		svc := &entrpb.ServiceDemand{Service: "s"}
		for o := range 5 {
			svc.Orgs = append(svc.Orgs, &entrpb.OrgDemand{Org: fmt.Sprint(o), Weight: 1, Want: 40, InUse: 20})
		}
		msg.Services = []*entrpb.ServiceDemand{svc}
		for e := range 9 {
			msg.Backends = append(msg.Backends, &entrpb.Backend{Id: fmt.Sprint("e-", n, "-", e), Service: "s", Versions: []string{"v1"}, Slots: 8, State: 1})
		}
		r, _ := proto.Marshal(msg)
		reports = append(reports, r)
	}
	m.demand.begin(start)
	now := start.Add(time.Hour)
	n := 0
	for b.Loop() {
		now = now.Add(time.Second / 350)
		if _, err := m.Demand(context.Background(), link.Peer{Node: fmt.Sprint(n % 350)}, reports[n%350], now); err != nil {
			b.Fatal(err)
		}
		n++
	}
}

// Guards against a new leader that takes servers away because it has seen little
// demand itself, takes traffic from a version whose servers are not reported yet,
// gives a judge the probability of an earlier one, or leaves an instance running
// whose start was given up too early.
func TestNewLeader(t *testing.T) {
	d := deploy(t, 6, true)
	d.requests = 30
	for range 70 {
		d.advance(10 * time.Second)
	}
	if _, err := d.apply(store.StartMove(store.Origin{ID: "m1", By: "ann", At: d.now}, "s", "v2", d.now.Add(time.Hour))); err != nil {
		t.Fatal(err)
	}
	for range 10 {
		d.advance(time.Second)
	}
	before, bought := len(d.up()), d.store.View().Bought
	if m, _ := d.store.View().Move("m1"); m.Share != 0.1 || before < 7 {
		t.Fatalf("share %g, %d instances; want 0.1 and more", m.Share, before)
	}
	d.requests = 0
	d.elect()
	for _, m := range d.machines {
		if m.Version == "v2" {
			m.ready = d.now.Add(2 * time.Second)
		}
	}
	for range 60 {
		d.advance(time.Second)
	}
	v := d.store.View()
	if n := d.count("fleet.drain"); n > 0 || len(d.up()) != before {
		t.Errorf("%d drains, %d instances, want %d", n, len(d.up()), before)
	}
	if m, _ := v.Move("m1"); m.Share != 0.1 || d.count("move.share") != 1 {
		t.Errorf("share %g after %d changes, want 0.1 after one", m.Share, d.count("move.share"))
	}
	if got := string(v.Notes[moveNotesName]); got != `{"judges":{"m1":2}}` {
		t.Errorf("judges %s, want 2", got)
	}
	given := v.Instances[0]
	if _, err := d.apply(store.SetPhase(store.Controller{Origin: store.Origin{ID: "give up", At: d.now}, Term: d.term}, given.RequestID, fleet.Gone)); err != nil {
		t.Fatal(err)
	}
	d.advance(time.Second)
	if i := d.store.View().Instances[0]; i.ID != given.ID || d.store.View().Bought != bought {
		t.Errorf("%+v, %d purchases; want %s again and %d", i, d.store.View().Bought, given.ID, bought)
	}
}
