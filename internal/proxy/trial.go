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

// work counts this instance's outstanding requests at a server.
func (p *Proxy) work(change coord.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.loads[change.Server]
	if l == nil {
		l = &coord.Load{Server: change.Server}
		p.loads[change.Server] = l
	}
	l.Running += change.Running
	l.Waiting += change.Waiting
	l.Tokens += change.Tokens
}

// trial is one attempt at one server.
type trial struct {
	x       *run
	server  roster.Server
	choice  route.Choice
	sent    time.Time
	waiting bool // no first byte yet
	failed  bool
	// unreached means that the server did not take the connection.
	unreached bool
	status    int
	took      time.Duration // to the first byte
	err       error
	last      time.Time     // of the last events passed on
	pause     time.Duration // longest between events
	heard     *atomic.Int64 // when the server last gave a byte to any request, ns since 1970
}

// report is one attempt in the log: the server, what was known of it when it was
// chosen, and what came of it.
type report struct {
	Server     string `json:"server"`
	ExpectedMs int64  `json:"expectedMs"` // to the first byte
	FirstMs    int64  `json:"firstMs"`    // 0 without one
	TookMs     int64  `json:"tookMs"`
	PauseMs    int64  `json:"pauseMs,omitempty"`
	Cached     int    `json:"cached,omitempty"`  // prompt tokens expected in its cache
	Fetched    int    `json:"fetched,omitempty"` // prompt tokens to fetch from another server
	Status     int    `json:"status,omitempty"`
	Error      string `json:"error,omitempty"`
}

// first records that the answer has begun.
func (t *trial) first(status int) {
	p, now := t.x.p, t.x.p.cfg.Clock()
	t.heard.Store(now.UnixNano())
	if !t.waiting {
		return
	}
	t.waiting, t.status, t.took = false, status, now.Sub(t.sent)
	p.work(coord.Load{Server: t.server.ID, Waiting: -1, Tokens: -t.choice.Cost.UncachedTokens})
	if shared := len(t.x.parts) - 1; shared > 0 {
		p.noteHeld(t.server.ID, t.x.parts[:shared], now)
	}
	if status < http.StatusInternalServerError {
		p.table.FirstToken(t.choice, t.took, now)
	}
	t.x.countBegun(now)
}

// countBegun counts the request once in the usage of its organisation.
func (x *run) countBegun(now time.Time) {
	if x.counted {
		return
	}
	x.counted = true
	if x.org == nil {
		return
	}
	p := x.p
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.windowOf(now)
	if p.windows[n] == nil {
		p.windows[n] = map[string]float64{}
	}
	p.windows[n][x.org.Name]++
}

// lost reports whether the connection ended after the request was sent and before
// the first byte. Servers that crash or lose their answers end it so, and most had
// begun the request; one that is never answered may still wait in the server's queue.
func (t *trial) lost() bool {
	return t.waiting && t.err != nil && backnd.OutcomeOf(t.err) == backnd.Unknown &&
		!errors.Is(t.err, context.DeadlineExceeded) && !errors.Is(t.err, context.Canceled)
}

// end records the result of the attempt.
func (t *trial) end() {
	p, now := t.x.p, t.x.p.cfg.Clock()
	line := report{
		Server: t.server.ID, ExpectedMs: t.choice.Expected.Milliseconds(), FirstMs: t.took.Milliseconds(),
		TookMs: now.Sub(t.sent).Milliseconds(), PauseMs: t.pause.Milliseconds(), Cached: t.choice.CachedTokens,
		Fetched: t.choice.FetchTokens, Status: t.status,
	}
	outcome := "answered"
	if t.err != nil {
		line.Error = t.err.Error()
		outcome = backnd.OutcomeOf(t.err).String()
	}
	t.x.trials = append(t.x.trials, line)
	p.meters.attempt(t, outcome)
	if t.lost() {
		t.x.countBegun(now)
	}
	change := coord.Load{Server: t.server.ID, Running: -1}
	if t.waiting {
		change.Waiting, change.Tokens = -1, -t.choice.Cost.UncachedTokens
	}
	p.work(change)
	p.table.Ended(t.server.ID, route.Result{Cost: t.choice.Cost, Failed: t.failed, Unreached: t.unreached, Took: now.Sub(t.sent)}, now)
	p.judged(t, now)
}
