package entry

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"cranberrypath.example/cranberrypath/internal/backnd"
	"cranberrypath.example/cranberrypath/internal/judge"
	"cranberrypath.example/cranberrypath/internal/route"
	"cranberrypath.example/cranberrypath/internal/stream"
	"cranberrypath.example/cranberrypath/internal/world"
)

const (
	// silence is how long an engine may take to its first token before the
	// attempt is given up. It covers the prefill of the longest prompts.
	silence = 20 * time.Second
	// pauseBetween is the longest pause between two events. A run that has
	// produced a token is not put back to wait, so a longer one means that the
	// engine is frozen.
	pauseBetween = 5 * time.Second
)

// engines is what a run uses of the client of backend servers.
type engines interface {
	Generate(ctx context.Context, b world.Backend, r backnd.GenerateRequest) (tokenStream, error)
	Cancel(ctx context.Context, b world.Backend, requestID string, attempt uint64) (bool, error)
	Export(ctx context.Context, b world.Backend, requestID string) ([]byte, int, error)
	Import(ctx context.Context, b world.Backend, kv []byte) (string, int, error)
}

// tokenStream is the part of backnd.Stream that a run uses.
type tokenStream interface {
	Recv() (backnd.Event, error)
	Close() error
}

// engineClient adapts the client of backend servers to engines.
type engineClient struct{ *backnd.Client }

func (c engineClient) Generate(ctx context.Context, b world.Backend, r backnd.GenerateRequest) (tokenStream, error) {
	s, err := c.Client.Generate(ctx, b, r)
	if err != nil {
		return nil, err // a nil *backnd.Stream would be a tokenStream that is not nil
	}
	return s, nil
}

// attempt runs the answer on one server from where the record stands. It
// returns nil when the answer has ended.
func (r *runner) attempt(ctx context.Context, c route.Choice, g *gate) error {
	e := r.e
	began := e.cfg.Now()
	n := r.a.Attempt()
	r.number = n
	exit, ok := e.begin(ctx, r.fingerprint, g, c.Backend, began)
	if !ok {
		return errHeld
	}
	e.table.Started(c.Backend.ID, c.Cost, began)
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	at := e.active.add(c.Backend.ID, r.info(), stop, began)
	defer e.active.remove(at)
	r.current = at
	res := judge.Result{
		Service: r.req.Service, Version: r.using, Route: r.req.Class.String(), Server: c.Backend.ID,
		Load: e.loadOf(c.Backend),
	}
	err := r.generate(ctx, c, n, at, &res, began)
	now := e.cfg.Now()
	lost := isLoss(err)
	e.ended(r.fingerprint, c.Backend, crashed(err), err == nil, exit)
	e.table.Ended(c.Backend.ID, route.Result{Cost: c.Cost, Failed: lost, Took: now.Sub(began)}, now)
	if lost || err == nil {
		res.Failed, res.Crashed = lost, crashed(err) && !accepts(ctx, c.Backend.Address)
		res.Poison, res.Leaving = e.suspect(r.fingerprint, now), e.reclaimed(c.Backend, now)
		e.results.Add(res, now)
	}
	return err
}

// generate runs an attempt on an engine and fills in the times and tokens of res.
func (r *runner) generate(ctx context.Context, c route.Choice, n uint64, at *activeRun, res *judge.Result, began time.Time) error {
	e := r.e
	req := r.generateRequest(c, n)
	r.kv, r.kvAt = "", ""
	// It also covers the wait for the response header.
	quiet := time.AfterFunc(e.quiet, func() { at.stop(errSilent) })
	defer quiet.Stop()
	s, err := e.engines.Generate(ctx, c.Backend, req)
	if err != nil {
		return err
	}
	defer s.Close()
	first := time.Time{}
	last := began
	for {
		ev, err := recv(ctx, s)
		now := e.cfg.Now()
		if err != nil {
			return err
		}
		r.heard = now
		quiet.Reset(min(e.quiet, pauseBetween))
		if ev.Done {
			res.Tokens = int(r.a.Position()) - len(req.ResumeTokens)
			if res.Tokens > 1 {
				res.Between = last.Sub(first) / time.Duration(res.Tokens-1)
			}
			return r.end(c, n, ev)
		}
		if first.IsZero() {
			first = now
			res.First = now.Sub(began)
			e.table.FirstToken(c, res.First, now)
		}
		last = now
		if err := r.append(n, ev); err != nil {
			return err
		}
		at.progress(len(ev.Tokens))
	}
}

// generateRequest continues the answer from where the record stands.
func (r *runner) generateRequest(c route.Choice, n uint64) backnd.GenerateRequest {
	req := backnd.GenerateRequest{
		RequestID: r.req.ID, Attempt: n, Model: r.req.Service, Version: r.using, Adapter: r.acc.Adapter,
		Prompt: r.acc.Prompt, ResumeTokens: r.a.Tokens(0), MaxTokens: int(r.acc.MaxTokens),
		Priority: priorityOf(r.req.Class), Seed: uint64(r.acc.Seed), Sampling: json.RawMessage(r.acc.Options),
	}
	if r.kvAt == c.Backend.ID {
		req.KV = r.kv
	}
	return req
}

// append records the tokens of an event.
func (r *runner) append(n uint64, ev backnd.Event) error {
	_, err := r.a.Append(n, uint64(ev.Pos), ev.Tokens)
	if errors.Is(err, stream.ErrFull) {
		r.finish("noMemory")
	}
	return Error.Wrap(err)
}

// recv waits for the next event. A stream that this instance stopped reports why.
func recv(ctx context.Context, s tokenStream) (backnd.Event, error) {
	ev, err := s.Recv()
	if err != nil && ctx.Err() != nil {
		return ev, context.Cause(ctx)
	}
	return ev, err
}

// end records the final event of an attempt.
func (r *runner) end(c route.Choice, n uint64, ev backnd.Event) error {
	switch ev.Reason {
	case "exported":
		return errMoveExport
	case "replaced", "cancelled":
		return errStopped
	}
	r.e.tally.recomputed.Add(int64(ev.Usage.RecomputedTokens))
	mark := endMark{reason: ev.Reason, promptTokens: ev.Usage.PromptTokens}
	if err := r.a.End(n, uint64(ev.Pos), mark.String()); err != nil {
		return Error.Wrap(err)
	}
	if _, ended := r.a.Ended(); !ended {
		return Error.New("engine %s ended the stream before all tokens had arrived", c.Backend.ID)
	}
	return nil
}

// isLoss reports whether an attempt failed by the server's fault.
func isLoss(err error) bool {
	switch {
	case err == nil, errors.Is(err, errStopped), errors.Is(err, errMoveExport), errors.Is(err, errMoveReplay),
		errors.Is(err, errHeld), errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return false
	}
	return backnd.OutcomeOf(err) != backnd.NotRun
}

// crashed reports whether the server may have crashed during the attempt: the
// connection broke, or the run was stopped as a suspect after it was sent. A
// crash before the response header reads as io.EOF.
func crashed(err error) bool {
	return (isLoss(err) || errors.Is(err, errHeld)) && backnd.OutcomeOf(err) == backnd.Unknown
}

func priorityOf(c world.Class) int {
	switch c {
	case world.Lookup:
		return 0
	case world.Call:
		return 2
	default:
		return 5
	}
}
