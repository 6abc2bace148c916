package spread

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// BenchmarkChoose chooses an answer from the instances of a data centre.
func BenchmarkChoose(b *testing.B) {
	capacities := append(slices.Repeat([]float64{0.144}, 16), slices.Repeat([]float64{0.48}, 5)...)
	rng := rand.New(rand.NewPCG(1, 1))
	for b.Loop() {
		Choose(capacities, 2, 64, rng)
	}
}
