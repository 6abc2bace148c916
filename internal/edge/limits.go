package edge

import (
	"time"

	"github.com/apex/log"

	"cranberrypath.example/cranberrypath/internal/coord"
	"cranberrypath.example/cranberrypath/internal/pacing"
	"cranberrypath.example/cranberrypath/internal/roster"
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
	var ids []string
	for _, inst := range instances {
		if inst.Ready {
			ids = append(ids, inst.ID)
		}
	}
	part := pacing.Part(s.ID, s.Limit.Rate, e.self.ID, ids)
	if outOfTouch {
		part *= outOfTouchShare
	}
	return part
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
	limited := e.limits.any
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
