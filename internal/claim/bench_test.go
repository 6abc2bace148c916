package claim

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cranberrypath.example/cranberrypath/internal/claim/clmpb"
	"cranberrypath.example/cranberrypath/internal/disk"
)

// BenchmarkClaims measures Take and Finish of a call with an answer of 300 bytes, in
// 4 groups of three processes that sync each write to disk.
func BenchmarkClaims(b *testing.B) {
	s := newCluster(b, 4, 300*time.Millisecond, func(uint64) disk.FS { return disk.Real{} })
	hist := hdrhistogram.New(1, 10_000_000, 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	next := make(chan int)
	b.ResetTimer()
	for n := range 64 {
		wg.Go(func() {
			c := s.clients[n%3]
			for i := range next {
				start := time.Now()
				k := Key{"org", fmt.Sprint("call-", i)}
				st, err := c.Take(context.Background(), k, 1, "owner", time.Now())
				if err != nil || st.Status != Granted {
					b.Error(st.Status, err)
					continue
				}
				mu.Lock()
				_ = hist.RecordValue(time.Since(start).Microseconds())
				mu.Unlock()
				if err := c.Finish(context.Background(), k, st.Attempt, Answer{Status: 200, Body: make([]byte, 300)}, time.Now()); err != nil {
					b.Error(err)
				}
			}
		})
	}
	for i := range b.N {
		next <- i
	}
	close(next)
	wg.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
	b.ReportMetric(float64(hist.ValueAtQuantile(50))/1000, "take-p50-ms")
	b.ReportMetric(float64(hist.ValueAtQuantile(99))/1000, "take-p99-ms")
}

// BenchmarkClaimBytes measures the memory and snapshot size of a finished claim, and
// the time to take and restore a snapshot.
func BenchmarkClaimBytes(b *testing.B) {
	for _, size := range []int{0, 300} {
		b.Run(fmt.Sprint("answer=", size), func(b *testing.B) { measureFinished(b, size) })
	}
}

func measureFinished(b *testing.B, size int) {
	const claims = 100_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		m, slowest := NewMachine(0), time.Duration(0)
		for i := range claims {
			began := time.Now()
			key := fmt.Sprintf("orders/key/5e2c9a51-78d4-4c1e-9b77-%012d", i)
			m.run(&clmpb.Command{Id: id(2 * i), Op: clmpb.Op_OP_TAKE, Org: "org", Key: key, Owner: "tay-1/1700000000000000000/1", BodyHash: 1 << 63, NowMs: 1})
			m.run(&clmpb.Command{
				Id: id(2*i + 1), Op: clmpb.Op_OP_FINISH, Org: "org", Key: key, Attempt: 1, NowMs: 1,
				Answer: &clmpb.Answer{Status: 200, Body: make([]byte, size)},
			})
			slowest = max(slowest, time.Since(began))
		}
		b.ReportMetric(float64(slowest.Microseconds())/1000, "slowest-ms")
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/claims, "heap-bytes/claim")
		start := time.Now()
		s, _ := m.Snapshot()
		b.ReportMetric(float64(time.Since(start).Microseconds())/1000, "snapshot-ms")
		b.ReportMetric(float64(len(s))/claims, "snapshot-bytes/claim")
		start = time.Now()
		if err := NewMachine(0).Restore(s); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(time.Since(start).Microseconds())/1000, "restore-ms")
	}
}
