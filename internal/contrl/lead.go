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
	// watchLead is how often a member looks whether it leads. A controller of a
	// deposed leader runs on for that long at most; fencing covers the rest.
	watchLead = 50 * time.Millisecond
	// loopPause is the pause before a controller that returned is started again.
	loopPause = time.Second
	// driftPart is the part of a lease that clock rates may differ by.
	driftPart = 100
)

// Fencing numbers the leaderships; an order carries the one it was given under.
type Fencing struct {
	Term  uint64 // of the leader
	Index uint64 // raft index of the fence command that began the leadership
}

// Less reports whether f is older than g.
func (f Fencing) Less(g Fencing) bool {
	if f.Term != g.Term {
		return f.Term < g.Term
	}
	return f.Index < g.Index
}

func (f Fencing) String() string { return fmt.Sprintf("%d.%d", f.Term, f.Index) }

// Leadership is what a loop gets. It ends with the loop's context.
type Leadership struct {
	Fencing
	// OrdersFrom is when orders to backend servers that ignore fencing numbers
	// may begin; zero if the servers check them. Until then the leader before
	// may still give orders.
	OrdersFrom time.Time
	// Propose runs a command of this leader's controllers. A refusal of code
	// store.Fenced means that the leadership is over.
	Propose func(ctx context.Context, cmd store.Command) (store.Result, error)
}

// Await returns when orders may begin; the error is that of ctx.
func (l Leadership) Await(ctx context.Context, now time.Time) error {
	if d := l.OrdersFrom.Sub(now); !l.OrdersFrom.IsZero() && d > 0 {
		wait(ctx, d)
	}
	return Error.Wrap(ctx.Err())
}

// Loop is a controller. It runs while this member leads and must return soon
// after ctx ends; it is started again if it returns earlier.
type Loop struct {
	Name string
	Run  func(ctx context.Context, l Leadership) error
}

// LeadConfig sets up a Runner.
type LeadConfig struct {
	Node  string
	Log   Log
	Net   Net // nil if commands need not be forwarded
	Clock func() time.Time
	Loops []Loop
	// CheckFencing is true if backend servers refuse old fencing numbers.
	CheckFencing bool
	// Lease is the longest time that a deposed leader may believe that it leads.
	Lease time.Duration
}

// Runner runs the loops on the leader.
type Runner struct {
	cfg    LeadConfig
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// NewRunner starts to watch for leadership.
func NewRunner(cfg LeadConfig) *Runner {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Runner{cfg: cfg, cancel: cancel}
	r.wg.Go(func() {
		for wait(ctx, watchLead) {
			if s := cfg.Log.Status(); s.Leads {
				r.lead(ctx, s.Term)
			}
		}
	})
	return r
}

// Close ends the loops and waits for them.
func (r *Runner) Close() {
	r.cancel()
	r.wg.Wait()
}

// lead runs the loops until the leadership of the term ends.
func (r *Runner) lead(ctx context.Context, term uint64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	began := r.cfg.Clock()
	var wg sync.WaitGroup
	defer wg.Wait() // before the loops may start again under another term
	wg.Go(func() {
		defer cancel()
		for wait(ctx, watchLead) {
			if s := r.cfg.Log.Status(); !s.Leads || s.Term != term {
				return
			}
		}
	})
	l, ok := r.fence(ctx, term)
	if !ok {
		cancel()
		return
	}
	if !r.cfg.CheckFencing {
		l.OrdersFrom = began.Add(r.cfg.Lease + r.cfg.Lease/driftPart)
	}
	for _, loop := range r.cfg.Loops {
		wg.Go(func() { r.repeat(ctx, loop, l) })
	}
	<-ctx.Done()
}

// fence shuts out the controllers of older terms before those of this one start.
func (r *Runner) fence(ctx context.Context, term uint64) (Leadership, bool) {
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

func (r *Runner) repeat(ctx context.Context, loop Loop, l Leadership) {
	for {
		err := loop.Run(ctx, l)
		if ctx.Err() != nil {
			return
		}
		log.WithError(err).WithField("loop", loop.Name).Warn("controller ended; starting it again")
		if !wait(ctx, loopPause) {
			return
		}
	}
}

// localOnly hides the leader's address, so that a controller's commands are not
// forwarded: a controller runs only where the leader is.
type localOnly struct{ Log }

func (l localOnly) Propose(ctx context.Context, cmd []byte) ([]byte, error) {
	b, err := l.Log.Propose(ctx, cmd)
	var other *NotLeader
	if errors.As(err, &other) {
		return nil, &NotLeader{}
	}
	return b, err
}
