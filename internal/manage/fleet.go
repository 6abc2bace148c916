package manage

import (
	"context"
	"time"

	"cranberrypath.example/cranberrypath/internal/contrl"
	"cranberrypath.example/cranberrypath/internal/event"
	"cranberrypath.example/cranberrypath/internal/fleet"
	"cranberrypath.example/cranberrypath/internal/store"
)

// fleetController is the state of the fleet loop during one leadership. State that
// must outlive the leadership is in the store.
type fleetController struct {
	*Manager
	leadership      contrl.Leadership
	startedAt       time.Time
	offers          []fleet.Offer
	lastNotice      uint64 // number of the last reclaim notice processed
	listedAt        time.Time
	pricesAt        time.Time
	absences        map[string]int       // by request id: consecutive checks without the instance
	lastSeen        map[string]time.Time // by instance id: last report of its server
	peaks           map[string][]demandPeak
	startRetries    map[string]startRetry // unanswered purchases, by request id
	withoutHeadroom map[string]bool       // keys made of service and version
	overdue         map[string]bool       // by request id
	failedOrders    map[string]bool       // by order id: the last attempt failed

	deployment string // random name from the recorded notes
}

// startRetry is the backoff of a start request that the cloud has not answered.
type startRetry struct {
	delay  time.Duration
	nextAt time.Time
}

func newFleetController(m *Manager, l contrl.Leadership) *fleetController {
	return &fleetController{
		Manager: m, leadership: l, startedAt: m.cfg.Clock(), absences: map[string]int{}, lastSeen: map[string]time.Time{}, peaks: map[string][]demandPeak{},
		startRetries: map[string]startRetry{}, withoutHeadroom: map[string]bool{}, overdue: map[string]bool{}, failedOrders: map[string]bool{},
	}
}

func (m *Manager) runFleet(ctx context.Context, l contrl.Leadership) error {
	fc := newFleetController(m, l)
	if err := l.Await(ctx, m.cfg.Clock()); err != nil {
		return nil
	}
	// Until all entry instances have reported, busy servers look idle.
	if !sleep(ctx, m.cfg.Timing.Window) {
		return nil
	}
	return m.runLoop(ctx, "fleet", fc.step)
}

func (fc *fleetController) step(ctx context.Context, now time.Time) error {
	v := fc.cfg.Store.View()
	if v.Declared.Version == 0 {
		return nil
	}
	servers := fc.demand.servers("", now)
	n, err := fc.updateNotes(ctx, v, servers, now)
	if err != nil {
		return err
	}
	if err := fc.updateRecords(ctx, servers, now); err != nil {
		return err
	}
	v = fc.cfg.Store.View()
	view := fc.view(v, n, servers, now)
	actions := fleet.Decide(now, view)
	if view.FixedServers {
		actions = withoutCloudActions(actions)
	}
	fc.reportHeadroom(ctx, v, actions, now)
	return fc.execute(ctx, n, actions, servers, now)
}

// updateRecords reconciles the recorded instances with the cloud, if there is one,
// and with the reports of servers.
func (fc *fleetController) updateRecords(ctx context.Context, servers []server, now time.Time) error {
	if fc.cfg.Cloud == nil {
		if err := fc.trackFixedServers(ctx, servers, now); err != nil {
			return err
		}
		return fc.recordCleaned(ctx, servers, now)
	}
	if err := fc.syncWithCloud(ctx, now); err != nil {
		return err
	}
	if err := fc.replaceSilent(ctx, servers, now); err != nil {
		return err
	}
	return fc.recordCleaned(ctx, servers, now)
}

// view collects the inputs of fleet.Decide.
func (fc *fleetController) view(v *store.View, n fleetNotes, servers []server, now time.Time) fleet.View {
	out := fleet.View{
		Declaration: v.Declaration, Preset: v.Preset, PreviousPreset: v.Previous, PresetSince: v.PresetAt, Versions: v.Serving,
		Moves: runningMoves(v), Provision: map[string]float64{}, Instances: v.Instances, PurchaseCount: v.Bought, Deployment: n.Deployment, Refusals: n.Refusals,
		Requests: map[string]int{}, Demand: fc.recentDemand(now), Offers: fc.offers, Queue: fc.cfg.Queue,
		Fence: fleet.Fence{Term: fc.leadership.Term, Index: fc.leadership.Index}, FixedServers: fc.cfg.Cloud == nil,
	}
	plan := fc.cfg.Planner(v.Declaration.Moves)
	for _, m := range out.Moves {
		out.Provision[m.ID] = plan.Provision(m)
	}
	for _, l := range n.Loads {
		out.Loads = append(out.Loads, l.WeightLoad)
	}
	for _, s := range servers {
		out.Backends = append(out.Backends, s.Backend)
		out.Requests[s.ID] = s.inFlight
	}
	if out.FixedServers {
		inUse, _ := fc.demand.serviceLoad(now)
		out.Instances = assignVersions(out, inUse)
	}
	return out
}

// reportHeadroom reports missing headroom as events, when it changes, and as metrics.
func (fc *fleetController) reportHeadroom(ctx context.Context, v *store.View, actions []fleet.Action, now time.Time) {
	lacking, missing := map[string]bool{}, 0
	for _, a := range actions {
		if a.Kind != fleet.Report || a.Missing == 0 {
			continue
		}
		key := a.Service + " " + a.Version
		missing += a.Missing
		lacking[key] = true
		if !fc.withoutHeadroom[key] {
			fc.cfg.Event(event.Of("fleet.headroomLost").With("service", a.Service).With("version", a.Version).With("reason", a.Reason))
		}
	}
	for key := range fc.withoutHeadroom {
		if !lacking[key] {
			fc.cfg.Event(event.Of("fleet.headroomRestored").With("service", key))
		}
	}
	fc.withoutHeadroom = lacking
	fc.metrics.missing.Record(ctx, int64(missing))
	fc.metrics.instances.Record(ctx, int64(len(v.Instances)))
	fc.reportOverdue(ctx, v, now)
}

// reportOverdue reports overdue cleanings in the same way.
func (fc *fleetController) reportOverdue(ctx context.Context, v *store.View, now time.Time) {
	overdue := map[string]bool{}
	for _, i := range v.Instances {
		if late := now.Sub(i.Cleaned) - time.Duration(v.Declaration.Cleaning.EveryHours)*time.Hour; i.Phase == fleet.Running && late > 0 {
			overdue[i.RequestID] = true
			if !fc.overdue[i.RequestID] {
				fc.cfg.Event(event.Of("instance.cleaningOverdue").WithInstance(i.ID).With("by", late.String()))
			}
		}
	}
	fc.overdue = overdue
	fc.metrics.overdue.Record(ctx, int64(len(overdue)))
}
