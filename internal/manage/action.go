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
	// firstRepeat and lastRepeat bound the pause before a start without an
	// answer is sent again.
	firstRepeat = time.Second
	lastRepeat  = 30 * time.Second
)

// work is an action that is recorded and about to be done.
type work struct {
	fleet.Action
	server  server
	started cloud.Instance
	err     error
}

// act records the actions one after the other, does them at the same time and
// records what came of them. After a crash the record makes fleet.Decide repeat
// the action.
func (k *keeper) act(ctx context.Context, n fleetNotes, actions []fleet.Action, servers []server, now time.Time) error {
	at := byID(servers)
	loads, err := k.recordLoads(ctx, &n, actions, at, now)
	if err != nil {
		return err
	}
	var todo []*work
	for _, a := range actions {
		w := &work{Action: a, server: at[a.Instance]}
		ok, err := k.begin(ctx, w, loads, now)
		if err != nil {
			return err
		}
		if ok {
			todo = append(todo, w)
		}
	}
	var g errgroup.Group
	g.SetLimit(k.cfg.CallsAtOnce)
	for _, w := range todo {
		g.Go(func() error {
			w.err = k.do(ctx, w)
			return nil
		})
	}
	_ = g.Wait() // each error is in its work
	if ctx.Err() != nil {
		return Error.Wrap(ctx.Err())
	}
	return k.conclude(ctx, n, todo, now)
}

// recordLoads records the loads of weights that start now and returns the ids of
// all loads that may run.
func (k *keeper) recordLoads(ctx context.Context, n *fleetNotes, actions []fleet.Action, at map[string]server, now time.Time) (map[string]bool, error) {
	allowed, changed := map[string]bool{}, false
	for _, l := range n.Loads {
		allowed[l.Order] = true
	}
	for _, a := range actions {
		if a.Kind != fleet.LoadVersion && a.Kind != fleet.LoadAdapter || allowed[a.ID] {
			continue
		}
		allowed[a.ID], changed = true, true
		n.Loads = append(slices.Clone(n.Loads), load{
			Load:     fleet.Load{Order: a.ID, Since: now, Started: now},
			Instance: a.Instance, Incarnation: at[a.Instance].Incarnation, Version: cmp.Or(a.Adapter, a.Version),
		})
		k.cfg.Event(event.Of("fleet.load").WithInstance(a.Instance).With("version", a.Version).With("adapter", a.Adapter))
	}
	if !changed {
		return allowed, nil
	}
	return allowed, k.setNotes(ctx, k.l, fleetNotesName, *n, now)
}

// begin records an action and reports whether it is to be done.
func (k *keeper) begin(ctx context.Context, w *work, loads map[string]bool, now time.Time) (bool, error) {
	v := k.cfg.Store.View()
	at := slices.IndexFunc(v.Instances, func(i world.Instance) bool { return i.RequestID == w.Request })
	switch {
	case w.Kind == fleet.Tell:
		return false, nil
	case w.Kind == fleet.Buy && at < 0:
		return k.buy(ctx, w, v, now)
	case at < 0:
		return false, nil
	case w.Kind == fleet.Buy:
		return !now.Before(k.wait[w.Request].next), nil
	case w.Kind == fleet.LoadVersion || w.Kind == fleet.LoadAdapter:
		return loads[w.ID] && w.server.ID != "", nil
	}
	i := v.Instances[at]
	if w.Kind == fleet.Drain && w.Clean && i.Incarnation != 0 {
		return false, nil // it was told to clean and may be back already
	}
	next, change := fleet.Record(i, w.Action, now)
	if w.Kind == fleet.Clean && i.Incarnation == 0 {
		next.Incarnation, change = w.server.Incarnation, true
	}
	if change {
		if err := k.write(ctx, next, now); err != nil {
			return false, err
		}
		k.cfg.Event(event.Of("fleet."+string(w.Kind)).WithInstance(i.ID).With("request", i.RequestID).With("reason", w.Reason))
	}
	if w.Kind == fleet.Stop {
		return i.ID != "", nil
	}
	return w.server.ID != "", nil
}

// buy records a purchase if it is still the next one.
func (k *keeper) buy(ctx context.Context, w *work, v *store.View, now time.Time) (bool, error) {
	n, _ := fleet.Purchase(w.Request, k.deployment)
	if !fleet.IsNext(w.Action, k.deployment, v.Bought) {
		return false, nil // decided on an older state
	}
	i, _ := fleet.Record(world.Instance{}, w.Action, now)
	_, err := k.l.Propose(ctx, store.Buy(origin(k.l, "buy/"+w.Request, now), n, i))
	if refused(err) {
		return false, nil
	}
	if err != nil {
		return false, Error.Wrap(err)
	}
	k.cfg.Event(event.Of("fleet.buy").With("request", w.Request).With("service", w.Service).With("version", w.Version).
		With("dataCentre", w.DataCentre).With("zone", w.Zone).With("reason", w.Reason))
	return true, nil
}

// do calls the cloud or the backend server.
func (k *keeper) do(ctx context.Context, w *work) error {
	ctx, cancel := context.WithTimeout(ctx, k.cfg.Timing.Call)
	defer cancel()
	switch w.Kind {
	case fleet.Buy:
		var err error
		w.started, err = k.cfg.Cloud.Start(ctx, cloud.Start{
			RequestID: w.Request, DataCentre: w.DataCentre, Zone: w.Zone, MachineClass: w.Class, Reclaimable: w.Reclaimable,
			Service: w.Service, Version: w.Version,
		})
		return err
	case fleet.Stop:
		return k.cfg.Cloud.Stop(ctx, w.Instance)
	}
	o := backnd.Order{ID: w.ID, Fence: backnd.Fence{Term: w.Fence.Term, Index: w.Fence.Index}, Kind: string(w.Kind)}
	switch w.Kind {
	case fleet.LoadVersion:
		o.Version = w.Version
	case fleet.LoadAdapter:
		o.Adapter = w.Adapter
	case fleet.SetRole:
		o.Role = w.Role
	}
	_, err := k.cfg.Orders.Order(ctx, w.server.Backend, o)
	return err
}

// conclude records the outcomes. Refusals go first: if the record that the
// purchase is over is lost, the purchase is only tried again.
func (k *keeper) conclude(ctx context.Context, n fleetNotes, todo []*work, now time.Time) error {
	before := n.Refusals
	for _, w := range todo {
		if w.Kind != fleet.Buy {
			continue
		}
		i, _ := fleet.Record(world.Instance{}, w.Action, now)
		switch {
		case w.err == nil:
			n.Refusals = fleet.Accepted(n.Refusals, i)
		case isRefusal(w.err):
			n.Refusals = fleet.Refused(n.Refusals, i, now)
		}
	}
	if !slices.Equal(before, n.Refusals) {
		if err := k.setNotes(ctx, k.l, fleetNotesName, n, now); err != nil {
			return err
		}
	}
	for _, w := range todo {
		if err := k.outcome(ctx, w, now); err != nil {
			return err
		}
	}
	return nil
}

// isRefusal reports whether the cloud answered that it started nothing and that a
// repeat would not change that soon.
func isRefusal(err error) bool {
	var r *cloud.Refusal
	return errors.As(err, &r) && (r.Status == 400 || r.Status == 409)
}

func (k *keeper) outcome(ctx context.Context, w *work, now time.Time) error {
	switch {
	case w.Kind != fleet.Buy:
		k.answered(ctx, w)
		return nil
	case w.err == nil:
		return k.bought(ctx, w, now)
	case isRefusal(w.err):
		count(ctx, k.meters.refusals, "dataCentre", w.DataCentre)
		k.cfg.Event(event.Of("fleet.refused").With("request", w.Request).With("dataCentre", w.DataCentre).With("reason", w.err.Error()))
		return k.gone(ctx, world.Instance{RequestID: w.Request}, "refused", now)
	}
	a := k.wait[w.Request]
	a.pause = max(min(2*a.pause, lastRepeat), firstRepeat, cloud.RetryAfter(w.err))
	a.next = now.Add(a.pause)
	k.wait[w.Request] = a
	return nil
}

func (k *keeper) bought(ctx context.Context, w *work, now time.Time) error {
	v := k.cfg.Store.View()
	at := slices.IndexFunc(v.Instances, func(i world.Instance) bool { return i.RequestID == w.Request })
	if at < 0 || v.Instances[at].ID != "" {
		return nil
	}
	return k.started(ctx, v.Instances[at], w.started, now)
}

// answered counts an order or a stop. Only the first failure of an order in a
// row is on the time line, because orders are repeated each second.
func (k *keeper) answered(ctx context.Context, w *work) {
	result := "accepted"
	if w.err != nil {
		result = cmp.Or(backnd.CodeOf(w.err), "failed")
	}
	count(ctx, k.meters.orders, "kind", string(w.Kind), "outcome", result)
	if w.err == nil {
		delete(k.failed, w.ID)
		return
	}
	if !k.failed[w.ID] {
		k.failed[w.ID] = true
		k.cfg.Event(event.Of("fleet.orderFailed").WithInstance(w.Instance).With("kind", string(w.Kind)).With("reason", w.err.Error()))
	}
}
