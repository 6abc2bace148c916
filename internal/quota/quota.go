// Package quota limits the request rate of each organisation across all instances.
// The leader keeps one token bucket per organisation. Each instance spends a part of
// each bucket's level locally and reports what it spent; for a request beyond that
// part it borrows from the leader. Small requests therefore need no round trip, and
// large requests are refused only if the bucket is empty. Without contact to the leader
// the local parts grow with the instance's share of the rate, so that isolated instances
// stay within the limit together.
package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("quota")

// Rule configures the token bucket of one organisation.
type Rule struct {
	Rate  float64 // units a second
	Burst float64 // units
	// InitialLevel is the initial level of a bucket if no instance knows what was spent, for
	// example after a power loss of all instances.
	InitialLevel float64
}

// Tolerance is how far an organisation may exceed its limit in each window before the
// operator considers the limit violated.
type Tolerance struct {
	Window time.Duration
	Share  float64 // of rate x window + burst
	Units  float64 // in addition to Share
}

// usableToleranceShare is the part of a tolerance that organisations may use, as there
// is no reason to refuse requests that the operator accepts. The rest covers partitioned
// instances, which spend their parts without the leader, and reports in flight.
const usableToleranceShare = 0.5

// initialToleranceShare is the part of a tolerance that a bucket of unknown level starts
// with. The sum of this share, half of this share, which instances may spend before they
// learn of each other's use, and usableToleranceShare is below 1.
const initialToleranceShare = 0.25

// WithTolerance returns a rule that admits, in each window, the limit of r plus a part
// of the tolerance.
func (r Rule) WithTolerance(t Tolerance) Rule {
	w := t.Window.Seconds()
	if w <= 0 {
		return r
	}
	extra := t.Share*(r.Rate*w+r.Burst) + t.Units
	r.Rate += usableToleranceShare * extra / w
	r.InitialLevel = initialToleranceShare * extra
	return r
}

const (
	// A small request costs at most smallRequestShare of the burst. Only small requests
	// may take the level below zero, by debtShare of the burst: otherwise, when an
	// organisation exceeds its rate, calls of a few hundred tokens would be refused as
	// often as prompts of many thousands.
	smallRequestShare = 1.0 / 64
	debtShare         = 1.0 / 8
)

// minLevel is the level that must be exceeded to admit a request. The request may cost
// more than the level: if a large request needed its whole cost, small requests would
// never leave enough for it. A request larger than the burst needs a nearly full bucket.
func (r Rule) minLevel(units float64) float64 {
	switch {
	case units <= r.Burst*smallRequestShare:
		return -r.Burst * debtShare
	case units > r.Burst:
		return r.Burst * (1 - smallRequestShare)
	}
	return 0
}

// maxWait bounds the wait times of refused requests; near a rate of 0 they would overflow.
const maxWait = time.Hour

// waitTime returns how long the level takes to rise until the request is admitted.
func (r Rule) waitTime(level, units float64) time.Duration {
	missing := max(r.minLevel(units)-level, 0)
	if missing >= r.Rate*maxWait.Seconds() {
		return maxWait
	}
	return time.Duration(missing / r.Rate * float64(time.Second))
}

// Level is the level of a bucket at a time.
type Level struct {
	Units float64
	At    time.Time
}

// resumeTime is how long a new leader waits for reports of what was spent without a
// leader: several report intervals, relays included.
const resumeTime = 2 * time.Second

type bucket struct {
	rule          Rule
	level         float64
	levelAt       time.Time // of level
	leaderLevel   float64   // level last received from the leader
	leaderLevelAt time.Time
	// allowance is what these buckets may spend without a leader after its last answer, as
	// of allowanceAt.
	allowance   float64
	allowanceAt time.Time
	// credit is what the rate allowed without a leader. Until creditUntil reported spending
	// uses it up; the rest is added to the level then.
	credit      float64
	creditUntil time.Time
}

func (b *bucket) refill(now time.Time, share float64) {
	if b.credit > 0 && !now.Before(b.creditUntil) {
		b.level, b.credit = b.level+b.credit, 0
	}
	if d := now.Sub(b.levelAt).Seconds(); d > 0 {
		b.level = min(b.level+d*b.rule.Rate*share, b.rule.Burst)
		b.levelAt = now
	}
}

// setLeaderLevel records a level received from the leader. share is the share of the level
// that these buckets hold without a leader.
func (b *bucket) setLeaderLevel(level, share float64, now time.Time) {
	b.leaderLevel, b.leaderLevelAt = level, now
	b.allowance, b.allowanceAt = max(level, 0)*share, now
}

// raiseAllowance adds the share of the rate that these buckets have held until now.
func (b *bucket) raiseAllowance(share float64, now time.Time) {
	if d := now.Sub(b.allowanceAt).Seconds(); d > 0 {
		b.allowance += b.rule.Rate * share * d
		b.allowanceAt = now
	}
}

// Ledger holds the leader's buckets, from which all instances spend.
type Ledger struct {
	mu        sync.Mutex
	buckets   map[string]*bucket
	rateShare float64 // fraction of the rates at which the buckets refill
}

// NewLedger returns a ledger without rules.
func NewLedger() *Ledger { return &Ledger{buckets: map[string]*bucket{}, rateShare: 1} }

// Reserve sets aside a share of the rates for instances that may be partitioned from the
// leader and then spend their parts locally.
func (l *Ledger) Reserve(share float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if 1-share == l.rateShare {
		return
	}
	for _, b := range l.buckets {
		b.refill(now, l.rateShare)
	}
	l.rateShare = 1 - share
}

// Configure replaces the rules; new buckets start full.
func (l *Ledger) Configure(rules map[string]Rule, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	configure(l.buckets, rules, now)
}

func configure(buckets map[string]*bucket, rules map[string]Rule, now time.Time) {
	for name := range buckets {
		if _, ok := rules[name]; !ok {
			delete(buckets, name)
		}
	}
	for name, r := range rules {
		b := buckets[name]
		if b == nil {
			b = &bucket{level: r.Burst, levelAt: now}
			buckets[name] = b
		}
		b.rule = r
		b.level = min(b.level, r.Burst)
	}
}

// Spend subtracts what one instance has spent. A bucket may fall below zero, because
// instances spend concurrently without coordination. The debt is kept, so that the
// average stays within the rate.
func (l *Ledger) Spend(name string, units float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[name]; b != nil {
		b.refill(now, l.rateShare)
		credit := min(b.credit, max(units, 0))
		b.credit -= credit
		b.level -= units - credit
	}
}

// Resume continues from the level that the previous leader had at a time. Since then the
// instances have spent what the rate allows, which they have yet to report.
func (l *Ledger) Resume(name string, last Level, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[name]; b != nil {
		b.level, b.levelAt = min(last.Units, b.rule.Burst), now
		b.credit, b.creditUntil = b.rule.Rate*max(now.Sub(last.At), 0).Seconds(), now.Add(resumeTime)
	}
}

// Levels returns the level of every bucket.
func (l *Ledger) Levels(now time.Time) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]float64, len(l.buckets))
	for name, b := range l.buckets {
		b.refill(now, l.rateShare)
		out[name] = b.level
	}
	return out
}

// Borrow spends units if the level admits them. It returns the resulting level, or an
// error if there is no rule for the organisation.
func (l *Ledger) Borrow(name string, units float64, now time.Time) (ok bool, level float64, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[name]
	if b == nil {
		return false, 0, Error.New("no rate for organisation %q", name)
	}
	b.refill(now, l.rateShare)
	if b.level <= b.rule.minLevel(units) {
		return false, b.level, nil
	}
	b.level -= units
	return true, b.level, nil
}

// Lender gives an instance access to the leader's Ledger.
type Lender interface {
	// Borrow spends units if the level of the organisation admits them and returns the
	// resulting level. After an error the units may have been spent.
	Borrow(ctx context.Context, name string, units float64) (ok bool, level float64, err error)
	// BorrowNearby spends units of the part that another instance holds for several
	// instances while the leader cannot be reached. It fails if there is no such instance.
	BorrowNearby(ctx context.Context, name string, units float64) (ok bool, err error)
}

// NearbyHoldTime is how long an instance that lends to others holds the part of one of them
// after its last call. It exceeds most intervals between calls, but an instance that moves
// to another one has no part for that time.
const NearbyHoldTime = 300 * time.Millisecond

const (
	// leaderTimeout is the age of the leader's last answer from which an instance spends
	// nothing locally without asking: two and a half report intervals.
	leaderTimeout = 500 * time.Millisecond
	// borrowTimeout bounds a Borrow call: many round trips within a region, but short
	// compared with the request that waits for the answer.
	borrowTimeout = 150 * time.Millisecond
	// NearbyTimeout bounds a BorrowNearby call: many round trips within a data centre.
	NearbyTimeout = 60 * time.Millisecond
	// aloneWait is the time after which to retry a request that only the missing leader
	// keeps from being admitted: an election and a report.
	aloneWait = 1200 * time.Millisecond
	// localShare is the part of a level that all instances together may spend locally
	// between two reports. The leader may lend the whole level at the same time, so the
	// overshoot is at most this part.
	localShare = 0.5
)

// Buckets is the rate limiter of one instance.
type Buckets struct {
	lender Lender

	mu         sync.Mutex
	buckets    map[string]*bucket
	unreported map[string]float64 // spent, not yet returned by TakeSpent
	inFlight   map[string]float64 // returned by TakeSpent, not yet confirmed
	instances  int
	parts      int       // parts of the rates that these buckets hold without a leader, of one for each instance
	leaderSeen time.Time // time of the leader's last answer to a report
	// alone means that a Borrow call has failed since then: this instance decides without
	// the leader. A late report alone does not show that the leader cannot be reached.
	alone bool
	// requiredFraction is the fraction of a request's cost that must fit into the local
	// part of the level without the leader. It is drawn from [0, 1) at each answer of
	// the leader, so that enough instances admit requests larger than their parts.
	requiredFraction float64
}

// NewBuckets returns buckets without rules. With a nil Lender all decisions are local.
func NewBuckets(l Lender) *Buckets {
	return &Buckets{lender: l, buckets: map[string]*bucket{}, unreported: map[string]float64{}, inFlight: map[string]float64{}, instances: 1, parts: 1}
}

// Configure replaces the rules.
func (q *Buckets) Configure(rules map[string]Rule, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	configure(q.buckets, rules, now)
}

// SetParts sets of how many instances these buckets hold the parts of the rates without a
// leader: one by default, more at an instance that lends to others.
func (q *Buckets) SetParts(n int, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if n == q.parts {
		return
	}
	for _, b := range q.buckets {
		b.refill(now, q.share())
		if !b.allowanceAt.IsZero() {
			b.raiseAllowance(q.share(), now)
		}
	}
	q.parts = n
}

// share returns the share of the rates that these buckets hold without a leader. The caller
// holds mu.
func (q *Buckets) share() float64 {
	return min(float64(q.parts)/float64(max(q.instances, 1)), 1)
}

// Admit spends units of an organisation, or returns the time after which to retry. If
// the decision is not local, Admit waits up to borrowTimeout for the leader, and without
// one up to NearbyTimeout for an instance that holds a larger part.
func (q *Buckets) Admit(ctx context.Context, name string, units float64, now time.Time) (ok bool, wait time.Duration) {
	ok, wait, decided := q.decideLocally(name, units, now)
	if decided {
		return ok, wait
	}
	if !q.isAlone() {
		borrowCtx, cancel := context.WithTimeout(ctx, borrowTimeout)
		defer cancel()
		ok, level, err := q.lender.Borrow(borrowCtx, name, units)
		if err == nil {
			return ok, q.recordAnswer(name, units, ok, level, now)
		}
	}
	nearbyCtx, cancel := context.WithTimeout(ctx, NearbyTimeout)
	defer cancel()
	ok, err := q.lender.BorrowNearby(nearbyCtx, name, units)
	switch {
	case ctx.Err() != nil:
		return false, 0 // the caller cancelled, so the leader need not be down
	case err == nil && ok:
		q.partIsNearby(now)
		return true, 0
	case err == nil:
		q.partIsNearby(now)
		return false, aloneWait
	}
	return q.fallBack(name, units, now)
}

// partIsNearby records that there is no leader and that another instance holds the parts of
// this one, which it may have spent and holds for NearbyHoldTime more.
func (q *Buckets) partIsNearby(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.alone = true
	for name, b := range q.buckets {
		b.allowance, b.allowanceAt = q.unreported[name]+q.inFlight[name], now.Add(NearbyHoldTime)
	}
}

func (q *Buckets) isAlone() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.alone
}

// decideLocally admits or refuses a request without asking the leader. decided is false
// if the leader must be asked.
func (q *Buckets) decideLocally(name string, units float64, now time.Time) (ok bool, wait time.Duration, decided bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.buckets[name]
	if b == nil || b.rule.Rate <= 0 {
		return true, 0, true
	}
	b.refill(now, q.share())
	if q.lender == nil {
		ok, wait = q.admitWithoutLeader(b, name, units, now)
		return ok, wait, true
	}
	if q.alone {
		return false, 0, false
	}
	unconfirmed := q.unreported[name] + q.inFlight[name]
	if now.Sub(q.leaderSeen) < leaderTimeout && unconfirmed+units <= localShare*max(b.leaderLevel, 0)/float64(max(q.instances, 1)) {
		b.level -= units
		q.unreported[name] += units
		return true, 0, true
	}
	// Since the leader's answer the level has risen by at most the whole rate.
	maxLevel := b.leaderLevel + b.rule.Rate*now.Sub(b.leaderLevelAt).Seconds() - unconfirmed
	if minLevel := b.rule.minLevel(units); maxLevel <= minLevel {
		return false, b.rule.waitTime(maxLevel, units), true
	}
	return false, 0, false
}

// recordAnswer records the leader's answer to Borrow and returns the wait time of a
// refused request.
func (q *Buckets) recordAnswer(name string, units float64, ok bool, level float64, now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.buckets[name]
	if b == nil {
		return 0
	}
	b.setLeaderLevel(level, q.share(), now)
	b.level, b.levelAt = level-q.unreported[name]-q.inFlight[name], now
	if ok {
		return 0
	}
	return b.rule.waitTime(level, units)
}

// fallBack decides locally after a failed Borrow. Further requests do not ask the leader
// until the leader has answered a report.
func (q *Buckets) fallBack(name string, units float64, now time.Time) (bool, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.buckets[name]
	if b == nil {
		return true, 0
	}
	q.alone = true
	return q.admitWithoutLeader(b, name, units, now)
}

// admitWithoutLeader decides without contact to the leader. Each instance may spend an
// equal part of the level, as otherwise all would spend the same units. A request
// larger than the part is admitted on so many instances that the total matches the
// parts on average. The caller holds mu.
func (q *Buckets) admitWithoutLeader(b *bucket, name string, units float64, now time.Time) (bool, time.Duration) {
	if b.level <= b.rule.minLevel(units) {
		return false, b.rule.waitTime(b.level, units)
	}
	if b.allowanceAt.IsZero() {
		b.allowance, b.allowanceAt = b.rule.InitialLevel*q.share(), q.leaderSeen
	}
	b.raiseAllowance(q.share(), now)
	if q.unreported[name]+q.inFlight[name]+units*q.requiredFraction > b.allowance {
		return false, aloneWait
	}
	b.level -= units
	q.unreported[name] += units
	return true, 0
}

// Level returns the current level of an organisation, for logs.
func (q *Buckets) Level(name string, now time.Time) float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.buckets[name]
	if b == nil {
		return 0
	}
	b.refill(now, q.share())
	return b.level
}

// LeaderLevels returns the levels last received from the leader, from which a new leader
// continues. Organisations without such a level are left out.
func (q *Buckets) LeaderLevels() map[string]Level {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := make(map[string]Level, len(q.buckets))
	for name, b := range q.buckets {
		if !b.leaderLevelAt.IsZero() {
			out[name] = Level{b.leaderLevel, b.leaderLevelAt}
		}
	}
	return out
}

// Refund returns the units of a request that did not run.
func (q *Buckets) Refund(name string, units float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if b := q.buckets[name]; b != nil && b.rule.Rate > 0 {
		b.level = min(b.level+units, b.rule.Burst)
		q.unreported[name] -= units
	}
}

// TakeSpent returns the units spent since the previous call, for a report to the leader.
// They count as in flight until Confirm or Restore.
func (q *Buckets) TakeSpent() map[string]float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.inFlight, q.unreported = q.unreported, map[string]float64{}
	return q.inFlight
}

// Restore adds the units in flight to the next report, after a report was lost.
func (q *Buckets) Restore() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for name, units := range q.inFlight {
		q.unreported[name] += units
	}
	q.inFlight = map[string]float64{}
}

// Confirm applies the leader's levels, which include the units that TakeSpent returned, and
// the number of instances that spend from them.
func (q *Buckets) Confirm(levels map[string]float64, instances int, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.inFlight, q.instances, q.leaderSeen, q.alone, q.requiredFraction = map[string]float64{}, instances, now, false, rand.Float64()
	for name, level := range levels {
		if b := q.buckets[name]; b != nil {
			b.level, b.levelAt = level-q.unreported[name], now
			b.setLeaderLevel(level, q.share(), now)
		}
	}
}
