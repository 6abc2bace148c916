package claim

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/claim/clmpb"
	"cranberrypath.example/cranberrypath/internal/disk"
)

// BenchmarkClaim measures the cost of claiming and finishing a call in a group of
// three members on real sockets, with 512 concurrent calls: the CPU time of all
// processes and the bytes that each member sends and receives.
func BenchmarkClaim(b *testing.B) {
	s := newCluster(b, 1, 500*time.Millisecond, func(uint64) disk.FS { return disk.Real{} })
	ctx, c := context.Background(), s.clients[0]
	traffic := func() (sum uint64) {
		for _, n := range s.nets {
			sum += n.Traffic().BytesSent + n.Traffic().BytesReceived
		}
		return sum
	}
	const batch = 512
	before, began, rounds := traffic(), cpuTime(), 0
	for b.Loop() {
		done := make(chan error, batch)
		for i := range batch {
			go func() {
				k := Key{Org: "o", Key: fmt.Sprint(rounds, "-", i)}
				st, err := c.Take(ctx, k, 1, "e", time.Now())
				if err == nil {
					err = c.Finish(ctx, k, st.Attempt, Answer{Status: 200, Body: []byte("ok")}, time.Now())
				}
				done <- err
			}()
		}
		for range batch {
			if err := <-done; err != nil {
				b.Fatal(err)
			}
		}
		rounds++
	}
	n := float64(rounds) * batch
	b.ReportMetric(float64(traffic()-before)/3/n, "bytes/member/call")
	b.ReportMetric(float64((cpuTime()-began).Nanoseconds())/n/1e3, "cpuMicros/call")
}

// BenchmarkRecord measures the memory of a claim without an answer.
func BenchmarkRecord(b *testing.B) {
	const claims = 50000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		m := NewMachine(0)
		for i := range claims {
			cmd, err := proto.Marshal(&clmpb.Command{Id: fmt.Appendf(nil, "%016d", i), Op: clmpb.Op_OP_TAKE, Org: "o", Key: fmt.Sprint("key-", i), Owner: "e", NowMs: int64(i)})
			if err != nil {
				b.Fatal(err)
			}
			m.Apply(uint64(i+1), cmd)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		if m.Len() != claims {
			b.Fatalf("%d claims", m.Len())
		}
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/claims, "B/claim")
	}
}

// cpuTime returns the CPU time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkIdle measures the cost of heartbeats between three idle processes, with
// the heartbeat interval of 100 ms that deployments use. All groups are led by one
// process, or the leaders are spread over the three.
func BenchmarkIdle(b *testing.B) {
	for _, groups := range []int{1, 3, 6} {
		b.Run(fmt.Sprint("groups=", groups), func(b *testing.B) { measureIdle(b, groups, false) })
	}
	for _, groups := range []int{3, 6} {
		b.Run(fmt.Sprint("spread/groups=", groups), func(b *testing.B) { measureIdle(b, groups, true) })
	}
}

func measureIdle(b *testing.B, groups int, spread bool) {
	s := newCluster(b, groups, 800*time.Millisecond, fakeDisk)
	for k := uint32(1); k <= uint32(groups); k++ {
		leader := 0
		if spread {
			leader = int(k) % 3
		}
		s.moveLeader(b, k, leader)
	}
	sum := func() (n uint64) {
		for _, l := range s.nets {
			n += l.Traffic().BytesSent + l.Traffic().BytesReceived
		}
		return n
	}
	before, began, seconds := sum(), cpuTime(), 0.0
	for b.Loop() {
		time.Sleep(time.Second)
		seconds++
	}
	b.ReportMetric(float64(sum()-before)/seconds, "bytes/s")
	b.ReportMetric(float64((cpuTime()-began).Microseconds())/seconds, "cpuMicros/s")
}

// moveLeader transfers the leadership of a group to the process with index leader.
func (s *cluster) moveLeader(b *testing.B, group uint32, leader int) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for ; ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		if _, ok := s.groups[leader][group].Lease(time.Now()); ok {
			return
		}
		for _, all := range s.groups {
			_ = all[group].Transfer(ctx, s.members[leader].ID)
		}
	}
	b.Fatalf("group %d has no leader at %s", group, s.members[leader].ID)
}
