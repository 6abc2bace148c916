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

// row is one line of the table with a value for each result.
type row struct {
	name  string
	value func(r *Result) string
}

func count(f func(r *Result) int) func(r *Result) string {
	return func(r *Result) string { return fmt.Sprint(f(r)) }
}

// WriteTable writes the report for people, one column for each policy.
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
		for _, d := range res.Details {
			fmt.Fprintf(w, "  %s: %s\n", res.Policy, d)
		}
	}
	_, err := fmt.Fprintln(w)
	return Error.Wrap(err)
}

func (r Report) rows() []row {
	rows := []row{{"requests", count(func(r *Result) int { return r.Requests })}}
	for _, k := range keysOf(r.Results, func(r *Result) map[string]int { return r.Outcomes }) {
		rows = append(rows, row{"  " + k, count(func(r *Result) int { return r.Outcomes[k] })})
	}
	for _, c := range []world.Class{world.Lookup, world.Review} {
		name := c.String()
		rows = append(rows,
			row{name + " first token p50/p95 ms", func(r *Result) string {
				return fmt.Sprintf("%.0f/%.0f", r.Latency[name].FirstP50, r.Latency[name].FirstP95)
			}},
			row{name + " between tokens p95 ms", func(r *Result) string { return fmt.Sprintf("%.1f", r.Latency[name].BetweenP95) }})
	}
	call := world.Call.String()
	rows = append(rows,
		row{"order answer p95 ms", func(r *Result) string { return fmt.Sprintf("%.0f", r.Latency[call].FirstP95) }},
		row{"small organisations first p95 ms", func(r *Result) string { return fmt.Sprintf("%.0f", r.SmallP95) }},
		row{"cost", func(r *Result) string { return fmt.Sprintf("%.5f", r.Cost) }},
		row{"answers within target", count(func(r *Result) int { return r.Met })},
		row{"cost per 1000 within target", costPerThousand},
		row{"recomputed tokens", count(func(r *Result) int { return r.Recomputed })},
		row{"prefilled/prompt tokens", func(r *Result) string { return fmt.Sprintf("%d/%d", r.Prefilled, r.Prompt) }},
		row{"streams moved by export/replay", func(r *Result) string { return fmt.Sprintf("%d/%d", r.Exported, r.Replayed) }},
		row{"failed attempts", count(func(r *Result) int { return r.FailedAttempts })})
	rows = append(rows, engineRows()...)
	for _, c := range keysOf(r.Results, func(r *Result) map[string]int { return r.Codes }) {
		rows = append(rows, row{"error " + c, count(func(r *Result) int { return r.Codes[c] })})
	}
	if slices.ContainsFunc(r.Results, func(res *Result) bool { return res.Bought+res.Refused > 0 }) {
		rows = append(rows, row{"instances bought/starts refused", func(r *Result) string { return fmt.Sprintf("%d/%d", r.Bought, r.Refused) }})
	}
	rows = append(rows, r.moveRows()...)
	rows = append(rows, row{"promises broken", count((*Result).BrokenTotal)})
	for _, p := range Promises() {
		if slices.ContainsFunc(r.Results, func(res *Result) bool { return res.Broken[p] > 0 }) {
			rows = append(rows, row{"  " + p, count(func(r *Result) int { return r.Broken[p] })})
		}
	}
	return rows
}

// keysOf returns the keys of a map of each result, sorted.
func keysOf(results []*Result, of func(r *Result) map[string]int) []string {
	all := map[string]bool{}
	for _, r := range results {
		for k := range of(r) {
			all[k] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

func costPerThousand(r *Result) string {
	if r.Met == 0 {
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
