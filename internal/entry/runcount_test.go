package entry

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/poison"
)

// Guards against a request that runs on three servers at once because its
// counting nodes are slow: each of several runs gets the votes of only some
// nodes, in its own order, while queries to the others arrive late or never.
func TestSlowNodesLetTwoRunsPass(t *testing.T) {
	now := time.Unix(1000, 0)
	var f poison.Fingerprint
	neverGone := func(string) bool { return false }
	passed := map[int]int{} // number of seeds by the number of runs that passed
	for seed := range uint64(5000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		nodeCount := 1 + rng.IntN(maxCountingNodes)
		nodes := make([]runCounts, nodeCount)
		const runs = 5
		votes := make([]chan vote, runs)
		for i := range votes {
			votes[i] = make(chan vote, nodeCount)
		}
		for _, query := range rng.Perm(runs * nodeCount) {
			run, node := query/nodeCount, query%nodeCount
			v := noReply
			if rng.IntN(10) > 0 { // the query arrives
				v = voteOf(nodes[node].add(f, strconv.Itoa(run), strconv.Itoa(run), poison.MaxCrashes, neverGone, now))
			}
			if rng.IntN(4) == 0 { // the reply is late
				v = noReply
			}
			votes[run] <- v
		}
		count := 0
		for _, ch := range votes {
			if countVotes(nodeCount, ch) == voteGranted {
				count++
			}
		}
		if count > poison.MaxCrashes {
			t.Fatalf("seed %d: %d runs passed %d nodes, want at most %d", seed, count, nodeCount, poison.MaxCrashes)
		}
		passed[count]++
	}
	if passed[poison.MaxCrashes] == 0 {
		t.Errorf("no seed let two runs pass: %v", passed)
	}
}

// Guards against the end of a run that overtakes its query: the run would count
// at that node until runLease expires.
func TestEndOvertakesQuery(t *testing.T) {
	now := time.Unix(1000, 0)
	var s runCounts
	var f poison.Fingerprint
	neverGone := func(string) bool { return false }
	s.remove(f, "late", false, now)
	if s.add(f, "late", "a", 1, neverGone, now) {
		t.Error("a run that has ended was let in")
	}
	if !s.add(f, "next", "a", 1, neverGone, now) {
		t.Error("a run that has ended holds a place")
	}
	s.sweep(now.Add(endedRunTTL))
	if len(s.endedEarly) > 0 {
		t.Errorf("%d ended runs are remembered after %v", len(s.endedEarly), endedRunTTL)
	}
}

// Guards against two runs of a request on one server: if it restarts quickly,
// both crashes carry the same incarnation and count as one.
func TestRunsOnOneServerComeOneByOne(t *testing.T) {
	now := time.Unix(1000, 0)
	var s runCounts
	var f poison.Fingerprint
	neverGone := func(string) bool { return false }
	if !s.add(f, "first", "a", poison.MaxCrashes, neverGone, now) {
		t.Fatal("the first run was not let in")
	}
	if s.add(f, "second", "a", poison.MaxCrashes, neverGone, now) {
		t.Error("a second run was let in on the same server")
	}
	if !s.add(f, "third", "b", poison.MaxCrashes, neverGone, now) {
		t.Error("a run on another server was not let in")
	}
}
