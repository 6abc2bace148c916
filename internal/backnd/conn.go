package backnd

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"cranberrypath.example/cranberrypath/internal/buffer"
	"cranberrypath.example/cranberrypath/internal/intact"
	"cranberrypath.example/cranberrypath/internal/peek"
)

// bodyEndTimeout limits the wait for the end of a body whose content is complete.
// If the server does not end the body, the connection is closed, but the caller
// is not delayed.
const bodyEndTimeout = 20 * time.Millisecond

const (
	// maxHeadBytes limits what is read before a response header is complete, interim
	// responses included.
	maxHeadBytes = 64 << 10
	// maxFramingBytes limits what is read in addition to the bytes of a body: chunk sizes
	// with their extensions, the trailer and the read buffer.
	maxFramingBytes = 64 << 10
	// maxFailedIDs is the number of failed requests after which a connection is closed. Each
	// of their ids must be kept while the connection is open.
	maxFailedIDs = 64
)

var (
	errExcess       = errors.New("the server sends bytes that are not part of a response")
	errUnidentified = errors.New("the response on a reused connection carries no request id")
	errUnframed     = errors.New("response has neither a length nor chunks")
	errTooLarge     = errors.New("response is too large")
	errClosed       = errors.New("client is closed")
	errWrongRequest = errors.New("response belongs to another request")
	errMergedHeads  = errors.New("the response header contains parts of two responses")
	errUpgrade      = errors.New("server switched protocols")
	errNoMemory     = errors.New("the response headers in flight take all memory that is meant for them")
)

// conn is a connection with its own read buffer, so that excess bytes after a
// response cannot be read by a call on another connection.
type conn struct {
	*intact.Conn
	addr         string
	br           *bufio.Reader
	input        *boundedReader
	bytesWritten int64 // since the start of the current call
	reused       bool  // an earlier call used the connection
	idleSince    time.Time
	// failedIDs holds the hashes of the ids of requests that got an error status on this
	// connection. A request that repeats one of them, such as a retry by the caller, needs
	// another connection: a late copy of the earlier response could not be told from its own.
	failedIDs []uint64
	// idleTimeout is the server's announced idle timeout less a margin; 0 if the
	// server announced none.
	idleTimeout time.Duration
}

// boundedReader fails after a number of bytes, so that a server that sends bytes without
// end neither fills the memory nor keeps a call.
type boundedReader struct {
	r    io.Reader
	left int64
	// lease is the memory for what is read; nil if that is not kept.
	lease *buffer.Lease
	kept  int
}

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errExcess
	}
	n, err := b.r.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	if b.lease != nil {
		if b.kept += n; !b.lease.Hold(b.kept) {
			return 0, errNoMemory
		}
	}
	return n, err
}

// allow sets how many bytes may be read from now on.
func (c *conn) allow(n int64) { c.input.left = n }

// expectHead prepares the connection for reading a response header.
func (c *conn) expectHead() error {
	c.allow(maxHeadBytes)
	buffered, _ := c.br.Peek(c.br.Buffered()) // cannot fail: the bytes are there
	return c.ExpectHead(buffered)
}

func newConn(nc net.Conn, addr string, bufferBytes int) *conn {
	checked := intact.NewConn(nc)
	input := &boundedReader{r: checked}
	return &conn{Conn: checked, addr: addr, input: input, br: bufio.NewReaderSize(input, bufferBytes)}
}

// abort closes the connection with a reset. After a normal close the kernel keeps sending
// what was written, for example until a partition heals, and a server would run a request
// that was given up long before.
func (c *conn) abort() {
	if tcp, ok := c.NetConn().(interface{ SetLinger(sec int) error }); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is closed already
	}
	_ = c.Conn.Close()
}

// Write counts the bytes that the connection accepted.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytesWritten += int64(n)
	return n, err
}

// recordStatus records the response to the request with the given id.
func (c *conn) recordStatus(id string, status int) {
	if status >= http.StatusBadRequest && id != "" {
		c.failedIDs = append(c.failedIDs, xxhash.Sum64String(id))
	}
}

// hasFailed reports whether a request with the given id got an error status on c.
func (c *conn) hasFailed(id string) bool {
	return id != "" && slices.Contains(c.failedIDs, xxhash.Sum64String(id))
}

// containsStatusLine reports whether a header value contains the status line of a response.
// A server that breaks off a header and then sends another response merges the two.
func containsStatusLine(value string) bool {
	const protocol = "HTTP/1."
	for {
		i := strings.Index(value, protocol)
		if i < 0 {
			return false
		}
		value = value[i+len(protocol):]
		if len(value) >= len("1 200") && value[1] == ' ' && isDigit(value[0]) && isDigit(value[2]) && isDigit(value[3]) && isDigit(value[4]) {
			return true
		}
	}
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

// reusable reports whether an idle connection is open and has no unread bytes. A
// connection whose socket cannot be inspected is not reused: the next call could
// read late bytes of the previous response as its own.
func (c *conn) reusable() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	return peek.At(c.Conn) == peek.Empty
}

// acquire returns an idle connection that is still open and on which no request with the
// given id has failed, or dials a new one. On error, no byte of the call has been sent.
func (c *Client) acquire(ctx context.Context, addr, id string) (*conn, error) {
	for {
		cn, err := c.popIdle(addr)
		if err != nil {
			return nil, err
		}
		if cn == nil {
			break
		}
		if (cn.idleTimeout == 0 || time.Since(cn.idleSince) < cn.idleTimeout) && !cn.hasFailed(id) && cn.reusable() {
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
	return newConn(nc, addr, c.cfg.ReadBufferBytes), nil
}

// settleTime is how long a new connection must stay open to count as accepted.
const settleTime = 20 * time.Millisecond

// Accepts reports whether a server accepts a new connection and keeps it open: a proxy accepts
// connections for a server that is down, and ends them. It is true if that cannot be told in
// time.
func (c *Client) Accepts(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.DialTimeout)
	defer cancel()
	nc, err := c.cfg.Dial(ctx, addr)
	if err == nil {
		defer func() { _ = nc.Close() }() // nothing was sent
		if err = nc.SetReadDeadline(time.Now().Add(settleTime)); err == nil {
			_, err = nc.Read(make([]byte, 1))
		}
		return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
	}
	var netErr net.Error
	return ctx.Err() != nil || errors.As(err, &netErr) && netErr.Timeout()
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
	if c.closed || len(c.idle[cn.addr]) >= c.cfg.IdleConns || len(cn.failedIDs) >= maxFailedIDs {
		_ = cn.Close()
		return
	}
	cn.idleSince, cn.reused = time.Now(), true
	c.idle[cn.addr] = append(c.idle[cn.addr], cn)
}

// exchange is a call on a connection: one request and its response.
type exchange struct {
	c         *Client
	cn        *conn
	resp      *fasthttp.Response
	body      io.Reader
	status    int
	remaining int64 // remaining size limit of the body, in bytes
	bodyEnded bool  // the body has been read to EOF
	// identified means that the response carries the id of the request. Only then may the
	// connection be reused: a late copy of a response without an id could not be told from
	// the response to the next request.
	identified bool
	stop       func() bool
	closed     bool
}

// roundTrip writes the request and reads the response header. Canceling the
// context aborts the call at any time until the exchange is closed.
func (c *Client) roundTrip(ctx context.Context, addr string, req *fasthttp.Request, limit int64) (*exchange, error) {
	if err := ctx.Err(); err != nil {
		return nil, &CallError{Outcome: NotRun, Err: Error.Wrap(err)}
	}
	cn, err := c.acquire(ctx, addr, string(req.Header.Peek(headerRequestID)))
	if err != nil {
		return nil, &CallError{Outcome: NotRun, Err: Error.Wrap(err)}
	}
	cn.bytesWritten = 0
	x := &exchange{c: c, cn: cn, remaining: limit, resp: &fasthttp.Response{}}
	x.stop = context.AfterFunc(ctx, cn.abort)
	if err := x.send(req); err != nil {
		return nil, x.fail(ctx, err)
	}
	if err := x.readHeader(&req.Header); err != nil {
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

func (x *exchange) readHeader(req *fasthttp.RequestHeader) error {
	x.resp.StreamBody = true
	x.resp.SkipBody = req.IsHead()
	x.resp.Header.SetNoDefaultContentType(true)
	x.resp.Header.DisableNormalizing()
	if err := x.cn.expectHead(); err != nil {
		return err
	}
	if err := x.resp.ReadLimitBody(x.cn.br, 0); err != nil {
		return err
	}
	x.status = x.resp.StatusCode()
	if x.status == fasthttp.StatusSwitchingProtocols {
		return errUpgrade
	}
	if containsStatusLine(string(x.resp.Header.StatusMessage())) {
		return errMergedHeads
	}
	for k, v := range x.resp.Header.All() {
		name, value := string(k), string(v)
		if containsStatusLine(value) {
			return errMergedHeads
		}
		for _, identifier := range []string{headerRequestID, headerAttempt} {
			if strings.EqualFold(name, identifier) && value != "" && value != string(req.Peek(identifier)) {
				return errWrongRequest
			}
		}
	}
	x.identified = headerValue(&x.resp.Header, headerRequestID) != ""
	if !x.identified && x.cn.reused {
		return errUnidentified
	}
	x.cn.recordStatus(string(req.Peek(headerRequestID)), x.status)
	x.body = x.resp.BodyStream()
	if x.body == nil { // HEAD, 204 and 304 have no body
		x.bodyEnded = true
		return nil
	}
	// fasthttp reports -1 for a chunked body and -2 for a body that ends when the
	// connection closes.
	if x.resp.Header.ContentLength() < -1 {
		return errUnframed
	}
	return nil
}

// fail closes the connection and returns a CallError whose outcome depends on
// whether any bytes were written.
func (x *exchange) fail(ctx context.Context, err error) error {
	x.discard()
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	o := Unknown
	if x.cn.bytesWritten == 0 {
		o = NotRun
	}
	return &CallError{Outcome: o, Err: Error.Wrap(err)}
}

// Read reads the body. After an error other than io.EOF the outcome is Unknown.
func (x *exchange) Read(p []byte) (int, error) {
	if x.bodyEnded {
		return 0, io.EOF
	}
	x.cn.allow(int64(len(p)) + maxFramingBytes)
	n, err := x.body.Read(p)
	x.remaining -= int64(n)
	switch {
	case x.remaining < 0:
		return 0, errTooLarge
	case err == io.EOF:
		x.bodyEnded = true
	}
	return n, err
}

// Close returns the connection to the pool if the response carries the request's id, was
// read to EOF and no bytes follow it. Otherwise it closes the connection.
func (x *exchange) Close() error {
	if x.closed {
		return nil
	}
	// If stop returns false, context cancellation has closed the connection.
	if !x.stop() || !x.bodyEnded || !x.identified || x.resp.ConnectionClose() || x.cn.br.Buffered() > 0 {
		x.discard()
		return nil
	}
	x.closed = true
	x.c.putIdle(x.cn)
	return nil
}

// readBodyEnd reads up to the EOF of a body whose content is complete, so that the
// connection can be reused.
func (x *exchange) readBodyEnd() {
	if x.bodyEnded || x.closed {
		return
	}
	_ = x.cn.SetReadDeadline(time.Now().Add(bodyEndTimeout))
	var b [1]byte
	if n, err := x.Read(b[:]); n > 0 || err != io.EOF {
		x.bodyEnded = false
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
	x.cn.abort()
}

// promisesNotRun reports whether the server rejected the call and guarantees
// that it was not executed.
func (x *exchange) promisesNotRun() bool {
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

// readAll reads the remaining body and closes the exchange.
func (x *exchange) readAll(ctx context.Context) ([]byte, error) {
	b, err := io.ReadAll(x)
	if err != nil {
		return nil, x.fail(ctx, err)
	}
	return b, x.Close()
}
