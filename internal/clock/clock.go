// Package clock provides hybrid logical clock timestamps. They order a cause before
// its effect in the events of several processes, even if the clocks of their
// machines disagree.
package clock

import (
	"fmt"
	"sync"
	"time"
)

// counterBits is the width of the counter in the low bits of a Stamp. A process
// records far fewer than 65,536 events per millisecond.
const counterBits = 16

// Stamp is a hybrid logical time: milliseconds since the Unix epoch in the
// upper 48 bits, a counter in the lower 16. Stamps compare as integers.
type Stamp uint64

// FromTime returns the smallest stamp with the time t.
func FromTime(t time.Time) Stamp {
	return Stamp(t.UnixMilli()) << counterBits
}

// Time returns the physical time of the stamp, with millisecond precision.
func (s Stamp) Time() time.Time {
	return time.UnixMilli(int64(s >> counterBits)).UTC()
}

// String formats the stamp as milliseconds and counter.
func (s Stamp) String() string {
	return fmt.Sprintf("%d.%d", uint64(s)>>counterBits, uint64(s)&(1<<counterBits-1))
}

// Clock issues strictly increasing stamps that exceed every observed stamp.
type Clock struct {
	mu   sync.Mutex
	last Stamp
}

// Now returns a stamp for an event at the local time now.
func (c *Clock) Now(now time.Time) Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last+1, FromTime(now))
	return c.last
}

// Observe records a stamp received with a message. Stamps issued later are greater
// than s.
func (c *Clock) Observe(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, s)
}
