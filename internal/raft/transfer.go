package raft

import (
	"context"
	"slices"
	"strings"
	"time"

	"cranberrypath.example/cranberrypath/internal/raft/raftpb"
)

// maxContactHeartbeats is the maximum time since the last contact with a member that
// receives leadership, in heartbeat intervals.
const maxContactHeartbeats = 3

// Transfer transfers leadership to the voter with the given ID, or to the most
// up-to-date voter if id is empty, and returns when this member knows the leader of
// a later term. Proposals wait meanwhile and then get *NotLeaderError with the new leader.
// If the voter does not catch up within an election timeout, this member stays the
// leader and processes them. The errors are *NotLeaderError, ErrStopped, the context's,
// and one of class Error if no voter takes over.
//
// The leader gives up its lease before it asks the voter to start an election. If
// the request or the election fails, the group elects a leader as after a crash.
func (g *Group) Transfer(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, max(2*g.cfg.ElectionTimeout, 2*voteTimeout))
	defer cancel()
	req, err := g.prepareTransfer(ctx, id)
	if err != nil {
		return err
	}
	to := req.Leader
	req.Leader = ""
	resp, err := g.cfg.Transport.Call(ctx, to, req)
	if err != nil {
		return Error.Wrap(err)
	}
	if !resp.Ok {
		return Error.New("%q rejected the leadership transfer", to)
	}
	for {
		g.mu.Lock()
		done, changed, stopped := g.state.Term > req.Term && g.leader != "", g.changed, g.err != nil
		g.mu.Unlock()
		switch {
		case done:
			return nil
		case stopped:
			return ErrStopped
		}
		if err := waitForChange(ctx, changed, g.cfg.HeartbeatInterval); err != nil {
			return err
		}
	}
}

// prepareTransfer waits until the successor has the whole log and every proposal in
// it is answered, and gives up leadership. It returns the request for the successor,
// whose ID is in Leader.
func (g *Group) prepareTransfer(ctx context.Context, id string) (*raftpb.Message, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.role != Leader || g.err != nil {
		return nil, g.rejectionError()
	}
	if g.transferTarget != "" {
		return nil, Error.New("leadership is already being transferred to %q", g.transferTarget)
	}
	now, term := g.cfg.Clock(), g.state.Term
	p := g.successor(id, now)
	if p == nil {
		return nil, Error.New("no other voter is caught up and in contact")
	}
	g.transferTarget = p.id
	catchUpCtx, cancel := context.WithTimeout(ctx, g.cfg.ElectionTimeout)
	defer cancel()
	for {
		if g.role != Leader || g.err != nil || g.state.Term != term {
			return nil, g.rejectionError()
		}
		if g.peers[p.id] == p && p.matchIndex >= g.lastIndex() && g.applied >= g.lastIndex() && len(g.waiters) == 0 {
			break
		}
		changed := g.changed
		g.mu.Unlock()
		err := waitForChange(catchUpCtx, changed, g.cfg.HeartbeatInterval)
		g.mu.Lock()
		if err != nil && g.role == Leader && g.state.Term == term {
			g.transferTarget = ""
			signal(g.writeSignal)
			return nil, Error.New("%q did not catch up in time", p.id)
		}
	}
	req := g.newMessageLocked(raftpb.Kind_KIND_TRANSFER)
	req.ToIncarnation, req.Index, req.Leader = p.incarnation, g.lastIndex(), p.id
	g.becomeFollower(p.id)
	g.resetElectionTimer(g.cfg.Clock())
	return req, nil
}

// successor returns the voter that may receive leadership: the one with the given ID
// or, if id is empty, the one with the longest replicated log. It returns nil if there
// is none. The caller holds mu.
func (g *Group) successor(id string, now time.Time) *peer {
	var best *peer
	for _, m := range g.members().voters() {
		p := g.peers[m.ID]
		if p == nil || id != "" && m.ID != id || p.shuttingDown || p.incarnationMismatch || p.matchIndex < g.commit {
			continue
		}
		if now.Sub(p.lastContact) > maxContactHeartbeats*g.cfg.HeartbeatInterval {
			continue
		}
		if best == nil || p.matchIndex > best.matchIndex {
			best = p
		}
	}
	return best
}

// preferredLeader returns the ID of the voter that should lead, so that the leaders
// of many groups are spread over the members. The caller holds mu.
func (g *Group) preferredLeader() string {
	v := g.members().voters()
	if len(v) == 0 {
		return ""
	}
	slices.SortFunc(v, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return v[int(g.cfg.Group)%len(v)].ID
}

// transferIfNeeded starts a transfer if this member leads but is about to stop, or if
// another member is preferred and may receive leadership. In the second case a leader
// waits at least cfg.LeaderRebalanceDelay, so that an unstable member does not cause many leader
// changes. The caller holds mu.
func (g *Group) transferIfNeeded(now time.Time) {
	if g.role != Leader || g.err != nil || g.transferring || g.commit < g.termStartIndex {
		return
	}
	id, minWait := "", g.cfg.HeartbeatInterval
	if !g.shuttingDown {
		id, minWait = g.preferredLeader(), g.cfg.LeaderRebalanceDelay
		if minWait == 0 || id == g.cfg.ID || now.Sub(g.electedAt) < minWait || g.successor(id, now) == nil {
			return
		}
	}
	if now.Sub(g.lastTransferAt) < minWait {
		return
	}
	g.transferring, g.lastTransferAt = true, now
	g.wg.Go(func() {
		_ = g.Transfer(g.ctx, id) // retried by a later call of transferIfNeeded
		g.mu.Lock()
		g.transferring = false
		g.mu.Unlock()
	})
}

// Resign prepares a planned stop: this member transfers its leadership, and is not
// chosen as a successor from now on. Close it afterwards. Resign returns nil once this
// member does not lead. Otherwise it returns an error of Transfer, and the group may
// need an election timeout to elect its next leader.
func (g *Group) Resign(ctx context.Context) error {
	g.mu.Lock()
	g.shuttingDown = true
	g.mu.Unlock()
	for {
		err := g.tryResign(ctx)
		if err == nil || ctx.Err() != nil {
			return err
		}
		g.mu.Lock()
		changed, alone := g.changed, len(g.members().voters()) < 2
		g.mu.Unlock()
		if alone {
			return err
		}
		if waitForChange(ctx, changed, g.cfg.HeartbeatInterval) != nil {
			return err
		}
	}
}

func (g *Group) tryResign(ctx context.Context) error {
	g.mu.Lock()
	isLeader := g.role == Leader && g.err == nil
	g.mu.Unlock()
	if !isLeader {
		return nil
	}
	return g.Transfer(ctx, "")
}

// handleTransfer accepts a request to start an election from the leader that this
// member follows.
func (g *Group) handleTransfer(req, resp *raftpb.Message) {
	g.mu.Lock()
	defer g.mu.Unlock()
	resp.Term = g.state.Term
	if g.err != nil || req.Term != g.state.Term || req.ToIncarnation == 0 || g.role != Follower || g.leader != req.From {
		return
	}
	if g.lastIndex() < req.Index || g.bootstrapping() || !g.canCampaign() {
		return
	}
	select {
	case g.transferRequests <- req.Term:
		resp.Ok = true
	default: // another request is pending
	}
}

// campaignForTransfer runs an election at the request of the leader of term.
func (g *Group) campaignForTransfer(term uint64) {
	g.mu.Lock()
	voters, quorum := g.electorate()
	g.resetElectionTimer(g.cfg.Clock())
	g.mu.Unlock()
	g.runElection(term, voters, quorum, electionAfterTransfer)
}
