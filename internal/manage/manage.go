// Package manage contains the controllers that run on the leader of the
// configuration group: they grant capacity, advance version moves and manage the
// fleet. Packages limit, moves and fleet make the decisions; this package collects
// their inputs, records each decision in the replicated log and then carries it out.
// If the leader crashes between any two of these steps, the next leader reads the
// record and repeats the action under the same id, which makes it idempotent.
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

// commandAuthor is the author of the controllers' commands. It is the same on every
// member, because a command repeated by the next leader must be identical.
const commandAuthor = "control"

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

// Planner decides the steps of version moves. The default is moves.Plan; experiments
// compare it with other implementations.
type Planner interface {
	Next(now time.Time, v moves.View) []moves.Step
	// Provision returns the share of the traffic for which the new version of a
	// move needs servers.
	Provision(m world.Move) float64
}

// Timing holds the intervals of the controllers; zero fields get the defaults.
type Timing struct {
	Tick   time.Duration // interval between decisions; 1 s
	Window time.Duration // validity of a report; 3 s
	List   time.Duration // interval between listings of the cloud's instances; 5 s
	Prices time.Duration // interval between listings of prices; 10 s
	Call   time.Duration // timeout of a call to the cloud or a backend server; 5 s
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

// defaultConcurrentCalls is the default of Config.ConcurrentCalls.
const defaultConcurrentCalls = 16

// defaultConcurrentLoads is the default limit of concurrent weight loads.
const defaultConcurrentLoads = 4

// Config sets up a Manager.
type Config struct {
	Store  *store.Store
	Clock  func() time.Time
	Event  func(event.Event)
	Meter  metric.Meter
	Cloud  Cloud // nil without a cloud: the set of servers is then fixed and nothing is purchased
	Orders Orders
	Timing Timing
	// ConcurrentCalls limits the calls in flight to the cloud and to backend servers;
	// 16 if zero.
	ConcurrentCalls int
	Queue           fleet.WeightQueue // limits on loads from the weight store
	// Planner returns the planner of version moves; moves.New if nil.
	Planner func(decl.MovePolicy) Planner
}

// Manager receives the reports of entry instances and runs the controllers.
type Manager struct {
	cfg           Config
	metrics       *controllerMetrics
	demand        *demandCollector
	resultReports *reportQueue
	cells         *cells.Collector
}

// New returns a Manager. Register HandleDemand, HandleResults and HandleCells for their
// report sections and run Loops on the leader.
func New(cfg Config) (*Manager, error) {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	if cfg.Event == nil {
		cfg.Event = func(event.Event) {}
	}
	if cfg.ConcurrentCalls == 0 {
		cfg.ConcurrentCalls = defaultConcurrentCalls
	}
	if cfg.Queue.MaxConcurrent == 0 {
		cfg.Queue.MaxConcurrent = defaultConcurrentLoads
	}
	if cfg.Planner == nil {
		cfg.Planner = func(p decl.MovePolicy) Planner { return moves.New(p) }
	}
	cfg.Timing = cfg.Timing.withDefaults()
	mt, err := newControllerMetrics(cfg.Meter)
	if err != nil {
		return nil, err
	}
	return &Manager{cfg: cfg, metrics: mt, demand: newDemandCollector(cfg.Timing.Window), resultReports: &reportQueue{}, cells: cells.NewCollector()}, nil
}

// HandleCells handles the section of a report that describes a part of a cell and returns
// the digests of all cells.
func (m *Manager) HandleCells(_ context.Context, from link.Peer, body []byte, now time.Time) ([]byte, error) {
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

// runLoop repeats a controller's step until ctx is done or the leadership has ended.
// Other errors are only logged, because the next step retries with the controller's
// state kept.
func (m *Manager) runLoop(ctx context.Context, name string, step func(ctx context.Context, now time.Time) error) error {
	for {
		err := step(ctx, m.cfg.Clock())
		if ctx.Err() != nil {
			return nil
		}
		if isRefusedWith(err, store.Fenced) {
			return err
		}
		if err != nil {
			log.WithError(err).WithField("loop", name).Warn("controller step failed; retrying")
		}
		if !sleep(ctx, m.cfg.Timing.Tick) {
			return nil
		}
	}
}

// sleep waits for d and reports whether ctx is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// commandOrigin returns the origin of a command issued under a leadership.
func commandOrigin(l contrl.Leadership, id string, now time.Time) store.Controller {
	return store.Controller{Origin: store.Origin{ID: id, By: commandAuthor, At: now}, Term: l.Term}
}

func isRefusedWith(err error, code string) bool {
	var r *store.Refusal
	return errors.As(err, &r) && r.Code == code
}

// isStateRefusal reports whether the store refused a command for a reason other than
// the end of the leadership. The decision was then based on an older state and is
// made again.
func isStateRefusal(err error) bool {
	var r *store.Refusal
	return errors.As(err, &r) && r.Code != store.Fenced
}

// writeNotes records a controller's notes. The command id includes the version of
// the state, so that different contents have different ids.
func (m *Manager) writeNotes(ctx context.Context, l contrl.Leadership, name string, notes any, now time.Time) error {
	b, err := json.Marshal(notes)
	if err != nil {
		return Error.Wrap(err)
	}
	id := fmt.Sprintf("notes/%s/%d/%d", name, l.Term, m.cfg.Store.View().Version)
	_, err = l.Propose(ctx, store.SetNotes(commandOrigin(l, id, now), name, b))
	return Error.Wrap(err)
}

// readNotes decodes a controller's notes into out; out is unchanged if there are none.
func readNotes(v *store.View, name string, out any) error {
	b, ok := v.Notes[name]
	if !ok {
		return nil
	}
	return Error.Wrap(json.Unmarshal(b, out))
}
