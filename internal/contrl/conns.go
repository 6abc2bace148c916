package contrl

import (
	"net"
	"sync"
	"time"
)

// endReadsInterval is how often Close aborts blocked reads. fasthttp sets a new
// read deadline before each request, so once is not enough.
const endReadsInterval = 50 * time.Millisecond

// trackedListener tracks its open connections, so that Close need not wait for
// incomplete requests.
type trackedListener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*trackedConn]struct{}
}

type trackedConn struct {
	net.Conn
	listener *trackedListener
}

// Accept waits for the next connection.
func (l *trackedListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &trackedConn{raw, l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c, nil
}

// NetConn returns the connection that c wraps.
func (c *trackedConn) NetConn() net.Conn { return c.Conn }

// Close closes the connection.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// endReads makes all reads fail. Responses can still be written.
func (l *trackedListener) endReads() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}
