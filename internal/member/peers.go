package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// peer is this instance's view of another entry instance.
type peer struct {
	Peer
	learnedAt        time.Time // when its current incarnation became known
	lastAnswered     time.Time // when the last pull that the peer answered was sent
	lastReported     time.Time // the latest lastAnswered of any other instance, as reported
	pullInFlight     bool
	knowsCurrentSelf bool // the peer has this instance's current record
	listed           bool // the peer is included in the list sent to other instances
	table            peerTable
}

// lastHeard returns the latest known time at which the peer answered any instance.
func (p *peer) lastHeard() time.Time {
	if p.lastReported.After(p.lastAnswered) {
		return p.lastReported
	}
	return p.lastAnswered
}

// peerList holds the revision of the list of peers that other instances pull, which they
// use to detect changes.
type peerList struct{ revision uint64 }

func (l *peerList) increment() { l.revision++ }

func (m *Member) failureTimeout() time.Duration { return maxFailedPulls * m.cfg.PullInterval }

// isLive reports whether p answered this or another instance within the failure
// timeout. A newly discovered peer is live until the timeout ends.
func (m *Member) isLive(p *peer, now time.Time) bool {
	lastContact := p.lastHeard()
	if lastContact.IsZero() {
		lastContact = p.learnedAt
	}
	return now.Sub(lastContact) <= m.failureTimeout()
}

// mergePeer merges a record of a peer that was last heard at the given time, or zero if
// unknown. mu must be held.
func (m *Member) mergePeer(p Peer, lastHeard, now time.Time) {
	if p.Node == "" || p.Node == m.cfg.Node {
		return
	}
	have := m.peers[p.Node]
	switch {
	case have == nil:
		if !lastHeard.IsZero() && now.Sub(lastHeard) > peerRetention {
			return
		}
		have = &peer{Peer: p, learnedAt: now, listed: true}
		m.peers[p.Node] = have
		m.peerList.increment()
	case p.Incarnation > have.Incarnation:
		have.Peer, have.learnedAt, have.knowsCurrentSelf, have.listed = p, now, false, true
		have.table.reset()
		m.peerList.increment()
	case p.Incarnation < have.Incarnation:
		return
	case p.Draining && !have.Draining:
		// A peer remains draining for the rest of its incarnation.
		have.Draining = true
		m.peerList.increment()
	}
	if p.Incarnation == have.Incarnation && p.servingSeq > have.servingSeq {
		have.Serving, have.servingSeq = p.Serving, p.servingSeq
		m.peerList.increment()
	}
	if lastHeard.After(have.lastReported) {
		have.lastReported = lastHeard
	}
}

// silentFor returns the time since the last contact with the peer.
func (p *peer) silentFor(now time.Time) time.Duration {
	lastContact := p.lastHeard()
	if p.learnedAt.After(lastContact) {
		lastContact = p.learnedAt
	}
	return now.Sub(lastContact)
}

// removeSilentPeers removes peers that have been silent for peerRetention. They are
// removed from the list sent to other instances much earlier, after silentPeerAfter;
// otherwise the instances would keep adding a dead peer to each other's lists. mu must be
// held.
func (m *Member) removeSilentPeers(now time.Time) {
	for instance, p := range m.peers {
		silence := p.silentFor(now)
		if silence > peerRetention {
			delete(m.peers, instance)
		}
		if listed := silence <= silentPeerAfter; listed != p.listed {
			p.listed = listed
			m.peerList.increment()
		}
	}
}

// Peers returns the live entry instances of the cell without this instance, sorted by
// name. Draining instances are included, with Draining set.
func (m *Member) Peers(now time.Time) []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Peer
	for _, p := range m.peers {
		if m.isLive(p, now) {
			out = append(out, p.Peer)
		}
	}
	slices.SortFunc(out, func(a, b Peer) int { return cmp.Compare(a.Node, b.Node) })
	return out
}

// Self returns the record of this instance.
func (m *Member) Self() Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// Isolated reports whether more than half of the known peers answer neither this
// instance nor, as far as it knows, any other instance.
func (m *Member) Isolated(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isIsolated(now)
}

// isIsolated reports whether more than half of the known peers are not live. Backend
// servers that announce to an isolated instance would be invisible to the rest of the
// cell, so they are redirected to other instances. mu must be held.
func (m *Member) isIsolated(now time.Time) bool {
	notLive := 0
	for _, p := range m.peers {
		if !m.isLive(p, now) {
			notLive++
		}
	}
	return 2*notLive > len(m.peers)
}

// announceTargets returns the entry instances that a backend server should announce to,
// its primary instance first. mu must be held.
func (m *Member) announceTargets(id, dataCentre string, now time.Time) []Peer {
	isolated := m.isIsolated(now)
	var targets []Peer
	if !isolated && !m.self.Draining {
		targets = append(targets, m.self)
	}
	for _, p := range m.peers {
		if (isolated || m.isLive(p, now)) && !p.Draining {
			targets = append(targets, p.Peer)
		}
	}
	if len(targets) == 0 {
		return []Peer{m.self}
	}
	return rankPeers(targets, id, dataCentre)
}

// rankPeers sorts peers by the rendezvous hash of key, those in the data centre first.
func rankPeers(peers []Peer, key, dataCentre string) []Peer {
	score := func(p Peer) uint64 { return xxhash.Sum64String(p.Node + "\x00" + key) }
	slices.SortFunc(peers, func(a, b Peer) int {
		if near := a.DataCentre == dataCentre; near != (b.DataCentre == dataCentre) {
			if near {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a.Node, b.Node))
	})
	return peers
}
