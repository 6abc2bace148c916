package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/backnd"
	"cranberrypath.example/cranberrypath/internal/entry/entrpb"
	"cranberrypath.example/cranberrypath/internal/event"
	"cranberrypath.example/cranberrypath/internal/judge"
	"cranberrypath.example/cranberrypath/internal/poison"
	"cranberrypath.example/cranberrypath/internal/route"
	"cranberrypath.example/cranberrypath/internal/stream"
	"cranberrypath.example/cranberrypath/internal/world"
)

const (
	// maxLosses is how many backend servers one request may lose to faults.
	// Losses to announced reclaims are not counted.
	maxLosses = 4
	// retryPause is the first pause of an accepted request that finds no
	// backend server; it doubles up to retryPauseMax.
	retryPause    = 50 * time.Millisecond
	retryPauseMax = time.Second
	// bytesPerToken estimates prompt tokens before an engine has counted them.
	bytesPerToken = 4
	// silence is how long an engine may take to its first token before the
	// attempt is given up. It covers the prefill of the longest prompts.
	silence = 20 * time.Second
	// pauseBetween is the longest pause between two events. A run that has
	// produced a token is not put back to wait, so a longer one means that the
	// engine is frozen.
	pauseBetween = 5 * time.Second
	// kvBytesPerToken estimates the size of an export.
	kvBytesPerToken = 2 << 10
	// moveTimeout bounds the transfer of a KV cache from one engine to another.
	moveTimeout = 5 * time.Second
)

// Reasons for which a running attempt is stopped on purpose.
var (
	errMoveReplay = Error.New("the backend server is reclaimed; the tokens are replayed elsewhere")
	errMoveExport = Error.New("the backend server is reclaimed; the KV cache is moved elsewhere")
	errStopped    = Error.New("the engine stopped the run for another attempt")
	errSilent     = Error.New("the engine sent nothing for too long")
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

// runner computes one answer on backend servers until it ends.
type runner struct {
	e        *Entry
	a        *stream.Answer
	acc      *entrpb.Accepted
	req      stream.Request
	print    poison.Fingerprint
	pass     gate
	prefix   []uint64
	using    string // version of the latest choice
	exclude  []string
	losses   int
	spent    int        // losses for which an attempt drew on the retry budget
	kv       string     // import that the next attempt continues from
	kvAt     string     // id of the backend server that holds it
	current  *activeRun // the latest attempt
	number   uint64     // of the latest attempt
	deadline time.Time
	wait     time.Duration // next pause if no server is found
	lacking  time.Time     // since when no server is found; zero if one was
	// heard is when a backend server last answered, or the run began; unreached
	// is set if none could be reached since.
	heard     time.Time
	unreached bool
}

func acceptedOf(a *stream.Answer) *entrpb.Accepted {
	acc := &entrpb.Accepted{}
	// The body was marshalled by an entry instance of this deployment; if it is
	// damaged, the empty message makes the run fail with a clear reason.
	_ = proto.Unmarshal(a.Request().Body, acc)
	return acc
}

// start runs an answer that this instance owns. It does not block. release is
// called when the run has ended; it may be nil.
func (e *Entry) start(a *stream.Answer, release func()) {
	acc := acceptedOf(a)
	req := a.Request()
	r := &runner{
		e: e, a: a, acc: acc, req: req,
		print:    poison.Of(req.Service, req.Version, requestText(acc)),
		prefix:   world.Blocks(acc.Prompt),
		deadline: time.UnixMilli(acc.DeadlineMs), heard: e.cfg.Now(),
		wait: retryPause,
	}
	e.running.Go(func() {
		ctx, cancel := context.WithDeadline(e.runs, r.deadline)
		defer cancel()
		if release != nil {
			defer release()
		}
		r.run(ctx)
	})
}

// requestText is what identifies a request that crashes servers, whoever sends it.
func requestText(acc *entrpb.Accepted) []byte {
	return append([]byte(acc.Adapter+"\x00"+acc.Prompt+"\x00"), acc.Options...)
}

// run makes attempts until the answer has ended.
func (r *runner) run(ctx context.Context) {
	for !r.ended() {
		if ctx.Err() != nil {
			r.stop(ctx)
			return
		}
		if r.step(ctx, r.e.cfg.Now()) {
			return
		}
	}
}

// step makes one attempt, or pauses if the request may not run yet or no server
// is found. It reports whether the run is over.
func (r *runner) step(ctx context.Context, now time.Time) bool {
	if r.stranded(now) && r.leave(ctx, now) {
		return true
	}
	g, err := r.e.pass(ctx, r.print, now)
	if errors.Is(err, errCondemned) {
		r.finish("crashesServers")
		return true
	}
	if err != nil {
		pause(ctx, retryPause)
		return false
	}
	r.pass = g
	choice, err := r.pick(now)
	if err != nil {
		return r.waitForServer(ctx, g, now)
	}
	if !r.e.takeSlot(ctx, &g, choice.Backend, now) {
		r.e.leave(g)
		pause(ctx, retryPause)
		return false
	}
	r.lacking = time.Time{}
	err = r.attempt(ctx, choice, &g)
	r.e.leave(g)
	r.reached(err, r.e.cfg.Now())
	if r.over(ctx, choice.Backend, err) {
		return true
	}
	r.spend(ctx)
	r.wait = retryPause
	return false
}

// waitForServer pauses a request for which no server was found, because an
// accepted request waits until its deadline, or lends it to another cell. It
// returns the permits of g and reports whether the run is over.
func (r *runner) waitForServer(ctx context.Context, g gate, now time.Time) bool {
	if r.lacking.IsZero() {
		r.lacking = now
	}
	ended := now.Sub(r.lacking) >= lendAfter && r.lend(ctx, now)
	r.e.leave(g)
	if ended {
		return true
	}
	r.unreached = r.unreached || !r.e.permitted(r.req.Service, now)
	pause(ctx, r.wait)
	r.wait = min(2*r.wait, retryPauseMax)
	r.exclude = nil
	return false
}

// stop ends a run whose time is over. A run that the process gives up while it
// stops is left to the keeper of its copy.
func (r *runner) stop(ctx context.Context) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r.finish("timeLimit")
	}
}

// finish breaks the answer off with a reason that its readers receive.
func (r *runner) finish(reason string) {
	r.note(reason)
	r.a.Break(reason)
}

func (r *runner) note(reason string) {
	r.e.event(event.Of("answer.broken").WithRequest(r.req.ID).With("reason", reason))
}

func (r *runner) pick(now time.Time) (route.Choice, error) {
	r.using = r.version(now)
	q := route.Query{
		Service: r.req.Service, Version: r.using, Org: r.req.Org, Adapter: r.acc.Adapter,
		Class: r.req.Class, DataCenter: r.e.cfg.Settings.DataCentre, Prefix: r.prefix,
		PromptTokens: len(r.acc.Prompt)/bytesPerToken + int(r.a.Position()),
		MaxTokens:    int(r.acc.MaxTokens), Exclude: append(r.pass.avoid, r.exclude...),
	}
	r.e.refresh(now)
	if r.kvAt != "" {
		only := q
		only.Exclude = append(r.e.otherThan(r.kvAt), q.Exclude...)
		if c, err := r.e.table.Pick(only, now); err == nil {
			return c, nil
		}
	}
	return r.e.table.Pick(q, now)
}

// version returns the version that the next attempt runs. An answer stays on the
// version that began it unless that version no longer receives traffic.
func (r *runner) version(now time.Time) string {
	view, err := r.e.cfg.Configuration.Current(now)
	if err != nil {
		return r.req.Version
	}
	shares := view.Shares[r.req.Service]
	serving := cmp.Or(view.Serving[r.req.Service], r.req.Version)
	if r.losses > 0 && shares[serving] > 0 {
		// A version on trial must not fail an accepted request.
		return serving
	}
	if shares[r.req.Version] > 0 {
		return r.req.Version
	}
	if serving == r.req.Version {
		return serving
	}
	return chooseVersion(shares, r.req.ID, serving)
}

// attempt runs the answer on one server from where the record stands. It
// returns nil when the answer has ended.
func (r *runner) attempt(ctx context.Context, c route.Choice, g *gate) error {
	e := r.e
	began := e.cfg.Now()
	n := r.a.Attempt()
	r.number = n
	exit, ok := e.begin(ctx, r.print, g, c.Backend, began)
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
	e.ended(r.print, c.Backend, crashed(err), err == nil, exit)
	e.table.Ended(c.Backend.ID, route.Result{Cost: c.Cost, Failed: lost, Took: now.Sub(began)}, now)
	if lost || err == nil {
		res.Failed, res.Crashed = lost, crashed(err) && !accepts(ctx, c.Backend.Address)
		res.Poison, res.Leaving = e.suspect(r.print, now), e.reclaimed(c.Backend, now)
		e.results.Add(res, now)
	}
	return err
}

func (r *runner) generate(ctx context.Context, c route.Choice, n uint64, at *activeRun, res *judge.Result, began time.Time) error {
	e := r.e
	req := backnd.GenerateRequest{
		RequestID: r.req.ID, Attempt: n, Model: r.req.Service, Version: r.using, Adapter: r.acc.Adapter,
		Prompt: r.acc.Prompt, ResumeTokens: r.a.Tokens(0), MaxTokens: int(r.acc.MaxTokens),
		Priority: priorityOf(r.req.Class), Seed: uint64(r.acc.Seed), Sampling: json.RawMessage(r.acc.Options),
	}
	if r.kvAt == c.Backend.ID {
		req.KV = r.kv
	}
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
			e.table.FirstToken(c.Backend.ID, c.Expected, res.First, now)
		}
		last = now
		if _, err := r.a.Append(n, uint64(ev.Pos), ev.Tokens); err != nil {
			if errors.Is(err, stream.ErrFull) {
				r.finish("noMemory")
			}
			return Error.Wrap(err)
		}
		at.progress(len(ev.Tokens))
	}
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

// over handles the end of an attempt and reports whether the run is finished.
func (r *runner) over(ctx context.Context, b world.Backend, err error) bool {
	switch {
	case err == nil:
		r.e.event(event.Of("answer.done").WithRequest(r.req.ID).WithInstance(b.ID))
		return true
	case r.ended(): // another instance has taken the answer over, or it was broken off
		r.cancel(b)
		return true
	case ctx.Err() != nil: // run decides what that means
		r.cancel(b)
		return false
	case errors.Is(err, errHeld):
		pause(ctx, retryPause)
		return false
	case errors.Is(err, errMoveExport):
		r.moveKV(ctx, b)
		return false
	case errors.Is(err, errMoveReplay):
		r.cancel(b)
		r.exclude = append(r.exclude, b.ID)
		r.e.tally.replayed.Add(1)
		r.e.event(event.Of("answer.replayed").WithRequest(r.req.ID).WithInstance(b.ID))
		return false
	case backnd.OutcomeOf(err) == backnd.NotRun:
		r.exclude = append(r.exclude, b.ID)
		return false
	}
	r.cancel(b)
	if !r.e.reclaimed(b, r.e.cfg.Now()) {
		r.losses++
	}
	r.exclude = append(r.exclude, b.ID)
	r.e.event(event.Of("attempt.failed").WithRequest(r.req.ID).WithInstance(b.ID).With("error", err.Error()))
	if r.losses >= maxLosses {
		r.finish("attemptsExhausted")
		return true
	}
	return false
}

func (r *runner) ended() bool {
	_, ended := r.a.Ended()
	return ended
}

// cancel tells a server to stop an attempt that is no longer wanted. It is best
// effort: chunks of an old attempt are refused anyway.
func (r *runner) cancel(b world.Backend) {
	attempt := r.number
	r.e.running.Go(func() {
		ctx, cancel := context.WithTimeout(r.e.runs, time.Second)
		defer cancel()
		_, _ = r.e.engines.Cancel(ctx, b, r.req.ID, attempt)
	})
}

// moveKV imports the exported KV cache at another server. If any step fails, the
// tokens are replayed instead.
func (r *runner) moveKV(ctx context.Context, from world.Backend) {
	r.exclude = append(r.exclude, from.ID)
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	kv := r.current.exported(ctx)
	if kv == nil {
		r.cancel(from)
		return
	}
	to, err := r.pick(r.e.cfg.Now())
	if err != nil {
		return
	}
	id, _, err := r.e.engines.Import(ctx, to.Backend, kv)
	if err != nil {
		return
	}
	r.kv, r.kvAt = id, to.Backend.ID
	r.e.tally.moved.Add(1)
	r.e.event(event.Of("answer.kvMoved").WithRequest(r.req.ID).WithInstance(to.Backend.ID).With("from", from.ID))
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
