package backnd

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"cranberrypath.example/cranberrypath/internal/buffer"
)

const (
	// maxStaleResponses is the number of responses to earlier requests after which a
	// connection is closed. Fewer are skipped.
	maxStaleResponses = 3
	// maxStaleResponseBytes limits the body of each skipped response.
	maxStaleResponseBytes = 1 << 20
	// maxInlineBodyBytes is the largest body that is written before reading the
	// response. A larger body is written concurrently, because the server may
	// respond before it has read the whole body.
	maxInlineBodyBytes = 32 << 10
	// keepAliveMargin is subtracted from the server's announced idle timeout, so
	// that a request reaches the server before it closes the connection.
	keepAliveMargin = time.Second
)

var errStaleResponses = errors.New("the connection carries responses to other requests")

// ForwardRequest is a request that is forwarded unchanged.
type ForwardRequest struct {
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
	// IDHeader names the response header that repeats the request's ID. A response
	// with another ID belongs to an earlier request. A response without one is accepted
	// on a new connection only, which is then not used again.
	IDHeader, ID string
}

// ForwardResponse is the response to a ForwardRequest. Its body must be closed.
type ForwardResponse struct {
	Status int
	Header http.Header
	Length int64 // of the body in bytes; -1 if unknown
	Body   io.ReadCloser
}

// Forward sends an opaque request. Errors are of type *CallError: NotRun if no byte
// was written, otherwise Unknown. Reading the body fails if the server ends it
// early. Canceling the context aborts the call, also while the body is read.
func (c *Client) Forward(ctx context.Context, addr string, req *ForwardRequest) (*ForwardResponse, error) {
	if err := ctx.Err(); err != nil {
		return nil, &CallError{Outcome: NotRun, Err: Error.Wrap(err)}
	}
	cn, err := c.acquire(ctx, addr, req.ID)
	if err != nil {
		return nil, &CallError{Outcome: NotRun, Err: Error.Wrap(err)}
	}
	cn.bytesWritten = 0
	f := &forwarding{c: c, cn: cn, writeResult: make(chan error, 1), head: c.cfg.Buffers.NewLease()}
	f.stop = context.AfterFunc(ctx, cn.abort)
	if f.resp, err = f.roundTrip(req); err != nil {
		f.discard()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		outcome := Unknown
		if f.minBytesSent() == 0 {
			outcome = NotRun
		}
		return nil, &CallError{Outcome: outcome, Err: Error.Wrap(err)}
	}
	return &ForwardResponse{Status: f.resp.StatusCode, Header: f.resp.Header, Length: f.resp.ContentLength, Body: f}, nil
}

// forwarding is an opaque call in flight. It implements the response body.
type forwarding struct {
	c              *Client
	cn             *conn
	resp           *http.Response
	stop           func() bool
	writeResult    chan error // result of writing the request; has a buffer of 1
	requestWritten bool       // the whole request was written
	bodyEnded      bool       // the body was read to EOF
	identified     bool       // the response carries the id of the request
	head           *buffer.Lease
	closed         bool
}

// roundTrip writes the request and reads the response header.
func (f *forwarding) roundTrip(req *ForwardRequest) (*http.Response, error) {
	head := appendHead(nil, req)
	if len(req.Body) <= maxInlineBodyBytes {
		_, err := f.cn.Write(append(head, req.Body...))
		f.writeResult <- err
		if err != nil && f.cn.bytesWritten == 0 {
			return nil, err
		}
	} else {
		if _, err := f.cn.Write(head); err != nil {
			f.writeResult <- err
			return nil, err
		}
		go func() {
			// Bypasses conn.Write, because minBytesSent may read bytesWritten
			// concurrently.
			_, err := f.cn.Conn.Write(req.Body)
			f.writeResult <- err
		}()
	}
	for range maxStaleResponses {
		if err := f.cn.expectHead(); err != nil {
			return nil, err
		}
		f.cn.input.lease, f.cn.input.kept = f.head, 0
		resp, err := readResponse(f.cn.br, req.Method)
		f.cn.input.lease = nil
		if err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errUpgrade
		}
		if hasMergedHeads(resp) || len(resp.Header.Values(req.IDHeader)) > 1 {
			return nil, errMergedHeads
		}
		id := resp.Header.Get(req.IDHeader)
		f.identified = id != "" && id == req.ID
		switch {
		case f.identified, id == "" && !f.cn.reused:
			f.cn.recordStatus(req.ID, resp.StatusCode)
			return resp, nil
		case id == "":
			return nil, errUnidentified
		}
		if resp.ContentLength < 0 && resp.Close {
			return nil, errStaleResponses
		}
		f.cn.allow(maxStaleResponseBytes + maxFramingBytes)
		if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStaleResponseBytes)); err != nil || n == maxStaleResponseBytes {
			return nil, errStaleResponses
		}
	}
	return nil, errStaleResponses
}

// minBytesSent returns a lower bound of the bytes sent: a body that is written
// concurrently does not count.
func (f *forwarding) minBytesSent() int64 { return f.cn.bytesWritten }

// readResponse reads the next final response, skipping interim (1xx) responses.
func readResponse(br *bufio.Reader, method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(br, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 200 || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
}

// hasMergedHeads reports whether the header of a response contains another status line.
func hasMergedHeads(resp *http.Response) bool {
	if containsStatusLine(resp.Status) {
		return true
	}
	for _, values := range resp.Header {
		if slices.ContainsFunc(values, containsStatusLine) {
			return true
		}
	}
	return false
}

func appendHead(b []byte, req *ForwardRequest) []byte {
	w := bytes.NewBuffer(b)
	w.WriteString(req.Method)
	w.WriteByte(' ')
	w.WriteString(req.Target)
	w.WriteString(" HTTP/1.1\r\nHost: ")
	w.WriteString(req.Host)
	w.WriteString("\r\n")
	_ = req.Header.Write(w) // writing to a bytes.Buffer cannot fail
	if len(req.Body) > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead {
		w.WriteString("Content-Length: ")
		w.WriteString(strconv.Itoa(len(req.Body)))
		w.WriteString("\r\n")
	}
	w.WriteString("\r\n")
	return w.Bytes()
}

// Read reads the body of the response.
func (f *forwarding) Read(p []byte) (int, error) {
	f.cn.allow(int64(len(p)) + maxFramingBytes)
	n, err := f.resp.Body.Read(p)
	if err == io.EOF {
		f.bodyEnded = true
	}
	return n, err
}

// Close returns the connection to the pool if the request was written, the
// response carries its id and was read to EOF, and no bytes follow it. Otherwise it
// closes the connection, which aborts the call at the server.
func (f *forwarding) Close() error {
	if f.closed {
		return nil
	}
	if !f.requestWritten {
		select {
		case err := <-f.writeResult:
			f.requestWritten = err == nil
		default:
		}
	}
	if !f.stop() || !f.bodyEnded || !f.identified || !f.requestWritten || f.resp.Close || f.cn.br.Buffered() > 0 {
		f.discard()
		return nil
	}
	f.closed = true
	f.head.Release()
	f.cn.idleTimeout = keepAliveTimeout(f.resp.Header)
	f.c.putIdle(f.cn)
	return nil
}

func (f *forwarding) discard() {
	if f.closed {
		return
	}
	f.closed = true
	f.head.Release()
	f.stop()
	f.cn.abort()
}

// keepAliveTimeout returns the idle timeout that the server announced, less
// keepAliveMargin, or 0 if it announced none.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if n, err := strconv.ParseUint(v, 10, 16); err == nil {
				return max(time.Duration(n)*time.Second-keepAliveMargin, time.Millisecond)
			}
		}
	}
	return 0
}

// CloseIdle closes the idle connections to an address whose server is gone.
func (c *Client) CloseIdle(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cn := range c.idle[addr] {
		_ = cn.Close()
	}
	delete(c.idle, addr)
}

// IdleCount returns the number of idle connections to an address.
func (c *Client) IdleCount(addr string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.idle[addr])
}
