package demo

import (
	"context"
	"flag"
	"io"
	"math/rand/v2"
	"testing"
)

var stops = flag.Int("demo.stops", 1, "number of planned stops, each in a deployment of its own")

// Guards against planned stops that cut streams: a stream resumed at an instance whose copy is
// behind, or whose last tokens went with the instance that stopped.
func TestPlannedStops(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for many seconds")
	}
	var results []streamResult
	broken := 0
	for range *stops {
		seed := rand.Uint64() >> 32
		r := &demonstration{opt: Options{Seed: seed, Out: io.Discard}, rng: rand.New(rand.NewPCG(seed, 1)), summary: Summary{Seed: seed, Held: true}}
		if err := r.startDeployment(context.Background()); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		all := r.stopBusiestNode(context.Background(), 300) // so that many run on after the stop
		r.site.Close()
		if complete, _, failure := countResults(all); complete < len(all) {
			broken++
			t.Errorf("seed %d: %d of %d streams complete%s", seed, complete, len(all), failure)
		}
		results = append(results, all...)
	}
	_, resumed, _ := countResults(results)
	t.Logf("%d stops, %d broken, %d times resumed; longest pauses: 50th percentile %v, 99th %v", *stops, broken, resumed, pausePercentile(results, 50), pausePercentile(results, 99))
}
