package coord

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/coord/coordpb"
	"cranberrypath.example/cranberrypath/internal/disk"
	"cranberrypath.example/cranberrypath/internal/faults"
)

var (
	evacuationSeeds = flag.Uint64("evacuations.seeds", 3000, "number of histories of orders")
	evacuationFirst = flag.Uint64("evacuations.first", 1, "seed of the first history")
)

// orderCopy is one call of an operator, who repeats an order through other instances.
type orderCopy struct {
	dataCentre string
	active     bool
	closed     bool // the operator has given up the call
	read       bool // the instance has read the last order
	after      uint64
}

// operatorModel gives the orders for one data centre one after another.
type operatorModel struct {
	calls   []*orderCopy // of the order that is not acknowledged yet
	known   bool         // the last order was acknowledged, and no other was given since
	want    bool         // what it asked for
	pending bool
}

// history plays orders at members that apply the same log.
type history struct {
	t         *testing.T
	seed      uint64
	rng       *rand.Rand
	members   []*stateMachine
	operators map[string]*operatorModel
	inFlight  []*orderCopy // commands on their way to a leader; some arrive more than once
	version   uint64
}

func (h *history) fail(format string, args ...any) {
	h.t.Helper()
	h.t.Fatalf("seed %d: %s", h.seed, fmt.Sprintf(format, args...))
}

func (h *history) last(dataCentre string) Evacuation {
	for _, e := range evacuationsFromProto(h.members[0].copy().Evacuations) {
		if e.DataCentre == dataCentre {
			return e
		}
	}
	return Evacuation{}
}

// commit applies a command at all members and returns the result of one.
func (h *history) commit(cmd *coordpb.Command) *coordpb.State {
	b, err := proto.Marshal(cmd)
	if err != nil {
		h.t.Fatal(err)
	}
	var out []byte
	for _, m := range h.members {
		out = m.Apply(1, b)
	}
	result := &coordpb.State{}
	if err := proto.Unmarshal(out, result); err != nil {
		h.t.Fatal(err)
	}
	return result
}

// advance takes the next step of a call as OrderEvacuation does.
func (h *history) advance(c *orderCopy) {
	if !c.read {
		c.after, c.read = h.last(c.dataCentre).Serial, true
		if !c.closed {
			h.inFlight = append(h.inFlight, c)
		}
		return
	}
	held := evacuationsFromProto(h.commit(&coordpb.Command{
		Evacuation: &coordpb.Evacuation{DataCentre: c.dataCentre, Active: c.active}, AfterSerial: &c.after,
	}).Evacuations)
	if len(held) != 1 || held[0].Serial <= c.after {
		h.fail("an order after %d gave %v", c.after, held)
	}
	if c.closed {
		return
	}
	if !held[0].acceptedAfter(c.active, c.after) {
		c.read = false // proposed again
		return
	}
	o := h.operators[c.dataCentre]
	o.close()
	o.known, o.want, o.pending = true, c.active, false
}

func (o *operatorModel) close() {
	for _, c := range o.calls {
		c.closed = true
	}
}

// step plays one random event.
func (h *history) step(dataCentre string) {
	o := h.operators[dataCentre]
	switch h.rng.IntN(8) {
	case 0, 1:
		if !o.pending { // the next order
			o.pending, o.known, o.calls = true, false, []*orderCopy{{dataCentre: dataCentre, active: h.rng.IntN(2) == 0}}
		}
	case 2:
		if o.pending { // no answer in time: the order is repeated elsewhere, or given up
			o.close()
			if h.rng.IntN(4) == 0 {
				o.pending = false
				return
			}
			o.calls = append(o.calls, &orderCopy{dataCentre: dataCentre, active: o.calls[0].active})
		}
	case 3, 4:
		if len(o.calls) > 0 {
			if c := o.calls[h.rng.IntN(len(o.calls))]; !c.read {
				h.advance(c)
			}
		}
	case 5, 6:
		if len(h.inFlight) > 0 {
			i := h.rng.IntN(len(h.inFlight))
			c := *h.inFlight[i]
			if h.rng.IntN(2) == 0 {
				h.advance(h.inFlight[i])
				h.inFlight = slices.Delete(h.inFlight, i, i+1)
			} else if c.read { // another copy of the command stays on its way, to a later leader
				c.closed = true
				h.advance(&c)
			}
		}
	default: // a member restarts from a snapshot
		i := h.rng.IntN(len(h.members))
		snapshot, err := h.members[i].Snapshot()
		if err != nil {
			h.t.Fatal(err)
		}
		h.members[i] = newStateMachine(ignoreDepartures)
		if err := h.members[i].Restore(snapshot); err != nil {
			h.t.Fatal(err)
		}
	}
}

// check compares the state with the orders that the operators had acknowledged.
func (h *history) check() {
	now := h.members[0].evacuations()
	if now.Version < h.version {
		h.fail("version %d after %d", now.Version, h.version)
	}
	h.version = now.Version
	for name, o := range h.operators {
		if o.known && now.Contains(name) != o.want {
			h.fail("%s is evacuated %v, the order that was acknowledged last says %v", name, now.Contains(name), o.want)
		}
	}
	snapshot, _ := h.members[0].Snapshot()
	for _, m := range h.members[1:] {
		if other, _ := m.Snapshot(); !bytes.Equal(snapshot, other) {
			h.fail("members differ: %v and %v", h.members[0].state, m.state)
		}
	}
}

// Guards against a late or repeated copy of an order that undoes a later one, whichever
// leader gets it, against an order that is acknowledged and not in force, and against a
// snapshot or a member that differs.
func TestEvacuationHistories(t *testing.T) {
	acknowledged := 0
	for seed := *evacuationFirst; seed < *evacuationFirst+*evacuationSeeds; seed++ {
		h := &history{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 0)), operators: map[string]*operatorModel{}}
		for range 3 {
			h.members = append(h.members, newStateMachine(ignoreDepartures))
		}
		names := []string{"a", "b", "c"}[:1+h.rng.IntN(3)]
		for _, name := range names {
			h.operators[name] = &operatorModel{known: true}
		}
		for range 60 {
			name := names[h.rng.IntN(len(names))]
			before := h.operators[name].known
			h.step(name)
			h.check()
			if h.operators[name].known && !before {
				acknowledged++
			}
		}
	}
	if acknowledged < int(*evacuationSeeds) {
		t.Errorf("%d orders were acknowledged in %d histories; the model is stuck", acknowledged, *evacuationSeeds)
	}
}

// Guards against orders that are acknowledged and that a member lacks which skipped an earlier
// one as a previous program version, whether it follows or leads; and against a member that
// undoes an order which the leader did not know when it proposed the next one.
func TestEvacuationsAfterASkippedOrder(t *testing.T) {
	for _, leaderSkipped := range []bool{false, true} {
		members := []*stateMachine{newStateMachine(ignoreDepartures), newStateMachine(ignoreDepartures)}
		index := uint64(0)
		apply := func(m *stateMachine, cmd *coordpb.Command) {
			t.Helper()
			b, err := proto.Marshal(cmd)
			if err != nil {
				t.Fatal(err)
			}
			m.Apply(index, b)
		}
		order := func(name string, active bool, after uint64, before *coordpb.Evacuations) *coordpb.Command {
			index++
			return &coordpb.Command{Evacuation: &coordpb.Evacuation{DataCentre: name, Active: active}, AfterSerial: &after, EvacuationsBefore: before}
		}
		upToDate, skipped := members[0], members[1]
		apply(upToDate, order("x", true, 0, &coordpb.Evacuations{}))
		apply(upToDate, order("y", true, 0, &coordpb.Evacuations{All: upToDate.copy().Evacuations, Index: index}))
		leader := upToDate
		if leaderSkipped {
			leader = skipped
		}
		known := &coordpb.Evacuations{All: leader.copy().Evacuations, Index: index}
		after := uint64(0)
		if len(known.All) > 0 {
			after = known.All[0].Serial
		}
		// Both are proposed before either is applied.
		for _, cmd := range []*coordpb.Command{order("x", true, after, known), order("z", true, 0, known)} {
			index = known.Index + 1
			if cmd.Evacuation.DataCentre == "z" {
				index++
			}
			for _, m := range members {
				apply(m, cmd)
			}
		}
		want := []string{"x", "y", "z"}
		if leaderSkipped {
			want = []string{"x", "z"}
		}
		for i, m := range members {
			if got := m.evacuations(); !slices.Equal(got.DataCentres, want) || got.Version != leader.evacuations().Version {
				t.Errorf("leader skipped orders %v: member %d has %v, want %v as the leader", leaderSkipped, i, got, want)
			}
		}
		first, _ := members[0].Snapshot()
		if second, _ := members[1].Snapshot(); !bytes.Equal(first, second) {
			t.Errorf("leader skipped orders %v: members differ: %v and %v", leaderSkipped, members[0].state, members[1].state)
		}
	}
}

// Guards against an order that is proposed without the orders that the leader knows.
func TestEvacuationsReachAMemberThatSkippedSome(t *testing.T) {
	t.Parallel()
	d := deploy(t, 3, 0)
	d.configure(d.instances[0], 1)
	eventually(t, "all instances with a disk vote", func() bool { return len(d.voters()) == 3 })
	eventually(t, "the order is acknowledged", func() bool { return d.evacuate(d.instances[0], "a", true) == nil })
	leader := d.awaitLeader()
	i := slices.IndexFunc(d.instances, func(inst *instance) bool { return inst != leader })
	d.instances[i].coord.mu.Lock()
	skipped := d.instances[i].coord.member.state
	d.instances[i].coord.mu.Unlock()
	eventually(t, "the follower has the order", func() bool { return skipped.evacuations().Contains("a") })
	skipped.mu.Lock()
	skipped.state.Evacuations, skipped.state.EvacuationIndex = nil, 0
	skipped.mu.Unlock()
	eventually(t, "the order is acknowledged", func() bool { return d.evacuate(d.instances[0], "b", true) == nil })
	eventually(t, "the follower has both orders", func() bool {
		got := skipped.evacuations()
		return got.Contains("a") && got.Contains("b")
	})
}

// Guards against an instance that goes back to fewer orders after a reply from a relay or a
// leader that is behind, that never does after a loss of state, or that takes a leader of the
// previous program version to revoke all orders.
func TestEvacuationsInReplies(t *testing.T) {
	reply := func(version uint64, names ...string) Evacuations {
		return Evacuations{Version: version, DataCentres: names}
	}
	for _, c := range []struct {
		name      string
		next      Evacuations
		term      uint64
		confirmed bool
		want      bool
	}{
		{"a later order", reply(4), 5, true, true},
		{"a later order, unconfirmed", reply(4), 5, false, true},
		{"a relay that is behind", reply(2), 5, true, false},
		{"a new leader that is behind", reply(2), 6, false, false},
		{"a deposed leader", reply(2), 4, true, false},
		{"a leader of the previous program version", reply(0), 6, true, false},
		{"a new leader that is sure of its state", reply(2, "b"), 6, true, true},
	} {
		known := Evacuations{}.WithReply(reply(3, "a"), 5, true)
		if got := known.WithReply(c.next, c.term, c.confirmed); (got.Version == c.next.Version && slices.Equal(got.DataCentres, c.next.DataCentres)) != c.want {
			t.Errorf("%s: %v after %v, taken over want %v", c.name, got, c.next, c.want)
		}
	}
}

// evacuate gives an order through an instance, as an operator does that waits for a second.
func (d *deployment) evacuate(inst *instance, dataCentre string, active bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return inst.coord.OrderEvacuation(ctx, dataCentre, active, waits())
}

// evacuated reports whether an instance sends nothing to the servers of a data centre.
func (inst *instance) evacuated(dataCentre string) bool {
	inst.coord.mu.Lock()
	defer inst.coord.mu.Unlock()
	return inst.coord.evacuations.Contains(dataCentre)
}

func (d *deployment) expectEvacuated(dataCentre string, want bool) {
	d.t.Helper()
	for _, inst := range d.instances {
		if inst.coord != nil {
			eventually(d.t, fmt.Sprintf("%s evacuated %v at %s", dataCentre, want, inst.addr), func() bool { return inst.evacuated(dataCentre) == want })
		}
	}
}

// Guards against orders that are acknowledged late, reach some instances late or not at all,
// or are lost with the leader, with all processes, or with a disk.
func TestEvacuationIsDurable(t *testing.T) {
	t.Parallel()
	d := deploy(t, 4, 1)
	plain := d.instances[4]
	d.configure(plain, 1)
	eventually(t, "all instances with a disk vote", func() bool { return len(d.voters()) == 4 })
	order := func(name string, active bool) {
		t.Helper()
		eventually(t, "the order is acknowledged", func() bool { return d.evacuate(plain, name, active) == nil })
	}
	order("a", true)
	order("b", true)
	order("b", true) // lost acknowledgement
	d.expectEvacuated("a", true)
	d.expectEvacuated("b", true)
	order("b", false)
	d.expectEvacuated("b", false)
	d.stop(d.awaitLeader())
	order("c", true)
	d.expectEvacuated("c", true)
	for _, inst := range d.instances {
		d.stop(inst)
	}
	d.instances[0].fs.Wipe()
	for _, inst := range d.instances {
		d.start(inst, false)
	}
	d.expectEvacuated("a", true)
	d.expectEvacuated("b", false)
	d.expectEvacuated("c", true)
	late := &instance{addr: freeAddress(), fs: disk.NewFake(77)}
	d.instances = append(d.instances, late)
	d.start(late, false)
	d.expectEvacuated("c", true)
	order("a", false)
	d.expectEvacuated("a", false)
}

// Guards against orders that take long to be acknowledged or to reach the instances while
// nothing is wrong. The bounds are those of a deployment, many times what is measured.
func TestEvacuationIsQuick(t *testing.T) {
	d := deploy(t, 3, 0)
	d.configure(d.instances[0], 1)
	eventually(t, "all instances with a disk vote", func() bool { return len(d.voters()) == 3 })
	var acks, effects []time.Duration
	for i := range 12 {
		active, sent := i%2 == 0, time.Now()
		inst := d.instances[i%3]
		eventually(t, "the order is acknowledged", func() bool { return d.evacuate(inst, "a", active) == nil })
		acks = append(acks, time.Since(sent))
		sent = time.Now()
		d.expectEvacuated("a", active)
		effects = append(effects, time.Since(sent))
	}
	slices.Sort(acks)
	slices.Sort(effects)
	t.Logf("acknowledged after %v (median), %v at most; in force everywhere %v (median), %v at most later", acks[6], acks[11], effects[6], effects[11])
	if acks[6] > time.Second || effects[11] > 5*time.Second {
		t.Errorf("acknowledged after %v, in force %v later", acks[6], effects[11])
	}
}

// Guards against an order that waits behind a partition, is repeated elsewhere and undoes
// later orders when the partition heals, and against an instance that forgets what it knew
// while it has no contact.
func TestEvacuationHeldUpByAPartition(t *testing.T) {
	t.Parallel()
	d := deploy(t, 3, 2)
	d.configure(d.instances[0], 1)
	eventually(t, "all instances with a disk vote", func() bool { return len(d.voters()) == 3 })
	cutOff, other := d.instances[3], d.instances[4]
	eventually(t, "an order is acknowledged", func() bool { return d.evacuate(other, "b", true) == nil })
	d.expectEvacuated("b", true)
	for round := range 4 {
		held := round%2 == 0
		d.cutOff(cutOff, true)
		if err := d.evacuate(cutOff, "a", held); err == nil {
			t.Fatal("an instance that is cut off acknowledged an order")
		}
		for _, active := range []bool{held, !held} {
			eventually(t, "the order is acknowledged", func() bool { return d.evacuate(other, "a", active) == nil })
		}
		if !cutOff.evacuated("b") {
			t.Fatal("an instance without contact forgot what it knew")
		}
		d.cutOff(cutOff, false)
		eventually(t, "the instance reports again", func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			return cutOff.coord.SyncNow(ctx) == nil
		})
		time.Sleep(500 * time.Millisecond) // what was held up has arrived
		if got := cutOff.evacuated("a"); got == held {
			t.Fatalf("round %d: a is evacuated %v, the order that was acknowledged last says %v", round, got, !held)
		}
	}
}

// Guards against an order whose effect or acknowledgement depends on one message: the call to
// the leader, its answer, the reports of another instance or the replies to them.
func TestEvacuationLosesOneMessage(t *testing.T) {
	for _, c := range []struct {
		name   string
		cut    func(took, reader, leader string) (from, to string)
		toLose bool // the operator gets no answer
	}{
		{"the call to the leader", func(took, _, leader string) (string, string) { return took, leader }, true},
		{"the leader's answer", func(took, _, leader string) (string, string) { return leader, took }, true},
		{"the reports of another instance", func(_, reader, leader string) (string, string) { return reader, leader }, false},
		{"the replies to another instance", func(_, reader, leader string) (string, string) { return leader, reader }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, 3, 2)
			took, reader := d.instances[3], d.instances[4]
			d.configure(took, 1)
			eventually(t, "all instances with a disk vote", func() bool { return len(d.voters()) == 3 })
			eventually(t, "the order is acknowledged", func() bool { return d.evacuate(took, "b", true) == nil })
			d.expectEvacuated("b", true)
			from, to := c.cut(took.addr, reader.addr, d.awaitLeader().addr)
			d.links.Set(from, to, faults.Rule{Cut: true})
			err := d.evacuate(took, "a", true)
			if err == nil && c.toLose {
				t.Error("acknowledged without the leader's answer")
			}
			if c.toLose {
				eventually(t, "the repetition elsewhere is acknowledged", func() bool { return d.evacuate(reader, "a", true) == nil })
			} else if err != nil {
				t.Errorf("not acknowledged: %v", err)
			}
			d.links.Set(from, to, faults.Rule{})
			eventually(t, "a later order is acknowledged", func() bool { return d.evacuate(reader, "b", false) == nil })
			d.expectEvacuated("a", true)
			d.expectEvacuated("b", false)
		})
	}
}

// Guards against orders that hinder others at the same time: for another data centre, of a
// rollout, and a leader that resigns for a planned stop.
func TestEvacuationsBesideOtherOrders(t *testing.T) {
	t.Parallel()
	d := deploy(t, 3, 2)
	d.configure(d.instances[0], 1)
	eventually(t, "all instances with a disk vote", func() bool { return len(d.voters()) == 3 })
	var wg sync.WaitGroup
	slowest := make([]time.Duration, 2)
	for i, name := range []string{"a", "b"} {
		wg.Go(func() {
			for n := range 21 { // the last one evacuates
				sent := time.Now()
				eventually(t, "the order is acknowledged", func() bool { return d.evacuate(d.instances[3+i], name, n%2 == 0) == nil })
				slowest[i] = max(slowest[i], time.Since(sent))
			}
		})
	}
	for n := range 10 {
		eventually(t, "the rollout is acknowledged", func() bool { return d.order(d.instances[3], fmt.Sprint("v", n)) == nil })
		if n == 5 {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_ = d.awaitLeader().coord.Resign(ctx) // a failure leaves the leader in office
			cancel()
		}
	}
	wg.Wait()
	t.Logf("the slowest acknowledgements took %v", slowest)
	d.expectEvacuated("a", true)
	d.expectEvacuated("b", true)
	if got := d.rollout(d.instances[4]); got.Target != "v9" || got.Serial != 10 {
		t.Errorf("the rollout has target %s and serial number %d, want v9 and 10", got.Target, got.Serial)
	}
}

// Guards against instances behind relays that learn of orders late or not at all, also after
// the loss of their relay and of the leader.
func TestEvacuationBehindRelays(t *testing.T) {
	t.Parallel()
	d := deploy(t, 4, maxDirectReports)
	d.configure(d.instances[4], 1)
	eventually(t, "all instances with a disk vote", func() bool { return len(d.voters()) == 4 })
	for _, inst := range d.instances[4:] {
		eventually(t, "the instance reports to a relay", func() bool { return d.relayOf(inst) != "" })
	}
	eventually(t, "the order is acknowledged", func() bool { return d.evacuate(d.instances[5], "a", true) == nil })
	acked := time.Now()
	d.expectEvacuated("a", true)
	t.Logf("in force everywhere %v after the acknowledgement", time.Since(acked))
	d.stop(d.awaitLeader())
	eventually(t, "the revocation is acknowledged", func() bool { return d.evacuate(d.instances[5], "a", false) == nil })
	acked = time.Now()
	d.expectEvacuated("a", false)
	t.Logf("in force everywhere %v after the acknowledgement at the next leader", time.Since(acked))
}

// Guards against an order that an instance proposes after its machine was suspended, or after
// its operator has left, when others may have been given since.
func TestEvacuationAfterSuspension(t *testing.T) {
	t.Parallel()
	d := deploy(t, 3, 1)
	d.configure(d.instances[0], 1)
	inst := d.instances[3]
	eventually(t, "the instance knows the leader", func() bool { return inst.coord.Leader() != "" })
	d.cutOff(inst, true)
	result := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		result <- inst.coord.OrderEvacuation(ctx, "a", true, waits())
	}()
	time.Sleep(200 * time.Millisecond) // the instance asks for the last order
	inst.suspended.Store(int64(2 * orderTimeout))
	d.cutOff(inst, false)
	if err := <-result; !errors.Is(err, ErrUnavailable) {
		t.Errorf("the order returned %v, want %v", err, ErrUnavailable)
	}
	eventually(t, "another order is acknowledged", func() bool { return d.evacuate(d.instances[0], "b", true) == nil })
	err := d.instances[0].coord.OrderEvacuation(context.Background(), "a", true, Origin{SentAfter: time.Now(), Abandoned: func() bool { return true }})
	if !errors.Is(err, ErrUnavailable) {
		t.Errorf("the order of an operator who has left returned %v, want %v", err, ErrUnavailable)
	}
	eventually(t, "another order is acknowledged", func() bool { return d.evacuate(d.instances[0], "c", true) == nil })
	d.expectEvacuated("c", true)
	d.expectEvacuated("b", true)
	d.expectEvacuated("a", false)
}
