package guard

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// Guards against bodies that stall, or arrive byte by byte, and keep the memory that others
// wait for, and against ending bodies that arrive at an ordinary rate.
func TestStalled(t *testing.T) {
	now := start.Add(3 * time.Second)
	body := func(age time.Duration, received int64) Usage {
		return Usage{Phase: PhaseBody, Since: now.Add(-age), Received: received, Held: max(received, segmentBytes)}
	}
	waiting := body(3*time.Second, 0)
	waiting.Waiting = true
	ended := body(3*time.Second, 0)
	ended.Phase = PhaseEnded
	empty := body(3*time.Second, 0)
	empty.Held = 0
	for _, c := range []struct {
		name string
		body Usage
		want bool
	}{
		{"fresh", body(time.Second, 10), false},
		{"in time", body(2*time.Second, 70<<10), false},
		{"stalls", body(2*time.Second, 10), true},
		{"a byte short of a large body, but fast", body(2*time.Second, 4<<20-1), false},
		{"a byte now and then", body(3*time.Second, 300), true},
		{"holds nothing", empty, false},
		{"waits itself", waiting, false},
		{"is being ended", ended, false},
		{"a running request", Usage{Phase: PhaseBusy, Since: start, Held: 1 << 20}, false},
	} {
		if got := c.body.Stalled(now); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against closing a connection with a running request, or that of an ordinary caller
// before one that has sent nothing yet.
func TestOldest(t *testing.T) {
	now := start.Add(time.Minute)
	at := func(p Phase, age time.Duration) Usage { return Usage{Phase: p, Since: now.Add(-age)} }
	for _, c := range []struct {
		name string
		all  []Usage
		want int
	}{
		{"all busy", []Usage{at(PhaseBusy, time.Minute), at(PhaseEnded, time.Minute)}, -1},
		{"new before idle", []Usage{at(PhaseIdle, time.Minute), at(PhaseNew, time.Second)}, 1},
		{"the oldest of the new ones", []Usage{at(PhaseNew, time.Second), at(PhaseNew, 2*time.Second), at(PhaseNew, 0)}, 1},
		{"idle before bodies", []Usage{at(PhaseBody, 30*time.Second), at(PhaseIdle, time.Second)}, 1},
		{"a body that is behind", []Usage{at(PhaseBusy, time.Minute), at(PhaseBody, 30*time.Second)}, 1},
		{"a body in time", []Usage{at(PhaseBody, maxLag)}, -1},
	} {
		if got := Oldest(c.all, now); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
}

// Guards against bounds that ordinary callers reach: hundreds of kept connections and bodies
// of 4 MiB on the smallest machine, and against callers that leave no descriptors for servers.
func TestLimitsFor(t *testing.T) {
	for _, c := range []struct {
		memoryMB    float64
		descriptors int
		want        Limits
	}{
		{144, 3075, Limits{Bytes: 30198988, Conns: 1006, OtherConns: 251}},
		{424, 10250, Limits{Bytes: 88919244, Conns: 3392, OtherConns: 848}},
		{424, 3075, Limits{Bytes: 88919244, Conns: 1006, OtherConns: 251}},
		{256, 0, Limits{Bytes: 53687091, Conns: 2048, OtherConns: 512}},
		{256, 100, Limits{Bytes: 53687091, Conns: minConns, OtherConns: minConns}},
	} {
		got := LimitsFor(c.memoryMB*(1<<20), c.descriptors)
		if got != c.want {
			t.Errorf("%v MB, %d descriptors: %+v, want %+v", c.memoryMB, c.descriptors, got, c.want)
		}
		// Each running request needs a descriptor for its server, besides those for peers.
		if total := 2*got.Conns + 3*got.OtherConns + reservedDescriptors; c.descriptors > 1000 && total > c.descriptors {
			t.Errorf("%v MB, %d descriptors: %d are used with a server for each caller", c.memoryMB, c.descriptors, total)
		}
		if got.Bytes/2 < 4<<20 {
			t.Errorf("%v MB: no body of 4 MiB fits", c.memoryMB)
		}
	}
	if got, want := ForMemory(0, 10_000), (Limits{Bytes: defaultBytes, Conns: 10_000}); got != want {
		t.Errorf("memory not known: %+v, want %+v", got, want)
	}
}
