package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// ZoneEngines is what one data centre has of a service whose engines are ordered by
// number, not one by one.
type ZoneEngines struct {
	DataCentre string
	Price      float64 // of an engine that is not reclaimable, a second
	Ready      int     // engines that are not reclaimable
	Spare      int     // reclaimable engines that are ready
	Ordered    Counts  // last accepted order
	OrderedAt  time.Time
	SpareAt    time.Time // when reclaimable engines were last ordered
	Seen       int       // most reclaimable engines that were ready since then
	// Refused is when a reclaimable engine was last refused here; Dry is set until an
	// order was taken again.
	Refused time.Time
	Dry     bool
}

// Counts are numbers of engines by kind.
type Counts struct{ Steady, Reclaimable int }

// ZoneView is what the sizing of one service depends on.
type ZoneView struct {
	Min, Max int // engines of both kinds in each data centre
	Boot     time.Duration
	Need     int // engines that carry the load
	// Hold is how many engines that are not reclaimable were needed a moment ago.
	Hold  int
	Now   time.Time
	Zones []ZoneEngines
}

// ZoneOrder is how many engines a data centre shall have.
type ZoneOrder struct {
	DataCentre string
	Want       Counts
}

const (
	// lostZones is how many data centres may be without reclaimable engines at once:
	// reclaims follow each other within seconds, and new engines are not to be had
	// for a while after each.
	lostZones = 2
	// steadyPlaces is how many places of each data centre one kind leaves to the other.
	steadyPlaces = 2
	// refusedPause is the wait before a data centre that had no reclaimable engines is
	// asked again.
	refusedPause = 2 * time.Second
	// bootSlack is added to the boot time before an engine counts as not coming.
	bootSlack = 2 * time.Second
	// repeatPause is the wait before an order that has not had its effect is repeated.
	repeatPause = 3 * time.Second
)

// Size decides how many engines each data centre shall have: reclaimable ones,
// spread evenly and enough that the load is carried while two data centres are
// reclaimed, and the others for what reclaimable ones do not carry. Engines
// that are not reclaimable are given up only once enough reclaimable ones are ready.
func Size(v ZoneView) []ZoneOrder {
	if len(v.Zones) == 0 {
		return nil
	}
	zones := slices.Clone(v.Zones)
	slices.SortFunc(zones, func(a, b ZoneEngines) int {
		return cmp.Or(cmp.Compare(a.Price, b.Price), strings.Compare(a.DataCentre, b.DataCentre))
	})
	want := make([]Counts, len(zones))
	each := max(min(perZone(v.Need, len(zones)), v.Max-steadyPlaces), v.Min)
	for i, z := range zones {
		want[i].Reclaimable = each
		if z.blocked(v.Now) {
			want[i].Reclaimable = z.Ordered.Reclaimable // to ask for fewer would give up those that run
		}
	}
	v.placeSteady(max(v.Missing(), v.Hold, v.unreplaced()), each, zones, want)
	var out []ZoneOrder
	for i, z := range zones {
		want[i].Steady = max(want[i].Steady, v.Min-want[i].Reclaimable)
		if !z.blocked(v.Now) {
			want[i].Reclaimable = min(want[i].Reclaimable, v.Max-want[i].Steady)
		}
		if z.due(v, want[i]) {
			out = append(out, ZoneOrder{z.DataCentre, want[i]})
		}
	}
	return out
}

// unreplaced returns how many of the running engines that are not reclaimable are
// needed until their replacements are ready.
func (v ZoneView) unreplaced() int {
	steady, spares := 0, 0
	for _, z := range v.Zones {
		steady += z.Ready
		spares += z.Spare
	}
	return min(steady, max(v.Need-spares, 0))
}

// Missing returns how many engines the load needs beyond the reclaimable ones. While
// these are refused somewhere, only those count that are left when lostZones further
// data centres lose theirs: reclaims follow each other faster than engines start.
func (v ZoneView) Missing() int {
	var spares []int
	lost := 0
	for _, z := range v.Zones {
		n := z.Spare
		if z.Dry {
			lost = lostZones
		}
		if !z.blocked(v.Now) && !z.lost() && v.Now.Sub(z.SpareAt) < v.Boot+bootSlack {
			n = max(n, z.Ordered.Reclaimable) // they come before a steady engine would
		}
		spares = append(spares, n)
	}
	slices.Sort(spares)
	left := 0
	for _, n := range spares[:max(len(spares)-lost, 1)] {
		left += n
	}
	return max(v.Need-left, 0)
}

// perZone returns the reclaimable engines of each data centre such that need are
// left when lostZones of them have none.
func perZone(need, zones int) int {
	left := max(zones-lostZones, 1)
	return (need + left - 1) / left
}

// Carried returns the load that engines in so many data centres were meant for, the
// inverse of what Size orders for it.
func Carried(engines, zones int) int {
	return engines * max(zones-lostZones, 1) / max(zones, 1)
}

// placeSteady spreads engines that are not reclaimable over the data centres: where
// they were ordered before, so that none is given up to start another elsewhere,
// then the cheapest first.
func (v ZoneView) placeSteady(n, each int, zones []ZoneEngines, want []Counts) {
	for i, z := range zones {
		want[i].Steady = min(n, z.Ordered.Steady, v.places(z, each))
		n -= want[i].Steady
	}
	for placed := true; n > 0 && placed; {
		placed = false
		for i, z := range zones {
			if n > 0 && want[i].Steady < v.places(z, each) {
				want[i].Steady++
				n--
				placed = true
			}
		}
	}
}

// places returns how many engines that are not reclaimable a data centre may have.
// Where reclaimable ones are not to be had they take their places, but for a few
// with which the platform is asked again.
func (v ZoneView) places(z ZoneEngines, each int) int {
	if z.Dry {
		return v.Max - max(z.Spare, steadyPlaces)
	}
	return max(v.Max-each, min(z.Ordered.Steady, v.Max-steadyPlaces))
}

// blocked reports whether a data centre gives no reclaimable engines now.
func (z ZoneEngines) blocked(now time.Time) bool {
	return !z.Refused.IsZero() && now.Sub(z.Refused) < refusedPause
}

// lost reports whether reclaimable engines were taken away since they were ordered.
func (z ZoneEngines) lost() bool { return z.Spare < min(z.Seen, z.Ordered.Reclaimable) }

// due reports whether an order is new, or has not had its effect in time.
func (z ZoneEngines) due(v ZoneView, want Counts) bool {
	if z.OrderedAt.IsZero() || want != z.Ordered || z.lost() && !z.blocked(v.Now) {
		return true
	}
	missing := z.Ready < want.Steady || z.Spare < want.Reclaimable
	return missing && v.Now.Sub(z.OrderedAt) > v.Boot+repeatPause
}
