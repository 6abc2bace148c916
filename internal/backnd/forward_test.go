package backnd

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// connServer passes each accepted connection to a handler and counts connections.
type connServer struct {
	ln    net.Listener
	conns atomic.Int32
}

func newConnServer(t *testing.T, handle func(n int, c net.Conn, br *bufio.Reader)) *connServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &connServer{ln: ln}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			n := int(r.conns.Add(1))
			go func() {
				defer c.Close()
				handle(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return r
}

// readRequest reads a request and its body and returns the X-Id header.
func readRequest(br *bufio.Reader) (string, error) {
	req, err := http.ReadRequest(br)
	if err != nil {
		return "", err
	}
	_, err = io.Copy(io.Discard, req.Body)
	return req.Header.Get("X-Id"), err
}

func opaque(id string) *ForwardRequest {
	return &ForwardRequest{Method: "POST", Target: "/a?b=c", Host: "h", Header: http.Header{"X-Id": {id}}, Body: []byte("body"), IDHeader: "X-Id", ID: id}
}

func forward(t *testing.T, c *Client, addr string, req *ForwardRequest) (int, string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	resp, err := c.Forward(ctx, addr, req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.Status, string(b), err
}

func responseTo(id, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + twoDigits(len(body)) + "\r\n\r\n" + body
}

func twoDigits(n int) string { return string(rune('0'+n/10)) + string(rune('0'+n%10)) }

// Guards against returning the response to another request: a second response
// after a complete one, sent at once or later, must not answer the next request.
func TestExtraAnswers(t *testing.T) {
	for _, late := range []time.Duration{0, 30 * time.Millisecond} {
		s := newConnServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
			for {
				id, err := readRequest(br)
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, responseTo(id, "of "+id))
				time.Sleep(late)
				_, _ = io.WriteString(c, responseTo(id, "again"))
			}
		})
		c := New(Config{})
		defer c.Close()
		for _, id := range []string{"r1", "r2", "r3"} {
			if _, body, err := forward(t, c, s.ln.Addr().String(), opaque(id)); err != nil || body != "of "+id {
				t.Errorf("extra answer after %v: request %s got %q, %v", late, id, body, err)
			}
		}
	}
}

// Guards against returning a response to an earlier request that arrives after
// the next request was written.
func TestStrayAnswerIsSkipped(t *testing.T) {
	s := newConnServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
		for {
			id, err := readRequest(br)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, responseTo("r0", "stray")+responseTo(id, "own"))
		}
	})
	c := New(Config{})
	defer c.Close()
	if _, body, err := forward(t, c, s.ln.Addr().String(), opaque("r1")); err != nil || body != "own" {
		t.Errorf("got %q, %v", body, err)
	}
}

// Guards against treating truncated responses as complete, and complete ones as
// truncated.
func TestFraming(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		body         string
		broken       bool
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", "abc", false},
		{"cut length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", "", true},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "abc", false},
		{"cut chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", "", true},
		{"no length", "HTTP/1.1 200 OK\r\n\r\nabc", "abc", false},
		{"interim answer first", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", "a", false},
		{"not an answer", "abc\r\n\r\n", "", true},
	} {
		s := newConnServer(t, func(_ int, conn net.Conn, br *bufio.Reader) {
			if _, err := readRequest(br); err == nil {
				_, _ = io.WriteString(conn, c.answer)
			}
		})
		cl := New(Config{})
		_, body, err := forward(t, cl, s.ln.Addr().String(), opaque("r"))
		if c.broken != (err != nil) || !c.broken && body != c.body {
			t.Errorf("%s: %q, %v", c.name, body, err)
		}
		_ = cl.Close()
	}
}

// Guards against treating a response without a length as complete when the
// connection is reset.
func TestResetWithoutLength(t *testing.T) {
	s := newConnServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
		if _, err := readRequest(br); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nabc")
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	c := New(Config{})
	defer c.Close()
	if _, body, err := forward(t, c, s.ln.Addr().String(), opaque("r")); err == nil {
		t.Errorf("got %q as a complete answer", body)
	}
}

// Guards against reporting a request as not run although it was sent, and the
// reverse.
func TestForwardOutcome(t *testing.T) {
	c := New(Config{})
	defer c.Close()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	if _, _, err := forward(t, c, closed.Addr().String(), opaque("r")); OutcomeOf(err) != NotRun {
		t.Errorf("no listener: %v", err)
	}
	s := newConnServer(t, func(_ int, _ net.Conn, br *bufio.Reader) { _, _ = readRequest(br) })
	if _, _, err := forward(t, c, s.ln.Addr().String(), opaque("r")); OutcomeOf(err) != Unknown {
		t.Errorf("no answer: %v", err)
	}
}

// Guards against reusing a connection after the server's idle timeout.
func TestKeepAliveIsHonoured(t *testing.T) {
	s := newConnServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
		for {
			id, err := readRequest(br)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\nKeep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n")
		}
	})
	c := New(Config{})
	defer c.Close()
	for _, id := range []string{"r1", "r2"} {
		if _, _, err := forward(t, c, s.ln.Addr().String(), opaque(id)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if got := s.conns.Load(); got != 2 {
		t.Errorf("%d connections, want a new one after the timeout less its margin", got)
	}
}

// Guards against writing the rest of a long body in place of the next request
// when the server responds before it has read the whole body.
func TestEarlyAnswerToALongBody(t *testing.T) {
	s := newConnServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 413 Too Large\r\nX-Id: "+req.Header.Get("X-Id")+"\r\nContent-Length: 0\r\n\r\n")
		n, _ := io.Copy(io.Discard, req.Body) // the body is read only after the response
		if n > 0 && n < 8<<20 {
			return // the connection was closed in the middle of the body
		}
		if b, err := br.Peek(1); err == nil {
			t.Errorf("byte %q follows the body", b)
		}
	})
	c := New(Config{})
	defer c.Close()
	long := opaque("r1")
	long.Body = []byte(strings.Repeat("x", 8<<20))
	if status, _, err := forward(t, c, s.ln.Addr().String(), long); err != nil || status != 413 {
		t.Fatalf("status %d, %v", status, err)
	}
	if _, _, err := forward(t, c, s.ln.Addr().String(), opaque("r2")); err != nil && !errors.Is(err, io.EOF) && s.conns.Load() < 2 {
		t.Errorf("the next request shared the connection: %v", err)
	}
}

// Guards against a server that counts as crashed although it accepts connections, or because
// the attempt took too long, and against a crashed server that counts as up because a proxy
// accepts connections for it.
func TestAccepts(t *testing.T) {
	hold := make(chan struct{})
	defer close(hold)
	s := newConnServer(t, func(int, net.Conn, *bufio.Reader) { <-hold })
	greets := newConnServer(t, func(_ int, nc net.Conn, _ *bufio.Reader) { _, _ = nc.Write([]byte("x")); <-hold })
	ends := newConnServer(t, func(int, net.Conn, *bufio.Reader) {})
	resets := newConnServer(t, func(_ int, nc net.Conn, _ *bufio.Reader) { _ = nc.(*net.TCPConn).SetLinger(0) })
	closed := newConnServer(t, func(int, net.Conn, *bufio.Reader) {})
	_ = closed.ln.Close()
	c := New(Config{})
	defer c.Close()
	slow := New(Config{DialTimeout: time.Millisecond, Dial: func(ctx context.Context, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}})
	defer slow.Close()
	for _, x := range []struct {
		name string
		c    *Client
		addr string
		want bool
	}{
		{"listening", c, s.ln.Addr().String(), true},
		{"sends first", c, greets.ln.Addr().String(), true},
		{"behind a proxy that ends connections", c, ends.ln.Addr().String(), false},
		{"behind a proxy that resets connections", c, resets.ln.Addr().String(), false},
		{"closed", c, closed.ln.Addr().String(), false},
		{"unknown in time", slow, closed.ln.Addr().String(), true},
	} {
		if got := x.c.Accepts(context.Background(), x.addr); got != x.want {
			t.Errorf("%s: %v, want %v", x.name, got, x.want)
		}
	}
}
