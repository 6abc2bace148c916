package poison

import "time"

// permitLifetime bounds how long a permit is held if its holder dies. It equals the
// longest run of a request in the default settings.
const permitLifetime = time.Hour

type permit struct {
	holder  string
	expires time.Time
}

// Permit requests from this ledger, as the fingerprint's PermitOwner, the cell's only
// permit to run a suspect or to use a server. A repeated request by the holder renews
// the permit.
func (l *Ledger) Permit(f Fingerprint, instance string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.permits[f]
	if p.holder != instance && now.Before(p.expires) || l.state(f, now) > Suspect {
		return false
	}
	if len(l.permits) >= maxRecords {
		for g, p := range l.permits {
			if !now.Before(p.expires) {
				delete(l.permits, g)
			}
		}
	}
	l.permits[f] = permit{instance, now.Add(permitLifetime)}
	return true
}

// RevokeIfGone revokes a permit if gone reports that its holder, which last renewed it
// at since, no longer runs. Otherwise a process that dies with a permit would block the
// request for permitLifetime.
func (l *Ledger) RevokeIfGone(f Fingerprint, gone func(instance string, since time.Time) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p, ok := l.permits[f]; ok && gone(p.holder, p.expires.Add(-permitLifetime)) {
		delete(l.permits, f)
	}
}

// Release returns a permit.
func (l *Ledger) Release(f Fingerprint, instance string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.permits[f].holder == instance {
		delete(l.permits, f)
	}
}
