package backnd

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// maxStrays is how many responses to earlier requests are skipped on one
	// connection; a server that sends more is out of step for good.
	maxStrays = 3
	// maxStrayBytes bounds each of them.
	maxStrayBytes = 1 << 20
	// inlineBody is the largest body that is written before the response is read. A
	// server may answer before it has read a longer one.
	inlineBody = 32 << 10
	// keepAliveMargin is how long before the server's announced idle timeout a
	// connection is no longer used: a request must reach the server before it.
	keepAliveMargin = time.Second
)

var errStrays = errors.New("the connection carries responses to other requests")

// Opaque is a request that is passed on as it is.
type Opaque struct {
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
	// IDHeader names the header in which the server returns the request's id ID. A
	// response with another id belongs to an earlier request.
	IDHeader, ID string
}

// Forwarded is the response to an Opaque. Its body must be closed.
type Forwarded struct {
	Status int
	Header http.Header
	Length int64 // of the body; -1 if it is not known
	Body   io.ReadCloser
}

// Forward sends an opaque request. Its error is a *CallError: NotRun if no byte
// was written, otherwise Unknown. Reading the body fails if the server broke it
// off. The context ends the call, also while the body is read.
func (c *Client) Forward(ctx context.Context, addr string, req *Opaque) (*Forwarded, error) {
	if err := ctx.Err(); err != nil {
		return nil, &CallError{Outcome: NotRun, Err: Error.Wrap(err)}
	}
	cn, err := c.acquire(ctx, addr)
	if err != nil {
		return nil, &CallError{Outcome: NotRun, Err: Error.Wrap(err)}
	}
	cn.written = 0
	f := &forwarding{c: c, cn: cn, wrote: make(chan error, 1)}
	f.stop = context.AfterFunc(ctx, func() { _ = cn.Conn.Close() })
	if f.resp, err = f.exchange(req); err != nil {
		f.discard()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		outcome := Unknown
		if f.sent() == 0 {
			outcome = NotRun
		}
		return nil, &CallError{Outcome: outcome, Err: Error.Wrap(err)}
	}
	return &Forwarded{Status: f.resp.StatusCode, Header: f.resp.Header, Length: f.resp.ContentLength, Body: f}, nil
}

// forwarding is one opaque call. It is the body of its response.
type forwarding struct {
	c      *Client
	cn     *conn
	resp   *http.Response
	stop   func() bool
	wrote  chan error // result of writing the request; buffered
	done   bool       // the request is written
	ended  bool       // the body was read to its end
	closed bool
}

// exchange writes the request and reads the header of its response.
func (f *forwarding) exchange(req *Opaque) (*http.Response, error) {
	head := appendHead(nil, req)
	if len(req.Body) <= inlineBody {
		_, err := f.cn.Write(append(head, req.Body...))
		f.wrote <- err
		if err != nil && f.cn.written == 0 {
			return nil, err
		}
	} else {
		if _, err := f.cn.Write(head); err != nil {
			f.wrote <- err
			return nil, err
		}
		go func() {
			// The count of written bytes is read by sent only before this write.
			_, err := f.cn.Conn.Write(req.Body)
			f.wrote <- err
		}()
	}
	for range maxStrays {
		resp, err := readResponse(f.cn.br, req.Method)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errUpgrade
		}
		if id := resp.Header.Get(req.IDHeader); id == "" || id == req.ID {
			return resp, nil
		}
		if resp.ContentLength < 0 && resp.Close {
			return nil, errStrays
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBytes)); err != nil || n == maxStrayBytes {
			return nil, errStrays
		}
	}
	return nil, errStrays
}

// sent returns how many bytes left for certain.
func (f *forwarding) sent() int64 { return f.cn.written }

// readResponse reads the next response that is not an interim one.
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

func appendHead(b []byte, req *Opaque) []byte {
	w := bytes.NewBuffer(b)
	w.WriteString(req.Method)
	w.WriteByte(' ')
	w.WriteString(req.Target)
	w.WriteString(" HTTP/1.1\r\nHost: ")
	w.WriteString(req.Host)
	w.WriteString("\r\n")
	_ = req.Header.Write(w) // writing to a buffer cannot fail
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
	n, err := f.resp.Body.Read(p)
	if err == io.EOF {
		f.ended = true
	}
	return n, err
}

// Close keeps the connection if the response was read to its end and nothing
// follows it; otherwise it closes the connection, which ends the call at the server.
func (f *forwarding) Close() error {
	if f.closed {
		return nil
	}
	if !f.done {
		select {
		case err := <-f.wrote:
			f.done = err == nil
		default:
		}
	}
	if !f.stop() || !f.ended || !f.done || f.resp.Close || f.cn.br.Buffered() > 0 {
		f.discard()
		return nil
	}
	f.closed = true
	f.cn.keep = keepAlive(f.resp.Header)
	f.c.putIdle(f.cn)
	return nil
}

func (f *forwarding) discard() {
	if f.closed {
		return
	}
	f.closed = true
	f.stop()
	_ = f.cn.Close()
}

// keepAlive returns how long the connection may be idle by the server's word, or 0
// if it does not say.
func keepAlive(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if n, err := strconv.ParseUint(v, 10, 16); err == nil {
				return max(time.Duration(n)*time.Second-keepAliveMargin, time.Millisecond)
			}
		}
	}
	return 0
}

// Drop closes the idle connections to an address, whose server has gone.
func (c *Client) Drop(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cn := range c.idle[addr] {
		_ = cn.Close()
	}
	delete(c.idle, addr)
}

// Idle returns how many connections to an address are idle.
func (c *Client) Idle(addr string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.idle[addr])
}
