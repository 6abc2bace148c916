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

// server is the callers' listener. Its limits keep one caller from costing
// more than the settings allow.
type server struct {
	http     *fasthttp.Server
	ln       *connTracker
	draining atomic.Bool
	done     chan struct{}
	err      error
	once     sync.Once
}

// listen opens the callers' listener and serves it until shut down.
func (e *Entry) listen() (*server, error) {
	l := e.cfg.Settings.Limits
	ln, err := net.Listen("tcp", e.cfg.Settings.Listen.Callers)
	if err != nil {
		return nil, Error.Wrap(err)
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
		// A body is read in the handler as it arrives. fasthttp would reserve the
		// memory for a whole body as soon as its length is announced.
		StreamRequestBody:     true,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                quietLogger{},
	}
	e.wg.Go(func() {
		defer close(s.done)
		s.err = s.http.Serve(&patientListener{s.ln})
	})
	return s, nil
}

const (
	// bodiesBytes bounds the bodies of all requests that are being read or served.
	bodiesBytes = 256 << 20
	bodyChunk   = 32 << 10
	// writePatience is how long a caller may take nothing of its response. One
	// that stops reading must not hold its connection and a planned stop for ever.
	writePatience = time.Minute
)

// patientListener bounds each write to a caller's connection. fasthttp bounds a
// whole response, which would cut long streams.
type patientListener struct{ net.Listener }

func (l *patientListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &patientConn{c}, nil
}

type patientConn struct{ net.Conn }

func (c *patientConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writePatience)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// bodies counts the bytes of the bodies in memory.
type bodies struct{ used atomic.Int64 }

// readBody reads the body of a request. release gives its memory back; it is
// called when the request has been served.
func (e *Entry) readBody(ctx *fasthttp.RequestCtx) (body []byte, release func(), f *failure) {
	limit, taken := e.cfg.Settings.Limits.BodyBytes, int64(0)
	release = func() { e.bodies.used.Add(-taken) }
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
			grow := int64(max(cap(body), bodyChunk))
			taken += grow
			if e.bodies.used.Add(grow) > bodiesBytes {
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

// stop refuses new connections and waits until the open ones have finished.
func (s *server) stop(ctx context.Context) error {
	var err error
	s.once.Do(func() { err = s.http.ShutdownWithContext(ctx) })
	// fasthttp does not know the listener before Serve has begun.
	_ = s.ln.Close()
	return Error.Wrap(err)
}

func seconds(n int) time.Duration { return time.Duration(n) * time.Second }

// quietLogger drops fasthttp's own lines: they name protocol errors of callers,
// which the caller learns from its response.
type quietLogger struct{}

func (quietLogger) Printf(string, ...any) {}

// writeProtocolError answers a request that could not be read.
func writeProtocolError(ctx *fasthttp.RequestCtx, err error) {
	protocolFailure(err).write(ctx)
	ctx.SetConnectionClose()
}

func protocolFailure(err error) *failure {
	f := badRequest("badHeader", "the request could not be read: "+err.Error())
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.As(err, &small):
		f.status, f.code, f.message = fasthttp.StatusRequestHeaderFieldsTooLarge, "headersTooLarge", "the request line and headers are too large"
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return bodyTooLarge()
	case errors.As(err, &timeout) && timeout.Timeout():
		f.status, f.code, f.message = fasthttp.StatusRequestTimeout, "badHeader", "the request did not arrive in time"
	}
	return f
}
