package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"cranberrypath.example/cranberrypath/internal/backnd"
	"cranberrypath.example/cranberrypath/internal/coord"
	"cranberrypath.example/cranberrypath/internal/roster"
	"cranberrypath.example/cranberrypath/internal/route"
	"cranberrypath.example/cranberrypath/internal/routes"
	"cranberrypath.example/cranberrypath/internal/world"
)

const (
	// maxSends bounds how often one request is sent when servers refuse it: enough
	// to pass a few full ones, few enough that a full service is not asked in turn.
	maxSends = 4
	// bufferBytes is the largest answer that is complete here before its caller gets
	// the first byte, so that a truncated one can be replaced.
	bufferBytes = 256 << 10
	// answerMargin is how long before its end a request's time is taken as over, so
	// that the final answer still reaches the caller in time.
	answerMargin = 20 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the time to come back: a report takes about
	// as long to reach all instances, and callers wait a third of their time at most.
	// A random part of minRetryAfter on top spreads those that return.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Second
	// lookupTokens is the largest prompt of a short question; longer ones are reviews,
	// which the route table keeps apart.
	lookupTokens = 2048
)

// run is one request on its way.
type run struct {
	p       *Proxy
	r       *Request
	w       http.ResponseWriter
	cfg     *routes.Config
	route   *routes.Route
	service string
	org     *routes.Organisation
	end     time.Time // of the caller's patience and the route's timeout

	parts  []coord.Part // the last one belongs to this request
	prefix []uint64

	sends   int
	arrived int      // sends that reached a server
	runs    int      // servers that may have run it
	tried   []string // servers it was sent to
	trials  []report // what came of it, for the log
	lastErr error

	begun     bool        // the caller has the header
	lastEvent string      // that the caller has
	counted   bool        // in the usage of its organisation
	paid      atomic.Bool // the retry budget was drawn on for the next send
}

func (x *run) serve(ctx context.Context) error {
	x.p.awaitConfig(ctx, configPatience(x.r.Patience))
	now := x.p.cfg.Clock()
	if err := x.admit(ctx, now); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, x.end)
	defer cancel()
	return x.attempts(ctx)
}

// configPatience is how long a request waits for the first configuration of an
// instance that has just started. Callers that are refused come back once, after
// at most a third of their time, so waiting longer would serve them worse.
func configPatience(patience time.Duration) time.Duration { return patience / 3 }

// awaitConfig waits until a configuration is known, at most d.
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
	// startTime is how long after its first configuration an instance may not have
	// heard of all backend servers, which announce themselves about once a second.
	startTime = 3 * time.Second
	// serverPause is the pause between two looks for a server.
	serverPause = 25 * time.Millisecond
)

// starting reports whether this instance may not know the backend servers yet.
func (p *Proxy) starting(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.begun) < startTime
}

// awaitServer waits a moment for a server, unless the request has waited for as
// long as it may.
func (x *run) awaitServer(ctx context.Context) bool {
	if x.p.cfg.Clock().Sub(x.r.Arrived) >= configPatience(x.r.Patience) {
		return false
	}
	t := time.NewTimer(serverPause)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// admit decides whether the request may be served at all.
func (x *run) admit(ctx context.Context, now time.Time) error {
	if x.cfg = x.p.Config(); x.cfg == nil {
		return &Refusal{Cause: NoConfig, RetryAfter: maxRetryAfter}
	}
	if x.route = x.cfg.Match(x.r.Host, x.r.Path); x.route == nil {
		return &Refusal{Cause: NoRoute}
	}
	x.org = x.cfg.Organisation(x.r.Key)
	if x.org == nil && x.cfg.HasOrganisations() && !x.route.Anonymous {
		return &Refusal{Cause: NoKey}
	}
	limit := x.route.Timeout
	if x.r.Patience > 0 {
		limit = min(limit, x.r.Patience)
	}
	x.end = x.r.Arrived.Add(limit - answerMargin)
	x.p.mu.Lock()
	x.service = x.route.Pick(x.p.rnd)
	x.p.mu.Unlock()
	svc := x.cfg.Service(x.service)
	if svc.Engine != nil && svc.Engine.MemoryTokens > 0 && x.r.Prompt+x.r.Output > svc.Engine.MemoryTokens {
		return &Refusal{Cause: NoServer}
	}
	x.parts = chain(x.r.Parts)
	x.prefix = blocks(x.parts)
	x.lastEvent = x.r.LastEvent
	if x.org != nil {
		if ok, wait := x.p.cfg.Quota.Admit(ctx, x.org.Name, x.cost(), now); !ok {
			return &Refusal{Cause: OverQuota, RetryAfter: max(wait, minRetryAfter)}
		}
	}
	x.p.budget(x.service).Request(now)
	return nil
}

// cost is what the request takes of its organisation's rate.
func (x *run) cost() float64 {
	switch {
	case !x.org.ByTokens:
		return 1
	case x.r.HasTokens:
		return float64(x.r.Prompt + x.r.Output)
	default:
		return x.org.PlainTokens
	}
}

// attempts sends the request until it is answered or may not be sent again.
func (x *run) attempts(ctx context.Context) error {
	refused := false
	for {
		now := x.p.cfg.Clock()
		if ctx.Err() != nil || !now.Before(x.end) {
			return x.giveUp(NoTime)
		}
		choice, err := x.p.table.Pick(x.query(now), now)
		if errors.Is(err, route.ErrNoServer) && x.p.starting(now) && x.awaitServer(ctx) {
			continue
		}
		if err != nil {
			x.lastErr = err
			if refused {
				return x.giveUp(Full)
			}
			return x.giveUp(NoServer)
		}
		// A server that was not reached has got nothing, so the next send repeats nothing.
		if x.arrived > 0 && !x.paid.Swap(false) && !x.p.budget(x.service).Retry(now) {
			return x.giveUp(Full)
		}
		ended, err := x.attempt(ctx, choice)
		if ended {
			return err
		}
		x.lastErr = err
		refused = true
		if x.sends >= maxSends || x.runs > 0 && (!x.route.Repeatable() || x.runs >= x.route.Attempts) {
			return x.giveUp(Full)
		}
	}
}

// giveUp returns the final answer of a request that is not sent again. If it may
// have run, the answer must not promise that it has not.
func (x *run) giveUp(c Cause) error {
	switch {
	case x.begun:
		return ErrBroken
	case x.runs > 0 && !x.p.cfg.Clock().Before(x.end):
		return &Refusal{Cause: TimedOut}
	case x.runs > 0:
		return &Refusal{Cause: Lost}
	}
	if x.org != nil {
		x.p.cfg.Quota.Refund(x.org.Name, x.cost())
	}
	after := minRetryAfter
	if c == NoServer {
		after = maxRetryAfter // servers take seconds to start
	}
	return &Refusal{Cause: c, RetryAfter: after + time.Duration(x.rand()*float64(minRetryAfter))}
}

func (x *run) rand() float64 {
	x.p.mu.Lock()
	defer x.p.mu.Unlock()
	return x.p.rnd.Float64()
}

func (x *run) query(now time.Time) route.Query {
	q := route.Query{
		Service: x.service, Version: x.p.version(x.service), DataCenter: x.p.cfg.DataCentre, Class: world.Call,
		Prefix: x.prefix, PromptTokens: x.r.Prompt, MaxTokens: x.r.Output, Exclude: x.tried,
	}
	if shared := len(x.parts) - 1; shared > 0 {
		q.Home = x.parts[shared-1].Hash
	}
	if svc := x.cfg.Service(x.service); svc.Engine != nil {
		q.FetchPerToken = svc.Engine.FetchPerToken
	}
	if x.r.HasTokens {
		q.Class = world.Review
		if x.r.Prompt <= lookupTokens {
			q.Class = world.Lookup
		}
	}
	return q
}

// version draws the group of servers for a new request. While a rollout runs, its
// share goes to the target; after it was taken back nothing does.
func (p *Proxy) version(service string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.rollouts[service]
	switch {
	case !ok || r.Phase == coord.Done:
		return anyVersion
	case r.Phase == coord.Running && p.rnd.Float64() < r.Share:
		return versionPrefix + r.Target
	}
	return otherPrefix + r.Target
}

// attempt sends the request to one server. It returns true with the final result,
// or false if the request may be sent elsewhere.
func (x *run) attempt(ctx context.Context, choice route.Choice) (bool, error) {
	p := x.p
	p.mu.Lock()
	server, ok := p.servers[choice.Backend.ID]
	p.mu.Unlock()
	if !ok || server.State != world.Ready {
		return false, Error.New("server %q has left", choice.Backend.ID)
	}
	sent := p.cfg.Clock()
	x.sends++
	x.tried = append(x.tried, server.ID)
	p.table.Started(server.ID, choice.Cost, sent)
	p.work(coord.Load{Server: server.ID, Running: 1, Waiting: 1, Tokens: choice.Cost.UncachedTokens})
	t := &trial{x: x, server: server, choice: choice, sent: sent, waiting: true, heard: p.heardOf(server.ID)}
	defer t.end()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	t.watch(ctx, cancel)
	a := x.attemptTo(server, sent)
	if choice.FetchTokens > 0 {
		a.FetchFrom = choice.Source.Address
	}
	resp, err := p.cfg.Sender.Send(ctx, x.r, a)
	if err != nil {
		t.err = err
		if notRun(err) {
			t.failed = !givenUp(ctx)
			t.unreached = t.failed
			return false, err
		}
		x.arrived++
		x.runs++
		t.failed = !givenUp(ctx)
		return x.lostAnswer(err)
	}
	defer resp.Body.Close()
	x.arrived++
	if resp.NotRun || resp.Other {
		t.failed = resp.Other
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, bufferBytes)) // so that the connection can be kept
		err := &backnd.CallError{Outcome: backnd.NotRun, Status: resp.Status, Err: Error.New("refused by the server")}
		t.err = err
		return false, err
	}
	x.runs++
	if resp.Events && resp.Status == http.StatusOK && x.route.Kind == routes.Stream {
		return x.relay(ctx, t, resp)
	}
	return x.answer(t, resp)
}

func (x *run) attemptTo(s roster.Server, now time.Time) Attempt {
	a := Attempt{Server: s, Left: x.end.Sub(now), LastEvent: x.lastEvent}
	if x.org != nil {
		a.Organisation = x.org.Name
	}
	if svc := x.cfg.Service(x.service); svc.Engine != nil {
		a.HasPriority, a.Priority = true, x.priority()
	}
	return a
}

// priority is the rank of the request at model engines.
func (x *run) priority() int {
	if x.org != nil && x.org.Priority != routes.NoPriority {
		return x.org.Priority
	}
	return x.route.Priority
}

// lostAnswer decides about a request that may have run without an answer.
func (x *run) lostAnswer(err error) (bool, error) {
	if x.route.Repeatable() {
		return false, err
	}
	x.lastErr = err
	return true, x.giveUp(Lost)
}

// answer passes a response on that is not a series of events.
func (x *run) answer(t *trial, resp *Response) (bool, error) {
	if x.begun {
		// A stream cannot go on with this.
		t.failed = true
		return false, Error.New("status %d instead of the rest of a stream", resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, bufferBytes+1))
	if err != nil {
		t.failed, t.err = true, err
		return x.lostAnswer(err)
	}
	t.first(resp.Status)
	if promises(resp.Status) {
		// Callers would take it as the word that the request has not run.
		t.failed = true
		return x.lostAnswer(Error.New("status %d without the word that the request has not run", resp.Status))
	}
	if resp.Status >= http.StatusInternalServerError {
		t.failed = true
		if x.mayRepeat(resp.Status) {
			return false, Error.New("status %d", resp.Status)
		}
	}
	x.head(resp)
	whole := len(body) <= bufferBytes
	if whole {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	} else if resp.Length >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	}
	x.w.WriteHeader(resp.Status)
	x.begun = true
	if _, err := x.w.Write(body); err != nil {
		return true, Error.Wrap(err)
	}
	if whole {
		return true, nil
	}
	if _, err := io.Copy(x.w, resp.Body); err != nil {
		t.failed = true
		x.lastErr = err
		return true, ErrBroken
	}
	return true, nil
}

// promises reports whether callers take a status as the word that the request has
// not run and never will.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// mayRepeat reports whether a failure that a server answered is worth another
// server: the request may run twice and there is one left.
func (x *run) mayRepeat(status int) bool {
	if !x.route.Repeatable() || x.runs >= x.route.Attempts || x.sends >= maxSends || status == http.StatusGatewayTimeout {
		return false
	}
	now := x.p.cfg.Clock()
	if _, err := x.p.table.Pick(x.query(now), now); err != nil {
		return false
	}
	return x.end.Sub(now) > x.route.Target/2
}

func (x *run) head(resp *Response) {
	h := x.w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	if h["Content-Type"] == nil {
		h["Content-Type"] = nil // keeps the library from guessing one
	}
}
