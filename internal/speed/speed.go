// Package speed estimates how long a backend server's work takes now, relative to usual. The
// inputs are the figures that the server states in its responses and measured times.
package speed

import (
	"math"
	"time"
)

const (
	// SlowdownTime is how long a temporary slowdown lasts. A slowdown seen at a random moment
	// still lasts a time t later with probability 1 - t/SlowdownTime.
	SlowdownTime = 600 * time.Millisecond
	// fastTime is the time constant of the fast average. Servers change their figure many times
	// a second.
	fastTime = 50 * time.Millisecond
	// slowTime is the time constant of the slow average. A single slowdown changes it by 6%.
	slowTime = 10 * time.Second
	// minSlowTime is the time constant of the slow average until more time has been observed,
	// so that a server that is always slow is recognised with a few figures.
	minSlowTime = time.Second
	// maxStep bounds the time for which one figure counts in the slow average.
	maxStep = 500 * time.Millisecond
	// forgetTime is the age at which stated figures have no more weight. A server that nobody
	// uses because it was slow is tried again.
	forgetTime = time.Minute

	// measuredWeight is the weight of one measured time. Caches and other instances' requests
	// make a single one inexact.
	measuredWeight = 0.1

	minPace, maxPace         = 1.0 / 16, 16.0
	minMeasured, maxMeasured = 0.5, 2.5
)

// Estimate is what is known of one server's speed. The zero value knows nothing. Values are
// immutable.
type Estimate struct {
	fast, slow float64 // averages of the stated figures
	statedAt   time.Time
	observed   time.Duration // time that slow covers, at most slowTime
	measured   float64       // average of measured relative to expected times, 0 for none
}

// Stated reports whether the server has stated a figure.
func (e Estimate) Stated() bool { return !e.statedAt.IsZero() }

// Age returns the age of the last stated figure, or 0 if there is none.
func (e Estimate) Age(now time.Time) time.Duration {
	if !e.Stated() {
		return 0
	}
	return max(now.Sub(e.statedAt), 0)
}

// WithStated adds a figure that the server stated: 1 is usual, 2 takes twice as long. Figures
// that are invalid or not newer than the last have no effect.
func (e Estimate) WithStated(pace float64, at time.Time) Estimate {
	if !(pace > 0) || math.IsInf(pace, 0) || e.Stated() && !at.After(e.statedAt) {
		return e
	}
	pace = min(max(pace, minPace), maxPace)
	step := maxStep
	if !e.Stated() {
		e.fast, e.slow = pace, 1
	} else {
		since := at.Sub(e.statedAt)
		e.slow = e.longRun(since)
		e.fast += (pace - e.fast) * since.Seconds() / (since + fastTime).Seconds()
		step = min(step, since)
	}
	e.observed = min(e.observed+step, slowTime)
	constant := max(e.observed, minSlowTime)
	e.slow += (pace - e.slow) * step.Seconds() / (step + constant).Seconds()
	e.statedAt = at
	return e
}

// WithMeasured adds a measured time of the server's work, relative to the time that Value and
// the mean of similar servers let expect.
func (e Estimate) WithMeasured(ratio float64) Estimate {
	if !(ratio > 0) || math.IsInf(ratio, 0) {
		return e
	}
	if e.measured == 0 {
		e.measured = 1
	}
	// ratio is relative to the present average, which is part of Value.
	target := min(max(ratio*e.measured, minMeasured), maxMeasured)
	e.measured += (target - e.measured) * measuredWeight
	return e
}

// Value returns how long the server's work takes now relative to usual, 1 if nothing is known.
func (e Estimate) Value(now time.Time) float64 {
	pace := 1.0
	if e.Stated() {
		age := e.Age(now)
		pace = e.longRun(age)
		if age < SlowdownTime {
			pace += (e.fast - pace) * (1 - float64(age)/float64(SlowdownTime))
		}
	}
	if e.measured > 0 {
		pace *= e.measured
	}
	return pace
}

// Usual returns the value to which Value tends without new figures, before they are forgotten.
func (e Estimate) Usual() float64 {
	pace := 1.0
	if e.Stated() {
		pace = e.slow
	}
	if e.measured > 0 {
		pace *= e.measured
	}
	return pace
}

// longRun returns the slow average, with less weight the older it is.
func (e Estimate) longRun(age time.Duration) float64 {
	return 1 + (e.slow-1)*max(1-float64(age)/float64(forgetTime), 0)
}
