package edge

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// observe registers what a scrape reads of the instance's state.
func (e *Edge) observe(m metric.Meter) error {
	version, err := m.Int64ObservableGauge("config.version", metric.WithDescription("version of the configuration in force here"))
	if err != nil {
		return Error.Wrap(err)
	}
	term, err := m.Int64ObservableGauge("leader.term", metric.WithDescription("term that this instance leads, 0 if it does not"))
	if err != nil {
		return Error.Wrap(err)
	}
	contact, err := m.Float64ObservableGauge("leader.contact.age", metric.WithDescription("time since the leader answered"), metric.WithUnit("s"))
	if err != nil {
		return Error.Wrap(err)
	}
	nodes, err := m.Int64ObservableGauge("instances", metric.WithDescription("instances that take requests, as known here"))
	if err != nil {
		return Error.Wrap(err)
	}
	servers, err := m.Int64ObservableGauge("servers", metric.WithDescription("backend servers by service and state"))
	if err != nil {
		return Error.Wrap(err)
	}
	quota, err := m.Float64ObservableGauge("quota.level", metric.WithDescription("what organisations have left of their rate"))
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = m.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		now := e.cfg.Clock()
		if c := e.proxy.Config(); c != nil {
			o.ObserveInt64(version, int64(c.Version))
		}
		lead, _ := e.coord.Leads(now)
		o.ObserveInt64(term, int64(lead.Term))
		if last := e.coord.LastContact(); !last.IsZero() {
			o.ObserveFloat64(contact, now.Sub(last).Seconds())
		}
		o.ObserveInt64(nodes, int64(e.readyNodes()))
		for key, n := range e.serverCounts() {
			o.ObserveInt64(servers, int64(n), metric.WithAttributes(
				attribute.String("service", key.service), attribute.String("state", key.state)))
		}
		for _, name := range e.organisations() {
			o.ObserveFloat64(quota, e.quota.Level(name, now), metric.WithAttributes(attribute.String("organisation", name)))
		}
		return nil
	}, version, term, contact, nodes, servers, quota)
	return Error.Wrap(err)
}

func (e *Edge) readyNodes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, x := range e.nodes {
		if x.Ready {
			n++
		}
	}
	return n
}

type serverKey struct{ service, state string }

func (e *Edge) serverCounts() map[serverKey]int {
	out := map[serverKey]int{}
	for _, s := range e.roster.Present() {
		out[serverKey{s.Service, s.State.String()}]++
	}
	return out
}
