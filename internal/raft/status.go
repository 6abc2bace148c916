package raft

import (
	"slices"
	"time"
)

// PeerStatus is what the leader knows about another member.
type PeerStatus struct {
	Member
	Match   uint64
	Contact time.Time // last confirmed message, by the leader's clock
	// Stranger means that the process answers under another incarnation: it has
	// lost its state and must be added again.
	Stranger bool
}

// Status of a member.
type Status struct {
	Group       uint32
	ID          string
	Incarnation uint64
	Term        uint64
	Role        Role
	Leader      string
	First, Last uint64 // entries in the log
	Commit      uint64
	Applied     uint64
	Snapshot    uint64
	Members     []Member
	Peers       []PeerStatus // on the leader
	LeaseUntil  time.Time    // on the leader
	// Stranger means that the group knows this member under another incarnation.
	Stranger bool
	Err      error // why the member stopped
}

// Status returns the state of this member.
func (g *Group) Status() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := Status{
		Group: g.cfg.Group, ID: g.cfg.ID, Incarnation: g.state.Incarnation, Term: g.state.Term, Role: g.role,
		Leader: g.leader, First: g.base + 1, Last: g.last(), Commit: g.commit, Applied: g.applied,
		Snapshot: g.snapIndex, Members: slices.Clone(g.members()), Stranger: g.stranger, Err: g.err,
	}
	if g.role != Leader {
		return s
	}
	s.LeaseUntil = g.leaseUntil(g.cfg.Clock())
	for _, m := range s.Members {
		if p := g.peers[m.ID]; p != nil {
			s.Peers = append(s.Peers, PeerStatus{Member: m, Match: p.match, Contact: p.contact, Stranger: p.stranger})
		}
	}
	return s
}
