package proxy

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/apex/log"
)

// The connections of a server that hangs or lost power stay open, and its missing
// heartbeats are noticed only after seconds. Until then each request to the server
// would wait until its deadline. An instance therefore treats a server as silent if
// none of its requests received a byte for the silence timeout.
const (
	// The silence timeout is at least silenceExpectedFactor times the expected time to
	// the first byte.
	silenceExpectedFactor = 4
	// The silence timeout is also at least silenceTargetFactor times the route's latency
	// target, capped at maxTargetSilence: callers disconnect after a stream gap of 2 s.
	silenceTargetFactor = 2
	maxTargetSilence    = 1500 * time.Millisecond
	// The silence timeout exceeds the longest acceptable time between the events of a
	// stream by maxEventGap/silenceGapDivisor: a slow but sound stream is not cut.
	silenceGapDivisor = 2
	// maxCheckDelay is the longest delay of a check that still counts. After a longer
	// delay this process itself was stalled, and received responses are still unread.
	maxCheckDelay = 250 * time.Millisecond
)

var errSilent = errors.New("the server sends no data")

// silenceTimeout returns how long a server may send no byte before it counts as silent.
func silenceTimeout(target, maxEventGap, expectedFirstByte time.Duration) time.Duration {
	return max(min(silenceTargetFactor*target, maxTargetSilence), maxEventGap+maxEventGap/silenceGapDivisor, silenceExpectedFactor*expectedFirstByte)
}

// checkSilence reports whether a server is silent at now, and how long to wait until
// the next check. The check was scheduled for due.
func checkSilence(lastByte, due, now time.Time, timeout time.Duration) (silent bool, next time.Duration) {
	if now.Sub(due) > maxCheckDelay {
		return false, timeout
	}
	if silence := now.Sub(lastByte); silence < timeout {
		return false, timeout - silence
	}
	return true, timeout
}

// watchSilence ejects the server of an attempt if it is silent. If the request may be
// retried on another server, the attempt is cancelled, which also signals the silent
// server to stop.
func (a *attemptState) watchSilence(ctx context.Context, cancel context.CancelCauseFunc) {
	p, timeout := a.req.p, silenceTimeout(a.req.route.LatencyTarget, a.req.route.MaxEventGap, a.choice.Expected)
	mayRetry := a.req.route.Repeatable() && a.req.possibleRuns+1 < a.req.route.MaxAttempts && a.req.sends < maxSends
	go func() {
		due := a.sentAt.Add(timeout)
		timer := time.NewTimer(timeout)
		defer timer.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-timer.C:
			}
			now := p.cfg.Clock()
			silent, wait := checkSilence(a.lastByteAt(), due, now, timeout)
			due = now.Add(wait)
			timer.Reset(wait)
			if !silent {
				continue
			}
			if p.table.EjectSilent(a.server.ID, a.choice.Cost, now) {
				p.cfg.Log.WithFields(log.Fields{
					"event": "server.quiet", "server": a.server.ID, "service": a.server.Service, "request": a.req.r.ID, "afterMs": timeout.Milliseconds(),
				}).Warn("backend server ejected: it sends no data")
			}
			if mayRetry && p.budget(a.req.service).Retry(now) {
				a.req.retryCharged.Store(true)
				cancel(errSilent)
				return
			}
		}
	}()
}

// lastByteAt returns when the server last sent a byte to any request of this instance,
// or when this attempt was sent if that was later.
func (a *attemptState) lastByteAt() time.Time {
	if lastByte := time.Unix(0, a.lastByte.Load()); lastByte.After(a.sentAt) {
		return lastByte
	}
	return a.sentAt
}

// lastByteOf returns the Unix time in ns at which a server last sent a byte.
func (p *Proxy) lastByteOf(server string) *atomic.Int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	nanos := p.lastByteNanos[server]
	if nanos == nil {
		nanos = &atomic.Int64{}
		p.lastByteNanos[server] = nanos
	}
	return nanos
}

// requestEnded reports whether a request has ended for a reason other than a silent
// server.
func requestEnded(ctx context.Context) bool {
	return ctx.Err() != nil && !errors.Is(context.Cause(ctx), errSilent)
}
