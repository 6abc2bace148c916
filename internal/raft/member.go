package raft

import (
	"context"
	"slices"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/raft/raftpb"
)

// Member is a member of a group. The incarnation is chosen at random when a member
// starts on an empty disk, so a process that has lost its state is a different member
// with the same ID.
type Member struct {
	ID          string
	Incarnation uint64
	Learner     bool // receives the log but does not count for quorums
}

type members []Member

type membership struct {
	index   uint64
	members members
}

func fromProto(m *raftpb.Members) members {
	var out members
	for _, p := range m.GetMembers() {
		out = append(out, Member{ID: p.Id, Incarnation: p.Incarnation, Learner: p.Learner})
	}
	return out
}

func (m members) proto() *raftpb.Members {
	out := &raftpb.Members{}
	for _, x := range m {
		out.Members = append(out.Members, &raftpb.Member{Id: x.ID, Incarnation: x.Incarnation, Learner: x.Learner})
	}
	return out
}

func (m members) find(id string) (Member, bool) {
	i := slices.IndexFunc(m, func(x Member) bool { return x.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return m[i], true
}

func (m members) without(id string) members {
	return slices.DeleteFunc(slices.Clone(m), func(x Member) bool { return x.ID == id })
}

func (m members) ids() []string {
	out := make([]string, len(m))
	for i, x := range m {
		out[i] = x.ID
	}
	return out
}

func (m members) voters() members {
	return slices.DeleteFunc(slices.Clone(m), func(x Member) bool { return x.Learner })
}

// members returns the current membership: the last in the log, committed or not.
func (g *Group) members() members {
	if len(g.memberships) == 0 {
		return nil
	}
	return g.memberships[len(g.memberships)-1].members
}

// bootstrapping reports whether the group has no membership entry yet.
func (g *Group) bootstrapping() bool { return len(g.memberships) == 0 }

// self returns this member's entry in the membership, and false if the membership
// lacks this member or has another incarnation of it.
func (g *Group) self() (Member, bool) {
	m, ok := g.members().find(g.cfg.ID)
	return m, ok && m.Incarnation == g.state.Incarnation
}

func (g *Group) recordMembership(e *raftpb.Entry) error {
	if e.Kind != raftpb.EntryKind_ENTRY_KIND_MEMBERS {
		return nil
	}
	if n := len(g.memberships); n > 0 && g.memberships[n-1].index >= e.Index {
		return nil // part of the snapshot
	}
	var m raftpb.Members
	if err := proto.Unmarshal(e.Data, &m); err != nil {
		return Error.Wrap(err)
	}
	g.memberships = append(g.memberships, membership{e.Index, fromProto(&m)})
	return nil
}

// validMembership reports whether a membership entry can be decoded and has a voter.
// It is called before the entry is written to the log.
func validMembership(e *raftpb.Entry) bool {
	if e.Kind != raftpb.EntryKind_ENTRY_KIND_MEMBERS {
		return true
	}
	var m raftpb.Members
	return proto.Unmarshal(e.Data, &m) == nil && len(fromProto(&m).voters()) > 0
}

// truncateMemberships removes the memberships from index on.
func (g *Group) truncateMemberships(index uint64) {
	for n := len(g.memberships); n > 0 && g.memberships[n-1].index >= index; n-- {
		g.memberships = g.memberships[:n-1]
	}
}

// membersAt returns the membership as of index.
func (g *Group) membersAt(index uint64) members {
	var out members
	for _, m := range g.memberships {
		if m.index <= index {
			out = m.members
		}
	}
	return out
}

// Add makes the process with the given ID a member. It joins as a learner and becomes
// a voter once it has caught up. A member with the same ID that has lost its state is
// replaced and stops being a voter at once. Only the leader can add members; the
// errors include those of Propose.
func (g *Group) Add(ctx context.Context, id string) error {
	resp, err := g.cfg.Transport.Call(ctx, id, g.newMessage(raftpb.Kind_KIND_IDENTITY))
	if err != nil {
		return Error.Wrap(err)
	}
	if resp.From != id || resp.FromIncarnation == 0 {
		return Error.New("%q answered as %q without an incarnation", id, resp.From)
	}
	add := Member{ID: id, Incarnation: resp.FromIncarnation, Learner: true}
	return g.proposeMembershipChange(ctx, func(m members) (members, error) {
		if old, ok := m.find(id); ok && old.Incarnation == add.Incarnation {
			return nil, nil
		}
		return append(m.without(id), add), nil
	})
}

// Remove removes the member with the given ID. A leader that removes itself steps
// down once the change is committed.
func (g *Group) Remove(ctx context.Context, id string) error {
	return g.proposeMembershipChange(ctx, func(m members) (members, error) {
		if _, ok := m.find(id); !ok {
			return nil, nil
		}
		return m.without(id), nil
	})
}

func (g *Group) proposeMembershipChange(ctx context.Context, membershipChange func(members) (members, error)) error {
	_, err := g.propose(ctx, &proposal{kind: raftpb.EntryKind_ENTRY_KIND_MEMBERS, membershipChange: membershipChange})
	return err
}

// prepareMembershipChange computes a membership entry that is about to be appended.
// It returns false if p was answered instead. At most one change may be uncommitted,
// and the leader must have committed an entry of its term before it; otherwise two
// memberships without a common majority could be used at the same time. The caller
// holds mu.
func (g *Group) prepareMembershipChange(p *proposal) bool {
	if p.membershipChange == nil {
		return true
	}
	if p.learner != nil {
		p.learner.promoting = false
	}
	if g.commit < g.termStartIndex || g.memberships[len(g.memberships)-1].index > g.commit {
		p.complete(result{err: Error.New("another membership change is not committed yet")})
		return false
	}
	next, err := p.membershipChange(g.members())
	if err == nil && next != nil && len(next.voters()) == 0 {
		err = Error.New("the change would leave no voter")
	}
	if err != nil || next == nil {
		p.complete(result{err: err})
		return false
	}
	p.data, err = proto.Marshal(next.proto())
	if err != nil {
		p.complete(result{err: Error.Wrap(err)})
		return false
	}
	return true
}

// promoteLearner proposes to make a learner that has caught up a voter. The caller
// holds mu.
func (g *Group) promoteLearner(p *peer) {
	if p.promoting || g.commit < g.termStartIndex || p.matchIndex < g.commit || g.memberships[len(g.memberships)-1].index > g.commit {
		return
	}
	m, ok := g.members().find(p.id)
	if !ok || !m.Learner {
		return
	}
	p.promoting = g.enqueue(&proposal{
		kind:    raftpb.EntryKind_ENTRY_KIND_MEMBERS,
		learner: p,
		membershipChange: func(all members) (members, error) {
			next := slices.Clone(all)
			for i, x := range next {
				if x.ID == p.id && x.Incarnation == p.incarnation {
					next[i].Learner = false
				}
			}
			return next, nil
		},
	}) == nil
}
