package edge

import (
	"time"

	"github.com/apex/log"

	"cranberrypath.example/cranberrypath/internal/coord"
	"cranberrypath.example/cranberrypath/internal/pacing"
	"cranberrypath.example/cranberrypath/internal/roster"
	"cranberrypath.example/cranberrypath/internal/routes"
)

const (
	// leaderSilence is the time without an answer of a leader after which the other instances
	// may have divided the limits among themselves without this one.
	leaderSilence = time.Second
	// outOfTouchShare is the share of its parts that an instance sends meanwhile, so that the
	// two sides of a cut together stay near the limits.
	outOfTouchShare = 0.5
)

// limitState is what an instance knows of the rate limits of servers besides the limits
// themselves. Edge.mu guards it.
type limitState struct {
	any         bool      // a server has named a limit
	confirmedAt time.Time // when the last report was sent that a leader in office has answered
	outOfTouch  bool      // that is leaderSilence ago

	anyCold   bool
	coldEndAt time.Time // when the first of the cold servers stops being cold
	gaveUp    bool      // the parts of cold servers' rates are not used
}

// ColdTolerance is how far the rate may be exceeded that a cold server tolerates: all
// instances together may send it Overshoot times the rate plus Slack requests in any second.
type ColdTolerance struct {
	Overshoot, Slack float64
}

// limitsCold reports whether a configuration, which may be nil, limits the rate of a service's
// cold servers.
func limitsCold(c *routes.Config, service string) bool {
	if c == nil {
		return false
	}
	svc := c.Service(service)
	return svc != nil && svc.ColdRate > 0
}

// setCold records which of the servers are cold whose service has a rate for cold servers.
func (l *limitState) setCold(servers []roster.Server, c *routes.Config, now time.Time) {
	l.anyCold = false
	for _, s := range servers {
		if end := s.ColdEnd(); s.Cold(now) && limitsCold(c, s.Service) && (!l.anyCold || end.Before(l.coldEndAt)) {
			l.anyCold, l.coldEndAt = true, end
		}
	}
}

// markLimit records the rate limit that a backend server names in its response to a request
// sent at the given time, or that it names none, and reports a change to the other instances.
func (e *Edge) markLimit(s roster.Server, l roster.Limit, sent time.Time) {
	now := e.cfg.Clock()
	known, changed := e.roster.MarkLimit(s.ID, s.Incarnation, l, sent, now)
	if !changed {
		return
	}
	e.updateServers(now)
	e.mu.Lock()
	e.outbox.add(known)
	e.mu.Unlock()
	fields := log.Fields{"event": "server.limit", "server": s.ID, "service": s.Service, "limited": known.Limit.Named}
	if known.Limit.Named {
		fields["rate"], fields["part"] = known.Limit.Rate, e.partOfLimit(known)
	}
	e.cfg.Log.WithFields(fields).Info("the rate that a backend server accepts has changed")
	e.coord.SyncSoon()
}

// partOfLimit returns how many requests a second this instance may send to a backend server
// with a rate limit. All instances divide the rate by the same list, which comes from the
// leader; one that is not listed sends nothing.
func (e *Edge) partOfLimit(s roster.Server) float64 {
	e.mu.Lock()
	instances, outOfTouch := e.instances, e.limits.outOfTouch
	e.mu.Unlock()
	part := pacing.Part(s.ID, s.Limit.Rate, e.self.ID, readyIDs(instances))
	if outOfTouch {
		part *= outOfTouchShare
	}
	return part
}

func readyIDs(instances []coord.Instance) []string {
	var ids []string
	for _, inst := range instances {
		if inst.Ready {
			ids = append(ids, inst.ID)
		}
	}
	return ids
}

// partOfCold returns how many requests a second this instance may send to a cold server that
// tolerates rate requests a second.
func (e *Edge) partOfCold(s roster.Server, rate float64) float64 {
	e.mu.Lock()
	instances, gaveUp := e.instances, e.limits.gaveUp
	e.mu.Unlock()
	if gaveUp {
		return 0
	}
	b := pacing.Bound{Rate: rate, Overshoot: e.cfg.ColdTolerance.Overshoot, Slack: e.cfg.ColdTolerance.Slack}
	return b.Part(s.ID, e.self.ID, readyIDs(instances))
}

// partsValid reports whether this instance may use its parts of the rates of cold servers: a
// leader has answered lately, so no other instance has got them.
func (e *Edge) partsValid(now time.Time) bool {
	at := e.partsConfirmedAt.Load()
	return at != nil && e.leaseTime(now).Sub(*at) < pacing.PartLease
}

// confirmParts records that a leader in office has answered a report sent at the given time.
// The parts must be those of the list of instances in the answer.
func (e *Edge) confirmParts(at time.Time) {
	if !at.IsZero() {
		e.partsConfirmedAt.Store(&at)
	}
}

// giveUpParts gives up the parts of cold servers' rates if they have not been valid at some
// time, since other instances may have them. It must be called before the answer of a leader
// makes them valid again. It reports whether the servers must be updated afterwards.
func (e *Edge) giveUpParts(now time.Time) bool {
	e.mu.Lock()
	giveUp := e.limits.anyCold && !e.partsValid(now)
	e.limits.gaveUp = giveUp
	e.mu.Unlock()
	if !giveUp {
		return false
	}
	e.updateServers(now)
	e.mu.Lock()
	e.limits.gaveUp = false
	e.mu.Unlock()
	return true
}

// coldEnded reports whether a server has stopped being cold.
func (e *Edge) coldEnded(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.limits.anyCold && !now.Before(e.limits.coldEndAt)
}

// withColdStart returns an announcement with the time for which the server is cold if it has
// just started and the announcement does not state it. If the configuration does not limit
// cold servers, the result states no time: each change of it would go to all instances.
func (e *Edge) withColdStart(s roster.Server, now time.Time) roster.Server {
	c := e.proxy.Config()
	switch {
	case c == nil: // the first configuration may limit them
		return s
	case !limitsCold(c, s.Service):
		s.ColdFor, s.ColdUntil = 0, time.Time{}
		return s
	}
	if coldStart := c.Service(s.Service).ColdStart; coldStart > 0 {
		return e.roster.WithColdStart(s, coldStart, now)
	}
	return s
}

// markCold records that a backend server says in its response for how long it is cold, and
// reports it to the other instances. It does nothing for services whose cold servers are not
// limited.
func (e *Edge) markCold(s roster.Server, coldFor time.Duration) {
	if !limitsCold(e.proxy.Config(), s.Service) {
		return
	}
	now := e.cfg.Clock()
	known, changed := e.roster.MarkCold(s.ID, s.Incarnation, coldFor, now)
	if !changed {
		return
	}
	e.updateServers(now)
	e.mu.Lock()
	e.outbox.add(known)
	e.mu.Unlock()
	e.cfg.Log.WithFields(log.Fields{
		"event": "server.cold", "server": s.ID, "service": s.Service, "forMs": coldFor.Milliseconds(),
	}).Info("backend server said in a response that it is cold")
	e.coord.SyncSoon()
}

// setInstances applies what a leader's answer says of the instances. It reports whether the
// parts of the rate limits may have changed.
func (e *Edge) setInstances(v coord.View, now time.Time) bool {
	e.mu.Lock()
	if v.Instances != nil {
		e.instances = v.Instances
	}
	if !v.ConfirmedAt.IsZero() {
		e.limits.confirmedAt = v.ConfirmedAt
	}
	limited := e.limits.any || e.limits.anyCold
	e.mu.Unlock()
	return e.updateTouch(now) || v.Instances != nil && limited
}

// updateTouch records whether the list of instances may be out of date. It reports whether
// that changes the parts of the rate limits.
func (e *Edge) updateTouch(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.limits.outOfTouch
	e.limits.outOfTouch = e.leaseTime(now).Sub(e.limits.confirmedAt) >= leaderSilence
	return e.limits.outOfTouch != before && e.limits.any
}
