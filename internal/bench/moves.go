package bench

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"cranberrypath.example/cranberrypath/internal/event"
	"cranberrypath.example/cranberrypath/internal/manage"
	"cranberrypath.example/cranberrypath/internal/moves"
	"cranberrypath.example/cranberrypath/internal/oprcli"
	"cranberrypath.example/cranberrypath/internal/stand"
	"cranberrypath.example/cranberrypath/internal/world"
	"cranberrypath.example/cranberrypath/pkg/decl"
)

const (
	// moveLoadSeconds is the default duration of the load. It keeps a run, with startup
	// and shutdown, below a minute.
	moveLoadSeconds = 42
	// failingRate, slowRate and goodRate are the mean numbers of arrivals per second. A
	// good version needs 70 requests at each share as evidence, within half a minute. At
	// 162 arrivals per second the heartbeats of the three deployments were starved on a
	// busy machine with 10 cores.
	failingRate = 90
	slowRate    = 72
	goodRate    = 120
	// moveStart is the start of the moves, after the routes of both versions have traffic.
	moveStart = 2 * time.Second
	// deadlineFraction is the fraction of the load after which the deadline of the moves
	// passes. The rest shows whether a version that was taken back still gets traffic.
	deadlineFraction = 0.85
	// lateFaultFraction is the fraction of the load after which late faults begin.
	lateFaultFraction = 0.4
	// deadlineSlack is how long after its deadline a move may end: the controller needs
	// one step and has to record it.
	deadlineSlack = 2 * time.Second
	// burstInterval and burstFraction are the period of the bursts and the fraction of
	// the period that a burst takes. In a burst the arrival rate is burstFactor times as
	// high, so that faults under load appear.
	burstInterval = 4 * time.Second
	burstFraction = 0.25
	burstFactor   = 3
)

// moveCase is the version move of one service.
type moveCase struct {
	name      string // name of the service
	fault     *stand.VersionFault
	lateFault bool // the fault begins during the move
}

// badMoves returns moves to versions with fault f: immediately, late, under load and on
// one route.
func badMoves(namePrefix string, f stand.VersionFault) []moveCase {
	f.Version = nextVersion
	limitedTo := func(route string, above int) *stand.VersionFault {
		limited := f
		limited.Route, limited.AboveRunning = route, above
		return &limited
	}
	return []moveCase{
		{name: namePrefix + "AtOnce", fault: &f},
		{name: namePrefix + "Late", fault: &f, lateFault: true},
		{name: namePrefix + "UnderLoad", fault: limitedTo("", 1)},
		{name: namePrefix + "OnOneRoute", fault: limitedTo("review", 0)},
	}
}

func failingMoves() []moveCase {
	crashes := stand.VersionFault{Version: nextVersion, Crash: true, Share: 0.1}
	return append(badMoves("fails", stand.VersionFault{Fail: true, Share: 0.5}), moveCase{name: "crashes", fault: &crashes})
}

func slowMoves() []moveCase { return badMoves("slows", stand.VersionFault{Slow: 5}) }

func goodMoves() []moveCase {
	var out []moveCase
	for i := range 2 {
		out = append(out, moveCase{name: fmt.Sprintf("good%d", i+1)})
	}
	return out
}

// addMoveRequests generates the requests to the services in version moves.
func (in *inputs) addMoveRequests() {
	rng := newRand(in.cfg.Seed, in.scenario.name+"/load")
	baseRate := in.cfg.Rate / (1 + (burstFactor-1)*burstFraction)
	for at := time.Duration(0); ; {
		rate := baseRate
		if at%burstInterval < fractionOf(burstInterval, burstFraction) {
			rate *= burstFactor
		}
		if at += seconds(rng.ExpFloat64() / rate); at >= in.load {
			return
		}
		caller := rng.IntN(len(in.callers))
		r := request{
			Arrival: at, Caller: caller, Org: in.callers[caller].org, Service: in.scenario.moves[rng.IntN(len(in.scenario.moves))].name,
			ID: fmt.Sprintf("r%d-%d", in.cfg.Seed, len(in.requests)), Seed: rng.Uint64N(1 << 40), Stream: true,
			Class: world.Lookup, MaxTokens: 4,
		}
		if rng.Float64() < 0.3 {
			r.Class, r.MaxTokens = world.Review, 12
		}
		r.Prompt = fmt.Sprintf("question %d: deck spans of barn %d\nassistant: ", len(in.requests), rng.IntN(1000))
		in.requests = append(in.requests, r)
	}
}

// newPlannerFunc returns the constructor of a policy's planner, or nil for the system's
// planner.
func newPlannerFunc(policy string) func(decl.MovePolicy) manage.Planner {
	switch policy {
	case allAtOnce:
		return func(decl.MovePolicy) manage.Planner { return naivePlanner{[]float64{1}} }
	case fixedSteps:
		return func(decl.MovePolicy) manage.Planner { return naivePlanner{[]float64{0.1, 0.25, 0.5, 1}} }
	}
	return nil
}

// naivePlanner raises the share of a move at equal intervals until the deadline, without
// regard to the results of the new version. It waits only until servers of the new
// version can handle the next share, and ends each move as done.
type naivePlanner struct{ shares []float64 }

// Next implements manage.Planner.
func (p naivePlanner) Next(now time.Time, v moves.View) []moves.Step {
	var out []moves.Step
	for _, m := range v.Moves {
		if m.Outcome != "" {
			continue
		}
		// One interval for each share, and one as a reserve.
		interval := m.Deadline.Sub(m.Started) / time.Duration(len(p.shares)+1)
		due := min(int(now.Sub(m.Started)/interval), len(p.shares)-1)
		at := slices.Index(p.shares, m.Share) // -1 before the first share
		c, step := v.New[m.ID], moves.Step{Move: m.ID, FromShare: m.Share, ShareSince: m.ShareAt, Reason: "it is time"}
		switch {
		case at == len(p.shares)-1 && now.Sub(m.ShareAt) >= interval:
			step.Kind, step.Outcome = moves.End, world.Done
		case !now.Before(m.Deadline):
			step.Kind, step.Outcome, step.Reason = moves.End, world.TakenBack, "the deadline passed"
		case at < due && c.ReadyServers > 0 && float64(c.Slots) >= v.Demand[m.Service]*p.shares[at+1]:
			step.Kind, step.Share = moves.SetShare, p.shares[at+1]
		default:
			continue
		}
		out = append(out, step)
	}
	return out
}

// Provision implements manage.Planner.
func (p naivePlanner) Provision(m world.Move) float64 {
	return p.shares[min(slices.Index(p.shares, m.Share)+1, len(p.shares)-1)]
}

// MoveResult holds the result of one version move.
type MoveResult struct {
	Service string `json:"service"`
	Bad     bool   `json:"bad"`
	Outcome string `json:"outcome"` // "done", "takenBack" or empty if it did not end
	Reason  string `json:"reason"`
	// Seconds is the duration of the move.
	Seconds float64 `json:"seconds"`
	// BeforeDeadline is set if the move ended before its deadline, ByDeadline if it ended
	// at most deadlineSlack after its deadline.
	BeforeDeadline bool `json:"judged"`
	ByDeadline     bool `json:"inTime"`
	// FaultToZeroSeconds is the time from the start of the fault, as returned by
	// faultSince, to zero share; 0 for moves that were not taken back.
	FaultToZeroSeconds float64 `json:"zeroSeconds,omitempty"`
	// ReceivedShare is the share of the service's attempts that the bad version got from
	// the start of the fault to the end of the load.
	ReceivedShare float64 `json:"received"`
	EndEvents     int     `json:"statements"` // number of move.ended events
	// Steps lists the changes of the share and the reasons for waiting, each with the
	// seconds since the start of the move.
	Steps []string `json:"steps"`
}

// asExpected reports whether a good version was moved in time or a bad one was taken back.
func (m MoveResult) asExpected() bool {
	if m.Bad {
		return m.Outcome == string(world.TakenBack)
	}
	return m.Outcome == string(world.Done) && m.ByDeadline
}

// readMoves reads the results of the moves and compares their ends with the expected ones.
func (cf *cloudFleet) readMoves(r *Result) {
	for i, c := range cf.run.in.scenario.moves {
		m := cf.move(i)
		if m.ID == "" {
			r.Moves = append(r.Moves, MoveResult{Service: c.name, Bad: c.fault != nil})
			continue
		}
		out := MoveResult{
			Service: c.name, Bad: c.fault != nil, Outcome: m.Outcome, Reason: m.Reason,
			EndEvents: len(cf.run.site.Timeline(event.Filter{Move: m.ID, Kind: "move.ended"})), Steps: cf.steps(m),
		}
		if m.Outcome != "" {
			out.Seconds = round(m.Ended.Sub(m.Started).Seconds(), 100)
			out.BeforeDeadline = m.Ended.Before(m.Deadline)
			out.ByDeadline = !m.Ended.After(m.Deadline.Add(deadlineSlack))
		}
		if out.Bad {
			since := cf.faultSince(c)
			out.ReceivedShare = cf.received(c.name, since)
			if m.Outcome == string(world.TakenBack) && !since.IsZero() {
				out.FaultToZeroSeconds = round(m.Ended.Sub(since).Seconds(), 100)
			}
		}
		r.Moves = append(r.Moves, out)
		if cf.run.interrupted() {
			continue
		}
		if out.EndEvents != 1 || !out.ByDeadline {
			r.addBreach(promiseMoveEnd, fmt.Sprintf("%s: outcome %q, %d end events, ended by the deadline: %v", c.name, out.Outcome, out.EndEvents, out.ByDeadline))
		}
	}
}

// steps returns the share changes and waits of a move from the time line.
func (cf *cloudFleet) steps(m oprcli.Move) []string {
	var out []string
	for _, e := range cf.run.site.Timeline(event.Filter{Move: m.ID}) {
		if e.Kind == "move.share" || e.Kind == "move.waits" {
			out = append(out, fmt.Sprintf("%.1f s %s %s %s", e.Time.Sub(m.Started).Seconds(), e.Kind, e.Detail["share"], e.Detail["reason"]))
		}
	}
	return out
}

// faultSince returns when the fault of a move began: for a late fault the time at which
// it was set, for others the time of the first request to the new version.
func (cf *cloudFleet) faultSince(c moveCase) time.Time {
	if c.lateFault {
		return cf.run.began.Add(fractionOf(cf.run.in.load, lateFaultFraction))
	}
	var first time.Time
	for _, e := range cf.run.allEngines() {
		for _, run := range e.Runs() {
			if cf.serves(e.ID(), c.name) && run.Version == nextVersion && (first.IsZero() || run.Started.Before(first)) {
				first = run.Started
			}
		}
	}
	return first
}

// received returns the share of a service's attempts since a time that ran on the new
// version.
func (cf *cloudFleet) received(service string, since time.Time) float64 {
	onNew, total := 0, 0
	for _, e := range cf.run.allEngines() {
		if !cf.serves(e.ID(), service) {
			continue
		}
		for _, run := range e.Runs() {
			if run.Started.Before(since) {
				continue
			}
			total++
			if run.Version == nextVersion {
				onNew++
			}
		}
	}
	if total == 0 {
		return 0
	}
	return math.Round(float64(onNew)/float64(total)*10_000) / 10_000
}

// moveRows returns the table rows about version moves.
func (r Report) moveRows() []tableRow {
	if len(r.Results) == 0 || len(r.Results[0].Moves) == 0 {
		return nil
	}
	var out []tableRow
	badIs := func(bad bool) func(MoveResult) bool { return func(m MoveResult) bool { return m.Bad == bad } }
	addRow := func(name string, filter, cond func(MoveResult) bool) {
		if slices.ContainsFunc(r.Results[0].Moves, filter) {
			out = append(out, tableRow{name, func(r *Result) string {
				return fmt.Sprintf("%d of %d", r.countMoves(filter, cond), r.countMoves(filter, filter))
			}})
		}
	}
	addRow("good moves done in time", badIs(false), MoveResult.asExpected)
	addRow("bad moves taken back", badIs(true), MoveResult.asExpected)
	addRow("  before the deadline", badIs(true), func(m MoveResult) bool { return m.asExpected() && m.BeforeDeadline })
	if slices.ContainsFunc(r.Results[0].Moves, badIs(true)) {
		out = append(out,
			tableRow{"fault to zero share, median/longest s", timesToZeroShare},
			tableRow{"traffic to bad versions after their faults", meanBadShare})
	}
	if slices.ContainsFunc(r.Results, func(r *Result) bool { return r.ContinuedOnOldVersion > 0 }) {
		out = append(out, tableRow{"answers continued on the old version", countCell(func(r *Result) int { return r.ContinuedOnOldVersion })})
	}
	oneEndEvent := func(m MoveResult) bool { return m.EndEvents == 1 }
	addRow("moves with one end event", func(MoveResult) bool { return true }, oneEndEvent)
	for i, m := range r.Results[0].Moves {
		out = append(out, tableRow{"  " + m.Service, func(r *Result) string { return r.moveCell(i) }})
	}
	return out
}

// countMoves counts the moves that meet both conditions.
func (r *Result) countMoves(filter, cond func(MoveResult) bool) int {
	n := 0
	for _, m := range r.Moves {
		if filter(m) && cond(m) {
			n++
		}
	}
	return n
}

func (r *Result) moveCell(i int) string {
	if i >= len(r.Moves) {
		return "-"
	}
	m := r.Moves[i]
	switch {
	case m.Outcome == "":
		return "not ended"
	case m.Bad && m.FaultToZeroSeconds > 0:
		return fmt.Sprintf("%s %.1f s %.1f%%", m.Outcome, m.FaultToZeroSeconds, 100*m.ReceivedShare)
	case m.Bad:
		return fmt.Sprintf("%s %.1f%%", m.Outcome, 100*m.ReceivedShare)
	}
	return fmt.Sprintf("%s %.1f s", m.Outcome, m.Seconds)
}

func timesToZeroShare(r *Result) string {
	var all []float64
	for _, m := range r.Moves {
		if m.Bad && m.FaultToZeroSeconds > 0 {
			all = append(all, m.FaultToZeroSeconds)
		}
	}
	if len(all) == 0 {
		return "never"
	}
	slices.Sort(all)
	return fmt.Sprintf("%.1f/%.1f", all[len(all)/2], all[len(all)-1])
}

func meanBadShare(r *Result) string {
	sum, n := 0.0, 0
	for _, m := range r.Moves {
		if m.Bad {
			sum, n = sum+m.ReceivedShare, n+1
		}
	}
	return fmt.Sprintf("%.1f%%", 100*sum/float64(max(n, 1)))
}

// moveDeclaration returns a declaration with one service for each move.
func moveDeclaration(all []moveCase) (decl.Declaration, error) {
	var services, capacity []string
	for _, c := range all {
		services = append(services, fmt.Sprintf(`{"name": %q, "kind": "model", "versions": [%q, %q], "version": %q, "machineClass": "m", "slots": %d}`,
			c.name, version, nextVersion, version, engineSlots))
		capacity = append(capacity, fmt.Sprintf(`{"service": %q, "min": 2, "max": 9}`, c.name))
	}
	return parseDeclaration(services, capacity, `"moves": {"firstShare": 0.1, "soakSeconds": 2, "falseAlarm": 0.01},`)
}

// parseDeclaration adds data centres, machine classes, organisations and a preset to
// the services and capacities, and parses the resulting declaration.
func parseDeclaration(services, capacity []string, moreFields string) (decl.Declaration, error) {
	var dcs, orgs []string
	for _, dc := range dataCentres {
		dcs = append(dcs, fmt.Sprintf(`{"name": %q}`, dc))
	}
	for _, o := range organisations {
		orgs = append(orgs, fmt.Sprintf(`{"name": %q, "keys": [%q], "weight": %g}`, o.name, decl.HashKey(callerKey(o.name)), o.weight))
	}
	d, err := decl.Parse("bench", fmt.Appendf(nil, `{"dataCentres": [%s],
		"machineClasses": [{"name": "m", "accelerators": 1, "onDemandPrice": 4, "reclaimablePrice": 1.5}, {"name": "s", "onDemandPrice": 0.4, "reclaimablePrice": 0.2}],
		"services": [%s], "organisations": [%s], %s
		"presets": [{"name": "ordinary", "longShare": 0.8, "capacity": [%s]}]}`,
		strings.Join(dcs, ","), strings.Join(services, ","), strings.Join(orgs, ","), moreFields, strings.Join(capacity, ",")))
	return d, Error.Wrap(err)
}
