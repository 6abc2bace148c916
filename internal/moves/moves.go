// Package moves decides the steps of version moves. Decisions are a pure function of
// the recorded moves, the current time and the evidence, so a new leader that takes
// over at any point decides the same step again. Steps are idempotent.
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
	// maxLowTrafficShare bounds the share to which a move with too little traffic
	// is raised without evidence. It is ten times the usual first step and leaves
	// 90% of the requests on the old version.
	maxLowTrafficShare = 0.10
	// lowTrafficDelay is how long a share is held before its traffic can be
	// considered too low for evidence.
	lowTrafficDelay = 10 * time.Second
	// minHold is the minimum time at one share: reports arrive every second, and
	// queueing on a server affects its latency only after a few seconds.
	minHold = 5 * time.Second
	// maxSoakFraction bounds the soak as a fraction of the move's total time.
	maxSoakFraction = 0.25
	// minSoakFraction is the fraction of the soak that suffices at the deadline,
	// for example after a suspicion that was not confirmed.
	minSoakFraction = 0.5
	// stepTimeFraction is the fraction of the time to the deadline over which the
	// steps are spread; the rest is a margin for late evidence, late starts and a
	// second soak after a suspicion.
	stepTimeFraction = 0.45
	// recheckShare is the share at which a suspicion during the soak is checked:
	// both versions have enough traffic for a verdict within seconds.
	recheckShare = 0.5
	// capacityMargin is the required ratio of ready capacity to the traffic of a
	// share.
	capacityMargin = 1.1
	// maxEstimateSeconds bounds time estimates so that they fit in a Duration.
	maxEstimateSeconds = 1e8
)

// Capacity is the capacity of the ready servers of a service and version.
type Capacity struct {
	ReadyServers int // number of ready servers
	Slots        int // concurrent requests within the latency target
	// RefusalReason is the reason why the latest start was refused; empty if none was.
	RefusalReason string
}

// View is the input of Plan.Next.
type View struct {
	Moves        []world.Move             // recorded moves, including ended ones
	Verdicts     map[string]judge.Verdict // by move ID
	New, Old     map[string]Capacity      // by move ID
	Demand       map[string]float64       // by service: slots in use, over all versions
	RolledBackBy map[string]string        // by move ID: the operator who rolls the move back
}

// Plan decides the steps of moves under a policy.
type Plan struct{ policy decl.MovePolicy }

// New returns the plan for a declared policy.
func New(p decl.MovePolicy) Plan { return Plan{p} }

// Kind is the kind of a step.
type Kind string

// The kinds of step.
const (
	SetShare Kind = "setShare"
	End      Kind = "end"
	Report   Kind = "tell" // not recorded; the reason is shown in the event history
)

// Step is one change of a move. SetShare applies only to a running move that has had
// the share FromShare since ShareSince.
type Step struct {
	Kind       Kind          `json:"kind"`
	Move       string        `json:"move"`
	FromShare  float64       `json:"from"`
	ShareSince time.Time     `json:"at"`
	Share      float64       `json:"share"`
	Outcome    world.Outcome `json:"outcome,omitempty"`
	Reason     string        `json:"reason"`
}

// Apply returns the move after the step. A step that has already been applied, or that
// was decided from an older state, does not change the move.
func Apply(m world.Move, s Step, now time.Time) world.Move {
	switch {
	case s.Move != m.ID, m.Outcome != "":
		return m
	case s.Kind == End:
		return m.WithOutcome(s.Outcome, s.Reason, now)
	case s.Kind == SetShare && s.FromShare == m.Share && s.ShareSince.Equal(m.ShareAt) && s.Share != m.Share:
		return m.WithShare(s.Share, now)
	}
	return m
}

// Next returns at most one step for each running move, ordered by move ID.
func (p Plan) Next(now time.Time, v View) []Step {
	var out []Step
	newest := newestRunning(v.Moves)
	for _, m := range v.Moves {
		if m.Outcome != "" {
			continue
		}
		if n := newest[m.Service]; n.ID != m.ID {
			out = append(out, endMove(m, world.TakenBack, "overtaken by move "+n.ID))
			continue
		}
		if s, ok := p.nextStep(now, m, v); ok {
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
		newest, ok := out[m.Service]
		if !ok || cmp.Or(m.Started.Compare(newest.Started), cmp.Compare(m.ID, newest.ID)) > 0 {
			out[m.Service] = m
		}
	}
	return out
}

func (p Plan) nextStep(now time.Time, m world.Move, v View) (Step, bool) {
	verdict := v.Verdicts[m.ID]
	if operator, ok := v.RolledBackBy[m.ID]; ok {
		return endMove(m, world.TakenBack, "taken back by "+operator), true
	}
	if verdict.State == judge.Bad {
		return endMove(m, world.TakenBack, verdict.Reason), true
	}
	if m.Share >= 1 {
		return p.soakStep(now, m, verdict)
	}
	if !now.Before(m.Deadline) {
		return endMove(m, world.TakenBack, p.deadlineReason(m, v)), true
	}
	if s, ok := p.lowerShare(m, v); ok {
		return s, true
	}
	return p.raiseShare(now, m, v, verdict)
}

// soakStep ends the move once the soak has completed with sufficient evidence for the
// new version.
func (p Plan) soakStep(now time.Time, m world.Move, verdict judge.Verdict) (Step, bool) {
	if verdict.State == judge.Suspect && now.Before(m.Deadline) {
		return setShare(m, recheckShare, "compares both versions again: "+verdict.Reason), true
	}
	soaked := now.Sub(m.ShareAt) >= p.SoakDuration(m) || !now.Before(m.Deadline) && now.Sub(m.ShareAt) >= p.minSoakDuration(m)
	sufficient := verdict.State == judge.Good || allowsRaise(verdict) && timeToGood(verdict) > m.Deadline.Sub(now)
	switch {
	case soaked && sufficient:
		return endMove(m, world.Done, fmt.Sprintf("all traffic on %s for %s without a fault", m.To, now.Sub(m.ShareAt).Round(time.Second))), true
	case !now.Before(m.Deadline):
		return endMove(m, world.TakenBack, "the deadline passed during the soak: "+cmp.Or(verdict.Reason, "the soak was not over")), true
	}
	return Step{}, false
}

// SoakDuration returns how long the full share is observed: the declared time, but at most a
// quarter of the time of the move.
func (p Plan) SoakDuration(m world.Move) time.Duration {
	declared := time.Duration(p.policy.SoakSeconds) * time.Second
	return min(declared, time.Duration(float64(m.Deadline.Sub(m.Started))*maxSoakFraction))
}

func (p Plan) minSoakDuration(m world.Move) time.Duration {
	return time.Duration(minSoakFraction * float64(p.SoakDuration(m)))
}

func (p Plan) deadlineReason(m world.Move, v View) string {
	reason := fmt.Sprintf("the deadline passed at a share of %g%%", m.Share*100)
	c := v.New[m.ID]
	switch {
	case c.RefusalReason != "":
		return reason + ": starts of new servers were refused: " + c.RefusalReason
	case c.ReadyServers == 0:
		return reason + ": no server of " + m.To + " was ready"
	case v.Verdicts[m.ID].Reason != "":
		return reason + ": " + v.Verdicts[m.ID].Reason
	}
	return reason
}

// shares returns the traffic shares of a move in ascending order; the last is 1.
func (p Plan) shares() []float64 {
	out := []float64{p.policy.FirstShare}
	for _, s := range []float64{0.05, 0.25, 0.5, 1} {
		if s > p.policy.FirstShare {
			out = append(out, s)
		}
	}
	return out
}

// sharesAbove returns the shares greater than the given one.
func (p Plan) sharesAbove(share float64) []float64 {
	steps := p.shares()
	i := slices.IndexFunc(steps, func(s float64) bool { return s > share })
	if i < 0 {
		return nil
	}
	return steps[i:]
}

// Provision returns the traffic share for which the new version's servers are
// provisioned: two steps ahead, because a server start takes longer than a step.
func (p Plan) Provision(m world.Move) float64 {
	if m.Outcome != "" {
		return m.Share
	}
	shares := p.sharesAbove(m.Share)
	if len(shares) == 0 {
		return 1
	}
	return shares[min(1, len(shares)-1)]
}

// hasCapacity reports whether ready servers can serve a traffic share with margin.
func hasCapacity(c Capacity, demand, share float64) bool {
	return c.ReadyServers > 0 && float64(c.Slots) >= demand*share*capacityMargin
}

// lowerShare reduces a share for which the new version no longer has the capacity, for
// example after a reclaim, if the old version has ready servers.
func (p Plan) lowerShare(m world.Move, v View) (Step, bool) {
	c, demand := v.New[m.ID], v.Demand[m.Service]
	// Compares without capacityMargin as a hysteresis: load changes near the limit
	// must not make the share oscillate.
	if m.Share == 0 || c.ReadyServers > 0 && float64(c.Slots) >= demand*m.Share || v.Old[m.ID].ReadyServers == 0 {
		return Step{}, false
	}
	target := 0.0
	for _, s := range p.shares() {
		if s < m.Share && hasCapacity(c, demand, s) {
			target = s
		}
	}
	return setShare(m, target, fmt.Sprintf("only %d servers of %s are ready", c.ReadyServers, m.To)), true
}

func (p Plan) raiseShare(now time.Time, m world.Move, v View, verdict judge.Verdict) (Step, bool) {
	above := p.sharesAbove(m.Share)
	target := above[0]
	if m.Share > 0 {
		if s, ok := p.raiseLowTraffic(now, m, v, verdict); ok {
			return s, true
		}
		if !allowsRaise(verdict) || now.Sub(m.ShareAt) < p.holdTime(m, len(above)) {
			return Step{}, false
		}
		// Skips a step if even the minimum holds would leave no time for the soak.
		remaining := m.Deadline.Sub(now) - p.SoakDuration(m)
		if len(above) > 2 && remaining < time.Duration(len(above)-1)*minHold {
			target = above[1]
		}
	}
	if target == 1 && now.Add(p.minSoakDuration(m)).After(m.Deadline) {
		return Step{}, false // not enough time for the soak; the move ends at the deadline
	}
	if !hasCapacity(v.New[m.ID], v.Demand[m.Service], target) {
		return report(m, fmt.Sprintf("waits for servers of %s before a share of %g%%", m.To, target*100)), true
	}
	if o := v.Old[m.ID]; float64(o.Slots) < v.Demand[m.Service] && m.Share > 0 {
		return report(m, fmt.Sprintf("waits: %d servers of %s could not take all traffic back", o.ReadyServers, m.From)), true
	}
	return setShare(m, target, "evidence: "+verdict.State.String()), true
}

// allowsRaise reports whether the evidence allows the next share. Fair evidence is
// sufficient, because each share is held for its part of the time anyway; the soak
// waits for Good until the deadline.
func allowsRaise(v judge.Verdict) bool {
	return v.State == judge.Good || v.State == judge.Unsure && v.Fair
}

// timeToGood estimates the time until the verdict can be Good.
func timeToGood(v judge.Verdict) time.Duration {
	return time.Duration(min(float64(v.Missing)/max(v.RequestsPerSecond, 1e-6), maxEstimateSeconds) * float64(time.Second))
}

// holdTime returns how long the current share is held if the evidence allows the next
// one. It depends only on recorded state and decreases towards the deadline.
func (p Plan) holdTime(m world.Move, stepsRemaining int) time.Duration {
	remaining := m.Deadline.Sub(m.ShareAt) - p.SoakDuration(m)
	return max(minHold, time.Duration(stepTimeFraction*float64(remaining))/time.Duration(stepsRemaining))
}

// raiseLowTraffic raises a share whose traffic is too low to yield evidence in time.
func (p Plan) raiseLowTraffic(now time.Time, m world.Move, v View, verdict judge.Verdict) (Step, bool) {
	held := now.Sub(m.ShareAt)
	if verdict.State != judge.Unsure || m.Share >= maxLowTrafficShare || held < lowTrafficDelay || verdict.FairMissing == 0 {
		return Step{}, false
	}
	remaining := m.Deadline.Sub(now) - p.SoakDuration(m)
	evidenceTime := time.Duration(min(float64(verdict.FairMissing)/max(verdict.FairRequestsPerSecond, 1e-6), maxEstimateSeconds) * float64(time.Second))
	if evidenceTime <= remaining/time.Duration(len(p.sharesAbove(m.Share))) {
		return Step{}, false
	}
	target := min(max(0.05, m.Share), maxLowTrafficShare)
	if m.Share >= target {
		target = maxLowTrafficShare
	}
	reason := fmt.Sprintf("traffic is too thin for evidence in time: %s", cmp.Or(verdict.Reason, "no requests yet"))
	if !hasCapacity(v.New[m.ID], v.Demand[m.Service], target) {
		return report(m, reason+"; waits for servers"), true
	}
	return setShare(m, target, reason), true
}

func setShare(m world.Move, target float64, reason string) Step {
	return Step{Kind: SetShare, Move: m.ID, FromShare: m.Share, ShareSince: m.ShareAt, Share: target, Reason: reason}
}

func endMove(m world.Move, o world.Outcome, reason string) Step {
	return Step{Kind: End, Move: m.ID, FromShare: m.Share, ShareSince: m.ShareAt, Outcome: o, Reason: reason}
}

func report(m world.Move, reason string) Step {
	return Step{Kind: Report, Move: m.ID, FromShare: m.Share, ShareSince: m.ShareAt, Share: m.Share, Reason: reason}
}
