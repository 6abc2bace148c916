package bench

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"cranberrypath.example/cranberrypath/internal/stand"
)

// lookupPriority is the priority of lookups on an engine; reviews have a lower one.
const lookupPriority = 0

// EngineUse describes how a policy used one engine.
type EngineUse struct {
	Engine  string `json:"engine"`
	Lookups int    `json:"lookups"` // attempts
	Reviews int    `json:"reviews"` // attempts
	// PrefilledTokens is the number of prompt tokens computed.
	PrefilledTokens int `json:"prefilledTokens"`
	// MeanConcurrent and MaxConcurrent are the mean and the maximum number of concurrent
	// requests during the load, including queued ones.
	MeanConcurrent float64 `json:"meanAtOnce"`
	MaxConcurrent  int     `json:"mostAtOnce"`
	// QueueSeconds is the time with more requests than slots.
	QueueSeconds float64 `json:"fullSeconds"`
}

// engineUses returns the use of each engine during a load that began at began.
func engineUses(engines []*stand.Engine, began time.Time, load time.Duration) []EngineUse {
	var out []EngineUse
	for _, e := range engines {
		out = append(out, engineUse(e.ID(), e.Runs(), began, load))
	}
	return out
}

// runBoundary is the start (+1) or the end (-1) of a run.
type runBoundary struct {
	at    time.Time
	delta int
}

func engineUse(id string, runs []stand.Run, began time.Time, load time.Duration) EngineUse {
	u := EngineUse{Engine: id}
	var changes []runBoundary
	for _, r := range runs {
		if r.Priority == lookupPriority {
			u.Lookups++
		} else {
			u.Reviews++
		}
		u.PrefilledTokens += r.Computed
		changes = append(changes, runBoundary{r.Started, 1})
		if !r.Ended.IsZero() {
			changes = append(changes, runBoundary{r.Ended, -1})
		}
	}
	slices.SortFunc(changes, func(a, b runBoundary) int { return cmp.Or(a.at.Compare(b.at), a.delta-b.delta) })
	end := began.Add(load)
	last, running, requestSeconds, queueSeconds := began, 0, 0.0, 0.0
	advance := func(t time.Time) {
		if t.After(end) {
			t = end
		}
		if d := t.Sub(last).Seconds(); d > 0 {
			requestSeconds += d * float64(running)
			if running > engineSlots {
				queueSeconds += d
			}
			last = t
		}
	}
	for _, c := range changes {
		advance(c.at)
		running += c.delta
		u.MaxConcurrent = max(u.MaxConcurrent, running)
	}
	advance(end)
	u.MeanConcurrent, u.QueueSeconds = round(requestSeconds/load.Seconds(), 100), round(queueSeconds, 100)
	return u
}

func round(v, steps float64) float64 { return math.Round(v*steps) / steps }

// spread returns the minimum and the maximum of a value over the engines.
func (r *Result) spread(value func(u EngineUse) float64) string {
	if len(r.Engines) == 0 {
		return "-"
	}
	low, high := math.Inf(1), math.Inf(-1)
	for _, u := range r.Engines {
		low, high = min(low, value(u)), max(high, value(u))
	}
	return fmt.Sprintf("%.3g to %.3g", low, high)
}

// engineRows returns the table rows that show how evenly the engines were used.
func engineRows() []tableRow {
	return []tableRow{
		{"requests at once on an engine, mean", func(r *Result) string { return r.spread(func(u EngineUse) float64 { return u.MeanConcurrent }) }},
		{"requests at once on an engine, most", func(r *Result) string { return r.spread(func(u EngineUse) float64 { return float64(u.MaxConcurrent) }) }},
		{"reviews of an engine", func(r *Result) string { return r.spread(func(u EngineUse) float64 { return float64(u.Reviews) }) }},
		{"engine seconds with a queue", func(r *Result) string {
			sum := 0.0
			for _, u := range r.Engines {
				sum += u.QueueSeconds
			}
			return fmt.Sprintf("%.1f", sum)
		}},
	}
}
