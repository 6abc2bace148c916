package entry

import (
	"context"
	"errors"
	"testing"

	"cranberrypath.example/cranberrypath/internal/stream"
)

// Guards against reporting "not run" at the end of an accepted request, and
// against blaming the caller's header when an answer has lost tokens.
func TestBrokenAnswersAreNeverNotRun(t *testing.T) {
	e := &Entry{server: &server{}}
	for _, err := range []error{
		&stream.BrokenError{Reason: "crashesServers"},
		&stream.BrokenError{Reason: "timeLimit"},
		&stream.BrokenError{Reason: reasonCutOff},
		&stream.BrokenError{Reason: "attemptsExhausted"},
		&stream.BrokenError{TakenOver: true},
		context.DeadlineExceeded,
		stream.ErrPosition,
		stream.ErrUnknown,
		errRolledBack,
		errors.New("link lost"),
	} {
		if f := e.brokenFailure(err); f.outcome != outcomeUnknown {
			t.Errorf("%v: outcome %q, want %q", err, f.outcome, outcomeUnknown)
		}
	}
	if f := e.brokenFailure(errRolledBack); f.code == "badHeader" {
		t.Errorf("a lost token is answered with %q", f.code)
	}
}
