package entry

import (
	"net"
	"sync"
)

// connTracker is a listener that tracks its open connections, so that they can
// all be reset at once, as in a crash.
type connTracker struct {
	net.Listener
	mu    sync.Mutex
	conns map[*trackedConn]struct{}
}

type trackedConn struct {
	net.Conn
	tracker *connTracker
	once    sync.Once
}

// Accept waits for the next connection.
func (t *connTracker) Accept() (net.Conn, error) {
	c, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tc := &trackedConn{Conn: c, tracker: t}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conns == nil {
		t.conns = map[*trackedConn]struct{}{}
	}
	t.conns[tc] = struct{}{}
	return tc, nil
}

// Close removes the connection from the tracker and closes it.
func (c *trackedConn) Close() error {
	c.once.Do(func() {
		c.tracker.mu.Lock()
		delete(c.tracker.conns, c)
		c.tracker.mu.Unlock()
	})
	return c.Conn.Close()
}

// NetConn returns the connection that c wraps.
func (c *trackedConn) NetConn() net.Conn { return c.Conn }

// abort resets all connections and discards buffered data.
func (t *connTracker) abort() {
	t.mu.Lock()
	var all []*trackedConn
	for c := range t.conns {
		all = append(all, c)
	}
	t.mu.Unlock()
	for _, c := range all {
		raw := c.Conn
		if wrapper, ok := raw.(interface{ NetConn() net.Conn }); ok {
			raw = wrapper.NetConn()
		}
		if tcp, ok := raw.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}
