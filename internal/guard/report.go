package guard

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
)

// measure registers the metrics.
func (g *Guard) measure() error {
	m := g.cfg.Meter
	if m == nil {
		m = noop.Meter{}
	}
	var err error
	if g.refusals, err = m.Int64Counter("callers.refused", metric.WithDescription("callers that have reached a bound, by bound")); err != nil {
		return Error.Wrap(err)
	}
	_, err = m.Int64ObservableGauge("callers.held", metric.WithUnit("By"), metric.WithDescription("memory for heads and bodies of callers"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(g.Used())
			return nil
		}))
	return Error.Wrap(err)
}

// Refuse records that a caller has reached a bound.
func (g *Guard) Refuse(b Bound) {
	g.refusals.Add(context.Background(), 1, metric.WithAttributes(attribute.String("bound", string(b))))
	g.refused.Add(1)
	if g.cfg.Log == nil {
		return
	}
	now, last := g.cfg.Clock().UnixNano(), g.loggedAt.Load()
	if now-last < int64(logInterval) || !g.loggedAt.CompareAndSwap(last, now) {
		return
	}
	g.cfg.Log.WithField("event", "caller.refused").WithField("bound", string(b)).WithField("callers", g.refused.Swap(0)).
		WithField("heldBytes", g.Used()).Warn("callers have reached a bound")
}
