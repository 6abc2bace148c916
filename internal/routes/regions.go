package routes

import (
	"maps"
	"slices"
)

// RegionsFor returns the regions whose backend servers may run a request of an organisation,
// which may be nil. Both the route and the organisation have to allow a region. Nil means any.
func (r *Route) RegionsFor(o *Organisation) []string {
	switch {
	case len(r.Regions) == 0 && (o == nil || len(o.Regions) == 0):
		return nil
	case len(r.Regions) == 0:
		return o.Regions
	case o == nil || len(o.Regions) == 0:
		return r.Regions
	}
	both := []string{}
	for _, region := range r.Regions {
		if slices.Contains(o.Regions, region) {
			both = append(both, region)
		}
	}
	return both
}

// Homes returns the regions in which some request may run, sorted. Nil means any, also if no
// request may run at all: a new configuration has no routes yet.
func (c *Config) Homes() []string {
	homes := map[string]bool{}
	for i := range c.Routes {
		r := &c.Routes[i]
		senders := []*Organisation{}
		if r.Anonymous || !c.HasOrganisations() {
			senders = append(senders, nil)
		}
		for j := range c.Organisations {
			senders = append(senders, &c.Organisations[j])
		}
		for _, o := range senders {
			regions := r.RegionsFor(o)
			if regions == nil {
				return nil
			}
			for _, region := range regions {
				homes[region] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(homes))
}
