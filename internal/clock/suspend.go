package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Suspended returns for how long the machine has been suspended since it booted. The
// monotonic reading of time.Now leaves this time out, so a lease that a process held
// before still looks valid afterwards unless this time is added.
func Suspended() time.Duration {
	mono, boot := read(unix.CLOCK_MONOTONIC), read(unix.CLOCK_BOOTTIME)
	if boot == 0 || mono == 0 {
		return 0 // the system has no such clock
	}
	// The clocks are read one after the other.
	return max(boot-mono, 0).Truncate(suspendResolution)
}

// suspendResolution hides the time between the two readings.
const suspendResolution = 10 * time.Millisecond

func read(id int32) time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(id, &ts) != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
