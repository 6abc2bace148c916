package coord

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/coord/coordpb"
	"cranberrypath.example/cranberrypath/internal/roster"
	"cranberrypath.example/cranberrypath/internal/world"
)

func ignoreDepartures([]*coordpb.Departure) {}

// announce makes a server known to an instance, which reports it.
func (inst *instance) announce(s roster.Server) {
	inst.local.mu.Lock()
	defer inst.local.mu.Unlock()
	inst.local.unreported = append(inst.local.unreported, s)
	inst.local.servers.Put(s, time.Now())
	inst.coord.SyncSoon()
}

// depart reports through an instance that a server leaves or has ended.
func (inst *instance) depart(s roster.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	inst.announce(s)
	return inst.coord.RecordDeparture(ctx, s)
}

func (inst *instance) usable() int {
	n := 0
	inst.local.check(func(l *fakeLocal) bool { n = len(l.servers.Usable()); return true })
	return n
}

// Guards against a departure that is lost with the instances that acknowledged it: the server
// does not repeat it, and the others go on sending requests until its heartbeats are missed.
func TestDepartureOutlivesTheInstancesThatTookIt(t *testing.T) {
	for _, state := range []world.State{world.Leaving, world.Gone} {
		for _, c := range []struct {
			name string
			took func(d *deployment, leader *instance) *instance
			lost func(d *deployment, leader, took *instance) []*instance
		}{
			{
				"the leader", func(_ *deployment, leader *instance) *instance { return leader },
				func(_ *deployment, leader, _ *instance) []*instance { return []*instance{leader} },
			},
			{
				"a member and the leader one after the other", func(d *deployment, leader *instance) *instance { return d.durable(leader) },
				func(_ *deployment, leader, took *instance) []*instance { return []*instance{leader, took} },
			},
			{
				"an instance without a disk and the leader", func(d *deployment, _ *instance) *instance { return d.instances[5] },
				func(_ *deployment, leader, took *instance) []*instance { return []*instance{leader, took} },
			},
			{
				"all with a disk at once, which come back", func(_ *deployment, leader *instance) *instance { return leader },
				func(d *deployment, _, _ *instance) []*instance { return d.instances[:5] },
			},
		} {
			t.Run(fmt.Sprintf("%s/%s", state, c.name), func(t *testing.T) {
				t.Parallel()
				d := &deployment{t: t}
				// Servers are not missed during the test.
				d.deploy(5, 2, func(cfg *Config) { cfg.Heartbeat = time.Hour })
				d.configure(d.instances[0], 1)
				eventually(t, "all instances with a disk vote", func() bool { return len(d.voters()) == 5 })
				s := roster.Server{ID: "e", Incarnation: 1, Seq: 1, Service: "s", Address: "10.0.0.1:1", State: world.Ready}
				d.instances[6].announce(s)
				for _, inst := range d.instances {
					eventually(t, "the server is known", func() bool { return inst.usable() == 1 })
				}
				leader := d.awaitLeader()
				took := c.took(d, leader)
				s.Seq, s.State = 2, state
				eventually(t, "the departure is acknowledged", func() bool { return took.depart(s) == nil })
				lost := c.lost(d, leader, took)
				for _, inst := range lost {
					d.stop(inst)
				}
				if len(lost) == 5 {
					for _, inst := range lost {
						d.startWith(inst, func(cfg *Config) { cfg.Heartbeat = time.Hour })
					}
				}
				for _, inst := range d.instances {
					if inst.coord != nil {
						eventually(t, "no more requests to the server at "+inst.addr, func() bool { return inst.usable() == 0 && inst.coord.Leader() != "" })
					}
				}
			})
		}
	}
}

// durable returns an instance with a disk other than the given one.
func (d *deployment) durable(other *instance) *instance {
	for _, inst := range d.instances {
		if inst.fs != nil && inst != other {
			return inst
		}
	}
	return nil
}

// Guards against an acknowledgement by a leader that no other machine hears: the departure
// would be lost with it.
func TestDepartureIsNotAcknowledgedByOneMachine(t *testing.T) {
	t.Parallel()
	d := deploy(t, 3, 0)
	d.configure(d.instances[0], 1)
	eventually(t, "all instances with a disk vote", func() bool { return len(d.voters()) == 3 })
	leader := d.awaitLeader()
	for _, inst := range d.instances {
		if inst != leader {
			d.stop(inst)
		}
	}
	err := leader.depart(roster.Server{ID: "e", Incarnation: 1, Seq: 1, Service: "s", Address: "10.0.0.1:1", State: world.Leaving})
	if !errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrUnknown) {
		t.Errorf("got %v without a second machine", err)
	}
}

// Guards against durable departures that grow without bound, that a repetition or a late
// heartbeat replaces by an earlier state, or that a snapshot drops.
func TestDeparturesInTheState(t *testing.T) {
	heard := 0
	m := newStateMachine(func(all []*coordpb.Departure) { heard += len(all) })
	apply := func(id string, incarnation int64, state world.State, at time.Time) {
		s := roster.Server{ID: id, Incarnation: incarnation, Seq: 1, Service: "s", State: state}
		b, err := proto.Marshal(&coordpb.Command{Departure: &coordpb.Departure{Server: serverToProto(s, at), AtMs: at.UnixMilli()}})
		if err != nil {
			t.Fatal(err)
		}
		m.Apply(1, b)
	}
	has := func(m *stateMachine, id string, incarnation int64, state world.State) bool {
		return m.hasDeparture(serverToProto(roster.Server{ID: id, Incarnation: incarnation, State: state}, start))
	}
	apply("a", 5, world.Gone, start)
	apply("a", 5, world.Leaving, start)
	apply("a", 4, world.Gone, start)
	apply("b", 1, world.Leaving, start.Add(time.Second))
	for _, c := range []struct {
		id          string
		incarnation int64
		state       world.State
		want        bool
	}{
		{"a", 5, world.Gone, true},
		{"a", 5, world.Leaving, true},
		{"a", 4, world.Gone, true},
		{"a", 6, world.Leaving, false},
		{"b", 1, world.Leaving, true},
		{"b", 1, world.Gone, false},
		{"c", 1, world.Leaving, false},
	} {
		if got := has(m, c.id, c.incarnation, c.state); got != c.want {
			t.Errorf("%s, incarnation %d, %s: durable %v, want %v", c.id, c.incarnation, c.state, got, c.want)
		}
	}
	snapshot, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	heard = 0
	restored := newStateMachine(func(all []*coordpb.Departure) { heard += len(all) })
	if err := restored.Restore(snapshot); err != nil || heard != 2 || !has(restored, "a", 5, world.Gone) {
		t.Errorf("restored: %v, %d departures heard", err, heard)
	}
	for i := range maxDepartures + 10 {
		apply(fmt.Sprint("e", i), 1, world.Gone, start.Add(2*roster.GoneRetention))
	}
	if n := len(m.state.Departures); n != maxDepartures || has(m, "a", 5, world.Gone) {
		t.Errorf("%d departures are kept, want %d and none that is older than %v", n, maxDepartures, roster.GoneRetention)
	}
}
