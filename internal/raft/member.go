package raft

import (
	"context"
	"slices"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/raft/raftpb"
)

// Member of a group. The incarnation is drawn when a member starts on an empty
// disk: a process that has lost its state is another member of the same name.
type Member struct {
	ID          string
	Incarnation uint64
	Learner     bool // receives the log but does not count for quorums
}

type members []Member

type membersAt struct {
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

func (m members) voters() members {
	return slices.DeleteFunc(slices.Clone(m), func(x Member) bool { return x.Learner })
}

// members returns the membership in force: the last in the log, committed or not.
func (g *Group) members() members {
	if len(g.history) == 0 {
		return nil
	}
	return g.history[len(g.history)-1].members
}

// forming reports whether the group has no membership entry yet.
func (g *Group) forming() bool { return len(g.history) == 0 }

// self returns this member as the group knows it.
func (g *Group) self() (Member, bool) {
	m, ok := g.members().find(g.cfg.ID)
	return m, ok && m.Incarnation == g.state.Incarnation
}

func (g *Group) noteMembers(e *raftpb.Entry) error {
	if e.Kind != raftpb.EntryKind_ENTRY_KIND_MEMBERS {
		return nil
	}
	if n := len(g.history); n > 0 && g.history[n-1].index >= e.Index {
		return nil // in the snapshot already
	}
	var m raftpb.Members
	if err := proto.Unmarshal(e.Data, &m); err != nil {
		return Error.Wrap(err)
	}
	g.history = append(g.history, membersAt{e.Index, fromProto(&m)})
	return nil
}

// validMembers reports whether a membership entry can be decoded and leaves a
// voter. It is checked before the entry reaches the log.
func validMembers(e *raftpb.Entry) bool {
	if e.Kind != raftpb.EntryKind_ENTRY_KIND_MEMBERS {
		return true
	}
	var m raftpb.Members
	return proto.Unmarshal(e.Data, &m) == nil && len(fromProto(&m).voters()) > 0
}

// forgetMembers undoes the membership changes from index on.
func (g *Group) forgetMembers(index uint64) {
	for n := len(g.history); n > 0 && g.history[n-1].index >= index; n-- {
		g.history = g.history[:n-1]
	}
}

// membersAt returns the membership as of an index.
func (g *Group) membersAt(index uint64) members {
	var out members
	for _, h := range g.history {
		if h.index <= index {
			out = h.members
		}
	}
	return out
}

// Add makes the process called id a member. It joins as a learner and becomes
// a voter once it has caught up. A member that has lost its state is replaced by
// the new one of the same name, and its vote is gone at once. Only the leader
// can do it; the errors are those of Propose.
func (g *Group) Add(ctx context.Context, id string) error {
	resp, err := g.cfg.Transport.Call(ctx, id, g.message(raftpb.Kind_KIND_IDENTITY))
	if err != nil {
		return Error.Wrap(err)
	}
	if resp.From != id || resp.FromIncarnation == 0 {
		return Error.New("%q answered as %q without an incarnation", id, resp.From)
	}
	add := Member{ID: id, Incarnation: resp.FromIncarnation, Learner: true}
	return g.change(ctx, func(m members) (members, error) {
		if old, ok := m.find(id); ok && old.Incarnation == add.Incarnation {
			return nil, nil
		}
		return append(m.without(id), add), nil
	})
}

// Remove ends the membership of id. A leader that removes itself steps down
// once the change is committed.
func (g *Group) Remove(ctx context.Context, id string) error {
	return g.change(ctx, func(m members) (members, error) {
		if _, ok := m.find(id); !ok {
			return nil, nil
		}
		return m.without(id), nil
	})
}

func (g *Group) change(ctx context.Context, f func(members) (members, error)) error {
	_, err := g.propose(ctx, &proposal{kind: raftpb.EntryKind_ENTRY_KIND_MEMBERS, change: f})
	return err
}

// prepare computes a membership change when it is about to be appended. It
// returns false if p is answered already. Only one change may be uncommitted, and
// only after an entry of this term is committed; otherwise two memberships
// without a common majority could be in force. The caller holds mu.
func (g *Group) prepare(p *proposal) bool {
	if p.change == nil {
		return true
	}
	if p.peer != nil {
		p.peer.promoting = false
	}
	if g.commit < g.termStart || g.history[len(g.history)-1].index > g.commit {
		p.finish(result{err: Error.New("another membership change is not committed yet")})
		return false
	}
	next, err := p.change(g.members())
	if err == nil && next != nil && len(next.voters()) == 0 {
		err = Error.New("the change would leave no voter")
	}
	if err != nil || next == nil {
		p.finish(result{err: err})
		return false
	}
	p.data, err = proto.Marshal(next.proto())
	if err != nil {
		p.finish(result{err: Error.Wrap(err)})
		return false
	}
	return true
}

// promote makes a learner that has caught up a voter. The caller holds mu.
func (g *Group) promote(p *peer) {
	if p.promoting || g.commit < g.termStart || p.match < g.commit || g.history[len(g.history)-1].index > g.commit {
		return
	}
	m, ok := g.members().find(p.id)
	if !ok || !m.Learner {
		return
	}
	p.promoting = g.enqueue(&proposal{
		kind: raftpb.EntryKind_ENTRY_KIND_MEMBERS,
		peer: p,
		change: func(all members) (members, error) {
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
