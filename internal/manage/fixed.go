package manage

import (
	"context"
	"math"
	"slices"
	"time"

	"cranberrypath.example/cranberrypath/internal/event"
	"cranberrypath.example/cranberrypath/internal/fleet"
	"cranberrypath.example/cranberrypath/internal/world"
	"cranberrypath.example/cranberrypath/pkg/decl"
)

// Without a cloud the backend servers are given. They are recorded when they
// first announce themselves, so that their weekly cleaning can be planned, and
// the versions that they shall run are assigned to them.

// forgetAfter is how long a given server may be silent before its record is
// dropped.
const forgetAfter = 24 * time.Hour

// given is the request id of a server that was not bought.
func given(id string) string { return "given/" + id }

// track records servers that announce themselves for the first time and drops
// those that have been silent for long.
func (k *keeper) track(ctx context.Context, servers []server, now time.Time) error {
	known := map[string]bool{}
	v := k.cfg.Store.View()
	for _, i := range v.Instances {
		known[i.RequestID] = true
	}
	present := map[string]bool{}
	for _, s := range servers {
		present[given(s.ID)] = true
		svc, declared := v.Declaration.Service(s.Service)
		if known[given(s.ID)] || !declared || s.State == world.Gone {
			continue
		}
		i := world.Instance{
			RequestID: given(s.ID), ID: s.ID, DataCentre: s.DataCentre, Zone: s.Zone, Class: s.MachineClass,
			Reclaimable: s.Reclaimable, Service: s.Service, Version: svc.Version, Phase: fleet.Running, Since: now, Cleaned: now,
		}
		if err := k.write(ctx, i, now); err != nil {
			return err
		}
		k.cfg.Event(event.Of("instance.tracked").WithInstance(s.ID).With("service", s.Service))
	}
	for _, i := range v.Instances {
		if present[i.RequestID] || now.Sub(k.began) < forgetAfter {
			k.absent[i.RequestID] = 0
			continue
		}
		k.absent[i.RequestID]++
		if time.Duration(k.absent[i.RequestID])*k.cfg.Timing.Tick < forgetAfter {
			continue
		}
		if err := k.gone(ctx, i, "silent", now); err != nil {
			return err
		}
	}
	return nil
}

// assign returns the recorded servers with the versions that they shall run. The
// new version of a move gets as many servers as its next shares need. A model
// engine then runs both versions. A plain server runs one, so the old version
// keeps enough of them to carry all traffic.
func assign(v fleet.View, inUse map[string]float64) []world.Instance {
	backends := map[string]world.Backend{}
	for _, b := range v.Backends {
		backends[b.ID] = b
	}
	out := slices.Clone(v.Instances)
	for _, svc := range v.Declaration.Services {
		var at []int
		for n, i := range out {
			if i.Service == svc.Name {
				out[n].Version = v.Versions[svc.Name]
				at = append(at, n)
			}
		}
		for _, m := range v.Moves {
			if m.Service != svc.Name {
				continue
			}
			count := int(math.Ceil(float64(len(at)) * v.Provision[m.ID]))
			if svc.Kind == decl.Plain {
				keep := max(1, int(math.Ceil(inUse[svc.Name]*plainReserve/float64(max(svc.Slots, 1)))))
				count = min(count, len(at)-keep)
			}
			// Servers that have the new version keep it.
			slices.SortStableFunc(at, func(a, b int) int {
				return rank(backends[out[a].ID], m.To) - rank(backends[out[b].ID], m.To)
			})
			for n := range max(count, 0) {
				out[at[n]].Version = m.To
			}
		}
	}
	return out
}

// plainReserve is the factor on the slots in use that plain servers of the old
// version keep during a move: the step to the next share asks for a tenth more.
const plainReserve = 1.2

func rank(b world.Backend, version string) int {
	if b.Runs(version) {
		return 0
	}
	return 1
}

// cleaningAndOrders leaves out what needs a cloud.
func cleaningAndOrders(all []fleet.Action) []fleet.Action {
	return slices.DeleteFunc(all, func(a fleet.Action) bool {
		return a.Kind == fleet.Buy || a.Kind == fleet.Stop || a.Kind == fleet.Drain && !a.Clean
	})
}
