package pacing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var start = time.UnixMilli(1_700_000_000_000)

func names(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("10.0.0.%d:7600", i))
	}
	return out
}

// ExamplePart divides a rate of 1.5 requests a second among four instances.
func ExamplePart() {
	all := []string{"a", "b", "c", "d"}
	for _, id := range all {
		fmt.Println(id, Part("server-1", 1.5, id, all))
	}
	// Output:
	// a 0.5
	// b 0.5
	// c 0.5
	// d 0
}

// Guards against parts that exceed the rate together, and against a server that gets nothing.
func TestPartsSumToTheRate(t *testing.T) {
	for _, c := range []struct {
		rate      float64
		instances int
		want      float64
		senders   int
	}{
		{0, 11, minRate, 1},
		{0.01, 11, minRate, 1},
		{0.5, 11, 0.5, 1},
		{1, 11, 1, 2},
		{1.2, 11, 1.2, 2},
		{3, 1, 3, 1},
		{3, 11, 3, 6},
		{40, 11, 40, 11},
		{1e6, 300, 1e6, 300},
		{math.MaxFloat64, 2, math.MaxFloat64, 2},
	} {
		for server := range 20 {
			all, sum, senders := names(c.instances), 0.0, 0
			for _, id := range all {
				part := Part(fmt.Sprint("s", server), c.rate, id, all)
				sum += part
				if part > 0 {
					senders++
				}
			}
			if math.Abs(sum/c.want-1) > 1e-9 || senders != c.senders {
				t.Errorf("rate %v, %d instances: parts of %v at %d, want %v at %d", c.rate, c.instances, sum, senders, c.want, c.senders)
			}
		}
	}
	if part := Part("s", 5, "unlisted", names(3)); part != 0 {
		t.Errorf("an instance that is not listed has a part of %v", part)
	}
	if part := Part("s", 5, "alone", nil); part != 0 {
		t.Errorf("an instance without a list has a part of %v", part)
	}
}

// Guards against parts that move between instances which a change does not concern: the old
// and the new list are in use at the same time for a while.
func TestPartsMoveLittle(t *testing.T) {
	all := names(11)
	for _, lost := range all {
		rest := slices.DeleteFunc(slices.Clone(all), func(id string) bool { return id == lost })
		for server := range 50 {
			s, gained := fmt.Sprint("s", server), 0
			for _, id := range rest {
				before, after := Part(s, 1, id, all), Part(s, 1, id, rest)
				if before > 0 && after != before {
					t.Errorf("%s without %s: the part of %s changes from %v to %v", s, lost, id, before, after)
				}
				if before == 0 && after > 0 {
					gained++
				}
			}
			if gained > 1 {
				t.Errorf("%s without %s: %d instances gain a part", s, lost, gained)
			}
		}
	}
}

// Guards against more requests than a limit allows, from its first use on, whatever the rate.
func TestBucketKeepsTheRate(t *testing.T) {
	const window = 4 * time.Second
	for _, rate := range []float64{0, 0.1, 0.25, 0.5, 1, 3, 20} {
		b, sent := Bucket{}.WithRate(rate, start), []time.Time(nil)
		for ms := range 20_000 {
			if now := start.Add(time.Duration(ms) * time.Millisecond); b.Admits(now) {
				b, sent = b.WithSent(now), append(sent, now)
			}
		}
		if want := int(20 * rate); len(sent) < want-1 || len(sent) > want {
			t.Errorf("rate %v: %d requests in 20 s, want %d", rate, len(sent), want)
		}
		for i, at := range sent {
			n := 0
			for _, later := range sent[i:] {
				if later.Sub(at) < window {
					n++
				}
			}
			if most := rate*window.Seconds() + max(1, rate); float64(n) > most+1e-6 {
				t.Errorf("rate %v: %d requests in 4 s, want at most %v", rate, n, most)
			}
		}
	}
}

// Guards against a burst after a pause, a full bucket when a part is gained, and wrong times.
func TestBucket(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	if b := (Bucket{}); !b.Admits(at(0)) || b.Limited() || !b.WithSent(at(0)).WithSent(at(0)).Admits(at(0)) {
		t.Error("a bucket without a limit admits no request")
	}
	b := Bucket{}.WithRate(2, at(0))
	if b.Admits(at(0)) || b.Admits(at(499)) || !b.Admits(at(500)) {
		t.Error("a limit does not begin with an empty bucket")
	}
	if next, ok := b.Next(at(100)); !ok || !next.Equal(at(500)) {
		t.Errorf("the next request at %v, %v", next, ok)
	}
	n := 0
	for b = b.WithRate(2, at(60_000)); b.Admits(at(60_000)); n++ {
		b = b.WithSent(at(60_000))
	}
	if n != 2 {
		t.Errorf("%d requests at once after a minute, want 2", n)
	}
	lost := b.WithRate(0, at(60_000))
	if _, ok := lost.Next(at(60_000)); ok || lost.Admits(at(600_000)) {
		t.Error("an instance without a part sends a request")
	}
	if gained := lost.WithRate(1, at(600_000)); gained.Admits(at(600_999)) || !gained.Admits(at(601_000)) {
		t.Error("a gained part does not begin with an empty bucket")
	}
	if back := b.WithSent(at(60_000)); back.Admits(at(59_000)) {
		t.Error("a step back in time admits a request")
	}
}

// Guards against a server that gets more than its limit while instances restart, are cut off
// or learn the list of instances at different times.
func TestLimitWhileInstancesChange(t *testing.T) {
	const window, step = 4 * time.Second, 10 * time.Millisecond
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 0))
		rate := []float64{0, 0.5, 1, 1.2, 3, 10}[rng.IntN(6)]
		all := names(4 + rng.IntN(8))
		type instance struct {
			bucket  Bucket
			list    []string
			learnAt time.Time // when it learns the present list
		}
		state := map[string]*instance{}
		for _, id := range all {
			state[id] = &instance{bucket: Bucket{}.WithRate(Part("s", rate, id, all), start), list: all}
		}
		listed, changeAt := all, start.Add(2*time.Second)
		var sent []time.Time
		for now := start; now.Before(start.Add(30 * time.Second)); now = now.Add(step) {
			if !now.Before(changeAt) {
				lost := rng.IntN(len(all))
				listed = slices.Delete(slices.Clone(all), lost, lost+1)
				changeAt = now.Add(2*time.Second + time.Duration(rng.Int64N(int64(4*time.Second))))
				for _, id := range all {
					state[id].learnAt = now.Add(time.Duration(rng.Int64N(int64(600 * time.Millisecond))))
				}
				restarted := state[all[lost]]
				restarted.bucket, restarted.list = Bucket{}.WithRate(0, now), nil
			}
			for _, id := range all {
				inst := state[id]
				if !inst.learnAt.IsZero() && !now.Before(inst.learnAt) {
					inst.list, inst.learnAt = listed, time.Time{}
					inst.bucket = inst.bucket.WithRate(Part("s", rate, id, listed), now)
				}
				if rng.Float64() < 0.2 && inst.bucket.Admits(now) {
					inst.bucket, sent = inst.bucket.WithSent(now), append(sent, now)
				}
			}
		}
		first := 0
		for i, at := range sent {
			for at.Sub(sent[first]) > window {
				first++
			}
			if n, most := i+1-first, 1.5*window.Seconds()*rate+5; float64(n) > most {
				t.Fatalf("seed %d: %d requests in 4 s at a limit of %v, want at most %v", seed, n, rate, most)
			}
		}
		if len(sent) < int(10*max(rate, minRate)) {
			t.Errorf("seed %d: %d requests in 30 s at a limit of %v", seed, len(sent), rate)
		}
	}
}
