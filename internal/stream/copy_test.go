package stream

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/faults"
	"cranberrypath.example/cranberrypath/internal/link"
	"cranberrypath.example/cranberrypath/internal/stream/strmpb"
)

// direct is a Copier into a registry in the same process. It fails at its last message.
type direct struct {
	r     *Registry
	owner string
	left  int // messages until it fails; negative never
	gate  chan struct{}
	epoch uint64
	a     *Answer
	sizes []int
}

var errLost = errors.New("keeper lost")

func (d *direct) fails() bool {
	if d.gate != nil {
		<-d.gate
	}
	d.left--
	return d.left == -1
}

func (d *direct) Begin(_ context.Context, h Head) (err error) {
	if d.fails() {
		return errLost
	}
	d.epoch = h.Epoch
	d.a, err = d.r.Begin(h, d.owner, start)
	return err
}

func (d *direct) Append(_ context.Context, pos uint64, tokens []string) error {
	if d.fails() {
		return errLost
	}
	d.sizes = append(d.sizes, len(tokens))
	_, err := d.a.appendCopy(d.epoch, pos, tokens)
	return err
}

func (d *direct) End(_ context.Context, e End) error {
	if d.fails() {
		return errLost
	}
	return d.a.endCopy(d.epoch, e)
}

func (d *direct) Close() error {
	if d.a != nil {
		d.r.unlink(d.a)
	}
	return nil
}

// Guards against readers that see tokens before the keeper has them, against an
// answer that stops when keepers fail, and against a keeper with a partial record.
func TestCopyThroughFailingKeepers(t *testing.T) {
	for seed := range uint64(500) {
		rnd := rand.New(rand.NewPCG(seed, 2))
		ctx := context.Background()
		a := New("r", Request{Body: []byte("q")}, start)
		n, total := a.Attempt(), uint64(50+rnd.IntN(100))
		keepers := make([]*Registry, 4)
		for i := range keepers {
			keepers[i] = NewRegistry(Config{Node: fmt.Sprint("k", i), TotalBytes: 1 << 20})
		}
		done := make(chan error, 1)
		go func() { // chooses the next keeper when one is lost; the last never fails
			for i, r := range keepers {
				d := &direct{r: r, owner: "o", left: rnd.IntN(20)}
				if i == len(keepers)-1 {
					d.left = -1
				}
				lost, err := a.Copy(ctx, d)
				if err == nil {
					err = <-lost
				}
				if err == nil {
					done <- nil
					return
				}
			}
			done <- errLost
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
		held, _ := keepers[3].Get("r")
		if held == nil {
			continue // an earlier keeper never failed
		}
		if e, ok := held.Ended(); !ok || e.Pos != total || !slices.Equal(held.Tokens(0), got) {
			t.Fatalf("seed %d: copy %d tokens, ended %v", seed, held.Position(), ok)
		}
	}
}

// Guards against a caller that has seen tokens which the next owner does not
// know, against messages and attempts of an old owner that are still accepted,
// and against lost epochs when the copy moves from owner to owner.
func TestOwnersFailOneAfterAnother(t *testing.T) {
	for seed := range uint64(300) {
		rnd := rand.New(rand.NewPCG(seed, 12))
		ctx := context.Background()
		nodes := make([]*Registry, 5)
		for i := range nodes {
			nodes[i] = NewRegistry(Config{Node: fmt.Sprint(i), TotalBytes: 1 << 20})
		}
		a, err := nodes[0].Accept(Request{ID: "r", Body: []byte("q")}, start)
		if err != nil {
			t.Fatal(err)
		}
		var seen []string
		var old []*direct
		owner, last := 0, uint64(0)
		for range 6 {
			keeper := (owner + 1 + rnd.IntN(len(nodes)-1)) % len(nodes)
			d := &direct{r: nodes[keeper], owner: fmt.Sprint(owner), left: -1}
			lost, err := a.Copy(ctx, d)
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
			b, err := nodes[keeper].Takeover("r", true, start)
			if err != nil || b.Position() < uint64(len(seen)) || !slices.Equal(b.Tokens(0)[:len(seen)], seen) {
				t.Fatalf("seed %d: new owner has %q of the seen %q, %v", seed, b.Tokens(0), seen, err)
			}
			_, _ = a.Append(n, a.Position(), []string{"late"})
			if err := <-lost; !errors.Is(err, ErrTakenOver) {
				t.Fatalf("seed %d: old owner: %v", seed, err)
			}
			old = append(old, d)
			for _, o := range old {
				if err := o.Append(ctx, 0, []string{"stale"}); !errors.Is(err, ErrTakenOver) {
					t.Fatalf("seed %d: message of an old owner: %v", seed, err)
				}
				if _, err := b.Append(last, b.Position(), []string{"stale"}); !errors.Is(err, ErrStale) {
					t.Fatalf("seed %d: chunk of an old attempt: %v", seed, err)
				}
			}
			a, owner = b, keeper
		}
	}
}

// Guards against tokens shown before the acknowledgement, one message for each
// token while one is outstanding, and readers that stay blocked when the keeper fails.
func TestAcknowledgementGatesReaders(t *testing.T) {
	gate := make(chan struct{}, 1)
	d := &direct{r: NewRegistry(Config{TotalBytes: 1 << 20}), owner: "o", left: 3, gate: gate}
	a := New("r", Request{}, start)
	n := a.Attempt()
	gate <- struct{}{}
	lost, err := a.Copy(context.Background(), d)
	if err != nil {
		t.Fatal(err)
	}
	for p := range uint64(100) {
		if _, err := a.Append(n, p, []string{"x"}); err != nil {
			t.Fatal(err)
		}
	}
	if chunks, _, _ := a.read(0); len(chunks) != 0 {
		t.Fatalf("%d tokens shown before the acknowledgement", len(chunks))
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
	d.left = 0
	_, _ = a.Append(n, 100, []string{"y"})
	gate <- struct{}{}
	if err := <-lost; !errors.Is(err, errLost) {
		t.Fatalf("got %v", err)
	}
	if state, why := a.CopyStatus(); state != Lost || why == "" {
		t.Fatalf("state %v, %q", state, why)
	}
	if chunks, _, _ := a.read(100); len(chunks) != 0 {
		t.Fatal("a token that no keeper has is visible")
	}
	a.Uncover()
	if chunks, _, err := a.Read(context.Background(), 100); err != nil || chunks[0].Text != "y" {
		t.Fatalf("got %v, %v", chunks, err)
	}
}

func node(t *testing.T, name string, links *faults.Links) (*link.Net, *Registry, chan *Answer) {
	t.Helper()
	n, err := link.Listen(link.Config{Node: name, Listen: "127.0.0.1:0", Dial: links.Dialer(name)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.Close() })
	r := NewRegistry(Config{Node: name, TotalBytes: 1 << 20, Keep: time.Minute})
	owned := make(chan *Answer, 1)
	Serve(n, r, time.Now, func(a *Answer) { owned <- a })
	return n, r, owned
}

// Guards against a takeover while the owner is connected, two owners after the
// owner is cut off, lost tokens on the way, and readers that are not told.
func TestTakeoverOverLinks(t *testing.T) {
	ctx, links := context.Background(), faults.New()
	na, ra, _ := node(t, "a", links)
	nb, _, owned := node(t, "b", links)
	nc, _, _ := node(t, "c", links)
	a, _ := ra.Accept(Request{ID: "r", Org: "o", Body: []byte("q")}, start)
	lost, err := a.Copy(ctx, (&Client{Net: na, AckTimeout: time.Minute}).Copier(nb.Addr()))
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
	if err := <-lost; !errors.Is(err, ErrTakenOver) {
		t.Fatalf("old owner: %v", err)
	}
	var broken *BrokenError
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
	// A keeper that is cut off silently delays readers only for the timeout.
	a2, _ := ra.Accept(Request{ID: "r2"}, start)
	links.Set(nb.Addr(), "a", faults.Rule{Cut: true})
	if _, err := a2.Copy(ctx, (&Client{Net: na, AckTimeout: time.Millisecond}).Copier(nb.Addr())); err == nil {
		t.Fatal("a silent keeper acknowledged")
	}
}

// Guards against messages from outside that crash the keeper or contradict its record.
func FuzzMessages(f *testing.F) {
	seed, _ := proto.Marshal(&strmpb.Copies{Items: []*strmpb.CopyItem{{Answer: 1, Tokens: [][]byte{[]byte("x")}}, {Answer: 2}, {Answer: 1, Close: true}}})
	f.Add(seed)
	f.Fuzz(func(t *testing.T, b []byte) {
		r := NewRegistry(Config{TotalBytes: 1 << 16})
		o := &ownerStream{r: r, owner: "o", open: map[uint32]heldCopy{}}
		o.receive(&strmpb.Copies{Items: []*strmpb.CopyItem{{Answer: 1, Begin: &strmpb.Begin{Request: &strmpb.Request{Id: "r"}}}}}, start)
		var m strmpb.Copies
		if proto.Unmarshal(b, &m) == nil {
			o.receive(&m, start)
		}
		o.end()
		var c strmpb.Chunk
		if proto.Unmarshal(b, &c) == nil {
			_, _ = chunksFrom("r", 0, &c)
		}
		sum := int64(0)
		for id, e := range r.entries {
			sum += e.a.memory()
			if e.links != 0 {
				t.Fatalf("copy %q has %d links after its stream ended", id, e.links)
			}
		}
		if r.Bytes() != sum || sum > 1<<16 {
			t.Fatalf("charged %d bytes, records have %d", r.Bytes(), sum)
		}
	})
}

func BenchmarkAppendRead(b *testing.B) {
	a := New("r", Request{}, start)
	a.limit = 1 << 40
	n := a.Attempt()
	b.ReportAllocs()
	for i := range uint64(b.N) {
		if i%(1<<20) == 0 { // texts are indexed by 32 bits
			a = New("r", Request{}, start)
			n = a.Attempt()
			a.limit = 1 << 40
		}
		_, _ = a.Append(n, i%(1<<20), []string{"token"})
		_, _, _ = a.Read(context.Background(), i%(1<<20))
	}
}
