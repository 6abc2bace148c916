package edge

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// registerGauges registers gauges for the state of the instance.
func (e *Edge) registerGauges(m metric.Meter) error {
	version, err := m.Int64ObservableGauge("config.version", metric.WithDescription("version of the configuration in force here"))
	if err != nil {
		return Error.Wrap(err)
	}
	term, err := m.Int64ObservableGauge("leader.term", metric.WithDescription("term that this instance leads, 0 if it does not"))
	if err != nil {
		return Error.Wrap(err)
	}
	contactAge, err := m.Float64ObservableGauge("leader.contact.age", metric.WithDescription("time since the leader answered"), metric.WithUnit("s"))
	if err != nil {
		return Error.Wrap(err)
	}
	instances, err := m.Int64ObservableGauge("instances", metric.WithDescription("instances that take requests, as known here"))
	if err != nil {
		return Error.Wrap(err)
	}
	servers, err := m.Int64ObservableGauge("servers", metric.WithDescription("backend servers by service and state"))
	if err != nil {
		return Error.Wrap(err)
	}
	cold, err := m.Int64ObservableGauge("servers.cold", metric.WithDescription("backend servers by service that count as cold"))
	if err != nil {
		return Error.Wrap(err)
	}
	quota, err := m.Float64ObservableGauge("quota.level", metric.WithDescription("what organisations have left of their rate"))
	if err != nil {
		return Error.Wrap(err)
	}
	evacuated, err := m.Int64ObservableGauge("evacuated", metric.WithDescription("1 for each data centre whose servers get no new requests from here"))
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
			o.ObserveFloat64(contactAge, now.Sub(last).Seconds())
		}
		o.ObserveInt64(instances, int64(e.readyInstances()))
		for key, n := range e.serverCounts() {
			o.ObserveInt64(servers, int64(n), metric.WithAttributes(
				attribute.String("service", key.service), attribute.String("state", key.state)))
		}
		for service, n := range e.coldServers(now) {
			o.ObserveInt64(cold, int64(n), metric.WithAttributes(attribute.String("service", service)))
		}
		for _, name := range e.organisationNames() {
			o.ObserveFloat64(quota, e.quota.Level(name, now), metric.WithAttributes(attribute.String("organisation", name)))
		}
		for _, name := range e.evacuatedDataCentres() {
			o.ObserveInt64(evacuated, 1, metric.WithAttributes(attribute.String("dataCentre", name)))
		}
		return nil
	}, version, term, contactAge, instances, servers, cold, quota, evacuated)
	return Error.Wrap(err)
}

func (e *Edge) readyInstances() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, x := range e.instances {
		if x.Ready {
			n++
		}
	}
	return n
}

// coldServers returns the number of cold servers of each service that has a rate for them.
func (e *Edge) coldServers(now time.Time) map[string]int {
	c, out := e.proxy.Config(), map[string]int{}
	if c == nil {
		return out
	}
	for _, s := range e.roster.Present() {
		if limitsCold(c, s.Service) && s.Cold(now) {
			out[s.Service]++
		}
	}
	return out
}

type serverCountKey struct{ service, state string }

func (e *Edge) serverCounts() map[serverCountKey]int {
	out := map[serverCountKey]int{}
	for _, s := range e.roster.Present() {
		out[serverCountKey{s.Service, s.State.String()}]++
	}
	return out
}
