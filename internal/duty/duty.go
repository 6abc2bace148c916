// Package duty makes the calls to the platform that one instance makes for all.
// The leader of the replicated log holds them. A new holder waits until an
// earlier one has surely stopped, so that the platform never sees the two take
// turns, and what must not differ between two holders is made durable before it
// is sent.
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

// Fence names the holder of a duty in a call.
type Fence struct {
	Holder string
	Token  uint64 // grows with each change of the holder
}

// Platform takes the calls.
type Platform interface {
	// Usage reports the requests of each organisation that began to run in a window.
	Usage(ctx context.Context, f Fence, window int64, counts map[string]float64) error
	// Scale orders engines. Its error wraps ErrNoneAvailable if there are none.
	Scale(ctx context.Context, f Fence, o Order) error
}

// Coord is what a runner needs of the coordination with other instances.
type Coord interface {
	// Leads returns the lease of this instance, or false if it does not lead.
	Leads(now time.Time) (coord.Leadership, bool)
	// Usage returns what began to run in a window, and the counts that are fixed.
	Usage(window int64) (sum, committed map[string]float64)
	// FixUsage makes counts durable and returns those that hold.
	CommitUsage(ctx context.Context, window int64, counts map[string]float64) (map[string]float64, error)
	// Loads returns the outstanding work at each backend server.
	Loads() map[string]coord.Load
}

// Timing of the reports of usage.
type Timing struct {
	Window time.Duration // length; window k begins at k windows after 1970
	Due    time.Duration // after the end of a window
	Lease  time.Duration // a holder's turn lasts at least so long
}

// Config sets up a Runner.
type Config struct {
	Name     string
	Coord    Coord
	Platform Platform
	Timing   Timing
	// Reports and Sizes tell which duties there are.
	Reports, Sizes bool
	Organisations  func() []string
	// Services returns the services and the backend servers that are there.
	Services func() ([]routes.Service, []roster.Server)
	// Heartbeat is how often backend servers announce themselves.
	Heartbeat time.Duration
	Clock     func() time.Time
	Log       log.Interface
}

const (
	// announceBeats is how many heartbeats a new holder waits before it orders engines.
	// One that counts those that have announced themselves so far gives up the rest.
	announceBeats = 2
	// interval is how often the holder looks for work.
	interval = 250 * time.Millisecond
	// settle is how long after its end a window is reported: clocks differ a little
	// and the counts of all instances arrive within a few reports.
	settle = 1500 * time.Millisecond
	// callTimeout bounds one call to the platform.
	callTimeout = 2 * time.Second
	// leaseMargin is added to the wait of a new holder for the drift of clocks.
	leaseMargin = 500 * time.Millisecond
)

// Runner makes the calls while its instance leads.
type Runner struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	sent   map[int64]bool // windows that the platform has
	sizer  sizer
}

// Start starts the runner. Close ends it.
func Start(cfg Config) *Runner {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Runner{cfg: cfg, ctx: ctx, cancel: cancel, sent: map[int64]bool{}, sizer: newSizer()}
	r.wg.Go(func() {
		t := time.NewTicker(interval)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
			r.step()
		}
	})
	return r
}

// Close ends the runner.
func (r *Runner) Close() {
	r.cancel()
	r.wg.Wait()
}

// holds returns the fence if this instance may act now.
func (r *Runner) holds() (Fence, bool) {
	now := r.cfg.Clock()
	l, ok := r.cfg.Coord.Leads(now)
	if !ok || l.Term > 1 && now.Sub(l.ElectedAt) < r.cfg.Timing.Lease+leaseMargin {
		return Fence{}, false // nobody held a duty before the first term
	}
	return Fence{Holder: r.cfg.Name, Token: l.Term}, true
}

func (r *Runner) step() {
	if _, ok := r.holds(); !ok {
		r.sizer = newSizer() // another holder may change what is ordered
		return
	}
	if r.cfg.Sizes && r.knowsEngines() {
		r.size()
	}
	if !r.cfg.Reports {
		return
	}
	for _, n := range due(r.cfg.Timing, r.cfg.Clock()) {
		if !r.sent[n] {
			r.report(n)
		}
	}
}

// knowsEngines reports whether all engines have had the time to announce themselves
// since this instance was elected.
func (r *Runner) knowsEngines() bool {
	now := r.cfg.Clock()
	l, ok := r.cfg.Coord.Leads(now)
	return ok && now.Sub(l.ElectedAt) >= announceBeats*r.cfg.Heartbeat
}

// due returns the windows that have ended and whose reports still count.
func due(t Timing, now time.Time) []int64 {
	w := max(t.Window.Milliseconds(), 1)
	last := (now.UnixMilli()-settle.Milliseconds())/w - 1
	var out []int64
	for n := last; now.UnixMilli() < (n+1)*w+t.Due.Milliseconds(); n-- {
		out = append(out, n)
	}
	return out
}

func (r *Runner) report(window int64) {
	sum, fixed := r.cfg.Coord.Usage(window)
	l := r.cfg.Log.WithFields(log.Fields{"event": "duty.usage", "window": window})
	ctx, cancel := context.WithTimeout(r.ctx, callTimeout)
	defer cancel()
	if fixed == nil {
		if sum == nil {
			return
		}
		for _, name := range r.cfg.Organisations() {
			sum[name] += 0
		}
		var err error
		if fixed, err = r.cfg.Coord.CommitUsage(ctx, window, sum); err != nil {
			l.WithError(err).Warn("the usage of a window could not be made durable")
			return
		}
	}
	f, ok := r.holds()
	if !ok {
		return
	}
	if err := r.cfg.Platform.Usage(ctx, f, window, fixed); err != nil {
		l.WithError(err).Warn("the platform did not take a report of usage; it is sent again")
		return
	}
	r.sent[window] = true
	delete(r.sent, window-keepSent)
	l.WithField("token", f.Token).Info("usage reported")
}

// keepSent is how many windows are remembered as sent; older ones are not due.
const keepSent = 16
