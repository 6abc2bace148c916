package mixed

import (
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against pending tokens that count after their prefill, and against a burst that hides
// the usual load of a server.
func TestPending(t *testing.T) {
	usual := Pending{}
	for i := range 100 {
		usual = usual.WithReport(1000, start.Add(time.Duration(i-100)*250*time.Millisecond))
	}
	const perToken = 20e-6
	for _, c := range []struct {
		name     string
		p        Pending
		after    time.Duration
		min, max float64
	}{
		{"unknown", Pending{}, 0, 0, 0},
		{"now", Pending{}.WithReport(10000, start), 0, 0.2, 0.2},
		{"later", usual.WithReport(10000, start), 300 * time.Millisecond, 0, 0.03},
		{"stale", usual.WithReport(10000, start), time.Second, 0.02, 0.04},
		{"report from the future", Pending{}.WithReport(10000, start), -time.Second, 0.2, 0.2},
	} {
		if got := c.p.Seconds(perToken, start.Add(c.after)); got < c.min-1e-9 || got > c.max+1e-9 {
			t.Errorf("%s: %.3f s, want %.3f to %.3f", c.name, got, c.min, c.max)
		}
	}
}

// Guards against an order of servers that makes requests late: a short request beside a long
// prefill, a long one in front of short ones, and against a cost where no short requests are.
func TestCosts(t *testing.T) {
	n := Mix{}.WithRequest(true, 0.4).WithDuration(1).Neighbours(10)
	for _, c := range []struct {
		name        string
		less, great float64
	}{
		{"late costs more", Met(0.1, 0.5), Met(0.9, 0.5)},
		{"no difference within the target", Met(0.2, 0.5), Met(0.01, 0.5) + 1e-9},
		{"prefill within the budget", n.Imposed(0, 0.2), 1e-9},
		{"prefill beyond the budget", n.Imposed(0, 0.3), n.Imposed(0.2, 0.3)},
		{"a cached prefix counts", n.Imposed(0.3, 0.05), n.Imposed(0.3, 0.3)},
		{"no short requests", Mix{}.WithRequest(false, 1).WithDuration(1).Neighbours(10).Imposed(1, 1), 1e-9},
		{"nothing known", Mix{}.Neighbours(10).Imposed(1, 1), 1e-9},
	} {
		if c.less >= c.great {
			t.Errorf("%s: %v is not below %v", c.name, c.less, c.great)
		}
	}
}
