package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// CentreEngines is what one data centre has of a service whose engines are ordered by
// number, not one by one.
type CentreEngines struct {
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

// CentreView is what the sizing of one service depends on.
type CentreView struct {
	Min, Max int // engines of both kinds in each data centre
	Boot     time.Duration
	Need     int // engines that carry the highest load of a while, for reclaimable ones
	Recent   int // the same for the last seconds, for the others
	// Hold is how many engines that are not reclaimable were needed a moment ago.
	Hold    int
	Centres []CentreEngines
}

// CentreOrder is how many engines a data centre shall have.
type CentreOrder struct {
	DataCentre string
	Want       Counts
}

const (
	// lostCentres is how many data centres may be without reclaimable engines at once:
	// reclaims follow each other within seconds, and new engines are not to be had
	// for a while after each.
	lostCentres = 2
	// steadyPlaces is how many places of each data centre one kind leaves to the other.
	steadyPlaces = 2
	// refusedPause is the wait before a data centre that had no reclaimable engines is
	// asked again: a question costs little against engines at the full price.
	refusedPause = time.Second
	// bootSlack is added to the boot time before an engine counts as not coming.
	bootSlack = 2 * time.Second
	// repeatPause is the wait before an order that has not had its effect is repeated.
	repeatPause = 3 * time.Second
)

// Size decides how many engines each data centre shall have: reclaimable ones,
// spread evenly and enough that the load is carried while two data centres are
// reclaimed, and the others for what reclaimable ones do not carry. Engines
// that are not reclaimable are given up only once enough reclaimable ones are ready.
func Size(now time.Time, v CentreView) []CentreOrder {
	if len(v.Centres) == 0 {
		return nil
	}
	centres := slices.Clone(v.Centres)
	slices.SortFunc(centres, func(a, b CentreEngines) int {
		return cmp.Or(cmp.Compare(a.Price, b.Price), strings.Compare(a.DataCentre, b.DataCentre))
	})
	want := make([]Counts, len(centres))
	each := max(min(perCentre(v.Need, len(centres)), v.Max-steadyPlaces), v.Min)
	for i, z := range centres {
		want[i].Reclaimable = each
		if z.blocked(now) {
			want[i].Reclaimable = z.Ordered.Reclaimable // to ask for fewer would give up those that run
		}
	}
	v.placeSteady(max(v.Missing(now), v.Hold, v.unreplaced()), each, centres, want)
	var out []CentreOrder
	for i, z := range centres {
		want[i].Steady = max(want[i].Steady, v.Min-want[i].Reclaimable)
		if !z.blocked(now) {
			want[i].Reclaimable = min(want[i].Reclaimable, v.Max-want[i].Steady)
		}
		if z.due(now, v, want[i]) {
			out = append(out, CentreOrder{z.DataCentre, want[i]})
		}
	}
	return out
}

// unreplaced returns how many of the running engines that are not reclaimable are
// needed until their replacements are ready.
func (v CentreView) unreplaced() int {
	steady, spares := 0, 0
	for _, z := range v.Centres {
		steady += z.Ready
		spares += z.Spare
	}
	return min(steady, max(v.Recent-spares, 0))
}

// Missing returns how many engines the load needs beyond the reclaimable ones. While
// these are refused somewhere, only those count that are left when lostCentres further
// data centres lose theirs: reclaims follow each other faster than engines start.
func (v CentreView) Missing(now time.Time) int {
	var spares []int
	lost := 0
	for _, z := range v.Centres {
		n := z.Spare
		if z.Dry {
			lost = lostCentres
		}
		if !z.blocked(now) && !z.lost() && now.Sub(z.SpareAt) < v.Boot+bootSlack {
			n = max(n, z.Ordered.Reclaimable) // they come before a steady engine would
		}
		spares = append(spares, n)
	}
	slices.Sort(spares)
	left := 0
	for _, n := range spares[:max(len(spares)-lost, 1)] {
		left += n
	}
	return max(v.Recent-left, 0)
}

// perCentre returns the reclaimable engines of each data centre such that need are
// left when lostCentres of them have none.
func perCentre(need, centres int) int {
	left := max(centres-lostCentres, 1)
	return (need + left - 1) / left
}

// Carried returns the load that engines in so many data centres were meant for, the
// inverse of what Size orders for it.
func Carried(engines, centres int) int {
	return engines * max(centres-lostCentres, 1) / max(centres, 1)
}

// placeSteady spreads engines that are not reclaimable over the data centres: where
// they were ordered before, so that none is given up to start another elsewhere,
// then the cheapest first.
func (v CentreView) placeSteady(n, each int, centres []CentreEngines, want []Counts) {
	for i, z := range centres {
		want[i].Steady = min(n, z.Ordered.Steady, v.places(z, each))
		n -= want[i].Steady
	}
	for placed := true; n > 0 && placed; {
		placed = false
		for i, z := range centres {
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
func (v CentreView) places(z CentreEngines, each int) int {
	if z.Dry {
		return v.Max - max(z.Spare, steadyPlaces)
	}
	return max(v.Max-each, min(z.Ordered.Steady, v.Max-steadyPlaces))
}

// blocked reports whether a data centre gives no reclaimable engines now.
func (z CentreEngines) blocked(now time.Time) bool {
	return !z.Refused.IsZero() && now.Sub(z.Refused) < refusedPause
}

// lost reports whether reclaimable engines were taken away since they were ordered.
func (z CentreEngines) lost() bool { return z.Spare < min(z.Seen, z.Ordered.Reclaimable) }

// due reports whether an order is new, or has not had its effect in time.
func (z CentreEngines) due(now time.Time, v CentreView, want Counts) bool {
	if z.OrderedAt.IsZero() || want != z.Ordered || (z.lost() || z.Dry) && !z.blocked(now) {
		return true
	}
	missing := z.Ready < want.Steady || z.Spare < want.Reclaimable
	return missing && now.Sub(z.OrderedAt) > v.Boot+repeatPause
}
