package raft

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/raft/raftpb"
)

// earlyStep spaces the early elections of the members, so that two of them seldom
// split the votes. A pre-vote over today's links takes a few milliseconds.
const earlyStep = 40 * time.Millisecond

// early holds an election before the election timeout has passed if every voter
// has restarted since it last heard from a leader. After a restart a member keeps
// quiet for an election timeout, because it may have confirmed the lease of a
// leader that lives on. When all voters have restarted, that leader has too, and
// there is no lease to wait for.
func (g *Group) early() {
	g.mu.Lock()
	voters := g.members().voters()
	g.mu.Unlock()
	rank := slices.IndexFunc(voters, func(m Member) bool { return m.ID == g.cfg.ID })
	if rank < 0 || len(voters) < 2 {
		return
	}
	pause := time.Duration(rank+1) * earlyStep
	for waited := time.Duration(0); waited < g.cfg.Election; waited += pause {
		t := time.NewTimer(pause)
		select {
		case <-g.ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
		g.mu.Lock()
		met := g.met || g.role != Follower
		g.mu.Unlock()
		if met {
			return
		}
		if g.campaignEarly() {
			return
		}
		pause = time.Duration(len(voters)) * earlyStep
	}
}

// campaignEarly asks all voters whether they have restarted, and holds the
// election if they have.
func (g *Group) campaignEarly() bool {
	g.mu.Lock()
	if g.err != nil || !g.mayStand() {
		g.mu.Unlock()
		return false
	}
	voters, need := g.electorate()
	term := g.state.Term
	req := g.newMessage(raftpb.Kind_KIND_PRE_VOTE)
	req.Term, req.Index, req.LogTerm, req.Transfer = term+1, g.last(), g.termAt(g.last()), true
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(g.ctx, g.cfg.Election)
	defer cancel()
	answers := make(chan earlyAnswer, len(voters))
	for _, m := range voters {
		if m.ID != g.cfg.ID {
			to := proto.CloneOf(req)
			to.ToIncarnation = m.Incarnation
			g.wg.Go(func() { answers <- g.askEarly(ctx, m, to) })
		}
	}
	granted := 1
	for range len(voters) - 1 {
		a := <-answers
		if !a.restarted {
			return false
		}
		if a.granted {
			granted++
		}
	}
	if granted < need {
		return false
	}
	g.elect(term, voters, need, true)
	return true
}

// earlyAnswer is what one voter says to an early election.
type earlyAnswer struct{ restarted, granted bool }

// askEarly asks one voter. One that answers under another incarnation has lost its
// state, so the member that voted is gone.
func (g *Group) askEarly(ctx context.Context, m Member, req *raftpb.Message) earlyAnswer {
	resp, err := g.cfg.Transport.Call(ctx, m.ID, req)
	if err != nil || resp.From != m.ID {
		return earlyAnswer{}
	}
	if resp.Stranger {
		return earlyAnswer{restarted: resp.FromIncarnation != m.Incarnation}
	}
	return earlyAnswer{restarted: resp.Restarted, granted: resp.Ok}
}
