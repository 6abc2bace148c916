package speed

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against an estimate that misses a server that is always slow, marks one for long
// because of a short slowdown, or believes invalid and old figures.
func TestValue(t *testing.T) {
	type figure struct {
		pace float64
		at   time.Duration
	}
	steady := func(pace float64, from, to time.Duration) (out []figure) {
		for at := from; at < to; at += 100 * time.Millisecond {
			out = append(out, figure{pace, at})
		}
		return out
	}
	cases := []struct {
		name     string
		figures  []figure
		at       time.Duration
		min, max float64
	}{
		{"nothing", nil, time.Hour, 1, 1},
		{"one figure", []figure{{2.5, 0}}, 0, 2.5, 2.5},
		{"decayed to the slow average", []figure{{2.5, 0}}, 700 * time.Millisecond, 1, 1.6},
		{"always slow", steady(1.8, 0, 5*time.Second), 6 * time.Second, 1.65, 1.8},
		{"slowdown has ended", append(steady(1, 0, 5*time.Second), steady(2.5, 5*time.Second, 5600*time.Millisecond)...), 6300 * time.Millisecond, 1, 1.2},
		{"slowdown now", append(steady(1, 0, 5*time.Second), steady(2.5, 5*time.Second, 5300*time.Millisecond)...), 5250 * time.Millisecond, 2.2, 2.5},
		{"usual again", append(steady(2.5, 0, 600*time.Millisecond), figure{1, 900 * time.Millisecond}), 900 * time.Millisecond, 1, 1.3},
		{"forgotten", steady(2.5, 0, 5*time.Second), 2 * time.Minute, 1, 1},
		{"older figure", []figure{{1, time.Second}, {9, 0}}, time.Second, 1, 1},
		{"invalid", []figure{{0, 0}, {-1, 0}, {math.NaN(), 0}, {math.Inf(1), 0}}, 0, 1, 1},
		{"out of range", []figure{{1e9, 0}}, 0, maxPace, maxPace},
	}
	for _, c := range cases {
		var e Estimate
		for _, f := range c.figures {
			e = e.WithStated(f.pace, start.Add(f.at))
		}
		if got := e.Value(start.Add(c.at)); got < c.min-1e-9 || got > c.max+1e-9 {
			t.Errorf("%s: value %.2f, want %.2f to %.2f", c.name, got, c.min, c.max)
		}
	}
}

// Guards against counting a slowness twice that a server both states and shows, against
// missing one that it only shows, and against values without bounds.
func TestMeasured(t *testing.T) {
	for _, c := range []struct{ stated, actual, min, max float64 }{
		{2, 2, 1.8, 2.2}, {1, 2, 1.8, 2.2}, {1, 1, 0.9, 1.1}, {1, 100, 2, 2.5}, {1, 0.01, 0.5, 0.6},
	} {
		var e Estimate
		rnd, now := rand.New(rand.NewPCG(1, 1)), start
		for range 200 {
			now = now.Add(50 * time.Millisecond)
			e = e.WithStated(c.stated, now)
			e = e.WithMeasured(c.actual * (0.8 + 0.4*rnd.Float64()) / e.Value(now))
		}
		if got := e.Value(now); got < c.min || got > c.max {
			t.Errorf("stated %v, actual %v: value %.2f, want %.1f to %.1f", c.stated, c.actual, got, c.min, c.max)
		}
	}
}
