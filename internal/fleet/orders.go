package fleet

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"cranberrypath.example/cranberrypath/internal/world"
	"cranberrypath.example/cranberrypath/pkg/decl"
)

// Cleanings are spread over a window of the cleaning interval by a hash of the RequestID;
// the rest of the interval is a margin for servers whose cleaning is delayed.
const (
	cleaningWindowStart = 0.5
	cleaningWindowEnd   = 0.9
	// minDrainsToDeadline is the time before the deadline of a move, in drain times, from
	// which on no cleaning of servers of its service starts.
	minDrainsToDeadline = 3
)

func (d *decision) cleaningDueAt(i world.Instance) time.Time {
	h := fnv.New32a()
	_, _ = h.Write([]byte(i.RequestID))
	fraction := cleaningWindowStart + (cleaningWindowEnd-cleaningWindowStart)*float64(h.Sum32()%1000)/1000
	return i.Cleaned.Add(time.Duration(fraction * float64(cleaningInterval(d.view.Declaration.Cleaning))))
}

func cleaningInterval(c decl.Cleaning) time.Duration { return time.Duration(c.EveryHours) * time.Hour }

func (d *decision) isCleaningDue(i world.Instance) bool {
	return d.preset.CleaningAllowed && i.Phase == Running && !d.now.Before(d.cleaningDueAt(i))
}

// startCleaning drains servers that are due for cleaning, the least recently cleaned
// first, if neither the headroom nor the deadline of a move is at risk.
func (d *decision) startCleaning() {
	c := d.view.Declaration.Cleaning
	cleaning := 0
	var due []world.Instance
	for _, i := range d.view.Instances {
		if i.Phase == Cleaning {
			cleaning++
		}
		if i.Phase == Running && d.now.Sub(i.Cleaned) > cleaningInterval(c) {
			d.report(i.Service, i.Version, "cleaning of %s is overdue by %s", i.RequestID, (d.now.Sub(i.Cleaned) - cleaningInterval(c)).Round(time.Minute))
		}
		if d.isCleaningDue(i) && d.isReady(i) {
			due = append(due, i)
		}
	}
	slices.SortFunc(due, func(a, b world.Instance) int {
		return cmp.Or(a.Cleaned.Compare(b.Cleaned), cmp.Compare(a.RequestID, b.RequestID))
	})
	draining := map[string]bool{}
	for _, a := range d.actions {
		draining[a.RequestID] = draining[a.RequestID] || a.Kind == Drain
	}
	for _, i := range due {
		if cleaning >= c.MaxAtOnce {
			return
		}
		g := d.groupOf(i)
		if draining[i.RequestID] || g == nil || !g.active || !d.hasHeadroomWithout(g, i) || d.isMoveDeadlineNear(i.Service) {
			continue
		}
		g.readyCount--
		cleaning++
		d.drain(i, true, "weekly cleaning")
	}
}

func (d *decision) groupOf(i world.Instance) *group {
	for _, g := range d.groups {
		if g.service.Name == i.Service && g.version == i.Version {
			return g
		}
	}
	return nil
}

// hasHeadroomWithout reports whether the ready servers of a group, without the given
// one, still suffice after the losses that the preset tolerates. A fixed set of servers
// cannot be extended during the cleaning, so no losses are assumed for it.
func (d *decision) hasHeadroomWithout(g *group, without world.Instance) bool {
	dataCentres, zones := map[string]int{}, map[string]int{}
	remaining := 0
	for _, i := range g.instances {
		if i.RequestID == without.RequestID || !d.isReady(i) {
			continue
		}
		remaining++
		dataCentres[i.DataCentre]++
		if i.Reclaimable {
			zones[i.DataCentre+"/"+i.Zone]++
		}
	}
	// Servers that this decision has already selected for cleaning are counted in remaining
	// because they are still announced as ready.
	selectedForCleaning := 0
	for _, a := range d.actions {
		if a.Kind == Drain && a.ForCleaning && a.Service == g.service.Name && a.Version == g.version && d.isReadyByRequestID(g, a.RequestID) {
			selectedForCleaning++
		}
	}
	domains, losses := dataCentres, g.spareDataCentres
	if losses == 0 {
		domains, losses = zones, 1
	}
	var counts []int
	for _, c := range domains {
		counts = append(counts, c)
	}
	slices.Sort(counts)
	if d.view.FixedServers {
		losses = 0
	}
	for _, c := range counts[max(len(counts)-losses, 0):] {
		remaining -= c
	}
	return remaining-selectedForCleaning >= g.required
}

func (d *decision) isReadyByRequestID(g *group, requestID string) bool {
	return slices.ContainsFunc(g.instances, func(i world.Instance) bool { return i.RequestID == requestID && d.isReady(i) })
}

func (d *decision) isMoveDeadlineNear(service string) bool {
	m, ok := d.runningMove(service)
	drain := time.Duration(d.view.Declaration.Cleaning.DrainMinutes) * time.Minute
	return ok && m.Deadline.Sub(d.now) < minDrainsToDeadline*drain
}

// Urgency is the urgency of loading weights.
type Urgency uint8

// The urgencies, most urgent first.
const (
	Headroom Urgency = iota // capacity would be insufficient after a loss
	ForMove                 // a version move waits for the weights
	Growth                  // demand or the capacity of the preset grows
)

// WeightLoad is an order to load weights on a backend server.
type WeightLoad struct {
	OrderID  string    `json:"order"` // order ID
	Urgency  Urgency   `json:"urgency"`
	Deadline time.Time `json:"deadline"` // of the move; zero if none
	Since    time.Time `json:"since"`    // time of the first request for the load
	Started  time.Time `json:"started"`  // zero while queued
}

// WeightQueue limits concurrent loads, because the weight store has limited bandwidth.
type WeightQueue struct {
	MaxConcurrent int           // maximum number of concurrent loads; 0 means 1
	MinSpacing    time.Duration // minimum time between two starts
}

// Next returns the queued loads that may start now, the most urgent first.
func (q WeightQueue) Next(now time.Time, running, waiting []WeightLoad) []WeightLoad {
	free := max(q.MaxConcurrent, 1) - len(running)
	var lastStart time.Time
	for _, l := range running {
		if l.Started.After(lastStart) {
			lastStart = l.Started
		}
	}
	if free <= 0 || q.MinSpacing > 0 && now.Sub(lastStart) < q.MinSpacing {
		return nil
	}
	if q.MinSpacing > 0 {
		free = 1
	}
	out := slices.Clone(waiting)
	slices.SortFunc(out, func(a, b WeightLoad) int {
		return cmp.Or(cmp.Compare(a.Urgency, b.Urgency), compareDeadline(a.Deadline, b.Deadline), a.Since.Compare(b.Since), cmp.Compare(a.OrderID, b.OrderID))
	})
	return out[:min(free, len(out))]
}

func compareDeadline(a, b time.Time) int {
	switch {
	case a.IsZero() && b.IsZero():
		return 0
	case a.IsZero():
		return 1
	case b.IsZero():
		return -1
	}
	return a.Compare(b)
}

// addServerOrders adds orders for servers that lack their version, an adapter or their
// role.
func (d *decision) addServerOrders() {
	running := map[string]bool{}
	for _, l := range d.view.Loads {
		running[l.OrderID] = true
	}
	byID := map[string]Action{}
	var waiting []WeightLoad
	for _, g := range d.groups {
		for _, i := range g.instances {
			b, ok := d.backends[i.ID]
			if !ok || i.Phase != Running || b.State == world.Leaving {
				continue
			}
			a, loadsWeights := d.nextOrder(g, i, b)
			switch {
			case a.Kind == "":
			case !loadsWeights || running[a.ID]:
				d.actions = append(d.actions, a)
			default:
				byID[a.ID] = a
				waiting = append(waiting, WeightLoad{OrderID: a.ID, Urgency: g.urgency(), Deadline: g.deadline, Since: i.Since})
			}
		}
	}
	for _, l := range d.view.Queue.Next(d.now, d.view.Loads, waiting) {
		d.actions = append(d.actions, byID[l.OrderID])
	}
}

// nextOrder returns the next order for a backend server, and whether the order loads
// weights.
func (d *decision) nextOrder(g *group, i world.Instance, b world.Backend) (a Action, loadsWeights bool) {
	id := func(k Kind, object string) string {
		return fmt.Sprintf("%s/%s/%s/%d", k, i.RequestID, object, b.Incarnation)
	}
	if !b.Runs(i.Version) {
		a = d.newAction(LoadVersion, i, "does not have the version")
		a.ID = id(LoadVersion, i.Version)
		return a, g.service.Kind == decl.Model
	}
	for _, adapter := range d.view.Adapters[i.Service] {
		if !slices.Contains(b.Adapters, adapter) {
			a = d.newAction(LoadAdapter, i, "does not have the adapter")
			a.ID, a.Adapter = id(LoadAdapter, adapter), adapter
			return a, true
		}
	}
	if role, ok := d.view.Roles[i.ID]; ok && role != b.Role {
		a = d.newAction(SetRole, i, "has another role")
		a.ID, a.Role = id(SetRole, role), role
		return a, false
	}
	return Action{}, false
}

func (g *group) urgency() Urgency {
	switch {
	case !g.deadline.IsZero():
		return ForMove
	case g.readyCount < g.required:
		return Headroom
	}
	return Growth
}
