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
	// defaultFirstTokenTimeout is how long an engine may take to produce the
	// first token before the attempt is abandoned. It covers the prefill of the
	// longest prompts.
	defaultFirstTokenTimeout = 20 * time.Second
	// tokenGapTimeout is the longest allowed time between two events. Engines
	// do not queue a run again once it has produced a token, so a longer gap
	// means that the engine is frozen.
	tokenGapTimeout = 5 * time.Second
)

// engineAPI is the part of the backend server client that a run uses.
type engineAPI interface {
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

// engineClient adapts the backend server client to engineAPI.
type engineClient struct{ *backnd.Client }

func (c engineClient) Generate(ctx context.Context, b world.Backend, r backnd.GenerateRequest) (tokenStream, error) {
	s, err := c.Client.Generate(ctx, b, r)
	if err != nil {
		return nil, err // returning a nil *backnd.Stream as s would be a non-nil interface value
	}
	return s, nil
}

// attempt runs the answer on one server, starting from the recorded tokens. It
// returns nil when the answer has ended.
func (r *runner) attempt(ctx context.Context, c route.Choice, g *runGrant) error {
	e := r.e
	start := e.cfg.Now()
	n := r.answer.Attempt()
	r.attemptNumber = n
	endRun, ok := e.beginRun(ctx, r.fingerprint, g, c.Backend, start)
	if !ok {
		return errSuspectHeld
	}
	e.router.Started(c.Backend.ID, c.Cost, start)
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	active := e.attempts.add(c.Backend.ID, r.info(), stop, start)
	defer e.attempts.remove(active)
	r.lastAttempt = active
	res := judge.Result{
		Service: r.req.Service, Version: r.currentVersion, Route: r.req.Class.String(), Server: c.Backend.ID,
		Load: e.reportedLoad(c.Backend),
	}
	err := r.generate(ctx, c, n, active, &res, start)
	now := e.cfg.Now()
	serverLost := isServerLoss(err)
	e.recordRunEnd(r.fingerprint, c.Backend, mayHaveCrashed(err), err == nil, endRun)
	e.router.Ended(c.Backend.ID, route.Result{Cost: c.Cost, Failed: serverLost, Duration: now.Sub(start)}, now)
	if serverLost || err == nil {
		res.Failed, res.Crashed = serverLost, mayHaveCrashed(err) && !acceptsConnection(ctx, c.Backend.Address)
		res.Poison, res.Leaving = e.isSuspect(r.fingerprint, now), e.reclaimed(c.Backend, now)
		e.results.Add(res, now)
	}
	return err
}

// generate runs an attempt on an engine and sets the times and token count of
// res.
func (r *runner) generate(ctx context.Context, c route.Choice, n uint64, active *activeAttempt, res *judge.Result, start time.Time) error {
	e := r.e
	req := r.generateRequest(c, n)
	r.kvImport, r.kvServer = "", ""
	// The timer also covers the wait for the response header.
	idleTimer := time.AfterFunc(e.firstTokenTimeout, func() { active.stop(errEngineSilent) })
	defer idleTimer.Stop()
	s, err := e.engines.Generate(ctx, c.Backend, req)
	if err != nil {
		return err
	}
	defer s.Close()
	firstToken := time.Time{}
	lastToken := start
	for {
		ev, err := recv(ctx, s)
		now := e.cfg.Now()
		if err != nil {
			return err
		}
		r.lastContact = now
		idleTimer.Reset(min(e.firstTokenTimeout, tokenGapTimeout))
		if ev.Done {
			res.Tokens = int(r.answer.Position()) - len(req.ResumeTokens)
			if res.Tokens > 1 {
				res.TimeBetweenTokens = lastToken.Sub(firstToken) / time.Duration(res.Tokens-1)
			}
			return r.recordEnd(c, n, ev)
		}
		if firstToken.IsZero() {
			firstToken = now
			res.TimeToFirstToken = now.Sub(start)
			e.router.FirstToken(c, res.TimeToFirstToken, now)
		}
		lastToken = now
		if err := r.appendTokens(n, ev); err != nil {
			return err
		}
		active.addTokens(len(ev.Tokens))
	}
}

// generateRequest builds a request that continues the answer after the recorded
// tokens.
func (r *runner) generateRequest(c route.Choice, n uint64) backnd.GenerateRequest {
	req := backnd.GenerateRequest{
		RequestID: r.req.ID, Attempt: n, Model: r.req.Service, Version: r.currentVersion, Adapter: r.acc.Adapter,
		Prompt: r.acc.Prompt, ResumeTokens: r.answer.Tokens(0), MaxTokens: int(r.acc.MaxTokens),
		Priority: enginePriority(r.req.Class), Seed: uint64(r.acc.Seed), Sampling: json.RawMessage(r.acc.Options),
	}
	if r.kvServer == c.Backend.ID {
		req.KV = r.kvImport
	}
	return req
}

// appendTokens records the tokens of an event.
func (r *runner) appendTokens(n uint64, ev backnd.Event) error {
	_, err := r.answer.Append(n, uint64(ev.Pos), ev.Tokens)
	if errors.Is(err, stream.ErrFull) {
		r.breakOff("noMemory")
	}
	return Error.Wrap(err)
}

// recv waits for the next event. If this instance stopped the stream, recv
// returns the cause.
func recv(ctx context.Context, s tokenStream) (backnd.Event, error) {
	ev, err := s.Recv()
	if err != nil && ctx.Err() != nil {
		return ev, context.Cause(ctx)
	}
	return ev, err
}

// recordEnd records the final event of an attempt.
func (r *runner) recordEnd(c route.Choice, n uint64, ev backnd.Event) error {
	switch ev.Reason {
	case "exported":
		return errReclaimExport
	case "replaced", "cancelled":
		return errRunStopped
	}
	r.e.counters.recomputedTokens.Add(int64(ev.Usage.RecomputedTokens))
	info := endInfo{reason: ev.Reason, promptTokens: ev.Usage.PromptTokens}
	if err := r.answer.End(n, uint64(ev.Pos), info.String()); err != nil {
		return Error.Wrap(err)
	}
	if _, ended := r.answer.Ended(); !ended {
		return Error.New("engine %s ended the stream before all tokens had arrived", c.Backend.ID)
	}
	return nil
}

// isServerLoss reports whether an attempt failed because of the server.
func isServerLoss(err error) bool {
	switch {
	case err == nil, errors.Is(err, errRunStopped), errors.Is(err, errReclaimExport), errors.Is(err, errReclaimReplay),
		errors.Is(err, errSuspectHeld), errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return false
	}
	return backnd.OutcomeOf(err) != backnd.NotRun
}

// mayHaveCrashed reports whether the server may have crashed during the
// attempt: the connection broke, or the run was stopped as suspect after it was
// sent. A crash before the response header appears as io.EOF.
func mayHaveCrashed(err error) bool {
	return (isServerLoss(err) || errors.Is(err, errSuspectHeld)) && backnd.OutcomeOf(err) == backnd.Unknown
}

func enginePriority(c world.Class) int {
	switch c {
	case world.Lookup:
		return 0
	case world.Call:
		return 2
	default:
		return 5
	}
}
