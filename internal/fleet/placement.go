package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cranberrypath.example/cranberrypath/internal/world"
)

// existingPriceFactor discounts the price of existing instances, so that an instance is
// only replaced by an offer that is at least 15% cheaper.
const existingPriceFactor = 0.85

// Bounds of the exponential delay after refused starts.
const (
	minRetryDelay = 5 * time.Second
	maxRetryDelay = 300 * time.Second
)

// Refusal records refused starts in one data centre, machine class and pricing model.
type Refusal struct {
	DataCentre    string    `json:"dataCentre"`
	Class         string    `json:"machineClass"`
	Reclaimable   bool      `json:"reclaimable"`
	Count         int       `json:"count"` // consecutive refusals
	LastRefusedAt time.Time `json:"at"`
}

// RetryAt returns the time of the next attempt.
func (r Refusal) RetryAt() time.Time {
	delay := maxRetryDelay
	if r.Count < 7 {
		delay = min(minRetryDelay<<max(r.Count-1, 0), maxRetryDelay)
	}
	return r.LastRefusedAt.Add(delay)
}

// AddRefusal adds a refusal for the placement of a purchase. Several refusals within one
// delay count once, because their purchases were decided together.
func AddRefusal(refusals []Refusal, i world.Instance, now time.Time) []Refusal {
	out := slices.Clone(refusals)
	for n, r := range out {
		if !r.matches(i) {
			continue
		}
		if now.Before(r.RetryAt()) {
			return out
		}
		out[n].Count, out[n].LastRefusedAt = r.Count+1, now
		return out
	}
	return append(out, Refusal{i.DataCentre, i.Class, i.Reclaimable, 1, now})
}

// ClearRefusals removes the refusals for a placement where a start succeeded.
func ClearRefusals(refusals []Refusal, i world.Instance) []Refusal {
	return slices.DeleteFunc(slices.Clone(refusals), func(r Refusal) bool { return r.matches(i) })
}

func (r Refusal) matches(i world.Instance) bool {
	return r.DataCentre == i.DataCentre && r.Class == i.Class && r.Reclaimable == i.Reclaimable
}

// option is a placement with its price and the maximum number of instances.
type option struct {
	placement
	price float64
	cap   int
}

// unlimited exceeds the number of instances of any deployment.
const unlimited = math.MaxInt32

// options returns the placements of the existing instances at a discounted price and
// the offers without a recent refusal, the cheapest first.
func (d *decision) options(g *group) []option {
	prices, existing := map[placement]float64{}, map[placement]int{}
	for _, i := range g.instances {
		p := placementOf(i)
		existing[p]++
		c, _ := d.view.Declaration.Class(i.Class)
		prices[p] = c.OnDemandPrice
		if i.Reclaimable {
			prices[p] = c.ReclaimablePrice
		}
	}
	var out []option
	for _, o := range d.view.Offers {
		if o.Class != g.service.Class {
			continue
		}
		p := placement{o.DataCentre, o.Zone, o.Class, o.Reclaimable}
		if existing[p] > 0 {
			prices[p] = o.Price
		}
		if !d.inBackoff(o) {
			out = append(out, option{p, o.Price, unlimited})
		}
	}
	for p, n := range existing {
		out = append(out, option{p, prices[p] * existingPriceFactor, n})
	}
	slices.SortFunc(out, func(a, b option) int { return cmp.Or(cmp.Compare(a.price, b.price), a.placement.compare(b.placement)) })
	return out
}

func (d *decision) inBackoff(o Offer) bool {
	for _, r := range d.view.Refusals {
		if r.DataCentre == o.DataCentre && r.Class == o.Class && r.Reclaimable == o.Reclaimable && d.now.Before(r.RetryAt()) {
			return true
		}
	}
	return false
}

func (p placement) compare(o placement) int {
	n := cmp.Or(cmp.Compare(p.dataCentre, o.dataCentre), cmp.Compare(p.zone, o.zone), cmp.Compare(p.class, o.class))
	if n != 0 || p.reclaimable == o.reclaimable {
		return n
	}
	if p.reclaimable {
		return -1
	}
	return 1
}

func sortedPlacements(m map[placement]int) []placement {
	out := make([]placement, 0, len(m))
	for p := range m {
		out = append(out, p)
	}
	slices.SortFunc(out, placement.compare)
	return out
}

// maxSizesCompared bounds how many sizes of the largest data centre cheapestPlacement
// compares.
const maxSizesCompared = 64

// cheapestPlacement returns the number of instances for each placement such that the
// required number remains after the loss of any spareDataCentres data centres or, if
// that is 0, after the reclaim of all reclaimable instances of any one zone. At least
// the fraction onDemandShare is on demand. missing is the number of instances that the
// options cannot accommodate.
//
// The search compares limits on the instances of one data centre: if none holds more
// than size instances, a total of required + spareDataCentres*size suffices. For each
// size the cheapest options are filled first, and the size with the lowest cost is
// selected. For one spare data centre the result is optimal.
func cheapestPlacement(options []option, required, spareDataCentres int, onDemandShare float64) (target map[placement]int, missing int) {
	if required == 0 {
		return map[placement]int{}, 0
	}
	dataCentres := map[string]bool{}
	for _, o := range options {
		dataCentres[o.dataCentre] = true
	}
	low, high := 0, required
	if spareDataCentres > 0 {
		low = (required + len(dataCentres) - 1) / max(len(dataCentres)-spareDataCentres, 1)
		low = min(max(low-1, 1), required)
	}
	lowestCost := math.Inf(1)
	step := max((high-low)/maxSizesCompared, 1)
	for size := low; size <= high; size += step {
		a := allocator{options: options, dataCentreLimit: unlimited, zoneReclaimableLimit: size, total: required + size}
		if spareDataCentres > 0 {
			a = allocator{options: options, dataCentreLimit: size, zoneReclaimableLimit: unlimited, total: required + spareDataCentres*size}
		}
		allocated, unplaced, cost := a.allocate(onDemandShare)
		if target == nil || unplaced < missing || unplaced == missing && cost < lowestCost {
			target, missing, lowestCost = allocated, unplaced, cost
		}
	}
	return target, missing
}

// allocator fills options in order of price, within limits for each data centre and for
// the reclaimable instances of each zone.
type allocator struct {
	options                                      []option
	dataCentreLimit, zoneReclaimableLimit, total int

	allocated          map[placement]int
	perDataCentre      map[string]int
	reclaimablePerZone map[[2]string]int
	cost               float64
	remaining          int
}

func (a *allocator) allocate(onDemandShare float64) (map[placement]int, int, float64) {
	a.allocated, a.perDataCentre, a.reclaimablePerZone = map[placement]int{}, map[string]int{}, map[[2]string]int{}
	used := make([]int, len(a.options))
	onDemand := int(math.Ceil(onDemandShare*float64(a.total) - 1e-9))
	a.remaining = onDemand
	a.fillAllowed(used, func(o option) bool { return !o.reclaimable })
	a.remaining += a.total - onDemand
	a.fillAllowed(used, func(option) bool { return true })
	return a.allocated, a.remaining, a.cost
}

func (a *allocator) fillAllowed(used []int, allowed func(option) bool) {
	for i, o := range a.options {
		if a.remaining == 0 {
			return
		}
		if !allowed(o) {
			continue
		}
		zone := [2]string{o.dataCentre, o.zone}
		n := min(a.remaining, o.cap-used[i], a.dataCentreLimit-a.perDataCentre[o.dataCentre])
		if o.reclaimable {
			n = min(n, a.zoneReclaimableLimit-a.reclaimablePerZone[zone])
			a.reclaimablePerZone[zone] += max(n, 0)
		}
		if n <= 0 {
			continue
		}
		used[i] += n
		a.allocated[o.placement] += n
		a.perDataCentre[o.dataCentre] += n
		a.cost += float64(n) * o.price
		a.remaining -= n
	}
}
