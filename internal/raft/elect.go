package raft

import (
	"context"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/raft/raftpb"
)

// ticksPerHeartbeat is how often the time limits are checked at most.
const ticksPerHeartbeat = 5

// voteTimeout bounds a vote, which a voter syncs before it answers. A sync takes
// up to several hundred milliseconds on a busy disk.
const voteTimeout = time.Second

// tick checks the time limits.
func (g *Group) tick() {
	t := time.NewTimer(g.cfg.Heartbeat / ticksPerHeartbeat)
	defer t.Stop()
	for {
		select {
		case <-g.ctx.Done():
			return
		case term := <-g.standNow:
			g.takeOver(term)
			t.Reset(g.untilCheck())
			continue
		case <-t.C:
		}
		now := g.cfg.Clock()
		g.mu.Lock()
		stalled := !g.writing.IsZero() && now.Sub(g.writing) > maxStall
		// A leader without a majority for a whole election timeout beyond its
		// lease stops taking proposals, so that callers look elsewhere.
		silent := g.role == Leader && now.After(g.leaseUntil(now).Add(g.cfg.Election)) && now.After(g.electedAt.Add(2*g.cfg.Election))
		if g.role == Leader && (silent || stalled) {
			g.follow("")
			g.delayElection(now)
		}
		g.pass(now)
		stand := g.role != Leader && !stalled && !now.Before(g.electAt) && g.mayStand()
		g.mu.Unlock()
		if stand {
			g.campaign(now)
		}
		t.Reset(g.untilCheck())
	}
}

// untilCheck returns how long no time limit can pass. An election that is put
// off meanwhile is never due earlier than one election timeout from now, so an idle
// follower wakes about once in that time.
func (g *Group) untilCheck() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now, least := g.cfg.Clock(), g.cfg.Heartbeat/ticksPerHeartbeat
	if g.role != Leader {
		return max(least, min(g.electAt.Sub(now), g.cfg.Election))
	}
	silent := g.leaseUntil(now).Add(g.cfg.Election)
	return max(least, min(silent.Sub(now), g.cfg.Heartbeat))
}

func (g *Group) mayStand() bool {
	if g.forming() {
		// Every member must grant the first election, so two candidates would
		// block each other; with slow syncs that went on for tens of seconds.
		return len(g.cfg.Members) > 0 && slices.Min(g.cfg.Members) == g.cfg.ID
	}
	m, ok := g.self()
	return ok && !m.Learner
}

// delayElection draws the next time to stand for election. The caller holds mu.
func (g *Group) delayElection(now time.Time) {
	e := g.cfg.Election
	g.electAt = now.Add(e + time.Duration(g.rng.Int64N(int64(e)*3/4)))
}

// follow gives up any leadership. The outcome of proposals in the log is
// unknown from then on; those not yet in the log have no effect. The caller holds mu.
func (g *Group) follow(leader string) {
	g.role, g.leader = Follower, leader
	if g.resign != nil {
		g.resign()
		g.resign = nil
	}
	g.peers, g.target = nil, ""
	for index, p := range g.waiters {
		p.finish(result{err: ErrUnknown})
		delete(g.waiters, index)
	}
	for _, p := range g.queue {
		p.finish(result{err: g.refusal()})
	}
	g.queue, g.queueBytes = nil, 0
	g.broadcast()
}

// refusal is the answer to a proposal that this member did not take.
func (g *Group) refusal() error {
	if g.err != nil {
		return ErrStopped
	}
	return &NotLeader{g.leader}
}

// enter moves to a later term. The caller holds io and mu.
func (g *Group) enter(term uint64, vote string) bool {
	s := &raftpb.State{Term: term, Vote: vote, Incarnation: g.state.Incarnation}
	if err := g.saveState(s); err != nil {
		g.fail(err)
		return false
	}
	return true
}

// observe follows a term that another member has reached.
func (g *Group) observe(term uint64) {
	g.io.Lock()
	defer g.io.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.err == nil && term > g.state.Term && g.enter(term, "") {
		g.follow("")
	}
}

// message returns a request with the fields that all have.
func (g *Group) message(k raftpb.Kind) *raftpb.Message {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.newMessage(k)
}

func (g *Group) newMessage(k raftpb.Kind) *raftpb.Message {
	return &raftpb.Message{
		Kind: k, Group: g.cfg.Group, Term: g.state.Term, From: g.cfg.ID, FromIncarnation: g.state.Incarnation,
	}
}

// electorate returns whom to ask for votes and how many must grant. A group
// that is forming needs every member: only then is it sure that none of them has
// forgotten a vote, and the leader learns all incarnations.
func (g *Group) electorate() (members, int) {
	if g.forming() {
		var all members
		for _, id := range g.cfg.Members {
			all = append(all, Member{ID: id})
		}
		return all, len(all)
	}
	v := g.members().voters()
	return v, len(v)/2 + 1
}

// campaign asks whether an election could be won, and if so holds it.
func (g *Group) campaign(now time.Time) {
	g.mu.Lock()
	voters, need := g.electorate()
	term := g.state.Term
	req := g.newMessage(raftpb.Kind_KIND_PRE_VOTE)
	req.Term, req.Index, req.LogTerm = term+1, g.last(), g.termAt(g.last())
	g.delayElection(now)
	g.mu.Unlock()
	if granted := g.poll(req, voters, need, g.cfg.Election); len(granted) < need {
		return
	}
	g.elect(term, voters, need, false)
}

// elect holds the election of the term after term. A transfer needs no pre-vote
// and no lost leader, as the leader of term has given up or all voters have restarted.
func (g *Group) elect(term uint64, voters members, need int, transfer bool) {
	var req *raftpb.Message
	g.io.Lock()
	g.mu.Lock()
	stands := g.err == nil && g.state.Term == term && g.role != Leader && (transfer || g.leaderLost(g.cfg.Clock())) &&
		g.enter(term+1, voteFor(g.cfg.ID, g.state.Incarnation))
	if stands {
		g.follow("")
		g.role, g.met = Candidate, true
		req = g.newMessage(raftpb.Kind_KIND_VOTE)
		req.Index, req.LogTerm, req.Transfer = g.last(), g.termAt(g.last()), transfer
	}
	g.mu.Unlock()
	g.io.Unlock()
	if !stands {
		return
	}
	if granted := g.poll(req, voters, need, max(g.cfg.Election, voteTimeout)); len(granted) >= need {
		g.win(term+1, granted)
	}
}

func voteFor(id string, incarnation uint64) string { return fmt.Sprintf("%s/%d", id, incarnation) }

// leaderLost reports whether no leader can hold a lease that this member has confirmed.
func (g *Group) leaderLost(now time.Time) bool {
	return g.role != Leader && now.Sub(g.heard) >= g.cfg.Election
}

// poll asks the voters and returns those that granted, with their incarnations,
// as soon as there are need of them or no longer can be.
func (g *Group) poll(req *raftpb.Message, voters members, need int, most time.Duration) members {
	ctx, cancel := context.WithTimeout(g.ctx, most)
	defer cancel()
	answers := make(chan Member, len(voters))
	asked := 0
	granted := members{{ID: g.cfg.ID, Incarnation: req.FromIncarnation}}
	for _, m := range voters {
		if m.ID == g.cfg.ID {
			continue
		}
		asked++
		to := proto.CloneOf(req)
		to.ToIncarnation = m.Incarnation
		g.wg.Go(func() { answers <- g.askVoter(ctx, m, to) })
	}
	for ; len(granted) < need && len(granted)+asked >= need; asked-- {
		if m := <-answers; m.ID != "" {
			granted = append(granted, m)
		}
	}
	return granted
}

// askVoter asks one voter and returns it with the incarnation that answered, or
// the zero Member if it did not grant.
func (g *Group) askVoter(ctx context.Context, m Member, req *raftpb.Message) Member {
	resp, err := g.cfg.Transport.Call(ctx, m.ID, req)
	if err != nil || resp.From != m.ID {
		return Member{}
	}
	if resp.Stranger {
		g.mu.Lock()
		g.stranger = true
		g.mu.Unlock()
	}
	if resp.Stranger || m.Incarnation != 0 && m.Incarnation != resp.FromIncarnation {
		return Member{}
	}
	if resp.Term > req.Term {
		g.observe(resp.Term)
	}
	if !resp.Ok {
		return Member{}
	}
	return Member{ID: m.ID, Incarnation: resp.FromIncarnation}
}

// win makes this member the leader and appends its first entry: the membership
// of a group that is forming, or an empty one, whose commitment confirms all
// entries of earlier terms.
func (g *Group) win(term uint64, granted members) {
	first := &proposal{kind: raftpb.EntryKind_ENTRY_KIND_EMPTY}
	g.io.Lock()
	defer g.io.Unlock()
	g.mu.Lock()
	if g.err != nil || g.state.Term != term || g.role != Candidate {
		g.mu.Unlock()
		return
	}
	if g.forming() {
		first.kind = raftpb.EntryKind_ENTRY_KIND_MEMBERS
		first.data, _ = proto.Marshal(granted.proto())
	}
	now := g.cfg.Clock()
	g.role, g.leader, g.stranger, g.electedAt = Leader, g.cfg.ID, false, now
	g.stable, g.termStart = g.last(), g.last()+1
	g.lead, g.resign = context.WithCancel(g.ctx)
	g.peers = map[string]*peer{}
	batch := g.admit([]*proposal{first})
	g.mu.Unlock()
	g.persist(batch)
}
