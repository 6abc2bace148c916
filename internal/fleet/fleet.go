// Package fleet decides the placement of backend servers: which instances to buy,
// drain, clean and stop, and which orders to send to the servers. Decide is a pure
// function of the recorded state, the server announcements and the current time. Its
// actions are idempotent and repeated until their effect is observed, so that a leader
// may crash at any point.
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
	Requested = "requested" // the response of the cloud is pending
	Running   = "running"
	Draining  = "draining" // stopped once its requests have completed
	Cleaning  = "cleaning" // drained, cleaned and returned to Running
	Stopping  = "stopping"
	Gone      = "gone"
)

const (
	// targetUtilisation is the fraction of the slots that demand may use, so that
	// latency targets are met until the next purchase is ready.
	targetUtilisation = 0.8
	// minInstanceAge is the minimum age of an instance that is drained because of
	// its price or lower demand.
	minInstanceAge = 10 * time.Minute
	// maxDrainFraction bounds the fraction of a version's instances that drain at
	// the same time to save cost.
	maxDrainFraction = 0.1
	// dispatchGrace is how long entry instances may still send requests to a server
	// that has started to drain, including a margin for network delay.
	dispatchGrace = 5 * time.Second
	// unreachableTimeout is how long to wait for a draining server that neither
	// announces itself nor has reported requests.
	unreachableTimeout = 2 * time.Minute
	// minShareForSpare is the traffic share at which the new version of a move gets
	// spare capacity. With a lower share the old version can take all traffic back.
	minShareForSpare = 0.5
)

// Offer is a kind of instance that the cloud currently sells.
type Offer struct {
	DataCentre, Zone, Class string
	Reclaimable             bool
	Price                   float64 // currency units per hour
}

// Demand is the load of a service, in slots.
type Demand struct {
	Slots float64 // in use or requested now
	// Recent is the maximum of Slots in the past 10 minutes: capacity follows Slots
	// up at once but follows it down with this delay.
	Recent float64
}

// Fence is a fencing token.
type Fence struct{ Term, Index uint64 }

// View is the input of Decide.
type View struct {
	Declaration    decl.Declaration
	Preset         string // active preset
	PreviousPreset string // previous preset; empty if none
	PresetSince    time.Time
	Versions       map[string]string // by service: current version if no move is running
	Moves          []world.Move
	Provision      map[string]float64 // by move id: moves.Plan.Provision

	Instances     []world.Instance // recorded; instances in phase Gone may be omitted
	PurchaseCount uint64           // number of purchases ever recorded; the RequestIDs of new instances derive from it
	// Deployment distinguishes the RequestIDs of deployments that share a cloud
	// account.
	Deployment string
	Refusals   []Refusal    // recorded
	Loads      []WeightLoad // recorded orders to load weights that have not completed

	Backends []world.Backend   // as announced; ID is the instance ID
	Requests map[string]int    // by instance ID: callers' requests running and queued
	Demand   map[string]Demand // by service
	Offers   []Offer
	// FixedServers is set if the set of servers is fixed: none is bought or stopped, and
	// servers are drained for cleaning only.
	FixedServers bool
	Adapters     map[string][]string // by service
	Roles        map[string]string   // by instance ID: target role
	Fence        Fence
	Queue        WeightQueue
}

// Kind is the kind of an action.
type Kind string

// The kinds of action. Buy, Stop and Report are not sent to a backend server.
const (
	Buy         Kind = "buy"
	Drain       Kind = "drain"
	Stop        Kind = "stop"
	Clean       Kind = "clean"
	LoadVersion Kind = "loadVersion"
	LoadAdapter Kind = "loadAdapter"
	SetRole     Kind = "setRole"
	Report      Kind = "tell" // no operation; the reason is shown in the event history
)

// Action is one decision. A repeated action has the same ID.
type Action struct {
	Kind  Kind
	ID    string
	Fence Fence
	// RequestID identifies the instance by its purchase; empty for Report.
	RequestID  string
	InstanceID string // instance ID assigned by the cloud
	Service    string
	Version    string

	DataCentre, Zone, Class string
	Reclaimable             bool

	Adapter, Role string
	// ForCleaning is set on a Drain whose purpose is cleaning.
	ForCleaning     bool
	ReclaimDeadline time.Time // of a Drain; zero if none
	Missing         int       // on a Report: number of instances missing for the headroom
	Reason          string
}

// RecordAction returns the instance as it must be recorded before the action is executed.
// ok is false if the action does not change the record.
func RecordAction(i world.Instance, a Action, now time.Time) (next world.Instance, ok bool) {
	switch {
	case a.Kind == Buy && i.RequestID == "":
		return world.Instance{
			RequestID: a.RequestID, DataCentre: a.DataCentre, Zone: a.Zone, Class: a.Class, Reclaimable: a.Reclaimable,
			Service: a.Service, Version: a.Version, Phase: Requested, Since: now, Cleaned: now,
		}, true
	case i.RequestID != a.RequestID:
		return i, false
	case a.Kind == Drain && a.ForCleaning && i.Phase == Running:
		return i.WithPhase(Cleaning, now), true
	case a.Kind == Drain && !a.ForCleaning && (i.Phase == Running || i.Phase == Cleaning):
		return i.WithPhase(Draining, now), true
	case a.Kind == Stop && i.Phase == Draining:
		return i.WithPhase(Stopping, now), true
	}
	return i, false
}

// IsNextPurchase reports whether a is the purchase that follows the bought recorded ones. The
// store records no other purchase: if two controllers decide from the same state, only
// one purchase is recorded, and both send the same RequestID.
func IsNextPurchase(a Action, deployment string, bought uint64) bool {
	return a.Kind == Buy && a.ID == buyID(deployment, bought+1)
}

// PurchaseNumber returns the purchase number in the RequestID of an instance. ok is false if
// the ID does not belong to this deployment.
func PurchaseNumber(requestID, deployment string) (n uint64, ok bool) {
	digits, ok := strings.CutPrefix(requestID, buyPrefix(deployment))
	n, err := strconv.ParseUint(digits, 10, 64)
	return n, ok && err == nil && buyID(deployment, n) == requestID
}

func buyPrefix(deployment string) string { return "buy-" + deployment + "-" }

func buyID(deployment string, n uint64) string { return fmt.Sprintf("%s%d", buyPrefix(deployment), n) }

// placement is the location, machine class and pricing model of an instance.
type placement struct {
	dataCentre, zone, class string
	reclaimable             bool
}

func placementOf(i world.Instance) placement {
	return placement{i.DataCentre, i.Zone, i.Class, i.Reclaimable}
}

// group holds the instances of one service and version.
type group struct {
	service          decl.Service
	version          string
	required         int // instances that must remain after the tolerated losses
	spareDataCentres int // data centres whose loss at the same time is tolerated
	cleaningReserve  int // additional instances that replace those being cleaned or due for cleaning
	onDemandShare    float64
	deadline         time.Time // of the move that waits for the instances; zero if none
	active           bool

	instances   []world.Instance // requested, running or cleaning, without a reclaim notice
	readyCount  int
	targetCount int
}

type decision struct {
	now       time.Time
	view      View
	backends  map[string]world.Backend
	preset    decl.Preset
	groups    []*group
	actions   []Action
	purchases uint64
}

// Decide returns the actions to take now, the most urgent kinds first.
func Decide(now time.Time, v View) []Action {
	d := &decision{now: now, view: v, backends: make(map[string]world.Backend, len(v.Backends)), purchases: v.PurchaseCount}
	for _, b := range v.Backends {
		d.backends[b.ID] = b
	}
	d.preset = interpolatedPreset(now, v)
	d.groups = d.buildGroups()
	d.continueRecorded()
	for _, g := range d.groups {
		if !v.FixedServers {
			d.resize(g)
		}
	}
	d.startCleaning()
	d.addServerOrders()
	return d.actions
}

// interpolatedPreset returns the active preset. During its pace time, capacities and
// the on-demand share are interpolated from the previous preset.
func interpolatedPreset(now time.Time, v View) decl.Preset {
	p, _ := v.Declaration.PresetNamed(v.Preset)
	previous, ok := v.Declaration.PresetNamed(v.PreviousPreset)
	pace := time.Duration(p.PaceSeconds) * time.Second
	if !ok || pace == 0 || now.Sub(v.PresetSince) >= pace {
		return p
	}
	fraction := max(float64(now.Sub(v.PresetSince))/float64(pace), 0)
	interpolate := func(a, b float64) float64 { return a + (b-a)*fraction }
	out := p
	out.Capacity = nil
	for _, s := range v.Declaration.Services {
		a, b := previous.CapacityOf(s.Name), p.CapacityOf(s.Name)
		out.Capacity = append(out.Capacity, decl.Capacity{
			Service: s.Name,
			Min:     int(math.Round(interpolate(float64(a.Min), float64(b.Min)))),
			Max:     int(math.Round(interpolate(float64(a.Max), float64(b.Max)))),
		})
	}
	out.OnDemandShare = interpolate(previous.OnDemandShare, p.OnDemandShare)
	return out
}

// buildGroups returns the groups of the active versions, followed by those that only
// have remaining instances, in a deterministic order.
func (d *decision) buildGroups() []*group {
	var out []*group
	byKey := map[[2]string]*group{}
	add := func(s decl.Service, version string) *group {
		k := [2]string{s.Name, version}
		if byKey[k] == nil {
			byKey[k] = &group{service: s, version: version}
			out = append(out, byKey[k])
		}
		return byKey[k]
	}
	for _, s := range d.view.Declaration.Services {
		required := d.requiredInstances(s)
		current := cmp.Or(d.view.Versions[s.Name], s.Version)
		move, hasMove := d.runningMove(s.Name)
		if hasMove {
			current = move.From
		}
		d.setRequired(add(s, current), required, 1)
		if hasMove {
			g := add(s, move.To)
			d.setRequired(g, required, d.view.Provision[move.ID])
			g.deadline = move.Deadline
		}
	}
	for _, i := range d.view.Instances {
		s, _ := d.view.Declaration.Service(i.Service)
		s.Name = i.Service
		g := add(s, i.Version)
		if !i.LeaveBy.IsZero() || i.Phase != Requested && i.Phase != Running && i.Phase != Cleaning {
			continue
		}
		g.instances = append(g.instances, i)
		if d.isReady(i) {
			g.readyCount++
		}
		if i.Phase == Cleaning || d.isCleaningDue(i) {
			g.cleaningReserve = min(g.cleaningReserve+1, d.view.Declaration.Cleaning.MaxAtOnce)
		}
	}
	return out
}

// requiredInstances returns how many instances the load of a service needs, within the
// limits of the preset.
func (d *decision) requiredInstances(s decl.Service) int {
	c, demand := d.preset.CapacityOf(s.Name), d.view.Demand[s.Name]
	n := int(math.Ceil(max(demand.Slots, demand.Recent) / (float64(max(s.Slots, 1)) * targetUtilisation)))
	if d.view.FixedServers {
		return max(n, c.Min)
	}
	return min(max(n, c.Min), c.Max)
}

func (d *decision) setRequired(g *group, required int, share float64) {
	g.active = true
	g.required = max(g.required, int(math.Ceil(float64(required)*share)))
	g.onDemandShare = d.preset.OnDemandShare
	if share >= minShareForSpare {
		g.spareDataCentres = d.preset.SpareDataCentres
	}
}

func (d *decision) runningMove(service string) (world.Move, bool) {
	var newest world.Move
	for _, m := range d.view.Moves {
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

// continueRecorded repeats recorded actions that have not taken effect yet.
func (d *decision) continueRecorded() {
	for _, i := range d.view.Instances {
		b, announced := d.backends[i.ID]
		// A server without announcements may be partitioned and still run requests.
		drained := d.view.Requests[i.ID] == 0 && d.now.Sub(i.Since) >= dispatchGrace && (announced && b.State == world.Leaving || !announced && d.now.Sub(i.Since) >= unreachableTimeout)
		switch {
		case i.Phase == Requested:
			a := d.newAction(Buy, i, "has no answer yet")
			a.ID = i.RequestID
			d.actions = append(d.actions, a)
		case !i.LeaveBy.IsZero() && (i.Phase == Running || i.Phase == Cleaning):
			d.drain(i, false, "reclaim notice")
		case i.Phase == Draining && drained:
			d.actions = append(d.actions, d.newAction(Stop, i, "has no work left"))
		case i.Phase == Draining:
			d.drain(i, false, "finishes its work")
		case i.Phase == Stopping && d.view.Requests[i.ID] > 0:
			d.drain(i, false, "got work at the last moment")
		case i.Phase == Stopping:
			d.actions = append(d.actions, d.newAction(Stop, i, "not stopped yet"))
		case i.Phase == Cleaning && announced && drained:
			d.actions = append(d.actions, d.newAction(Clean, i, "drained for cleaning"))
		case i.Phase == Cleaning:
			d.drain(i, true, "finishes its work before cleaning")
		}
	}
}

// newAction returns an action on a recorded instance. Its ID derives from the record,
// so that every controller that decides the action derives the same ID.
func (d *decision) newAction(k Kind, i world.Instance, reason string) Action {
	return Action{
		Kind: k, ID: fmt.Sprintf("%s/%s/%d", k, i.RequestID, i.Since.Unix()), Fence: d.view.Fence, RequestID: i.RequestID, InstanceID: i.ID,
		Service: i.Service, Version: i.Version, DataCentre: i.DataCentre, Zone: i.Zone, Class: i.Class, Reclaimable: i.Reclaimable, Reason: reason,
	}
}

func (d *decision) drain(i world.Instance, forCleaning bool, reason string) {
	a := d.newAction(Drain, i, reason)
	a.ID = fmt.Sprintf("%s/%s/%d", Drain, i.RequestID, i.Cleaned.Unix())
	if forCleaning {
		a.ID += "/clean"
	}
	a.ForCleaning, a.ReclaimDeadline = forCleaning, i.LeaveBy
	d.actions = append(d.actions, a)
}

func (d *decision) report(service, version, format string, args ...any) {
	d.actions = append(d.actions, Action{Kind: Report, Service: service, Version: version, Reason: fmt.Sprintf(format, args...)})
}

// resize buys the missing instances of a group or drains its surplus.
func (d *decision) resize(g *group) {
	target, missing := map[placement]int{}, 0
	if g.active {
		target, missing = cheapestPlacement(d.options(g), g.required+g.cleaningReserve, g.spareDataCentres, g.onDemandShare)
	}
	if missing > 0 {
		d.report(g.service.Name, g.version, "%d instances fewer than the headroom needs: no offers without a recent refusal", missing)
		d.actions[len(d.actions)-1].Missing = missing
	}
	existing := map[placement]int{}
	for _, i := range g.instances {
		existing[placementOf(i)]++
	}
	bought := 0
	for _, p := range sortedPlacements(target) {
		g.targetCount += target[p]
		for range target[p] - existing[p] {
			d.buy(g, p)
			bought++
		}
	}
	if bought == 0 && missing == 0 {
		d.shrink(g, target)
	}
}

func (d *decision) buy(g *group, p placement) {
	d.purchases++
	id := buyID(d.view.Deployment, d.purchases)
	d.actions = append(d.actions, Action{
		Kind: Buy, ID: id, RequestID: id, Fence: d.view.Fence, Service: g.service.Name, Version: g.version,
		DataCentre: p.dataCentre, Zone: p.zone, Class: p.class, Reclaimable: p.reclaimable, Reason: "capacity is missing",
	})
}

// shrink drains instances in excess of the target, a few at a time, once all instances
// in the target are ready.
func (d *decision) shrink(g *group, target map[placement]int) {
	if !d.replacementsReady(g, target) {
		return
	}
	unfilled := map[placement]int{}
	for p, n := range target {
		unfilled[p] = n
	}
	// The first instances are kept: ready ones, and of these the most recently cleaned.
	instances := slices.Clone(g.instances)
	slices.SortStableFunc(instances, func(a, b world.Instance) int {
		if ra, rb := d.isReady(a), d.isReady(b); ra != rb {
			if ra {
				return -1
			}
			return 1
		}
		return cmp.Or(b.Cleaned.Compare(a.Cleaned), cmp.Compare(a.RequestID, b.RequestID))
	})
	budget := 1 + int(maxDrainFraction*float64(len(instances)))
	for _, i := range instances {
		p := placementOf(i)
		if unfilled[p] > 0 {
			unfilled[p]--
			continue
		}
		if budget == 0 || i.Phase != Running || g.active && d.now.Sub(i.Since) < minInstanceAge {
			continue
		}
		budget--
		d.drain(i, false, "not needed any more")
	}
}

// replacementsReady reports whether the surplus of a group may be drained: the target
// of an active group is ready or, for a version that is no longer active, the targets
// of the versions that replace it.
func (d *decision) replacementsReady(g *group, target map[placement]int) bool {
	if g.active {
		return d.targetReady(g, target)
	}
	for _, o := range d.groups {
		if o.service.Name == g.service.Name && o.active && o.readyCount < max(o.targetCount, o.required) {
			return false
		}
	}
	return true
}

func (d *decision) targetReady(g *group, target map[placement]int) bool {
	ready := map[placement]int{}
	for _, i := range g.instances {
		if d.isReady(i) || i.Phase == Cleaning {
			ready[placementOf(i)]++
		}
	}
	for p, n := range target {
		if ready[p] < n {
			return false
		}
	}
	return true
}
