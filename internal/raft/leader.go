package raft

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/raft/raftpb"
)

// peer is another member as the leader knows it. Its fields are guarded by mu.
type peer struct {
	id          string
	incarnation uint64
	next, match uint64
	contact     time.Time // when the last confirmed request was sent
	stranger    bool
	leaving     bool
	promoting   bool
	known       uint64 // commit index that the member has been told
	unsure      bool   // the member did not confirm: send an append even if it is empty
	wake        chan struct{}
	stop        context.CancelFunc
}

// batch is a run of entries that is in memory but not yet in the log.
type batch struct {
	first   uint64
	term    uint64
	entries []*raftpb.Entry
}

// write appends what is proposed. Proposals that arrive while the log syncs
// wait and share the next sync.
func (g *Group) write() {
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-g.wake:
		}
		g.io.Lock()
		g.mu.Lock()
		b := g.admit(g.take())
		g.writing = g.cfg.Clock()
		g.mu.Unlock()
		g.persist(b)
		g.mu.Lock()
		g.writing = time.Time{}
		g.mu.Unlock()
		g.io.Unlock()
	}
}

// take removes a batch from the queue. The caller holds mu.
func (g *Group) take() []*proposal {
	if g.target != "" {
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
		signal(g.wake)
	}
	return out
}

// admit gives proposals their place in the log in memory, from where they are
// sent while they are written here. The caller holds io and mu.
func (g *Group) admit(all []*proposal) batch {
	b := batch{first: g.last() + 1, term: g.state.Term}
	for _, p := range all {
		if g.role != Leader || g.err != nil {
			p.finish(result{err: g.refusal()})
			continue
		}
		if !g.prepare(p) {
			continue
		}
		e := &raftpb.Entry{Index: g.last() + 1, Term: g.state.Term, Kind: p.kind, Data: p.data}
		g.entries = append(g.entries, e)
		b.entries = append(b.entries, e)
		if err := g.noteMembers(e); err != nil {
			g.fail(err)
			return batch{}
		}
		if p.done != nil {
			p.term = e.Term
			g.waiters[e.Index] = p
		}
	}
	if len(b.entries) > 0 {
		g.syncPeers()
		g.wakePeers()
	}
	return b
}

// persist writes a batch to the log. The caller holds io.
func (g *Group) persist(b batch) {
	if len(b.entries) == 0 {
		return
	}
	err := g.appendLog(b.first, b.entries)
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
	g.advance()
}

func (g *Group) appendLog(first uint64, entries []*raftpb.Entry) error {
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
	if f := g.log.Prepare(); f != nil {
		g.later(f)
	}
	return nil
}

// syncPeers starts and stops replication to match the membership. The caller holds mu.
func (g *Group) syncPeers() {
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
		ctx, stop := context.WithCancel(g.lead)
		p := &peer{
			id: m.ID, incarnation: m.Incarnation, next: g.last(), unsure: true, wake: make(chan struct{}, 1), stop: stop,
		}
		p.next = max(p.next, 1)
		g.peers[m.ID] = p
		g.wg.Go(func() { g.replicate(ctx, p) })
		g.wg.Go(func() { g.beat(ctx, p) })
	}
}

func (g *Group) wakePeers() {
	for _, p := range g.peers {
		signal(p.wake)
	}
}

// replicate keeps one member up to date until the leadership or its membership
// ends. One request is under way at a time; entries that arrive meanwhile go
// into the next.
func (g *Group) replicate(ctx context.Context, p *peer) {
	retry := time.NewTimer(g.cfg.Heartbeat)
	defer retry.Stop()
	for ctx.Err() == nil {
		more, err := g.replicateOnce(ctx, p)
		if more && err == nil {
			continue
		}
		wake := p.wake
		if err != nil {
			wake = nil // an unreachable member is tried once a heartbeat
		}
		// Without work the goroutine sleeps until it is woken.
		retry.Stop()
		if err != nil || g.owes(p) {
			retry.Reset(g.cfg.Heartbeat)
		}
		select {
		case <-ctx.Done():
		case <-wake:
		case <-retry.C:
		}
	}
}

// owes reports whether the member lacks something that it has to be sent.
func (g *Group) owes(p *peer) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.behind(p)
}

// behind is owes for a caller that holds mu.
func (g *Group) behind(p *peer) bool {
	return p.next <= g.last() || p.known != g.commit || p.unsure
}

// beat confirms the lease with one member. It is apart from replicate, whose
// requests wait for the member's disk.
func (g *Group) beat(ctx context.Context, p *peer) {
	done := beats(g.cfg.Heartbeat)
	heartbeat := time.NewTimer(untilBeat(g.cfg.Heartbeat, done))
	defer heartbeat.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-heartbeat.C:
		}
		done = beats(g.cfg.Heartbeat)
		req := g.message(raftpb.Kind_KIND_HEARTBEAT)
		req.ToIncarnation = p.incarnation
		if ctx.Err() != nil {
			return // the term in req may be later than this leader's
		}
		_, err := g.ask(ctx, p, req)
		g.mu.Lock()
		if err == nil && ctx.Err() == nil {
			g.promote(p) // an earlier attempt may have met another change
		}
		p.unsure = p.unsure || err != nil
		g.mu.Unlock()
		if err != nil {
			signal(p.wake)
		}
		heartbeat.Reset(untilBeat(g.cfg.Heartbeat, done))
	}
}

// replicateOnce sends one request and reports whether there is more to send.
func (g *Group) replicateOnce(ctx context.Context, p *peer) (bool, error) {
	g.mu.Lock()
	if ctx.Err() != nil || !g.behind(p) {
		g.mu.Unlock()
		return false, nil
	}
	if p.next <= g.base {
		g.mu.Unlock()
		return g.sendSnapshot(ctx, p)
	}
	req := g.appendRequest(p)
	g.mu.Unlock()
	resp, err := g.ask(ctx, p, req)
	if err != nil {
		return false, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if ctx.Err() != nil {
		return false, nil
	}
	if !resp.Ok {
		before := p.next
		p.next = max(min(p.next-1, resp.Match), p.match+1, 1)
		return p.next < before, nil
	}
	p.match = max(p.match, req.Index+uint64(len(req.Entries)))
	p.next = p.match + 1
	p.known, p.unsure = req.Commit, false
	g.advance()
	g.promote(p)
	if g.target != "" {
		g.broadcast()
	}
	return p.next <= g.last(), nil
}

// appendRequest returns the next append for a member, with as many entries as
// fit into a batch. The caller holds mu.
func (g *Group) appendRequest(p *peer) *raftpb.Message {
	req := g.newMessage(raftpb.Kind_KIND_APPEND)
	req.ToIncarnation = p.incarnation
	req.Index, req.LogTerm, req.Commit = p.next-1, g.termAt(p.next-1), g.commit
	for i, size := p.next, 0; i <= g.last(); i++ {
		e := g.entries[i-g.base-1]
		if size += len(e.Data); size > maxBatchBytes && len(req.Entries) > 0 {
			break
		}
		req.Entries = append(req.Entries, e)
	}
	return req
}

// ask sends a request of the leader and judges the response. On success the
// member has confirmed this leader.
func (g *Group) ask(ctx context.Context, p *peer, req *raftpb.Message) (*raftpb.Message, error) {
	sent := g.cfg.Clock()
	cctx, cancel := context.WithTimeout(ctx, g.cfg.Election)
	defer cancel()
	resp, err := g.cfg.Transport.Call(cctx, p.id, req)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	stranger := resp.Stranger || resp.FromIncarnation != p.incarnation
	if resp.Term > req.Term && !stranger {
		g.observe(resp.Term)
		return nil, Error.New("%q has reached term %d", p.id, resp.Term)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	p.stranger, p.leaving = stranger, resp.Leaving
	if stranger || resp.From != p.id || resp.Term != req.Term || req.Kind == raftpb.Kind_KIND_HEARTBEAT && !resp.Ok {
		return nil, Error.New("%q did not confirm", p.id)
	}
	if sent.After(p.contact) {
		p.contact = sent
	}
	g.broadcast()
	return resp, nil
}

// advance commits what a majority of the voters holds. Only entries of the
// leader's own term are counted; earlier ones are committed with them. The caller
// holds mu.
func (g *Group) advance() {
	voters := g.members().voters()
	matches := make([]uint64, 0, len(voters))
	for _, m := range voters {
		switch p := g.peers[m.ID]; {
		case m.ID == g.cfg.ID:
			matches = append(matches, g.stable)
		case p != nil:
			matches = append(matches, p.match)
		default:
			matches = append(matches, 0)
		}
	}
	slices.Sort(matches)
	n := matches[(len(matches)-1)/2]
	if n <= g.commit || g.termAt(n) != g.state.Term {
		return
	}
	g.commit = n
	signal(g.ready)
	g.wakePeers()
	if m, ok := g.self(); (!ok || m.Learner) && g.history[len(g.history)-1].index <= g.commit {
		// Removed by its own entry, which is committed now. Its waiters still get
		// their answers from the apply loop if they are committed.
		g.abdicate()
	}
}

// abdicate steps down without failing the proposals that are committed.
func (g *Group) abdicate() {
	kept := map[uint64]*proposal{}
	for index, p := range g.waiters {
		if index <= g.commit {
			kept[index] = p
			delete(g.waiters, index)
		}
	}
	g.follow("")
	g.waiters = kept
}
