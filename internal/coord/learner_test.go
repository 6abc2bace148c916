package coord

import (
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/disk"
	"cranberrypath.example/cranberrypath/internal/raft"
)

// Guards against a new member that is removed before it can answer, again and again while
// its disk hangs: its leader was elected long before.
func TestNewMemberIsNotSilent(t *testing.T) {
	t.Parallel()
	d := deploy(t, 3, 1)
	d.configure(d.instances[3], 1)
	eventually(t, "three members vote", func() bool { return len(d.voters()) == 3 })
	time.Sleep(removeSilentAfter + time.Second)
	added := &instance{addr: freeAddress(), fs: disk.NewFake(99)}
	d.instances = append(d.instances, added)
	d.start(added, false)
	members := func() []raft.Member {
		l := d.leader()
		if l == nil {
			return nil
		}
		l.coord.mu.Lock()
		defer l.coord.mu.Unlock()
		return l.coord.member.group.Status().Members
	}
	eventually(t, "its log is open", func() bool {
		added.coord.mu.Lock()
		defer added.coord.mu.Unlock()
		return added.coord.member != nil
	})
	added.fs.BlockSyncs()
	defer added.fs.UnblockSyncs()
	eventually(t, "it is added", func() bool { return len(members()) == 4 })
	for end := time.Now().Add(removeSilentAfter / 2); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if m := members(); m != nil && len(m) != 4 {
			t.Fatalf("removed %v after it was added", time.Until(end))
		}
	}
	added.fs.UnblockSyncs()
	eventually(t, "it votes", func() bool { return len(d.voters()) == 4 })
}
