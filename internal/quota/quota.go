// Package quota holds the request rate of each organisation over all instances
// together. Every instance keeps a copy of one token bucket per organisation,
// admits from it without asking anyone, and tells the leader what it spent. The
// leader sums the spending and returns the level, so copies differ only by what
// was spent within one round trip. Between two answers a copy is refilled with the
// instance's part of the rate, so that instances which hear nothing of each other
// stay within the limit together.
package quota

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Rule is the bucket of one organisation.
type Rule struct {
	Rate  float64 // units a second
	Burst float64 // units
}

type bucket struct {
	rule  Rule
	level float64
	told  float64 // level by the leader's last word
	at    time.Time
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
}

// NewLedger returns a ledger without rules.
func NewLedger() *Ledger { return &Ledger{buckets: map[string]*bucket{}} }

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
		b.advance(now, 1)
		b.level -= units
	}
}

// Levels returns the level of every bucket.
func (l *Ledger) Levels(now time.Time) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]float64, len(l.buckets))
	for name, b := range l.buckets {
		b.advance(now, 1)
		out[name] = b.level
	}
	return out
}

// fresh is how old the leader's word may be until an instance keeps to its part of a
// level: two reports and a half.
const fresh = 500 * time.Millisecond

// spread is how much more than its even part of a level one instance may spend while
// reports are answered: callers are not spread evenly.
const spread = 5

// Buckets is the side of one instance.
type Buckets struct {
	mu      sync.Mutex
	buckets map[string]*bucket
	spent   map[string]float64 // not yet taken by Take
	flying  map[string]float64 // taken, not yet confirmed
	nodes   int
	heard   time.Time // the leader's last word
	// rounding is drawn at each word of the leader, from 0 to 1: the share of a request
	// that must fit into this instance's part.
	rounding float64
}

// NewBuckets returns buckets without rules.
func NewBuckets() *Buckets {
	return &Buckets{buckets: map[string]*bucket{}, spent: map[string]float64{}, flying: map[string]float64{}, nodes: 1}
}

// Configure replaces the rules.
func (q *Buckets) Configure(rules map[string]Rule, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	configure(q.buckets, rules, now)
}

// Admit spends units of an organisation. If the level does not cover them it
// returns how long it takes to recover.
func (q *Buckets) Admit(name string, units float64, now time.Time) (ok bool, wait time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.buckets[name]
	if b == nil || b.rule.Rate <= 0 {
		return true, 0
	}
	b.advance(now, 1/float64(max(q.nodes, 1)))
	// A request larger than the burst could never be covered; it needs a full bucket.
	need := min(units, b.rule.Burst)
	if b.level < need {
		return false, time.Duration((need - b.level) / b.rule.Rate * float64(time.Second))
	}
	if !q.mayGoOn(b, q.spent[name]+q.flying[name], units, now) {
		return false, time.Duration(units / b.rule.Rate * float64(time.Second))
	}
	b.level -= units
	q.spent[name] += units
	return true, 0
}

// mayGoOn reports whether an instance may spend units on top of what the leader has
// not confirmed. Each instance has a part of the level, or all would spend the same
// one; a request larger than the part is admitted at as many instances as the parts
// add up to. mu is held.
func (q *Buckets) mayGoOn(b *bucket, unconfirmed, units float64, now time.Time) bool {
	part := max(b.told, 0) * spread
	if silent := now.Sub(q.heard); silent >= fresh {
		part = max(b.told, 0) + b.rule.Rate*silent.Seconds()
	}
	part /= float64(max(q.nodes, 1))
	return unconfirmed+units*q.rounding <= part
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

// Told returns the levels by the leader's last word, 0 without one, from which a next
// leader goes on.
func (q *Buckets) Told() map[string]float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := make(map[string]float64, len(q.buckets))
	for name, b := range q.buckets {
		out[name] = b.told
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
			b.level, b.told, b.at = level-q.spent[name], level, now
		}
	}
}
