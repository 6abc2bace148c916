package proxy

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
)

// requestMetrics holds the metrics of the request path.
type requestMetrics struct {
	requests, attempts, fetched, holdOffs, kinds, overloads metric.Int64Counter
	firstByte, duration, eventGap                           metric.Float64Histogram
}

// latencyBuckets are the histogram bucket boundaries in seconds.
var latencyBuckets = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.6, 1, 2, 4, 8}

func newRequestMetrics(m metric.Meter) (*requestMetrics, error) {
	if m == nil {
		m = noop.Meter{}
	}
	out := &requestMetrics{}
	for _, c := range []struct {
		dst               *metric.Int64Counter
		name, description string
	}{
		{&out.requests, "requests", "requests by route, outcome and reason"},
		{&out.attempts, "attempts", "sends to backend servers by service and outcome"},
		{&out.fetched, "fetched.tokens", "prompt tokens that servers were told to fetch from others"},
		{&out.kinds, "first.bytes", "first bytes by service, kind of request and whether within the route's target, of servers that state their pace"},
		{&out.holdOffs, "hold.offs", "times that a backend server wanted no requests for some time, by service"},
		{&out.overloads, "overload.refused", "requests refused because a service has more work than it can do in time, by service, organisation and reason"},
	} {
		var err error
		if *c.dst, err = m.Int64Counter(c.name, metric.WithDescription(c.description)); err != nil {
			return nil, Error.Wrap(err)
		}
	}
	for _, h := range []struct {
		dst               *metric.Float64Histogram
		name, description string
	}{
		{&out.firstByte, "first.byte", "time from sending to the first byte of the answer"},
		{&out.duration, "request.time", "time from arrival to the end of the answer"},
		{&out.eventGap, "event.pause", "longest pause between events of a stream"},
	} {
		var err error
		*h.dst, err = m.Float64Histogram(h.name, metric.WithDescription(h.description), metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(latencyBuckets...))
		if err != nil {
			return nil, Error.Wrap(err)
		}
	}
	return out, nil
}

func (m *requestMetrics) recordRequest(route, outcome, reason string, duration time.Duration) {
	opts := metric.WithAttributeSet(attribute.NewSet(
		attribute.String("route", route), attribute.String("outcome", outcome), attribute.String("reason", reason),
	))
	m.requests.Add(context.Background(), 1, opts)
	m.duration.Record(context.Background(), duration.Seconds(), metric.WithAttributeSet(attribute.NewSet(attribute.String("outcome", outcome))))
}

func (m *requestMetrics) recordHoldOff(service string) {
	m.holdOffs.Add(context.Background(), 1, metric.WithAttributeSet(attribute.NewSet(attribute.String("service", service))))
}

// recordKind counts the first byte of a response of a server that states its pace.
func (m *requestMetrics) recordKind(t *attemptState, now time.Time) {
	target := t.req.route.LatencyTarget
	if t.choice.Reason.Pace == 0 || target <= 0 {
		return
	}
	m.kinds.Add(context.Background(), 1, metric.WithAttributeSet(attribute.NewSet(
		attribute.String("service", t.server.Service), attribute.String("kind", t.choice.Cost.Class.String()),
		attribute.Bool("inTarget", now.Sub(t.req.r.Arrived) <= target),
	)))
}

func (m *requestMetrics) recordOverload(service, organisation, reason string) {
	m.overloads.Add(context.Background(), 1, metric.WithAttributeSet(attribute.NewSet(
		attribute.String("service", service), attribute.String("organisation", organisation), attribute.String("reason", reason),
	)))
}

func (m *requestMetrics) recordAttempt(t *attemptState, outcome string) {
	service := attribute.String("service", t.server.Service)
	m.attempts.Add(context.Background(), 1, metric.WithAttributeSet(attribute.NewSet(service, attribute.String("outcome", outcome))))
	serviceOpts := metric.WithAttributeSet(attribute.NewSet(service))
	if t.timeToFirstByte > 0 {
		m.firstByte.Record(context.Background(), t.timeToFirstByte.Seconds(), serviceOpts)
	}
	if t.maxEventGap > 0 {
		m.eventGap.Record(context.Background(), t.maxEventGap.Seconds(), serviceOpts)
	}
	if n := t.choice.FetchTokens; n > 0 {
		m.fetched.Add(context.Background(), int64(n), serviceOpts)
	}
}
