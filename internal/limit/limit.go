// Package limit holds the organisations' shares of capacity over all entry
// instances together, and the budget for retries. Each instance admits from
// leased grants without asking anyone, and the leader renews the grants from the
// demand that the instances report.
package limit

import (
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"cranberrypath.example/cranberrypath/internal/world"
)

const (
	// Lease is how long grants hold. After it, each organisation falls back to
	// its share divided by the number of entry instances.
	Lease = 3 * time.Second
	// window is the time constant of the rates of ends and refusals. It is longer
	// than a round of reports, so that no refusal is forgotten before it is reported.
	window = 3 * time.Second
	// minRetryAfter keeps callers from coming back within one round trip, and
	// maxRetryAfter from staying away long after capacity has returned.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// overdraftShare is the part of a node's grants that organisations below
	// their share may use beyond their grant, at least overdraftLeast units. It
	// admits their peaks within a round during a flood by another organisation.
	// With one unit instead of two, an organisation at half its share had a fifth
	// of its requests refused in TestFloodOverManyNodes.
	overdraftShare = 0.05
	overdraftLeast = 2

	// negligible ends the decay of a sum, in units.
	negligible = 0.05

	retryBuckets = 10   // seconds over which retries are counted
	retryShare   = 0.10 // of requests
	retryLeast   = 3
)

// The reasons of refusals, for callers and metrics.
const (
	ReasonShare   = "organisation is over its share of the capacity"
	ReasonReviews = "reviews have reached their part of the organisation's share"
)

// Cost is what a request occupies while it runs, in units of slots.
type Cost struct {
	Class world.Class
	Units float64 // 1 if 0
}

func (c Cost) units() float64 {
	if c.Units <= 0 {
		return 1
	}
	return c.Units
}

// Decision is the answer to one request: admitted, or refused without having run.
type Decision struct {
	Admit      bool
	RetryAfter time.Duration // expected time until the request would be admitted
	Reason     string
}

// Config is what the declaration and the cell say. Values are immutable.
type Config struct {
	Node     string
	Nodes    int                // entry instances that share the capacity
	Capacity float64            // units of all backend servers together
	Weights  map[string]float64 // by organisation; 1 if missing
	// LongShare bounds the part of an organisation's share that reviews take,
	// 0 to 1; 0 sets no bound.
	LongShare float64
}

// Limits admits requests at one entry instance. Its methods may be called concurrently.
type Limits struct {
	mu      sync.Mutex
	cfg     Config
	weights float64 // sum
	orgs    map[string]*org
	pool    float64 // spare capacity granted to this node
	until   time.Time

	budget *Budget
}

type org struct {
	grant   float64
	inUse   float64
	reviews float64 // part of inUse
	ended   rate    // units
	refused rate    // units
	peak    rate    // highest use, decaying; a grant for the mean would refuse half the peaks
}

// rate is an exponentially decaying sum.
type rate struct {
	sum float64
	at  time.Time
}

func (r *rate) now(now time.Time) float64 {
	if d := now.Sub(r.at); d > 0 {
		r.sum *= math.Exp(-float64(d) / float64(window))
		r.at = now
	}
	return r.sum
}

func (r *rate) add(v float64, now time.Time) { r.now(now); r.sum += v }

// New returns limits without grants: each organisation has its share divided by
// the number of nodes until the first grants arrive.
func New(cfg Config) *Limits {
	l := &Limits{
		orgs:   map[string]*org{},
		budget: NewBudget(BudgetConfig{Window: retryBuckets * time.Second, Share: retryShare, Least: retryLeast}),
	}
	l.Configure(cfg)
	return l
}

// Configure replaces the configuration. Running requests and grants are kept.
func (l *Limits) Configure(cfg Config) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cfg, l.weights = cfg, 0
	for name, w := range cfg.Weights {
		l.weights += max(w, 0)
		l.org(name)
	}
}

func (l *Limits) org(name string) *org {
	o := l.orgs[name]
	if o == nil {
		o = &org{}
		l.orgs[name] = o
	}
	return o
}

func (l *Limits) weight(name string) float64 {
	if w := l.cfg.Weights[name]; w > 0 {
		return w
	}
	return 1
}

// share is the organisation's part of the capacity at this node without grants.
func (l *Limits) share(name string) float64 {
	return l.cfg.Capacity * l.weight(name) / max(l.weights, l.weight(name)) / float64(max(l.cfg.Nodes, 1))
}

// guarantee is what the organisation may use now, apart from the pool.
func (l *Limits) guarantee(name string, o *org, now time.Time) float64 {
	if now.Before(l.until) {
		return o.grant
	}
	// A share below one unit would refuse every request.
	return max(l.share(name), 1)
}

// Admit decides about one request at once; it never waits. Each admitted request
// must be given back with Done.
func (l *Limits) Admit(name string, class world.Class, cost Cost, now time.Time) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.Request(now)
	o, units := l.org(name), cost.units()
	have := l.guarantee(name, o, now)
	excess := max(o.inUse+units-have, 0)
	over := excess > 0 && !l.fromPool(o, have, excess, now) && !l.overdraft(name, o, units, excess, now)
	if over {
		return l.refuse(o, excess, units, ReasonShare, now)
	}
	if room := l.reviewRoom(have, now); class == world.Review && o.reviews > 0 && o.reviews+units > room {
		return l.refuse(o, o.reviews+units-room, units, ReasonReviews, now)
	}
	o.inUse += units
	if o.inUse > o.peak.now(now) {
		o.peak.sum = o.inUse
	}
	if class == world.Review {
		o.reviews += units
	}
	return Decision{Admit: true}
}

// reviewRoom is what the reviews of an organisation may use. One review may
// always run, as the bound may be below one unit at a node.
func (l *Limits) reviewRoom(have float64, now time.Time) float64 {
	if l.cfg.LongShare <= 0 || l.cfg.LongShare >= 1 {
		return math.Inf(1)
	}
	if now.Before(l.until) {
		have += l.pool
	}
	return l.cfg.LongShare * have
}

// fromPool reports whether the node's spare capacity covers an excess over have.
func (l *Limits) fromPool(o *org, have, excess float64, now time.Time) bool {
	if !now.Before(l.until) {
		return false
	}
	used := excess
	for name, x := range l.orgs {
		if x != o {
			used += max(x.inUse-l.guarantee(name, x, now), 0)
		}
	}
	return used <= l.pool
}

// overdraft reports whether an organisation below its share may start a request
// beyond its grant. Organisations above their share do not count, so a flood
// cannot use it up.
func (l *Limits) overdraft(name string, o *org, units, excess float64, now time.Time) bool {
	if !now.Before(l.until) {
		return false
	}
	if o.inUse > 0 && o.inUse+units > l.share(name) {
		return false
	}
	used, granted := excess, l.pool
	for n, x := range l.orgs {
		granted += x.grant
		if x != o && x.inUse <= max(l.share(n), 1) {
			used += max(x.inUse-x.grant, 0)
		}
	}
	return used <= max(overdraftShare*granted, overdraftLeast)
}

// refuse computes the time until enough of the organisation's running work has
// ended for this request and those refused before it.
func (l *Limits) refuse(o *org, excess, units float64, reason string, now time.Time) Decision {
	wait := maxRetryAfter
	if perSecond := o.ended.now(now) / window.Seconds(); perSecond > 0 {
		seconds := (excess + o.refused.now(now)) / perSecond
		wait = time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
	} else if o.inUse == 0 {
		// Nothing of it runs, so only the next round of grants can help.
		wait = time.Second
	}
	o.refused.add(units, now)
	return Decision{RetryAfter: max(wait, minRetryAfter), Reason: reason}
}

// Done gives back what an admitted request occupied.
func (l *Limits) Done(name string, cost Cost, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o, units := l.org(name), cost.units()
	o.inUse = max(o.inUse-units, 0)
	if cost.Class == world.Review {
		o.reviews = max(o.reviews-units, 0)
	}
	o.ended.add(units, now)
}

// Demand returns this node's report for the leader. The wanted units are those
// in use and those that the refused requests would use: by Little's law their
// rate times the mean duration of a request.
func (l *Limits) Demand(now time.Time) []Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Demand, 0, len(l.orgs))
	for name, o := range l.orgs {
		duration := 1.0
		if ended := o.ended.now(now) / window.Seconds(); ended > 0 && o.inUse > 0 {
			duration = max(o.inUse/ended, 1)
		}
		refused := o.refused.now(now) / window.Seconds() * duration
		if o.refused.sum < negligible {
			refused = 0
		}
		if o.peak.sum < negligible {
			o.peak.sum = 0
		}
		out = append(out, Demand{Node: l.cfg.Node, Org: name, Weight: l.weight(name), Want: max(o.inUse, o.peak.now(now)) + refused, InUse: o.inUse})
	}
	slices.SortFunc(out, func(a, b Demand) int { return strings.Compare(a.Org, b.Org) })
	return out
}

// Grant applies the leader's grants for this node and leases them until Lease
// after now, which is the time at which the node sent the report that they
// answer. Organisations that are not listed have no grant. An answer to an older
// report than the last is ignored.
func (l *Limits) Grant(grants []Grant, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	until := now.Add(Lease)
	if until.Before(l.until) {
		return
	}
	l.until, l.pool = until, 0
	for _, o := range l.orgs {
		o.grant = 0
	}
	for _, g := range grants {
		switch {
		case g.Node != l.cfg.Node:
		case g.Org == "":
			l.pool = max(g.Amount, 0)
		default:
			l.org(g.Org).grant = max(g.Amount, 0)
		}
	}
}

// Retry spends from the retry budget and reports whether a request may be tried
// again: retries are at most 10% of the requests of the last 10 s, or 3 if that is less.
func (l *Limits) Retry(now time.Time) bool { return l.budget.Retry(now) }
