package pacing

import "time"

const (
	// PartLease is how long an instance may use its part of a cold server's rate after it
	// sent the last report that a leader in office has answered. The leader lists an instance
	// for at least as long after it has received a report.
	PartLease = time.Second
	// gainDelay is the time before a part is used that an instance has gained. It exceeds
	// PartLease, so that the instance that had the part has stopped, and the second for which
	// a bound holds by the 0.4 s in which news reaches all instances, so that what was sent
	// before the news is outside of it.
	gainDelay = 1500 * time.Millisecond
)

// Bound is the number of requests that a cold server may get from all instances together:
// Rate x Overshoot + Slack in any second.
type Bound struct {
	Rate      float64 // requests a second that the server tolerates
	Overshoot float64
	Slack     float64
}

// most returns the number of requests that are allowed in any second.
func (b Bound) most() float64 { return b.Rate*b.Overshoot + b.Slack }

// division returns how many instances send to the server and how many requests a second they
// send together. Each sends at most one request more in a second than its rate allows. Half
// of what is allowed above the rate is left for instances that do not know that the server is
// cold.
func (b Bound) division(instances int) (senders int, rate float64) {
	senders = int(min((b.most()-b.Rate)/2, b.Rate/minPart, float64(instances)))
	senders = max(senders, 1)
	return senders, max(min(b.Rate, b.most()-float64(senders)), 0)
}

// Part returns how many requests a second an instance may send to a cold server. all are the
// IDs of the instances that accept requests; an instance that is not one of them has no part.
func (b Bound) Part(server, instance string, all []string) float64 {
	senders, rate := b.division(len(all))
	if position, listed := rank(server, instance, all); !listed || position >= senders {
		return 0
	}
	return rate / float64(senders)
}

// Gate admits the requests of one instance to a cold server. A part takes effect gainDelay
// after it is gained, and at once when it is lost or becomes smaller. The zero Gate admits
// all requests. Gates are immutable.
type Gate struct {
	limited bool
	rate    float64 // requests a second
	level   float64 // requests that may be sent, as of at; at most 1
	at      time.Time
	next    float64 // rate from nextAt on, if it is higher
	nextAt  time.Time
}

// WithPart returns the gate with a part in requests a second.
func (g Gate) WithPart(part float64, now time.Time) Gate {
	out := g.advanced(now)
	if !out.limited {
		out = Gate{limited: true, at: now}
	}
	if part > out.rate && part > out.next {
		out.nextAt = now.Add(gainDelay)
	}
	out.rate, out.next = min(out.rate, part), part
	if out.rate <= 0 {
		out.level = 0 // another instance may have the part from now on
	}
	return out
}

// Limited reports whether the gate has a limit.
func (g Gate) Limited() bool { return g.limited }

// Admits reports whether a request may be sent.
func (g Gate) Admits(now time.Time) bool { return !g.limited || g.advanced(now).level >= 1 }

// WithSent returns the gate after a request that it admits.
func (g Gate) WithSent(now time.Time) Gate {
	out := g.advanced(now)
	out.level--
	return out
}

// Next returns when the gate admits the next request, and false if it never does.
func (g Gate) Next(now time.Time) (time.Time, bool) {
	out := g.advanced(now)
	switch {
	case out.Admits(now):
		return now, true
	case out.rate > 0:
		return out.at.Add(time.Duration((1 - out.level) / out.rate * float64(time.Second))), true
	case out.next > 0:
		return out.nextAt.Add(time.Duration(float64(time.Second) / out.next)), true
	}
	return time.Time{}, false
}

// advanced returns the gate as of a later time.
func (g Gate) advanced(now time.Time) Gate {
	if !g.limited {
		return g
	}
	if g.next > g.rate && !now.Before(g.nextAt) {
		g = g.filled(g.nextAt)
		g.rate = g.next
	}
	return g.filled(now)
}

func (g Gate) filled(now time.Time) Gate {
	if d := now.Sub(g.at); d > 0 {
		g.level, g.at = min(g.level+d.Seconds()*g.rate, 1), now
	}
	return g
}
