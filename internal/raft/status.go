package raft

import (
	"slices"
	"time"
)

// PeerStatus is the leader's view of another member.
type PeerStatus struct {
	Member
	Match   uint64
	Contact time.Time // when the last confirmed message was sent, by the leader's clock
	AddedAt time.Time // when this leader began to replicate to the member
	// IncarnationMismatch means that the process answers with another incarnation: it has lost
	// its state and must be added again.
	IncarnationMismatch bool
}

// Status is the state of a member at one moment.
type Status struct {
	Group       uint32
	ID          string
	Incarnation uint64
	Term        uint64
	Role        Role
	Leader      string
	First, Last uint64 // indexes of the first and last entries in the log
	Commit      uint64
	Applied     uint64
	Snapshot    uint64
	Members     []Member
	Peers       []PeerStatus // only on the leader
	LeaseUntil  time.Time    // only on the leader
	// IncarnationMismatch means that the group has this member with another
	// incarnation: this process has lost its state and must be added again.
	IncarnationMismatch bool
	LastElection        Election
	Err                 error // why the member stopped; nil while it runs
}

// Election is the result of an election, or of the pre-vote before it.
type Election struct {
	Term    uint64
	At      time.Time // when the votes were counted; zero if the member has held none since its start
	PreVote bool      // the votes only tell whether an election could succeed
	Voters  []string
	Granted []string // including this member
	Needed  int
}

// Status returns the state of this member.
func (g *Group) Status() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := Status{
		Group: g.cfg.Group, ID: g.cfg.ID, Incarnation: g.state.Incarnation, Term: g.state.Term, Role: g.role,
		Leader: g.leader, First: g.base + 1, Last: g.lastIndex(), Commit: g.commit, Applied: g.applied,
		Snapshot: g.snapshotIndex, Members: slices.Clone(g.members()), IncarnationMismatch: g.incarnationMismatch,
		LastElection: g.lastElection, Err: g.err,
	}
	if g.role != Leader {
		return s
	}
	s.LeaseUntil = g.leaseUntil(g.cfg.Clock())
	for _, m := range s.Members {
		if p := g.peers[m.ID]; p != nil {
			s.Peers = append(s.Peers, PeerStatus{Member: m, Match: p.matchIndex, Contact: p.lastContact, AddedAt: p.addedAt, IncarnationMismatch: p.incarnationMismatch})
		}
	}
	return s
}
