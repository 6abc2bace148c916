package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"cranberrypath.example/cranberrypath/internal/world"
)

// tableRow is one row of the table with a cell for each result.
type tableRow struct {
	name  string
	value func(r *Result) string
}

func countCell(f func(r *Result) int) func(r *Result) string {
	return func(r *Result) string { return fmt.Sprint(f(r)) }
}

// WriteTable writes the report as a text table with one column for each policy.
func (r Report) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "scenario %s, seed %d: %s (%.3g s of load, %.3g arrivals per second, links %.3g ms)\n", r.Scenario, r.Seed, r.Summary, r.Seconds, r.Rate, r.LinkDelayMillis)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	line := func(name string, value func(r *Result) string) {
		cells := []string{name}
		for _, res := range r.Results {
			cells = append(cells, value(res))
		}
		fmt.Fprintln(t, strings.Join(cells, "\t")+"\t")
	}
	line("policy", func(r *Result) string {
		if r.Partial {
			return r.Policy + " (partial)"
		}
		return r.Policy
	})
	for _, l := range r.rows() {
		line(l.name, l.value)
	}
	if err := t.Flush(); err != nil {
		return Error.Wrap(err)
	}
	for _, res := range r.Results {
		for _, d := range res.BreachDetails {
			fmt.Fprintf(w, "  %s: %s\n", res.Policy, d)
		}
	}
	_, err := fmt.Fprintln(w)
	return Error.Wrap(err)
}

func (r Report) rows() []tableRow {
	rows := []tableRow{{"requests", countCell(func(r *Result) int { return r.Requests })}}
	for _, k := range sortedKeys(r.Results, func(r *Result) map[string]int { return r.Outcomes }) {
		rows = append(rows, tableRow{"  " + k, countCell(func(r *Result) int { return r.Outcomes[k] })})
	}
	for _, c := range []world.Class{world.Lookup, world.Review} {
		name := c.String()
		rows = append(rows,
			tableRow{name + " first token p50/p95 ms", func(r *Result) string {
				return fmt.Sprintf("%.0f/%.0f", r.Latency[name].FirstP50, r.Latency[name].FirstP95)
			}},
			tableRow{name + " between tokens p95 ms", func(r *Result) string { return fmt.Sprintf("%.1f", r.Latency[name].BetweenP95) }})
	}
	call := world.Call.String()
	rows = append(rows,
		tableRow{"order answer p95 ms", func(r *Result) string { return fmt.Sprintf("%.0f", r.Latency[call].FirstP95) }},
		tableRow{"small organisations first p95 ms", func(r *Result) string { return fmt.Sprintf("%.0f", r.SmallP95) }},
		tableRow{"cost", func(r *Result) string { return fmt.Sprintf("%.5f", r.Cost) }},
		tableRow{"answers within target", countCell(func(r *Result) int { return r.WithinTarget })},
		tableRow{"cost per 1000 within target", costPerThousand},
		tableRow{"recomputed tokens", countCell(func(r *Result) int { return r.RecomputedTokens })},
		tableRow{"prefilled/prompt tokens", func(r *Result) string { return fmt.Sprintf("%d/%d", r.PrefilledTokens, r.PromptTokens) }},
		tableRow{"streams moved by export/replay", func(r *Result) string { return fmt.Sprintf("%d/%d", r.StreamsExported, r.StreamsReplayed) }},
		tableRow{"failed attempts", countCell(func(r *Result) int { return r.FailedAttempts })})
	rows = append(rows, engineRows()...)
	for _, c := range sortedKeys(r.Results, func(r *Result) map[string]int { return r.Codes }) {
		rows = append(rows, tableRow{"error " + c, countCell(func(r *Result) int { return r.Codes[c] })})
	}
	if slices.ContainsFunc(r.Results, func(res *Result) bool { return res.InstancesBought+res.StartsRefused > 0 }) {
		rows = append(rows, tableRow{"instances bought/starts refused", func(r *Result) string { return fmt.Sprintf("%d/%d", r.InstancesBought, r.StartsRefused) }})
	}
	rows = append(rows, r.moveRows()...)
	rows = append(rows, tableRow{"promises broken", countCell((*Result).BrokenTotal)})
	for _, p := range Promises() {
		if slices.ContainsFunc(r.Results, func(res *Result) bool { return res.BrokenPromises[p] > 0 }) {
			rows = append(rows, tableRow{"  " + p, countCell(func(r *Result) int { return r.BrokenPromises[p] })})
		}
	}
	return rows
}

// sortedKeys returns the sorted keys of the maps of all results.
func sortedKeys(results []*Result, counts func(r *Result) map[string]int) []string {
	all := map[string]bool{}
	for _, r := range results {
		for k := range counts(r) {
			all[k] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

func costPerThousand(r *Result) string {
	if r.WithinTarget == 0 {
		return "-"
	}
	return fmt.Sprintf("%.4f", r.CostPerThousand)
}

// WriteJSON writes the report as one JSON document.
func (r Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return Error.Wrap(e.Encode(r))
}
