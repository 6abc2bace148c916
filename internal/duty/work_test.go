package duty

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/coord"
)

// Guards against a fleet that is sized by prompts that wait: 35 prompts being read at 35 of 86
// engines need 35 engines' time, not the 14 engines at which 2.5 of them wait.
func TestEngineWork(t *testing.T) {
	for _, c := range []struct {
		running, waiting, slots int
		want                    float64
	}{
		{0, 0, 64, 0},
		{1, 1, 64, 1 / prefillUtilisation},
		{9, 9, 64, 1 / prefillUtilisation}, // a queue is no work of its own
		{16, 0, 64, 1},
		{17, 1, 64, 1/prefillUtilisation + 1},
		{5, 0, 0, 1},
		{0, 1, 64, 1 / prefillUtilisation}, // counts of different times
	} {
		got := engineWork(coord.Load{Running: c.running, Waiting: c.waiting}, c.slots)
		if math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%d running, %d of them waiting, %d slots: work of %v engines, want %v", c.running, c.waiting, c.slots, got, c.want)
		}
	}
}

// Replays the loss of 58 of 86 engines under a load of 230 requests a second, of which each
// reads for 0.13 s on average and decodes for 0.5 s. Guards against on-demand engines that
// cannot read the prompts of that load once the reclaimable ones are gone.
func TestWorkCoversLoss(t *testing.T) {
	const perSecond, readSeconds, decodeSeconds, engines, slots = 230, 0.13, 0.5, 86, 64
	rnd := rand.New(rand.NewPCG(1, 2))
	sample := func() (work float64, load serviceLoad) {
		loads := make([]coord.Load, engines)
		for range int(math.Round(perSecond * readSeconds * (0.8 + 0.4*rnd.Float64()))) {
			l := &loads[rnd.IntN(engines)]
			l.Running, l.Waiting = l.Running+1, l.Waiting+1
		}
		for range int(perSecond * decodeSeconds) {
			loads[rnd.IntN(engines)].Running++
		}
		for _, l := range loads {
			work += engineWork(l, slots)
			load = load.add(demand(l, slots))
		}
		return work, load
	}
	var average workAverage
	peakQueue, now := 0.0, time.Unix(1_700_000_000, 0)
	peakWork := 0.0
	for range 40 {
		work, load := sample()
		average = average.WithSample(work, now)
		peakQueue, peakWork = max(peakQueue, load.engines), max(peakWork, load.withWork(average).engines)
		now = now.Add(pollInterval)
	}
	utilisation := func(engines float64) float64 { return perSecond * readSeconds / math.Ceil(engines) }
	t.Logf("sized by the queue: %.0f engines, which prefill for %.2f of their time; by the work: %.0f, %.2f",
		math.Ceil(peakQueue), utilisation(peakQueue), math.Ceil(peakWork), utilisation(peakWork))
	if utilisation(peakWork) > 0.75 {
		t.Errorf("%.0f engines prefill for %.2f of their time, want at most 0.75", math.Ceil(peakWork), utilisation(peakWork))
	}
	if utilisation(peakQueue) < 1 {
		t.Errorf("the load does not show the fault: %.0f engines sized by the queue suffice", math.Ceil(peakQueue))
	}
	if peakWork > 70 {
		t.Errorf("%.0f engines are ordered for a load that 30 engines can prefill", math.Ceil(peakWork))
	}
}
