package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"cranberrypath.example/cranberrypath/internal/admit"
	"cranberrypath.example/cranberrypath/internal/backnd"
	"cranberrypath.example/cranberrypath/internal/blame"
	"cranberrypath.example/cranberrypath/internal/buffer"
	"cranberrypath.example/cranberrypath/internal/coord"
	"cranberrypath.example/cranberrypath/internal/roster"
	"cranberrypath.example/cranberrypath/internal/route"
	"cranberrypath.example/cranberrypath/internal/routes"
	"cranberrypath.example/cranberrypath/internal/world"
)

const (
	// maxSends bounds how often one request is sent when servers reject it: enough to
	// skip a few full servers, without trying every server of a full service.
	maxSends = 4
	// maxBufferedBytes is the largest response that is buffered whole before the caller
	// gets its first byte, so that a truncated response can be retried.
	maxBufferedBytes = 256 << 10
	// deadlineMargin is subtracted from a request's deadline, so that a final error still
	// reaches the caller in time.
	deadlineMargin = 20 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the Retry-After time. A report takes about
	// as long to reach all instances, and callers wait at most a third of their timeout.
	// A random jitter of up to minRetryAfter is added.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Second
	// maxLookupTokens is the largest prompt of the lookup class. Longer prompts belong to
	// the review class, which the route table routes separately.
	maxLookupTokens = 2048
	// maxRoutedTokens bounds the tokens that a request adds to the estimates of the route
	// table, whatever its caller declares.
	maxRoutedTokens = 1 << 20
)

// inflight is the state of one request in flight.
type inflight struct {
	p        *Proxy
	r        *Request
	w        http.ResponseWriter
	cfg      *routes.Config
	route    *routes.Route
	service  string
	org      *routes.Organisation
	deadline time.Time // the earlier of the caller's and the route's

	refusedByConfig bool          // the configuration has no such route or key
	configAge       time.Duration // when it was refused; see Config.ConfigAge

	blameKeys    []blame.Key
	blamedFor    blame.Key    // the key for which the request was refused; 0 for none
	parts        []coord.Part // the last part is specific to this request
	prefixBlocks []uint64

	sends        int
	delivered    int          // sends that reached a server, whether run or rejected
	possibleRuns int          // sends after which the server may have run the request
	triedServers []string     // IDs of the servers the request was sent to
	attemptLogs  []attemptLog // result of each attempt, for the log
	lastErr      error

	headerSent   bool        // the response header was written to the caller
	lastEventID  string      // of the last event written to the caller
	usageCounted bool        // the request is counted in its organisation's usage
	retryCharged atomic.Bool // the next send is already charged to the retry budget

	offered  bool           // the request is counted in the demand
	kind     admit.Kind     // set with offered
	own      time.Duration  // expected time to the first byte without queueing
	decision admit.Decision // whether it was admitted
}

func (f *inflight) serve(ctx context.Context) error {
	f.p.awaitConfig(ctx, startupWait(f.r.CallerTimeout))
	now := f.p.cfg.Clock()
	if err := f.admit(ctx, now); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, f.deadline)
	defer cancel()
	defer context.AfterFunc(f.p.Stopped(), cancel)()
	return f.sendWithRetries(ctx)
}

// startupWait returns how long a request waits for the first configuration or server
// of a freshly started instance. Rejected callers retry once, after at most a third of
// their timeout, so a longer wait would delay them more than a rejection.
func startupWait(callerTimeout time.Duration) time.Duration { return callerTimeout / 3 }

// awaitConfig waits at most d for the first configuration.
func (p *Proxy) awaitConfig(ctx context.Context, d time.Duration) {
	if p.Config() != nil || d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-p.configured:
	case <-t.C:
	case <-ctx.Done():
	}
}

const (
	// discoveryTime is how long after its first configuration an instance may not know
	// all backend servers yet; servers announce themselves about once a second.
	discoveryTime = 3 * time.Second
	// serverPollInterval is the time between two checks for an available server.
	serverPollInterval = 25 * time.Millisecond
)

// starting reports whether this instance may not know all backend servers yet.
func (p *Proxy) starting(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.configuredAt) < discoveryTime
}

// awaitServer sleeps for serverPollInterval. It returns false if the request has
// already waited for startupWait, or if ctx is done.
func (f *inflight) awaitServer(ctx context.Context) bool {
	if f.p.cfg.Clock().Sub(f.r.Arrived) >= startupWait(f.r.CallerTimeout) {
		return false
	}
	return sleep(ctx, serverPollInterval)
}

// sleep returns after d, or false as soon as ctx is done.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// admit matches the request to its route and organisation, charges the quota and
// returns a *Refusal if the request may not be served.
func (f *inflight) admit(ctx context.Context, now time.Time) error {
	if f.cfg = f.p.Config(); f.cfg == nil {
		return &Refusal{Cause: NoConfig, RetryAfter: maxRetryAfter}
	}
	if f.route = f.cfg.Match(f.r.Host, f.r.Path); f.route == nil {
		return f.refuseByConfig(ctx, NoRoute, now)
	}
	f.org = f.cfg.Organisation(f.r.Key)
	// An anonymous route serves requests without a key, not those with an unknown one.
	if f.org == nil && f.cfg.HasOrganisations() && (f.r.HasKey || !f.route.Anonymous) {
		return f.refuseByConfig(ctx, NoKey, now)
	}
	timeout := f.route.Timeout
	if f.r.CallerTimeout > 0 {
		timeout = min(timeout, f.r.CallerTimeout)
	}
	f.deadline = f.r.Arrived.Add(timeout - deadlineMargin)
	f.p.mu.Lock()
	f.service = f.route.Pick(f.p.rng)
	f.p.mu.Unlock()
	svc := f.cfg.Service(f.service)
	if svc.Engine != nil && svc.Engine.MemoryTokens > 0 && f.r.PromptTokens+f.r.MaxOutputTokens > svc.Engine.MemoryTokens {
		return &Refusal{Cause: NoServer}
	}
	f.blameKeys = f.newBlameKeys()
	if f.isBlamed(now) {
		return &Refusal{Cause: CrashesServers, RetryAfter: blamedRetryAfter}
	}
	f.parts = chainHashes(f.r.Parts)
	f.prefixBlocks = blocks(f.parts)
	f.lastEventID = f.r.LastEventID
	if f.org != nil {
		if ok, wait := f.p.cfg.Quota.Admit(ctx, f.org.Name, f.cost(), now); !ok {
			return &Refusal{Cause: OverQuota, RetryAfter: max(wait, minRetryAfter) + f.retryJitter()}
		}
	}
	f.p.budget(f.service).Request(now)
	return nil
}

// refuseByConfig refuses a request that the configuration does not allow. If no leader has
// confirmed the configuration lately, a newer one may allow it, so the caller may try again.
func (f *inflight) refuseByConfig(ctx context.Context, cause Cause, now time.Time) error {
	age := f.p.cfg.ConfigAge(now)
	if f.p.Config() != f.cfg {
		return f.admit(ctx, now) // age is that of the configuration that has come into force since
	}
	f.refusedByConfig, f.configAge = true, age
	if limit := f.p.cfg.MaxConfigAge; limit > 0 && age > limit {
		return &Refusal{Cause: StaleConfig, RetryAfter: maxRetryAfter + f.retryJitter()}
	}
	return &Refusal{Cause: cause}
}

// cost returns the units charged to the organisation's rate limit.
func (f *inflight) cost() float64 {
	switch {
	case !f.org.ByTokens:
		return 1
	case f.r.HasTokens:
		return float64(f.r.PromptTokens + f.r.MaxOutputTokens)
	default:
		return f.org.DefaultTokens
	}
}

// sendWithRetries sends the request until it is answered or may not be retried.
func (f *inflight) sendWithRetries(ctx context.Context) error {
	refused := false
	for {
		now := f.p.cfg.Clock()
		if ctx.Err() != nil || !now.Before(f.deadline) {
			return f.finalError(NoTime)
		}
		if f.sends > 0 && f.isBlamed(now) {
			return f.finalError(CrashesServers)
		}
		choice, query, err := f.pick(now)
		if errors.Is(err, route.ErrNoServer) && f.p.starting(now) && f.awaitServer(ctx) {
			continue
		}
		if err != nil {
			f.lastErr = err
			opening, found := f.p.table.NextOpening(query, now)
			heldOff := found && opening.At.After(now)
			wait := opening
			if warm, ok := f.p.table.NextWarmOpening(query, now); ok {
				wait = warm
			}
			if heldOff && worthWaiting(now, wait, f.r.Arrived, f.deadline, f.route.LatencyTarget) {
				sleep(ctx, wait.At.Sub(now))
				continue
			}
			switch {
			case refused:
				return f.finalError(Full)
			case heldOff:
				return f.finalError(HeldOff)
			}
			return f.finalError(NoServer)
		}
		if at, ok := f.p.stopping.deadline(); ok && !f.headerSent && !f.completesBefore(at, now) {
			return f.finalError(Stopping)
		}
		if !f.admitted(query, now) {
			return f.finalError(Overloaded)
		}
		server, ok := f.p.readyServer(choice.Backend.ID)
		if !ok {
			f.lastErr, refused = Error.New("server %q is no longer ready", choice.Backend.ID), true
			continue
		}
		// A send that reached no server repeats no work, so the next send is not charged as a
		// retry.
		isRetry := f.delivered > 0
		if isRetry && !f.retryCharged.Swap(false) && !f.p.budget(f.service).Retry(now) {
			return f.finalError(Full)
		}
		// Last, since a cold server has few turns and each one taken must be used.
		if !f.p.table.TakeTurn(choice, now) {
			f.retryCharged.Store(isRetry)
			continue // another request has taken the server's turn since
		}
		ended, err := f.sendOnce(ctx, server, choice)
		if ended {
			return err
		}
		f.lastErr = err
		refused = true
		if f.sends >= maxSends || f.possibleRuns > 0 && (!f.route.Repeatable() || f.possibleRuns >= f.route.MaxAttempts) {
			return f.finalError(Full)
		}
	}
}

// readyServer returns a server, and false if it takes no requests any more.
func (p *Proxy) readyServer(id string) (roster.Server, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.servers[id]
	return s, ok && s.State == world.Ready
}

// finalError returns the error of a request that is not retried. If the request may
// have run, the error must not claim that it did not.
func (f *inflight) finalError(cause Cause) error {
	switch {
	case f.headerSent:
		return ErrTruncated
	case f.possibleRuns > 0 && !f.p.cfg.Clock().Before(f.deadline):
		return &Refusal{Cause: TimedOut}
	case f.possibleRuns > 0:
		return &Refusal{Cause: Lost}
	}
	if f.org != nil {
		f.p.cfg.Quota.Refund(f.org.Name, f.cost())
	}
	return &Refusal{Cause: cause, RetryAfter: f.retryAfter(cause, f.p.cfg.Clock()) + f.retryJitter()}
}

// retryAfter returns when a refused caller should come back, without jitter.
func (f *inflight) retryAfter(cause Cause, now time.Time) time.Duration {
	switch cause {
	case NoServer:
		return maxRetryAfter // a server takes seconds to start
	case CrashesServers:
		return blamedRetryAfter
	case Overloaded:
		return f.decision.RetryAfter
	case Full, HeldOff:
		q := f.routeQuery(now)
		q.Exclude = nil // the servers tried are open to the next request
		if opening, ok := f.p.table.NextOpening(q, now); ok {
			return heldOffRetryAfter(now, opening.At)
		}
	}
	return minRetryAfter
}

// pick selects a server. It returns the query with the version that was used.
func (f *inflight) pick(now time.Time) (route.Choice, route.Query, error) {
	q := f.routeQuery(now)
	choice, err := f.p.table.Pick(q, now)
	other, otherErr := q, err
	// The share of a rollout's target is a maximum: if none of its servers accepts the request,
	// an accepted one may.
	if otherErr != nil && strings.HasPrefix(q.Version, targetGroup) {
		other.Version = acceptedGroup
		choice, otherErr = f.p.table.Pick(other, now)
	}
	if errors.Is(otherErr, route.ErrNoServer) {
		other.Version = supersededGroup
		choice, otherErr = f.p.table.Pick(other, now)
	}
	if otherErr != nil {
		return route.Choice{}, q, err
	}
	return choice, other, nil
}

// retryJitter spreads callers that are refused at the same time.
func (f *inflight) retryJitter() time.Duration {
	return time.Duration(f.randomFloat() * float64(minRetryAfter))
}

func (f *inflight) randomFloat() float64 {
	f.p.mu.Lock()
	defer f.p.mu.Unlock()
	return f.p.rng.Float64()
}

func (f *inflight) routeQuery(now time.Time) route.Query {
	q := route.Query{
		Service: f.service, Version: f.p.versionGroup(f.service), DataCentre: f.p.cfg.DataCentre, Class: world.Call,
		Prefix: f.prefixBlocks, PromptTokens: min(f.r.PromptTokens, maxRoutedTokens), MaxTokens: min(f.r.MaxOutputTokens, maxRoutedTokens),
		Exclude: f.triedServers, Regions: f.route.RegionsFor(f.org),
	}
	if f.route.LatencyTarget > 0 {
		q.Target = max(f.r.Arrived.Add(f.route.LatencyTarget).Sub(now), time.Millisecond)
	}
	if shared := len(f.parts) - 1; shared > 0 {
		q.AffinityKey = f.parts[shared-1].Hash
		for _, part := range f.parts[:shared] {
			q.SharedTokens = min(q.SharedTokens+part.Tokens, q.PromptTokens)
		}
	}
	if svc := f.cfg.Service(f.service); svc.Engine != nil {
		q.FetchPerToken = svc.Engine.FetchPerToken
	}
	if f.r.HasTokens {
		q.Class = world.Review
		if f.r.PromptTokens <= maxLookupTokens {
			q.Class = world.Lookup
		}
	}
	return q
}

// sendOnce sends the request to one server. It returns true with the final result,
// or false if the request may be retried on another server.
func (f *inflight) sendOnce(ctx context.Context, server roster.Server, choice route.Choice) (bool, error) {
	p := f.p
	sent := p.cfg.Clock()
	f.sends++
	f.triedServers = append(f.triedServers, server.ID)
	p.table.Started(server.ID, choice.Cost, sent)
	f.countAdmitted(choice)
	p.addLoad(coord.Load{Server: server.ID, Running: 1, Waiting: 1, WaitingTokens: choice.Cost.UncachedTokens})
	t := &attemptState{req: f, server: server, choice: choice, sentAt: sent, awaitingFirstByte: true, lastByte: p.lastByteOf(server.ID)}
	defer t.finish()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	t.watchSilence(ctx, cancel)
	a := f.newAttempt(server, sent)
	if choice.FetchTokens > 0 {
		a.FetchFrom = choice.Source.Address
	}
	resp, err := p.cfg.Sender.Send(ctx, f.r, a)
	if err != nil {
		t.err = err
		if notRun(err) {
			t.failed = !requestEnded(ctx)
			t.connectFailed = t.failed
			return false, err
		}
		f.delivered++
		f.possibleRuns++
		t.failed = !requestEnded(ctx)
		return f.responseLost(err)
	}
	defer resp.Body.Close()
	f.delivered++
	if !resp.WrongServer { // otherwise the response says nothing about this server
		p.applyAnswer(server, sent, resp)
	}
	if resp.NotRun || resp.WrongServer {
		t.failed = resp.WrongServer
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxBufferedBytes)) // lets the connection be reused
		// Package cause searches the logged text for "refused".
		err := &backnd.CallError{Outcome: backnd.NotRun, Status: resp.Status, Err: Error.New("refused by the server")}
		t.err = err
		return false, err
	}
	f.possibleRuns++
	if resp.IsEventStream && resp.Status == http.StatusOK && f.route.Kind == routes.Stream {
		return f.forwardStream(ctx, t, resp)
	}
	return f.forwardResponse(t, resp)
}

// applyAnswer applies what a server says about itself in its response to a request sent at
// the given time.
func (p *Proxy) applyAnswer(s roster.Server, sent time.Time, resp *Response) {
	if resp.Leaving && p.cfg.ServerLeaves != nil {
		p.cfg.ServerLeaves(s, sent)
	}
	if p.cfg.ServerLimit != nil && (resp.Limit.Named || s.Limit.Named) {
		p.cfg.ServerLimit(s, resp.Limit, sent)
	}
	if resp.ColdFor > 0 && p.cfg.ServerCold != nil {
		p.cfg.ServerCold(s, resp.ColdFor)
	}
	p.applyLoad(s, resp.Load, p.cfg.Clock())
	if resp.RetryAfter > 0 {
		p.holdOff(s, sent, resp.RetryAfter, p.cfg.Clock())
	}
}

func (f *inflight) newAttempt(s roster.Server, now time.Time) Attempt {
	a := Attempt{Server: s, TimeLeft: f.deadline.Sub(now), LastEventID: f.lastEventID}
	if at, ok := f.p.stopping.deadline(); ok {
		a.TimeLeft = min(a.TimeLeft, at.Sub(now))
	}
	if f.org != nil {
		a.Organisation = f.org.Name
	}
	if svc := f.cfg.Service(f.service); svc.Engine != nil {
		a.HasPriority, a.Priority = true, f.priority()
	}
	return a
}

// priority returns the scheduling priority of the request on model engines.
func (f *inflight) priority() int {
	if f.org != nil && f.org.Priority != routes.NoPriority {
		return f.org.Priority
	}
	return f.route.Priority
}

// responseLost handles an attempt that may have run but returned no complete response.
func (f *inflight) responseLost(err error) (bool, error) {
	if f.route.Repeatable() {
		return false, err
	}
	f.lastErr = err
	return true, f.finalError(Lost)
}

// forwardResponse writes a response that is not an event stream to the caller.
func (f *inflight) forwardResponse(t *attemptState, resp *Response) (bool, error) {
	if f.headerSent {
		// A response of another kind cannot continue a started stream.
		t.failed = true
		return false, Error.New("status %d instead of the continuation of a stream", resp.Status)
	}
	lease := f.p.cfg.Buffers.NewLease()
	defer lease.Release()
	body, complete, err := readAhead(resp.Body, lease)
	if err != nil {
		t.failed, t.err = true, err
		return f.responseLost(err)
	}
	t.recordFirstByte(resp.Status)
	t.completed = complete && resp.Status < http.StatusBadRequest
	if promisesNotRun(resp.Status) {
		// Callers take this status as proof that the request did not run.
		t.failed = true
		return f.responseLost(Error.New("status %d without confirmation that the request did not run", resp.Status))
	}
	if resp.Status >= http.StatusInternalServerError {
		t.failed = true
		if f.mayRetryFailure(resp.Status) {
			return false, Error.New("status %d", resp.Status)
		}
	}
	f.copyHeader(resp)
	if complete {
		f.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	} else if resp.Length >= 0 {
		f.w.Header().Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	}
	f.w.WriteHeader(resp.Status)
	f.headerSent = true
	if _, err := f.w.Write(body); err != nil {
		return true, Error.Wrap(err)
	}
	if complete {
		return true, nil
	}
	lease.Release()
	if _, err := io.Copy(f.w, resp.Body); err != nil {
		t.failed = true
		f.lastErr = err
		return true, ErrTruncated
	}
	return true, nil
}

// readAhead reads a body until it ends, exceeds maxBufferedBytes or there is no memory for a
// larger buffer. complete reports whether it has ended.
func readAhead(r io.Reader, lease *buffer.Lease) (body []byte, complete bool, err error) {
	body = make([]byte, 0, minReadBytes)
	for {
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF:
			return body, true, nil
		case err != nil:
			return body, false, err
		case len(body) < cap(body):
			continue
		}
		size := min(2*cap(body), maxBufferedBytes+1)
		if len(body) > maxBufferedBytes || !lease.Hold(size) {
			return body, false, nil
		}
		body = append(make([]byte, 0, size), body...)
	}
}

// promisesNotRun reports whether callers take a status as proof that the request did
// not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// mayRetryFailure reports whether to retry after a server returned an error status: the
// request must be repeatable, another server available, and enough time left.
func (f *inflight) mayRetryFailure(status int) bool {
	if !f.route.Repeatable() || f.possibleRuns >= f.route.MaxAttempts || f.sends >= maxSends || status == http.StatusGatewayTimeout {
		return false
	}
	now := f.p.cfg.Clock()
	if _, _, err := f.pick(now); err != nil {
		return false
	}
	return f.deadline.Sub(now) > f.route.LatencyTarget/2
}

func (f *inflight) copyHeader(resp *Response) {
	h := f.w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	if h["Content-Type"] == nil {
		h["Content-Type"] = nil // prevents net/http from sniffing a type
	}
}
