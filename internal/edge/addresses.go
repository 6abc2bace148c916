package edge

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"cranberrypath.example/cranberrypath/internal/coord"
	"cranberrypath.example/cranberrypath/internal/spread"
)

const (
	// minAddresses is the number of addresses that callers get if possible, to tolerate the
	// loss of an instance.
	minAddresses = 2
	// maxAddresses is the maximum number of addresses that callers accept.
	maxAddresses = 64
)

// addressChoice chooses the addresses of each answer if the instances are uneven.
type addressChoice struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newAddressChoice(seed uint64) *addressChoice {
	return &addressChoice{rng: rand.New(rand.NewPCG(seed, 2))}
}

func (c *addressChoice) choose(capacities []float64) []int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return spread.Choose(capacities, minAddresses, maxAddresses, c.rng)
}

// Addresses returns the addresses for callers in a data centre and how long they may be
// cached. It prefers instances in the same data centre, then in the same region, and
// returns at least two addresses if possible, to tolerate the loss of an instance. If all
// requests have homes, instances outside of these are returned only in the caller's region.
func (e *Edge) Addresses(dataCentre, region string) ([]string, time.Duration) {
	e.mu.Lock()
	instances, homes := e.instances, e.homes
	e.mu.Unlock()
	suspect := e.coord.Suspect()
	allowed := func(n *coord.Instance) bool {
		return homes == nil || n.Region == region || slices.Contains(homes, n.Region)
	}
	var own, sameRegion, otherRegions []*coord.Instance
	for i := range instances {
		switch n := &instances[i]; {
		case n.ID == suspect: // unresponsive leader, which cannot report its own failure
		case !n.Ready || n.ID == e.self.ID && e.draining.Load():
		case !allowed(n):
		case n.DataCentre == dataCentre:
			own = append(own, n)
		case n.Region == region:
			sameRegion = append(sameRegion, n)
		default:
			otherRegions = append(otherRegions, n)
		}
	}
	addresses := e.chooseAddresses(own, sameRegion, otherRegions)
	if len(addresses) == 0 && e.Ready() && allowed(&e.self) {
		addresses = []string{e.cfg.CallerAddress}
	}
	return addresses[:min(len(addresses), maxAddresses)], e.cfg.AddressTTL
}

// chooseAddresses returns the addresses for a caller, given the instances in its data centre, in
// others of its region and elsewhere. Instances that are all alike are all named; of uneven
// ones those that can carry more are named more often.
func (e *Edge) chooseAddresses(own, sameRegion, otherRegions []*coord.Instance) []string {
	instances := own
	if len(instances) < minAddresses {
		instances = slices.Concat(instances, sameRegion)
	}
	if len(instances) < minAddresses {
		instances = slices.Concat(instances, otherRegions)
	}
	var addresses []string
	all := slices.Concat(own, sameRegion, otherRegions)
	if !spread.Uneven(capacitiesOf(all)) {
		for _, n := range instances {
			addresses = append(addresses, n.CallerAddress)
		}
		return addresses
	}
	capacities := capacitiesOf(instances)
	if len(own) >= minAddresses {
		if help := spread.Help(capacities, capacitiesOf(sameRegion), dataCentres(all)); help > 0 {
			instances = slices.Concat(own, sameRegion)
			for _, c := range capacitiesOf(sameRegion) {
				capacities = append(capacities, help*c)
			}
		}
	}
	for _, i := range e.addresses.choose(capacities) {
		addresses = append(addresses, instances[i].CallerAddress)
	}
	return addresses
}

func capacitiesOf(instances []*coord.Instance) []float64 {
	out := make([]float64, len(instances))
	for i, n := range instances {
		out[i] = float64(n.Capacity)
	}
	return out
}

// dataCentres returns the number of data centres that the instances are in.
func dataCentres(instances []*coord.Instance) int {
	names := map[string]bool{}
	for _, n := range instances {
		names[n.DataCentre] = true
	}
	return len(names)
}
