// Package proxy forwards opaque requests from callers to backend servers. It
// authorises each request, picks a server, handles rejections and lost servers,
// and decides when to return a final error to the caller. Message formats are the
// responsibility of the adapter that calls this package.
//
// Whether a request may be retried depends on the outcome of the previous attempt:
// a request that certainly did not run may always be sent to another server, and a
// request that may have run only if its route is repeatable.
package proxy

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/zeebo/errs"
	"go.opentelemetry.io/otel/metric"

	"cranberrypath.example/cranberrypath/internal/backnd"
	"cranberrypath.example/cranberrypath/internal/blame"
	"cranberrypath.example/cranberrypath/internal/buffer"
	"cranberrypath.example/cranberrypath/internal/coord"
	"cranberrypath.example/cranberrypath/internal/judge"
	"cranberrypath.example/cranberrypath/internal/limit"
	"cranberrypath.example/cranberrypath/internal/quota"
	"cranberrypath.example/cranberrypath/internal/roster"
	"cranberrypath.example/cranberrypath/internal/route"
	"cranberrypath.example/cranberrypath/internal/routes"
	"cranberrypath.example/cranberrypath/internal/world"
)

// Error is the class of this package's errors.
var Error = errs.Class("proxy")

// Cause is the reason why a request got no response from a backend server.
type Cause uint8

// The causes of refusals. With causes up to NoTime the request certainly did not run.
const (
	NoConfig       Cause = iota // no configuration is known yet
	NoRoute                     // no route matches
	NoKey                       // the API key is unknown or missing
	StaleConfig                 // no route matches or the key is unknown, but the configuration may not be the newest
	OverQuota                   // the organisation exceeds its rate limit
	NoServer                    // no server can run the request
	Full                        // all servers tried rejected the request
	HeldOff                     // each server wants no requests, or no more, from this instance for some time
	CrashesServers              // it has something in common with requests that crash servers
	Stopping                    // this instance stops before the request may complete
	Overloaded                  // the service has more work than it can do in time
	NoTime                      // the deadline expired before a server started the request
	TimedOut                    // the deadline expired while a server may have run the request
	Lost                        // a server may have run the request, but its response was lost
)

// String returns the reason code used in logs and metrics.
func (c Cause) String() string {
	return [...]string{"noConfig", "noRoute", "noKey", "staleConfig", "overQuota", "noServer", "full", "heldOff", "crashesServers", "stopping", "overloaded", "noTime", "timedOut", "lost"}[c]
}

// Refusal is the final error of a request that got no response from a backend server.
type Refusal struct {
	Cause      Cause
	RetryAfter time.Duration // 0 if a retry by the caller is pointless
}

func (r *Refusal) Error() string { return "proxy: " + r.Cause.String() }

// ErrTruncated means that the response has been started and cannot be completed. The
// caller's connection must be closed, so that the response does not look complete.
var ErrTruncated = Error.New("the response was truncated")

// Config configures a Proxy.
type Config struct {
	DataCentre string
	Sender     Sender
	Quota      *quota.Buckets
	Retry      RetryLimit
	// PrefillPerToken is the assumed prefill time per prompt token until servers report theirs.
	PrefillPerToken time.Duration
	// UsageWindow is the length of the windows in which started requests are counted.
	UsageWindow time.Duration
	Clock       func() time.Time
	// ConfigAge returns the time since a leader confirmed that the configuration is the
	// newest; nil means that it always is.
	ConfigAge func(now time.Time) time.Duration
	// MaxConfigAge is the ConfigAge up to which a request may be refused for good because the
	// configuration doesn't allow it; 0 means any.
	MaxConfigAge time.Duration
	Log          log.Interface
	Seed         uint64
	Meter        metric.Meter // nil for none
	// Accepts reports whether a server accepts a new connection. After a broken connection it
	// tells a server that has crashed from one that has not; nil means that none has.
	Accepts func(ctx context.Context, s roster.Server) bool
	// Blame finds out which requests crash servers.
	Blame *blame.Ledger
	// CrashRecorded is called after a server crashed under a request; nil does nothing.
	CrashRecorded func()
	// Buffers bounds the memory of the responses in flight together; nil means no limit.
	Buffers *buffer.Pool
	// VersionResults receives the results of requests to services with a rollout in progress.
	VersionResults *judge.Recorder
	// ServerLeaves is called with a server that says that it leaves, in its response to a
	// request sent at the given time. SetServers has been called when it returns.
	ServerLeaves func(s roster.Server, sent time.Time)
	// ServerLimit is called with the rate limit that a server names in its response to a
	// request sent at the given time, or the lack of one. Nil ignores limits.
	ServerLimit func(s roster.Server, l roster.Limit, sent time.Time)
	// Part returns this instance's part of the rate that a server with a limit accepts, in
	// requests a second.
	Part func(s roster.Server) float64
	// ServerCold is called with a server that says in its response to a request for how long it
	// is cold; nil ignores it.
	ServerCold func(s roster.Server, coldFor time.Duration)
	// ColdPart returns this instance's part of the rate that a cold server tolerates, in
	// requests a second. Nil treats cold servers like others.
	ColdPart func(s roster.Server, rate float64) float64
	// ColdPartsValid reports whether this instance may use these parts; nil means always.
	ColdPartsValid func(now time.Time) bool
	// StatesPace reports whether the servers of a service state their pace. Only requests to
	// such services are refused because of overload; nil means as their responses say.
	StatesPace func(service string) bool
}

// RetryLimit bounds the retries sent to one service by all instances together.
type RetryLimit struct {
	Window time.Duration
	Share  float64 // of retries among the requests
	Slack  float64 // additional retries per window, for all instances together
}

// Proxy is the request path of one instance. It is safe for concurrent use.
type Proxy struct {
	cfg      Config
	table    *route.Table
	metrics  *requestMetrics
	stopping *stopping
	overload *overload

	routing    atomic.Pointer[routes.Config]
	configured chan struct{} // closed when the first configuration arrives

	mu               sync.Mutex
	rng              *rand.Rand
	budgets          map[string]*limit.Budget // by service
	instances        int
	servers          map[string]roster.Server
	lastByteNanos    map[string]*atomic.Int64 // when each server last sent a byte, Unix time in ns
	loads            map[string]*coord.Load   // this instance's outstanding work, by server
	paces            map[string]coord.Pace    // stated by servers since the last report
	rollouts         map[string]coord.Rollout
	places           Places
	usageWindows     map[int64]map[string]float64
	runTimes         map[string]runTimes     // by route
	configuredAt     time.Time               // when the first configuration arrived
	prefixReportedAt map[prefixKey]time.Time // when each prefix was last reported
	prefixReports    []coord.CachedPrefix    // queued for the next report
	broken           []brokenAttempt         // at servers that may have crashed, in order of time

	serversMu sync.Mutex         // held while holdOffs or the servers in table change
	holdOffs  map[string]holdOff // by server
	listed    []roster.Server    // as of the last SetServers
}

// New returns a proxy without configuration and servers. It fails only if the
// metrics cannot be created.
func New(cfg Config) (*Proxy, error) {
	if cfg.ConfigAge == nil {
		cfg.ConfigAge = func(time.Time) time.Duration { return 0 }
	}
	if cfg.Blame == nil {
		cfg.Blame = blame.New("")
	}
	m, err := newRequestMetrics(cfg.Meter)
	if err != nil {
		return nil, err
	}
	p := &Proxy{
		cfg: cfg, metrics: m, table: route.New(route.Config{Seed: cfg.Seed, PrefillPerToken: cfg.PrefillPerToken, PartsValid: cfg.ColdPartsValid}),
		configured: make(chan struct{}), stopping: newStopping(), overload: &overload{}, runTimes: map[string]runTimes{},
		rng: rand.New(rand.NewPCG(cfg.Seed, 1)), budgets: map[string]*limit.Budget{}, instances: 1,
		servers: map[string]roster.Server{}, lastByteNanos: map[string]*atomic.Int64{}, loads: map[string]*coord.Load{}, paces: map[string]coord.Pace{}, rollouts: map[string]coord.Rollout{},
		holdOffs: map[string]holdOff{}, usageWindows: map[int64]map[string]float64{}, prefixReportedAt: map[prefixKey]time.Time{},
	}
	if cfg.StatesPace == nil {
		p.cfg.StatesPace = p.table.StatesPace
	}
	return p, nil
}

// SetConfig activates a configuration. Requests see it only after the servers are limited as
// it demands: those waiting for the first one would exceed the rates of cold servers.
func (p *Proxy) SetConfig(c *routes.Config, now time.Time) {
	p.forgetRunTimes(c)
	p.serversMu.Lock()
	defer p.serversMu.Unlock()
	p.setServers(c, now)
	if p.routing.Swap(c) == nil {
		p.mu.Lock()
		p.configuredAt = now
		p.mu.Unlock()
		close(p.configured)
	}
}

// Config returns the active configuration, or nil before the first SetConfig.
func (p *Proxy) Config() *routes.Config { return p.routing.Load() }

// StatesPace reports whether the servers of a service state their pace.
func (p *Proxy) StatesPace(service string) bool { return p.cfg.StatesPace(service) }

// SetServers replaces the set of servers. Ready servers get new requests; other
// servers may fetch cached prompts from leaving servers.
func (p *Proxy) SetServers(servers []roster.Server, now time.Time) {
	p.serversMu.Lock()
	defer p.serversMu.Unlock()
	p.listed = servers
	p.setServers(p.Config(), now)
}

// setServers updates the route table to the listed servers and a configuration, which may be
// nil. serversMu must be held.
func (p *Proxy) setServers(cfg *routes.Config, now time.Time) {
	servers := p.listed
	p.pruneHoldOffs(now)
	p.mu.Lock()
	rollouts, places := p.rollouts, p.places
	p.servers = make(map[string]roster.Server, len(servers))
	for _, s := range servers {
		p.servers[s.ID] = s
	}
	for id := range p.lastByteNanos {
		if _, ok := p.servers[id]; !ok {
			delete(p.lastByteNanos, id)
		}
	}
	crashed := p.restarted(now)
	p.mu.Unlock()
	p.recordRestarts(crashed, now)
	backends := make([]world.Backend, 0, len(servers))
	for _, s := range servers {
		b := world.Backend{
			ID: s.ID, Incarnation: uint64(s.Incarnation), Address: s.Address, Service: s.Service,
			DataCentre:  s.DataCentre,
			Reclaimable: s.Reclaimable, Price: 1, Slots: s.Slots, State: s.State, LeaveBy: s.LeaveBy, AcceptsFrom: p.acceptsFrom(s),
			Evacuated: places.evacuated(s.DataCentre), Region: places.Regions[s.DataCentre],
		}
		if s.Limit.Named && p.cfg.Part != nil {
			b.RateLimited, b.Rate = true, p.cfg.Part(s)
		}
		var last *coord.Rollout
		if r, ok := rollouts[s.Service]; ok {
			last = &r
		}
		if g := groupOf(s, last); g != "" {
			b.Versions = []string{g}
		}
		if cfg != nil {
			svc := cfg.Service(s.Service)
			if svc != nil && svc.Engine != nil {
				b.CacheBlocks = svc.Engine.MemoryTokens / blockTokens
			}
			if svc != nil && svc.ColdRate > 0 && s.Cold(now) && p.cfg.ColdPart != nil {
				b.Cold, b.ColdRate = true, p.cfg.ColdPart(s, svc.ColdRate)
			}
		}
		backends = append(backends, b)
	}
	p.table.SetBackends(backends, now)
}

// OtherVersions is the version name in VersionResults that stands for all accepted
// versions of a service other than the rollout's target.
const OtherVersions = "earlier"

// recordVersionResult records the result of an attempt if its service has a running rollout.
func (p *Proxy) recordVersionResult(t *attemptState, now time.Time) {
	p.mu.Lock()
	r, ok := p.rollouts[t.server.Service]
	ok = ok && !p.places.evacuated(t.server.DataCentre) // what operators do there is no fault of the version
	running := 0
	if l := p.loads[t.server.ID]; l != nil {
		running = l.Running
	}
	p.mu.Unlock()
	if !ok || !r.Judges() || p.cfg.VersionResults == nil || t.status == 0 && !t.failed {
		return
	}
	version := OtherVersions
	switch groupOf(t.server, &r) {
	case targetGroup + r.Target:
		version = r.Target
	case acceptedGroup:
	default:
		return // no measure for the target
	}
	res := judge.Result{
		Service: t.server.Service, Version: version, Route: t.req.route.Name, Server: t.server.ID, Failed: t.failed,
		TimeToFirstToken: t.timeToFirstByte, Tokens: t.req.r.MaxOutputTokens, Load: float64(running) / float64(max(t.server.Slots, 1)),
	}
	p.cfg.VersionResults.Add(res, now)
}

// SetRollouts replaces the rollouts that determine which version a request is sent to.
func (p *Proxy) SetRollouts(all []coord.Rollout) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rollouts = map[string]coord.Rollout{}
	for _, r := range all {
		p.rollouts[r.Service] = r
	}
}

// SetLoads updates the outstanding work of all instances, as of the time at which
// this instance reported its own.
func (p *Proxy) SetLoads(all []coord.Load, at time.Time) {
	byServer := make(map[string]coord.Load, len(all))
	for _, l := range all {
		byServer[l.Server] = l
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.servers {
		l := byServer[id]
		load := world.Load{Running: l.Running, Unstarted: l.Waiting, WaitingTokens: l.WaitingTokens, PrefillPerToken: p.cfg.PrefillPerToken, MeasuredAt: at}
		if own := p.loads[id]; own != nil {
			// The route table already accounts for this instance's own prefills.
			load.WaitingTokens = max(load.WaitingTokens-own.WaitingTokens, 0)
		}
		p.table.Report(id, load, at)
		p.table.ObservePace(id, l.Pace.Factor, l.Pace.At)
	}
}

// SetInstances sets the number of instances that accept requests. Limits for all
// instances together are divided among them.
func (p *Proxy) SetInstances(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = max(n, 1)
	for _, b := range p.budgets {
		b.SetExtra(p.cfg.Retry.Slack / float64(p.instances))
	}
}

func (p *Proxy) budget(service string) *limit.Budget {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.budgets[service]
	if b == nil {
		b = limit.NewBudget(limit.BudgetConfig{
			Window: p.cfg.Retry.Window, RetryRatio: p.cfg.Retry.Share, ExtraRetries: p.cfg.Retry.Slack / float64(p.instances),
		})
		p.budgets[service] = b
	}
	return b
}

// reportedWindows is the number of recent usage windows in a report. The leader
// needs the counts of a window a few seconds after its end.
const reportedWindows = 4

// UsageWindows returns the number of requests started in each recent window.
func (p *Proxy) UsageWindows(now time.Time) []coord.Window {
	p.mu.Lock()
	defer p.mu.Unlock()
	oldest := p.usageWindow(now) - reportedWindows
	var out []coord.Window
	for n, counts := range p.usageWindows {
		if n < oldest {
			delete(p.usageWindows, n)
			continue
		}
		totals := make(map[string]float64, len(counts))
		for name, c := range counts {
			totals[name] = c
		}
		out = append(out, coord.Window{Number: n, Counts: totals})
	}
	return out
}

func (p *Proxy) usageWindow(now time.Time) int64 {
	return now.UnixMilli() / max(p.cfg.UsageWindow.Milliseconds(), 1)
}

// Serve handles one request. It returns nil if the caller got a complete response,
// a *Refusal if nothing was written to w, or ErrTruncated. The context ends when
// the caller disconnects.
func (p *Proxy) Serve(ctx context.Context, w http.ResponseWriter, r *Request) error {
	f := &inflight{p: p, r: r, w: w}
	err := f.serve(ctx)
	outcome, reason := "answered", "answered"
	var refusal *Refusal
	switch {
	case err == nil:
	case ctx.Err() != nil:
		outcome, reason = "left", "callerLeft"
	case errors.As(err, &refusal):
		outcome, reason = "refused", refusal.Cause.String()
		if refusal.Cause >= TimedOut {
			outcome = "failed"
		}
	default:
		outcome, reason = "broken", "streamLost"
	}
	f.recordEnd(outcome, reason, p.cfg.Clock())
	return err
}

// recordEnd writes the log entry and the metrics of a request.
func (f *inflight) recordEnd(outcome, reason string, now time.Time) {
	fields := log.Fields{
		"event": "request.ended", "outcome": outcome, "reason": reason, "request": f.r.ID,
		"tookMs": now.Sub(f.r.Arrived).Milliseconds(), "runs": f.possibleRuns, "sends": f.sends,
	}
	name := ""
	if f.cfg != nil {
		fields["config"] = f.cfg.Version
	}
	if f.refusedByConfig {
		fields["configAgeMs"] = f.configAge.Milliseconds()
	}
	if f.route != nil {
		name = f.route.Name
		fields["route"], fields["service"] = name, f.service
		if regions := f.route.RegionsFor(f.org); regions != nil {
			fields["regions"] = regions
		}
	}
	if f.org != nil {
		fields["organisation"], fields["cost"], fields["level"] = f.org.Name, f.cost(), int(f.p.cfg.Quota.Level(f.org.Name, now))
	}
	if len(f.attemptLogs) > 0 {
		fields["tried"] = f.attemptLogs
	}
	if !f.decision.Admitted() {
		fields["admission"], fields["fraction"] = f.decision.Reason.String(), f.decision.Fraction
		fields["queueingMs"], fields["sharesAgeMs"] = f.decision.Queueing.Milliseconds(), f.decision.Age.Milliseconds()
	}
	if f.blamedFor != 0 {
		fields["key"] = hexKeys([]blame.Key{f.blamedFor})[0]
	}
	if f.lastErr != nil {
		fields["error"] = f.lastErr.Error()
	}
	f.p.metrics.recordRequest(name, outcome, reason, now.Sub(f.r.Arrived))
	logger := f.p.cfg.Log.WithFields(fields)
	if outcome == "failed" || outcome == "broken" {
		logger.Warn("request ended without a complete response")
		return
	}
	logger.Info("request ended")
}

// notRun reports whether a failed attempt certainly did not run.
func notRun(err error) bool { return backnd.OutcomeOf(err) == backnd.NotRun }
