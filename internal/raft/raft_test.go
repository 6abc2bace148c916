package raft

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/disk"
	"cranberrypath.example/cranberrypath/internal/raft/raftpb"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// machine keeps the commands it applied, or only the last one for long runs.
type machine struct {
	mu   sync.Mutex
	cmds []string
	last string
	few  bool // keep only the last command
	seen int
}

func (m *machine) Apply(_ uint64, cmd []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	prior := m.last
	m.last = string(cmd)
	m.seen++
	if !m.few {
		m.cmds = append(m.cmds, m.last)
	}
	return []byte(prior)
}

func (m *machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := binary.AppendUvarint(nil, uint64(m.seen))
	if m.few {
		return append(b, m.last...), nil
	}
	return append(b, strings.Join(m.cmds, "\n")...), nil
}

func (m *machine) Restore(b []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	seen, n := binary.Uvarint(b)
	m.seen, m.cmds, m.last = int(seen), nil, ""
	if m.cmds = strings.Split(string(b[n:]), "\n"); m.seen > 0 {
		m.last = m.cmds[len(m.cmds)-1]
	}
	if m.seen == 0 || m.few {
		m.cmds = nil
	}
	return nil
}

func (m *machine) read() (string, []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.last, slices.Clone(m.cmds)
}

// network carries messages in memory. Cut ways lose requests or responses.
type network struct {
	mu     sync.Mutex
	groups map[string]*Group
	cut    map[[2]string]bool
	kinds  map[raftpb.Kind]int // requests sent so far
}

var errCut = errors.New("cut")

func (n *network) open(from, to string) *Group {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut[[2]string{from, to}] {
		return nil
	}
	return n.groups[to]
}

func (n *network) set(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{from, to}] = cut
}

func (n *network) count(k raftpb.Kind) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.kinds != nil {
		n.kinds[k]++
	}
}

func (n *network) sent(k raftpb.Kind) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.kinds[k]
}

type endpoint struct {
	net *network
	id  string
}

func (e endpoint) Call(ctx context.Context, to string, req *raftpb.Message) (*raftpb.Message, error) {
	e.net.count(req.Kind)
	g := e.net.open(e.id, to)
	if g == nil {
		<-ctx.Done() // a silent partition
		return nil, errCut
	}
	b, _ := proto.Marshal(req)
	in := &raftpb.Message{}
	_ = proto.Unmarshal(b, in)
	resp := g.Handle(ctx, in)
	if resp == nil {
		return nil, ErrStopped
	}
	if e.net.open(to, e.id) == nil {
		<-ctx.Done()
		return nil, errCut
	}
	return proto.CloneOf(resp), nil
}

// cluster is a group in memory, each member on its own fake disk.
type cluster struct {
	t    *testing.T
	net  *network
	ids  []string
	snap int
	// clock returns the clock of a member; nil means time.Now for all.
	clock  func(id string) func() time.Time
	spread time.Duration

	mu       sync.Mutex
	disks    map[string]*disk.Fake
	machines map[string]*machine
	seed     uint64
}

func newCluster(t *testing.T, n int, seed uint64, snap int) *cluster {
	t.Helper()
	return newClusterWith(t, n, seed, snap, func(*cluster) {})
}

// newClusterWith starts a cluster after set has changed it.
func newClusterWith(t *testing.T, n int, seed uint64, snap int, set func(*cluster)) *cluster {
	t.Helper()
	t.Logf("seed %d", seed)
	c := &cluster{
		t: t, net: &network{groups: map[string]*Group{}, cut: map[[2]string]bool{}, kinds: map[raftpb.Kind]int{}}, snap: snap, seed: seed,
		disks: map[string]*disk.Fake{}, machines: map[string]*machine{},
	}
	set(c)
	for i := range n {
		c.ids = append(c.ids, string(rune('a'+i)))
	}
	for i, id := range c.ids {
		c.disks[id] = disk.NewFake(seed*100 + uint64(i))
		c.start(id, c.ids)
	}
	t.Cleanup(func() {
		for _, id := range c.ids {
			c.stop(id)
		}
	})
	return c
}

func (c *cluster) start(id string, initial []string) {
	c.t.Helper()
	m := &machine{}
	c.seed++
	now := time.Now
	if c.clock != nil {
		now = c.clock(id)
	}
	g, err := Open(Config{
		Clock: now, Spread: c.spread,
		Group: 1, ID: id, Members: initial, FS: c.disks[id], Dir: "raft", Machine: m, Transport: endpoint{c.net, id},
		Seed: c.seed, Heartbeat: 15 * time.Millisecond, Election: 80 * time.Millisecond,
		SnapshotBytes: c.snap, SegmentBytes: 1000,
	})
	if err != nil {
		c.t.Fatalf("start %s: %v", id, err)
	}
	c.mu.Lock()
	c.machines[id] = m
	c.mu.Unlock()
	c.net.mu.Lock()
	c.net.groups[id] = g
	c.net.mu.Unlock()
}

func (c *cluster) group(id string) *Group {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	return c.net.groups[id]
}

func (c *cluster) machine(id string) *machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machines[id]
}

// stop ends the process; what its disk had not synced stays readable.
func (c *cluster) stop(id string) {
	c.net.mu.Lock()
	g := c.net.groups[id]
	delete(c.net.groups, id)
	c.net.mu.Unlock()
	if g != nil {
		_ = g.Close()
	}
}

// crash ends the machine, with loss of what was not synced, and starts it again.
func (c *cluster) crash(id string) {
	c.disks[id].Crash()
	c.stop(id)
	c.disks[id].Restart()
	c.start(id, c.ids)
}

func (c *cluster) isolate(id string, cut bool) {
	for _, other := range c.ids {
		if other != id {
			c.net.set(id, other, cut)
			c.net.set(other, id, cut)
		}
	}
}

// eventually waits for a condition; the limit only ends a test that has failed.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !f(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

// leader waits for a leader that holds its lease, other than not.
func (c *cluster) leader(not string) string {
	c.t.Helper()
	var found string
	eventually(c.t, "a leader", func() bool {
		for _, id := range c.ids {
			if g := c.group(id); g != nil && id != not {
				if _, ok := g.Lease(g.cfg.Clock()); ok {
					found = id
					return true
				}
			}
		}
		return false
	})
	return found
}

// propose retries until the command is acknowledged; an unknown outcome may
// apply it twice.
func (c *cluster) propose(cmd string) {
	c.t.Helper()
	eventually(c.t, "commit of "+cmd, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := c.group(c.leader("")).Propose(ctx, []byte(cmd))
		return err == nil
	})
}

func (c *cluster) expectSame(ids ...string) {
	c.t.Helper()
	eventually(c.t, "equal machines", func() bool {
		_, first := c.machine(ids[0]).read()
		for _, id := range ids[1:] {
			if _, other := c.machine(id).read(); !slices.Equal(first, other) {
				return false
			}
		}
		return true
	})
}

func (c *cluster) isVoter(on, id string) bool {
	m, ok := members(c.group(on).Status().Members).find(id)
	return ok && !m.Learner
}

// Guards against a cut-off leader that still answers reads or proposals, and
// that disturbs the group when it returns.
func TestIsolatedLeader(t *testing.T) {
	c := newCluster(t, 3, 11, 0)
	c.propose("one")
	old := c.leader("")
	c.isolate(old, true)
	next := c.leader(old)
	if _, ok := c.group(old).Lease(time.Now()); ok {
		t.Fatalf("%s and %s both hold the lease", old, next)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	if _, err := c.group(old).Barrier(ctx); err == nil {
		t.Fatal("the isolated leader answered a read")
	}
	if _, err := c.group(old).Propose(ctx, []byte("lost")); err == nil {
		t.Fatal("the isolated leader acknowledged a command")
	}
	c.propose("two")
	eventually(t, "the old leader steps down", func() bool { return c.group(old).Status().Role != Leader })
	time.Sleep(300 * time.Millisecond) // several election timeouts in isolation
	term := c.group(next).Status().Term
	c.isolate(old, false)
	c.propose("three")
	c.expectSame(c.ids...)
	if s := c.group(next).Status(); s.Role != Leader || s.Term != term {
		t.Fatalf("the return led to term %d (%v), was %d", s.Term, s.Role, term)
	}
}

// Guards against a wiped member that votes or acknowledges under its old
// identity, and against counting its replacement before it has caught up.
func TestWipedMemberAndSecondLoss(t *testing.T) {
	c := newCluster(t, 3, 12, 400)
	for i := range 60 {
		c.propose(fmt.Sprint("before ", i))
	}
	lead := c.leader("")
	wiped := c.ids[(slices.Index(c.ids, lead)+1)%3]
	other := c.ids[(slices.Index(c.ids, lead)+2)%3]
	c.stop(wiped)
	c.disks[wiped].Wipe()
	c.start(wiped, c.ids)
	c.stop(other)
	ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer cancel()
	if _, err := c.group(lead).Propose(ctx, []byte("alone")); err == nil {
		t.Fatal("a wiped member counted for the quorum")
	}
	eventually(t, "the loss of state is reported", func() bool { return c.group(wiped).Status().Stranger })
	c.start(other, c.ids)
	lead = c.leader("")
	eventually(t, "the wiped member is added again", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		return c.group(c.leader("")).Add(ctx, wiped) == nil
	})
	eventually(t, "it is promoted", func() bool { return c.isVoter(c.leader(""), wiped) })
	c.propose("after")
	c.stop(other) // the second loss, right after the repair
	c.propose("two of three")
	c.expectSame(lead, wiped)
	if _, all := c.machine(wiped).read(); !slices.Contains(all, "before 0") || !slices.Contains(all, "after") {
		t.Fatalf("the replaced member holds %d commands", len(all))
	}
}

// Guards against a learner that counts while it can't have the log, and a
// replacement that keeps the vote of the lost member.
func TestLearnerDoesNotCount(t *testing.T) {
	c := newCluster(t, 3, 13, 0)
	c.propose("one")
	lead := c.leader("")
	c.ids = append(c.ids, "d")
	c.disks["d"] = disk.NewFake(1)
	c.start("d", nil)
	g := c.group(lead)
	inc := c.group("d").Status().Incarnation
	c.net.set("d", lead, true) // it answers nothing
	err := g.change(context.Background(), func(m members) (members, error) {
		return append(m, Member{ID: "d", Incarnation: inc, Learner: true}), nil
	})
	if err != nil {
		t.Fatal(err)
	}
	c.propose("two")
	if c.isVoter(lead, "d") {
		t.Fatal("a learner that never answered was promoted")
	}
	c.net.set("d", lead, false)
	eventually(t, "promotion", func() bool { return c.isVoter(c.leader(""), "d") })
	eventually(t, "removal of the leader", func() bool {
		lead = c.leader("")
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		return c.group(lead).Remove(ctx, lead) == nil
	})
	if next := c.leader(lead); next == lead {
		t.Fatal("a removed leader stayed")
	}
	c.propose("three")
}

// Guards against a member that goes on after a disk error.
func TestDiskErrorStopsTheMember(t *testing.T) {
	for _, full := range []bool{false, true} {
		c := newCluster(t, 3, 14, 0)
		c.propose("one")
		lead := c.leader("")
		failed := make(chan error, 1)
		c.group(lead).cfg.Failed = func(err error) { failed <- err }
		if full {
			c.disks[lead].SetFree(0)
		} else {
			c.disks[lead].FailSync(1)
		}
		_, err := c.group(lead).Propose(context.Background(), []byte("two"))
		if !errors.Is(err, ErrUnknown) {
			t.Fatalf("full %v: got %v, want an unknown outcome", full, err)
		}
		<-failed
		if _, err := c.group(lead).Propose(context.Background(), []byte("x")); !errors.Is(err, ErrStopped) {
			t.Fatalf("full %v: got %v, want stopped", full, err)
		}
		if c.leader(lead); c.group(lead).Status().Err == nil {
			t.Fatal("the status does not tell the error")
		}
		c.propose("three")
	}
}

// Guards against state that is partly lost and taken for a new member's.
func TestPartlyLostStateIsRefused(t *testing.T) {
	for _, lost := range []string{"state/00000000000000000001.wal", "00000000000000000001.wal"} {
		c := newCluster(t, 1, 15, 0)
		c.propose("one")
		c.stop("a")
		if err := c.disks["a"].Remove("raft/" + lost); err != nil {
			t.Fatal(err)
		}
		_, err := Open(Config{ID: "a", Members: c.ids, FS: c.disks["a"], Dir: "raft", Machine: &machine{}})
		if err == nil {
			t.Fatalf("opened without %s", lost)
		}
	}
}

// Guards against recovery of a whole member that loses an acknowledged command,
// reorders commands or invents one, when it crashes at any write or sync, with
// snapshots under way.
func TestCrashOfAMemberAtEveryOperation(t *testing.T) {
	for part := range uint64(8) {
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			t.Parallel()
			for seed := part; seed < 480; seed += 8 {
				crashMember(t, seed)
			}
		})
	}
}

// Guards against a member that is elected while Open still reads its state: the race
// detector reports the access without the lock.
func TestElectedWhileOpening(t *testing.T) {
	g, err := Open(Config{
		ID: "a", Members: []string{"a"}, FS: disk.NewFake(1), Dir: "raft", Machine: &machine{}, Seed: 1,
		Heartbeat: time.Millisecond, Election: 2 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond) // no call that takes the lock before the election
	if err := g.Close(); err != nil {
		t.Fatal(err)
	}
}

func crashMember(t *testing.T, seed uint64) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 3))
	d := disk.NewFake(seed)
	var acked, doubt []string
	for boot := range 4 {
		d.CrashAt(1 + rng.IntN(70))
		if boot == 3 {
			d.CrashAt(0)
		}
		m := &machine{}
		g, err := Open(Config{
			ID: "a", Members: []string{"a"}, FS: d, Dir: "raft", Machine: m, Seed: seed,
			Heartbeat: 2 * time.Millisecond, Election: 4 * time.Millisecond, SnapshotBytes: 40, SegmentBytes: 200,
		})
		if err != nil && !d.Crashed() {
			t.Fatalf("seed %d boot %d: %v", seed, boot, err)
		}
		for n := 0; err == nil && n < 200; n++ {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			_, err = g.Barrier(ctx)
			cancel()
			if nl := (*NotLeader)(nil); errors.As(err, &nl) {
				time.Sleep(time.Millisecond)
				err = nil
				continue
			}
			if err != nil {
				break
			}
			_, got := m.read()
			if !slices.Equal(got, acked) && !slices.Equal(got, slices.Concat(acked, doubt)) {
				t.Fatalf("seed %d boot %d: got %q, want %q and perhaps %q", seed, boot, got, acked, doubt)
			}
			acked = got
			doubt = []string{fmt.Sprint(boot, "/", n)}
			if _, err = g.Propose(context.Background(), []byte(doubt[0])); err == nil {
				acked, doubt = append(acked, doubt...), nil
			}
			if boot == 3 {
				break
			}
		}
		if g != nil {
			_ = g.Close()
		}
		d.Restart()
	}
}
