package poison

import "time"

// crashReportDelay is how long other instances have to report what they ran on a
// crashed server. Until then no request counts as the only possible cause. The delay
// equals the longest lease with which an instance may send to backend servers.
const crashReportDelay = 3 * time.Second

// State is what the crashes imply about a fingerprint.
type State uint8

// The states of a fingerprint.
const (
	Clear       State = iota // runs normally
	Suspect                  // possible cause of one crash; runs one at a time and not beside other suspects
	Quarantined              // possible cause of two crashes; not run until the first of them expires
	Confirmed                // known cause of two crashes; refused with a final error
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
	at           time.Time
	fingerprints []Fingerprint // sorted
}

// State returns the state of a fingerprint.
func (l *Ledger) State(f Fingerprint, now time.Time) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state(f, now)
}

// state returns the state of f. It derives all states again after a change, and every
// second because crashReportDelay and Expiry depend on time. The caller holds mu.
func (l *Ledger) state(f Fingerprint, now time.Time) State {
	if len(l.crashes) == 0 {
		return Clear
	}
	if l.states == nil || now.Sub(l.statesAt) >= time.Second {
		l.expire(now)
		l.states, l.statesAt = deriveStates(l.crashes, l.cleared, now), now
	}
	return l.states[f]
}

func (l *Ledger) expire(now time.Time) {
	for key, c := range l.crashes {
		if now.Sub(c.at) >= Expiry {
			delete(l.crashes, key)
			delete(l.unsentCrashes, key)
		}
	}
	for f, at := range l.cleared {
		if now.Sub(at) >= Expiry {
			delete(l.cleared, f)
			delete(l.unsentClears, f)
		}
	}
}

// deriveStates derives the states of the fingerprints from the crashes. The loop repeats
// until nothing changes, because each cause found may affect the possible causes of
// other crashes. A crash with a known cause does not clear its other requests; only
// their completion does. Two requests of one crash may both be causes, and running the
// second one again would crash a third server.
func deriveStates(crashes map[crashKey]*crash, cleared map[Fingerprint]time.Time, now time.Time) map[Fingerprint]State {
	states, confirmed := map[Fingerprint]State{}, map[Fingerprint]bool{}
	for _, c := range crashes {
		for _, f := range c.possibleCauses(cleared, nil) {
			states[f] = min(states[f]+1, Quarantined)
		}
	}
	for {
		crashCount, soleCauses := map[Fingerprint]int{}, map[Fingerprint]bool{}
		for _, c := range crashes {
			causes := c.possibleCauses(cleared, confirmed)
			for _, f := range causes {
				crashCount[f]++
			}
			if len(causes) == 1 && now.Sub(c.at) >= crashReportDelay {
				soleCauses[causes[0]] = true
			}
		}
		changed := false
		for f := range soleCauses {
			if crashCount[f] >= MaxCrashes && !confirmed[f] {
				confirmed[f], changed = true, true
				states[f] = Confirmed
			}
		}
		if !changed {
			return states
		}
	}
}

// possibleCauses returns the requests that may have caused the crash: those already
// confirmed if there are any, and otherwise those that have not completed since.
func (c *crash) possibleCauses(cleared map[Fingerprint]time.Time, confirmed map[Fingerprint]bool) []Fingerprint {
	var causes, knownCauses []Fingerprint
	for _, f := range c.fingerprints {
		if confirmed[f] {
			knownCauses = append(knownCauses, f)
		}
		if at, ok := cleared[f]; !ok || at.Before(c.at) {
			causes = append(causes, f)
		}
	}
	if len(knownCauses) > 0 {
		return knownCauses
	}
	return causes
}
