package coord

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/coord/coordpb"
	"cranberrypath.example/cranberrypath/internal/disk"
	"cranberrypath.example/cranberrypath/internal/faults"
	"cranberrypath.example/cranberrypath/internal/link"
	"cranberrypath.example/cranberrypath/internal/quota"
	"cranberrypath.example/cranberrypath/internal/raft"
	"cranberrypath.example/cranberrypath/internal/roster"
	"cranberrypath.example/cranberrypath/internal/world"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeLocal is a Local that reports servers and records the replies.
type fakeLocal struct {
	mu         sync.Mutex
	unreported []roster.Server
	inFlight   []roster.Server
	servers    *roster.Roster
	version    uint64
	config     string
	instances  []Instance
	levels     map[string]float64
	spent      map[string]float64
}

func (l *fakeLocal) Report(full bool, _ time.Time) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := Report{Ready: true, ConfigVersion: l.version, Servers: l.unreported, Spent: l.spent}
	if full {
		known, _, _ := l.servers.Since(0, 0)
		r.Servers = append(known, r.Servers...)
	}
	l.inFlight, l.unreported, l.spent = l.unreported, nil, nil
	return r
}

func (l *fakeLocal) ReportFailed(time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unreported = append(l.inFlight, l.unreported...)
}

func (l *fakeLocal) Apply(v View, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range v.Servers {
		l.servers.Put(s, now)
	}
	if v.Config != nil {
		l.version, l.config = v.Version, string(v.Config)
	}
	if v.Instances != nil {
		l.instances = v.Instances
	}
	l.levels = v.Levels
}

func (l *fakeLocal) check(f func(*fakeLocal) bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return f(l)
}

// instance is one instance on a loopback address.
type instance struct {
	addr  string
	net   *link.Transport
	coord *Coord
	local *fakeLocal
	fs    *disk.Fake
	// suspended is for how long the machine was suspended, in ns.
	suspended atomic.Int64
}

// deployment is a set of instances with common seeds.
type deployment struct {
	t         *testing.T
	seeds     []string
	instances []*instance
	links     *faults.Links // between the instances
}

// usedAddresses counts the allocated loopback addresses. Each instance has its own IP
// address, so that no other test or connection takes its port while it is stopped.
var usedAddresses atomic.Uint32

func freeAddress() string {
	n := usedAddresses.Add(1)
	return fmt.Sprintf("127.77.%d.%d:7600", n/250, n%250+1)
}

func deploy(t *testing.T, disks, others int) *deployment {
	t.Helper()
	d := &deployment{t: t}
	d.deploy(disks, others, func(*Config) {})
	return d
}

// deploy starts all instances for the first time.
func (d *deployment) deploy(disks, others int, change func(*Config)) {
	d.t.Helper()
	d.links = faults.New()
	for range disks + others {
		d.instances = append(d.instances, &instance{addr: freeAddress()})
	}
	for i := range 3 {
		d.seeds = append(d.seeds, d.instances[(i+others)%len(d.instances)].addr)
	}
	for i, inst := range d.instances {
		if i < disks {
			inst.fs = disk.NewFake(uint64(i))
		}
		d.startWith(inst, func(cfg *Config) {
			cfg.Bootstrap = true
			change(cfg)
		})
	}
	d.t.Cleanup(func() {
		for _, inst := range d.instances {
			d.stop(inst)
		}
	})
}

func (d *deployment) start(inst *instance, first bool) {
	d.t.Helper()
	d.startWith(inst, func(cfg *Config) { cfg.Bootstrap = first })
}

func (d *deployment) startWith(inst *instance, change func(*Config)) {
	d.t.Helper()
	var err error
	inst.net, err = link.Listen(link.Config{Node: inst.addr, Listen: inst.addr, Dial: d.links.Dialer(inst.addr)})
	if err != nil {
		d.t.Fatal(err)
	}
	inst.local = &fakeLocal{servers: roster.New()}
	cfg := Config{
		Self: Instance{ID: inst.addr, Name: inst.addr, CallerAddress: inst.addr, Durable: inst.fs != nil, Started: time.Now()},
		Net:  inst.net, Seeds: func() []string { return d.seeds }, MinVoters: 3, Local: inst.local,
		QuotaRules: func() (uint64, map[string]quota.Rule, map[string]quota.Level) {
			return 1, map[string]quota.Rule{"o": {Rate: 1, Burst: 100}}, nil
		},
		Heartbeat: time.Second, Clock: time.Now, Suspended: func() time.Duration { return time.Duration(inst.suspended.Load()) }, Log: &log.Logger{Handler: discard.New()},
	}
	if inst.fs != nil {
		cfg.FS, cfg.Dir = inst.fs, "data"
	}
	change(&cfg)
	inst.coord = Start(cfg)
}

func (d *deployment) stop(inst *instance) {
	if inst.coord == nil {
		return
	}
	_ = inst.coord.Close()
	_ = inst.net.Close()
	inst.coord = nil
}

// eventually waits for a condition. The time limit only ends a test that has failed.
func eventually(t *testing.T, condition string, check func() bool) {
	t.Helper()
	for deadline := time.Now().Add(60 * time.Second); !check(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met: %s", condition)
		}
	}
}

// configure commits a configuration through an instance, retrying until it is accepted.
func (d *deployment) configure(inst *instance, version uint64) {
	d.t.Helper()
	eventually(d.t, fmt.Sprint("accepted version ", version), func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := inst.coord.Configure(ctx, version, []byte(fmt.Sprint("config ", version)))
		return err == nil
	})
}

func (d *deployment) expectVersion(version uint64, at ...*instance) {
	d.t.Helper()
	for _, inst := range at {
		eventually(d.t, fmt.Sprintf("version %d at %s", version, inst.addr), func() bool {
			return inst.local.check(func(l *fakeLocal) bool { return l.version == version && l.config == fmt.Sprint("config ", version) })
		})
	}
}

// awaitLeader waits for an instance that leads and returns it.
func (d *deployment) awaitLeader() (leader *instance) {
	d.t.Helper()
	eventually(d.t, "a leader", func() bool {
		leader = d.leader()
		return leader != nil
	})
	return leader
}

// voters returns the voting members according to the leader.
func (d *deployment) voters() []string {
	for _, inst := range d.instances {
		if inst.coord == nil {
			continue
		}
		inst.coord.mu.Lock()
		m := inst.coord.member
		inst.coord.mu.Unlock()
		if m == nil || m.group.Status().Role != raft.Leader {
			continue
		}
		var out []string
		for _, v := range m.group.Status().Members {
			if !v.Learner {
				out = append(out, v.ID)
			}
		}
		return out
	}
	return nil
}

// Guards against a deployment that does not form from three seeds, whichever instances
// they are, and against instances that do not discover others.
func TestFormsFromThreeSeeds(t *testing.T) {
	for _, c := range []struct {
		name          string
		disks, others int
	}{{"seeds with a disk", 4, 0}, {"some seeds without a disk", 3, 2}, {"no seed has a disk", 3, 3}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, c.disks, c.others)
			last := d.instances[len(d.instances)-1]
			d.configure(last, 7)
			d.expectVersion(7, d.instances...)
			eventually(t, "all instances are known everywhere", func() bool {
				return last.local.check(func(l *fakeLocal) bool { return len(l.instances) == len(d.instances) })
			})
			eventually(t, "all instances with a disk vote", func() bool { return len(d.voters()) == c.disks })
		})
	}
}

// Guards against a replacement that never becomes a voter, leaves the lost member in the
// quorum, or restores an older configuration.
func TestReplacedMember(t *testing.T) {
	t.Parallel()
	d := deploy(t, 4, 0)
	d.configure(d.instances[0], 1)
	eventually(t, "all instances with a disk vote", func() bool { return len(d.voters()) == 4 })
	lost := d.instances[1]
	d.stop(lost)
	replacement := &instance{addr: freeAddress(), fs: disk.NewFake(99)}
	d.instances = append(d.instances, replacement)
	d.start(replacement, false)
	eventually(t, "the new member votes and the lost one does not", func() bool {
		v := d.voters()
		return slices.Contains(v, replacement.addr) && !slices.Contains(v, lost.addr)
	})
	d.configure(replacement, 2)
	d.expectVersion(2, replacement, d.instances[0], d.instances[2], d.instances[3])
}

// Guards against losing committed state when one disk is lost and all processes stop at
// the same time.
func TestLostDiskAndRestartOfAll(t *testing.T) {
	t.Parallel()
	d := deploy(t, 4, 1)
	d.configure(d.instances[4], 5)
	for _, inst := range d.instances {
		d.stop(inst)
	}
	d.instances[0].fs.Wipe()
	for i, inst := range d.instances {
		d.start(inst, i > 0 && inst.fs == nil)
	}
	d.expectVersion(5, d.instances...)
	eventually(t, "the member without its disk votes again", func() bool { return len(d.voters()) == 4 })
}

// Guards against a leader that loses its disk and never rejoins: the other instances
// still name it as the leader, and it must not wait for itself.
func TestLeaderWithoutItsDiskJoinsAgain(t *testing.T) {
	t.Parallel()
	d := deploy(t, 4, 1)
	d.configure(d.instances[4], 1)
	eventually(t, "all instances with a disk vote", func() bool { return len(d.voters()) == 4 })
	leader := d.awaitLeader()
	d.stop(leader)
	leader.fs.Wipe()
	d.start(leader, false)
	d.expectVersion(1, leader)
	eventually(t, "the member without its disk votes again", func() bool {
		return len(d.voters()) == 4 && slices.Contains(d.voters(), leader.addr)
	})
}

// Guards against a configuration that reverts to an older version, and against
// rejecting a repeated one.
func TestHighestVersionHolds(t *testing.T) {
	t.Parallel()
	d := deploy(t, 3, 0)
	d.configure(d.instances[0], 5)
	d.configure(d.instances[1], 3)
	d.configure(d.instances[2], 5)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	got, err := d.instances[1].coord.Read(ctx)
	if err != nil || got.Version != 5 || string(got.Config) != "config 5" {
		t.Errorf("read version %d %q, %v", got.Version, got.Config, err)
	}
}

// Guards against a member that answers reads or accepts commands without a majority.
func TestNoAnswerWithoutAMajority(t *testing.T) {
	t.Parallel()
	d := deploy(t, 3, 0)
	d.configure(d.instances[0], 1)
	eventually(t, "all instances with a disk vote", func() bool { return len(d.voters()) == 3 })
	d.stop(d.instances[1])
	d.stop(d.instances[2])
	time.Sleep(2 * electionTimeout) // any lease has expired
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if _, err := d.instances[0].coord.Read(ctx); err == nil {
		t.Error("a read was answered without a majority")
	}
	if _, err := d.instances[0].coord.Configure(ctx, 2, nil); err == nil {
		t.Error("a configuration was accepted without a majority")
	}
}

// Guards against an instance that keeps sending requests to a server after the server
// told another instance that it leaves, also when the leader has changed meanwhile.
func TestServersAreKnownEverywhere(t *testing.T) {
	t.Parallel()
	d := deploy(t, 3, 2)
	d.configure(d.instances[0], 1)
	s := roster.Server{ID: "e", Incarnation: 1, Seq: 1, Service: "s", Address: "10.0.0.1:1", State: world.Ready}
	announce := func(inst *instance, s roster.Server) {
		inst.local.mu.Lock()
		inst.local.unreported = append(inst.local.unreported, s)
		inst.local.servers.Put(s, time.Now())
		inst.local.mu.Unlock()
		eventually(t, "the leader has the announcement", func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			return inst.coord.SyncNow(ctx) == nil
		})
	}
	usable := func(inst *instance) bool {
		return inst.local.check(func(l *fakeLocal) bool { return len(l.servers.Usable()) == 1 })
	}
	announce(d.instances[3], s)
	for _, inst := range d.instances {
		eventually(t, "the server is known at "+inst.addr, func() bool { return usable(inst) })
	}
	eventually(t, "all instances with a disk vote", func() bool { return len(d.voters()) == 3 })
	for _, inst := range d.instances[:3] {
		if inst.coord.Leader() == inst.addr {
			d.stop(inst)
			break
		}
	}
	s.Seq, s.State = 2, world.Leaving
	announce(d.instances[4], s)
	for _, inst := range d.instances {
		if inst.coord != nil {
			eventually(t, "the server is out at "+inst.addr, func() bool { return !usable(inst) })
		}
	}
}

var start = time.Unix(1_000_000, 0)

// Guards against membership changes that endanger the quorum: members must change one at
// a time, lost disks first, and no removal may leave fewer voters than required.
func TestNextMembershipChange(t *testing.T) {
	now := start.Add(time.Hour)
	status := func(silent []string, mismatched []string, ids ...string) raft.Status {
		st := raft.Status{ID: "a"}
		for _, id := range ids {
			st.Members = append(st.Members, raft.Member{ID: id})
			p := raft.PeerStatus{Member: raft.Member{ID: id}, Contact: now, IncarnationMismatch: slices.Contains(mismatched, id)}
			if slices.Contains(silent, id) {
				p.Contact = start
			}
			if id != "a" {
				st.Peers = append(st.Peers, p)
			}
		}
		return st
	}
	for _, c := range []struct {
		name        string
		st          raft.Status
		reporting   []string
		electedAt   time.Time
		add, remove string
	}{
		{"nothing to do", status(nil, nil, "a", "b", "c"), []string{"a", "b", "c"}, start, "", ""},
		{"a new instance", status(nil, nil, "a", "b", "c"), []string{"a", "b", "c", "d"}, start, "d", ""},
		{"a lost disk", status(nil, []string{"b"}, "a", "b", "c"), []string{"a", "b", "c"}, start, "b", ""},
		{"a silent member of four", status([]string{"d"}, nil, "a", "b", "c", "d"), []string{"a", "b", "c"}, start, "", "d"},
		{"a silent member of three", status([]string{"c"}, nil, "a", "b", "c"), []string{"a", "b"}, start, "", ""},
		{"a new leader has no contacts yet", status([]string{"d"}, nil, "a", "b", "c", "d"), []string{"a", "b", "c"}, now, "", ""},
	} {
		if add, remove := nextMembershipChange(c.st, c.reporting, 3, c.electedAt, now); add != c.add || remove != c.remove {
			t.Errorf("%s: add %q, remove %q, want %q and %q", c.name, add, remove, c.add, c.remove)
		}
	}
}

// Guards against usage counts that change after they were committed, and against
// repeated orders that start a rollout again.
func TestState(t *testing.T) {
	s := newStateMachine(ignoreDepartures)
	s.applyUsage(Window{Number: 1, Counts: map[string]float64{"o": 5}}.proto())
	s.applyUsage(Window{Number: 1, Counts: map[string]float64{"o": 9}}.proto())
	if got, _ := s.usage(1); got["o"] != 5 {
		t.Errorf("usage %v, want the first counts", got)
	}
	order := Rollout{Service: "s", Target: "v2", Phase: Running, Duration: time.Second}
	first := s.applyRollout(order.proto(), nil, nil)
	if again := s.applyRollout(order.proto(), nil, nil); again.Serial != first.Serial {
		t.Error("a repeated order started a second rollout")
	}
	s.applyRollout(rolloutFromProto(first).WithPhase(RolledBack, "bad").proto(), nil, nil)
	s.applyRollout(rolloutFromProto(first).WithPhase(Done, "late").proto(), nil, nil)
	if got := s.rollouts()[0].Phase; got != RolledBack {
		t.Errorf("phase %d after a late change, want %d", got, RolledBack)
	}
}

// Guards against a data race, found by CI, between reads of the rollouts and the
// application of a change, and against reads that change afterwards.
func TestReadsKeepTheirRollouts(t *testing.T) {
	s := newStateMachine(ignoreDepartures)
	apply := func(r Rollout) {
		b, err := proto.Marshal(&coordpb.Command{Rollout: r.proto()})
		if err != nil {
			t.Fatal(err)
		}
		s.Apply(1, b)
	}
	apply(Rollout{Service: "s", Target: "v2", Phase: Running})
	snapshot := s.copy()
	apply(Rollout{Service: "s", Target: "v2", Phase: Done, Serial: 1})
	if got := Phase(snapshot.Rollouts[0].State); got != Running {
		t.Errorf("a read before the change shows phase %d, want %d", got, Running)
	}
	if got := Phase(s.copy().Rollouts[0].State); got != Done {
		t.Errorf("a read after the change shows phase %d, want %d", got, Done)
	}
}

// Guards against restarting the rollout of a bad version: the operator retries an order
// after a lost reply when the version has already been rolled back.
func TestRepeatedOrderAfterTheEnd(t *testing.T) {
	for _, c := range []struct {
		name  string
		again Rollout
		want  Phase
	}{
		{"repeated", Rollout{Started: start.Add(4 * time.Second), Duration: time.Minute, Target: "v2"}, RolledBack},
		{"ordered again later", Rollout{Started: start.Add(20 * time.Second), Duration: time.Minute, Target: "v2"}, Running},
		{"another target", Rollout{Started: start.Add(4 * time.Second), Duration: time.Minute, Target: "v3"}, Running},
	} {
		s := newStateMachine(ignoreDepartures)
		first := s.applyRollout(Rollout{Service: "s", Target: "v2", Phase: Running, Started: start, Duration: time.Minute}.proto(), nil, nil)
		s.applyRollout(rolloutFromProto(first).WithPhase(RolledBack, "bad").proto(), nil, nil)
		c.again.Service, c.again.Phase = "s", Running
		s.applyRollout(c.again.proto(), nil, nil)
		if got := s.rollouts()[0].Phase; got != c.want {
			t.Errorf("%s: phase %d, want %d", c.name, got, c.want)
		}
	}
}

// Guards against reporting a command as without effect although an earlier call with it
// had no clear outcome: the peer may have committed it before the later calls failed.
func TestUnknownOutcomeIsKept(t *testing.T) {
	for _, c := range []struct {
		name  string
		first func(ctx context.Context) error // outcome of the first call; later ones find no leader
		want  error
	}{
		{"no answer", func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }, ErrUnknown},
		{"the leader does not know", func(context.Context) error { return &link.RemoteError{Code: codeUnknown} }, ErrUnknown},
		{"not the leader", func(context.Context) error { return &link.RemoteError{Code: codeNotLeader} }, ErrUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			addr, nextLeader := freeAddress(), freeAddress()
			peer, err := link.Listen(link.Config{Node: addr, Listen: addr})
			if err != nil {
				t.Fatal(err)
			}
			defer peer.Close()
			var calls atomic.Int32
			peer.Handle(callPropose, func(ctx context.Context, _ link.Peer, _ []byte) (proto.Message, error) {
				switch calls.Add(1) {
				case 1:
					return nil, c.first(ctx)
				case 2:
					return nil, &link.RemoteError{Code: codeNotLeader}
				}
				return nil, &link.RemoteError{Code: codeNotLeader, Message: nextLeader}
			})
			// Ends the retries before a connection to the next leader, when no call is in
			// flight. A deadline may pass during a call, whose outcome is then unknown too.
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			inst := &instance{addr: freeAddress()}
			d := &deployment{t: t, seeds: []string{addr}, links: faults.New()}
			dial := d.links.Dialer(inst.addr)
			transport, err := link.Listen(link.Config{Node: inst.addr, Listen: freeAddress(), Dial: func(ctx context.Context, addr string) (net.Conn, error) {
				if addr == nextLeader {
					cancel()
					return nil, errors.New("unreachable")
				}
				return dial(ctx, addr)
			}})
			if err != nil {
				t.Fatal(err)
			}
			defer transport.Close()
			d.startWith(inst, func(cfg *Config) { cfg.Net = transport })
			defer d.stop(inst)
			if _, err := inst.coord.Configure(ctx, 1, nil); !errors.Is(err, c.want) || errors.Is(err, ErrUnknown) != (c.want == ErrUnknown) {
				t.Errorf("got %v after %d calls, want %v", err, calls.Load(), c.want)
			}
		})
	}
}

// Guards against a leader that acts after its machine was suspended: the monotonic clock
// leaves that time out, and the others have elected another leader meanwhile.
func TestSuspendedLeaderDoesNotAct(t *testing.T) {
	t.Parallel()
	for range 5 {
		if suspendLeader(t) {
			return
		}
	}
	t.Error("the lease ended each time while the others stopped")
}

// suspendLeader returns false if the leader's lease ended before it was suspended.
func suspendLeader(t *testing.T) bool {
	d := deploy(t, 3, 0)
	d.configure(d.instances[0], 1)
	eventually(t, "all instances with a disk vote", func() bool { return len(d.voters()) == 3 })
	eventually(t, "a leader", func() bool { return d.leader() != nil })
	leader := d.leader()
	for _, inst := range d.instances {
		if inst != leader {
			d.stop(inst) // nobody can renew the lease
		}
	}
	before := time.Now()
	if _, ok := leader.coord.Leads(before); !ok {
		return false
	}
	leader.suspended.Store(int64(2 * electionTimeout))
	if _, ok := leader.coord.Leads(before); ok {
		t.Error("the instance still leads after its lease ran out while it was suspended")
	}
	if _, err := leader.coord.lend(&coordpb.Borrow{Organisation: "o", Units: 1}); err == nil {
		t.Error("units were lent after the lease ran out")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	if _, err := leader.coord.Read(ctx); err == nil {
		t.Error("a read was answered after the lease ran out")
	}
	return true
}
