package member

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/link"
	"cranberrypath.example/cranberrypath/internal/member/membpb"
	"cranberrypath.example/cranberrypath/internal/world"
)

// remote is what this node holds of a peer's table.
type remote struct {
	incarnation uint64
	table       uint64
	peersRev    uint64
	cache       uint64
	peers       []string // nodes, in the order of the peer's list
	entries     []*remoteEntry
}

// remoteEntry is one backend server in a peer's table.
type remoteEntry struct {
	slot    uint32
	backend world.Backend
	base    uint64
	seq     uint64
	load    *membpb.Load
	at      time.Time // of the announcement, at the latest, by this node's clock
}

func (r *remote) forget() { *r = remote{} }

func (r *remote) find(slot uint32) (int, bool) {
	return slices.BinarySearchFunc(r.entries, slot, func(e *remoteEntry, s uint32) int { return int(int64(e.slot) - int64(s)) })
}

// target is one address to pull.
type target struct {
	node, addr string // node is empty for a seed
	req        *membpb.PullRequest
	sent       time.Time
}

// startRound starts a pull of each peer whose last pull has ended. A peer that
// does not answer delays only its own.
func (m *Member) startRound() {
	for _, t := range m.targets(m.cfg.Clock()) {
		m.wg.Go(func() {
			ctx, cancel := context.WithTimeout(m.ctx, m.cfg.Pull)
			defer cancel()
			m.pull(ctx, t)
		})
	}
}

// Round pulls every peer and seed once and returns when all have answered or
// ctx ends; a call that is still blocked in a write or a handshake then ends by
// itself. It is for processes that set Config.Manual.
func (m *Member) Round(ctx context.Context) {
	var round sync.WaitGroup
	for _, t := range m.targets(m.cfg.Clock()) {
		round.Add(1)
		m.wg.Go(func() {
			defer round.Done()
			m.pull(ctx, t)
		})
	}
	done := make(chan struct{})
	m.wg.Go(func() {
		round.Wait()
		close(done)
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (m *Member) targets(now time.Time) []target {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rounds++
	m.tidy(now)
	m.budget.refill(now, len(m.peers))
	known := map[string]bool{m.cfg.Address: true}
	var out []target
	for _, p := range m.peers {
		known[p.Address] = true
		quiet := p.silence(now) > quietPeer
		if p.pulling || (quiet && m.rounds%quietPulls != 0) {
			continue
		}
		p.pulling = true
		req := &membpb.PullRequest{
			Cell: m.cfg.Cell, To: p.Node, Incarnation: p.remote.incarnation, Table: p.remote.table,
			Peers: p.remote.peersRev, Cache: p.remote.cache, CacheBytes: m.budget.share,
		}
		if !p.told {
			req.From = peerToWire(m.self)
		}
		out = append(out, target{node: p.Node, addr: p.Address, req: req, sent: now})
	}
	for _, addr := range m.cfg.Seeds {
		if !known[addr] {
			req := &membpb.PullRequest{Cell: m.cfg.Cell, From: peerToWire(m.self)}
			out = append(out, target{addr: addr, req: req, sent: now})
		}
	}
	return out
}

// tidy removes what has become too old to matter. mu is held.
func (m *Member) tidy(now time.Time) {
	m.forget(now)
	m.table.sweep(m.cfg.Lease, now)
	for id, k := range m.marks {
		if now.Sub(k.at) > keepMarks {
			delete(m.marks, id)
		}
	}
}

func (m *Member) pull(ctx context.Context, t target) {
	var resp membpb.PullResponse
	err := m.net.Call(ctx, t.addr, pullCall, t.req, &resp)
	now := m.cfg.Clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[t.node]
	if p != nil {
		p.pulling = false
	}
	if err != nil {
		var re *link.RemoteError
		if p != nil && errors.As(err, &re) && re.Code == "otherCell" {
			delete(m.peers, t.node)
			m.list.changed()
		}
		return
	}
	if p == nil {
		// A seed: its list of peers contains itself and is pulled from now on.
		m.learnList(&resp, t, now)
		return
	}
	m.apply(p, t, &resp, now)
}

// apply merges a peer's answer. Every time in it counts from t.sent, when the
// request left this node. mu is held.
func (m *Member) apply(p *peer, t target, resp *membpb.PullResponse, now time.Time) {
	if resp.Incarnation < p.Incarnation {
		return // an answer of the process that ran there before
	}
	if resp.Incarnation != p.remote.incarnation && !resp.Full {
		p.remote.forget() // the answer builds on something else than is held here
		return
	}
	if t.sent.After(p.direct) {
		p.direct = t.sent
	}
	switch {
	case resp.WantRecord:
		p.told = false
	case t.req.From != nil:
		p.told = t.req.From.Draining == m.self.Draining
	}
	if resp.Turn > p.turn {
		p.Serving, p.turn = resp.Serving, resp.Turn
		m.list.changed()
	}
	m.learnList(resp, t, now) // forgets the table of an earlier incarnation
	p.remote.incarnation = resp.Incarnation
	m.applyTable(&p.remote, resp, t.sent, now)
	m.applyCache(&p.remote, resp)
	m.permits.stale = true
}

func (m *Member) learnList(resp *membpb.PullResponse, t target, now time.Time) {
	p := m.peers[t.node]
	names := []string(nil)
	if p != nil {
		names = p.remote.peers
	}
	for i, w := range resp.Peer {
		if i == 0 {
			names = names[:0:0]
		}
		names = append(names, w.Node)
	}
	heard := func(i int) time.Time {
		if i >= len(resp.Heard) || resp.Heard[i] == 0 {
			return time.Time{}
		}
		return t.sent.Add(-time.Duration(resp.Heard[i]-1) * heardUnit)
	}
	for i, w := range resp.Peer {
		m.learn(peerFromWire(w), heard(i), now)
	}
	if p == nil {
		return
	}
	for i, node := range names {
		if o := m.peers[node]; o != nil && o != p && heard(i).After(o.indirect) {
			o.indirect = heard(i)
		}
	}
	p.remote.peers, p.remote.peersRev = names, resp.Peers
}

func (m *Member) applyTable(r *remote, resp *membpb.PullResponse, sent, now time.Time) {
	if resp.Full {
		r.entries = nil
	}
	for _, w := range resp.Entries {
		i, ok := r.find(w.Slot)
		if !ok {
			r.entries = slices.Insert(r.entries, i, &remoteEntry{slot: w.Slot})
		}
		e := r.entries[i]
		e.backend, e.base = backendFromWire(w, sent), w.Seq
	}
	for _, w := range resp.Loads {
		if i, ok := r.find(w.Slot); ok {
			r.entries[i].load = w
		}
	}
	if len(resp.Seqs) != len(r.entries) || len(resp.Ages) != len(r.entries) {
		r.forget() // ask for everything; permissions of what was held end here
		return
	}
	r.table = resp.Table
	for i, e := range r.entries {
		e.seq = e.base + uint64(resp.Seqs[i])
		e.at = sent.Add(-time.Duration(resp.Ages[i]) * ageUnit)
		m.mark(e.backend.ID, mark{order{e.backend.Incarnation, e.seq}, e.backend.State, now})
	}
}

// handlePull answers a peer's pull.
func (m *Member) handlePull(_ context.Context, from link.Peer, body []byte) (proto.Message, error) {
	var req membpb.PullRequest
	if err := proto.Unmarshal(body, &req); err != nil {
		return nil, Error.Wrap(err)
	}
	if req.Cell != m.cfg.Cell {
		return nil, &link.RemoteError{Code: "otherCell", Message: m.cfg.Cell}
	}
	if req.To != "" && req.To != m.cfg.Node {
		return nil, &link.RemoteError{Code: "otherNode", Message: m.cfg.Node}
	}
	return m.answer(from.Node, &req, m.cfg.Clock()), nil
}

// answer builds the answer to a pull of the node from.
func (m *Member) answer(from string, req *membpb.PullRequest, now time.Time) *membpb.PullResponse {
	m.mu.Lock()
	defer m.mu.Unlock()
	if req.From != nil {
		m.learn(peerFromWire(req.From), time.Time{}, now)
	}
	m.table.sweep(m.cfg.Lease, now)
	if req.Incarnation != m.cfg.Incarnation {
		req.Table, req.Peers, req.Cache = 0, 0, 0
	}
	resp := &membpb.PullResponse{
		Incarnation: m.cfg.Incarnation, WantRecord: m.peers[from] == nil,
		Serving: m.self.Serving, Turn: m.self.turn, Peers: m.list.rev + 1,
	}
	m.table.fill(resp, req.Table, now)
	resp.Full = resp.Full || req.Incarnation != m.cfg.Incarnation
	m.fillPeers(resp, req.Peers, now)
	m.table.cache.fill(resp, req.Cache, req.CacheBytes)
	return resp
}

// fillPeers adds the list of peers, this node first and the others in order of
// their names, and how long ago each answered this node itself. Only direct
// observations are passed on: hearsay would keep a dead peer alive for ever.
func (m *Member) fillPeers(resp *membpb.PullResponse, held uint64, now time.Time) {
	all := make([]*peer, 0, len(m.peers))
	for _, p := range m.peers {
		if p.listed {
			all = append(all, p)
		}
	}
	slices.SortFunc(all, func(a, b *peer) int { return strings.Compare(a.Node, b.Node) })
	resp.Heard = append(make([]uint32, 0, len(all)+1), 1)
	for _, p := range all {
		h := uint32(0)
		if !p.direct.IsZero() && now.Sub(p.direct) < maxAge {
			h = 1 + wireAge(now.Sub(p.direct), heardUnit)
		}
		resp.Heard = append(resp.Heard, h)
	}
	if held == resp.Peers {
		return
	}
	resp.Peer = append(resp.Peer, peerToWire(m.self))
	for _, p := range all {
		resp.Peer = append(resp.Peer, peerToWire(p.Peer))
	}
}
