package coord

import (
	"slices"
	"testing"
	"time"
)

// dropTime is the time within which all instances must have dropped one that has ended. The
// platform allows 7 s.
const dropTime = 7 * time.Second

// isListed reports whether callers of an instance are given the address of another one.
func (inst *instance) isListed(id string) bool {
	return inst.coord.Suspect() != id && inst.local.check(func(l *fakeLocal) bool {
		return slices.ContainsFunc(l.instances, func(i Instance) bool { return i.ID == id })
	})
}

// keptDropped is how long an instance must be absent from all lists to count as dropped: a
// new leader lists again, for 2 s, those that its predecessor listed.
const keptDropped = 3 * time.Second

// Guards against addresses of ended instances that are given to callers for long, also if the
// leader or the relay that would notice ends with them, or its successor soon after, and
// whether their connections end or just become silent.
func TestEndedInstancesAreDropped(t *testing.T) {
	for _, c := range []struct {
		name          string
		disks, others int
		silent        bool // the links are cut, as if the machines had lost their power
		// lose stops instances; the first one that it returns ended at once.
		lose func(d *deployment) []*instance
	}{
		{"without a disk", 3, 2, false, func(d *deployment) []*instance { return []*instance{d.instances[4]} }},
		{"the leader", 3, 2, false, func(d *deployment) []*instance { return []*instance{d.awaitLeader()} }},
		{"with the leader", 3, 2, true, func(d *deployment) []*instance { return []*instance{d.instances[4], d.awaitLeader()} }},
		{"with the leader and its successor", 5, 2, true, func(d *deployment) []*instance {
			lost := []*instance{d.instances[6], d.awaitLeader()}
			d.cutOff(lost[0], true)
			d.cutOff(lost[1], true)
			eventually(d.t, "the successor leads", func() bool { l := d.leader(); return l != nil && l != lost[1] })
			return append(lost, d.awaitLeader())
		}},
		{"behind a relay", 4, maxDirectReports, true, func(d *deployment) []*instance { return []*instance{d.instances[5]} }},
		{"with its relay", 4, maxDirectReports, true, func(d *deployment) []*instance {
			return []*instance{d.instances[5], d.byAddress(d.relayOf(d.instances[5]))}
		}},
		{"behind a relay, with the leader", 4, maxDirectReports, false, func(d *deployment) []*instance {
			return []*instance{d.instances[5], d.awaitLeader()}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, c.disks, c.others)
			d.configure(d.instances[0], 1)
			eventually(t, "all instances with a disk vote", func() bool { return len(d.voters()) == c.disks })
			for _, inst := range d.instances {
				eventually(t, "all instances are listed", func() bool {
					return inst.local.check(func(l *fakeLocal) bool { return len(l.instances) == len(d.instances) })
				})
			}
			if c.others >= maxDirectReports {
				eventually(t, "the instances report to relays", func() bool { return d.relayOf(d.instances[5]) != "" })
			}
			ended := time.Now()
			lost := c.lose(d)
			for _, inst := range lost {
				if c.silent {
					d.cutOff(inst, true)
				} else {
					d.stop(inst)
				}
			}
			lastListed := ended
			eventually(t, "the ended instances are dropped", func() bool {
				for _, inst := range d.instances {
					if !slices.Contains(lost, inst) && slices.ContainsFunc(lost, func(l *instance) bool { return inst.isListed(l.addr) }) {
						lastListed = time.Now()
					}
				}
				return time.Since(lastListed) > keptDropped
			})
			took := lastListed.Sub(ended)
			t.Logf("dropped after %v", took)
			if took > dropTime {
				t.Errorf("an ended instance was listed for %v, %v are allowed", took, dropTime)
			}
		})
	}
}

func (d *deployment) relayOf(inst *instance) string {
	inst.coord.mu.Lock()
	defer inst.coord.mu.Unlock()
	return inst.coord.choice.current
}

func (d *deployment) byAddress(addr string) *instance {
	return d.instances[slices.IndexFunc(d.instances, func(inst *instance) bool { return inst.addr == addr })]
}
