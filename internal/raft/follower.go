package raft

import (
	"context"

	"cranberrypath.example/cranberrypath/internal/raft/raftpb"
)

// Handle answers a request of another member. It returns nil if this member has
// stopped.
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
		index, err := g.leaseReadIndex(ctx)
		resp.Ok, resp.Match = err == nil, index
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.err != nil {
		return nil // the change that the request asked for may not be durable
	}
	return resp
}

// newResponse returns a response to req with the fields common to all kinds. The
// caller holds mu.
func (g *Group) newResponse(req *raftpb.Message) *raftpb.Message {
	resp := g.newMessageLocked(req.Kind)
	resp.Leader, resp.Leaving = g.leader, g.shuttingDown
	resp.Stranger = req.ToIncarnation != 0 && req.ToIncarnation != resp.FromIncarnation
	g.incarnationMismatch = g.incarnationMismatch || resp.Stranger
	return resp
}

// acceptLeader checks that a request comes from the leader of the current or a later
// term, follows that leader and resets the election timer. The caller holds diskMu
// and mu.
func (g *Group) acceptLeader(req, resp *raftpb.Message) bool {
	resp.Term = g.state.Term
	if g.err != nil || req.Term < g.state.Term || req.ToIncarnation == 0 {
		return false
	}
	if req.Term > g.state.Term && !g.advanceTerm(req.Term, "") {
		return false
	}
	if g.role != Follower || g.leader != req.From {
		g.becomeFollower(req.From)
	}
	g.lastLeaderContact, g.participated = g.cfg.Clock(), true
	g.incarnationMismatch = false
	g.resetElectionTimer(g.lastLeaderContact)
	resp.Term, resp.Leader = g.state.Term, req.From
	return true
}

// handleHeartbeat confirms the leader that this member follows. It does not wait for
// the disk, so that a slow sync does not cost the leader its lease.
func (g *Group) handleHeartbeat(req, resp *raftpb.Message) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.handleHeartbeatLocked(req, resp)
}

// handleHeartbeatLocked is handleHeartbeat for a caller that holds mu.
func (g *Group) handleHeartbeatLocked(req, resp *raftpb.Message) {
	resp.Term = g.state.Term
	if g.err != nil || req.Term != g.state.Term || g.role != Follower || g.leader != req.From || req.ToIncarnation == 0 {
		return
	}
	g.lastLeaderContact = g.cfg.Clock()
	g.resetElectionTimer(g.lastLeaderContact)
	resp.Ok = true
}

func (g *Group) handleAppend(req, resp *raftpb.Message) {
	g.diskMu.Lock()
	defer g.diskMu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.acceptLeader(req, resp) {
		return
	}
	prev, entries := req.Index, req.Entries
	for i, e := range entries {
		if e.Index != prev+uint64(i)+1 || e.Term > req.Term || !validMembership(e) {
			return
		}
	}
	if prev < g.base {
		// Entries up to base are committed, so both logs have the same ones.
		n := min(g.base-prev, uint64(len(entries)))
		prev, entries = prev+n, entries[n:]
	}
	if prev > g.lastIndex() || prev >= g.base && prev == req.Index && g.termAt(prev) != req.LogTerm {
		resp.Match = g.conflictIndex(prev)
		return
	}
	match := prev + uint64(len(entries))
	for len(entries) > 0 && entries[0].Index <= g.lastIndex() && g.termAt(entries[0].Index) == entries[0].Term {
		entries = entries[1:]
	}
	if len(entries) > 0 && !g.replaceEntries(entries) {
		return
	}
	resp.Ok, resp.Match = true, match
	if commit := min(req.Commit, match); commit > g.commit {
		g.commit = commit
		signal(g.applySignal)
	}
}

// conflictIndex returns the index from which the leader should retry after prev did
// not match: the one after the end of this log, or the first uncommitted entry of the
// conflicting term.
func (g *Group) conflictIndex(prev uint64) uint64 {
	if prev > g.lastIndex() {
		return g.lastIndex() + 1
	}
	term := g.termAt(prev)
	for prev > g.commit+1 && g.termAt(prev-1) == term {
		prev--
	}
	return prev
}

// replaceEntries writes entries to the log and discards existing entries from the
// first one's index on. The caller holds diskMu and mu; mu is released during the
// write.
func (g *Group) replaceEntries(entries []*raftpb.Entry) bool {
	first := entries[0].Index
	if first <= g.commit {
		g.fail(Error.New("group %d: entry %d of term %d conflicts with a committed one", g.cfg.Group, first, entries[0].Term))
		return false
	}
	g.mu.Unlock()
	err := g.appendToLog(first, entries)
	g.mu.Lock()
	if err != nil {
		g.fail(err)
		return false
	}
	if g.err != nil {
		return false
	}
	g.truncateMemberships(first)
	// Other goroutines may read the old slice, so entries in it must not be
	// overwritten.
	kept := g.entries[: first-g.base-1 : first-g.base-1]
	if first == g.lastIndex()+1 {
		kept = g.entries
	}
	g.entries = append(kept, entries...)
	for _, e := range entries {
		if err := g.recordMembership(e); err != nil {
			g.fail(err)
			return false
		}
	}
	g.stable = g.lastIndex()
	return true
}
