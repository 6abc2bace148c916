package manage

import (
	"context"
	"crypto/rand"
	"strings"
	"time"

	"cranberrypath.example/cranberrypath/internal/fleet"
	"cranberrypath.example/cranberrypath/internal/store"
)

const (
	// peakWindow is how long a demand peak counts for the fleet's size.
	peakWindow = 10 * time.Minute
	// minRecordedRise is the smallest ratio of a new peak to the recorded one at
	// which the new peak is recorded.
	minRecordedRise = 1.1
	// loadTimeout is how long an unfinished weight load may delay other loads; its
	// order is repeated later.
	loadTimeout = 15 * time.Minute
)

// deploymentNameLength is the number of random characters in a deployment's name,
// with 5 bits each.
const deploymentNameLength = 13

// fleetNotes is the state that the fleet loop records in addition to the instances.
type fleetNotes struct {
	Refusals []fleet.Refusal `json:"refusals,omitempty"`
	Loads    []orderedLoad   `json:"loads,omitempty"`
	// Recent is the peak demand by service. It keeps a new leader, which has observed
	// little demand itself, from removing servers.
	Recent map[string]demandPeak `json:"recent,omitempty"`
	// Deployment is part of the request ids of purchases. Otherwise two deployments
	// that share a cloud account would use the same ids and get the same instances.
	Deployment string `json:"deployment,omitempty"`
}

// orderedLoad is a weight load in progress. It ends when its instance runs the
// version, has another incarnation or is no longer recorded, or after loadTimeout.
type orderedLoad struct {
	fleet.WeightLoad
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	Version     string `json:"version"`
}

type demandPeak struct {
	Slots float64   `json:"slots"`
	At    time.Time `json:"at"`
}

const fleetNotesName = "fleet"

// updateNotes updates the recorded notes: it raises demand peaks and removes loads
// that have ended.
func (fc *fleetController) updateNotes(ctx context.Context, v *store.View, servers []server, now time.Time) (fleetNotes, error) {
	var n fleetNotes
	if err := readNotes(v, fleetNotesName, &n); err != nil {
		return n, err
	}
	_, wanted := fc.demand.serviceLoad(now)
	if len(fc.peaks) == 0 { // peaks recorded by the previous leader
		for service, p := range n.Recent {
			fc.peaks[service] = []demandPeak{p}
		}
	}
	changed := fc.updatePeaks(&n, wanted, now)
	if n.Deployment == "" && fc.cfg.Cloud != nil {
		n.Deployment, changed = strings.ToLower(rand.Text()[:deploymentNameLength]), true
	}
	serverByID := indexByID(servers)
	var remaining []orderedLoad
	for _, l := range n.Loads {
		s, known := serverByID[l.Instance]
		if now.Sub(l.Started) >= loadTimeout || known && (s.Incarnation != l.Incarnation || s.Runs(l.Version)) || !isRecorded(v, l.Instance) {
			changed = true
			continue
		}
		remaining = append(remaining, l)
	}
	n.Loads = remaining
	if changed {
		if err := fc.writeNotes(ctx, fc.leadership, fleetNotesName, n, now); err != nil {
			return n, err
		}
	}
	fc.deployment = n.Deployment
	return n, nil
}

func isRecorded(v *store.View, id string) bool {
	for _, i := range v.Instances {
		if i.ID == id {
			return true
		}
	}
	return false
}

// updatePeaks adds the current demand to the peaks and reports whether n has
// changed.
func (fc *fleetController) updatePeaks(n *fleetNotes, wanted map[string]float64, now time.Time) bool {
	changed := false
	for service, slots := range wanted {
		all := fc.peaks[service]
		for len(all) > 0 && now.Sub(all[0].At) >= peakWindow {
			all = all[1:]
		}
		// A peak that a later one reaches or exceeds can no longer become the highest.
		for len(all) > 0 && all[len(all)-1].Slots <= slots {
			all = all[:len(all)-1]
		}
		fc.peaks[service] = append(all, demandPeak{slots, now})
		highest, old := fc.peaks[service][0].Slots, n.Recent[service]
		if highest > old.Slots*minRecordedRise || now.Sub(old.At) >= peakWindow/2 && highest > 0 {
			next := map[string]demandPeak{service: {highest, now}}
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

// recentDemand returns the current and the recent peak demand of each service.
func (fc *fleetController) recentDemand(now time.Time) map[string]fleet.Demand {
	_, wanted := fc.demand.serviceLoad(now)
	out := map[string]fleet.Demand{}
	for service, slots := range wanted {
		out[service] = fleet.Demand{Slots: slots}
	}
	for service, all := range fc.peaks {
		d := out[service]
		for _, p := range all {
			if now.Sub(p.At) < peakWindow {
				d.Recent = max(d.Recent, p.Slots)
			}
		}
		out[service] = d
	}
	return out
}
