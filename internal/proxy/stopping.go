package proxy

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"cranberrypath.example/cranberrypath/internal/routes"
)

const (
	// finalResponseTime is reserved at the end of a planned stop for the responses of requests
	// that end without a result.
	finalResponseTime = 250 * time.Millisecond
	// runTimeFactor multiplies the longest recent run of a route to the time that another one
	// may take.
	runTimeFactor = 2
	// runTimeDecay is the factor by which each run lowers the longest recent one.
	runTimeDecay = 0.98
	// minRunTimes is the number of runs of a route from which on their times are known.
	minRunTimes = 10
)

// runTimes are the times that recent runs of one route took.
type runTimes struct {
	n       int
	longest time.Duration
}

// with returns the times after another run.
func (r runTimes) with(d time.Duration) runTimes {
	return runTimes{n: r.n + 1, longest: max(d, time.Duration(runTimeDecay*float64(r.longest)))}
}

// expected returns the time that a run may take, or false if too few runs are known.
func (r runTimes) expected() (time.Duration, bool) {
	return runTimeFactor * r.longest, r.n >= minRunTimes
}

// stopping is a planned stop. It is safe for concurrent use.
type stopping struct {
	ended context.Context // ends when no more result can reach a caller
	end   context.CancelFunc

	mu sync.Mutex
	at time.Time // when ended ends; zero if no stop is planned
}

func newStopping() *stopping {
	s := &stopping{}
	s.ended, s.end = context.WithCancel(context.Background())
	return s
}

// deadline returns when requests end, and false if no stop is planned.
func (s *stopping) deadline() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.at, !s.at.IsZero()
}

// StopBy prepares a planned stop of the instance at a time. Requests that may not complete
// until then are refused, and those in flight shortly before it end with an error.
func (p *Proxy) StopBy(at, now time.Time) {
	at = at.Add(-finalResponseTime)
	p.stopping.mu.Lock()
	p.stopping.at = at
	p.stopping.mu.Unlock()
	time.AfterFunc(at.Sub(now), p.stopping.end)
}

// Stopped returns a context that ends when requests get their last responses before a planned
// stop.
func (p *Proxy) Stopped() context.Context { return p.stopping.ended }

// recordRunTime records how long a run of a route took.
func (p *Proxy) recordRunTime(route string, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runTimes[route] = p.runTimes[route].with(d)
}

// forgetRunTimes drops the times of routes that a configuration does not have.
func (p *Proxy) forgetRunTimes(c *routes.Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.runTimes, func(name string, _ runTimes) bool {
		return !slices.ContainsFunc(c.Routes, func(r routes.Route) bool { return r.Name == name })
	})
}

// completesBefore reports whether a request that is sent now should complete by a time: as
// the runs of its route did lately. If those are not known, or nobody may send the request
// again, its own time must be over by then.
func (f *inflight) completesBefore(at, now time.Time) bool {
	left := f.deadline.Sub(now)
	if f.route.Kind == routes.Stream || f.route.Repeatable() {
		f.p.mu.Lock()
		d, known := f.p.runTimes[f.route.Name].expected()
		f.p.mu.Unlock()
		if known {
			left = min(left, d)
		}
	}
	return !now.Add(left).After(at)
}
