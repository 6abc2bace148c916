package coord

import (
	"context"
	"fmt"
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
	"cranberrypath.example/cranberrypath/internal/link"
	"cranberrypath.example/cranberrypath/internal/quota"
	"cranberrypath.example/cranberrypath/internal/raft"
	"cranberrypath.example/cranberrypath/internal/roster"
	"cranberrypath.example/cranberrypath/internal/world"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// listener is the Local of a test: it announces servers and remembers what it learned.
type listener struct {
	mu      sync.Mutex
	say     []roster.Server
	flying  []roster.Server
	all     *roster.Roster
	version uint64
	config  string
	nodes   []Node
	levels  map[string]float64
	spent   map[string]float64
}

func (l *listener) Report(full bool, _ time.Time) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := Report{Ready: true, ConfigVersion: l.version, Servers: l.say, Spent: l.spent}
	if full {
		known, _ := l.all.Since(0)
		r.Servers = append(known, r.Servers...)
	}
	l.flying, l.say, l.spent = l.say, nil, nil
	return r
}

func (l *listener) Lost(time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.say = append(l.flying, l.say...)
}

func (l *listener) Learn(v View, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range v.Servers {
		l.all.Put(s, now)
	}
	if v.Config != nil {
		l.version, l.config = v.Version, string(v.Config)
	}
	if v.Nodes != nil {
		l.nodes = v.Nodes
	}
	l.levels = v.Levels
}

func (l *listener) look(f func(*listener) bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return f(l)
}

// instance is one instance of a test on loopback.
type instance struct {
	addr  string
	net   *link.Net
	coord *Coord
	local *listener
	fs    *disk.Fake
}

// deployment starts instances; the first disks of them have a disk.
type deployment struct {
	t     *testing.T
	seeds []string
	all   []*instance
}

// addresses counts the loopback addresses given out. Each instance has its own IP
// address, so that no other test or connection takes its port while it is stopped.
var addresses atomic.Uint32

func freeAddress() string {
	n := addresses.Add(1)
	return fmt.Sprintf("127.77.%d.%d:7600", n/250, n%250+1)
}

func deploy(t *testing.T, disks, others int) *deployment {
	t.Helper()
	d := &deployment{t: t}
	for range disks + others {
		d.all = append(d.all, &instance{addr: freeAddress()})
	}
	for i := range 3 {
		d.seeds = append(d.seeds, d.all[(i+others)%len(d.all)].addr)
	}
	for i, x := range d.all {
		if i < disks {
			x.fs = disk.NewFake(uint64(i))
		}
		d.start(x, true)
	}
	t.Cleanup(func() {
		for _, x := range d.all {
			d.stop(x)
		}
	})
	return d
}

func (d *deployment) start(x *instance, first bool) {
	d.t.Helper()
	var err error
	x.net, err = link.Listen(link.Config{Node: x.addr, Listen: x.addr})
	if err != nil {
		d.t.Fatal(err)
	}
	x.local = &listener{all: roster.New()}
	cfg := Config{
		Self: Node{ID: x.addr, Name: x.addr, Callers: x.addr, Durable: x.fs != nil, Started: time.Now()},
		Net:  x.net, Seeds: func() []string { return d.seeds }, First: first, MinVoters: 3, Local: x.local,
		Rules: func() (uint64, map[string]quota.Rule, map[string]float64) {
			return 1, map[string]quota.Rule{"o": {Rate: 1, Burst: 100}}, nil
		},
		Heartbeat: time.Second, Clock: time.Now, Log: &log.Logger{Handler: discard.New()},
	}
	if x.fs != nil {
		cfg.FS, cfg.Dir = x.fs, "data"
	}
	x.coord = Start(cfg)
}

func (d *deployment) stop(x *instance) {
	if x.coord == nil {
		return
	}
	_ = x.coord.Close()
	_ = x.net.Close()
	x.coord = nil
}

// eventually waits for a condition; the limit only ends a test that has failed.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(60 * time.Second); !f(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

// configure puts a configuration in force through an instance, repeating it until
// it is accepted.
func (d *deployment) configure(x *instance, version uint64) {
	d.t.Helper()
	eventually(d.t, fmt.Sprint("accepted version ", version), func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := x.coord.Configure(ctx, version, []byte(fmt.Sprint("config ", version)))
		return err == nil
	})
}

func (d *deployment) expectVersion(version uint64, at ...*instance) {
	d.t.Helper()
	for _, x := range at {
		eventually(d.t, fmt.Sprintf("version %d at %s", version, x.addr), func() bool {
			return x.local.look(func(l *listener) bool { return l.version == version && l.config == fmt.Sprint("config ", version) })
		})
	}
}

// voters returns the members with a vote by the word of the leader.
func (d *deployment) voters() []string {
	for _, x := range d.all {
		if x.coord == nil {
			continue
		}
		x.coord.mu.Lock()
		m := x.coord.member
		x.coord.mu.Unlock()
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

// Guards against a deployment that does not come up when it knows only three
// addresses, whichever instances they are, and against instances that miss others.
func TestFormsFromThreeSeeds(t *testing.T) {
	for _, c := range []struct {
		name          string
		disks, others int
	}{{"seeds with a disk", 4, 0}, {"some seeds without a disk", 3, 2}, {"no seed has a disk", 3, 3}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, c.disks, c.others)
			last := d.all[len(d.all)-1]
			d.configure(last, 7)
			d.expectVersion(7, d.all...)
			eventually(t, "all instances are known everywhere", func() bool {
				return last.local.look(func(l *listener) bool { return len(l.nodes) == len(d.all) })
			})
			eventually(t, "all disks vote", func() bool { return len(d.voters()) == c.disks })
		})
	}
}

// Guards against a replaced instance that never gets a vote, keeps the vote of the
// lost one in the quorum, or brings back an older configuration.
func TestReplacedMember(t *testing.T) {
	t.Parallel()
	d := deploy(t, 4, 0)
	d.configure(d.all[0], 1)
	eventually(t, "all disks vote", func() bool { return len(d.voters()) == 4 })
	gone := d.all[1]
	d.stop(gone)
	fresh := &instance{addr: freeAddress(), fs: disk.NewFake(99)}
	d.all = append(d.all, fresh)
	d.start(fresh, false)
	eventually(t, "the new member votes and the lost one does not", func() bool {
		v := d.voters()
		return slices.Contains(v, fresh.addr) && !slices.Contains(v, gone.addr)
	})
	d.configure(fresh, 2)
	d.expectVersion(2, fresh, d.all[0], d.all[2], d.all[3])
}

// Guards against the loss of what was accepted when a disk is lost and all other
// processes stop at the same moment.
func TestLostDiskAndRestartOfAll(t *testing.T) {
	t.Parallel()
	d := deploy(t, 4, 1)
	d.configure(d.all[4], 5)
	for _, x := range d.all {
		d.stop(x)
	}
	d.all[0].fs.Wipe()
	for i, x := range d.all {
		d.start(x, i > 0 && x.fs == nil)
	}
	d.expectVersion(5, d.all...)
	eventually(t, "the member without its disk votes again", func() bool { return len(d.voters()) == 4 })
}

// Guards against a leader that lost its disk and never joins again: the others still
// name it as the leader when it asks them, and it must not wait for its own word.
func TestLeaderWithoutItsDiskJoinsAgain(t *testing.T) {
	t.Parallel()
	d := deploy(t, 4, 1)
	d.configure(d.all[4], 1)
	eventually(t, "all disks vote", func() bool { return len(d.voters()) == 4 })
	var leader *instance
	eventually(t, "a leader", func() bool {
		for _, x := range d.all {
			if _, ok := x.coord.Leads(time.Now()); ok {
				leader = x
			}
		}
		return leader != nil
	})
	d.stop(leader)
	leader.fs.Wipe()
	d.start(leader, false)
	d.expectVersion(1, leader)
	eventually(t, "the member without its disk votes again", func() bool {
		return len(d.voters()) == 4 && slices.Contains(d.voters(), leader.addr)
	})
}

// Guards against a configuration that falls back to an older one, and a repeated
// one that is refused.
func TestHighestVersionHolds(t *testing.T) {
	t.Parallel()
	d := deploy(t, 3, 0)
	d.configure(d.all[0], 5)
	d.configure(d.all[1], 3)
	d.configure(d.all[2], 5)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	got, err := d.all[1].coord.Read(ctx)
	if err != nil || got.Version != 5 || string(got.Config) != "config 5" {
		t.Errorf("read version %d %q, %v", got.Version, got.Config, err)
	}
}

// Guards against a member that answers reads or accepts changes without a majority.
func TestNoAnswerWithoutAMajority(t *testing.T) {
	t.Parallel()
	d := deploy(t, 3, 0)
	d.configure(d.all[0], 1)
	eventually(t, "all disks vote", func() bool { return len(d.voters()) == 3 })
	d.stop(d.all[1])
	d.stop(d.all[2])
	time.Sleep(2 * election) // any lease has lapsed
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if _, err := d.all[0].coord.Read(ctx); err == nil {
		t.Error("a read was answered without a majority")
	}
	if _, err := d.all[0].coord.Configure(ctx, 2, nil); err == nil {
		t.Error("a configuration was accepted without a majority")
	}
}

// Guards against an instance that keeps sending to a server which told another one
// that it leaves, after the leader has changed too.
func TestServersAreKnownEverywhere(t *testing.T) {
	t.Parallel()
	d := deploy(t, 3, 2)
	d.configure(d.all[0], 1)
	s := roster.Server{ID: "e", Born: 1, Seq: 1, Service: "s", Address: "10.0.0.1:1", State: world.Ready}
	announce := func(x *instance, s roster.Server) {
		x.local.mu.Lock()
		x.local.say = append(x.local.say, s)
		x.local.all.Put(s, time.Now())
		x.local.mu.Unlock()
		eventually(t, "the leader has the announcement", func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			return x.coord.Flush(ctx) == nil
		})
	}
	usable := func(x *instance) bool {
		return x.local.look(func(l *listener) bool { return len(l.all.Usable()) == 1 })
	}
	announce(d.all[3], s)
	for _, x := range d.all {
		eventually(t, "the server is known at "+x.addr, func() bool { return usable(x) })
	}
	eventually(t, "all disks vote", func() bool { return len(d.voters()) == 3 })
	for _, x := range d.all[:3] {
		if x.coord.Leader() == x.addr {
			d.stop(x)
			break
		}
	}
	s.Seq, s.State = 2, world.Leaving
	announce(d.all[4], s)
	for _, x := range d.all {
		if x.coord != nil {
			eventually(t, "the server is out at "+x.addr, func() bool { return !usable(x) })
		}
	}
}

var start = time.Unix(1_000_000, 0)

// Guards against changes of membership that lose the quorum: one at a time, the
// lost disk first, and no removal below the number that bears the losses.
func TestNextChange(t *testing.T) {
	now := start.Add(time.Hour)
	status := func(silent []string, strangers []string, ids ...string) raft.Status {
		st := raft.Status{ID: "a"}
		for _, id := range ids {
			st.Members = append(st.Members, raft.Member{ID: id})
			p := raft.PeerStatus{Member: raft.Member{ID: id}, Contact: now, Stranger: slices.Contains(strangers, id)}
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
		present     []string
		since       time.Time
		add, remove string
	}{
		{"nothing to do", status(nil, nil, "a", "b", "c"), []string{"a", "b", "c"}, start, "", ""},
		{"a new one", status(nil, nil, "a", "b", "c"), []string{"a", "b", "c", "d"}, start, "d", ""},
		{"a lost disk", status(nil, []string{"b"}, "a", "b", "c"), []string{"a", "b", "c"}, start, "b", ""},
		{"a silent one of four", status([]string{"d"}, nil, "a", "b", "c", "d"), []string{"a", "b", "c"}, start, "", "d"},
		{"a silent one of three", status([]string{"c"}, nil, "a", "b", "c"), []string{"a", "b"}, start, "", ""},
		{"a new leader does not know", status([]string{"d"}, nil, "a", "b", "c", "d"), []string{"a", "b", "c"}, now, "", ""},
	} {
		if add, remove := nextChange(c.st, c.present, 3, c.since, now); add != c.add || remove != c.remove {
			t.Errorf("%s: add %q, remove %q, want %q and %q", c.name, add, remove, c.add, c.remove)
		}
	}
}

// Guards against counts of a window that change after they were fixed, and orders
// that begin a rollout again when they are repeated.
func TestState(t *testing.T) {
	s := newState()
	s.applyUsage(Window{Number: 1, Counts: map[string]float64{"o": 5}}.proto())
	s.applyUsage(Window{Number: 1, Counts: map[string]float64{"o": 9}}.proto())
	if got, _ := s.usage(1); got["o"] != 5 {
		t.Errorf("usage %v, want the first one", got)
	}
	order := Rollout{Service: "s", Target: "v2", Phase: Running, Duration: time.Second}
	first := s.applyRollout(order.proto())
	if again := s.applyRollout(order.proto()); again.Serial != first.Serial {
		t.Error("a repeated order began a second rollout")
	}
	s.applyRollout(rolloutOf(first).WithPhase(TakenBack, "bad").proto())
	s.applyRollout(rolloutOf(first).WithPhase(Done, "late").proto())
	if got := s.rollouts()[0].Phase; got != TakenBack {
		t.Errorf("phase %d after a step that came late, want %d", got, TakenBack)
	}
}

// Guards against reads that change, or race with the log, while a step of a rollout
// is applied: CI found the race between a read and a step.
func TestReadsKeepTheirRollouts(t *testing.T) {
	m := newState()
	step := func(r Rollout) {
		b, err := proto.Marshal(&coordpb.Command{Rollout: r.proto()})
		if err != nil {
			t.Fatal(err)
		}
		m.Apply(1, b)
	}
	step(Rollout{Service: "s", Target: "v2", Phase: Running})
	read := m.copy()
	step(Rollout{Service: "s", Target: "v2", Phase: Done, Serial: 1})
	if got := Phase(read.Rollouts[0].State); got != Running {
		t.Errorf("a read of before the step shows phase %d, want %d", got, Running)
	}
	if got := Phase(m.copy().Rollouts[0].State); got != Done {
		t.Errorf("a read of after the step shows phase %d, want %d", got, Done)
	}
}

// Guards against a bad version that is brought in again because the operator sends the
// order again, after an answer was lost, when the version has been taken back already.
func TestRepeatedOrderAfterTheEnd(t *testing.T) {
	for _, c := range []struct {
		name  string
		again Rollout
		want  Phase
	}{
		{"repeated", Rollout{Started: start.Add(4 * time.Second), Duration: time.Minute, Target: "v2"}, TakenBack},
		{"ordered anew later", Rollout{Started: start.Add(20 * time.Second), Duration: time.Minute, Target: "v2"}, Running},
		{"another target", Rollout{Started: start.Add(4 * time.Second), Duration: time.Minute, Target: "v3"}, Running},
	} {
		s := newState()
		first := s.applyRollout(Rollout{Service: "s", Target: "v2", Phase: Running, Started: start, Duration: time.Minute}.proto())
		s.applyRollout(rolloutOf(first).WithPhase(TakenBack, "bad").proto())
		c.again.Service, c.again.Phase = "s", Running
		s.applyRollout(c.again.proto())
		if got := s.rollouts()[0].Phase; got != c.want {
			t.Errorf("%s: phase %d, want %d", c.name, got, c.want)
		}
	}
}
