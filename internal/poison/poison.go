// Package poison finds requests that crash the backend servers that run them.
// Several requests run on a server when it crashes and most are innocent, so a
// crash makes all of them suspects; suspects then run apart and one at a time,
// and what completes is cleared. A request that stays suspect in two crashes is
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
	// MaxCrashes is how many backend servers a fingerprint may lose.
	MaxCrashes = 2
	// Expiry is how long crashes and clears are remembered.
	Expiry = time.Hour
	// waitRetry is the retry-after for a request that waits for another run.
	waitRetry = time.Second
	// maxRecords bounds the crashes, and the clears, that are remembered.
	maxRecords = 10_000
)

// Verdict says whether a request may run now.
type Verdict struct {
	State State
	// Run is false if the request must not be sent to any server now.
	Run bool
	// Permit asks the caller to obtain two permits at their homes first: that of
	// the fingerprint, and that of the server's Slot, so that in the whole cell a
	// suspect runs once and no two suspects run on the same server.
	Permit bool
	// Avoid lists servers on which this instance runs other suspects.
	Avoid []string
	// RetryAfter is set if Run is false but may become true.
	RetryAfter time.Duration
	// Final says that the request does not run before RetryAfter has passed, or
	// never if that is zero; it must not be held until then.
	Final bool
}

type run struct {
	server      string
	incarnation uint64
	n           int
	broken      bool // ended in a way that may turn out to be a crash
}

// Ledger is one entry instance's knowledge. Its methods may be called concurrently.
type Ledger struct {
	mu       sync.Mutex
	running  map[Fingerprint][]run
	crashes  map[crashKey]*crash
	clears   map[Fingerprint]time.Time
	proven   Recent // completed here
	permits  map[Fingerprint]permit
	unsent   map[crashKey]bool
	unsentOK map[Fingerprint]bool
	judged   map[Fingerprint]State // not Clear; nil if stale
	judgedAt time.Time
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{
		running: map[Fingerprint][]run{}, crashes: map[crashKey]*crash{}, clears: map[Fingerprint]time.Time{},
		permits: map[Fingerprint]permit{},
		unsent:  map[crashKey]bool{}, unsentOK: map[Fingerprint]bool{},
	}
}

// Check says whether a request may run now. At most two runs of a fingerprint
// that has not completed yet are allowed at the same time, as both may crash
// their servers before anything is known.
func (l *Ledger) Check(f Fingerprint, now time.Time) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.check(f, now)
}

func (l *Ledger) check(f Fingerprint, now time.Time) Verdict {
	v := Verdict{State: l.state(f, now), Run: true}
	n, broken := 0, 0
	for _, r := range l.running[f] {
		n += r.n
		if r.broken {
			broken += r.n
		}
	}
	switch {
	case v.State == Condemned:
		v.Run, v.Final = false, true
	case v.State == Quarantined:
		v.Run = false
		v.RetryAfter, v.Final = l.quarantine(f, now)
	case v.State == Suspect:
		v.Permit, v.Avoid = true, l.suspectServers(f, now)
		v.Run = n == 0
	case broken > 0 && !l.proven.Has(f):
		// It may become a suspect at any moment, and shares no server until then:
		// a second crash beside a suspect would leave both under suspicion.
		v.Permit, v.Avoid = true, l.suspectServers(f, now)
		v.Run = n == broken && n < MaxCrashes
	default:
		v.Run = n < MaxCrashes || l.proven.Has(f)
	}
	if !v.Run && v.State <= Suspect {
		v.RetryAfter = waitRetry
	}
	return v
}

// quarantine returns how long a request in two crashes stays out. It is final
// once the other instances have had the time to report what else ran there: two
// requests that were in the same two crashes cannot be told apart without a third.
func (l *Ledger) quarantine(f Fingerprint, now time.Time) (time.Duration, bool) {
	var first, last time.Time
	for _, c := range l.crashes {
		if !slices.Contains(c.suspects(l.clears, nil), f) {
			continue
		}
		if first.IsZero() || c.at.Before(first) {
			first = c.at
		}
		if c.at.After(last) {
			last = c.at
		}
	}
	if left := settle - now.Sub(last); left > 0 {
		return left, false
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
			if !isClear || r.broken {
				out = append(out, r.server)
			}
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Started records a run on a server that is about to start. It returns false,
// and records nothing, if the request must not run after all, because another
// run or a crash came between Check and Started.
func (l *Ledger) Started(f Fingerprint, server string, incarnation uint64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v := l.check(f, now); !v.Run || slices.Contains(v.Avoid, server) {
		return false
	}
	// A server that this request has crashed is at best a later incarnation which
	// has not been announced here yet. Its crash could not be told from the first.
	if c := l.crashes[crashKey{server, incarnation}]; c != nil && slices.Contains(c.all, f) && l.state(f, now) != Clear {
		return false
	}
	runs := l.running[f]
	for i := range runs {
		if runs[i].server == server && runs[i].incarnation == incarnation {
			runs[i].n++
			return true
		}
	}
	l.running[f] = append(runs, run{server: server, incarnation: incarnation, n: 1})
	return true
}

// Broken records that the connection of a run broke and that it is not known yet
// whether the server crashed. Ended or Crashed decides it.
func (l *Ledger) Broken(f Fingerprint, server string, incarnation uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, r := range l.running[f] {
		if r.server == server && r.incarnation == incarnation {
			l.running[f][i].broken = true
		}
	}
}

// Ended records that a run ended without a crash. A completed run clears its
// fingerprint; a cancelled or moved one says nothing.
func (l *Ledger) Ended(f Fingerprint, server string, incarnation uint64, completed bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stop(f, server, incarnation)
	if !completed {
		return
	}
	l.proven.Add(f)
	if l.state(f, now) != Clear {
		l.clears[f], l.unsentOK[f] = now, true
		l.judged = nil
	}
}

func (l *Ledger) stop(f Fingerprint, server string, incarnation uint64) {
	runs := l.running[f]
	for i := range runs {
		if runs[i].server != server || runs[i].incarnation != incarnation {
			continue
		}
		if runs[i].n--; runs[i].n == 0 {
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

// Crashed records that a server was lost without notice and ends this instance's
// runs on it. Requests that have completed before are no suspects. Call it only
// for crashes, not for announced reclaims.
func (l *Ledger) Crashed(server string, incarnation uint64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []Fingerprint
	for f, runs := range l.running {
		n := len(runs)
		runs = slices.DeleteFunc(runs, func(r run) bool { return r.server == server && r.incarnation == incarnation })
		if len(runs) == n {
			continue
		}
		l.running[f] = runs
		if len(runs) == 0 {
			delete(l.running, f)
		}
		if !l.proven.Has(f) {
			all = append(all, f)
		}
	}
	if len(all) > 0 {
		l.addCrash(crashKey{server, incarnation}, all, now)
	}
}

// addCrash merges suspects into a crash. The time of a crash is the earliest
// known one, so that repeated records expire.
func (l *Ledger) addCrash(key crashKey, all []Fingerprint, at time.Time) {
	c := l.crashes[key]
	if c == nil {
		if len(l.crashes) >= maxRecords {
			l.dropOldest()
		}
		c = &crash{at: at}
		l.crashes[key] = c
	}
	if at.Before(c.at) {
		c.at = at
	}
	n := len(c.all)
	c.all = append(c.all, all...)
	slices.SortFunc(c.all, func(a, b Fingerprint) int { return slices.Compare(a[:], b[:]) })
	c.all = slices.Compact(c.all)
	if len(c.all) > n {
		l.unsent[key], l.judged = true, nil
	}
}

func (l *Ledger) dropOldest() {
	var oldest crashKey
	var at time.Time
	for key, c := range l.crashes {
		if at.IsZero() || c.at.Before(at) {
			oldest, at = key, c.at
		}
	}
	delete(l.crashes, oldest)
	delete(l.unsent, oldest)
}

// Excess returns the servers on which runs of a fingerprint should be cancelled,
// because it has become a suspect while several ran: all but the oldest run of a
// suspect, and every run of a worse one.
func (l *Ledger) Excess(now time.Time) map[Fingerprint][]string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[Fingerprint][]string{}
	for f, runs := range l.running {
		s := l.state(f, now)
		first := 0
		if s == Suspect {
			first = 1
		}
		if s == Clear || len(runs) <= first {
			continue
		}
		for _, r := range runs[first:] {
			out[f] = append(out[f], r.server)
		}
	}
	return out
}
