// Package guard bounds what callers that are not trusted occupy in a process: the memory for
// what they have sent, and their connections. See docs/design/guard.md.
package guard

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/zeebo/errs"
	"go.opentelemetry.io/otel/metric"
)

// Error is the class of this package's errors.
var Error = errs.Class("guard")

// Errors of bodies. The request of such a body has not run.
var (
	ErrFull     = errs.Class("no memory for the body")
	ErrTooSlow  = errs.Class("the body arrived too slowly")
	ErrTooLarge = errs.Class("the body is too large")
)

const (
	// freeBytes are what a head or a body may occupy without a charge to the account, so that
	// most requests do not touch it.
	freeBytes = 4 << 10
	// maxWaiting bounds the bodies that wait for memory. Others are refused at once, so that
	// hostile callers which occupy all places have every ordinary caller refused.
	maxWaiting = 1024
	// waitInterval is how often a waiting body looks for memory, and maxWait how long.
	waitInterval = 20 * time.Millisecond
	maxWait      = 2 * time.Second
	waitShare    = 3 // of the time until the deadline
	// waitersPerInterval is the number of waiting bodies from which on each looks less often,
	// since 1,024 of them would wake up 51,000 times a second.
	waitersPerInterval = 256
	// evictShare is the part of the account from which on bodies that are behind lose their
	// memory. A body becomes late only after maxLag; the rest of the account serves the bodies
	// that arrive during that time.
	evictShare = 2
	// connShards is the number of locks of the set of connections, taken when one is opened
	// or closed.
	connShards = 16
	// receiveBufferBytes is the size of the kernel's receive buffer of a connection, which
	// Linux doubles. It carries 3 MB a second at a round-trip time of 20 ms.
	receiveBufferBytes = 64 << 10
	// writeTimeout is how long a write may block because the caller does not read. Such a caller
	// must not hold its connection and its body, or delay a planned stop, for ever. A bound on a
	// whole response would cut off long streams.
	writeTimeout = time.Minute
	// reserveShare is the part of the account's size that servers and operators have beside it, so
	// that their small bodies are received while callers hold the account. Heartbeats have up to
	// 64 KiB.
	reserveShare = 16
	// logInterval is the shortest time between two log lines.
	logInterval = 10 * time.Second
)

// Config configures a Guard.
type Config struct {
	Bytes int64            // size of the account of callers
	Clock func() time.Time // nil means time.Now
	Log   log.Interface    // nil disables log lines
	Meter metric.Meter     // nil disables metrics
}

// Bound is a bound that a caller has reached.
type Bound string

// Bounds, as named in logs and metrics.
const (
	MemoryBound Bound = "memory"      // no memory for a head or body
	RateBound   Bound = "rate"        // the body was behind while others waited for memory
	SizeBound   Bound = "size"        // a head or body over its limit
	ConnBound   Bound = "connections" // a connection closed in favour of a new one, or a new one
)

// Guard bounds the callers of a process. It is safe for concurrent use.
type Guard struct {
	cfg     Config
	callers account
	reserve account    // of servers and operators
	scan    sync.Mutex // held while connections that are closed in favour of others are chosen
	conns   []*Conn    // reused by usages; guarded by scan
	all     []Usage    // likewise
	shards  [connShards]struct {
		sync.Mutex
		conns map[*Conn]struct{}
	}
	nextShard atomic.Uint32

	refusals metric.Int64Counter
	refused  atomic.Int64 // since the last log line
	loggedAt atomic.Int64 // Unix time in ns
}

// New returns a Guard with an empty account.
func New(cfg Config) (*Guard, error) {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	g := &Guard{cfg: cfg}
	g.callers.size, g.reserve.size = cfg.Bytes, cfg.Bytes/reserveShare
	for i := range g.shards {
		g.shards[i].conns = map[*Conn]struct{}{}
	}
	return g, g.measure()
}

// Used returns the bytes that callers hold.
func (g *Guard) Used() int64 { return g.callers.used.Load() }

// MaxBody returns the size of the largest body that the account can hold while it is joined, of
// which the pieces may have nearly segmentBytes more.
func (g *Guard) MaxBody() int64 { return g.callers.maxBody() }

func (g *Guard) take(n int64) bool { return g.callers.take(n) }

// account counts bytes that bodies and heads hold.
type account struct {
	size    int64
	used    atomic.Int64
	waiting atomic.Int32 // bodies that wait for memory
	scanned atomic.Int64 // the last choice of bodies that lose their memory, Unix time in ns
}

func (a *account) maxBody() int64 { return a.size/2 - segmentBytes }

func (a *account) take(n int64) bool {
	if a.used.Add(n) <= a.size {
		return true
	}
	a.used.Add(-n)
	return false
}

// Conn is a connection of a caller.
type Conn struct {
	net.Conn
	guard *Guard
	ln    *listener
	shard uint32
	once  sync.Once

	closed     atomic.Bool
	writeBound atomic.Bool // the server has set a deadline for writes
	phase      atomic.Int32
	since      atomic.Int64 // Unix time in ns
	received   atomic.Int64
	held       atomic.Int64            // of the body
	account    atomic.Pointer[account] // of the body
	waiting    atomic.Bool
	head       int64        // bytes of the current head; used by the reading goroutine
	headHeld   atomic.Int64 // of the head, and of the response
}

// defaultBytes is the size of the account of a process whose memory is not known.
const defaultBytes = 256 << 20

// Default returns a Guard for a process whose memory is not known, without logs and metrics.
func Default() *Guard {
	g, err := New(Config{Bytes: defaultBytes})
	if err != nil {
		panic(err) // without a meter there is nothing that can fail
	}
	return g
}

// Listen listens on a TCP address with a bound on the open connections.
func (g *Guard) Listen(addr string, maxConns int) (net.Listener, error) {
	ln, err := (&net.ListenConfig{Control: setReceiveBuffer}).Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &listener{Listener: ln, guard: g, max: int64(maxConns)}, nil
}

// setReceiveBuffer bounds what the kernel holds of a body that is not read, which is up to 6 MB
// for each connection otherwise. Accepted connections inherit it.
func setReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
	})
	return errors.Join(controlErr, err)
}

type listener struct {
	net.Listener
	guard *Guard
	max   int64
	open  atomic.Int64
}

// Accept waits for the next connection. At the bound, it closes another one that waits for a
// request, or the new one.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Load() >= l.max {
			l.guard.Refuse(ConnBound)
			if !l.guard.closeOldest(l) {
				_ = raw.Close()
				continue
			}
		}
		return l.guard.add(l, raw), nil
	}
}

func (g *Guard) add(l *listener, raw net.Conn) *Conn {
	c := &Conn{Conn: raw, guard: g, ln: l, shard: g.nextShard.Add(1) % connShards}
	c.since.Store(g.cfg.Clock().UnixNano())
	l.open.Add(1)
	s := &g.shards[c.shard]
	s.Lock()
	defer s.Unlock()
	s.conns[c] = struct{}{}
	return c
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.once.Do(func() {
		s := &c.guard.shards[c.shard]
		s.Lock()
		delete(s.conns, c)
		s.Unlock()
		c.ln.open.Add(-1)
		c.closed.Store(true)
		c.guard.callers.used.Add(-c.headHeld.Swap(0))
	})
	return c.Conn.Close()
}

// Write bounds how long the caller may not read, unless the server has set a deadline.
func (c *Conn) Write(b []byte) (int, error) {
	if !c.writeBound.Load() {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(b)
}

// SetWriteDeadline sets the deadline of writes; without one, each has writeTimeout.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.writeBound.Store(!t.IsZero())
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline sets the deadline of reads and writes.
func (c *Conn) SetDeadline(t time.Time) error {
	c.writeBound.Store(!t.IsZero())
	return c.Conn.SetDeadline(t)
}

// NetConn returns the connection that c wraps.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read charges what a head takes beyond freeBytes to the account.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if p := Phase(c.phase.Load()); p != PhaseNew && p != PhaseIdle || n <= 0 {
		return n, err
	}
	c.head += int64(n)
	if more := c.head - freeBytes - c.headHeld.Load(); more > 0 {
		if !c.guard.take(more) {
			c.guard.Refuse(MemoryBound)
			return 0, os.ErrDeadlineExceeded // ends the connection without another response
		}
		c.headHeld.Add(more)
		if c.closed.Load() { // by another goroutine, which has returned what was held until then
			c.guard.callers.used.Add(-c.headHeld.Swap(0))
		}
	}
	return n, err
}

// ConnState follows the phases of connections for an HTTP server.
func ConnState(nc net.Conn, s http.ConnState) {
	if c := Of(nc); c != nil {
		switch s {
		case http.StateActive:
			c.SetBusy()
		case http.StateIdle:
			c.SetIdle()
		}
	}
}

// SetIdle marks that the request on the connection has ended.
func (c *Conn) SetIdle() {
	c.head = 0
	if held := c.headHeld.Swap(0); held > 0 {
		c.guard.callers.used.Add(-held)
	}
	c.setPhase(PhaseIdle)
}

// Charge charges a response to the account, until the connection is idle again or closed. It
// reports false if there is no room.
func (c *Conn) Charge(n int) bool {
	if n <= freeBytes {
		return true
	}
	if !c.guard.take(int64(n)) {
		c.guard.Refuse(MemoryBound)
		return false
	}
	c.headHeld.Add(int64(n))
	if c.closed.Load() {
		c.guard.callers.used.Add(-c.headHeld.Swap(0))
	}
	return true
}

// SetBusy marks that the head of a request has been received.
func (c *Conn) SetBusy() { c.setPhase(PhaseBusy) }

func (c *Conn) setPhase(p Phase) {
	if p == PhaseIdle || p == PhaseBody {
		c.since.Store(c.guard.cfg.Clock().UnixNano())
	}
	for {
		old := c.phase.Load()
		if Phase(old) == PhaseEnded || c.phase.CompareAndSwap(old, int32(p)) {
			return
		}
	}
}

// Of returns the Conn that nc is or wraps; nil without one.
func Of(nc net.Conn) *Conn {
	for nc != nil {
		if c, ok := nc.(*Conn); ok {
			return c
		}
		wrapper, ok := nc.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		nc = wrapper.NetConn()
	}
	return nil
}

// end closes the connection to further reads, if it is still in the phase in which it was
// chosen. Its reader then releases its memory and closes it.
func (c *Conn) end(p Phase) bool {
	if !c.phase.CompareAndSwap(int32(p), int32(PhaseEnded)) {
		return false
	}
	if p == PhaseBody {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
	} else {
		_ = c.Conn.Close() // likewise
	}
	return true
}

func (c *Conn) usage() Usage {
	return Usage{
		Phase: Phase(c.phase.Load()), Since: time.Unix(0, c.since.Load()), Received: c.received.Load(), Held: c.held.Load(), Waiting: c.waiting.Load(),
	}
}

// usages returns the connections of a listener, or all without one, and what they occupy. The
// caller must hold g.scan while it uses them, and call forget then.
func (g *Guard) usages(l *listener) ([]*Conn, []Usage) {
	conns, all := g.conns[:0], g.all[:0]
	for i := range g.shards {
		s := &g.shards[i]
		s.Lock()
		for c := range s.conns {
			if l == nil || c.ln == l {
				conns = append(conns, c)
				all = append(all, c.usage())
			}
		}
		s.Unlock()
	}
	g.conns, g.all = conns, all
	return conns, all
}

// forget lets closed connections be collected.
func (g *Guard) forget() { clear(g.conns) }

// closeOldest closes a connection of a listener that waits for a request.
func (g *Guard) closeOldest(l *listener) bool {
	g.scan.Lock()
	defer g.scan.Unlock()
	conns, all := g.usages(l)
	defer g.forget()
	i := Oldest(all, g.cfg.Clock())
	return i >= 0 && conns[i].end(all[i].Phase)
}

// endStalled ends the bodies of an account that are behind, at most once in waitInterval.
func (g *Guard) endStalled(a *account) {
	now, last := g.cfg.Clock(), a.scanned.Load()
	if now.UnixNano()-last < int64(waitInterval) || !a.scanned.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	g.scan.Lock()
	defer g.scan.Unlock()
	conns, all := g.usages(nil)
	defer g.forget()
	for i, u := range all {
		if u.Stalled(now) && conns[i].account.Load() == a && conns[i].end(PhaseBody) {
			g.Refuse(RateBound)
		}
	}
}
