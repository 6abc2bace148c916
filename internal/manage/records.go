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
	// silenceTimeout is how long a server that has announced itself may be silent
	// before it is replaced; firstReportTimeout applies to a server that never has.
	silenceTimeout     = 3 * time.Minute
	firstReportTimeout = 15 * time.Minute
	// maxSilentFraction is the largest fraction of a service's servers that is
	// replaced for silence at once; if more are silent, the reports are at fault.
	maxSilentFraction = 0.1
	// minAbsentLists is how many consecutive listings of the cloud must lack an
	// instance before it counts as gone; a single listing may be incomplete.
	minAbsentLists = 2
)

// syncWithCloud updates the records from the cloud's listings and reclaim notices.
func (fc *fleetController) syncWithCloud(ctx context.Context, now time.Time) error {
	call, cancel := context.WithTimeout(ctx, fc.cfg.Timing.Call)
	defer cancel()
	if now.Sub(fc.pricesAt) >= fc.cfg.Timing.Prices {
		prices, err := fc.cfg.Cloud.Prices(call)
		if err != nil {
			return Error.Wrap(err)
		}
		fc.pricesAt, fc.offers = now, nil
		for _, p := range prices {
			fc.offers = append(fc.offers, fleet.Offer{DataCentre: p.DataCentre, Zone: p.Zone, Class: p.MachineClass, Reclaimable: p.Reclaimable, Price: p.Price})
		}
	}
	notices, last, err := fc.cfg.Cloud.Notices(call, fc.lastNotice)
	if err != nil {
		return Error.Wrap(err)
	}
	for _, n := range notices {
		if err := fc.recordNotice(ctx, n.Instance, n.LeaveBy, now); err != nil {
			return err
		}
	}
	fc.lastNotice = last
	if now.Sub(fc.listedAt) < fc.cfg.Timing.List {
		return nil
	}
	list, err := fc.cfg.Cloud.Instances(call)
	if err != nil {
		return Error.Wrap(err)
	}
	fc.listedAt = now
	return fc.reconcile(ctx, list, now)
}

// recordNotice records a reclaim notice.
func (fc *fleetController) recordNotice(ctx context.Context, id string, leaveBy, now time.Time) error {
	for _, i := range fc.cfg.Store.View().Instances {
		if i.ID != id || !i.LeaveBy.IsZero() || leaveBy.IsZero() {
			continue
		}
		i.LeaveBy = leaveBy
		if err := fc.recordInstance(ctx, i, now); err != nil {
			return err
		}
		fc.cfg.Event(event.Of("instance.notice").WithInstance(id).With("leaveBy", leaveBy.UTC().Format(time.RFC3339Nano)))
	}
	return nil
}

// reconcile updates the records from the cloud's listing: starts whose answers were
// lost, reclaim notices, and instances that are gone.
func (fc *fleetController) reconcile(ctx context.Context, list []cloud.Instance, now time.Time) error {
	v := fc.cfg.Store.View()
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
			err = fc.recordStarted(ctx, i, c, now)
		case ok:
			delete(fc.absences, i.RequestID)
			err = fc.recordNotice(ctx, i.ID, c.LeaveBy, now)
		case i.ID != "":
			err = fc.countAbsence(ctx, i, now)
		}
		if err != nil {
			return err
		}
	}
	for _, c := range listed {
		// An abandoned start may still have taken effect.
		n, ours := fleet.PurchaseNumber(c.RequestID, fc.deployment)
		if !ours || n > v.Bought || c.State != cloud.Starting && c.State != cloud.Running {
			continue
		}
		i := world.Instance{
			RequestID: c.RequestID, DataCentre: c.DataCentre, Class: c.MachineClass, Reclaimable: c.Reclaimable,
			Service: c.Service, Version: c.Version, Cleaned: c.Started,
		}
		if err := fc.recordStarted(ctx, i, c, now); err != nil {
			return err
		}
	}
	return nil
}

// recordStarted records that the cloud has started an instance.
func (fc *fleetController) recordStarted(ctx context.Context, i world.Instance, c cloud.Instance, now time.Time) error {
	i.ID, i.Zone, i.LeaveBy = c.ID, c.Zone, c.LeaveBy
	if err := fc.recordInstance(ctx, i.WithPhase(fleet.Running, now), now); err != nil {
		return err
	}
	delete(fc.startRetries, i.RequestID)
	kind := "on demand"
	if c.Reclaimable {
		kind = "reclaimable"
	}
	countOne(ctx, fc.metrics.purchases, "dataCentre", c.DataCentre, "kind", kind)
	fc.cfg.Event(event.Of("instance.started").WithInstance(c.ID).With("request", i.RequestID).With("service", i.Service).
		With("version", i.Version).With("dataCentre", c.DataCentre).With("zone", c.Zone).With("kind", kind).With("price", fmt.Sprint(c.Price)))
	return nil
}

// countAbsence counts a listing without the instance and, after minAbsentLists of
// them, records the instance as gone.
func (fc *fleetController) countAbsence(ctx context.Context, i world.Instance, now time.Time) error {
	fc.absences[i.RequestID]++
	if i.Phase != fleet.Stopping && fc.absences[i.RequestID] < minAbsentLists {
		return nil
	}
	delete(fc.absences, i.RequestID)
	reason := "failed"
	switch {
	case i.Phase == fleet.Stopping:
		reason = "stopped"
	case !i.LeaveBy.IsZero():
		reason = "reclaimed"
	}
	return fc.recordGone(ctx, i, reason, now)
}

func (fc *fleetController) recordGone(ctx context.Context, i world.Instance, reason string, now time.Time) error {
	id := fmt.Sprintf("gone/%s/%d/%d", i.RequestID, fc.leadership.Term, fc.cfg.Store.View().Version)
	if _, err := fc.leadership.Propose(ctx, store.SetPhase(commandOrigin(fc.leadership, id, now), i.RequestID, fleet.Gone)); err != nil && !isRefusedWith(err, store.Unknown) {
		return Error.Wrap(err)
	}
	delete(fc.startRetries, i.RequestID)
	fc.cfg.Event(event.Of("instance.gone").WithInstance(i.ID).With("request", i.RequestID).With("reason", reason))
	return nil
}

// recordInstance records an instance. The command id includes the version of the
// state, because an instance may be recorded twice with the same content.
func (fc *fleetController) recordInstance(ctx context.Context, i world.Instance, now time.Time) error {
	id := fmt.Sprintf("record/%s/%d/%d", i.RequestID, fc.leadership.Term, fc.cfg.Store.View().Version)
	_, err := fc.leadership.Propose(ctx, store.Record(commandOrigin(fc.leadership, id, now), i))
	return Error.Wrap(err)
}

// replaceSilent drains instances whose servers do not announce themselves, for
// example because the process has ended while the instance keeps running. It also
// records the reclaim notices that servers report.
func (fc *fleetController) replaceSilent(ctx context.Context, servers []server, now time.Time) error {
	for _, s := range servers {
		fc.lastSeen[s.ID] = now
		if err := fc.recordNotice(ctx, s.ID, s.LeaveBy, now); err != nil {
			return err
		}
	}
	all, silent := map[string]int{}, map[string][]world.Instance{}
	for _, i := range fc.cfg.Store.View().Instances {
		if i.Phase != fleet.Running || i.ID == "" || !i.LeaveBy.IsZero() {
			continue
		}
		all[i.Service]++
		last, ok := fc.lastSeen[i.ID]
		limit := silenceTimeout
		if !ok {
			last, limit = latest(i.Since, fc.startedAt), firstReportTimeout
		}
		if now.Sub(last) >= limit {
			silent[i.Service] = append(silent[i.Service], i)
		}
	}
	for service, list := range silent {
		if float64(len(list)) > max(maxSilentFraction*float64(all[service]), 1) {
			fc.cfg.Event(event.Of("fleet.silent").With("service", service).With("servers", fmt.Sprint(len(list))))
			continue
		}
		for _, i := range list {
			if err := fc.recordInstance(ctx, i.WithPhase(fleet.Draining, now), now); err != nil {
				return err
			}
			fc.cfg.Event(event.Of("fleet.drain").WithInstance(i.ID).With("request", i.RequestID).With("reason", "does not announce itself"))
		}
	}
	return nil
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// recordCleaned records completed cleanings: the server is ready with a higher
// incarnation than the one that was ordered to clean.
func (fc *fleetController) recordCleaned(ctx context.Context, servers []server, now time.Time) error {
	serverByID := indexByID(servers)
	for _, i := range fc.cfg.Store.View().Instances {
		s, ok := serverByID[i.ID]
		if !ok || i.Phase != fleet.Cleaning || i.Incarnation == 0 || s.Incarnation <= i.Incarnation || s.State != world.Ready {
			continue
		}
		i.Cleaned, i.Incarnation = now, 0
		if err := fc.recordInstance(ctx, i.WithPhase(fleet.Running, now), now); err != nil {
			return err
		}
		fc.cfg.Event(event.Of("instance.cleaned").WithInstance(i.ID))
	}
	return nil
}
