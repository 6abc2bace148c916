package member

import (
	"context"
	"fmt"
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

// Announcement is what a backend server says about itself, once a second.
type Announcement struct {
	Backend world.Backend
	// Seq grows with each announcement of one incarnation.
	Seq  uint64
	Load world.Load
	// Cache events since the last announcement.
	Cache []world.CacheEvents
	// Ticket and Held date the announcement: the ticket of the last reply of
	// this node, and how long the server held it before it sent this. A late
	// announcement without a ticket is taken for a fresh one.
	Ticket string
	Held   time.Duration
}

// Reply answers an announcement.
type Reply struct {
	// Homes are the entry instances to announce to from now on: the home, then
	// the ones to try if it does not answer.
	Homes []Peer
	// Ticket goes with the next announcement to this node.
	Ticket string
	// Stale is set if a newer announcement is known; this one had no effect.
	Stale bool
	// Next is the time until the next announcement.
	Next time.Duration
}

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

// Announce records an announcement. Every node records the ones that it
// receives, whether it is the home or not: pulls carry them to the cell with
// their age, and the reply sends the server to its home. News that a server
// leaves is also sent to the cell at once.
func (m *Member) Announce(a Announcement, now time.Time) Reply {
	m.mu.Lock()
	r := Reply{Homes: m.homes(a.Backend.ID, a.Backend.DataCentre, now), Ticket: m.ticket(now), Next: m.cfg.Pull}
	r.Homes = r.Homes[:min(len(r.Homes), 3)]
	o := order{a.Backend.Incarnation, a.Seq}
	have, ok := m.marks[a.Backend.ID]
	if ok && !have.less(o) {
		m.mu.Unlock()
		r.Stale = true
		return r
	}
	news := !ok || have.state != a.Backend.State || have.incarnation != a.Backend.Incarnation
	m.mark(a.Backend.ID, mark{o, a.Backend.State, now})
	m.table.put(a, m.age(a, now), now)
	m.permits.stale = true
	for _, ev := range a.Cache {
		m.cache.add(CacheUpdate{Backend: a.Backend.ID, Incarnation: a.Backend.Incarnation, Events: ev})
	}
	if news && (a.Backend.State == world.Leaving || a.Backend.State == world.Gone) && m.ctx.Err() == nil {
		m.wg.Go(func() { m.spreadEnd(a.Backend, o) })
	}
	m.mu.Unlock()
	return r
}

// spreadEnd tells the cell that a backend server takes no more work. The pulls
// tell the peers that this does not reach.
func (m *Member) spreadEnd(b world.Backend, o order) {
	ctx, cancel := context.WithTimeout(m.ctx, m.cfg.Pull)
	defer cancel()
	_ = m.spread(ctx, &membpb.Revoke{
		Cell: m.cfg.Cell, Id: b.ID, Incarnation: o.incarnation, Seq: o.seq, State: uint32(b.State),
	})
}

func (m *Member) ticket(now time.Time) string {
	return fmt.Sprintf("%x-%x", m.cfg.Incarnation, max(now.Sub(m.started), 0).Milliseconds())
}

// age returns how long ago the announcement was sent at the earliest.
func (m *Member) age(a Announcement, now time.Time) time.Duration {
	var incarnation uint64
	var issued int64
	if n, _ := fmt.Sscanf(a.Ticket, "%x-%x", &incarnation, &issued); n != 2 || incarnation != m.cfg.Incarnation {
		return 0
	}
	held := a.Held - a.Held/driftPart
	return max(now.Sub(m.started)-time.Duration(issued)*time.Millisecond-held, 0)
}

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

const (
	ageUnit   = 10 * time.Millisecond
	heardUnit = 100 * time.Millisecond
)

// wireAge rounds up, so that an age is never understated.
func wireAge(d, unit time.Duration) uint32 {
	d = min(max(d, 0), maxAge)
	return uint32((d + unit - 1) / unit)
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

func loadToWire(slot uint32, l world.Load, now time.Time) *membpb.Load {
	lag := uint32(0)
	if !l.At.IsZero() {
		lag = wireAge(now.Sub(l.At), time.Millisecond)
	}
	return &membpb.Load{
		Slot: slot, Running: whole(float64(l.Running)), Waiting: whole(float64(l.Waiting)),
		CachePermille: whole(l.CacheUsed * 1000), TokensPerSecond: whole(l.TokensPerSecond),
		PrefillNanos: whole(float64(l.PrefillPerToken)), LagMs: lag,
	}
}

// whole bounds a reported figure; it may be anything.
func whole(f float64) uint32 {
	if !(f > 0) {
		return 0
	}
	return uint32(min(math.Round(f), math.MaxInt32))
}

func loadFromWire(l *membpb.Load, announced time.Time) world.Load {
	if l == nil {
		return world.Load{At: announced}
	}
	return world.Load{
		Running: int(l.Running), Waiting: int(l.Waiting), CacheUsed: float64(l.CachePermille) / 1000,
		TokensPerSecond: float64(l.TokensPerSecond), PrefillPerToken: time.Duration(l.PrefillNanos),
		At: announced.Add(-time.Duration(l.LagMs) * time.Millisecond),
	}
}

func entryToWire(e *entry, now time.Time) *membpb.Entry {
	b := e.backend
	w := &membpb.Entry{
		Slot: e.slot, Id: b.ID, Incarnation: b.Incarnation, Seq: e.base, Address: b.Address, Service: b.Service,
		Kind: b.Kind, Versions: b.Versions, Adapters: b.Adapters, Role: b.Role, DataCentre: b.DataCentre,
		Zone: b.Zone, MachineClass: b.MachineClass, Reclaimable: b.Reclaimable, Price: b.Price,
		Slots: uint32(b.Slots), CacheBlocks: uint32(b.CacheBlocks), State: uint32(b.State),
	}
	if !b.LeaveBy.IsZero() {
		w.LeaveInMs = 1 + uint64(max(b.LeaveBy.Sub(now), 0).Milliseconds())
	}
	return w
}

func backendFromWire(w *membpb.Entry, sent time.Time) world.Backend {
	b := world.Backend{
		ID: w.Id, Incarnation: w.Incarnation, Address: w.Address, Service: w.Service, Kind: w.Kind,
		Versions: w.Versions, Adapters: w.Adapters, Role: w.Role, DataCentre: w.DataCentre, Zone: w.Zone,
		MachineClass: w.MachineClass, Reclaimable: w.Reclaimable, Price: w.Price, Slots: int(w.Slots),
		CacheBlocks: int(w.CacheBlocks), State: world.State(w.State),
	}
	if w.LeaveInMs > 0 {
		b.LeaveBy = sent.Add(time.Duration(w.LeaveInMs-1) * time.Millisecond)
	}
	return b
}
