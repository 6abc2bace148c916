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
	startTime = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	errCrash  = errors.New("the leader has crashed")
	errLost   = errors.New("answer lost")
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

// fakeInstance is an instance of the fake cloud with its server.
type fakeInstance struct {
	cloud.Instance
	readyAt     time.Time
	incarnation uint64
	leaving     bool
	cleanUntil  time.Time
	versions    []string
	orderIDs    map[string]bool // ids of executed orders
}

// fakeDeployment is a leader with a fake log, a fake cloud and fake servers. It counts
// proposals and calls, and the leader crashes at number crashStep, before or after
// the effect of that proposal or call.
type fakeDeployment struct {
	t              *testing.T
	rng            *rand.Rand
	now            time.Time
	store          *store.Store
	index          uint64
	term           uint64
	instances      []*fakeInstance
	refusing       map[string]bool // data centres that refuse starts
	withCloud      bool
	notices        []cloud.Notice
	lossRate       float64 // fraction of answers that are lost
	stepCount      int
	crashStep      int
	crashed        bool
	endedMoves     int // commands that ended a move
	events         []event.Event
	slotsInUse     float64 // reported demand
	failingVersion string  // version whose requests fail
	recorder       *judge.Recorder

	m         *Manager
	fleetLoop *fleetController
	moveLoop  *moveController
}

func newFakeDeployment(t *testing.T, seed uint64, withCloud bool) *fakeDeployment {
	d := &fakeDeployment{
		t: t, rng: rand.New(rand.NewPCG(seed, 9)), now: startTime, store: store.New(), refusing: map[string]bool{}, withCloud: withCloud,
		recorder: judge.NewRecorder("e1", 1),
	}
	d.apply(store.Apply(store.Origin{ID: "declare", By: "ann", At: startTime}, 0, declaration()))
	d.startLeader()
	return d
}

func (d *fakeDeployment) apply(c store.Command) (store.Result, error) {
	d.index++
	before := len(runningMoves(d.store.View()))
	r, err := store.DecodeResult(d.store.Apply(d.index, c.Encode()))
	if c.Op == store.OpEndMove && len(runningMoves(d.store.View())) < before {
		d.endedMoves++
	}
	return r, err
}

// crashesNow counts a step and reports whether the leader crashes at it.
func (d *fakeDeployment) crashesNow() bool {
	d.stepCount++
	d.crashed = d.crashed || d.stepCount == d.crashStep
	return d.crashed
}

func (d *fakeDeployment) propose(_ context.Context, c store.Command) (store.Result, error) {
	if d.crashed {
		return store.Result{}, errCrash
	}
	if d.crashesNow() {
		if d.stepCount%2 == 0 {
			_, _ = d.apply(c)
		}
		return store.Result{}, errCrash
	}
	if d.rng.Float64() < d.lossRate {
		_, _ = d.apply(c) // the answer is lost, so the proposer repeats the command
	}
	return d.apply(c)
}

// startLeader starts the controllers of a new leader, which knows only the recorded state.
func (d *fakeDeployment) startLeader() {
	d.term++
	d.crashed = false
	cfg := Config{
		Store: d.store, Clock: func() time.Time { return d.now }, Orders: d, Event: func(e event.Event) { d.events = append(d.events, e) },
		Timing: Timing{List: time.Second, Prices: time.Second}, ConcurrentCalls: 1, // makes runs reproducible by seed
	}
	if d.withCloud {
		cfg.Cloud = d
	}
	var err error
	if d.m, err = New(cfg); err != nil {
		d.t.Fatal(err)
	}
	l := contrl.Leadership{Fencing: contrl.Fencing{Term: d.term, Index: d.index}, Propose: d.propose}
	d.m.demand.setLeaderSince(d.now)
	d.fleetLoop, d.moveLoop = newFleetController(d.m, l), newMoveController(d.m, l)
}

// advance moves the clock forward and runs one step of each controller.
func (d *fakeDeployment) advance(by time.Duration) {
	d.now = d.now.Add(by)
	for _, m := range d.instances {
		if m.LeaveBy.IsZero() || d.now.Before(m.LeaveBy) {
			continue
		}
		m.State = cloud.Gone
	}
	d.sendReports()
	ctx := context.Background()
	for _, err := range []error{d.fleetLoop.step(ctx, d.now), d.moveLoop.step(ctx, d.now)} {
		if err != nil && !errors.Is(err, errCrash) && !errors.Is(err, errLost) {
			d.t.Fatal(err)
		}
	}
	if d.crashed {
		d.startLeader()
		d.now = d.now.Add(4 * time.Second) // the delay before the first decision
		d.sendReports()
	}
}

func (d *fakeDeployment) sendReports() {
	msg := &entrpb.Demand{Node: "e1", Cell: "main", Services: []*entrpb.ServiceDemand{{
		Service: "s", Orgs: []*entrpb.OrgDemand{{Org: "a", Weight: 1, Want: d.slotsInUse, InUse: d.slotsInUse}},
	}}}
	for _, m := range d.instances {
		if b := d.serverReport(m); b != nil {
			msg.Backends = append(msg.Backends, b)
		}
	}
	b, _ := proto.Marshal(msg)
	if _, err := d.m.HandleDemand(context.Background(), link.Peer{Node: "e1"}, b, d.now); err != nil {
		d.t.Fatal(err)
	}
	for service, shares := range d.store.View().Shares {
		for version, share := range shares {
			for range int(100 * share) {
				d.recorder.Add(judge.Result{Service: service, Version: version, Route: "lookup", Failed: version == d.failingVersion, TimeToFirstToken: time.Second}, d.now)
			}
		}
	}
	b, _ = d.recorder.Take(d.now).Encode()
	if _, err := d.m.HandleResults(context.Background(), link.Peer{Node: "e1"}, b, d.now); err != nil {
		d.t.Fatal(err)
	}
}

func (d *fakeDeployment) serverReport(m *fakeInstance) *entrpb.Backend {
	if m.State != cloud.Running || d.now.Before(m.readyAt) {
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

func (d *fakeDeployment) Start(_ context.Context, s cloud.Start) (cloud.Instance, error) {
	if d.crashed || d.crashesNow() && d.stepCount%2 == 0 {
		return cloud.Instance{}, errCrash
	}
	at := slices.IndexFunc(d.instances, func(m *fakeInstance) bool { return m.RequestID == s.RequestID })
	if at < 0 && d.refusing[s.DataCentre] {
		return cloud.Instance{}, &cloud.Refusal{Status: 409, Code: cloud.CodeNoCapacity}
	}
	if at < 0 {
		at = len(d.instances)
		d.instances = append(d.instances, &fakeInstance{
			Instance: cloud.Instance{
				ID: fmt.Sprint("i-", at), RequestID: s.RequestID, DataCentre: s.DataCentre, Zone: s.Zone, MachineClass: s.MachineClass,
				Reclaimable: s.Reclaimable, Service: s.Service, Version: s.Version, State: cloud.Running, Started: d.now,
			},
			readyAt: d.now.Add(2 * time.Second), incarnation: 1, versions: []string{s.Version}, orderIDs: map[string]bool{},
		})
	}
	if d.crashed || d.rng.Float64() < d.lossRate {
		return cloud.Instance{}, errLost
	}
	return d.instances[at].Instance, nil
}

func (d *fakeDeployment) Stop(_ context.Context, id string) error {
	if d.crashed || d.crashesNow() {
		return errCrash
	}
	m := d.findInstance(id)
	if !m.leaving {
		d.t.Errorf("%s was stopped without a drain", id)
	}
	m.State = cloud.Gone
	return nil
}

func (d *fakeDeployment) findInstance(id string) *fakeInstance {
	return d.instances[slices.IndexFunc(d.instances, func(m *fakeInstance) bool { return m.ID == id })]
}

func (d *fakeDeployment) runningInstances() (up []*fakeInstance) {
	for _, m := range d.instances {
		if m.State == cloud.Running {
			up = append(up, m)
		}
	}
	return up
}

func (d *fakeDeployment) Instances(context.Context) (out []cloud.Instance, err error) {
	for _, m := range d.runningInstances() {
		out = append(out, m.Instance)
	}
	return out, nil
}

func (d *fakeDeployment) Notices(_ context.Context, after uint64) ([]cloud.Notice, uint64, error) {
	return d.notices[after:], uint64(len(d.notices)), nil
}

func (d *fakeDeployment) Prices(context.Context) (out []cloud.Price, err error) {
	for n, dc := range []string{"dc1", "dc2", "dc3"} {
		out = append(out, cloud.Price{DataCentre: dc, Zone: "a", MachineClass: "m", Reclaimable: true, Price: 1 + float64(n)/100},
			cloud.Price{DataCentre: dc, Zone: "a", MachineClass: "m", Price: 3})
	}
	return out, nil
}

func (d *fakeDeployment) Order(_ context.Context, b world.Backend, o backnd.Order) (bool, error) {
	if d.crashed || d.crashesNow() {
		return false, errCrash
	}
	m := d.findInstance(b.ID)
	if o.Fence.Term != d.term {
		d.t.Errorf("order %s has term %d, want %d", o.ID, o.Fence.Term, d.term)
	}
	if m.orderIDs[o.ID] {
		return true, nil
	}
	m.orderIDs[o.ID] = true
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

func (d *fakeDeployment) countEvents(kind string) (n int) {
	for _, e := range d.events {
		if e.Kind == kind {
			n++
		}
	}
	return n
}

// Guards against duplicate or lost purchases when the leader crashes before or after
// any record or call, and when answers of the log and the cloud are lost.
func TestPurchasesSurviveCrashes(t *testing.T) {
	crashes := 0
	for crashStep := range 10 {
		d := newFakeDeployment(t, uint64(crashStep), true)
		d.crashStep, d.lossRate = crashStep, 0.3
		for range 90 {
			d.advance(time.Second)
		}
		crashes += int(d.term) - 1
		v := d.store.View()
		if len(d.instances) != 3 || len(v.Instances) != 3 || v.Bought != 3 {
			t.Fatalf("seed and crash at %d: %d instances started, %d recorded, %d purchases; want 3", crashStep, len(d.instances), len(v.Instances), v.Bought)
		}
		for _, i := range v.Instances {
			if i.Phase != fleet.Running || i.ID == "" {
				t.Fatalf("crash at %d: %+v", crashStep, i)
			}
		}
	}
	if crashes < 9 {
		t.Errorf("only %d leaders crashed", crashes)
	}
	t.Logf("seeds 0 to 9: %d leaders crashed", crashes)
}

// Guards against deployments that share a cloud account and adopt each other's
// instances because their request ids are equal.
func TestDeploymentsShareAnAccount(t *testing.T) {
	first := newFakeDeployment(t, 1, true)
	for range 20 {
		first.advance(time.Second)
	}
	d := newFakeDeployment(t, 2, true)
	for _, m := range first.runningInstances() {
		m.readyAt = startTime.Add(24 * time.Hour) // its server reports to the first deployment only
		d.instances = append(d.instances, m)
	}
	for range 20 {
		d.advance(time.Second)
	}
	if len(first.instances) != 3 || len(d.instances) != 6 {
		t.Fatalf("seeds 1 and 2: %d and %d instances started, want 3 of each", len(first.instances), len(d.instances)-3)
	}
	for _, i := range d.store.View().Instances {
		if slices.ContainsFunc(first.instances, func(m *fakeInstance) bool { return m.ID == i.ID }) {
			t.Errorf("%s of the other deployment is recorded", i.ID)
		}
	}
}

// Guards against moves with a missing, duplicate or wrong outcome when the leader
// crashes at any record or call of a move.
func TestMovesSurviveCrashes(t *testing.T) {
	for _, failing := range []string{"", "v2"} {
		crashStep := 1
		for ; ; crashStep++ {
			d := newFakeDeployment(t, uint64(crashStep), true)
			d.lossRate, d.failingVersion, d.slotsInUse = 0.2, failing, 4
			for range 30 {
				d.advance(time.Second)
			}
			move := store.Origin{ID: "m1", By: "ann", At: d.now}
			if _, err := d.apply(store.StartMove(move, "s", "v2", d.now.Add(3*time.Minute))); err != nil {
				t.Fatal(err)
			}
			d.crashStep = d.stepCount + crashStep
			for n := 0; n < 200 && (n < 20 || d.endedMoves == 0); n++ {
				d.advance(time.Second)
			}
			m, _ := d.store.View().Move("m1")
			want := world.Done
			if failing != "" {
				want = world.TakenBack
			}
			if reported := d.countEvents("move.ended"); reported < 1 || reported > 2 || m.Outcome != want || d.endedMoves != 1 || m.Ended.After(m.Deadline.Add(5*time.Second)) {
				t.Fatalf("seed and crash at %d, %q fails: term %d, %d ends, %+v", crashStep, failing, d.term, d.endedMoves, m)
			}
			if d.term == 1 {
				d.expectOnlyVersion(m)
				break // the move has no more steps
			}
		}
		if crashStep < 12 {
			t.Errorf("only %d leaders crashed", crashStep-1)
		}
		t.Logf("%q fails: seeds 1 to %d, a crash in all but the last", failing, crashStep)
	}
}

// expectOnlyVersion checks that the servers of the version without traffic are
// drained and stopped eventually.
func (d *fakeDeployment) expectOnlyVersion(m store.Move) {
	want := m.From
	if m.Outcome == world.Done {
		want = m.To
	}
	for range 120 {
		d.advance(time.Second)
	}
	for _, i := range d.runningInstances() {
		if i.Version != want {
			d.t.Errorf("%s of version %s still runs after the move ended as %s", i.ID, i.Version, m.Outcome)
		}
	}
	if len(d.runningInstances()) < 3 {
		d.t.Errorf("%d servers are left, want 3", len(d.runningInstances()))
	}
}

// Guards against a reclaimed zone whose instances are not replaced, starts that are
// retried without backoff where they were refused, and refusals that a new leader
// does not know about.
func TestReclaimAndRefusals(t *testing.T) {
	d := newFakeDeployment(t, 1, true)
	for range 20 {
		d.advance(time.Second)
	}
	lost := d.runningInstances()[0].DataCentre
	d.refusing[lost] = true
	for _, m := range d.runningInstances() {
		if m.DataCentre == lost {
			m.LeaveBy = d.now.Add(10 * time.Second)
			d.notices = append(d.notices, cloud.Notice{Number: 1, Instance: m.ID, LeaveBy: m.LeaveBy})
		}
	}
	d.crashStep = d.stepCount + 12
	for range 60 {
		d.advance(time.Second)
	}
	left := map[string]int{}
	for _, m := range d.runningInstances() {
		left[m.DataCentre]++
	}
	if left[lost] != 0 || len(d.runningInstances()) < 3 || d.countEvents("instance.notice") == 0 || len(d.store.View().Instances) != len(d.runningInstances()) {
		t.Fatalf("instances %v, %d recorded, %d notices", left, len(d.store.View().Instances), d.countEvents("instance.notice"))
	}
	// Backoff delays of 5, 10, 20 and 40 s allow at most five attempts in 60 s for
	// each of the two kinds of instances.
	if n := d.countEvents("fleet.refused"); n > 10 {
		t.Fatalf("%d refused starts in a minute", n)
	}
}

// Guards against cleaning that is not recorded, uses up headroom or is forgotten
// after a change of leader, with and without a cloud.
func TestCleaning(t *testing.T) {
	for _, withCloud := range []bool{true, false} {
		d := newFakeDeployment(t, 2, withCloud)
		for n := range 3 {
			if withCloud {
				break
			}
			d.instances = append(d.instances, &fakeInstance{
				Instance:    cloud.Instance{ID: fmt.Sprint("own-", n), DataCentre: fmt.Sprint("dc", n), State: cloud.Running},
				incarnation: 1, versions: []string{"v1"}, orderIDs: map[string]bool{},
			})
		}
		for n := range 720 {
			if n%100 == 99 {
				d.crashed = true
			}
			d.advance(10 * time.Second)
			leaving := 0
			for _, m := range d.runningInstances() {
				if m.leaving {
					leaving++
				}
			}
			if leaving > 1 {
				t.Fatalf("step %d: %d servers are being cleaned at the same time", n, leaving)
			}
		}
		if d.countEvents("instance.cleaned") < 3 || d.countEvents("instance.cleaningOverdue") > 0 || len(d.runningInstances()) < 3 {
			t.Errorf("cloud %v: %d cleanings, %d overdue, %d instances", withCloud, d.countEvents("instance.cleaned"), d.countEvents("instance.cleaningOverdue"), len(d.runningInstances()))
		}
	}
}

// Guards against a move without a cloud that never loads the new version on the
// existing servers.
func TestMoveOfGivenServers(t *testing.T) {
	d := newFakeDeployment(t, 3, false)
	d.slotsInUse = 4
	for n := range 3 {
		d.instances = append(d.instances, &fakeInstance{
			Instance: cloud.Instance{ID: fmt.Sprint("own-", n), State: cloud.Running}, incarnation: 1, versions: []string{"v1"}, orderIDs: map[string]bool{},
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
	for _, m := range d.instances {
		if !slices.Equal(m.versions, []string{"v1", "v2"}) {
			t.Errorf("%s has %v", m.ID, m.versions)
		}
	}
}

// Guards against a change of preset that takes effect immediately, never, or starts
// over when the leader changes.
func TestPresetIsPaced(t *testing.T) {
	d := newFakeDeployment(t, 4, true)
	for range 20 {
		d.advance(time.Second)
	}
	if _, err := d.apply(store.SetPreset(store.Origin{ID: "p", By: "ann", At: d.now}, 0, "peak")); err != nil {
		t.Fatal(err)
	}
	for n := range 110 {
		d.crashed = n == 60
		d.advance(time.Second)
		if n == 50 && (len(d.runningInstances()) < 5 || len(d.runningInstances()) > 7) {
			t.Fatalf("%d instances half way, want about 6", len(d.runningInstances()))
		}
	}
	if len(d.runningInstances()) != 9 {
		t.Fatalf("%d instances at the end, want 6 and 3 spare ones", len(d.runningInstances()))
	}
}

// Guards against grants beyond the capacity, a new leader that divides the capacity
// among its first reporters only, and weights of a preset that is no longer active.
func TestGrants(t *testing.T) {
	d := newFakeDeployment(t, 5, true)
	for range 20 {
		d.advance(time.Second)
	}
	demand := func(node string, want float64) map[string]float64 {
		msg := &entrpb.Demand{Cell: "main", Services: []*entrpb.ServiceDemand{{Service: "s", Orgs: []*entrpb.OrgDemand{
			{Org: "a", Weight: 1, Want: want}, {Org: "b", Weight: 1, Want: want},
		}}}}
		if node == "e1" {
			for _, m := range d.runningInstances() {
				msg.Backends = append(msg.Backends, d.serverReport(m))
			}
		}
		b, _ := proto.Marshal(msg)
		out, err := d.m.HandleDemand(context.Background(), link.Peer{Node: node}, b, d.now)
		if err != nil {
			t.Fatal(err)
		}
		var g entrpb.Grants
		if err := proto.Unmarshal(out, &g); err != nil {
			t.Fatal(err)
		}
		sums := map[string]float64{}
		for _, grant := range g.Grants {
			sums[grant.Org] += grant.Amount
		}
		return sums
	}
	demand("e1", 100)
	second := demand("e2", 100)
	first := demand("e1", 100)
	if got, want := first["a"]+second["a"], 27.0; got != want { // 3 servers, 8 slots, factor 1.5, weight 3 of 4
		t.Errorf("a has %g, want %g", got, want)
	}
	if got, want := first["b"]+second["b"], 9.0; got != want {
		t.Errorf("b has %g, want %g", got, want)
	}
	d.startLeader()
	if got := demand("e1", 100); len(got) != 0 {
		t.Errorf("a new leader granted %v to the first reporter", got)
	}
}

// BenchmarkDemand measures one report with 350 entry instances in cells of 12 with
// 106 backend servers each.
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
	m.demand.setLeaderSince(startTime)
	now := startTime.Add(time.Hour)
	n := 0
	for b.Loop() {
		now = now.Add(time.Second / 350)
		if _, err := m.HandleDemand(context.Background(), link.Peer{Node: fmt.Sprint(n % 350)}, reports[n%350], now); err != nil {
			b.Fatal(err)
		}
		n++
	}
}

// Guards against a new leader that removes servers because it has observed little
// demand itself, takes traffic from a version whose servers have not been reported
// yet, reuses an earlier judge's part of the false alarm probability, or leaves an
// instance running whose start was abandoned too early.
func TestNewLeader(t *testing.T) {
	d := newFakeDeployment(t, 6, true)
	d.slotsInUse = 30
	for range 70 {
		d.advance(10 * time.Second)
	}
	if _, err := d.apply(store.StartMove(store.Origin{ID: "m1", By: "ann", At: d.now}, "s", "v2", d.now.Add(time.Hour))); err != nil {
		t.Fatal(err)
	}
	for range 10 {
		d.advance(time.Second)
	}
	before, bought := len(d.runningInstances()), d.store.View().Bought
	if m, _ := d.store.View().Move("m1"); m.Share != 0.1 || before < 7 {
		t.Fatalf("share %g, %d instances; want 0.1 and more", m.Share, before)
	}
	d.slotsInUse = 0
	d.startLeader()
	for _, m := range d.instances {
		if m.Version == "v2" {
			m.readyAt = d.now.Add(2 * time.Second)
		}
	}
	for range 60 {
		d.advance(time.Second)
	}
	v := d.store.View()
	if n := d.countEvents("fleet.drain"); n > 0 || len(d.runningInstances()) != before {
		t.Errorf("%d drains, %d instances, want %d", n, len(d.runningInstances()), before)
	}
	if m, _ := v.Move("m1"); m.Share != 0.1 || d.countEvents("move.share") != 1 {
		t.Errorf("share %g after %d changes, want 0.1 after one", m.Share, d.countEvents("move.share"))
	}
	if got := string(v.Notes[moveNotesName]); got != `{"judges":{"m1":2}}` {
		t.Errorf("judges %s, want 2", got)
	}
	dropped := v.Instances[0]
	if _, err := d.apply(store.SetPhase(store.Controller{Origin: store.Origin{ID: "give up", At: d.now}, Term: d.term}, dropped.RequestID, fleet.Gone)); err != nil {
		t.Fatal(err)
	}
	d.advance(time.Second)
	if i := d.store.View().Instances[0]; i.ID != dropped.ID || d.store.View().Bought != bought {
		t.Errorf("%+v, %d purchases; want %s again and %d", i, d.store.View().Bought, dropped.ID, bought)
	}
}
