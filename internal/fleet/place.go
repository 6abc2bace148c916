package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cranberrypath.example/cranberrypath/internal/world"
)

// sticky is the factor on the price of an instance that exists already: a price
// has to be 15% lower elsewhere before an instance moves there.
const sticky = 0.85

// Pauses after refused starts grow from the first to the last by doubling.
const (
	firstPause = 5 * time.Second
	lastPause  = 300 * time.Second
)

// Refusal records refused starts in one data centre and machine class.
type Refusal struct {
	DataCentre  string    `json:"dataCentre"`
	Class       string    `json:"machineClass"`
	Reclaimable bool      `json:"reclaimable"`
	Count       int       `json:"count"` // in a row
	At          time.Time `json:"at"`
}

// Until returns when the next start may be tried.
func (r Refusal) Until() time.Time {
	pause := lastPause
	if r.Count < 7 {
		pause = min(firstPause<<max(r.Count-1, 0), lastPause)
	}
	return r.At.Add(pause)
}

// Refused returns the refusals with one more for the place of a purchase. Several
// refusals within one pause count once, because they were decided together.
func Refused(all []Refusal, i world.Instance, now time.Time) []Refusal {
	out := slices.Clone(all)
	for n, r := range out {
		if !r.matches(i) {
			continue
		}
		if now.Before(r.Until()) {
			return out
		}
		out[n].Count, out[n].At = r.Count+1, now
		return out
	}
	return append(out, Refusal{i.DataCentre, i.Class, i.Reclaimable, 1, now})
}

// Accepted returns the refusals without those of a place where a start succeeded.
func Accepted(all []Refusal, i world.Instance) []Refusal {
	return slices.DeleteFunc(slices.Clone(all), func(r Refusal) bool { return r.matches(i) })
}

func (r Refusal) matches(i world.Instance) bool {
	return r.DataCentre == i.DataCentre && r.Class == i.Class && r.Reclaimable == i.Reclaimable
}

// bin is a place with its price and how many instances it may hold.
type bin struct {
	place
	price float64
	cap   int
}

// unlimited is more instances than any deployment has.
const unlimited = math.MaxInt32

// bins returns the existing instances' places at a reduced price, and the offers
// without a recent refusal, cheapest first.
func (d *decision) bins(g *group) []bin {
	prices, have := map[place]float64{}, map[place]int{}
	for _, i := range g.have {
		p := placeOf(i)
		have[p]++
		c, _ := d.v.Declaration.Class(i.Class)
		prices[p] = c.OnDemandPrice
		if i.Reclaimable {
			prices[p] = c.ReclaimablePrice
		}
	}
	var out []bin
	for _, o := range d.v.Offers {
		if o.Class != g.service.Class {
			continue
		}
		p := place{o.DataCentre, o.Zone, o.Class, o.Reclaimable}
		if have[p] > 0 {
			prices[p] = o.Price
		}
		if !d.paused(o) {
			out = append(out, bin{p, o.Price, unlimited})
		}
	}
	for p, n := range have {
		out = append(out, bin{p, prices[p] * sticky, n})
	}
	slices.SortFunc(out, func(a, b bin) int { return cmp.Or(cmp.Compare(a.price, b.price), a.place.compare(b.place)) })
	return out
}

func (d *decision) paused(o Offer) bool {
	for _, r := range d.v.Refusals {
		if r.DataCentre == o.DataCentre && r.Class == o.Class && r.Reclaimable == o.Reclaimable && d.now.Before(r.Until()) {
			return true
		}
	}
	return false
}

func (p place) compare(o place) int {
	n := cmp.Or(cmp.Compare(p.dc, o.dc), cmp.Compare(p.zone, o.zone), cmp.Compare(p.class, o.class))
	if n != 0 || p.reclaimable == o.reclaimable {
		return n
	}
	if p.reclaimable {
		return -1
	}
	return 1
}

func sortedPlaces(m map[place]int) []place {
	out := make([]place, 0, len(m))
	for p := range m {
		out = append(out, p)
	}
	slices.SortFunc(out, place.compare)
	return out
}

// tries bounds how many sizes of the largest data centre are compared.
const tries = 64

// cheapest returns how many instances to have at each place, so that need of
// them are left after the loss of any spareDCs data centres, or, without such a
// requirement, after the reclaim of all reclaimable instances of any one zone.
// At least the share onDemand is on demand. missing is how many instances fewer
// than that the places allow.
//
// If no data centre holds more than c instances, need + spareDCs*c in total are
// enough; for each c the cheapest places are filled first, and the cheapest c
// wins. For one spare data centre this is the optimum.
func cheapest(bins []bin, need, spareDCs int, onDemand float64) (target map[place]int, missing int) {
	if need == 0 {
		return map[place]int{}, 0
	}
	dcs := map[string]bool{}
	for _, b := range bins {
		dcs[b.dc] = true
	}
	low, high := 0, need
	if spareDCs > 0 {
		low = (need + len(dcs) - 1) / max(len(dcs)-spareDCs, 1)
		low = min(max(low-1, 1), need)
	}
	best := math.Inf(1)
	step := max((high-low)/tries, 1)
	for c := low; c <= high; c += step {
		f := fill{bins: bins, dcCap: unlimited, zoneCap: c, total: need + c}
		if spareDCs > 0 {
			f = fill{bins: bins, dcCap: c, zoneCap: unlimited, total: need + spareDCs*c}
		}
		got, left, cost := f.run(onDemand)
		if target == nil || left < missing || left == missing && cost < best {
			target, missing, best = got, left, cost
		}
	}
	return target, missing
}

// fill takes places in the order of price within limits for each data centre
// and for the reclaimable instances of each zone.
type fill struct {
	bins                  []bin
	dcCap, zoneCap, total int

	got   map[place]int
	dcs   map[string]int
	zones map[[2]string]int
	cost  float64
	left  int
}

func (f *fill) run(onDemand float64) (map[place]int, int, float64) {
	f.got, f.dcs, f.zones = map[place]int{}, map[string]int{}, map[[2]string]int{}
	used := make([]int, len(f.bins))
	first := int(math.Ceil(onDemand*float64(f.total) - 1e-9))
	f.left = first
	f.take(used, func(b bin) bool { return !b.reclaimable })
	f.left += f.total - first
	f.take(used, func(bin) bool { return true })
	return f.got, f.left, f.cost
}

func (f *fill) take(used []int, allowed func(bin) bool) {
	for i, b := range f.bins {
		if f.left == 0 {
			return
		}
		if !allowed(b) {
			continue
		}
		zone := [2]string{b.dc, b.zone}
		n := min(f.left, b.cap-used[i], f.dcCap-f.dcs[b.dc])
		if b.reclaimable {
			n = min(n, f.zoneCap-f.zones[zone])
			f.zones[zone] += max(n, 0)
		}
		if n <= 0 {
			continue
		}
		used[i] += n
		f.got[b.place] += n
		f.dcs[b.dc] += n
		f.cost += float64(n) * b.price
		f.left -= n
	}
}
