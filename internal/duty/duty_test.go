package duty

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"cranberrypath.example/cranberrypath/internal/coord"
	"cranberrypath.example/cranberrypath/internal/roster"
	"cranberrypath.example/cranberrypath/internal/routes"
)

var start = time.Unix(1_000_000, 0)

// stage is the durable state that several holders share and the platform that they
// call.
type stage struct {
	now    time.Time
	leader string
	lead   coord.Leadership
	sums   map[string]map[int64]float64 // what each holder would count
	fixed  map[int64]map[string]float64
	calls  []string
	fail   bool // the platform takes the call and its answer is lost
}

// holder is one instance's view of the world.
type holder struct {
	w    *stage
	name string
}

func (h holder) Leads(time.Time) (coord.Leadership, bool) { return h.w.lead, h.w.leader == h.name }

func (h holder) Usage(window int64) (sum, fixed map[string]float64) {
	return map[string]float64{"o": h.w.sums[h.name][window]}, h.w.fixed[window]
}

func (h holder) CommitUsage(_ context.Context, window int64, counts map[string]float64) (map[string]float64, error) {
	if h.w.fixed[window] == nil {
		h.w.fixed[window] = counts
	}
	return h.w.fixed[window], nil
}

func (h holder) Loads() map[string]coord.Load { return nil }

func (h holder) report(f Fence, window int64, counts map[string]float64) error {
	h.w.calls = append(h.w.calls, fmt.Sprintf("%s/%d window %d: %v", f.Holder, f.Token, window, counts["o"]))
	if h.w.fail {
		return Error.New("the answer was lost")
	}
	return nil
}

// calls is the platform as one holder reaches it.
type calls struct{ holder }

func (c calls) Usage(_ context.Context, f Fence, window int64, counts map[string]float64) error {
	return c.report(f, window, counts)
}

func (c calls) Scale(context.Context, Fence, Order) error { return nil }

func newStage() *stage {
	return &stage{now: start, fixed: map[int64]map[string]float64{}, sums: map[string]map[int64]float64{}}
}

func (w *stage) runner(name string) *Runner {
	h := holder{w, name}
	return &Runner{
		cfg: Config{
			Name: name, Coord: h, Platform: calls{h}, Reports: true,
			Timing:        Timing{Window: 5 * time.Second, Due: 10 * time.Second, Lease: 3 * time.Second},
			Organisations: func() []string { return []string{"o"} },
			Services:      func() ([]routes.Service, []roster.Server) { return nil, nil },
			Clock:         func() time.Time { return w.now },
			Log:           &log.Logger{Handler: discard.New()},
		},
		ctx: context.Background(), sent: map[int64]bool{}, sizer: newSizer(),
	}
}

// Guards against two reports of one window with different counts: a second holder
// counts otherwise, after the first one's report whose answer was lost.
func TestSecondHolderSendsTheSameCounts(t *testing.T) {
	w := newStage()
	last := start.Unix()/5 - 1
	w.sums["a"], w.sums["b"] = map[int64]float64{last: 7}, map[int64]float64{last: 3}
	w.leader, w.lead, w.fail = "a", coord.Leadership{Term: 1, ElectedAt: start}, true
	w.now = start.Add(2 * time.Second)
	w.runner("a").step()
	w.leader, w.lead, w.fail = "b", coord.Leadership{Term: 2, ElectedAt: w.now}, false
	b := w.runner("b")
	w.now = w.now.Add(4 * time.Second)
	b.step()
	want := []string{fmt.Sprintf("a/1 window %d: 7", last), fmt.Sprintf("b/2 window %d: 7", last)}
	for _, c := range want {
		if !slices.Contains(w.calls, c) {
			t.Errorf("calls %q, want %q among them", w.calls, c)
		}
	}
	sent := len(w.calls)
	b.step()
	if len(w.calls) != sent {
		t.Errorf("a window was reported again: %q", w.calls[sent:])
	}
}

// Guards against holders that take turns within the lease of the platform, and
// against a first holder that waits for nobody.
func TestNewHolderWaits(t *testing.T) {
	for _, c := range []struct {
		name  string
		term  uint64
		after time.Duration
		acts  bool
	}{
		{"first term", 1, 0, true},
		{"at once", 2, 0, false},
		{"within the lease", 2, 3 * time.Second, false},
		{"after the lease and its margin", 2, 3*time.Second + leaseMargin, true},
	} {
		w := newStage()
		w.leader, w.lead = "a", coord.Leadership{Term: c.term, ElectedAt: start}
		w.now = start.Add(c.after)
		if _, ok := w.runner("a").holds(); ok != c.acts {
			t.Errorf("%s: acts %v, want %v", c.name, ok, c.acts)
		}
	}
	w := newStage()
	if _, ok := w.runner("a").holds(); ok {
		t.Error("an instance that does not lead acts")
	}
}

// Guards against windows that are reported before their counts have arrived, or
// after the report no longer counts.
func TestDue(t *testing.T) {
	timing := Timing{Window: 5 * time.Second, Due: 10 * time.Second}
	for _, c := range []struct {
		ms   int64
		want []int64
	}{
		{100_000, []int64{18}}, // window 19 ended just now, 18 is due until 105 s
		{101_499, []int64{18}},
		{101_500, []int64{19, 18}},
		{104_999, []int64{19, 18}},
		{106_500, []int64{20, 19}},
	} {
		if got := due(timing, time.UnixMilli(c.ms)); !slices.Equal(got, c.want) {
			t.Errorf("at %d ms: windows %v, want %v", c.ms, got, c.want)
		}
	}
}

// Guards against a holder that gives up engines before it has seen the load, and one
// that never gives them up.
func TestNeed(t *testing.T) {
	s := newSizer()
	at := func(second int, load, carry int) (int, int) {
		now := start.Add(time.Duration(second) * time.Second)
		peak, recent := s.need("s", load, carry, now)
		s.second = now.Unix()
		return peak, recent
	}
	for _, c := range []struct {
		second, load, carry, peak, recent int
	}{
		{0, 0, 90, 90, 90},                      // nothing runs before the traffic
		{10, 0, 94, 94, 94},                     // more have announced themselves
		{11, 50, 10, 94, 94},                    // the load has just begun
		{25, 50, 10, 10, 10},                    // watched for long enough
		{26, 100, 10, 20, 20},                   // grows at once
		{29, 50, 10, 20, 20},                    // remembered
		{31, 50, 10, 20, 10},                    // no reason for engines at the full price any more
		{40, 50, 10, 20, 10},                    // remembered still
		{61, 0, 10, leastEngines, leastEngines}, // forgotten
	} {
		if peak, recent := at(c.second, c.load, c.carry); peak != c.peak || recent != c.recent {
			t.Errorf("second %d: need %d and %d, want %d and %d", c.second, peak, recent, c.peak, c.recent)
		}
	}
}

// Guards against a need of many times the fleet because requests pile up behind
// engines that are lost.
func TestDemand(t *testing.T) {
	for _, c := range []struct{ running, waiting, want int }{{10, 2, 10}, {100, 95, 5 + 2*5 + perEngine}, {50, 50, perEngine}, {0, 0, 0}} {
		if got := demand(coord.Load{Running: c.running, Waiting: c.waiting}); got != c.want {
			t.Errorf("%d running, %d of them waiting: %d, want %d", c.running, c.waiting, got, c.want)
		}
	}
}

// Guards against a first holder that gives up engines which have not announced
// themselves yet: it took 57 of 140 for all, and the traffic met 95 instead of 130.
func TestFirstHolderKnowsTheEngines(t *testing.T) {
	w := newStage()
	w.leader, w.lead = "a", coord.Leadership{Term: 1, ElectedAt: start}
	r := w.runner("a")
	r.cfg.Sizes, r.cfg.Reports, r.cfg.Heartbeat = true, false, 1200*time.Millisecond
	looks := 0
	r.cfg.Services = func() ([]routes.Service, []roster.Server) { looks++; return nil, nil }
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{0, 0}, {2399 * time.Millisecond, 0}, {2400 * time.Millisecond, 1}} {
		w.now = start.Add(c.after)
		if r.step(); looks != c.want {
			t.Errorf("sized %d times after %v, want %d", looks, c.after, c.want)
		}
	}
}

// Guards against a first holder that doubles the fleet a deployment starts with, and
// against a later one that gives up engines which replaced reclaimed ones.
func TestCarried(t *testing.T) {
	for _, c := range []struct{ steady, spare, want int }{{140, 0, 84}, {57, 50, 57}, {0, 140, 84}} {
		if got := carried(c.steady, c.spare, 5); got != c.want {
			t.Errorf("%d and %d reclaimable engines carry %d, want %d", c.steady, c.spare, got, c.want)
		}
	}
}
