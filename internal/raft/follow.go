package raft

import (
	"context"

	"cranberrypath.example/cranberrypath/internal/raft/raftpb"
)

// Handle answers a request of another member. It returns nil if this member
// has stopped.
func (g *Group) Handle(ctx context.Context, req *raftpb.Message) *raftpb.Message {
	g.mu.Lock()
	resp, stopped := g.newResponse(req), g.err != nil
	g.mu.Unlock()
	if stopped {
		return nil
	}
	if resp.Stranger {
		return resp
	}
	switch req.Kind {
	case raftpb.Kind_KIND_PRE_VOTE, raftpb.Kind_KIND_VOTE:
		g.handleVote(req, resp)
	case raftpb.Kind_KIND_APPEND:
		g.handleAppend(req, resp)
	case raftpb.Kind_KIND_SNAPSHOT:
		g.handleSnapshot(req, resp)
	case raftpb.Kind_KIND_HEARTBEAT:
		g.handleHeartbeat(req, resp)
	case raftpb.Kind_KIND_TRANSFER:
		g.handleTransfer(req, resp)
	case raftpb.Kind_KIND_BARRIER:
		index, err := g.confirm(ctx)
		resp.Ok, resp.Match = err == nil, index
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.err != nil {
		return nil // what the request asked for may not be durable
	}
	return resp
}

// newResponse returns the response to req with the fields that all have. The
// caller holds mu.
func (g *Group) newResponse(req *raftpb.Message) *raftpb.Message {
	resp := g.newMessage(req.Kind)
	resp.Leader, resp.Leaving = g.leader, g.leaving
	resp.Stranger = req.ToIncarnation != 0 && req.ToIncarnation != resp.FromIncarnation
	g.stranger = g.stranger || resp.Stranger
	return resp
}

// accept checks that a request comes from the leader of the current term, and
// follows it. The caller holds io and mu.
func (g *Group) accept(req, resp *raftpb.Message) bool {
	resp.Term = g.state.Term
	if g.err != nil || req.Term < g.state.Term || req.ToIncarnation == 0 {
		return false
	}
	if req.Term > g.state.Term && !g.enter(req.Term, "") {
		return false
	}
	if g.role != Follower || g.leader != req.From {
		g.follow(req.From)
	}
	g.heard, g.met = g.cfg.Clock(), true
	g.stranger = false
	g.delayElection(g.heard)
	resp.Term, resp.Leader = g.state.Term, req.From
	return true
}

// handleHeartbeat confirms a leader that this member follows. It does not wait
// for the disk: a sync that takes long must not cost the leader its lease.
func (g *Group) handleHeartbeat(req, resp *raftpb.Message) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.confirmLeader(req, resp)
}

// confirmLeader is handleHeartbeat for a caller that holds mu.
func (g *Group) confirmLeader(req, resp *raftpb.Message) {
	resp.Term = g.state.Term
	if g.err != nil || req.Term != g.state.Term || g.role != Follower || g.leader != req.From || req.ToIncarnation == 0 {
		return
	}
	g.heard = g.cfg.Clock()
	g.delayElection(g.heard)
	resp.Ok = true
}

func (g *Group) handleAppend(req, resp *raftpb.Message) {
	g.io.Lock()
	defer g.io.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.accept(req, resp) {
		return
	}
	prev, entries := req.Index, req.Entries
	for i, e := range entries {
		if e.Index != prev+uint64(i)+1 || e.Term > req.Term || !validMembers(e) {
			return
		}
	}
	if prev < g.base {
		// Everything up to base is committed and therefore equal.
		n := min(g.base-prev, uint64(len(entries)))
		prev, entries = prev+n, entries[n:]
	}
	if prev > g.last() || prev >= g.base && prev == req.Index && g.termAt(prev) != req.LogTerm {
		resp.Match = g.retryAt(prev)
		return
	}
	match := prev + uint64(len(entries))
	for len(entries) > 0 && entries[0].Index <= g.last() && g.termAt(entries[0].Index) == entries[0].Term {
		entries = entries[1:]
	}
	if len(entries) > 0 && !g.replace(entries) {
		return
	}
	resp.Ok, resp.Match = true, match
	if commit := min(req.Commit, match); commit > g.commit {
		g.commit = commit
		signal(g.ready)
	}
}

// retryAt returns the index from which the leader should try next: after the
// end of this log, or at the first entry of the term that differs.
func (g *Group) retryAt(prev uint64) uint64 {
	if prev > g.last() {
		return g.last() + 1
	}
	term := g.termAt(prev)
	for prev > g.commit+1 && g.termAt(prev-1) == term {
		prev--
	}
	return prev
}

// replace writes entries to the log, in place of those that conflict. The
// caller holds io and mu; mu is free during the write.
func (g *Group) replace(entries []*raftpb.Entry) bool {
	first := entries[0].Index
	if first <= g.commit {
		g.fail(Error.New("group %d: entry %d of term %d conflicts with a committed one", g.cfg.Group, first, entries[0].Term))
		return false
	}
	g.mu.Unlock()
	err := g.appendLog(first, entries)
	g.mu.Lock()
	if err != nil {
		g.fail(err)
		return false
	}
	if g.err != nil {
		return false
	}
	g.forgetMembers(first)
	// The entries before first are shared with readers of the old slice, so a
	// replacement must not write into it.
	kept := g.entries[: first-g.base-1 : first-g.base-1]
	if first == g.last()+1 {
		kept = g.entries
	}
	g.entries = append(kept, entries...)
	for _, e := range entries {
		if err := g.noteMembers(e); err != nil {
			g.fail(err)
			return false
		}
	}
	g.stable = g.last()
	return true
}
