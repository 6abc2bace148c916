package raft

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/raft/raftpb"
)

// peer is the leader's replication state for another member, guarded by mu.
type peer struct {
	id                    string
	incarnation           uint64
	nextIndex, matchIndex uint64
	lastContact           time.Time // when the last confirmed request was sent
	addedAt               time.Time // when this leader began to replicate to the member
	incarnationMismatch   bool
	shuttingDown          bool
	promoting             bool
	sentCommit            uint64 // commit index last sent to the member and confirmed
	needsProbe            bool   // a request was not confirmed: send an append even if it is empty
	wake                  chan struct{}
	stop                  context.CancelFunc
}

// batch holds consecutive entries that are in memory but not yet on this disk.
type batch struct {
	first   uint64
	term    uint64
	entries []*raftpb.Entry
}

// runWriter appends queued proposals to the log. Proposals that arrive during a
// sync share the next one.
func (g *Group) runWriter() {
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-g.writeSignal:
		}
		g.diskMu.Lock()
		g.mu.Lock()
		b := g.appendProposals(g.dequeueBatch())
		g.writeStarted = g.cfg.Clock()
		g.mu.Unlock()
		g.persistBatch(b)
		g.mu.Lock()
		g.writeStarted = time.Time{}
		g.mu.Unlock()
		g.diskMu.Unlock()
	}
}

// dequeueBatch removes up to maxBatchBytes of proposals from the queue. It returns
// none during a leadership transfer. The caller holds mu.
func (g *Group) dequeueBatch() []*proposal {
	if g.transferTarget != "" {
		return nil
	}
	n, size := 0, 0
	for n < len(g.queue) && (n == 0 || size+len(g.queue[n].data) <= maxBatchBytes) {
		size += len(g.queue[n].data)
		n++
	}
	out := g.queue[:n:n]
	g.queue = g.queue[n:]
	g.queueBytes -= size
	if len(g.queue) > 0 {
		signal(g.writeSignal)
	}
	return out
}

// appendProposals appends proposals to the entries in memory, so that they are
// replicated while they are written to this member's disk. The caller holds diskMu
// and mu.
func (g *Group) appendProposals(proposals []*proposal) batch {
	b := batch{first: g.lastIndex() + 1, term: g.state.Term}
	for _, p := range proposals {
		if g.role != Leader || g.err != nil {
			p.complete(result{err: g.rejectionError()})
			continue
		}
		if !g.prepareMembershipChange(p) {
			continue
		}
		e := &raftpb.Entry{Index: g.lastIndex() + 1, Term: g.state.Term, Kind: p.kind, Data: p.data}
		g.entries = append(g.entries, e)
		b.entries = append(b.entries, e)
		if err := g.recordMembership(e); err != nil {
			g.fail(err)
			return batch{}
		}
		if p.done != nil {
			p.term = e.Term
			g.waiters[e.Index] = p
		}
	}
	if len(b.entries) > 0 {
		g.updatePeers()
		g.wakePeers()
	}
	return b
}

// persistBatch writes a batch to the log. The caller holds diskMu.
func (g *Group) persistBatch(b batch) {
	if len(b.entries) == 0 {
		return
	}
	err := g.appendToLog(b.first, b.entries)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		g.fail(err)
		return
	}
	if g.role != Leader || g.state.Term != b.term {
		return
	}
	g.stable = b.first + uint64(len(b.entries)) - 1
	g.advanceCommit()
}

func (g *Group) appendToLog(first uint64, entries []*raftpb.Entry) error {
	records := make([][]byte, len(entries))
	for i, e := range entries {
		b, err := proto.Marshal(e)
		if err != nil {
			return Error.Wrap(err)
		}
		records[i] = b
	}
	if err := g.log.Append(first, records); err != nil {
		return Error.Wrap(err)
	}
	if prepare := g.log.PrepareSegment(); prepare != nil {
		g.queueFileTask(prepare)
	}
	return nil
}

// updatePeers starts and stops replication to match the membership. The caller
// holds mu.
func (g *Group) updatePeers() {
	all := g.members()
	for id, p := range g.peers {
		if m, ok := all.find(id); !ok || m.Incarnation != p.incarnation {
			p.stop()
			delete(g.peers, id)
		}
	}
	for _, m := range all {
		if m.ID == g.cfg.ID || g.peers[m.ID] != nil {
			continue
		}
		ctx, stop := context.WithCancel(g.leaderCtx)
		p := &peer{
			id: m.ID, incarnation: m.Incarnation, nextIndex: g.lastIndex(), addedAt: g.cfg.Clock(), needsProbe: true, wake: make(chan struct{}, 1), stop: stop,
		}
		p.nextIndex = max(p.nextIndex, 1)
		g.peers[m.ID] = p
		g.wg.Go(func() { g.replicate(ctx, p) })
		g.wg.Go(func() { g.sendHeartbeats(ctx, p) })
	}
}

func (g *Group) wakePeers() {
	for _, p := range g.peers {
		signal(p.wake)
	}
}

// replicate sends entries and snapshots to one member until this member loses
// leadership or the other is removed. At most one request is in flight; entries
// that arrive meanwhile go into the next.
func (g *Group) replicate(ctx context.Context, p *peer) {
	retry := time.NewTimer(g.cfg.HeartbeatInterval)
	defer retry.Stop()
	for ctx.Err() == nil {
		more, err := g.replicateOnce(ctx, p)
		if more && err == nil {
			continue
		}
		wake := p.wake
		if err != nil {
			wake = nil // an unreachable member is retried once per heartbeat interval
		}
		// With nothing to send the goroutine sleeps until it is woken.
		retry.Stop()
		if err != nil || g.needsReplication(p) {
			retry.Reset(g.cfg.HeartbeatInterval)
		}
		select {
		case <-ctx.Done():
		case <-wake:
		case <-retry.C:
		}
	}
}

// needsReplication reports whether there is a request to send to the member.
func (g *Group) needsReplication(p *peer) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.needsReplicationLocked(p)
}

// needsReplicationLocked is needsReplication for a caller that holds mu.
func (g *Group) needsReplicationLocked(p *peer) bool {
	return p.nextIndex <= g.lastIndex() || p.sentCommit != g.commit || p.needsProbe
}

// sendHeartbeats renews the lease with one member. It runs apart from replicate,
// whose requests wait for the member's disk.
func (g *Group) sendHeartbeats(ctx context.Context, p *peer) {
	lastCount := heartbeatCount(g.cfg.HeartbeatInterval)
	timer := time.NewTimer(untilNextHeartbeat(g.cfg.HeartbeatInterval, lastCount))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		lastCount = heartbeatCount(g.cfg.HeartbeatInterval)
		req := g.newMessage(raftpb.Kind_KIND_HEARTBEAT)
		req.ToIncarnation = p.incarnation
		if ctx.Err() != nil {
			return // req may have a later term than this leader's
		}
		_, err := g.callPeer(ctx, p, req)
		g.mu.Lock()
		if err == nil && ctx.Err() == nil {
			g.promoteLearner(p) // an earlier attempt may have failed because of another change
		}
		p.needsProbe = p.needsProbe || err != nil
		g.mu.Unlock()
		if err != nil {
			signal(p.wake)
		}
		timer.Reset(untilNextHeartbeat(g.cfg.HeartbeatInterval, lastCount))
	}
}

// replicateOnce sends one request and reports whether another should follow at once.
func (g *Group) replicateOnce(ctx context.Context, p *peer) (bool, error) {
	g.mu.Lock()
	if ctx.Err() != nil || !g.needsReplicationLocked(p) {
		g.mu.Unlock()
		return false, nil
	}
	if p.nextIndex <= g.base {
		g.mu.Unlock()
		return g.sendSnapshot(ctx, p)
	}
	req := g.appendRequest(p)
	g.mu.Unlock()
	resp, err := g.callPeer(ctx, p, req)
	if err != nil {
		return false, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if ctx.Err() != nil {
		return false, nil
	}
	if !resp.Ok {
		before := p.nextIndex
		p.nextIndex = max(min(p.nextIndex-1, resp.Match), p.matchIndex+1, 1)
		return p.nextIndex < before, nil
	}
	p.matchIndex = max(p.matchIndex, req.Index+uint64(len(req.Entries)))
	p.nextIndex = p.matchIndex + 1
	p.sentCommit, p.needsProbe = req.Commit, false
	g.advanceCommit()
	g.promoteLearner(p)
	if g.transferTarget != "" {
		g.broadcast()
	}
	return p.nextIndex <= g.lastIndex(), nil
}

// appendRequest returns the next append request for a member, with up to
// maxBatchBytes of entries. The caller holds mu.
func (g *Group) appendRequest(p *peer) *raftpb.Message {
	req := g.newMessageLocked(raftpb.Kind_KIND_APPEND)
	req.ToIncarnation = p.incarnation
	req.Index, req.LogTerm, req.Commit = p.nextIndex-1, g.termAt(p.nextIndex-1), g.commit
	for i, size := p.nextIndex, 0; i <= g.lastIndex(); i++ {
		e := g.entries[i-g.base-1]
		if size += len(e.Data); size > maxBatchBytes && len(req.Entries) > 0 {
			break
		}
		req.Entries = append(req.Entries, e)
	}
	return req
}

// callPeer sends a request of the leader and checks the response. If it returns no
// error, the member has confirmed this leader for the request's term.
func (g *Group) callPeer(ctx context.Context, p *peer, req *raftpb.Message) (*raftpb.Message, error) {
	sent := g.cfg.Clock()
	callCtx, cancel := context.WithTimeout(ctx, g.cfg.ElectionTimeout)
	defer cancel()
	resp, err := g.cfg.Transport.Call(callCtx, p.id, req)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	incarnationMismatch := resp.Stranger || resp.FromIncarnation != p.incarnation
	if resp.Term > req.Term && !incarnationMismatch {
		g.observeTerm(resp.Term)
		return nil, Error.New("%q has reached term %d", p.id, resp.Term)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	p.incarnationMismatch, p.shuttingDown = incarnationMismatch, resp.Leaving
	if incarnationMismatch || resp.From != p.id || resp.Term != req.Term || req.Kind == raftpb.Kind_KIND_HEARTBEAT && !resp.Ok {
		return nil, Error.New("%q did not confirm this leader", p.id)
	}
	if sent.After(p.lastContact) {
		p.lastContact = sent
	}
	g.broadcast()
	return resp, nil
}

// advanceCommit commits the entries that a majority of the voters has on disk. Only
// entries of the leader's own term are counted; earlier entries are committed with
// them. The caller holds mu.
func (g *Group) advanceCommit() {
	voters := g.members().voters()
	matches := make([]uint64, 0, len(voters))
	for _, m := range voters {
		switch p := g.peers[m.ID]; {
		case m.ID == g.cfg.ID:
			matches = append(matches, g.stable)
		case p != nil:
			matches = append(matches, p.matchIndex)
		default:
			matches = append(matches, 0)
		}
	}
	slices.Sort(matches)
	majorityMatch := matches[(len(matches)-1)/2]
	if majorityMatch <= g.commit || g.termAt(majorityMatch) != g.state.Term {
		return
	}
	g.commit = majorityMatch
	signal(g.applySignal)
	g.wakePeers()
	if m, ok := g.self(); (!ok || m.Learner) && g.memberships[len(g.memberships)-1].index <= g.commit {
		// The entry that removes this member is committed. Proposals up to it are
		// still answered when they are applied.
		g.stepDownAfterRemoval()
	}
}

// stepDownAfterRemoval makes this member a follower without failing the proposals
// that are committed. The caller holds mu.
func (g *Group) stepDownAfterRemoval() {
	kept := map[uint64]*proposal{}
	for index, p := range g.waiters {
		if index <= g.commit {
			kept[index] = p
			delete(g.waiters, index)
		}
	}
	g.becomeFollower("")
	g.waiters = kept
}
