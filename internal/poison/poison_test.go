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

func fp(i int) Fingerprint { return Of("m", "1", []byte(fmt.Sprint(i))) }

// request is one request that its caller sends until it completes.
type request struct {
	f       Fingerprint
	poison  bool
	node    int
	server  int // -1 while it does not run
	inc     uint64
	left    int // ticks
	permit  bool
	lost    int
	refused bool
	done    bool
	hold    bool // until the cell knows of the crash; callers do not retry faster
}

type history struct {
	t        *testing.T
	seed     uint64
	rnd      *rand.Rand
	nodes    []*Ledger
	names    []string
	inc      []uint64
	requests []*request
	old      [][]byte
}

func (h *history) start(r *request, now time.Time) {
	r.node = h.rnd.IntN(len(h.nodes))
	l, name := h.nodes[r.node], h.names[r.node]
	v := l.Check(r.f, now)
	if v.State == Condemned {
		if !r.poison {
			h.t.Fatalf("seed %d: innocent request condemned", h.seed)
		}
		r.refused, r.done = true, true
	}
	s := h.rnd.IntN(len(h.inc))
	slot := Slot(fmt.Sprint(s), h.inc[s])
	if !v.Run || v.Permit && !h.home(r.f).Permit(r.f, name, now) {
		return
	}
	if v.Permit && !h.home(slot).Permit(slot, fmt.Sprint(name, r.f), now) {
		h.home(r.f).Release(r.f, name)
		return
	}
	r.server, r.inc, r.left, r.permit = s, h.inc[s], 1+h.rnd.IntN(4), v.Permit
	if !l.Started(r.f, fmt.Sprint(s), h.inc[s], now) {
		h.stopped(r)
	}
}

func (h *history) home(f Fingerprint) *Ledger {
	return h.nodes[slices.Index(h.names, Home(f, h.names))]
}

func (h *history) stopped(r *request) {
	if r.permit {
		slot := Slot(fmt.Sprint(r.server), r.inc)
		h.home(r.f).Release(r.f, h.names[r.node])
		h.home(slot).Release(slot, fmt.Sprint(h.names[r.node], r.f))
	}
	r.server = -1
}

func (h *history) crash(server int, by *request, now time.Time) {
	by.lost++
	if by.lost > MaxCrashes {
		h.t.Fatalf("seed %d: one request lost %d servers", h.seed, by.lost)
	}
	for _, l := range h.nodes {
		l.Crashed(fmt.Sprint(server), h.inc[server], now)
	}
	h.inc[server]++
	for _, r := range h.requests {
		if r.server == server {
			h.stopped(r)
			r.hold = true
		}
	}
}

// gossip delivers what is new, and an old message again.
func (h *history) gossip(now time.Time) {
	for again := true; again; {
		again = false
		for _, l := range h.nodes {
			b := l.Changed(now)
			if b == nil {
				continue
			}
			again = true
			h.old = append(h.old, b)
			for _, o := range h.nodes {
				if err := o.Merge(b, now); err != nil {
					h.t.Fatal(err)
				}
			}
		}
	}
	if len(h.old) > 0 {
		_ = h.nodes[h.rnd.IntN(len(h.nodes))].Merge(h.old[h.rnd.IntN(len(h.old))], now)
	}
}

// Guards against a request that crashes each server that runs it and loses a
// third one, against condemning requests that ran beside it, and against
// innocent requests that never complete. Several such requests are sent at the
// same time, through different instances.
func TestCrashersAndNeighbours(t *testing.T) {
	held := 0
	defer func() { t.Logf("%d innocent requests held back after two crashes", held) }()
	for seed := range uint64(300) {
		rnd := rand.New(rand.NewPCG(seed, 11))
		h := &history{t: t, seed: seed, rnd: rnd, inc: make([]uint64, 6)}
		for i := range 3 {
			h.nodes, h.names = append(h.nodes, New()), append(h.names, fmt.Sprint("n", i))
		}
		poisons := 1 + rnd.IntN(4)
		for i := range 30 {
			h.requests = append(h.requests, &request{f: fp(i), poison: i < poisons, server: -1})
		}
		for tick := range 300 {
			now := start.Add(time.Duration(tick) * 500 * time.Millisecond)
			for _, r := range h.requests {
				switch {
				case r.done, r.hold:
				case r.server < 0:
					if rnd.IntN(3) == 0 {
						h.start(r, now)
					}
				case r.left > 0:
					r.left--
				case r.poison:
					h.crash(r.server, r, now)
				default:
					h.nodes[r.node].Ended(r.f, fmt.Sprint(r.server), r.inc, true, now)
					h.stopped(r)
					r.done = true
				}
			}
			h.gossip(now)
			for _, r := range h.requests {
				r.hold = false
			}
		}
		for i, r := range h.requests {
			state := h.nodes[0].State(r.f, start.Add(150*time.Second))
			if !r.done && !r.poison && (state != Quarantined || poisons == 1) {
				t.Fatalf("seed %d: request %d has not completed, state %v", seed, i, state)
			}
			if !r.done && !r.poison {
				held++
			}
			if r.poison && !r.refused && state < Quarantined {
				t.Fatalf("seed %d: request %d may still run", seed, i)
			}
		}
	}
}

// Guards against more than two servers lost to copies of one request that run
// at the same time, and against records that never expire.
func TestConcurrentCopiesAndExpiry(t *testing.T) {
	l, f := New(), fp(1)
	for i, want := range []bool{true, true, false} {
		if got := l.Started(f, fmt.Sprint(i), 1, start); got != want {
			t.Fatalf("run %d started: %v", i, got)
		}
	}
	l.Crashed("0", 1, start)
	if v := l.Check(f, start); v.State != Suspect || v.Run || v.RetryAfter == 0 {
		t.Fatalf("after one crash with another run: %+v", v)
	}
	l.Crashed("1", 1, start)
	l.Crashed("1", 1, start)
	if v := l.Check(f, start); v.State != Quarantined || v.Run {
		t.Fatalf("before others could report: %+v", v)
	}
	if v := l.Check(f, start.Add(settle)); v.State != Condemned || v.Run || v.RetryAfter != 0 {
		t.Fatalf("after two crashes: %+v", v)
	}
	other := New()
	if err := other.Merge(l.All(start.Add(Expiry/2)), start); err != nil || other.State(f, start.Add(settle)) != Condemned {
		t.Fatalf("joined with %v, %v", other.State(f, start), err)
	}
	for _, x := range []*Ledger{l, other} {
		if s := x.State(f, start.Add(Expiry)); s != Clear {
			t.Fatalf("%v after the expiry", s)
		}
	}
	for i := range 3 {
		l.Started(fp(2), fmt.Sprint(i), 1, start)
		l.Started(fp(3), fmt.Sprint(i), 1, start)
	}
	l.Crashed("0", 1, start.Add(time.Minute))
	l.Started(fp(2), "0", 2, start)
	if ex := l.Excess(start.Add(time.Minute)); len(ex) != 0 {
		t.Fatalf("single runs cancelled: %v", ex)
	}
	if v := l.Check(fp(2), start.Add(time.Minute)); len(v.Avoid) != 1 || v.Avoid[0] != "1" {
		t.Fatalf("suspects are not kept apart: %+v", v)
	}
}

// Guards against messages from outside that crash the decoder or that it cannot repeat.
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
		if err := again.Merge(l.All(start), start); err != nil {
			t.Fatal(err)
		}
		if len(again.crashes) != len(l.crashes) || len(again.clears) != len(l.clears) {
			t.Fatalf("%d and %d records, repeated as %d and %d", len(l.crashes), len(l.clears), len(again.crashes), len(again.clears))
		}
	})
}

// Guards against a suspect that waits for the permit of a process that is gone.
func TestPermitOfALostHolder(t *testing.T) {
	l, f, now := New(), Of("s", "v", []byte("x")), time.UnixMilli(1_700_000_000_000)
	if !l.Permit(f, "lost", now) || l.Permit(f, "other", now.Add(time.Second)) {
		t.Fatal("want the permit for the first node alone")
	}
	asked := time.Time{}
	l.Drop(f, func(node string, since time.Time) bool { asked = since; return node != "lost" })
	if l.Permit(f, "other", now.Add(time.Second)) {
		t.Fatal("the permit of a live holder was given away")
	}
	l.Drop(f, func(node string, _ time.Time) bool { return node == "lost" })
	if !asked.Equal(now) || !l.Permit(f, "other", now.Add(time.Second)) {
		t.Fatalf("asked since %v; want the permit free after its holder is gone", asked)
	}
}

// Guards against a third server lost to a request that runs on a server which has
// restarted and is still known here by its old incarnation: its second crash
// would merge with the first.
func TestSuspectAvoidsTheCrashedIncarnation(t *testing.T) {
	l, f := New(), fp(1)
	if !l.Started(f, "a", 1, start) {
		t.Fatal("the first run did not start")
	}
	l.Crashed("a", 1, start)
	if l.Started(f, "a", 1, start) {
		t.Error("the request runs again on the incarnation that it crashed")
	}
	if !l.Started(f, "a", 2, start) {
		t.Error("the request does not run on the next incarnation")
	}
}

// Guards against a request that shares a server with a suspect before it is known
// whether its own server crashed: a crash there leaves both under suspicion.
func TestBrokenRunIsKeptApart(t *testing.T) {
	l, f, g := New(), fp(1), fp(2)
	l.Started(f, "a", 1, start)
	l.Broken(f, "a", 1)
	v := l.Check(f, start)
	if !v.Run || !v.Permit || v.State != Clear {
		t.Errorf("after a broken run: %+v", v)
	}
	l.Started(g, "b", 1, start)
	l.Broken(g, "b", 1)
	if v = l.Check(f, start); len(v.Avoid) != 1 || v.Avoid[0] != "b" {
		t.Errorf("servers to avoid: %v, want b", v.Avoid)
	}
	if !l.Started(f, "c", 1, start) || l.Started(f, "d", 1, start) {
		t.Error("want one further run until the broken one is decided")
	}
	l.Ended(f, "a", 1, false, start)
	l.Ended(f, "c", 1, false, start)
	if v = l.Check(f, start); v.Permit {
		t.Errorf("after the run turned out not to be a crash: %+v", v)
	}
}

// Guards against two requests that were in the same two crashes and are held until
// their deadlines, as nothing can tell which of them is the cause.
func TestAmbiguousQuarantineIsFinal(t *testing.T) {
	l := New()
	for i := range 2 {
		at := start.Add(time.Duration(i) * time.Second)
		key := crashKey{fmt.Sprint(i), 1}
		l.addCrash(key, []Fingerprint{fp(1), fp(2)}, at)
	}
	if v := l.Check(fp(1), start.Add(2*time.Second)); v.Run || v.Final || v.RetryAfter != 2*time.Second {
		t.Errorf("while others may report: %+v", v)
	}
	now := start.Add(time.Second + settle)
	for _, f := range []Fingerprint{fp(1), fp(2)} {
		if v := l.Check(f, now); v.State != Quarantined || v.Run || !v.Final || v.RetryAfter != Expiry-now.Sub(start) {
			t.Errorf("afterwards: %+v", v)
		}
	}
	if v := l.Check(fp(1), start.Add(Expiry+time.Second)); !v.Run {
		t.Errorf("after the expiry: %+v", v)
	}
}
