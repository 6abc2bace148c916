package guard

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

type connKey struct{}

// serveBodies starts an HTTP server that reads bodies as the callers' port does.
func serveBodies(t *testing.T, g *Guard) string {
	t.Helper()
	ln, err := g.Listen("127.0.0.1:0", 1000)
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{
		ConnState:   ConnState,
		ConnContext: func(ctx context.Context, nc net.Conn) context.Context { return context.WithValue(ctx, connKey{}, nc) },
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			nc, _ := r.Context().Value(connKey{}).(net.Conn)
			body, err := g.ReadBody(Of(nc), r.Body, r.ContentLength, 400_000, in(5*time.Second))
			if err != nil {
				w.Header().Set("Connection", "close")
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			body.Release()
		}),
	}
	go func() { _ = srv.Serve(ln) }() // returns when the server is closed
	t.Cleanup(func() { _ = srv.Close() })
	return ln.Addr().String()
}

// Guards against callers that reconnect as soon as their stalled bodies are ended, and so keep
// the account full: nearly all ordinary callers were refused.
func TestReconnectingCallers(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for some seconds")
	}
	const hostile, ordinary = 200, 60
	g := newGuard(t, 4<<20)
	addr := serveBodies(t, g)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for range hostile {
		wg.Go(func() {
			for ctx.Err() == nil {
				c, err := net.Dial("tcp", addr)
				if err != nil {
					continue
				}
				stop := context.AfterFunc(ctx, func() { _ = c.Close() })
				_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n")
				_, _ = c.Write(make([]byte, 30_000)) // an error ends the read too
				_, _ = io.Copy(io.Discard, c)        // until the server closes the connection
				stop()
				_ = c.Close()
			}
		})
	}
	time.Sleep(time.Second)
	var served atomic.Int32
	var callers sync.WaitGroup
	for range ordinary {
		callers.Go(func() {
			client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			resp, err := client.Post("http://"+addr, "", bytes.NewReader(make([]byte, 50_000)))
			if err != nil {
				return
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				served.Add(1)
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	callers.Wait()
	cancel()
	wg.Wait()
	t.Logf("%d of %d ordinary requests were served", served.Load(), ordinary)
	if served.Load() < ordinary*2/3 {
		t.Errorf("%d of %d ordinary requests were served, want two thirds", served.Load(), ordinary)
	}
}

// Guards against an account that is full before bodies that stall are ended, so that every
// ordinary body has to wait.
func TestStalledBodiesEndAtHalf(t *testing.T) {
	var ahead atomic.Int64
	g, err := New(Config{Bytes: 1 << 20, Clock: func() time.Time { return time.Now().Add(time.Duration(ahead.Load())) }})
	if err != nil {
		t.Fatal(err)
	}
	ln, err := g.Listen("127.0.0.1:0", 100)
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	const stalled = 35 // more than half of the account together
	results := make(chan error, stalled)
	for range stalled {
		c, _ := connect(t, ln)
		c.received.Store(0)
		go func() {
			body := io.MultiReader(bytes.NewReader(make([]byte, freeBytes+1000)), c)
			_, err := g.ReadBody(c, body, 400_000, 500_000, time.Now().Add(time.Minute))
			results <- err
		}()
	}
	hold := int64(stalled * segmentBytes)
	for deadline := in(10 * time.Second); g.Used() < hold; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes are held, want %d", g.Used(), hold)
		}
	}
	ahead.Store(int64(2 * maxLag))
	r, err := g.ReadBody(nil, bytes.NewReader(make([]byte, 100_000)), 100_000, 500_000, time.Now().Add(time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	r.Release()
	for i := range stalled {
		select {
		case err := <-results:
			if !ErrTooSlow.Has(err) {
				t.Errorf("a stalled body: %v", err)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("%d of %d stalled bodies have ended", i, stalled)
		}
	}
}
