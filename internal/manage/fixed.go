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

// Without a cloud the set of backend servers is fixed. A server is recorded when it
// first announces itself, so that its weekly cleaning can be scheduled and a version
// can be assigned to it.

// silentRecordExpiry is how long a fixed server may be silent before its record is
// removed.
const silentRecordExpiry = 24 * time.Hour

// fixedRequestID returns the request id of a server that was not purchased.
func fixedRequestID(id string) string { return "given/" + id }

// trackFixedServers records servers that announce themselves for the first time and
// removes servers that have been silent for longer than silentRecordExpiry.
func (fc *fleetController) trackFixedServers(ctx context.Context, servers []server, now time.Time) error {
	known := map[string]bool{}
	v := fc.cfg.Store.View()
	for _, i := range v.Instances {
		known[i.RequestID] = true
	}
	present := map[string]bool{}
	for _, s := range servers {
		present[fixedRequestID(s.ID)] = true
		svc, declared := v.Declaration.Service(s.Service)
		if known[fixedRequestID(s.ID)] || !declared || s.State == world.Gone {
			continue
		}
		i := world.Instance{
			RequestID: fixedRequestID(s.ID), ID: s.ID, DataCentre: s.DataCentre, Zone: s.Zone, Class: s.MachineClass,
			Reclaimable: s.Reclaimable, Service: s.Service, Version: svc.Version, Phase: fleet.Running, Since: now, Cleaned: now,
		}
		if err := fc.recordInstance(ctx, i, now); err != nil {
			return err
		}
		fc.cfg.Event(event.Of("instance.tracked").WithInstance(s.ID).With("service", s.Service))
	}
	for _, i := range v.Instances {
		if present[i.RequestID] || now.Sub(fc.startedAt) < silentRecordExpiry {
			fc.absences[i.RequestID] = 0
			continue
		}
		fc.absences[i.RequestID]++
		if time.Duration(fc.absences[i.RequestID])*fc.cfg.Timing.Tick < silentRecordExpiry {
			continue
		}
		if err := fc.recordGone(ctx, i, "silent", now); err != nil {
			return err
		}
	}
	return nil
}

// assignVersions returns the recorded servers with the versions that they should
// run. The new version of a move gets as many servers as its next shares need. A
// model engine then runs both versions. A plain server runs only one, so the old
// version keeps enough servers to carry all traffic.
func assignVersions(v fleet.View, inUse map[string]float64) []world.Instance {
	backends := map[string]world.Backend{}
	for _, b := range v.Backends {
		backends[b.ID] = b
	}
	out := slices.Clone(v.Instances)
	for _, svc := range v.Declaration.Services {
		var indexes []int
		for n, i := range out {
			if i.Service == svc.Name {
				out[n].Version = v.Versions[svc.Name]
				indexes = append(indexes, n)
			}
		}
		for _, m := range v.Moves {
			if m.Service != svc.Name {
				continue
			}
			count := int(math.Ceil(float64(len(indexes)) * v.Provision[m.ID]))
			if svc.Kind == decl.Plain {
				reserved := max(1, int(math.Ceil(inUse[svc.Name]*plainServerReserve/float64(max(svc.Slots, 1)))))
				count = min(count, len(indexes)-reserved)
			}
			// Servers that already run the new version keep it.
			slices.SortStableFunc(indexes, func(a, b int) int {
				return versionRank(backends[out[a].ID], m.To) - versionRank(backends[out[b].ID], m.To)
			})
			for n := range max(count, 0) {
				out[indexes[n]].Version = m.To
			}
		}
	}
	return out
}

// plainServerReserve is the ratio of the slots that plain servers of the old version
// keep during a move to the slots in use; the step to the next share requires 10%
// of headroom.
const plainServerReserve = 1.2

func versionRank(b world.Backend, version string) int {
	if b.Runs(version) {
		return 0
	}
	return 1
}

// withoutCloudActions removes the actions that need a cloud.
func withoutCloudActions(all []fleet.Action) []fleet.Action {
	return slices.DeleteFunc(all, func(a fleet.Action) bool {
		return a.Kind == fleet.Buy || a.Kind == fleet.Stop || a.Kind == fleet.Drain && !a.ForCleaning
	})
}
