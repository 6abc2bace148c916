package poison

import "time"

// permitLifetime bounds how long a permit is held if its holder dies. It equals the
// longest run of a request in the default settings.
const permitLifetime = time.Hour

type permit struct {
	holder  string
	expires time.Time
}

// Permit grants holder the cell's only permit for f, the fingerprint of a suspect or a
// ServerPermitKey, and reports whether it did. It must be called on the ledger of the
// PermitOwner of f. A permit is refused while another holder has it, and for a quarantined
// or confirmed fingerprint. A repeated request by the holder renews the permit.
func (l *Ledger) Permit(f Fingerprint, holder string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.permits[f]
	if p.holder != holder && now.Before(p.expires) || l.state(f, now) > Suspect {
		return false
	}
	if len(l.permits) >= maxRecords {
		for g, p := range l.permits {
			if !now.Before(p.expires) {
				delete(l.permits, g)
			}
		}
	}
	l.permits[f] = permit{holder, now.Add(permitLifetime)}
	return true
}

// RevokeIfGone revokes a permit if hasEnded reports that its holder, which last renewed
// it at since, no longer runs. Without this, a process that dies with a permit would
// block the request for permitLifetime.
func (l *Ledger) RevokeIfGone(f Fingerprint, hasEnded func(instance string, since time.Time) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p, ok := l.permits[f]; ok && hasEnded(p.holder, p.expires.Add(-permitLifetime)) {
		delete(l.permits, f)
	}
}

// Release returns a permit.
func (l *Ledger) Release(f Fingerprint, holder string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.permits[f].holder == holder {
		delete(l.permits, f)
	}
}
