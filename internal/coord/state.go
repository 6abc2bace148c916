package coord

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/coord/coordpb"
)

// retainedUsageWindows is the number of usage windows kept in the durable state. A usage
// report is repeated for a few windows at most.
const retainedUsageWindows = 32

// Phase is the phase of a rollout.
type Phase uint32

// The phases of a rollout.
const (
	Running Phase = iota + 1
	Done
	RolledBack
)

// Rollout moves the traffic of a service to a new version.
type Rollout struct {
	Service, Target string
	Started         time.Time // by the clock of the leader that accepted it
	Duration        time.Duration
	Phase           Phase
	Share           float64   // share of new requests that may go to the target
	ShareAt         time.Time // when Share was set
	Reason          string    // reason for the current phase or share
	Serial          uint64    // number of the order; a later order has a higher one
	Revision        uint64    // number of the last change of this order
	// RolledBack and Superseded are the versions of earlier orders that no later one has named
	// and that were rolled back, or whose rollout another order replaced while it was running.
	RolledBack, Superseded []string
	// Accepted are the versions that were in force when the order was given; empty if they are not
	// known. InForce means that the target is the only one: it needs no evidence, and its servers
	// never cease to serve because of this order.
	Accepted []string
	InForce  bool
}

// WasRolledBack reports whether a version was rolled back and not ordered again since.
func (r Rollout) WasRolledBack(version string) bool {
	return r.Phase == RolledBack && version == r.Target && !r.InForce || slices.Contains(r.RolledBack, version)
}

// Judges reports whether the rollout is running and its target is compared with the versions in
// force, so that it gets only a share of the requests.
func (r Rollout) Judges() bool { return r.Phase == Running && !r.InForce }

// WasSuperseded reports whether another order replaced the rollout of a version while it was
// running, and the version was not ordered again since.
func (r Rollout) WasSuperseded(version string) bool { return slices.Contains(r.Superseded, version) }

// Deadline returns the deadline of the rollout.
func (r Rollout) Deadline() time.Time { return r.Started.Add(r.Duration) }

// WithShare returns a copy with another share.
func (r Rollout) WithShare(share float64, at time.Time, reason string) Rollout {
	r.Share, r.ShareAt, r.Reason = share, at, reason
	return r
}

// WithPhase returns a copy in another phase.
func (r Rollout) WithPhase(p Phase, reason string) Rollout {
	r.Phase, r.Reason = p, reason
	return r
}

func rolloutFromProto(p *coordpb.Rollout) Rollout {
	return Rollout{
		Service: p.Service, Target: p.Target, Started: time.UnixMilli(p.StartedMs),
		Duration: time.Duration(p.DurationMs) * time.Millisecond,
		Phase:    Phase(p.State), Share: p.Share, ShareAt: time.UnixMilli(p.ShareAtMs), Reason: p.Reason,
		Serial: p.Serial, Revision: p.Revision, RolledBack: p.RolledBack, Superseded: p.Superseded, Accepted: p.Accepted, InForce: p.InForce,
	}
}

func (r Rollout) proto() *coordpb.Rollout {
	return &coordpb.Rollout{
		Service: r.Service, Target: r.Target, StartedMs: r.Started.UnixMilli(), DurationMs: r.Duration.Milliseconds(),
		State: uint32(r.Phase), Share: r.Share, ShareAtMs: r.ShareAt.UnixMilli(), Reason: r.Reason,
		Serial: r.Serial, Revision: r.Revision, RolledBack: r.RolledBack, Superseded: r.Superseded, Accepted: r.Accepted, InForce: r.InForce,
	}
}

// stateMachine is the replicated state machine. It holds the state that must survive any
// loss that the deployment tolerates.
type stateMachine struct {
	mu    sync.Mutex
	state *coordpb.State

	// departed is called with departures that were applied or restored.
	departed func([]*coordpb.Departure)
}

func newStateMachine(departed func([]*coordpb.Departure)) *stateMachine {
	return &stateMachine{state: &coordpb.State{Config: &coordpb.Configure{}}, departed: departed}
}

// Apply implements raft.StateMachine. It returns the state affected by the command, so that
// a proposer learns which of two concurrent commands took effect.
func (m *stateMachine) Apply(index uint64, cmd []byte) []byte {
	var c coordpb.Command
	if err := proto.Unmarshal(cmd, &c); err != nil {
		return nil // an entry of a later program version; all members skip it
	}
	out := m.apply(index, &c)
	if c.Departure.GetServer() != nil {
		m.departed([]*coordpb.Departure{c.Departure})
	}
	b, err := proto.Marshal(out)
	if err != nil {
		return nil
	}
	return b
}

func (m *stateMachine) apply(index uint64, c *coordpb.Command) *coordpb.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := &coordpb.State{}
	switch {
	case c.Configure != nil:
		if c.Configure.Version > m.state.Config.Version {
			m.state.Config = c.Configure
		}
		out.Config = &coordpb.Configure{Version: m.state.Config.Version}
	case c.Rollout != nil:
		out.Rollouts = []*coordpb.Rollout{m.applyRollout(c.Rollout, c.AfterSerial, c.PresentVersions)}
	case c.Usage != nil:
		out.Usage = []*coordpb.Window{m.applyUsage(c.Usage)}
	case c.Departure.GetServer() != nil:
		m.applyDeparture(c.Departure)
	case c.Evacuation != nil:
		m.adoptEvacuations(index, c.EvacuationsBefore)
		out.Evacuations = []*coordpb.Evacuation{m.applyEvacuation(c.Evacuation, c.AfterSerial)}
	}
	return out
}

// duplicateOrderWindow is the time after an order within which an identical order counts
// as a retry. Operators retry an order for 5 s at most after a lost reply.
const duplicateOrderWindow = 5 * time.Second

// isDuplicateOrder reports whether order is a retry of previous. A bad version may already
// have been rolled back when the retry arrives, which must not start its rollout again.
func isDuplicateOrder(order, previous *coordpb.Rollout) bool {
	if order.Target != previous.Target {
		return false
	}
	gap := time.Duration(order.StartedMs-previous.StartedMs) * time.Millisecond
	return Phase(previous.State) == Running || order.DurationMs == previous.DurationMs && gap.Abs() <= duplicateOrderWindow
}

// applyRollout records a new order (serial 0) or a change to an order, and returns the
// service's rollout that holds then. present are the versions of the service's servers.
func (m *stateMachine) applyRollout(r *coordpb.Rollout, after *uint64, present []string) *coordpb.Rollout {
	i := slices.IndexFunc(m.state.Rollouts, func(o *coordpb.Rollout) bool { return o.Service == r.Service })
	if r.Serial == 0 {
		return m.applyOrder(r, after, present, i)
	}
	if i < 0 {
		return nil
	}
	o := m.state.Rollouts[i]
	if o.Serial != r.Serial || Phase(o.State) != Running || r.Revision != o.Revision {
		return o // it was decided from an earlier state, or has been applied
	}
	if r.Revision > 0 {
		r.Revision++
	}
	// Earlier program versions leave these out.
	r.RolledBack, r.Superseded, r.Accepted, r.InForce = o.RolledBack, o.Superseded, o.Accepted, o.InForce
	m.state.Rollouts[i] = r
	return r
}

// applyOrder records a new order of the service whose rollout has index i, or -1. An order that
// repeats the last one has no effect, nor has one that was given before the last one: a copy of
// an order can be held up by a partition while the operator gives others through other instances.
func (m *stateMachine) applyOrder(r *coordpb.Rollout, after *uint64, present []string, i int) *coordpb.Rollout {
	last := &coordpb.Rollout{}
	if i >= 0 {
		last = m.state.Rollouts[i]
		if isDuplicateOrder(r, last) {
			return last
		}
	}
	if after != nil && *after != last.Serial {
		return last
	}
	r.RolledBack, r.Superseded = withoutVersion(last.RolledBack, r.Target), withoutVersion(last.Superseded, r.Target)
	r.Accepted = acceptedVersions(last, r.Target, present)
	if r.InForce = slices.Equal(r.Accepted, []string{r.Target}); r.InForce {
		r.Share = 1 // its servers get all requests, at once
	}
	switch {
	case last.Target == r.Target, last.InForce:
	case Phase(last.State) == RolledBack:
		r.RolledBack = addVersion(r.RolledBack, last.Target)
	case Phase(last.State) == Running && !slices.Contains(last.Accepted, last.Target):
		r.Superseded = addVersion(r.Superseded, last.Target)
	}
	m.state.Serial++
	r.Serial = m.state.Serial
	if after != nil {
		r.Revision = 1 // earlier program versions do not count changes
	}
	if i < 0 {
		m.state.Rollouts = append(m.state.Rollouts, r)
	} else {
		m.state.Rollouts[i] = r
	}
	return r
}

// retainedVersions bounds the versions in Rollout.RolledBack and Rollout.Superseded. The
// servers of earlier ones ended long ago.
const retainedVersions = 64

func withoutVersion(versions []string, v string) []string {
	return slices.DeleteFunc(slices.Clone(versions), func(o string) bool { return o == v })
}

func addVersion(versions []string, v string) []string {
	out := append(withoutVersion(versions, v), v)
	return out[max(len(out)-retainedVersions, 0):]
}

// applyUsage records the counts of a window. The first counts win, because a usage
// report must not change after it was sent.
func (m *stateMachine) applyUsage(w *coordpb.Window) *coordpb.Window {
	for _, o := range m.state.Usage {
		if o.Number == w.Number {
			return o
		}
	}
	slices.SortFunc(w.Counts, func(a, b *coordpb.Count) int { return strings.Compare(a.Name, b.Name) })
	m.state.Usage = append(m.state.Usage, w)
	slices.SortFunc(m.state.Usage, func(a, b *coordpb.Window) int { return cmp.Compare(a.Number, b.Number) })
	if n := len(m.state.Usage); n > retainedUsageWindows {
		m.state.Usage = m.state.Usage[n-retainedUsageWindows:]
	}
	return w
}

// Snapshot implements raft.StateMachine.
func (m *stateMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b, err := proto.Marshal(m.state)
	return b, Error.Wrap(err)
}

// Restore implements raft.StateMachine.
func (m *stateMachine) Restore(b []byte) error {
	s := &coordpb.State{}
	if err := proto.Unmarshal(b, s); err != nil {
		return Error.Wrap(err)
	}
	if s.Config == nil {
		s.Config = &coordpb.Configure{}
	}
	m.mu.Lock()
	m.state = s
	all := slices.Clone(s.Departures)
	m.mu.Unlock()
	m.departed(all)
	return nil
}

// copy returns the state that operators may read. The lists are cloned because Apply replaces
// their elements.
func (m *stateMachine) copy() *coordpb.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return &coordpb.State{
		Config: m.state.Config, Rollouts: slices.Clone(m.state.Rollouts), Evacuations: slices.Clone(m.state.Evacuations),
	}
}

func (m *stateMachine) config() *coordpb.Configure {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Config
}

func (m *stateMachine) rollouts() []Rollout {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Rollout
	for _, r := range m.state.Rollouts {
		out = append(out, rolloutFromProto(r))
	}
	return out
}

// usage returns the committed counts of a window.
func (m *stateMachine) usage(number int64) (map[string]float64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, w := range m.state.Usage {
		if w.Number == number {
			return countsFromProto(w.Counts), true
		}
	}
	return nil, false
}

func countsFromProto(counts []*coordpb.Count) map[string]float64 {
	out := make(map[string]float64, len(counts))
	for _, c := range counts {
		out[c.Name] = c.Amount
	}
	return out
}

func countsToProto(m map[string]float64) []*coordpb.Count {
	out := make([]*coordpb.Count, 0, len(m))
	for name, amount := range m {
		out = append(out, &coordpb.Count{Name: name, Amount: amount})
	}
	slices.SortFunc(out, func(a, b *coordpb.Count) int { return strings.Compare(a.Name, b.Name) })
	return out
}
