package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// CentreEngines is the state of one data centre for a service whose backend servers are
// ordered by count, not individually.
type CentreEngines struct {
	DataCentre string
	Price      float64 // of an on-demand server, per second
	Ready      int     // ready on-demand servers
	Spare      int     // ready reclaimable servers
	Ordered    Counts  // most recent accepted order
	OrderedAt  time.Time
	SpareAt    time.Time // time of the last order of reclaimable servers
	Seen       int       // maximum of Spare since SpareAt
	// Refused is the time of the last refusal of a reclaimable server in this data
	// centre; Dry is set from a refusal until the next accepted order.
	Refused time.Time
	Dry     bool
}

// Counts are numbers of servers: Steady ones are on demand.
type Counts struct{ Steady, Reclaimable int }

// CentreView is the input of Size for one service.
type CentreView struct {
	Min, Max int           // servers of both kinds in each data centre
	Boot     time.Duration // start-up time of a server
	Need     int           // servers for the peak load; sizes the reclaimable servers
	Recent   int           // servers for the load of the last seconds; sizes the on-demand servers
	// Hold is the number of on-demand servers that were needed recently.
	Hold    int
	Centres []CentreEngines
}

// CentreOrder is the target number of servers of a data centre.
type CentreOrder struct {
	DataCentre string
	Want       Counts
}

const (
	// toleratedLosses is how many data centres may lose their reclaimable servers at
	// the same time: reclaims follow each other within seconds, and after each, new
	// reclaimable servers are unavailable for some time.
	toleratedLosses = 2
	// reservedServers is how many servers of each data centre are reserved for the
	// other kind.
	reservedServers = 2
	// refusalRetryDelay is the delay before reclaimable servers are ordered again in a
	// data centre that refused them: an order is cheap compared with on-demand servers.
	refusalRetryDelay = time.Second
	// bootMargin is added to the boot time before a start counts as failed.
	bootMargin = 2 * time.Second
	// orderRepeatDelay is added to the boot time before an order without effect is
	// repeated.
	orderRepeatDelay = 3 * time.Second
)

// Size decides the number of servers of each data centre: reclaimable servers, spread
// evenly and sufficient for the load while two data centres are reclaimed, and on-demand
// servers for the remaining load. On-demand servers are released only once enough
// reclaimable servers are ready.
func Size(now time.Time, v CentreView) []CentreOrder {
	if len(v.Centres) == 0 {
		return nil
	}
	dataCentres := slices.Clone(v.Centres)
	slices.SortFunc(dataCentres, func(a, b CentreEngines) int {
		return cmp.Or(cmp.Compare(a.Price, b.Price), strings.Compare(a.DataCentre, b.DataCentre))
	})
	want := make([]Counts, len(dataCentres))
	reclaimableEach := max(min(reclaimablePerDataCentre(v.Need, len(dataCentres)), v.Max-reservedServers), v.Min)
	for i, dc := range dataCentres {
		want[i].Reclaimable = reclaimableEach
		if dc.inBackoff(now) {
			want[i].Reclaimable = dc.Ordered.Reclaimable // ordering fewer would release running servers
		}
	}
	v.spreadOnDemand(max(v.Missing(now), v.Hold, v.onDemandUntilReplaced()), reclaimableEach, dataCentres, want)
	var out []CentreOrder
	for i, dc := range dataCentres {
		want[i].Steady = max(want[i].Steady, v.Min-want[i].Reclaimable)
		if !dc.inBackoff(now) {
			want[i].Reclaimable = min(want[i].Reclaimable, v.Max-want[i].Steady)
		}
		if dc.orderDue(now, v, want[i]) {
			out = append(out, CentreOrder{dc.DataCentre, want[i]})
		}
	}
	return out
}

// onDemandUntilReplaced returns how many of the running on-demand servers are needed
// until their reclaimable replacements are ready.
func (v CentreView) onDemandUntilReplaced() int {
	onDemand, reclaimable := 0, 0
	for _, dc := range v.Centres {
		onDemand += dc.Ready
		reclaimable += dc.Spare
	}
	return min(onDemand, max(v.Recent-reclaimable, 0))
}

// Missing returns how many servers the load needs in addition to the reclaimable ones.
// While a data centre refuses orders, the toleratedLosses data centres with the most
// reclaimable servers are not counted: reclaims follow each other faster than servers
// start.
func (v CentreView) Missing(now time.Time) int {
	var reclaimable []int
	excluded := 0
	for _, dc := range v.Centres {
		n := dc.Spare
		if dc.Dry {
			excluded = toleratedLosses
		}
		if !dc.inBackoff(now) && !dc.lostReclaimable() && now.Sub(dc.SpareAt) < v.Boot+bootMargin {
			n = max(n, dc.Ordered.Reclaimable) // they start before a new on-demand server would
		}
		reclaimable = append(reclaimable, n)
	}
	slices.Sort(reclaimable)
	remaining := 0
	for _, n := range reclaimable[:max(len(reclaimable)-excluded, 1)] {
		remaining += n
	}
	return max(v.Recent-remaining, 0)
}

// reclaimablePerDataCentre returns the number of reclaimable servers in each data centre
// such that the required number remains when toleratedLosses data centres have none.
func reclaimablePerDataCentre(required, dataCentres int) int {
	remaining := max(dataCentres-toleratedLosses, 1)
	return (required + remaining - 1) / remaining
}

// Carried returns the load, in servers, for which Size would order this number of
// reclaimable servers in total; it is the inverse of Size.
func Carried(servers, dataCentres int) int {
	return servers * max(dataCentres-toleratedLosses, 1) / max(dataCentres, 1)
}

// spreadOnDemand distributes n on-demand servers over the data centres. Existing orders
// are kept first, so that no server is released to start another one elsewhere; the
// others are added round-robin in order of price.
func (v CentreView) spreadOnDemand(n, reclaimableEach int, dataCentres []CentreEngines, want []Counts) {
	for i, dc := range dataCentres {
		want[i].Steady = min(n, dc.Ordered.Steady, v.maxOnDemand(dc, reclaimableEach))
		n -= want[i].Steady
	}
	for placed := true; n > 0 && placed; {
		placed = false
		for i, dc := range dataCentres {
			if n > 0 && want[i].Steady < v.maxOnDemand(dc, reclaimableEach) {
				want[i].Steady++
				n--
				placed = true
			}
		}
	}
}

// maxOnDemand returns the maximum number of on-demand servers in a data centre. Where
// reclaimable servers are unavailable, on-demand servers replace them except for
// reservedServers, which are used to order reclaimable servers again.
func (v CentreView) maxOnDemand(dc CentreEngines, reclaimableEach int) int {
	if dc.Dry {
		return v.Max - max(dc.Spare, reservedServers)
	}
	return max(v.Max-reclaimableEach, min(dc.Ordered.Steady, v.Max-reservedServers))
}

// inBackoff reports whether a data centre refused reclaimable servers recently.
func (dc CentreEngines) inBackoff(now time.Time) bool {
	return !dc.Refused.IsZero() && now.Sub(dc.Refused) < refusalRetryDelay
}

// lostReclaimable reports whether servers were reclaimed since they were ordered.
func (dc CentreEngines) lostReclaimable() bool {
	return dc.Spare < min(dc.Seen, dc.Ordered.Reclaimable)
}

// orderDue reports whether an order is new or has not taken effect in time.
func (dc CentreEngines) orderDue(now time.Time, v CentreView, want Counts) bool {
	if dc.OrderedAt.IsZero() || want != dc.Ordered || (dc.lostReclaimable() || dc.Dry) && !dc.inBackoff(now) {
		return true
	}
	missing := dc.Ready < want.Steady || dc.Spare < want.Reclaimable
	return missing && now.Sub(dc.OrderedAt) > v.Boot+orderRepeatDelay
}
