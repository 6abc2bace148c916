package member

import (
	"math"
	"slices"
	"time"

	"cranberrypath.example/cranberrypath/internal/member/membpb"
	"cranberrypath.example/cranberrypath/internal/world"
)

const (
	// leavingRetention is how long a silent backend server that is leaving or gone is
	// kept in the table, so that all instances of the cell learn its last state.
	leavingRetention = 30 * time.Second
	// leaveByTolerance is the largest change of a reclaim time that is ignored. The
	// time varies because it is computed from the remaining time in each announcement.
	leaveByTolerance = 500 * time.Millisecond
	// maxWireAge limits the ages sent on the wire.
	maxWireAge = time.Hour
)

// stateVersion orders the states of a backend server; a greater version is newer.
type stateVersion struct{ incarnation, seq uint64 }

func (v stateVersion) less(p stateVersion) bool {
	if v.incarnation != p.incarnation {
		return v.incarnation < p.incarnation
	}
	return v.seq < p.seq
}

// latestState is the newest known state of a backend server from any source. It is kept
// longer than the table entry that it came from.
type latestState struct {
	stateVersion
	state      world.State
	recordedAt time.Time
}

// recordState stores the state of a server unless a newer one is known. mu must be held.
func (m *Member) recordState(id string, latest latestState) {
	have, ok := m.latestStates[id]
	if ok && latest.less(have.stateVersion) {
		return
	}
	if have.state != latest.state || have.incarnation != latest.incarnation {
		m.permitCache.stale = true
	}
	m.latestStates[id] = latest
}

// localEntry is a backend server that announces itself to this instance.
type localEntry struct {
	slot        uint32
	backend     world.Backend
	baseSeq     uint64 // seq at the last change of backend
	seq         uint64
	load        *membpb.Load
	announcedAt time.Time // early estimate of when the last announcement was sent
	// changedIn and loadChangedIn are the table versions of the last changes of backend
	// and load.
	changedIn, loadChangedIn uint64
}

// localTable holds the backend servers that announce themselves to this instance, in
// order of their slots.
type localTable struct {
	version      uint64
	resetVersion uint64 // version of the last removal; pullers with an older version receive all entries
	nextSlot     uint32
	entries      []*localEntry
	byID         map[string]*localEntry
	cacheLog     cacheLog
}

func newLocalTable() *localTable {
	return &localTable{version: 1, resetVersion: 1, byID: map[string]*localEntry{}}
}

func (t *localTable) put(a Announcement, age time.Duration, now time.Time) {
	e := t.byID[a.Backend.ID]
	b := a.Backend
	b.Versions, b.Adapters = slices.Clone(b.Versions), slices.Clone(b.Adapters)
	at := now.Add(-age)
	t.version++
	if e == nil {
		e = &localEntry{slot: t.nextSlot, backend: b, baseSeq: a.Seq, changedIn: t.version}
		t.nextSlot++
		t.byID[b.ID] = e
		t.entries = append(t.entries, e)
	}
	if a.Seq-e.baseSeq > math.MaxUint32/2 || !sameBackend(e.backend, b) {
		e.backend, e.baseSeq, e.changedIn = b, a.Seq, t.version
	}
	e.seq = a.Seq
	e.announcedAt = at
	load := loadToWire(e.slot, a.Load, now)
	if e.load == nil || !sameLoad(e.load, load) {
		e.loadChangedIn = t.version
	}
	e.load = load
	for _, ev := range a.Cache {
		t.cacheLog.add(e.slot, b.Incarnation, ev)
	}
}

// removeExpired removes entries whose retention has ended.
func (t *localTable) removeExpired(lease time.Duration, now time.Time) {
	kept := t.entries[:0]
	for _, e := range t.entries {
		retention := lease
		if e.backend.State == world.Leaving || e.backend.State == world.Gone {
			retention = leavingRetention
		}
		if now.Sub(e.announcedAt) <= retention {
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
	t.resetVersion = t.version
}

// fillResponse adds the changes since knownVersion to r.
func (t *localTable) fillResponse(r *membpb.PullResponse, knownVersion uint64, now time.Time) {
	r.Table = t.version
	r.Full = knownVersion < t.resetVersion || knownVersion > t.version
	if r.Full {
		knownVersion = 0
	}
	r.Seqs = make([]uint32, len(t.entries))
	r.Ages = make([]uint32, len(t.entries))
	for i, e := range t.entries {
		if e.changedIn > knownVersion {
			r.Entries = append(r.Entries, entryToWire(e, now))
		}
		if e.loadChangedIn > knownVersion {
			r.Loads = append(r.Loads, e.load)
		}
		r.Seqs[i] = uint32(e.seq - e.baseSeq)
		r.Ages[i] = ageToWire(now.Sub(e.announcedAt), ageUnit)
	}
}

func sameBackend(a, b world.Backend) bool {
	if a.LeaveBy.IsZero() != b.LeaveBy.IsZero() || a.LeaveBy.Sub(b.LeaveBy).Abs() > leaveByTolerance {
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
		a.TokensPerSecond == b.TokensPerSecond && a.PrefillNanos == b.PrefillNanos && a.LagMs/lagResolutionMs == b.LagMs/lagResolutionMs
}

// lagResolutionMs is the resolution at which changes of a load's lag are sent.
const lagResolutionMs = 100
