package stream

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
)

var testStart = time.Unix(1_800_000_000, 0)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// delivery is a chunk or end in flight from a backend server.
type delivery struct {
	attempt, pos uint64
	tokens       []string
	end          bool
}

// referenceRecord is a simple implementation with one map per attempt.
type referenceRecord struct {
	attempt  uint64
	recorded []string
	received map[uint64]string
	end      int // position of the end; -1 if not received
	ended    bool
}

func (r *referenceRecord) startAttempt(attempt uint64) {
	r.attempt, r.received, r.end = attempt, map[uint64]string{}, -1
}

func (r *referenceRecord) deliver(d delivery) {
	if r.ended || d.attempt != r.attempt {
		return
	}
	for i, t := range d.tokens {
		r.received[d.pos+uint64(i)] = t
	}
	if d.end {
		r.end = int(d.pos)
	}
	for t, ok := r.received[uint64(len(r.recorded))]; ok; t, ok = r.received[uint64(len(r.recorded))] {
		r.recorded = append(r.recorded, t)
	}
	r.ended = r.end == len(r.recorded)
}

func readAll(ctx context.Context, a *Answer, from uint64) ([]string, error) {
	var out []string
	for {
		chunks, done, err := a.Read(ctx, from)
		if err != nil {
			return out, err
		}
		for _, c := range chunks {
			if c.Pos != from {
				return out, fmt.Errorf("token %d where %d is next", c.Pos, from)
			}
			out = append(out, c.Text)
			from++
		}
		if done {
			return out, nil
		}
	}
}

// Guards against a record that loses, repeats, reorders or mixes tokens when
// chunks are delayed, duplicated, reordered and cut off over several attempts, and
// against an answer that ends without a finish reason. Backend servers sample, so
// each attempt generates different texts.
func TestRandomSchedules(t *testing.T) {
	for seed := range uint64(4000) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		a, want := New("r", Request{Body: []byte("x")}, testStart), &referenceRecord{}
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		var wg sync.WaitGroup
		read := make([][]string, 3)
		for i := range read {
			wg.Go(func() { read[i], _ = readAll(ctx, a, 0) })
		}
		var sent []delivery
		for attempts := 1; !want.ended; attempts++ {
			n := a.Attempt()
			want.startAttempt(n)
			deliveries := serverOutput(rnd, n, a.Position())
			cut := rnd.IntN(2) == 0 && attempts < 5
			if cut {
				deliveries = deliveries[:rnd.IntN(len(deliveries))]
			}
			deliveries = append(deliveries, deliveries[:rnd.IntN(len(deliveries)+1)]...)
			schedule := append(slices.Clone(deliveries), sent...)
			rnd.Shuffle(len(schedule), func(i, j int) { schedule[i], schedule[j] = schedule[j], schedule[i] })
			for _, d := range schedule {
				want.deliver(d)
				deliver(t, seed, a, d)
				if p := a.Position(); p != uint64(len(want.recorded)) {
					t.Fatalf("seed %d: position %d, want %d", seed, p, len(want.recorded))
				}
			}
			sent = append(sent, deliveries...)
			if _, ended := a.Ended(); ended != want.ended {
				t.Fatalf("seed %d: ended %v, want %v", seed, ended, want.ended)
			}
		}
		wg.Wait()
		cancel()
		for _, got := range read {
			if !slices.Equal(got, want.recorded) {
				t.Fatalf("seed %d: read %q, want %q", seed, got, want.recorded)
			}
		}
		if a.bytes != a.req.bytes()+tokensSize(want.recorded) {
			t.Fatalf("seed %d: charged %d bytes, want %d", seed, a.bytes, a.req.bytes()+tokensSize(want.recorded))
		}
	}
}

func serverOutput(rnd *rand.Rand, attempt, from uint64) []delivery {
	var out []delivery
	pos := from
	for range 1 + rnd.IntN(12) {
		d := delivery{attempt: attempt, pos: pos}
		for range 1 + rnd.IntN(4) {
			d.tokens = append(d.tokens, fmt.Sprintf("%d/%d ", attempt, pos))
			pos++
		}
		out = append(out, d)
	}
	return append(out, delivery{attempt: attempt, pos: pos, end: true})
}

func deliver(t *testing.T, seed uint64, a *Answer, d delivery) {
	t.Helper()
	var err error
	if d.end {
		err = a.End(d.attempt, d.pos, "stop")
	} else {
		_, err = a.Append(d.attempt, d.pos, d.tokens)
	}
	if err != nil && !errors.Is(err, ErrStale) && !errors.Is(err, ErrEnded) {
		t.Fatalf("seed %d: %v", seed, err)
	}
}

// Guards against accepted mismatches, ends without a finish reason and unbounded
// buffering, and against readers that hang when an answer is aborted.
func TestRefusals(t *testing.T) {
	a := New("r", Request{}, testStart)
	if _, err := a.Append(0, 0, []string{"x"}); !errors.Is(err, ErrStale) {
		t.Fatalf("before the first attempt: %v", err)
	}
	n := a.Attempt()
	steps := []struct {
		name string
		run  func() error
		want error
	}{
		{"first", func() error { _, err := a.Append(n, 0, []string{"a", "b"}); return err }, nil},
		{"other text", func() error { _, err := a.Append(n, 1, []string{"c"}); return err }, ErrMismatch},
		{"no finish reason", func() error { return a.End(n, 2, "") }, ErrNotFinal},
		{"end before tokens", func() error { return a.End(n, 1, "stop") }, ErrMismatch},
		{"too far after a gap", func() error { _, err := a.Append(n, 9, []string{strings.Repeat("x", maxOutOfOrderBytes)}); return err }, ErrGap},
		{"overflow", func() error { _, err := a.Append(n, 1<<64-1, []string{"x", "y"}); return err }, ErrMismatch},
		{"late end", func() error { return a.End(n, 3, "stop") }, nil},
		{"beyond the end", func() error { _, err := a.Append(n, 3, []string{"x"}); return err }, ErrMismatch},
		{"read beyond", func() error { _, _, err := a.Read(context.Background(), 3); return err }, ErrPosition},
	}
	for _, s := range steps {
		if err := s.run(); !errors.Is(err, s.want) {
			t.Fatalf("%s: got %v, want %v", s.name, err, s.want)
		}
	}
	a.Break("no server left")
	got, err := readAll(context.Background(), a, 0)
	var broken *BrokenError
	if !errors.As(err, &broken) || broken.Reason != "no server left" || len(got) != 2 {
		t.Fatalf("got %q, %v", got, err)
	}
}

// Guards against memory use beyond the registry's limit, memory that is not
// released, and eviction of an answer in progress.
func TestRegistryMemory(t *testing.T) {
	r := NewRegistry(Config{Node: "a", AnswerBytes: 4096, TotalBytes: 8192, Keep: time.Minute})
	running, _ := r.Accept(Request{ID: "running"}, testStart)
	running.Attempt()
	if _, err := running.Append(1, 0, []string{strings.Repeat("x", 5000)}); !errors.Is(err, ErrTooLarge) {
		t.Fatalf("got %v, want the limit of one answer", err)
	}
	for i := range 100 {
		a, err := r.Accept(Request{ID: fmt.Sprint(i)}, testStart)
		if err != nil {
			t.Fatalf("answer %d: %v", i, err)
		}
		a.Attempt()
		if _, err := a.Append(1, 0, []string{strings.Repeat("x", 2000)}); err != nil {
			t.Fatalf("answer %d: %v", i, err)
		}
		if r.Bytes() > 8192 {
			t.Fatalf("%d bytes exceed the limit", r.Bytes())
		}
		if i < 99 {
			_ = a.End(1, 1, "stop")
		}
	}
	if a, ok := r.Get("99"); !ok || a.Position() != 1 {
		t.Fatal("the answer in progress was evicted")
	}
	if n := r.Sweep(testStart); n != 0 {
		t.Fatalf("%d answers dropped before Keep has passed", n)
	}
	r.Sweep(testStart.Add(time.Minute))
	a, _ := r.Get("99")
	if r.Bytes() != a.memory() {
		t.Fatalf("%d bytes charged, want %d of the answer in progress", r.Bytes(), a.memory())
	}
}
