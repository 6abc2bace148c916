package raft

import (
	"slices"
	"time"
)

// driftDivisor takes 2% off the lease: clock rates differ by at most 1% from
// the true rate, in both directions.
const driftDivisor = 50

// leaseUntil returns when the lease ends unless it is confirmed again: a
// majority of the voters has heard from this leader after a time that is one
// election timeout earlier, and refuses to vote until that has passed.
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
			contacts = append(contacts, p.contact)
		default:
			contacts = append(contacts, time.Time{})
		}
	}
	slices.SortFunc(contacts, func(a, b time.Time) int { return b.Compare(a) })
	return contacts[len(contacts)/2].Add(g.cfg.Election - g.cfg.Election/driftDivisor)
}

// Lease is the right of a leader to act alone.
type Lease struct {
	Term  uint64
	Until time.Time // by this member's clock; the right has ended then unless renewed
	// PriorEnded is when the lease of every earlier leader has surely ended. A
	// leader waits for it before it gives orders to servers that ignore fencing
	// numbers.
	PriorEnded time.Time
}

// Lease returns the lease of this member, or false if it has none at now.
func (g *Group) Lease(now time.Time) (Lease, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.role != Leader || g.commit < g.termStart {
		return Lease{}, false
	}
	l := Lease{
		Term: g.state.Term, Until: g.leaseUntil(now),
		PriorEnded: g.electedAt.Add(g.cfg.Election + g.cfg.Election/driftDivisor),
	}
	return l, now.Before(l.Until)
}
