package entry

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"cranberrypath.example/cranberrypath/internal/guard"
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
	ln, err := e.cfg.Guard.Listen(e.cfg.Settings.Listen.Callers, guard.ForMemory(e.cfg.Settings.MemoryBytes(), l.Connections).Conns)
	if err != nil {
		return Error.Wrap(err)
	}
	s := &server{ln: &connTracker{Listener: ln}, done: make(chan struct{})}
	s.http = &fasthttp.Server{
		Name:                  "cranberrypath",
		Handler:               e.handle,
		ErrorHandler:          writeProtocolError,
		ReadBufferSize:        l.HeaderBytes,
		MaxRequestBodySize:    l.BodyBytes,
		IdleTimeout:           seconds(l.IdleSeconds),
		ReadTimeout:           seconds(l.ReadSeconds),
		Concurrency:           l.Connections,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                discardLogger{},
	}
	guard.BoundFast(s.http)
	e.server = s // before the first request arrives
	e.serveWG.Go(func() {
		defer close(s.done)
		s.err = s.http.Serve(s.ln)
	})
	return nil
}

// readBody reads the body of a request. The caller must release it when the request has been
// served.
func (e *Entry) readBody(ctx *fasthttp.RequestCtx) (*guard.Received, *failure) {
	l := e.cfg.Settings.Limits
	body, err := e.cfg.Guard.ReadFast(ctx, l.BodyBytes, time.Now().Add(seconds(l.ReadSeconds)))
	if err != nil {
		return nil, protocolFailure(err)
	}
	return body, nil
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
	case guard.ErrTooLarge.Has(err):
		return bodyTooLarge()
	case guard.ErrFull.Has(err):
		return unavailable("noCapacity", "this instance has no memory for the body")
	case guard.ErrTooSlow.Has(err):
		f.status, f.message = fasthttp.StatusRequestTimeout, "the body did not arrive in time"
	case errors.As(err, &smallBuffer):
		f.status, f.code, f.message = fasthttp.StatusRequestHeaderFieldsTooLarge, "headersTooLarge", "the request line and headers are too large"
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return bodyTooLarge()
	case errors.As(err, &timeout) && timeout.Timeout():
		f.status, f.code, f.message = fasthttp.StatusRequestTimeout, "badHeader", "the request did not arrive in time"
	}
	return f
}
