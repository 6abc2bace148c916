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

// member is a control member with an in-memory log.
type member struct {
	store      *store.Store
	net        *link.Net
	server     *Server
	barriers   atomic.Int64
	noMajority atomic.Bool // barriers time out
	isLeader   atomic.Bool
	leaderAddr string
}

func (m *member) Barrier(ctx context.Context) (uint64, error) {
	m.barriers.Add(1)
	if m.noMajority.Load() {
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
	m.server = NewServer(ServerConfig{Net: m.net, Log: m, Store: m.store, Leader: func() (string, bool) { return m.leaderAddr, m.isLeader.Load() }})
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

func (c *clock) current() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) advance(d time.Duration) {
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
	w, err := NewWatcher(Config{Node: "e", Net: n, Control: addrs, Clock: c.current, ManualPolling: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	return w
}

// pollUntilConfirmed polls until a member has confirmed, as the loop of a Watcher does.
func pollUntilConfirmed(t *testing.T, w *Watcher) {
	t.Helper()
	for range 20 {
		if w.Poll(context.Background(), 0) == nil {
			return
		}
	}
	t.Fatal("no member confirmed the configuration")
}

// Guards against a confirmation that stays valid through a partition, a
// confirmation dated by the arrival of a late response, and a watcher that does
// not fail over to another member.
func TestConfirmationLapses(t *testing.T) {
	a, b := newMember(t), newMember(t)
	for _, m := range []*member{a, b} {
		m.apply(1)
		m.apply(2)
	}
	c, links := &clock{now: time.Unix(1e9, 0)}, faults.New()
	w := newWatcher(t, c, links, a, b)
	var notConfirmed *NotConfirmedError
	if _, err := w.Current(c.current()); !errors.As(err, &notConfirmed) {
		t.Fatalf("got %v before the first poll, want NotConfirmedError", err)
	}
	pollUntilConfirmed(t, w)
	if v, err := w.Current(c.current()); err != nil || v.Config != 2 || v.Preset != "calm" {
		t.Fatalf("got %+v, %v", v, err)
	}
	a.noMajority.Store(true)
	c.advance(2 * time.Second)
	pollUntilConfirmed(t, w)
	if _, err := w.Current(c.current().Add(2 * time.Second)); err != nil {
		t.Fatalf("the other member confirmed 2 s ago: %v", err)
	}
	// The response to the next poll is blocked until the clock has advanced.
	links.Set(b.net.Addr(), "e", faults.Rule{Cut: true})
	done := make(chan error, 1)
	go func() { done <- w.Poll(context.Background(), 30*time.Second) }()
	time.Sleep(50 * time.Millisecond) // allows the request to be sent; the result does not depend on it
	c.advance(confirmationTTL)
	b.apply(3)
	links.Set(b.net.Addr(), "e", faults.Rule{})
	if err := <-done; err != nil {
		t.Logf("the poll failed: %v", err) // it had failed over to the member without a majority
	}
	if v, err := w.Current(c.current()); !errors.As(err, &notConfirmed) {
		t.Fatalf("got %+v, %v, want NotConfirmedError: the request was sent 3 s ago", v, err)
	}
}

// Guards against a configuration that reverts when a member has lost its data.
func TestVersionsNeverFall(t *testing.T) {
	a, b := newMember(t), newMember(t)
	a.apply(1)
	a.apply(2)
	c, links := &clock{now: time.Unix(1e9, 0)}, faults.New()
	w := newWatcher(t, c, links, a, b)
	var heldVersion uint64
	confirmedAtTwo := false
	for range 10 {
		_ = w.Poll(context.Background(), 0) // responses of b are rejected once the watcher has version 2
		v, err := w.Current(c.current())
		if v.Config < heldVersion {
			t.Fatalf("version decreased from %d to %d", heldVersion, v.Config)
		}
		heldVersion = v.Config
		confirmedAtTwo = confirmedAtTwo || (heldVersion == 2 && err == nil)
		if heldVersion == 2 {
			a.noMajority.Store(true)
		}
		c.advance(time.Second)
	}
	if !confirmedAtTwo {
		t.Fatal("version 2 was never confirmed")
	}
	if _, err := w.Current(c.current()); err == nil {
		t.Fatal("an empty member confirmed version 2")
	}
}

// Guards against answering a request after a barrier that started before it.
func TestBarrierBeginsAfterTheRequest(t *testing.T) {
	g := &gatedLog{enter: make(chan struct{}), leave: make(chan struct{})}
	b := newBarrierBatcher(g)
	defer b.close()
	done := make(chan error, 3)
	ctx := context.Background()
	go func() { done <- b.wait(ctx) }()
	<-g.enter // the first barrier has started
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
	if n := g.barriers.Load(); n < 2 || n > 3 {
		t.Fatalf("%d barriers for 3 requests, want a second one", n)
	}
}

type gatedLog struct {
	barriers     atomic.Int64
	enter, leave chan struct{}
}

func (g *gatedLog) Barrier(context.Context) (uint64, error) {
	g.barriers.Add(1)
	g.enter <- struct{}{}
	<-g.leave
	return 0, nil
}

// Guards against changes that are delivered only at the end of a long poll, and
// against reports that go to a follower or lose a section.
func TestLoops(t *testing.T) {
	a, b := newMember(t), newMember(t)
	a.leaderAddr, b.leaderAddr = b.net.Addr(), b.net.Addr()
	b.isLeader.Store(true)
	replies := make(chan string, 100)
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
			case replies <- string(b):
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
	if s := <-replies; s != "grant for e!" {
		t.Fatalf("got %q", s)
	}
}

// BenchmarkConfirm measures one round of polls by 350 watchers at one control
// member over sockets: CPU time of both sides and number of barriers.
func BenchmarkConfirm(b *testing.B) {
	m := newMember(b)
	m.apply(1)
	c := &clock{now: time.Unix(1e9, 0)}
	var watchers []*Watcher
	for range 350 {
		watchers = append(watchers, newWatcher(b, c, faults.New(), m))
	}
	round := func() {
		var wg sync.WaitGroup
		for _, w := range watchers {
			wg.Go(func() {
				for w.Poll(context.Background(), 0) != nil {
				}
			})
		}
		wg.Wait()
	}
	round()
	m.barriers.Store(0)
	before := cpuTime()
	b.ResetTimer()
	for b.Loop() {
		round()
	}
	b.ReportMetric(float64((cpuTime()-before).Microseconds())/float64(b.N), "cpuMicros/round")
	b.ReportMetric(float64(m.barriers.Load())/float64(b.N), "barriers/round")
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
