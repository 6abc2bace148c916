package raft

import (
	"context"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/disk"
	"cranberrypath.example/cranberrypath/internal/raft/raftpb"
)

// script decides on each call between members. deliver passes the request on and
// returns the response.
type script func(from, to string, req *raftpb.Message, deliver func() *raftpb.Message) *raftpb.Message

// scriptedCluster is a group whose messages follow a script.
type scriptedCluster struct {
	t      *testing.T
	clock  *atomicPausableClock
	ids    []string
	disks  map[string]*disk.Fake
	mu     sync.Mutex
	groups map[string]*Group
	script script
}

type scriptedEndpoint struct {
	cluster *scriptedCluster
	id      string
}

func (e scriptedEndpoint) Call(ctx context.Context, to string, req *raftpb.Message) (*raftpb.Message, error) {
	c := e.cluster
	c.mu.Lock()
	s := c.script
	c.mu.Unlock()
	resp := s(e.id, to, proto.CloneOf(req), func() *raftpb.Message {
		g := c.group(to)
		if g == nil {
			return nil
		}
		resp := g.Handle(context.Background(), proto.CloneOf(req))
		if resp == nil {
			return nil
		}
		return proto.CloneOf(resp)
	})
	if resp == nil {
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
		return nil, errCut
	}
	return resp, nil
}

func deliverAll(_, _ string, _ *raftpb.Message, deliver func() *raftpb.Message) *raftpb.Message {
	return deliver()
}

func newScriptedCluster(t *testing.T, ids ...string) *scriptedCluster {
	c := &scriptedCluster{
		t: t, clock: &atomicPausableClock{}, ids: ids, disks: map[string]*disk.Fake{}, groups: map[string]*Group{}, script: deliverAll,
	}
	for i, id := range ids {
		c.disks[id] = disk.NewFake(uint64(i))
		c.start(id)
	}
	t.Cleanup(func() {
		c.run(func(string, string, *raftpb.Message, func() *raftpb.Message) *raftpb.Message { return nil })
		for _, id := range ids {
			c.stop(id)
		}
	})
	return c
}

func (c *scriptedCluster) start(id string) {
	c.t.Helper()
	g, err := Open(Config{
		Group: 1, ID: id, Members: c.ids, FS: c.disks[id], Dir: "raft", StateMachine: &testStateMachine{}, Transport: scriptedEndpoint{c, id},
		Clock: c.clock.now, Seed: uint64(id[0]), HeartbeatInterval: 20 * time.Millisecond, ElectionTimeout: 400 * time.Millisecond,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	c.mu.Lock()
	c.groups[id] = g
	c.mu.Unlock()
}

func (c *scriptedCluster) stop(id string) {
	c.mu.Lock()
	g := c.groups[id]
	delete(c.groups, id)
	c.mu.Unlock()
	if g != nil {
		_ = g.Close()
	}
}

func (c *scriptedCluster) group(id string) *Group {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.groups[id]
}

func (c *scriptedCluster) run(s script) {
	c.mu.Lock()
	c.script = s
	c.mu.Unlock()
}

// leases returns the terms of the members that hold a lease, by ID.
func (c *scriptedCluster) leases() map[string]uint64 {
	out := map[string]uint64{}
	for _, id := range c.ids {
		if g := c.group(id); g != nil {
			if l, ok := g.Lease(c.clock.now()); ok {
				out[id] = l.Term
			}
		}
	}
	return out
}

// leader waits until exactly one member holds a lease and all others follow it.
func (c *scriptedCluster) leader() (out string) {
	c.t.Helper()
	eventually(c.t, "a leader that all follow", func() bool {
		out = ""
		for id := range c.leases() {
			out = id
		}
		for _, id := range c.ids {
			if st := c.group(id).Status(); out == "" || st.Leader != out || st.Last != c.group(out).Status().Last {
				return false
			}
		}
		return true
	})
	return out
}

// expectOneLease checks for a while that only the member id holds a lease.
func (c *scriptedCluster) expectOneLease(id string) {
	c.t.Helper()
	for end := time.Now().Add(600 * time.Millisecond); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if l := c.leases(); len(l) != 1 || l[id] == 0 {
			c.t.Fatalf("leases with their terms: %v, want only one of %s", l, id)
		}
	}
}

// Guards against two leases at once after all members have restarted: a member whose
// term is later than that of the others receives their responses to its pre-vote after
// it has confirmed the leader that they elected meanwhile.
func TestRestartElectionAfterConfirmingALeader(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e"}
	c := newScriptedCluster(t, ids...)
	old := c.leader()
	others := members{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}, {ID: "e"}}.without(old)
	successor, late, next := others[0].ID, others[1].ID, others[2].ID
	c.clock.pause()
	// The vote requests of the successor reach one member; then all lose power.
	c.run(func(from, to string, req *raftpb.Message, deliver func() *raftpb.Message) *raftpb.Message {
		if from == successor && to != late {
			return nil
		}
		return deliver()
	})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	_ = c.group(old).Transfer(ctx, successor)
	cancel()
	term := c.group(late).Status().Term
	for _, id := range ids {
		c.stop(id)
	}
	preVotesDone := make(chan struct{})
	var answered sync.WaitGroup
	answered.Add(len(ids) - 1)
	campaigns := make(chan struct{})
	c.run(func(from, to string, req *raftpb.Message, deliver func() *raftpb.Message) *raftpb.Message {
		isLatePreVote := from == late && req.Kind == raftpb.Kind_KIND_PRE_VOTE
		switch {
		case isLatePreVote && req.Transfer:
			resp := deliver()
			answered.Done()
			<-preVotesDone
			return resp
		case from == next && req.Kind == raftpb.Kind_KIND_PRE_VOTE:
			<-campaigns
			return deliver()
		case from == next || from == late && !isLatePreVote:
			return deliver()
		}
		return nil
	})
	for _, id := range ids {
		c.start(id)
	}
	answered.Wait()
	close(campaigns)
	eventually(t, "the second candidate leads and the first has confirmed it", func() bool {
		g := c.group(next)
		return c.leases()[next] == term && c.group(late).Status().Last == g.Status().Last
	})
	// The leader no longer reaches the others; its lease is still valid.
	c.run(func(from, to string, req *raftpb.Message, deliver func() *raftpb.Message) *raftpb.Message {
		if from == next || to == next {
			return nil
		}
		return deliver()
	})
	close(preVotesDone)
	c.expectOneLease(next)
}

// Guards against two leases at once: a leader has appended its own removal and waits for
// the commit, and all other members restart.
func TestRestartElectionBesideALeaderThatRemovesItself(t *testing.T) {
	ids := []string{"a", "b", "c", "d"}
	c := newScriptedCluster(t, ids...)
	lead := c.leader()
	c.clock.pause()
	c.run(func(from, to string, req *raftpb.Message, deliver func() *raftpb.Message) *raftpb.Message {
		resp := deliver()
		if from == lead && req.Kind == raftpb.Kind_KIND_APPEND {
			return nil // the response is lost
		}
		return resp
	})
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_ = c.group(lead).Remove(ctx, lead)
	eventually(t, "all have the removal", func() bool {
		for _, id := range ids {
			if len(c.group(id).Status().Members) != len(ids)-1 {
				return false
			}
		}
		return true
	})
	c.run(func(from, to string, req *raftpb.Message, deliver func() *raftpb.Message) *raftpb.Message {
		if from == lead || to == lead {
			return nil
		}
		return deliver()
	})
	for _, id := range ids {
		if id != lead {
			c.stop(id)
		}
	}
	for _, id := range ids {
		if id != lead {
			c.start(id)
		}
	}
	for end := time.Now().Add(800 * time.Millisecond); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if l := c.leases(); len(l) > 1 {
			t.Fatalf("leases with their terms: %v", l)
		}
	}
}
