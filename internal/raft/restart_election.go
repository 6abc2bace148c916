package raft

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/raft/raftpb"
)

// restartElectionDelay staggers the members' elections after a restart, so that
// votes are rarely split. A pre-vote over a link takes a few milliseconds.
const restartElectionDelay = 40 * time.Millisecond

// electAfterRestart starts an election before the election timeout expires if all
// voters have restarted since they last heard from a leader. Normally a restarted
// member waits for an election timeout, because it may have confirmed the lease of a
// leader that is still running. If all voters have restarted, so has that leader,
// and there is no lease to wait for.
func (g *Group) electAfterRestart() {
	g.mu.Lock()
	voters := g.members().voters()
	g.mu.Unlock()
	rank := slices.IndexFunc(voters, func(m Member) bool { return m.ID == g.cfg.ID })
	if rank < 0 || len(voters) < 2 {
		return
	}
	delay := time.Duration(rank+1) * restartElectionDelay
	for elapsed := time.Duration(0); elapsed < g.cfg.ElectionTimeout; elapsed += delay {
		t := time.NewTimer(delay)
		select {
		case <-g.ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
		g.mu.Lock()
		participated := g.participated || g.role != Follower
		g.mu.Unlock()
		if participated {
			return
		}
		if g.campaignAfterRestart() {
			return
		}
		delay = time.Duration(len(voters)) * restartElectionDelay
	}
}

// campaignAfterRestart asks all voters whether they have restarted, and if so runs
// the election. It reports whether it did.
func (g *Group) campaignAfterRestart() bool {
	g.mu.Lock()
	if g.err != nil || !g.canCampaign() {
		g.mu.Unlock()
		return false
	}
	voters, quorum := g.electorate()
	asked := append(slices.Clone(voters), g.possibleRemovedLeaders()...)
	term := g.state.Term
	req := g.newMessageLocked(raftpb.Kind_KIND_PRE_VOTE)
	req.Term, req.Index, req.LogTerm, req.Transfer = term+1, g.lastIndex(), g.termAt(g.lastIndex()), true
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(g.ctx, g.cfg.ElectionTimeout)
	defer cancel()
	votes := make(chan restartVote, len(asked))
	pending := 0
	for i, m := range asked {
		if m.ID != g.cfg.ID {
			pending++
			voterReq := proto.CloneOf(req)
			voterReq.ToIncarnation = m.Incarnation
			g.wg.Go(func() {
				vote := g.requestRestartVote(ctx, m, voterReq)
				vote.granted = vote.granted && i < len(voters)
				votes <- vote
			})
		}
	}
	granted := 1
	for range pending {
		vote := <-votes
		if !vote.restarted {
			return false
		}
		if vote.granted {
			granted++
		}
	}
	if granted < quorum {
		return false
	}
	g.runElection(term, voters, quorum, electionAfterRestart)
	return true
}

// possibleRemovedLeaders returns the voters that the last membership change removed, if
// one of them may lead: a leader that removes itself keeps its lease until the change is
// committed. A later leader was elected after that lease. The caller holds mu.
func (g *Group) possibleRemovedLeaders() members {
	n := len(g.memberships)
	if n < 2 || g.memberships[n-1].index <= g.commit || g.termAt(g.memberships[n-1].index) != g.termAt(g.lastIndex()) {
		return nil
	}
	return slices.DeleteFunc(g.memberships[n-2].members.voters(), func(m Member) bool {
		_, kept := g.members().find(m.ID)
		return kept
	})
}

// restartVote is the response of one voter to the pre-vote after a restart.
type restartVote struct{ restarted, granted bool }

// requestRestartVote asks one voter. A voter that answers with another incarnation
// has lost its state, so it counts as restarted but grants no vote.
func (g *Group) requestRestartVote(ctx context.Context, m Member, req *raftpb.Message) restartVote {
	resp, err := g.cfg.Transport.Call(ctx, m.ID, req)
	if err != nil || resp.From != m.ID {
		return restartVote{}
	}
	if resp.Stranger {
		return restartVote{restarted: resp.FromIncarnation != m.Incarnation}
	}
	return restartVote{restarted: resp.Restarted, granted: resp.Ok}
}
