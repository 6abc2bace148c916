package link

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"cranberrypath.example/cranberrypath/internal/faults"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func listen(t testing.TB, cfg Config) *Transport {
	t.Helper()
	cfg.Listen = "127.0.0.1:0"
	n, err := Listen(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.Close() })
	n.Handle("echo", func(_ context.Context, from Peer, body []byte) (proto.Message, error) {
		var in wrapperspb.StringValue
		if err := proto.Unmarshal(body, &in); err != nil {
			return nil, err
		}
		if in.Value == "refuse" {
			return nil, &RemoteError{Code: "refused", Message: "asked to"}
		}
		return wrapperspb.String(from.Node + ":" + in.Value), nil
	})
	n.HandleStream("count", func(_ context.Context, _ Peer, s *Stream) error {
		for i := range int64(3) {
			if err := s.Send(wrapperspb.Int64(i)); err != nil {
				return err
			}
		}
		return nil
	})
	return n
}

// Guards against losing the peer's name or an error's code.
func TestCallAndStream(t *testing.T) {
	a := listen(t, Config{Node: "a", Key: []byte("k")})
	b := listen(t, Config{Node: "b", Key: []byte("k")})
	ctx := context.Background()
	var out wrapperspb.StringValue
	if err := a.Call(ctx, b.Addr(), "echo", wrapperspb.String("x"), &out); err != nil || out.Value != "a:x" {
		t.Fatalf("got %q, %v", out.Value, err)
	}
	var re *RemoteError
	if err := a.Call(ctx, b.Addr(), "echo", wrapperspb.String("refuse"), &out); !errors.As(err, &re) || re.Code != "refused" {
		t.Fatalf("got %v, want the code of the peer", err)
	}
	if err := a.Call(ctx, b.Addr(), "nothing", wrapperspb.String("x"), &out); !errors.As(err, &re) || re.Code != "unknownCall" {
		t.Fatalf("got %v, want unknownCall", err)
	}
	s, err := a.Open(ctx, b.Addr(), "count")
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for i := range int64(3) {
		var v wrapperspb.Int64Value
		if err := s.Recv(&v); err != nil || v.Value != i {
			t.Fatalf("got %d, %v, want %d", v.Value, err, i)
		}
	}
}

// Guards against accepting a peer that does not hold the shared key.
func TestSharedKeyIsChecked(t *testing.T) {
	b := listen(t, Config{Node: "b", Key: []byte("right")})
	for _, key := range []string{"", "wrong"} {
		a := listen(t, Config{Node: "a", Key: []byte(key)})
		var out wrapperspb.StringValue
		err := a.Call(context.Background(), b.Addr(), "echo", wrapperspb.String("x"), &out)
		if err == nil || !NotSent(err) {
			t.Fatalf("key %q: got %v, want a refusal before the call is sent", key, err)
		}
	}
}

// Guards against a call that never returns because packets are silently dropped,
// and against reporting it as not sent although bytes were sent.
func TestCutLinkTimesOut(t *testing.T) {
	links := faults.New()
	a := listen(t, Config{Node: "a", Dial: links.Dialer("a")})
	b := listen(t, Config{Node: "b"})
	var out wrapperspb.StringValue
	if err := a.Call(context.Background(), b.Addr(), "echo", wrapperspb.String("x"), &out); err != nil {
		t.Fatal(err)
	}
	links.Set(b.Addr(), "a", faults.Rule{Cut: true})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	err := a.Call(ctx, b.Addr(), "echo", wrapperspb.String("x"), &out)
	if !errors.Is(err, context.DeadlineExceeded) || NotSent(err) {
		t.Fatalf("got %v (not sent: %v), want a deadline with unknown outcome", err, NotSent(err))
	}
	links.Set(b.Addr(), "a", faults.Rule{})
	if err := a.Call(context.Background(), b.Addr(), "echo", wrapperspb.String("x"), &out); err != nil {
		t.Fatalf("after healing: %v", err)
	}
}

// Guards against allocating the size given by an untrusted length prefix.
func FuzzReadFrame(f *testing.F) {
	f.Add([]byte{0, 0, 0, 1, 0})
	f.Add([]byte{255, 255, 255, 255})
	f.Fuzz(func(t *testing.T, b []byte) {
		var v wrapperspb.StringValue
		_ = readHandshake(&byteReader{b: b}, &v)
		if m, err := readMessageBytes(&byteReader{b: b}, maxMessageBytes); err == nil {
			_ = proto.Unmarshal(m, &v)
		}
	})
}

type byteReader struct{ b []byte }

func (r *byteReader) Read(p []byte) (int, error) {
	if len(r.b) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.b)
	r.b = r.b[n:]
	return n, nil
}
