package proxy

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/apex/log"
)

// A server that hangs or lost its power keeps its connections open, and its missing
// heartbeats show after seconds. Until then each request to it would wait for its
// whole time, so an instance takes a server for silent that gave no byte to any of
// its requests for long.
const (
	// silentFactor is how many times the expected time to the first byte passes.
	silentFactor = 4
	// silentTargets is how many times the target of the route passes, at most
	// silentMost: callers of a stream leave after a gap of 2 s.
	silentTargets = 2
	silentMost    = 1500 * time.Millisecond
	// lateLook is how late a look may be; after a longer delay this process itself has
	// stood still, and answers that have arrived wait to be read.
	lateLook = 250 * time.Millisecond
)

var errSilent = errors.New("the server is silent")

// silentAfter returns how long a server may give no byte.
func silentAfter(target, expected time.Duration) time.Duration {
	return max(min(silentTargets*target, silentMost), silentFactor*expected)
}

// look decides about a server at now, in a look that was due at a time: whether it is
// silent, and how long until the next look.
func look(heard, due, now time.Time, after time.Duration) (silent bool, next time.Duration) {
	if now.Sub(due) > lateLook {
		return false, after
	}
	if quiet := now.Sub(heard); quiet < after {
		return false, after - quiet
	}
	return true, after
}

// watch ejects the server of an attempt if it is silent. If the request may go to
// another server, the attempt is cancelled, which tells this one to stop.
func (t *trial) watch(ctx context.Context, cancel context.CancelCauseFunc) {
	p, after := t.x.p, silentAfter(t.x.route.Target, t.choice.Expected)
	mayMove := t.x.route.Repeatable() && t.x.runs+1 < t.x.route.Attempts && t.x.sends < maxSends
	go func() {
		due := t.sent.Add(after)
		timer := time.NewTimer(after)
		defer timer.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-timer.C:
			}
			now := p.cfg.Clock()
			silent, next := look(t.lastHeard(), due, now, after)
			due = now.Add(next)
			timer.Reset(next)
			if !silent {
				continue
			}
			if p.table.Silent(t.server.ID, t.choice.Cost, now) {
				p.cfg.Log.WithFields(log.Fields{
					"event": "server.quiet", "server": t.server.ID, "service": t.server.Service, "request": t.x.r.ID, "afterMs": after.Milliseconds(),
				}).Warn("backend server is avoided: it answers nothing")
			}
			if mayMove && p.budget(t.x.service).Retry(now) {
				t.x.paid.Store(true)
				cancel(errSilent)
				return
			}
		}
	}()
}

// lastHeard returns when the server last gave a byte to any request of this instance,
// or when this one was sent if that was later.
func (t *trial) lastHeard() time.Time {
	if heard := time.Unix(0, t.heard.Load()); heard.After(t.sent) {
		return heard
	}
	return t.sent
}

// heardOf returns the time at which a server was last heard of, in ns since 1970.
func (p *Proxy) heardOf(server string) *atomic.Int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.heard[server]
	if h == nil {
		h = &atomic.Int64{}
		p.heard[server] = h
	}
	return h
}

// givenUp reports whether a request has ended for another reason than the silence of
// its server.
func givenUp(ctx context.Context) bool {
	return ctx.Err() != nil && !errors.Is(context.Cause(ctx), errSilent)
}
