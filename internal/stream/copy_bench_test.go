package stream

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/link"
)

// BenchmarkCopy measures the copy of one batch of tokens to a keeper over
// sockets, acknowledged: bytes on the owner's links and CPU time of both ends.
// Streams run side by side, as the answers of one owner do.
func BenchmarkCopy(b *testing.B) {
	for _, batch := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("tokens=%d", batch), func(b *testing.B) { benchCopy(b, batch) })
	}
}

func benchCopy(b *testing.B, batch int) {
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
	tokens := make([]string, batch)
	for i := range tokens {
		tokens[i] = "token"
	}
	const streams = 100
	all := make([]Copier, streams)
	for i := range all {
		all[i] = client.Copier(keep.Addr())
		if err := all[i].Begin(ctx, Head{Request: Request{ID: fmt.Sprint(i), Org: "o", Body: []byte("q")}, Epoch: 1}); err != nil {
			b.Fatal(err)
		}
		defer all[i].Close()
	}
	before, began, round := owner.Traffic(), processor(), uint64(0)
	for b.Loop() {
		done := make(chan error, streams)
		for _, c := range all {
			go func() { done <- c.Append(ctx, round*uint64(batch), tokens) }()
		}
		for range all {
			if err := <-done; err != nil {
				b.Fatal(err)
			}
		}
		round++
	}
	t, n := owner.Traffic(), float64(round)*streams
	b.ReportMetric(float64(t.BytesSent-before.BytesSent)/n, "sentBytes/batch")
	b.ReportMetric(float64(t.BytesReceived-before.BytesReceived)/n, "receivedBytes/batch")
	b.ReportMetric(float64((processor()-began).Nanoseconds())/n/1e3, "cpuMicros/batch")
}

func processor() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
