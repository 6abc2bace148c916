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

// startCall starts a call and returns a channel that receives its error.
func startCall(ctx context.Context, n *Net, addr string) <-chan error {
	done := make(chan error, 1)
	go func() {
		var out wrapperspb.StringValue
		done <- n.Call(ctx, addr, "echo", wrapperspb.String("x"), &out)
	}()
	return done
}

// expectDeadline fails unless the call short ends with its deadline while other
// still waits.
func expectDeadline(t *testing.T, short, other <-chan error, notSent bool) {
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

// Guards against a call that outlasts its context while another goroutine dials
// the same peer and waits for its handshake, and against canceling the dial
// attempt for both when one call gives up.
func TestHandshakeHonoursContext(t *testing.T) {
	links := faults.New()
	a, b := listen(t, Config{Node: "a", Dial: links.Dialer("a")}), listen(t, Config{Node: "b"})
	links.Set(b.Addr(), "a", faults.Rule{Cut: true})
	long := startCall(context.Background(), a, b.Addr())
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	expectDeadline(t, startCall(ctx, a, b.Addr()), long, true)
	links.Set(b.Addr(), "a", faults.Rule{})
	if err := <-long; err != nil {
		t.Fatalf("the other call: %v", err)
	}
}

// Guards against Call, Open and Send outlasting their context while the connection
// is blocked, and against a wrong NotSent result.
func TestBlockedWriteHonoursContext(t *testing.T) {
	links := faults.New()
	a, b := listen(t, Config{Node: "a", Dial: links.Dialer("a")}), listen(t, Config{Node: "b"})
	if err := <-startCall(context.Background(), a, b.Addr()); err != nil {
		t.Fatal(err)
	}
	s, err := a.Open(context.Background(), b.Addr(), "count")
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	time.Sleep(5 * controlFrameDelay) // lets buffered frames be written
	links.Set("a", b.Addr(), faults.Rule{Cut: true})
	long := startCall(context.Background(), a, b.Addr())
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	sent := make(chan error, 1)
	go func() { sent <- s.Send(wrapperspb.String("x")) }()
	short := startCall(ctx, a, b.Addr())
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

type recordingConn struct {
	net.Conn
	written bytes.Buffer
	writes  int
}

func (r *recordingConn) Write(b []byte) (int, error) {
	r.writes++
	return r.written.Write(b)
}

// Guards against losing, reordering or holding back frames.
func TestMergerKeepsTheBytes(t *testing.T) {
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 1))
	r := &recordingConn{}
	m := newFrameMerger(r)
	var want bytes.Buffer
	writeFrame := func(kind byte, flags uint16, length uint32, body []byte) {
		h := make([]byte, yamuxHeaderBytes)
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
		body := make([]byte, 1+rng.IntN(2*maxMergedBodyBytes)>>rng.IntN(16))
		for i := range body {
			body[i] = byte(rng.Uint32())
		}
		switch rng.IntN(3) {
		case 0:
			writeFrame(yamuxTypeData, 0, uint32(len(body)), body)
		default:
			writeFrame(byte(1+rng.IntN(3)), uint16(rng.IntN(16)), rng.Uint32(), nil)
		}
	}
	writeFrame(yamuxTypeData, 0, 1, []byte{1})
	m.mu.Lock()
	defer m.mu.Unlock()
	if !bytes.Equal(r.written.Bytes(), want.Bytes()) {
		t.Fatal("the bytes differ")
	}
}

// Guards against writing each frame of a small call separately, and against
// traffic counts that differ between both ends.
func TestCallsShareWrites(t *testing.T) {
	a, b := listen(t, Config{Node: "a"}), listen(t, Config{Node: "b"})
	const calls = 50
	for range calls {
		if err := <-startCall(context.Background(), a, b.Addr()); err != nil {
			t.Fatal(err)
		}
	}
	// Without merging, each end writes 6 times per call.
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
