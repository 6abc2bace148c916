package comand

import (
	"context"
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"cranberrypath.example/cranberrypath/internal/bench"
)

// runBench benchmarks the system and naive policies under load and faults. An
// interrupted run prints partial results. Each broken promise is reported, and any
// of them makes the command fail.
func runBench(ctx context.Context, t terminal, args []string) error {
	fs := newFlagSet(t, "bench")
	name := fs.String("scenario", "steady", "name of a scenario, \"all\" or \"list\"")
	seed := fs.Uint64("seed", 1, "seed for the load and the faults")
	policies := fs.String("policy", "", "comma-separated policies to compare; those of the scenario if empty")
	loadSeconds := fs.Float64("seconds", 0, "duration of the load for each policy, in seconds; that of the scenario if 0")
	rate := fs.Float64("rate", 0, "arrivals per second; that of the scenario if 0")
	linkDelay := fs.Duration("linkDelay", bench.DefaultLinkDelay, "one-way delay between nodes in different data centres")
	asJSON := fs.Bool("json", false, "print JSON, one document for each scenario")
	plot := fs.String("plot", "", "write the distribution of the time to first token to this file, .svg or .png")
	if err := parseFlags(fs, args, 0); err != nil {
		return err
	}
	if *name == "list" {
		for _, s := range bench.Scenarios() {
			fmt.Fprintf(t.out, "%-15s %s\n", s, bench.Summary(s))
		}
		return nil
	}
	if *loadSeconds != 0 && (*loadSeconds < 1 || *loadSeconds > 600) || *rate != 0 && (*rate < 0.1 || *rate > 1000) {
		return usageError("bench: want -seconds from 1 to 600 and -rate from 0.1 to 1000")
	}
	if *linkDelay < 0 || *linkDelay > time.Second {
		return usageError("bench: want -linkDelay from 0 to 1s")
	}
	if ext := filepath.Ext(*plot); *plot != "" && ext != ".svg" && ext != ".png" {
		return usageError("bench: -plot %q; want a name that ends in .svg or .png", *plot)
	}
	names := []string{*name}
	if *name == "all" {
		names = bench.Scenarios()
	}
	violations := 0
	for _, n := range names {
		if ctx.Err() != nil {
			break
		}
		rep, err := bench.Run(ctx, bench.Config{
			Scenario: n, Seed: *seed, Policies: splitList(*policies), Seconds: *loadSeconds, Rate: *rate, LinkDelay: *linkDelay,
		})
		violations += rep.Broken()
		// Print the results measured before an error.
		if werr := writeReport(t, rep, *asJSON, plotFileName(*plot, n, len(names))); werr != nil {
			return werr
		}
		if err != nil {
			return Error.Wrap(err)
		}
	}
	if violations > 0 {
		return Error.New("%d promises were broken", violations)
	}
	return nil
}

// splitList splits a comma-separated list. It returns nil for an empty list.
func splitList(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(s, ",")
}

func writeReport(t terminal, rep bench.Report, asJSON bool, plot string) error {
	if len(rep.Results) == 0 {
		return nil
	}
	var err error
	if asJSON {
		err = rep.WriteJSON(t.out)
	} else {
		err = rep.WriteTable(t.out)
	}
	if err == nil && plot != "" {
		err = rep.Plot(plot)
	}
	return Error.Wrap(err)
}

// plotFileName adds the scenario to the file name if there are several.
func plotFileName(file, scenario string, scenarios int) string {
	if file == "" || scenarios == 1 {
		return file
	}
	ext := filepath.Ext(file)
	return strings.TrimSuffix(file, ext) + "-" + scenario + ext
}
