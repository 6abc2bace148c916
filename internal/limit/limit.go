// Package limit enforces the organisations' shares of capacity across all entry
// instances, and the budget for retries. Each instance admits requests against leased
// grants without coordination, and the leader renews the grants from the demand that
// the instances report.
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
	// GrantLease is how long grants are valid. After that, each organisation falls back to
	// its share divided by the number of entry instances.
	GrantLease = 3 * time.Second
	// sumDecay is the time constant of decayingSum. It exceeds the report interval,
	// so that refusals are reported before they decay.
	sumDecay = 3 * time.Second
	// minRetryAfter prevents retries within one round trip. maxRetryAfter lets callers
	// return soon after capacity is available again.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// overdraftShare is the part of an entry instance's grants that organisations below
	// their share may use beyond their grants, at least minOverdraft units. The
	// overdraft admits their peaks between two rounds of grants while another
	// organisation floods. With one unit instead of two, an organisation at half its
	// share had a fifth of its requests refused in TestFloodOverManyNodes.
	overdraftShare = 0.05
	minOverdraft   = 2

	// negligibleUnits is the value below which a decayed sum counts as 0.
	negligibleUnits = 0.05

	retryWindowSeconds = 10
	retryRatio         = 0.10 // of requests
	minRetries         = 3
)

// Reasons for refusals, for callers and metrics.
const (
	ReasonShare   = "organisation is over its share of the capacity"
	ReasonReviews = "reviews have reached their part of the organisation's share"
)

// Cost is the capacity that a request occupies while it runs, in slots.
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

// Decision is the result of admission control for one request.
type Decision struct {
	Admit      bool
	RetryAfter time.Duration // expected time until the request would be admitted
	Reason     string
}

// Config comes from the declaration and the cell. It must not be changed after use.
type Config struct {
	Instance  string
	Instances int                // number of entry instances that share the capacity
	Capacity  float64            // total units of all backend servers
	Weights   map[string]float64 // by organisation; 1 if missing
	// LongShare bounds the part of an organisation's share that reviews may use, from 0
	// to 1; 0 means no bound.
	LongShare float64
}

// Limits is the admission control of one entry instance. It is safe for concurrent use.
type Limits struct {
	mu        sync.Mutex
	cfg       Config
	weightSum float64 // sum of cfg.Weights
	orgs      map[string]*orgState
	spare     float64 // spare capacity granted to this instance
	leaseEnd  time.Time

	budget *Budget
}

type orgState struct {
	grant        float64
	inUse        float64
	reviewsInUse float64     // part of inUse
	endedUnits   decayingSum // units
	refusedUnits decayingSum // units
	peakInUse    decayingSum // decaying maximum of inUse; a grant for the mean would refuse half the peaks
}

// decayingSum is a sum that decays exponentially with the time constant sumDecay.
type decayingSum struct {
	sum float64
	at  time.Time
}

func (r *decayingSum) value(now time.Time) float64 {
	if d := now.Sub(r.at); d > 0 {
		r.sum *= math.Exp(-float64(d) / float64(sumDecay))
		r.at = now
	}
	return r.sum
}

func (r *decayingSum) add(v float64, now time.Time) { r.value(now); r.sum += v }

// New returns limits without grants. Until the first grants arrive, each organisation
// may use its share divided by the number of entry instances.
func New(cfg Config) *Limits {
	l := &Limits{
		orgs:   map[string]*orgState{},
		budget: NewBudget(BudgetConfig{Window: retryWindowSeconds * time.Second, RetryRatio: retryRatio, MinRetries: minRetries}),
	}
	l.Configure(cfg)
	return l
}

// Configure replaces the configuration and keeps running requests and grants.
func (l *Limits) Configure(cfg Config) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cfg, l.weightSum = cfg, 0
	for name, w := range cfg.Weights {
		l.weightSum += max(w, 0)
		l.org(name)
	}
}

func (l *Limits) org(name string) *orgState {
	o := l.orgs[name]
	if o == nil {
		o = &orgState{}
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

// share is the organisation's part of the capacity at this instance without grants.
func (l *Limits) share(name string) float64 {
	return l.cfg.Capacity * l.weight(name) / max(l.weightSum, l.weight(name)) / float64(max(l.cfg.Instances, 1))
}

// allowance is the number of units that the organisation may use now, besides spare
// capacity and overdraft.
func (l *Limits) allowance(name string, o *orgState, now time.Time) float64 {
	if now.Before(l.leaseEnd) {
		return o.grant
	}
	// A share below one unit would refuse every request.
	return max(l.share(name), 1)
}

// Admit decides on one request without waiting. Done must be called when an admitted
// request ends.
func (l *Limits) Admit(name string, class world.Class, cost Cost, now time.Time) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.Request(now)
	o, units := l.org(name), cost.units()
	allowance := l.allowance(name, o, now)
	excess := max(o.inUse+units-allowance, 0)
	refused := excess > 0 && !l.fitsSpare(o, allowance, excess, now) && !l.fitsOverdraft(name, o, units, excess, now)
	if refused {
		return l.refuse(o, excess, units, ReasonShare, now)
	}
	if limit := l.reviewLimit(allowance, now); class == world.Review && o.reviewsInUse > 0 && o.reviewsInUse+units > limit {
		return l.refuse(o, o.reviewsInUse+units-limit, units, ReasonReviews, now)
	}
	o.inUse += units
	if o.inUse > o.peakInUse.value(now) {
		o.peakInUse.sum = o.inUse
	}
	if class == world.Review {
		o.reviewsInUse += units
	}
	return Decision{Admit: true}
}

// reviewLimit is the number of units that the reviews of an organisation may use.
// Admit always allows one review, as the limit may be below one unit at an instance.
func (l *Limits) reviewLimit(allowance float64, now time.Time) float64 {
	if l.cfg.LongShare <= 0 || l.cfg.LongShare >= 1 {
		return math.Inf(1)
	}
	if now.Before(l.leaseEnd) {
		allowance += l.spare
	}
	return l.cfg.LongShare * allowance
}

// fitsSpare reports whether this instance's spare capacity covers an excess over the
// allowance.
func (l *Limits) fitsSpare(o *orgState, allowance, excess float64, now time.Time) bool {
	if !now.Before(l.leaseEnd) {
		return false
	}
	used := excess
	for name, x := range l.orgs {
		if x != o {
			used += max(x.inUse-l.allowance(name, x, now), 0)
		}
	}
	return used <= l.spare
}

// fitsOverdraft reports whether an organisation below its share may start a request
// beyond its grant. The use of organisations above their share does not count, so a
// flood cannot exhaust the overdraft.
func (l *Limits) fitsOverdraft(name string, o *orgState, units, excess float64, now time.Time) bool {
	if !now.Before(l.leaseEnd) {
		return false
	}
	if o.inUse > 0 && o.inUse+units > l.share(name) {
		return false
	}
	used, granted := excess, l.spare
	for n, x := range l.orgs {
		granted += x.grant
		if x != o && x.inUse <= max(l.share(n), 1) {
			used += max(x.inUse-x.grant, 0)
		}
	}
	return used <= max(overdraftShare*granted, minOverdraft)
}

// refuse records a refusal. RetryAfter is the expected time until enough of the
// organisation's running work has ended for this request and earlier refused ones.
func (l *Limits) refuse(o *orgState, excess, units float64, reason string, now time.Time) Decision {
	wait := maxRetryAfter
	if perSecond := o.endedUnits.value(now) / sumDecay.Seconds(); perSecond > 0 {
		seconds := (excess + o.refusedUnits.value(now)) / perSecond
		wait = time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
	} else if o.inUse == 0 {
		// No request of the organisation runs, so only new grants can admit this one.
		wait = time.Second
	}
	o.refusedUnits.add(units, now)
	return Decision{RetryAfter: max(wait, minRetryAfter), Reason: reason}
}

// Done releases the units of an admitted request.
func (l *Limits) Done(name string, cost Cost, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o, units := l.org(name), cost.units()
	o.inUse = max(o.inUse-units, 0)
	if cost.Class == world.Review {
		o.reviewsInUse = max(o.reviewsInUse-units, 0)
	}
	o.endedUnits.add(units, now)
}

// Demand returns this instance's report for the leader. The wanted units are those in
// use plus those that refused requests would use, which by Little's law is the rate of
// refused units times the mean request duration.
func (l *Limits) Demand(now time.Time) []Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Demand, 0, len(l.orgs))
	for name, o := range l.orgs {
		duration := 1.0
		if ended := o.endedUnits.value(now) / sumDecay.Seconds(); ended > 0 && o.inUse > 0 {
			duration = max(o.inUse/ended, 1)
		}
		refused := o.refusedUnits.value(now) / sumDecay.Seconds() * duration
		if o.refusedUnits.sum < negligibleUnits {
			refused = 0
		}
		if o.peakInUse.sum < negligibleUnits {
			o.peakInUse.sum = 0
		}
		out = append(out, Demand{Instance: l.cfg.Instance, Org: name, Weight: l.weight(name), Want: max(o.inUse, o.peakInUse.value(now)) + refused, InUse: o.inUse})
	}
	slices.SortFunc(out, func(a, b Demand) int { return strings.Compare(a.Org, b.Org) })
	return out
}

// Grant applies the leader's grants for this instance. now is the time at which this
// instance sent the report that the grants answer; the grants expire GrantLease later.
// Organisations that are not listed have no grant. Answers to reports older than the
// last answered one are ignored.
func (l *Limits) Grant(grants []Grant, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	until := now.Add(GrantLease)
	if until.Before(l.leaseEnd) {
		return
	}
	l.leaseEnd, l.spare = until, 0
	for _, o := range l.orgs {
		o.grant = 0
	}
	for _, g := range grants {
		switch {
		case g.Instance != l.cfg.Instance:
		case g.Org == "":
			l.spare = max(g.Amount, 0)
		default:
			l.org(g.Org).grant = max(g.Amount, 0)
		}
	}
}

// Retry reports whether a request may be retried and, if so, spends from the retry
// budget, which is 10% of the requests of the last 10 s, but at least 3.
func (l *Limits) Retry(now time.Time) bool { return l.budget.Retry(now) }
