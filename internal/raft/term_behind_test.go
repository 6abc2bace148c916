package raft

import (
	"context"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/raft/raftpb"
)

// Guards against a group that has a majority and never elects a leader again: one member
// has the longer log, the other is one term ahead after an election whose votes were lost.
func TestElectionOneTermBehind(t *testing.T) {
	c := newScriptedCluster(t, "a", "b", "c")
	lead := c.leader()
	others := members{{ID: "a"}, {ID: "b"}, {ID: "c"}}.without(lead)
	behind, ahead := others[0].ID, others[1].ID
	term := c.group(lead).Status().Term
	// The leader is suspended, and the votes of the election after its lease are lost.
	c.run(func(from, to string, req *raftpb.Message, deliver func() *raftpb.Message) *raftpb.Message {
		if from != ahead || to != behind || req.Kind != raftpb.Kind_KIND_PRE_VOTE {
			return nil
		}
		return deliver()
	})
	eventually(t, "an election", func() bool { return c.group(ahead).Status().Term == term+1 })
	c.clock.pause()
	// The leader returns, commits an entry with the other member, and is lost.
	c.run(func(from, to string, _ *raftpb.Message, deliver func() *raftpb.Message) *raftpb.Message {
		if from == ahead || to == ahead {
			return nil
		}
		return deliver()
	})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if _, err := c.group(lead).Propose(ctx, []byte("x")); err != nil {
		t.Fatal(err)
	}
	c.stop(lead)
	c.run(deliverAll)
	c.clock.pausedAt.Store(nil)
	eventually(t, "a leader", func() bool { return len(c.leases()) == 1 })
}
