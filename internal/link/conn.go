package link

import (
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// controlFrameDelay is how long a frame that opens, acknowledges or closes a
	// stream is buffered to share a write with a following frame. In practice it
	// delays only the closing of streams; it is far below the timeouts of yamux.
	controlFrameDelay = 2 * time.Millisecond
	// maxMergedBodyBytes is the largest body that is copied to share a write with
	// its header.
	maxMergedBodyBytes = 64 << 10
)

// The header of a yamux frame, according to its specification: version, type,
// flags, stream id and length, the last three in big-endian order.
const (
	yamuxHeaderBytes   = 12
	yamuxTypeData      = 0
	yamuxTypeWindow    = 1
	yamuxFlagsSetupFIN = 1 | 2 | 4 // SYN, ACK and FIN
	yamuxFlagRST       = 8
)

// frameMerger coalesces the headers and bodies that yamux writes separately, so
// that a small call needs few TCP segments.
type frameMerger struct {
	net.Conn
	timer *time.Timer

	mu            sync.Mutex
	pending       []byte
	bodyRemaining int // remaining body bytes of the last header
	err           error
}

func newFrameMerger(conn net.Conn) *frameMerger {
	m := &frameMerger{Conn: conn}
	m.timer = time.AfterFunc(time.Hour, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.bodyRemaining == 0 {
			m.flush()
		}
	})
	m.timer.Stop()
	return m
}

// Write accepts one header or one body per call.
func (m *frameMerger) Write(b []byte) (int, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.err != nil {
		return 0, m.err
	}
	if m.bodyRemaining > 0 {
		m.bodyRemaining -= min(len(b), m.bodyRemaining)
		return m.send(b)
	}
	if len(b) != yamuxHeaderBytes {
		return m.send(b)
	}
	kind, flags, length := b[1], binary.BigEndian.Uint16(b[2:]), binary.BigEndian.Uint32(b[8:])
	switch {
	case kind == yamuxTypeData && length > 0:
		m.pending = append(m.pending, b...)
		m.bodyRemaining = int(length)
	case kind == yamuxTypeWindow && flags&yamuxFlagsSetupFIN != 0 && flags&yamuxFlagRST == 0:
		if len(m.pending) == 0 {
			m.timer.Reset(controlFrameDelay)
		}
		m.pending = append(m.pending, b...)
	default:
		return m.send(b)
	}
	return len(b), nil
}

// send writes the pending bytes and b. The caller must hold mu.
func (m *frameMerger) send(b []byte) (int, error) {
	if len(b) <= maxMergedBodyBytes {
		m.pending = append(m.pending, b...)
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

// flush writes the pending bytes. The caller must hold mu.
func (m *frameMerger) flush() {
	if len(m.pending) == 0 || m.err != nil {
		return
	}
	m.timer.Stop()
	_, m.err = m.Conn.Write(m.pending)
	m.pending = m.pending[:0]
}

// Close closes the connection. It does not take mu, because a blocked write holds
// it until the connection is closed.
func (m *frameMerger) Close() error {
	m.timer.Stop()
	return m.Conn.Close()
}

// Traffic counts the traffic since the start of the process.
type Traffic struct {
	BytesSent, BytesReceived uint64
	// Writes and Reads count system calls in Net.Traffic, and messages in
	// Net.TrafficByName.
	Writes, Reads uint64
}

type counters struct{ sent, received, writes, reads atomic.Uint64 }

func (c *counters) snapshot() Traffic {
	return Traffic{
		BytesSent: c.sent.Load(), BytesReceived: c.received.Load(),
		Writes: c.writes.Load(), Reads: c.reads.Load(),
	}
}

func (c *counters) addWrite(n int) {
	c.writes.Add(1)
	c.sent.Add(uint64(n))
}

func (c *counters) addRead(n int) {
	c.reads.Add(1)
	c.received.Add(uint64(n))
}

// countedConn counts bytes below TLS, so that TLS overhead is included.
type countedConn struct {
	net.Conn
	transport *Net
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.transport.totalCounters.addWrite(n)
	return n, err
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.transport.totalCounters.addRead(n)
	}
	return n, err
}

// Traffic returns the bytes and system calls on all accepted and dialed
// connections of this process, including all protocol overhead above TCP.
func (n *Net) Traffic() Traffic { return n.totalCounters.snapshot() }

// TrafficByName returns the traffic of each call and stream in either direction,
// without yamux framing. Names are those registered by Handle and HandleStream or
// called by this process. Requests by peers for other names are counted under "".
func (n *Net) TrafficByName() map[string]Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make(map[string]Traffic, len(n.countersByName))
	for name, c := range n.countersByName {
		out[name] = c.snapshot()
	}
	return out
}

// countersForHandler returns the counters of a name that a peer sent.
func (n *Net) countersForHandler(name string) *counters {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.handlers[name] == nil && n.streams[name] == nil {
		name = ""
	}
	return n.countersFor(name)
}

// countersFor returns the counters of a name. The caller must hold mu.
func (n *Net) countersFor(name string) *counters {
	c := n.countersByName[name]
	if c == nil {
		c = &counters{}
		n.countersByName[name] = c
	}
	return c
}
