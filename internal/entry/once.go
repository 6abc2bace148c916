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
	// claimTimeout bounds the time that a claim may take. It covers an election.
	claimTimeout = 3 * time.Second
	// maxOnceAnswer bounds the answer of a call that may run at most once, which
	// is read to its end before the claim is finished.
	maxOnceAnswer = 16 << 20
	// settleTries and the pauses bound how long a write to the claims is
	// repeated: about ten minutes, longer than an election or a restart.
	settleTries = 125
	settleFirst = 200 * time.Millisecond
	settlePause = 5 * time.Second

	idleCall = "entry.idle"
)

// Claims records which calls have run. A claim is durable on a majority before
// Take grants it.
type Claims interface {
	Take(ctx context.Context, key claim.Key, bodyHash uint64, owner string, now time.Time) (claim.State, error)
	Finish(ctx context.Context, key claim.Key, attempt uint64, a claim.Answer, now time.Time) error
	Release(ctx context.Context, key claim.Key, attempt uint64, now time.Time) error
	Lost(ctx context.Context, key claim.Key, attempt uint64, now time.Time) error
}

// serveOnce forwards a call that may run at most once.
func (e *Entry) serveOnce(ctx context.Context, p *plainCall) *failure {
	key := claim.Key{Org: p.org.Name, Key: p.service.Name + "/" + p.id}
	if k := string(p.http.Request.Header.Peek(headerKey)); k != "" {
		if !validID(k) {
			return badRequest("badHeader", "Idempotency-Key must have 1 to 128 visible ASCII characters")
		}
		key.Key = p.service.Name + "/key/" + k
	}
	owner := e.owner()
	e.inFlight.Store(owner, true)
	defer e.inFlight.Delete(owner)
	state, f := e.take(ctx, p, key, owner)
	if f != nil {
		return f
	}
	if state.Status == claim.Pending && e.abandoned(ctx, state.Owner) {
		if err := e.cfg.Claims.Release(ctx, key, state.Attempt, e.cfg.Now()); err == nil {
			if state, f = e.take(ctx, p, key, owner); f != nil {
				return f
			}
		}
	}
	switch state.Status {
	case claim.Granted:
		return e.runOnce(ctx, p, key, owner, state.Attempt)
	case claim.Done:
		return replay(p, state.Answer)
	case claim.OtherBody:
		return unprocessable("keyReused", "the key was used with another method, path or body")
	case claim.Pending:
		return e.pending(ctx, p, key, state)
	}
	return outcomeUnknown("the call may have run; its result is not known and it is never run again")
}

func (e *Entry) take(ctx context.Context, p *plainCall, key claim.Key, owner string) (claim.State, *failure) {
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
	e.settle(func(ctx context.Context) error { return e.unclaim(ctx, key, hash, owner) })
	return claim.State{}, unavailable("claimsUnavailable", "the call could not be claimed: "+err.Error())
}

// replay sends the stored answer of a call that has run.
func replay(p *plainCall, a claim.Answer) *failure {
	if a.Truncated {
		return outcomeUnknown("the call has run with status " + strconv.Itoa(a.Status) + "; its answer was too long to be kept")
	}
	ans := &plainAnswer{status: a.Status, body: a.Body}
	for _, h := range a.Headers {
		ans.header = append(ans.header, backnd.Header{Name: h.Name, Value: h.Value})
	}
	ans.write(p.http, func() {})
	p.http.Response.Header.Set(headerReplayed, "true")
	return nil
}

// abandoned reports whether a claim is held by a process without a call that
// runs, which happens when the answer to Take was lost. Nothing was sent under
// it, since a call that was sent ends its claim. The owner itself is asked.
func (e *Entry) abandoned(ctx context.Context, owner string) bool {
	if strings.HasPrefix(owner, e.ownerPrefix()) {
		return e.idle(owner)
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

// idle reports whether this process neither serves the call of a claim nor still
// has to write how it ended.
func (e *Entry) idle(owner string) bool {
	_, runs := e.inFlight.Load(owner)
	_, sent := e.unsettled.Load(owner)
	return !runs && !sent
}

func (e *Entry) handleIdle(_ context.Context, _ link.Peer, body []byte) (proto.Message, error) {
	var owner wrapperspb.StringValue
	if err := proto.Unmarshal(body, &owner); err != nil {
		return nil, Error.Wrap(err)
	}
	ours := strings.HasPrefix(owner.Value, e.ownerPrefix())
	return wrapperspb.Bool(ours && e.idle(owner.Value)), nil
}

// pending answers a repeat of a call that another instance runs. If that instance
// is gone, nobody will learn the result any more. Only the owner's cell knows
// whether it is gone.
func (e *Entry) pending(ctx context.Context, p *plainCall, key claim.Key, s claim.State) *failure {
	busy := conflict("inProgress", "the call with this key is running", unknown).withRetryAfter(time.Second)
	if e.ownerLives(s.Owner) {
		return busy
	}
	if cell := cellOfOwner(s.Owner); cell != "" && cell != e.cfg.Settings.Cell {
		w := wanted{service: p.service.Name, version: p.version, fingerprint: p.fingerprint, limit: p.service.Timeout()}
		if done, f := e.again(p.call, cell, w); done {
			return f
		}
		if e.cells.Present(cell, e.cfg.Now()) {
			return busy
		}
	}
	if err := e.cfg.Claims.Lost(ctx, key, s.Attempt, e.cfg.Now()); err != nil {
		return busy
	}
	return outcomeUnknown("the call may have run; the instance that ran it is gone")
}

// runOnce sends the call. It repeats it only while nothing of it has run.
func (e *Entry) runOnce(ctx context.Context, p *plainCall, key claim.Key, owner string, attempt uint64) *failure {
	e.unsettled.Store(owner, true)
	ans, err := e.tryPlain(ctx, p, false)
	if err == nil {
		err = ans.readRest(maxOnceAnswer)
	}
	// The record must be written even if the caller's time is over.
	done, cancel := context.WithTimeout(e.runs, claimTimeout)
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
		e.finishClaim(done, p, owner, finish)
		ans.write(p.http, func() {})
		return nil
	case backnd.OutcomeOf(err) == backnd.NotRun:
		if rerr := e.cfg.Claims.Release(done, key, attempt, now); rerr != nil {
			// Without the release a repeat finds the claim pending, so the caller
			// must not be promised that it would run.
			e.unsettled.Delete(owner)
			return outcomeUnknown("the call did not run, but its claim could not be released: " + rerr.Error())
		}
		e.unsettled.Delete(owner)
		return plainFailure(err)
	}
	lost := func(ctx context.Context) error { return e.cfg.Claims.Lost(ctx, key, attempt, now) }
	e.finishClaim(done, p, owner, lost)
	return plainFailure(err)
}

// finishClaim writes the end of a claim now or, if the group cannot be reached,
// in the background.
func (e *Entry) finishClaim(ctx context.Context, p *plainCall, owner string, write func(context.Context) error) {
	err := write(ctx)
	if err == nil {
		e.unsettled.Delete(owner)
		return
	}
	e.notFinished(p, err)
	e.settle(func(ctx context.Context) error {
		err := write(ctx)
		if err == nil {
			e.unsettled.Delete(owner)
		}
		return err
	})
}

func (e *Entry) notFinished(p *plainCall, err error) {
	e.event(event.Of("claim.notFinished").WithRequest(answerID(p.org.Name, p.id)).With("error", err.Error()))
}

// unclaim releases a claim of which the answer was lost, so that a repeat of
// the call does not find it running for ever.
func (e *Entry) unclaim(ctx context.Context, key claim.Key, hash uint64, owner string) error {
	now := e.cfg.Now()
	s, err := e.cfg.Claims.Take(ctx, key, hash, owner, now)
	var full *claim.Full
	if errors.As(err, &full) {
		return nil // nothing is held
	}
	held := s.Status == claim.Granted || (s.Status == claim.Pending && s.Owner == owner)
	if err != nil || !held {
		return err
	}
	return e.cfg.Claims.Release(ctx, key, s.Attempt, now)
}

// settle repeats a write to the claims in the background until it succeeds.
func (e *Entry) settle(write func(ctx context.Context) error) {
	e.running.Go(func() {
		wait := settleFirst
		for range settleTries {
			if !pause(e.runs, wait) {
				return
			}
			wait = min(2*wait, settlePause)
			ctx, cancel := context.WithTimeout(e.runs, claimTimeout)
			err := write(ctx)
			cancel()
			if err == nil {
				return
			}
		}
	})
}

// owner names one claim of this process. It is unique, so that the claim can be
// told from a later one of the same process, and ends with the cell, so that
// other cells know whom to ask.
func (e *Entry) owner() string {
	return fmt.Sprintf("%s%d@%s", e.ownerPrefix(), e.claims.Add(1), e.cfg.Settings.Cell)
}

func cellOfOwner(owner string) string {
	_, cell, _ := strings.Cut(owner[strings.LastIndexByte(owner, '/')+1:], "@")
	return cell
}

func (e *Entry) ownerPrefix() string {
	return fmt.Sprintf("%s/%d/", e.cfg.Settings.Node, e.cfg.Incarnation)
}

// ownerLives reports whether the process that holds a claim still runs.
func (e *Entry) ownerLives(owner string) bool {
	if strings.HasPrefix(owner, e.ownerPrefix()) {
		return true
	}
	_, ok := e.ownerPeer(owner)
	return ok
}

// ownerPeer returns the live peer, in the same incarnation, that holds a claim.
func (e *Entry) ownerPeer(owner string) (member.Peer, bool) {
	part := strings.Split(owner, "/")
	if len(part) != 3 {
		return member.Peer{}, false
	}
	for _, p := range e.member.Peers(e.cfg.Now()) {
		if p.Node == part[0] && strconv.FormatUint(p.Incarnation, 10) == part[1] {
			return p, true
		}
	}
	return member.Peer{}, false
}
