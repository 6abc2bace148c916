// Package roster keeps the backend servers that announce themselves. Copies on
// several instances are merged by the incarnation and the number of each
// announcement, so a late or repeated one never revives a server that has left
// or restarted.
package roster

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"cranberrypath.example/cranberrypath/internal/world"
)

// Error is the class of this package's errors.
var Error = errs.Class("roster")

// Server is what a backend server says of itself.
type Server struct {
	ID          string
	Born        int64  // start of the server, ms since 1970; its incarnation
	Seq         uint64 // grows with each announcement of one incarnation
	Service     string
	Address     string // IP address and port
	DataCentre  string
	Version     string
	Slots       int
	State       world.State
	Silent      bool // gone because nothing was heard of it, not by its own word
	Reclaimable bool
	LeaveBy     time.Time     // when it is gone; zero if it does not say
	Cold        time.Duration // how much longer it is slow after its start
}

// ended reports whether the server itself said that it ends.
func (s Server) ended() bool { return s.State == world.Gone && !s.Silent }

// Newer reports whether s was said after o by the same server.
func (s Server) Newer(o Server) bool {
	switch {
	case s.Born != o.Born:
		return s.Born > o.Born
	case s.ended() != o.ended():
		return s.ended() // nothing follows the end of an incarnation
	case s.Seq != o.Seq:
		return s.Seq > o.Seq
	}
	return s.Silent && !o.Silent
}

// keepGone is how long an end is remembered. A heartbeat that a partition has
// held up arrives within the time for which connections hang.
const keepGone = 60 * time.Second

type entry struct {
	s       Server
	heard   time.Time
	changed uint64 // number of the last change that matters to others
}

// Roster holds the servers. It is safe for concurrent use.
type Roster struct {
	mu      sync.Mutex
	servers map[string]*entry
	change  uint64
}

// New returns an empty roster.
func New() *Roster { return &Roster{servers: map[string]*entry{}} }

// Put takes an announcement and reports whether it changed what others must
// know. Announcements older than the last one change nothing.
func (r *Roster) Put(s Server, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.servers[s.ID]
	if e == nil {
		e = &entry{}
		r.servers[s.ID] = e
	} else if !s.Newer(e.s) {
		return false
	}
	matters := e.changed == 0 || differs(e.s, s)
	e.s, e.heard = s, now
	if matters {
		r.change++
		e.changed = r.change
	}
	return matters
}

func differs(a, b Server) bool {
	a.Seq, b.Seq = 0, 0
	// The remaining times shrink with each announcement; only their presence is news.
	if (a.Cold > 0) == (b.Cold > 0) {
		a.Cold, b.Cold = 0, 0
	}
	if !a.LeaveBy.IsZero() && !b.LeaveBy.IsZero() {
		a.LeaveBy, b.LeaveBy = time.Time{}, time.Time{}
	}
	return a != b
}

// Expire marks servers as gone that have been silent since before, and forgets
// ends that are older than any late announcement. It returns the servers that
// it marked.
func (r *Roster) Expire(before, now time.Time) []Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Server
	for id, e := range r.servers {
		switch {
		case e.s.State == world.Gone:
			if now.Sub(e.heard) > keepGone {
				delete(r.servers, id)
			}
		case e.heard.Before(before):
			r.change++
			e.s.State, e.s.Silent, e.changed, e.heard = world.Gone, true, r.change, now
			out = append(out, e.s)
		}
	}
	return out
}

// leaveSkew is how far the clocks of a server and an instance may differ for the
// word that it ends.
const leaveSkew = time.Second

// Leave records the word of a server that it ends. The word names no incarnation, so
// it ends all that have started by now: the server may have announced itself to
// another instance a moment ago, and that announcement must not revive it here.
func (r *Roster) Leave(id string, now time.Time) Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.servers[id]
	if e == nil {
		e = &entry{s: Server{ID: id}}
		r.servers[id] = e
	}
	if !e.s.ended() {
		r.change++
		e.s.State, e.s.Silent, e.heard, e.changed = world.Gone, false, now, r.change
		e.s.Born = max(e.s.Born, now.Add(leaveSkew).UnixMilli())
	}
	return e.s
}

// Touch counts all servers as heard at now, after a time in which announcements
// could not arrive.
func (r *Roster) Touch(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.servers {
		e.heard = now
	}
}

// Since returns the servers that changed after the change number, and the
// number of the last change.
func (r *Roster) Since(change uint64) ([]Server, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Server
	for _, e := range r.servers {
		if e.changed > change {
			out = append(out, e.s)
		}
	}
	slices.SortFunc(out, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	return out, r.change
}

// Usable returns the servers that may get new work.
func (r *Roster) Usable() []Server {
	return slices.DeleteFunc(r.Present(), func(s Server) bool { return s.State != world.Ready })
}

// Present returns the servers that are there. Of two that name the same address
// the one that started last has it.
func (r *Roster) Present() []Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	byAddress := map[string]Server{}
	for _, e := range r.servers {
		if e.s.State == world.Gone {
			continue
		}
		if o, ok := byAddress[e.s.Address]; !ok || e.s.Born > o.Born {
			byAddress[e.s.Address] = e.s
		}
	}
	out := make([]Server, 0, len(byAddress))
	for _, s := range byAddress {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	return out
}
