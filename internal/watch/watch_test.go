package watch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"cranberrypath.example/cranberrypath/internal/faults"
	"cranberrypath.example/cranberrypath/internal/link"
	"cranberrypath.example/cranberrypath/internal/store"
	"cranberrypath.example/cranberrypath/pkg/decl"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// member is a control member over a log in memory.
type member struct {
	store    *store.Store
	net      *link.Net
	server   *Server
	barriers atomic.Int64
	broken   atomic.Bool // it sees no majority
	leads    atomic.Bool
	leader   string
}

func (m *member) Barrier(ctx context.Context) (uint64, error) {
	m.barriers.Add(1)
	if m.broken.Load() {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return m.store.Applied(), nil
}

func listen(t testing.TB, cfg link.Config) *link.Net {
	t.Helper()
	cfg.Listen = "127.0.0.1:0"
	n, err := link.Listen(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.Close() })
	return n
}

func newMember(t testing.TB) *member {
	m := &member{store: store.New(), net: listen(t, link.Config{Node: "control"})}
	m.server = NewServer(ServerConfig{Net: m.net, Log: m, Store: m.store, Leader: func() (string, bool) { return m.leader, m.leads.Load() }})
	t.Cleanup(m.server.Close)
	return m
}

func (m *member) apply(index uint64) {
	d := decl.Declaration{Presets: []decl.Preset{{Name: "calm"}}}
	o := store.Origin{ID: fmt.Sprint(index), By: "op", At: time.Unix(int64(index), 0)}
	m.store.Apply(index, store.Apply(o, m.store.View().Declared.Version, d).Encode())
}

type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) get() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) pass(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

func newWatcher(t testing.TB, c *clock, links *faults.Links, members ...*member) *Watcher {
	var addrs []string
	for _, m := range members {
		addrs = append(addrs, m.net.Addr())
	}
	n := listen(t, link.Config{Node: "e", Dial: links.Dialer("e")})
	w, err := NewWatcher(Config{Node: "e", Net: n, Control: addrs, Clock: c.get, Manual: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	return w
}

// until polls until one member has confirmed, as the loop of a Watcher does.
func until(t *testing.T, w *Watcher) {
	t.Helper()
	for range 20 {
		if w.Poll(context.Background(), 0) == nil {
			return
		}
	}
	t.Fatal("no member confirms")
}

// Guards against a confirmation that outlives a partition, against one that
// counts from the arrival of a late answer, and against a watcher that does not
// turn to another member.
func TestConfirmationLapses(t *testing.T) {
	a, b := newMember(t), newMember(t)
	for _, m := range []*member{a, b} {
		m.apply(1)
		m.apply(2)
	}
	c, links := &clock{now: time.Unix(1e9, 0)}, faults.New()
	w := newWatcher(t, c, links, a, b)
	var lapsed *NotConfirmed
	if _, err := w.Current(c.get()); !errors.As(err, &lapsed) {
		t.Fatalf("got %v before the first poll, want NotConfirmed", err)
	}
	until(t, w)
	if v, err := w.Current(c.get()); err != nil || v.Config != 2 || v.Preset != "calm" {
		t.Fatalf("got %+v, %v", v, err)
	}
	a.broken.Store(true)
	c.pass(2 * time.Second)
	until(t, w)
	if _, err := w.Current(c.get().Add(2 * time.Second)); err != nil {
		t.Fatalf("the other member confirmed 2 s ago: %v", err)
	}
	// The answer of the next poll is stuck until the clock has moved on.
	links.Set(b.net.Addr(), "e", faults.Rule{Cut: true})
	done := make(chan error, 1)
	go func() { done <- w.Poll(context.Background(), 30*time.Second) }()
	time.Sleep(50 * time.Millisecond) // lets the request leave; the outcome does not depend on it
	c.pass(confirmFor)
	b.apply(3)
	links.Set(b.net.Addr(), "e", faults.Rule{})
	if err := <-done; err != nil {
		t.Logf("the poll failed: %v", err) // it had turned to the broken member
	}
	if v, err := w.Current(c.get()); !errors.As(err, &lapsed) {
		t.Fatalf("got %+v, %v, want NotConfirmed: the request was sent 3 s ago", v, err)
	}
}

// Guards against a configuration that reverts when a member lost its data.
func TestVersionsNeverFall(t *testing.T) {
	a, b := newMember(t), newMember(t)
	a.apply(1)
	a.apply(2)
	c, links := &clock{now: time.Unix(1e9, 0)}, faults.New()
	w := newWatcher(t, c, links, a, b)
	var held uint64
	confirmedAtTwo := false
	for range 10 {
		_ = w.Poll(context.Background(), 0) // b is refused once 2 is held
		v, err := w.Current(c.get())
		if v.Config < held {
			t.Fatalf("version fell from %d to %d", held, v.Config)
		}
		held = v.Config
		confirmedAtTwo = confirmedAtTwo || (held == 2 && err == nil)
		if held == 2 {
			a.broken.Store(true)
		}
		c.pass(time.Second)
	}
	if !confirmedAtTwo {
		t.Fatal("version 2 was never confirmed")
	}
	if _, err := w.Current(c.get()); err == nil {
		t.Fatal("an empty member confirmed version 2")
	}
}

// Guards against an answer that uses a barrier which began before the request.
func TestBarrierBeginsAfterTheRequest(t *testing.T) {
	g := &gate{enter: make(chan struct{}), leave: make(chan struct{})}
	b := newBatch(g)
	defer b.close()
	done := make(chan error, 3)
	ctx := context.Background()
	go func() { done <- b.wait(ctx) }()
	<-g.enter // the first barrier has begun
	for range 2 {
		go func() { done <- b.wait(ctx) }()
	}
	g.leave <- struct{}{}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	for len(done) < 2 {
		select {
		case <-g.enter:
			g.leave <- struct{}{}
		case <-time.After(time.Millisecond):
		}
	}
	if n := g.n.Load(); n < 2 || n > 3 {
		t.Fatalf("%d barriers for 3 requests, want a second one", n)
	}
}

type gate struct {
	n            atomic.Int64
	enter, leave chan struct{}
}

func (g *gate) Barrier(context.Context) (uint64, error) {
	g.n.Add(1)
	g.enter <- struct{}{}
	<-g.leave
	return 0, nil
}

// Guards against changes that wait for the end of a long poll, and against
// reports that go to a follower or lose a section.
func TestLoops(t *testing.T) {
	a, b := newMember(t), newMember(t)
	a.leader, b.leader = b.net.Addr(), b.net.Addr()
	b.leads.Store(true)
	got := make(chan string, 100)
	b.server.Handle("demand", func(_ context.Context, from link.Peer, body []byte, _ time.Time) ([]byte, error) {
		return []byte("grant for " + from.Node + string(body)), nil
	})
	n := listen(t, link.Config{Node: "e"})
	w, err := NewWatcher(Config{Node: "e", Net: n, Control: []string{a.net.Addr()}})
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	w.Add(Part{
		Name: "demand",
		Fill: func(time.Time) []byte { return []byte("!") },
		Take: func(b []byte, _, _ time.Time) {
			select {
			case got <- string(b):
			default:
			}
		},
	})
	w.Add(Part{Name: "unknown", Fill: func(time.Time) []byte { return nil }})
	for i := uint64(1); i < 4; i++ {
		a.apply(i)
		<-w.Changed(i - 1)
		if v, err := w.Current(time.Now()); err != nil || v.Config != i {
			t.Fatalf("got %+v, %v, want version %d", v, err, i)
		}
	}
	if s := <-got; s != "grant for e!" {
		t.Fatalf("got %q", s)
	}
}

// BenchmarkConfirm measures one round in which 350 watchers confirm at one
// control member over sockets: CPU time of both sides, and barriers.
func BenchmarkConfirm(b *testing.B) {
	m := newMember(b)
	m.apply(1)
	c := &clock{now: time.Unix(1e9, 0)}
	var all []*Watcher
	for range 350 {
		all = append(all, newWatcher(b, c, faults.New(), m))
	}
	round := func() {
		var wg sync.WaitGroup
		for _, w := range all {
			wg.Go(func() {
				for w.Poll(context.Background(), 0) != nil {
				}
			})
		}
		wg.Wait()
	}
	round()
	m.barriers.Store(0)
	before := cpu()
	b.ResetTimer()
	for b.Loop() {
		round()
	}
	b.ReportMetric(float64((cpu()-before).Microseconds())/float64(b.N), "cpuMicros/round")
	b.ReportMetric(float64(m.barriers.Load())/float64(b.N), "barriers/round")
}

func cpu() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
