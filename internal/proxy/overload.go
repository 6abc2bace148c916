package proxy

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cranberrypath.example/cranberrypath/internal/admit"
	"cranberrypath.example/cranberrypath/internal/route"
)

// overload is what the request path knows for the admission of requests under overload.
type overload struct {
	mu      sync.Mutex
	demands admit.Demands // since the last report
	shares  admit.Shares
}

// TakeDemands returns the demand since the last call. Demand of a report that is lost is not
// reported again: it is a rate, which would look like a burst.
func (p *Proxy) TakeDemands() admit.Demands {
	o := p.overload
	o.mu.Lock()
	defer o.mu.Unlock()
	d := o.demands
	o.demands = nil
	return d
}

// SetShares replaces the shares of services under load.
func (p *Proxy) SetShares(s admit.Shares) {
	o := p.overload
	o.mu.Lock()
	defer o.mu.Unlock()
	o.shares = o.shares.Updated(s)
}

// limitsOverload reports whether requests like this one are refused under overload. The time
// that a request takes without queueing is known only for prompts of known length.
func (f *inflight) limitsOverload() bool {
	return f.r.HasTokens && f.p.cfg.StatesPace(f.service)
}

// admitted decides whether the request is sent to a server, unless it may have run already.
func (f *inflight) admitted(query route.Query, now time.Time) bool {
	if f.possibleRuns > 0 || f.headerSent || !f.limitsOverload() {
		return true
	}
	forecast, ok := f.p.table.Forecast(query, now)
	if !ok {
		return true
	}
	f.own = forecast.FirstByte - forecast.Queueing
	o := f.p.overload
	o.mu.Lock()
	if !f.offered {
		f.offered, f.kind = true, f.newKind(forecast.UncachedTokens)
		o.demands = o.demands.WithOffered(f.service, f.kind, admit.Work(1, forecast.UncachedTokens))
	}
	shares := o.shares
	o.mu.Unlock()
	// A resumed stream has had its first byte.
	if f.route.LatencyTarget <= 0 || f.r.LastEventID != "" {
		return true
	}
	q := admit.Query{
		Service: f.service, Kind: f.kind, Left: f.r.Arrived.Add(f.route.LatencyTarget).Sub(now),
		// The Retry-After time has jitter of up to minRetryAfter.
		MaxWait: max(f.deadline.Sub(now)/3-minRetryAfter, 0),
		Outlook: admit.Outlook{
			Queueing: forecast.Queueing, Rest: f.own,
			Running: forecast.Running, Waiting: forecast.Waiting, Slots: forecast.Slots,
		},
	}
	if q.Outlook.Busy() {
		q.Hash = f.turnHash()
	}
	f.decision = shares.Decide(q, now)
	if f.decision.Admitted() {
		return true
	}
	f.p.metrics.recordOverload(f.service, f.kind.Organisation, f.decision.Reason.String())
	return false
}

func (f *inflight) newKind(uncachedTokens int) admit.Kind {
	return admit.NewKind(f.organisation(), f.priority(), admit.Work(1, uncachedTokens))
}

// organisation returns the name of the request's organisation, or "".
func (f *inflight) organisation() string {
	if f.org == nil {
		return ""
	}
	return f.org.Name
}

// turnHash returns the hash that determines the turn of the request.
func (f *inflight) turnHash() uint64 {
	specific := xxhash.Sum64String(f.organisation())
	if n := len(f.parts); n > 0 {
		return mix(f.parts[n-1].Hash, specific)
	}
	return mix(xxhash.Sum64(f.r.Body), specific)
}

// countAdmitted counts a request that is sent for the first time.
func (f *inflight) countAdmitted(c route.Choice) {
	if f.sends > 1 || !f.offered {
		return
	}
	o := f.p.overload
	o.mu.Lock()
	defer o.mu.Unlock()
	o.demands = o.demands.WithAdmitted(f.service, f.kind, admit.Work(1, c.Cost.UncachedTokens))
}

// countStarted counts a request whose response has started.
func (f *inflight) countStarted(c route.Choice, first time.Duration) {
	if !f.offered {
		return
	}
	s := admit.Start{Work: admit.Work(1, c.Cost.UncachedTokens), First: first, Own: f.own, Target: f.route.LatencyTarget}
	if f.r.LastEventID != "" {
		s.Target = 0
	}
	o := f.p.overload
	o.mu.Lock()
	defer o.mu.Unlock()
	o.demands = o.demands.WithStarted(f.service, f.kind, s)
}
