package backnd

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

// lastByteWait bounds the wait for the end of a body whose content is complete,
// so that a server which never ends it costs its connection and not the caller.
const lastByteWait = 20 * time.Millisecond

var (
	errUnframed = errors.New("response has neither a length nor chunks")
	errTooLarge = errors.New("response is too large")
	errClosed   = errors.New("client is closed")
	errOther    = errors.New("response belongs to another request")
	errUpgrade  = errors.New("server switched protocols")
)

// conn is one connection. It keeps its own reader, so bytes that a server sends
// beyond its response can never be read by a call on another connection.
type conn struct {
	net.Conn
	addr    string
	br      *bufio.Reader
	written int64 // bytes written since the current call began
	since   time.Time
	// keep is how long the connection may be idle by the server's word; 0 if it
	// does not say.
	keep time.Duration
}

// Write counts the bytes that left.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written += int64(n)
	return n, err
}

// quiet reports whether an idle connection is open and has nothing to read. A
// connection that cannot be asked is not reused, because the next call would
// take a late byte of the last one for its own response.
func (c *conn) quiet() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	nc := c.Conn
	if w, ok := nc.(interface{ NetConn() net.Conn }); ok {
		nc = w.NetConn()
	}
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(rerr, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// acquire returns an idle connection that is still open, or a new one. No byte
// has been written when it fails.
func (c *Client) acquire(ctx context.Context, addr string) (*conn, error) {
	for {
		cn, err := c.popIdle(addr)
		if err != nil {
			return nil, err
		}
		if cn == nil {
			break
		}
		if (cn.keep == 0 || time.Since(cn.since) < cn.keep) && cn.quiet() {
			return cn, nil
		}
		_ = cn.Close()
	}
	dctx, cancel := context.WithTimeout(ctx, c.cfg.DialTimeout)
	defer cancel()
	nc, err := c.cfg.Dial(dctx, addr)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, addr: addr, br: bufio.NewReaderSize(nc, c.cfg.ReadBytes)}, nil
}

func (c *Client) popIdle(addr string) (*conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errClosed
	}
	conns := c.idle[addr]
	if len(conns) == 0 {
		return nil, nil
	}
	cn := conns[len(conns)-1]
	c.idle[addr] = conns[:len(conns)-1]
	return cn, nil
}

func (c *Client) putIdle(cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.idle[cn.addr]) >= c.cfg.IdleConns {
		_ = cn.Close()
		return
	}
	cn.since = time.Now()
	c.idle[cn.addr] = append(c.idle[cn.addr], cn)
}

// exchange is one call whose response header has arrived.
type exchange struct {
	c      *Client
	cn     *conn
	resp   *fasthttp.Response
	body   io.Reader
	status int
	left   int64 // bytes that the body may still have
	ended  bool  // the body has been read to its end
	stop   func() bool
	closed bool
}

// roundTrip writes the request and reads the response header. The context ends
// the call until the exchange is closed.
func (c *Client) roundTrip(ctx context.Context, addr string, req *fasthttp.Request, limit int64) (*exchange, error) {
	if err := ctx.Err(); err != nil {
		return nil, &CallError{Outcome: NotRun, Err: Error.Wrap(err)}
	}
	cn, err := c.acquire(ctx, addr)
	if err != nil {
		return nil, &CallError{Outcome: NotRun, Err: Error.Wrap(err)}
	}
	cn.written = 0
	x := &exchange{c: c, cn: cn, left: limit, resp: &fasthttp.Response{}}
	x.stop = context.AfterFunc(ctx, func() { _ = cn.Conn.Close() })
	if err := x.send(req); err != nil {
		return nil, x.fail(ctx, err)
	}
	if err := x.header(&req.Header); err != nil {
		return nil, x.fail(ctx, err)
	}
	return x, nil
}

func (x *exchange) send(req *fasthttp.Request) error {
	w := bufio.NewWriter(x.cn)
	if err := req.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

func (x *exchange) header(req *fasthttp.RequestHeader) error {
	x.resp.StreamBody = true
	x.resp.SkipBody = req.IsHead()
	x.resp.Header.SetNoDefaultContentType(true)
	x.resp.Header.DisableNormalizing()
	if err := x.resp.ReadLimitBody(x.cn.br, 0); err != nil {
		return err
	}
	x.status = x.resp.StatusCode()
	if x.status == fasthttp.StatusSwitchingProtocols {
		return errUpgrade
	}
	for _, name := range []string{headerRequestID, headerAttempt} {
		if got := headerValue(&x.resp.Header, name); got != "" && got != string(req.Peek(name)) {
			return errOther
		}
	}
	x.body = x.resp.BodyStream()
	if x.body == nil { // HEAD, 204 and 304 have no body
		x.ended = true
		return nil
	}
	// A length of -1 means chunks, -2 a body that ends with the connection.
	if x.resp.Header.ContentLength() < -1 {
		return errUnframed
	}
	return nil
}

// fail closes the connection and classifies the error by the bytes written.
func (x *exchange) fail(ctx context.Context, err error) error {
	x.discard()
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	o := Unknown
	if x.cn.written == 0 {
		o = NotRun
	}
	return &CallError{Outcome: o, Err: Error.Wrap(err)}
}

// Read reads the body. An error other than io.EOF leaves the outcome unknown.
func (x *exchange) Read(p []byte) (int, error) {
	if x.ended {
		return 0, io.EOF
	}
	n, err := x.body.Read(p)
	x.left -= int64(n)
	switch {
	case x.left < 0:
		return 0, errTooLarge
	case err == io.EOF:
		x.ended = true
	}
	return n, err
}

// Close releases the connection: to the pool if the response was read to its
// end and nothing follows it, otherwise it is closed.
func (x *exchange) Close() error {
	if x.closed {
		return nil
	}
	// A false return means that the context has closed the connection.
	if !x.stop() || !x.ended || x.resp.ConnectionClose() || x.cn.br.Buffered() > 0 {
		x.discard()
		return nil
	}
	x.closed = true
	x.c.putIdle(x.cn)
	return nil
}

// finish reads the end of a body whose content is complete.
func (x *exchange) finish() {
	if x.ended || x.closed {
		return
	}
	_ = x.cn.SetReadDeadline(time.Now().Add(lastByteWait))
	var b [1]byte
	if n, err := x.Read(b[:]); n > 0 || err != io.EOF {
		x.ended = false
		return
	}
	_ = x.cn.SetReadDeadline(time.Time{})
}

func (x *exchange) discard() {
	if x.closed {
		return
	}
	x.closed = true
	x.stop()
	_ = x.cn.Close()
}

// refusal reports whether the response promises that the call did not run.
func (x *exchange) refusal() bool {
	if x.status != fasthttp.StatusServiceUnavailable && x.status != fasthttp.StatusTooManyRequests {
		return false
	}
	return headerValue(&x.resp.Header, headerNotRun) == "true"
}

func (x *exchange) retryAfter() time.Duration {
	n, err := strconv.ParseUint(headerValue(&x.resp.Header, "Retry-After"), 10, 20)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Second
}

// readAll reads the rest of the body and closes the exchange.
func (x *exchange) readAll(ctx context.Context) ([]byte, error) {
	b, err := io.ReadAll(x)
	if err != nil {
		return nil, x.fail(ctx, err)
	}
	return b, x.Close()
}
