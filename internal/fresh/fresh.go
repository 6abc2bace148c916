// Package fresh tells requests that were sent a moment ago from those that were held up on their
// way: by a partition, by lost packets, or because the machine was frozen. Nothing in a request
// itself shows that. A connection does: a request was sent after the response before it on the
// same connection, and the first one after the connection was opened.
package fresh

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cranberrypath.example/cranberrypath/internal/peek"
)

const (
	// tickInterval is how often a Watch records that the process runs.
	tickInterval = 100 * time.Millisecond
	// maxStall is the longest time without a tick during which connections are still accepted
	// soon after they were opened.
	maxStall = 300 * time.Millisecond
	// backlogTime is how long after a stall connections may still be accepted that were opened
	// during it.
	backlogTime = time.Second
)

// Watch notices when the process does not run for a while. Its methods are safe for concurrent use.
type Watch struct {
	clock func() time.Time
	stop  chan struct{}
	wg    sync.WaitGroup

	mu        sync.Mutex
	ticked    time.Time
	stalledAt time.Time // end of the last stall
}

// NewWatch starts a Watch. clock must count the time during which the machine was suspended.
// Close ends it.
func NewWatch(clock func() time.Time) *Watch {
	w := &Watch{clock: clock, stop: make(chan struct{}), ticked: clock()}
	w.wg.Go(func() {
		t := time.NewTicker(tickInterval)
		defer t.Stop()
		for {
			select {
			case <-w.stop:
				return
			case <-t.C:
				w.tick(clock())
			}
		}
	})
	return w
}

// Close ends the Watch.
func (w *Watch) Close() {
	close(w.stop)
	w.wg.Wait()
}

func (w *Watch) tick(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.ticked) > maxStall {
		w.stalledAt = now
	}
	w.ticked = now
}

// RanSince reports whether the process has run without a stall since a time. A stall that has
// just ended counts even if the Watch itself has not run since.
func (w *Watch) RanSince(t, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Sub(w.ticked) <= maxStall && w.stalledAt.Before(t)
}

// Listener wraps the connections that another listener accepts.
type Listener struct {
	net.Listener
	watch *Watch
}

// NewListener returns a Listener whose connections are of type *Conn.
func NewListener(ln net.Listener, w *Watch) *Listener { return &Listener{ln, w} }

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: nc, watch: l.watch, accepted: l.watch.clock()}, nil
}

// Conn is a connection that records what bounds the times at which its requests were sent.
type Conn struct {
	net.Conn
	watch     *Watch
	accepted  time.Time
	readAt    atomic.Int64 // when bytes were last read, ns after accepted; 0 for never
	wroteAt   atomic.Int64 // when the last write began, likewise
	pipelined atomic.Bool  // a request arrived before the response to the one before it
}

// NetConn returns the connection that c wraps.
func (c *Conn) NetConn() net.Conn { return c.Conn }

func (c *Conn) sinceAccepted() int64 { return max(int64(c.watch.clock().Sub(c.accepted)), 1) }

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.readAt.Store(c.sinceAccepted())
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	if c.readAt.Load() >= c.wroteAt.Load() && peek.At(c.Conn) == peek.Pending {
		c.pipelined.Store(true)
	}
	c.wroteAt.Store(c.sinceAccepted())
	return c.Conn.Write(b)
}

// SentAfter returns a time after which the request was sent that was read last and has no
// response yet, or the zero time if none is known. It is a time of the Watch's clock.
func (c *Conn) SentAfter(now time.Time) time.Time {
	wrote := c.wroteAt.Load()
	switch {
	case wrote == 0 && c.watch.RanSince(c.accepted.Add(-backlogTime), now):
		return c.accepted
	case wrote == 0 || c.pipelined.Load() || c.readAt.Load() <= wrote:
		return time.Time{}
	}
	return c.accepted.Add(time.Duration(wrote))
}
