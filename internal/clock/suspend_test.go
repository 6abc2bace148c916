package clock

import (
	"testing"
	"time"
)

// Guards against a clock that moves although the machine runs: a lease would end early or
// late.
func TestSuspended(t *testing.T) {
	first := Suspended()
	time.Sleep(50 * time.Millisecond)
	if second := Suspended(); first < 0 || (second-first).Abs() > suspendResolution {
		t.Errorf("suspended for %v and then %v, want the same up to %v", first, second, suspendResolution)
	}
}
