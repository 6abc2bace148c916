package route

import (
	"time"
)

// Forecast is the expected delay of a request, and the load of its service.
type Forecast struct {
	FirstByte time.Duration // at the server with the least expected time to the first byte
	Queueing  time.Duration // part of FirstByte that the work of other requests causes
	// UncachedTokens are the prompt tokens that this server would have to prefill.
	UncachedTokens int
	// Sums over the servers that may run the request. Running includes the waiting requests,
	// and this instance's own since the last report.
	Servers, Running, Waiting, Slots int
	PendingTokens                    int           // uncached prompt tokens of the waiting requests
	Age                              time.Duration // of the oldest load report among the servers
}

// Forecast returns the forecast for a request, and false if no server can run it now. In a
// group larger than fullScanServers, the sums are extrapolated from a sample.
func (t *Table) Forecast(q Query, now time.Time) (Forecast, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groups[groupKey{q.Service, q.Version}]
	if g == nil || len(g.servers) == 0 {
		return Forecast{}, false
	}
	for _, useEjected := range []bool{false, true} {
		if f, ok := t.forecast(g, &q, useEjected, now); ok {
			return f, true
		}
	}
	return Forecast{}, false
}

func (t *Table) forecast(g *group, q *Query, useEjected bool, now time.Time) (Forecast, bool) {
	step, at := 1, 0
	if len(g.servers) > fullScanServers {
		step = (len(g.servers) + fullScanServers - 1) / fullScanServers
		at = t.rnd.IntN(step)
	}
	var f Forecast
	looked, found := 0, false
	for ; at < len(g.servers); at += step {
		looked++
		s := g.servers[at]
		if !s.eligible(q, useEjected, now) {
			continue
		}
		network := t.networkDelay(s, q)
		delay, perToken := s.expectedDelay(g, now, network)
		uncached := q.PromptTokens - s.cachedTokens(q)
		first := seconds(delay + float64(uncached)*perToken)
		if !found || first < f.FirstByte {
			found = true
			f.FirstByte, f.Queueing, f.UncachedTokens = first, seconds(max(delay-network, 0)), uncached
		}
		s.addTo(&f, now)
	}
	f.Servers, f.Running, f.Waiting = f.Servers*len(g.servers)/looked, f.Running*len(g.servers)/looked, f.Waiting*len(g.servers)/looked
	f.Slots, f.PendingTokens = f.Slots*len(g.servers)/looked, f.PendingTokens*len(g.servers)/looked
	return f, found
}

// expectedDelay returns the expected time before a prompt is prefilled, and the time to prefill
// a token, in seconds.
func (s *server) expectedDelay(g *group, now time.Time, network float64) (delay, perToken float64) {
	if s.work == nil {
		return s.delay(now, network), s.perToken().Seconds()
	}
	wait, _ := s.pacedDelay(g.paced, now, network)
	return wait, s.perToken().Seconds() * s.factor(now)
}

// addTo adds the load of a server to the sums.
func (s *server) addTo(f *Forecast, now time.Time) {
	f.Servers++
	f.Slots += s.backend.Slots
	f.Running += s.outstanding + int(s.expectedOtherLoad(now))
	f.PendingTokens += s.load.WaitingTokens
	if own := s.prefillUntil.Sub(now); own > 0 && s.perToken() > 0 {
		f.PendingTokens += int(own / s.perToken())
	}
	// One request without a response is being prefilled and waits for no other.
	f.Waiting += max(s.load.Waiting+s.load.Unstarted-1, 0)
	if s.reported {
		f.Age = max(f.Age, now.Sub(s.load.MeasuredAt))
	}
}
