// Package quota holds the request rate of each organisation over all instances
// together. The leader keeps one token bucket per organisation. Every instance
// spends a part of each level without asking anyone and reports what it spent; a
// request beyond that part is put to the leader, which answers for all. Small
// requests therefore cost no round trip, and large ones are refused only if the
// bucket is empty. Without the leader's word the parts grow with the instance's
// share of the rate, so that instances which hear nothing of each other stay within
// the limit together.
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

// Rule is the bucket of one organisation.
type Rule struct {
	Rate  float64 // units a second
	Burst float64 // units
	// Start is the level of a bucket of which no instance knows what was spent: after
	// all of them have lost their power, for example.
	Start float64
}

// Tolerance is how far an organisation may exceed its limit in each window before its
// operator takes the limit for broken.
type Tolerance struct {
	Window time.Duration
	Share  float64 // of rate x window + burst
	Units  float64 // besides
}

// toleranceShare is the part of a tolerance that organisations may use: to refuse what
// the operator accepts helps nobody. The rest is kept for instances that are cut off
// and spend their parts without the leader, and for reports that are under way.
const toleranceShare = 0.5

// startShare is the part of a tolerance that a bucket starts with when nobody knows
// its level. Together with toleranceShare, and with half as much again that instances
// may spend before they hear of each other, it stays below the whole.
const startShare = 0.25

// WithTolerance returns the rule whose rate makes use of a tolerance: in each window
// it admits the limit and a part of the tolerance.
func (r Rule) WithTolerance(t Tolerance) Rule {
	w := t.Window.Seconds()
	if w <= 0 {
		return r
	}
	extra := t.Share*(r.Rate*w+r.Burst) + t.Units
	r.Rate += toleranceShare * extra / w
	r.Start = startShare * extra
	return r
}

const (
	// smallShare is the largest part of a burst that a small request takes, and
	// reserveShare the part of a burst below zero that only small ones may use: when
	// an organisation sends more than its rate, plain calls of a few hundred tokens
	// would else be refused with prompts of many thousand.
	smallShare   = 1.0 / 64
	reserveShare = 1.0 / 8
)

// floor is the level that a request needs more than. It may take the level further
// down: if a large one had to be covered whole, small ones would never leave enough
// for it. One that is larger than the burst needs a full bucket.
func (r Rule) floor(units float64) float64 {
	switch {
	case units <= r.Burst*smallShare:
		return -r.Burst * reserveShare
	case units > r.Burst:
		return r.Burst * (1 - smallShare)
	}
	return 0
}

// wait returns how long a level takes to admit a request.
func (r Rule) wait(level, units float64) time.Duration {
	return time.Duration(max(r.floor(units)-level, 0) / r.Rate * float64(time.Second))
}

type bucket struct {
	rule   Rule
	level  float64
	at     time.Time // of level
	told   float64   // level by the leader's last word
	toldAt time.Time
}

func (b *bucket) advance(now time.Time, share float64) {
	if d := now.Sub(b.at).Seconds(); d > 0 {
		b.level = min(b.level+d*b.rule.Rate*share, b.rule.Burst)
		b.at = now
	}
}

// Ledger is the leader's side: the buckets as all instances spend from them.
type Ledger struct {
	mu      sync.Mutex
	buckets map[string]*bucket
	share   float64 // of the rates that fills the buckets
}

// NewLedger returns a ledger without rules.
func NewLedger() *Ledger { return &Ledger{buckets: map[string]*bucket{}, share: 1} }

// Reserve leaves a share of the rates to instances that may be cut off, which spend
// their parts without asking.
func (l *Ledger) Reserve(share float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if 1-share == l.share {
		return
	}
	for _, b := range l.buckets {
		b.advance(now, l.share)
	}
	l.share = 1 - share
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
			b = &bucket{level: r.Burst, at: now}
			buckets[name] = b
		}
		b.rule = r
		b.level = min(b.level, r.Burst)
	}
}

// Spend subtracts what one instance has spent. A bucket may fall below zero:
// instances that spent at the same time did not know of each other. The debt is
// kept, so that they stay within the rate over time.
func (l *Ledger) Spend(name string, units float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[name]; b != nil {
		b.advance(now, l.share)
		b.level -= units
	}
}

// Levels returns the level of every bucket.
func (l *Ledger) Levels(now time.Time) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]float64, len(l.buckets))
	for name, b := range l.buckets {
		b.advance(now, l.share)
		out[name] = b.level
	}
	return out
}

// Borrow spends units if the level admits them. It returns the level after that, or
// an error if there is no rule for the organisation.
func (l *Ledger) Borrow(name string, units float64, now time.Time) (ok bool, level float64, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[name]
	if b == nil {
		return false, 0, Error.New("no rate for organisation %q", name)
	}
	b.advance(now, l.share)
	if b.level <= b.rule.floor(units) {
		return false, b.level, nil
	}
	b.level -= units
	return true, b.level, nil
}

// Lender is the leader's ledger as an instance reaches it.
type Lender interface {
	// Borrow spends units if the level of the organisation admits them and returns the
	// level after that. After an error they may have been spent.
	Borrow(ctx context.Context, name string, units float64) (ok bool, level float64, err error)
}

const (
	// fresh is how old the leader's word may be until an instance decides alone: two
	// reports and a half.
	fresh = 500 * time.Millisecond
	// askTime bounds a question to the leader: many round trips within a region, and
	// little of the time of a request that waits for the answer.
	askTime = 150 * time.Millisecond
	// freeShare is the part of a level that all instances together may spend without
	// asking between two reports. The leader lends the rest at the same time, so both
	// together exceed the level by this part at most.
	freeShare = 0.5
)

// Buckets is the side of one instance.
type Buckets struct {
	lender Lender

	mu      sync.Mutex
	buckets map[string]*bucket
	spent   map[string]float64 // not yet taken by Take
	flying  map[string]float64 // taken, not yet confirmed
	nodes   int
	heard   time.Time // the leader's last word
	// rounding is drawn at each word of the leader, from 0 to 1: the share of a request
	// that must fit into this instance's part when it decides alone.
	rounding float64
}

// NewBuckets returns buckets without rules. Without a lender they decide alone.
func NewBuckets(l Lender) *Buckets {
	return &Buckets{lender: l, buckets: map[string]*bucket{}, spent: map[string]float64{}, flying: map[string]float64{}, nodes: 1}
}

// Configure replaces the rules.
func (q *Buckets) Configure(rules map[string]Rule, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	configure(q.buckets, rules, now)
}

// Admit spends units of an organisation, or returns how long its level takes to
// recover. It waits for the leader's answer if it must ask, at most for askTime.
func (q *Buckets) Admit(ctx context.Context, name string, units float64, now time.Time) (ok bool, wait time.Duration) {
	ok, wait, sure := q.decide(name, units, now)
	if sure {
		return ok, wait
	}
	askCtx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	ok, level, err := q.lender.Borrow(askCtx, name, units)
	switch {
	case err == nil:
		return ok, q.lent(name, units, ok, level, now)
	case ctx.Err() != nil:
		return false, 0 // the caller has left, which says nothing about the leader
	}
	return q.alone(name, units, now)
}

// decide admits or refuses what this instance can tell by itself; sure is false if
// only the leader can.
func (q *Buckets) decide(name string, units float64, now time.Time) (ok bool, wait time.Duration, sure bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.buckets[name]
	if b == nil || b.rule.Rate <= 0 {
		return true, 0, true
	}
	b.advance(now, 1/float64(max(q.nodes, 1)))
	if q.lender == nil || now.Sub(q.heard) >= fresh {
		ok, wait = q.admitAlone(b, name, units, now)
		return ok, wait, true
	}
	unconfirmed := q.spent[name] + q.flying[name]
	if unconfirmed+units <= freeShare*max(b.told, 0)/float64(max(q.nodes, 1)) {
		b.level -= units
		q.spent[name] += units
		return true, 0, true
	}
	// The level has grown by the whole rate at most since the leader's word.
	most := b.told + b.rule.Rate*now.Sub(b.toldAt).Seconds() - unconfirmed
	if floor := b.rule.floor(units); most <= floor {
		return false, b.rule.wait(most, units), true
	}
	return false, 0, false
}

// lent records the leader's answer and returns how long a refused request waits.
func (q *Buckets) lent(name string, units float64, ok bool, level float64, now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.buckets[name]
	if b == nil {
		return 0
	}
	b.told, b.toldAt = level, now
	b.level, b.at = level-q.spent[name]-q.flying[name], now
	if ok {
		return 0
	}
	return b.rule.wait(level, units)
}

// alone decides after a question without an answer. Further requests do not ask
// until the leader has answered a report.
func (q *Buckets) alone(name string, units float64, now time.Time) (bool, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.buckets[name]
	if b == nil {
		return true, 0
	}
	if silentSince := now.Add(-fresh); q.heard.After(silentSince) {
		q.heard = silentSince
	}
	return q.admitAlone(b, name, units, now)
}

// admitAlone decides without the leader. Each instance has a part of the level, or
// all would spend the same one; a request larger than the part is admitted at as
// many instances as the parts add up to. mu is held.
func (q *Buckets) admitAlone(b *bucket, name string, units float64, now time.Time) (bool, time.Duration) {
	if b.level <= b.rule.floor(units) {
		return false, b.rule.wait(b.level, units)
	}
	part := (max(b.told, 0) + b.rule.Rate*now.Sub(q.heard).Seconds()) / float64(max(q.nodes, 1))
	if q.spent[name]+q.flying[name]+units*q.rounding > part {
		return false, time.Duration(units / b.rule.Rate * float64(time.Second))
	}
	b.level -= units
	q.spent[name] += units
	return true, 0
}

// Level returns what an organisation has left, for logs.
func (q *Buckets) Level(name string, now time.Time) float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.buckets[name]
	if b == nil {
		return 0
	}
	b.advance(now, 1/float64(max(q.nodes, 1)))
	return b.level
}

// Told returns the levels by the leader's last word, from which a next leader goes on.
// Organisations of which there was none are left out.
func (q *Buckets) Told() map[string]float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := make(map[string]float64, len(q.buckets))
	for name, b := range q.buckets {
		if !b.toldAt.IsZero() {
			out[name] = b.told
		}
	}
	return out
}

// Refund gives back the units of a request that did not run.
func (q *Buckets) Refund(name string, units float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if b := q.buckets[name]; b != nil && b.rule.Rate > 0 {
		b.level = min(b.level+units, b.rule.Burst)
		q.spent[name] -= units
	}
}

// Take returns what was spent since the last Take, for the leader. It is counted
// as being on its way until Confirm or Restore.
func (q *Buckets) Take() map[string]float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.flying, q.spent = q.spent, map[string]float64{}
	return q.flying
}

// Restore puts back what Take returned after the report was lost.
func (q *Buckets) Restore() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for name, units := range q.flying {
		q.spent[name] += units
	}
	q.flying = map[string]float64{}
}

// Confirm takes the leader's levels, which include what Take returned, and the
// number of instances that spend from them.
func (q *Buckets) Confirm(levels map[string]float64, nodes int, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.flying, q.nodes, q.heard, q.rounding = map[string]float64{}, nodes, now, rand.Float64()
	for name, level := range levels {
		if b := q.buckets[name]; b != nil {
			b.level, b.at = level-q.spent[name], now
			b.told, b.toldAt = level, now
		}
	}
}
