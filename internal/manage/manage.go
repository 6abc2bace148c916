// Package manage holds the controllers that run on the leader of the
// configuration group: they grant capacity, advance version moves and run the
// fleet. Packages limit, moves and fleet decide; this package gathers what they
// need, records a decision in the replicated log before it acts on it, and acts.
// A leader may die between any two of these steps: the next one reads the record
// and repeats the action under the same id, which has no second effect.
package manage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/apex/log"
	"github.com/zeebo/errs"
	"go.opentelemetry.io/otel/metric"

	"cranberrypath.example/cranberrypath/internal/backnd"
	"cranberrypath.example/cranberrypath/internal/cells"
	"cranberrypath.example/cranberrypath/internal/cloud"
	"cranberrypath.example/cranberrypath/internal/contrl"
	"cranberrypath.example/cranberrypath/internal/event"
	"cranberrypath.example/cranberrypath/internal/fleet"
	"cranberrypath.example/cranberrypath/internal/link"
	"cranberrypath.example/cranberrypath/internal/moves"
	"cranberrypath.example/cranberrypath/internal/store"
	"cranberrypath.example/cranberrypath/internal/world"
	"cranberrypath.example/cranberrypath/pkg/decl"
)

// Error is the class of this package's errors.
var Error = errs.Class("manage")

// by is the name under which the controllers give commands. It is the same on
// every member, because a repeat by the next leader must be the same command.
const by = "control"

// Cloud is the part of cloud.Client that the fleet controller uses.
type Cloud interface {
	Start(ctx context.Context, s cloud.Start) (cloud.Instance, error)
	Stop(ctx context.Context, id string) error
	Instances(ctx context.Context) ([]cloud.Instance, error)
	Notices(ctx context.Context, after uint64) ([]cloud.Notice, uint64, error)
	Prices(ctx context.Context) ([]cloud.Price, error)
}

// Orders is the part of backnd.Client that the fleet controller uses.
type Orders interface {
	Order(ctx context.Context, b world.Backend, o backnd.Order) (repeated bool, err error)
}

// Planner decides the steps of version moves. moves.Plan is one; experiments
// compare it with others.
type Planner interface {
	Next(now time.Time, v moves.View) []moves.Step
	// Provision returns the share of the traffic that the servers of a move's
	// new version shall be able to carry.
	Provision(m world.Move) float64
}

// Timing holds the intervals of the controllers; zero fields get the defaults.
type Timing struct {
	Tick   time.Duration // between two decisions; 1 s
	Window time.Duration // how long a report counts; 3 s
	List   time.Duration // between two lists of the cloud's instances; 5 s
	Prices time.Duration // between two lists of prices; 10 s
	Call   time.Duration // bound on one call of the cloud or a backend server; 5 s
}

func (t Timing) withDefaults() Timing {
	for _, f := range []struct {
		v *time.Duration
		d time.Duration
	}{{&t.Tick, time.Second}, {&t.Window, 3 * time.Second}, {&t.List, 5 * time.Second}, {&t.Prices, 10 * time.Second}, {&t.Call, 5 * time.Second}} {
		if *f.v == 0 {
			*f.v = f.d
		}
	}
	return t
}

// callsAtOnce bounds the calls to the cloud and to backend servers.
const callsAtOnce = 16

// loadsAtOnce is how many orders for weights run at the same time unless
// configured otherwise.
const loadsAtOnce = 4

// Config sets up a Manager.
type Config struct {
	Store  *store.Store
	Clock  func() time.Time
	Event  func(event.Event)
	Meter  metric.Meter
	Cloud  Cloud // nil without a cloud: servers are then given and nothing is bought
	Orders Orders
	Timing Timing
	// CallsAtOnce bounds the calls to the cloud and to backend servers; 16 if zero.
	CallsAtOnce int
	Queue       fleet.WeightQueue // sharing of the weight store
	// Planner returns the planner of version moves; moves.New if nil.
	Planner func(decl.MovePolicy) Planner
}

// Manager takes the reports of entry instances and runs the controllers.
type Manager struct {
	cfg     Config
	meters  *meters
	demand  *collector
	results *inbox
	cells   *cells.Collector
}

// New returns a manager. Register Demand, Results and Cells as sections of the reports
// and run Loops on the leader.
func New(cfg Config) (*Manager, error) {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	if cfg.Event == nil {
		cfg.Event = func(event.Event) {}
	}
	if cfg.CallsAtOnce == 0 {
		cfg.CallsAtOnce = callsAtOnce
	}
	if cfg.Queue.AtOnce == 0 {
		cfg.Queue.AtOnce = loadsAtOnce
	}
	if cfg.Planner == nil {
		cfg.Planner = func(p decl.MovePolicy) Planner { return moves.New(p) }
	}
	cfg.Timing = cfg.Timing.withDefaults()
	mt, err := newMeters(cfg.Meter)
	if err != nil {
		return nil, err
	}
	return &Manager{cfg: cfg, meters: mt, demand: newCollector(cfg.Timing.Window), results: &inbox{}, cells: cells.NewCollector()}, nil
}

// Cells answers the section of a report that describes a part of a cell with the
// digests of all cells.
func (m *Manager) Cells(_ context.Context, from link.Peer, body []byte, now time.Time) ([]byte, error) {
	b, err := m.cells.Add(from.Node, body, now)
	return b, Error.Wrap(err)
}

// Loops returns the controllers.
func (m *Manager) Loops() []contrl.Loop {
	return []contrl.Loop{
		{Name: "grants", Run: m.runGrants},
		{Name: "moves", Run: m.runMoves},
		{Name: "fleet", Run: m.runFleet},
	}
}

// each runs a controller's step until ctx ends or the leadership is over. Other
// errors are logged, because the step is repeated and keeps what it learned.
func (m *Manager) each(ctx context.Context, name string, step func(ctx context.Context, now time.Time) error) error {
	for {
		err := step(ctx, m.cfg.Clock())
		if ctx.Err() != nil {
			return nil
		}
		if refusedAs(err, store.Fenced) {
			return err
		}
		if err != nil {
			log.WithError(err).WithField("loop", name).Warn("step of a controller failed")
		}
		if !pause(ctx, m.cfg.Timing.Tick) {
			return nil
		}
	}
}

// pause waits and reports whether ctx goes on.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// origin makes the origin of a command of this leadership.
func origin(l contrl.Leadership, id string, now time.Time) store.Controller {
	return store.Controller{Origin: store.Origin{ID: id, By: by, At: now}, Term: l.Term}
}

func refusedAs(err error, code string) bool {
	var r *store.Refusal
	return errors.As(err, &r) && r.Code == code
}

// refused reports whether the store refused a command for another reason than
// the end of the leadership: it was decided on an older state and is decided again.
func refused(err error) bool {
	var r *store.Refusal
	return errors.As(err, &r) && r.Code != store.Fenced
}

// setNotes records a controller's notes. Its id depends on the version of the
// state, so that each content has its own.
func (m *Manager) setNotes(ctx context.Context, l contrl.Leadership, name string, notes any, now time.Time) error {
	b, err := json.Marshal(notes)
	if err != nil {
		return Error.Wrap(err)
	}
	id := fmt.Sprintf("notes/%s/%d/%d", name, l.Term, m.cfg.Store.View().Version)
	_, err = l.Propose(ctx, store.SetNotes(origin(l, id, now), name, b))
	return Error.Wrap(err)
}

// notes reads a controller's notes; without any it leaves out unchanged.
func notes(v *store.View, name string, out any) error {
	b, ok := v.Notes[name]
	if !ok {
		return nil
	}
	return Error.Wrap(json.Unmarshal(b, out))
}
