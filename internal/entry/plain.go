package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"cranberrypath.example/cranberrypath/internal/backnd"
	"cranberrypath.example/cranberrypath/internal/event"
	"cranberrypath.example/cranberrypath/internal/judge"
	"cranberrypath.example/cranberrypath/internal/limit"
	"cranberrypath.example/cranberrypath/internal/poison"
	"cranberrypath.example/cranberrypath/internal/route"
	"cranberrypath.example/cranberrypath/internal/world"
	"cranberrypath.example/cranberrypath/pkg/decl"
)

const (
	// maxPlainAttempts limits the attempts of one plain call. All but the first
	// use the retry budget.
	maxPlainAttempts = 3
	// bufferedBodyBytes is how much of a body is read before the response
	// starts, so that another server can be tried if the first one fails
	// meanwhile. The rest of a longer body is streamed.
	bufferedBodyBytes = 1 << 20
	// plainCallTokens is the work of a plain call in the router, in tokens.
	plainCallTokens = 32
)

// plainCall is one call of a plain service.
type plainCall struct {
	*call
	service     decl.Service
	version     string
	path        string
	header      []backnd.Header
	fingerprint poison.Fingerprint
	limits      *limit.Limits
}

// plainAnswer is a backend server's response; its first part is in memory.
type plainAnswer struct {
	status    int
	header    []backnd.Header
	body      []byte
	remainder io.ReadCloser // nil if body is complete
}

// servePlain forwards a call to the plain service that its path selects.
func (e *Entry) servePlain(c *call, path string) *failure {
	service, ok := c.view.Declaration.ServiceForPath(path)
	if !ok {
		return notFound("unknownPath", "no declared service has the path "+path)
	}
	method := string(c.http.Method())
	p := &plainCall{
		call: c, service: service, path: string(c.http.RequestURI()),
		version: chooseVersion(c.view.Shares[service.Name], answerID(c.org.Name, c.id), c.view.Serving[service.Name]),
		header:  forwardedHeaders(c),
	}
	if !service.Idempotent(method, path) {
		if f := e.checkStop(service.Timeout(), c.now); f != nil {
			return f
		}
	}
	p.fingerprint = poison.NewFingerprint(service.Name, p.version, []byte(method+" "+p.path+"\x00"+string(p.body)))
	spec := forwardSpec{service: service.Name, version: p.version, fingerprint: p.fingerprint, timeout: service.Timeout()}
	// If no server is available here, another cell is asked before the call is
	// claimed. If no cell takes the call, its claim may still hold an answer.
	refusal := e.checkCapacity(p)
	if f := e.forward(c, spec, refusal); f != refusal {
		return f
	}
	f := e.serveLocal(p, path)
	if refusal != nil {
		return f
	}
	return e.forward(c, spec, f)
}

// checkStop returns a failure if a planned stop may end the response to a call that takes up
// to a given time. Its outcome would remain unknown to the caller.
func (e *Entry) checkStop(timeout time.Duration, now time.Time) *failure {
	at := e.server.stopAt.Load()
	if at == 0 || now.Add(timeout).UnixNano() <= at {
		return nil
	}
	return e.suggestOtherInstance(unavailable("stopping", "this instance stops before the call may complete"))
}

// checkCapacity returns a failure if this cell has no server for a call.
func (e *Entry) checkCapacity(p *plainCall) *failure {
	e.refreshRouter(p.now)
	q := route.Query{
		Service: p.service.Name, Version: p.version, Class: world.Call, DataCentre: e.cfg.Settings.DataCentre,
	}
	_, err := e.router.Pick(q, p.now)
	if err == nil {
		return nil
	}
	return unavailable("noCapacity", "no backend server may take the call: "+err.Error())
}

// serveLocal serves a call with a server of this cell.
func (e *Entry) serveLocal(p *plainCall, path string) *failure {
	c, service := p.call, p.service
	if f := e.checkPoison(p.fingerprint, c.now); f != nil {
		return f
	}
	limits, f := e.admit(c, service.Name, world.Call)
	if f != nil {
		return f
	}
	p.limits = limits
	defer func() { limits.Done(c.org.Name, limit.Cost{Class: world.Call}, e.cfg.Now()) }()
	e.counters.accepted.Add(1)
	ctx, cancel := context.WithTimeout(e.serveCtx, service.Timeout())
	if !service.Idempotent(string(c.http.Method()), path) {
		defer cancel()
		return e.serveAtMostOnce(ctx, p)
	}
	ans, err := e.callWithRetries(ctx, p, true)
	if err != nil {
		cancel()
		return plainFailure(err)
	}
	ans.write(c.http, cancel)
	return nil
}

// forwardedHeaders returns the headers sent to the backend server. The caller's
// API key is removed.
func forwardedHeaders(c *call) []backnd.Header {
	var out []backnd.Header
	excluded := []string{fasthttp.HeaderAuthorization, headerOrganisation, headerForwarded}
	for k, v := range c.http.Request.Header.All() {
		name := string(k)
		if !slices.ContainsFunc(excluded, func(s string) bool { return strings.EqualFold(name, s) }) {
			out = append(out, backnd.Header{Name: name, Value: string(v)})
		}
	}
	return append(out, backnd.Header{Name: headerOrganisation, Value: c.org.Name})
}

// callWithRetries makes attempts until one is answered. If the call is not
// idempotent, it is retried only while no attempt has run. An attempt that may
// have run determines the returned error, whatever the result of later
// attempts.
func (e *Entry) callWithRetries(ctx context.Context, p *plainCall, idempotent bool) (*plainAnswer, error) {
	var exclude []string
	var lastErr error
	for try := range maxPlainAttempts {
		now := e.cfg.Now()
		if try > 0 && !p.limits.Retry(now) {
			return nil, lastErr
		}
		backendID, ans, err := e.tryBackend(ctx, p, exclude, uint64(try+1), now)
		if err == nil {
			return ans, nil
		}
		if lastErr == nil || backnd.OutcomeOf(lastErr) == backnd.NotRun {
			lastErr = err
		}
		if backendID == "" || backnd.OutcomeOf(err) != backnd.NotRun && (!idempotent || ctx.Err() != nil) {
			return nil, lastErr
		}
		exclude = append(exclude, backendID)
	}
	return nil, lastErr
}

// tryBackend makes one attempt and returns the id of the chosen backend server,
// or "" if none was available.
func (e *Entry) tryBackend(ctx context.Context, p *plainCall, exclude []string, attempt uint64, now time.Time) (string, *plainAnswer, error) {
	e.refreshRouter(now)
	g, err := e.authorizeRun(ctx, p.fingerprint, now)
	if err != nil {
		return "", nil, notSentError("suspect", err)
	}
	defer func() { e.returnPermits(g) }()
	choice, err := e.router.Pick(route.Query{
		Service: p.service.Name, Version: p.version, Org: p.org.Name, Class: world.Call,
		DataCentre: e.cfg.Settings.DataCentre, PromptTokens: plainCallTokens, MaxTokens: 1, Exclude: append(g.avoidServers, exclude...),
	}, now)
	if err != nil {
		return "", nil, notSentError("noCapacity", err)
	}
	if err := e.obtainServerPermit(ctx, &g, choice.Backend, now); err != nil {
		return "", nil, notSentError("suspect", err)
	}
	ans, err := e.attemptPlain(ctx, p, choice, &g, attempt)
	return choice.Backend.ID, ans, err
}

// notSentError returns the error of an attempt that reached no backend server.
func notSentError(code string, err error) error {
	return &backnd.CallError{Outcome: backnd.NotRun, Code: code, Err: err, RetryAfter: time.Second}
}

func (e *Entry) attemptPlain(ctx context.Context, p *plainCall, c route.Choice, g *runGrant, attempt uint64) (*plainAnswer, error) {
	start := e.cfg.Now()
	b := c.Backend
	endRun, ok := e.beginRun(ctx, p.fingerprint, g, b, start)
	if !ok {
		return nil, notSentError("suspect", errSuspectHeld)
	}
	e.router.Started(b.ID, c.Cost, start)
	ans, err := e.callPlain(ctx, p, b, attempt)
	now := e.cfg.Now()
	serverLost := err != nil && backnd.OutcomeOf(err) != backnd.NotRun
	e.recordRunEnd(p.fingerprint, b, serverLost && ctx.Err() == nil, err == nil, endRun)
	e.router.Ended(b.ID, route.Result{Cost: c.Cost, Failed: serverLost, Duration: now.Sub(start)}, now)
	e.results.Add(judge.Result{
		Service: p.service.Name, Version: p.version, Route: p.service.Path, Server: b.ID,
		Load: e.reportedLoad(b), Failed: serverLost || (ans != nil && ans.status >= 500), TimeToFirstToken: now.Sub(start),
		Poison: e.isSuspect(p.fingerprint, now), Leaving: e.reclaimed(b, now),
	}, now)
	if err != nil {
		e.recordEvent(event.Of("call.failed").WithRequest(answerID(p.org.Name, p.id)).WithInstance(b.ID).With("error", err.Error()))
	}
	return ans, err
}

func (e *Entry) callPlain(ctx context.Context, p *plainCall, b world.Backend, attempt uint64) (*plainAnswer, error) {
	resp, err := e.cfg.Backends.Call(ctx, b, backnd.Call{
		RequestID: p.id, Attempt: attempt, Method: string(p.http.Method()), Path: p.path, Header: p.header, Body: p.body,
	})
	if err != nil {
		return nil, err
	}
	ans := &plainAnswer{status: resp.Status, header: resp.Header}
	ans.body, err = io.ReadAll(io.LimitReader(resp, bufferedBodyBytes))
	if err != nil {
		_ = resp.Close()
		return nil, err
	}
	if len(ans.body) < bufferedBodyBytes {
		_ = resp.Close()
		return ans, nil
	}
	ans.remainder = resp
	return ans, nil
}

// write sends the answer to the caller. done is called when the body has been
// read.
func (a *plainAnswer) write(ctx *fasthttp.RequestCtx, done func()) {
	ctx.SetStatusCode(a.status)
	for _, h := range a.header {
		if strings.EqualFold(h.Name, "Content-Type") {
			ctx.Response.Header.SetContentType(h.Value)
			continue
		}
		ctx.Response.Header.Add(h.Name, h.Value)
	}
	ctx.Response.Header.Set(headerOutcome, string(outcomeAnswered))
	if a.remainder == nil {
		ctx.SetBody(a.body)
		done()
		return
	}
	ctx.SetBodyStream(&streamedBody{io.MultiReader(bytes.NewReader(a.body), a.remainder), a.remainder, done}, -1)
}

// streamedBody is the body of an answer that exceeds the buffer.
type streamedBody struct {
	io.Reader
	remainder io.Closer
	done      func()
}

func (b *streamedBody) Close() error {
	defer b.done()
	return b.remainder.Close()
}

// readRest reads the rest of a body into memory, up to a limit for the whole
// body in bytes.
func (a *plainAnswer) readRest(limit int) error {
	if a.remainder == nil {
		return nil
	}
	defer func() { _ = a.remainder.Close() }()
	remaining, err := io.ReadAll(io.LimitReader(a.remainder, int64(limit-len(a.body)+1)))
	if err != nil {
		return err
	}
	a.body, a.remainder = append(a.body, remaining...), nil
	if len(a.body) > limit {
		return Error.New("the answer exceeds %d bytes", limit)
	}
	return nil
}

// plainFailure converts the error of a call to a response.
func plainFailure(err error) *failure {
	var ce *backnd.CallError
	if !errors.As(err, &ce) || ce.Outcome != backnd.NotRun {
		return unknownOutcome("the backend server gave no complete answer: " + err.Error())
	}
	f := unavailable("noCapacity", "no backend server took the call: "+err.Error())
	return f.withRetryAfter(max(ce.RetryAfter, time.Second))
}
