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

// followers starts two processes, of which b has members of two groups that
// follow a in term 3.
func followers(t *testing.T) (a, b *Links, groups []*Group) {
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
			Group: n, ID: "b", FS: disk.NewFake(1), Dir: "raft", Machine: &machine{}, Transport: links["b"], Heartbeat: time.Hour,
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

type beatResult struct {
	resp *raftpb.Message
	err  error
}

// Guards against a member that is busy with a sync and delays the heartbeats of
// other groups that came in the same message, or is taken to have confirmed.
func TestBusyMemberDelaysNoOtherGroup(t *testing.T) {
	a, _, groups := followers(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	reqs := []*raftpb.Message{heartbeat(groups[0], 3), heartbeat(groups[1], 3)}
	got := []chan beatResult{make(chan beatResult, 1), make(chan beatResult, 1)}
	groups[1].mu.Lock()
	for i, req := range reqs {
		go func() {
			resp, err := a.Call(ctx, "b", req)
			got[i] <- beatResult{resp, err}
		}()
	}
	if r := <-got[0]; r.err != nil || !r.resp.Ok || r.resp.FromIncarnation != groups[0].state.Incarnation {
		t.Errorf("the idle group answered %v, %v", r.resp, r.err)
	}
	if len(got[1]) > 0 {
		t.Error("the busy group answered")
	}
	groups[1].mu.Unlock()
	if r := <-got[1]; r.err != nil || !r.resp.Ok {
		t.Errorf("the busy group answered %v, %v later", r.resp, r.err)
	}
}

// Guards against a lease that is confirmed by the answer to a heartbeat of an
// earlier term, of another group or incarnation in the same message.
func TestBeatsAreAnsweredByPosition(t *testing.T) {
	_, b, groups := followers(t)
	stranger := heartbeat(groups[0], 3)
	stranger.ToIncarnation++
	reqs := []*raftpb.Message{
		heartbeat(groups[1], 4), heartbeat(groups[1], 3), stranger, heartbeat(groups[0], 2), heartbeat(groups[0], 3), {Group: 7},
	}
	all := &raftpb.Beats{}
	for _, r := range reqs {
		all.Beats = append(all.Beats, &raftpb.Beat{Group: r.Group, Term: r.Term, ToIncarnation: r.ToIncarnation})
	}
	body, err := proto.Marshal(all)
	if err != nil {
		t.Fatal(err)
	}
	out, err := b.handleBeats(context.Background(), link.Peer{Node: "a"}, body)
	if err != nil {
		t.Fatal(err)
	}
	for i, want := range []bool{false, true, false, false, true, false} {
		got := answerOf(out.(*raftpb.BeatsAnswer), i, reqs[i], "b")
		if got.GetOk() != want || (got == nil) != (i == 5) || got.GetStranger() != (i == 2) {
			t.Errorf("heartbeat %d: answer %v, want confirmed %v", i, got, want)
		}
	}
	out, err = b.handleBeats(context.Background(), link.Peer{Node: "c"}, body)
	if err != nil || len(out.(*raftpb.BeatsAnswer).Confirmed) > 0 {
		t.Errorf("a process that does not lead was confirmed: %v, %v", out, err)
	}
}

// Guards against bytes from another process that stop this one.
func FuzzBeats(f *testing.F) {
	b, _ := proto.Marshal(&raftpb.Beats{Beats: []*raftpb.Beat{{Group: 1, Term: 1}}})
	f.Add(b)
	f.Fuzz(func(_ *testing.T, b []byte) {
		l := &Links{groups: map[uint32]*Group{}}
		_, _ = l.handleBeats(context.Background(), link.Peer{}, b)
		var all raftpb.BeatsAnswer
		if proto.Unmarshal(b, &all) == nil {
			answerOf(&all, 0, &raftpb.Message{}, "b")
		}
	})
}
