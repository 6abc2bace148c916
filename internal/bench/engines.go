package bench

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"cranberrypath.example/cranberrypath/internal/stand"
)

// lookupPriority is the priority of lookups on an engine; reviews have a later one.
const lookupPriority = 0

// EngineUse tells how a policy used one engine.
type EngineUse struct {
	Engine  string `json:"engine"`
	Lookups int    `json:"lookups"` // attempts
	Reviews int    `json:"reviews"` // attempts
	// Prefilled is the number of prompt tokens computed.
	Prefilled int `json:"prefilledTokens"`
	// Mean and Most are the requests at once, waiting ones included, on average
	// over the load and at the worst moment.
	Mean float64 `json:"meanAtOnce"`
	Most int     `json:"mostAtOnce"`
	// Full is the time with more requests than slots, in seconds.
	Full float64 `json:"fullSeconds"`
}

// usesOf returns the use of each engine during a load that began at a time.
func usesOf(engines []*stand.Engine, began time.Time, load time.Duration) []EngineUse {
	var out []EngineUse
	for _, e := range engines {
		out = append(out, useOf(e.ID(), e.Runs(), began, load))
	}
	return out
}

// change is the start (+1) or the end (-1) of a run.
type change struct {
	at    time.Time
	delta int
}

func useOf(id string, runs []stand.Run, began time.Time, load time.Duration) EngineUse {
	u := EngineUse{Engine: id}
	var changes []change
	for _, r := range runs {
		if r.Priority == lookupPriority {
			u.Lookups++
		} else {
			u.Reviews++
		}
		u.Prefilled += r.Computed
		changes = append(changes, change{r.Started, 1})
		if !r.Ended.IsZero() {
			changes = append(changes, change{r.Ended, -1})
		}
	}
	slices.SortFunc(changes, func(a, b change) int { return cmp.Or(a.at.Compare(b.at), a.delta-b.delta) })
	end := began.Add(load)
	last, n, busy, full := began, 0, 0.0, 0.0
	until := func(t time.Time) {
		if t.After(end) {
			t = end
		}
		if d := t.Sub(last).Seconds(); d > 0 {
			busy += d * float64(n)
			if n > engineSlots {
				full += d
			}
			last = t
		}
	}
	for _, c := range changes {
		until(c.at)
		n += c.delta
		u.Most = max(u.Most, n)
	}
	until(end)
	u.Mean, u.Full = round(busy/load.Seconds(), 100), round(full, 100)
	return u
}

func round(v, steps float64) float64 { return math.Round(v*steps) / steps }

// spread returns the least and the greatest value over the engines.
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

// engineRows show how evenly the engines were used.
func engineRows() []row {
	return []row{
		{"requests at once on an engine, mean", func(r *Result) string { return r.spread(func(u EngineUse) float64 { return u.Mean }) }},
		{"requests at once on an engine, most", func(r *Result) string { return r.spread(func(u EngineUse) float64 { return float64(u.Most) }) }},
		{"reviews of an engine", func(r *Result) string { return r.spread(func(u EngineUse) float64 { return float64(u.Reviews) }) }},
		{"engine seconds with a queue", func(r *Result) string {
			sum := 0.0
			for _, u := range r.Engines {
				sum += u.Full
			}
			return fmt.Sprintf("%.1f", sum)
		}},
	}
}
