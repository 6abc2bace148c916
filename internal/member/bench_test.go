package member

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/world"
)

// BenchmarkPull measures a pull from all 10 peers in a cell of 11 instances, including
// the peers' work: message bytes in both directions and CPU time.
func BenchmarkPull(b *testing.B) {
	for _, servers := range []int{14, 106, 400} {
		for _, loads := range []bool{false, true} {
			b.Run(fmt.Sprintf("servers=%d/loadsChange=%v", servers, loads), func(b *testing.B) { benchPull(b, servers, loads) })
		}
	}
}

func benchPull(b *testing.B, servers int, loads bool) {
	c := newCell(b, 11)
	seq := uint64(1000)
	announce := func() {
		seq++
		for s := range servers {
			a := newAnnouncement(fmt.Sprintf("engine-%03d", s), world.Ready, seq)
			a.Backend.Address, a.Backend.MachineClass, a.Backend.Zone = "10.20.30.40:8000", "accelerator-4", "d1-a"
			a.Load = world.Load{Running: 5, Waiting: 2, CacheUsed: 0.5, TokensPerSecond: 900, PrefillPerToken: 90 * time.Microsecond, At: c.clock()}
			if loads {
				a.Load.Running, a.Load.TokensPerSecond = int(seq%50), float64(800+(seq*7+uint64(s))%400)
			}
			c.members[s%11].Announce(a, c.clock())
		}
	}
	announce()
	c.round()
	m := c.members[0]
	bytes := 0
	b.ResetTimer()
	for b.Loop() {
		b.StopTimer()
		c.advance(time.Second)
		announce()
		targets := m.pullTargets(c.clock())
		b.StartTimer()
		for _, t := range targets {
			for _, o := range c.members {
				if o.cfg.Node != t.instance {
					continue
				}
				resp := o.buildPullResponse("e00", t.req, c.clock())
				wire, err := proto.Marshal(resp)
				if err != nil {
					b.Fatal(err)
				}
				bytes += len(wire) + proto.Size(t.req)
				if err := proto.Unmarshal(wire, resp); err != nil {
					b.Fatal(err)
				}
				m.mu.Lock()
				m.peers[t.instance].pullInFlight = false
				m.applyPullResponse(m.peers[t.instance], t, resp, c.clock())
				m.mu.Unlock()
			}
		}
		if got := len(m.Permits(c.clock())); got != servers {
			b.Fatalf("%d permits, want %d", got, servers)
		}
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "bytes/round")
}

// BenchmarkPermits measures Permits, which is called for each request, between pulls.
func BenchmarkPermits(b *testing.B) {
	c := newCell(b, 2)
	for s := range 400 {
		c.announce(s%2, fmt.Sprint(s), world.Ready)
	}
	c.round()
	now := c.clock()
	for b.Loop() {
		if len(c.members[0].Permits(now)) != 400 {
			b.Fatal("permits are missing")
		}
	}
}

// BenchmarkWire measures a cell of 11 instances on real sockets: the bytes that an
// instance sends and receives per round, including the framing of link and yamux.
func BenchmarkWire(b *testing.B) {
	c := newCell(b, 11)
	seq := uint64(1)
	c.bytes.Store(0)
	c.writes.Store(0)
	for b.Loop() {
		seq++
		for s := range 106 {
			a := newAnnouncement(fmt.Sprint(s), world.Ready, seq)
			a.Load = world.Load{Running: int(seq % 50), TokensPerSecond: float64(800 + (seq*7+uint64(s))%400)}
			c.members[s%11].Announce(a, c.clock())
		}
		c.round()
	}
	// Each byte is counted once, but is sent by one instance and received by another.
	b.ReportMetric(2*float64(c.bytes.Load())/11/float64(b.N), "bytes/node/round")
	b.ReportMetric(float64(c.writes.Load())/11/float64(b.N), "dialerWrites/node/round")
}
