package roster

import "time"

const (
	// coldMargin is how much longer a server counts as cold than the others know. Ends that
	// differ by less are not reported to them: each message adds its delay to the end.
	coldMargin = 250 * time.Millisecond
	// startSpread is the time in which servers that are started together start.
	startSpread = 5 * time.Second
)

// Cold reports whether the server counts as cold.
func (s Server) Cold(now time.Time) bool {
	return !s.ColdUntil.IsZero() && now.Before(s.ColdUntil.Add(coldMargin))
}

// ColdEnd returns when the server stops counting as cold; zero if it does not count as cold.
func (s Server) ColdEnd() time.Time {
	if s.ColdUntil.IsZero() {
		return time.Time{}
	}
	return s.ColdUntil.Add(coldMargin)
}

// extends reports whether a server is cold for longer than known.
func extends(known, said time.Time) bool {
	return !said.IsZero() && (known.IsZero() || said.Sub(known) > coldMargin)
}

// setCold makes a server cold for longer and reports whether that is a change. mu must be held.
func (r *Roster) setCold(e *entry, until time.Time) bool {
	if !extends(e.server.ColdUntil, until) {
		return false
	}
	r.lastChange++
	e.server.ColdUntil, e.changeNumber = until, r.lastChange
	return true
}

// MarkCold records that an incarnation of a server says in a response for how long it is
// cold. It returns the server as it is known now and whether that is a change.
func (r *Roster) MarkCold(id string, incarnation int64, coldFor time.Duration, now time.Time) (Server, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.servers[id]
	if e == nil || e.server.Incarnation != incarnation || coldFor <= 0 || !r.setCold(e, now.Add(coldFor)) {
		return Server{}, false
	}
	return e.server, true
}

// WithColdStart returns an announcement that states nothing about it with the end of the time
// coldStart for which a server is cold after it has started during traffic. Traffic is assumed
// if the server has restarted or another one started earlier: the first start of a whole
// deployment is not during traffic.
//
// The time counts from the first announcement that was seen if that is earlier than the start:
// the server's clock may lead.
func (r *Roster) WithColdStart(s Server, coldStart time.Duration, now time.Time) Server {
	if s.ColdStated {
		return s
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	started, seen := time.UnixMilli(s.Incarnation), now
	if e := r.servers[s.ID]; e != nil && e.server.Incarnation == s.Incarnation {
		seen = e.firstAnnouncedAt
	}
	end := started.Add(coldStart + maxClockSkew)
	if byFirst := seen.Add(coldStart); byFirst.Before(end) {
		end = byFirst
	}
	if !end.After(now) {
		return s
	}
	if seen.Before(started) {
		started = seen
	}
	for id, e := range r.servers {
		if id == s.ID && e.server.Incarnation < s.Incarnation || e.server.StartedBefore(started.Add(-startSpread)) {
			s.ColdUntil = end
			break
		}
	}
	return s
}
