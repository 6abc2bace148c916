package edge

import (
	"slices"
	"time"

	"cranberrypath.example/cranberrypath/internal/coord"
)

// maxAddresses is the maximum number of addresses that callers accept.
const maxAddresses = 64

// Addresses returns the addresses for callers in a data centre and how long they may be
// cached. It prefers instances in the same data centre, then in the same region, and
// returns at least two addresses if possible, to tolerate the loss of an instance. If all
// requests have homes, instances outside of these are returned only in the caller's region.
func (e *Edge) Addresses(dataCentre, region string) ([]string, time.Duration) {
	const minAddresses = 2
	e.mu.Lock()
	instances, homes := e.instances, e.homes
	e.mu.Unlock()
	suspect := e.coord.Suspect()
	allowed := func(n coord.Instance) bool {
		return homes == nil || n.Region == region || slices.Contains(homes, n.Region)
	}
	var addresses, sameRegion, otherRegions []string
	for _, n := range instances {
		switch {
		case n.ID == suspect: // unresponsive leader, which cannot report its own failure
		case !n.Ready || n.ID == e.self.ID && e.draining.Load():
		case !allowed(n):
		case n.DataCentre == dataCentre:
			addresses = append(addresses, n.CallerAddress)
		case n.Region == region:
			sameRegion = append(sameRegion, n.CallerAddress)
		default:
			otherRegions = append(otherRegions, n.CallerAddress)
		}
	}
	if len(addresses) < minAddresses {
		addresses = append(addresses, sameRegion...)
	}
	if len(addresses) < minAddresses {
		addresses = append(addresses, otherRegions...)
	}
	if len(addresses) == 0 && e.Ready() && allowed(e.self) {
		addresses = []string{e.cfg.CallerAddress}
	}
	return addresses[:min(len(addresses), maxAddresses)], e.cfg.AddressTTL
}
