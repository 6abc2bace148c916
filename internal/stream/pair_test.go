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

// faulty is a pair's stream whose acknowledgements arrive twice, late and out of
// order, and which is cut after some messages.
type faulty struct {
	o    *ownerStream
	rnd  *rand.Rand
	left int           // messages until the cut; negative never
	deaf bool          // the cut stops acknowledgements only
	gate chan struct{} // holds messages back until it is closed; nil does not

	acks, old []*strmpb.CopyAck
}

func (f *faulty) Send(m proto.Message) error {
	if f.gate != nil {
		<-f.gate
	}
	f.left--
	cut := f.left < 0 && f.left > never/2
	if cut && !f.deaf {
		return nil
	}
	acks := f.o.receive(proto.Clone(m).(*strmpb.Copies), start).Acks
	if cut {
		return nil
	}
	f.acks, f.old = append(f.acks, acks...), append(f.old, acks...)
	for range f.rnd.IntN(4) {
		if len(f.old) > 0 {
			f.acks = append(f.acks, f.old[f.rnd.IntN(len(f.old))])
		}
	}
	f.rnd.Shuffle(len(f.acks), func(i, j int) { f.acks[i], f.acks[j] = f.acks[j], f.acks[i] })
	return nil
}

func (f *faulty) Recv(m proto.Message) error {
	if len(f.acks) == 0 {
		return errLost
	}
	n := 1 + f.rnd.IntN(len(f.acks))
	m.(*strmpb.CopyAcks).Acks, f.acks = f.acks[:n:n], f.acks[n:]
	return nil
}

func (f *faulty) SetDeadline(time.Time) error { return nil }

func (f *faulty) Close() error {
	f.o.end()
	return nil
}

// never is the number of messages left of a stream that is not cut.
const never = -1 << 30

// runCopies runs answers whose keepers fail one after another and returns what
// their readers saw and what the last keeper holds of each.
func runCopies(t *testing.T, seed uint64, keepers []*Registry, copier func(a, k int) Copier) (read, held [][]string) {
	const answers, total = 6, 60
	read, held = make([][]string, answers), make([][]string, answers)
	ctx := context.Background()
	var wg sync.WaitGroup
	for i := range answers {
		id := fmt.Sprint(i)
		a := New(id, Request{}, start)
		n := a.Attempt()
		began := make(chan struct{}) // tokens that come before a keeper was asked are visible at once
		wg.Go(func() {
			for k := range keepers {
				lost, err := a.Copy(ctx, copier(i, k))
				if k == 0 {
					close(began)
				}
				if err == nil && <-lost == nil {
					r, _ := keepers[k].Get(id)
					end, _ := r.Ended()
					held[i] = append(r.Tokens(0), fmt.Sprint(end))
					return
				}
			}
			t.Errorf("seed %d: answer %d has no keeper", seed, i)
			a.Break("no keeper")
		})
		wg.Go(func() {
			<-began
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
				if !slices.ContainsFunc(keepers, func(r *Registry) bool {
					c, ok := r.Get(id)
					return ok && c.Position() >= uint64(len(read[i]))
				}) {
					t.Errorf("seed %d: answer %d shows %d tokens that no keeper has", seed, i, len(read[i]))
				}
				done = d
			}
		})
	}
	wg.Wait()
	return read, held
}

// Guards against tokens shown that no keeper has, lost or mixed answers, and
// waits that never end when answers share a stream that is cut in one or both
// directions and whose acknowledgements are repeated, late and out of order. A
// copier for each answer without faults of its stream is the reference.
func TestJoinedCopiesThroughFaults(t *testing.T) {
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
		plain := registries()
		want, wantHeld := runCopies(t, seed, plain, func(_, k int) Copier {
			return &direct{r: plain[k], owner: "o", left: never}
		})
		joined := registries()
		var mu sync.Mutex
		c := &Client{AckTimeout: time.Minute, dial: func(_ context.Context, addr string) (wire, error) {
			mu.Lock()
			defer mu.Unlock()
			k := int(addr[0] - '0')
			f := &faulty{
				o: &ownerStream{r: joined[k], owner: "o", open: map[uint32]heldCopy{}}, rnd: rand.New(rand.NewPCG(seed, rnd.Uint64())),
				left: rnd.IntN(20), deaf: rnd.IntN(2) == 0,
			}
			if k == len(joined)-1 {
				f.left = never
			}
			return f, nil
		}}
		got, held := runCopies(t, seed, joined, func(_, k int) Copier { return c.Copier(fmt.Sprint(k)) })
		for a := range want {
			if !slices.Equal(got[a], want[a]) || !slices.Equal(held[a], wantHeld[a]) {
				t.Fatalf("seed %d: answer %d: read %q, held %q, want %q", seed, a, got[a], held[a], want[a])
			}
		}
		if t.Failed() {
			return
		}
	}
}

// Guards against answers held up by another one's slow or lost keeper, and
// against tokens that pile up in front of it.
func TestSlowKeeperHoldsUpOnlyItsAnswers(t *testing.T) {
	ctx, gate := context.Background(), make(chan struct{})
	slow, quick := NewRegistry(Config{TotalBytes: 1 << 20}), NewRegistry(Config{TotalBytes: 1 << 20})
	c := &Client{AckTimeout: time.Minute, dial: func(_ context.Context, addr string) (wire, error) {
		f := &faulty{o: &ownerStream{r: quick, open: map[uint32]heldCopy{}}, rnd: rand.New(rand.NewPCG(1, 1)), left: never}
		if addr == "slow" {
			f.o.r, f.gate, f.left = slow, gate, 2
		}
		return f, nil
	}}
	lost := make(chan error, 20)
	answers := map[string]*Answer{}
	for i := range 20 {
		addr := []string{"slow", "quick"}[i%2]
		a := New(fmt.Sprint(addr, i), Request{}, start)
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
			lost <- err
		}()
	}
	for range 10 { // the quick ones, whose tokens nobody reads
		if err := <-lost; err != nil {
			t.Fatal(err)
		}
	}
	c.mu.Lock()
	p := c.pairs["slow"]
	c.mu.Unlock()
	p.mu.Lock()
	if len(p.waiting) > 10 {
		t.Errorf("%d items wait for the slow keeper", len(p.waiting))
	}
	p.mu.Unlock()
	close(gate)
	for range 10 {
		if err := <-lost; !errors.Is(err, errLost) && err != nil {
			t.Fatal(err)
		}
	}
}
