package coord

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/disk"
	"cranberrypath.example/cranberrypath/internal/raft"
)

// catchUpTime is the time after which a deployment must bear its next loss: after a
// lost member is back, or its replacement has started.
const catchUpTime = 4 * time.Second

// modelMember is a member of a modelGroup.
type modelMember struct {
	running    bool
	lostDisk   bool // since it was added
	member     bool
	learner    bool
	caughtUpAt time.Time // when a learner becomes a voter
	contact    time.Time
}

// modelGroup models a group whose leader changes the membership: it has a leader only
// with a majority of the voters, and a change commits only with a majority of the new ones.
type modelGroup struct {
	rng       *rand.Rand
	minVoters int
	members   map[string]*modelMember
	leader    string
	electedAt time.Time
	electAt   time.Time // of the next leader, while there is none
}

func (g *modelGroup) ids() []string { return slices.Sorted(maps.Keys(g.members)) }

// quorum returns the number of voters, and how many of them can vote.
func (g *modelGroup) quorum() (voters, able int) {
	for _, m := range g.members {
		if m.member && !m.learner {
			voters++
			if m.running && !m.lostDisk {
				able++
			}
		}
	}
	return voters, able
}

func (g *modelGroup) hasMajority() bool {
	voters, able := g.quorum()
	return able > voters/2
}

func (g *modelGroup) between(low, high time.Duration) time.Duration {
	return low + time.Duration(g.rng.Int64N(int64(high-low)))
}

// lose stops a member.
func (g *modelGroup) lose(id string, now time.Time) {
	g.members[id].running = false
	if g.leader == id {
		g.leader, g.electAt = "", now.Add(g.between(electionTimeout, 2*electionTimeout))
	}
}

// step advances the model by membershipInterval.
func (g *modelGroup) step(now time.Time) {
	if !g.hasMajority() {
		g.leader, g.electAt = "", now.Add(g.between(electionTimeout, 2*electionTimeout))
		return
	}
	if g.leader == "" {
		if now.Before(g.electAt) {
			return
		}
		var able []string
		for _, id := range g.ids() {
			if m := g.members[id]; m.running && m.member && !m.learner && !m.lostDisk {
				able = append(able, id)
			}
		}
		g.leader, g.electedAt = able[g.rng.IntN(len(able))], now
	}
	st := raft.Status{ID: g.leader}
	var reporting []string
	for _, id := range g.ids() {
		m := g.members[id]
		if m.running {
			reporting = append(reporting, id)
		}
		if !m.member {
			continue
		}
		if m.running && !m.lostDisk {
			m.contact = now
			m.learner = m.learner && now.Before(m.caughtUpAt)
		}
		member := raft.Member{ID: id, Learner: m.learner}
		st.Members = append(st.Members, member)
		if id != g.leader {
			st.Peers = append(st.Peers, raft.PeerStatus{Member: member, Contact: m.contact, IncarnationMismatch: m.running && m.lostDisk})
		}
	}
	add, remove := nextMembershipChange(st, reporting, g.minVoters, g.electedAt, now)
	if add != "" {
		m := g.members[add]
		m.member, m.learner, m.lostDisk, m.contact = true, true, false, now
		m.caughtUpAt = now.Add(g.between(100*time.Millisecond, 700*time.Millisecond))
	}
	if m := g.members[remove]; m != nil {
		m.member = false
	}
}

// Guards against a group that dies of a series of losses although it bears each one: a
// lost voter that stays in the quorum makes the group weaker with every replacement.
func TestSeriesOfLossesLeavesAMajority(t *testing.T) {
	for seed := range uint64(400) {
		rng := rand.New(rand.NewPCG(seed, 0))
		tolerated := 1 + rng.IntN(2)
		durable := 2*tolerated + 1 + rng.IntN(7)
		g := &modelGroup{rng: rng, minVoters: 2*tolerated + 1, members: map[string]*modelMember{}, leader: "m00"}
		for i := range durable {
			g.members[fmt.Sprintf("m%02d", i)] = &modelMember{running: true, member: true, contact: start}
		}
		now, started := start, durable
		run := func(d time.Duration) {
			for end := now.Add(d); now.Before(end); now = now.Add(membershipInterval) {
				g.step(now)
			}
		}
		g.electedAt = now
		run(time.Second)
		for loss := range 8 {
			running := slices.DeleteFunc(g.ids(), func(id string) bool { return !g.members[id].running })
			rng.Shuffle(len(running), func(i, j int) { running[i], running[j] = running[j], running[i] })
			lost := running[:1+rng.IntN(tolerated)]
			for _, id := range lost {
				g.lose(id, now)
			}
			if voters, able := g.quorum(); !g.hasMajority() {
				t.Fatalf("seed %d: after loss %d of %v, %d of %d voters are able to vote", seed, loss, lost, able, voters)
			}
			run(g.between(500*time.Millisecond, 3*time.Second))
			for _, id := range lost {
				switch rng.IntN(3) {
				case 0: // replaced by an empty machine
					g.members[fmt.Sprintf("m%02d", started)] = &modelMember{running: true}
					started++
				case 1: // back with an empty disk
					g.members[id].running, g.members[id].lostDisk = true, g.members[id].member
				default:
					g.members[id].running = true
				}
			}
			run(catchUpTime)
		}
		run(5 * time.Second)
		if voters, _ := g.quorum(); voters < g.minVoters {
			t.Errorf("seed %d: %d voters at the end, want %d or more", seed, voters, g.minVoters)
		}
	}
}

// Guards against the same with real members: two are replaced and one loses its disk, each
// of them the leader or a member that has been there for long.
func TestSeriesOfLosses(t *testing.T) {
	t.Parallel()
	d := deploy(t, 4, 1)
	version := uint64(1)
	d.configure(d.instances[4], version)
	eventually(t, "all instances with a disk vote", func() bool { return len(d.voters()) == 4 })
	for loss := range 3 {
		lost := d.awaitLeader()
		if loss == 0 {
			i := slices.IndexFunc(d.instances, func(inst *instance) bool { return inst != lost && inst.fs != nil })
			lost = d.instances[i]
		}
		d.stop(lost)
		time.Sleep(time.Second)
		if loss < 2 {
			lost = &instance{addr: freeAddress(), fs: disk.NewFake(uint64(100 + loss))}
			d.instances = append(d.instances, lost)
		} else {
			lost.fs.Wipe()
		}
		d.start(lost, false)
		time.Sleep(catchUpTime)
		version++
		d.configure(d.instances[4], version)
	}
	d.expectVersion(version, d.instances[4])
	eventually(t, "four members vote", func() bool { return len(d.voters()) == 4 })
}
