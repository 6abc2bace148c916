package entry

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/poison"
)

// Guards against a request that runs on three servers at once because its homes
// are slow: each of several runs gets the answers of some homes only, in an order
// of its own, while the questions to the others arrive late or never.
func TestSlowHomesLetTwoRunsPass(t *testing.T) {
	now := time.Unix(1000, 0)
	var f poison.Fingerprint
	lives := func(string) bool { return false }
	passed := map[int]int{} // seeds by the number of runs that passed
	for seed := range uint64(5000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		n := 1 + rng.IntN(countHomes)
		homes := make([]runCounts, n)
		const runs = 5
		answers := make([]chan answer, runs)
		for i := range answers {
			answers[i] = make(chan answer, n)
		}
		for _, q := range rng.Perm(runs * n) {
			run, home := q/n, q%n
			a := silent
			if rng.IntN(10) > 0 { // the question arrives
				a = verdict(homes[home].add(f, strconv.Itoa(run), strconv.Itoa(run), poison.MaxCrashes, lives, now))
			}
			if rng.IntN(4) == 0 { // the answer is late
				a = silent
			}
			answers[run] <- a
		}
		count := 0
		for _, a := range answers {
			if decide(n, a) == granted {
				count++
			}
		}
		if count > poison.MaxCrashes {
			t.Fatalf("seed %d: %d runs passed %d homes, want at most %d", seed, count, n, poison.MaxCrashes)
		}
		passed[count]++
	}
	if passed[poison.MaxCrashes] == 0 {
		t.Errorf("no seed let two runs pass: %v", passed)
	}
}

// Guards against the end of a run that overtakes its question: the run would hold
// a place at that home for countLease.
func TestEndOvertakesQuestion(t *testing.T) {
	now := time.Unix(1000, 0)
	var s runCounts
	var f poison.Fingerprint
	lives := func(string) bool { return false }
	s.remove(f, "late", false, now)
	if s.add(f, "late", "a", 1, lives, now) {
		t.Error("a run that has ended was let in")
	}
	if !s.add(f, "next", "a", 1, lives, now) {
		t.Error("a run that has ended holds a place")
	}
	s.sweep(now.Add(endedKept))
	if len(s.ended) > 0 {
		t.Errorf("%d ended runs are remembered after %v", len(s.ended), endedKept)
	}
}

// Guards against two runs of a request on one server: if it restarts quickly, the
// crashes carry the same incarnation and count as one.
func TestRunsOnOneServerComeOneByOne(t *testing.T) {
	now := time.Unix(1000, 0)
	var s runCounts
	var f poison.Fingerprint
	lives := func(string) bool { return false }
	if !s.add(f, "first", "a", poison.MaxCrashes, lives, now) {
		t.Fatal("the first run was not let in")
	}
	if s.add(f, "second", "a", poison.MaxCrashes, lives, now) {
		t.Error("a second run was let in on the same server")
	}
	if !s.add(f, "third", "b", poison.MaxCrashes, lives, now) {
		t.Error("a run on another server was not let in")
	}
}
