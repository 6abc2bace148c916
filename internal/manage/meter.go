package manage

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
)

// controllerMetrics holds the metrics of the controllers.
type controllerMetrics struct {
	steps, ended, verdicts, purchases, refusals, orders metric.Int64Counter
	missing, overdue, instances                         metric.Int64Gauge
}

func newControllerMetrics(m metric.Meter) (*controllerMetrics, error) {
	if m == nil {
		m = noop.Meter{}
	}
	out := &controllerMetrics{}
	for _, c := range []struct {
		target            *metric.Int64Counter
		name, description string
	}{
		{&out.steps, "move_shares", "changes of the share of a version move"},
		{&out.ended, "moves_ended", "version moves by outcome"},
		{&out.verdicts, "move_verdicts", "changes of the verdict on a new version"},
		{&out.purchases, "fleet_purchases", "instances that the cloud started"},
		{&out.refusals, "fleet_refusals", "starts that the cloud refused"},
		{&out.orders, "fleet_orders", "orders to backend servers by kind and outcome"},
	} {
		var err error
		if *c.target, err = m.Int64Counter(c.name, metric.WithDescription(c.description)); err != nil {
			return nil, Error.Wrap(err)
		}
	}
	for _, g := range []struct {
		target            *metric.Int64Gauge
		name, description string
	}{
		{&out.missing, "fleet_missing_instances", "instances that the headroom lacks and that no place offers"},
		{&out.overdue, "fleet_overdue_cleanings", "backend servers whose weekly cleaning is late"},
		{&out.instances, "fleet_instances", "recorded instances"},
	} {
		var err error
		if *g.target, err = m.Int64Gauge(g.name, metric.WithDescription(g.description)); err != nil {
			return nil, Error.Wrap(err)
		}
	}
	return out, nil
}

// countOne increments a counter; pairs are keys and values of its attributes.
func countOne(ctx context.Context, c metric.Int64Counter, pairs ...string) {
	var attrs []attribute.KeyValue
	for i := 0; i+1 < len(pairs); i += 2 {
		attrs = append(attrs, attribute.String(pairs[i], pairs[i+1]))
	}
	c.Add(ctx, 1, metric.WithAttributes(attrs...))
}
