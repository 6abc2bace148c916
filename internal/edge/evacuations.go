package edge

import (
	"context"
	"maps"
	"slices"

	"github.com/apex/log"

	"cranberrypath.example/cranberrypath/internal/coord"
	"cranberrypath.example/cranberrypath/internal/proxy"
)

// OrderEvacuation records an order that the backend servers of a data centre get no new
// requests, or with active false that they do again. It returns nil once that is durable.
func (e *Edge) OrderEvacuation(ctx context.Context, dataCentre string, active bool, o coord.Origin) error {
	received := e.cfg.Clock()
	err := e.coord.OrderEvacuation(ctx, dataCentre, active, o)
	l := e.cfg.Log.WithFields(log.Fields{
		"event": "evacuation.ordered", "dataCentre": dataCentre, "active": active, "tookMs": e.cfg.Clock().Sub(received).Milliseconds(),
	})
	if err != nil {
		l.WithError(err).Warn("the order is not acknowledged")
		return err
	}
	l.Info("the order is durable")
	return nil
}

// KnowsDataCentre reports whether an instance or a backend server is in the data centre.
func (e *Edge) KnowsDataCentre(name string) bool {
	if name == "" {
		return false
	}
	e.mu.Lock()
	_, ok := e.regions[name]
	ok = ok || e.evacuations.Contains(name)
	e.mu.Unlock()
	if ok {
		return true
	}
	for _, s := range e.roster.Present() {
		if s.DataCentre == name {
			return true
		}
	}
	return false
}

// setPlaces applies what a leader's answer says of the data centres, for the next copy of the
// roster to the request path. It reports whether that changes anything.
func (e *Edge) setPlaces(v coord.View) bool {
	e.mu.Lock()
	evacuated := v.Evacuations.Version > 0 && !slices.Equal(v.Evacuations.DataCentres, e.evacuations.DataCentres)
	changed := evacuated
	if v.Evacuations.Version > 0 {
		e.evacuations = v.Evacuations
	}
	if v.Instances != nil {
		regions := regionsAfter(e.regions, v.Instances)
		changed = changed || !maps.Equal(regions, e.regions)
		e.regions = regions
	}
	places := proxy.Places{Evacuated: e.evacuations.DataCentres, Regions: e.regions}
	e.mu.Unlock()
	if !changed {
		return false
	}
	e.proxy.SetPlaces(places)
	if evacuated {
		e.cfg.Log.WithFields(log.Fields{
			"event": "evacuation.applied", "dataCentres": places.Evacuated, "count": len(places.Evacuated), "version": v.Evacuations.Version,
		}).Info("the servers of these data centres get no new requests")
	}
	return true
}

// regionsAfter returns the regions of the data centres after a new list of instances. Those of
// data centres whose instances have ended are kept, as their servers may still run. Instances
// that state no region change none. Of those that contradict each other the first one counts.
func regionsAfter(known map[string]string, instances []coord.Instance) map[string]string {
	out := maps.Clone(known)
	if out == nil {
		out = map[string]string{}
	}
	for _, inst := range slices.Backward(instances) {
		if _, ok := out[inst.DataCentre]; inst.DataCentre != "" && (inst.Region != "" || !ok) {
			out[inst.DataCentre] = inst.Region
		}
	}
	return out
}

// evacuatedDataCentres returns the data centres that are evacuated as far as this instance knows.
func (e *Edge) evacuatedDataCentres() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.evacuations.DataCentres
}

// Evacuations returns the last order of each data centre that was ever evacuated, from the
// durable state.
func (e *Edge) Evacuations(ctx context.Context) ([]coord.Evacuation, error) {
	state, err := e.coord.Read(ctx)
	return state.Evacuations, err
}

// WasEvacuated reports whether the durable state has an order for a data centre, which may be
// revoked. A revocation that is repeated after a lost response finds itself.
func (e *Edge) WasEvacuated(ctx context.Context, dataCentre string) (bool, error) {
	all, err := e.Evacuations(ctx)
	return slices.ContainsFunc(all, func(o coord.Evacuation) bool { return o.DataCentre == dataCentre }), err
}
