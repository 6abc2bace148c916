package guard

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"github.com/valyala/fasthttp"
)

const testLimit = 4 << 20

func newGuard(t testing.TB, bytes int64) *Guard {
	t.Helper()
	g, err := New(Config{Bytes: bytes})
	if err != nil {
		t.Fatal(err)
	}
	return g
}

func in(d time.Duration) time.Time { return time.Now().Add(d) }

// Guards against a single body inside the limits that is refused in calm, on the smallest
// machine too, and against bodies that are cut or changed when they are joined.
func TestBodiesArriveWhole(t *testing.T) {
	g := newGuard(t, LimitsFor(144<<20, 3075).Bytes)
	for _, n := range []int{0, 1, freeBytes, freeBytes + 1, segmentBytes, 100_000, maxDirectBytes, maxDirectBytes + 1, testLimit} {
		want := bytes.Repeat([]byte("abcdefg"), n/7+1)[:n]
		for _, length := range []int64{int64(n), -1} {
			for _, reader := range []io.Reader{bytes.NewReader(want), iotest.DataErrReader(bytes.NewReader(want))} {
				r, err := g.ReadBody(nil, reader, length, testLimit, in(time.Minute))
				if err != nil || !bytes.Equal(r.Content(), want) {
					t.Fatalf("%d bytes, length %d: got %d bytes and %v", n, length, len(r.Content()), err)
				}
				if n > freeBytes && g.Used() != int64(n) {
					t.Errorf("%d bytes, length %d: %d bytes are held", n, length, g.Used())
				}
				r.Release()
				r.Release()
			}
		}
	}
	if g.Used() != 0 {
		t.Errorf("%d bytes are held at the end", g.Used())
	}
}

// Guards against memory that is not returned after bodies that end early or are too large, and
// against reading more of a body than its limit.
func TestBadBodies(t *testing.T) {
	g := newGuard(t, 20<<20)
	endless := func() io.Reader { return iotest.DataErrReader(io.LimitReader(zeros{}, 1<<40)) }
	for _, c := range []struct {
		name   string
		in     io.Reader
		length int64
		want   func(error) bool
	}{
		{"declared over the limit", endless(), 1 << 40, ErrTooLarge.Has},
		{"sent over the limit", endless(), -1, ErrTooLarge.Has},
		{"ends early", strings.NewReader("x"), 100_000, func(err error) bool { return errors.Is(err, io.ErrUnexpectedEOF) }},
		{"large, ends early", strings.NewReader("x"), testLimit, func(err error) bool { return errors.Is(err, io.ErrUnexpectedEOF) }},
		{"longer than declared", strings.NewReader("xx"), 1, ErrTooLarge.Has},
		{"broken off", iotest.TimeoutReader(iotest.OneByteReader(strings.NewReader("xx"))), -1, func(err error) bool { return errors.Is(err, iotest.ErrTimeout) }},
	} {
		if _, err := g.ReadBody(nil, c.in, c.length, testLimit, in(time.Minute)); !c.want(err) {
			t.Errorf("%s: %v", c.name, err)
		}
		if g.Used() != 0 {
			t.Errorf("%s: %d bytes are held", c.name, g.Used())
		}
	}
}

type zeros struct{}

func (zeros) Read(b []byte) (int, error) { return len(b), nil }

// Guards against an account that a declared length fills before a byte arrives.
func TestDeclaredLengthsHoldLittle(t *testing.T) {
	g := newGuard(t, 20<<20)
	for range 1000 {
		stalled, _ := io.Pipe()
		go func() { _, _ = g.ReadBody(nil, stalled, testLimit, testLimit, in(time.Minute)) }()
	}
	time.Sleep(50 * time.Millisecond)
	if most := int64(1000 * segmentBytes); g.Used() > most {
		t.Errorf("%d bytes are held, want at most %d", g.Used(), most)
	}
}

// openConns returns a copy of the connections, which scans do not change.
func openConns(g *Guard) []*Conn {
	g.scan.Lock()
	defer g.scan.Unlock()
	conns, _ := g.usages(nil)
	return slices.Clone(conns)
}

// connect returns both ends of a connection that the guard has accepted.
func connect(t *testing.T, ln net.Listener) (*Conn, net.Conn) {
	t.Helper()
	remote, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = remote.Close()
		_ = c.Close()
	})
	return Of(c), remote
}

// Guards against stalled bodies that keep others from being received, whose time is up
// only later, and against an account that is not empty when all have gone.
func TestStalledBodiesGiveWay(t *testing.T) {
	g := newGuard(t, 1<<20)
	ln, err := g.Listen("127.0.0.1:0", 100)
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	var wg sync.WaitGroup
	results := make(chan error, 40)
	for range 40 { // of 28 KB each at most
		c, remote := connect(t, ln)
		_, _ = remote.Write(make([]byte, 30_000))
		wg.Go(func() {
			_, err := g.ReadBody(c, c, 400_000, 500_000, in(time.Minute))
			results <- err
		})
	}
	r, err := g.ReadBody(nil, bytes.NewReader(make([]byte, 300_000)), -1, 500_000, in(time.Minute))
	for tries := 0; ErrFull.Has(err) && tries < 20; tries++ { // as an ordinary caller does
		r, err = g.ReadBody(nil, bytes.NewReader(make([]byte, 300_000)), -1, 500_000, in(time.Minute))
	}
	if err != nil {
		t.Fatal(err)
	}
	r.Release()
	if err := <-results; !ErrTooSlow.Has(err) && !ErrFull.Has(err) {
		t.Errorf("a stalled body: %v", err)
	}
	for _, c := range openConns(g) {
		_ = c.Conn.Close()
	}
	wg.Wait()
	if g.Used() != 0 {
		t.Errorf("%d bytes are held at the end", g.Used())
	}
}

// Guards against a caller that waits for memory for ever.
func TestWaitEnds(t *testing.T) {
	g := newGuard(t, 1<<20)
	g.take(1 << 20)
	if _, err := g.ReadBody(nil, zeros{}, -1, 500_000, in(50*time.Millisecond)); !ErrFull.Has(err) {
		t.Errorf("got %v, want that the account is full", err)
	}
	if g.Used() != 1<<20 {
		t.Errorf("%d bytes are held", g.Used())
	}
}

// Guards against more connections than the bound, and against a bound that connections which
// send nothing keep others from.
func TestConnections(t *testing.T) {
	const most = 5
	g := newGuard(t, 1<<20)
	ln, err := g.Listen("127.0.0.1:0", most)
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	busy, _ := connect(t, ln)
	busy.SetBusy()
	var first net.Conn
	for i := range 3 * most {
		c, remote := connect(t, ln)
		if i == 0 {
			first = remote
		}
		_ = c // stays open until the guard closes it
		_ = remote
	}
	_ = first.SetReadDeadline(in(10 * time.Second))
	if _, err := first.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the oldest connection: %v, want its end", err)
	}
	if Phase(busy.phase.Load()) != PhaseBusy {
		t.Error("the connection with a running request was closed")
	}
}

// Guards against heads that together hold more than the account.
func TestHeadsAreCharged(t *testing.T) {
	g := newGuard(t, 64<<10)
	ln, err := g.Listen("127.0.0.1:0", 100)
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	refused := 0
	for range 20 {
		c, remote := connect(t, ln)
		_, _ = remote.Write(make([]byte, 16<<10))
		if _, err := io.ReadFull(c, make([]byte, 16<<10)); err != nil {
			refused++
		}
		if g.Used() > 64<<10 {
			t.Fatalf("%d bytes are held", g.Used())
		}
	}
	if refused < 14 {
		t.Errorf("%d of 20 heads were refused", refused)
	}
	for _, c := range openConns(g) {
		_ = c.Close()
		_ = c.Close()
	}
	if g.Used() != 0 {
		t.Errorf("%d bytes are held at the end", g.Used())
	}
}

// Guards against small bodies, such as heartbeats, that are refused beside large ones because
// their length is not declared.
func TestSmallBodiesNeedNoAccount(t *testing.T) {
	g := newGuard(t, 1<<20)
	g.take(1 << 20)
	for _, n := range []int{0, 1, freeBytes - 1} {
		for _, length := range []int64{int64(n), -1} {
			r, err := g.ReadBody(nil, bytes.NewReader(make([]byte, n)), length, testLimit, in(50*time.Millisecond))
			if err != nil || len(r.Content()) != n {
				t.Errorf("%d bytes, length %d: got %d bytes and %v", n, length, len(r.Content()), err)
			}
		}
	}
}

// Guards against heartbeats and small orders that are refused while callers hold the account, and
// against a reserve that large bodies exceed or that is not returned.
func TestReserve(t *testing.T) {
	g := newGuard(t, 16<<20)
	g.take(16 << 20)
	deadline := func() time.Time { return in(50 * time.Millisecond) }
	for _, c := range []struct {
		size, length, limit int64
		full                bool
	}{
		{64 << 10, 64 << 10, 64 << 10, false},
		{64 << 10, -1, 64 << 10, false},
		{300_000, 300_000, testLimit, false},
		{300_000, -1, testLimit, true}, // could become larger than the reserve
		{1 << 20, 1 << 20, testLimit, true},
	} {
		r, err := g.ReadReserved(nil, bytes.NewReader(make([]byte, c.size)), c.length, c.limit, deadline())
		if full := ErrFull.Has(err); full != c.full || !full && (err != nil || len(r.Content()) != int(c.size)) {
			t.Errorf("%d bytes, length %d: got %d bytes and %v", c.size, c.length, len(r.Content()), err)
		}
		r.Release()
		if g.reserve.used.Load() != 0 || g.Used() != 16<<20 {
			t.Errorf("%d bytes, length %d: %d and %d bytes are held", c.size, c.length, g.reserve.used.Load(), g.Used())
		}
	}
	g.callers.used.Store(0)
	r, err := g.ReadReserved(nil, bytes.NewReader(make([]byte, 1<<20)), 1<<20, testLimit, deadline())
	if err != nil {
		t.Errorf("a large body while callers hold nothing: %v", err)
	}
	r.Release()
}

// Guards against a largest body that never fits into the account, since its pieces take more.
func TestLargestBodyFits(t *testing.T) {
	g := newGuard(t, 1<<20)
	for _, length := range []int64{g.MaxBody(), -1} {
		r, err := g.ReadBody(nil, bytes.NewReader(make([]byte, g.MaxBody())), length, testLimit, in(50*time.Millisecond))
		if err != nil {
			t.Errorf("length %d: %v", length, err)
		}
		r.Release()
	}
}

// Guards against a scan of all connections for every body that looks for memory, and against
// garbage of scans: 64 waiting bodies beside 1,152 connections used 0.26 of a core.
func TestScansAreRare(t *testing.T) {
	g := newGuard(t, 1<<20)
	g.cfg.Clock = func() time.Time { return start }
	l := &listener{guard: g}
	for range 1000 {
		g.add(l, nil)
	}
	scan := func() {
		g.callers.scanned.Store(0)
		g.endStalled(&g.callers)
	}
	scan()
	if n := testing.AllocsPerRun(100, scan); n > 0 {
		t.Errorf("%v allocations a scan", n)
	}
	g.conns = nil
	if g.endStalled(&g.callers); g.conns != nil {
		t.Error("a second scan at the same time")
	}
}

// Guards against a deadline for writes that the guard replaces by its own, later one.
func TestWriteDeadlineHolds(t *testing.T) {
	for _, set := range []func(*Conn, time.Time) error{(*Conn).SetWriteDeadline, (*Conn).SetDeadline} {
		g := newGuard(t, 1<<20)
		ln, err := g.Listen("127.0.0.1:0", 100)
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		c, _ := connect(t, ln)
		if err := set(c, in(50*time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		result := make(chan error, 1)
		go func() {
			_, err := c.Write(make([]byte, 64<<20)) // more than the buffers of the kernel
			result <- err
		}()
		select {
		case err := <-result:
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("got %v, want the end by the deadline", err)
			}
		case <-time.After(10 * time.Second):
			t.Error("the write did not end by its deadline")
		}
	}
}

// Guards against a caller that marks its own request as too long, and against such a mark that
// replaces the response to one that is.
func TestOverLengthIsNotTakenFromCallers(t *testing.T) {
	for _, c := range []struct {
		length int
		want   bool
	}{{10, false}, {1001, true}} {
		s := &fasthttp.Server{MaxRequestBodySize: 1000}
		BoundFast(s)
		var h fasthttp.RequestHeader
		h.Set(overLengthHeader, "1")
		h.SetContentLength(c.length)
		s.HeaderReceived(&h)
		if got := len(h.Peek(overLengthHeader)) > 0; got != c.want {
			t.Errorf("%d bytes: marked %v, want %v", c.length, got, c.want)
		}
	}
}

// Guards against large responses that callers do not read, and that together hold more than
// the account, and against a charge that outlives its response.
func TestResponsesAreCharged(t *testing.T) {
	g := newGuard(t, 1<<20)
	ln, err := g.Listen("127.0.0.1:0", 100)
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	a, _ := connect(t, ln)
	b, _ := connect(t, ln)
	if !a.Charge(freeBytes) || g.Used() != 0 {
		t.Errorf("a small response holds %d bytes", g.Used())
	}
	if !a.Charge(700_000) || b.Charge(700_000) {
		t.Error("want room for one response of 700,000 bytes")
	}
	a.SetIdle()
	if !b.Charge(700_000) {
		t.Error("no room after the first response")
	}
	_ = b.Close()
	if b.Charge(700_000); g.Used() != 0 {
		t.Errorf("%d bytes are held at the end", g.Used())
	}
}

// Guards against panics, wrong contents and memory that is lost, for any sequence of reads.
func FuzzReadBody(f *testing.F) {
	f.Add([]byte("abc"), int64(3), 2)
	f.Add([]byte("abc"), int64(-1), 1)
	f.Add([]byte(strings.Repeat("x", 3*segmentBytes)), int64(-1), segmentBytes)
	f.Add([]byte("abc"), int64(4), 7)
	f.Add([]byte("abc"), int64(1<<62), 7)
	f.Fuzz(func(t *testing.T, sent []byte, length int64, step int) {
		g := newGuard(t, 1<<20)
		r, err := g.ReadBody(nil, &steps{sent, max(1, step%(64<<10))}, length, 100_000, in(time.Minute))
		if err == nil && (!bytes.Equal(r.Content(), sent) || length >= 0 && int64(len(sent)) != length || len(sent) > 100_000) {
			t.Errorf("length %d: %d bytes of %d", length, len(r.Content()), len(sent))
		}
		r.Release()
		if g.Used() != 0 {
			t.Errorf("%d bytes are held at the end", g.Used())
		}
	})
}

// Guards against panics and memory that is lost, for any bytes that a caller sends to the HTTP
// servers in use, whose readers of heads and bodies differ.
func FuzzConnection(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\nabc"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999999999999\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;ext=1\r\nabc\r\n0\r\nA: b\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Type: multipart/form-data; boundary=b\r\nContent-Length: 20\r\n\r\n--b\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n"))
	f.Add([]byte("\r\n\r\n\r\n"))
	f.Add([]byte("GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 20_000)))
	const limit = 100_000
	g := newGuard(f, 1<<20)
	plain, err := g.Listen("127.0.0.1:0", 100)
	if err != nil {
		f.Fatal(err)
	}
	type connKey struct{}
	server := &http.Server{
		ConnState: ConnState, MaxHeaderBytes: 16 << 10, ErrorLog: log.New(io.Discard, "", 0),
		ConnContext: func(ctx context.Context, nc net.Conn) context.Context { return context.WithValue(ctx, connKey{}, nc) },
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			nc, _ := r.Context().Value(connKey{}).(net.Conn)
			body, err := g.ReadBody(Of(nc), r.Body, r.ContentLength, limit, in(time.Minute))
			if err != nil {
				w.Header().Set("Connection", "close")
			}
			body.Release()
		}),
	}
	fast, err := g.Listen("127.0.0.1:0", 100)
	if err != nil {
		f.Fatal(err)
	}
	fastServer := &fasthttp.Server{MaxRequestBodySize: limit, ReadBufferSize: 16 << 10, Logger: log.New(io.Discard, "", 0), Handler: func(ctx *fasthttp.RequestCtx) {
		body, err := g.ReadFast(ctx, limit, in(time.Minute))
		if err != nil {
			ctx.SetConnectionClose()
		}
		body.Release()
	}}
	BoundFast(fastServer)
	go func() { _ = server.Serve(plain) }()    // returns when the server is closed
	go func() { _ = fastServer.Serve(fast) }() // likewise
	f.Cleanup(func() {
		_ = server.Close()
		_ = fastServer.Shutdown()
	})
	f.Fuzz(func(t *testing.T, sent []byte) {
		for _, ln := range []net.Listener{plain, fast} {
			c, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			_ = c.SetDeadline(in(10 * time.Second))
			_, _ = c.Write(sent) // the server may have closed the connection
			_ = c.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, c)
			_ = c.Close()
		}
		for deadline := in(10 * time.Second); g.Used() != 0; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%d bytes are held after the connections", g.Used())
			}
		}
	})
}

// steps returns its bytes in pieces.
type steps struct {
	left []byte
	size int
}

func (s *steps) Read(b []byte) (int, error) {
	if len(s.left) == 0 {
		return 0, io.EOF
	}
	n := copy(b[:min(len(b), s.size)], s.left)
	s.left = s.left[n:]
	return n, nil
}

// BenchmarkReadBody measures bodies of parallel requests against an unbounded buffer, as it
// was used before.
func BenchmarkReadBody(b *testing.B) {
	for _, c := range []struct {
		name string
		size int
	}{{"1KB", 1000}, {"100KB", 100_000}, {"4MB", testLimit}} {
		content := make([]byte, c.size)
		b.Run(c.name+"/guard", func(b *testing.B) {
			g := newGuard(b, 200<<20)
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				conn := &Conn{guard: g}
				for pb.Next() {
					r, err := g.ReadBody(conn, bytes.NewReader(content), int64(c.size), testLimit, in(time.Minute))
					if err != nil {
						b.Error(err)
						return
					}
					r.Release()
				}
			})
		})
		b.Run(c.name+"/before", func(b *testing.B) {
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					var buf bytes.Buffer
					buf.Grow(min(max(c.size, bytes.MinRead), 64<<10) + bytes.MinRead)
					// Hides WriteTo, which the bodies of requests do not have.
					if _, err := buf.ReadFrom(struct{ io.Reader }{bytes.NewReader(content)}); err != nil {
						b.Error(err)
						return
					}
				}
			})
		})
	}
}
