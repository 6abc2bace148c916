package poison

import "time"

// settle is how long other instances have to report what they ran on a
// crashed server. Before it, nobody counts as the only suspect. It equals the
// age at which a permission to use a backend server lapses.
const settle = 3 * time.Second

// State of a fingerprint.
type State uint8

// The states of a fingerprint.
const (
	Clear       State = iota // runs normally
	Suspect                  // was on one crashed server; runs apart and one at a time
	Quarantined              // was on two, not known to be the cause; not run until they expire
	Condemned                // the cause of two crashes; final error
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"clear", "suspect", "quarantined", "condemned"}[s]
}

type crashKey struct {
	server      string
	incarnation uint64
}

type crash struct {
	at  time.Time
	all []Fingerprint // sorted
}

// State returns what is known about a fingerprint.
func (l *Ledger) State(f Fingerprint, now time.Time) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state(f, now)
}

// state judges all crashes again when something has changed or settled.
func (l *Ledger) state(f Fingerprint, now time.Time) State {
	if len(l.crashes) == 0 {
		return Clear
	}
	if l.judged == nil || now.Sub(l.judgedAt) >= time.Second {
		l.expire(now)
		l.judged, l.judgedAt = judge(l.crashes, l.clears, now), now
	}
	return l.judged[f]
}

func (l *Ledger) expire(now time.Time) {
	for key, c := range l.crashes {
		if now.Sub(c.at) >= Expiry {
			delete(l.crashes, key)
			delete(l.unsent, key)
		}
	}
	for f, at := range l.clears {
		if now.Sub(at) >= Expiry {
			delete(l.clears, f)
			delete(l.unsentOK, f)
		}
	}
}

// judge derives the states from the crashes. It repeats until nothing changes:
// the cause of a crash explains it, which may leave a single suspect in another.
// An explanation never lets a request run again, only its own completion does:
// two requests of a crash may both be causes, and running the second one again
// would cost it a third server.
func judge(crashes map[crashKey]*crash, clears map[Fingerprint]time.Time, now time.Time) map[Fingerprint]State {
	out, condemned := map[Fingerprint]State{}, map[Fingerprint]bool{}
	for _, c := range crashes {
		for _, f := range c.suspects(clears, nil) {
			out[f] = min(out[f]+1, Quarantined)
		}
	}
	for {
		count, only := map[Fingerprint]int{}, map[Fingerprint]bool{}
		for _, c := range crashes {
			left := c.suspects(clears, condemned)
			for _, f := range left {
				count[f]++
			}
			if len(left) == 1 && now.Sub(c.at) >= settle {
				only[left[0]] = true
			}
		}
		changed := false
		for f := range only {
			if count[f] >= MaxCrashes && !condemned[f] {
				condemned[f], changed = true, true
				out[f] = Condemned
			}
		}
		if !changed {
			return out
		}
	}
}

// suspects returns the requests that may have caused the crash.
func (c *crash) suspects(clears map[Fingerprint]time.Time, condemned map[Fingerprint]bool) []Fingerprint {
	var left, guilty []Fingerprint
	for _, f := range c.all {
		if condemned[f] {
			guilty = append(guilty, f)
		}
		if at, ok := clears[f]; !ok || at.Before(c.at) {
			left = append(left, f)
		}
	}
	if len(guilty) > 0 {
		return guilty
	}
	return left
}
