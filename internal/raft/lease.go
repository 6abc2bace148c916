package raft

import (
	"slices"
	"time"
)

// clockDriftDivisor shortens the lease by 2%, because each clock may run up to 1%
// too fast or too slow.
const clockDriftDivisor = 50

// leaseUntil returns when the lease expires unless it is renewed. A majority of
// the voters has received a message from this leader and grants no vote to another
// candidate for one election timeout after it. The caller holds mu.
func (g *Group) leaseUntil(now time.Time) time.Time {
	voters := g.members().voters()
	if len(voters) == 0 {
		return time.Time{}
	}
	contacts := make([]time.Time, 0, len(voters))
	for _, m := range voters {
		switch p := g.peers[m.ID]; {
		case m.ID == g.cfg.ID:
			contacts = append(contacts, now)
		case p != nil:
			contacts = append(contacts, p.lastContact)
		default:
			contacts = append(contacts, time.Time{})
		}
	}
	slices.SortFunc(contacts, func(a, b time.Time) int { return b.Compare(a) })
	return contacts[len(contacts)/2].Add(g.cfg.ElectionTimeout - g.cfg.ElectionTimeout/clockDriftDivisor)
}

// Lease is the leader's exclusive right to act without asking the other members.
type Lease struct {
	Term  uint64
	Until time.Time // expiry by this member's clock unless renewed
	// PreviousLeaseEnd is when the leases of all earlier leaders have certainly
	// expired. A leader waits until then before it sends orders to servers that
	// ignore fencing tokens.
	PreviousLeaseEnd time.Time
}

// Current reports whether the state machine of this member has every command that was
// acknowledged before now: it holds the lease and has applied the log of earlier leaders.
func (g *Group) Current(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.role == Leader && g.applied >= g.termStartIndex && now.Before(g.leaseUntil(now))
}

// Lease returns the lease of this member, and false if it holds none at now.
func (g *Group) Lease(now time.Time) (Lease, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.role != Leader || g.commit < g.termStartIndex {
		return Lease{}, false
	}
	l := Lease{
		Term: g.state.Term, Until: g.leaseUntil(now),
		PreviousLeaseEnd: g.electedAt.Add(g.cfg.ElectionTimeout + g.cfg.ElectionTimeout/clockDriftDivisor),
	}
	return l, now.Before(l.Until)
}
