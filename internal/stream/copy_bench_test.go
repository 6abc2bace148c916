package stream

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/link"
)

// tokenPause is the time between two tokens of an answer at the design scale.
const tokenPause = 37 * time.Millisecond

// BenchmarkCopy measures the copies of running answers to keepers over sockets,
// acknowledged: bytes on the owner's links and CPU time of both ends. Answers
// append side by side as fast as they are acknowledged, or at the pace of an
// engine. The node has 400 answers, 10 keepers and a round trip of 3 ms; without
// keepers= there is one, and loopback joins fewer tokens.
func BenchmarkCopy(b *testing.B) {
	for _, answers := range []int{1, 100, 400} {
		b.Run(fmt.Sprintf("answers=%d/tokens=1", answers), func(b *testing.B) { copyBench{answers, 1, 1, 0, 0}.run(b) })
		b.Run(fmt.Sprintf("answers=%d/paced", answers), func(b *testing.B) { copyBench{answers, 1, 1, tokenPause, 0}.run(b) })
	}
	b.Run("answers=100/tokens=16", func(b *testing.B) { copyBench{100, 1, 16, 0, 0}.run(b) })
	b.Run("answers=400/keepers=10/paced", func(b *testing.B) { copyBench{400, 10, 1, tokenPause, 3 * time.Millisecond}.run(b) })
}

type copyBench struct {
	answers, keepers, batch int
	pace, roundTrip         time.Duration
}

// late delays what a keeper sends, which stands for the way there and back.
type late struct {
	wire
	by time.Duration
}

func (l late) Send(m proto.Message) error {
	time.Sleep(l.by)
	return l.wire.Send(m)
}

func (c copyBench) keeper(b *testing.B, name string) *link.Net {
	n, err := link.Listen(link.Config{Node: name, Listen: "127.0.0.1:0"})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = n.Close() })
	r := NewRegistry(Config{Node: name, TotalBytes: 1 << 30, Keep: time.Minute})
	n.HandleStream(copyStream, func(_ context.Context, from link.Peer, s *link.Stream) error {
		return r.serveCopies(from.Node, late{s, c.roundTrip}, time.Now)
	})
	return n
}

func (c copyBench) run(b *testing.B) {
	owner := c.keeper(b, "owner")
	ctx := context.Background()
	client := &Client{Net: owner, AckTimeout: time.Minute}
	var keepers []*link.Net
	for i := range c.keepers {
		keepers = append(keepers, c.keeper(b, fmt.Sprint(i)))
	}
	all := make([]Copier, c.answers)
	for i := range all {
		all[i] = client.Copier(keepers[i%c.keepers].Addr())
		if err := all[i].Begin(ctx, Head{Request: Request{ID: fmt.Sprint(i), Org: "o", Body: []byte("q")}, Epoch: 1}); err != nil {
			b.Fatal(err)
		}
		defer all[i].Close()
	}
	b.ResetTimer()
	before, began := owner.Traffic(), processor()
	done := make(chan error, c.answers)
	for i, k := range all {
		go func() {
			time.Sleep(c.pace * time.Duration(i) / time.Duration(c.answers))
			done <- appendTokens(ctx, k, b.N, c.batch, c.pace)
		}()
	}
	for range all {
		if err := <-done; err != nil {
			b.Fatal(err)
		}
	}
	t, n := owner.Traffic(), float64(b.N*c.answers)
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
