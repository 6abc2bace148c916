package entry

import (
	"maps"
	"slices"
	"sync"
	"time"

	"cranberrypath.example/cranberrypath/internal/poison"
)

const (
	// countLease bounds how long a run counts whose node was lost.
	countLease = time.Minute
	// endedKept covers the time that a question to a home may be on its way.
	endedKept = 4 * countTimeout
)

// runCounts bound the runs of each request in the whole cell to the number of
// servers that it may crash, until one of them has completed. Without it a
// request that comes to several instances at once crashes a server for each.
// Each node keeps those of the fingerprints of which it is one of the homes.
type runCounts struct {
	mu       sync.Mutex
	runs     map[poison.Fingerprint][]countedRun
	harmless poison.Recent        // requests that have completed
	ended    map[string]time.Time // runs that ended before they were counted
}

type countedRun struct {
	run    string
	server string
	until  time.Time
}

// add counts a run unless limit others may still crash a server, or one is on
// the same server: if that restarts between them, their crashes look like one.
// gone reports that the process of a run has left the cell.
func (s *runCounts) add(f poison.Fingerprint, run, server string, limit int, gone func(run string) bool, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.ended[run]; ok {
		return false
	}
	if s.harmless.Has(f) {
		return true
	}
	live := slices.DeleteFunc(s.runs[f], func(e countedRun) bool {
		return !now.Before(e.until) || e.run == run || gone(e.run)
	})
	same := slices.ContainsFunc(live, func(e countedRun) bool { return e.server == server })
	if len(live) >= limit || same {
		s.runs[f] = live
		return false
	}
	if s.runs == nil {
		s.runs = map[poison.Fingerprint][]countedRun{}
	}
	s.runs[f] = append(live, countedRun{run, server, now.Add(countLease)})
	return true
}

// remove ends a run. The question whether it may run can be overtaken by its end;
// it must not be counted afterwards.
func (s *runCounts) remove(f poison.Fingerprint, run string, completed bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.runs[f])
	live := slices.DeleteFunc(s.runs[f], func(e countedRun) bool { return e.run == run })
	if len(live) == n {
		if s.ended == nil {
			s.ended = map[string]time.Time{}
		}
		s.ended[run] = now.Add(endedKept)
	}
	if completed || len(live) == 0 {
		delete(s.runs, f)
	} else {
		s.runs[f] = live
	}
	if completed {
		s.harmless.Add(f)
	}
}

// sweep drops the runs whose nodes were lost.
func (s *runCounts) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for f, runs := range s.runs {
		if runs = slices.DeleteFunc(runs, func(e countedRun) bool { return !now.Before(e.until) }); len(runs) == 0 {
			delete(s.runs, f)
			continue
		}
		s.runs[f] = runs
	}
	maps.DeleteFunc(s.ended, func(_ string, until time.Time) bool { return !now.Before(until) })
}

// countHere answers a run that wants to start, as a home of its request. A
// request that is in a crash runs only if no other run of it may still crash.
func (e *Entry) countHere(f poison.Fingerprint, run, server string, now time.Time) bool {
	limit := poison.MaxCrashes
	if e.suspect(f, now) {
		limit = 1
	}
	// An answer whose owners stopped or crashed twice must not wait for their
	// runCounts to lapse.
	gone := func(run string) bool { return !e.ownerLives(run) }
	return e.counts.add(f, run, server, limit, gone, now)
}
