package poison

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/poison/poispb"
)

var start = time.Unix(1_800_000_000, 0)

func fp(i int) Fingerprint { return NewFingerprint("m", "1", []byte(fmt.Sprint(i))) }

// request is a request that its caller sends until it completes or is refused.
type request struct {
	fingerprint   Fingerprint
	crashesServer bool
	instance      int
	server        int // -1 if not running
	incarnation   uint64
	ticksLeft     int
	hasPermit     bool
	crashes       int
	refused       bool
	done          bool
	waiting       bool // until the instances know of the crash, before which callers do not retry
}

type simulation struct {
	t            *testing.T
	seed         uint64
	rnd          *rand.Rand
	instances    []*Ledger
	names        []string
	incarnations []uint64
	requests     []*request
	sentRecords  [][]byte
}

func (sim *simulation) startRun(r *request, now time.Time) {
	r.instance = sim.rnd.IntN(len(sim.instances))
	l, name := sim.instances[r.instance], sim.names[r.instance]
	v := l.Check(r.fingerprint, now)
	if v.State == Confirmed {
		if !r.crashesServer {
			sim.t.Fatalf("seed %d: harmless request confirmed", sim.seed)
		}
		r.refused, r.done = true, true
	}
	s := sim.rnd.IntN(len(sim.incarnations))
	serverKey := ServerPermitKey(fmt.Sprint(s), sim.incarnations[s])
	if !v.Run || v.Permit && !sim.permitOwner(r.fingerprint).Permit(r.fingerprint, name, now) {
		return
	}
	if v.Permit && !sim.permitOwner(serverKey).Permit(serverKey, fmt.Sprint(name, r.fingerprint), now) {
		sim.permitOwner(r.fingerprint).Release(r.fingerprint, name)
		return
	}
	r.server, r.incarnation, r.ticksLeft, r.hasPermit = s, sim.incarnations[s], 1+sim.rnd.IntN(4), v.Permit
	if !l.Started(r.fingerprint, fmt.Sprint(s), sim.incarnations[s], now) {
		sim.endRun(r)
	}
}

func (sim *simulation) permitOwner(f Fingerprint) *Ledger {
	return sim.instances[slices.Index(sim.names, PermitOwner(f, sim.names))]
}

func (sim *simulation) endRun(r *request) {
	if r.hasPermit {
		serverKey := ServerPermitKey(fmt.Sprint(r.server), r.incarnation)
		sim.permitOwner(r.fingerprint).Release(r.fingerprint, sim.names[r.instance])
		sim.permitOwner(serverKey).Release(serverKey, fmt.Sprint(sim.names[r.instance], r.fingerprint))
	}
	r.server = -1
}

func (sim *simulation) crashServer(server int, by *request, now time.Time) {
	by.crashes++
	if by.crashes > MaxCrashes {
		sim.t.Fatalf("seed %d: one request crashed %d servers", sim.seed, by.crashes)
	}
	for _, l := range sim.instances {
		crashAll(l, fmt.Sprint(server), sim.incarnations[server], now)
	}
	sim.incarnations[server]++
	for _, r := range sim.requests {
		if r.server == server {
			sim.endRun(r)
			r.waiting = true
		}
	}
}

// crashAll records a crash that broke the connections of all runs on the server.
func crashAll(l *Ledger, server string, incarnation uint64, now time.Time) {
	for f := range l.running {
		l.MaybeCrashed(f, server, incarnation)
	}
	l.Crashed(server, incarnation, now)
}

// exchangeRecords delivers all new records, and one earlier message again.
func (sim *simulation) exchangeRecords(now time.Time) {
	for again := true; again; {
		again = false
		for _, l := range sim.instances {
			b := l.TakeChanges(now)
			if b == nil {
				continue
			}
			again = true
			sim.sentRecords = append(sim.sentRecords, b)
			for _, o := range sim.instances {
				if err := o.Merge(b, now); err != nil {
					sim.t.Fatal(err)
				}
			}
		}
	}
	if len(sim.sentRecords) > 0 {
		_ = sim.instances[sim.rnd.IntN(len(sim.instances))].Merge(sim.sentRecords[sim.rnd.IntN(len(sim.sentRecords))], now)
	}
}

// Guards against a request that crashes a third server, against confirming the harmless
// requests that ran beside it as causes, and against harmless requests that never complete.
// Several crashing requests are sent concurrently through different instances.
func TestCrashersAndHarmlessRequests(t *testing.T) {
	quarantined := 0
	defer func() { t.Logf("%d harmless requests quarantined after two crashes", quarantined) }()
	for seed := range uint64(300) {
		rnd := rand.New(rand.NewPCG(seed, 11))
		sim := &simulation{t: t, seed: seed, rnd: rnd, incarnations: make([]uint64, 6)}
		for i := range 3 {
			sim.instances, sim.names = append(sim.instances, New()), append(sim.names, fmt.Sprint("n", i))
		}
		crashers := 1 + rnd.IntN(4)
		for i := range 30 {
			sim.requests = append(sim.requests, &request{fingerprint: fp(i), crashesServer: i < crashers, server: -1})
		}
		for tick := range 300 {
			now := start.Add(time.Duration(tick) * 500 * time.Millisecond)
			for _, r := range sim.requests {
				switch {
				case r.done, r.waiting:
				case r.server < 0:
					if rnd.IntN(3) == 0 {
						sim.startRun(r, now)
					}
				case r.ticksLeft > 0:
					r.ticksLeft--
				case r.crashesServer:
					sim.crashServer(r.server, r, now)
				default:
					sim.instances[r.instance].Ended(r.fingerprint, fmt.Sprint(r.server), r.incarnation, true, now)
					sim.endRun(r)
					r.done = true
				}
			}
			sim.exchangeRecords(now)
			for _, r := range sim.requests {
				r.waiting = false
			}
		}
		for i, r := range sim.requests {
			state := sim.instances[0].State(r.fingerprint, start.Add(150*time.Second))
			if !r.done && !r.crashesServer && (state != Quarantined || crashers == 1) {
				t.Fatalf("seed %d: request %d has not completed, state %v", seed, i, state)
			}
			if !r.done && !r.crashesServer {
				quarantined++
			}
			if r.crashesServer && !r.refused && state < Quarantined {
				t.Fatalf("seed %d: request %d may still run", seed, i)
			}
		}
	}
}

// Guards against more than two servers crashed by concurrent copies of one request, and
// against records that never expire.
func TestConcurrentCopiesAndExpiry(t *testing.T) {
	l, f := New(), fp(1)
	for i, want := range []bool{true, true, false} {
		if got := l.Started(f, fmt.Sprint(i), 1, start); got != want {
			t.Fatalf("run %d started: %v", i, got)
		}
	}
	crashAll(l, "0", 1, start)
	if v := l.Check(f, start); v.State != Suspect || v.Run || v.RetryAfter == 0 {
		t.Fatalf("after one crash with another run: %+v", v)
	}
	crashAll(l, "1", 1, start)
	crashAll(l, "1", 1, start)
	if v := l.Check(f, start); v.State != Quarantined || v.Run {
		t.Fatalf("before others could report: %+v", v)
	}
	if v := l.Check(f, start.Add(crashReportDelay)); v.State != Confirmed || v.Run || v.RetryAfter != 0 {
		t.Fatalf("after two crashes: %+v", v)
	}
	other := New()
	if err := other.Merge(l.AllRecords(start.Add(Expiry/2)), start); err != nil || other.State(f, start.Add(crashReportDelay)) != Confirmed {
		t.Fatalf("state after joining: %v, %v", other.State(f, start), err)
	}
	for _, x := range []*Ledger{l, other} {
		if s := x.State(f, start.Add(Expiry)); s != Clear {
			t.Fatalf("state %v after the expiry", s)
		}
	}
	for i := range 3 {
		l.Started(fp(2), fmt.Sprint(i), 1, start)
		l.Started(fp(3), fmt.Sprint(i), 1, start)
	}
	crashAll(l, "0", 1, start.Add(time.Minute))
	l.Started(fp(2), "0", 2, start)
	if ex := l.RunsToCancel(start.Add(time.Minute)); len(ex) != 0 {
		t.Fatalf("single runs cancelled: %v", ex)
	}
	if v := l.Check(fp(2), start.Add(time.Minute)); len(v.Avoid) != 1 || v.Avoid[0] != "1" {
		t.Fatalf("suspects may share a server: %+v", v)
	}
}

// Guards against messages that crash the decoder or change when they are forwarded.
func FuzzMerge(f *testing.F) {
	one := fp(1)
	seed, _ := proto.Marshal(&poispb.Records{
		Crashes: []*poispb.Crash{{Server: "s", Incarnation: 1, Fingerprints: [][]byte{one[:]}}},
		Clears:  []*poispb.Clear{{Fingerprint: one[:], AgeMs: 5}},
	})
	f.Add(seed)
	f.Fuzz(func(t *testing.T, b []byte) {
		l, again := New(), New()
		if l.Merge(b, start) != nil {
			return
		}
		if err := again.Merge(l.AllRecords(start), start); err != nil {
			t.Fatal(err)
		}
		if len(again.crashes) != len(l.crashes) || len(again.cleared) != len(l.cleared) {
			t.Fatalf("%d and %d records, forwarded as %d and %d", len(l.crashes), len(l.cleared), len(again.crashes), len(again.cleared))
		}
	})
}

// Guards against a suspect that waits for the permit of a dead process.
func TestPermitOfALostHolder(t *testing.T) {
	l, f, now := New(), NewFingerprint("s", "v", []byte("x")), time.UnixMilli(1_700_000_000_000)
	if !l.Permit(f, "lost", now) || l.Permit(f, "other", now.Add(time.Second)) {
		t.Fatal("want the permit for the first instance only")
	}
	asked := time.Time{}
	l.RevokeIfGone(f, func(instance string, since time.Time) bool { asked = since; return instance != "lost" })
	if l.Permit(f, "other", now.Add(time.Second)) {
		t.Fatal("the permit of a live holder was revoked")
	}
	l.RevokeIfGone(f, func(instance string, _ time.Time) bool { return instance == "lost" })
	if !asked.Equal(now) || !l.Permit(f, "other", now.Add(time.Second)) {
		t.Fatalf("last renewal at %v; want the permit free after its holder is gone", asked)
	}
}

// Guards against a third crash by a request that runs on a restarted server whose new
// incarnation is not yet known here: the second crash would merge with the first.
func TestSuspectAvoidsTheCrashedIncarnation(t *testing.T) {
	l, f := New(), fp(1)
	if !l.Started(f, "a", 1, start) {
		t.Fatal("the first run did not start")
	}
	crashAll(l, "a", 1, start)
	if l.Started(f, "a", 1, start) {
		t.Error("the request runs again on the incarnation that it crashed")
	}
	if !l.Started(f, "a", 2, start) {
		t.Error("the request does not run on the next incarnation")
	}
}

// Guards against a request whose connection broke and that shares a server with a suspect
// before it is known whether its previous server crashed: after a crash either could be
// the cause.
func TestRunWithBrokenConnectionIsKeptApart(t *testing.T) {
	l, f, g := New(), fp(1), fp(2)
	l.Started(f, "a", 1, start)
	l.MaybeCrashed(f, "a", 1)
	v := l.Check(f, start)
	if !v.Run || !v.Permit || v.State != Clear {
		t.Errorf("after a broken run: %+v", v)
	}
	l.Started(g, "b", 1, start)
	l.MaybeCrashed(g, "b", 1)
	if v = l.Check(f, start); len(v.Avoid) != 1 || v.Avoid[0] != "b" {
		t.Errorf("servers to avoid: %v, want only b", v.Avoid)
	}
	if !l.Started(f, "c", 1, start) || l.Started(f, "d", 1, start) {
		t.Error("want only one more run until the broken one is resolved")
	}
	l.Ended(f, "a", 1, false, start)
	l.Ended(f, "c", 1, false, start)
	if v = l.Check(f, start); v.Permit {
		t.Errorf("after the run turned out not to be a crash: %+v", v)
	}
}

// Guards against delaying two requests of the same two crashes until their deadlines,
// although further reports cannot show which of them is the cause.
func TestAmbiguousQuarantineIsFinal(t *testing.T) {
	l := New()
	for i := range 2 {
		at := start.Add(time.Duration(i) * time.Second)
		key := crashKey{fmt.Sprint(i), 1}
		l.addCrash(key, []Fingerprint{fp(1), fp(2)}, at)
	}
	if v := l.Check(fp(1), start.Add(2*time.Second)); v.Run || v.Final || v.RetryAfter != 2*time.Second {
		t.Errorf("before crashReportDelay: %+v", v)
	}
	now := start.Add(time.Second + crashReportDelay)
	for _, f := range []Fingerprint{fp(1), fp(2)} {
		if v := l.Check(f, now); v.State != Quarantined || v.Run || !v.Final || v.RetryAfter != Expiry-now.Sub(start) {
			t.Errorf("after crashReportDelay: %+v", v)
		}
	}
	if v := l.Check(fp(1), start.Add(Expiry+time.Second)); !v.Run {
		t.Errorf("after the expiry: %+v", v)
	}
}

// Guards against a request that becomes a suspect of a crash which it can not have caused:
// its run was recorded while the server was already gone, and never reached it.
func TestCrashSparesRunsWithoutABrokenConnection(t *testing.T) {
	l, f, g := New(), fp(1), fp(2)
	l.Started(g, "a", 1, start)
	l.Started(f, "a", 1, start)
	l.MaybeCrashed(g, "a", 1)
	l.Crashed("a", 1, start)
	if s := l.State(g, start); s != Suspect {
		t.Errorf("state %v of the request whose connection broke, want suspect", s)
	}
	if s := l.State(f, start); s != Clear {
		t.Errorf("state %v of the request that did not reach the server, want clear", s)
	}
	if !l.Started(f, "b", 1, start) || l.Started(f, "c", 1, start) {
		t.Error("want the run at the lost server counted until it ends")
	}
	l.MaybeCrashed(f, "a", 1)
	l.Crashed("a", 1, start)
	if s := l.State(f, start); s != Suspect {
		t.Errorf("state %v after its own connection broke, want suspect", s)
	}
}
