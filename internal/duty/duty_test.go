package duty

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"cranberrypath.example/cranberrypath/internal/coord"
	"cranberrypath.example/cranberrypath/internal/roster"
	"cranberrypath.example/cranberrypath/internal/routes"
)

var start = time.Unix(1_000_000, 0)

// testEnv is the durable state shared by several instances and the record of their
// platform calls.
type testEnv struct {
	now         time.Time
	leader      string
	lease       coord.Leadership
	counts      map[string]map[int64]float64 // usage counts of each instance, by window
	committed   map[int64]map[string]float64
	reports     []string
	loseReplies bool // the platform accepts calls and their replies are lost
}

// testCoord is the Coord of one instance.
type testCoord struct {
	env  *testEnv
	name string
}

func (c testCoord) Leads(time.Time) (coord.Leadership, bool) {
	return c.env.lease, c.env.leader == c.name
}

func (c testCoord) Usage(window int64) (sum, committed map[string]float64) {
	return map[string]float64{"o": c.env.counts[c.name][window]}, c.env.committed[window]
}

func (c testCoord) CommitUsage(_ context.Context, window int64, counts map[string]float64) (map[string]float64, error) {
	if c.env.committed[window] == nil {
		c.env.committed[window] = counts
	}
	return c.env.committed[window], nil
}

func (c testCoord) Loads() map[string]coord.Load { return nil }

func (c testCoord) report(f Fence, window int64, counts map[string]float64) error {
	c.env.reports = append(c.env.reports, fmt.Sprintf("%s/%d window %d: %v", f.Holder, f.Token, window, counts["o"]))
	if c.env.loseReplies {
		return Error.New("the reply was lost")
	}
	return nil
}

// testPlatform is the Platform of one instance.
type testPlatform struct{ testCoord }

func (p testPlatform) Usage(_ context.Context, f Fence, window int64, counts map[string]float64) error {
	return p.report(f, window, counts)
}

func (p testPlatform) Scale(context.Context, Fence, Order) error { return nil }

func newTestEnv() *testEnv {
	return &testEnv{now: start, committed: map[int64]map[string]float64{}, counts: map[string]map[int64]float64{}}
}

func (env *testEnv) runner(name string) *Runner {
	c := testCoord{env, name}
	return &Runner{
		cfg: Config{
			Name: name, Coord: c, Platform: testPlatform{c}, ReportsUsage: true,
			Timing:        Timing{Window: 5 * time.Second, ReportWithin: 10 * time.Second, Lease: 3 * time.Second},
			Organisations: func() []string { return []string{"o"} },
			Services:      func() ([]routes.Service, []roster.Server) { return nil, nil },
			Clock:         func() time.Time { return env.now },
			Log:           &log.Logger{Handler: discard.New()},
		},
		ctx: context.Background(), reportedWindows: map[int64]bool{}, scaler: newScaler(),
	}
}

// Guards against two reports of one window with different counts: the reply to the first
// leader's report is lost, and the second leader has other counts.
func TestSecondHolderSendsTheSameCounts(t *testing.T) {
	env := newTestEnv()
	window := start.Unix()/5 - 1
	env.counts["a"], env.counts["b"] = map[int64]float64{window: 7}, map[int64]float64{window: 3}
	env.leader, env.lease, env.loseReplies = "a", coord.Leadership{Term: 1, ElectedAt: start}, true
	env.now = start.Add(2 * time.Second)
	env.runner("a").tick()
	env.leader, env.lease, env.loseReplies = "b", coord.Leadership{Term: 2, ElectedAt: env.now}, false
	b := env.runner("b")
	env.now = env.now.Add(4 * time.Second)
	b.tick()
	want := []string{fmt.Sprintf("a/1 window %d: 7", window), fmt.Sprintf("b/2 window %d: 7", window)}
	for _, c := range want {
		if !slices.Contains(env.reports, c) {
			t.Errorf("reports %q, want %q among them", env.reports, c)
		}
	}
	sentReports := len(env.reports)
	b.tick()
	if len(env.reports) != sentReports {
		t.Errorf("a window was reported again: %q", env.reports[sentReports:])
	}
}

// Guards against leaders that alternate within the lease of the platform, and against a
// first leader that waits although it has no predecessor.
func TestNewHolderWaits(t *testing.T) {
	for _, c := range []struct {
		name   string
		term   uint64
		after  time.Duration
		active bool
	}{
		{"first term", 1, 0, true},
		{"at once", 2, 0, false},
		{"within the lease", 2, 3 * time.Second, false},
		{"after the lease and its margin", 2, 3*time.Second + leaseMargin, true},
	} {
		env := newTestEnv()
		env.leader, env.lease = "a", coord.Leadership{Term: c.term, ElectedAt: start}
		env.now = start.Add(c.after)
		if _, ok := env.runner("a").activeFence(); ok != c.active {
			t.Errorf("%s: active %v, want %v", c.name, ok, c.active)
		}
	}
	env := newTestEnv()
	if _, ok := env.runner("a").activeFence(); ok {
		t.Error("an instance that does not lead is active")
	}
}

// Guards against windows that are reported before their counts have arrived, or after
// the report deadline.
func TestDue(t *testing.T) {
	timing := Timing{Window: 5 * time.Second, ReportWithin: 10 * time.Second}
	for _, c := range []struct {
		ms   int64
		want []int64
	}{
		{100_000, []int64{18}}, // window 19 has just ended; 18 is due until 105 s
		{101_499, []int64{18}},
		{101_500, []int64{19, 18}},
		{104_999, []int64{19, 18}},
		{106_500, []int64{20, 19}},
	} {
		if got := dueWindows(timing, time.UnixMilli(c.ms)); !slices.Equal(got, c.want) {
			t.Errorf("at %d ms: windows %v, want %v", c.ms, got, c.want)
		}
	}
}

// Guards against a leader that gives up engines before it has observed the load, and
// against one that never gives them up.
func TestNeed(t *testing.T) {
	s := newScaler()
	for _, c := range []struct {
		second, requests int
		engines          float64
		baseline         int
		peak, recent     int
	}{
		{0, 0, 0, 90, 90, 90},                  // no load before the traffic starts
		{10, 0, 0, 94, 94, 94},                 // more engines have announced themselves
		{11, 50, 10, 10, 94, 94},               // the load has just started
		{25, 50, 10, 10, 10, 10},               // the load was observed for long enough
		{26, 100, 20, 10, 20, 20},              // the load has grown
		{29, 50, 10, 10, 20, 20},               // the peak is within both windows
		{31, 50, 10, 10, 20, 10},               // the peak has left the recent window
		{40, 50, 10, 10, 20, 10},               // the peak is still within its window
		{61, 0, 0, 10, minEngines, minEngines}, // the peak has expired
		{62, 50, 4.2, 10, 10, 5},               // most requests decode
		{63, 50, 20, 10, 10, 10},               // all requests are in prefill
	} {
		now := start.Add(time.Duration(c.second) * time.Second)
		peak, recent := s.requiredEngines("s", serviceLoad{c.requests, c.engines}, c.baseline, now)
		s.lastSecond = now.Unix()
		if peak != c.peak || recent != c.recent {
			t.Errorf("second %d: need %d and %d, want %d and %d", c.second, peak, recent, c.peak, c.recent)
		}
	}
}

// Guards against giving up most of a fleet at once, whose caches the remaining engines
// must then rebuild, and against keeping engines that are not needed.
func TestEnginesAreReleasedGradually(t *testing.T) {
	for _, c := range []struct {
		name          string
		kind          releaseKind
		from, to      int
		after         time.Duration // from the first release
		atLeast, most int
	}{
		{"large fleet, at once", releasePeak, 300, 70, 0, 300, 300},
		{"large fleet, after a second", releasePeak, 300, 70, time.Second, 280, 290},
		{"large fleet, after 10 s", releasePeak, 300, 70, 10 * time.Second, 175, 185},
		{"large fleet, in the end", releasePeak, 300, 70, 40 * time.Second, 70, 70},
		{"small fleet, after 5 s", releasePeak, 12, 4, 5 * time.Second, 9, 9},
		{"small fleet, in the end", releasePeak, 12, 4, 30 * time.Second, 4, 4},
		{"one engine less", releasePeak, 13, 12, 2 * time.Second, 12, 12},
		{"growth", releasePeak, 10, 200, 0, 200, 200},
		{"on-demand, after 5 s", releaseOnDemand, 40, 0, 5 * time.Second, 12, 14},
		{"on-demand, in the end", releaseOnDemand, 40, 0, 20 * time.Second, 0, 0},
	} {
		s := newScaler()
		key := releaseKey{"s", c.kind}
		got := s.release(key, c.from, start)
		for d := time.Duration(0); d <= c.after; d += 250 * time.Millisecond {
			got = s.release(key, c.to, start.Add(d))
		}
		if got < c.atLeast || got > c.most {
			t.Errorf("%s: %d engines, want %d to %d", c.name, got, c.atLeast, c.most)
		}
	}
}

// Guards against sizing many times the needed fleet because requests queue behind lost
// engines, against sizing decodes like prefills, and against planning for full engines of
// few slots.
func TestDemand(t *testing.T) {
	for _, c := range []struct {
		running, waiting, slots, requests int
		engines                           float64
	}{
		{10, 2, 64, 10, 8/16.0 + 2/waitingPerEngine},
		{100, 95, 64, 5 + 2*5 + requestsPerEngine, 5/16.0 + (2*5+requestsPerEngine)/waitingPerEngine},
		{50, 50, 64, requestsPerEngine, requestsPerEngine / waitingPerEngine},
		{32, 0, 64, 32, 2},
		{12, 0, 16, 12, 3},
		{10, 0, 0, 10, 2},
		{0, 0, 64, 0, 0},
	} {
		if got := demand(coord.Load{Running: c.running, Waiting: c.waiting}, c.slots); got != (serviceLoad{c.requests, c.engines}) {
			t.Errorf("%d running, %d waiting in %d slots: demand %v, want %v", c.running, c.waiting, c.slots, got, serviceLoad{c.requests, c.engines})
		}
	}
}

// the traffic arrived at 95 engines instead of 130.
func TestFirstHolderKnowsTheEngines(t *testing.T) {
	env := newTestEnv()
	env.leader, env.lease = "a", coord.Leadership{Term: 1, ElectedAt: start}
	r := env.runner("a")
	r.cfg.ScalesEngines, r.cfg.ReportsUsage, r.cfg.Heartbeat = true, false, 1200*time.Millisecond
	scalings := 0
	r.cfg.Services = func() ([]routes.Service, []roster.Server) { scalings++; return nil, nil }
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{0, 0}, {2399 * time.Millisecond, 0}, {2400 * time.Millisecond, 1}} {
		env.now = start.Add(c.after)
		if r.tick(); scalings != c.want {
			t.Errorf("scaled %d times after %v, want %d", scalings, c.after, c.want)
		}
	}
}

// Guards against a first leader that doubles the initial fleet of a deployment, and
// against a later leader that gives up engines which replaced reclaimed ones.
func TestCarried(t *testing.T) {
	for _, c := range []struct{ onDemand, reclaimable, want int }{{140, 0, 84}, {57, 50, 57}, {0, 140, 84}} {
		if got := baselineEngines(c.onDemand, c.reclaimable, 5); got != c.want {
			t.Errorf("%d on-demand and %d reclaimable engines: baseline %d, want %d", c.onDemand, c.reclaimable, got, c.want)
		}
	}
}

// silentPlatform answers no order and accepts usage reports.
type silentPlatform struct {
	testCoord
	orders atomic.Int32
}

func (p *silentPlatform) Usage(_ context.Context, f Fence, window int64, counts map[string]float64) error {
	return p.report(f, window, counts)
}

func (p *silentPlatform) Scale(ctx context.Context, _ Fence, _ Order) error {
	p.orders.Add(1)
	<-ctx.Done()
	return ctx.Err()
}

// Guards against a platform that answers no orders and so delays usage reports beyond
// their deadline, and keeps the next decision waiting for one timeout per order.
func TestSilentPlatformDelaysNothingElse(t *testing.T) {
	env := newTestEnv()
	env.leader, env.lease = "a", coord.Leadership{Term: 1, ElectedAt: start.Add(-time.Minute)}
	env.counts["a"] = map[int64]float64{}
	r := env.runner("a")
	p := &silentPlatform{testCoord: testCoord{env, "a"}}
	prices := map[string]float64{"a": 1, "b": 1, "c": 1, "d": 1, "e": 1, "f": 1}
	r.cfg.Platform, r.cfg.ScalesEngines = p, true
	r.cfg.Services = func() ([]routes.Service, []roster.Server) {
		return []routes.Service{{Name: "s", Scaling: &routes.Scaling{Min: 1, Max: 9, StartupTime: time.Second, Prices: prices}}}, nil
	}
	begin := time.Now()
	r.tick()
	if took := time.Since(begin); took > 2*callTimeout {
		t.Errorf("a tick took %v, want one timeout of %v", took, callTimeout)
	}
	if n := p.orders.Load(); int(n) != len(prices) {
		t.Errorf("%d orders were sent, want one in each of %d data centres", n, len(prices))
	}
	if len(env.reports) == 0 {
		t.Error("no usage was reported")
	}
}
