package stream

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/faults"
	"cranberrypath.example/cranberrypath/internal/link"
	"cranberrypath.example/cranberrypath/internal/stream/strmpb"
)

// localReplicator replicates to a registry in the same process. It fails at its last message.
type localReplicator struct {
	registry  *Registry
	owner     string
	remaining int // messages until it fails; never if negative
	gate      chan struct{}
	epoch     uint64
	answer    *Answer
	sizes     []int
}

var errReplicaLost = errors.New("replica holder lost")

func (l *localReplicator) messageFails() bool {
	if l.gate != nil {
		<-l.gate
	}
	l.remaining--
	return l.remaining == -1
}

func (l *localReplicator) Begin(_ context.Context, h ReplicaHeader) (err error) {
	if l.messageFails() {
		return errReplicaLost
	}
	l.epoch = h.Epoch
	l.answer, err = l.registry.OpenReplica(h, l.owner, testStart)
	return err
}

func (l *localReplicator) Append(_ context.Context, pos uint64, tokens []string) error {
	if l.messageFails() {
		return errReplicaLost
	}
	l.sizes = append(l.sizes, len(tokens))
	_, err := l.answer.appendReplica(l.epoch, pos, tokens)
	return err
}

func (l *localReplicator) End(_ context.Context, e End) error {
	if l.messageFails() {
		return errReplicaLost
	}
	return l.answer.endReplica(l.epoch, e)
}

func (l *localReplicator) Close() error {
	if l.answer != nil {
		l.registry.closeReplica(l.answer)
	}
	return nil
}

// Guards against readers that see tokens before the replica holder has them, an
// answer that stops when replica holders fail, and an incomplete replica.
func TestReplicationSurvivesHolderFailures(t *testing.T) {
	for seed := range uint64(500) {
		rnd := rand.New(rand.NewPCG(seed, 2))
		ctx := context.Background()
		a := New("r", Request{Body: []byte("q")}, testStart)
		n, total := a.Attempt(), uint64(50+rnd.IntN(100))
		holders := make([]*Registry, 4)
		for i := range holders {
			holders[i] = NewRegistry(Config{Instance: fmt.Sprint("k", i), TotalBytes: 1 << 20})
		}
		done := make(chan error, 1)
		go func() { // chooses the next replica holder when one fails; the last never fails
			for i, r := range holders {
				d := &localReplicator{registry: r, owner: "o", remaining: rnd.IntN(20)}
				if i == len(holders)-1 {
					d.remaining = -1
				}
				replicaDone, err := a.Replicate(ctx, d)
				if err == nil {
					err = <-replicaDone
				}
				if err == nil {
					done <- nil
					return
				}
			}
			done <- errReplicaLost
		}()
		go func() {
			for p := range total {
				_, _ = a.Append(n, p, []string{fmt.Sprint(p)})
			}
			_ = a.End(n, total, "stop")
		}()
		got, err := readAll(ctx, a, 0)
		if err != nil || uint64(len(got)) != total {
			t.Fatalf("seed %d: read %d of %d tokens, %v", seed, len(got), total, err)
		}
		if err := <-done; err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		replica, _ := holders[3].Get("r")
		if replica == nil {
			continue // an earlier replica holder never failed
		}
		if e, ok := replica.Ended(); !ok || e.Pos != total || !slices.Equal(replica.Tokens(0), got) {
			t.Fatalf("seed %d: replica has %d tokens, ended %v", seed, replica.Position(), ok)
		}
	}
}

// Guards against readers that have seen tokens which the next owner does not
// have, against accepting messages and attempts of an old owner, and against lost
// epochs over several takeovers.
func TestOwnersFailOneAfterAnother(t *testing.T) {
	for seed := range uint64(300) {
		rnd := rand.New(rand.NewPCG(seed, 12))
		ctx := context.Background()
		instances := make([]*Registry, 5)
		for i := range instances {
			instances[i] = NewRegistry(Config{Instance: fmt.Sprint(i), TotalBytes: 1 << 20})
		}
		a, err := instances[0].Accept(Request{ID: "r", Body: []byte("q")}, testStart)
		if err != nil {
			t.Fatal(err)
		}
		var seen []string
		var oldReplicators []*localReplicator
		owner, last := 0, uint64(0)
		for range 6 {
			holder := (owner + 1 + rnd.IntN(len(instances)-1)) % len(instances)
			d := &localReplicator{registry: instances[holder], owner: fmt.Sprint(owner), remaining: -1}
			replicaDone, err := a.Replicate(ctx, d)
			if err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			n := a.Attempt()
			if n <= last {
				t.Fatalf("seed %d: attempt %d after %d", seed, n, last)
			}
			last = n
			for range rnd.IntN(10) {
				p := a.Position()
				if _, err := a.Append(n, p, []string{fmt.Sprint(n, "/", p)}); err != nil {
					t.Fatalf("seed %d: %v", seed, err)
				}
				if rnd.IntN(2) == 0 {
					chunks, _, _ := a.Read(ctx, uint64(len(seen)))
					for _, c := range chunks {
						seen = append(seen, c.Text)
					}
				}
			}
			b, _, err := instances[holder].Takeover("r", true, testStart)
			if err != nil || b.Position() < uint64(len(seen)) || !slices.Equal(b.Tokens(0)[:len(seen)], seen) {
				t.Fatalf("seed %d: new owner has %q, readers have seen %q, %v", seed, b.Tokens(0), seen, err)
			}
			_, _ = a.Append(n, a.Position(), []string{"late"})
			if err := <-replicaDone; !errors.Is(err, ErrTakenOver) {
				t.Fatalf("seed %d: old owner: %v", seed, err)
			}
			oldReplicators = append(oldReplicators, d)
			for _, o := range oldReplicators {
				if err := o.Append(ctx, 0, []string{"stale"}); !errors.Is(err, ErrTakenOver) {
					t.Fatalf("seed %d: message of an old owner: %v", seed, err)
				}
				if _, err := b.Append(last, b.Position(), []string{"stale"}); !errors.Is(err, ErrStale) {
					t.Fatalf("seed %d: chunk of an old attempt: %v", seed, err)
				}
			}
			a, owner = b, holder
		}
	}
}

// Guards against tokens that are visible before the acknowledgement, one message
// per token while another is outstanding, and readers that stay blocked after the
// replica holder fails.
func TestAcknowledgementGatesReaders(t *testing.T) {
	gate := make(chan struct{}, 1)
	d := &localReplicator{registry: NewRegistry(Config{TotalBytes: 1 << 20}), owner: "o", remaining: 3, gate: gate}
	a := New("r", Request{}, testStart)
	n := a.Attempt()
	gate <- struct{}{}
	replicaDone, err := a.Replicate(context.Background(), d)
	if err != nil {
		t.Fatal(err)
	}
	for p := range uint64(100) {
		if _, err := a.Append(n, p, []string{"x"}); err != nil {
			t.Fatal(err)
		}
	}
	if chunks, _, _ := a.read(0); len(chunks) != 0 {
		t.Fatalf("%d tokens visible before the acknowledgement", len(chunks))
	}
	gate <- struct{}{}
	gate <- struct{}{}
	chunks, _, err := a.Read(context.Background(), 99)
	if err != nil || len(chunks) != 1 {
		t.Fatalf("got %v, %v", chunks, err)
	}
	if len(d.sizes) > 2 {
		t.Fatalf("batches of %v tokens, want at most 2", d.sizes)
	}
	d.remaining = 0
	_, _ = a.Append(n, 100, []string{"y"})
	gate <- struct{}{}
	if err := <-replicaDone; !errors.Is(err, errReplicaLost) {
		t.Fatalf("got %v", err)
	}
	if state, why := a.ReplicaStatus(); state != ReplicaLost || why == "" {
		t.Fatalf("state %v, %q", state, why)
	}
	if chunks, _, _ := a.read(100); len(chunks) != 0 {
		t.Fatal("a token that is not replicated is visible")
	}
	a.ContinueUnreplicated()
	if chunks, _, err := a.Read(context.Background(), 100); err != nil || chunks[0].Text != "y" {
		t.Fatalf("got %v, %v", chunks, err)
	}
}

func newInstance(t *testing.T, name string, links *faults.Links) (*link.Transport, *Registry, chan *Answer) {
	t.Helper()
	n, err := link.Listen(link.Config{Node: name, Listen: "127.0.0.1:0", Dial: links.Dialer(name)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.Close() })
	r := NewRegistry(Config{Instance: name, TotalBytes: 1 << 20, Retention: time.Minute})
	owned := make(chan *Answer, 1)
	Serve(n, r, time.Now, func(a *Answer) { owned <- a })
	return n, r, owned
}

// Guards against a takeover while the owner is connected, two owners after a
// takeover, lost tokens, and readers that are not notified.
func TestTakeoverOverLinks(t *testing.T) {
	ctx, links := context.Background(), faults.New()
	na, ra, _ := newInstance(t, "a", links)
	nb, _, owned := newInstance(t, "b", links)
	nc, _, _ := newInstance(t, "c", links)
	a, _ := ra.Accept(Request{ID: "r", Org: "o", Body: []byte("q")}, testStart)
	replicaDone, err := a.Replicate(ctx, (&Client{Net: na, AckTimeout: time.Minute}).Replicator(nb.Addr()))
	if err != nil {
		t.Fatal(err)
	}
	n := a.Attempt()
	_, _ = a.Append(n, 0, []string{"\xff", "b"})
	if _, _, err := a.Read(ctx, 1); err != nil {
		t.Fatal(err)
	}
	c := &Client{Net: nc}
	if _, _, err := c.Takeover(ctx, nb.Addr(), "r", true); !errors.Is(err, ErrOwned) {
		t.Fatalf("takeover from a connected owner: %v", err)
	}
	pos, _, err := (&Client{Net: na}).Takeover(ctx, nb.Addr(), "r", true)
	if err != nil || pos != 2 {
		t.Fatalf("handover: %d, %v", pos, err)
	}
	b := <-owned
	n2 := b.Attempt()
	if n2 <= n {
		t.Fatalf("attempt %d of the new owner is not above %d", n2, n)
	}
	_, _ = a.Append(n, 2, []string{"old"})
	if err := <-replicaDone; !errors.Is(err, ErrTakenOver) {
		t.Fatalf("old owner: %v", err)
	}
	var broken *AbortedError
	if _, err := readAll(ctx, a, 0); !errors.As(err, &broken) || !broken.TakenOver {
		t.Fatalf("reader of the old owner: %v", err)
	}
	_, _ = b.Append(n2, 2, []string{"new"})
	_ = b.End(n2, 3, "stop")
	var got []string
	reason, err := c.Attach(ctx, nb.Addr(), "r", 0, func(cs []Chunk) error {
		for _, c := range cs {
			got = append(got, c.Text)
		}
		return nil
	})
	if err != nil || reason != "stop" || !slices.Equal(got, []string{"\xff", "b", "new"}) {
		t.Fatalf("attached: %q, %q, %v", got, reason, err)
	}
	if _, err := c.Attach(ctx, nb.Addr(), "none", 0, nil); !errors.Is(err, ErrUnknown) {
		t.Fatalf("got %v", err)
	}
	// A replica holder behind a silent partition delays readers for the timeout only.
	a2, _ := ra.Accept(Request{ID: "r2"}, testStart)
	links.Set(nb.Addr(), "a", faults.Rule{Cut: true})
	if _, err := a2.Replicate(ctx, (&Client{Net: na, AckTimeout: time.Millisecond}).Replicator(nb.Addr())); err == nil {
		t.Fatal("a partitioned replica holder acknowledged")
	}
}

// Guards against received messages that crash the replica holder or corrupt its record.
func FuzzMessages(f *testing.F) {
	seed, _ := proto.Marshal(&strmpb.Copies{Items: []*strmpb.CopyItem{{Answer: 1, Tokens: [][]byte{[]byte("x")}}, {Answer: 2}, {Answer: 1, Close: true}}})
	f.Add(seed)
	f.Fuzz(func(t *testing.T, b []byte) {
		r := NewRegistry(Config{TotalBytes: 1 << 16})
		rs := &replicaStream{registry: r, owner: "o", replicas: map[uint32]receivedReplica{}}
		rs.receive(&strmpb.Copies{Items: []*strmpb.CopyItem{{Answer: 1, Begin: &strmpb.Begin{Request: &strmpb.Request{Id: "r"}}}}}, testStart)
		var m strmpb.Copies
		if proto.Unmarshal(b, &m) == nil {
			rs.receive(&m, testStart)
		}
		rs.closeAll()
		var c strmpb.Chunk
		if proto.Unmarshal(b, &c) == nil {
			_, _ = chunksFromProto("r", 0, &c)
		}
		sum := int64(0)
		for id, e := range r.entries {
			sum += e.answer.memory()
			if e.openStreams != 0 {
				t.Fatalf("replica %q has %d open streams after its stream ended", id, e.openStreams)
			}
		}
		if r.Bytes() != sum || sum > 1<<16 {
			t.Fatalf("charged %d bytes, records use %d", r.Bytes(), sum)
		}
	})
}

func BenchmarkAppendRead(b *testing.B) {
	a := New("r", Request{}, testStart)
	a.maxBytes = 1 << 40
	n := a.Attempt()
	b.ReportAllocs()
	for i := range uint64(b.N) {
		if i%(1<<20) == 0 { // texts are indexed by 32-bit offsets
			a = New("r", Request{}, testStart)
			n = a.Attempt()
			a.maxBytes = 1 << 40
		}
		_, _ = a.Append(n, i%(1<<20), []string{"token"})
		_, _, _ = a.Read(context.Background(), i%(1<<20))
	}
}

// Guards against an answer that runs twice on one instance, because two readers found it
// without an owner at the same time.
func TestOneTakeoverOfMany(t *testing.T) {
	r := NewRegistry(Config{Instance: "b", TotalBytes: 1 << 20, Retention: time.Minute})
	a, err := r.OpenReplica(ReplicaHeader{Request: Request{ID: "r", Org: "o"}}, "a", testStart)
	if err != nil {
		t.Fatal(err)
	}
	r.closeReplica(a)
	body, err := proto.Marshal(&strmpb.Takeover{Id: "r"})
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	var taken atomic.Int64
	for i := range 20 {
		wg.Go(func() {
			if i%2 == 0 {
				if _, err := r.serveTakeover("c", body, testStart, func(*Answer) { taken.Add(1) }); err != nil {
					t.Error(err)
				}
				return
			}
			_, ok, err := r.Takeover("r", false, testStart)
			if err != nil {
				t.Error(err)
			}
			if ok {
				taken.Add(1)
			}
		})
	}
	wg.Wait()
	if taken.Load() != 1 {
		t.Errorf("taken over %d times", taken.Load())
	}
}
