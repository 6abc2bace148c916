package manage

import (
	"context"
	"time"

	"cranberrypath.example/cranberrypath/internal/contrl"
	"cranberrypath.example/cranberrypath/internal/event"
	"cranberrypath.example/cranberrypath/internal/fleet"
	"cranberrypath.example/cranberrypath/internal/store"
)

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
	if err := k.updateRecords(ctx, servers, now); err != nil {
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

// updateRecords brings the records of instances in line with the cloud, if there
// is one, and with what servers announce.
func (k *keeper) updateRecords(ctx context.Context, servers []server, now time.Time) error {
	if k.cfg.Cloud == nil {
		if err := k.track(ctx, servers, now); err != nil {
			return err
		}
		return k.cleaned(ctx, servers, now)
	}
	if err := k.ask(ctx, now); err != nil {
		return err
	}
	if err := k.replaceSilent(ctx, servers, now); err != nil {
		return err
	}
	return k.cleaned(ctx, servers, now)
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
	k.meters.missing.Record(ctx, int64(missing))
	k.meters.instances.Record(ctx, int64(len(v.Instances)))
	k.tellOverdue(ctx, v, now)
}

// tellOverdue does the same for cleanings that are late.
func (k *keeper) tellOverdue(ctx context.Context, v *store.View, now time.Time) {
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
	k.meters.overdue.Record(ctx, int64(len(overdue)))
}
