package moves

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/judge"
	"cranberrypath.example/cranberrypath/internal/world"
	"cranberrypath.example/cranberrypath/pkg/decl"
)

var (
	start = time.UnixMilli(1_700_000_000_000)
	seeds = flag.Int("seeds", 6, "seeds for each kind of version")
	rate  = flag.Float64("rate", 20, "requests a second of the simulated service")
	limit = flag.Duration("deadline", 15*time.Minute, "time for each simulated move")
)

var policy = decl.MovePolicy{FirstShare: 0.01, SoakSeconds: 60, FalseAlarm: 0.01}

// fault describes how a version is faulty.
type fault struct {
	symptom     string // "", "fails", "slows" or "crashes"
	trigger     string // "at once", "late", "under load" or "one route"
	startsAfter time.Duration
}

// drawResult draws the result of a random request. Load and outages of a shared
// dependency affect both versions.
func (f fault) drawResult(r *rand.Rand, isNew bool, t time.Duration, load float64, outage bool) judge.Result {
	route := []string{"lookup", "lookup", "lookup", "lookup", "review", "review", "review", "order", "order", "order"}[r.IntN(10)]
	res := judge.Result{Service: "s", Version: "v1", Route: route, Load: load, Server: fmt.Sprint(r.IntN(10)), Tokens: 100}
	failRate, slowdown := 0.005, 1+load*load
	if outage {
		failRate = 0.3
	}
	if isNew {
		res.Version, res.Server = "v2", "n"+res.Server
		slowdown *= 1.05 // cold caches
	}
	active := isNew && t >= f.startsAfter && (f.trigger != "under load" || load > 0.8) && (f.trigger != "one route" || route == "order")
	if active {
		switch f.symptom {
		case "fails":
			failRate += 0.25
		case "slows":
			slowdown *= 2
		case "crashes":
			res.Crashed = r.Float64() < 0.02
		}
	}
	res.Failed = r.Float64() < failRate
	res.TimeToFirstToken = time.Duration(350 * slowdown * math.Exp(0.4*r.NormFloat64()) * float64(time.Millisecond))
	res.TimeBetweenTokens = time.Duration(28 * slowdown * math.Exp(0.15*r.NormFloat64()) * float64(time.Millisecond))
	return res
}

type moveResult struct {
	move           world.Move
	exposedTraffic float64       // fraction of the requests after the start of the fault that the new version served
	peakShare      float64       // maximum share during the fault
	timeToRollback time.Duration // from the start of the fault, for moves that are rolled back
	endCount       int
}

// simulate simulates one move. If crashAt > 0, the controller crashes at that second and
// is replaced with a new judge.
func simulate(seed uint64, f fault, crashAt int) moveResult {
	r := rand.New(rand.NewPCG(seed, 4))
	m := world.Move{ID: "m1", Service: "s", From: "v1", To: "v2", Started: start, Deadline: start.Add(*limit)}
	if f.trigger == "late" {
		f.startsAfter = time.Duration(r.Float64() * 0.7 * float64(*limit))
	}
	plan, j, recorder := New(policy), judge.New(m, policy.FalseAlarm, 0, start), judge.NewRecorder("e", 1)
	out, newVersionRequests, requests := moveResult{}, 0, 0
	phase := r.Float64() * 6
	outageAt := r.IntN(int(limit.Seconds()))
	for s := 1; m.Outcome == "" && s < 2*int(limit.Seconds()); s++ {
		now := start.Add(time.Duration(s) * time.Second)
		t := now.Sub(start)
		level := 0.6 + 0.5*math.Sin(phase+t.Seconds()/60)
		for range int(*rate * (0.5 + r.Float64())) {
			isNew := r.Float64() < m.Share
			recorder.Add(f.drawResult(r, isNew, t, max(level+0.1*r.NormFloat64(), 0), s >= outageAt && s < outageAt+10), now)
			if f.symptom != "" && t >= f.startsAfter {
				requests++
				if isNew {
					newVersionRequests++
				}
			}
		}
		if f.symptom != "" && t >= f.startsAfter {
			out.peakShare = max(out.peakShare, m.Share)
		}
		if s == crashAt {
			j = judge.New(m, policy.FalseAlarm, 1, now)
		}
		j.UpdateMove(m, now)
		j.Add(recorder.Take(now), now)
		v := View{
			Moves:    []world.Move{m},
			Verdicts: map[string]judge.Verdict{"m1": j.Verdict(now)},
			New:      map[string]Capacity{"m1": {ReadyServers: 10, Slots: 80}}, Old: map[string]Capacity{"m1": {ReadyServers: 10, Slots: 80}},
			Demand: map[string]float64{"s": 60},
		}
		for _, step := range plan.Next(now, v) {
			before := m.Outcome
			m = Apply(Apply(m, step, now), step, now.Add(time.Second)) // repeated to check idempotence
			if before == "" && m.Outcome != "" {
				out.endCount++
			}
		}
	}
	out.move, out.timeToRollback = m, m.Ended.Sub(start.Add(f.startsAfter))
	out.exposedTraffic = float64(newVersionRequests) / float64(max(requests, 1))
	return out
}

// Guards against bad versions that stay or receive a large share of the traffic, good
// versions that are rolled back or miss their deadline, and moves without exactly one
// outcome.
func TestVersions(t *testing.T) {
	faults := []fault{{}}
	for _, symptom := range []string{"fails", "slows", "crashes"} {
		for _, trigger := range []string{"at once", "late", "under load", "one route"} {
			faults = append(faults, fault{symptom: symptom, trigger: trigger})
		}
	}
	for _, f := range faults {
		t.Run(f.symptom+" "+f.trigger, func(t *testing.T) {
			t.Parallel()
			n := *seeds
			if f.symptom == "" {
				n *= 4
			}
			done, takenBack, beforeDeadline, beforeFault := 0, 0, 0, 0
			var rollbackTimes []time.Duration
			var exposed, peakShares []float64
			for seed := range uint64(n) {
				r := simulate(seed, f, 0)
				switch {
				case r.timeToRollback < 0:
					beforeFault++ // the move ended before the fault started
					continue
				case r.move.Outcome == world.Done:
					done++
				case r.move.Outcome == world.TakenBack:
					takenBack++
				}
				if r.move.Ended.Before(r.move.Deadline) && r.move.Outcome == world.TakenBack {
					beforeDeadline++
				}
				if f.symptom == "" && r.move.Outcome != world.Done {
					t.Logf("seed %d: %s", seed, r.move.Reason)
				}
				if r.endCount != 1 || r.move.Ended.After(r.move.Deadline) {
					t.Errorf("seed %d: %d outcomes, ended %s after the deadline", seed, r.endCount, r.move.Ended.Sub(r.move.Deadline))
				}
				rollbackTimes, exposed, peakShares = append(rollbackTimes, r.timeToRollback), append(exposed, r.exposedTraffic), append(peakShares, r.peakShare)
			}
			slices.Sort(rollbackTimes)
			slices.Sort(exposed)
			slices.Sort(peakShares)
			median, p95 := len(rollbackTimes)/2, len(rollbackTimes)*95/100
			t.Logf("seeds 0 to %d: done %d, rolled back %d (before the deadline %d), ended before the fault %d", n-1, done, takenBack, beforeDeadline, beforeFault)
			if f.symptom == "" {
				if done < n*95/100 {
					t.Errorf("only %d of %d good versions done", done, n)
				}
				return
			}
			t.Logf("time to rollback p50 %s, p95 %s; exposed traffic p50 %.2f%%, p95 %.2f%%; maximum share p50 %g, p95 %g",
				rollbackTimes[median], rollbackTimes[p95], 100*exposed[median], 100*exposed[p95], peakShares[median], peakShares[p95])
			if takenBack < len(rollbackTimes)*95/100 {
				t.Errorf("only %d of %d bad versions rolled back", takenBack, len(rollbackTimes))
			}
		})
	}
}

// Guards against a duplicate or missing outcome when the controller crashes and loses
// its evidence at any second of a move.
func TestCrashAtEveryStep(t *testing.T) {
	for _, f := range []fault{{}, {symptom: "fails", trigger: "at once"}} {
		for s := 1; s < int(limit.Seconds()); s += 60 {
			r := simulate(uint64(s), f, s)
			if want := f.symptom == ""; r.endCount != 1 || (r.move.Outcome == world.Done) != want {
				t.Errorf("seed %d, crash at %d s: %d outcomes, %s: %s", s, s, r.endCount, r.move.Outcome, r.move.Reason)
			}
		}
	}
}

// Guards against steps without capacity or evidence, moves that never end, and steps
// that a leader decided from an older state.
func TestNext(t *testing.T) {
	m := world.Move{ID: "m1", Service: "s", From: "v1", To: "v2", Started: start, Deadline: start.Add(time.Hour)}
	good := judge.Verdict{State: judge.Good}
	lowTraffic := judge.Verdict{State: judge.Unsure, Missing: 50, RequestsPerSecond: 0.001, FairMissing: 50, FairRequestsPerSecond: 0.001, Reason: "route x needs 50 more requests"}
	fair := judge.Verdict{State: judge.Unsure, Missing: 50, RequestsPerSecond: 1, Fair: true}
	full := Capacity{ReadyServers: 10, Slots: 80}
	deadline := m.Deadline
	newer := m
	newer.ID, newer.Started = "m2", start.Add(time.Second)
	withShare := func(share float64) world.Move { return m.WithShare(share, start) }
	tests := []struct {
		name        string
		move        world.Move
		now         time.Time
		verdict     judge.Verdict
		newCapacity Capacity
		oldCapacity Capacity
		others      []world.Move
		operator    string
		want        string
	}{
		{"first", m, start, judge.Verdict{}, full, full, nil, "", "setShare 0.01"},
		{"no server", m, start, judge.Verdict{}, Capacity{}, full, nil, "", "tell 0"},
		{"too early", withShare(0.05), start.Add(time.Second), good, full, full, nil, "", ""},
		{"no evidence", withShare(0.25), deadline.Add(-5 * time.Minute), judge.Verdict{}, full, full, nil, "", ""},
		{"evidence", withShare(0.05), start.Add(30 * time.Minute), good, full, full, nil, "", "setShare 0.25"},
		{"late", withShare(0.05), deadline.Add(-65 * time.Second), good, full, full, nil, "", "setShare 0.5"},
		{"no time for the soak", withShare(0.5), deadline.Add(-29 * time.Second), good, full, full, nil, "", ""},
		{"little capacity", withShare(0.25), start.Add(50 * time.Minute), good, Capacity{ReadyServers: 3, Slots: 24}, full, nil, "", "tell 0.25"},
		{"capacity lost", withShare(0.5), start.Add(time.Minute), good, Capacity{ReadyServers: 2, Slots: 16}, full, nil, "", "setShare 0.05"},
		{"old capacity lost", withShare(0.25), start.Add(50 * time.Minute), good, full, Capacity{ReadyServers: 2, Slots: 16}, nil, "", "tell 0.25"},
		{"thin", withShare(0.01), start.Add(time.Minute), lowTraffic, full, full, nil, "", "setShare 0.05"},
		{"thin again", withShare(0.05), start.Add(time.Minute), lowTraffic, full, full, nil, "", "setShare 0.1"},
		{"thin at the bound", withShare(0.1), start.Add(time.Minute), lowTraffic, full, full, nil, "", ""},
		{"soak", withShare(1), start.Add(59 * time.Second), good, full, full, nil, "", ""},
		{"soaked", withShare(1), start.Add(60 * time.Second), good, full, full, nil, "", "end done"},
		{"short soak at the deadline", m.WithShare(1, deadline.Add(-30*time.Second)), deadline, good, full, full, nil, "", "end done"},
		{"too short a soak", m.WithShare(1, deadline.Add(-29*time.Second)), deadline, good, full, full, nil, "", "end takenBack"},
		{"soaked without evidence", withShare(1), start.Add(60 * time.Second), lowTraffic, full, full, nil, "", ""},
		{"late fault", withShare(1), start.Add(59 * time.Second), judge.Verdict{State: judge.Bad}, full, full, nil, "", "end takenBack"},
		{"suspicion", withShare(1), start.Add(30 * time.Second), judge.Verdict{State: judge.Suspect}, full, full, nil, "", "setShare 0.5"},
		{"fair with time", withShare(0.25), start.Add(5 * time.Minute), fair, full, full, nil, "", ""},
		{"fair without time", withShare(0.25), start.Add(50 * time.Minute), fair, full, full, nil, "", "setShare 0.5"},
		{"refused", m, deadline, judge.Verdict{}, Capacity{RefusalReason: "no capacity in dc1"}, full, nil, "", "end takenBack"},
		{"operator", withShare(0.5), start, good, full, full, nil, "ann", "end takenBack"},
		{"overtaken", withShare(0.5), start, good, full, full, []world.Move{newer}, "", "end takenBack"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := View{
				Moves: append([]world.Move{tt.move}, tt.others...), Verdicts: map[string]judge.Verdict{"m1": tt.verdict},
				New: map[string]Capacity{"m1": tt.newCapacity}, Old: map[string]Capacity{"m1": tt.oldCapacity}, Demand: map[string]float64{"s": 60},
				RolledBackBy: map[string]string{},
			}
			if tt.operator != "" {
				v.RolledBackBy["m1"] = tt.operator
			}
			got := ""
			for _, s := range New(policy).Next(tt.now, v) {
				switch {
				case s.Move != "m1":
				case s.Kind == End:
					got = fmt.Sprint(s.Kind, " ", s.Outcome)
				default:
					got = fmt.Sprint(s.Kind, " ", s.Share)
				}
				moved := Apply(tt.move, s, tt.now)
				if moved != Apply(moved, s, tt.now.Add(time.Minute)) {
					t.Error("the step is not idempotent")
				}
				if old := s; s.Kind == SetShare && Apply(tt.move.WithShare(s.FromShare, tt.now.Add(time.Hour)), old, tt.now).Share != s.FromShare {
					t.Error("a step decided from an older state was applied")
				}
			}
			if got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

func BenchmarkNext(b *testing.B) {
	for _, n := range []int{3, 60} { // concurrent moves
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v := View{New: map[string]Capacity{}, Old: map[string]Capacity{}, Verdicts: map[string]judge.Verdict{}, Demand: map[string]float64{}}
			for i := range n {
				m := world.Move{ID: fmt.Sprint(i), Service: fmt.Sprint(i), Started: start, Deadline: start.Add(time.Hour)}
				v.Moves = append(v.Moves, m.WithShare(0.05, start))
				v.New[m.ID], v.Old[m.ID] = Capacity{ReadyServers: 60, Slots: 500}, Capacity{ReadyServers: 60, Slots: 500}
				v.Verdicts[m.ID], v.Demand[m.ID] = judge.Verdict{State: judge.Good}, 400
			}
			for b.Loop() {
				New(policy).Next(start.Add(40*time.Minute), v)
			}
		})
	}
}
