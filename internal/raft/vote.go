package raft

import (
	"time"

	"cranberrypath.example/cranberrypath/internal/raft/raftpb"
)

// handleVote answers a vote or pre-vote request.
func (g *Group) handleVote(req, resp *raftpb.Message) {
	if req.Kind == raftpb.Kind_KIND_VOTE {
		g.diskMu.Lock()
		defer g.diskMu.Unlock()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	defer func() { resp.Term = g.state.Term }()
	now := g.cfg.Clock()
	if g.err != nil || req.Term < g.state.Term {
		return
	}
	if req.ToIncarnation == 0 && !g.bootstrapping() {
		resp.Stranger = true // the group exists already
		return
	}
	// If the leader of the previous term asked the candidate to take over, no lease
	// of an earlier term is valid any more.
	transfer := req.Transfer && req.Kind == raftpb.Kind_KIND_VOTE
	resp.Restarted = req.Kind == raftpb.Kind_KIND_PRE_VOTE && !g.participated && g.role == Follower
	if !transfer && !(req.Transfer && resp.Restarted) && !g.confirmedLeaseExpired(now) {
		return
	}
	lastTerm := g.termAt(g.lastIndex())
	upToDate := req.LogTerm > lastTerm || req.LogTerm == lastTerm && req.Index >= g.lastIndex()
	if req.Kind == raftpb.Kind_KIND_PRE_VOTE {
		resp.Ok = upToDate && req.Term > g.state.Term
		return
	}
	resp.Ok = g.castVote(req, upToDate, now)
}

// castVote decides on a vote request, saves the decision and reports whether the
// vote was granted. upToDate means that the candidate's log is at least as recent as
// this member's. The caller holds diskMu and mu.
func (g *Group) castVote(req *raftpb.Message, upToDate bool, now time.Time) bool {
	candidate, recordedVote := formatVote(req.From, req.FromIncarnation), ""
	if req.Term == g.state.Term {
		recordedVote = g.state.Vote
	}
	grant := upToDate && (recordedVote == "" || recordedVote == candidate)
	if grant {
		recordedVote, g.participated = candidate, true
	}
	newTerm := req.Term > g.state.Term
	if (newTerm || recordedVote != g.state.Vote) && !g.advanceTerm(req.Term, recordedVote) {
		return false
	}
	if newTerm {
		g.becomeFollower("")
	}
	if grant {
		g.resetElectionTimer(now)
	}
	return grant
}
