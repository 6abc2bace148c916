// Package faults delays, cuts and resets the links between processes on real
// sockets, for tests and experiments.
package faults

import (
	"context"
	"net"
	"sync"
	"time"
)

// Rule is what happens to the bytes of one direction of a link.
type Rule struct {
	Delay time.Duration // added to each write
	Cut   bool          // bytes are held back silently until the rule changes
}

type way struct{ from, to string }

// Links holds the rules of a set of processes. Names are node names or
// addresses; the dialing side is known by its name, the other by its address.
type Links struct {
	mu    sync.Mutex
	rules map[way]Rule
	wake  chan struct{}
	conns map[*conn]struct{}
	// latency is the one-way delay of new connections; nil for none.
	latency func(from, to string) time.Duration
}

// New returns links without faults.
func New() *Links {
	return &Links{rules: map[way]Rule{}, wake: make(chan struct{}), conns: map[*conn]struct{}{}}
}

// Set installs the rule for bytes from one end to the other. Either end may be
// "*". The zero Rule removes it.
func (l *Links) Set(from, to string, r Rule) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rules[way{from, to}] = r
	close(l.wake)
	l.wake = make(chan struct{})
}

// Reset closes every connection between the two ends, in both directions of dialing.
func (l *Links) Reset(a, b string) {
	l.mu.Lock()
	var hit []*conn
	for c := range l.conns {
		if (c.name == a && c.addr == b) || (c.name == b && c.addr == a) {
			hit = append(hit, c)
		}
	}
	l.mu.Unlock()
	for _, c := range hit {
		_ = c.Close()
	}
}

func (l *Links) rule(from, to string) (Rule, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var sum Rule
	for _, w := range []way{{from, to}, {from, "*"}, {"*", to}} {
		r := l.rules[w]
		sum.Cut = sum.Cut || r.Cut
		sum.Delay = max(sum.Delay, r.Delay)
	}
	return sum, l.wake
}

// Dialer returns a dial function for the process called name.
func (l *Links) Dialer(name string) func(ctx context.Context, addr string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		if err := l.wait(ctx.Done(), name, addr); err != nil {
			return nil, ctx.Err()
		}
		var d net.Dialer
		raw, err := d.DialContext(ctx, "tcp", addr)
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: raw, links: l, name: name, addr: addr, done: make(chan struct{})}
		l.mu.Lock()
		l.conns[c] = struct{}{}
		l.mu.Unlock()
		return l.withLatency(c, name, addr), nil
	}
}

// wait blocks until the way is open and its delay has passed.
func (l *Links) wait(done <-chan struct{}, from, to string) error {
	for {
		r, wake := l.rule(from, to)
		if !r.Cut {
			if r.Delay == 0 {
				return nil
			}
			t := time.NewTimer(r.Delay)
			defer t.Stop()
			select {
			case <-t.C:
				return nil
			case <-done:
				return net.ErrClosed
			}
		}
		select {
		case <-wake:
		case <-done:
			return net.ErrClosed
		}
	}
}

type conn struct {
	net.Conn
	links      *Links
	name, addr string
	once       sync.Once
	done       chan struct{}
}

// NetConn returns the connection below, as tls.Conn does, so that a client can
// ask whether an idle connection is still open.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Write applies the rule of the way out before the bytes leave.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.links.wait(c.done, c.name, c.addr); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Read applies the rule of the way in after the bytes have arrived.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		if werr := c.links.wait(c.done, c.addr, c.name); werr != nil {
			return 0, werr
		}
	}
	return n, err
}

func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.done)
		c.links.mu.Lock()
		delete(c.links.conns, c)
		c.links.mu.Unlock()
	})
	return c.Conn.Close()
}
