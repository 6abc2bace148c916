package member

import (
	"cmp"
	"slices"
	"time"

	"cranberrypath.example/cranberrypath/internal/member/membpb"
	"cranberrypath.example/cranberrypath/internal/world"
)

// Permit allows this instance to send new work to a backend server.
type Permit struct {
	world.Backend
	Load world.Load
	// At is the earliest time at which the server may have sent the announcement that the
	// permit is based on.
	At time.Time
	// ExpiresAt is when the permit expires unless it is renewed.
	ExpiresAt time.Time
}

// permitCache caches the result of Permits, which is called for every request while
// the permits change much less often.
type permitCache struct {
	stale       bool
	permits     []Permit
	collectedAt time.Time
	firstExpiry time.Time // when the first of the permits expires
}

// Permits returns the permits that are valid at now, sorted by backend server ID. The
// result is shared and must not be modified.
func (m *Member) Permits(now time.Time) []Permit {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := &m.permitCache
	if !c.stale && !now.Before(c.collectedAt) && (len(c.permits) == 0 || now.Before(c.firstExpiry)) {
		return c.permits
	}
	c.permits, c.collectedAt, c.stale = m.collectPermits(now), now, false
	for i, p := range c.permits {
		if i == 0 || p.ExpiresAt.Before(c.firstExpiry) {
			c.firstExpiry = p.ExpiresAt
		}
	}
	return c.permits
}

// versionedPermit is a permit with the version of the announcement that it is based on.
type versionedPermit struct {
	Permit
	stateVersion
}

func (m *Member) collectPermits(now time.Time) []Permit {
	best := map[string]versionedPermit{}
	m.eachEntry(func(b world.Backend, seq uint64, load *membpb.Load, at time.Time) {
		m.addPermit(best, b, stateVersion{b.Incarnation, seq}, load, at, now)
	})
	out := make([]Permit, 0, len(best))
	for _, h := range best {
		out = append(out, h.Permit)
	}
	slices.SortFunc(out, func(a, b Permit) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// eachEntry calls f for the entries of this instance's table and of its copies of the
// peers' tables. mu must be held.
func (m *Member) eachEntry(f func(b world.Backend, seq uint64, load *membpb.Load, at time.Time)) {
	for _, e := range m.table.entries {
		f(e.backend, e.seq, e.load, e.announcedAt)
	}
	for _, p := range m.peers {
		for _, e := range p.table.entries {
			f(e.backend, e.seq, e.load, e.announcedAt)
		}
	}
}

// addPermit adds the permit that an entry grants to best, unless best has a newer one or
// the server has since left. mu must be held.
func (m *Member) addPermit(best map[string]versionedPermit, b world.Backend, version stateVersion, load *membpb.Load, at, now time.Time) {
	if b.State != world.Ready {
		return
	}
	until := at.Add(m.cfg.Lease - m.cfg.Lease/clockDriftDivisor)
	if !now.Before(until) {
		return
	}
	latest := m.latestStates[b.ID]
	if version.less(latest.stateVersion) && (latest.state != world.Ready || latest.incarnation != version.incarnation) {
		return
	}
	have, ok := best[b.ID]
	if ok && (version.less(have.stateVersion) || (version == have.stateVersion && !until.After(have.ExpiresAt))) {
		return
	}
	best[b.ID] = versionedPermit{Permit{Backend: b, Load: loadFromWire(load, at), At: at, ExpiresAt: until}, version}
}
