package entry

import (
	"cmp"
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/backnd"
	"cranberrypath.example/cranberrypath/internal/entry/entrpb"
	"cranberrypath.example/cranberrypath/internal/event"
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

// runner computes one answer on backend servers until it ends.
type runner struct {
	e           *Entry
	a           *stream.Answer
	acc         *entrpb.Accepted
	req         stream.Request
	fingerprint poison.Fingerprint
	gate        gate
	prefix      []uint64
	using       string // version of the latest choice
	exclude     []string
	losses      int
	spent       int        // losses for which an attempt drew on the retry budget
	kv          string     // import that the next attempt continues from
	kvAt        string     // id of the backend server that holds it
	current     *activeRun // the latest attempt
	number      uint64     // of the latest attempt
	deadline    time.Time
	wait        time.Duration // next pause if no server is found
	lacking     time.Time     // since when no server is found; zero if one was
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
		fingerprint: poison.Of(req.Service, req.Version, requestText(acc)),
		prefix:      world.Blocks(acc.Prompt),
		deadline:    time.UnixMilli(acc.DeadlineMs), heard: e.cfg.Now(),
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
	if r.stranded(now) && r.handToKeeper(ctx, now) {
		return true
	}
	g, err := r.e.mayRun(ctx, r.fingerprint, now)
	if errors.Is(err, errCondemned) {
		r.finish("crashesServers")
		return true
	}
	if err != nil {
		r.hold(ctx, err)
		return false
	}
	r.gate = g
	choice, err := r.pick(now)
	if err != nil {
		return r.waitForServer(ctx, g, now)
	}
	if err := r.e.takeSlot(ctx, &g, choice.Backend, now); err != nil {
		r.e.returnPermits(g)
		r.hold(ctx, err)
		return false
	}
	r.lacking = time.Time{}
	err = r.attempt(ctx, choice, &g)
	r.e.returnPermits(g)
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
	r.e.returnPermits(g)
	if ended {
		return true
	}
	r.unreached = r.unreached || !r.e.permitted(r.req.Service, now)
	pause(ctx, r.wait)
	r.wait = min(2*r.wait, retryPauseMax)
	r.exclude = nil
	return false
}

// hold waits before a run that may not start now asks again. An instance that
// does not reach the home of the request is as stranded with it as one that
// reaches no server.
func (r *runner) hold(ctx context.Context, err error) {
	r.unreached = r.unreached || errors.Is(err, errNoHome)
	pause(ctx, retryPause)
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
		MaxTokens:    int(r.acc.MaxTokens), Exclude: append(r.gate.avoid, r.exclude...),
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
