package proxy

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"cranberrypath.example/cranberrypath/internal/backnd"
	"cranberrypath.example/cranberrypath/internal/coord"
	"cranberrypath.example/cranberrypath/internal/roster"
	"cranberrypath.example/cranberrypath/internal/route"
)

// addLoad adds change to this instance's outstanding work on a server.
func (p *Proxy) addLoad(change coord.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.loads[change.Server]
	if l == nil {
		l = &coord.Load{Server: change.Server}
		p.loads[change.Server] = l
	}
	l.Running += change.Running
	l.Waiting += change.Waiting
	l.WaitingTokens += change.WaitingTokens
}

// attemptState is the state of one send of a request to one server.
type attemptState struct {
	req               *inflight
	server            roster.Server
	choice            route.Choice
	sentAt            time.Time
	awaitingFirstByte bool // no response byte has arrived
	failed            bool
	// connectFailed means that the server did not accept the connection.
	connectFailed   bool
	status          int
	timeToFirstByte time.Duration // 0 without a response
	err             error
	completed       bool          // the response is complete and reports no failure
	lastEventAt     time.Time     // when events last arrived
	maxEventGap     time.Duration // longest time between events
	lastByte        *atomic.Int64 // when the server last sent a byte to any request, Unix time in ns
}

// attemptLog is the log record of one attempt: the server, the estimates with which it
// was picked, and the result.
type attemptLog struct {
	Server     string `json:"server"`
	ExpectedMs int64  `json:"expectedMs"` // estimated time to the first byte
	FirstMs    int64  `json:"firstMs"`    // time to the first byte; 0 without a response
	TookMs     int64  `json:"tookMs"`
	PauseMs    int64  `json:"pauseMs,omitempty"`
	Cached     int    `json:"cached,omitempty"`  // prompt tokens expected in the server's cache
	Fetched    int    `json:"fetched,omitempty"` // prompt tokens to fetch from another server
	Status     int    `json:"status,omitempty"`
	Error      string `json:"error,omitempty"`
	// Why is set for servers that state their pace.
	Why *choiceLog `json:"why,omitempty"`
}

// recordFirstByte records that the server sent data. Only the first call of an attempt
// updates the load, the estimates and the usage.
func (a *attemptState) recordFirstByte(status int) {
	p, now := a.req.p, a.req.p.cfg.Clock()
	a.lastByte.Store(now.UnixNano())
	if !a.awaitingFirstByte {
		return
	}
	a.awaitingFirstByte, a.status, a.timeToFirstByte = false, status, now.Sub(a.sentAt)
	p.addLoad(coord.Load{Server: a.server.ID, Waiting: -1, WaitingTokens: -a.choice.Cost.UncachedTokens})
	a.req.countStarted(a.choice, a.timeToFirstByte)
	if shared := len(a.req.parts) - 1; shared > 0 {
		p.queuePrefixReport(a.server.ID, a.req.parts[:shared], now)
	}
	if status < http.StatusInternalServerError {
		p.metrics.recordKind(a, now)
		p.table.FirstToken(a.choice, a.timeToFirstByte, now)
	}
	a.req.countUsage(now)
}

// countUsage adds the request to its organisation's usage, once.
func (f *inflight) countUsage(now time.Time) {
	if f.usageCounted {
		return
	}
	f.usageCounted = true
	if f.org == nil {
		return
	}
	p := f.p
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.usageWindow(now)
	if p.usageWindows[n] == nil {
		p.usageWindows[n] = map[string]float64{}
	}
	p.usageWindows[n][f.org.Name]++
}

// connectionLost reports whether the connection ended after the request was sent and
// before the first byte. This happens when a server crashes or loses its response, and
// most such servers had started the request. A request that times out without a response
// may still be in the server's queue.
func (a *attemptState) connectionLost() bool {
	return a.awaitingFirstByte && a.err != nil && backnd.OutcomeOf(a.err) == backnd.Unknown &&
		!errors.Is(a.err, context.DeadlineExceeded) && !errors.Is(a.err, context.Canceled)
}

// finish records the result of the attempt and releases its load.
func (a *attemptState) finish() {
	p, now := a.req.p, a.req.p.cfg.Clock()
	entry := attemptLog{
		Server: a.server.ID, ExpectedMs: a.choice.Expected.Milliseconds(), FirstMs: a.timeToFirstByte.Milliseconds(),
		TookMs: now.Sub(a.sentAt).Milliseconds(), PauseMs: a.maxEventGap.Milliseconds(), Cached: a.choice.CachedTokens,
		Fetched: a.choice.FetchTokens, Status: a.status, Why: newChoiceLog(a.choice.Reason),
	}
	outcome := "answered"
	if a.err != nil {
		entry.Error = a.err.Error()
		outcome = backnd.OutcomeOf(a.err).String()
	}
	a.req.attemptLogs = append(a.req.attemptLogs, entry)
	p.metrics.recordAttempt(a, outcome)
	if a.connectionLost() {
		a.req.countUsage(now)
	}
	change := coord.Load{Server: a.server.ID, Running: -1}
	if a.awaitingFirstByte {
		change.Waiting, change.WaitingTokens = -1, -a.choice.Cost.UncachedTokens
	}
	p.addLoad(change)
	p.table.Ended(a.server.ID, route.Result{Cost: a.choice.Cost, Failed: a.failed, ConnectFailed: a.connectFailed, Duration: now.Sub(a.sentAt)}, now)
	p.recordVersionResult(a, now)
	switch {
	case a.completed:
		p.recordRunTime(a.req.route.Name, now.Sub(a.sentAt))
		p.cfg.Blame.Completed(a.req.blameKeys, now)
	case a.connectionBroke():
		p.recordBreak(a, now)
	}
}
