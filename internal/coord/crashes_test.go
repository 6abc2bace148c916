package coord

import (
	"fmt"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/blame"
)

// blames reports whether an instance blames a key.
func blames(inst *instance, k blame.Key) bool {
	_, ok := inst.coord.cfg.Blame.Blamed([]blame.Key{k}, time.Now())
	return ok
}

func (d *deployment) expectBlame(want bool, k blame.Key) {
	d.t.Helper()
	for _, inst := range d.instances {
		if inst.coord != nil {
			eventually(d.t, fmt.Sprintf("%s blames key %d: %v", inst.addr, k, want), func() bool { return blames(inst, k) == want })
		}
	}
}

// crash records a crash of another server at an instance.
func (d *deployment) crash(inst *instance, k blame.Key, n int) {
	now := time.Now()
	inst.coord.cfg.Blame.Crashed(blame.Server(100*int(k)+n), []blame.Key{k}, now.Add(-10*time.Millisecond), now)
	time.Sleep(100 * time.Millisecond) // the next request is sent after the crash
}

// Guards against instances that do not learn which requests crash servers: each crash is
// seen by another instance, and instances and the leader restart.
func TestCrashesAreKnownEverywhere(t *testing.T) {
	t.Parallel()
	d := deploy(t, 3, 3)
	d.configure(d.instances[0], 1)
	eventually(t, "all instances with a disk vote", func() bool { return len(d.voters()) == 3 })
	for i := range 3 {
		d.crash(d.instances[i+2], 1, i)
	}
	d.expectBlame(true, 1)

	restarted := d.instances[4]
	d.stop(restarted)
	d.start(restarted, false)
	d.expectBlame(true, 1)

	d.crash(d.instances[3], 2, 0)
	lost := d.leader()
	d.stop(lost)
	eventually(t, "another leader", func() bool { return d.leader() != nil })
	for i := range 2 {
		d.crash(d.instances[4+i], 2, 1+i)
	}
	d.start(lost, false)
	d.expectBlame(true, 1)
	d.expectBlame(true, 2)

	d.instances[5].coord.cfg.Blame.Completed([]blame.Key{1}, time.Now())
	d.expectBlame(false, 1)
	d.expectBlame(true, 2)
}

// Guards against instances behind relays that do not learn which requests crash servers.
func TestCrashesAreKnownBehindRelays(t *testing.T) {
	t.Parallel()
	d := deploy(t, 4, maxDirectReports)
	others := d.instances[4:]
	d.configure(others[0], 1)
	d.expectVersion(1, d.instances...)
	eventually(t, "all instances report to a relay", func() bool {
		for _, inst := range others {
			inst.coord.mu.Lock()
			current := inst.coord.choice.current
			inst.coord.mu.Unlock()
			if current == "" {
				return false
			}
		}
		return true
	})
	for i := range 3 {
		d.crash(others[i], 1, i)
	}
	d.expectBlame(true, 1)
	others[9].coord.cfg.Blame.Completed([]blame.Key{1}, time.Now())
	d.expectBlame(false, 1)
}
