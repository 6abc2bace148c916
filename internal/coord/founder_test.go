package coord

import (
	"context"
	"slices"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/raft"
)

// Guards against a second group beside the first: the founder's log is found corrupt after
// a failure, in the same process that founded the group.
func TestFounderWithACorruptLogJoinsTheGroup(t *testing.T) {
	t.Parallel()
	d := deploy(t, 4, 0)
	d.configure(d.instances[3], 1)
	eventually(t, "all instances with a disk vote", func() bool { return len(d.voters()) == 4 })
	i := slices.IndexFunc(d.instances, func(inst *instance) bool { return inst.addr == slices.Min(d.seeds) })
	founder, other := d.instances[i], d.instances[(i+1)%4]
	current := func() *member {
		founder.coord.mu.Lock()
		defer founder.coord.mu.Unlock()
		return founder.coord.member
	}
	before := current().group.Status().Incarnation
	founder.fs.SetFreeBytes(0)
	version := uint64(1)
	eventually(t, "the founder's log has failed", func() bool {
		version++
		d.configure(other, version)
		return current() == nil
	})
	for _, inst := range d.instances {
		if inst != founder {
			d.stop(inst)
		}
	}
	founder.fs.FlipBit("data/00000000000000000001.wal", 0)
	founder.fs.SetFreeBytes(-1)
	eventually(t, "the founder has opened a new log", func() bool { return current() != nil })
	for end := time.Now().Add(4 * electionTimeout); time.Now().Before(end) && !t.Failed(); time.Sleep(10 * time.Millisecond) {
		if _, ok := founder.coord.Leads(time.Now()); ok {
			t.Error("the founder leads a group of its own")
		}
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		if got, err := founder.coord.Read(ctx); err == nil {
			t.Errorf("read version %d of a group of its own", got.Version)
		}
		cancel()
	}
	for _, inst := range d.instances {
		if inst != founder {
			d.start(inst, false)
		}
	}
	eventually(t, "the founder votes again", func() bool {
		m := current()
		if m == nil {
			return t.Failed()
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if got, err := founder.coord.Read(ctx); err == nil && got.Version != version {
			t.Errorf("read version %d, want %d", got.Version, version)
		}
		st := m.group.Status()
		votes := slices.Contains(st.Members, raft.Member{ID: founder.addr, Incarnation: st.Incarnation})
		return t.Failed() || votes && st.Incarnation != before
	})
	eventually(t, "all instances with a disk vote", func() bool { return len(d.voters()) == 4 })
}
