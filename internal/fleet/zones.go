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
	Leaving    int     // reclaimable engines that are being taken away
	Ordered    Counts  // last accepted order
	OrderedAt  time.Time
	// Refused is when a reclaimable engine was last refused here.
	Refused time.Time
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
	// steadyPlaces is how many places of each data centre are left for engines that
	// are not reclaimable.
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
	placeSteady(max(v.Missing(), v.Hold), v.Max-each, want)
	ready := v.ready()
	var out []ZoneOrder
	for i, z := range zones {
		if ready < v.Need && z.OrderedAt.IsZero() {
			want[i].Steady = max(want[i].Steady, min(z.Ready, v.Max-want[i].Reclaimable))
		}
		want[i].Steady = max(want[i].Steady, v.Min-want[i].Reclaimable)
		if z.due(v, want[i]) {
			out = append(out, ZoneOrder{z.DataCentre, want[i]})
		}
	}
	return out
}

func (v ZoneView) ready() int {
	n := 0
	for _, z := range v.Zones {
		n += z.Spare
	}
	return n
}

// Missing returns how many engines the load needs beyond the reclaimable ones. While
// reclaimable engines are being taken away or refused none of them counts: those
// of the other data centres may be next, and others take several seconds to start.
func (v ZoneView) Missing() int {
	have, steady := 0, 0
	for _, z := range v.Zones {
		steady += z.Ready
		if z.Leaving > 0 || z.blocked(v.Now) {
			return v.Need
		}
		have += z.Spare
		if v.Now.Sub(z.OrderedAt) < v.Boot+bootSlack {
			have += max(z.Ordered.Reclaimable-z.Spare, 0)
		}
	}
	if steady > 0 {
		have = v.ready() // what runs is kept until its replacement does
	}
	return max(v.Need-have, 0)
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

// placeSteady spreads engines that are not reclaimable over the data centres, the
// cheapest first.
func placeSteady(n, places int, want []Counts) {
	for range places {
		for i := range want {
			if n > 0 {
				want[i].Steady++
				n--
			}
		}
	}
}

// blocked reports whether a data centre gives no reclaimable engines now.
func (z ZoneEngines) blocked(now time.Time) bool {
	return !z.Refused.IsZero() && now.Sub(z.Refused) < refusedPause
}

// due reports whether an order is new, or has not had its effect in time.
func (z ZoneEngines) due(v ZoneView, want Counts) bool {
	if z.OrderedAt.IsZero() || want != z.Ordered {
		return true
	}
	missing := z.Ready < want.Steady || z.Spare < want.Reclaimable
	return missing && v.Now.Sub(z.OrderedAt) > v.Boot+repeatPause
}
