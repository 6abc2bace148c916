package route

import "time"

const (
	// failuresInRow eject a server at once; a lower number would eject servers
	// for single lost connections.
	failuresInRow = 3
	// slowFactor and slowSeconds: a server is ejected if its first tokens take
	// this much longer than the group's, by factor and by seconds.
	slowFactor  = 4.0
	slowSeconds = 0.5
	// slowSamples is how many first tokens that judgement needs.
	slowSamples = 5
	firstWeight = 0.3
	// ejectFirst and ejectMax bound how long an ejection lasts; it doubles each time.
	ejectFirst = 2 * time.Second
	ejectMax   = 60 * time.Second
	// probeTimeout is how long a probe without a result keeps others away.
	probeTimeout = 10 * time.Second
	// ejectShare bounds the share of a group that this instance ejects: if more
	// servers look bad, the fault is likely not theirs.
	ejectShare = 0.3
)

// health decides whether a server is ejected: blocked until a time, then probed
// with one request at a time until one succeeds.
type health struct {
	failures int // in a row
	samples  int // first tokens seen since the last ejection
	firstAvg float64
	until    time.Time // end of the ejection; zero if healthy
	length   time.Duration
	probe    time.Time // when a probe was sent; zero if none runs
}

func (h *health) ejected() bool { return !h.until.IsZero() }

// blocked reports whether no request may go to the server now.
func (h *health) blocked(now time.Time) bool {
	if h.until.IsZero() {
		return false
	}
	return now.Before(h.until) || !h.probe.IsZero() && now.Sub(h.probe) < probeTimeout
}

func (h *health) started(now time.Time) {
	if !h.until.IsZero() && !now.Before(h.until) {
		h.probe = now
	}
}

func (h *health) first(seconds float64) {
	if h.samples == 0 {
		h.firstAvg = seconds
	}
	h.samples++
	h.firstAvg = smooth(h.firstAvg, seconds, firstWeight)
}

func (h *health) slow(group float64) bool {
	return group > 0 && h.samples >= slowSamples && h.firstAvg > slowFactor*group && h.firstAvg > group+slowSeconds
}

// result records the end of a request and reports whether the server should be ejected.
func (h *health) result(failed bool) bool {
	if failed {
		h.failures++
		return h.failures >= failuresInRow || !h.probe.IsZero()
	}
	h.failures = 0
	return false
}

// eject takes the server out for a while, unless too many of its group are out.
func (t *Table) eject(s *server, now time.Time) {
	g := s.group
	if g == nil {
		return
	}
	h := &s.health
	if h.until.IsZero() {
		if g.ejected+1 > maxEjected(len(g.servers)) {
			return
		}
		g.ejected++
	}
	h.length = min(max(2*h.length, ejectFirst), ejectMax)
	h.until, h.probe, h.samples, h.failures = now.Add(h.length), time.Time{}, 0, 0
}

// Silent ejects a server that gives no answers at all, and reports whether it did. An
// ejection that lasts is not prolonged: many requests wait for the same server.
func (t *Table) Silent(id string, cost Cost, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[id]
	if s == nil || s.num != cost.server {
		return false
	}
	if h := &s.health; h.ejected() && (now.Before(h.until) || h.probe.IsZero()) {
		return false
	}
	t.eject(s, now)
	return s.health.ejected()
}

// maxEjected is how many servers of a group may be ejected; one of two or three.
func maxEjected(servers int) int {
	if servers < 2 {
		return 0
	}
	return max(int(ejectShare*float64(servers)), 1)
}

// readmit ends the ejection of a server whose probe succeeded.
func (t *Table) readmit(s *server) {
	s.health = health{length: s.health.length / 2}
	if s.group != nil {
		s.group.ejected--
	}
}
