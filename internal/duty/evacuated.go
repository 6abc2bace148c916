package duty

import (
	"slices"

	"cranberrypath.example/cranberrypath/internal/roster"
	"cranberrypath.example/cranberrypath/internal/routes"
)

// withoutEvacuated returns what can be ordered and what serves while some data centres are
// evacuated: their backend servers count as absent, and no order is sent for them. What was
// ordered there before stands, so that the servers are there when the evacuation is revoked.
func (r *Runner) withoutEvacuated(services []routes.Service, servers []roster.Server) ([]routes.Service, []roster.Server) {
	if r.cfg.Evacuated == nil {
		return services, servers
	}
	evacuated := r.cfg.Evacuated()
	if len(evacuated) == 0 {
		return services, servers
	}
	services, servers = slices.Clone(services), slices.Clone(servers)
	for i := range services {
		if services[i].Scaling == nil {
			continue
		}
		scaling := *services[i].Scaling
		scaling.Prices = make(map[string]float64, len(services[i].Scaling.Prices))
		for dataCentre, price := range services[i].Scaling.Prices {
			if !slices.Contains(evacuated, dataCentre) {
				scaling.Prices[dataCentre] = price
			}
		}
		services[i].Scaling = &scaling
	}
	return services, slices.DeleteFunc(servers, func(s roster.Server) bool { return slices.Contains(evacuated, s.DataCentre) })
}
