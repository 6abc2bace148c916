// Package intact keeps responses that are malformed or were broken off from passing for sound
// ones. The HTTP parsers of package net/http and of fasthttp accept statuses that are none, names
// of fields that contain blanks, and heads that state the end of the body in two ways. They take
// a connection that was reset for one that was closed if a write noticed the reset first.
package intact

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of the errors for broken responses.
var Error = errs.Class("broken response")

var errStatusLine = Error.New("malformed status line")

// Conn is the client's end of a connection to an HTTP server. It is safe for concurrent use.
type Conn struct {
	net.Conn

	mu     sync.Mutex // guards the fields below
	heads  scanner
	broken error // why the current response is malformed; nil if it is not

	writing  sync.Mutex // held during writes
	breakErr error      // the error of the write that reported the break of the connection; nil for none
}

// NewConn returns a connection that checks the heads of responses after ExpectHead.
func NewConn(nc net.Conn) *Conn {
	return &Conn{Conn: nc, heads: scanner{headsEnded: true}}
}

// NetConn returns the connection to the server without the checks and without TLS.
func (c *Conn) NetConn() net.Conn {
	if w, ok := c.Conn.(interface{ NetConn() net.Conn }); ok {
		return w.NetConn()
	}
	return c.Conn
}

// ExpectHead says that the next bytes are a response. buffered holds those that were read
// before.
func (c *Conn) ExpectHead(buffered []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heads = scanner{name: c.heads.name[:0]}
	if c.broken == nil {
		_, c.broken = c.heads.scan(buffered)
	}
	return c.broken
}

// Read implements io.Reader. It returns a malformed head up to the byte that shows it, and then
// an error. It returns io.EOF only if the server has closed the connection, not if that broke.
func (c *Conn) Read(b []byte) (int, error) {
	if err := c.headError(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n, c.broken = c.heads.scan(b[:n]); c.broken != nil {
		if n > 0 {
			return n, nil
		}
		return 0, c.broken
	}
	if err == io.EOF {
		if berr := c.breakError(); berr != nil {
			return n, Error.Wrap(berr)
		}
	}
	return n, err
}

func (c *Conn) headError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken
}

// breakError returns the error of the write that reported the break of the connection, or nil.
// The kernel reports a break, such as a reset, to one read or write; later reads return io.EOF.
func (c *Conn) breakError() error {
	if !c.writing.TryLock() {
		// A write that the break has ended returns by itself. Any other write would be in vain:
		// the server sends nothing any more.
		_ = c.Conn.SetWriteDeadline(time.Unix(1, 0)) // fails only on a closed connection
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	return c.breakErr
}

// Write implements io.Writer.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	// EPIPE means that the server had closed the connection before, or that the break was
	// reported already.
	var errno syscall.Errno
	if errors.As(err, &errno) && errno != syscall.EPIPE && c.breakErr == nil {
		c.breakErr = err
	}
	return n, err
}
