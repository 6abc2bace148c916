package stream

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/link"
)

// tokenPause is the time between two tokens of an answer at the design scale.
const tokenPause = 37 * time.Millisecond

// BenchmarkCopy measures the copies of running answers to one keeper over
// sockets, acknowledged: bytes on the owner's links and CPU time of both ends.
// Answers append side by side as fast as they are acknowledged, or at the pace
// of an engine. Loopback joins fewer tokens than a link of 3 ms round trip.
func BenchmarkCopy(b *testing.B) {
	for _, answers := range []int{1, 100, 400} {
		b.Run(fmt.Sprintf("answers=%d/tokens=1", answers), func(b *testing.B) { benchCopy(b, answers, 1, 0) })
		b.Run(fmt.Sprintf("answers=%d/paced", answers), func(b *testing.B) { benchCopy(b, answers, 1, tokenPause) })
	}
	b.Run("answers=100/tokens=16", func(b *testing.B) { benchCopy(b, 100, 16, 0) })
}

func benchCopy(b *testing.B, answers, batch int, pace time.Duration) {
	listen := func(name string) *link.Net {
		n, err := link.Listen(link.Config{Node: name, Listen: "127.0.0.1:0"})
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { _ = n.Close() })
		return n
	}
	owner, keep := listen("a"), listen("b")
	Serve(keep, NewRegistry(Config{Node: "b", TotalBytes: 1 << 30, Keep: time.Minute}), func(*Answer) {})
	ctx := context.Background()
	client := &Client{Net: owner, AckTimeout: time.Minute}
	all := make([]Copier, answers)
	for i := range all {
		all[i] = client.Copier(keep.Addr())
		if err := all[i].Begin(ctx, Head{Request: Request{ID: fmt.Sprint(i), Org: "o", Body: []byte("q")}, Epoch: 1}); err != nil {
			b.Fatal(err)
		}
		defer all[i].Close()
	}
	b.ResetTimer()
	before, began := owner.Traffic(), processor()
	done := make(chan error, answers)
	for i, c := range all {
		go func() {
			time.Sleep(pace * time.Duration(i) / time.Duration(answers))
			done <- appendTokens(ctx, c, b.N, batch, pace)
		}()
	}
	for range all {
		if err := <-done; err != nil {
			b.Fatal(err)
		}
	}
	t, n := owner.Traffic(), float64(b.N*answers)
	b.ReportMetric(float64(t.BytesSent-before.BytesSent)/n, "sentBytes/batch")
	b.ReportMetric(float64(t.BytesReceived-before.BytesReceived)/n, "receivedBytes/batch")
	b.ReportMetric(float64((processor()-began).Nanoseconds())/n/1e3, "cpuMicros/batch")
}

func appendTokens(ctx context.Context, c Copier, rounds, batch int, pace time.Duration) error {
	tokens := make([]string, batch)
	for i := range tokens {
		tokens[i] = "token"
	}
	next := time.Now()
	for i := range rounds {
		if err := c.Append(ctx, uint64(i*batch), tokens); err != nil {
			return err
		}
		next = next.Add(pace)
		time.Sleep(time.Until(next))
	}
	return nil
}

func processor() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
