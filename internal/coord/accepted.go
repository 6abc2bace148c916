package coord

import (
	"slices"

	"cranberrypath.example/cranberrypath/internal/coord/coordpb"
)

// acceptedVersions returns the versions of a service that are in force when its next order is
// given, for a target: those that serve all requests which no running rollout sends elsewhere.
// last is the order before, which may be empty, and present are the versions of the service's
// servers that the leader knows.
//
// An order that is done leaves its target. Versions that no order has named were there before, or
// replaced those that were. The target of a first order counts among them only if there is no
// other version: its servers may be faster than its order.
func acceptedVersions(last *coordpb.Rollout, target string, present []string) []string {
	named := slices.Concat(last.RolledBack, last.Superseded)
	before := last.Accepted
	switch {
	case Phase(last.State) == Done:
		before = []string{last.Target}
	case last.Serial > 0 && (Phase(last.State) == RolledBack && !last.InForce || !slices.Contains(before, last.Target)):
		named = append(named, last.Target)
	}
	isNamed := func(v string) bool { return slices.Contains(named, v) }
	before = slices.DeleteFunc(slices.Clone(before), isNamed)
	running := slices.DeleteFunc(slices.Clone(before), func(v string) bool { return !slices.Contains(present, v) })
	if len(running) > 0 {
		return running
	}
	others := slices.DeleteFunc(slices.Clone(present), func(v string) bool { return v == target || isNamed(v) })
	switch {
	case len(others) > 0:
		return others
	case slices.Contains(present, target) && !isNamed(target):
		return []string{target}
	}
	return before
}

// addPresentVersions adds to an order the versions of the service's servers, which only the
// leader knows. It returns an error while this leader may not have heard of all of them yet.
func (c *Coord) addPresentVersions(cmd *coordpb.Command) error {
	r := cmd.Rollout
	cmd.PresentVersions = nil
	for _, s := range c.feed.roster.Present() {
		if s.Service == r.Service && !slices.Contains(cmd.PresentVersions, s.Version) {
			cmd.PresentVersions = append(cmd.PresentVersions, s.Version)
		}
	}
	slices.Sort(cmd.PresentVersions)
	if slices.ContainsFunc(cmd.PresentVersions, func(v string) bool { return v != r.Target }) {
		return nil
	}
	c.mu.Lock()
	agg := c.aggregator
	c.mu.Unlock()
	if agg == nil || c.cfg.Clock().Sub(agg.electedAt) < c.cfg.Heartbeat+2*syncInterval {
		return Error.New("the leader does not know the servers of service %s yet", r.Service)
	}
	return nil
}
