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
	// maxLosses is how many attempts of one request may fail because of backend
	// servers. Losses to announced reclaims are not counted.
	maxLosses = 4
	// minRetryPause is the initial pause of an accepted request when no backend
	// server is available; the pause doubles up to maxRetryPause.
	minRetryPause = 50 * time.Millisecond
	maxRetryPause = time.Second
	// bytesPerToken estimates the prompt tokens before an engine has counted
	// them.
	bytesPerToken = 4
	// kvBytesPerToken estimates the size of a KV cache export.
	kvBytesPerToken = 2 << 10
	// kvMoveTimeout limits the transfer of a KV cache from one engine to
	// another.
	kvMoveTimeout = 5 * time.Second
)

// Errors of attempts that were stopped deliberately.
var (
	errReclaimReplay = Error.New("the backend server is reclaimed; the tokens are replayed elsewhere")
	errReclaimExport = Error.New("the backend server is reclaimed; the KV cache is moved elsewhere")
	errRunStopped    = Error.New("the engine stopped the run for another attempt")
	errEngineSilent  = Error.New("the engine sent nothing for too long")
)

// runner computes one answer on backend servers until the answer ends.
type runner struct {
	e              *Entry
	answer         *stream.Answer
	acc            *entrpb.Accepted
	req            stream.Request
	fingerprint    poison.Fingerprint
	grant          runGrant
	prefix         []uint64
	currentVersion string // version selected for the latest attempt
	excluded       []string
	losses         int
	budgetedLosses int            // losses already charged to the retry budget
	kvImport       string         // id of the KV import that the next attempt continues from
	kvServer       string         // id of the backend server that holds kvImport
	lastAttempt    *activeAttempt // the latest attempt
	attemptNumber  uint64         // number of the latest attempt
	deadline       time.Time
	serverPause    time.Duration // next pause if no server is available
	noServerSince  time.Time     // since when no server is available; zero if the last pick succeeded
	// lastContact is when a backend server last responded, or when the run
	// started. unreachable is set if no backend server has been reached since.
	lastContact time.Time
	unreachable bool
}

func acceptedOf(a *stream.Answer) *entrpb.Accepted {
	acc := &entrpb.Accepted{}
	// The body was marshalled by an entry instance of this deployment. If it is
	// corrupt, the empty message makes the run fail with a clear reason.
	_ = proto.Unmarshal(a.Request().Body, acc)
	return acc
}

// startRun runs an answer that this instance owns. It does not block. release
// may be nil; it is called when the run has ended.
func (e *Entry) startRun(a *stream.Answer, release func()) {
	acc := acceptedOf(a)
	req := a.Request()
	r := &runner{
		e: e, answer: a, acc: acc, req: req,
		fingerprint: poison.NewFingerprint(req.Service, req.Version, fingerprintInput(acc)),
		prefix:      world.Blocks(acc.Prompt),
		deadline:    time.UnixMilli(acc.DeadlineMs), lastContact: e.cfg.Now(),
		serverPause: minRetryPause,
	}
	e.background.Go(func() {
		ctx, cancel := context.WithDeadline(e.runCtx, r.deadline)
		defer cancel()
		if release != nil {
			defer release()
		}
		r.run(ctx)
	})
}

// fingerprintInput returns the parts of a request that identify it as a crash
// cause, independent of the sender.
func fingerprintInput(acc *entrpb.Accepted) []byte {
	return append([]byte(acc.Adapter+"\x00"+acc.Prompt+"\x00"), acc.Options...)
}

// run makes attempts until the answer has ended.
func (r *runner) run(ctx context.Context) {
	for !r.ended() {
		if ctx.Err() != nil {
			r.stopExpired(ctx)
			return
		}
		if r.step(ctx, r.e.cfg.Now()) {
			return
		}
	}
}

// step makes one attempt, or pauses if the request may not run yet or no server
// is available. It reports whether the run is over.
func (r *runner) step(ctx context.Context, now time.Time) bool {
	if r.shouldHandOver(now) && r.handOverOrBreak(ctx, now) {
		return true
	}
	g, err := r.e.authorizeRun(ctx, r.fingerprint, now)
	if errors.Is(err, errCrashesServers) {
		r.breakOff("crashesServers")
		return true
	}
	if err != nil {
		r.pauseHeld(ctx, err)
		return false
	}
	r.grant = g
	choice, err := r.pick(now)
	if err != nil {
		return r.waitForServer(ctx, g, now)
	}
	if err := r.e.obtainServerPermit(ctx, &g, choice.Backend, now); err != nil {
		r.e.returnPermits(g)
		r.pauseHeld(ctx, err)
		return false
	}
	r.noServerSince = time.Time{}
	err = r.attempt(ctx, choice, &g)
	r.e.returnPermits(g)
	r.recordReachability(err, r.e.cfg.Now())
	if r.handleResult(ctx, choice.Backend, err) {
		return true
	}
	r.awaitRetryBudget(ctx)
	r.serverPause = minRetryPause
	return false
}

// waitForServer handles a request for which no server is available: the request
// pauses, since accepted requests wait until their deadline, or is delegated to
// another cell. It returns the permits of g and reports whether the run is
// over.
func (r *runner) waitForServer(ctx context.Context, g runGrant, now time.Time) bool {
	if r.noServerSince.IsZero() {
		r.noServerSince = now
	}
	ended := now.Sub(r.noServerSince) >= delegateAfter && r.delegate(ctx, now)
	r.e.returnPermits(g)
	if ended {
		return true
	}
	r.unreachable = r.unreachable || !r.e.hasBackendFor(r.req.Service, now)
	sleep(ctx, r.serverPause)
	r.serverPause = min(2*r.serverPause, maxRetryPause)
	r.excluded = nil
	return false
}

// pauseHeld pauses a run that may not start now. An instance that cannot reach
// the node that grants the permit counts as cut off, like an instance that
// reaches no backend server.
func (r *runner) pauseHeld(ctx context.Context, err error) {
	r.unreachable = r.unreachable || errors.Is(err, errPermitNodeUnreachable)
	sleep(ctx, minRetryPause)
}

// stopExpired ends a run whose deadline has passed. If the process itself is
// stopping, the run is left to the replica holder.
func (r *runner) stopExpired(ctx context.Context) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r.breakOff("timeLimit")
	}
}

// breakOff ends the answer with a reason that its readers receive.
func (r *runner) breakOff(reason string) {
	r.recordBroken(reason)
	r.answer.Break(reason)
}

func (r *runner) recordBroken(reason string) {
	r.e.recordEvent(event.Of("answer.broken").WithRequest(r.req.ID).With("reason", reason))
}

func (r *runner) pick(now time.Time) (route.Choice, error) {
	r.currentVersion = r.nextVersion(now)
	q := route.Query{
		Service: r.req.Service, Version: r.currentVersion, Org: r.req.Org, Adapter: r.acc.Adapter,
		Class: r.req.Class, DataCentre: r.e.cfg.Settings.DataCentre, Prefix: r.prefix,
		PromptTokens: len(r.acc.Prompt)/bytesPerToken + int(r.answer.Position()),
		MaxTokens:    int(r.acc.MaxTokens), Exclude: append(r.grant.avoidServers, r.excluded...),
	}
	r.e.refreshRouter(now)
	if r.kvServer != "" {
		kvQuery := q
		kvQuery.Exclude = append(r.e.backendsExcept(r.kvServer), q.Exclude...)
		if c, err := r.e.router.Pick(kvQuery, now); err == nil {
			return c, nil
		}
	}
	return r.e.router.Pick(q, now)
}

// nextVersion returns the version for the next attempt. An answer stays on the
// version that started it unless that version no longer receives traffic.
func (r *runner) nextVersion(now time.Time) string {
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

// handleResult handles the end of an attempt and reports whether the run is
// over.
func (r *runner) handleResult(ctx context.Context, b world.Backend, err error) bool {
	switch {
	case err == nil:
		r.e.recordEvent(event.Of("answer.done").WithRequest(r.req.ID).WithInstance(b.ID))
		return true
	case r.ended(): // taken over by another instance, or broken off
		r.cancelAttempt(b)
		return true
	case ctx.Err() != nil: // run distinguishes a deadline from a stop
		r.cancelAttempt(b)
		return false
	case errors.Is(err, errSuspectHeld):
		sleep(ctx, minRetryPause)
		return false
	case errors.Is(err, errReclaimExport):
		r.moveKV(ctx, b)
		return false
	case errors.Is(err, errReclaimReplay):
		r.cancelAttempt(b)
		r.excluded = append(r.excluded, b.ID)
		r.e.counters.replayedStreams.Add(1)
		r.e.recordEvent(event.Of("answer.replayed").WithRequest(r.req.ID).WithInstance(b.ID))
		return false
	case backnd.OutcomeOf(err) == backnd.NotRun:
		r.excluded = append(r.excluded, b.ID)
		return false
	}
	r.cancelAttempt(b)
	if !r.e.reclaimed(b, r.e.cfg.Now()) {
		r.losses++
	}
	r.excluded = append(r.excluded, b.ID)
	r.e.recordEvent(event.Of("attempt.failed").WithRequest(r.req.ID).WithInstance(b.ID).With("error", err.Error()))
	if r.losses >= maxLosses {
		r.breakOff("attemptsExhausted")
		return true
	}
	return false
}

func (r *runner) ended() bool {
	_, ended := r.answer.Ended()
	return ended
}

// cancelAttempt tells a server to stop an attempt that is no longer needed. It
// is best effort, because chunks of an old attempt are rejected anyway.
func (r *runner) cancelAttempt(b world.Backend) {
	attempt := r.attemptNumber
	r.e.background.Go(func() {
		ctx, cancel := context.WithTimeout(r.e.runCtx, time.Second)
		defer cancel()
		_, _ = r.e.engines.Cancel(ctx, b, r.req.ID, attempt)
	})
}

// moveKV imports the exported KV cache at another server. If any step fails,
// the tokens are replayed instead.
func (r *runner) moveKV(ctx context.Context, from world.Backend) {
	r.excluded = append(r.excluded, from.ID)
	ctx, cancel := context.WithTimeout(ctx, kvMoveTimeout)
	defer cancel()
	kv := r.lastAttempt.waitExported(ctx)
	if kv == nil {
		r.cancelAttempt(from)
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
	r.kvImport, r.kvServer = id, to.Backend.ID
	r.e.counters.exportedStreams.Add(1)
	r.e.recordEvent(event.Of("answer.kvMoved").WithRequest(r.req.ID).WithInstance(to.Backend.ID).With("from", from.ID))
}
