package entry

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// server is the callers' listener. Its limits prevent a caller from using more
// resources than the settings allow.
type server struct {
	http     *fasthttp.Server
	ln       *connTracker
	draining atomic.Bool
	stopAt   atomic.Int64 // when a planned stop ends the responses, Unix time in ns; 0 without one
	done     chan struct{}
	err      error
	once     sync.Once
}

// listen opens the callers' listener, sets e.server and serves connections until shutdown.
func (e *Entry) listen() error {
	l := e.cfg.Settings.Limits
	ln, err := net.Listen("tcp", e.cfg.Settings.Listen.Callers)
	if err != nil {
		return Error.Wrap(err)
	}
	s := &server{ln: &connTracker{Listener: ln}, done: make(chan struct{})}
	s.http = &fasthttp.Server{
		Name:               "cranberrypath",
		Handler:            e.handle,
		ErrorHandler:       writeProtocolError,
		ReadBufferSize:     l.HeaderBytes,
		MaxRequestBodySize: l.BodyBytes,
		IdleTimeout:        seconds(l.IdleSeconds),
		ReadTimeout:        seconds(l.ReadSeconds),
		Concurrency:        l.Connections,
		// The handler reads the body as it arrives, because fasthttp would
		// allocate the whole body as soon as its length is announced.
		StreamRequestBody:     true,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                discardLogger{},
	}
	e.server = s // before the first request arrives
	e.serveWG.Go(func() {
		defer close(s.done)
		s.err = s.http.Serve(&writeTimeoutListener{s.ln})
	})
	return nil
}

const (
	// maxBodyMemoryBytes limits the bodies of all requests being read or
	// served.
	maxBodyMemoryBytes = 256 << 20
	bodyChunkBytes     = 32 << 10
	// writeTimeout is how long a write may block because the caller does not
	// read. Such a caller must not hold its connection, or delay a planned
	// stop, for ever.
	writeTimeout = time.Minute
)

// writeTimeoutListener sets a deadline for each write to a caller's connection.
// The timeout of fasthttp applies to a whole response and would cut off long
// streams.
type writeTimeoutListener struct{ net.Listener }

func (l *writeTimeoutListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &writeTimeoutConn{c}, nil
}

type writeTimeoutConn struct{ net.Conn }

func (c *writeTimeoutConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// bodyMemory counts the bytes of request bodies in memory.
type bodyMemory struct{ used atomic.Int64 }

// readBody reads the body of a request. release must be called when the request
// has been served; it frees the body's share of the memory limit.
func (e *Entry) readBody(ctx *fasthttp.RequestCtx) (body []byte, release func(), f *failure) {
	limit, allocated := e.cfg.Settings.Limits.BodyBytes, int64(0)
	release = func() { e.bodyMemory.used.Add(-allocated) }
	if ctx.Request.Header.ContentLength() > limit {
		return nil, release, bodyTooLarge()
	}
	in := ctx.RequestBodyStream()
	if in == nil {
		return ctx.PostBody(), release, nil
	}
	_ = ctx.Conn().SetReadDeadline(time.Now().Add(seconds(e.cfg.Settings.Limits.ReadSeconds)))
	defer func() { _ = ctx.Conn().SetReadDeadline(time.Time{}) }()
	for {
		if len(body) == cap(body) {
			grow := int64(max(cap(body), bodyChunkBytes))
			allocated += grow
			if e.bodyMemory.used.Add(grow) > maxBodyMemoryBytes {
				return nil, release, unavailable("noCapacity", "this instance has no memory for the body")
			}
			body = append(make([]byte, 0, int64(cap(body))+grow), body...)
		}
		n, err := in.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > limit:
			return nil, release, bodyTooLarge()
		case errors.Is(err, io.EOF):
			return body, release, nil
		case err != nil:
			return nil, release, protocolFailure(err)
		}
	}
}

func bodyTooLarge() *failure {
	f := badRequest("bodyTooLarge", "the body is too large")
	f.status = fasthttp.StatusRequestEntityTooLarge
	return f
}

// stop refuses new connections and waits for the open ones to finish.
func (s *server) stop(ctx context.Context) error {
	var err error
	s.once.Do(func() { err = s.http.ShutdownWithContext(ctx) })
	// fasthttp does not know the listener before Serve has started.
	_ = s.ln.Close()
	return Error.Wrap(err)
}

func seconds(n int) time.Duration { return time.Duration(n) * time.Second }

// discardLogger drops the log lines of fasthttp, which report protocol errors
// of callers. The caller learns of them from its response.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// writeProtocolError responds to a request that could not be read.
func writeProtocolError(ctx *fasthttp.RequestCtx, err error) {
	protocolFailure(err).write(ctx)
	ctx.SetConnectionClose()
}

func protocolFailure(err error) *failure {
	f := badRequest("badHeader", "the request could not be read: "+err.Error())
	var smallBuffer *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.As(err, &smallBuffer):
		f.status, f.code, f.message = fasthttp.StatusRequestHeaderFieldsTooLarge, "headersTooLarge", "the request line and headers are too large"
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return bodyTooLarge()
	case errors.As(err, &timeout) && timeout.Timeout():
		f.status, f.code, f.message = fasthttp.StatusRequestTimeout, "badHeader", "the request did not arrive in time"
	}
	return f
}
