package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// peer is what this node knows of another entry instance.
type peer struct {
	Peer
	learned  time.Time // when it became known
	direct   time.Time // when the last pull that it answered was sent
	indirect time.Time // the same, as other nodes report it
	pulling  bool
	told     bool // the peer holds this node's present record
	listed   bool // other nodes are told of the peer
	remote   remote
}

// heard returns when the peer was last known to answer somebody.
func (p *peer) heard() time.Time {
	if p.indirect.After(p.direct) {
		return p.indirect
	}
	return p.direct
}

// peerList is the list of peers as other nodes see it; its revision tells them
// whether it changed.
type peerList struct{ rev uint64 }

func (l *peerList) changed() { l.rev++ }

func (m *Member) failedAfter() time.Duration { return failedPulls * m.cfg.Pull }

// live reports whether p answered this or another node a short while ago. A
// peer that was just learned counts as live until it had time to answer.
func (m *Member) live(p *peer, now time.Time) bool {
	last := p.heard()
	if last.IsZero() {
		last = p.learned
	}
	return now.Sub(last) <= m.failedAfter()
}

// learn merges a record of a peer that was last heard at the given time, zero
// if unknown. mu is held.
func (m *Member) learn(p Peer, heard, now time.Time) {
	if p.Node == "" || p.Node == m.cfg.Node {
		return
	}
	have := m.peers[p.Node]
	switch {
	case have == nil:
		if !heard.IsZero() && now.Sub(heard) > forgetPeer {
			return
		}
		have = &peer{Peer: p, learned: now, listed: true}
		m.peers[p.Node] = have
		m.list.changed()
	case p.Incarnation > have.Incarnation:
		have.Peer, have.learned, have.told, have.listed = p, now, false, true
		have.remote.forget()
		m.list.changed()
	case p.Incarnation < have.Incarnation:
		return
	case p.Draining && !have.Draining:
		// The mark stays for the rest of the incarnation.
		have.Draining = true
		m.list.changed()
	}
	if p.Incarnation == have.Incarnation && p.turn > have.turn {
		have.Serving, have.turn = p.Serving, p.turn
		m.list.changed()
	}
	if heard.After(have.indirect) {
		have.indirect = heard
	}
}

// silence returns how long nothing was heard of the peer.
func (p *peer) silence(now time.Time) time.Duration {
	last := p.heard()
	if p.learned.After(last) {
		last = p.learned
	}
	return now.Sub(last)
}

// forget drops peers that have been silent for long, and stops to tell others of
// them much earlier, so that nodes do not remind each other of a dead one for
// ever. mu is held.
func (m *Member) forget(now time.Time) {
	for node, p := range m.peers {
		silence := p.silence(now)
		if silence > forgetPeer {
			delete(m.peers, node)
		}
		if listed := silence <= quietPeer; listed != p.listed {
			p.listed = listed
			m.list.changed()
		}
	}
}

// Peers returns the live entry instances of the cell without this node, in
// order of their names. Draining ones are included and marked.
func (m *Member) Peers(now time.Time) []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Peer
	for _, p := range m.peers {
		if m.live(p, now) {
			out = append(out, p.Peer)
		}
	}
	slices.SortFunc(out, func(a, b Peer) int { return cmp.Compare(a.Node, b.Node) })
	return out
}

// Self returns this node's own record.
func (m *Member) Self() Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// Isolated reports whether most of the known peers do not answer this node, also
// as the others know.
func (m *Member) Isolated(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isolated(now)
}

// isolated reports whether most of the known peers do not answer this node.
// Backend servers that announced themselves here would be invisible to the rest
// of the cell, so they are sent elsewhere. mu is held.
func (m *Member) isolated(now time.Time) bool {
	silent := 0
	for _, p := range m.peers {
		if !m.live(p, now) {
			silent++
		}
	}
	return 2*silent > len(m.peers)
}

// homes returns the entry instances in the order in which a backend server
// should announce itself to them: its home first. mu is held.
func (m *Member) homes(id, dataCentre string, now time.Time) []Peer {
	alone := m.isolated(now)
	var all []Peer
	if !alone && !m.self.Draining {
		all = append(all, m.self)
	}
	for _, p := range m.peers {
		if (alone || m.live(p, now)) && !p.Draining {
			all = append(all, p.Peer)
		}
	}
	if len(all) == 0 {
		return []Peer{m.self}
	}
	return rank(all, id, dataCentre)
}

// rank orders nodes by rendezvous hash of key, the ones in the data centre first.
func rank(nodes []Peer, key, dataCentre string) []Peer {
	score := func(p Peer) uint64 { return xxhash.Sum64String(p.Node + "\x00" + key) }
	slices.SortFunc(nodes, func(a, b Peer) int {
		if near := a.DataCentre == dataCentre; near != (b.DataCentre == dataCentre) {
			if near {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a.Node, b.Node))
	})
	return nodes
}
