package duty

import (
	"math"
	"time"

	"cranberrypath.example/cranberrypath/internal/coord"
)

const (
	// prefillUtilisation is the share of its time that an engine may spend on prefills. A
	// prompt then waits less than a prefill on average for those before it.
	prefillUtilisation = 0.6
	// workSmoothing is the time constant of the average of the work in progress: whether an
	// engine prefills a prompt at a given moment is chance.
	workSmoothing = 2 * time.Second
)

// engineWork returns the share of an engine's capacity that its requests use now: prefills, of
// which an engine runs one at a time, and decodes, which share its steps. Unlike demand it does
// not take a prompt that is being read for one that waits: spread over many engines, prompts
// never wait, and the few engines that remain after a loss could not read all of them.
func engineWork(l coord.Load, slots int) float64 {
	decodingPerEngine := decodingSlotShare * float64(slots)
	if slots == 0 {
		decodingPerEngine = requestsPerEngine // not announced
	}
	return float64(min(l.Waiting, 1))/prefillUtilisation + float64(max(l.Running-l.Waiting, 0))/decodingPerEngine
}

// workAverage is an exponential average of the work of a service.
type workAverage struct {
	engines float64
	at      time.Time
}

// WithSample returns the average after a sample. The first sample is the average.
func (a workAverage) WithSample(engines float64, now time.Time) workAverage {
	if a.at.IsZero() {
		return workAverage{engines, now}
	}
	weight := 1 - math.Exp(-max(now.Sub(a.at).Seconds(), 0)/workSmoothing.Seconds())
	return workAverage{a.engines + (engines-a.engines)*weight, now}
}

// withWork returns the load with at least the engines that the work in progress keeps busy.
func (l serviceLoad) withWork(a workAverage) serviceLoad {
	l.engines = max(l.engines, a.engines)
	return l
}
