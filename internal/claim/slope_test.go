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

// BenchmarkClaim measures one call that is claimed and finished, over sockets
// and a replicated group of three, 512 calls at a time: CPU time of all processes
// and the bytes that each member sends and receives.
func BenchmarkClaim(b *testing.B) {
	s := newSite(b, 1, 500*time.Millisecond, func(uint64) disk.FS { return disk.Real{} })
	ctx, c := context.Background(), s.clients[0]
	traffic := func() (sum uint64) {
		for _, n := range s.nets {
			sum += n.Traffic().BytesSent + n.Traffic().BytesReceived
		}
		return sum
	}
	const batch = 512
	before, began, rounds := traffic(), processor(), 0
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
	b.ReportMetric(float64((processor()-began).Nanoseconds())/n/1e3, "cpuMicros/call")
}

// BenchmarkRecord measures the memory of a claim, without an answer.
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

func processor() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkIdle measures what the heartbeats of one group of three cost while
// nothing is proposed, at the heartbeat of 100 ms that deployments use.
func BenchmarkIdle(b *testing.B) {
	s := newSite(b, 1, 800*time.Millisecond, func(uint64) disk.FS { return disk.Real{} })
	sum := func() (n uint64) {
		for _, l := range s.nets {
			n += l.Traffic().BytesSent + l.Traffic().BytesReceived
		}
		return n
	}
	before, began, seconds := sum(), processor(), 0.0
	for b.Loop() {
		time.Sleep(time.Second)
		seconds++
	}
	b.ReportMetric(float64(sum()-before)/seconds, "groupBytes/s")
	b.ReportMetric(float64((processor()-began).Microseconds())/seconds, "groupCpuMicros/s")
}
