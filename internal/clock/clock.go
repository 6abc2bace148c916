// Package clock provides hybrid logical clock stamps. They let the time line of
// several processes put a cause before its effect even when the machines'
// clocks disagree.
package clock

import (
	"fmt"
	"sync"
	"time"
)

// logicalBits is the width of the counter in the low bits of a Stamp. 65,536
// events a millisecond are more than one process records.
const logicalBits = 16

// Stamp is a hybrid logical time: milliseconds since the Unix epoch in the
// upper 48 bits, a counter in the lower 16. Stamps compare as integers.
type Stamp uint64

// FromTime returns the smallest stamp at t.
func FromTime(t time.Time) Stamp {
	return Stamp(t.UnixMilli()) << logicalBits
}

// Time returns the physical part of the stamp, in milliseconds precision.
func (s Stamp) Time() time.Time {
	return time.UnixMilli(int64(s >> logicalBits)).UTC()
}

// String formats the stamp as milliseconds and counter.
func (s Stamp) String() string {
	return fmt.Sprintf("%d.%d", uint64(s)>>logicalBits, uint64(s)&(1<<logicalBits-1))
}

// Clock issues stamps that never fall and that exceed every stamp observed.
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

// Observe takes notice of a stamp that arrived with a message. The next stamp
// issued is greater than it.
func (c *Clock) Observe(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, s)
}
