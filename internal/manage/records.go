package manage

import (
	"context"
	"fmt"
	"time"

	"cranberrypath.example/cranberrypath/internal/cloud"
	"cranberrypath.example/cranberrypath/internal/event"
	"cranberrypath.example/cranberrypath/internal/fleet"
	"cranberrypath.example/cranberrypath/internal/store"
	"cranberrypath.example/cranberrypath/internal/world"
)

const (
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
	at := byID(servers)
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
