package route

import (
	"time"

	"cranberrypath.example/cranberrypath/internal/pacing"
	"cranberrypath.example/cranberrypath/internal/world"
)

const (
	// coldPenaltySeconds is the penalty of a cold server right after a request to it, in
	// addition to the prefill of prompts that its empty cache does not hold. It is about the
	// delay of a prefill of a long prompt.
	coldPenaltySeconds = 0.2
	// coldPenaltyTime is the time without a request in which the penalty falls to none, so
	// that a cold server is not left idle while the others have room.
	coldPenaltyTime = 2 * time.Second
	// coldRetrySpread is the time over which callers return that are refused because the
	// servers are cold. Callers that are refused together would be refused together again.
	coldRetrySpread = time.Second
)

// coldState is this instance's part of the rate that a cold server accepts.
type coldState struct {
	gate   pacing.Gate
	sentAt time.Time // when the last request was sent while the server was cold
}

// setCold applies whether a server is cold. What it had cached is lost when it turns cold.
func (s *server) setCold(b world.Backend, now time.Time) {
	if !b.Cold {
		s.cold = coldState{}
		return
	}
	if !s.cold.gate.Limited() {
		s.cache = newCache(s.cache.limit)
	}
	s.cold.gate = s.cold.gate.WithPart(b.ColdRate, now)
}

// partsValid reports whether this instance may send to cold servers at all. Config.PartsValid
// is called only if there is one.
func (t *Table) partsValid(now time.Time) bool {
	return !t.anyCold || t.cfg.PartsValid == nil || t.cfg.PartsValid(now)
}

// admitsCold reports whether a server is not cold, or cold and accepts a request now.
func (s *server) admitsCold(partsValid bool, now time.Time) bool {
	return !s.cold.gate.Limited() || partsValid && s.cold.gate.Admits(now)
}

// takeColdTurn counts a request to a cold server and reports whether it may be sent.
func (t *Table) takeColdTurn(s *server, now time.Time) bool {
	if !s.cold.gate.Limited() {
		return true
	}
	if !s.admitsCold(t.partsValid(now), now) {
		return false
	}
	s.cold = coldState{gate: s.cold.gate.WithSent(now), sentAt: now}
	return true
}

// coldPenalty is the part of the score of a cold server that is due to its state, in seconds.
func (s *server) coldPenalty(now time.Time) float64 {
	if !s.cold.gate.Limited() {
		return 0
	}
	idle := now.Sub(s.cold.sentAt)
	return coldPenaltySeconds * max(0, 1-idle.Seconds()/coldPenaltyTime.Seconds())
}

// coldOpening returns when a server accepts a request, given when it would if it were not cold.
func (t *Table) coldOpening(s *server, o Opening, now time.Time) Opening {
	if !s.cold.gate.Limited() {
		return o
	}
	o.Limited = true
	next, ok := s.cold.gate.Next(now)
	if !ok || !t.partsValid(now) {
		next = now.Add(otherInstanceDelay)
	}
	if next.After(o.At) {
		o.At = next
	}
	return o
}

// spreadCold delays the return of a caller at random if the server that it waits for is cold.
func (t *Table) spreadCold(o Opening, now time.Time) Opening {
	if o.At.After(now) {
		o.At = o.At.Add(time.Duration(t.rnd.Float64() * float64(coldRetrySpread)))
	}
	return o
}
