// Package judge compares a new version with the old one over the same windows
// of time, routes and load, so that traffic leaves a bad version early and a
// good one is not taken back because of conditions that hit both versions.
//
// # Bound on false alarms
//
// For each route, load level and metric, each window is a table of two versions
// by marked and unmarked requests (failed, crashed, slower than a threshold that
// was fixed before the window). If the new version is no worse, the marks are
// spread over the versions as in Fisher's noncentral hypergeometric distribution
// with an odds ratio of at most the tolerance. The likelihood ratio of a larger odds ratio then
// has an expectation of at most 1 whatever the base rate, so the products over
// windows form a test supermartingale (Wald 1945; Ville 1939; "safe tests",
// Grünwald, de Heide and Koolen 2024). A mixture over odds ratios, over start times of the fault
// (Shiryaev-Roberts), over metrics and over routes, with weights that sum to at
// most 1, is again a supermartingale. By Ville's inequality it ever reaches 1/a
// with probability at most a, at whatever times it is looked at. The mixture takes the place of a union bound and
// is never weaker.
//
// Windows without traffic of the old version (the soak) are compared with an
// upper confidence bound on the old version's rate earlier in the move; half of
// the declared probability pays for those bounds. Evidence is lost when the
// leader changes; the n-th judge of a move uses the share 1/(n(n+1)) of the
// probability, and these shares sum to 1.
//
// The bound assumes that requests of one window, route and load level are
// exchangeable when the versions are equal. Requests lost in one crash therefore count
// as one crash.
package judge

import (
	"fmt"
	"math"
	"time"

	"github.com/zeebo/errs"

	"cranberrypath.example/cranberrypath/internal/world"
)

// Error is the class of this package's errors.
var Error = errs.Class("judge")

// window is the shortest time that is compared at once.
const window = time.Second

// metric is one way in which a version can be worse.
type metric struct {
	name   string
	weight float64    // share of the false-alarm probability
	null   float64    // odds ratio that is tolerated
	alts   [2]float64 // odds ratios that are looked for
	kind   int
	q      float64 // quantile of the old version that separates slow from fast
}

const (
	crashes = iota
	failures
	first
	between
)

// Times get a tolerance of 1.5 in odds because a new server's prefix cache is
// cold. Crashes get none, and the largest odds ratios, because no cause outside
// the version is known once reclaims and poison are left out.
var metrics = []metric{
	{"crashes", 0.25, 1, [2]float64{8, 64}, crashes, 0},
	{"failures", 0.35, 1.2, [2]float64{4, 30}, failures, 0},
	{"first token, median", 0.1, 1.5, [2]float64{4, 12}, first, 0.5},
	{"first token, 90th percentile", 0.1, 1.5, [2]float64{4, 20}, first, 0.9},
	{"between tokens, median", 0.1, 1.5, [2]float64{4, 12}, between, 0.5},
	{"between tokens, 90th percentile", 0.1, 1.5, [2]float64{4, 20}, between, 0.9},
}

// State of a verdict.
type State uint8

// The states of a verdict. The zero value asks for more evidence.
const (
	Unsure State = iota
	Good
	Bad
)

// String returns the name used in logs.
func (s State) String() string {
	switch s {
	case Good:
		return "good"
	case Bad:
		return "bad"
	default:
		return "unsure"
	}
}

// Verdict is the judgement of one move.
type Verdict struct {
	State  State
	Reason string // why the version is bad or what is missing
	Route  string // where it is bad or where evidence is missing
	// Missing is how many more requests of the new version the route needs at
	// least before the verdict can be Good.
	Missing int
	// Rate is the new version's requests a second on that route since the last
	// change of share.
	Rate float64
}

// Bounds for Good: with 95% confidence at every time of asking, the new version
// fails at most 10 points more often than the old one and at most 40% of its
// requests are slower than the old version's 90th percentile. It takes 70 requests without a failure.
const (
	goodError    = 0.05
	goodFailures = 0.10
	goodSlow     = 0.40
	goodRequests = 70
	// rareRoute is the share of requests below which a route is not waited for.
	rareRoute = 0.03
)

type counts struct {
	Counts
	crashes int
}

type cellKey struct {
	route string
	level uint8
	isNew bool
}

type stratum struct {
	reference counts // of the old version over the whole move
	evidence  [][2]float64
}

type route struct {
	weight float64
	levels [levels]stratum
	step   stepCounts
	total  uint64
}

// stepCounts are the results of the new version since the last change of share.
type stepCounts struct {
	n, failed, timed, slow int
}

// Judge gathers the evidence about one move. It is not safe for concurrent use.
type Judge struct {
	move    world.Move
	alpha   float64
	horizon float64 // windows over which the start of a fault is spread

	pending  map[cellKey]*counts
	seen     map[string][2]uint64
	crashed  map[string]time.Time
	routes   map[string]*route
	order    []string
	folded   time.Time
	stepFrom time.Time
	windows  float64
	bad      *Verdict
}

// New returns a judge without evidence. falseAlarm is decl.MovePolicy.FalseAlarm;
// restarts is how many judges of this move there were before this one.
func New(m world.Move, falseAlarm float64, restarts int, now time.Time) *Judge {
	n := float64(restarts + 1)
	length := m.Deadline.Sub(m.Started)
	return &Judge{
		move: m, alpha: falseAlarm / 2 / (n * (n + 1)), horizon: max(length.Seconds(), 60),
		pending: map[cellKey]*counts{}, seen: map[string][2]uint64{}, crashed: map[string]time.Time{},
		routes: map[string]*route{}, folded: now, stepFrom: now,
	}
}

// Follow takes the recorded state of the move. Evidence for Good starts again
// after each change of share; evidence for Bad is kept.
func (j *Judge) Follow(m world.Move, now time.Time) {
	if m.Share != j.move.Share || !m.ShareAt.Equal(j.move.ShareAt) {
		j.fold(now)
		for _, r := range j.routes {
			r.step = stepCounts{}
		}
		j.stepFrom = now
	}
	j.move = m
}

// Add takes a report of an entry instance. A repeated report changes nothing.
func (j *Judge) Add(r Report, now time.Time) {
	last := j.seen[r.Node]
	if r.Incarnation < last[0] || r.Incarnation == last[0] && r.Sequence <= last[1] {
		return
	}
	j.seen[r.Node] = [2]uint64{r.Incarnation, r.Sequence}
	for cell, c := range r.Cells {
		if p := j.pendingOf(cell); p != nil {
			p.Merge(c)
		}
	}
	for _, c := range r.Crashes {
		p := j.pendingOf(c.Cell)
		if at, ok := j.crashed[c.Server]; p == nil || ok && now.Sub(at) < oneCrash {
			continue
		}
		j.crashed[c.Server] = now
		p.crashes++
	}
}

func (j *Judge) pendingOf(c Cell) *counts {
	if c.Service != j.move.Service || c.Version != j.move.From && c.Version != j.move.To {
		return nil
	}
	k := cellKey{c.Route, c.Level, c.Version == j.move.To}
	p := j.pending[k]
	if p == nil {
		p = &counts{}
		j.pending[k] = p
	}
	if _, ok := j.routes[c.Route]; !ok {
		j.order = append(j.order, c.Route)
		// The weights 1/(n(n+1)) sum to 1 however many routes appear.
		n := float64(len(j.order))
		j.routes[c.Route] = &route{weight: 1 / (n * (n + 1))}
	}
	return p
}

// Verdict returns the judgement at now. Bad is final.
func (j *Judge) Verdict(now time.Time) Verdict {
	if now.Sub(j.folded) >= window {
		j.fold(now)
	}
	if j.bad != nil {
		return *j.bad
	}
	return j.good(now)
}

// fold turns the counts since the last fold into evidence.
func (j *Judge) fold(now time.Time) {
	j.folded = now
	j.windows++
	for _, name := range j.order {
		r := j.routes[name]
		for level := range levels {
			older := j.take(cellKey{name, uint8(level), false})
			newer := j.take(cellKey{name, uint8(level), true})
			j.weigh(r, &r.levels[level], older, newer)
		}
	}
	if j.bad == nil {
		j.decide()
	}
	for server, at := range j.crashed {
		if now.Sub(at) >= oneCrash {
			delete(j.crashed, server)
		}
	}
}

func (j *Judge) take(k cellKey) *counts {
	c := j.pending[k]
	if c == nil {
		return &counts{}
	}
	delete(j.pending, k)
	return c
}

// weigh multiplies the evidence of one stratum by the likelihood ratios of a window.
func (j *Judge) weigh(r *route, s *stratum, older, newer *counts) {
	// Half of the weight lies on a fault from the start, the rest is spread
	// evenly over the planned length of the move.
	start := 0.0
	if j.windows <= j.horizon {
		start = 0.5 / j.horizon
	}
	if s.evidence == nil {
		s.evidence = make([][2]float64, len(metrics))
		for i := range s.evidence {
			s.evidence[i] = [2]float64{0.5, 0.5}
		}
	}
	r.total += older.Requests + newer.Requests
	for i, m := range metrics {
		k0, n0 := older.marks(m, s)
		k1, n1 := newer.marks(m, s)
		for a, alt := range m.alts {
			e := s.evidence[i][a] + start
			s.evidence[i][a] = min(e*j.ratio(r, s, m, alt, k0, n0, k1, n1), math.MaxFloat64/1e10)
		}
	}
	r.step.add(s, newer)
	s.reference.Merge(&older.Counts)
	s.reference.crashes += older.crashes
}

// marks returns the marked and all requests of a metric. The threshold between
// slow and fast depends on earlier windows only.
func (c *counts) marks(m metric, s *stratum) (k, n int) {
	switch m.kind {
	case crashes:
		return c.crashes, int(c.Requests) + c.crashes
	case failures:
		return int(c.Errors) + c.crashes, int(c.Requests) + c.crashes
	case first:
		return slow(&c.First, &s.reference.First, m.q)
	default:
		return slow(&c.Between, &s.reference.Between, m.q)
	}
}

// slow counts the times above a quantile of the reference; without a reference nothing is counted.
func slow(h, reference *Hist, q float64) (k, n int) {
	b := reference.QuantileBucket(q)
	if b < 0 {
		return 0, 0
	}
	return h.Above(b), h.Total()
}

func (j *Judge) ratio(r *route, s *stratum, m metric, alt float64, k0, n0, k1, n1 int) float64 {
	switch {
	case n1 == 0:
		return 1
	case n0 > 0:
		return oddsRatio(k1, n1, k0+k1, n0+n1, m.null, alt)
	}
	k, n := s.reference.marks(m, s)
	// The threshold was chosen from the same times, so the bound has to hold for all buckets.
	delta := j.alpha * r.weight * m.weight / levels / buckets
	return rateRatio(k1, n1, raiseOdds(upperRate(k, n, delta), m.null), alt/m.null)
}

// decide sets bad when the weighted sum of the evidence reaches its limit.
func (j *Judge) decide() {
	sum, most := 0.0, 0.0
	var why, where string
	for _, name := range j.order {
		r := j.routes[name]
		for level := range levels {
			for i, e := range r.levels[level].evidence {
				x := r.weight * metrics[i].weight / levels * (e[0] + e[1]) / 2
				sum += x
				if x > most {
					most, why, where = x, metrics[i].name, name
				}
			}
		}
	}
	if sum < 1/j.alpha {
		return
	}
	j.bad = &Verdict{State: Bad, Route: where, Reason: fmt.Sprintf("%s of %s are worse than of %s on route %s", why, j.move.To, j.move.From, where)}
}

func (c *stepCounts) add(s *stratum, newer *counts) {
	c.n += int(newer.Requests) + newer.crashes
	c.failed += int(newer.Errors) + newer.crashes
	for _, m := range metrics {
		if m.kind != first || m.q != 0.9 {
			continue
		}
		k, n := newer.marks(m, s)
		c.slow += k
		c.timed += n
	}
}

// good looks for a route that still lacks evidence.
func (j *Judge) good(now time.Time) Verdict {
	all := uint64(0)
	for _, r := range j.routes {
		all += r.total
	}
	worst := Verdict{State: Unsure, Reason: "no requests yet", Missing: goodRequests}
	first := true
	for _, name := range j.order {
		r := j.routes[name]
		if float64(r.total) < rareRoute*float64(all) || all == 0 {
			continue
		}
		v := j.goodRoute(name, r, now)
		if first || v.Missing > worst.Missing {
			worst, first = v, false
		}
	}
	return worst
}

func (j *Judge) goodRoute(name string, r *route, now time.Time) Verdict {
	v := Verdict{State: Good, Route: name, Rate: float64(r.step.n) / max(now.Sub(j.stepFrom).Seconds(), 1)}
	var old counts
	for level := range levels {
		old.Merge(&r.levels[level].reference.Counts)
		old.crashes += r.levels[level].reference.crashes
	}
	base := 0.0
	if n := int(old.Requests) + old.crashes; n > 0 {
		base = float64(int(old.Errors)+old.crashes) / float64(n)
	}
	switch {
	case r.step.n < goodRequests:
		v.State, v.Missing = Unsure, goodRequests-r.step.n
		v.Reason = fmt.Sprintf("route %s needs %d more requests", name, v.Missing)
	case upperRate(r.step.failed, r.step.n, goodError) > base+goodFailures:
		v.State, v.Missing = Unsure, goodRequests/2
		v.Reason = fmt.Sprintf("%d of %d requests failed on route %s", r.step.failed, r.step.n, name)
	case r.step.timed > 0 && upperRate(r.step.slow, r.step.timed, goodError) > goodSlow:
		v.State, v.Missing = Unsure, goodRequests/2
		v.Reason = fmt.Sprintf("%d of %d first tokens are slow on route %s", r.step.slow, r.step.timed, name)
	}
	return v
}
