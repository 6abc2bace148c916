package entry

import (
	"context"
	"fmt"
	"maps"
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
	// entranceHomes is how many homes count the runs of a request. More than two
	// thirds of them must let a run pass: with two places at each home that makes
	// two runs at most, and one home of four may be slow or lost.
	entranceHomes = 4
	// entranceTimeout bounds the answer of a home. Homes are seldom far beyond a
	// round trip, but a machine that is short of processor time takes longer.
	entranceTimeout = time.Second
	// entranceRounds is how often silent homes are asked. Together with the
	// timeout it covers the age at which a lost node leaves the cell.
	entranceRounds = 3
	// exitedKept covers the time that a question to a home may be on its way.
	exitedKept = 4 * entranceTimeout
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
	exited   map[string]time.Time // runs that ended before they were counted
}

type entrance struct {
	run    string
	server string
	until  time.Time
}

// enter counts a run unless limit others may still crash a server, or one is on
// the same server: if that restarts between them, their crashes look like one.
// gone reports that the process of a run has left the cell.
func (s *entrances) enter(f poison.Fingerprint, run, server string, limit int, gone func(run string) bool, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.exited[run]; ok {
		return false
	}
	if s.isHarmless(f) {
		return true
	}
	live := slices.DeleteFunc(s.runs[f], func(e entrance) bool {
		return !now.Before(e.until) || e.run == run || gone(e.run)
	})
	same := slices.ContainsFunc(live, func(e entrance) bool { return e.server == server })
	if len(live) >= limit || same {
		s.runs[f] = live
		return false
	}
	if s.runs == nil {
		s.runs = map[poison.Fingerprint][]entrance{}
	}
	s.runs[f] = append(live, entrance{run, server, now.Add(entranceLease)})
	return true
}

func (s *entrances) isHarmless(f poison.Fingerprint) bool {
	_, ok := s.harmless[f]
	if !ok {
		_, ok = s.older[f]
	}
	return ok
}

// exit ends a run. The question whether it may run can be overtaken by its end;
// it must not be counted afterwards.
func (s *entrances) exit(f poison.Fingerprint, run string, completed bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.runs[f])
	live := slices.DeleteFunc(s.runs[f], func(e entrance) bool { return e.run == run })
	if len(live) == n {
		if s.exited == nil {
			s.exited = map[string]time.Time{}
		}
		s.exited[run] = now.Add(exitedKept)
	}
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
	maps.DeleteFunc(s.exited, func(_ string, until time.Time) bool { return !now.Before(until) })
}

// enterHere answers a run that wants to start, as a home of its request. A
// request that is in a crash runs only if no other run of it may still crash.
func (e *Entry) enterHere(f poison.Fingerprint, run, server string, now time.Time) bool {
	limit := poison.MaxCrashes
	if e.suspect(f, now) {
		limit = 1
	}
	// An answer whose owners stopped or crashed twice must not wait for their
	// entrances to lapse.
	gone := func(run string) bool { return !e.ownerLives(run) }
	return e.entrances.enter(f, run, server, limit, gone, now)
}

// enter asks the homes of a request whether it may run now. exit ends the run.
// The permits of g are held until exit.
func (e *Entry) enter(ctx context.Context, f poison.Fingerprint, g *gate, server string, now time.Time) (exit func(completed bool), ok bool) {
	run := fmt.Sprintf("%s%d", e.ownerPrefix(), e.claims.Add(1))
	homes, ok := e.askEntrance(ctx, f, run, server, now)
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

// askEntrance asks the homes of a request and returns as soon as they have
// decided. It returns all homes, as any of them may have counted the run.
//
// If they cannot decide because too many are silent, it asks again. A part of the
// cell that is cut off for longer must not hold up its accepted requests, so the
// last round needs only that some home answers and none refuses. During a
// partition a request may therefore lose two servers on each side.
func (e *Entry) askEntrance(ctx context.Context, f poison.Fingerprint, run, server string, now time.Time) (homes []string, ok bool) {
	homes = e.entranceHomes(f, now)
	for round := 1; ctx.Err() == nil; round++ {
		answers := make(chan answer, len(homes))
		for _, home := range homes {
			e.running.Go(func() { answers <- e.askHome(ctx, home, f, run, server, now) })
		}
		switch enough(len(homes), answers) {
		case granted:
			return homes, true
		case refused:
			return homes, false
		}
		if round == entranceRounds {
			return homes, e.enterHere(f, run, server, now)
		}
	}
	return homes, false
}

// answer is that of a home, or of all of them together.
type answer uint8

const (
	silent answer = iota
	granted
	refused
)

// enough reads the answers of n homes until they decide. They are silent if the
// answers that are missing could have granted the run.
func enough(n int, answers <-chan answer) answer {
	need := 2*n/3 + 1
	var count [refused + 1]int
	for left := n; left > 0; left-- {
		count[<-answers]++
		switch {
		case count[granted] >= need:
			return granted
		case count[refused] > n-need:
			return refused
		}
	}
	if count[refused] > 0 {
		return refused
	}
	return silent
}

// entranceHomes returns the nodes that count the runs of a request: in rank
// order, but from different data centres as far as there are enough, so that the
// loss of one leaves the others able to decide.
func (e *Entry) entranceHomes(f poison.Fingerprint, now time.Time) []string {
	at := map[string]string{e.cfg.Settings.Node: e.cfg.Settings.DataCentre}
	for _, p := range e.member.Peers(now) {
		at[p.Node] = p.DataCentre
	}
	ranked := poison.Homes(f, slices.Collect(maps.Keys(at)))
	var first, rest []string
	seen := map[string]bool{}
	for _, n := range ranked {
		if dc := at[n]; !seen[dc] {
			seen[dc] = true
			first = append(first, n)
			continue
		}
		rest = append(rest, n)
	}
	homes := append(first, rest...)
	return homes[:min(len(homes), entranceHomes)]
}

// askHome asks one home. What it knows of crashes with the request is known here
// afterwards.
func (e *Entry) askHome(ctx context.Context, home string, f poison.Fingerprint, run, server string, now time.Time) answer {
	if home == e.cfg.Settings.Node {
		return verdict(e.enterHere(f, run, server, now))
	}
	req := &entrpb.PermitRequest{Fingerprint: f[:], Run: run, Server: server, Records: e.ledger.Of(f, now)}
	resp, err := e.callPermit(ctx, home, req, entranceTimeout)
	if err != nil || e.ledger.Merge(resp.Records, now) != nil {
		return silent
	}
	return verdict(resp.Granted)
}

func verdict(ok bool) answer {
	if ok {
		return granted
	}
	return refused
}

// begin records a run on a server that is about to start. It refuses a request
// that has become a suspect since its gate was opened.
func (e *Entry) begin(ctx context.Context, f poison.Fingerprint, g *gate, b world.Backend, now time.Time) (exit func(completed bool), ok bool) {
	if exit, ok = e.enter(ctx, f, g, b.ID, now); !ok {
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
				e.entrances.exit(f, run, completed, e.cfg.Now())
				return
			}
			req := &entrpb.PermitRequest{Fingerprint: f[:], Run: run, Release: true, Completed: completed, Records: e.ledger.Of(f, e.cfg.Now())}
			for range exitTries {
				if _, err := e.callPermit(context.WithoutCancel(e.runs), home, req, entranceTimeout); err == nil {
					return
				}
			}
		})
	}
	wg.Wait()
}
