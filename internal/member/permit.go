package member

import (
	"cmp"
	"slices"
	"time"

	"cranberrypath.example/cranberrypath/internal/member/membpb"
	"cranberrypath.example/cranberrypath/internal/world"
)

// Permit is the permission to send new work to a backend server.
type Permit struct {
	world.Backend
	Load world.Load
	// At is when the server sent the announcement behind it, at the earliest.
	At time.Time
	// Until is when the permission ends unless it is renewed.
	Until time.Time
}

// permitCache keeps the last answer of Permits, since requests ask far more
// often than anything changes.
type permitCache struct {
	stale bool
	list  []Permit
	at    time.Time
	until time.Time // when the first permission of list ends
}

// Permits returns the backend servers to which this node may send new work at
// now, in order of their ids. The result is shared: do not change it.
func (m *Member) Permits(now time.Time) []Permit {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := &m.permits
	if !c.stale && !now.Before(c.at) && (len(c.list) == 0 || now.Before(c.until)) {
		return c.list
	}
	c.list, c.at, c.stale = m.collect(now), now, false
	for i, p := range c.list {
		if i == 0 || p.Until.Before(c.until) {
			c.until = p.Until
		}
	}
	return c.list
}

// held is a permission with the order of the announcement behind it.
type held struct {
	Permit
	order
}

func (m *Member) collect(now time.Time) []Permit {
	best := map[string]held{}
	m.eachEntry(func(b world.Backend, seq uint64, load *membpb.Load, at time.Time) {
		m.consider(best, b, order{b.Incarnation, seq}, load, at, now)
	})
	out := make([]Permit, 0, len(best))
	for _, h := range best {
		out = append(out, h.Permit)
	}
	slices.SortFunc(out, func(a, b Permit) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// eachEntry calls f with the entries of this node's table and of those that it
// holds of its peers. mu is held.
func (m *Member) eachEntry(f func(b world.Backend, seq uint64, load *membpb.Load, at time.Time)) {
	for _, e := range m.table.entries {
		f(e.backend, e.seq, e.load, e.at)
	}
	for _, p := range m.peers {
		for _, e := range p.remote.entries {
			f(e.backend, e.seq, e.load, e.at)
		}
	}
}

// consider keeps the permission that an entry gives if it is the best one yet.
func (m *Member) consider(best map[string]held, b world.Backend, o order, load *membpb.Load, at, now time.Time) {
	if b.State != world.Ready {
		return
	}
	until := at.Add(m.cfg.Lease - m.cfg.Lease/driftPart)
	if !now.Before(until) {
		return
	}
	k := m.marks[b.ID]
	if o.less(k.order) && (k.state != world.Ready || k.incarnation != o.incarnation) {
		return
	}
	have, ok := best[b.ID]
	if ok && (o.less(have.order) || (o == have.order && !until.After(have.Until))) {
		return
	}
	best[b.ID] = held{Permit{Backend: b, Load: loadFromWire(load, at), At: at, Until: until}, o}
}
