// Package backnd speaks the contract with backend servers
// (docs/contract-backends.md). It never retries: whether a call may be repeated
// depends on whether it ran, so each call reports one of exactly three outcomes
// and its caller decides.
package backnd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("backend")

// Limits of the contract, in bytes.
const (
	maxHeaderBytes       = 16 << 10
	maxEventBytes        = 1 << 20
	maxJSONBytes         = 1 << 20
	maxKVBytes           = 64 << 20
	maxAnnouncementBytes = 8 << 20
)

// Outcome of a call.
type Outcome uint8

// The outcomes of a call.
const (
	Answered Outcome = iota // a complete response arrived
	NotRun                  // the server did nothing for the call
	Unknown                 // bytes were written and no complete response arrived
)

// String returns the name used in events and metrics.
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

// CallError is the error of every call that did not succeed.
type CallError struct {
	Outcome    Outcome
	Status     int           // HTTP status; 0 without a response
	Code       string        // code of the contract, if the server sent one
	RetryAfter time.Duration // as the server asked; 0 if it did not
	Err        error
}

func (e *CallError) Error() string {
	if e.Status == 0 {
		return fmt.Sprintf("%s: %v", e.Outcome, e.Err)
	}
	return fmt.Sprintf("%s: status %d %s: %v", e.Outcome, e.Status, e.Code, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// OutcomeOf returns the outcome that an error of this package reports. A nil
// error is Answered; an error from elsewhere is Unknown.
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

// CodeOf returns the contract's code of an error, or "".
func CodeOf(err error) string {
	var ce *CallError
	if errors.As(err, &ce) {
		return ce.Code
	}
	return ""
}

// Config sets up a Client. The zero value is usable.
type Config struct {
	// Dial replaces the TCP dialer. The outcome of a call rests on the count
	// that the connection's Write returns, so a wrapper must report it truly.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// DialTimeout bounds connecting; 1 s if zero.
	DialTimeout time.Duration
	// IdleConns bounds the idle connections to one backend server; 64 if zero.
	IdleConns int
	// IdleTimeout closes idle connections; 15 s if zero.
	IdleTimeout time.Duration
	// ReadBytes is the read buffer of each connection and bounds the header of a
	// response to calls of the contract; 16 KiB if zero.
	ReadBytes int
	// MaxAnswerBytes bounds the body of an answer to Call; 64 MiB if zero.
	MaxAnswerBytes int64
}

// Client calls backend servers. It is safe for use by several goroutines.
type Client struct {
	cfg Config

	mu     sync.Mutex
	idle   map[string][]*conn // by address, most recently used last
	closed bool
	stop   chan struct{}
	done   sync.WaitGroup
}

// New returns a client. Close ends its goroutine.
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
	if cfg.ReadBytes == 0 {
		cfg.ReadBytes = maxHeaderBytes
	}
	if cfg.MaxAnswerBytes == 0 {
		cfg.MaxAnswerBytes = 64 << 20
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
				c.closeIdle(now.Add(-cfg.IdleTimeout))
			}
		}
	})
	return c
}

// Close closes the idle connections. Calls in flight end by their contexts.
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
	c.closeIdle(time.Now().Add(time.Hour))
	return nil
}

// closeIdle closes the connections that have been idle since before.
func (c *Client) closeIdle(before time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, conns := range c.idle {
		n := 0
		for n < len(conns) && conns[n].since.Before(before) {
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
