package entry

import (
	"context"
	"errors"
	"time"

	"cranberrypath.example/cranberrypath/internal/backnd"
	"cranberrypath.example/cranberrypath/internal/stream"
)

const (
	// unreachableTimeout is how long a run may fail to reach any backend server
	// before its replica holder is asked to continue it. By then, backend
	// servers that lost the instance they report to have announced themselves
	// elsewhere, and permits for dead servers have expired.
	unreachableTimeout = 3 * time.Second
	// maxTakeovers limits how often an answer is handed over, in case every
	// instance is cut off.
	maxTakeovers = 4
	// reasonCutOff ends an answer whose instance reaches neither a backend
	// server nor the replica holder.
	reasonCutOff = "cutOff"
)

// recordReachability records whether a finished attempt reached its backend
// server.
func (r *runner) recordReachability(err error, now time.Time) {
	if errors.Is(err, errSuspectHeld) {
		return // the attempt was not sent
	}
	var ce *backnd.CallError
	if !errors.As(err, &ce) || ce.Outcome != backnd.NotRun || ce.Code != "" {
		r.unreachable = false
		if ce != nil && ce.Code != "" {
			r.lastContact = now
		}
		return
	}
	r.unreachable = true
}

// shouldHandOver reports whether another instance may reach backend servers
// that this instance cannot: either this instance is isolated, or other
// instances receive announcements from servers that do not respond here.
func (r *runner) shouldHandOver(now time.Time) bool {
	if !r.unreachable || now.Sub(r.lastContact) < min(unreachableTimeout, r.deadline.Sub(r.lastContact)/2) {
		return false
	}
	return r.e.member.Isolated(now) || r.e.hasBackendFor(r.req.Service, now)
}

// hasBackendFor reports whether this instance may send to any backend server of
// a service.
func (e *Entry) hasBackendFor(service string, now time.Time) bool {
	for _, p := range e.member.Permits(now) {
		if p.Service == service {
			return true
		}
	}
	return false
}

// handOverOrBreak hands the answer over to its replica holder and reports
// whether the run is over. If an isolated instance cannot reach the replica
// holder, it breaks the answer off so that the caller can continue elsewhere.
// An answer that never had a replica continues here, because no other instance
// has a record of it.
func (r *runner) handOverOrBreak(ctx context.Context, now time.Time) bool {
	r.lastContact = now
	info, _ := r.e.answers.Info(r.req.ID)
	if info.Epoch < maxTakeovers {
		ctx, cancel := context.WithTimeout(ctx, findTimeout)
		defer cancel()
		if r.e.handOverAnswer(ctx, r.answer) == nil {
			r.answer.Leave("another instance runs the answer")
			return true
		}
	}
	if !r.e.member.Isolated(now) || !r.answer.Kept() {
		return false
	}
	r.recordBroken(reasonCutOff)
	r.answer.Leave(reasonCutOff)
	return true
}

// finalForLocalReaders makes the end of an answer that could not be handed over
// final for readers at this instance. Readers at other instances look for the
// replica holder.
func finalForLocalReaders(err error) error {
	var broken *stream.BrokenError
	if !errors.As(err, &broken) || broken.Reason != reasonCutOff {
		return err
	}
	return &stream.BrokenError{ID: broken.ID, Reason: broken.Reason}
}
