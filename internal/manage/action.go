package manage

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"cranberrypath.example/cranberrypath/internal/backnd"
	"cranberrypath.example/cranberrypath/internal/cloud"
	"cranberrypath.example/cranberrypath/internal/event"
	"cranberrypath.example/cranberrypath/internal/fleet"
	"cranberrypath.example/cranberrypath/internal/store"
	"cranberrypath.example/cranberrypath/internal/world"
)

const (
	// minRetryDelay and maxRetryDelay bound the exponential backoff of a start
	// request that got no answer.
	minRetryDelay = time.Second
	maxRetryDelay = 30 * time.Second
)

// pendingAction is an action to perform, with its target server and its result.
type pendingAction struct {
	fleet.Action
	server          server
	startedInstance cloud.Instance
	err             error
}

// execute records the actions in sequence, performs them concurrently and
// records their outcomes. After a crash, fleet.Decide repeats an action because
// of its record.
func (fc *fleetController) execute(ctx context.Context, n fleetNotes, actions []fleet.Action, servers []server, now time.Time) error {
	serverByID := indexByID(servers)
	loads, err := fc.recordLoads(ctx, &n, actions, serverByID, now)
	if err != nil {
		return err
	}
	var pending []*pendingAction
	for _, a := range actions {
		p := &pendingAction{Action: a, server: serverByID[a.InstanceID]}
		ok, err := fc.recordAction(ctx, p, loads, now)
		if err != nil {
			return err
		}
		if ok {
			pending = append(pending, p)
		}
	}
	var g errgroup.Group
	g.SetLimit(fc.cfg.ConcurrentCalls)
	for _, p := range pending {
		g.Go(func() error {
			p.err = fc.perform(ctx, p)
			return nil
		})
	}
	_ = g.Wait() // each error is stored in its action
	if ctx.Err() != nil {
		return Error.Wrap(ctx.Err())
	}
	return fc.recordOutcomes(ctx, n, pending, now)
}

// recordLoads records the weight loads that start now and returns the ids of all
// loads that may run.
func (fc *fleetController) recordLoads(ctx context.Context, n *fleetNotes, actions []fleet.Action, serverByID map[string]server, now time.Time) (map[string]bool, error) {
	allowed, changed := map[string]bool{}, false
	for _, l := range n.Loads {
		allowed[l.OrderID] = true
	}
	for _, a := range actions {
		if a.Kind != fleet.LoadVersion && a.Kind != fleet.LoadAdapter || allowed[a.ID] {
			continue
		}
		allowed[a.ID], changed = true, true
		n.Loads = append(slices.Clone(n.Loads), orderedLoad{
			WeightLoad: fleet.WeightLoad{OrderID: a.ID, Since: now, Started: now},
			Instance:   a.InstanceID, Incarnation: serverByID[a.InstanceID].Incarnation, Version: cmp.Or(a.Adapter, a.Version),
		})
		fc.cfg.Event(event.Of("fleet.load").WithInstance(a.InstanceID).With("version", a.Version).With("adapter", a.Adapter))
	}
	if !changed {
		return allowed, nil
	}
	return allowed, fc.writeNotes(ctx, fc.leadership, fleetNotesName, *n, now)
}

// recordAction records an action and reports whether it has to be performed.
func (fc *fleetController) recordAction(ctx context.Context, p *pendingAction, loads map[string]bool, now time.Time) (bool, error) {
	v := fc.cfg.Store.View()
	index := slices.IndexFunc(v.Instances, func(i world.Instance) bool { return i.RequestID == p.RequestID })
	switch {
	case p.Kind == fleet.Report:
		return false, nil
	case p.Kind == fleet.Buy && index < 0:
		return fc.recordPurchase(ctx, p, v, now)
	case index < 0:
		return false, nil
	case p.Kind == fleet.Buy:
		return !now.Before(fc.startRetries[p.RequestID].nextAt), nil
	case p.Kind == fleet.LoadVersion || p.Kind == fleet.LoadAdapter:
		return loads[p.ID] && p.server.ID != "", nil
	}
	i := v.Instances[index]
	if p.Kind == fleet.Drain && p.ForCleaning && i.Incarnation != 0 {
		return false, nil // it has been ordered to clean and may already be serving again
	}
	next, change := fleet.RecordAction(i, p.Action, now)
	if p.Kind == fleet.Clean && i.Incarnation == 0 {
		next.Incarnation, change = p.server.Incarnation, true
	}
	if change {
		if err := fc.recordInstance(ctx, next, now); err != nil {
			return false, err
		}
		fc.cfg.Event(event.Of("fleet."+string(p.Kind)).WithInstance(i.ID).With("request", i.RequestID).With("reason", p.Reason))
	}
	if p.Kind == fleet.Stop {
		return i.ID != "", nil
	}
	return p.server.ID != "", nil
}

// recordPurchase records a purchase if its number is still the next one.
func (fc *fleetController) recordPurchase(ctx context.Context, p *pendingAction, v *store.View, now time.Time) (bool, error) {
	n, _ := fleet.PurchaseNumber(p.RequestID, fc.deployment)
	if !fleet.IsNextPurchase(p.Action, fc.deployment, v.Bought) {
		return false, nil // the decision was based on an older state
	}
	i, _ := fleet.RecordAction(world.Instance{}, p.Action, now)
	_, err := fc.leadership.Propose(ctx, store.Buy(commandOrigin(fc.leadership, "buy/"+p.RequestID, now), n, i))
	if isStateRefusal(err) {
		return false, nil
	}
	if err != nil {
		return false, Error.Wrap(err)
	}
	fc.cfg.Event(event.Of("fleet.buy").With("request", p.RequestID).With("service", p.Service).With("version", p.Version).
		With("dataCentre", p.DataCentre).With("zone", p.Zone).With("reason", p.Reason))
	return true, nil
}

// perform calls the cloud or the backend server.
func (fc *fleetController) perform(ctx context.Context, p *pendingAction) error {
	ctx, cancel := context.WithTimeout(ctx, fc.cfg.Timing.Call)
	defer cancel()
	switch p.Kind {
	case fleet.Buy:
		var err error
		p.startedInstance, err = fc.cfg.Cloud.Start(ctx, cloud.Start{
			RequestID: p.RequestID, DataCentre: p.DataCentre, Zone: p.Zone, MachineClass: p.Class, Reclaimable: p.Reclaimable,
			Service: p.Service, Version: p.Version,
		})
		return err
	case fleet.Stop:
		return fc.cfg.Cloud.Stop(ctx, p.InstanceID)
	}
	o := backnd.Order{ID: p.ID, Fence: backnd.Fence{Term: p.Fence.Term, Index: p.Fence.Index}, Kind: string(p.Kind)}
	switch p.Kind {
	case fleet.LoadVersion:
		o.Version = p.Version
	case fleet.LoadAdapter:
		o.Adapter = p.Adapter
	case fleet.SetRole:
		o.Role = p.Role
	}
	_, err := fc.cfg.Orders.Order(ctx, p.server.Backend, o)
	return err
}

// recordOutcomes records the outcomes. Refusals are recorded before the ends of their
// purchases: if a crash prevents the latter, the purchase is only retried.
func (fc *fleetController) recordOutcomes(ctx context.Context, n fleetNotes, pending []*pendingAction, now time.Time) error {
	before := n.Refusals
	for _, p := range pending {
		if p.Kind != fleet.Buy {
			continue
		}
		i, _ := fleet.RecordAction(world.Instance{}, p.Action, now)
		switch {
		case p.err == nil:
			n.Refusals = fleet.ClearRefusals(n.Refusals, i)
		case isFinalRefusal(p.err):
			n.Refusals = fleet.AddRefusal(n.Refusals, i, now)
		}
	}
	if !slices.Equal(before, n.Refusals) {
		if err := fc.writeNotes(ctx, fc.leadership, fleetNotesName, n, now); err != nil {
			return err
		}
	}
	for _, p := range pending {
		if err := fc.recordOutcome(ctx, p, now); err != nil {
			return err
		}
	}
	return nil
}

// isFinalRefusal reports whether the cloud started nothing and an immediate retry
// would be refused too.
func isFinalRefusal(err error) bool {
	var r *cloud.Refusal
	return errors.As(err, &r) && (r.Status == 400 || r.Status == 409)
}

func (fc *fleetController) recordOutcome(ctx context.Context, p *pendingAction, now time.Time) error {
	switch {
	case p.Kind != fleet.Buy:
		fc.countResult(ctx, p)
		return nil
	case p.err == nil:
		return fc.confirmPurchase(ctx, p, now)
	case isFinalRefusal(p.err):
		countOne(ctx, fc.metrics.refusals, "dataCentre", p.DataCentre)
		fc.cfg.Event(event.Of("fleet.refused").With("request", p.RequestID).With("dataCentre", p.DataCentre).With("reason", p.err.Error()))
		return fc.recordGone(ctx, world.Instance{RequestID: p.RequestID}, "refused", now)
	}
	r := fc.startRetries[p.RequestID]
	r.delay = max(min(2*r.delay, maxRetryDelay), minRetryDelay, cloud.RetryAfter(p.err))
	r.nextAt = now.Add(r.delay)
	fc.startRetries[p.RequestID] = r
	return nil
}

func (fc *fleetController) confirmPurchase(ctx context.Context, p *pendingAction, now time.Time) error {
	v := fc.cfg.Store.View()
	index := slices.IndexFunc(v.Instances, func(i world.Instance) bool { return i.RequestID == p.RequestID })
	if index < 0 || v.Instances[index].ID != "" {
		return nil
	}
	return fc.recordStarted(ctx, v.Instances[index], p.startedInstance, now)
}

// countResult counts the result of an order or a stop. The event log gets only the
// first of consecutive failures of an order, because orders are repeated each second.
func (fc *fleetController) countResult(ctx context.Context, p *pendingAction) {
	result := "accepted"
	if p.err != nil {
		result = cmp.Or(backnd.CodeOf(p.err), "failed")
	}
	countOne(ctx, fc.metrics.orders, "kind", string(p.Kind), "outcome", result)
	if p.err == nil {
		delete(fc.failedOrders, p.ID)
		return
	}
	if !fc.failedOrders[p.ID] {
		fc.failedOrders[p.ID] = true
		fc.cfg.Event(event.Of("fleet.orderFailed").WithInstance(p.InstanceID).With("kind", string(p.Kind)).With("reason", p.err.Error()))
	}
}
