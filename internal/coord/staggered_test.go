package coord

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Guards against a group that dies of losses that overlap, each of them within the
// tolerance: one member stays away while others are replaced.
func TestOverlappingLossesLeaveAMajority(t *testing.T) {
	type away struct {
		id string
		at time.Time // when it is back or replaced
	}
	for seed := range uint64(600) {
		rng := rand.New(rand.NewPCG(seed, 1))
		tolerated := 1 + rng.IntN(2)
		durable := 2*tolerated + 1 + rng.IntN(7)
		g := &modelGroup{rng: rng, minVoters: 2*tolerated + 1, members: map[string]*modelMember{}, leader: "m00"}
		for i := range durable {
			g.members[fmt.Sprintf("m%02d", i)] = &modelMember{running: true, member: true, contact: start}
		}
		now, started := start, durable
		g.electedAt = now
		var down []away
		var recovering []time.Time // when each later loss stops counting
		for now.Before(start.Add(90 * time.Second)) {
			recovering = slices.DeleteFunc(recovering, func(at time.Time) bool { return !now.Before(at) })
			if len(down)+len(recovering) < tolerated && rng.IntN(10) == 0 {
				running := slices.DeleteFunc(g.ids(), func(id string) bool { return !g.members[id].running })
				id := running[rng.IntN(len(running))]
				g.lose(id, now)
				down = append(down, away{id, now.Add(g.between(500*time.Millisecond, 15*time.Second))})
				if voters, able := g.quorum(); !g.hasMajority() {
					t.Fatalf("seed %d, tolerated %d of %d: after the loss of %s at %v, %d of %d voters are able to vote", seed, tolerated, durable, id, now.Sub(start), able, voters)
				}
			}
			down = slices.DeleteFunc(down, func(a away) bool {
				if now.Before(a.at) {
					return false
				}
				switch rng.IntN(3) {
				case 0:
					g.members[fmt.Sprintf("m%02d", started)] = &modelMember{running: true}
					started++
				case 1:
					g.members[a.id].running, g.members[a.id].lostDisk = true, g.members[a.id].member
				default:
					g.members[a.id].running = true
				}
				recovering = append(recovering, now.Add(catchUpTime))
				return true
			})
			g.step(now)
			now = now.Add(membershipInterval)
		}
	}
}
