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

// setWallClock moves the wall clock of t by whole seconds and keeps its monotonic
// reading, as when the system clock is set. Package time has no function for this;
// checkSetWallClock checks that the layout of time.Time still allows it.
func setWallClock(t time.Time, seconds int64) time.Time {
	*(*uint64)(unsafe.Pointer(&t)) += uint64(seconds) << 30
	return t
}

func checkSetWallClock(t *testing.T) {
	t.Helper()
	now := time.Now()
	adjusted := setWallClock(now, -3600)
	if adjusted.Sub(now) != 0 || adjusted.Round(0).Sub(now.Round(0)) != -time.Hour {
		t.Fatal("the layout of time.Time has changed")
	}
}

// Guards against two members that may act as leaders at the same time when their
// clocks run up to 1% too fast or slow and are set meanwhile. With rates more than 1%
// off the leases must overlap, which shows that the test can detect it.
func TestLeaseIsExclusiveWithDrift(t *testing.T) {
	checkSetWallClock(t)
	t.Log("seed 71")
	rng := rand.New(rand.NewPCG(71, 1))
	for _, rates := range [][2]float64{{0.99, 1.01}, {0.99, 0.99}, {1.01, 1.01}, {1.01, 0.99}, {1, 1}, {0.97, 1.03}} {
		overlaps := 0
		for range 20 {
			overlaps += countOverlaps(t, rng, rates[0], rates[1])
		}
		if allowed := rates[0] >= 0.99 && rates[1] <= 1.01; allowed != (overlaps == 0) {
			t.Errorf("leader at rate %v, voter at %v: lease and granted vote at %d times", rates[0], rates[1], overlaps)
		}
	}
}

// countOverlaps confirms a leader once, and counts the sampled times at which it
// holds the lease while the voter that confirmed it would vote for another candidate.
func countOverlaps(t *testing.T, rng *rand.Rand, leaderRate, voterRate float64) int {
	t.Helper()
	base, elapsed := time.Now(), time.Duration(0)
	clock := func(rate float64) func() time.Time {
		return func() time.Time {
			return setWallClock(base.Add(time.Duration(float64(elapsed)*rate)), rng.Int64N(7200)-3600)
		}
	}
	leaderClock := clock(leaderRate)
	voter, err := Open(Config{
		ID: "f", FS: disk.NewFake(1), Dir: "raft", StateMachine: &testStateMachine{}, Transport: endpoint{&network{}, "f"},
		ElectionTimeout: time.Second, HeartbeatInterval: time.Hour, Clock: clock(voterRate),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer voter.Close()
	all := members{{ID: "l", Incarnation: 1}, {ID: "f", Incarnation: voter.state.Incarnation}, {ID: "c", Incarnation: 1}}
	p := &peer{id: "f", incarnation: voter.state.Incarnation}
	leader := &Group{
		cfg: Config{ID: "l", ElectionTimeout: time.Second, Clock: leaderClock}, role: Leader,
		state: &raftpb.State{Term: 1, Incarnation: 1}, peers: map[string]*peer{"f": p}, memberships: []membership{{1, all}},
	}
	data, _ := proto.Marshal(all.proto())
	req := leader.newMessageLocked(raftpb.Kind_KIND_APPEND)
	req.ToIncarnation = voter.state.Incarnation
	req.Entries = []*raftpb.Entry{{Index: 1, Term: 1, Kind: raftpb.EntryKind_ENTRY_KIND_MEMBERS, Data: data}}
	sent := leaderClock()
	elapsed += time.Duration(rng.IntN(2000)) * time.Nanosecond // network latency
	if resp := voter.Handle(context.Background(), req); !resp.Ok {
		t.Fatal("the append was not confirmed")
	}
	p.lastContact = sent
	preVote := &raftpb.Message{
		Kind: raftpb.Kind_KIND_PRE_VOTE, From: "c", FromIncarnation: 1, ToIncarnation: req.ToIncarnation, Term: 2, Index: 1, LogTerm: 1,
	}
	overlaps, expired, granted := 0, false, false
	for elapsed = 900 * time.Millisecond; elapsed < 1100*time.Millisecond; elapsed += 50 * time.Microsecond {
		_, holds := leader.Lease(leaderClock())
		grants := voter.Handle(context.Background(), preVote).Ok
		expired, granted = expired || !holds, granted || grants
		if holds && grants {
			overlaps++
		}
	}
	if !expired || !granted {
		t.Fatalf("lease expired %v, vote granted %v", expired, granted)
	}
	return overlaps
}

// Guards against stale reads and lost writes when the members' clocks run at
// different rates and are set by up to an hour.
func TestLinearizableWithDriftAndSteps(t *testing.T) {
	checkSetWallClock(t)
	for seed := uint64(73); seed <= 75; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			var clockOffsets [3]atomic.Int64
			c := newClusterWith(t, 3, seed, 300, func(c *cluster) {
				base := time.Now()
				c.clock = func(id string) func() time.Time {
					n := int(id[0] - 'a')
					rate := []float64{0.99, 1, 1.01}[n]
					return func() time.Time {
						return setWallClock(base.Add(time.Duration(float64(time.Since(base))*rate)), clockOffsets[n].Load())
					}
				}
			})
			c.leader("")
			h := &opHistory{start: time.Now()}
			done := make(chan struct{})
			var wg sync.WaitGroup
			for n := range 4 {
				wg.Go(func() {
					h.runClient(done, n, seed, c.ids, c.group, func(id string) string { last, _ := c.stateMachine(id).read(); return last })
				})
			}
			wg.Go(func() {
				rng := rand.New(rand.NewPCG(seed, 5))
				for {
					select {
					case <-done:
						return
					case <-time.After(5 * time.Millisecond):
						clockOffsets[rng.IntN(3)].Store(rng.Int64N(7200) - 3600)
					}
				}
			})
			injectFaults(c, rand.New(rand.NewPCG(seed, 9)), 10)
			close(done)
			wg.Wait()
			h.check(t, 100)
			c.propose("end")
			c.waitSameState(c.ids...)
		})
	}
}

// Guards against a leader that keeps its lease by heartbeats while its own disk is
// stalled, and against its starting an election before the disk works again.
func TestStalledLeaderStepsDown(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 76, 0)
	c.propose("one")
	old := c.leader("")
	// The others may have committed the entry before the leader's own disk has it. If that
	// write stalled, the next proposal would wait behind it and be rejected as not run.
	eventually(t, "the leader has written its log", func() bool {
		g := c.group(old)
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.role != Leader || g.stable == g.lastIndex()
	})
	c.disks[old].BlockSyncs()
	defer c.disks[old].UnblockSyncs()
	proposeErr := make(chan error, 1)
	go func() {
		_, err := c.group(old).Propose(context.Background(), []byte("two"))
		proposeErr <- err
	}()
	next := c.leader(old)
	if err := <-proposeErr; err != nil && !errors.Is(err, ErrUnknown) {
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
	c.disks[old].UnblockSyncs()
	c.waitSameState(c.ids...)
}

// Guards against a member that acknowledges entries that are not on its slow or full
// disk, and against a full disk that is not reported.
func TestSlowOrFullDiskDoesNotCount(t *testing.T) {
	t.Parallel()
	for _, full := range []bool{false, true} {
		c := newCluster(t, 3, 77, 0)
		c.propose("one")
		lead := c.leader("")
		bad := members{{ID: "a"}, {ID: "b"}, {ID: "c"}}.without(lead)[0].ID
		failed := make(chan error, 1)
		c.group(bad).cfg.OnFailure = func(err error) { failed <- err }
		if full {
			c.disks[bad].SetFreeBytes(0)
		} else {
			c.disks[bad].BlockSyncs()
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
			t.Fatalf("full %v: leadership was transferred to the member", full)
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
		c.disks[bad].SetFreeBytes(-1)
		c.disks[bad].UnblockSyncs()
		if full {
			c.stop(bad)
			c.start(bad, c.ids)
		}
		c.propose("four")
		c.waitSameState(c.ids...)
	}
}

// stalledVoters is a transport to members that answer pre-votes and whose disks stall
// before they can record a vote, until it is closed.
type stalledVoters chan struct{}

func (v stalledVoters) Call(_ context.Context, to string, req *raftpb.Message) (*raftpb.Message, error) {
	if req.Kind == raftpb.Kind_KIND_PRE_VOTE {
		return &raftpb.Message{From: to, FromIncarnation: 1, Ok: true}, nil
	}
	<-v
	return nil, errCut
}

// Guards against a group without a leader although two of its three members work: both
// candidates wait equally long for the vote of the third one and then try again at the
// same time, over and over.
func TestFailedElectionIsRepeatedAtARandomTime(t *testing.T) {
	t.Parallel()
	var delays []time.Duration
	for seed := range uint64(2) {
		voters := make(stalledVoters)
		g, err := Open(Config{
			ID: "a", Members: []string{"a", "b", "c"}, FS: disk.NewFake(seed), Dir: "raft", StateMachine: &testStateMachine{}, Transport: voters,
			Seed: seed, HeartbeatInterval: time.Hour, ElectionTimeout: 200 * time.Millisecond,
		})
		if err != nil {
			t.Fatal(err)
		}
		giveUp := time.AfterFunc(10*time.Second, func() { close(voters) })
		g.campaign(g.cfg.Clock())
		if !giveUp.Stop() {
			t.Fatal("the election waits for a stalled member beyond its timeout")
		}
		close(voters)
		g.mu.Lock()
		delays = append(delays, g.electionDeadline.Sub(g.cfg.Clock()))
		g.mu.Unlock()
		g.Close()
	}
	if min(delays[0], delays[1]) <= 0 || (delays[0]-delays[1]).Abs() < 10*time.Millisecond {
		t.Errorf("the next elections are due after %v", delays)
	}
}

// recorder is a transport that records the requests and fails each call.
type recorder struct{ requests []*raftpb.Message }

func (r *recorder) Call(_ context.Context, _ string, req *raftpb.Message) (*raftpb.Message, error) {
	r.requests = append(r.requests, req)
	return nil, errCut
}

// Guards against a former leader that sends a snapshot, entries or a heartbeat with
// the term of its successor, which would make the receiver follow the wrong leader.
func TestReplacedLeaderSendsNothing(t *testing.T) {
	for _, isLeader := range []bool{true, false} {
		r := &recorder{}
		ctx, cancelLeader := context.WithCancel(context.Background())
		g := &Group{
			cfg: Config{ID: "a", FS: disk.NewFake(1), Dir: "raft", Transport: r, Clock: time.Now, ElectionTimeout: time.Second, HeartbeatInterval: time.Millisecond},
			ctx: ctx, state: &raftpb.State{Term: 4, Incarnation: 1}, role: Leader, base: 5, baseTerm: 3, snapshotIndex: 5, changed: make(chan struct{}),
		}
		sealedFile(g.cfg.FS.(*disk.Fake), nil)
		if err := g.cfg.FS.Rename("x", g.snapshotPath(5)); err != nil {
			t.Fatal(err)
		}
		p := &peer{id: "b", incarnation: 1, nextIndex: 5, needsProbe: true}
		if !isLeader {
			cancelLeader()
			g.becomeFollower("")
			g.state.Term = 5
		}
		_, _ = g.sendSnapshot(ctx, p)
		_, _ = g.replicateOnce(ctx, p)
		cancelLeader()
		g.sendHeartbeats(ctx, p)
		if len(r.requests) != map[bool]int{true: 2}[isLeader] {
			t.Fatalf("leads %v: sent %v", isLeader, r.requests)
		}
	}
}

// Guards against a snapshot assembled from the chunks of two leaders: a leader loses
// leadership while it sends a snapshot, and continues sending.
func TestSnapshotOfAReplacedLeader(t *testing.T) {
	m := &testStateMachine{}
	g, err := Open(Config{
		ID: "f", FS: disk.NewFake(1), Dir: "raft", StateMachine: m, Transport: endpoint{&network{}, "f"}, HeartbeatInterval: time.Hour,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer g.Close()
	snapshotFile := func(text string) []byte {
		snap := &raftpb.Snapshot{Index: 9, Term: 1, Members: members{{ID: "l", Incarnation: 1}}.proto(), Data: append([]byte{1}, text...)}
		content, _ := proto.Marshal(snap)
		return sealedFile(disk.NewFake(1), content)
	}
	files := map[string][]byte{"old": snapshotFile("old"), "new": snapshotFile("new")}
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
		t.Fatalf("a chunk of the new leader was added to those of the old leader: %v", resp)
	}
	send("new", 2, 0, 20)
	if resp := send("old", 1, 20, 30); resp.Ok || resp.Term != 2 || resp.Match != 0 {
		t.Fatalf("the old leader got %v, want the later term", resp)
	}
	if resp := send("new", 2, 20, len(files["new"])); !resp.Ok {
		t.Fatalf("last chunk: %v", resp)
	}
	eventually(t, "the new leader's snapshot is applied", func() bool {
		_, all := m.read()
		return slices.Equal(all, []string{"new"})
	})
}
