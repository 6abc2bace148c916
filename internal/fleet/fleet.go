// Package fleet decides what runs where: which instances to buy, drain, clean
// and stop, and which orders backend servers get. Decide depends on recorded
// state, announcements and the present time only. Its actions are idempotent and
// are repeated until their effect shows, so that a leader may die at any point.
package fleet

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"cranberrypath.example/cranberrypath/internal/world"
	"cranberrypath.example/cranberrypath/pkg/decl"
)

// Phases of an instance, as recorded in world.Instance.
const (
	Requested = "requested" // asked for; the cloud has not answered
	Running   = "running"
	Draining  = "draining" // will be stopped once its work has finished
	Cleaning  = "cleaning" // drained, cleaned and then running again
	Stopping  = "stopping"
	Gone      = "gone"
)

const (
	// use is the part of the slots that demand may take, so that latency
	// targets hold between two purchases.
	use = 0.8
	// settle is how long an instance runs at least before it is drained for
	// its price or for lower demand.
	settle = 10 * time.Minute
	// drainPart bounds the part of a version's instances that drain at once to
	// save money.
	drainPart = 0.1
	// permission is how long entry instances may still send work to a server
	// that is leaving, with a reserve for the way.
	permission = 5 * time.Second
	// silent is how long a draining server without reported work and without an
	// announcement is waited for.
	silent = 2 * time.Minute
	// spareFromShare is the share of a move from which its new version gets
	// spare capacity; below it the old version still takes everything back.
	spareFromShare = 0.5
)

// Offer is what the cloud sells now.
type Offer struct {
	DataCentre, Zone, Class string
	Reclaimable             bool
	Price                   float64 // currency units an hour
}

// Demand is the work of a service, in slots.
type Demand struct {
	Slots float64 // in use or wanted now
	// Recent is the highest Slots of the past 10 minutes; capacity follows it
	// down and follows Slots up.
	Recent float64
}

// Fence is a fencing number.
type Fence struct{ Term, Index uint64 }

// View is what a decision depends on.
type View struct {
	Declaration decl.Declaration
	Preset      string // in force
	Previous    string // preset before; empty if there was none
	PresetAt    time.Time
	Versions    map[string]string // by service: version in force outside of moves
	Moves       []world.Move
	Provision   map[string]float64 // by move id: moves.Plan.Provision

	Instances []world.Instance // recorded; those that are gone may be left out
	Bought    uint64           // purchases ever recorded; request ids derive from it
	// Deployment tells the request ids of deployments apart that share an account
	// of the cloud.
	Deployment string
	Refusals   []Refusal // recorded
	Loads      []Load    // recorded: orders for weights that have not finished

	Backends []world.Backend   // as announced; ID is the instance's
	Work     map[string]int    // by instance id: requests running and waiting
	Demand   map[string]Demand // by service
	Offers   []Offer
	// Fixed is set if the servers are given: none is bought, stopped or drained
	// except for cleaning.
	Fixed    bool
	Adapters map[string][]string // by service
	Roles    map[string]string   // by instance id: wanted role
	Fence    Fence
	Queue    WeightQueue
}

// Kind of action.
type Kind string

// The kinds of action. Buy, Stop and Tell do not go to a backend server.
const (
	Buy         Kind = "buy"
	Drain       Kind = "drain"
	Stop        Kind = "stop"
	Clean       Kind = "clean"
	LoadVersion Kind = "loadVersion"
	LoadAdapter Kind = "loadAdapter"
	SetRole     Kind = "setRole"
	Tell        Kind = "tell" // nothing to do; for the time line
)

// Action is one decision. An action that repeats has the same ID.
type Action struct {
	Kind  Kind
	ID    string
	Fence Fence
	// Request is the request id of the instance, for all kinds but Tell.
	Request  string
	Instance string // id given by the cloud
	Service  string
	Version  string

	DataCentre, Zone, Class string
	Reclaimable             bool

	Adapter, Role string
	// Clean drains for cleaning if it is set on a Drain.
	Clean   bool
	By      time.Time // reclaim deadline of a drain; zero without one
	Missing int       // on a Tell: instances that the headroom lacks
	Reason  string
}

// Record returns the instance as it is to be recorded before the action runs.
// ok is false if the action changes no record.
func Record(i world.Instance, a Action, now time.Time) (next world.Instance, ok bool) {
	switch {
	case a.Kind == Buy && i.RequestID == "":
		return world.Instance{
			RequestID: a.Request, DataCentre: a.DataCentre, Zone: a.Zone, Class: a.Class, Reclaimable: a.Reclaimable,
			Service: a.Service, Version: a.Version, Phase: Requested, Since: now, Cleaned: now,
		}, true
	case i.RequestID != a.Request:
		return i, false
	case a.Kind == Drain && a.Clean && i.Phase == Running:
		return i.WithPhase(Cleaning, now), true
	case a.Kind == Drain && !a.Clean && (i.Phase == Running || i.Phase == Cleaning):
		return i.WithPhase(Draining, now), true
	case a.Kind == Stop && i.Phase == Draining:
		return i.WithPhase(Stopping, now), true
	}
	return i, false
}

// IsNext reports whether a purchase is the next one after bought recorded ones.
// The store records no other, so that of two controllers that decide on the same
// state only one purchase is recorded, and both send the same request id.
func IsNext(a Action, deployment string, bought uint64) bool {
	return a.Kind == Buy && a.ID == buyID(deployment, bought+1)
}

// Purchase returns the number of the purchase that a request id names. ok is
// false for ids that are not of this deployment.
func Purchase(request, deployment string) (n uint64, ok bool) {
	digits, ok := strings.CutPrefix(request, buyPrefix(deployment))
	n, err := strconv.ParseUint(digits, 10, 64)
	return n, ok && err == nil && buyID(deployment, n) == request
}

func buyPrefix(deployment string) string { return "buy-" + deployment + "-" }

func buyID(deployment string, n uint64) string { return fmt.Sprintf("%s%d", buyPrefix(deployment), n) }

// place is where and how an instance is bought.
type place struct {
	dc, zone, class string
	reclaimable     bool
}

func placeOf(i world.Instance) place { return place{i.DataCentre, i.Zone, i.Class, i.Reclaimable} }

// group is the instances of one service and version.
type group struct {
	service  decl.Service
	version  string
	need     int // instances that must be left after the losses
	spareDCs int
	extra    int // for cleaning
	onDemand float64
	deadline time.Time // of a move that waits for them
	wanted   bool

	have  []world.Instance // requested, running or cleaning, without a notice
	ready int
	total int // target
}

type decision struct {
	now      time.Time
	v        View
	backends map[string]world.Backend
	preset   decl.Preset
	groups   []*group
	out      []Action
	bought   uint64
}

// Decide returns what to do now, the most urgent kinds first.
func Decide(now time.Time, v View) []Action {
	d := &decision{now: now, v: v, backends: make(map[string]world.Backend, len(v.Backends)), bought: v.Bought}
	for _, b := range v.Backends {
		d.backends[b.ID] = b
	}
	d.preset = pacedPreset(now, v)
	d.groups = d.makeGroups()
	d.repeat()
	for _, g := range d.groups {
		if !v.Fixed {
			d.place(g)
		}
	}
	d.clean()
	d.orders()
	return d.out
}

// pacedPreset returns the preset in force, on the way from the previous one.
func pacedPreset(now time.Time, v View) decl.Preset {
	p, _ := v.Declaration.PresetNamed(v.Preset)
	from, ok := v.Declaration.PresetNamed(v.Previous)
	pace := time.Duration(p.PaceSeconds) * time.Second
	if !ok || pace == 0 || now.Sub(v.PresetAt) >= pace {
		return p
	}
	part := max(float64(now.Sub(v.PresetAt))/float64(pace), 0)
	between := func(a, b float64) float64 { return a + (b-a)*part }
	out := p
	out.Capacity = nil
	for _, s := range v.Declaration.Services {
		a, b := from.CapacityOf(s.Name), p.CapacityOf(s.Name)
		out.Capacity = append(out.Capacity, decl.Capacity{
			Service: s.Name,
			Min:     int(math.Round(between(float64(a.Min), float64(b.Min)))),
			Max:     int(math.Round(between(float64(a.Max), float64(b.Max)))),
		})
	}
	out.OnDemandShare = between(from.OnDemandShare, p.OnDemandShare)
	return out
}

// makeGroups returns the wanted services and versions, then those that only
// have instances left, in a fixed order.
func (d *decision) makeGroups() []*group {
	var out []*group
	at := map[[2]string]*group{}
	add := func(s decl.Service, version string) *group {
		k := [2]string{s.Name, version}
		if at[k] == nil {
			at[k] = &group{service: s, version: version}
			out = append(out, at[k])
		}
		return at[k]
	}
	for _, s := range d.v.Declaration.Services {
		base := d.base(s)
		current := cmp.Or(d.v.Versions[s.Name], s.Version)
		move, moving := d.move(s.Name)
		if moving {
			current = move.From
		}
		d.want(add(s, current), base, 1)
		if moving {
			g := add(s, move.To)
			d.want(g, base, d.v.Provision[move.ID])
			g.deadline = move.Deadline
		}
	}
	for _, i := range d.v.Instances {
		s, _ := d.v.Declaration.Service(i.Service)
		s.Name = i.Service
		g := add(s, i.Version)
		if !i.LeaveBy.IsZero() || i.Phase != Requested && i.Phase != Running && i.Phase != Cleaning {
			continue
		}
		g.have = append(g.have, i)
		if d.isReady(i) {
			g.ready++
		}
		if i.Phase == Cleaning || d.isDue(i) {
			g.extra = min(g.extra+1, d.v.Declaration.Cleaning.MaxAtOnce)
		}
	}
	return out
}

// base returns how many instances the accepted work of a service needs.
func (d *decision) base(s decl.Service) int {
	c, load := d.preset.CapacityOf(s.Name), d.v.Demand[s.Name]
	n := int(math.Ceil(max(load.Slots, load.Recent) / (float64(max(s.Slots, 1)) * use)))
	if d.v.Fixed {
		return max(n, c.Min)
	}
	return min(max(n, c.Min), c.Max)
}

func (d *decision) want(g *group, base int, share float64) {
	g.wanted = true
	g.need = max(g.need, int(math.Ceil(float64(base)*share)))
	g.onDemand = d.preset.OnDemandShare
	if share >= spareFromShare {
		g.spareDCs = d.preset.SpareDataCentres
	}
}

func (d *decision) move(service string) (world.Move, bool) {
	var newest world.Move
	for _, m := range d.v.Moves {
		if m.Service == service && m.Outcome == "" && (newest.ID == "" || cmp.Or(m.Started.Compare(newest.Started), cmp.Compare(m.ID, newest.ID)) > 0) {
			newest = m
		}
	}
	return newest, newest.ID != ""
}

func (d *decision) isReady(i world.Instance) bool {
	b, ok := d.backends[i.ID]
	return ok && i.Phase == Running && i.LeaveBy.IsZero() && b.State == world.Ready && b.LeaveBy.IsZero() && b.Runs(i.Version)
}

// repeat continues what is recorded but has not taken effect yet.
func (d *decision) repeat() {
	for _, i := range d.v.Instances {
		b, announced := d.backends[i.ID]
		// A server that does not announce itself may be behind a partition with work running.
		idle := d.v.Work[i.ID] == 0 && d.now.Sub(i.Since) >= permission && (announced && b.State == world.Leaving || !announced && d.now.Sub(i.Since) >= silent)
		switch {
		case i.Phase == Requested:
			a := d.act(Buy, i, "has no answer yet")
			a.ID = i.RequestID
			d.out = append(d.out, a)
		case !i.LeaveBy.IsZero() && (i.Phase == Running || i.Phase == Cleaning):
			d.drain(i, false, "reclaim notice")
		case i.Phase == Draining && idle:
			d.out = append(d.out, d.act(Stop, i, "has no work left"))
		case i.Phase == Draining:
			d.drain(i, false, "finishes its work")
		case i.Phase == Stopping && d.v.Work[i.ID] > 0:
			d.drain(i, false, "got work at the last moment")
		case i.Phase == Stopping:
			d.out = append(d.out, d.act(Stop, i, "not stopped yet"))
		case i.Phase == Cleaning && announced && idle:
			d.out = append(d.out, d.act(Clean, i, "drained for cleaning"))
		case i.Phase == Cleaning:
			d.drain(i, true, "finishes its work before cleaning")
		}
	}
}

// act returns an action on a recorded instance. Its id derives from the record,
// so that it is the same however often and by whomever it is decided.
func (d *decision) act(k Kind, i world.Instance, reason string) Action {
	return Action{
		Kind: k, ID: fmt.Sprintf("%s/%s/%d", k, i.RequestID, i.Since.Unix()), Fence: d.v.Fence, Request: i.RequestID, Instance: i.ID,
		Service: i.Service, Version: i.Version, DataCentre: i.DataCentre, Zone: i.Zone, Class: i.Class, Reclaimable: i.Reclaimable, Reason: reason,
	}
}

func (d *decision) drain(i world.Instance, clean bool, reason string) {
	a := d.act(Drain, i, reason)
	a.ID = fmt.Sprintf("%s/%s/%d", Drain, i.RequestID, i.Cleaned.Unix())
	if clean {
		a.ID += "/clean"
	}
	a.Clean, a.By = clean, i.LeaveBy
	d.out = append(d.out, a)
}

func (d *decision) tell(service, version, format string, args ...any) {
	d.out = append(d.out, Action{Kind: Tell, Service: service, Version: version, Reason: fmt.Sprintf(format, args...)})
}

// place buys what a group lacks and drains what it has too much.
func (d *decision) place(g *group) {
	target, missing := map[place]int{}, 0
	if g.wanted {
		target, missing = cheapest(d.bins(g), g.need+g.extra, g.spareDCs, g.onDemand)
	}
	if missing > 0 {
		d.tell(g.service.Name, g.version, "%d instances fewer than the headroom needs: no offers without a recent refusal", missing)
		d.out[len(d.out)-1].Missing = missing
	}
	have := map[place]int{}
	for _, i := range g.have {
		have[placeOf(i)]++
	}
	bought := 0
	for _, p := range sortedPlaces(target) {
		g.total += target[p]
		for range target[p] - have[p] {
			d.buy(g, p)
			bought++
		}
	}
	if bought == 0 && missing == 0 {
		d.shrink(g, target)
	}
}

func (d *decision) buy(g *group, p place) {
	d.bought++
	id := buyID(d.v.Deployment, d.bought)
	d.out = append(d.out, Action{
		Kind: Buy, ID: id, Request: id, Fence: d.v.Fence, Service: g.service.Name, Version: g.version,
		DataCentre: p.dc, Zone: p.zone, Class: p.class, Reclaimable: p.reclaimable, Reason: "capacity is missing",
	})
}

// shrink drains instances beyond the target once everything in the target is
// ready, a few at a time.
func (d *decision) shrink(g *group, target map[place]int) {
	if !d.replaced(g, target) {
		return
	}
	left := map[place]int{}
	for p, n := range target {
		left[p] = n
	}
	// Instances that are ready and were cleaned last stay.
	have := slices.Clone(g.have)
	slices.SortStableFunc(have, func(a, b world.Instance) int {
		if ra, rb := d.isReady(a), d.isReady(b); ra != rb {
			if ra {
				return -1
			}
			return 1
		}
		return cmp.Or(b.Cleaned.Compare(a.Cleaned), cmp.Compare(a.RequestID, b.RequestID))
	})
	budget := 1 + int(drainPart*float64(len(have)))
	for _, i := range have {
		p := placeOf(i)
		if left[p] > 0 {
			left[p]--
			continue
		}
		if budget == 0 || i.Phase != Running || g.wanted && d.now.Sub(i.Since) < settle {
			continue
		}
		budget--
		d.drain(i, false, "not needed any more")
	}
}

// replaced reports whether everything that shall stay is ready: the target of
// the group itself and, for a version that is no longer wanted, that of the
// versions that replace it.
func (d *decision) replaced(g *group, target map[place]int) bool {
	if g.wanted {
		return d.filled(g, target)
	}
	for _, o := range d.groups {
		if o.service.Name == g.service.Name && o.wanted && o.ready < max(o.total, o.need) {
			return false
		}
	}
	return true
}

func (d *decision) filled(g *group, target map[place]int) bool {
	ready := map[place]int{}
	for _, i := range g.have {
		if d.isReady(i) || i.Phase == Cleaning {
			ready[placeOf(i)]++
		}
	}
	for p, n := range target {
		if ready[p] < n {
			return false
		}
	}
	return true
}
