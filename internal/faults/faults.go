// Package faults injects network faults for tests and experiments: it delays,
// blocks and resets connections between processes on real sockets.
package faults

import (
	"context"
	"net"
	"sync"
	"time"
)

// Rule describes the faults in one direction between two processes.
type Rule struct {
	Delay time.Duration // added to each write
	Cut   bool          // bytes are held back, without an error, until the rule changes
}

type direction struct{ from, to string }

// Links holds the rules between a set of processes. The dialing side of a
// connection is identified by its node name, the accepting side by its address.
type Links struct {
	mu           sync.Mutex
	rules        map[direction]Rule
	rulesChanged chan struct{}
	conns        map[*conn]struct{}
	// latency returns the one-way delay of new connections; nil if there is none.
	latency func(from, to string) time.Duration
}

// New returns Links without any faults.
func New() *Links {
	return &Links{rules: map[direction]Rule{}, rulesChanged: make(chan struct{}), conns: map[*conn]struct{}{}}
}

// Set sets the rule for bytes sent from one process to another. Either may be "*",
// which matches any process. The zero Rule removes the faults.
func (l *Links) Set(from, to string, r Rule) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rules[direction{from, to}] = r
	close(l.rulesChanged)
	l.rulesChanged = make(chan struct{})
}

// Reset closes all connections between a and b, whichever side dialed them.
func (l *Links) Reset(a, b string) {
	l.mu.Lock()
	var matching []*conn
	for c := range l.conns {
		if (c.name == a && c.addr == b) || (c.name == b && c.addr == a) {
			matching = append(matching, c)
		}
	}
	l.mu.Unlock()
	for _, c := range matching {
		_ = c.Close()
	}
}

func (l *Links) effectiveRule(from, to string) (Rule, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var combined Rule
	for _, d := range []direction{{from, to}, {from, "*"}, {"*", to}} {
		r := l.rules[d]
		combined.Cut = combined.Cut || r.Cut
		combined.Delay = max(combined.Delay, r.Delay)
	}
	return combined, l.rulesChanged
}

// Dialer returns a dial function for the process with the given name.
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

// wait blocks while the direction is cut, and then for its delay.
func (l *Links) wait(done <-chan struct{}, from, to string) error {
	for {
		r, rulesChanged := l.effectiveRule(from, to)
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
		case <-rulesChanged:
		case <-done:
			return net.ErrClosed
		}
	}
}

type conn struct {
	net.Conn
	links      *Links
	name, addr string
	closeOnce  sync.Once
	done       chan struct{}
}

// NetConn returns the underlying connection, as tls.Conn does, so that a client can
// check whether an idle connection is still open.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Write applies the rule for outgoing bytes before it writes.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.links.wait(c.done, c.name, c.addr); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Read applies the rule for incoming bytes after they have arrived.
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
	c.closeOnce.Do(func() {
		close(c.done)
		c.links.mu.Lock()
		delete(c.links.conns, c)
		c.links.mu.Unlock()
	})
	return c.Conn.Close()
}
