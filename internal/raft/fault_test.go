package raft

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"
	"unsafe"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/disk"
	"cranberrypath.example/cranberrypath/internal/raft/raftpb"
)

// stepWall sets the wall clock of t ahead by whole seconds and leaves its monotonic
// reading, as the operating system does when the clock is set. The reading of a
// time.Time can't be changed otherwise; expectStep checks that this still works.
func stepWall(t time.Time, seconds int64) time.Time {
	*(*uint64)(unsafe.Pointer(&t)) += uint64(seconds) << 30
	return t
}

func expectStep(t *testing.T) {
	t.Helper()
	now := time.Now()
	set := stepWall(now, -3600)
	if set.Sub(now) != 0 || set.Round(0).Sub(now.Round(0)) != -time.Hour {
		t.Fatal("the layout of time.Time has changed")
	}
}

// Guards against two members that may act as leaders at once although their
// clocks run at rates up to 1% off and are set meanwhile. With rates that are more
// than 1% off the check must fail, or it would prove nothing.
func TestLeaseIsExclusiveWithDrift(t *testing.T) {
	expectStep(t)
	t.Log("seed 71")
	rng := rand.New(rand.NewPCG(71, 1))
	for _, rates := range [][2]float64{{0.99, 1.01}, {0.99, 0.99}, {1.01, 1.01}, {1.01, 0.99}, {1, 1}, {0.97, 1.03}} {
		overlaps := 0
		for range 20 {
			overlaps += overlap(t, rng, rates[0], rates[1])
		}
		if allowed := rates[0] >= 0.99 && rates[1] <= 1.01; allowed != (overlaps == 0) {
			t.Errorf("leader at rate %v, voter at %v: %d moments with a lease and a vote", rates[0], rates[1], overlaps)
		}
	}
}

// overlap confirms a leader once, and counts the moments at which it holds the
// lease while the voter that confirmed it would vote for another.
func overlap(t *testing.T, rng *rand.Rand, leaderRate, voterRate float64) int {
	t.Helper()
	base, real := time.Now(), time.Duration(0)
	clock := func(rate float64) func() time.Time {
		return func() time.Time {
			return stepWall(base.Add(time.Duration(float64(real)*rate)), rng.Int64N(7200)-3600)
		}
	}
	leaderClock := clock(leaderRate)
	voter, err := Open(Config{
		ID: "f", FS: disk.NewFake(1), Dir: "raft", Machine: &machine{}, Transport: endpoint{&network{}, "f"},
		Election: time.Second, Heartbeat: time.Hour, Clock: clock(voterRate),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer voter.Close()
	all := members{{ID: "l", Incarnation: 1}, {ID: "f", Incarnation: voter.state.Incarnation}, {ID: "c", Incarnation: 1}}
	p := &peer{id: "f", incarnation: voter.state.Incarnation}
	leader := &Group{
		cfg: Config{ID: "l", Election: time.Second, Clock: leaderClock}, role: Leader,
		state: &raftpb.State{Term: 1, Incarnation: 1}, peers: map[string]*peer{"f": p}, history: []membersAt{{1, all}},
	}
	data, _ := proto.Marshal(all.proto())
	req := leader.newMessage(raftpb.Kind_KIND_APPEND)
	req.ToIncarnation = voter.state.Incarnation
	req.Entries = []*raftpb.Entry{{Index: 1, Term: 1, Kind: raftpb.EntryKind_ENTRY_KIND_MEMBERS, Data: data}}
	sent := leaderClock()
	real += time.Duration(rng.IntN(2000)) * time.Nanosecond // on the way
	if resp := voter.Handle(context.Background(), req); !resp.Ok {
		t.Fatal("the append was not confirmed")
	}
	p.contact = sent
	ask := &raftpb.Message{
		Kind: raftpb.Kind_KIND_PRE_VOTE, From: "c", FromIncarnation: 1, ToIncarnation: req.ToIncarnation, Term: 2, Index: 1, LogTerm: 1,
	}
	both, ended, granted := 0, false, false
	for real = 900 * time.Millisecond; real < 1100*time.Millisecond; real += 50 * time.Microsecond {
		_, holds := leader.Lease(leaderClock())
		grants := voter.Handle(context.Background(), ask).Ok
		ended, granted = ended || !holds, granted || grants
		if holds && grants {
			both++
		}
	}
	if !ended || !granted {
		t.Fatalf("lease ended %v, vote granted %v", ended, granted)
	}
	return both
}

// Guards against stale reads and lost writes while the members' clocks run at
// different rates and are set by up to an hour.
func TestLinearizableWithDriftAndSteps(t *testing.T) {
	expectStep(t)
	for seed := uint64(73); seed <= 75; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			var steps [3]atomic.Int64
			c := newClusterWith(t, 3, seed, 300, func(c *cluster) {
				base := time.Now()
				c.clock = func(id string) func() time.Time {
					n := int(id[0] - 'a')
					rate := []float64{0.99, 1, 1.01}[n]
					return func() time.Time {
						return stepWall(base.Add(time.Duration(float64(time.Since(base))*rate)), steps[n].Load())
					}
				}
			})
			c.leader("")
			h := &history{start: time.Now()}
			done := make(chan struct{})
			var wg sync.WaitGroup
			for n := range 4 {
				wg.Go(func() {
					h.client(done, n, seed, c.ids, c.group, func(id string) string { last, _ := c.machine(id).read(); return last })
				})
			}
			wg.Go(func() {
				rng := rand.New(rand.NewPCG(seed, 5))
				for {
					select {
					case <-done:
						return
					case <-time.After(5 * time.Millisecond):
						steps[rng.IntN(3)].Store(rng.Int64N(7200) - 3600)
					}
				}
			})
			disturb(c, rand.New(rand.NewPCG(seed, 9)), 10)
			close(done)
			wg.Wait()
			h.check(t, 100)
			c.propose("end")
			c.expectSame(c.ids...)
		})
	}
}

// Guards against a leader that keeps its lease by heartbeats while its own disk
// does not answer, and against one that stands again before the disk does.
func TestStalledLeaderStepsDown(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 76, 0)
	c.propose("one")
	old := c.leader("")
	c.disks[old].Hold()
	defer c.disks[old].Release()
	answer := make(chan error, 1)
	go func() {
		_, err := c.group(old).Propose(context.Background(), []byte("two"))
		answer <- err
	}()
	next := c.leader(old)
	if err := <-answer; err != nil && !errors.Is(err, ErrUnknown) {
		t.Fatalf("got %v, want success or an unknown outcome", err)
	}
	if s := c.group(old).Status(); s.Role != Follower || s.Err != nil {
		t.Fatalf("the stalled member is %v with error %v, want a follower", s.Role, s.Err)
	}
	c.propose("three")
	term := c.group(next).Status().Term
	time.Sleep(300 * time.Millisecond) // several election timeouts
	if s := c.group(c.leader(old)).Status(); s.Term != term {
		t.Fatalf("the stalled member led the group from term %d to %d", term, s.Term)
	}
	c.disks[old].Release()
	c.expectSame(c.ids...)
}

// Guards against a member that acknowledges entries which its slow or full disk
// does not hold, and against a full disk that goes unreported.
func TestSlowOrFullDiskDoesNotCount(t *testing.T) {
	t.Parallel()
	for _, full := range []bool{false, true} {
		c := newCluster(t, 3, 77, 0)
		c.propose("one")
		lead := c.leader("")
		bad := members{{ID: "a"}, {ID: "b"}, {ID: "c"}}.without(lead)[0].ID
		failed := make(chan error, 1)
		c.group(bad).cfg.Failed = func(err error) { failed <- err }
		if full {
			c.disks[bad].SetFree(0)
		} else {
			c.disks[bad].Hold()
		}
		c.propose("two") // by the other two
		if full {
			if err := <-failed; !errors.Is(err, disk.ErrFull) {
				t.Fatalf("the member stopped with %v, want a full disk", err)
			}
			if _, err := c.group(bad).Propose(context.Background(), nil); !errors.Is(err, ErrStopped) {
				t.Fatalf("got %v, want stopped", err)
			}
		}
		if err := c.group(c.leader("")).Transfer(context.Background(), bad); err == nil {
			t.Fatalf("full %v: the leadership went to the member", full)
		}
		lead = c.leader("")
		good := members{{ID: "a"}, {ID: "b"}, {ID: "c"}}.without(lead).without(bad)[0].ID
		c.isolate(good, true)
		ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
		if _, err := c.group(lead).Propose(ctx, []byte("three")); err == nil {
			t.Fatalf("full %v: the member counted for the quorum", full)
		}
		cancel()
		c.isolate(good, false)
		c.disks[bad].SetFree(-1)
		c.disks[bad].Release()
		if full {
			c.stop(bad)
			c.start(bad, c.ids)
		}
		c.propose("four")
		c.expectSame(c.ids...)
	}
}

// recorder is a transport that keeps the requests and answers none.
type recorder struct{ got []*raftpb.Message }

func (r *recorder) Call(_ context.Context, _ string, req *raftpb.Message) (*raftpb.Message, error) {
	r.got = append(r.got, req)
	return nil, errCut
}

// Guards against a replaced leader that sends a snapshot, entries or a heartbeat
// under the term of its successor, which would make the receiver follow it.
func TestReplacedLeaderSendsNothing(t *testing.T) {
	for _, leads := range []bool{true, false} {
		r := &recorder{}
		ctx, resign := context.WithCancel(context.Background())
		g := &Group{
			cfg: Config{ID: "a", FS: disk.NewFake(1), Dir: "raft", Transport: r, Clock: time.Now, Election: time.Second, Heartbeat: time.Millisecond},
			ctx: ctx, state: &raftpb.State{Term: 4, Incarnation: 1}, role: Leader, base: 5, baseTerm: 3, snapIndex: 5, changed: make(chan struct{}),
		}
		seal(g.cfg.FS.(*disk.Fake), nil)
		if err := g.cfg.FS.Rename("x", g.snapPath(5)); err != nil {
			t.Fatal(err)
		}
		p := &peer{id: "b", incarnation: 1, next: 5, unsure: true}
		if !leads {
			resign()
			g.follow("")
			g.state.Term = 5
		}
		_, _ = g.sendSnapshot(ctx, p)
		_, _ = g.replicateOnce(ctx, p)
		resign()
		g.beat(ctx, p)
		if len(r.got) != map[bool]int{true: 2}[leads] {
			t.Fatalf("leads %v: sent %v", leads, r.got)
		}
	}
}

// Guards against a snapshot made of the chunks of two leaders, when the one that
// sends it is replaced meanwhile and goes on.
func TestSnapshotOfAReplacedLeader(t *testing.T) {
	m := &machine{}
	g, err := Open(Config{
		ID: "f", FS: disk.NewFake(1), Dir: "raft", Machine: m, Transport: endpoint{&network{}, "f"}, Heartbeat: time.Hour,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer g.Close()
	file := func(text string) []byte {
		snap := &raftpb.Snapshot{Index: 9, Term: 1, Members: members{{ID: "l", Incarnation: 1}}.proto(), Data: append([]byte{1}, text...)}
		content, _ := proto.Marshal(snap)
		return seal(disk.NewFake(1), content)
	}
	files := map[string][]byte{"old": file("old"), "new": file("new")}
	send := func(from string, term uint64, offset, end int) *raftpb.Message {
		b := files[from]
		return g.Handle(context.Background(), &raftpb.Message{
			Kind: raftpb.Kind_KIND_SNAPSHOT, From: from, FromIncarnation: 1, ToIncarnation: g.state.Incarnation, Term: term,
			Index: 9, Total: uint64(len(b)), Offset: uint64(offset), Chunk: b[offset:end],
		})
	}
	if resp := send("old", 1, 0, 20); resp.Match != 20 || resp.Ok {
		t.Fatalf("first chunk: %v", resp)
	}
	if resp := send("new", 2, 20, 30); resp.Ok || resp.Match != 0 {
		t.Fatalf("a chunk of the next leader was added to those of the former: %v", resp)
	}
	send("new", 2, 0, 20)
	if resp := send("old", 1, 20, 30); resp.Ok || resp.Term != 2 || resp.Match != 0 {
		t.Fatalf("the replaced leader got %v, want the later term", resp)
	}
	if resp := send("new", 2, 20, len(files["new"])); !resp.Ok {
		t.Fatalf("last chunk: %v", resp)
	}
	eventually(t, "the new leader's snapshot is in force", func() bool {
		_, all := m.read()
		return slices.Equal(all, []string{"new"})
	})
}
