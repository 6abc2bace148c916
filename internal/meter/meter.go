// Package meter gives a process its OpenTelemetry metrics and the page that a
// Prometheus server scrapes.
package meter

import (
	"net"
	"net/http"

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
)

// Error is the class of this package's errors.
var Error = errs.Class("meter")

// Meters holds the metrics of one process.
type Meters struct {
	metric.Meter
	page http.Handler
	stop func() error
}

// New returns meters labelled with the node and data centre.
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
		Meter: provider.Meter("cranberrypath"),
		page:  promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
	}, nil
}

// Serve answers scrapes at /metrics on addr until Close.
func (m *Meters) Serve(addr string) (net.Addr, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	page := fasthttpadaptor.NewFastHTTPHandler(m.page)
	s := &fasthttp.Server{
		Name: "cranberrypath", MaxRequestBodySize: 1 << 10, Concurrency: 16,
		Handler: func(ctx *fasthttp.RequestCtx) {
			if string(ctx.Path()) != "/metrics" {
				ctx.Error("the metrics are at /metrics", fasthttp.StatusNotFound)
				return
			}
			page(ctx)
		},
	}
	m.stop = s.Shutdown
	go func() { _ = s.Serve(ln) }()
	return ln.Addr(), nil
}

// Close stops the listener.
func (m *Meters) Close() error {
	if m.stop == nil {
		return nil
	}
	return Error.Wrap(m.stop())
}
