// Package spread chooses the addresses of instances that callers are given. Callers connect to
// one of the addresses of an answer at random, so the choice varies by answer such that
// instances get connections in proportion to what they can carry.
package spread

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Machine is what an instance has to serve requests with. Zero fields are unknown.
type Machine struct {
	Cores       float64
	LinkMbps    float64
	Descriptors float64
	MemoryMB    float64
}

// What one unit of capacity takes. The ratios are those of machines in deployments, so that an
// instance is weighted by what it is shortest of.
const (
	coresPerUnit       = 1
	linkMbpsPerUnit    = 50
	descriptorsPerUnit = 20_000
	memoryMBPerUnit    = 900
)

// Capacity returns what the machine can carry, relative to other machines; 0 if nothing of it
// is known.
func (m Machine) Capacity() float64 {
	least := math.Inf(1)
	for _, units := range []float64{
		m.Cores / coresPerUnit, m.LinkMbps / linkMbpsPerUnit, m.Descriptors / descriptorsPerUnit, m.MemoryMB / memoryMBPerUnit,
	} {
		if units > 0 {
			least = min(least, units)
		}
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return least
}

// maxEvenRatio is the ratio of the largest to the smallest capacity up to which instances count
// as alike. Answers that name all of them survive more losses, which is worth more than a
// quarter of load.
const maxEvenRatio = 1.25

// Uneven reports whether the capacities differ by more than maxEvenRatio. Unknown ones, which
// are 0, do not differ from any other.
func Uneven(capacities []float64) bool {
	lowest, highest := math.Inf(1), 0.0
	for _, c := range capacities {
		if c > 0 {
			lowest, highest = min(lowest, c), max(highest, c)
		}
	}
	return highest > maxEvenRatio*lowest
}

// Choose returns the indices of the instances for one answer, in ascending order: at least
// atLeast and at most atMost of them, or all if there are fewer. Each is chosen with a
// probability in proportion to its capacity, as far as atLeast allows it: an instance cannot
// be in more than every answer. Unknown capacities count as the mean of the others.
func Choose(capacities []float64, atLeast, atMost int, rng *rand.Rand) []int {
	atLeast = min(atLeast, atMost)
	if len(capacities) <= atLeast {
		return all(len(capacities))
	}
	weights, sum := known(capacities)
	// With this many, the largest instance is in every answer.
	n := min(max(int(sum/slices.Max(weights)), atLeast), atMost)
	// Systematic sampling: of the points at u, u+1, ..., each that lies in the part of the line
	// that an instance takes chooses it. The order of the instances is random, so that no two of
	// them are always chosen together.
	order := rng.Perm(len(weights))
	parts := inclusion(weights, n)
	point, end := rng.Float64(), 0.0
	var out []int
	for _, i := range order {
		end += parts[i]
		if point < end && len(out) < n {
			out = append(out, i)
			point++
		}
	}
	for _, i := range order { // the sum of the parts may be below n by an error of rounding
		if len(out) >= n {
			break
		}
		if !slices.Contains(out, i) {
			out = append(out, i)
		}
	}
	slices.Sort(out)
	return out
}

// Weights returns the capacities with the mean of the known ones in place of unknown ones.
func Weights(capacities []float64) []float64 {
	weights, _ := known(capacities)
	return weights
}

// Score returns the rank of an instance for a hash of the instance and a key: the instance with
// the highest score is the first choice for a share of the keys in proportion to its weight.
func Score(hash uint64, weight float64) float64 {
	uniform := (float64(hash>>11) + 0.5) / (1 << 53) // in (0, 1)
	return -weight / math.Log(uniform)
}

// known returns the capacities with the mean of the known ones in place of unknown ones, and
// their sum.
func known(capacities []float64) (weights []float64, sum float64) {
	n := 0
	for _, c := range capacities {
		if c > 0 {
			sum, n = sum+c, n+1
		}
	}
	mean := 1.0
	if n > 0 {
		mean = sum / float64(n)
	}
	weights = slices.Clone(capacities)
	sum = 0
	for i, w := range weights {
		if w <= 0 {
			weights[i] = mean
		}
		sum += weights[i]
	}
	return weights, sum
}

// inclusion returns the probability with which each instance is in an answer of n. They add up
// to n; none is above 1.
func inclusion(weights []float64, n int) []float64 {
	out := make([]float64, len(weights))
	left, certain := float64(n), 0.0
	for {
		sum := 0.0
		for i, w := range weights {
			if out[i] < 1 {
				sum += w
			}
		}
		grown := false
		for i, w := range weights {
			if out[i] < 1 && w*(left-certain) >= sum {
				out[i], grown = 1, true
			}
		}
		if !grown {
			for i, w := range weights {
				if out[i] < 1 {
					out[i] = w * (left - certain) / sum
				}
			}
			return out
		}
		certain = 0
		for _, p := range out {
			if p == 1 {
				certain++
			}
		}
		if certain >= left || int(certain) == len(weights) {
			return out
		}
	}
}

func all(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// minOwnShare is the part of an even share of the whole capacity that a data centre must have
// to serve its callers alone.
const minOwnShare = 0.5

// Help returns the part of their capacities with which other instances of the region take
// connections from the callers of a data centre, 0 if its own instances suffice. Callers are
// taken to be spread evenly over the data centres in which there are instances, since
// instances do not know the demand of each.
func Help(own, region []float64, dataCentres int) float64 {
	_, ownSum := known(own)
	_, regionSum := known(region)
	share := (ownSum + regionSum) / float64(max(dataCentres, 1))
	if regionSum == 0 || ownSum >= minOwnShare*share {
		return 0
	}
	return (share - ownSum) / regionSum
}
