package guard

import "time"

const (
	// minRate is the rate in bytes a second at which a body must arrive to keep its memory
	// while others wait for it. An ordinary body of 100 KB may take 1.5 s beyond maxLag.
	minRate = 64 << 10
	// maxLag is how far a body may be behind minRate while others wait.
	maxLag = time.Second
	// busyShare is the share of the account that one body may exceed only while no other waits.
	busyShare = 4
)

// Phase is what a connection does.
type Phase int32

// Phases of a connection.
const (
	PhaseNew   Phase = iota // no request has been received completely
	PhaseIdle               // waits for the next request, or for the rest of its head
	PhaseBody               // a body is being received
	PhaseBusy               // a request runs
	PhaseEnded              // the connection is being closed in favour of others
)

// Usage is what a connection occupies at a moment.
type Usage struct {
	Phase    Phase
	Since    time.Time // start of the phase, without the time that a body waited for memory
	Received int64     // bytes of the body in this phase
	Held     int64     // bytes of the account
	Waiting  bool      // the body waits for memory
}

// Lag returns how far a body is behind minRate. Bodies that stall and bodies that arrive byte
// by byte are behind, whatever their length.
func (u Usage) Lag(now time.Time) time.Duration {
	return now.Sub(u.Since) - time.Duration(float64(u.Received)/minRate*float64(time.Second))
}

// Stalled reports whether a body loses its memory in favour of others: it is behind by more
// than maxLag. All such bodies lose it together, since callers that reconnect occupy the memory
// faster than it becomes free one body at a time.
func (u Usage) Stalled(now time.Time) bool {
	return u.Held > 0 && u.Phase == PhaseBody && !u.Waiting && u.Lag(now) > maxLag
}

// Oldest returns the index of the connection that is closed in favour of a new one: the one
// that has waited longest for its first request, else for its next one, else a body that is
// behind. It returns -1 if all connections have requests.
func Oldest(all []Usage, now time.Time) int {
	chosen, best := -1, 0
	for i, u := range all {
		rank := 0
		switch {
		case u.Phase == PhaseNew:
			rank = 3
		case u.Phase == PhaseIdle:
			rank = 2
		case u.Phase == PhaseBody && !u.Waiting && u.Lag(now) > maxLag:
			rank = 1
		}
		if rank > best || rank > 0 && rank == best && u.Since.Before(all[chosen].Since) {
			chosen, best = i, rank
		}
	}
	return chosen
}

// mayWait reports whether a body that holds some bytes of a full account may wait for more,
// beside others that wait.
func mayWait(held, more, size int64, others int) bool {
	if others >= maxWaiting {
		return false
	}
	return others == 0 || held+more <= size/busyShare
}
