package spread

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// Guards against an instance that is weighted by a resource that it has plenty of.
func TestCapacity(t *testing.T) {
	for _, c := range []struct {
		name    string
		machine Machine
		want    float64
	}{
		{"nothing known", Machine{}, 0},
		{"short of processor", Machine{0.144, 7.5, 3075, 144}, 0.144},
		{"short of memory", Machine{0.512, 1000, 20_000, 184}, 184.0 / 900},
		{"only the link is known", Machine{LinkMbps: 25}, 0.5},
	} {
		if got := c.machine.Capacity(); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
	for _, c := range []struct {
		capacities []float64
		want       bool
	}{{nil, false}, {[]float64{0.2, 0.2}, false}, {[]float64{0.2, 0}, false}, {[]float64{0.192, 0.204}, false}, {[]float64{0.2, 0.3}, true}} {
		if got := Uneven(c.capacities); got != c.want {
			t.Errorf("%v: uneven %v", c.capacities, got)
		}
	}
}

// Guards against connections that pile up at small instances: the busiest instance is compared
// with that of even answers.
func TestConnectionsFollowCapacity(t *testing.T) {
	const answers = 20_000
	for _, c := range []struct {
		name       string
		capacities []float64
		most       float64 // load of the busiest instance relative to its capacity
	}{
		{"15 small ones and 5 of 3.3 times their size", append(slices.Repeat([]float64{0.144}, 15), slices.Repeat([]float64{0.48}, 5)...), 1.1},
		{"three sizes", append(slices.Repeat([]float64{0.1}, 10), 0.2, 0.2, 0.2, 0.4), 1.1},
		{"some unknown", append(slices.Repeat([]float64{0.2}, 10), 0, 0.6), 1.1},
		{"one large one that must not stand alone", []float64{0.1, 0.1, 0.1, 5}, 10},
	} {
		rng := rand.New(rand.NewPCG(1, 2))
		weights, sum := known(c.capacities)
		load := make([]float64, len(weights))
		for range answers {
			chosen := Choose(c.capacities, 2, 64, rng)
			if len(chosen) < 2 || !slices.IsSorted(chosen) || len(slices.Compact(slices.Clone(chosen))) != len(chosen) {
				t.Fatalf("%s: chosen %v", c.name, chosen)
			}
			for _, i := range chosen {
				load[i] += 1 / float64(len(chosen))
			}
		}
		busiest, even := 0.0, 0.0
		for i, w := range weights {
			busiest = max(busiest, load[i]/answers/(w/sum))
			even = max(even, 1/float64(len(weights))/(w/sum))
		}
		if busiest > c.most || busiest >= even {
			t.Errorf("%s: the busiest instance has %.2f of the load that fits it, %.2f with even answers", c.name, busiest, even)
		}
		t.Logf("%s: busiest %.2f, with even answers %.2f", c.name, busiest, even)
	}
}

// Guards against answers with too few or too many addresses, whatever the capacities.
func TestSizeOfAnswers(t *testing.T) {
	for seed := range uint64(3000) {
		rng := rand.New(rand.NewPCG(seed, 3))
		capacities := make([]float64, rng.IntN(100))
		for i := range capacities {
			capacities[i] = math.Pow(10, 4*rng.Float64()-2) * float64(rng.IntN(4))
		}
		atLeast, atMost := rng.IntN(4), 1+rng.IntN(64)
		chosen := Choose(capacities, atLeast, atMost, rng)
		if n := len(chosen); n > max(atMost, 0) || n < min(atLeast, atMost, len(capacities)) {
			t.Errorf("seed %d: %d of %d, want %d to %d", seed, n, len(capacities), atLeast, atMost)
		}
		if len(slices.Compact(slices.Clone(chosen))) != len(chosen) {
			t.Errorf("seed %d: %v", seed, chosen)
		}
	}
}
