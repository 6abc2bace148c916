package proxy

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
)

// meters are the metrics of the request path.
type meters struct {
	requests, attempts, fetched metric.Int64Counter
	first, whole, pause         metric.Float64Histogram
}

// latencies are the buckets of the histograms, in seconds.
var latencies = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.6, 1, 2, 4, 8}

func newMeters(m metric.Meter) (*meters, error) {
	if m == nil {
		m = noop.Meter{}
	}
	out := &meters{}
	for _, c := range []struct {
		to         *metric.Int64Counter
		name, text string
	}{
		{&out.requests, "requests", "requests by route, outcome and reason"},
		{&out.attempts, "attempts", "sends to backend servers by service and outcome"},
		{&out.fetched, "fetched.tokens", "prompt tokens that servers were told to fetch from others"},
	} {
		var err error
		if *c.to, err = m.Int64Counter(c.name, metric.WithDescription(c.text)); err != nil {
			return nil, Error.Wrap(err)
		}
	}
	for _, h := range []struct {
		to         *metric.Float64Histogram
		name, text string
	}{
		{&out.first, "first.byte", "time from sending to the first byte of the answer"},
		{&out.whole, "request.time", "time from arrival to the end of the answer"},
		{&out.pause, "event.pause", "longest pause between events of a stream"},
	} {
		var err error
		*h.to, err = m.Float64Histogram(h.name, metric.WithDescription(h.text), metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(latencies...))
		if err != nil {
			return nil, Error.Wrap(err)
		}
	}
	return out, nil
}

func (m *meters) request(route, outcome, reason string, took time.Duration) {
	set := metric.WithAttributeSet(attribute.NewSet(
		attribute.String("route", route), attribute.String("outcome", outcome), attribute.String("reason", reason),
	))
	m.requests.Add(context.Background(), 1, set)
	m.whole.Record(context.Background(), took.Seconds(), metric.WithAttributeSet(attribute.NewSet(attribute.String("outcome", outcome))))
}

func (m *meters) attempt(t *trial, outcome string) {
	service := attribute.String("service", t.server.Service)
	m.attempts.Add(context.Background(), 1, metric.WithAttributeSet(attribute.NewSet(service, attribute.String("outcome", outcome))))
	only := metric.WithAttributeSet(attribute.NewSet(service))
	if t.took > 0 {
		m.first.Record(context.Background(), t.took.Seconds(), only)
	}
	if t.pause > 0 {
		m.pause.Record(context.Background(), t.pause.Seconds(), only)
	}
	if n := t.choice.FetchTokens; n > 0 {
		m.fetched.Add(context.Background(), int64(n), only)
	}
}
