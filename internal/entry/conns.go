package entry

import (
	"net"
	"sync"
)

// connTracker is a listener that knows its open connections, so that a process
// can drop them all at once, as a crash does.
type connTracker struct {
	net.Listener
	mu   sync.Mutex
	open map[*trackedConn]struct{}
}

type trackedConn struct {
	net.Conn
	t    *connTracker
	once sync.Once
}

// Accept waits for the next connection.
func (t *connTracker) Accept() (net.Conn, error) {
	c, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tc := &trackedConn{Conn: c, t: t}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open == nil {
		t.open = map[*trackedConn]struct{}{}
	}
	t.open[tc] = struct{}{}
	return tc, nil
}

// Close forgets the connection and closes it.
func (c *trackedConn) Close() error {
	c.once.Do(func() {
		c.t.mu.Lock()
		delete(c.t.open, c)
		c.t.mu.Unlock()
	})
	return c.Conn.Close()
}

// abort closes all connections without sending what is buffered.
func (t *connTracker) abort() {
	t.mu.Lock()
	var all []*trackedConn
	for c := range t.open {
		all = append(all, c)
	}
	t.mu.Unlock()
	for _, c := range all {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}
