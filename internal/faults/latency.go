package faults

import (
	"net"
	"sync"
	"time"
)

const (
	// queued is how many writes or reads are on their way at the same time; more
	// are held back, as by a full socket buffer.
	queued = 1024
	// readSize is the largest number of bytes that travel as one piece.
	readSize = 32 << 10
	// lastWords is how long a closed connection may take beyond its delay to
	// deliver what was written before.
	lastWords = 100 * time.Millisecond
)

// SetLatency installs the one-way delay of connections that are dialed from now
// on. Unlike Rule.Delay it holds nothing up: what is written later is on its way
// at the same time, as on a long cable.
func (l *Links) SetLatency(f func(from, to string) time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latency = f
}

// withLatency wraps a new connection if its link has a delay.
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
	d := &distant{Conn: c, out: out, in: in, sent: make(chan piece, queued), got: make(chan piece, queued), closing: make(chan struct{})}
	go d.send()
	go d.receive()
	return d
}

// piece is a number of bytes, or the end of the connection, and when it arrives.
type piece struct {
	at  time.Time
	b   []byte
	err error
}

// distant is a connection whose bytes arrive after a delay. It does not give the
// connection below, because its own reader holds that one's read lock.
type distant struct {
	net.Conn
	out, in   time.Duration
	sent, got chan piece
	once      sync.Once
	closing   chan struct{}

	mu   sync.Mutex // held by Read
	rest []byte     // arrived and not read
}

// send writes the pieces at their times. After Close it ends when the connection
// below is closed.
func (d *distant) send() {
	for p := range d.sent {
		time.Sleep(time.Until(p.at))
		if p.err != nil {
			_ = d.Conn.Close()
			return
		}
		if _, err := d.Conn.Write(p.b); err != nil {
			_ = d.Conn.Close()
			return
		}
	}
}

func (d *distant) receive() {
	for {
		b := make([]byte, readSize)
		n, err := d.Conn.Read(b)
		select {
		case d.got <- piece{time.Now().Add(d.in), b[:n], err}:
		case <-d.closing:
			return
		}
		if err != nil {
			return
		}
	}
}

// Write returns when the bytes are on their way.
func (d *distant) Write(b []byte) (int, error) {
	select {
	case <-d.closing:
		return 0, net.ErrClosed
	default:
	}
	select {
	case d.sent <- piece{at: time.Now().Add(d.out), b: append([]byte(nil), b...)}:
		return len(b), nil
	case <-d.closing:
		return 0, net.ErrClosed
	}
}

// Read returns bytes that have arrived.
func (d *distant) Read(b []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(d.rest) == 0 {
		select {
		case p := <-d.got:
			time.Sleep(time.Until(p.at))
			d.rest = p.b
			if p.err == nil {
				continue
			}
			d.got <- piece{err: p.err} // for the next Read; receive has ended
			if len(p.b) == 0 {
				return 0, p.err
			}
		case <-d.closing:
			return 0, net.ErrClosed
		}
	}
	n := copy(b, d.rest)
	d.rest = d.rest[n:]
	return n, nil
}

// Close ends the connection when what was written before has arrived.
func (d *distant) Close() error {
	d.once.Do(func() {
		close(d.closing)
		select {
		case d.sent <- piece{at: time.Now().Add(d.out), err: net.ErrClosed}:
		default: // more is on its way than a socket buffers
		}
		time.AfterFunc(d.out+lastWords, func() { _ = d.Conn.Close() })
	})
	return nil
}
