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

// Cleaning is spread by a hash of the request id over the part of the period
// from cleanFrom to cleanUntil; the rest is a reserve for servers whose cleaning
// had to wait.
const (
	cleanFrom  = 0.5
	cleanUntil = 0.9
	// moveReserve is how many drain times must be left to a move's deadline
	// when a server of its service is cleaned.
	moveReserve = 3
)

func (d *decision) due(i world.Instance) time.Time {
	h := fnv.New32a()
	_, _ = h.Write([]byte(i.RequestID))
	part := cleanFrom + (cleanUntil-cleanFrom)*float64(h.Sum32()%1000)/1000
	return i.Cleaned.Add(time.Duration(part * float64(period(d.v.Declaration.Cleaning))))
}

func period(c decl.Cleaning) time.Duration { return time.Duration(c.EveryHours) * time.Hour }

func (d *decision) isDue(i world.Instance) bool {
	return d.preset.CleaningAllowed && i.Phase == Running && !d.now.Before(d.due(i))
}

// clean starts the cleaning of servers whose absence costs neither headroom nor
// a move's deadline, the most overdue first.
func (d *decision) clean() {
	c := d.v.Declaration.Cleaning
	busy := 0
	var due []world.Instance
	for _, i := range d.v.Instances {
		if i.Phase == Cleaning {
			busy++
		}
		if i.Phase == Running && d.now.Sub(i.Cleaned) > period(c) {
			d.tell(i.Service, i.Version, "cleaning of %s is overdue by %s", i.RequestID, (d.now.Sub(i.Cleaned) - period(c)).Round(time.Minute))
		}
		if d.isDue(i) && d.isReady(i) {
			due = append(due, i)
		}
	}
	slices.SortFunc(due, func(a, b world.Instance) int {
		return cmp.Or(a.Cleaned.Compare(b.Cleaned), cmp.Compare(a.RequestID, b.RequestID))
	})
	leaves := map[string]bool{}
	for _, a := range d.out {
		leaves[a.Request] = leaves[a.Request] || a.Kind == Drain
	}
	for _, i := range due {
		if busy >= c.MaxAtOnce {
			return
		}
		g := d.groupOf(i)
		if leaves[i.RequestID] || g == nil || !g.wanted || !d.survives(g, i) || d.nearDeadline(i.Service) {
			continue
		}
		g.ready--
		busy++
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

// survives reports whether the ready servers without one of them still meet the
// need after the losses that the preset allows for. Given servers cannot be
// joined by another one for the time of the cleaning, so the need alone counts.
func (d *decision) survives(g *group, without world.Instance) bool {
	dcs, zones := map[string]int{}, map[string]int{}
	left := 0
	for _, i := range g.have {
		if i.RequestID == without.RequestID || !d.isReady(i) {
			continue
		}
		left++
		dcs[i.DataCentre]++
		if i.Reclaimable {
			zones[i.DataCentre+"/"+i.Zone]++
		}
	}
	// Servers that this decision sends to cleaning already are ready still.
	pending := 0
	for _, a := range d.out {
		if a.Kind == Drain && a.Clean && a.Service == g.service.Name && a.Version == g.version && d.isReadyRequest(g, a.Request) {
			pending++
		}
	}
	losses, n := dcs, g.spareDCs
	if n == 0 {
		losses, n = zones, 1
	}
	var counts []int
	for _, c := range losses {
		counts = append(counts, c)
	}
	slices.Sort(counts)
	if d.v.Fixed {
		n = 0
	}
	for _, c := range counts[max(len(counts)-n, 0):] {
		left -= c
	}
	return left-pending >= g.need
}

func (d *decision) isReadyRequest(g *group, request string) bool {
	return slices.ContainsFunc(g.have, func(i world.Instance) bool { return i.RequestID == request && d.isReady(i) })
}

func (d *decision) nearDeadline(service string) bool {
	m, ok := d.move(service)
	drain := time.Duration(d.v.Declaration.Cleaning.DrainMinutes) * time.Minute
	return ok && m.Deadline.Sub(d.now) < moveReserve*drain
}

// Urgency of a load of weights.
type Urgency uint8

// The urgencies, most urgent first.
const (
	Headroom Urgency = iota // a loss would leave too little capacity
	ForMove                 // a version move waits
	Growth                  // demand or a preset grows
)

// Load is one load of weights.
type Load struct {
	Order    string    `json:"order"` // id of the order
	Urgency  Urgency   `json:"urgency"`
	Deadline time.Time `json:"deadline"` // of the move; zero without one
	Since    time.Time `json:"since"`    // when it was first wanted
	Started  time.Time `json:"started"`  // zero while it waits
}

// WeightQueue shares the weight store, whose rate is limited.
type WeightQueue struct {
	AtOnce  int           // loads at the same time; 0 means one
	Spacing time.Duration // between two starts
}

// Next returns the waiting loads that may start now, most urgent first.
func (q WeightQueue) Next(now time.Time, running, waiting []Load) []Load {
	free := max(q.AtOnce, 1) - len(running)
	var last time.Time
	for _, l := range running {
		if l.Started.After(last) {
			last = l.Started
		}
	}
	if free <= 0 || q.Spacing > 0 && now.Sub(last) < q.Spacing {
		return nil
	}
	if q.Spacing > 0 {
		free = 1
	}
	out := slices.Clone(waiting)
	slices.SortFunc(out, func(a, b Load) int {
		return cmp.Or(cmp.Compare(a.Urgency, b.Urgency), compareDeadline(a.Deadline, b.Deadline), a.Since.Compare(b.Since), cmp.Compare(a.Order, b.Order))
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

// orders gives backend servers what they lack: version, adapters, role.
func (d *decision) orders() {
	running := map[string]bool{}
	for _, l := range d.v.Loads {
		running[l.Order] = true
	}
	byID := map[string]Action{}
	var waiting []Load
	for _, g := range d.groups {
		for _, i := range g.have {
			b, ok := d.backends[i.ID]
			if !ok || i.Phase != Running || b.State == world.Leaving {
				continue
			}
			a, loads := d.lacks(g, i, b)
			switch {
			case a.Kind == "":
			case !loads || running[a.ID]:
				d.out = append(d.out, a)
			default:
				byID[a.ID] = a
				waiting = append(waiting, Load{Order: a.ID, Urgency: g.urgency(), Deadline: g.deadline, Since: i.Since})
			}
		}
	}
	for _, l := range d.v.Queue.Next(d.now, d.v.Loads, waiting) {
		d.out = append(d.out, byID[l.Order])
	}
}

// lacks returns the next order for a backend server, and whether it loads weights.
func (d *decision) lacks(g *group, i world.Instance, b world.Backend) (a Action, loads bool) {
	id := func(k Kind, what string) string {
		return fmt.Sprintf("%s/%s/%s/%d", k, i.RequestID, what, b.Incarnation)
	}
	if !b.Runs(i.Version) {
		a = d.act(LoadVersion, i, "does not have the version")
		a.ID = id(LoadVersion, i.Version)
		return a, g.service.Kind == decl.Model
	}
	for _, adapter := range d.v.Adapters[i.Service] {
		if !slices.Contains(b.Adapters, adapter) {
			a = d.act(LoadAdapter, i, "does not have the adapter")
			a.ID, a.Adapter = id(LoadAdapter, adapter), adapter
			return a, true
		}
	}
	if role, ok := d.v.Roles[i.ID]; ok && role != b.Role {
		a = d.act(SetRole, i, "has another role")
		a.ID, a.Role = id(SetRole, role), role
		return a, false
	}
	return Action{}, false
}

func (g *group) urgency() Urgency {
	switch {
	case !g.deadline.IsZero():
		return ForMove
	case g.ready < g.need:
		return Headroom
	}
	return Growth
}
