package blame

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

var start = time.Date(2026, 3, 4, 12, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func isBlamed(l *Ledger, now time.Time, keys ...Key) bool {
	_, ok := l.Blamed(keys, now)
	return ok
}

// Guards against blame without enough evidence and against a key that crashes servers
// without end.
func TestBlamed(t *testing.T) {
	type crash struct{ server, sentMs, atMs int }
	for _, c := range []struct {
		name        string
		crashes     []crash
		completedMs int // 0 for never
		askedMs     int
		want        bool
	}{
		{"no crash", nil, 0, 1000, false},
		{"two crashes", []crash{{1, 0, 100}, {2, 110, 200}}, 0, 1000, false},
		{"three crashes, one after the other", []crash{{1, 0, 100}, {2, 110, 200}, {3, 210, 300}}, 0, 1000, true},
		{"known in another order", []crash{{3, 210, 300}, {1, 0, 100}, {2, 110, 200}}, 0, 1000, true},
		{"all at once", []crash{{1, 0, 300}, {2, 10, 301}, {3, 20, 302}, {4, 30, 303}}, 0, 1000, false},
		{"one server", []crash{{1, 0, 100}, {1, 110, 200}, {1, 210, 300}}, 0, 1000, false},
		{"completed between", []crash{{1, 0, 100}, {2, 110, 200}, {3, 210, 300}}, 250, 1000, false},
		{"completed before", []crash{{1, 100, 200}, {2, 210, 300}, {3, 310, 400}}, 50, 1000, false},
		{"completed before, more crashes", []crash{{1, 100, 200}, {2, 210, 300}, {3, 310, 400}, {4, 410, 500}, {5, 510, 600}}, 50, 1000, true},
		{"completed at last", []crash{{1, 0, 100}, {2, 110, 200}, {3, 210, 300}}, 900, 1000, false},
		{"long ago", []crash{{1, 0, 100}, {2, 110, 200}, {3, 210, 300}}, 0, 101 + int(Memory/time.Millisecond), false},
	} {
		l := New("a")
		for _, x := range c.crashes {
			l.Crashed(Server(x.server), []Key{7}, at(x.sentMs), at(x.atMs))
		}
		if c.completedMs > 0 {
			l.Completed([]Key{7}, at(c.completedMs))
		}
		if got := isBlamed(l, at(c.askedMs), 5, 7); got != c.want {
			t.Errorf("%s: blamed is %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against blame for a part that is often beside the one that crashes servers.
func TestCrashesAreExplained(t *testing.T) {
	l := New("a")
	for i := range 4 {
		keys := []Key{1}
		if i > 0 {
			keys = append(keys, 2) // three crashes, all under key 1
		}
		l.Crashed(Server(i), keys, at(100*i), at(100*i+90))
	}
	if !isBlamed(l, at(1000), 1) {
		t.Error("key 1 is not blamed for four crashes")
	}
	if isBlamed(l, at(1000), 2) {
		t.Error("key 2 is blamed for crashes that key 1 explains")
	}
	for i := range 3 {
		l.Crashed(Server(10+i), []Key{2}, at(2000+100*i), at(2090+100*i))
	}
	if !isBlamed(l, at(3000), 2) {
		t.Error("key 2 is not blamed for three crashes of its own")
	}
}

// Guards against a key that stays blamed after a request with it has completed at any
// instance, and against decisions that are reported twice or never.
func TestVerdicts(t *testing.T) {
	a, b := New("a"), New("b")
	for i := range 3 {
		a.Crashed(Server(i), []Key{1}, at(100*i), at(100*i+90))
	}
	records, last := a.Since(0, 10, at(300))
	b.Merge(records, at(300))
	got := b.Verdicts(at(300))
	if len(got) != 1 || got[0].Key != 1 || !got[0].Blamed || len(got[0].Crashes) != 3 {
		t.Fatalf("verdicts %v, want key 1 blamed for 3 crashes", got)
	}
	if got := b.Verdicts(at(301)); len(got) != 0 {
		t.Errorf("verdicts %v, want none twice", got)
	}
	a.Completed([]Key{1}, at(400))
	records, last = a.Since(last, 10, at(410))
	b.Merge(records, at(410))
	got = b.Verdicts(at(410))
	if len(got) != 1 || got[0].Blamed {
		t.Errorf("verdicts %v, want key 1 acquitted", got)
	}
	if records, _ = a.Since(last, 10, at(420)); len(records) != 0 {
		t.Errorf("%d records without a change", len(records))
	}
}

// Guards against records that instances repeat to each other without end, and against
// crashes that revive after a request has completed.
func TestExchangeSettles(t *testing.T) {
	ledgers := []*Ledger{New("a"), New("b"), New("c")}
	seen := [3][3]uint64{}
	now := at(0)
	exchange := func() (records int) {
		for from, l := range ledgers {
			for to, other := range ledgers {
				if from == to {
					continue
				}
				now = now.Add(30 * time.Millisecond) // each message is late by this
				r, last := l.Since(seen[from][to], 2, now.Add(-30*time.Millisecond))
				for i := range r {
					for j := range r[i].Crashes {
						r[i].Crashes[j].At = r[i].Crashes[j].At.Add(30 * time.Millisecond)
					}
				}
				other.Merge(r, now)
				seen[from][to] = last
				records += len(r)
			}
		}
		return records
	}
	for i := range 12 {
		ledgers[i%3].Crashed(Server(i), []Key{Key(i % 4), 9}, now, now.Add(10*time.Millisecond))
		exchange()
	}
	for i := range ledgers {
		if !isBlamed(ledgers[i], now, 9) {
			t.Fatalf("ledger %d does not blame key 9", i)
		}
	}
	ledgers[1].Completed([]Key{0, 1, 2, 3, 9}, now)
	for range 20 {
		exchange()
	}
	if n := exchange(); n > 0 {
		t.Errorf("%d records are repeated without a change", n)
	}
	for i := range ledgers {
		if isBlamed(ledgers[i], now, 0, 1, 2, 3, 9) {
			t.Errorf("ledger %d blames a key that has completed", i)
		}
	}
	joined := New("a")
	all, _ := ledgers[0].Since(0, 100, now)
	joined.Merge(all, now)
	if isBlamed(joined, now, 9) {
		t.Error("an instance that joined blames a key that has completed")
	}
}

// Guards against crashes that become known after a request with the key has completed.
func TestCompletionBeforeTheNews(t *testing.T) {
	l := New("a")
	l.Completed([]Key{1}, at(1000))
	var crashes []Crash
	for i := range 3 {
		crashes = append(crashes, Crash{Server: Server(i), Held: 90 * time.Millisecond, At: at(100*i + 90)})
	}
	l.Merge([]Record{{Key: 1, Crashes: crashes}, {Key: 2, Crashes: crashes}}, at(1100))
	if isBlamed(l, at(1100), 1) {
		t.Error("key 1 is blamed for crashes before its completion")
	}
	if !isBlamed(l, at(1100), 2) {
		t.Error("key 2 is not blamed")
	}
}

// Guards against memory that grows with the number of crashes, and against a blamed key
// that others crowd out.
func TestBoundedMemory(t *testing.T) {
	l := New("a")
	for i := range 3 {
		l.Crashed(Server(i), []Key{1}, at(100*i), at(100*i+90))
	}
	for i := range 3 * maxKeys {
		l.Crashed(Server(10+i), []Key{Key(10 + i), 2}, at(1000+i), at(1000+i))
	}
	if n := len(l.suspects); n > maxKeys {
		t.Errorf("%d keys, want at most %d", n, maxKeys)
	}
	if n := len(l.suspects[2].open); n > maxCrashes {
		t.Errorf("%d crashes of a key, want at most %d", n, maxCrashes)
	}
	if !isBlamed(l, at(14_000), 1) {
		t.Error("the blamed key is forgotten")
	}
	for i := range 4 * maxCompletions {
		l.Completed([]Key{Key(i)}, at(30_000))
	}
	if n := len(l.completed) + len(l.completedBefore); n > 2*maxCompletions {
		t.Errorf("%d completions, want at most %d", n, 2*maxCompletions)
	}
}

// Guards against a blamed key that no request ever runs with again, and against probes by
// many instances at a time.
func TestProbes(t *testing.T) {
	const instances = 20
	var ledgers []*Ledger
	for i := range instances {
		l := New(fmt.Sprint(i))
		l.SetInstances(instances)
		for j := range 4 {
			l.Crashed(Server(j), []Key{1}, at(100*j), at(100*j+90))
		}
		ledgers = append(ledgers, l)
	}
	probes := map[int]int{} // by instance
	last := 390             // ms
	for ms := last; ms < last+120_000; ms += 100 {
		for i, l := range ledgers {
			if isBlamed(l, at(ms), 1) {
				continue
			}
			probes[i]++
			if ms < last+int(2*ProbeInterval/time.Millisecond) {
				t.Errorf("instance %d probes %d ms after the last crash", i, ms-last)
			}
		}
	}
	// In the 90 s after the interval, each of the instances may probe some times.
	sum := 0
	for _, n := range probes {
		sum += n
	}
	if len(probes) < instances/2 || sum > 3*instances {
		t.Errorf("%d probes by %d instances, want some by most of %d", sum, len(probes), instances)
	}
}

// Guards against a decision on crashes that have been forgotten since.
func TestForgottenCrashes(t *testing.T) {
	l := New("a")
	for i := range 3 {
		l.Crashed(Server(i), []Key{1}, at(100*i), at(100*i+90))
	}
	forgotten := at(300).Add(Memory)
	l.Verdicts(forgotten.Add(-500 * time.Millisecond))
	l.Crashed(9, []Key{2}, at(0), forgotten)
	l.Since(0, 10, forgotten)
	if isBlamed(l, forgotten, 1) {
		t.Error("key 1 is blamed for crashes that are forgotten")
	}
}

// Guards against blame for a part that is beside the one that crashes servers in each
// request, and that sound requests share.
func TestPartThatWasSoundBefore(t *testing.T) {
	a, b := New("a"), New("b")
	a.Completed([]Key{2}, at(0))
	for i := range 4 {
		b.Crashed(Server(i), []Key{1, 2}, at(100+100*i), at(190+100*i))
	}
	exchange := func() {
		records, _ := b.Since(0, 10, at(600))
		a.Merge(records, at(600))
		records, _ = a.Since(0, 10, at(600))
		b.Merge(records, at(600))
	}
	exchange()
	for _, l := range []*Ledger{a, b} {
		if !isBlamed(l, at(600), 1) {
			t.Error("key 1 is not blamed")
		}
		if isBlamed(l, at(600), 2) {
			t.Error("key 2 is blamed, with which requests completed before the crashes")
		}
	}
}

// Guards against blame for a part that was beside the cause at each crash, for longer than
// the next request with either needs to tell them apart.
func TestTwins(t *testing.T) {
	for _, c := range []struct {
		name           string
		probe          Key // of the request that is let through
		crashes        bool
		deadly, acquit Key
	}{
		{"the sound one completes", 4, false, 2, 4},
		{"the deadly one crashes", 2, true, 2, 4},
	} {
		l := New("a")
		for i := range 3 {
			l.Crashed(Server(i), []Key{2, 4, 5}, at(100*i), at(100*i+90))
		}
		if !isBlamed(l, at(300), 2) || !isBlamed(l, at(300), 4) {
			t.Errorf("%s: not blamed after three crashes", c.name)
		}
		let := 300
		for isBlamed(l, at(let), c.probe) {
			if let += 10; let > 3000 {
				t.Fatalf("%s: no probe within 3 s", c.name)
			}
		}
		if c.crashes {
			l.Crashed(9, []Key{c.probe}, at(let), at(let+100))
		} else {
			l.Completed([]Key{c.probe}, at(let+100))
		}
		if now := at(let + 200); !isBlamed(l, now, c.deadly) || isBlamed(l, now, c.acquit) {
			t.Errorf("%s: the probe does not tell the parts apart", c.name)
		}
		if now := at(let).Add(ProbeInterval / 2); !isBlamed(l, now, c.deadly) {
			t.Errorf("%s: the deadly part is probed again", c.name)
		}
	}
}

// Guards against servers that crash one after the other to tell two parts apart, by requests
// that hold both.
func TestTwinsInEachRequest(t *testing.T) {
	l := New("a")
	crashes := 3
	for i := range crashes {
		l.Crashed(Server(i), []Key{2, 4}, at(100*i), at(100*i+90))
	}
	for ms := 300; ms < 60_000; ms += 100 {
		if !isBlamed(l, at(ms), 2, 4) {
			l.Crashed(Server(crashes), []Key{2, 4}, at(ms), at(ms+90))
			crashes++
		}
	}
	if crashes > 5 {
		t.Errorf("%d crashes in a minute, want at most 5", crashes)
	}
}

// Guards against a frequent key whose crashes seem to overlap, since each server held several
// requests with it.
func TestCrashesUnderSeveralRequests(t *testing.T) {
	l := New("a")
	for i := range 3 {
		l.Crashed(Server(i), []Key{1}, at(0), at(200*i+190))
		l.Crashed(Server(i), []Key{1}, at(200*i), at(200*i+190))
	}
	if !isBlamed(l, at(1000), 1) {
		t.Error("not blamed for three crashes, each soon after a request of its own")
	}
}

// Guards against records that are skipped when they are sent in parts.
func TestSinceInParts(t *testing.T) {
	l := New("a")
	for i := range 10 {
		l.Crashed(1, []Key{Key(i)}, at(0), at(i))
	}
	var got []Key
	change := uint64(0)
	for range 4 {
		records, last := l.Since(change, 3, at(20))
		for _, r := range records {
			got = append(got, r.Key)
		}
		change = last
	}
	if want := []Key{0, 1, 2, 3, 4, 5, 6, 7, 8, 9}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// Guards against parts of different services, or a part and a request, that share a key.
func TestKeysDiffer(t *testing.T) {
	keys := []Key{
		PartKey("s", "a"), PartKey("t", "a"), PartKey("s", "b"), PartKey("sa", ""),
		RequestKey("s", "c", "GET", "/a", nil), RequestKey("s", "c", "GET", "/b", nil), RequestKey("s", "d", "GET", "/a", nil),
		RequestKey("s", "c", "GET", "/a", []byte("x")), RequestKey("s", "c", "POST", "/a", nil),
	}
	for i, a := range keys {
		for j, b := range keys[:i] {
			if a == b {
				t.Errorf("keys %d and %d are equal", i, j)
			}
		}
	}
	first, again := ServerOf("i", 1), ServerOf("i", 1)
	if first == ServerOf("i", 2) || first == ServerOf("j", 1) || first != again {
		t.Error("servers are not told apart by name and incarnation")
	}
}

func ExampleLedger() {
	l := New("a")
	now := time.Date(2026, 3, 4, 12, 0, 0, 0, time.UTC)
	deadly, sound := PartKey("drafts", "5c1e07a2"), PartKey("drafts", "91bd3f06")
	for _, server := range []string{"i-1", "i-2", "i-3"} {
		sent := now
		now = now.Add(time.Second)
		l.Completed([]Key{sound}, now) // by another request
		l.Crashed(ServerOf(server, 1), []Key{deadly, sound}, sent, now)
	}
	l.Completed([]Key{sound}, now)
	_, ok := l.Blamed([]Key{deadly}, now)
	fmt.Println("deadly part blamed:", ok)
	_, ok = l.Blamed([]Key{sound}, now)
	fmt.Println("sound part blamed:", ok)
	// Output:
	// deadly part blamed: true
	// sound part blamed: false
}
