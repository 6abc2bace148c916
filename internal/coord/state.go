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

// keepUsage is how many windows of usage the durable state remembers. A report is
// repeated for a few windows at most.
const keepUsage = 32

// Phase of a rollout.
type Phase uint32

// The phases of a rollout.
const (
	Running Phase = iota + 1
	Done
	TakenBack
)

// Rollout moves the traffic of a service to a new version.
type Rollout struct {
	Service, Target string
	Started         time.Time // by the clock of the leader that accepted it
	Duration        time.Duration
	Phase           Phase
	Share           float64 // of the new requests that may go to the target
	ShareAt         time.Time
	Reason          string // why the phase or share is what it is
	Serial          uint64 // number of the order; a later order has a higher one
}

// Ends returns the deadline.
func (r Rollout) Ends() time.Time { return r.Started.Add(r.Duration) }

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

func rolloutOf(p *coordpb.Rollout) Rollout {
	return Rollout{
		Service: p.Service, Target: p.Target, Started: time.UnixMilli(p.StartedMs),
		Duration: time.Duration(p.DurationMs) * time.Millisecond,
		Phase:    Phase(p.State), Share: p.Share, ShareAt: time.UnixMilli(p.ShareAtMs), Reason: p.Reason,
		Serial: p.Serial,
	}
}

func (r Rollout) proto() *coordpb.Rollout {
	return &coordpb.Rollout{
		Service: r.Service, Target: r.Target, StartedMs: r.Started.UnixMilli(), DurationMs: r.Duration.Milliseconds(),
		State: uint32(r.Phase), Share: r.Share, ShareAtMs: r.ShareAt.UnixMilli(), Reason: r.Reason,
		Serial: r.Serial,
	}
}

// state is the replicated state machine: what must survive any loss that the
// deployment bears.
type state struct {
	mu sync.Mutex
	s  *coordpb.State
}

func newState() *state {
	return &state{s: &coordpb.State{Config: &coordpb.Configure{}}}
}

// Apply implements raft.Machine. It answers with the state that the command
// concerns, so that a proposer learns which of two competing commands holds.
func (m *state) Apply(_ uint64, cmd []byte) []byte {
	var c coordpb.Command
	if err := proto.Unmarshal(cmd, &c); err != nil {
		return nil // an entry of a later version of the program; all members skip it alike
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	out := &coordpb.State{}
	switch {
	case c.Configure != nil:
		if c.Configure.Version > m.s.Config.Version {
			m.s.Config = c.Configure
		}
		out.Config = &coordpb.Configure{Version: m.s.Config.Version}
	case c.Rollout != nil:
		out.Rollouts = []*coordpb.Rollout{m.applyRollout(c.Rollout)}
	case c.Usage != nil:
		out.Usage = []*coordpb.Window{m.applyUsage(c.Usage)}
	}
	b, err := proto.Marshal(out)
	if err != nil {
		return nil
	}
	return b
}

// repeatTime is how long after an order the same one is taken for a repetition whose
// first answer was lost: operators send orders again for 5 s at most.
const repeatTime = 5 * time.Second

// repeats reports whether r is the order o again. A bad version may have been taken
// back by then, and the repetition must not bring it in once more.
func repeats(r, o *coordpb.Rollout) bool {
	if r.Target != o.Target {
		return false
	}
	apart := time.Duration(r.StartedMs-o.StartedMs) * time.Millisecond
	return Phase(o.State) == Running || r.DurationMs == o.DurationMs && apart.Abs() <= repeatTime
}

// applyRollout records an order (serial 0) unless it repeats the last one, or a step.
// A step applies to its own order only, and never to one that has ended.
func (m *state) applyRollout(r *coordpb.Rollout) *coordpb.Rollout {
	i := slices.IndexFunc(m.s.Rollouts, func(o *coordpb.Rollout) bool { return o.Service == r.Service })
	if r.Serial == 0 {
		if i >= 0 && repeats(r, m.s.Rollouts[i]) {
			return m.s.Rollouts[i]
		}
		m.s.Serial++
		r.Serial = m.s.Serial
		if i < 0 {
			m.s.Rollouts = append(m.s.Rollouts, r)
		} else {
			m.s.Rollouts[i] = r
		}
		return r
	}
	if i < 0 {
		return nil
	}
	if o := m.s.Rollouts[i]; o.Serial != r.Serial || Phase(o.State) != Running {
		return o
	}
	m.s.Rollouts[i] = r
	return r
}

// applyUsage fixes the counts of a window. The first ones hold: a report that
// was sent may not change.
func (m *state) applyUsage(w *coordpb.Window) *coordpb.Window {
	for _, o := range m.s.Usage {
		if o.Number == w.Number {
			return o
		}
	}
	slices.SortFunc(w.Counts, func(a, b *coordpb.Count) int { return strings.Compare(a.Name, b.Name) })
	m.s.Usage = append(m.s.Usage, w)
	slices.SortFunc(m.s.Usage, func(a, b *coordpb.Window) int { return cmp.Compare(a.Number, b.Number) })
	if n := len(m.s.Usage); n > keepUsage {
		m.s.Usage = m.s.Usage[n-keepUsage:]
	}
	return w
}

// Snapshot implements raft.Machine.
func (m *state) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b, err := proto.Marshal(m.s)
	return b, Error.Wrap(err)
}

// Restore implements raft.Machine.
func (m *state) Restore(b []byte) error {
	s := &coordpb.State{}
	if err := proto.Unmarshal(b, s); err != nil {
		return Error.Wrap(err)
	}
	if s.Config == nil {
		s.Config = &coordpb.Configure{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.s = s
	return nil
}

// copy returns what operators may read. Apply replaces the elements of the list of
// rollouts, so the copy has a list of its own.
func (m *state) copy() *coordpb.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return &coordpb.State{Config: m.s.Config, Rollouts: slices.Clone(m.s.Rollouts)}
}

func (m *state) config() *coordpb.Configure {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.s.Config
}

func (m *state) rollouts() []Rollout {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Rollout
	for _, r := range m.s.Rollouts {
		out = append(out, rolloutOf(r))
	}
	return out
}

// usage returns the counts that are fixed for a window.
func (m *state) usage(number int64) (map[string]float64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, w := range m.s.Usage {
		if w.Number == number {
			return amounts(w.Counts), true
		}
	}
	return nil, false
}

func amounts(counts []*coordpb.Count) map[string]float64 {
	out := make(map[string]float64, len(counts))
	for _, c := range counts {
		out[c.Name] = c.Amount
	}
	return out
}

func countsOf(m map[string]float64) []*coordpb.Count {
	out := make([]*coordpb.Count, 0, len(m))
	for name, amount := range m {
		out = append(out, &coordpb.Count{Name: name, Amount: amount})
	}
	slices.SortFunc(out, func(a, b *coordpb.Count) int { return strings.Compare(a.Name, b.Name) })
	return out
}
