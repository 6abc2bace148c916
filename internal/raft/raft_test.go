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

// testStateMachine keeps the commands it applied, or only the last for long runs.
type testStateMachine struct {
	mu           sync.Mutex
	commands     []string
	last         string
	keepLastOnly bool // for long runs
	applied      int
}

func (m *testStateMachine) Apply(_ uint64, cmd []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	previous := m.last
	m.last = string(cmd)
	m.applied++
	if !m.keepLastOnly {
		m.commands = append(m.commands, m.last)
	}
	return []byte(previous)
}

func (m *testStateMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := binary.AppendUvarint(nil, uint64(m.applied))
	if m.keepLastOnly {
		return append(b, m.last...), nil
	}
	return append(b, strings.Join(m.commands, "\n")...), nil
}

func (m *testStateMachine) Restore(b []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	applied, n := binary.Uvarint(b)
	m.applied, m.commands, m.last = int(applied), nil, ""
	if m.commands = strings.Split(string(b[n:]), "\n"); m.applied > 0 {
		m.last = m.commands[len(m.commands)-1]
	}
	if m.applied == 0 || m.keepLastOnly {
		m.commands = nil
	}
	return nil
}

func (m *testStateMachine) read() (string, []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.last, slices.Clone(m.commands)
}

// network delivers messages in memory. A cut direction loses requests or responses.
type network struct {
	mu       sync.Mutex
	groups   map[string]*Group
	cut      map[[2]string]bool
	requests map[raftpb.Kind]int // number of requests sent
}

var errCut = errors.New("cut")

func (n *network) reachable(from, to string) *Group {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut[[2]string{from, to}] {
		return nil
	}
	return n.groups[to]
}

func (n *network) setCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{from, to}] = cut
}

func (n *network) countRequest(k raftpb.Kind) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.requests != nil {
		n.requests[k]++
	}
}

func (n *network) requestCount(k raftpb.Kind) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.requests[k]
}

type endpoint struct {
	net *network
	id  string
}

func (e endpoint) Call(ctx context.Context, to string, req *raftpb.Message) (*raftpb.Message, error) {
	e.net.countRequest(req.Kind)
	g := e.net.reachable(e.id, to)
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
	if e.net.reachable(to, e.id) == nil {
		<-ctx.Done()
		return nil, errCut
	}
	return proto.CloneOf(resp), nil
}

// cluster is a group in memory, whose members have a fake disk each.
type cluster struct {
	t             *testing.T
	net           *network
	ids           []string
	snapshotBytes int
	// clock returns the clock of a member; nil means time.Now for all.
	clock          func(id string) func() time.Time
	rebalanceDelay time.Duration

	mu            sync.Mutex
	disks         map[string]*disk.Fake
	stateMachines map[string]*testStateMachine
	seed          uint64
}

func newCluster(t *testing.T, n int, seed uint64, snapshotBytes int) *cluster {
	t.Helper()
	return newClusterWith(t, n, seed, snapshotBytes, func(*cluster) {})
}

// newClusterWith starts a cluster after configure has changed it.
func newClusterWith(t *testing.T, n int, seed uint64, snapshotBytes int, configure func(*cluster)) *cluster {
	t.Helper()
	t.Logf("seed %d", seed)
	c := &cluster{
		t: t, net: &network{groups: map[string]*Group{}, cut: map[[2]string]bool{}, requests: map[raftpb.Kind]int{}}, snapshotBytes: snapshotBytes, seed: seed,
		disks: map[string]*disk.Fake{}, stateMachines: map[string]*testStateMachine{},
	}
	configure(c)
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
	m := &testStateMachine{}
	c.seed++
	now := time.Now
	if c.clock != nil {
		now = c.clock(id)
	}
	g, err := Open(Config{
		Clock: now, Spread: c.rebalanceDelay,
		Group: 1, ID: id, Members: initial, FS: c.disks[id], Dir: "raft", Machine: m, Transport: endpoint{c.net, id},
		Seed: c.seed, Heartbeat: 15 * time.Millisecond, Election: 80 * time.Millisecond,
		SnapshotBytes: c.snapshotBytes, SegmentBytes: 1000,
	})
	if err != nil {
		c.t.Fatalf("start %s: %v", id, err)
	}
	c.mu.Lock()
	c.stateMachines[id] = m
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

func (c *cluster) stateMachine(id string) *testStateMachine {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stateMachines[id]
}

// stop stops the process. Unsynced bytes on its disk stay readable.
func (c *cluster) stop(id string) {
	c.net.mu.Lock()
	g := c.net.groups[id]
	delete(c.net.groups, id)
	c.net.mu.Unlock()
	if g != nil {
		_ = g.Close()
	}
}

// crash crashes the instance, which loses unsynced bytes, and starts it again.
func (c *cluster) crash(id string) {
	c.disks[id].Crash()
	c.stop(id)
	c.disks[id].Restart()
	c.start(id, c.ids)
}

func (c *cluster) isolate(id string, cut bool) {
	for _, other := range c.ids {
		if other != id {
			c.net.setCut(id, other, cut)
			c.net.setCut(other, id, cut)
		}
	}
}

// eventually waits for a condition and fails the test after 20 s.
func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("never: %s", description)
		}
	}
}

// leader waits for a leader with a lease, other than the member exclude.
func (c *cluster) leader(exclude string) string {
	c.t.Helper()
	var found string
	eventually(c.t, "a leader", func() bool {
		for _, id := range c.ids {
			if g := c.group(id); g != nil && id != exclude {
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

// propose retries until the command is acknowledged. The command may be applied twice
// after an unknown outcome.
func (c *cluster) propose(cmd string) {
	c.t.Helper()
	eventually(c.t, "commit of "+cmd, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := c.group(c.leader("")).Propose(ctx, []byte(cmd))
		return err == nil
	})
}

func (c *cluster) waitSameState(ids ...string) {
	c.t.Helper()
	eventually(c.t, "equal state machines", func() bool {
		_, first := c.stateMachine(ids[0]).read()
		for _, id := range ids[1:] {
			if _, other := c.stateMachine(id).read(); !slices.Equal(first, other) {
				return false
			}
		}
		return true
	})
}

func (c *cluster) isVoter(queried, id string) bool {
	m, ok := members(c.group(queried).Status().Members).find(id)
	return ok && !m.Learner
}

// Guards against a partitioned leader that still answers reads or proposals, or
// causes an election when it returns.
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
	c.waitSameState(c.ids...)
	if s := c.group(next).Status(); s.Role != Leader || s.Term != term {
		t.Fatalf("term is %d (%v) after the partition healed, was %d", s.Term, s.Role, term)
	}
}

// Guards against a wiped member that votes or acknowledges entries with its old
// identity, and against counting its replacement for quorums before it has caught up.
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
	eventually(t, "the loss of state is reported", func() bool { return c.group(wiped).Status().IncarnationMismatch })
	c.start(other, c.ids)
	lead = c.leader("")
	eventually(t, "the wiped member is added again", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		return c.group(c.leader("")).Add(ctx, wiped) == nil
	})
	eventually(t, "the added member becomes a voter", func() bool { return c.isVoter(c.leader(""), wiped) })
	c.propose("after")
	c.stop(other) // the second loss, directly after the repair
	c.propose("two of three")
	c.waitSameState(lead, wiped)
	if _, all := c.stateMachine(wiped).read(); !slices.Contains(all, "before 0") || !slices.Contains(all, "after") {
		t.Fatalf("the replaced member holds %d commands", len(all))
	}
}

// Guards against a learner that counts for quorums before it has the log, and a
// replacement that keeps the vote of the lost member.
func TestLearnerDoesNotCount(t *testing.T) {
	c := newCluster(t, 3, 13, 0)
	c.propose("one")
	lead := c.leader("")
	c.ids = append(c.ids, "d")
	c.disks["d"] = disk.NewFake(1)
	c.start("d", nil)
	g := c.group(lead)
	incarnation := c.group("d").Status().Incarnation
	c.net.setCut("d", lead, true) // its responses are lost
	err := g.proposeMembershipChange(context.Background(), func(m members) (members, error) {
		return append(m, Member{ID: "d", Incarnation: incarnation, Learner: true}), nil
	})
	if err != nil {
		t.Fatal(err)
	}
	c.propose("two")
	if c.isVoter(lead, "d") {
		t.Fatal("a learner that never answered was promoted")
	}
	c.net.setCut("d", lead, false)
	eventually(t, "promotion", func() bool { return c.isVoter(c.leader(""), "d") })
	eventually(t, "removal of the leader", func() bool {
		lead = c.leader("")
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		return c.group(lead).Remove(ctx, lead) == nil
	})
	if next := c.leader(lead); next == lead {
		t.Fatal("a removed leader still leads")
	}
	c.propose("three")
}

// Guards against a member that keeps running after a disk error.
func TestDiskErrorStopsTheMember(t *testing.T) {
	for _, full := range []bool{false, true} {
		c := newCluster(t, 3, 14, 0)
		c.propose("one")
		lead := c.leader("")
		failed := make(chan error, 1)
		c.group(lead).cfg.Failed = func(err error) { failed <- err }
		if full {
			c.disks[lead].SetFreeBytes(0)
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
			t.Fatal("the status lacks the error")
		}
		c.propose("three")
	}
}

// Guards against taking partly lost state for the state of a new member.
func TestPartlyLostStateIsRefused(t *testing.T) {
	for _, lost := range []string{"state/00000000000000000001.wal", "00000000000000000001.wal"} {
		c := newCluster(t, 1, 15, 0)
		c.propose("one")
		c.stop("a")
		if err := c.disks["a"].Remove("raft/" + lost); err != nil {
			t.Fatal(err)
		}
		_, err := Open(Config{ID: "a", Members: c.ids, FS: c.disks["a"], Dir: "raft", Machine: &testStateMachine{}})
		if err == nil {
			t.Fatalf("opened without %s", lost)
		}
	}
}

// Guards against recovery that loses, reorders or adds commands when a member crashes
// at any write or sync, also while it writes a snapshot.
func TestCrashOfAMemberAtEveryOperation(t *testing.T) {
	for part := range uint64(8) {
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			t.Parallel()
			for seed := part; seed < 480; seed += 8 {
				testMemberCrashes(t, seed)
			}
		})
	}
}

// Guards against Open reading state without the lock while the member is already
// elected; the race detector reports it.
func TestElectedWhileOpening(t *testing.T) {
	g, err := Open(Config{
		ID: "a", Members: []string{"a"}, FS: disk.NewFake(1), Dir: "raft", Machine: &testStateMachine{}, Seed: 1,
		Heartbeat: time.Millisecond, Election: 2 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond) // makes no call that takes the lock before the election
	if err := g.Close(); err != nil {
		t.Fatal(err)
	}
}

func testMemberCrashes(t *testing.T, seed uint64) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 3))
	d := disk.NewFake(seed)
	var acked, unknown []string
	for run := range 4 {
		d.CrashAt(1 + rng.IntN(70))
		if run == 3 {
			d.CrashAt(0)
		}
		m := &testStateMachine{}
		g, err := Open(Config{
			ID: "a", Members: []string{"a"}, FS: d, Dir: "raft", Machine: m, Seed: seed,
			Heartbeat: 2 * time.Millisecond, Election: 4 * time.Millisecond, SnapshotBytes: 40, SegmentBytes: 200,
		})
		if err != nil && !d.Crashed() {
			t.Fatalf("seed %d run %d: %v", seed, run, err)
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
			if !slices.Equal(got, acked) && !slices.Equal(got, slices.Concat(acked, unknown)) {
				t.Fatalf("seed %d run %d: got %q, want %q and perhaps %q", seed, run, got, acked, unknown)
			}
			acked = got
			unknown = []string{fmt.Sprint(run, "/", n)}
			if _, err = g.Propose(context.Background(), []byte(unknown[0])); err == nil {
				acked, unknown = append(acked, unknown...), nil
			}
			if run == 3 {
				break
			}
		}
		if g != nil {
			_ = g.Close()
		}
		d.Restart()
	}
}
