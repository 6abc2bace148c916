package member

import (
	"cmp"
	"slices"
	"time"

	"cranberrypath.example/cranberrypath/internal/member/membpb"
	"cranberrypath.example/cranberrypath/internal/world"
)

// Leaving returns the backend servers that are leaving or have a reclaim notice, as far
// as this instance knows, sorted by ID. Streams on them may have to be moved.
func (m *Member) Leaving(now time.Time) []world.Backend {
	m.mu.Lock()
	defer m.mu.Unlock()
	type known struct {
		world.Backend
		stateVersion
	}
	best := map[string]known{}
	m.eachEntry(func(b world.Backend, seq uint64, _ *membpb.Load, at time.Time) {
		version := stateVersion{b.Incarnation, seq}
		if have, ok := best[b.ID]; now.Sub(at) > leavingRetention || (ok && !have.less(version)) {
			return
		}
		best[b.ID] = known{b, version}
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

// Announced returns the backend servers in any state that announced themselves to this
// instance within the lease, sorted by ID.
func (m *Member) Announced(now time.Time) []Permit {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Permit
	for _, e := range m.table.entries {
		if until := e.announcedAt.Add(m.cfg.Lease); now.Before(until) {
			out = append(out, Permit{Backend: e.backend, Load: loadFromWire(e.load, e.announcedAt), At: e.announcedAt, ExpiresAt: until})
		}
	}
	slices.SortFunc(out, func(a, b Permit) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
