package contrl

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"

	"cranberrypath.example/cranberrypath/internal/store"
)

const (
	// leadershipPollInterval is how often a member checks whether it is the
	// leader. Controllers of a deposed leader run at most this much longer; fencing
	// rejects their commands meanwhile.
	leadershipPollInterval = 50 * time.Millisecond
	// controllerRestartDelay is the delay before a controller that returned is restarted.
	controllerRestartDelay = time.Second
	// maxClockDriftDivisor sets the tolerated clock drift, as a share of the lease.
	maxClockDriftDivisor = 100
)

// Fencing is the fencing token of a leadership. Orders to backend servers carry it.
type Fencing struct {
	Term  uint64 // of the leader
	Index uint64 // raft index of the fence command that started the leadership
}

// Less reports whether f is older than g.
func (f Fencing) Less(g Fencing) bool {
	if f.Term != g.Term {
		return f.Term < g.Term
	}
	return f.Index < g.Index
}

func (f Fencing) String() string { return fmt.Sprintf("%d.%d", f.Term, f.Index) }

// Leadership is passed to controllers. It ends with the controller's context.
type Leadership struct {
	Fencing
	// OrdersAllowedAt is when orders may be sent to backend servers that ignore
	// fencing tokens, because the previous leader may send orders until then. It
	// is zero if the servers check the tokens.
	OrdersAllowedAt time.Time
	// Propose runs a command of this leader's controllers. A refusal with code
	// store.Fenced means that the leadership has ended.
	Propose func(ctx context.Context, cmd store.Command) (store.Result, error)
}

// Await waits until OrdersAllowedAt. It fails only if ctx ends.
func (l Leadership) Await(ctx context.Context, now time.Time) error {
	if d := l.OrdersAllowedAt.Sub(now); !l.OrdersAllowedAt.IsZero() && d > 0 {
		sleep(ctx, d)
	}
	return Error.Wrap(ctx.Err())
}

// Loop is a controller. It runs while this member is the leader and must return
// soon after ctx ends. If it returns earlier, it is restarted.
type Loop struct {
	Name string
	Run  func(ctx context.Context, l Leadership) error
}

// LeadConfig configures a Runner.
type LeadConfig struct {
	Node  string
	Log   Log
	Net   Net // nil if commands need not be forwarded
	Clock func() time.Time
	Loops []Loop
	// CheckFencing is true if backend servers reject old fencing tokens.
	CheckFencing bool
	// Lease is the maximum time for which a deposed leader may still believe that it
	// is the leader.
	Lease time.Duration
}

// Runner runs the controllers on the leader.
type Runner struct {
	cfg    LeadConfig
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// NewRunner starts a runner, which runs the controllers whenever this member is the leader.
func NewRunner(cfg LeadConfig) *Runner {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Runner{cfg: cfg, cancel: cancel}
	r.wg.Go(func() {
		for sleep(ctx, leadershipPollInterval) {
			if s := cfg.Log.Status(); s.Leads {
				r.runControllers(ctx, s.Term)
			}
		}
	})
	return r
}

// Close stops the controllers and waits for them.
func (r *Runner) Close() {
	r.cancel()
	r.wg.Wait()
}

// runControllers runs the controllers until the leadership of the term ends.
func (r *Runner) runControllers(ctx context.Context, term uint64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	startedAt := r.cfg.Clock()
	var wg sync.WaitGroup
	defer wg.Wait() // controllers must stop before they start in another term
	wg.Go(func() {
		defer cancel()
		for sleep(ctx, leadershipPollInterval) {
			if s := r.cfg.Log.Status(); !s.Leads || s.Term != term {
				return
			}
		}
	})
	l, ok := r.fenceOlderTerms(ctx, term)
	if !ok {
		cancel()
		return
	}
	if !r.cfg.CheckFencing {
		l.OrdersAllowedAt = startedAt.Add(r.cfg.Lease + r.cfg.Lease/maxClockDriftDivisor)
	}
	for _, controller := range r.cfg.Loops {
		wg.Go(func() { r.runController(ctx, controller, l) })
	}
	<-ctx.Done()
}

// fenceOlderTerms makes the store reject commands from controllers of older terms.
func (r *Runner) fenceOlderTerms(ctx context.Context, term uint64) (Leadership, bool) {
	p := &proposer{r.cfg.Net, localOnly{r.cfg.Log}}
	cmd := store.Fence(store.Controller{
		Origin: store.Origin{ID: fmt.Sprintf("fence/%s/%d", r.cfg.Node, term), By: r.cfg.Node, At: r.cfg.Clock()},
		Term:   term,
	})
	res, err := p.propose(ctx, cmd)
	if err != nil {
		log.WithError(err).WithField("term", term).Warn("leadership ended before the controllers started")
		return Leadership{}, false
	}
	return Leadership{Fencing: Fencing{Term: term, Index: res.Index}, Propose: p.propose}, true
}

func (r *Runner) runController(ctx context.Context, controller Loop, l Leadership) {
	for {
		err := controller.Run(ctx, l)
		if ctx.Err() != nil {
			return
		}
		log.WithError(err).WithField("loop", controller.Name).Warn("controller returned; restarting it")
		if !sleep(ctx, controllerRestartDelay) {
			return
		}
	}
}

// localOnly hides the leader's address, so that commands of controllers are not
// forwarded: controllers run only on the leader.
type localOnly struct{ Log }

func (l localOnly) Propose(ctx context.Context, cmd []byte) ([]byte, error) {
	b, err := l.Log.Propose(ctx, cmd)
	var notLeader *NotLeader
	if errors.As(err, &notLeader) {
		return nil, &NotLeader{}
	}
	return b, err
}
