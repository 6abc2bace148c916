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
	// moveSeconds of load leave a run with start and end below a minute.
	moveSeconds = 42
	// failRate, slowRate and goodRate are the average numbers of arrivals per
	// second. A good version needs evidence at each of its shares, 70 requests of
	// the new version, within half a minute. At 162 arrivals per second a busy
	// machine of 10 cores starved the heartbeats of the three deployments.
	failRate = 90
	slowRate = 72
	goodRate = 120
	// moveStart is when the moves start, after both versions' routes have traffic.
	moveStart = 2 * time.Second
	// movePart is the part of the load that is the time to the moves' deadline. The
	// rest shows whether a version that was taken back gets any traffic.
	movePart = 0.85
	// latePart is the part of the load after which late faults begin.
	latePart = 0.4
	// endSlack is how long after its deadline a move may state its end: one step of
	// the controller and its record.
	endSlack = 2 * time.Second
	// burstEvery and burstPart describe the bursts, in which arrivals are
	// burstFactor times as frequent, so that faults under load show.
	burstEvery  = 4 * time.Second
	burstPart   = 0.25
	burstFactor = 3
)

// moveCase is one version move of a service of its own.
type moveCase struct {
	name  string // of the service
	fault *stand.VersionFault
	late  bool // the fault begins in the middle of the move
}

// badMoves returns moves to versions with a fault of each kind.
func badMoves(what string, f stand.VersionFault) []moveCase {
	f.Version = nextVersion
	on := func(route string, above int) *stand.VersionFault {
		g := f
		g.Route, g.AboveRunning = route, above
		return &g
	}
	return []moveCase{
		{name: what + "AtOnce", fault: &f},
		{name: what + "Late", fault: &f, late: true},
		{name: what + "UnderLoad", fault: on("", 1)},
		{name: what + "OnOneRoute", fault: on("review", 0)},
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

// moveRequests makes up the requests to the services that are being moved.
func (in *inputs) moveRequests() {
	rng := random(in.cfg.Seed, in.scene.name+"/load")
	usual := in.cfg.Rate / (1 + (burstFactor-1)*burstPart)
	for at := time.Duration(0); ; {
		rate := usual
		if at%burstEvery < part(burstEvery, burstPart) {
			rate *= burstFactor
		}
		if at += seconds(rng.ExpFloat64() / rate); at >= in.load {
			return
		}
		caller := rng.IntN(len(in.callers))
		r := request{
			At: at, Caller: caller, Org: in.callers[caller].org, Service: in.scene.moves[rng.IntN(len(in.scene.moves))].name,
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

// planner returns the constructor of a policy's planner, nil for the system's own.
func planner(policy string) func(decl.MovePolicy) manage.Planner {
	switch policy {
	case allAtOnce:
		return func(decl.MovePolicy) manage.Planner { return naivePlan{[]float64{1}} }
	case fixedSteps:
		return func(decl.MovePolicy) manage.Planner { return naivePlan{[]float64{0.1, 0.25, 0.5, 1}} }
	}
	return nil
}

// naivePlan raises the share of a move at fixed times, at equal intervals until
// the deadline, without regard to verdicts. It waits only for servers of the new
// version that can carry the share, and ends each move as done.
type naivePlan struct{ shares []float64 }

// Next implements manage.Planner.
func (p naivePlan) Next(now time.Time, v moves.View) []moves.Step {
	var out []moves.Step
	for _, m := range v.Moves {
		if m.Outcome != "" {
			continue
		}
		// One interval for each share, and the rest of the time as a reserve.
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
func (p naivePlan) Provision(m world.Move) float64 {
	return p.shares[min(slices.Index(p.shares, m.Share)+1, len(p.shares)-1)]
}

// MoveResult is what came of one version move.
type MoveResult struct {
	Service string `json:"service"`
	Bad     bool   `json:"bad"`
	Outcome string `json:"outcome"` // "done", "takenBack" or empty if it did not end
	Reason  string `json:"reason"`
	// Seconds is the time from the start to the end of the move.
	Seconds float64 `json:"seconds"`
	// Judged is set if the move ended before its deadline, InTime if it ended by it.
	Judged bool `json:"judged"`
	InTime bool `json:"inTime"`
	// ZeroSeconds is the time from the first request that could meet the fault to
	// zero share; 0 for moves that were not taken back.
	ZeroSeconds float64 `json:"zeroSeconds,omitempty"`
	// Received is the share of the service's attempts that the bad version got
	// from its fault to the end of the load.
	Received   float64 `json:"received"`
	Statements int     `json:"statements"`
	// Steps are the changes of share and what the move waited for, each with
	// the seconds since its start.
	Steps []string `json:"steps"`
}

// right reports whether a good version was moved in time or a bad one taken back.
func (m MoveResult) right() bool {
	if m.Bad {
		return m.Outcome == string(world.TakenBack)
	}
	return m.Outcome == string(world.Done) && m.InTime
}

// readMoves compares the ends of the moves with what was to happen.
func (rt *rented) readMoves(r *Result) {
	for i, c := range rt.p.in.scene.moves {
		m := rt.move(i)
		if m.ID == "" {
			r.Moves = append(r.Moves, MoveResult{Service: c.name, Bad: c.fault != nil})
			continue
		}
		out := MoveResult{
			Service: c.name, Bad: c.fault != nil, Outcome: m.Outcome, Reason: m.Reason,
			Statements: len(rt.p.site.Timeline(event.Filter{Move: m.ID, Kind: "move.ended"})), Steps: rt.steps(m),
		}
		if m.Outcome != "" {
			out.Seconds = round(m.Ended.Sub(m.Started).Seconds(), 100)
			out.Judged = m.Ended.Before(m.Deadline)
			out.InTime = !m.Ended.After(m.Deadline.Add(endSlack))
		}
		if out.Bad {
			since := rt.faultSince(c)
			out.Received = rt.received(c.name, since)
			if m.Outcome == string(world.TakenBack) && !since.IsZero() {
				out.ZeroSeconds = round(m.Ended.Sub(since).Seconds(), 100)
			}
		}
		r.Moves = append(r.Moves, out)
		if rt.p.interrupted() {
			continue
		}
		if out.Statements != 1 || !out.InTime {
			r.breach(promiseEnd, fmt.Sprintf("%s: outcome %q, %d statements, ended by the deadline: %v", c.name, out.Outcome, out.Statements, out.InTime))
		}
	}
}

// steps returns the changes of a move's share and its waits from the time line.
func (rt *rented) steps(m oprcli.Move) []string {
	var out []string
	for _, e := range rt.p.site.Timeline(event.Filter{Move: m.ID}) {
		if e.Kind == "move.share" || e.Kind == "move.waits" {
			out = append(out, fmt.Sprintf("%.1f s %s %s %s", e.Time.Sub(m.Started).Seconds(), e.Kind, e.Detail["share"], e.Detail["reason"]))
		}
	}
	return out
}

// faultSince returns when the fault of a move began: when it was set, and for
// faults of the whole move when its version got its first request.
func (rt *rented) faultSince(c moveCase) time.Time {
	if c.late {
		return rt.p.began.Add(part(rt.p.in.load, latePart))
	}
	var first time.Time
	for _, e := range rt.p.servers() {
		for _, run := range e.Runs() {
			if rt.serves(e.ID(), c.name) && run.Version == nextVersion && (first.IsZero() || run.Started.Before(first)) {
				first = run.Started
			}
		}
	}
	return first
}

// received returns the share of a service's attempts since a time that ran on
// the new version.
func (rt *rented) received(service string, since time.Time) float64 {
	on, all := 0, 0
	for _, e := range rt.p.servers() {
		if !rt.serves(e.ID(), service) {
			continue
		}
		for _, run := range e.Runs() {
			if run.Started.Before(since) {
				continue
			}
			all++
			if run.Version == nextVersion {
				on++
			}
		}
	}
	if all == 0 {
		return 0
	}
	return math.Round(float64(on)/float64(all)*10_000) / 10_000
}

// moveRows are the lines of the table about version moves.
func (r Report) moveRows() []row {
	if len(r.Results) == 0 || len(r.Results[0].Moves) == 0 {
		return nil
	}
	var out []row
	is := func(bad bool) func(MoveResult) bool { return func(m MoveResult) bool { return m.Bad == bad } }
	add := func(name string, of, hit func(MoveResult) bool) {
		if slices.ContainsFunc(r.Results[0].Moves, of) {
			out = append(out, row{name, func(r *Result) string { return fmt.Sprintf("%d of %d", r.movesWith(of, hit), r.movesWith(of, of)) }})
		}
	}
	add("good moves done in time", is(false), MoveResult.right)
	add("bad moves taken back", is(true), MoveResult.right)
	add("  before the deadline", is(true), func(m MoveResult) bool { return m.right() && m.Judged })
	if slices.ContainsFunc(r.Results[0].Moves, is(true)) {
		out = append(out,
			row{"fault to zero share, median/longest s", zeroTimes},
			row{"traffic to bad versions after their faults", meanReceived})
	}
	if slices.ContainsFunc(r.Results, func(r *Result) bool { return r.Mixed > 0 }) {
		out = append(out, row{"answers continued on the old version", count(func(r *Result) int { return r.Mixed })})
	}
	one := func(m MoveResult) bool { return m.Statements == 1 }
	add("moves with one statement", func(MoveResult) bool { return true }, one)
	for i, m := range r.Results[0].Moves {
		out = append(out, row{"  " + m.Service, func(r *Result) string { return r.moveAt(i) }})
	}
	return out
}

// movesWith counts the moves that meet both conditions.
func (r *Result) movesWith(of, hit func(MoveResult) bool) int {
	n := 0
	for _, m := range r.Moves {
		if of(m) && hit(m) {
			n++
		}
	}
	return n
}

func (r *Result) moveAt(i int) string {
	if i >= len(r.Moves) {
		return "-"
	}
	m := r.Moves[i]
	switch {
	case m.Outcome == "":
		return "not ended"
	case m.Bad && m.ZeroSeconds > 0:
		return fmt.Sprintf("%s %.1f s %.1f%%", m.Outcome, m.ZeroSeconds, 100*m.Received)
	case m.Bad:
		return fmt.Sprintf("%s %.1f%%", m.Outcome, 100*m.Received)
	}
	return fmt.Sprintf("%s %.1f s", m.Outcome, m.Seconds)
}

func zeroTimes(r *Result) string {
	var all []float64
	for _, m := range r.Moves {
		if m.Bad && m.ZeroSeconds > 0 {
			all = append(all, m.ZeroSeconds)
		}
	}
	if len(all) == 0 {
		return "never"
	}
	slices.Sort(all)
	return fmt.Sprintf("%.1f/%.1f", all[len(all)/2], all[len(all)-1])
}

func meanReceived(r *Result) string {
	sum, n := 0.0, 0
	for _, m := range r.Moves {
		if m.Bad {
			sum, n = sum+m.Received, n+1
		}
	}
	return fmt.Sprintf("%.1f%%", 100*sum/float64(max(n, 1)))
}

// moveDeclaration declares one service for each move.
func moveDeclaration(all []moveCase) (decl.Declaration, error) {
	var services, capacity []string
	for _, c := range all {
		services = append(services, fmt.Sprintf(`{"name": %q, "kind": "model", "versions": [%q, %q], "version": %q, "machineClass": "m", "slots": %d}`,
			c.name, version, nextVersion, version, engineSlots))
		capacity = append(capacity, fmt.Sprintf(`{"service": %q, "min": 2, "max": 9}`, c.name))
	}
	return parseDeclaration(services, capacity, `"moves": {"firstShare": 0.1, "soakSeconds": 2, "falseAlarm": 0.01},`)
}

// parseDeclaration completes a declaration with the places and organisations.
func parseDeclaration(services, capacity []string, more string) (decl.Declaration, error) {
	var dcs, orgs []string
	for _, dc := range dataCentres {
		dcs = append(dcs, fmt.Sprintf(`{"name": %q}`, dc))
	}
	for _, o := range organisations {
		orgs = append(orgs, fmt.Sprintf(`{"name": %q, "keys": [%q], "weight": %g}`, o.name, decl.HashKey(keyOf(o.name)), o.weight))
	}
	d, err := decl.Parse("bench", fmt.Appendf(nil, `{"dataCentres": [%s],
		"machineClasses": [{"name": "m", "accelerators": 1, "onDemandPrice": 4, "reclaimablePrice": 1.5}, {"name": "s", "onDemandPrice": 0.4, "reclaimablePrice": 0.2}],
		"services": [%s], "organisations": [%s], %s
		"presets": [{"name": "ordinary", "longShare": 0.8, "capacity": [%s]}]}`,
		strings.Join(dcs, ","), strings.Join(services, ","), strings.Join(orgs, ","), more, strings.Join(capacity, ",")))
	return d, Error.Wrap(err)
}
