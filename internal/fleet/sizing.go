package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// DataCentreServers is the state of one data centre for a service whose backend servers are
// ordered by count, not individually.
type DataCentreServers struct {
	DataCentre           string
	OnDemandPrice        float64 // of an on-demand server, per second
	ReadyOnDemand        int     // ready on-demand servers
	ReadyReclaimable     int     // ready reclaimable servers
	Ordered              Counts  // most recent accepted order
	OrderedAt            time.Time
	ReclaimableOrderedAt time.Time // time of the last order of reclaimable servers
	PeakReclaimable      int       // maximum of ReadyReclaimable since ReclaimableOrderedAt
	// RefusedAt is the time of the last refusal of a reclaimable server in this data
	// centre; ReclaimableUnavailable is set from a refusal until the next accepted order.
	RefusedAt              time.Time
	ReclaimableUnavailable bool
}

// Counts is the number of servers of each kind.
type Counts struct{ OnDemand, Reclaimable int }

// SizingView is the input of Size for one service.
type SizingView struct {
	Min, Max      int           // servers of both kinds in each data centre
	StartupTime   time.Duration // startup time of a server
	PeakServers   int           // servers for the peak load; sizes the reclaimable servers
	RecentServers int           // servers for the load of the last seconds; sizes the on-demand servers
	// MinOnDemand is the least number of on-demand servers to order: the number that was
	// needed recently.
	MinOnDemand int
	DataCentres []DataCentreServers
}

// DataCentreOrder is the target number of servers of a data centre.
type DataCentreOrder struct {
	DataCentre string
	Target     Counts
}

const (
	// toleratedLosses is how many data centres may lose their reclaimable servers at
	// the same time: reclaims follow each other within seconds, and after each, new
	// reclaimable servers are unavailable for some time.
	toleratedLosses = 2
	// reservedServers is how many of the Max servers of a data centre one kind leaves to
	// the other.
	reservedServers = 2
	// refusalRetryDelay is the delay before reclaimable servers are ordered again in a
	// data centre that refused them: an order is cheap compared with on-demand servers.
	refusalRetryDelay = time.Second
	// startupMargin is added to the startup time before a start counts as failed.
	startupMargin = 2 * time.Second
	// orderRepeatDelay is added to the startup time before an order without effect is
	// repeated.
	orderRepeatDelay = 3 * time.Second
)

// Size decides the number of servers of each data centre: reclaimable servers, spread
// evenly and sufficient for the load while two data centres are reclaimed, and on-demand
// servers for the remaining load. On-demand servers are released only once enough
// reclaimable servers are ready.
func Size(now time.Time, v SizingView) []DataCentreOrder {
	if len(v.DataCentres) == 0 {
		return nil
	}
	dataCentres := slices.Clone(v.DataCentres)
	slices.SortFunc(dataCentres, func(a, b DataCentreServers) int {
		return cmp.Or(cmp.Compare(a.OnDemandPrice, b.OnDemandPrice), strings.Compare(a.DataCentre, b.DataCentre))
	})
	targets := make([]Counts, len(dataCentres))
	reclaimableEach := max(min(reclaimablePerDataCentre(v.PeakServers, len(dataCentres)), v.Max-reservedServers), v.Min)
	for i, dc := range dataCentres {
		targets[i].Reclaimable = reclaimableEach
		if dc.inBackoff(now) {
			targets[i].Reclaimable = dc.Ordered.Reclaimable // ordering fewer would release running servers
		}
	}
	v.spreadOnDemand(max(v.MissingOnDemand(now), v.MinOnDemand, v.onDemandUntilReplaced()), reclaimableEach, dataCentres, targets)
	var out []DataCentreOrder
	for i, dc := range dataCentres {
		targets[i].OnDemand = max(targets[i].OnDemand, v.Min-targets[i].Reclaimable)
		if !dc.inBackoff(now) {
			targets[i].Reclaimable = min(targets[i].Reclaimable, v.Max-targets[i].OnDemand)
		}
		if dc.orderDue(now, v, targets[i]) {
			out = append(out, DataCentreOrder{dc.DataCentre, targets[i]})
		}
	}
	return out
}

// onDemandUntilReplaced returns how many of the running on-demand servers are needed
// until their reclaimable replacements are ready.
func (v SizingView) onDemandUntilReplaced() int {
	onDemand, reclaimable := 0, 0
	for _, dc := range v.DataCentres {
		onDemand += dc.ReadyOnDemand
		reclaimable += dc.ReadyReclaimable
	}
	return min(onDemand, max(v.RecentServers-reclaimable, 0))
}

// MissingOnDemand returns how many on-demand servers the load needs in addition to the
// reclaimable ones, including those that already run. While a data centre refuses
// orders, the toleratedLosses data centres with the most reclaimable servers are not
// counted: reclaims follow each other faster than servers start.
func (v SizingView) MissingOnDemand(now time.Time) int {
	var reclaimable []int
	excluded := 0
	for _, dc := range v.DataCentres {
		n := dc.ReadyReclaimable
		if dc.ReclaimableUnavailable {
			excluded = toleratedLosses
		}
		if !dc.inBackoff(now) && !dc.lostReclaimable() && now.Sub(dc.ReclaimableOrderedAt) < v.StartupTime+startupMargin {
			n = max(n, dc.Ordered.Reclaimable) // those still starting are ready before a new on-demand server
		}
		reclaimable = append(reclaimable, n)
	}
	slices.Sort(reclaimable)
	remaining := 0
	for _, n := range reclaimable[:max(len(reclaimable)-excluded, 1)] {
		remaining += n
	}
	return max(v.RecentServers-remaining, 0)
}

// reclaimablePerDataCentre returns the number of reclaimable servers in each data centre
// such that the required number remains when toleratedLosses data centres have none.
func reclaimablePerDataCentre(required, dataCentres int) int {
	remaining := max(dataCentres-toleratedLosses, 1)
	return (required + remaining - 1) / remaining
}

// SupportedLoad returns the load, in servers, for which Size would order this number of
// reclaimable servers in total; it is the inverse of Size.
func SupportedLoad(servers, dataCentres int) int {
	return servers * max(dataCentres-toleratedLosses, 1) / max(dataCentres, 1)
}

// spreadOnDemand distributes n on-demand servers over the data centres. Existing orders
// are kept first, so that no server is released to start another one elsewhere; the
// others are added round-robin in order of price.
func (v SizingView) spreadOnDemand(n, reclaimableEach int, dataCentres []DataCentreServers, targets []Counts) {
	for i, dc := range dataCentres {
		targets[i].OnDemand = min(n, dc.Ordered.OnDemand, v.maxOnDemand(dc, reclaimableEach))
		n -= targets[i].OnDemand
	}
	for placed := true; n > 0 && placed; {
		placed = false
		for i, dc := range dataCentres {
			if n > 0 && targets[i].OnDemand < v.maxOnDemand(dc, reclaimableEach) {
				targets[i].OnDemand++
				n--
				placed = true
			}
		}
	}
}

// maxOnDemand returns the maximum number of on-demand servers in a data centre. Where
// reclaimable servers are unavailable, on-demand servers replace them except for
// reservedServers, which are used to order reclaimable servers again.
func (v SizingView) maxOnDemand(dc DataCentreServers, reclaimableEach int) int {
	if dc.ReclaimableUnavailable {
		return v.Max - max(dc.ReadyReclaimable, reservedServers)
	}
	return max(v.Max-reclaimableEach, min(dc.Ordered.OnDemand, v.Max-reservedServers))
}

// inBackoff reports whether a data centre refused reclaimable servers recently.
func (dc DataCentreServers) inBackoff(now time.Time) bool {
	return !dc.RefusedAt.IsZero() && now.Sub(dc.RefusedAt) < refusalRetryDelay
}

// lostReclaimable reports whether servers were reclaimed since they were ordered.
func (dc DataCentreServers) lostReclaimable() bool {
	return dc.ReadyReclaimable < min(dc.PeakReclaimable, dc.Ordered.Reclaimable)
}

// orderDue reports whether an order is new or has not taken effect in time.
func (dc DataCentreServers) orderDue(now time.Time, v SizingView, target Counts) bool {
	if dc.OrderedAt.IsZero() || target != dc.Ordered || (dc.lostReclaimable() || dc.ReclaimableUnavailable) && !dc.inBackoff(now) {
		return true
	}
	missing := dc.ReadyOnDemand < target.OnDemand || dc.ReadyReclaimable < target.Reclaimable
	return missing && now.Sub(dc.OrderedAt) > v.StartupTime+orderRepeatDelay
}
