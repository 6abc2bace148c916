package raft

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cranberrypath.example/cranberrypath/internal/disk"
	"cranberrypath.example/cranberrypath/internal/link"
)

// benchCluster is a group of three members with real sockets and disks.
type benchCluster struct {
	ids    []string
	groups map[string]*Group
	nets   map[string]*link.Net
}

func newBenchCluster(b *testing.B) *benchCluster {
	b.Helper()
	s := &benchCluster{ids: []string{"a", "b", "c"}, groups: map[string]*Group{}, nets: map[string]*link.Net{}}
	for _, id := range s.ids {
		n, err := link.Listen(link.Config{Node: id, Listen: "127.0.0.1:0"})
		if err != nil {
			b.Fatal(err)
		}
		s.nets[id] = n
		b.Cleanup(func() { _ = n.Close() })
	}
	for i, id := range s.ids {
		l := NewLinks(s.nets[id], func(id string) string { return s.nets[id].Addr() })
		g, err := Open(Config{
			ID: id, Members: s.ids, FS: disk.Real{}, Dir: b.TempDir(), Machine: &testStateMachine{keepLastOnly: true}, Transport: l,
			Seed: uint64(i),
		})
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { _ = g.Close() })
		l.Serve(g)
		s.groups[id] = g
	}
	return s
}

func (s *benchCluster) leader(exclude string) string {
	for {
		for _, id := range s.ids {
			if _, ok := s.groups[id].Lease(time.Now()); ok && id != exclude {
				return id
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// BenchmarkCommit measures commits of 200-byte commands by three members that sync to
// disk.
func BenchmarkCommit(b *testing.B) {
	for _, clients := range []int{1, 16, 128} {
		b.Run(fmt.Sprint("proposers=", clients), func(b *testing.B) {
			s := newBenchCluster(b)
			g := s.groups[s.leader("")]
			hist := hdrhistogram.New(1, 10_000_000, 3)
			var mu sync.Mutex
			var wg sync.WaitGroup
			var failed atomic.Int64
			next := make(chan struct{})
			b.ResetTimer()
			for range clients {
				wg.Go(func() {
					for range next {
						start := time.Now()
						if _, err := g.Propose(context.Background(), make([]byte, 200)); err != nil {
							failed.Add(1)
						}
						mu.Lock()
						_ = hist.RecordValue(time.Since(start).Microseconds())
						mu.Unlock()
					}
				})
			}
			for range b.N {
				next <- struct{}{}
			}
			close(next)
			wg.Wait()
			if n := failed.Load(); n > 0 {
				b.Fatalf("%d of %d commits failed", n, b.N)
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
			b.ReportMetric(float64(hist.ValueAtQuantile(50))/1000, "p50-ms")
			b.ReportMetric(float64(hist.ValueAtQuantile(99))/1000, "p99-ms")
		})
	}
}

// BenchmarkFailover measures the time from the end of the leader's process to the
// first commit by a new leader, with the default timeouts.
func BenchmarkFailover(b *testing.B) {
	var sum, worst time.Duration
	for range b.N {
		b.StopTimer()
		s := newBenchCluster(b)
		old := s.leader("")
		_, _ = s.groups[old].Propose(context.Background(), []byte("x"))
		b.StartTimer()
		start := time.Now()
		_ = s.nets[old].Close()
		_ = s.groups[old].Close()
		for {
			if _, err := s.groups[s.leader(old)].Propose(context.Background(), []byte("y")); err == nil {
				break
			}
		}
		took := time.Since(start)
		sum, worst = sum+took, max(worst, took)
	}
	b.ReportMetric(sum.Seconds()*1000/float64(b.N), "mean-ms")
	b.ReportMetric(worst.Seconds()*1000, "worst-ms")
}

// BenchmarkRecovery measures Open after commits of 200-byte commands, with and
// without snapshots.
func BenchmarkRecovery(b *testing.B) {
	for _, changes := range []int{500, 50_000} {
		for _, snap := range []int{0, 1 << 30} {
			b.Run(fmt.Sprintf("changes=%d/snapshotBytes=%d", changes, snap), func(b *testing.B) {
				cfg := Config{ID: "a", Members: []string{"a"}, FS: disk.Real{}, Dir: b.TempDir(), SnapshotBytes: snap}
				proposeChanges(b, cfg, changes)
				b.ResetTimer()
				for range b.N {
					m := &testStateMachine{keepLastOnly: true}
					cfg.Machine = m
					g, err := Open(cfg)
					if err != nil {
						b.Fatal(err)
					}
					b.StopTimer()
					if last := g.Status().Last; last < uint64(changes) {
						b.Fatalf("recovered %d changes", last)
					}
					_ = g.Close()
					b.StartTimer()
				}
			})
		}
	}
}

func proposeChanges(b *testing.B, cfg Config, changes int) {
	b.Helper()
	cfg.Machine = &testStateMachine{keepLastOnly: true}
	g, err := Open(cfg)
	if err != nil {
		b.Fatal(err)
	}
	defer g.Close()
	for {
		if _, ok := g.Lease(time.Now()); ok {
			break
		}
		time.Sleep(time.Millisecond)
	}
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			for range changes / 50 {
				if _, err := g.Propose(context.Background(), make([]byte, 200)); err != nil {
					b.Error(err)
				}
			}
		})
	}
	wg.Wait()
}
