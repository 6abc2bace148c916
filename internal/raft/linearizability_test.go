package raft

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/disk"
	"cranberrypath.example/cranberrypath/internal/faults"
	"cranberrypath.example/cranberrypath/internal/link"
	"cranberrypath.example/cranberrypath/internal/raft/raftpb"
	"cranberrypath.example/cranberrypath/internal/walog"
)

// registerOp is a write, which returns the previous value, or a read of the register.
type registerOp struct {
	write string // value to write; empty for a read
}

var registerModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, in, out any) (bool, any) {
		op, previous := in.(registerOp), out.(string)
		ok := previous == "?" || previous == state.(string)
		if op.write == "" {
			return ok, state
		}
		return ok, op.write
	},
}

// opHistory records the operations of concurrent clients.
type opHistory struct {
	mu    sync.Mutex
	ops   []porcupine.Operation
	start time.Time
}

func (h *opHistory) record(client int, op registerOp, call func() (string, error)) {
	invokedAt := time.Since(h.start)
	out, err := call()
	returnedAt := time.Since(h.start)
	switch {
	case err == nil:
	case op.write == "" || !errors.Is(err, ErrUnknown):
		return // a read, or a write that was not applied
	default:
		out, returnedAt = "?", time.Hour // may be applied at any time
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: op, Output: out, Call: int64(invokedAt), Return: int64(returnedAt)})
}

// knownOutcomes returns the number of operations with a known outcome.
func (h *opHistory) knownOutcomes() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, op := range h.ops {
		if op.Output != "?" {
			n++
		}
	}
	return n
}

func (h *opHistory) check(t *testing.T, atLeast int) {
	t.Helper()
	known := h.knownOutcomes()
	t.Logf("%d operations, %d with a known outcome", len(h.ops), known)
	if known < atLeast {
		t.Fatalf("only %d operations succeeded, too few for a meaningful check", known)
	}
	h.pruneUnknownOutcomes()
	if res := porcupine.CheckOperationsTimeout(registerModel, h.ops, 20*time.Second); res != porcupine.Ok {
		t.Fatalf("the history is %v", res)
	}
}

// pruneUnknownOutcomes reduces the search space of the checker. A write with an
// unknown outcome was applied before the first operation that returned its value. If
// no operation returned its value, it can be left out: it was applied last, directly
// before another such write, or never.
func (h *opHistory) pruneUnknownOutcomes() {
	firstSeen := map[string]int64{}
	for _, op := range h.ops {
		v := op.Output.(string)
		if at, ok := firstSeen[v]; !ok || op.Return < at {
			firstSeen[v] = op.Return
		}
	}
	kept := h.ops[:0]
	for _, op := range h.ops {
		if op.Output == "?" {
			at, ok := firstSeen[op.Input.(registerOp).write]
			if !ok {
				continue
			}
			op.Return = max(at, op.Call)
		}
		kept = append(kept, op)
	}
	h.ops = kept
}

// runClient reads and writes through random members until done is closed.
func (h *opHistory) runClient(done <-chan struct{}, n int, seed uint64, ids []string, group func(string) *Group, value func(string) string) {
	rng := rand.New(rand.NewPCG(seed, uint64(n)))
	member := ids[rng.IntN(len(ids))]
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(rng.IntN(4)) * time.Millisecond):
		}
		g := group(member)
		if g == nil {
			member = ids[rng.IntN(len(ids))]
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), 120*time.Millisecond)
		var err error
		if rng.IntN(2) == 0 {
			h.record(n, registerOp{}, func() (string, error) {
				var out string
				if _, err = g.Barrier(ctx); err == nil {
					out = value(member)
				}
				return out, err
			})
		} else {
			op := registerOp{write: fmt.Sprint(n, "/", i)}
			h.record(n, op, func() (string, error) {
				var out []byte
				out, err = g.Propose(ctx, []byte(op.write))
				return string(out), err
			})
		}
		cancel()
		var nl *NotLeader
		if err != nil && errors.As(err, &nl) && nl.Leader != "" && rng.IntN(3) > 0 {
			member = nl.Leader
		} else if err != nil {
			member = ids[rng.IntN(len(ids))]
		}
	}
}

// Guards against lost, reordered or stale operations of concurrent clients while
// members crash, restart, are partitioned in one or both directions and catch up by
// snapshot.
func TestLinearizable(t *testing.T) {
	for _, size := range []int{3, 5} {
		for seed := uint64(21); seed <= 23; seed++ {
			t.Run(fmt.Sprint(size, "/", seed), func(t *testing.T) {
				t.Parallel()
				c := newCluster(t, size, seed, 300)
				c.leader("")
				h := &opHistory{start: time.Now()}
				done := make(chan struct{})
				var wg sync.WaitGroup
				for n := range 4 {
					wg.Go(func() {
						h.runClient(done, n, seed, c.ids, c.group, func(id string) string { last, _ := c.stateMachine(id).read(); return last })
					})
				}
				injectFaults(c, rand.New(rand.NewPCG(seed, 9)), 14)
				close(done)
				wg.Wait()
				h.check(t, 100)
				c.propose("end")
				c.waitSameState(c.ids...)
				snapshots := 0
				for _, id := range c.ids {
					snapshots += int(min(c.group(id).Status().Snapshot, 1))
				}
				if snapshots == 0 {
					t.Fatal("no snapshot was taken")
				}
			})
		}
	}
}

func injectFaults(c *cluster, rng *rand.Rand, rounds int) {
	for range rounds {
		a, b := c.ids[rng.IntN(len(c.ids))], c.ids[rng.IntN(len(c.ids))]
		if rng.IntN(2) == 0 {
			for _, id := range c.ids {
				if g := c.group(id); g != nil && g.Status().Role == Leader {
					a = id
				}
			}
		}
		pause := time.Duration(100+rng.IntN(200)) * time.Millisecond
		switch rng.IntN(5) {
		case 0:
			c.crash(a)
		case 1:
			c.isolate(a, true)
			time.Sleep(pause)
			c.isolate(a, false)
		case 2: // messages from a are lost; it still receives messages
			for _, id := range c.ids {
				c.net.setCut(a, id, id != a)
			}
			time.Sleep(pause)
			for _, id := range c.ids {
				c.net.setCut(a, id, false)
			}
		case 3:
			c.net.setCut(a, b, a != b)
			time.Sleep(pause)
			c.net.setCut(a, b, false)
		case 4:
			c.stop(a)
			time.Sleep(pause)
			c.start(a, c.ids)
		}
		time.Sleep(pause / 2)
	}
}

// Guards against a loss of linearizability over real sockets, with a partitioned
// leader and reset connections.
func TestLinearizableOverLinks(t *testing.T) {
	t.Log("seed 31")
	faulty := faults.New()
	ids := []string{"a", "b", "c"}
	addr, groups, stateMachines := map[string]string{}, map[string]*Group{}, map[string]*testStateMachine{}
	var links []*Links
	for _, id := range ids {
		n, err := link.Listen(link.Config{Node: id, Listen: "127.0.0.1:0", Key: []byte("k"), Dial: faulty.Dialer(id)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = n.Close() })
		addr[id] = n.Addr()
		links = append(links, NewLinks(n, func(id string) string { return addr[id] }))
	}
	for i, id := range ids {
		stateMachines[id] = &testStateMachine{keepLastOnly: true}
		g, err := Open(Config{
			Group: 7, ID: id, Members: ids, FS: disk.NewFake(uint64(i)), Dir: "raft", Machine: stateMachines[id],
			Transport: links[i], Seed: uint64(i), Heartbeat: 20 * time.Millisecond, Election: 150 * time.Millisecond,
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = g.Close() })
		groups[id] = g
		links[i].Serve(g)
	}
	lead := func(exclude string) (out string) {
		eventually(t, "a leader", func() bool {
			for _, id := range ids {
				if _, ok := groups[id].Lease(time.Now()); ok && id != exclude {
					out = id
					return true
				}
			}
			return false
		})
		return out
	}
	lead("")
	h := &opHistory{start: time.Now()}
	done := make(chan struct{})
	var wg sync.WaitGroup
	for n := range 4 {
		wg.Go(func() {
			h.runClient(done, n, 31, ids, func(id string) *Group { return groups[id] },
				func(id string) string { last, _ := stateMachines[id].read(); return last })
		})
	}
	old := lead("")
	for _, id := range ids { // all connections of the leader, in both directions
		faulty.Set(old, addr[id], faults.Rule{Cut: true})
		faulty.Set(addr[old], id, faults.Rule{Cut: true})
	}
	next := lead(old)
	for _, id := range ids {
		faulty.Set(old, addr[id], faults.Rule{})
		faulty.Set(addr[old], id, faults.Rule{})
	}
	for _, id := range ids {
		faulty.Reset(next, addr[id])
	}
	before := h.knownOutcomes()
	eventually(t, "200 operations after the faults", func() bool { return h.knownOutcomes() >= before+200 })
	close(done)
	wg.Wait()
	h.check(t, 200)
}

// memberModel is the expected state of a member: its log, which for the follower under
// test has the acknowledged entries, and its vote in the newest term.
type memberModel struct {
	entries  []*raftpb.Entry // the first has index 1
	term     uint64
	vote     string
	voteTerm uint64
}

// Guards against a follower that loses an acknowledged entry, vote or term in a crash
// at any write or sync. The leaders replace the uncommitted end of its log and send
// snapshots.
func TestCrashOfAFollowerAtEveryOperation(t *testing.T) {
	for seed := uint64(1); seed <= 2000; seed++ {
		rng := rand.New(rand.NewPCG(seed, 4))
		d := disk.NewFake(seed)
		var follower memberModel
		lead := memberModel{term: 1}
		commit := uint64(0)
		for range 3 {
			g, err := Open(Config{
				ID: "f", FS: d, Dir: "raft", Machine: &testStateMachine{}, Transport: endpoint{&network{}, "f"}, SegmentBytes: 300,
				Election: time.Microsecond, Heartbeat: time.Hour, SnapshotBytes: 60, Clock: time.Now,
			})
			if err != nil {
				t.Fatalf("seed %d: open: %v", seed, err)
			}
			follower.check(t, seed, g)
			d.CrashAt(1 + rng.IntN(60))
			for !d.Crashed() {
				commit = follower.sendRandomRequest(rng, g, &lead, commit)
			}
			_ = g.Close()
			d.Restart()
		}
	}
}

// check compares the state on disk with the acknowledged state.
func (m *memberModel) check(t *testing.T, seed uint64, g *Group) {
	t.Helper()
	if g.state.Term < m.term {
		t.Fatalf("seed %d: term %d, acknowledged %d", seed, g.state.Term, m.term)
	}
	if g.state.Term == m.voteTerm && m.vote != "" && g.state.Vote != m.vote {
		t.Fatalf("seed %d: vote %q in term %d, acknowledged %q", seed, g.state.Vote, m.voteTerm, m.vote)
	}
	for _, e := range m.entries {
		if e.Index < g.base {
			continue
		}
		if g.termAt(e.Index) != e.Term {
			// Only a later leader may have replaced the entry, in the request that
			// was in progress at the crash.
			if got := g.termAt(e.Index); got <= e.Term {
				t.Fatalf("seed %d: entry %d has term %d, acknowledged %d", seed, e.Index, got, e.Term)
			}
			break
		}
	}
}

// sendRandomRequest sends one request and records the acknowledged state. It returns
// the leader's commit index.
func (m *memberModel) sendRandomRequest(rng *rand.Rand, g *Group, lead *memberModel, commit uint64) uint64 {
	incarnation := g.state.Incarnation
	req := &raftpb.Message{From: "l", FromIncarnation: 1, ToIncarnation: incarnation, Term: lead.term}
	last := uint64(len(lead.entries))
	switch rng.IntN(8) {
	case 0: // a vote in a new term, for a candidate that is as up to date as the leader
		req.Kind, req.Term, req.Index, req.LogTerm = raftpb.Kind_KIND_VOTE, max(lead.term, m.term)+1, last+10, lead.term
		req.From = fmt.Sprint("candidate", rng.IntN(3))
		if resp := g.Handle(context.Background(), req); resp != nil && resp.Ok {
			m.term, m.voteTerm, m.vote = req.Term, req.Term, formatVote(req.From, 1)
		}
		return commit
	case 1: // a new leader, whose log ends anywhere after the committed entries
		lead.term = max(lead.term, m.term) + 1
		lead.entries = slices.Clone(lead.entries[:commit+uint64(rng.IntN(int(last-commit)+1))])
		return commit
	case 2:
		if commit == 0 || commit == g.Status().Commit {
			return commit
		}
		return m.sendSnapshot(g, req, lead, commit)
	}
	for range 1 + rng.IntN(3) {
		e := &raftpb.Entry{Index: uint64(len(lead.entries)) + 1, Term: lead.term, Kind: raftpb.EntryKind_ENTRY_KIND_COMMAND}
		e.Data = fmt.Append(nil, "command ", e.Index, " of ", e.Term)
		if e.Index == 1 {
			e.Kind = raftpb.EntryKind_ENTRY_KIND_MEMBERS
			e.Data, _ = proto.Marshal(members{{ID: "l", Incarnation: 1}}.proto())
		}
		lead.entries = append(lead.entries, e)
	}
	req.Kind = raftpb.Kind_KIND_APPEND
	prev := commit
	if acked := uint64(len(m.entries)); acked > commit && rng.IntN(2) == 0 {
		prev = min(acked, last)
	}
	req.Index, req.Entries, req.Commit = prev, lead.entries[prev:], commit
	if prev > 0 {
		req.LogTerm = lead.entries[prev-1].Term
	}
	resp := g.Handle(context.Background(), req)
	if resp == nil || resp.Term != lead.term || !resp.Ok {
		return commit
	}
	m.term = max(m.term, lead.term)
	m.entries = slices.Clone(lead.entries[:resp.Match])
	if rng.IntN(2) == 0 {
		return resp.Match // the leader commits the acknowledged entries
	}
	return commit
}

func (m *memberModel) sendSnapshot(g *Group, req *raftpb.Message, lead *memberModel, commit uint64) uint64 {
	snap := &raftpb.Snapshot{Index: commit, Term: lead.entries[commit-1].Term, Members: members{{ID: "l", Incarnation: 1}}.proto(), Data: []byte{1, 'x'}}
	content, _ := proto.Marshal(snap)
	d := disk.NewFake(1)
	sealed := sealedFile(d, content)
	req.Kind, req.Index, req.Total, req.Chunk = raftpb.Kind_KIND_SNAPSHOT, commit, uint64(len(sealed)), sealed
	resp := g.Handle(context.Background(), req)
	if resp == nil || !resp.Ok {
		return commit
	}
	m.term = max(m.term, lead.term)
	if uint64(len(m.entries)) < commit {
		m.entries = slices.Clone(lead.entries[:commit])
	}
	return commit
}

func sealedFile(d *disk.Fake, content []byte) []byte {
	_ = walog.WriteFile(d, "x", content)
	b, _ := disk.Read(d, "x")
	return b
}

// Guards against a request from another process that crashes or corrupts a member.
func FuzzHandle(f *testing.F) {
	for k := range raftpb.Kind_name {
		b, _ := proto.Marshal(&raftpb.Message{
			Kind: raftpb.Kind(k), Term: 3, From: "b", ToIncarnation: 1, Index: 2, LogTerm: 1, Total: 4, Chunk: []byte("ab"),
			Entries: []*raftpb.Entry{{Index: 3, Term: 2, Kind: raftpb.EntryKind_ENTRY_KIND_MEMBERS, Data: []byte{1}}},
		})
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var req raftpb.Message
		if proto.Unmarshal(b, &req) != nil {
			return
		}
		g, err := Open(Config{
			ID: "a", FS: disk.NewFake(1), Dir: "raft", Machine: &testStateMachine{}, Transport: endpoint{&network{}, "a"}, Heartbeat: time.Hour,
		})
		if err != nil {
			t.Fatal(err)
		}
		defer g.Close()
		req.ToIncarnation = g.state.Incarnation
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		g.Handle(ctx, &req)
		g.Handle(ctx, &req)
	})
}

// Guards against granting a vote while a lease that the voter confirmed is valid, also
// after the voter restarted and no longer knows when it confirmed.
func TestVoterKeepsTheLease(t *testing.T) {
	d := disk.NewFake(1)
	now := time.Unix(1000, 0)
	cfg := Config{
		ID: "f", FS: d, Dir: "raft", Machine: &testStateMachine{}, Transport: endpoint{&network{}, "f"},
		Election: time.Second, Heartbeat: time.Hour, Clock: func() time.Time { return now },
	}
	g, err := Open(cfg)
	if err != nil {
		t.Fatal(err)
	}
	data, _ := proto.Marshal(members{{ID: "l", Incarnation: 1}, {ID: "c", Incarnation: 1}}.proto())
	req := &raftpb.Message{Kind: raftpb.Kind_KIND_APPEND, From: "l", FromIncarnation: 1, ToIncarnation: g.state.Incarnation, Term: 1}
	req.Entries = []*raftpb.Entry{{Index: 1, Term: 1, Kind: raftpb.EntryKind_ENTRY_KIND_MEMBERS, Data: data}}
	vote := &raftpb.Message{From: "c", FromIncarnation: 1, ToIncarnation: req.ToIncarnation, Term: 2, Index: 1, LogTerm: 1}
	expectVotes := func(description string, advance time.Duration, want bool) {
		t.Helper()
		now = now.Add(advance)
		for _, vote.Kind = range []raftpb.Kind{raftpb.Kind_KIND_PRE_VOTE, raftpb.Kind_KIND_VOTE} {
			if resp := g.Handle(context.Background(), vote); resp.Ok != want || !want && resp.Term != 1 {
				t.Fatalf("%s: %v got %v in term %d", description, vote.Kind, resp.Ok, resp.Term)
			}
		}
	}
	g.Handle(context.Background(), req)
	expectVotes("after an append", 999*time.Millisecond, false)
	req.Kind, req.Entries = raftpb.Kind_KIND_HEARTBEAT, nil
	if resp := g.Handle(context.Background(), req); !resp.Ok {
		t.Fatal("the heartbeat was not confirmed")
	}
	expectVotes("after a heartbeat", 999*time.Millisecond, false)
	_ = g.Close()
	if g, err = Open(cfg); err != nil {
		t.Fatal(err)
	}
	defer g.Close()
	expectVotes("after a restart", 999*time.Millisecond, false)
	expectVotes("after the lease", time.Millisecond, true)
}

// Guards against committing an entry of an earlier term by counting replicas: a later
// leader may still replace the entry.
func TestEarlierTermIsNotCounted(t *testing.T) {
	g := &Group{
		state: &raftpb.State{Term: 4, Incarnation: 1}, cfg: Config{ID: "a"}, role: Leader, stable: 1, applySignal: make(chan struct{}, 1),
		entries: []*raftpb.Entry{{Index: 1, Term: 2}}, peers: map[string]*peer{"b": {id: "b", matchIndex: 1}},
		memberships: []membership{{1, members{{ID: "a", Incarnation: 1}, {ID: "b"}, {ID: "c"}}}},
	}
	if g.advanceCommit(); g.commit != 0 {
		t.Fatalf("committed entry %d of an earlier term", g.commit)
	}
	g.entries = append(g.entries, &raftpb.Entry{Index: 2, Term: 4})
	g.stable, g.peers["b"].matchIndex = 2, 2
	if g.advanceCommit(); g.commit != 2 {
		t.Fatalf("commit is %d, want 2", g.commit)
	}
}
