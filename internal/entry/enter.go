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
	// entranceHomes is how many homes count the runs of a request, so that one
	// which does not answer in time does not let a further run pass.
	entranceHomes = 2
	// exitTries is how often the end of a run is sent to a home that fails.
	exitTries = 3
)

// entrances bound the runs of each request in the whole cell to the number of
// servers that it may crash, until one of them has completed. Without it a
// request that comes to several instances at once crashes a server for each.
// Each node keeps those of the fingerprints of which it is one of the homes.
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

// enter counts a run unless limit others may still crash a server. gone reports
// that the process of a run has left the cell.
func (s *entrances) enter(f poison.Fingerprint, run string, limit int, gone func(run string) bool, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isHarmless(f) {
		return true
	}
	live := slices.DeleteFunc(s.runs[f], func(e entrance) bool {
		return !now.Before(e.until) || e.run == run || gone(e.run)
	})
	if len(live) >= limit {
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

// enterHere answers a run that wants to start, as a home of its request. A
// request that is in a crash runs only if no other run of it may still crash.
func (e *Entry) enterHere(f poison.Fingerprint, run string, now time.Time) bool {
	limit := poison.MaxCrashes
	if e.suspect(f, now) {
		limit = 1
	}
	// An answer whose owners stopped or crashed twice must not wait for their
	// entrances to lapse.
	gone := func(run string) bool { return !e.ownerLives(run) }
	return e.entrances.enter(f, run, limit, gone, now)
}

// enter asks the homes of a request whether it may run now. exit ends the run.
// The permits of g are held until exit.
func (e *Entry) enter(ctx context.Context, f poison.Fingerprint, g *gate, now time.Time) (exit func(completed bool), ok bool) {
	run := fmt.Sprintf("%s%d", e.ownerPrefix(), e.claims.Add(1))
	homes, ok := e.askEntrance(ctx, f, run, now)
	if !ok {
		e.running.Go(func() { e.exit(f, homes, run, false) })
		return nil, false
	}
	held := *g
	g.permits = nil
	exit = func(completed bool) {
		e.running.Go(func() {
			if !completed {
				pause(e.runs, exitDelay)
			}
			e.exit(f, homes, run, completed)
			e.leave(held)
		})
	}
	return exit, true
}

// askEntrance asks two homes, and two more while none answers; this node is in
// the list and answers. Every home that answers must agree. It returns the
// homes that may have counted the run.
func (e *Entry) askEntrance(ctx context.Context, f poison.Fingerprint, run string, now time.Time) (asked []string, ok bool) {
	for homes := range slices.Chunk(e.homesOf(f, now), entranceHomes) {
		asked = append(asked, homes...)
		answers := make([]*entrpb.PermitResponse, len(homes))
		var wg sync.WaitGroup
		for i, home := range homes {
			wg.Go(func() { answers[i] = e.askHome(ctx, home, f, run, now) })
		}
		wg.Wait()
		answers = slices.DeleteFunc(answers, func(a *entrpb.PermitResponse) bool { return a == nil })
		if len(answers) > 0 {
			return asked, !slices.ContainsFunc(answers, func(a *entrpb.PermitResponse) bool { return !a.Granted })
		}
	}
	return asked, false
}

// askHome returns nil if the home does not answer. What the home knows of
// crashes with the request is known here afterwards.
func (e *Entry) askHome(ctx context.Context, home string, f poison.Fingerprint, run string, now time.Time) *entrpb.PermitResponse {
	if home == e.cfg.Settings.Node {
		return &entrpb.PermitResponse{Granted: e.enterHere(f, run, now)}
	}
	resp, err := e.callPermit(ctx, home, &entrpb.PermitRequest{Fingerprint: f[:], Run: run, Records: e.ledger.Of(f, now)})
	if err != nil || e.ledger.Merge(resp.Records, now) != nil {
		return nil
	}
	return resp
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

// exit tells the homes that a run has ended, with the crash that ended it. A
// home that is not reached lets the run lapse. A process that stops tells them
// too, since another one continues its answers.
func (e *Entry) exit(f poison.Fingerprint, homes []string, run string, completed bool) {
	var wg sync.WaitGroup
	for _, home := range homes {
		wg.Go(func() {
			if home == e.cfg.Settings.Node {
				e.entrances.exit(f, run, completed)
				return
			}
			req := &entrpb.PermitRequest{Fingerprint: f[:], Run: run, Release: true, Completed: completed, Records: e.ledger.Of(f, e.cfg.Now())}
			for range exitTries {
				if _, err := e.callPermit(context.WithoutCancel(e.runs), home, req); err == nil {
					return
				}
			}
		})
	}
	wg.Wait()
}
