// Package moves decides the steps of version moves. A decision depends on the
// recorded moves, the present time and the evidence only, so a new leader that
// takes over at any point decides the same step again, and repeating a step
// changes nothing.
package moves

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"cranberrypath.example/cranberrypath/internal/judge"
	"cranberrypath.example/cranberrypath/internal/world"
	"cranberrypath.example/cranberrypath/pkg/decl"
)

const (
	// thinShare bounds the share that a move with too little traffic gets
	// without evidence for it. It is ten times the usual first step, and
	// leaves nine in ten requests on the old version.
	thinShare = 0.10
	// thinAfter is how long a share is held before its traffic is called thin.
	thinAfter = 10 * time.Second
	// leastHold is the shortest time at one share: reports arrive each second
	// and a server's queue takes a few seconds to show in its latency.
	leastHold = 5 * time.Second
	// soakPart is the largest part of a move's whole time that the soak takes.
	soakPart = 0.25
	// shortSoak is the part of the soak that is enough when the deadline comes
	// first, for example after a suspicion that was not confirmed.
	shortSoak = 0.5
	// timeUsed is the part of the time to the deadline that the steps are
	// spread over; the rest is a reserve for late evidence, late starts and a
	// second soak after a suspicion.
	timeUsed = 0.45
	// suspectShare is the share at which a suspicion during the soak is
	// checked: enough traffic on both versions to decide within seconds.
	suspectShare = 0.5
	// spare is the capacity that must be ready beyond the traffic of a share.
	spare = 1.1
	// longest bounds estimates of time, in seconds, so that they fit a Duration.
	longest = 1e8
)

// Capacity is what the ready servers of a service and version can run.
type Capacity struct {
	Ready int // servers
	Slots int // requests at the same time within the target
	// Refused is why the latest start was refused; empty if none was.
	Refused string
}

// View is what a decision depends on.
type View struct {
	Moves    []world.Move             // recorded, ended ones included
	Verdicts map[string]judge.Verdict // by move id
	New, Old map[string]Capacity      // by move id
	Demand   map[string]float64       // by service: slots in use by all versions
	Stopped  map[string]string        // by move id: the operator who takes it back
}

// Plan holds the rules of the steps.
type Plan struct{ policy decl.MovePolicy }

// New returns the plan for a declared policy.
func New(p decl.MovePolicy) Plan { return Plan{p} }

// Kind of step.
type Kind string

// The kinds of step.
const (
	SetShare Kind = "setShare"
	End      Kind = "end"
	Tell     Kind = "tell" // nothing to record; for the time line
)

// Step is one change of a move. A change of share applies only to a move that
// has not ended and has had the share From since At.
type Step struct {
	Kind    Kind          `json:"kind"`
	Move    string        `json:"move"`
	From    float64       `json:"from"`
	At      time.Time     `json:"at"`
	Share   float64       `json:"share"`
	Outcome world.Outcome `json:"outcome,omitempty"`
	Reason  string        `json:"reason"`
}

// Apply returns the move after the step. A step that was applied before, or
// that was decided from an older state, leaves the move unchanged.
func Apply(m world.Move, s Step, now time.Time) world.Move {
	switch {
	case s.Move != m.ID, m.Outcome != "":
		return m
	case s.Kind == End:
		return m.WithOutcome(s.Outcome, s.Reason, now)
	case s.Kind == SetShare && s.From == m.Share && s.At.Equal(m.ShareAt) && s.Share != m.Share:
		return m.WithShare(s.Share, now)
	}
	return m
}

// Next returns at most one step for each running move, in the order of their ids.
func (p Plan) Next(now time.Time, v View) []Step {
	var out []Step
	newest := newestRunning(v.Moves)
	for _, m := range v.Moves {
		if m.Outcome != "" {
			continue
		}
		if n := newest[m.Service]; n.ID != m.ID {
			out = append(out, end(m, world.TakenBack, "overtaken by move "+n.ID))
			continue
		}
		if s, ok := p.next(now, m, v); ok {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b Step) int { return cmp.Compare(a.Move, b.Move) })
	return out
}

func newestRunning(moves []world.Move) map[string]world.Move {
	out := map[string]world.Move{}
	for _, m := range moves {
		if m.Outcome != "" {
			continue
		}
		have, ok := out[m.Service]
		if !ok || cmp.Or(m.Started.Compare(have.Started), cmp.Compare(m.ID, have.ID)) > 0 {
			out[m.Service] = m
		}
	}
	return out
}

func (p Plan) next(now time.Time, m world.Move, v View) (Step, bool) {
	verdict := v.Verdicts[m.ID]
	if who, ok := v.Stopped[m.ID]; ok {
		return end(m, world.TakenBack, "taken back by "+who), true
	}
	if verdict.State == judge.Bad {
		return end(m, world.TakenBack, verdict.Reason), true
	}
	if m.Share >= 1 {
		return p.soaking(now, m, verdict)
	}
	if !now.Before(m.Deadline) {
		return end(m, world.TakenBack, p.late(m, v)), true
	}
	if s, ok := p.lower(m, v); ok {
		return s, true
	}
	return p.raise(now, m, v, verdict)
}

// soaking ends the move when the soak has passed with evidence for the new version.
func (p Plan) soaking(now time.Time, m world.Move, verdict judge.Verdict) (Step, bool) {
	if verdict.State == judge.Suspect && now.Before(m.Deadline) {
		return share(m, suspectShare, "compares both versions again: "+verdict.Reason), true
	}
	passed := now.Sub(m.ShareAt) >= p.Soak(m) || !now.Before(m.Deadline) && now.Sub(m.ShareAt) >= p.shortSoak(m)
	ready := verdict.State == judge.Good || enough(verdict) && waiting(verdict) > m.Deadline.Sub(now)
	switch {
	case passed && ready:
		return end(m, world.Done, fmt.Sprintf("all traffic on %s for %s without a fault", m.To, now.Sub(m.ShareAt).Round(time.Second))), true
	case !now.Before(m.Deadline):
		return end(m, world.TakenBack, "the deadline passed during the soak: "+cmp.Or(verdict.Reason, "the soak was not over")), true
	}
	return Step{}, false
}

// Soak returns how long the full share is watched: as declared, but at most a
// quarter of the move's time.
func (p Plan) Soak(m world.Move) time.Duration {
	declared := time.Duration(p.policy.SoakSeconds) * time.Second
	return min(declared, time.Duration(float64(m.Deadline.Sub(m.Started))*soakPart))
}

func (p Plan) shortSoak(m world.Move) time.Duration {
	return time.Duration(shortSoak * float64(p.Soak(m)))
}

func (p Plan) late(m world.Move, v View) string {
	text := fmt.Sprintf("the deadline passed at a share of %g%%", m.Share*100)
	c := v.New[m.ID]
	switch {
	case c.Refused != "":
		return text + ": starts of new servers were refused: " + c.Refused
	case c.Ready == 0:
		return text + ": no server of " + m.To + " was ready"
	case v.Verdicts[m.ID].Reason != "":
		return text + ": " + v.Verdicts[m.ID].Reason
	}
	return text
}

// steps returns the shares of a move, rising to 1.
func (p Plan) steps() []float64 {
	out := []float64{p.policy.FirstShare}
	for _, s := range []float64{0.05, 0.25, 0.5, 1} {
		if s > p.policy.FirstShare {
			out = append(out, s)
		}
	}
	return out
}

// above returns the shares above the present one.
func (p Plan) above(share float64) []float64 {
	steps := p.steps()
	i := slices.IndexFunc(steps, func(s float64) bool { return s > share })
	if i < 0 {
		return nil
	}
	return steps[i:]
}

// Provision returns the share of the traffic that the new version's servers
// shall be able to carry: two steps ahead, because a start takes longer than a step.
func (p Plan) Provision(m world.Move) float64 {
	if m.Outcome != "" {
		return m.Share
	}
	a := p.above(m.Share)
	if len(a) == 0 {
		return 1
	}
	return a[min(1, len(a)-1)]
}

// carries reports whether the new version's ready servers can take a share.
func carries(c Capacity, demand, share float64) bool {
	return c.Ready > 0 && float64(c.Slots) >= demand*share*spare
}

// lower reduces a share that the new version's servers can no longer carry, for
// example after a reclaim, while the old version can.
func (p Plan) lower(m world.Move, v View) (Step, bool) {
	c, demand := v.New[m.ID], v.Demand[m.Service]
	// Without the spare part, so that a change of load near the limit does not
	// move the share up and down.
	if m.Share == 0 || c.Ready > 0 && float64(c.Slots) >= demand*m.Share || v.Old[m.ID].Ready == 0 {
		return Step{}, false
	}
	to := 0.0
	for _, s := range p.steps() {
		if s < m.Share && carries(c, demand, s) {
			to = s
		}
	}
	return share(m, to, fmt.Sprintf("only %d servers of %s are ready", c.Ready, m.To)), true
}

func (p Plan) raise(now time.Time, m world.Move, v View, verdict judge.Verdict) (Step, bool) {
	above := p.above(m.Share)
	to := above[0]
	if m.Share > 0 {
		if s, ok := p.thin(now, m, v, verdict); ok {
			return s, true
		}
		if !enough(verdict) || now.Sub(m.ShareAt) < p.hold(m, len(above)) {
			return Step{}, false
		}
		// Two steps at once when even the shortest holds would miss the soak.
		left := m.Deadline.Sub(now) - p.Soak(m)
		if len(above) > 2 && left < time.Duration(len(above)-1)*leastHold {
			to = above[1]
		}
	}
	if to == 1 && now.Add(p.shortSoak(m)).After(m.Deadline) {
		return Step{}, false // no time for the soak; the deadline ends the move
	}
	if !carries(v.New[m.ID], v.Demand[m.Service], to) {
		return tell(m, fmt.Sprintf("waits for servers of %s before a share of %g%%", m.To, to*100)), true
	}
	if o := v.Old[m.ID]; float64(o.Slots) < v.Demand[m.Service] && m.Share > 0 {
		return tell(m, fmt.Sprintf("waits: %d servers of %s could not take all traffic back", o.Ready, m.From)), true
	}
	return share(m, to, "evidence: "+verdict.State.String()), true
}

// enough reports whether the evidence allows the next share. Fair evidence
// does, because a share is held for its part of the time anyway; the soak waits
// for Good as long as the deadline allows.
func enough(v judge.Verdict) bool {
	return v.State == judge.Good || v.State == judge.Unsure && v.Fair
}

// waiting estimates how long it takes until the verdict can be Good.
func waiting(v judge.Verdict) time.Duration {
	return time.Duration(min(float64(v.Missing)/max(v.Rate, 1e-6), longest) * float64(time.Second))
}

// hold returns how long the present share lasts if evidence allows the next
// one. It depends on recorded state only and shrinks as the deadline comes nearer.
func (p Plan) hold(m world.Move, stepsLeft int) time.Duration {
	left := m.Deadline.Sub(m.ShareAt) - p.Soak(m)
	return max(leastHold, time.Duration(timeUsed*float64(left))/time.Duration(stepsLeft))
}

// thin raises a share that would not give evidence in time.
func (p Plan) thin(now time.Time, m world.Move, v View, verdict judge.Verdict) (Step, bool) {
	held := now.Sub(m.ShareAt)
	if verdict.State != judge.Unsure || m.Share >= thinShare || held < thinAfter || verdict.FairMissing == 0 {
		return Step{}, false
	}
	left := m.Deadline.Sub(now) - p.Soak(m)
	need := time.Duration(min(float64(verdict.FairMissing)/max(verdict.FairRate, 1e-6), longest) * float64(time.Second))
	if need <= left/time.Duration(len(p.above(m.Share))) {
		return Step{}, false
	}
	to := min(max(0.05, m.Share), thinShare)
	if m.Share >= to {
		to = thinShare
	}
	reason := fmt.Sprintf("traffic is too thin for evidence in time: %s", cmp.Or(verdict.Reason, "no requests yet"))
	if !carries(v.New[m.ID], v.Demand[m.Service], to) {
		return tell(m, reason+"; waits for servers"), true
	}
	return share(m, to, reason), true
}

func share(m world.Move, to float64, reason string) Step {
	return Step{Kind: SetShare, Move: m.ID, From: m.Share, At: m.ShareAt, Share: to, Reason: reason}
}

func end(m world.Move, o world.Outcome, reason string) Step {
	return Step{Kind: End, Move: m.ID, From: m.Share, At: m.ShareAt, Outcome: o, Reason: reason}
}

func tell(m world.Move, reason string) Step {
	return Step{Kind: Tell, Move: m.ID, From: m.Share, At: m.ShareAt, Share: m.Share, Reason: reason}
}
