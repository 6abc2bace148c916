package coord

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/coord/coordpb"
	"cranberrypath.example/cranberrypath/internal/faults"
)

func orderOf(target string, at time.Time) Rollout {
	return Rollout{Service: "s", Target: target, Phase: Running, Started: at, ShareAt: at, Duration: time.Minute}
}

// waits is the origin of an order whose operator has just sent it and waits for the response.
func waits() Origin { return Origin{SentAfter: time.Now(), Abandoned: func() bool { return false }} }

// order gives an order through an instance, as an operator does that waits for a second.
func (d *deployment) order(inst *instance, target string) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return inst.coord.OrderRollout(ctx, orderOf(target, time.Now()), waits())
}

// cutOff cuts an instance off from all others, or ends the partition.
func (d *deployment) cutOff(inst *instance, cut bool) {
	d.links.Set(inst.addr, "*", faults.Rule{Cut: cut})
	d.links.Set("*", inst.addr, faults.Rule{Cut: cut})
}

// rollout returns the rollout of service s.
func (d *deployment) rollout(inst *instance) (out Rollout) {
	d.t.Helper()
	eventually(d.t, "the rollout is read", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		state, err := inst.coord.Read(ctx)
		for _, r := range state.Rollouts {
			out = r
		}
		return err == nil
	})
	return out
}

// Guards against an order of a rollout that waits behind a partition, is repeated elsewhere
// and replaces later orders when the partition heals.
func TestOrderHeldUpByAPartition(t *testing.T) {
	t.Parallel()
	d := deploy(t, 3, 2)
	d.configure(d.instances[0], 1)
	eventually(t, "all instances with a disk vote", func() bool { return len(d.voters()) == 3 })
	cutOff, other := d.instances[3], d.instances[4]
	eventually(t, "the instances know the leader", func() bool { return cutOff.coord.Leader() != "" && other.coord.Leader() != "" })
	// The connections outlive a partition that is shorter than the interval of their checks.
	for round := range 4 {
		bad, good := fmt.Sprint("v", 2*round+2), fmt.Sprint("v", 2*round+3)
		d.cutOff(cutOff, true)
		if err := d.order(cutOff, bad); err == nil {
			t.Fatal("an instance that is cut off acknowledged an order")
		}
		for _, target := range []string{bad, good} {
			eventually(t, "the order of "+target+" is accepted", func() bool { return d.order(other, target) == nil })
		}
		d.cutOff(cutOff, false)
		eventually(t, "the instance reports again", func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			return cutOff.coord.SyncNow(ctx) == nil
		})
		time.Sleep(500 * time.Millisecond) // what was held up has arrived
		if got := d.rollout(other); got.Target != good {
			t.Fatalf("round %d: the rollout has target %s; the last order, which was acknowledged, has %s", round, got.Target, good)
		}
	}
}

// Guards against late orders and late changes of a rollout that take effect after later ones,
// whatever held them up, and against refusing an operator who orders a version again.
func TestLateCommands(t *testing.T) {
	type step struct {
		target    string
		after     uint64 // serial number of the last order known to the sender
		change    Rollout
		wantHeld  string // target afterwards
		wantPhase Phase
		wantShare float64
	}
	order := func(target string, after uint64, wantHeld string, wantPhase Phase) step {
		return step{target: target, after: after, wantHeld: wantHeld, wantPhase: wantPhase}
	}
	change := func(serial, revision uint64, target string, p Phase, share float64, wantPhase Phase, wantShare float64) step {
		r := orderOf(target, start)
		r.Serial, r.Revision, r.Phase, r.Share = serial, revision, p, share
		return step{change: r, wantHeld: target, wantPhase: wantPhase, wantShare: wantShare}
	}
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"a copy after another order", []step{order("v2", 0, "v2", Running), order("v3", 1, "v3", Running), order("v2", 0, "v3", Running)}},
		{"a copy after the roll-back", []step{order("v2", 0, "v2", Running), change(1, 1, "v2", RolledBack, 0, RolledBack, 0), order("v2", 0, "v2", RolledBack)}},
		{"two copies at the same time", []step{order("v2", 0, "v2", Running), order("v2", 0, "v2", Running)}},
		{"another operator's order at the same time", []step{order("v2", 0, "v2", Running), order("v3", 0, "v2", Running), order("v3", 1, "v3", Running)}},
		{"the same version again", []step{
			order("v2", 0, "v2", Running), order("v3", 1, "v3", Running), order("v2", 2, "v2", Running), order("v3", 1, "v2", Running),
		}},
		{"the same version again after its roll-back", []step{order("v2", 0, "v2", Running), change(1, 1, "v2", RolledBack, 0, RolledBack, 0), order("v2", 1, "v2", Running)}},
		{"a change of a deposed leader", []step{
			order("v2", 0, "v2", Running), change(1, 1, "v2", Running, 0.5, Running, 0.5), change(1, 2, "v2", Running, 0.05, Running, 0.05),
			change(1, 1, "v2", Running, 0.5, Running, 0.05), change(1, 1, "v2", Done, 1, Running, 0.05),
		}},
	} {
		s := newStateMachine(ignoreDepartures)
		for i, st := range c.steps {
			cmd := &coordpb.Command{Rollout: st.change.proto()}
			if st.target != "" {
				// Each is given late enough not to count as a retry of the one before.
				cmd = &coordpb.Command{Rollout: orderOf(st.target, start.Add(time.Duration(i)*time.Hour)).proto(), AfterSerial: &st.after}
			}
			b, err := proto.Marshal(cmd)
			if err != nil {
				t.Fatal(err)
			}
			s.Apply(uint64(i+1), b)
			if got := s.rollouts()[0]; got.Target != st.wantHeld || got.Phase != st.wantPhase || got.Share != st.wantShare {
				t.Errorf("%s, step %d: %s in phase %d with share %g, want %s, %d and %g", c.name, i, got.Target, got.Phase, got.Share, st.wantHeld, st.wantPhase, st.wantShare)
			}
		}
	}
}

// Guards against an order that an instance proposes after its machine was suspended, when the
// operator has given others since.
func TestOrderAfterSuspension(t *testing.T) {
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
		result <- inst.coord.OrderRollout(ctx, orderOf("v2", time.Now()), waits())
	}()
	time.Sleep(200 * time.Millisecond) // the instance asks for the last order
	inst.suspended.Store(int64(2 * orderTimeout))
	d.cutOff(inst, false)
	if err := <-result; !errors.Is(err, ErrUnavailable) {
		t.Errorf("the order returned %v, want %v", err, ErrUnavailable)
	}
	if got := d.rollout(d.instances[0]); got.Target != "" {
		t.Errorf("the order of %s took effect after the suspension", got.Target)
	}
}

// Guards against a version that was rolled back, or whose rollout another order replaced, and
// that counts as any other once another order follows, a snapshot is restored or an earlier
// program version changes the rollout.
func TestVersionsTakenBack(t *testing.T) {
	s := newStateMachine(ignoreDepartures)
	apply := func(r Rollout, after *uint64) {
		b, err := proto.Marshal(&coordpb.Command{Rollout: r.proto(), AfterSerial: after})
		if err != nil {
			t.Fatal(err)
		}
		s.Apply(1, b)
	}
	at := start
	order := func(target string) {
		at = at.Add(time.Hour)
		var last uint64
		for _, r := range s.rollouts() {
			last = r.Serial
		}
		apply(orderOf(target, at), &last)
	}
	end := func(p Phase) { apply(s.rollouts()[0].WithPhase(p, "test"), nil) }
	expect := func(when string, rolledBack, superseded []string) {
		t.Helper()
		r := s.rollouts()[0]
		for _, v := range []string{"v1", "v2", "v3", "v4"} {
			if got, want := r.WasRolledBack(v), slices.Contains(rolledBack, v); got != want {
				t.Errorf("%s: %s counts as rolled back %v, want %v", when, v, got, want)
			}
			if got, want := r.WasSuperseded(v), slices.Contains(superseded, v); got != want {
				t.Errorf("%s: %s counts as superseded %v, want %v", when, v, got, want)
			}
		}
	}
	order("v2")
	expect("running", nil, nil)
	end(RolledBack)
	expect("rolled back", []string{"v2"}, nil)
	order("v3")
	expect("next order", []string{"v2"}, nil)
	order("v4")
	expect("order replaced", []string{"v2"}, []string{"v3"})
	legacy := s.rollouts()[0].WithShare(0.5, at, "test")
	legacy.RolledBack, legacy.Superseded = nil, nil
	apply(legacy, nil)
	expect("changed by an earlier version", []string{"v2"}, []string{"v3"})
	snapshot, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	expect("restored", []string{"v2"}, []string{"v3"})
	end(Done)
	expect("done", []string{"v2"}, []string{"v3"})
	order("v2")
	expect("ordered again", nil, []string{"v3"})
	end(Done)
	order("v3")
	end(RolledBack)
	expect("superseded, then rolled back", []string{"v3"}, nil)
	for i := range 2 * retainedVersions {
		order(fmt.Sprint("w", i))
	}
	if n := len(s.rollouts()[0].Superseded); n != retainedVersions {
		t.Errorf("%d superseded versions are kept, want %d", n, retainedVersions)
	}
}

// Guards against a change of a rollout that is not sent to the instances, since its
// fingerprint equals that of the state before.
func TestRolloutsFingerprint(t *testing.T) {
	a := Rollout{Service: "s", Target: "v2", Serial: 1, Revision: 1, Phase: Running}
	for _, all := range [][]Rollout{
		nil,
		{a.WithShare(0.05, start, "")},
		{a.WithPhase(RolledBack, "")},
		{{Service: "s", Serial: 1, Revision: 2, Phase: Running}},
		{{Service: "s", Serial: 2, Revision: 1, Phase: Running}},
		{a, {Service: "t", Serial: 2, Revision: 1, Phase: Running}},
		{{Service: "s", Serial: 1, Revision: 1, Phase: Running, Share: 0.00001}},
	} {
		if rolloutsFingerprint(all) == rolloutsFingerprint([]Rollout{a}) {
			t.Errorf("%v has the fingerprint of %v", all, a)
		}
	}
}
