package raft

import (
	"time"

	"cranberrypath.example/cranberrypath/internal/raft/raftpb"
)

// handleVote answers a vote or a question whether one would be granted.
func (g *Group) handleVote(req, resp *raftpb.Message) {
	if req.Kind == raftpb.Kind_KIND_VOTE {
		g.io.Lock()
		defer g.io.Unlock()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	defer func() { resp.Term = g.state.Term }()
	now := g.cfg.Clock()
	if g.err != nil || req.Term < g.state.Term {
		return
	}
	if req.ToIncarnation == 0 && !g.forming() {
		resp.Stranger = true // the group exists already
		return
	}
	// The leases of all terms before req.Term have ended if its candidate was
	// asked to stand by the leader of the one before.
	transfer := req.Transfer && req.Kind == raftpb.Kind_KIND_VOTE
	resp.Restarted = req.Kind == raftpb.Kind_KIND_PRE_VOTE && !g.met && g.role == Follower
	if !transfer && !(req.Transfer && resp.Restarted) && !g.leaderLost(now) {
		return
	}
	lastTerm := g.termAt(g.last())
	current := req.LogTerm > lastTerm || req.LogTerm == lastTerm && req.Index >= g.last()
	if req.Kind == raftpb.Kind_KIND_PRE_VOTE {
		resp.Ok = current && req.Term > g.state.Term
		return
	}
	resp.Ok = g.vote(req, current, now)
}

// vote decides on a vote whose candidate has a log that is current or not, makes
// the decision durable and reports whether it was granted. The caller holds io and mu.
func (g *Group) vote(req *raftpb.Message, current bool, now time.Time) bool {
	vote, prior := voteFor(req.From, req.FromIncarnation), ""
	if req.Term == g.state.Term {
		prior = g.state.Vote
	}
	grant := current && (prior == "" || prior == vote)
	if grant {
		prior, g.met = vote, true
	}
	later := req.Term > g.state.Term
	if (later || prior != g.state.Vote) && !g.enter(req.Term, prior) {
		return false
	}
	if later {
		g.follow("")
	}
	if grant {
		g.delayElection(now)
	}
	return grant
}
