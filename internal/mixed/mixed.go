// Package mixed estimates what a request costs on a backend server that serves long and short
// prompts: the lateness that the request meets, and the lateness that its prefill imposes on
// short requests. All costs are in seconds.
package mixed

import "time"

const (
	// lateCost is the cost of one response after its target. A late response earns a tenth of
	// its credit, so lateness outweighs any delay within the target.
	lateCost = 1.0
	// relativeError is the error of an estimated time to the first byte, as its share.
	relativeError = 0.15
	// minError is the least error of an estimate, in seconds.
	minError = 0.02
	// pendingError is the error of the pending prefill that a later request will meet, in seconds:
	// one long prompt that other instances send there until then.
	pendingError = 0.15
	// staleTime is the age at which a report of pending tokens says nothing more about the
	// present. Most prefills end within 300 ms.
	staleTime = 600 * time.Millisecond
	// meanWeight is the weight of one report in the mean of pending tokens; reports come about
	// four times a second. With 0.1 the mean followed single prompts.
	meanWeight = 0.05
)

// Pending estimates the prompt tokens that wait for prefill at a server, from reports. The zero
// value knows of none. Values are immutable.
type Pending struct {
	tokens, mean float64
	at           time.Time
}

// WithReport adds a report of the tokens that were pending at a time.
func (p Pending) WithReport(tokens int, at time.Time) Pending {
	if p.at.IsZero() {
		p.mean = float64(tokens)
	}
	p.tokens, p.at = float64(tokens), at
	p.mean += (p.tokens - p.mean) * meanWeight
	return p
}

// Seconds returns the expected time until the pending tokens are prefilled, at the given time per
// token. The server has worked on the reported tokens since; the older the report, the more
// likely are others in their place.
func (p Pending) Seconds(perToken float64, now time.Time) float64 {
	if p.at.IsZero() {
		return 0
	}
	age := max(now.Sub(p.at), 0)
	fresh := max(p.tokens*perToken-age.Seconds(), 0)
	weight := max(1-float64(age)/float64(staleTime), 0)
	return p.mean*perToken + (fresh-p.mean*perToken)*weight
}

// Age returns the age of the last report, or 0 if there is none.
func (p Pending) Age(now time.Time) time.Duration {
	if p.at.IsZero() {
		return 0
	}
	return max(now.Sub(p.at), 0)
}

// Met returns the cost of the lateness that a request meets: its expected time to the first byte
// against the time left until its target.
func Met(first, target float64) float64 {
	return lateCost * probabilityLate(first, target)
}

// probabilityLate returns the probability that a time that is estimated as first exceeds target.
// It is a line within two errors, which is cheap and close enough to a distribution's tail.
func probabilityLate(first, target float64) float64 {
	spread := 2 * (minError + relativeError*first)
	return min(max((first-target+spread)/(2*spread), 0), 1)
}

// Neighbours describes the short requests that share servers with a long one.
type Neighbours struct {
	PerSecond float64 // short requests that start at a server, from all instances
	Budget    float64 // pending prefill that a short request meets without missing its target, s
}

// Imposed returns the cost that a prefill imposes on short requests: those that arrive while more
// than their budget is pending miss their target, as long as others do not avoid the server.
func (n Neighbours) Imposed(pending, prefill float64) float64 {
	lateFor := excess(pending+prefill-n.Budget) - excess(pending-n.Budget)
	return lateCost * n.PerSecond * lateFor
}

// excess returns the expected part of x above 0 if x has an error of at most pendingError.
func excess(x float64) float64 {
	switch {
	case x <= -pendingError:
		return 0
	case x >= pendingError:
		return x
	}
	return (x + pendingError) * (x + pendingError) / (4 * pendingError)
}

// Mix is a running estimate of the kinds of requests that an instance sends. The zero value has
// seen none. Values are immutable.
type Mix struct {
	requests    float64 // 1 after the first request
	shortShare  float64
	shortBudget float64 // s
	duration    float64 // mean time that a request holds a slot, s
}

// mixWeight is the weight of one request in a Mix.
const mixWeight = 0.05

// WithRequest adds a request. Its budget is the time until its target less its own prefill.
func (m Mix) WithRequest(short bool, budget float64) Mix {
	share := 0.0
	if short {
		share = 1
		if m.shortBudget == 0 {
			m.shortBudget = max(budget, 0)
		}
		m.shortBudget += (max(budget, 0) - m.shortBudget) * mixWeight
	}
	if m.requests == 0 {
		m.requests, m.shortShare = 1, share
	}
	m.shortShare += (share - m.shortShare) * mixWeight
	return m
}

// WithDuration adds the time that a request held a slot.
func (m Mix) WithDuration(seconds float64) Mix {
	if m.duration == 0 {
		m.duration = seconds
	}
	m.duration += (seconds - m.duration) * mixWeight
	return m
}

// Duration returns the mean time that a request holds a slot in seconds, or 0 if none has ended.
func (m Mix) Duration() float64 { return m.duration }

// Neighbours returns the short requests at a server of mean load, in requests in flight there.
func (m Mix) Neighbours(meanLoad float64) Neighbours {
	if m.duration <= 0 {
		return Neighbours{}
	}
	return Neighbours{PerSecond: m.shortShare * meanLoad / m.duration, Budget: m.shortBudget}
}
