package proxy

import "slices"

// Places is what is known of the data centres of backend servers. Values are immutable.
type Places struct {
	// Evacuated are the data centres whose servers get no new requests.
	Evacuated []string
	// Regions are the regions of the data centres.
	Regions map[string]string
}

func (p Places) evacuated(dataCentre string) bool { return slices.Contains(p.Evacuated, dataCentre) }

// SetPlaces replaces what is known of the data centres, from the next SetServers on.
func (p *Proxy) SetPlaces(places Places) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.places = places
}
