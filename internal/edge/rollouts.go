package edge

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"

	"cranberrypath.example/cranberrypath/internal/coord"
	"cranberrypath.example/cranberrypath/internal/judge"
	"cranberrypath.example/cranberrypath/internal/moves"
	"cranberrypath.example/cranberrypath/internal/proxy"
	"cranberrypath.example/cranberrypath/internal/world"
	"cranberrypath.example/cranberrypath/pkg/decl"
)

const (
	// decisionInterval is how often the leader decides on the rollouts.
	decisionInterval = 250 * time.Millisecond
	// firstShare and soakSeconds suit rollouts of about ten seconds: the first step
	// yields evidence within one or two seconds and stays below 10% of the traffic.
	firstShare  = 0.05
	soakSeconds = 3
	// falseAlarm is the accepted probability that a good version is rolled back.
	falseAlarm = 0.01
	// endMargin is the time between the end of a rollout and its deadline, by which
	// the outcome must be durable and visible to the operator.
	endMargin = 500 * time.Millisecond
	// inForceHold is how long the rollout of a version that is in force already runs at least, or
	// half of its time: servers that its order starts take a few seconds.
	inForceHold = 5 * time.Second
)

// rolloutController decides the steps of rollouts while this instance is the leader.
type rolloutController struct {
	e          *Edge
	cancel     context.CancelFunc
	wg         sync.WaitGroup
	plan       moves.Plan
	term       uint64
	judges     map[uint64]*judge.Judge // by serial number of the rollout
	lastReason map[uint64]string       // last logged reason, by serial number
}

func startRolloutController(e *Edge) *rolloutController {
	ctx, cancel := context.WithCancel(context.Background())
	rc := &rolloutController{
		e: e, cancel: cancel, lastReason: map[uint64]string{},
		plan: moves.New(decl.MovePolicy{FirstShare: firstShare, SoakSeconds: soakSeconds, FalseAlarm: falseAlarm}),
	}
	rc.wg.Go(func() {
		tick := time.NewTicker(decisionInterval)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			rc.step(ctx, e.cfg.Clock())
		}
	})
	return rc
}

func (rc *rolloutController) close() {
	rc.cancel()
	rc.wg.Wait()
}

// step decides and applies the next steps of all running rollouts.
func (rc *rolloutController) step(ctx context.Context, now time.Time) {
	leadership, ok := rc.e.coord.Leads(now)
	if !ok {
		return
	}
	if leadership.Term != rc.term {
		rc.term, rc.judges = leadership.Term, map[uint64]*judge.Judge{}
	}
	byMove := map[string]coord.Rollout{}
	var steps []moves.Step
	v := moves.View{
		Verdicts: map[string]judge.Verdict{}, New: map[string]moves.Capacity{}, Old: map[string]moves.Capacity{},
		Demand: map[string]float64{},
	}
	for _, r := range rc.e.coord.Rollouts() {
		if r.Phase != coord.Running {
			delete(rc.judges, r.Serial)
			continue
		}
		m := moveOf(r)
		byMove[m.ID] = r
		if r.InForce {
			if s, ok := rc.stepInForce(m, r, now); ok {
				steps = append(steps, s)
			}
			continue
		}
		v.Moves = append(v.Moves, m)
		rc.addCapacity(&v, m, r)
		j := rc.judges[r.Serial]
		if j == nil {
			j = judge.New(m, falseAlarm, int(leadership.Term)-1, now)
			rc.judges[r.Serial] = j
		}
		j.UpdateMove(m, now)
	}
	rc.addEvidence(now)
	for _, m := range v.Moves {
		v.Verdicts[m.ID] = rc.judges[byMove[m.ID].Serial].Verdict(now)
	}
	for _, s := range append(steps, rc.plan.Next(now, v)...) {
		rc.applyStep(ctx, byMove[s.Move], s, now)
	}
}

// moveOf converts a rollout to a move between versions.
func moveOf(r coord.Rollout) world.Move {
	return world.Move{
		ID: strconv.FormatUint(r.Serial, 10), Service: r.Service, From: proxy.OtherVersions, To: r.Target,
		Started: r.Started, Deadline: r.Deadline().Add(-endMargin), Share: r.Share, ShareAt: r.ShareAt,
	}
}

// stepInForce ends the rollout of a version that was in force when it was ordered. Its servers get
// all requests from the order on, so there is nothing to compare; servers of other versions are
// stopped once it is done, and those that the order starts may take their place.
func (rc *rolloutController) stepInForce(m world.Move, r coord.Rollout, now time.Time) (moves.Step, bool) {
	loads := rc.e.coord.Loads()
	ready, runningElsewhere := 0, 0
	for _, s := range rc.e.roster.Present() {
		switch {
		case s.Service != r.Service:
		case s.Version != r.Target:
			runningElsewhere += loads[s.ID].Running
		case s.State == world.Ready:
			ready++
		}
	}
	overdue := !now.Before(m.Deadline)
	held := now.Sub(r.Started) >= min(inForceHold, r.Duration/2)
	switch {
	case ready > 0 && (overdue || held && runningElsewhere == 0):
		return moves.Step{Kind: moves.End, Move: m.ID, Outcome: world.Done, Reason: r.Target + " was in force when it was ordered and serves all requests"}, true
	case overdue:
		return moves.Step{Kind: moves.End, Move: m.ID, Outcome: world.RolledBack, Reason: "the deadline passed: no server of " + r.Target + " was ready"}, true
	}
	return moves.Step{}, false
}

// addCapacity adds the capacity of both versions and the demand to the view.
func (rc *rolloutController) addCapacity(v *moves.View, m world.Move, r coord.Rollout) {
	loads, evacuated := rc.e.coord.Loads(), rc.e.evacuatedDataCentres()
	var newCapacity, oldCapacity moves.Capacity
	demand := 0.0
	for _, s := range rc.e.roster.Usable() {
		if s.Service != r.Service || r.WasRolledBack(s.Version) || r.WasSuperseded(s.Version) || slices.Contains(evacuated, s.DataCentre) {
			continue
		}
		c := &oldCapacity
		if s.Version == r.Target {
			c = &newCapacity
		}
		c.ReadyServers++
		c.Slots += s.Slots
		demand += float64(loads[s.ID].Running)
	}
	v.New[m.ID], v.Old[m.ID] = newCapacity, oldCapacity
	v.Demand[r.Service] = demand
}

// addEvidence passes the reports of all instances to the judges.
func (rc *rolloutController) addEvidence(now time.Time) {
	for _, b := range rc.e.coord.TakeVersionResults() {
		r, err := judge.Decode(b)
		if err != nil {
			rc.e.cfg.Log.WithError(err).WithField("event", "rollout.badReport").Warn("cannot decode the results of an instance")
			continue
		}
		for _, j := range rc.judges {
			j.Add(r, now)
		}
	}
}

func (rc *rolloutController) applyStep(ctx context.Context, r coord.Rollout, s moves.Step, now time.Time) {
	next, changed := r, true
	switch {
	case s.Kind == moves.SetShare:
		next = r.WithShare(s.Share, now, s.Reason)
	case s.Kind == moves.End && s.Outcome == world.Done:
		next = r.WithPhase(coord.Done, s.Reason)
	case s.Kind == moves.End:
		next = r.WithPhase(coord.RolledBack, s.Reason)
	default:
		if rc.lastReason[r.Serial] == s.Reason {
			return
		}
		changed = false
	}
	rc.lastReason[r.Serial] = s.Reason
	l := rc.e.cfg.Log.WithFields(log.Fields{
		"event": "rollout.step", "service": r.Service, "target": r.Target, "serial": r.Serial, "step": string(s.Kind),
		"outcome": string(s.Outcome), "share": s.Share, "reason": s.Reason, "term": rc.term,
	})
	if !changed {
		l.Info("rollout step pending")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if err := rc.e.coord.UpdateRollout(ctx, next); err != nil {
		l.WithError(err).Warn("recording the rollout step failed; it will be retried")
		return
	}
	l.Info("rollout step recorded")
}

// takeResults returns the encoded results of running rollouts on this instance since
// the last call, or nil if there are none.
func (e *Edge) takeResults(now time.Time) []byte {
	r := e.judgeRecorder.Take(now)
	if len(r.Cells) == 0 && len(r.Crashes) == 0 {
		return nil
	}
	b, err := r.Encode()
	if err != nil {
		e.cfg.Log.WithError(err).WithField("event", "rollout.badReport").Warn("cannot encode the results")
		return nil
	}
	return b
}
