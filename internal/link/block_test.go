package link

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/wrapperspb"

	"cranberrypath.example/cranberrypath/internal/faults"
)

// call starts a call whose outcome arrives on the channel.
func call(ctx context.Context, n *Net, addr string) <-chan error {
	done := make(chan error, 1)
	go func() {
		var out wrapperspb.StringValue
		done <- n.Call(ctx, addr, "echo", wrapperspb.String("x"), &out)
	}()
	return done
}

// ended asks that a call ends with its context while the other still waits.
func ended(t *testing.T, short, other <-chan error, notSent bool) {
	t.Helper()
	select {
	case err := <-other:
		t.Fatalf("the call without a deadline ended first: %v", err)
	case err := <-short:
		if !errors.Is(err, context.DeadlineExceeded) || NotSent(err) != notSent {
			t.Fatalf("got %v (not sent: %v), want a deadline (not sent: %v)", err, NotSent(err), notSent)
		}
	}
}

// Guards against a call that outlasts its context because another goroutine
// dials the same peer and waits for its handshake, and against the call that
// gives up taking the attempt down for the other.
func TestHandshakeHonoursContext(t *testing.T) {
	links := faults.New()
	a, b := listen(t, Config{Node: "a", Dial: links.Dialer("a")}), listen(t, Config{Node: "b"})
	links.Set(b.Addr(), "a", faults.Rule{Cut: true})
	long := call(context.Background(), a, b.Addr())
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	ended(t, call(ctx, a, b.Addr()), long, true)
	links.Set(b.Addr(), "a", faults.Rule{})
	if err := <-long; err != nil {
		t.Fatalf("the other call: %v", err)
	}
}

// Guards against calls, openings and sends that outlast their context while the
// connection is blocked, and against a wrong word on whether a byte was sent.
func TestBlockedWriteHonoursContext(t *testing.T) {
	links := faults.New()
	a, b := listen(t, Config{Node: "a", Dial: links.Dialer("a")}), listen(t, Config{Node: "b"})
	if err := <-call(context.Background(), a, b.Addr()); err != nil {
		t.Fatal(err)
	}
	s, err := a.Open(context.Background(), b.Addr(), "count")
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	time.Sleep(5 * holdControl) // no held frame is left
	links.Set("a", b.Addr(), faults.Rule{Cut: true})
	long := call(context.Background(), a, b.Addr())
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	sent := make(chan error, 1)
	go func() { sent <- s.Send(wrapperspb.String("x")) }()
	short := call(ctx, a, b.Addr())
	<-ctx.Done()
	_ = s.SetDeadline(time.Unix(1, 0))
	select {
	case err := <-long:
		t.Fatalf("the call without a deadline ended first: %v", err)
	case err := <-sent:
		if err == nil {
			t.Fatal("a blocked send succeeded")
		}
	}
	select {
	case err := <-long:
		t.Fatalf("the call without a deadline ended first: %v", err)
	case err := <-short:
		if !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("got %v, want a deadline", err)
		}
	}
	if _, err := a.Open(ctx, b.Addr(), "count"); !errors.Is(err, context.DeadlineExceeded) || !NotSent(err) {
		t.Fatalf("got %v, want a deadline before the stream is opened", err)
	}
	links.Set("a", b.Addr(), faults.Rule{})
	if err := <-long; err != nil {
		t.Fatalf("the other call: %v", err)
	}
}

type record struct {
	net.Conn
	all    bytes.Buffer
	writes int
}

func (r *record) Write(b []byte) (int, error) {
	r.writes++
	return r.all.Write(b)
}

// Guards against a merger that loses, reorders or holds back frames.
func TestMergerKeepsTheBytes(t *testing.T) {
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 1))
	r := &record{}
	m := newMerger(r)
	var want bytes.Buffer
	put := func(kind byte, flags uint16, length uint32, body []byte) {
		h := make([]byte, frameHeader)
		h[1] = kind
		binary.BigEndian.PutUint16(h[2:], flags)
		binary.BigEndian.PutUint32(h[8:], length)
		for _, b := range [][]byte{h, body} {
			if len(b) == 0 {
				continue
			}
			want.Write(b)
			if n, err := m.Write(b); n != len(b) || err != nil {
				t.Fatalf("wrote %d of %d: %v", n, len(b), err)
			}
		}
	}
	for range 500 {
		body := make([]byte, 1+rng.IntN(2*mergeBytes)>>rng.IntN(16))
		for i := range body {
			body[i] = byte(rng.Uint32())
		}
		switch rng.IntN(3) {
		case 0:
			put(frameData, 0, uint32(len(body)), body)
		default:
			put(byte(1+rng.IntN(3)), uint16(rng.IntN(16)), rng.Uint32(), nil)
		}
	}
	put(frameData, 0, 1, []byte{1})
	m.mu.Lock()
	defer m.mu.Unlock()
	if !bytes.Equal(r.all.Bytes(), want.Bytes()) {
		t.Fatal("the bytes differ")
	}
}

// Guards against small calls that cost a segment for each frame, and against
// traffic that only one end counts.
func TestCallsShareWrites(t *testing.T) {
	a, b := listen(t, Config{Node: "a"}), listen(t, Config{Node: "b"})
	const calls = 50
	for range calls {
		if err := <-call(context.Background(), a, b.Addr()); err != nil {
			t.Fatal(err)
		}
	}
	// Apart, a call takes 6 writes of each end.
	if w := a.Traffic().Writes + b.Traffic().Writes; w > 6*calls {
		t.Fatalf("%d writes for %d calls", w, calls)
	}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		x, y := a.Traffic(), b.Traffic()
		if x.BytesSent == y.BytesReceived && y.BytesSent == x.BytesReceived && x.Reads > 0 && y.Reads > 0 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("the ends count %+v and %+v", x, y)
		}
	}
	x, y := a.TrafficByName()["echo"], b.TrafficByName()["echo"]
	if x.Writes != calls || x.BytesSent != y.BytesReceived || y.BytesSent != x.BytesReceived {
		t.Fatalf("by name: %+v and %+v", x, y)
	}
}
