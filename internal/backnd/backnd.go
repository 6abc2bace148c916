// Package backnd is the HTTP client for backend servers. It implements the
// protocol of docs/contract-backends.md. The client never retries: whether a
// call may be retried depends on whether the server executed it, so each call
// reports one of exactly three outcomes and the caller of this package decides.
package backnd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"cranberrypath.example/cranberrypath/internal/buffer"
)

// Error is the class of this package's errors.
var Error = errs.Class("backend")

// Size limits of the backend protocol, in bytes.
const (
	maxHeaderBytes       = 16 << 10
	maxEventBytes        = 1 << 20
	maxJSONBytes         = 1 << 20
	maxKVBytes           = 64 << 20
	maxAnnouncementBytes = 8 << 20
)

// Outcome tells whether a backend server executed a call.
type Outcome uint8

// The outcomes of a call.
const (
	Answered Outcome = iota // a complete response arrived
	NotRun                  // the server did not execute any part of the call
	Unknown                 // bytes were sent, but no complete response arrived
)

// String returns the outcome as written in events and metrics.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case NotRun:
		return "notRun"
	default:
		return "unknown"
	}
}

// CallError is returned for every call that fails.
type CallError struct {
	Outcome    Outcome
	Status     int           // HTTP status; 0 if no response arrived
	Code       string        // error code of the protocol, if the server sent one
	RetryAfter time.Duration // Retry-After header of the response; 0 if absent
	Err        error
}

func (e *CallError) Error() string {
	if e.Status == 0 {
		return fmt.Sprintf("%s: %v", e.Outcome, e.Err)
	}
	return fmt.Sprintf("%s: status %d %s: %v", e.Outcome, e.Status, e.Code, e.Err)
}

// Unwrap returns the underlying error.
func (e *CallError) Unwrap() error { return e.Err }

// OutcomeOf returns the outcome of the CallError that err wraps. A nil error is
// Answered; any other error is Unknown.
func OutcomeOf(err error) Outcome {
	if err == nil {
		return Answered
	}
	var ce *CallError
	if errors.As(err, &ce) {
		return ce.Outcome
	}
	return Unknown
}

// CodeOf returns the protocol's error code that err carries, or "".
func CodeOf(err error) string {
	var ce *CallError
	if errors.As(err, &ce) {
		return ce.Code
	}
	return ""
}

// Config configures a Client. The zero value is usable.
type Config struct {
	// Dial replaces the TCP dialer. The outcome of a call depends on the byte
	// count that the connection's Write returns, so a wrapper must return the
	// exact count.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// DialTimeout limits connection setup; 1 s if zero.
	DialTimeout time.Duration
	// IdleConns limits the idle connections to one backend server; 64 if zero.
	IdleConns int
	// IdleTimeout is how long a connection may stay idle in the pool; 15 s if zero.
	IdleTimeout time.Duration
	// ReadBufferBytes is the size of each connection's read buffer. It also limits the
	// response header, except for Forward; 16 KiB if zero.
	ReadBufferBytes int
	// Buffers bounds the memory of the response headers that Forward reads; nil means no
	// limit for all of them together.
	Buffers *buffer.Pool
	// MaxResponseBytes limits the response body of Call; 64 MiB if zero.
	MaxResponseBytes int64
}

// Client sends calls to backend servers. It is safe for concurrent use.
type Client struct {
	cfg Config

	mu     sync.Mutex
	idle   map[string][]*conn // by address, most recently used last
	closed bool
	stop   chan struct{}
	done   sync.WaitGroup
}

// New returns a client. Close stops its background goroutine.
func New(cfg Config) *Client {
	if cfg.Dial == nil {
		var d net.Dialer
		cfg.Dial = func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) }
	}
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = time.Second
	}
	if cfg.IdleConns == 0 {
		cfg.IdleConns = 64
	}
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = 15 * time.Second
	}
	if cfg.ReadBufferBytes == 0 {
		cfg.ReadBufferBytes = maxHeaderBytes
	}
	if cfg.MaxResponseBytes == 0 {
		cfg.MaxResponseBytes = 64 << 20
	}
	c := &Client{cfg: cfg, idle: map[string][]*conn{}, stop: make(chan struct{})}
	c.done.Go(func() {
		tick := time.NewTicker(cfg.IdleTimeout / 2)
		defer tick.Stop()
		for {
			select {
			case <-c.stop:
				return
			case now := <-tick.C:
				c.closeIdleBefore(now.Add(-cfg.IdleTimeout))
			}
		}
	})
	return c
}

// Close closes the idle connections. It does not cancel calls in flight.
func (c *Client) Close() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil
	}
	c.closed = true
	c.mu.Unlock()
	close(c.stop)
	c.done.Wait()
	c.closeIdleBefore(time.Now().Add(time.Hour))
	return nil
}

// closeIdleBefore closes connections that became idle before the given time.
func (c *Client) closeIdleBefore(before time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, conns := range c.idle {
		n := 0
		for n < len(conns) && conns[n].idleSince.Before(before) {
			_ = conns[n].Close()
			n++
		}
		if n == len(conns) {
			delete(c.idle, addr)
			continue
		}
		c.idle[addr] = conns[n:]
	}
}
