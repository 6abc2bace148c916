package stream

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/stream/strmpb"
)

// faultyStream is a stream whose acknowledgements arrive repeated, late and out of
// order, and which is cut after some messages.
type faultyStream struct {
	server      *replicaStream
	rnd         *rand.Rand
	remaining   int           // messages until the cut; neverCut for none
	ackLossOnly bool          // the cut affects acknowledgements only
	gate        chan struct{} // if set, delays messages until it is closed

	pendingAcks, sentAcks []*strmpb.CopyAck
}

func (f *faultyStream) Send(m proto.Message) error {
	if f.gate != nil {
		<-f.gate
	}
	f.remaining--
	cut := f.remaining < 0 && f.remaining > neverCut/2
	if cut && !f.ackLossOnly {
		return nil
	}
	acks := f.server.receive(proto.Clone(m).(*strmpb.Copies), testStart).Acks
	if cut {
		return nil
	}
	f.pendingAcks, f.sentAcks = append(f.pendingAcks, acks...), append(f.sentAcks, acks...)
	for range f.rnd.IntN(4) {
		if len(f.sentAcks) > 0 {
			f.pendingAcks = append(f.pendingAcks, f.sentAcks[f.rnd.IntN(len(f.sentAcks))])
		}
	}
	f.rnd.Shuffle(len(f.pendingAcks), func(i, j int) { f.pendingAcks[i], f.pendingAcks[j] = f.pendingAcks[j], f.pendingAcks[i] })
	return nil
}

func (f *faultyStream) Recv(m proto.Message) error {
	if len(f.pendingAcks) == 0 {
		return errReplicaLost
	}
	n := 1 + f.rnd.IntN(len(f.pendingAcks))
	m.(*strmpb.CopyAcks).Acks, f.pendingAcks = f.pendingAcks[:n:n], f.pendingAcks[n:]
	return nil
}

func (f *faultyStream) SetDeadline(time.Time) error { return nil }

func (f *faultyStream) Close() error {
	f.server.closeAll()
	return nil
}

// neverCut is the number of remaining messages of a stream that is not cut.
const neverCut = -1 << 30

// replicateAnswers runs answers whose replica holders fail one after another. It
// returns the tokens that readers saw and the last replica of each answer.
func replicateAnswers(t *testing.T, seed uint64, holders []*Registry, replicator func(a, k int) Replicator) (read, replicated [][]string) {
	const answers, total = 6, 60
	read, replicated = make([][]string, answers), make([][]string, answers)
	ctx := context.Background()
	var wg sync.WaitGroup
	for i := range answers {
		id := fmt.Sprint(i)
		a := New(id, Request{}, testStart)
		n := a.Attempt()
		replicating := make(chan struct{}) // tokens recorded before the first Copy are visible at once
		wg.Go(func() {
			for k := range holders {
				replicaDone, err := a.Copy(ctx, replicator(i, k))
				if k == 0 {
					close(replicating)
				}
				if err == nil && <-replicaDone == nil {
					r, _ := holders[k].Get(id)
					end, _ := r.Ended()
					replicated[i] = append(r.Tokens(0), fmt.Sprint(end))
					return
				}
			}
			t.Errorf("seed %d: answer %d has no replica holder", seed, i)
			a.Break("no replica holder")
		})
		wg.Go(func() {
			<-replicating
			for p := range uint64(total) {
				_, _ = a.Append(n, p, []string{fmt.Sprint(i, "/", p)})
			}
			_ = a.End(n, total, "stop")
		})
		wg.Go(func() {
			for done := false; !done; {
				chunks, d, err := a.Read(ctx, uint64(len(read[i])))
				if err != nil {
					t.Errorf("seed %d: answer %d after %d tokens: %v", seed, i, len(read[i]), err)
					return
				}
				for _, c := range chunks {
					read[i] = append(read[i], c.Text)
				}
				if !slices.ContainsFunc(holders, func(r *Registry) bool {
					c, ok := r.Get(id)
					return ok && c.Position() >= uint64(len(read[i]))
				}) {
					t.Errorf("seed %d: answer %d has %d visible tokens that are not replicated", seed, i, len(read[i]))
				}
				done = d
			}
		})
	}
	wg.Wait()
	return read, replicated
}

// Guards against visible tokens that are not replicated, lost or mixed answers,
// and endless waits when answers share a stream that is cut in one or both
// directions and whose acknowledgements are repeated, late and out of order. The
// reference is a separate Replicator per answer whose stream has no faults.
func TestSharedStreamSurvivesFaults(t *testing.T) {
	base := rand.Uint64()
	for i := range uint64(300) {
		seed := base + i
		rnd := rand.New(rand.NewPCG(seed, 3))
		registries := func() (out []*Registry) {
			for range 4 {
				out = append(out, NewRegistry(Config{TotalBytes: 1 << 20}))
			}
			return out
		}
		separate := registries()
		want, wantReplicated := replicateAnswers(t, seed, separate, func(_, k int) Replicator {
			return &localReplicator{registry: separate[k], owner: "o", remaining: neverCut}
		})
		shared := registries()
		var mu sync.Mutex
		c := &Client{AckTimeout: time.Minute, dial: func(_ context.Context, addr string) (messageStream, error) {
			mu.Lock()
			defer mu.Unlock()
			k := int(addr[0] - '0')
			f := &faultyStream{
				server: &replicaStream{registry: shared[k], owner: "o", replicas: map[uint32]receivedReplica{}}, rnd: rand.New(rand.NewPCG(seed, rnd.Uint64())),
				remaining: rnd.IntN(20), ackLossOnly: rnd.IntN(2) == 0,
			}
			if k == len(shared)-1 {
				f.remaining = neverCut
			}
			return f, nil
		}}
		got, replicated := replicateAnswers(t, seed, shared, func(_, k int) Replicator { return c.Copier(fmt.Sprint(k)) })
		for a := range want {
			if !slices.Equal(got[a], want[a]) || !slices.Equal(replicated[a], wantReplicated[a]) {
				t.Fatalf("seed %d: answer %d: read %q, replica %q, want %q", seed, a, got[a], replicated[a], want[a])
			}
		}
		if t.Failed() {
			return
		}
	}
}

// Guards against answers that wait for the slow or failed replica holder of
// another answer, and against an unbounded queue of items for it.
func TestSlowHolderDelaysOnlyItsAnswers(t *testing.T) {
	ctx, gate := context.Background(), make(chan struct{})
	slow, quick := NewRegistry(Config{TotalBytes: 1 << 20}), NewRegistry(Config{TotalBytes: 1 << 20})
	c := &Client{AckTimeout: time.Minute, dial: func(_ context.Context, addr string) (messageStream, error) {
		f := &faultyStream{server: &replicaStream{registry: quick, replicas: map[uint32]receivedReplica{}}, rnd: rand.New(rand.NewPCG(1, 1)), remaining: neverCut}
		if addr == "slow" {
			f.server.registry, f.gate, f.remaining = slow, gate, 2
		}
		return f, nil
	}}
	results := make(chan error, 20)
	answers := map[string]*Answer{}
	for i := range 20 {
		addr := []string{"slow", "quick"}[i%2]
		a := New(fmt.Sprint(addr, i), Request{}, testStart)
		answers[a.req.ID] = a
		n := a.Attempt()
		for p := range uint64(1000) {
			_, _ = a.Append(n, p, []string{"x"})
		}
		_ = a.End(n, 1000, "stop")
		go func() {
			done, err := a.Copy(ctx, c.Copier(addr))
			if err == nil {
				err = <-done
			}
			if addr == "quick" && err != nil {
				t.Error(err)
			}
			results <- err
		}()
	}
	for range 10 { // those with the quick replica holder, whose tokens have no reader
		if err := <-results; err != nil {
			t.Fatal(err)
		}
	}
	c.mu.Lock()
	conn := c.conns["slow"]
	c.mu.Unlock()
	conn.mu.Lock()
	if len(conn.queue) > 10 {
		t.Errorf("%d items wait for the slow replica holder", len(conn.queue))
	}
	conn.mu.Unlock()
	close(gate)
	for range 10 {
		if err := <-results; !errors.Is(err, errReplicaLost) && err != nil {
			t.Fatal(err)
		}
	}
}
