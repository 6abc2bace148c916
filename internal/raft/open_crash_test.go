package raft

import (
	"math/rand/v2"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/disk"
)

// openFollower starts a member that only answers requests.
func openFollower(d *disk.Fake) (*Group, error) {
	return Open(Config{
		ID: "f", FS: d, Dir: "raft", StateMachine: &testStateMachine{}, Transport: endpoint{&network{}, "f"}, SegmentBytes: 300,
		ElectionTimeout: time.Microsecond, HeartbeatInterval: time.Hour, SnapshotBytes: 60, Clock: time.Now,
	})
}

// Guards against a member that can't be opened after a power loss, whatever it was
// writing: in its first start, in a later one, while it changes segments, takes a snapshot
// or replaces its log by one.
func TestOpenAfterACrashAtEveryOperation(t *testing.T) {
	for seed := uint64(1); seed <= 30; seed++ {
		for op, crashed := 1, true; crashed; op++ { // the first start
			d := disk.NewFake(seed)
			d.CrashAt(op)
			if g, err := openFollower(d); err == nil {
				_ = g.Close()
			}
			crashed = d.Crashed()
			d.Restart()
			g, err := openFollower(d)
			if err != nil {
				t.Fatalf("seed %d: after a crash at operation %d of the first start: %v", seed, op, err)
			}
			_ = g.Close()
		}
	}
	for seed := uint64(1); seed <= 500; seed++ {
		rng := rand.New(rand.NewPCG(seed, 4))
		d := disk.NewFake(seed)
		var follower memberModel
		lead := memberModel{term: 1}
		commit := uint64(0)
		for round := range 4 {
			if rng.IntN(2) == 0 {
				d.CrashAt(1 + rng.IntN(20))
				if g, err := openFollower(d); err == nil {
					_ = g.Close()
				}
				d.Restart()
			}
			g, err := openFollower(d)
			if err != nil {
				t.Fatalf("seed %d: round %d: %v", seed, round, err)
			}
			follower.check(t, seed, g)
			d.CrashAt(1 + rng.IntN(60))
			for !d.Crashed() {
				commit = follower.sendRandomRequest(rng, g, &lead, commit)
			}
			_ = g.Close()
			d.Restart()
		}
	}
}
