// Package duty makes the calls to the platform that a single instance makes for all:
// the leader of the replicated log. A new leader waits until its predecessor has
// certainly stopped, so that calls of two leaders never interleave. Data that must not
// differ between two leaders is committed before it is sent.
package duty

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/zeebo/errs"

	"cranberrypath.example/cranberrypath/internal/coord"
	"cranberrypath.example/cranberrypath/internal/roster"
	"cranberrypath.example/cranberrypath/internal/routes"
)

// Error is the class of this package's errors.
var Error = errs.Class("duty")

// Fence identifies the calling leader, so that the platform can reject stale calls.
type Fence struct {
	Holder string
	Token  uint64 // increases with each change of the leader
}

// Platform is the interface to the platform.
type Platform interface {
	// Usage reports the number of requests started in a window by each organisation.
	Usage(ctx context.Context, f Fence, window int64, counts map[string]float64) error
	// Scale orders engines. The error wraps ErrNoCapacity if none are available.
	Scale(ctx context.Context, f Fence, o Order) error
}

// Coord is the part of package coord that a Runner uses.
type Coord interface {
	// Leads returns the leader lease of this instance, or false if it does not lead.
	Leads(now time.Time) (coord.Leadership, bool)
	// Usage returns the number of requests started in a window by all instances, and the
	// committed counts, if any.
	Usage(window int64) (sum, committed map[string]float64)
	// CommitUsage commits the counts of a window and returns the committed counts.
	CommitUsage(ctx context.Context, window int64, counts map[string]float64) (map[string]float64, error)
	// Loads returns the outstanding work at each backend server.
	Loads() map[string]coord.Load
}

// Timing configures the usage reports and the handover between leaders.
type Timing struct {
	Window       time.Duration // window length; window k starts k lengths after the Unix epoch
	ReportWithin time.Duration // deadline of a report, after the end of its window
	Lease        time.Duration // minimum time between the calls of two leaders
}

// Config configures a Runner.
type Config struct {
	Name     string
	Coord    Coord
	Platform Platform
	Timing   Timing
	// ReportsUsage enables usage reports, ScalesEngines enables scaling.
	ReportsUsage, ScalesEngines bool
	Organisations               func() []string
	// Services returns the services and their current backend servers.
	Services func() ([]routes.Service, []roster.Server)
	// StatesPace reports whether the servers of a service state their pace; nil means that none
	// do. The engines of those that do are sized by the work in progress too.
	StatesPace func(service string) bool
	// Evacuated returns the data centres whose backend servers get no requests; nil for none.
	Evacuated func() []string
	// Heartbeat is the interval at which backend servers announce themselves.
	Heartbeat time.Duration
	Clock     func() time.Time
	Log       log.Interface
}

const (
	// announceHeartbeats is how many heartbeat intervals a new leader waits before it
	// orders engines. Before that, engines that have not announced themselves would be
	// given up.
	announceHeartbeats = 2
	// pollInterval is the interval between checks for due calls.
	pollInterval = 250 * time.Millisecond
	// reportDelay is the time from the end of a window to its report: clocks differ
	// slightly, and the counts of all instances arrive within a few reports.
	reportDelay = 1500 * time.Millisecond
	// callTimeout bounds one call to the platform.
	callTimeout = 2 * time.Second
	// leaseMargin is added to the wait of a new leader to allow for clock drift.
	leaseMargin = 500 * time.Millisecond
)

// Runner makes the platform calls while its instance leads.
type Runner struct {
	cfg             Config
	ctx             context.Context
	cancel          context.CancelFunc
	wg              sync.WaitGroup
	reportedWindows map[int64]bool // windows that the platform has accepted
	scaler          scaler
}

// Start starts the runner. Close stops it.
func Start(cfg Config) *Runner {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Runner{cfg: cfg, ctx: ctx, cancel: cancel, reportedWindows: map[int64]bool{}, scaler: newScaler()}
	r.wg.Go(func() {
		t := time.NewTicker(pollInterval)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
			r.tick()
		}
	})
	return r
}

// Close stops the runner and waits for it.
func (r *Runner) Close() {
	r.cancel()
	r.wg.Wait()
}

// activeFence returns the fence if this instance may call the platform now.
func (r *Runner) activeFence() (Fence, bool) {
	now := r.cfg.Clock()
	lease, ok := r.cfg.Coord.Leads(now)
	if !ok || lease.Term > 1 && now.Sub(lease.ElectedAt) < r.cfg.Timing.Lease+leaseMargin {
		return Fence{}, false // no wait in term 1, which has no previous leader
	}
	return Fence{Holder: r.cfg.Name, Token: lease.Term}, true
}

func (r *Runner) tick() {
	if _, ok := r.activeFence(); !ok {
		r.scaler = newScaler() // another leader may change the orders
		return
	}
	if r.cfg.ReportsUsage {
		for _, n := range dueWindows(r.cfg.Timing, r.cfg.Clock()) {
			if !r.reportedWindows[n] {
				r.reportUsage(n)
			}
		}
	}
	if r.cfg.ScalesEngines && r.enginesKnown() {
		r.scale()
	}
}

// enginesKnown reports whether all engines have had time to announce themselves since
// this instance was elected.
func (r *Runner) enginesKnown() bool {
	now := r.cfg.Clock()
	lease, ok := r.cfg.Coord.Leads(now)
	return ok && now.Sub(lease.ElectedAt) >= announceHeartbeats*r.cfg.Heartbeat
}

// dueWindows returns the ended windows whose report deadline has not passed.
func dueWindows(t Timing, now time.Time) []int64 {
	windowMillis := max(t.Window.Milliseconds(), 1)
	last := (now.UnixMilli()-reportDelay.Milliseconds())/windowMillis - 1
	var out []int64
	for n := last; now.UnixMilli() < (n+1)*windowMillis+t.ReportWithin.Milliseconds(); n-- {
		out = append(out, n)
	}
	return out
}

func (r *Runner) reportUsage(window int64) {
	counts, committed := r.cfg.Coord.Usage(window)
	logger := r.cfg.Log.WithFields(log.Fields{"event": "duty.usage", "window": window})
	ctx, cancel := context.WithTimeout(r.ctx, callTimeout)
	defer cancel()
	if committed == nil {
		if counts == nil {
			return
		}
		for _, name := range r.cfg.Organisations() {
			counts[name] += 0
		}
		var err error
		if committed, err = r.cfg.Coord.CommitUsage(ctx, window, counts); err != nil {
			logger.WithError(err).Warn("committing the usage of a window failed")
			return
		}
	}
	fence, ok := r.activeFence()
	if !ok {
		return
	}
	if err := r.cfg.Platform.Usage(ctx, fence, window, committed); err != nil {
		logger.WithError(err).Warn("the platform did not accept a usage report; retrying")
		return
	}
	r.reportedWindows[window] = true
	delete(r.reportedWindows, window-retainedWindows)
	logger.WithField("token", fence.Token).Info("usage reported")
}

// retainedWindows is how many windows are remembered as reported; older windows are no
// longer due.
const retainedWindows = 16
