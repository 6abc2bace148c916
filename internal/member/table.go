package member

import (
	"math"
	"slices"
	"time"

	"cranberrypath.example/cranberrypath/internal/member/membpb"
	"cranberrypath.example/cranberrypath/internal/world"
)

const (
	// keepLeaving is how long a silent backend server that was not ready stays
	// in the table, so that every node of the cell learns its last state.
	keepLeaving = 30 * time.Second
	// leaveSlack is the change of a reclaim time that counts as none; the time
	// is computed anew from a remaining time with each announcement.
	leaveSlack = 500 * time.Millisecond
	// maxAge bounds ages on the wire.
	maxAge = time.Hour
)

// order is the age of a backend server's state; a greater one is newer.
type order struct{ incarnation, seq uint64 }

func (o order) less(p order) bool {
	if o.incarnation != p.incarnation {
		return o.incarnation < p.incarnation
	}
	return o.seq < p.seq
}

// mark is the newest state that this node knows of a backend server, from any
// source. It outlives the tables that it came from.
type mark struct {
	order
	state world.State
	at    time.Time
}

// mark remembers k if it is news. mu is held.
func (m *Member) mark(id string, k mark) {
	have, ok := m.marks[id]
	if ok && k.less(have.order) {
		return
	}
	if have.state != k.state || have.incarnation != k.incarnation {
		m.permits.stale = true
	}
	m.marks[id] = k
}

// entry is one backend server that announces itself to this node.
type entry struct {
	slot    uint32
	backend world.Backend
	base    uint64 // Seq when the entry last changed
	seq     uint64
	load    *membpb.Load
	at      time.Time // when the last announcement was sent, at the latest
	// changed and loaded are the table versions of the last changes.
	changed, loaded uint64
}

// table holds the backend servers that announce themselves to this node, in
// order of their slots.
type table struct {
	version  uint64
	reset    uint64 // version of the last removal; older pullers get everything
	nextSlot uint32
	entries  []*entry
	byID     map[string]*entry
	cache    cacheLog
}

func newTable() *table { return &table{version: 1, reset: 1, byID: map[string]*entry{}} }

func (t *table) put(a Announcement, age time.Duration, now time.Time) {
	e := t.byID[a.Backend.ID]
	b := a.Backend
	b.Versions, b.Adapters = slices.Clone(b.Versions), slices.Clone(b.Adapters)
	at := now.Add(-age)
	t.version++
	if e == nil {
		e = &entry{slot: t.nextSlot, backend: b, base: a.Seq, changed: t.version}
		t.nextSlot++
		t.byID[b.ID] = e
		t.entries = append(t.entries, e)
	}
	if a.Seq-e.base > math.MaxUint32/2 || !sameBackend(e.backend, b) {
		e.backend, e.base, e.changed = b, a.Seq, t.version
	}
	e.seq = a.Seq
	e.at = at
	load := loadToWire(e.slot, a.Load, now)
	if e.load == nil || !sameLoad(e.load, load) {
		e.loaded = t.version
	}
	e.load = load
	for _, ev := range a.Cache {
		t.cache.add(e.slot, b.Incarnation, ev)
	}
}

// sweep removes entries that no longer matter to anyone.
func (t *table) sweep(lease time.Duration, now time.Time) {
	kept := t.entries[:0]
	for _, e := range t.entries {
		keep := lease
		if e.backend.State == world.Leaving || e.backend.State == world.Gone {
			keep = keepLeaving
		}
		if now.Sub(e.at) <= keep {
			kept = append(kept, e)
			continue
		}
		delete(t.byID, e.backend.ID)
	}
	if len(kept) == len(t.entries) {
		return
	}
	clear(t.entries[len(kept):])
	t.entries = kept
	t.version++
	t.reset = t.version
}

// fill adds to r what a puller that holds version held does not know.
func (t *table) fill(r *membpb.PullResponse, held uint64, now time.Time) {
	r.Table = t.version
	r.Full = held < t.reset || held > t.version
	if r.Full {
		held = 0
	}
	r.Seqs = make([]uint32, len(t.entries))
	r.Ages = make([]uint32, len(t.entries))
	for i, e := range t.entries {
		if e.changed > held {
			r.Entries = append(r.Entries, entryToWire(e, now))
		}
		if e.loaded > held {
			r.Loads = append(r.Loads, e.load)
		}
		r.Seqs[i] = uint32(e.seq - e.base)
		r.Ages[i] = wireAge(now.Sub(e.at), ageUnit)
	}
}

func sameBackend(a, b world.Backend) bool {
	if a.LeaveBy.IsZero() != b.LeaveBy.IsZero() || a.LeaveBy.Sub(b.LeaveBy).Abs() > leaveSlack {
		return false
	}
	return a.ID == b.ID && a.Incarnation == b.Incarnation && a.Address == b.Address && a.Service == b.Service &&
		a.Kind == b.Kind && slices.Equal(a.Versions, b.Versions) && slices.Equal(a.Adapters, b.Adapters) &&
		a.Role == b.Role && a.DataCentre == b.DataCentre && a.Zone == b.Zone && a.MachineClass == b.MachineClass &&
		a.Reclaimable == b.Reclaimable && a.Price == b.Price && a.Slots == b.Slots &&
		a.CacheBlocks == b.CacheBlocks && a.State == b.State
}

func sameLoad(a, b *membpb.Load) bool {
	return a.Running == b.Running && a.Waiting == b.Waiting && a.CachePermille == b.CachePermille &&
		a.TokensPerSecond == b.TokensPerSecond && a.PrefillNanos == b.PrefillNanos && a.LagMs/lagStep == b.LagMs/lagStep
}

// lagStep is the change of a load's lag, in ms, that is worth sending.
const lagStep = 100
