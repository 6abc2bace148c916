package contrl

import (
	"net"
	"sync"
	"time"
)

// hurryEvery is how often Close ends reads that block. fasthttp sets a new read
// deadline before each request, so once is not enough.
const hurryEvery = 50 * time.Millisecond

// trackedListener knows its open connections, so that Close need not wait for
// senders of half a request.
type trackedListener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*trackedConn]struct{}
}

type trackedConn struct {
	net.Conn
	l *trackedListener
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

// Close ends the connection.
func (c *trackedConn) Close() error {
	c.l.mu.Lock()
	delete(c.l.conns, c)
	c.l.mu.Unlock()
	return c.Conn.Close()
}

// endReads makes reads fail; answers that are being written still leave.
func (l *trackedListener) endReads() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}
