package link

import (
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// holdControl is how long a frame that opens, acknowledges or closes a
	// stream waits for another frame that it can share a write with. It delays
	// only the end of streams and stays far below the timeouts of yamux.
	holdControl = 2 * time.Millisecond
	// mergeBytes is the largest body that is copied behind its header.
	mergeBytes = 64 << 10
)

// The header of a yamux frame, by its specification: version, type, flags,
// stream and length, the last three in big-endian order.
const (
	frameHeader   = 12
	frameData     = 0
	frameWindow   = 1
	frameSetupFIN = 1 | 2 | 4 // SYN, ACK and FIN
	frameRST      = 8
)

// merger joins the frames that yamux writes one by one, header and body apart,
// so that a small call costs few TCP segments.
type merger struct {
	net.Conn
	timer *time.Timer

	mu   sync.Mutex
	held []byte
	body int // bytes that belong to the last header
	err  error
}

func newMerger(conn net.Conn) *merger {
	m := &merger{Conn: conn}
	m.timer = time.AfterFunc(time.Hour, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.body == 0 {
			m.flush()
		}
	})
	m.timer.Stop()
	return m
}

// Write takes one header or one body.
func (m *merger) Write(b []byte) (int, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.err != nil {
		return 0, m.err
	}
	if m.body > 0 {
		m.body -= min(len(b), m.body)
		return m.send(b)
	}
	if len(b) != frameHeader {
		return m.send(b)
	}
	kind, flags, length := b[1], binary.BigEndian.Uint16(b[2:]), binary.BigEndian.Uint32(b[8:])
	switch {
	case kind == frameData && length > 0:
		m.held = append(m.held, b...)
		m.body = int(length)
	case kind == frameWindow && flags&frameSetupFIN != 0 && flags&frameRST == 0:
		if len(m.held) == 0 {
			m.timer.Reset(holdControl)
		}
		m.held = append(m.held, b...)
	default:
		return m.send(b)
	}
	return len(b), nil
}

// send writes what is held and b. mu is held.
func (m *merger) send(b []byte) (int, error) {
	if len(b) <= mergeBytes {
		m.held = append(m.held, b...)
		m.flush()
	} else {
		m.flush()
		if m.err == nil {
			_, m.err = m.Conn.Write(b)
		}
	}
	if m.err != nil {
		return 0, m.err
	}
	return len(b), nil
}

// flush writes what is held. mu is held.
func (m *merger) flush() {
	if len(m.held) == 0 || m.err != nil {
		return
	}
	m.timer.Stop()
	_, m.err = m.Conn.Write(m.held)
	m.held = m.held[:0]
}

// Close closes the connection. It does not wait for a write, because closing is
// what ends a blocked one.
func (m *merger) Close() error {
	m.timer.Stop()
	return m.Conn.Close()
}

// Traffic is what went over links since the start.
type Traffic struct {
	BytesSent, BytesReceived uint64
	// Writes and Reads count system calls of a Net, and messages of a name.
	Writes, Reads uint64
}

type counters struct{ sent, received, writes, reads atomic.Uint64 }

func (c *counters) traffic() Traffic {
	return Traffic{
		BytesSent: c.sent.Load(), BytesReceived: c.received.Load(),
		Writes: c.writes.Load(), Reads: c.reads.Load(),
	}
}

func (c *counters) wrote(n int) {
	c.writes.Add(1)
	c.sent.Add(uint64(n))
}

func (c *counters) read(n int) {
	c.reads.Add(1)
	c.received.Add(uint64(n))
}

// countedConn counts below TLS, so that its overhead is included.
type countedConn struct {
	net.Conn
	net *Net
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.net.total.wrote(n)
	return n, err
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.net.total.read(n)
	}
	return n, err
}

// Traffic returns the bytes and system calls on all connections of this process,
// accepted and dialed, with every overhead above TCP.
func (n *Net) Traffic() Traffic { return n.total.traffic() }

// TrafficByName returns the messages of each call and stream, on either side,
// without the frames around them. The names are those of Handle and HandleStream
// or of calls by this process; what peers ask for beyond them is under "".
func (n *Net) TrafficByName() map[string]Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make(map[string]Traffic, len(n.byName))
	for name, c := range n.byName {
		out[name] = c.traffic()
	}
	return out
}

// counters returns those of a name that a peer sent.
func (n *Net) counters(name string) *counters {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.handlers[name] == nil && n.streams[name] == nil {
		name = ""
	}
	return n.named(name)
}

// named returns the counters of a name. mu is held.
func (n *Net) named(name string) *counters {
	c := n.byName[name]
	if c == nil {
		c = &counters{}
		n.byName[name] = c
	}
	return c
}
