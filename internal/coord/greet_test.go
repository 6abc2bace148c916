package coord

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/disk"
)

// deployWithCoreSeeds starts a deployment whose seeds are instances with a disk.
func deployWithCoreSeeds(t *testing.T, disks, others int) *deployment {
	t.Helper()
	d := &deployment{t: t}
	d.deploy(disks, others, func(cfg *Config) {
		seeds := []string{d.instances[0].addr, d.instances[1].addr, d.instances[2].addr}
		cfg.Seeds = func() []string { return seeds }
	})
	return d
}

// Guards against instances that never find the others again, because all addresses that they
// know are of instances that know nothing either, and against new ones that know only these.
func TestSeedsThatKnowNothing(t *testing.T) {
	for _, c := range []struct {
		name        string
		seedsOfAll  bool // the others have the new seeds as well, and do not remember those seeds
		leaderEnds  bool // with the seeds
		onlySeed    bool // one of the seeds restarts, the others never run again
		memberEnds  bool // a member with its disk restarts with the seeds, knowing only these
		allEnd      bool // all processes end at once, and only these restart with these seeds
		replacement bool // a new instance with a disk knows only these seeds
	}{
		{name: "seeds of all, after a restart of the others", seedsOfAll: true},
		{name: "seeds of those that restart", replacement: true},
		{name: "beside the leader", leaderEnds: true, replacement: true},
		{name: "one of three", onlySeed: true, replacement: true},
		{name: "beside a member", memberEnds: true},
		{name: "after a restart of all, with other seeds", allEnd: true, replacement: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := deployWithCoreSeeds(t, 4, 3)
			d.configure(d.instances[0], 1)
			d.expectVersion(1, d.instances...)
			eventually(t, "all instances with a disk vote", func() bool { return len(d.voters()) == 4 })
			restarted := slices.Clone(d.instances[4:])
			var seeds []string
			for _, inst := range restarted {
				seeds = append(seeds, inst.addr)
			}
			if c.memberEnds {
				restarted = append(restarted, d.instances[0])
			}
			if c.allEnd {
				eventually(t, "all instances are known on a disk", func() bool {
					saved, err := disk.Read(d.instances[0].fs, "data/known/instances")
					return err == nil && len(parseKnown(string(saved))) == len(d.instances)
				})
				for _, inst := range d.instances {
					d.stop(inst)
				}
				first := []string{d.instances[0].addr}
				for _, inst := range d.instances[:4] {
					d.startWith(inst, func(cfg *Config) { cfg.Seeds = func() []string { return first } })
				}
				d.awaitLeader()
			}
			if c.leaderEnds {
				d.stop(d.awaitLeader())
			}
			for _, inst := range restarted {
				d.stop(inst)
			}
			startWithSeeds := func(inst *instance) {
				d.startWith(inst, func(cfg *Config) { cfg.Seeds = func() []string { return seeds } })
			}
			if c.seedsOfAll {
				for _, inst := range d.instances[:4] {
					d.stop(inst)
				}
				for _, inst := range d.instances[:4] {
					startWithSeeds(inst)
				}
				d.awaitLeader()
			}
			if c.onlySeed {
				restarted = restarted[:1]
			}
			for _, inst := range restarted {
				startWithSeeds(inst)
			}
			d.expectVersion(1, restarted...)
			if c.replacement {
				n := &instance{addr: freeAddress(), fs: disk.NewFake(9)}
				d.instances = append(d.instances, n)
				startWithSeeds(n)
				d.expectVersion(1, n)
				eventually(t, "the new instance votes", func() bool { return slices.Contains(d.voters(), n.addr) })
			}
		})
	}
}

// Guards against a damaged file of known instances that keeps an instance from starting.
func TestParseKnown(t *testing.T) {
	for _, c := range []struct {
		content string
		want    []string
	}{
		{"", nil},
		{"10.0.0.1:7600", []string{"10.0.0.1:7600"}},
		{"10.0.0.1:7600\n10.0.0.2:7600", []string{"10.0.0.1:7600", "10.0.0.2:7600"}},
		{"10.0.0.1:7600\n10.0.\x00\n\nx:1\n10.0.0.2:7600\n10.0.0.3", []string{"10.0.0.1:7600", "10.0.0.2:7600"}},
	} {
		if got := parseKnown(c.content); !slices.Equal(got, c.want) {
			t.Errorf("%q: %q, want %q", c.content, got, c.want)
		}
	}
}

// Guards against an instance that was cut off while all members and seeds that it knows were
// replaced, and that asks only these when it is back.
func TestAllMembersReplacedDuringAPartition(t *testing.T) {
	t.Parallel()
	d := deployWithCoreSeeds(t, 3, 2)
	d.configure(d.instances[0], 1)
	d.expectVersion(1, d.instances...)
	eventually(t, "all instances with a disk vote", func() bool { return len(d.voters()) == 3 })
	cutOff, stays := d.instances[3], d.instances[4]
	d.cutOff(cutOff, true)
	for i, old := range slices.Clone(d.instances[:3]) {
		n := &instance{addr: freeAddress(), fs: disk.NewFake(uint64(10 + i))}
		d.instances = append(d.instances, n)
		d.startWith(n, func(cfg *Config) { cfg.Seeds = func() []string { return []string{stays.addr} } })
		eventually(t, "the new instance votes", func() bool { return slices.Contains(d.voters(), n.addr) })
		d.stop(old)
		eventually(t, "the old instance is removed", func() bool { v := d.voters(); return len(v) >= 3 && !slices.Contains(v, old.addr) })
	}
	d.configure(stays, 2)
	d.cutOff(cutOff, false)
	d.expectVersion(2, cutOff)
}

// Guards against greetings that cost a large deployment more than a few calls a second, and
// against absent instances that are forgotten or kept for ever.
func TestGreetingsDue(t *testing.T) {
	const span = 60 * time.Second
	for _, c := range []struct {
		name               string
		instances, missing int
		leads              bool
		least, most        int // greetings within span
	}{
		{"none absent", 7, 0, true, 0, 0},
		{"leader", 7, 3, true, 20, 120},
		{"other instance", 7, 3, false, 20, 90},
		{"one of many", 350, 3, false, 0, 6},
		{"leader of many, a data centre lost", 350, 50, true, 200, 2000},
	} {
		a := newAbsentees()
		listed := map[string]Instance{}
		for i := range c.instances {
			listed[fmt.Sprint("i", i)] = Instance{}
		}
		var seeds []string
		for i := range c.missing {
			if id := fmt.Sprint("gone", i); i < 3 {
				seeds = append(seeds, id)
			} else {
				a.add(start, id)
			}
		}
		n := 0
		for now := start; now.Before(start.Add(span)); now = now.Add(syncInterval) {
			due := a.due(append(seeds, "i0"), "i0", listed, c.leads, now)
			if len(due) > maxGreetings {
				t.Fatalf("%s: %d greetings at once", c.name, len(due))
			}
			n += len(due)
		}
		if n < c.least || n > c.most {
			t.Errorf("%s: %d greetings in %v, want %d to %d", c.name, n, span, c.least, c.most)
		}
		a.due(seeds, "i0", listed, c.leads, start.Add(rememberAbsent+time.Second))
		if got := len(a.all); got != len(seeds) {
			t.Errorf("%s: %d absent instances after a long time, want the %d seeds", c.name, got, len(seeds))
		}
		for _, id := range seeds {
			listed[id] = Instance{}
		}
		a.due(seeds, "i0", listed, c.leads, start.Add(rememberAbsent+2*time.Second))
		if len(a.all) != 0 {
			t.Errorf("%s: instances that report count as absent: %d", c.name, len(a.all))
		}
	}
}
