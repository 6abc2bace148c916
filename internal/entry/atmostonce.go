package entry

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"cranberrypath.example/cranberrypath/internal/backnd"
	"cranberrypath.example/cranberrypath/internal/claim"
	"cranberrypath.example/cranberrypath/internal/event"
	"cranberrypath.example/cranberrypath/internal/link"
	"cranberrypath.example/cranberrypath/internal/member"
)

const (
	// claimTimeout limits the time to take a claim. It covers a leader
	// election.
	claimTimeout = 3 * time.Second
	// maxClaimedAnswerBytes limits the answer of an at-most-once call, which is
	// read completely before the claim is finished.
	maxClaimedAnswerBytes = 16 << 20
	// maxClaimWriteTries and the pauses limit how long a claim write is
	// retried: about ten minutes, longer than an election or a restart.
	maxClaimWriteTries = 125
	minClaimWritePause = 200 * time.Millisecond
	maxClaimWritePause = 5 * time.Second

	idleCall = "entry.idle"
)

// Claims records which calls have run. A claim is durable on a majority of the
// group before Take grants it.
type Claims interface {
	Take(ctx context.Context, key claim.Key, bodyHash uint64, owner string, now time.Time) (claim.State, error)
	Finish(ctx context.Context, key claim.Key, attempt uint64, a claim.Answer, now time.Time) error
	Release(ctx context.Context, key claim.Key, attempt uint64, now time.Time) error
	MarkLost(ctx context.Context, key claim.Key, attempt uint64, now time.Time) error
}

// serveAtMostOnce forwards a call that may run at most once.
func (e *Entry) serveAtMostOnce(ctx context.Context, p *plainCall) *failure {
	key := claim.Key{Org: p.org.Name, Key: p.service.Name + "/" + p.id}
	if headerValue := string(p.http.Request.Header.Peek(headerKey)); headerValue != "" {
		if !validID(headerValue) {
			return badRequest("badHeader", "Idempotency-Key must have 1 to 128 visible ASCII characters")
		}
		key.Key = p.service.Name + "/key/" + headerValue
	}
	owner := e.newClaimOwner()
	e.claimsInFlight.Store(owner, true)
	defer e.claimsInFlight.Delete(owner)
	state, f := e.takeClaim(ctx, p, key, owner)
	if f != nil {
		return f
	}
	if state.Status == claim.Pending && e.claimAbandoned(ctx, state.Owner) {
		if err := e.cfg.Claims.Release(ctx, key, state.Attempt, e.cfg.Now()); err == nil {
			if state, f = e.takeClaim(ctx, p, key, owner); f != nil {
				return f
			}
		}
	}
	switch state.Status {
	case claim.Granted:
		return e.runAtMostOnce(ctx, p, key, owner, state.Attempt)
	case claim.Done:
		return writeStored(p, state.Answer)
	case claim.OtherBody:
		return unprocessable("keyReused", "the key was used with another method, path or body")
	case claim.Pending:
		return e.servePending(ctx, p, key, state)
	}
	return unknownOutcome("the call may have run; its result is not known and it is never run again")
}

func (e *Entry) takeClaim(ctx context.Context, p *plainCall, key claim.Key, owner string) (claim.State, *failure) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	hash := bodyHash(p.call)
	state, err := e.cfg.Claims.Take(ctx, key, hash, owner, p.now)
	var full *claim.Full
	switch {
	case err == nil:
		return state, nil
	case errors.As(err, &full):
		f := unavailable("claimsFull", "the call was not run: no more keys of calls can be kept at present")
		return claim.State{}, f.withRetryAfter(max(full.RetryAfter, time.Second))
	}
	// The claim may have been recorded, but the call itself was not sent.
	e.retryClaimWrite(func(ctx context.Context) error { return e.releaseLostClaim(ctx, key, hash, owner) })
	return claim.State{}, unavailable("claimsUnavailable", "the call could not be claimed: "+err.Error())
}

// writeStored responds with the stored answer of a call that has run.
func writeStored(p *plainCall, a claim.Answer) *failure {
	if a.Truncated {
		return unknownOutcome("the call has run with status " + strconv.Itoa(a.Status) + "; its answer was too long to be kept")
	}
	ans := &plainAnswer{status: a.Status, body: a.Body}
	for _, h := range a.Headers {
		ans.header = append(ans.header, backnd.Header{Name: h.Name, Value: h.Value})
	}
	ans.write(p.http, func() {})
	p.http.Response.Header.Set(headerReplayed, "true")
	return nil
}

// claimAbandoned reports whether a claim is held by a process that serves no
// call for it, which happens when the reply to Take was lost. Nothing was sent
// under such a claim, since a call that was sent records its result. The owner
// is queried.
func (e *Entry) claimAbandoned(ctx context.Context, owner string) bool {
	if strings.HasPrefix(owner, e.processPrefix()) {
		return e.claimIdle(owner)
	}
	p, ok := e.ownerPeer(owner)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	var resp wrapperspb.BoolValue
	err := e.cfg.Net.Call(ctx, p.Address, idleCall, wrapperspb.String(owner), &resp)
	return err == nil && resp.Value
}

// claimIdle reports whether this process neither serves the call of a claim nor
// still has to record its result.
func (e *Entry) claimIdle(owner string) bool {
	_, serving := e.claimsInFlight.Load(owner)
	_, unsettled := e.unsettledClaims.Load(owner)
	return !serving && !unsettled
}

func (e *Entry) handleIdle(_ context.Context, _ link.Peer, body []byte) (proto.Message, error) {
	var owner wrapperspb.StringValue
	if err := proto.Unmarshal(body, &owner); err != nil {
		return nil, Error.Wrap(err)
	}
	own := strings.HasPrefix(owner.Value, e.processPrefix())
	return wrapperspb.Bool(own && e.claimIdle(owner.Value)), nil
}

// servePending answers a repeat of a call that another instance is running. If
// that instance is gone, the result can no longer be known. Only the owner's
// cell knows whether the instance is gone.
func (e *Entry) servePending(ctx context.Context, p *plainCall, key claim.Key, s claim.State) *failure {
	inProgress := conflict("inProgress", "the call with this key is running", outcomeUnknown).withRetryAfter(time.Second)
	if e.ownerAlive(s.Owner) {
		return inProgress
	}
	if cell := cellOfOwner(s.Owner); cell != "" && cell != e.cfg.Settings.Cell {
		spec := forwardSpec{service: p.service.Name, version: p.version, fingerprint: p.fingerprint, timeout: p.service.Timeout()}
		if done, f := e.resend(p.call, cell, spec); done {
			return f
		}
		if e.cells.Present(cell, e.cfg.Now()) {
			return inProgress
		}
	}
	if err := e.cfg.Claims.MarkLost(ctx, key, s.Attempt, e.cfg.Now()); err != nil {
		return inProgress
	}
	return unknownOutcome("the call may have run; the instance that ran it is gone")
}

// runAtMostOnce sends the call. The call is retried only if no earlier attempt
// has run.
func (e *Entry) runAtMostOnce(ctx context.Context, p *plainCall, key claim.Key, owner string, attempt uint64) *failure {
	e.unsettledClaims.Store(owner, true)
	ans, err := e.callWithRetries(ctx, p, false)
	if err == nil {
		err = ans.readRest(maxClaimedAnswerBytes)
	}
	// The result must be recorded even if the call has timed out.
	writeCtx, cancel := context.WithTimeout(e.runCtx, claimTimeout)
	defer cancel()
	now := e.cfg.Now()
	switch {
	case err == nil:
		stored := claim.Answer{Status: ans.status, Body: ans.body, Truncated: len(ans.body) > claim.MaxBodyBytes}
		if stored.Truncated {
			stored.Body = nil
		}
		for _, h := range ans.header {
			stored.Headers = append(stored.Headers, claim.Header{Name: h.Name, Value: h.Value})
		}
		finish := func(ctx context.Context) error { return e.cfg.Claims.Finish(ctx, key, attempt, stored, now) }
		e.finishClaim(writeCtx, p, owner, finish)
		ans.write(p.http, func() {})
		return nil
	case backnd.OutcomeOf(err) == backnd.NotRun:
		if releaseErr := e.cfg.Claims.Release(writeCtx, key, attempt, now); releaseErr != nil {
			// Without the release a repeat would find the claim pending, so the
			// response must not promise that the call can be repeated.
			e.unsettledClaims.Delete(owner)
			return unknownOutcome("the call did not run, but its claim could not be released: " + releaseErr.Error())
		}
		e.unsettledClaims.Delete(owner)
		return plainFailure(err)
	}
	markLost := func(ctx context.Context) error { return e.cfg.Claims.MarkLost(ctx, key, attempt, now) }
	e.finishClaim(writeCtx, p, owner, markLost)
	return plainFailure(err)
}

// finishClaim records the result of a claim, in the background if the claim
// group cannot be reached.
func (e *Entry) finishClaim(ctx context.Context, p *plainCall, owner string, write func(context.Context) error) {
	err := write(ctx)
	if err == nil {
		e.unsettledClaims.Delete(owner)
		return
	}
	e.recordNotFinished(p, err)
	e.retryClaimWrite(func(ctx context.Context) error {
		err := write(ctx)
		if err == nil {
			e.unsettledClaims.Delete(owner)
		}
		return err
	})
}

func (e *Entry) recordNotFinished(p *plainCall, err error) {
	e.recordEvent(event.Of("claim.notFinished").WithRequest(answerID(p.org.Name, p.id)).With("error", err.Error()))
}

// releaseLostClaim releases a claim if the reply to Take was lost, so that a
// repeat of the call does not find it running for ever.
func (e *Entry) releaseLostClaim(ctx context.Context, key claim.Key, hash uint64, owner string) error {
	now := e.cfg.Now()
	s, err := e.cfg.Claims.Take(ctx, key, hash, owner, now)
	var full *claim.Full
	if errors.As(err, &full) {
		return nil // no claim is held
	}
	held := s.Status == claim.Granted || (s.Status == claim.Pending && s.Owner == owner)
	if err != nil || !held {
		return err
	}
	return e.cfg.Claims.Release(ctx, key, s.Attempt, now)
}

// retryClaimWrite retries a claim write in the background until it succeeds.
func (e *Entry) retryClaimWrite(write func(ctx context.Context) error) {
	e.background.Go(func() {
		wait := minClaimWritePause
		for range maxClaimWriteTries {
			if !sleep(e.runCtx, wait) {
				return
			}
			wait = min(2*wait, maxClaimWritePause)
			ctx, cancel := context.WithTimeout(e.runCtx, claimTimeout)
			err := write(ctx)
			cancel()
			if err == nil {
				return
			}
		}
	})
}

// newClaimOwner returns a unique name for the owner of one claim, so that the
// claim can be told apart from a later claim by the same process. The name ends
// with the cell, so that other cells know which cell to ask.
func (e *Entry) newClaimOwner() string {
	return fmt.Sprintf("%s%d@%s", e.processPrefix(), e.ownerSeq.Add(1), e.cfg.Settings.Cell)
}

func cellOfOwner(owner string) string {
	_, cell, _ := strings.Cut(owner[strings.LastIndexByte(owner, '/')+1:], "@")
	return cell
}

func (e *Entry) processPrefix() string {
	return fmt.Sprintf("%s/%d/", e.cfg.Settings.Node, e.cfg.Incarnation)
}

// ownerAlive reports whether the process that holds a claim is still running.
func (e *Entry) ownerAlive(owner string) bool {
	if strings.HasPrefix(owner, e.processPrefix()) {
		return true
	}
	_, ok := e.ownerPeer(owner)
	return ok
}

// ownerPeer returns the live peer that holds a claim, if it is still the same
// incarnation.
func (e *Entry) ownerPeer(owner string) (member.Peer, bool) {
	parts := strings.Split(owner, "/")
	if len(parts) != 3 {
		return member.Peer{}, false
	}
	for _, p := range e.member.Peers(e.cfg.Now()) {
		if p.Node == parts[0] && strconv.FormatUint(p.Incarnation, 10) == parts[1] {
			return p, true
		}
	}
	return member.Peer{}, false
}
