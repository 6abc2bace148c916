// Package roster tracks the backend servers that announce themselves. Replicas on
// several instances are merged by the incarnation and sequence number of each
// announcement, so a late or duplicate announcement never revives a server that is
// leaving, has left or has restarted.
package roster

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"cranberrypath.example/cranberrypath/internal/world"
)

// Error is the class of this package's errors.
var Error = errs.Class("roster")

// Server is the announcement of a backend server.
type Server struct {
	ID          string
	Incarnation int64  // start time of the server, Unix time in ms
	Seq         uint64 // sequence number of the announcement within the incarnation
	Service     string
	Address     string // IP address and port
	DataCentre  string
	Version     string
	Slots       int
	State       world.State
	Expired     bool // gone because its announcements stopped, not because it announced its end
	Reclaimable bool
	LeaveBy     time.Time     // when the server will be gone; zero if unknown
	ColdFor     time.Duration // remaining time of slow responses after a cold start, as announced
	ColdStated  bool          // the announcement states ColdFor
	ColdUntil   time.Time     // when the server stops being cold, by this instance's clock; zero if it is not
	Limit       Limit
}

// Limit is the rate that a server says in its responses that it accepts.
type Limit struct {
	Named   bool    // false if it accepts any rate
	Rate    float64 // requests a second from all instances together
	Version uint64  // increases with each change within the server's incarnation
}

// newer reports whether l supersedes other, a limit of the same incarnation. Of two changes
// seen at the same time the stricter one holds.
func (l Limit) newer(other Limit) bool {
	switch {
	case l.Version != other.Version:
		return l.Version > other.Version
	case l.Named != other.Named:
		return l.Named
	}
	return l.Rate < other.Rate
}

// announcedEnd reports whether the server itself announced its end.
func (s Server) announcedEnd() bool { return s.State == world.Gone && !s.Expired }

// StartedBefore reports whether this incarnation started before t.
func (s Server) StartedBefore(t time.Time) bool { return time.UnixMilli(s.Incarnation).Before(t) }

// stage orders the states that an incarnation never returns from: it leaves and ends.
func (s Server) stage() int {
	switch {
	case s.announcedEnd():
		return 2
	case s.State == world.Leaving:
		return 1
	}
	return 0
}

// CoversEndOf reports whether s tells at least as much of a server's end as other, an
// announcement of the same server.
func (s Server) CoversEndOf(other Server) bool {
	if s.Incarnation != other.Incarnation {
		return s.Incarnation > other.Incarnation
	}
	return s.stage() >= other.stage()
}

// Newer reports whether s supersedes other, an announcement of the same server.
func (s Server) Newer(other Server) bool {
	switch {
	case s.Incarnation != other.Incarnation:
		return s.Incarnation > other.Incarnation
	case s.stage() != other.stage():
		return s.stage() > other.stage()
	case s.Seq != other.Seq:
		return s.Seq > other.Seq
	}
	return s.Expired && !other.Expired
}

// MergedWith returns what two announcements of the same server tell together. Instances learn
// the limit from responses, so the newer announcement may lack it.
func (s Server) MergedWith(other Server) Server {
	out, older := s, other
	if other.Newer(s) {
		out, older = other, s
	}
	if out.Incarnation != older.Incarnation {
		return out
	}
	if older.Limit.newer(out.Limit) {
		out.Limit = older.Limit
	}
	if older.ColdUntil.After(out.ColdUntil) {
		out.ColdUntil = older.ColdUntil
	}
	return out
}

// GoneRetention is how long a gone server is remembered. A heartbeat delayed by a
// partition arrives within the time for which connections hang.
const GoneRetention = 60 * time.Second

type entry struct {
	server           Server
	firstAnnouncedAt time.Time // of the incarnation
	lastAnnouncedAt  time.Time
	lastSeq          uint64 // of any announcement of the incarnation, also one that changes nothing
	changeNumber     uint64 // number of the last relevant change of the server
	// saidLeavingTo is when the last request was sent that the server answered by saying that
	// it leaves.
	saidLeavingTo time.Time
	limitSince    time.Time // when this instance learned the server's limit, or its end
}

// Roster holds the known servers. It is safe for concurrent use.
type Roster struct {
	mu         sync.Mutex
	servers    map[string]*entry
	lastChange uint64
}

// New returns an empty roster.
func New() *Roster { return &Roster{servers: map[string]*entry{}} }

// Put applies an announcement and reports whether it made a change that must be
// propagated. Announcements older than the last one have no effect.
func (r *Roster) Put(s Server, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.servers[s.ID]
	if e == nil {
		e = &entry{}
		r.servers[s.ID] = e
	} else if merged := s.MergedWith(e.server); !s.Newer(e.server) {
		// A server that leaves may still announce itself as ready. It is present nevertheless.
		if s.Incarnation == e.server.Incarnation && s.Seq > e.lastSeq && e.server.State == world.Leaving {
			e.lastSeq, e.lastAnnouncedAt = s.Seq, now
		}
		cold := r.setCold(e, merged.ColdUntil)
		return r.setLimit(e, merged.Limit, now) || cold
	} else {
		s = merged
		if !extends(e.server.ColdUntil, s.ColdUntil) && s.Incarnation == e.server.Incarnation {
			s.ColdUntil = e.server.ColdUntil
		}
	}
	if s.stage() == 0 && s.State != world.Gone && s.StartedBefore(e.saidLeavingTo.Add(-maxClockSkew)) {
		s.State = world.Leaving // it had restarted before it said so
	}
	if s.Limit != e.server.Limit {
		e.limitSince = now
	}
	relevant := e.changeNumber == 0 || changed(e.server, s)
	if s.Incarnation != e.server.Incarnation || e.firstAnnouncedAt.IsZero() {
		e.lastSeq, e.firstAnnouncedAt = 0, now
	}
	e.server, e.lastAnnouncedAt, e.lastSeq = s, now, max(e.lastSeq, s.Seq)
	if relevant {
		r.lastChange++
		e.changeNumber = r.lastChange
	}
	return relevant
}

func changed(a, b Server) bool {
	a.Seq, b.Seq = 0, 0
	// ColdUntil holds what they state, and other instances report only that.
	a.ColdFor, b.ColdFor, a.ColdStated, b.ColdStated = 0, 0, false, false
	// The remaining time shrinks with each announcement; only its presence is relevant.
	if !a.LeaveBy.IsZero() && !b.LeaveBy.IsZero() {
		a.LeaveBy, b.LeaveBy = time.Time{}, time.Time{}
	}
	return a != b
}

// MarkLeaving records that an incarnation of a server has said in its response to a request
// sent at the given time that it leaves. It returns the server as it is known now and whether
// that is a change.
func (r *Roster) MarkLeaving(id string, incarnation int64, sent time.Time) (Server, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.servers[id]
	if e == nil {
		return Server{}, false
	}
	if sent.After(e.saidLeavingTo) {
		e.saidLeavingTo = sent
	}
	if e.server.stage() > 0 || e.server.Incarnation != incarnation && !e.server.StartedBefore(sent.Add(-maxClockSkew)) {
		return Server{}, false
	}
	r.lastChange++
	if e.server.Expired {
		e.server.Expired = false // an incarnation that leaves does not return
	} else {
		e.server.State = world.Leaving
	}
	e.changeNumber = r.lastChange
	return e.server, true
}

// setLimit replaces a server's limit and reports whether that is a change. mu must be held.
func (r *Roster) setLimit(e *entry, l Limit, now time.Time) bool {
	if l == e.server.Limit {
		return false
	}
	r.lastChange++
	e.server.Limit, e.limitSince, e.changeNumber = l, now, r.lastChange
	return true
}

// MarkLimit records the limit that an incarnation of a server names in its response to a
// request sent at the given time, or that it names none. It returns the server as it is known
// now and whether that is a change. A response without a limit ends the one known only if its
// request was sent since; the others may be as old as their requests.
func (r *Roster) MarkLimit(id string, incarnation int64, l Limit, sent, now time.Time) (Server, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.servers[id]
	if e == nil || e.server.Incarnation != incarnation || !l.Named && sent.Before(e.limitSince) {
		return Server{}, false
	}
	l.Version = e.server.Limit.Version
	if l == e.server.Limit {
		return Server{}, false
	}
	l.Version++
	r.setLimit(e, l, now)
	return e.server, true
}

// Expire marks servers as gone that were last announced earlier than before, and
// deletes gone servers after GoneRetention. It returns the servers that it marked.
func (r *Roster) Expire(before, now time.Time) []Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forgetGone(now)
	var out []Server
	for _, e := range r.servers {
		if e.server.State != world.Gone && e.lastAnnouncedAt.Before(before) {
			r.lastChange++
			// A server that leaves does not return.
			e.server.State, e.server.Expired = world.Gone, e.server.State != world.Leaving
			e.changeNumber, e.lastAnnouncedAt = r.lastChange, now
			out = append(out, e.server)
		}
	}
	return out
}

// ForgetGone deletes gone servers after GoneRetention.
func (r *Roster) ForgetGone(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forgetGone(now)
}

// forgetGone deletes gone servers after GoneRetention. mu must be held.
func (r *Roster) forgetGone(now time.Time) {
	for id, e := range r.servers {
		if e.server.State == world.Gone && now.Sub(e.lastAnnouncedAt) > GoneRetention {
			delete(r.servers, id)
		}
	}
}

// maxClockSkew is the tolerated clock difference between a server and an instance when
// the server announces its end.
const maxClockSkew = time.Second

// Leave records that a server announced its end, and reports whether it had not known of that. An
// announcement that names no incarnation (0) ends all that were started by now: an announcement of
// the server received a moment ago by another instance must not revive the server here. One that
// names an incarnation says nothing of later ones.
func (r *Roster) Leave(id string, incarnation int64, now time.Time) (Server, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.servers[id]
	switch {
	case e == nil:
		e = &entry{server: Server{ID: id}}
		r.servers[id] = e
	case incarnation > 0 && e.server.Incarnation > incarnation:
		return e.server, false
	}
	if !e.server.announcedEnd() {
		r.lastChange++
		e.server.State, e.server.Expired, e.lastAnnouncedAt, e.changeNumber = world.Gone, false, now, r.lastChange
		if incarnation > 0 {
			e.server.Incarnation = incarnation
		} else {
			e.server.Incarnation = max(e.server.Incarnation, startedBy(now))
		}
	}
	return e.server, true
}

// startedBy returns the incarnation number of a server that starts at a time, by its own clock.
func startedBy(t time.Time) int64 { return t.Add(maxClockSkew).UnixMilli() }

// Incarnation returns the number of a server's last known incarnation, or that of one that starts
// now if none is known.
func (r *Roster) Incarnation(id string, now time.Time) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.servers[id]; e != nil && e.server.Incarnation > 0 {
		return e.server.Incarnation
	}
	return startedBy(now)
}

// RefreshAll treats all servers as announced at now, after a time in which
// announcements could not arrive.
func (r *Roster) RefreshAll(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.servers {
		e.lastAnnouncedAt = now
	}
}

// Since returns the servers that changed after the given change number, ordered by ID, and
// the number of the last change. If they are more than limit, it returns those that changed
// first, and the change number to continue from. Up to limit servers that accept no new
// requests come before their turn, since requests to them fail. A limit of 0 means none.
func (r *Roster) Since(change uint64, limit int) (servers []Server, last uint64, more bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var changed []*entry
	for _, e := range r.servers {
		if e.changeNumber > change {
			changed = append(changed, e)
		}
	}
	last = r.lastChange
	if more = limit > 0 && len(changed) > limit; more {
		slices.SortFunc(changed, func(a, b *entry) int { return cmp.Compare(a.changeNumber, b.changeNumber) })
		last = changed[limit-1].changeNumber
		page := changed[:limit:limit]
		for _, e := range changed[limit:] {
			if e.server.State != world.Ready && len(page) < 2*limit {
				page = append(page, e)
			}
		}
		changed = page
	}
	for _, e := range changed {
		servers = append(servers, e.server)
	}
	slices.SortFunc(servers, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	return servers, last, more
}

// Usable returns the servers that may get new requests.
func (r *Roster) Usable() []Server {
	return slices.DeleteFunc(r.Present(), func(s Server) bool { return s.State != world.Ready })
}

// Present returns the servers that are not gone. If several servers announce the same
// address, only the one that started last is returned.
func (r *Roster) Present() []Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	byAddress := map[string]Server{}
	for _, e := range r.servers {
		if e.server.State == world.Gone {
			continue
		}
		if other, ok := byAddress[e.server.Address]; !ok || e.server.Incarnation > other.Incarnation {
			byAddress[e.server.Address] = e.server
		}
	}
	out := make([]Server, 0, len(byAddress))
	for _, s := range byAddress {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	return out
}
