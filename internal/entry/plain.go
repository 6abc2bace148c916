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
	// plainTries bounds the attempts of one plain call. All but the first spend
	// from the retry budget.
	plainTries = 3
	// bufferedBody is read before the response starts, so that a server that
	// fails meanwhile can be replaced. The rest of a longer body is streamed.
	bufferedBody = 1 << 20
	// plainTokens stands for the work of a plain call in the router, in tokens.
	plainTokens = 32
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

// plainAnswer is a backend server's response whose first part is in memory.
type plainAnswer struct {
	status int
	header []backnd.Header
	body   []byte
	rest   io.ReadCloser // nil if body is everything
}

// servePlain forwards a call to the plain service that its path names.
func (e *Entry) servePlain(c *call, path string) *failure {
	service, ok := c.view.Declaration.ServiceForPath(path)
	if !ok {
		return notFound("unknownPath", "no declared service has the path "+path)
	}
	method := string(c.http.Method())
	p := &plainCall{
		call: c, service: service, path: string(c.http.RequestURI()),
		version: chooseVersion(c.view.Shares[service.Name], answerID(c.org.Name, c.id), c.view.Serving[service.Name]),
		header:  forwarded(c),
	}
	p.fingerprint = poison.Of(service.Name, p.version, []byte(method+" "+p.path+"\x00"+string(p.body)))
	w := wanted{service: service.Name, version: p.version, fingerprint: p.fingerprint, limit: service.Timeout()}
	// Without a server here another cell is asked before the call is claimed. If
	// none takes the call, its claim may still hold an answer.
	refusal := e.withoutServer(p)
	if f := e.forward(c, w, refusal); f != refusal {
		return f
	}
	f := e.serveHere(p, path)
	if refusal != nil {
		return f
	}
	return e.forward(c, w, f)
}

// withoutServer returns the refusal of a call for which this cell has no server.
func (e *Entry) withoutServer(p *plainCall) *failure {
	e.refresh(p.now)
	q := route.Query{
		Service: p.service.Name, Version: p.version, Class: world.Call, DataCenter: e.cfg.Settings.DataCentre,
	}
	_, err := e.table.Pick(q, p.now)
	if err == nil {
		return nil
	}
	return unavailable("noCapacity", "no backend server may take the call: "+err.Error())
}

// serveHere answers a call by a server of this cell.
func (e *Entry) serveHere(p *plainCall, path string) *failure {
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
	e.tally.accepted.Add(1)
	ctx, cancel := context.WithTimeout(e.ctx, service.Timeout())
	if !service.Idempotent(string(c.http.Method()), path) {
		defer cancel()
		return e.serveOnce(ctx, p)
	}
	ans, err := e.tryPlain(ctx, p, true)
	if err != nil {
		cancel()
		return plainFailure(err)
	}
	ans.write(c.http, cancel)
	return nil
}

// forwarded returns the headers that go to the backend server. The caller's key
// stays here.
func forwarded(c *call) []backnd.Header {
	var out []backnd.Header
	stays := []string{fasthttp.HeaderAuthorization, headerOrganisation, headerForwarded}
	for k, v := range c.http.Request.Header.All() {
		name := string(k)
		if !slices.ContainsFunc(stays, func(s string) bool { return strings.EqualFold(name, s) }) {
			out = append(out, backnd.Header{Name: name, Value: string(v)})
		}
	}
	return append(out, backnd.Header{Name: headerOrganisation, Value: c.org.Name})
}

// tryPlain makes attempts until one is answered. Without repeat it tries again
// only if nothing of the call has run. An attempt that may have run decides the
// outcome, whatever became of the others.
func (e *Entry) tryPlain(ctx context.Context, p *plainCall, repeat bool) (*plainAnswer, error) {
	var exclude []string
	var last error
	for try := range plainTries {
		now := e.cfg.Now()
		if try > 0 && !p.limits.Retry(now) {
			return nil, last
		}
		b, ans, err := e.tryOnce(ctx, p, exclude, uint64(try+1), now)
		if err == nil {
			return ans, nil
		}
		if last == nil || backnd.OutcomeOf(last) == backnd.NotRun {
			last = err
		}
		if b == "" || backnd.OutcomeOf(err) != backnd.NotRun && (!repeat || ctx.Err() != nil) {
			return nil, last
		}
		exclude = append(exclude, b)
	}
	return nil, last
}

// tryOnce makes one attempt and returns the backend server that it chose, or ""
// if there was none.
func (e *Entry) tryOnce(ctx context.Context, p *plainCall, exclude []string, attempt uint64, now time.Time) (string, *plainAnswer, error) {
	e.refresh(now)
	g, err := e.mayRun(ctx, p.fingerprint, now)
	if err != nil {
		return "", nil, notSent("suspect", err)
	}
	defer func() { e.returnPermits(g) }()
	choice, err := e.table.Pick(route.Query{
		Service: p.service.Name, Version: p.version, Org: p.org.Name, Class: world.Call,
		DataCenter: e.cfg.Settings.DataCentre, PromptTokens: plainTokens, MaxTokens: 1, Exclude: append(g.avoid, exclude...),
	}, now)
	if err != nil {
		return "", nil, notSent("noCapacity", err)
	}
	if err := e.takeSlot(ctx, &g, choice.Backend, now); err != nil {
		return "", nil, notSent("suspect", err)
	}
	ans, err := e.attemptPlain(ctx, p, choice, &g, attempt)
	return choice.Backend.ID, ans, err
}

// notSent is the error of an attempt that no backend server has seen.
func notSent(code string, err error) error {
	return &backnd.CallError{Outcome: backnd.NotRun, Code: code, Err: err, RetryAfter: time.Second}
}

func (e *Entry) attemptPlain(ctx context.Context, p *plainCall, c route.Choice, g *gate, attempt uint64) (*plainAnswer, error) {
	began := e.cfg.Now()
	b := c.Backend
	exit, ok := e.begin(ctx, p.fingerprint, g, b, began)
	if !ok {
		return nil, notSent("suspect", errHeld)
	}
	e.table.Started(b.ID, c.Cost, began)
	ans, err := e.callPlain(ctx, p, b, attempt)
	now := e.cfg.Now()
	lost := err != nil && backnd.OutcomeOf(err) != backnd.NotRun
	e.ended(p.fingerprint, b, lost && ctx.Err() == nil, err == nil, exit)
	e.table.Ended(b.ID, route.Result{Cost: c.Cost, Failed: lost, Took: now.Sub(began)}, now)
	e.results.Add(judge.Result{
		Service: p.service.Name, Version: p.version, Route: p.service.Path, Server: b.ID,
		Load: e.loadOf(b), Failed: lost || (ans != nil && ans.status >= 500), First: now.Sub(began),
		Poison: e.suspect(p.fingerprint, now), Leaving: e.reclaimed(b, now),
	}, now)
	if err != nil {
		e.event(event.Of("call.failed").WithRequest(answerID(p.org.Name, p.id)).WithInstance(b.ID).With("error", err.Error()))
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
	ans.body, err = io.ReadAll(io.LimitReader(resp, bufferedBody))
	if err != nil {
		_ = resp.Close()
		return nil, err
	}
	if len(ans.body) < bufferedBody {
		_ = resp.Close()
		return ans, nil
	}
	ans.rest = resp
	return ans, nil
}

// write sends the answer to the caller. done is called when the body has been read.
func (a *plainAnswer) write(ctx *fasthttp.RequestCtx, done func()) {
	ctx.SetStatusCode(a.status)
	for _, h := range a.header {
		if strings.EqualFold(h.Name, "Content-Type") {
			ctx.Response.Header.SetContentType(h.Value)
			continue
		}
		ctx.Response.Header.Add(h.Name, h.Value)
	}
	ctx.Response.Header.Set(headerOutcome, string(answered))
	if a.rest == nil {
		ctx.SetBody(a.body)
		done()
		return
	}
	ctx.SetBodyStream(&joined{io.MultiReader(bytes.NewReader(a.body), a.rest), a.rest, done}, -1)
}

// joined is the body of a long answer.
type joined struct {
	io.Reader
	rest io.Closer
	done func()
}

func (j *joined) Close() error {
	defer j.done()
	return j.rest.Close()
}

// readRest reads a long body to its end, up to a limit in bytes.
func (a *plainAnswer) readRest(limit int) error {
	if a.rest == nil {
		return nil
	}
	defer func() { _ = a.rest.Close() }()
	more, err := io.ReadAll(io.LimitReader(a.rest, int64(limit-len(a.body)+1)))
	if err != nil {
		return err
	}
	a.body, a.rest = append(a.body, more...), nil
	if len(a.body) > limit {
		return Error.New("the answer exceeds %d bytes", limit)
	}
	return nil
}

// plainFailure turns the error of a call into a response.
func plainFailure(err error) *failure {
	var ce *backnd.CallError
	if !errors.As(err, &ce) || ce.Outcome != backnd.NotRun {
		return outcomeUnknown("the backend server gave no complete answer: " + err.Error())
	}
	f := unavailable("noCapacity", "no backend server took the call: "+err.Error())
	return f.withRetryAfter(max(ce.RetryAfter, time.Second))
}
