package raft

import (
	"context"
	"slices"
	"strings"
	"time"

	"cranberrypath.example/cranberrypath/internal/raft/raftpb"
)

// freshHeartbeats is how many heartbeats old the last contact of a member may
// be that gets the leadership.
const freshHeartbeats = 3

// Transfer passes the leadership to the voter called id, or to the most
// up-to-date one if id is empty, and returns when a later leader is known here.
// Proposals wait meanwhile, and get *NotLeader with the new leader or go on here if
// the member does not catch up within an election timeout. The errors are
// *NotLeader, ErrStopped, that of the context, and one of class Error if no voter
// takes over.
//
// The leader gives up its lease before it asks the member to stand. If the
// request or the election fails, the group elects a leader as after a crash.
func (g *Group) Transfer(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, max(2*g.cfg.Election, 2*voteTimeout))
	defer cancel()
	req, err := g.handOver(ctx, id)
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
		return Error.New("%q does not take the leadership", to)
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
		if err := wait(ctx, changed, g.cfg.Heartbeat); err != nil {
			return err
		}
	}
}

// handOver waits until the member has the whole log and every proposal is
// answered, and gives up the leadership. It returns the request for the member,
// whose name is in Leader.
func (g *Group) handOver(ctx context.Context, id string) (*raftpb.Message, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.role != Leader || g.err != nil {
		return nil, g.refusal()
	}
	if g.target != "" {
		return nil, Error.New("the leadership is being passed to %q already", g.target)
	}
	now, term := g.cfg.Clock(), g.state.Term
	p := g.successor(id, now)
	if p == nil {
		return nil, Error.New("no other voter is caught up and in contact")
	}
	g.target = p.id
	limit, cancel := context.WithTimeout(ctx, g.cfg.Election)
	defer cancel()
	for {
		if g.role != Leader || g.err != nil || g.state.Term != term {
			return nil, g.refusal()
		}
		if g.peers[p.id] == p && p.match >= g.last() && g.applied >= g.last() && len(g.waiters) == 0 {
			break
		}
		changed := g.changed
		g.mu.Unlock()
		err := wait(limit, changed, g.cfg.Heartbeat)
		g.mu.Lock()
		if err != nil && g.role == Leader && g.state.Term == term {
			g.target = ""
			signal(g.wake)
			return nil, Error.New("%q did not catch up in time", p.id)
		}
	}
	req := g.newMessage(raftpb.Kind_KIND_TRANSFER)
	req.ToIncarnation, req.Index, req.Leader = p.incarnation, g.last(), p.id
	g.follow(p.id)
	g.delayElection(g.cfg.Clock())
	return req, nil
}

// successor returns the member that may lead next: the one called id or, if
// that is empty, the one with the most of the log. It returns nil if there is none.
// The caller holds mu.
func (g *Group) successor(id string, now time.Time) *peer {
	var best *peer
	for _, m := range g.members().voters() {
		p := g.peers[m.ID]
		if p == nil || id != "" && m.ID != id || p.leaving || p.stranger || p.match < g.commit {
			continue
		}
		if now.Sub(p.contact) > freshHeartbeats*g.cfg.Heartbeat {
			continue
		}
		if best == nil || p.match > best.match {
			best = p
		}
	}
	return best
}

// preferred returns the voter that should lead, so that the leaders of many
// groups are spread over the members. The caller holds mu.
func (g *Group) preferred() string {
	v := g.members().voters()
	if len(v) == 0 {
		return ""
	}
	slices.SortFunc(v, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return v[int(g.cfg.Group)%len(v)].ID
}

// pass starts a transfer if this member leads but should not: it is about to
// stop, or another member is preferred and healthy. A leader stays at least
// cfg.Spread, so that an unstable member does not cause many changes. The caller
// holds mu.
func (g *Group) pass(now time.Time) {
	if g.role != Leader || g.err != nil || g.passing || g.commit < g.termStart {
		return
	}
	id, after := "", g.cfg.Heartbeat
	if !g.leaving {
		id, after = g.preferred(), g.cfg.Spread
		if after == 0 || id == g.cfg.ID || now.Sub(g.electedAt) < after || g.successor(id, now) == nil {
			return
		}
	}
	if now.Sub(g.passedAt) < after {
		return
	}
	g.passing, g.passedAt = true, now
	g.wg.Go(func() {
		_ = g.Transfer(g.ctx, id) // tried again later
		g.mu.Lock()
		g.passing = false
		g.mu.Unlock()
	})
}

// Resign prepares a planned stop: this member passes its leadership on and is
// not preferred from now on. Close it afterwards. It returns nil if this member does not
// lead; the other errors are those of Transfer, and tell that the group may need an
// election timeout to find its next leader.
func (g *Group) Resign(ctx context.Context) error {
	g.mu.Lock()
	g.leaving = true
	g.mu.Unlock()
	for {
		err := g.resignOnce(ctx)
		if err == nil || ctx.Err() != nil {
			return err
		}
		g.mu.Lock()
		changed, alone := g.changed, len(g.members().voters()) < 2
		g.mu.Unlock()
		if alone {
			return err
		}
		if wait(ctx, changed, g.cfg.Heartbeat) != nil {
			return err
		}
	}
}

func (g *Group) resignOnce(ctx context.Context) error {
	g.mu.Lock()
	leads := g.role == Leader && g.err == nil
	g.mu.Unlock()
	if !leads {
		return nil
	}
	return g.Transfer(ctx, "")
}

// handleTransfer accepts the request of the leader that this member follows to
// stand for election.
func (g *Group) handleTransfer(req, resp *raftpb.Message) {
	g.mu.Lock()
	defer g.mu.Unlock()
	resp.Term = g.state.Term
	if g.err != nil || req.Term != g.state.Term || req.ToIncarnation == 0 || g.role != Follower || g.leader != req.From {
		return
	}
	if g.last() < req.Index || g.forming() || !g.mayStand() {
		return
	}
	select {
	case g.standNow <- req.Term:
		resp.Ok = true
	default: // one is waiting
	}
}

// takeOver stands for election at the request of the leader of term.
func (g *Group) takeOver(term uint64) {
	g.mu.Lock()
	voters, need := g.electorate()
	g.delayElection(g.cfg.Clock())
	g.mu.Unlock()
	g.elect(term, voters, need, true)
}
