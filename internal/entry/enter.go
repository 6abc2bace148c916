package entry

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"cranberrypath.example/cranberrypath/internal/entry/entrpb"
	"cranberrypath.example/cranberrypath/internal/poison"
	"cranberrypath.example/cranberrypath/internal/world"
)

const (
	// entranceLease bounds how long a run counts whose node was lost.
	entranceLease = time.Minute
	// exitDelay is the time that news of a crash take to the cell. A run counts
	// until then, so that no other one starts without knowing of the crash.
	exitDelay = 4 * crashTick
	// maxHarmless bounds one of two generations of requests that have completed.
	maxHarmless = 1 << 15
)

// entrances bound the runs of each request in the whole cell to the number of
// servers that it may crash, until one of them has completed. Without it a
// request that comes to several instances at once crashes a server for each.
// Each node keeps those of the fingerprints whose home it is.
type entrances struct {
	mu       sync.Mutex
	runs     map[poison.Fingerprint][]entrance
	harmless map[poison.Fingerprint]struct{}
	older    map[poison.Fingerprint]struct{}
}

type entrance struct {
	run   string
	until time.Time
}

func (s *entrances) enter(f poison.Fingerprint, run string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isHarmless(f) {
		return true
	}
	live := slices.DeleteFunc(s.runs[f], func(e entrance) bool { return !now.Before(e.until) || e.run == run })
	if len(live) >= poison.MaxCrashes {
		s.runs[f] = live
		return false
	}
	if s.runs == nil {
		s.runs = map[poison.Fingerprint][]entrance{}
	}
	s.runs[f] = append(live, entrance{run, now.Add(entranceLease)})
	return true
}

func (s *entrances) isHarmless(f poison.Fingerprint) bool {
	_, ok := s.harmless[f]
	if !ok {
		_, ok = s.older[f]
	}
	return ok
}

func (s *entrances) exit(f poison.Fingerprint, run string, completed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	live := slices.DeleteFunc(s.runs[f], func(e entrance) bool { return e.run == run })
	if completed || len(live) == 0 {
		delete(s.runs, f)
	} else {
		s.runs[f] = live
	}
	if !completed {
		return
	}
	if s.harmless == nil || len(s.harmless) >= maxHarmless {
		s.harmless, s.older = map[poison.Fingerprint]struct{}{}, s.harmless
	}
	s.harmless[f] = struct{}{}
}

// sweep drops the runs whose nodes were lost.
func (s *entrances) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for f, runs := range s.runs {
		if runs = slices.DeleteFunc(runs, func(e entrance) bool { return !now.Before(e.until) }); len(runs) == 0 {
			delete(s.runs, f)
			continue
		}
		s.runs[f] = runs
	}
}

// enter asks the home of a request whether it may run now. exit ends the run. A
// home that does not answer refuses nobody: its instance may be lost for seconds
// before the cell agrees on another one. The permits of g are held until exit.
func (e *Entry) enter(ctx context.Context, f poison.Fingerprint, g *gate, now time.Time) (exit func(completed bool), ok bool) {
	run := fmt.Sprintf("%s%d", e.ownerPrefix(), e.claims.Add(1))
	home := e.homeOf(f, now)
	if home != e.cfg.Settings.Node {
		resp, err := e.callPermit(ctx, home, &entrpb.PermitRequest{Fingerprint: f[:], Run: run})
		ok = err != nil || resp.Granted
	} else {
		ok = e.entrances.enter(f, run, now)
	}
	held := *g
	if ok {
		g.permits = nil
	} else {
		held.permits = nil
	}
	exit = func(completed bool) {
		e.running.Go(func() {
			e.exit(f, home, run, completed)
			e.leave(held)
		})
	}
	return exit, ok
}

// begin records a run on a server that is about to start. It refuses a request
// that has become a suspect since its gate was opened.
func (e *Entry) begin(ctx context.Context, f poison.Fingerprint, g *gate, b world.Backend, now time.Time) (exit func(completed bool), ok bool) {
	if exit, ok = e.enter(ctx, f, g, now); !ok {
		return nil, false
	}
	if !e.ledger.Started(f, b.ID, b.Incarnation, now) {
		exit(false)
		return nil, false
	}
	if !g.suspect && e.suspect(f, now) {
		e.ledger.Ended(f, b.ID, b.Incarnation, false, now)
		exit(false)
		return nil, false
	}
	return exit, true
}

func (e *Entry) exit(f poison.Fingerprint, home, run string, completed bool) {
	if !completed {
		pause(e.runs, exitDelay)
	}
	if home == e.cfg.Settings.Node {
		e.entrances.exit(f, run, completed)
		return
	}
	// A home that is not reached lets the run lapse.
	_, _ = e.callPermit(e.runs, home, &entrpb.PermitRequest{Fingerprint: f[:], Run: run, Release: true, Completed: completed})
}
