package poison

import "time"

// permitLease bounds how long a suspect's permit is held if its holder dies;
// it is the longest run of a request in the default settings.
const permitLease = time.Hour

type permit struct {
	node  string
	until time.Time
}

// Permit asks this ledger, as the home of the fingerprint, for the one permit to
// run a suspect, or to use a Slot, in the cell. Asking again renews it.
func (l *Ledger) Permit(f Fingerprint, node string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.permits[f]
	if p.node != node && now.Before(p.until) || l.state(f, now) > Suspect {
		return false
	}
	if len(l.permits) >= maxRecords {
		for g, p := range l.permits {
			if !now.Before(p.until) {
				delete(l.permits, g)
			}
		}
	}
	l.permits[f] = permit{node, now.Add(permitLease)}
	return true
}

// Drop takes a permit back if its holder, who asked last at since, is gone. A
// process that dies with a permit would otherwise hold up the request for permitLease.
func (l *Ledger) Drop(f Fingerprint, gone func(node string, since time.Time) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p, ok := l.permits[f]; ok && gone(p.node, p.until.Add(-permitLease)) {
		delete(l.permits, f)
	}
}

// Release gives a permit back.
func (l *Ledger) Release(f Fingerprint, node string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.permits[f].node == node {
		delete(l.permits, f)
	}
}
