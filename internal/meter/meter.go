// Package meter provides the OpenTelemetry metrics of a process and the HTTP
// endpoint from which Prometheus scrapes them.
package meter

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"github.com/zeebo/errs"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/resource"

	"cranberrypath.example/cranberrypath/internal/guard"
)

// Error is the class of this package's errors.
var Error = errs.Class("meter")

const (
	// readTimeout and writeTimeout bound a request for the metrics.
	readTimeout  = 10 * time.Second
	writeTimeout = 10 * time.Second
	// maxConns bounds the connections. Those that send nothing are closed in favour of others,
	// so that strangers do not keep the metrics from being read.
	maxConns = 16
	// maxHeadBytes bounds what the heads of all requests take together beyond 4 KiB each.
	maxHeadBytes = 256 << 10
	// closeTimeout bounds how long Close waits for requests in progress. A connection that
	// sends half a request would otherwise keep the process from ending.
	closeTimeout = 200 * time.Millisecond
)

// Meters holds the metrics of a process.
type Meters struct {
	metric.Meter
	handler  http.Handler
	shutdown func(context.Context) error
	ln       net.Listener
}

// New returns metrics labelled with the node and data centre.
func New(node, dataCentre string) (*Meters, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(exporter), sdk.WithResource(resource.NewSchemaless(
		attribute.String("service.name", "cranberrypath"),
		attribute.String("node", node),
		attribute.String("dataCentre", dataCentre),
	)))
	return &Meters{
		Meter:   provider.Meter("cranberrypath"),
		handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
	}, nil
}

// Serve exposes the metrics at /metrics on addr until Close.
func (m *Meters) Serve(addr string) (net.Addr, error) {
	g, err := guard.New(guard.Config{Bytes: maxHeadBytes})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	ln, err := g.Listen(addr, maxConns)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	handler := fasthttpadaptor.NewFastHTTPHandler(m.handler)
	s := &fasthttp.Server{
		Name: "cranberrypath", MaxRequestBodySize: 1 << 10, Concurrency: 2 * maxConns, // with those being closed
		ReadTimeout: readTimeout, WriteTimeout: writeTimeout,
		Handler: func(ctx *fasthttp.RequestCtx) {
			if c := guard.Of(ctx.Conn()); c != nil {
				c.SetBusy()
			}
			if string(ctx.Path()) != "/metrics" {
				ctx.Error("the metrics are at /metrics", fasthttp.StatusNotFound)
				return
			}
			handler(ctx)
		},
	}
	guard.FollowFast(s)
	m.shutdown, m.ln = s.ShutdownWithContext, ln
	go func() { _ = s.Serve(ln) }()
	return ln.Addr(), nil
}

// Close stops the HTTP server. Requests in progress get closeTimeout to end.
func (m *Meters) Close() error {
	if m.shutdown == nil {
		return nil
	}
	_ = m.ln.Close() // fasthttp does not know the listener before Serve has started
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	err := m.shutdown(ctx)
	if errors.Is(err, net.ErrClosed) || errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return Error.Wrap(err)
}
