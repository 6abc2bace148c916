package manage

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
)

// meters holds the metrics of the controllers.
type meters struct {
	steps, ended, verdicts, purchases, refusals, orders metric.Int64Counter
	missing, overdue, instances                         metric.Int64Gauge
}

func newMeters(m metric.Meter) (*meters, error) {
	if m == nil {
		m = noop.Meter{}
	}
	out := &meters{}
	for _, c := range []struct {
		to         *metric.Int64Counter
		name, text string
	}{
		{&out.steps, "move_shares", "changes of the share of a version move"},
		{&out.ended, "moves_ended", "version moves by outcome"},
		{&out.verdicts, "move_verdicts", "changes of the verdict on a new version"},
		{&out.purchases, "fleet_purchases", "instances that the cloud started"},
		{&out.refusals, "fleet_refusals", "starts that the cloud refused"},
		{&out.orders, "fleet_orders", "orders to backend servers by kind and outcome"},
	} {
		var err error
		if *c.to, err = m.Int64Counter(c.name, metric.WithDescription(c.text)); err != nil {
			return nil, Error.Wrap(err)
		}
	}
	for _, g := range []struct {
		to         *metric.Int64Gauge
		name, text string
	}{
		{&out.missing, "fleet_missing_instances", "instances that the headroom lacks and that no place offers"},
		{&out.overdue, "fleet_overdue_cleanings", "backend servers whose weekly cleaning is late"},
		{&out.instances, "fleet_instances", "recorded instances"},
	} {
		var err error
		if *g.to, err = m.Int64Gauge(g.name, metric.WithDescription(g.text)); err != nil {
			return nil, Error.Wrap(err)
		}
	}
	return out, nil
}

// count adds one to a counter; pairs are keys and values of its attributes.
func count(ctx context.Context, c metric.Int64Counter, pairs ...string) {
	var attrs []attribute.KeyValue
	for i := 0; i+1 < len(pairs); i += 2 {
		attrs = append(attrs, attribute.String(pairs[i], pairs[i+1]))
	}
	c.Add(ctx, 1, metric.WithAttributes(attrs...))
}
