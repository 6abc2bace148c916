package raft

import (
	"context"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/raft/raftpb"
)

// ticksPerHeartbeat is the maximum number of timer checks per heartbeat interval.
const ticksPerHeartbeat = 5

// voteTimeout is the minimum timeout of a vote request. A voter syncs its vote
// before it answers, which takes up to several hundred milliseconds on a busy disk.
const voteTimeout = time.Second

// runTimers checks the election, lease and stall timeouts, and starts elections
// and leadership transfers.
func (g *Group) runTimers() {
	t := time.NewTimer(g.cfg.HeartbeatInterval / ticksPerHeartbeat)
	defer t.Stop()
	for {
		select {
		case <-g.ctx.Done():
			return
		case term := <-g.transferRequests:
			g.campaignForTransfer(term)
			t.Reset(g.nextTimerDelay())
			continue
		case <-t.C:
		}
		now := g.cfg.Clock()
		g.mu.Lock()
		stalled := !g.writeStarted.IsZero() && now.Sub(g.writeStarted) > maxWriteStall
		// A leader that has had no quorum for an election timeout after its lease
		// expired rejects proposals, so that callers try other members.
		lostQuorum := g.role == Leader && now.After(g.leaseUntil(now).Add(g.cfg.ElectionTimeout)) && now.After(g.electedAt.Add(2*g.cfg.ElectionTimeout))
		if g.role == Leader && (lostQuorum || stalled) {
			g.becomeFollower("")
			g.resetElectionTimer(now)
		}
		if g.role == Follower && g.leader != "" && !now.Before(g.electionDeadline) {
			// A member that has been removed does not hear from later leaders, and its callers
			// must look for them.
			g.becomeFollower("")
		}
		g.transferIfNeeded(now)
		startElection := g.role != Leader && !stalled && !now.Before(g.electionDeadline) && g.canCampaign()
		g.mu.Unlock()
		if startElection {
			g.campaign(now)
		}
		t.Reset(g.nextTimerDelay())
	}
}

// nextTimerDelay returns the time until a timeout can expire. Resetting the election
// timer moves it at least one election timeout into the future, so an idle follower
// wakes about once per election timeout.
func (g *Group) nextTimerDelay() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now, minDelay := g.cfg.Clock(), g.cfg.HeartbeatInterval/ticksPerHeartbeat
	if g.role != Leader {
		return max(minDelay, min(g.electionDeadline.Sub(now), g.cfg.ElectionTimeout))
	}
	quorumDeadline := g.leaseUntil(now).Add(g.cfg.ElectionTimeout)
	return max(minDelay, min(quorumDeadline.Sub(now), g.cfg.HeartbeatInterval))
}

func (g *Group) canCampaign() bool {
	if g.bootstrapping() {
		// The first election needs the votes of all members, so two candidates
		// would block each other, with slow syncs for tens of seconds.
		return len(g.cfg.Members) > 0 && slices.Min(g.cfg.Members) == g.cfg.ID
	}
	m, ok := g.self()
	return ok && !m.Learner
}

// resetElectionTimer sets the election deadline to a random time from now. The
// caller holds mu.
func (g *Group) resetElectionTimer(now time.Time) {
	e := g.cfg.ElectionTimeout
	g.electionDeadline = now.Add(e + time.Duration(g.rng.Int64N(int64(e)*3/4)))
}

// becomeFollower makes this member a follower of leader, or of no leader if it is
// empty. Proposals in the log get ErrUnknown; queued proposals are rejected. The
// caller holds mu.
func (g *Group) becomeFollower(leader string) {
	g.role, g.leader = Follower, leader
	if g.cancelLeader != nil {
		g.cancelLeader()
		g.cancelLeader = nil
	}
	g.peers, g.transferTarget = nil, ""
	for index, p := range g.waiters {
		p.complete(result{err: ErrUnknown})
		delete(g.waiters, index)
	}
	for _, p := range g.queue {
		p.complete(result{err: g.rejectionError()})
	}
	g.queue, g.queueBytes = nil, 0
	g.broadcast()
}

// rejectionError returns the error for a proposal that this member does not accept.
func (g *Group) rejectionError() error {
	if g.err != nil {
		return ErrStopped
	}
	return &NotLeaderError{g.leader}
}

// advanceTerm saves a term and the vote in it. It reports whether that succeeded; if
// not, the member stops. The caller holds diskMu and mu.
func (g *Group) advanceTerm(term uint64, vote string) bool {
	s := &raftpb.State{Term: term, Vote: vote, Incarnation: g.state.Incarnation}
	if err := g.saveState(s); err != nil {
		g.fail(err)
		return false
	}
	return true
}

// observeTerm moves to a later term that another member has reached.
func (g *Group) observeTerm(term uint64) {
	g.diskMu.Lock()
	defer g.diskMu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.err == nil && term > g.state.Term && g.advanceTerm(term, "") {
		g.becomeFollower("")
	}
}

// newMessage returns a request with the fields common to all kinds.
func (g *Group) newMessage(k raftpb.Kind) *raftpb.Message {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.newMessageLocked(k)
}

// newMessageLocked is newMessage for a caller that holds mu.
func (g *Group) newMessageLocked(k raftpb.Kind) *raftpb.Message {
	return &raftpb.Message{
		Kind: k, Group: g.cfg.Group, Term: g.state.Term, From: g.cfg.ID, FromIncarnation: g.state.Incarnation,
	}
}

// electorate returns the voters and the number of votes needed. The first election
// of a group needs the votes of all members: only then is it certain that no member
// has lost a vote, and the leader learns all incarnations.
func (g *Group) electorate() (members, int) {
	if g.bootstrapping() {
		var all members
		for _, id := range g.cfg.Members {
			all = append(all, Member{ID: id})
		}
		return all, len(all)
	}
	v := g.members().voters()
	return v, len(v)/2 + 1
}

// campaign runs a pre-vote and, if a quorum grants it, an election.
func (g *Group) campaign(now time.Time) {
	g.mu.Lock()
	voters, quorum := g.electorate()
	term := g.state.Term
	req := g.newMessageLocked(raftpb.Kind_KIND_PRE_VOTE)
	req.Term, req.Index, req.LogTerm = term+1, g.lastIndex(), g.termAt(g.lastIndex())
	g.resetElectionTimer(now)
	g.mu.Unlock()
	if granted := g.collectVotes(req, voters, quorum, g.cfg.ElectionTimeout); len(granted) < quorum {
		return
	}
	g.runElection(term, voters, quorum, electionAfterTimeout)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.role == Candidate {
		// The wait for a vote may outlast the election timeout. Candidates that waited for
		// the same stalled member must not try again at the same time.
		g.electionDeadline = g.cfg.Clock().Add(time.Duration(g.rng.Int64N(int64(g.cfg.ElectionTimeout))))
	}
}

// electionReason is why a member may run an election.
type electionReason uint8

const (
	electionAfterTimeout  electionReason = iota
	electionAfterTransfer                // the leader has given up leadership
	electionAfterRestart                 // all voters have restarted
)

// mayElect reports whether an election may start now. The caller holds mu.
func (g *Group) mayElect(reason electionReason) bool {
	switch reason {
	case electionAfterTransfer:
		return true
	case electionAfterRestart:
		// The voters may have elected a leader after they answered the pre-vote. While
		// this member has not heard from it, its log lacks that leader's first entry, so
		// that no majority votes for this member.
		return !g.participated
	}
	return g.confirmedLeaseExpired(g.cfg.Clock())
}

// runElection runs the election for the term after term. Except after a timeout no
// pre-vote is needed and the voters ignore the leases that they have confirmed.
func (g *Group) runElection(term uint64, voters members, quorum int, reason electionReason) {
	var req *raftpb.Message
	g.diskMu.Lock()
	g.mu.Lock()
	started := g.err == nil && g.state.Term == term && g.role != Leader && g.mayElect(reason) &&
		g.advanceTerm(term+1, formatVote(g.cfg.ID, g.state.Incarnation))
	if started {
		g.becomeFollower("")
		g.role, g.participated = Candidate, true
		req = g.newMessageLocked(raftpb.Kind_KIND_VOTE)
		req.Index, req.LogTerm, req.Transfer = g.lastIndex(), g.termAt(g.lastIndex()), reason != electionAfterTimeout
	}
	g.mu.Unlock()
	g.diskMu.Unlock()
	if !started {
		return
	}
	if granted := g.collectVotes(req, voters, quorum, max(g.cfg.ElectionTimeout, voteTimeout)); len(granted) >= quorum {
		g.becomeLeader(term+1, granted)
	}
}

func formatVote(id string, incarnation uint64) string { return fmt.Sprintf("%s/%d", id, incarnation) }

// confirmedLeaseExpired reports whether every lease that this member has confirmed
// has expired. It is false on a leader. The caller holds mu.
func (g *Group) confirmedLeaseExpired(now time.Time) bool {
	return g.role != Leader && now.Sub(g.lastLeaderContact) >= g.cfg.ElectionTimeout
}

// collectVotes asks the voters in parallel and returns those that granted, with
// their incarnations, as soon as a quorum has granted or can no longer be reached.
func (g *Group) collectVotes(req *raftpb.Message, voters members, quorum int, timeout time.Duration) members {
	ctx, cancel := context.WithTimeout(g.ctx, timeout)
	defer cancel()
	responses := make(chan Member, len(voters))
	pending := 0
	granted := members{{ID: g.cfg.ID, Incarnation: req.FromIncarnation}}
	for _, m := range voters {
		if m.ID == g.cfg.ID {
			continue
		}
		pending++
		voterReq := proto.CloneOf(req)
		voterReq.ToIncarnation = m.Incarnation
		g.wg.Go(func() { responses <- g.requestVote(ctx, m, voterReq) })
	}
	timedOut := false // a transport may return after ctx ends
	for ; !timedOut && len(granted) < quorum && len(granted)+pending >= quorum; pending-- {
		select {
		case m := <-responses:
			if m.ID != "" {
				granted = append(granted, m)
			}
		case <-ctx.Done():
			timedOut = true
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastElection = Election{
		Term: req.Term, At: g.cfg.Clock(), PreVote: req.Kind == raftpb.Kind_KIND_PRE_VOTE, Voters: voters.ids(), Granted: granted.ids(), Needed: quorum,
	}
	return granted
}

// requestVote asks one voter and returns it with the incarnation that answered, or
// the zero Member if the vote was not granted.
func (g *Group) requestVote(ctx context.Context, m Member, req *raftpb.Message) Member {
	resp, err := g.cfg.Transport.Call(ctx, m.ID, req)
	if err != nil || resp.From != m.ID {
		return Member{}
	}
	if resp.Stranger {
		g.mu.Lock()
		g.incarnationMismatch = true
		g.mu.Unlock()
	}
	if resp.Stranger || m.Incarnation != 0 && m.Incarnation != resp.FromIncarnation {
		return Member{}
	}
	term := req.Term
	if req.Kind == raftpb.Kind_KIND_PRE_VOTE {
		term-- // a voter that has reached the term asked for never grants a pre-vote for it
	}
	if resp.Term > term {
		g.observeTerm(resp.Term)
	}
	if !resp.Ok {
		return Member{}
	}
	return Member{ID: m.ID, Incarnation: resp.FromIncarnation}
}

// becomeLeader makes this member the leader and appends the first entry of its
// term: the membership in the first election of a group, otherwise an empty entry,
// which commits all entries of earlier terms once it is committed.
func (g *Group) becomeLeader(term uint64, granted members) {
	first := &proposal{kind: raftpb.EntryKind_ENTRY_KIND_EMPTY}
	g.diskMu.Lock()
	defer g.diskMu.Unlock()
	g.mu.Lock()
	if g.err != nil || g.state.Term != term || g.role != Candidate {
		g.mu.Unlock()
		return
	}
	if g.bootstrapping() {
		first.kind = raftpb.EntryKind_ENTRY_KIND_MEMBERS
		first.data, _ = proto.Marshal(granted.proto())
	}
	now := g.cfg.Clock()
	g.role, g.leader, g.incarnationMismatch, g.electedAt = Leader, g.cfg.ID, false, now
	g.stable, g.termStartIndex = g.lastIndex(), g.lastIndex()+1
	g.leaderCtx, g.cancelLeader = context.WithCancel(g.ctx)
	g.peers = map[string]*peer{}
	b := g.appendProposals([]*proposal{first})
	g.mu.Unlock()
	g.persistBatch(b)
}
