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
	// remembered is how long the highest demand counts for the fleet.
	remembered = 10 * time.Minute
	// recordChange is the relative rise of the highest demand that is recorded.
	recordChange = 1.1
	// longestLoad is the time after which a load of weights that has shown no
	// effect no longer keeps others waiting; its order is repeated later.
	longestLoad = 15 * time.Minute
)

// deploymentLength is the number of random characters of a deployment's name, 5
// bits each.
const deploymentLength = 13

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
	at := byID(servers)
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
