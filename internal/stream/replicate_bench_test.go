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

// tokenInterval is the time between two tokens of an answer at the design scale.
const tokenInterval = 37 * time.Millisecond

// BenchmarkCopy measures the replication of answers to replica holders over
// sockets, with acknowledgements: bytes on the owner's connections and CPU time of
// both ends. Answers append concurrently, either as fast as they are acknowledged
// or, if paced, at the rate of a backend server. At the design scale an instance
// has 400 answers, 10 replica holders and a round trip of 3 ms. Cases without
// keepers= have one holder and no added delay, so messages combine fewer tokens.
func BenchmarkCopy(b *testing.B) {
	for _, answers := range []int{1, 100, 400} {
		b.Run(fmt.Sprintf("answers=%d/tokens=1", answers), func(b *testing.B) { replicationBench{answers, 1, 1, 0, 0}.run(b) })
		b.Run(fmt.Sprintf("answers=%d/paced", answers), func(b *testing.B) { replicationBench{answers, 1, 1, tokenInterval, 0}.run(b) })
	}
	b.Run("answers=100/tokens=16", func(b *testing.B) { replicationBench{100, 1, 16, 0, 0}.run(b) })
	b.Run("answers=400/keepers=10/paced", func(b *testing.B) { replicationBench{400, 10, 1, tokenInterval, 3 * time.Millisecond}.run(b) })
}

type replicationBench struct {
	answers, holders, batch int
	interval, roundTrip     time.Duration
}

// delayedStream delays each acknowledgement by the round-trip time.
type delayedStream struct {
	messageStream
	delay time.Duration
}

func (l delayedStream) Send(m proto.Message) error {
	time.Sleep(l.delay)
	return l.messageStream.Send(m)
}

func (c replicationBench) startInstance(b *testing.B, name string) *link.Net {
	n, err := link.Listen(link.Config{Node: name, Listen: "127.0.0.1:0"})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = n.Close() })
	r := NewRegistry(Config{Node: name, TotalBytes: 1 << 30, Keep: time.Minute})
	n.HandleStream(replicaStreamName, func(_ context.Context, from link.Peer, s *link.Stream) error {
		return r.serveReplicas(from.Node, delayedStream{s, c.roundTrip}, time.Now)
	})
	return n
}

func (c replicationBench) run(b *testing.B) {
	owner := c.startInstance(b, "owner")
	ctx := context.Background()
	client := &Client{Net: owner, AckTimeout: time.Minute}
	var holders []*link.Net
	for i := range c.holders {
		holders = append(holders, c.startInstance(b, fmt.Sprint(i)))
	}
	replicators := make([]Replicator, c.answers)
	for i := range replicators {
		replicators[i] = client.Copier(holders[i%c.holders].Addr())
		if err := replicators[i].Begin(ctx, ReplicaHeader{Request: Request{ID: fmt.Sprint(i), Org: "o", Body: []byte("q")}, Epoch: 1}); err != nil {
			b.Fatal(err)
		}
		defer replicators[i].Close()
	}
	b.ResetTimer()
	before, cpuBefore := owner.Traffic(), cpuTime()
	done := make(chan error, c.answers)
	for i, k := range replicators {
		go func() {
			time.Sleep(c.interval * time.Duration(i) / time.Duration(c.answers))
			done <- appendTokens(ctx, k, b.N, c.batch, c.interval)
		}()
	}
	for range replicators {
		if err := <-done; err != nil {
			b.Fatal(err)
		}
	}
	t, n := owner.Traffic(), float64(b.N*c.answers)
	b.ReportMetric(float64(t.BytesSent-before.BytesSent)/n, "sentBytes/batch")
	b.ReportMetric(float64(t.BytesReceived-before.BytesReceived)/n, "receivedBytes/batch")
	b.ReportMetric(float64((cpuTime()-cpuBefore).Nanoseconds())/n/1e3, "cpuMicros/batch")
}

func appendTokens(ctx context.Context, r Replicator, rounds, batch int, interval time.Duration) error {
	tokens := make([]string, batch)
	for i := range tokens {
		tokens[i] = "token"
	}
	next := time.Now()
	for i := range rounds {
		if err := r.Append(ctx, uint64(i*batch), tokens); err != nil {
			return err
		}
		next = next.Add(interval)
		time.Sleep(time.Until(next))
	}
	return nil
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
