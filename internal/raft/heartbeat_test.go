package raft

import (
	"context"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/disk"
	"cranberrypath.example/cranberrypath/internal/link"
	"cranberrypath.example/cranberrypath/internal/raft/raftpb"
)

// newFollowers returns the transports of two processes a and b. b has members of two
// groups, which follow a in term 3.
func newFollowers(t *testing.T) (a, b *Links, groups []*Group) {
	t.Helper()
	addr := map[string]string{}
	links := map[string]*Links{}
	for _, id := range []string{"a", "b"} {
		n, err := link.Listen(link.Config{Node: id, Listen: "127.0.0.1:0"})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = n.Close() })
		addr[id] = n.Addr()
		links[id] = NewLinks(n, func(id string) string { return addr[id] })
	}
	for n := range uint32(2) {
		g, err := Open(Config{
			Group: n, ID: "b", FS: disk.NewFake(1), Dir: "raft", Machine: &testStateMachine{}, Transport: links["b"], Heartbeat: time.Hour,
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = g.Close() })
		g.mu.Lock()
		g.state, g.leader = &raftpb.State{Term: 3, Incarnation: g.state.Incarnation}, "a"
		g.mu.Unlock()
		links["b"].Serve(g)
		groups = append(groups, g)
	}
	return links["a"], links["b"], groups
}

func heartbeat(g *Group, term uint64) *raftpb.Message {
	return &raftpb.Message{
		Kind: raftpb.Kind_KIND_HEARTBEAT, Group: g.cfg.Group, Term: term, From: "a", ToIncarnation: g.state.Incarnation,
	}
}

type heartbeatResult struct {
	resp *raftpb.Message
	err  error
}

// Guards against a member that is busy with a sync and delays the heartbeats of other
// groups in the same message, or counts as having confirmed its own.
func TestBusyMemberDelaysNoOtherGroup(t *testing.T) {
	a, _, groups := newFollowers(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	reqs := []*raftpb.Message{heartbeat(groups[0], 3), heartbeat(groups[1], 3)}
	results := []chan heartbeatResult{make(chan heartbeatResult, 1), make(chan heartbeatResult, 1)}
	groups[1].mu.Lock()
	for i, req := range reqs {
		go func() {
			resp, err := a.Call(ctx, "b", req)
			results[i] <- heartbeatResult{resp, err}
		}()
	}
	if result := <-results[0]; result.err != nil || !result.resp.Ok || result.resp.FromIncarnation != groups[0].state.Incarnation {
		t.Errorf("the idle group answered %v, %v", result.resp, result.err)
	}
	if len(results[1]) > 0 {
		t.Error("the busy group answered")
	}
	groups[1].mu.Unlock()
	if result := <-results[1]; result.err != nil || !result.resp.Ok {
		t.Errorf("the busy group answered %v, %v later", result.resp, result.err)
	}
}

// Guards against renewing a lease by the response to another heartbeat in the same
// message, with an earlier term, another group or another incarnation.
func TestBeatsAreAnsweredByPosition(t *testing.T) {
	_, b, groups := newFollowers(t)
	wrongIncarnation := heartbeat(groups[0], 3)
	wrongIncarnation.ToIncarnation++
	reqs := []*raftpb.Message{
		heartbeat(groups[1], 4), heartbeat(groups[1], 3), wrongIncarnation, heartbeat(groups[0], 2), heartbeat(groups[0], 3), {Group: 7},
	}
	batch := &raftpb.Beats{}
	for _, r := range reqs {
		batch.Beats = append(batch.Beats, &raftpb.Beat{Group: r.Group, Term: r.Term, ToIncarnation: r.ToIncarnation})
	}
	body, err := proto.Marshal(batch)
	if err != nil {
		t.Fatal(err)
	}
	answer, err := b.handleHeartbeats(context.Background(), link.Peer{Node: "a"}, body)
	if err != nil {
		t.Fatal(err)
	}
	for i, want := range []bool{false, true, false, false, true, false} {
		got := responseAt(answer.(*raftpb.BeatsAnswer), i, reqs[i], "b")
		if got.GetOk() != want || (got == nil) != (i == 5) || got.GetStranger() != (i == 2) {
			t.Errorf("heartbeat %d: answer %v, want confirmed %v", i, got, want)
		}
	}
	answer, err = b.handleHeartbeats(context.Background(), link.Peer{Node: "c"}, body)
	if err != nil || len(answer.(*raftpb.BeatsAnswer).Confirmed) > 0 {
		t.Errorf("heartbeats of a process that is not the leader were confirmed: %v, %v", answer, err)
	}
}

// Guards against bytes from another process that crash this one.
func FuzzBeats(f *testing.F) {
	b, _ := proto.Marshal(&raftpb.Beats{Beats: []*raftpb.Beat{{Group: 1, Term: 1}}})
	f.Add(b)
	f.Fuzz(func(_ *testing.T, b []byte) {
		l := &Links{groups: map[uint32]*Group{}}
		_, _ = l.handleHeartbeats(context.Background(), link.Peer{}, b)
		var answer raftpb.BeatsAnswer
		if proto.Unmarshal(b, &answer) == nil {
			responseAt(&answer, 0, &raftpb.Message{}, "b")
		}
	})
}
