package edge

import (
	"context"
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
	// trialInterval is how often the leader looks at the rollouts.
	trialInterval = 250 * time.Millisecond
	// firstShare and soakSeconds suit rollouts of some ten seconds: the first step
	// gives evidence within a second or two and stays below a tenth of the traffic.
	firstShare  = 0.05
	soakSeconds = 3
	// falseAlarm is the accepted probability that a good version is taken back.
	falseAlarm = 0.01
	// endMargin is how long before its deadline a rollout ends: the end must be
	// durable and known to the operator by then.
	endMargin = 500 * time.Millisecond
)

// trials moves the traffic of rollouts while this instance leads.
type trials struct {
	e      *Edge
	cancel context.CancelFunc
	wg     sync.WaitGroup
	plan   moves.Plan
	term   uint64
	judges map[uint64]*judge.Judge // by serial of the rollout
	said   map[uint64]string       // last reason in the log, by serial
}

func startTrials(e *Edge) *trials {
	ctx, cancel := context.WithCancel(context.Background())
	t := &trials{
		e: e, cancel: cancel, said: map[uint64]string{},
		plan: moves.New(decl.MovePolicy{FirstShare: firstShare, SoakSeconds: soakSeconds, FalseAlarm: falseAlarm}),
	}
	t.wg.Go(func() {
		tick := time.NewTicker(trialInterval)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			t.step(ctx, e.cfg.Clock())
		}
	})
	return t
}

func (t *trials) close() {
	t.cancel()
	t.wg.Wait()
}

// step decides about all rollouts that run.
func (t *trials) step(ctx context.Context, now time.Time) {
	lead, ok := t.e.coord.Leads(now)
	if !ok {
		return
	}
	if lead.Term != t.term {
		t.term, t.judges = lead.Term, map[uint64]*judge.Judge{}
	}
	byMove := map[string]coord.Rollout{}
	v := moves.View{
		Verdicts: map[string]judge.Verdict{}, New: map[string]moves.Capacity{}, Old: map[string]moves.Capacity{},
		Demand: map[string]float64{},
	}
	for _, r := range t.e.coord.Rollouts() {
		if r.Phase != coord.Running {
			delete(t.judges, r.Serial)
			continue
		}
		m := moveOf(r)
		byMove[m.ID] = r
		v.Moves = append(v.Moves, m)
		t.measure(&v, m, r)
		j := t.judges[r.Serial]
		if j == nil {
			j = judge.New(m, falseAlarm, int(lead.Term)-1, now)
			t.judges[r.Serial] = j
		}
		j.Follow(m, now)
	}
	t.evidence(now)
	for _, m := range v.Moves {
		v.Verdicts[m.ID] = t.judges[byMove[m.ID].Serial].Verdict(now)
	}
	for _, s := range t.plan.Next(now, v) {
		t.apply(ctx, byMove[s.Move], s, now)
	}
}

// moveOf returns a rollout as a move between versions.
func moveOf(r coord.Rollout) world.Move {
	return world.Move{
		ID: strconv.FormatUint(r.Serial, 10), Service: r.Service, From: proxy.EarlierVersions, To: r.Target,
		Started: r.Started, Deadline: r.Ends().Add(-endMargin), Share: r.Share, ShareAt: r.ShareAt,
	}
}

// measure fills in what both versions can carry.
func (t *trials) measure(v *moves.View, m world.Move, r coord.Rollout) {
	loads := t.e.coord.Loads()
	var fresh, old moves.Capacity
	demand := 0.0
	for _, s := range t.e.roster.Usable() {
		if s.Service != r.Service {
			continue
		}
		c := &old
		if s.Version == r.Target {
			c = &fresh
		}
		c.Ready++
		c.Slots += s.Slots
		demand += float64(loads[s.ID].Running)
	}
	v.New[m.ID], v.Old[m.ID] = fresh, old
	v.Demand[r.Service] = demand
}

// evidence passes the reports of all instances to the judges.
func (t *trials) evidence(now time.Time) {
	for _, b := range t.e.coord.TakeJudged() {
		r, err := judge.Decode(b)
		if err != nil {
			t.e.cfg.Log.WithError(err).WithField("event", "rollout.badReport").Warn("results of an instance cannot be read")
			continue
		}
		for _, j := range t.judges {
			j.Add(r, now)
		}
	}
}

func (t *trials) apply(ctx context.Context, r coord.Rollout, s moves.Step, now time.Time) {
	next := r
	switch {
	case s.Kind == moves.SetShare:
		next = r.WithShare(s.Share, now, s.Reason)
	case s.Kind == moves.End && s.Outcome == world.Done:
		next = r.WithPhase(coord.Done, s.Reason)
	case s.Kind == moves.End:
		next = r.WithPhase(coord.TakenBack, s.Reason)
	default:
		if t.said[r.Serial] == s.Reason {
			return
		}
	}
	t.said[r.Serial] = s.Reason
	l := t.e.cfg.Log.WithFields(log.Fields{
		"event": "rollout.step", "service": r.Service, "target": r.Target, "serial": r.Serial, "step": string(s.Kind),
		"outcome": string(s.Outcome), "share": s.Share, "reason": s.Reason, "term": t.term,
	})
	if next == r {
		l.Info("rollout waits")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if err := t.e.coord.StepRollout(ctx, next); err != nil {
		l.WithError(err).Warn("the step of a rollout was not recorded; it is decided again")
		return
	}
	l.Info("rollout moves on")
}

// takeJudged returns this instance's results of versions on trial, encoded.
func (e *Edge) takeJudged(now time.Time) []byte {
	r := e.judged.Take(now)
	if len(r.Cells) == 0 && len(r.Crashes) == 0 {
		return nil
	}
	b, err := r.Encode()
	if err != nil {
		e.cfg.Log.WithError(err).WithField("event", "rollout.badReport").Warn("results cannot be encoded")
		return nil
	}
	return b
}
