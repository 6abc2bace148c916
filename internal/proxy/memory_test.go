package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/buffer"
	"cranberrypath.example/cranberrypath/internal/roster"
	"cranberrypath.example/cranberrypath/internal/world"
)

// heldBody is a body that stops after some bytes until it is released, and then ends.
type heldBody struct {
	pattern string
	left    int
	stopped func()
	release <-chan struct{}
}

func (b *heldBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		b.stopped()
		<-b.release
		return 0, io.EOF
	}
	n := min(len(p), b.left)
	for i := range n {
		p[i] = b.pattern[(b.left-i)%len(b.pattern)]
	}
	b.left -= n
	return n, nil
}

// Close implements io.Closer. The proxy closes a body early if it has no memory for it.
func (b *heldBody) Close() error {
	b.stopped()
	return nil
}

// heldSender answers each request with a heldBody.
type heldSender struct {
	pattern string
	bytes   int
	stream  bool
	stopped *sync.WaitGroup
	release chan struct{}
	ended   sync.Map // *Request whose part of stopped has ended
}

// end ends the part of a request in stopped.
func (s *heldSender) end(r *Request) {
	if _, ended := s.ended.LoadOrStore(r, true); !ended {
		s.stopped.Done()
	}
}

func (s *heldSender) Send(_ context.Context, r *Request, _ Attempt) (*Response, error) {
	body := &heldBody{pattern: s.pattern, left: s.bytes, stopped: func() { s.end(r) }, release: s.release}
	return &Response{Status: 200, Header: http.Header{}, Length: -1, Body: body, IsEventStream: s.stream}, nil
}

// discardWriter is a ResponseWriter that keeps nothing.
type discardWriter struct{ header http.Header }

func (w *discardWriter) Header() http.Header         { return w.header }
func (w *discardWriter) WriteHeader(int)             {}
func (w *discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (w *discardWriter) Flush()                      {}

// Guards against an instance that runs out of memory because many faulty servers send bodies or
// events without end: each response is bounded, but not all of them together.
func TestResponsesWithoutEndTakeBoundedMemory(t *testing.T) {
	const (
		requests  = 600
		poolBytes = 8 << 20
		// What a request takes besides: its allowance twice, while a buffer grows, and its state.
		perRequest = 2*buffer.Allowance + 16<<10
	)
	for _, c := range []struct {
		name, path string
		sender     *heldSender
	}{
		{"body", "/safe/", &heldSender{pattern: "x", bytes: maxBufferedBytes - 10}},
		{"body beyond the buffer", "/safe/", &heldSender{pattern: "x", bytes: 4 * maxBufferedBytes}},
		{"event", "/resume/", &heldSender{pattern: "x", bytes: maxEventBytes - 10, stream: true}},
		{"comments", "/resume/", &heldSender{pattern: "\n\n: wait", bytes: maxEventBytes, stream: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var before, during runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			s := c.sender
			s.stopped, s.release = &sync.WaitGroup{}, make(chan struct{})
			p := newProxy(t, s, 0)
			p.cfg.Buffers = buffer.NewPool(poolBytes)
			p.SetServers([]roster.Server{{ID: "e", Service: "s", Address: "10.0.0.1:1", Slots: 2 * requests, State: world.Ready}}, time.Now())
			var wg sync.WaitGroup
			for range requests {
				s.stopped.Add(1)
				wg.Go(func() {
					r := newRequest(c.path)
					_ = p.Serve(context.Background(), &discardWriter{http.Header{}}, r)
					s.end(r) // if it was not sent in its time
				})
			}
			s.stopped.Wait()
			runtime.GC()
			runtime.ReadMemStats(&during)
			if got, most := int64(during.HeapAlloc)-int64(before.HeapAlloc), int64(2*poolBytes+requests*perRequest); got > most {
				t.Errorf("%d requests hold %d KiB, want at most %d", requests, got>>10, most>>10)
			}
			close(s.release)
			wg.Wait()
			if l := p.cfg.Buffers.NewLease(); !l.Hold(buffer.Allowance + poolBytes) {
				t.Error("memory was not returned to the pool")
			}
		})
	}
}

// Guards against a response that is damaged or fails because the pool has no memory left: it is
// passed on as it arrives.
func TestResponsesWithoutMemory(t *testing.T) {
	body := bytes.Repeat([]byte("abcdefgh"), maxBufferedBytes/8)
	for _, size := range []int{0, 10, 1 << 10, buffer.Allowance, 100 << 10, len(body)} {
		lease := buffer.NewPool(20 << 10).NewLease()
		got, complete, err := readAhead(bytes.NewReader(body[:size]), lease)
		if err != nil || !bytes.Equal(got, body[:len(got)]) || complete != (len(got) == size) || size <= buffer.Allowance && !complete {
			t.Errorf("%d bytes: read %d, complete %v, %v", size, len(got), complete, err)
		}
	}
}
