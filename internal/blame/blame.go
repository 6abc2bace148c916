// Package blame finds the prompt parts and requests that crash backend servers. All
// instances keep a Ledger of the crashes and exchange its records; the verdicts follow from
// the records alone.
//
// Whatever a request consists of is identified by keys. After a crash, the keys of all
// requests that the server held are suspects. A request that completes clears its keys, so
// that a key is blamed only if several servers crashed under it, one after the other, and no
// request with it has completed since. Crashes under a blamed key are no evidence against
// the keys beside it.
package blame

import (
	"cmp"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Threshold is the number of successive crashes after which a key is blamed. Two also
	// occur to a request that is retried beside the cause of both.
	Threshold = 3
	// soundThreshold is the same for a key with which requests completed shortly before the
	// first crash: what it is often beside is more likely to be the cause.
	soundThreshold = 5
	// ProbeInterval is the time after the last crash under a blamed key in which no request
	// with it runs. Then a request may show that the key is sound. The interval doubles with
	// each crash beyond Threshold.
	ProbeInterval = 15 * time.Second
	maxDoublings  = 5
	// twinProbeInterval and twinProbeSpacing replace ProbeInterval and probeSpacing for parts
	// that were at the same crashes and a request that tells them apart, since it holds only
	// some of them.
	twinProbeInterval = time.Second
	twinProbeSpacing  = 500 * time.Millisecond
	// probeSpacing is the mean time between the probes of a key by two instances. The others
	// learn of the result of the first within a few reports.
	probeSpacing = 2 * time.Second
	// Memory is how long a crash counts.
	Memory = 5 * time.Minute
	// maxKeys and maxCrashes bound the ledger: the keys, and the crashes of one key.
	maxKeys    = 4096
	maxCrashes = 32
	// overlap is by how much two successive crashes may seem to overlap, since instances
	// learn of them with different delays.
	overlap = 50 * time.Millisecond
	// completionMemory is how long a completion speaks for a key and clears crashes before it
	// that become known later.
	completionMemory = 5 * time.Second
	maxCompletions   = 1 << 15
	// minCorrection is the least correction of a crash's times that is passed on.
	minCorrection = 10 * time.Millisecond
	// decisionTime is how long a decision holds without new records.
	decisionTime = time.Second
)

// Key identifies a prompt part, or a request as a whole, at a service. Its lowest bit is set
// for a request.
type Key uint64

// PartKey returns the key of a prompt part at a service.
func PartKey(service, part string) Key { return hash("part", service, part) &^ 1 }

// RequestKey returns the key of a request as a whole.
func RequestKey(service, caller, method, target string, body []byte) Key {
	d := newHash("request", service, caller, method, target)
	_, _ = d.Write(body) // never fails
	return Key(d.Sum64()) | 1
}

func (k Key) isRequest() bool { return k&1 == 1 }

// Server identifies one incarnation of a backend server.
type Server uint64

// ServerOf returns the identifier of an incarnation of a server.
func ServerOf(id string, incarnation int64) Server {
	return Server(hash(id, strconv.FormatInt(incarnation, 10)))
}

func hash(words ...string) Key { return Key(newHash(words...).Sum64()) }

func newHash(words ...string) *xxhash.Digest {
	d := xxhash.New()
	for _, s := range words {
		_, _ = d.WriteString(s) // never fails
		_, _ = d.Write([]byte{0})
	}
	return d
}

// Crash states that a server crashed while it held a request with a key.
type Crash struct {
	Server  Server
	Held    time.Duration // for how long the server held the last such request that it got
	At      time.Time
	Cleared bool // a request with the key has completed since
}

// Record holds the crashes under one key.
type Record struct {
	Key     Key
	Sound   bool // requests with the key have completed, before the crashes or since
	Crashes []Crash
}

// Verdict is a change of the decision on a key.
type Verdict struct {
	Key     Key
	Blamed  bool
	Crashes []Crash // that show it
}

// suspect is a key with crashes.
type suspect struct {
	open    []Crash   // not cleared, ordered by time
	sound   bool      // as in Record
	cleared Crash     // the last cleared crash, which clears those before it; zero if none
	change  uint64    // number of the last change
	probed  time.Time // when a request with the key was last let through here although it is blamed
}

// Ledger holds the crashes that one instance knows of. It is safe for concurrent use.
type Ledger struct {
	self string

	mu        sync.Mutex
	instances int
	suspects  map[Key]*suspect
	change    uint64
	// The last completions of this instance, in two generations.
	completed, completedBefore map[Key]time.Time
	rotatedAt                  time.Time

	blamed    map[Key][]Crash
	twins     map[Key][]Key // for blamed parts, the other parts that were at the same crashes
	decidedAt time.Time     // zero if the records have changed since
	verdicts  []Verdict
}

// New returns an empty ledger of the named instance.
func New(self string) *Ledger {
	return &Ledger{self: self, instances: 1, suspects: map[Key]*suspect{}, completed: map[Key]time.Time{}, blamed: map[Key][]Crash{}}
}

// SetInstances sets the number of instances that accept requests.
func (l *Ledger) SetInstances(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances = max(n, 1)
}

// Crashed records that a server crashed while it held a request with the given keys, sent at
// a time.
func (l *Ledger) Crashed(s Server, keys []Key, sent, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range keys {
		l.put(k, Crash{Server: s, Held: now.Sub(sent), At: now}, now)
	}
}

// Completed records that a request with the given keys has completed.
func (l *Ledger) Completed(keys []Key, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.rotatedAt) >= completionMemory || len(l.completed) >= maxCompletions {
		l.completed, l.completedBefore, l.rotatedAt = map[Key]time.Time{}, l.completed, now
	}
	for _, k := range keys {
		l.completed[k] = now
		if s := l.suspects[k]; s != nil && (s.clear(now) || !s.sound) {
			s.sound = true
			l.changed(s)
		}
	}
}

// completedAt returns when a request with a key last completed here, if that was a short
// time ago. mu must be held.
func (l *Ledger) completedAt(k Key, now time.Time) (time.Time, bool) {
	at, ok := l.completed[k]
	if !ok {
		at, ok = l.completedBefore[k]
	}
	return at, ok && now.Sub(at) < 2*completionMemory
}

// Merge adds the records of another instance.
func (l *Ledger) Merge(records []Record, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range records {
		for _, c := range r.Crashes {
			l.put(r.Key, c, now)
		}
		if s := l.suspects[r.Key]; s != nil && r.Sound && !s.sound {
			s.sound = true
			l.changed(s)
		}
	}
}

// Since returns the records that changed after a change number, at most limit of them,
// those that changed first, and the change number to continue from.
func (l *Ledger) Since(change uint64, limit int, now time.Time) ([]Record, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if change >= l.change {
		return nil, l.change
	}
	l.expire(now)
	var keys []Key
	for k, s := range l.suspects {
		if s.change > change {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b Key) int { return cmp.Compare(l.suspects[a].change, l.suspects[b].change) })
	last := l.change
	if len(keys) > limit {
		keys = keys[:limit]
		last = l.suspects[keys[limit-1]].change
	}
	out := make([]Record, len(keys))
	for i, k := range keys {
		s := l.suspects[k]
		out[i] = Record{Key: k, Sound: s.sound, Crashes: slices.Clone(s.open)}
		if s.cleared.Cleared {
			out[i].Crashes = append(out[i].Crashes, s.cleared)
		}
	}
	return out, last
}

// Blamed returns the first of the given keys that is blamed. It lets one request through
// when a probe of all its blamed keys is due at this instance.
func (l *Ledger) Blamed(keys []Key, now time.Time) (Key, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decide(now)
	var blamed []Key
	due := true
	for _, k := range keys {
		if l.blamed[k] != nil {
			blamed = append(blamed, k)
			due = due && !now.Before(l.nextProbe(k, keys))
		}
	}
	switch {
	case len(blamed) == 0:
		return 0, false
	case !due:
		return blamed[0], true
	}
	for _, k := range blamed {
		l.suspects[k].probed = now
	}
	return 0, false
}

// nextProbe returns from when on this instance may let a request with the given keys through
// although one of them is blamed. The instances' times are spread, so that one after the other probes. mu must be held.
func (l *Ledger) nextProbe(k Key, keys []Key) time.Time {
	s := l.suspects[k]
	last := s.open[len(s.open)-1]
	d, spacing := ProbeInterval<<min(max(len(s.open)-Threshold, 0), maxDoublings), probeSpacing
	if slices.ContainsFunc(l.twins[k], func(twin Key) bool { return !slices.Contains(keys, twin) }) {
		d, spacing = twinProbeInterval, twinProbeSpacing
	}
	if s.probed.After(last.At) {
		return s.probed.Add(d)
	}
	phase := float64(hash(l.self, strconv.FormatUint(uint64(k), 16), strconv.FormatUint(uint64(last.Server), 16))) / (1 << 64)
	return last.At.Add(d + time.Duration(phase*float64(l.instances)*float64(spacing)))
}

// Verdicts returns the decisions that have changed since the last call.
func (l *Ledger) Verdicts(now time.Time) []Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decide(now)
	out := l.verdicts
	l.verdicts = nil
	return out
}

// put adds a crash to a key. mu must be held.
func (l *Ledger) put(k Key, c Crash, now time.Time) {
	if now.Sub(c.At) >= Memory {
		return
	}
	s := l.suspects[k]
	if s == nil {
		if len(l.suspects) >= maxKeys {
			l.evict(now)
		}
		s = &suspect{}
		l.suspects[k] = s
	}
	changed := s.put(c)
	if at, ok := l.completedAt(k, now); ok && (s.clear(at) || !s.sound) {
		s.sound, changed = true, true
	}
	if changed {
		l.changed(s)
	}
}

// changed numbers a change of a suspect. mu must be held.
func (l *Ledger) changed(s *suspect) {
	l.change++
	s.change = l.change
	l.decidedAt = time.Time{}
}

// put adds a crash and reports whether other instances must learn of a change.
func (s *suspect) put(c Crash) bool {
	if s.cleared.Cleared && s.cleared.Server == c.Server {
		s.cleared = s.cleared.combine(c)
		return false
	}
	i := slices.IndexFunc(s.open, func(o Crash) bool { return o.Server == c.Server })
	switch {
	case c.Cleared:
		if i >= 0 {
			c = c.combine(s.open[i])
		}
		if s.cleared.Cleared && !c.At.After(s.cleared.At) {
			return false
		}
		s.cleared = c
		s.open = slices.DeleteFunc(s.open, func(o Crash) bool { return o.Server == c.Server || !o.At.After(c.At) })
		return true
	case s.cleared.Cleared && !c.At.After(s.cleared.At):
		return false
	case i >= 0:
		before := s.open[i]
		s.open[i] = before.combine(c)
		s.sort()
		return before.Held-c.Held >= minCorrection || before.At.Sub(c.At) >= minCorrection
	}
	s.open = append(s.open, c)
	s.sort()
	if len(s.open) > maxCrashes {
		s.open = slices.Delete(s.open, 0, len(s.open)-maxCrashes)
	}
	return true
}

func (s *suspect) sort() {
	slices.SortFunc(s.open, func(a, b Crash) int { return a.At.Compare(b.At) })
}

// combine combines two reports of one crash. A report seems later the longer it was on its
// way.
func (c Crash) combine(other Crash) Crash {
	c.Held = min(c.Held, other.Held)
	if other.At.Before(c.At) {
		c.At = other.At
	}
	return c
}

// clear clears the crashes up to a time and reports whether there were any.
func (s *suspect) clear(completed time.Time) bool {
	n := 0
	for n < len(s.open) && !s.open[n].At.After(completed) {
		n++
	}
	if n == 0 {
		return false
	}
	s.cleared = s.open[n-1]
	s.cleared.Cleared = true
	s.open = slices.Delete(s.open, 0, n)
	return true
}

// count returns how many crashes happened one after the other: each to a request that its
// server got after the crash before. Crashes at the same time may have a cause outside of
// the requests. Crashes of explained servers do not count.
func (s *suspect) count(explained map[Server]bool) int {
	n := 0
	var last time.Time
	for _, c := range s.open {
		if !explained[c.Server] && !c.At.Add(overlap-c.Held).Before(last) {
			n++
			last = c.At
		}
	}
	return n
}

// expire forgets old crashes. mu must be held.
func (l *Ledger) expire(now time.Time) {
	for k, s := range l.suspects {
		n := len(s.open)
		s.open = slices.DeleteFunc(s.open, func(c Crash) bool { return now.Sub(c.At) >= Memory })
		if len(s.open) < n {
			l.decidedAt = time.Time{}
		}
		if len(s.open) == 0 && now.Sub(s.cleared.At) >= Memory {
			delete(l.suspects, k)
		}
	}
}

// evict forgets the keys that matter least: those with the fewest successive crashes, the
// oldest first. mu must be held.
func (l *Ledger) evict(now time.Time) {
	l.expire(now)
	type entry struct {
		key    Key
		count  int
		lastAt time.Time
	}
	all := make([]entry, 0, len(l.suspects))
	for k, s := range l.suspects {
		e := entry{k, min(s.count(nil), Threshold), s.cleared.At}
		if n := len(s.open); n > 0 {
			e.lastAt = s.open[n-1].At
		}
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b entry) int {
		return cmp.Or(cmp.Compare(a.count, b.count), a.lastAt.Compare(b.lastAt), cmp.Compare(a.key, b.key))
	})
	for _, e := range all[:max(len(all)-maxKeys+maxKeys/8, 0)] {
		delete(l.suspects, e.key)
	}
	l.decidedAt = time.Time{}
}

// decide finds the blamed keys: those that were not sound before, and only then the others.
// mu must be held.
func (l *Ledger) decide(now time.Time) {
	if !l.decidedAt.IsZero() && now.Sub(l.decidedAt) < decisionTime {
		return
	}
	l.expire(now)
	l.decidedAt = now
	blamed, explained := map[Key][]Crash{}, map[Server]bool{}
	l.twins = map[Key][]Key{}
	for _, sound := range []bool{false, true} {
		for found := l.mostCrashes(sound, explained); len(found) > 0; found = l.mostCrashes(sound, explained) {
			for _, k := range found {
				l.twins[k] = l.twinsOf(k, explained)
			}
			for _, k := range found {
				blamed[k] = slices.Clone(l.suspects[k].open)
				for _, c := range blamed[k] {
					explained[c.Server] = true
				}
			}
		}
	}
	for k, crashes := range blamed {
		if l.blamed[k] == nil {
			l.verdicts = append(l.verdicts, Verdict{Key: k, Blamed: true, Crashes: crashes})
		}
	}
	for k := range l.blamed {
		if blamed[k] == nil {
			l.verdicts = append(l.verdicts, Verdict{Key: k})
		}
	}
	l.blamed = blamed
}

// mostCrashes returns the keys to blame that have the most crashes which are not explained.
// mu must be held.
func (l *Ledger) mostCrashes(sound bool, explained map[Server]bool) []Key {
	needed := Threshold
	if sound {
		needed = soundThreshold
	}
	var found []Key
	most := 0
	for k, s := range l.suspects {
		if s.sound != sound || len(s.open) < needed || s.count(explained) < needed {
			continue
		}
		n := s.crashes(explained)
		switch {
		case n < most || l.isOutdone(s, explained):
		case n > most:
			most, found = n, []Key{k}
		default:
			found = append(found, k)
		}
	}
	return found
}

// isOutdone reports whether another key was present at all crashes under s and at others. A
// key that was sound before does not outdo one that was not. mu must be held.
func (l *Ledger) isOutdone(s *suspect, explained map[Server]bool) bool {
	n := s.crashes(explained)
	for _, other := range l.suspects {
		if other != s && (s.sound || !other.sound) && other.crashes(explained) > n && other.covers(s, explained) {
			return true
		}
	}
	return false
}

// twinsOf returns the other parts that were at exactly the crashes under a part, so that
// each may be the cause. mu must be held.
func (l *Ledger) twinsOf(k Key, explained map[Server]bool) []Key {
	if k.isRequest() {
		return nil
	}
	s := l.suspects[k]
	n := s.crashes(explained)
	var out []Key
	for other, o := range l.suspects {
		if o != s && !other.isRequest() && o.sound == s.sound && o.crashes(explained) == n && o.covers(s, explained) {
			out = append(out, other)
		}
	}
	return out
}

// covers reports whether s includes all crashes under other that are not explained.
func (s *suspect) covers(other *suspect, explained map[Server]bool) bool {
	return !slices.ContainsFunc(other.open, func(c Crash) bool {
		return !explained[c.Server] && !slices.ContainsFunc(s.open, func(o Crash) bool { return o.Server == c.Server })
	})
}

// crashes returns the number of crashes of servers that are not explained.
func (s *suspect) crashes(explained map[Server]bool) int {
	n := 0
	for _, c := range s.open {
		if !explained[c.Server] {
			n++
		}
	}
	return n
}
