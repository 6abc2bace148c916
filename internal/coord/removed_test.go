package coord

import (
	"context"
	"slices"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/faults"
)

// Guards against a member that was removed while it was cut off and never finds the next
// leader: its log still names the one before.
func TestRemovedMemberFindsTheNextLeader(t *testing.T) {
	t.Parallel()
	d := deploy(t, 4, 0)
	d.configure(d.instances[0], 1)
	d.expectVersion(1, d.instances...)
	eventually(t, "all instances vote", func() bool { return len(d.voters()) == 4 })
	eventually(t, "a leader", func() bool { return d.leader() != nil })
	leader := d.leader()
	i := slices.IndexFunc(d.instances, func(inst *instance) bool { return inst != leader })
	removed := d.instances[i]
	d.links.Set(removed.addr, "*", faults.Rule{Cut: true})
	d.links.Set("*", removed.addr, faults.Rule{Cut: true})
	eventually(t, "the silent member is removed", func() bool { return len(d.voters()) == 3 })
	d.stop(leader)
	i = slices.IndexFunc(d.instances, func(inst *instance) bool { return inst != leader && inst != removed })
	d.configure(d.instances[i], 2)
	d.links.Set(removed.addr, "*", faults.Rule{})
	d.links.Set("*", removed.addr, faults.Rule{})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for !removed.local.check(func(l *fakeLocal) bool { return l.version == 2 }) {
		if !sleep(ctx, 10*time.Millisecond) {
			t.Fatal("the removed member has no leader 10 s after the links were healed")
		}
	}
	eventually(t, "it votes again", func() bool { return slices.Contains(d.voters(), removed.addr) })
}
