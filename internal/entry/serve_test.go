package entry

import (
	"context"
	"errors"
	"testing"

	"cranberrypath.example/cranberrypath/internal/stream"
)

// Guards against the end of an accepted request that says "not run", and against
// blaming the caller's header for an answer that lost tokens.
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
		errBehind,
		errors.New("link lost"),
	} {
		if f := e.brokenOff(err); f.outcome != unknown {
			t.Errorf("%v: outcome %q, want %q", err, f.outcome, unknown)
		}
	}
	if f := e.brokenOff(errBehind); f.code == "badHeader" {
		t.Errorf("a lost token is answered with %q", f.code)
	}
}
