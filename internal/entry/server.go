package entry

import (
	"context"
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
		Logger:                quietLogger{},
	}
	e.wg.Go(func() {
		defer close(s.done)
		s.err = s.http.Serve(s.ln)
	})
	return s, nil
}

// stop refuses new connections and waits until the open ones have finished.
func (s *server) stop(ctx context.Context) error {
	var err error
	s.once.Do(func() { err = s.http.ShutdownWithContext(ctx) })
	return Error.Wrap(err)
}

func seconds(n int) time.Duration { return time.Duration(n) * time.Second }

// quietLogger drops fasthttp's own lines: they name protocol errors of callers,
// which the caller learns from its response.
type quietLogger struct{}

func (quietLogger) Printf(string, ...any) {}

// writeProtocolError answers a request that could not be read.
func writeProtocolError(ctx *fasthttp.RequestCtx, err error) {
	f := badRequest("badHeader", "the request could not be read: "+err.Error())
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case isError(err, &small):
		f.status, f.code, f.message = fasthttp.StatusRequestHeaderFieldsTooLarge, "headersTooLarge", "the request line and headers are too large"
	case err == fasthttp.ErrBodyTooLarge:
		f.status, f.code, f.message = fasthttp.StatusRequestEntityTooLarge, "bodyTooLarge", "the body is too large"
	case isError(err, &timeout) && timeout.Timeout():
		f.status, f.code, f.message = fasthttp.StatusRequestTimeout, "badHeader", "the request did not arrive in time"
	}
	f.write(ctx)
	ctx.SetConnectionClose()
}
