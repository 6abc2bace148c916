package admit

import "time"

// Reason is why a request is refused.
type Reason uint8

// The reasons.
const (
	None     Reason = iota // it is admitted
	Forecast               // it would be late because of what waits
	Beyond                 // its turn is not within the share of its kind
)

// String returns the reason code used in logs and metrics.
func (r Reason) String() string { return [...]string{"none", "forecast", "share"}[r] }

// Outlook is an instance's forecast for a request.
type Outlook struct {
	Queueing time.Duration // at the best server
	Rest     time.Duration // of the time to the first byte at that server
	// Of all servers together.
	Running, Waiting, Slots int
}

// Busy reports whether requests may be refused at all.
func (o Outlook) Busy() bool { return o.Waiting > 0 || 2*o.Running >= o.Slots }

// Query describes a request to admit.
type Query struct {
	Service string
	Kind    Kind
	Hash    uint64        // of what is specific to the request, for its turn
	Left    time.Duration // until its target
	// MaxWait is the longest time after which the caller returns.
	MaxWait time.Duration
	Outlook Outlook
}

// Decision is the answer to a Query.
type Decision struct {
	Reason     Reason
	RetryAfter time.Duration // if it is refused
	// What the decision was based on.
	Queueing time.Duration
	Fraction float64
	Age      time.Duration // of the shares; 0 if they are not known
}

// Admitted reports whether the request is admitted.
func (d Decision) Admitted() bool { return d.Reason == None }

const (
	// bestServerWait is the wait at the best server relative to the mean. In the queueing model
	// of the tests, refusing requests whose target is below 0.8 to 1 of the mean wait cost 5 in 100 of the
	// value at a load a little beyond the capacity.
	bestServerWait = 0.4
	// turnMargin is added to the time until a request's turn, so that it is not early.
	turnMargin = 50 * time.Millisecond
	// minRetryAfter is the least Retry-After time: the one of other refusals.
	minRetryAfter = 100 * time.Millisecond
)

// Decide decides whether a request is admitted.
func (s Shares) Decide(q Query, now time.Time) Decision {
	o := q.Outlook
	d := Decision{Queueing: o.Queueing, Fraction: 1}
	if !o.Busy() {
		return d
	}
	if !s.valid(now) {
		return d.unlessLate(q, o.Queueing)
	}
	share := s.Services[q.Service]
	d.Age = now.Sub(s.At)
	d.Queueing = scale(share.wait(q.Kind.urgency()), bestServerWait)
	d.Fraction = s.fraction(q.Service, q.Kind, now)
	if turn := Turn(q.Hash, now); turn >= d.Fraction {
		return d.refused(Beyond, q, untilTurn(turn, d.Fraction)+turnMargin)
	}
	return d.unlessLate(q, d.Queueing)
}

// unlessLate returns d, as a refusal if queueing makes the request late. One that would be late
// without it is worth the same later.
func (d Decision) unlessLate(q Query, queueing time.Duration) Decision {
	room := q.Left - q.Outlook.Rest
	if room < 0 || queueing <= room {
		return d
	}
	return d.refused(Forecast, q, queueing-room)
}

// refused returns d as a refusal with the time after which the request may be admitted. If the
// caller returns earlier than that, it is told to return late, and not with all others.
func (d Decision) refused(r Reason, q Query, after time.Duration) Decision {
	d.Reason = r
	d.RetryAfter = max(after, minRetryAfter)
	if d.RetryAfter > q.MaxWait {
		spread := float64(q.Hash&0xFFFF) / 0x10000
		d.RetryAfter = scale(q.MaxWait, 1-spread/4)
	}
	return d
}

func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }
