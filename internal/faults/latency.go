package faults

import (
	"net"
	"sync"
	"time"
)

const (
	// maxInFlightChunks limits the chunks in flight per direction. Further writes
	// block, as with a full socket buffer.
	maxInFlightChunks = 1024
	// maxChunkBytes is the largest number of bytes read into one chunk.
	maxChunkBytes = 32 << 10
	// closeGracePeriod is how long, in addition to its delay, a closed connection may
	// take to deliver the bytes written before.
	closeGracePeriod = 100 * time.Millisecond
)

// SetLatency sets the one-way delay of connections dialed from now on. Unlike
// Rule.Delay it does not limit throughput: several writes can be in flight at the
// same time, as on a long-distance link.
func (l *Links) SetLatency(f func(from, to string) time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latency = f
}

// withLatency wraps a new connection if it has a delay in either direction.
func (l *Links) withLatency(c net.Conn, from, to string) net.Conn {
	l.mu.Lock()
	f := l.latency
	l.mu.Unlock()
	if f == nil {
		return c
	}
	out, in := f(from, to), f(to, from)
	if out <= 0 && in <= 0 {
		return c
	}
	d := &delayedConn{Conn: c, outDelay: out, inDelay: in, outgoing: make(chan chunk, maxInFlightChunks), incoming: make(chan chunk, maxInFlightChunks), closing: make(chan struct{})}
	go d.send()
	go d.receive()
	return d
}

// chunk is a sequence of bytes in flight, or the end of the connection.
type chunk struct {
	arrival time.Time
	b       []byte
	err     error
}

// delayedConn is a connection whose bytes arrive after a delay. It has no NetConn
// method, because its receive goroutine holds the read lock of the underlying
// connection.
type delayedConn struct {
	net.Conn
	outDelay, inDelay  time.Duration
	outgoing, incoming chan chunk
	closeOnce          sync.Once
	closing            chan struct{}

	mu     sync.Mutex // serializes Read
	unread []byte     // bytes that have arrived but were not read yet
}

// send writes each chunk at its arrival time. After Close it ends at the latest
// when the underlying connection is closed.
func (d *delayedConn) send() {
	for c := range d.outgoing {
		time.Sleep(time.Until(c.arrival))
		if c.err != nil {
			_ = d.Conn.Close()
			return
		}
		if _, err := d.Conn.Write(c.b); err != nil {
			_ = d.Conn.Close()
			return
		}
	}
}

func (d *delayedConn) receive() {
	for {
		b := make([]byte, maxChunkBytes)
		n, err := d.Conn.Read(b)
		select {
		case d.incoming <- chunk{time.Now().Add(d.inDelay), b[:n], err}:
		case <-d.closing:
			return
		}
		if err != nil {
			return
		}
	}
}

// Write returns when the bytes are queued for sending.
func (d *delayedConn) Write(b []byte) (int, error) {
	select {
	case <-d.closing:
		return 0, net.ErrClosed
	default:
	}
	select {
	case d.outgoing <- chunk{arrival: time.Now().Add(d.outDelay), b: append([]byte(nil), b...)}:
		return len(b), nil
	case <-d.closing:
		return 0, net.ErrClosed
	}
}

// Read returns bytes that have arrived.
func (d *delayedConn) Read(b []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(d.unread) == 0 {
		select {
		case c := <-d.incoming:
			time.Sleep(time.Until(c.arrival))
			d.unread = c.b
			if c.err == nil {
				continue
			}
			d.incoming <- chunk{err: c.err} // for the next Read; receive has returned
			if len(c.b) == 0 {
				return 0, c.err
			}
		case <-d.closing:
			return 0, net.ErrClosed
		}
	}
	n := copy(b, d.unread)
	d.unread = d.unread[n:]
	return n, nil
}

// Close closes the connection after the bytes written before have arrived.
func (d *delayedConn) Close() error {
	d.closeOnce.Do(func() {
		close(d.closing)
		select {
		case d.outgoing <- chunk{arrival: time.Now().Add(d.outDelay), err: net.ErrClosed}:
		default: // the queue is full; the timer below closes the connection
		}
		time.AfterFunc(d.outDelay+closeGracePeriod, func() { _ = d.Conn.Close() })
	})
	return nil
}
