package proxy

import (
	"time"

	"github.com/apex/log"

	"cranberrypath.example/cranberrypath/internal/roster"
	"cranberrypath.example/cranberrypath/internal/route"
)

// holdOff is a time in which a server wants no requests from this instance.
type holdOff struct {
	incarnation int64
	sent        time.Time // when the request was sent to which the server said so
	until       time.Time
}

// appliesTo reports whether s is the incarnation that said so. One that had started before
// the request was sent gave the response, even if its announcement arrives later.
func (h holdOff) appliesTo(s roster.Server) bool {
	return h.incarnation == s.Incarnation || h.incarnation < s.Incarnation && s.StartedBefore(h.sent)
}

// extendedBy returns the hold-off after another response of the same server.
func (h holdOff) extendedBy(next holdOff) holdOff {
	if next.incarnation == h.incarnation && h.until.After(next.until) {
		return h
	}
	return next
}

// holdOff sends a server no requests for d, which it wants according to its response to a
// request sent at the given time.
func (p *Proxy) holdOff(s roster.Server, sent time.Time, d time.Duration, now time.Time) {
	p.serversMu.Lock()
	defer p.serversMu.Unlock()
	before, known := p.holdOffs[s.ID]
	if known && before.incarnation > s.Incarnation {
		return
	}
	h := before.extendedBy(holdOff{incarnation: s.Incarnation, sent: sent, until: now.Add(d)})
	p.holdOffs[s.ID] = h
	p.mu.Lock()
	current, ok := p.servers[s.ID]
	p.mu.Unlock()
	if ok && h.appliesTo(current) {
		p.table.HoldOff(s.ID, uint64(current.Incarnation), h.until)
	}
	if known && before.incarnation == s.Incarnation && now.Before(before.until) {
		return
	}
	p.metrics.recordHoldOff(s.Service)
	p.cfg.Log.WithFields(log.Fields{
		"event": "server.heldOff", "server": s.ID, "service": s.Service, "forMs": d.Milliseconds(),
	}).Info("backend server wants no requests for some time")
}

// acceptsFrom returns when a server accepts requests of this instance; zero if it did not
// say. serversMu must be held.
func (p *Proxy) acceptsFrom(s roster.Server) time.Time {
	if h, ok := p.holdOffs[s.ID]; ok && h.appliesTo(s) {
		return h.until
	}
	return time.Time{}
}

// pruneHoldOffs forgets the hold-offs that are over. serversMu must be held.
func (p *Proxy) pruneHoldOffs(now time.Time) {
	for id, h := range p.holdOffs {
		if !now.Before(h.until) {
			delete(p.holdOffs, id)
		}
	}
}

// worthWaiting reports whether a request should wait for a server. A refused caller comes back
// later than that and on a new connection, so it is served sooner if the request waits, as long
// as the answer can still meet the target. For a server with a rate limit it does not wait,
// because another request may be sent in its place.
func worthWaiting(now time.Time, o route.Opening, arrived, deadline time.Time, target time.Duration) bool {
	return !o.Limited && o.At.Sub(arrived) <= target/2 && o.At.Sub(now) <= deadline.Sub(now)/3
}

// heldOffRetryAfter returns the Retry-After time if no server accepts a request before
// available, without jitter. A caller that came back earlier would be refused again.
func heldOffRetryAfter(now, available time.Time) time.Duration {
	return max(available.Sub(now), minRetryAfter)
}
