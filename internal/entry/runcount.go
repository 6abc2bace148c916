package entry

import (
	"maps"
	"slices"
	"sync"
	"time"

	"cranberrypath.example/cranberrypath/internal/poison"
)

const (
	// runLease limits how long a run counts after its node was lost.
	runLease = time.Minute
	// endedRunTTL covers the time for which a query about a run may be delayed.
	endedRunTTL = 4 * countQueryTimeout
)

// runCounts limits the concurrent runs of each request in the whole cell to the
// number of servers that it may crash, until one run has completed. Without
// this limit, a request sent to several instances at once could crash one
// server for each. A run is one execution of a request on a backend server.
// Each node counts the runs of the fingerprints that countingNodes assigns to
// it.
type runCounts struct {
	mu         sync.Mutex
	runs       map[poison.Fingerprint][]countedRun
	harmless   poison.Recent        // requests that have completed
	endedEarly map[string]time.Time // expiry of runs that ended before they were counted
}

type countedRun struct {
	id       string
	serverID string
	expires  time.Time
}

// add counts a run. It refuses the run if limit other runs may still crash a
// server, or if another run is on the same server: if that server restarted
// between two crashes, they would look like one. gone reports whether the
// process of a run has left the cell.
func (s *runCounts) add(f poison.Fingerprint, runID, serverID string, limit int, gone func(runID string) bool, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.endedEarly[runID]; ok {
		return false
	}
	if s.harmless.Has(f) {
		return true
	}
	counted := slices.DeleteFunc(s.runs[f], func(r countedRun) bool {
		return !now.Before(r.expires) || r.id == runID || gone(r.id)
	})
	onSameServer := slices.ContainsFunc(counted, func(r countedRun) bool { return r.serverID == serverID })
	if len(counted) >= limit || onSameServer {
		s.runs[f] = counted
		return false
	}
	if s.runs == nil {
		s.runs = map[poison.Fingerprint][]countedRun{}
	}
	s.runs[f] = append(counted, countedRun{runID, serverID, now.Add(runLease)})
	return true
}

// remove ends a run. The end of a run can overtake the query that counts it;
// such a run must not be counted afterwards.
func (s *runCounts) remove(f poison.Fingerprint, runID string, completed bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.runs[f])
	remaining := slices.DeleteFunc(s.runs[f], func(r countedRun) bool { return r.id == runID })
	if len(remaining) == n {
		if s.endedEarly == nil {
			s.endedEarly = map[string]time.Time{}
		}
		s.endedEarly[runID] = now.Add(endedRunTTL)
	}
	if completed || len(remaining) == 0 {
		delete(s.runs, f)
	} else {
		s.runs[f] = remaining
	}
	if completed {
		s.harmless.Add(f)
	}
}

// sweep removes runs whose nodes were lost.
func (s *runCounts) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for f, runs := range s.runs {
		if runs = slices.DeleteFunc(runs, func(r countedRun) bool { return !now.Before(r.expires) }); len(runs) == 0 {
			delete(s.runs, f)
			continue
		}
		s.runs[f] = runs
	}
	maps.DeleteFunc(s.endedEarly, func(_ string, expires time.Time) bool { return !now.Before(expires) })
}

// countRunLocal decides as a counting node whether a run may start. A request
// involved in a crash may run only if no other run of it may still crash a
// server.
func (e *Entry) countRunLocal(f poison.Fingerprint, runID, serverID string, now time.Time) bool {
	limit := poison.MaxCrashes
	if e.isSuspect(f, now) {
		limit = 1
	}
	// An answer whose owners stopped or crashed twice must not wait until their
	// counted runs expire.
	gone := func(run string) bool { return !e.ownerAlive(run) }
	return e.runCounts.add(f, runID, serverID, limit, gone, now)
}
