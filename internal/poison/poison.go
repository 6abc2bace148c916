// Package poison finds requests that crash the backend servers that run them. Several
// requests run on a server when it crashes and most did not cause the crash, so all of
// them become suspects. Suspects then run one at a time on separate servers, and those
// that complete are cleared. A request that remains a possible cause of two crashes is
// not run again.
package poison

import (
	"slices"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("poison")

const (
	// MaxCrashes is how many backend servers a fingerprint may crash.
	MaxCrashes = 2
	// Expiry is how long crashes and clears are kept.
	Expiry = time.Hour
	// retryDelay is the RetryAfter of a request that waits for another run.
	retryDelay = time.Second
	// maxRecords bounds the number of crashes kept, and that of clears.
	maxRecords = 10_000
)

// Verdict tells whether a request may run now.
type Verdict struct {
	State State
	// Run is true if the request may be sent to a server now.
	Run bool
	// Permit requires the caller to obtain two permits from their PermitOwner first:
	// that of the fingerprint and that of the server's ServerPermitKey. They ensure
	// that in the whole cell a suspect runs only once and no two suspects run on the
	// same server.
	Permit bool
	// Avoid lists the servers that the request must not use because this instance runs
	// other suspects there, or requests whose connection broke.
	Avoid []string
	// RetryAfter is set if Run is false but may become true.
	RetryAfter time.Duration
	// Final means that the request must be refused instead of waiting: it cannot run
	// before RetryAfter has passed or, if RetryAfter is zero, not at all.
	Final bool
}

type run struct {
	server       string
	incarnation  uint64
	count        int
	maybeCrashed bool // the connection broke; not yet known whether the server crashed
}

// Ledger holds the runs and crashes that one entry instance knows of, and the permits
// that it has granted. It is safe for concurrent use.
type Ledger struct {
	mu            sync.Mutex
	running       map[Fingerprint][]run
	crashes       map[crashKey]*crash
	cleared       map[Fingerprint]time.Time
	completed     Recent // completed at this instance
	permits       map[Fingerprint]permit
	unsentCrashes map[crashKey]bool
	unsentClears  map[Fingerprint]bool
	states        map[Fingerprint]State // of all fingerprints that are not Clear; nil if they must be derived again
	statesAt      time.Time
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{
		running: map[Fingerprint][]run{}, crashes: map[crashKey]*crash{}, cleared: map[Fingerprint]time.Time{},
		permits:       map[Fingerprint]permit{},
		unsentCrashes: map[crashKey]bool{}, unsentClears: map[Fingerprint]bool{},
	}
}

// Check tells whether a request may run now. A fingerprint that has not completed yet may
// have at most two concurrent runs, as each may crash its server before the first crash
// is known.
func (l *Ledger) Check(f Fingerprint, now time.Time) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.check(f, now)
}

func (l *Ledger) check(f Fingerprint, now time.Time) Verdict {
	v := Verdict{State: l.state(f, now), Run: true}
	runs, maybeCrashed := 0, 0
	for _, r := range l.running[f] {
		runs += r.count
		if r.maybeCrashed {
			maybeCrashed += r.count
		}
	}
	switch {
	case v.State == Confirmed:
		v.Run, v.Final = false, true
	case v.State == Quarantined:
		v.Run = false
		v.RetryAfter, v.Final = l.quarantineTime(f, now)
	case v.State == Suspect:
		v.Permit, v.Avoid = true, l.suspectServers(f, now)
		v.Run = runs == 0
	case maybeCrashed > 0 && !l.completed.Has(f):
		// The request may become a suspect at any moment and must not share a server
		// until then: after a crash beside a suspect, either could be the cause.
		v.Permit, v.Avoid = true, l.suspectServers(f, now)
		v.Run = runs == maybeCrashed && runs < MaxCrashes
	default:
		v.Run = runs < MaxCrashes || l.completed.Has(f)
	}
	if !v.Run && v.State <= Suspect {
		v.RetryAfter = retryDelay
	}
	return v
}

// quarantineTime returns how long a quarantined request must not run, and whether it must
// be refused for this time. It waits while other instances may still report what else ran
// on the crashed servers. After that, only another crash could tell which of two requests
// with the same two crashes is the cause.
func (l *Ledger) quarantineTime(f Fingerprint, now time.Time) (time.Duration, bool) {
	var first, last time.Time
	for _, c := range l.crashes {
		if !slices.Contains(c.possibleCauses(l.cleared, nil), f) {
			continue
		}
		if first.IsZero() || c.at.Before(first) {
			first = c.at
		}
		if c.at.After(last) {
			last = c.at
		}
	}
	if remaining := crashReportDelay - now.Sub(last); remaining > 0 {
		return remaining, false
	}
	return Expiry - now.Sub(first), true
}

func (l *Ledger) suspectServers(f Fingerprint, now time.Time) []string {
	var out []string
	for g, runs := range l.running {
		if g == f {
			continue
		}
		isClear := l.state(g, now) == Clear
		for _, r := range runs {
			if !isClear || r.maybeCrashed {
				out = append(out, r.server)
			}
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Started records a run that is about to start on a server. It returns false, and
// records nothing, if the request must not run because of another run or a crash since
// Check.
func (l *Ledger) Started(f Fingerprint, server string, incarnation uint64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v := l.check(f, now); !v.Run || slices.Contains(v.Avoid, server) {
		return false
	}
	// If the request has crashed this incarnation, the server can only be a later
	// incarnation that is not yet known here. A second crash would then be recorded
	// under the old incarnation and merge with the first.
	if c := l.crashes[crashKey{server, incarnation}]; c != nil && slices.Contains(c.fingerprints, f) && l.state(f, now) != Clear {
		return false
	}
	runs := l.running[f]
	for i := range runs {
		if runs[i].server == server && runs[i].incarnation == incarnation {
			runs[i].count++
			return true
		}
	}
	l.running[f] = append(runs, run{server: server, incarnation: incarnation, count: 1})
	return true
}

// MaybeCrashed records that the connection of a run broke and that it is not yet known
// whether the server crashed. Ended or Crashed must follow.
func (l *Ledger) MaybeCrashed(f Fingerprint, server string, incarnation uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, r := range l.running[f] {
		if r.server == server && r.incarnation == incarnation {
			l.running[f][i].maybeCrashed = true
		}
	}
}

// Ended records that a run ended without a crash. A completed run clears its
// fingerprint; a cancelled or moved run does not.
func (l *Ledger) Ended(f Fingerprint, server string, incarnation uint64, completed bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endRun(f, server, incarnation)
	if !completed {
		return
	}
	l.completed.Add(f)
	if l.state(f, now) != Clear {
		l.cleared[f], l.unsentClears[f] = now, true
		l.states = nil
	}
}

func (l *Ledger) endRun(f Fingerprint, server string, incarnation uint64) {
	runs := l.running[f]
	for i := range runs {
		if runs[i].server != server || runs[i].incarnation != incarnation {
			continue
		}
		if runs[i].count--; runs[i].count == 0 {
			runs = slices.Delete(runs, i, i+1)
		}
		break
	}
	if len(runs) == 0 {
		delete(l.running, f)
		return
	}
	l.running[f] = runs
}

// Crashed records that a server was lost without notice and ends the runs of this
// instance on it for which MaybeCrashed was called. The others stay recorded until their
// own connections break: they may not have reached the server before it was lost, and
// count as running meanwhile. Requests that have completed at this instance before do not
// become suspects. Crashed must not be called for announced reclaims.
func (l *Ledger) Crashed(server string, incarnation uint64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var suspects []Fingerprint
	for f, runs := range l.running {
		n := len(runs)
		runs = slices.DeleteFunc(runs, func(r run) bool {
			return r.server == server && r.incarnation == incarnation && r.maybeCrashed
		})
		if len(runs) == n {
			continue
		}
		l.running[f] = runs
		if len(runs) == 0 {
			delete(l.running, f)
		}
		if !l.completed.Has(f) {
			suspects = append(suspects, f)
		}
	}
	if len(suspects) > 0 {
		l.addCrash(crashKey{server, incarnation}, suspects, now)
	}
}

// addCrash adds fingerprints to a crash. The earliest known time of a crash is kept, so
// that records that instances repeat to each other still expire.
func (l *Ledger) addCrash(key crashKey, fingerprints []Fingerprint, at time.Time) {
	c := l.crashes[key]
	if c == nil {
		if len(l.crashes) >= maxRecords {
			l.evictOldestCrash()
		}
		c = &crash{at: at}
		l.crashes[key] = c
	}
	if at.Before(c.at) {
		c.at = at
	}
	n := len(c.fingerprints)
	c.fingerprints = append(c.fingerprints, fingerprints...)
	slices.SortFunc(c.fingerprints, func(a, b Fingerprint) int { return slices.Compare(a[:], b[:]) })
	c.fingerprints = slices.Compact(c.fingerprints)
	if len(c.fingerprints) > n {
		l.unsentCrashes[key], l.states = true, nil
	}
}

func (l *Ledger) evictOldestCrash() {
	var oldest crashKey
	var at time.Time
	for key, c := range l.crashes {
		if at.IsZero() || c.at.Before(at) {
			oldest, at = key, c.at
		}
	}
	delete(l.crashes, oldest)
	delete(l.unsentCrashes, oldest)
}

// RunsToCancel returns the servers on which runs of a fingerprint must be cancelled because its
// state has changed while they ran: all but the oldest run of a suspect, and all runs of
// a quarantined or confirmed fingerprint.
func (l *Ledger) RunsToCancel(now time.Time) map[Fingerprint][]string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[Fingerprint][]string{}
	for f, runs := range l.running {
		s := l.state(f, now)
		keep := 0
		if s == Suspect {
			keep = 1
		}
		if s == Clear || len(runs) <= keep {
			continue
		}
		for _, r := range runs[keep:] {
			out[f] = append(out[f], r.server)
		}
	}
	return out
}
