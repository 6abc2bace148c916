// Package poison finds requests that crash the backend servers that run them.
// Several requests run on a server when it crashes and most are innocent, so a
// crash makes all of them suspects; suspects then run apart and one at a time,
// and what completes is cleared. A request that stays suspect in two crashes is
// not run again.
package poison

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"maps"
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
	// settle is how long other instances have to report what they ran on a
	// crashed server. Before it, nobody counts as the only suspect. It equals the
	// age at which a permission to use a backend server lapses.
	settle = 3 * time.Second
	// permitLease bounds how long a suspect's permit is held if its holder dies;
	// it is the longest run of a request in the default settings.
	permitLease = time.Hour
	// waitRetry is the retry-after for a request that waits for another run.
	waitRetry = time.Second
	// maxRecords bounds the crashes, and the clears, that are remembered.
	maxRecords = 10_000
	// maxProven bounds one of two generations of completed fingerprints.
	maxProven = 1 << 15
)

// Fingerprint identifies a request by service, version and body. It is a
// cryptographic hash, so that no caller can make another's request a suspect.
type Fingerprint [16]byte

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Of returns the fingerprint of a request.
func Of(service, version string, body []byte) Fingerprint {
	h := sha256.New()
	var n [8]byte
	for _, s := range []string{service, version} {
		binary.BigEndian.PutUint64(n[:], uint64(len(s)))
		h.Write(n[:])
		h.Write([]byte(s))
	}
	h.Write(body)
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

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

type crashKey struct {
	server      string
	incarnation uint64
}

type crash struct {
	at  time.Time
	all []Fingerprint // sorted
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
	proven   map[Fingerprint]struct{} // completed here
	older    map[Fingerprint]struct{}
	permits  map[Fingerprint]permit
	unsent   map[crashKey]bool
	unsentOK map[Fingerprint]bool
	judged   map[Fingerprint]State // not Clear; nil if stale
	judgedAt time.Time
}

type permit struct {
	node  string
	until time.Time
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{
		running: map[Fingerprint][]run{}, crashes: map[crashKey]*crash{}, clears: map[Fingerprint]time.Time{},
		proven: map[Fingerprint]struct{}{}, permits: map[Fingerprint]permit{},
		unsent: map[crashKey]bool{}, unsentOK: map[Fingerprint]bool{},
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
	case broken > 0 && !l.isProven(f):
		// It may become a suspect at any moment, and shares no server until then:
		// a second crash beside a suspect would leave both under suspicion.
		v.Permit, v.Avoid = true, l.suspectServers(f, now)
		v.Run = n == broken && n < MaxCrashes
	default:
		v.Run = n < MaxCrashes || l.isProven(f)
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
		clear := l.state(g, now) == Clear
		for _, r := range runs {
			if !clear || r.broken {
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
	l.prove(f)
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

func (l *Ledger) isProven(f Fingerprint) bool {
	if _, ok := l.proven[f]; ok {
		return true
	}
	_, ok := l.older[f]
	return ok
}

func (l *Ledger) prove(f Fingerprint) {
	if len(l.proven) >= maxProven {
		l.proven, l.older = map[Fingerprint]struct{}{}, l.proven
	}
	l.proven[f] = struct{}{}
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
		if !l.isProven(f) {
			all = append(all, f)
		}
	}
	if len(all) > 0 {
		l.addCrash(crashKey{server, incarnation}, all, now)
	}
}

// addCrash merges suspects into a crash and reports whether that changed it. The
// time of a crash is the earliest known one, so that repeated records expire.
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

// Slot returns the key of the permit to run a suspect on a server.
func Slot(server string, incarnation uint64) Fingerprint {
	return Of("slot", server, binary.BigEndian.AppendUint64(nil, incarnation))
}

// Home returns the node that gives the permits of a fingerprint: the one with
// the highest hash, so that all instances with the same list of nodes agree.
func Home(f Fingerprint, nodes []string) string {
	if len(nodes) == 0 {
		return ""
	}
	return Homes(f, nodes)[0]
}

// Homes returns the nodes in the order in which they are homes of a fingerprint.
// Lists that differ in one node give the same order for the others.
func Homes(f Fingerprint, nodes []string) []string {
	hash := map[string]Fingerprint{}
	for _, n := range nodes {
		hash[n] = Of(n, "", f[:])
	}
	return slices.SortedFunc(maps.Keys(hash), func(a, b string) int {
		x, y := hash[a], hash[b]
		return cmp.Or(slices.Compare(y[:], x[:]), cmp.Compare(a, b))
	})
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
