package manage

import (
	"context"
	"crypto/rand"
	"fmt"
	"strings"
	"time"

	"cranberrypath.example/cranberrypath/internal/cloud"
	"cranberrypath.example/cranberrypath/internal/contrl"
	"cranberrypath.example/cranberrypath/internal/event"
	"cranberrypath.example/cranberrypath/internal/fleet"
	"cranberrypath.example/cranberrypath/internal/store"
	"cranberrypath.example/cranberrypath/internal/world"
)

const (
	// remembered is how long the highest demand counts for the fleet.
	remembered = 10 * time.Minute
	// recordChange is the relative rise of the highest demand that is recorded.
	recordChange = 1.1
	// longestLoad is the time after which a load of weights that has shown no
	// effect no longer keeps others waiting; its order is repeated later.
	longestLoad = 15 * time.Minute
	// silentAfter is how long a server that has announced itself may be silent
	// before it is replaced, startWithin the same for one that never has.
	silentAfter = 3 * time.Minute
	startWithin = 15 * time.Minute
	// silentPart is the part of a service's servers that are replaced for their
	// silence at the same time; if more are silent, the reports are at fault.
	silentPart = 0.1
	// absentLists is how many lists of the cloud in a row lack an instance that
	// is gone, so that one incomplete list does not count.
	absentLists = 2
)

// fleetNotes is what the fleet loop records beside the instances.
type fleetNotes struct {
	Refusals []fleet.Refusal `json:"refusals,omitempty"`
	Loads    []load          `json:"loads,omitempty"`
	// Recent is the highest demand by service, so that a new leader does not
	// take servers away because it has seen little demand itself.
	Recent map[string]peak `json:"recent,omitempty"`
	// Deployment is part of the request ids of purchases. Without it two
	// deployments that share an account of the cloud would use the same ids, and
	// the cloud would give both the same instances.
	Deployment string `json:"deployment,omitempty"`
}

// load is a load of weights that was ordered and what ends it.
type load struct {
	fleet.Load
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	Version     string `json:"version"`
}

type peak struct {
	Slots float64   `json:"slots"`
	At    time.Time `json:"at"`
}

const fleetNotesName = "fleet"

// deploymentLength is the number of random characters of a deployment's name, 5
// bits each.
const deploymentLength = 13

// keeper is the state of the fleet loop under one leadership. Everything that
// must survive it is in the store.
type keeper struct {
	*Manager
	l       contrl.Leadership
	began   time.Time
	offers  []fleet.Offer
	notice  uint64 // last one seen
	listAt  time.Time
	priceAt time.Time
	absent  map[string]int       // by request id: lists in a row without the instance
	seen    map[string]time.Time // by instance id: last announcement
	peaks   map[string][]peak
	wait    map[string]attempt // purchases without an answer, by request id
	lacks   map[string]bool    // services and versions without headroom
	overdue map[string]bool    // by request id
	failed  map[string]bool    // orders whose last try failed

	deployment string // as recorded
}

// attempt paces the repeats of a start that the cloud does not answer.
type attempt struct {
	pause time.Duration
	next  time.Time
}

func newKeeper(m *Manager, l contrl.Leadership) *keeper {
	return &keeper{
		Manager: m, l: l, began: m.cfg.Clock(), absent: map[string]int{}, seen: map[string]time.Time{}, peaks: map[string][]peak{},
		wait: map[string]attempt{}, lacks: map[string]bool{}, overdue: map[string]bool{}, failed: map[string]bool{},
	}
}

func (m *Manager) runFleet(ctx context.Context, l contrl.Leadership) error {
	k := newKeeper(m, l)
	if err := l.Await(ctx, m.cfg.Clock()); err != nil {
		return nil
	}
	// Without the reports of all entry instances servers with work look idle.
	if !pause(ctx, m.cfg.Timing.Window) {
		return nil
	}
	return m.each(ctx, "fleet", k.step)
}

func (k *keeper) step(ctx context.Context, now time.Time) error {
	v := k.cfg.Store.View()
	if v.Declared.Version == 0 {
		return nil
	}
	servers := k.demand.servers("", now)
	n, err := k.note(ctx, v, servers, now)
	if err != nil {
		return err
	}
	if k.cfg.Cloud == nil {
		err = k.track(ctx, servers, now)
	} else {
		err = k.ask(ctx, now)
	}
	if err == nil && k.cfg.Cloud != nil {
		err = k.replaceSilent(ctx, servers, now)
	}
	if err != nil {
		return err
	}
	if err := k.cleaned(ctx, servers, now); err != nil {
		return err
	}
	v = k.cfg.Store.View()
	view := k.view(v, n, servers, now)
	actions := fleet.Decide(now, view)
	if view.Fixed {
		actions = cleaningAndOrders(actions)
	}
	k.tell(ctx, v, actions, now)
	return k.act(ctx, n, actions, servers, now)
}

// view gathers what fleet.Decide depends on.
func (k *keeper) view(v *store.View, n fleetNotes, servers []server, now time.Time) fleet.View {
	out := fleet.View{
		Declaration: v.Declaration, Preset: v.Preset, Previous: v.Previous, PresetAt: v.PresetAt, Versions: v.Serving,
		Moves: running(v), Provision: map[string]float64{}, Instances: v.Instances, Bought: v.Bought, Deployment: n.Deployment, Refusals: n.Refusals,
		Work: map[string]int{}, Demand: k.recent(now), Offers: k.offers, Queue: k.cfg.Queue,
		Fence: fleet.Fence{Term: k.l.Term, Index: k.l.Index}, Fixed: k.cfg.Cloud == nil,
	}
	plan := k.cfg.Planner(v.Declaration.Moves)
	for _, m := range out.Moves {
		out.Provision[m.ID] = plan.Provision(m)
	}
	for _, l := range n.Loads {
		out.Loads = append(out.Loads, l.Load)
	}
	for _, s := range servers {
		out.Backends = append(out.Backends, s.Backend)
		out.Work[s.ID] = s.running
	}
	if out.Fixed {
		inUse, _ := k.demand.load(now)
		out.Instances = assign(out, inUse)
	}
	return out
}

// note brings the recorded notes up to date: the highest demand rises, and loads
// that have ended are removed.
func (k *keeper) note(ctx context.Context, v *store.View, servers []server, now time.Time) (fleetNotes, error) {
	var n fleetNotes
	if err := notes(v, fleetNotesName, &n); err != nil {
		return n, err
	}
	_, wanted := k.demand.load(now)
	if len(k.peaks) == 0 { // what the leader before has seen
		for service, p := range n.Recent {
			k.peaks[service] = []peak{p}
		}
	}
	changed := k.remember(&n, wanted, now)
	if n.Deployment == "" && k.cfg.Cloud != nil {
		n.Deployment, changed = strings.ToLower(rand.Text()[:deploymentLength]), true
	}
	at := map[string]server{}
	for _, s := range servers {
		at[s.ID] = s
	}
	var left []load
	for _, l := range n.Loads {
		s, known := at[l.Instance]
		if now.Sub(l.Started) >= longestLoad || known && (s.Incarnation != l.Incarnation || s.Runs(l.Version)) || !recorded(v, l.Instance) {
			changed = true
			continue
		}
		left = append(left, l)
	}
	n.Loads = left
	if changed {
		if err := k.setNotes(ctx, k.l, fleetNotesName, n, now); err != nil {
			return n, err
		}
	}
	k.deployment = n.Deployment
	return n, nil
}

func recorded(v *store.View, id string) bool {
	for _, i := range v.Instances {
		if i.ID == id {
			return true
		}
	}
	return false
}

// remember adds the present demand to the peaks and reports whether the recorded
// ones have to change.
func (k *keeper) remember(n *fleetNotes, wanted map[string]float64, now time.Time) bool {
	changed := false
	for service, w := range wanted {
		all := k.peaks[service]
		for len(all) > 0 && now.Sub(all[0].At) >= remembered {
			all = all[1:]
		}
		// Only a peak that no later one exceeds can become the highest.
		for len(all) > 0 && all[len(all)-1].Slots <= w {
			all = all[:len(all)-1]
		}
		k.peaks[service] = append(all, peak{w, now})
		highest, old := k.peaks[service][0].Slots, n.Recent[service]
		if highest > old.Slots*recordChange || now.Sub(old.At) >= remembered/2 && highest > 0 {
			next := map[string]peak{service: {highest, now}}
			for s, p := range n.Recent {
				if s != service {
					next[s] = p
				}
			}
			n.Recent, changed = next, true
		}
	}
	return changed
}

// recent returns the demand of each service.
func (k *keeper) recent(now time.Time) map[string]fleet.Demand {
	_, wanted := k.demand.load(now)
	out := map[string]fleet.Demand{}
	for service, w := range wanted {
		out[service] = fleet.Demand{Slots: w}
	}
	for service, all := range k.peaks {
		d := out[service]
		for _, p := range all {
			if now.Sub(p.At) < remembered {
				d.Recent = max(d.Recent, p.Slots)
			}
		}
		out[service] = d
	}
	return out
}

// ask brings the records in line with the cloud's lists and notices.
func (k *keeper) ask(ctx context.Context, now time.Time) error {
	call, cancel := context.WithTimeout(ctx, k.cfg.Timing.Call)
	defer cancel()
	if now.Sub(k.priceAt) >= k.cfg.Timing.Prices {
		prices, err := k.cfg.Cloud.Prices(call)
		if err != nil {
			return Error.Wrap(err)
		}
		k.priceAt, k.offers = now, nil
		for _, p := range prices {
			k.offers = append(k.offers, fleet.Offer{DataCentre: p.DataCentre, Zone: p.Zone, Class: p.MachineClass, Reclaimable: p.Reclaimable, Price: p.Price})
		}
	}
	notices, last, err := k.cfg.Cloud.Notices(call, k.notice)
	if err != nil {
		return Error.Wrap(err)
	}
	for _, n := range notices {
		if err := k.noticed(ctx, n.Instance, n.LeaveBy, now); err != nil {
			return err
		}
	}
	k.notice = last
	if now.Sub(k.listAt) < k.cfg.Timing.List {
		return nil
	}
	list, err := k.cfg.Cloud.Instances(call)
	if err != nil {
		return Error.Wrap(err)
	}
	k.listAt = now
	return k.compare(ctx, list, now)
}

// noticed records a reclaim notice.
func (k *keeper) noticed(ctx context.Context, id string, leaveBy, now time.Time) error {
	for _, i := range k.cfg.Store.View().Instances {
		if i.ID != id || !i.LeaveBy.IsZero() || leaveBy.IsZero() {
			continue
		}
		i.LeaveBy = leaveBy
		if err := k.write(ctx, i, now); err != nil {
			return err
		}
		k.cfg.Event(event.Of("instance.notice").WithInstance(id).With("leaveBy", leaveBy.UTC().Format(time.RFC3339Nano)))
	}
	return nil
}

// compare takes over what the cloud's list shows: answers that were lost,
// notices, and instances that are gone.
func (k *keeper) compare(ctx context.Context, list []cloud.Instance, now time.Time) error {
	v := k.cfg.Store.View()
	listed := map[string]cloud.Instance{}
	for _, c := range list {
		listed[c.RequestID] = c
	}
	for _, i := range v.Instances {
		c, ok := listed[i.RequestID]
		delete(listed, i.RequestID)
		var err error
		switch {
		case ok && i.ID == "":
			err = k.started(ctx, i, c, now)
		case ok:
			delete(k.absent, i.RequestID)
			err = k.noticed(ctx, i.ID, c.LeaveBy, now)
		case i.ID != "":
			err = k.missed(ctx, i, now)
		}
		if err != nil {
			return err
		}
	}
	for _, c := range listed {
		// A start that was given up can still have taken effect.
		n, ours := fleet.Purchase(c.RequestID, k.deployment)
		if !ours || n > v.Bought || c.State != cloud.Starting && c.State != cloud.Running {
			continue
		}
		i := world.Instance{
			RequestID: c.RequestID, DataCentre: c.DataCentre, Class: c.MachineClass, Reclaimable: c.Reclaimable,
			Service: c.Service, Version: c.Version, Cleaned: c.Started,
		}
		if err := k.started(ctx, i, c, now); err != nil {
			return err
		}
	}
	return nil
}

// started records that the cloud has started an instance.
func (k *keeper) started(ctx context.Context, i world.Instance, c cloud.Instance, now time.Time) error {
	i.ID, i.Zone, i.LeaveBy = c.ID, c.Zone, c.LeaveBy
	if err := k.write(ctx, i.WithPhase(fleet.Running, now), now); err != nil {
		return err
	}
	delete(k.wait, i.RequestID)
	kind := "on demand"
	if c.Reclaimable {
		kind = "reclaimable"
	}
	count(ctx, k.meters.purchases, "dataCentre", c.DataCentre, "kind", kind)
	k.cfg.Event(event.Of("instance.started").WithInstance(c.ID).With("request", i.RequestID).With("service", i.Service).
		With("version", i.Version).With("dataCentre", c.DataCentre).With("zone", c.Zone).With("kind", kind).With("price", fmt.Sprint(c.Price)))
	return nil
}

// missed counts lists without an instance and records it as gone.
func (k *keeper) missed(ctx context.Context, i world.Instance, now time.Time) error {
	k.absent[i.RequestID]++
	if i.Phase != fleet.Stopping && k.absent[i.RequestID] < absentLists {
		return nil
	}
	delete(k.absent, i.RequestID)
	reason := "failed"
	switch {
	case i.Phase == fleet.Stopping:
		reason = "stopped"
	case !i.LeaveBy.IsZero():
		reason = "reclaimed"
	}
	return k.gone(ctx, i, reason, now)
}

func (k *keeper) gone(ctx context.Context, i world.Instance, reason string, now time.Time) error {
	id := fmt.Sprintf("gone/%s/%d/%d", i.RequestID, k.l.Term, k.cfg.Store.View().Version)
	if _, err := k.l.Propose(ctx, store.SetPhase(origin(k.l, id, now), i.RequestID, fleet.Gone)); err != nil && !refusedAs(err, store.Unknown) {
		return Error.Wrap(err)
	}
	delete(k.wait, i.RequestID)
	k.cfg.Event(event.Of("instance.gone").WithInstance(i.ID).With("request", i.RequestID).With("reason", reason))
	return nil
}

// write records an instance. Its id depends on the version of the state, because
// an instance may be recorded with the same content twice in its life.
func (k *keeper) write(ctx context.Context, i world.Instance, now time.Time) error {
	id := fmt.Sprintf("record/%s/%d/%d", i.RequestID, k.l.Term, k.cfg.Store.View().Version)
	_, err := k.l.Propose(ctx, store.Record(origin(k.l, id, now), i))
	return Error.Wrap(err)
}

// replaceSilent drains instances whose servers do not announce themselves, for
// example because their process has ended while the instance runs on. It also
// takes over notices that servers announce themselves.
func (k *keeper) replaceSilent(ctx context.Context, servers []server, now time.Time) error {
	for _, s := range servers {
		k.seen[s.ID] = now
		if err := k.noticed(ctx, s.ID, s.LeaveBy, now); err != nil {
			return err
		}
	}
	all, silent := map[string]int{}, map[string][]world.Instance{}
	for _, i := range k.cfg.Store.View().Instances {
		if i.Phase != fleet.Running || i.ID == "" || !i.LeaveBy.IsZero() {
			continue
		}
		all[i.Service]++
		last, ok := k.seen[i.ID]
		limit := silentAfter
		if !ok {
			last, limit = later(i.Since, k.began), startWithin
		}
		if now.Sub(last) >= limit {
			silent[i.Service] = append(silent[i.Service], i)
		}
	}
	for service, list := range silent {
		if float64(len(list)) > max(silentPart*float64(all[service]), 1) {
			k.cfg.Event(event.Of("fleet.silent").With("service", service).With("servers", fmt.Sprint(len(list))))
			continue
		}
		for _, i := range list {
			if err := k.write(ctx, i.WithPhase(fleet.Draining, now), now); err != nil {
				return err
			}
			k.cfg.Event(event.Of("fleet.drain").WithInstance(i.ID).With("request", i.RequestID).With("reason", "does not announce itself"))
		}
	}
	return nil
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// cleaned records the end of cleanings: a server is back with a higher
// incarnation than it had when it was ordered to clean.
func (k *keeper) cleaned(ctx context.Context, servers []server, now time.Time) error {
	at := map[string]server{}
	for _, s := range servers {
		at[s.ID] = s
	}
	for _, i := range k.cfg.Store.View().Instances {
		s, ok := at[i.ID]
		if !ok || i.Phase != fleet.Cleaning || i.Incarnation == 0 || s.Incarnation <= i.Incarnation || s.State != world.Ready {
			continue
		}
		i.Cleaned, i.Incarnation = now, 0
		if err := k.write(ctx, i.WithPhase(fleet.Running, now), now); err != nil {
			return err
		}
		k.cfg.Event(event.Of("instance.cleaned").WithInstance(i.ID))
	}
	return nil
}

// tell puts changes of what is wanting on the time line and into the metrics.
func (k *keeper) tell(ctx context.Context, v *store.View, actions []fleet.Action, now time.Time) {
	lacks, missing := map[string]bool{}, 0
	for _, a := range actions {
		if a.Kind != fleet.Tell || a.Missing == 0 {
			continue
		}
		key := a.Service + " " + a.Version
		missing += a.Missing
		lacks[key] = true
		if !k.lacks[key] {
			k.cfg.Event(event.Of("fleet.headroomLost").With("service", a.Service).With("version", a.Version).With("reason", a.Reason))
		}
	}
	for key := range k.lacks {
		if !lacks[key] {
			k.cfg.Event(event.Of("fleet.headroomRestored").With("service", key))
		}
	}
	k.lacks = lacks
	overdue := map[string]bool{}
	for _, i := range v.Instances {
		if late := now.Sub(i.Cleaned) - time.Duration(v.Declaration.Cleaning.EveryHours)*time.Hour; i.Phase == fleet.Running && late > 0 {
			overdue[i.RequestID] = true
			if !k.overdue[i.RequestID] {
				k.cfg.Event(event.Of("instance.cleaningOverdue").WithInstance(i.ID).With("by", late.String()))
			}
		}
	}
	k.overdue = overdue
	k.meters.missing.Record(ctx, int64(missing))
	k.meters.overdue.Record(ctx, int64(len(overdue)))
	k.meters.instances.Record(ctx, int64(len(v.Instances)))
}
