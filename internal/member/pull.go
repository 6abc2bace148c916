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

// peerTable is this instance's copy of a peer's table.
type peerTable struct {
	incarnation    uint64
	version        uint64
	peersRevision  uint64
	nextCacheBatch uint64
	peers          []string // instance names, in the order of the peer's list
	entries        []*peerEntry
}

// peerEntry is a backend server in a peer's table.
type peerEntry struct {
	slot        uint32
	backend     world.Backend
	baseSeq     uint64
	seq         uint64
	load        *membpb.Load
	announcedAt time.Time // early estimate of when the last announcement was sent, by this instance's clock
}

func (r *peerTable) reset() { *r = peerTable{} }

func (r *peerTable) find(slot uint32) (int, bool) {
	return slices.BinarySearchFunc(r.entries, slot, func(e *peerEntry, s uint32) int { return int(int64(e.slot) - int64(s)) })
}

// pullTarget is an address to pull from.
type pullTarget struct {
	instance, addr string // instance is empty for a seed
	req            *membpb.PullRequest
	sentAt         time.Time
}

// startRound starts a pull from each peer that has no pull in flight, so that an
// unresponsive peer does not delay the pulls from others.
func (m *Member) startRound() {
	for _, t := range m.pullTargets(m.cfg.Clock()) {
		m.wg.Go(func() {
			ctx, cancel := context.WithTimeout(m.ctx, m.cfg.PullInterval)
			defer cancel()
			m.pull(ctx, t)
		})
	}
}

// PullOnce pulls from every peer and seed once and returns when all have answered or ctx
// ends. Calls that are then still blocked in a write or a handshake continue in the
// background. It is used if Config.Manual is set.
func (m *Member) PullOnce(ctx context.Context) {
	var round sync.WaitGroup
	for _, t := range m.pullTargets(m.cfg.Clock()) {
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

func (m *Member) pullTargets(now time.Time) []pullTarget {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.roundCount++
	m.removeExpired(now)
	m.cacheBudget.refill(now, len(m.peers))
	known := map[string]bool{m.cfg.Address: true}
	var out []pullTarget
	for _, p := range m.peers {
		known[p.Address] = true
		silent := p.silentFor(now) > silentPeerAfter
		if p.pullInFlight || (silent && m.roundCount%silentPeerPullRounds != 0) {
			continue
		}
		p.pullInFlight = true
		req := &membpb.PullRequest{
			Cell: m.cfg.Cell, To: p.Node, Incarnation: p.table.incarnation, Table: p.table.version,
			Peers: p.table.peersRevision, Cache: p.table.nextCacheBatch, CacheBytes: m.cacheBudget.perPeer,
		}
		if !p.knowsCurrentSelf {
			req.From = peerToWire(m.self)
		}
		out = append(out, pullTarget{instance: p.Node, addr: p.Address, req: req, sentAt: now})
	}
	for _, addr := range m.cfg.Seeds {
		if !known[addr] {
			req := &membpb.PullRequest{Cell: m.cfg.Cell, From: peerToWire(m.self)}
			out = append(out, pullTarget{addr: addr, req: req, sentAt: now})
		}
	}
	return out
}

// removeExpired removes peers, entries and states whose retention has ended. mu must be
// held.
func (m *Member) removeExpired(now time.Time) {
	m.removeSilentPeers(now)
	m.table.removeExpired(m.cfg.Lease, now)
	for id, k := range m.latestStates {
		if now.Sub(k.recordedAt) > latestStateRetention {
			delete(m.latestStates, id)
		}
	}
}

func (m *Member) pull(ctx context.Context, t pullTarget) {
	var resp membpb.PullResponse
	err := m.net.Call(ctx, t.addr, pullRPC, t.req, &resp)
	now := m.cfg.Clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[t.instance]
	if p != nil {
		p.pullInFlight = false
	}
	if err != nil {
		var re *link.RemoteError
		if p != nil && errors.As(err, &re) && re.Code == "otherCell" {
			delete(m.peers, t.instance)
			m.peerList.increment()
		}
		return
	}
	if p == nil {
		// The target is a seed. Its peer list contains the seed itself, so later rounds
		// pull from it as a peer.
		m.mergePeerList(&resp, t, now)
		return
	}
	m.applyPullResponse(p, t, &resp, now)
}

// applyPullResponse merges a peer's response. Ages in it are subtracted from t.sentAt, the
// time at which this instance sent the request, so that the resulting times are never too
// late. mu must be held.
func (m *Member) applyPullResponse(p *peer, t pullTarget, resp *membpb.PullResponse, now time.Time) {
	if resp.Incarnation < p.Incarnation {
		return // response of an earlier incarnation
	}
	if resp.Incarnation != p.table.incarnation && !resp.Full {
		p.table.reset() // the delta is not based on this copy; request the full table
		return
	}
	if t.sentAt.After(p.lastAnswered) {
		p.lastAnswered = t.sentAt
	}
	switch {
	case resp.WantRecord:
		p.knowsCurrentSelf = false
	case t.req.From != nil:
		p.knowsCurrentSelf = t.req.From.Draining == m.self.Draining
	}
	if resp.Turn > p.servingSeq {
		p.Serving, p.servingSeq = resp.Serving, resp.Turn
		m.peerList.increment()
	}
	m.mergePeerList(resp, t, now) // resets the table of an earlier incarnation
	p.table.incarnation = resp.Incarnation
	m.applyTable(&p.table, resp, t.sentAt, now)
	m.applyCache(&p.table, resp)
	m.permitCache.stale = true
}

func (m *Member) mergePeerList(resp *membpb.PullResponse, t pullTarget, now time.Time) {
	p := m.peers[t.instance]
	names := []string(nil)
	if p != nil {
		names = p.table.peers
	}
	for i, w := range resp.Peer {
		if i == 0 {
			names = names[:0:0]
		}
		names = append(names, w.Node)
	}
	lastHeard := func(i int) time.Time {
		if i >= len(resp.Heard) || resp.Heard[i] == 0 {
			return time.Time{}
		}
		return t.sentAt.Add(-time.Duration(resp.Heard[i]-1) * heardUnit)
	}
	for i, w := range resp.Peer {
		m.mergePeer(peerFromWire(w), lastHeard(i), now)
	}
	if p == nil {
		return
	}
	for i, instance := range names {
		if o := m.peers[instance]; o != nil && o != p && lastHeard(i).After(o.lastReported) {
			o.lastReported = lastHeard(i)
		}
	}
	p.table.peers, p.table.peersRevision = names, resp.Peers
}

func (m *Member) applyTable(r *peerTable, resp *membpb.PullResponse, sent, now time.Time) {
	if resp.Full {
		r.entries = nil
	}
	for _, w := range resp.Entries {
		i, ok := r.find(w.Slot)
		if !ok {
			r.entries = slices.Insert(r.entries, i, &peerEntry{slot: w.Slot})
		}
		e := r.entries[i]
		e.backend, e.baseSeq = backendFromWire(w, sent), w.Seq
	}
	for _, w := range resp.Loads {
		if i, ok := r.find(w.Slot); ok {
			r.entries[i].load = w
		}
	}
	if len(resp.Seqs) != len(r.entries) || len(resp.Ages) != len(r.entries) {
		r.reset() // request the full table; permits based on this copy end
		return
	}
	r.version = resp.Table
	for i, e := range r.entries {
		e.seq = e.baseSeq + uint64(resp.Seqs[i])
		e.announcedAt = sent.Add(-time.Duration(resp.Ages[i]) * ageUnit)
		m.recordState(e.backend.ID, latestState{stateVersion{e.backend.Incarnation, e.seq}, e.backend.State, now})
	}
}

// handlePull handles a peer's pull.
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
	return m.buildPullResponse(from.Node, &req, m.cfg.Clock()), nil
}

// buildPullResponse returns the response to a pull from the instance named from.
func (m *Member) buildPullResponse(from string, req *membpb.PullRequest, now time.Time) *membpb.PullResponse {
	m.mu.Lock()
	defer m.mu.Unlock()
	if req.From != nil {
		m.mergePeer(peerFromWire(req.From), time.Time{}, now)
	}
	m.table.removeExpired(m.cfg.Lease, now)
	if req.Incarnation != m.cfg.Incarnation {
		req.Table, req.Peers, req.Cache = 0, 0, 0
	}
	resp := &membpb.PullResponse{
		Incarnation: m.cfg.Incarnation, WantRecord: m.peers[from] == nil,
		Serving: m.self.Serving, Turn: m.self.servingSeq, Peers: m.peerList.revision + 1,
	}
	m.table.fillResponse(resp, req.Table, now)
	resp.Full = resp.Full || req.Incarnation != m.cfg.Incarnation
	m.fillPeers(resp, req.Peers, now)
	m.table.cacheLog.fillResponse(resp, req.Cache, req.CacheBytes)
	return resp
}

// fillPeers adds the list of peers, this instance first and the others sorted by name,
// and the time since each of them answered this instance. Reports of other instances are
// not passed on, because instances would otherwise keep a dead peer alive for each other.
func (m *Member) fillPeers(resp *membpb.PullResponse, knownRevision uint64, now time.Time) {
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
		if !p.lastAnswered.IsZero() && now.Sub(p.lastAnswered) < maxWireAge {
			h = 1 + ageToWire(now.Sub(p.lastAnswered), heardUnit)
		}
		resp.Heard = append(resp.Heard, h)
	}
	if knownRevision == resp.Peers {
		return
	}
	resp.Peer = append(resp.Peer, peerToWire(m.self))
	for _, p := range all {
		resp.Peer = append(resp.Peer, peerToWire(p.Peer))
	}
}
