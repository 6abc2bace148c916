package entry

import (
	"context"
	"errors"
	"time"

	"cranberrypath.example/cranberrypath/internal/backnd"
	"cranberrypath.example/cranberrypath/internal/stream"
)

const (
	// cutOffAfter is how long a run may reach no backend server before its keeper
	// is asked to continue it. Backend servers that lost their home have announced
	// themselves elsewhere by then, and permissions for dead ones have lapsed.
	cutOffAfter = 3 * time.Second
	// maxTakeovers ends the handing on of an answer between instances that are
	// all cut off.
	maxTakeovers = 4
	// reasonCutOff ends an answer whose instance reaches neither a backend server
	// nor the keeper.
	reasonCutOff = "cutOff"
)

// reached notes whether an attempt that has ended found its backend server.
func (r *runner) reached(err error, now time.Time) {
	if errors.Is(err, errHeld) {
		return // it was not sent
	}
	var ce *backnd.CallError
	if !errors.As(err, &ce) || ce.Outcome != backnd.NotRun || ce.Code != "" {
		r.unreached = false
		if ce != nil && ce.Code != "" {
			r.heard = now
		}
		return
	}
	r.unreached = true
}

// stranded reports whether another instance may reach backend servers that this
// one does not: this one is isolated, or others hear from servers that do not
// answer here.
func (r *runner) stranded(now time.Time) bool {
	if !r.unreached || now.Sub(r.heard) < min(cutOffAfter, r.deadline.Sub(r.heard)/2) {
		return false
	}
	return r.e.member.Isolated(now) || r.e.permitted(r.req.Service, now)
}

// permitted reports whether this instance may send to a backend server of a service.
func (e *Entry) permitted(service string, now time.Time) bool {
	for _, p := range e.member.Permits(now) {
		if p.Service == service {
			return true
		}
	}
	return false
}

// handToKeeper hands a stranded answer to its keeper and reports whether the run is
// over. An isolated instance that does not reach the keeper breaks it off, so
// that the caller can continue elsewhere. An answer that no keeper has had goes on
// here, because nobody else knows it.
func (r *runner) handToKeeper(ctx context.Context, now time.Time) bool {
	r.heard = now
	info, _ := r.e.answers.Info(r.req.ID)
	if info.Epoch < maxTakeovers {
		ctx, cancel := context.WithTimeout(ctx, findTimeout)
		defer cancel()
		if r.e.handOverOne(ctx, r.a) == nil {
			r.a.Leave("another instance runs the answer")
			return true
		}
	}
	if !r.e.member.Isolated(now) || !r.a.Kept() {
		return false
	}
	r.note(reasonCutOff)
	r.a.Leave(reasonCutOff)
	return true
}

// endHere makes the end of an answer that this instance could not hand over
// final for its own readers. Readers at other instances look for the keeper.
func endHere(err error) error {
	var broken *stream.BrokenError
	if !errors.As(err, &broken) || broken.Reason != reasonCutOff {
		return err
	}
	return &stream.BrokenError{ID: broken.ID, Reason: broken.Reason}
}
