package member

import (
	"cmp"
	"slices"
	"time"

	"cranberrypath.example/cranberrypath/internal/member/membpb"
	"cranberrypath.example/cranberrypath/internal/world"
)

// Leaving returns the backend servers that take no new work or have a reclaim
// notice, as far as this node knows, in order of their ids. Streams that run on
// them may have to move.
func (m *Member) Leaving(now time.Time) []world.Backend {
	m.mu.Lock()
	defer m.mu.Unlock()
	type known struct {
		world.Backend
		order
	}
	best := map[string]known{}
	m.eachEntry(func(b world.Backend, seq uint64, _ *membpb.Load, at time.Time) {
		o := order{b.Incarnation, seq}
		if have, ok := best[b.ID]; now.Sub(at) > keepLeaving || (ok && !have.less(o)) {
			return
		}
		best[b.ID] = known{b, o}
	})
	var out []world.Backend
	for _, k := range best {
		if k.State == world.Leaving || !k.LeaveBy.IsZero() {
			out = append(out, k.Backend)
		}
	}
	slices.SortFunc(out, func(a, b world.Backend) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Announced returns the backend servers that announced themselves to this node
// within the lease, in any state, in order of their ids.
func (m *Member) Announced(now time.Time) []Permit {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Permit
	for _, e := range m.table.entries {
		if until := e.at.Add(m.cfg.Lease); now.Before(until) {
			out = append(out, Permit{Backend: e.backend, Load: loadFromWire(e.load, e.at), At: e.at, Until: until})
		}
	}
	slices.SortFunc(out, func(a, b Permit) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
