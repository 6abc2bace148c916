package route

import "time"

const (
	// maxConsecutiveFailures ejects a server. A lower number would eject servers
	// for single lost connections.
	maxConsecutiveFailures = 3
	// A server is ejected as slow if its average time to first token exceeds the
	// group's by slowFactor and also by slowSeconds.
	slowFactor  = 4.0
	slowSeconds = 0.5
	// minSlowSamples is how many first tokens are needed to eject a slow server.
	minSlowSamples      = 5
	firstTokenSmoothing = 0.3
	// The duration of an ejection doubles each time, from initialEjection to maxEjection.
	initialEjection = 2 * time.Second
	maxEjection     = 60 * time.Second
	// probeTimeout is how long a probe without a result blocks other requests.
	probeTimeout = 10 * time.Second
	// maxEjectedShare bounds the share of a group that this instance ejects: if more
	// servers look bad, the fault is probably elsewhere.
	maxEjectedShare = 0.3
)

// health tracks whether a server is ejected. An ejected server receives no requests
// until ejectedUntil, and then one probe request at a time until one succeeds.
type health struct {
	consecutiveFailures int
	firstTokens         int // since the last ejection
	avgFirstToken       float64
	ejectedUntil        time.Time // zero if healthy
	ejection            time.Duration
	probeSentAt         time.Time // zero if no probe is in flight
}

func (h *health) ejected() bool { return !h.ejectedUntil.IsZero() }

// blocked reports whether no request may go to the server now.
func (h *health) blocked(now time.Time) bool {
	if h.ejectedUntil.IsZero() {
		return false
	}
	return now.Before(h.ejectedUntil) || !h.probeSentAt.IsZero() && now.Sub(h.probeSentAt) < probeTimeout
}

func (h *health) recordStart(now time.Time) {
	if !h.ejectedUntil.IsZero() && !now.Before(h.ejectedUntil) {
		h.probeSentAt = now
	}
}

func (h *health) recordFirstToken(seconds float64) {
	if h.firstTokens == 0 {
		h.avgFirstToken = seconds
	}
	h.firstTokens++
	h.avgFirstToken = smooth(h.avgFirstToken, seconds, firstTokenSmoothing)
}

func (h *health) isSlow(group float64) bool {
	return group > 0 && h.firstTokens >= minSlowSamples && h.avgFirstToken > slowFactor*group && h.avgFirstToken > group+slowSeconds
}

// recordResult records the end of a request and reports whether to eject the server.
func (h *health) recordResult(failed bool) bool {
	if failed {
		h.consecutiveFailures++
		return h.consecutiveFailures >= maxConsecutiveFailures || !h.probeSentAt.IsZero()
	}
	h.consecutiveFailures = 0
	return false
}

// eject ejects the server unless too many servers of its group are ejected.
func (t *Table) eject(s *server, now time.Time) {
	g := s.group
	if g == nil {
		return
	}
	h := &s.health
	if h.ejectedUntil.IsZero() {
		if g.ejected+1 > maxEjected(len(g.servers)) {
			return
		}
		g.ejected++
	}
	h.ejection = min(max(2*h.ejection, initialEjection), maxEjection)
	h.ejectedUntil, h.probeSentAt, h.firstTokens, h.consecutiveFailures = now.Add(h.ejection), time.Time{}, 0, 0
}

// EjectSilent ejects a server that does not answer at all, and reports whether it is now
// ejected. It does not extend an ejection, because many requests may time out on the
// same server.
func (t *Table) EjectSilent(id string, cost Cost, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[id]
	if s == nil || s.num != cost.server {
		return false
	}
	if h := &s.health; h.ejected() && (now.Before(h.ejectedUntil) || h.probeSentAt.IsZero()) {
		return false
	}
	t.eject(s, now)
	return s.health.ejected()
}

// maxEjected returns how many servers of a group may be ejected at once.
func maxEjected(servers int) int {
	if servers < 2 {
		return 0
	}
	return max(int(maxEjectedShare*float64(servers)), 1)
}

// readmit ends the ejection of a server whose probe succeeded.
func (t *Table) readmit(s *server) {
	s.health = health{ejection: s.health.ejection / 2}
	if s.group != nil {
		s.group.ejected--
	}
}
