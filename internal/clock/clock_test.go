package clock

import (
	"testing"
	"time"
)

// Guards against an effect with a lower stamp than its cause when the receiver's
// clock is behind the sender's.
func TestObservedStampComesBefore(t *testing.T) {
	ahead, behind := &Clock{}, &Clock{}
	start := time.UnixMilli(1_000_000)
	cause := ahead.Now(start.Add(time.Hour))
	behind.Observe(cause)
	effect := behind.Now(start)
	if effect <= cause {
		t.Fatalf("effect %v is not after its cause %v", effect, cause)
	}
}

// Guards against repeated or decreasing stamps when the wall clock is set back.
func TestStampsNeverFall(t *testing.T) {
	c := &Clock{}
	start := time.UnixMilli(1_000_000)
	last := Stamp(0)
	for _, step := range []time.Duration{0, 0, time.Second, -time.Minute, 0, time.Millisecond} {
		s := c.Now(start.Add(step))
		if s <= last {
			t.Fatalf("stamp %v after %v", s, last)
		}
		last = s
	}
}
