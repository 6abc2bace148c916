package comand

import (
	"context"
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"cranberrypath.example/cranberrypath/internal/bench"
)

// experiment measures the system and naive policies under load and faults. An
// interrupted run prints what it has. A broken promise makes it fail.
func experiment(ctx context.Context, t terminal, args []string) error {
	fs := flags(t, "bench")
	name := fs.String("scenario", "steady", "name of a scenario, \"all\" or \"list\"")
	seed := fs.Uint64("seed", 1, "seed of the load and the faults")
	policies := fs.String("policy", "", "policies to compare, separated by commas; the scenario's if empty")
	secs := fs.Float64("seconds", 0, "length of the load for each policy, in seconds; the scenario's if 0")
	rate := fs.Float64("rate", 0, "arrivals per second; the scenario's if 0")
	delay := fs.Duration("linkDelay", bench.DefaultLinkDelay, "one-way delay between nodes in different data centres")
	asJSON := fs.Bool("json", false, "print JSON, one document for each scenario")
	plot := fs.String("plot", "", "write the distribution of the first token to this file, .svg or .png")
	if err := parse(fs, args, 0); err != nil {
		return err
	}
	if *name == "list" {
		for _, s := range bench.Scenarios() {
			fmt.Fprintf(t.out, "%-15s %s\n", s, bench.Summary(s))
		}
		return nil
	}
	if *secs != 0 && (*secs < 1 || *secs > 600) || *rate != 0 && (*rate < 0.1 || *rate > 1000) {
		return usageError("bench: want -seconds from 1 to 600 and -rate from 0.1 to 1000")
	}
	if *delay < 0 || *delay > time.Second {
		return usageError("bench: want -linkDelay from 0 to 1s")
	}
	if ext := filepath.Ext(*plot); *plot != "" && ext != ".svg" && ext != ".png" {
		return usageError("bench: -plot %q; want a name that ends in .svg or .png", *plot)
	}
	names := []string{*name}
	if *name == "all" {
		names = bench.Scenarios()
	}
	broken := 0
	for _, n := range names {
		if ctx.Err() != nil {
			break
		}
		rep, err := bench.Run(ctx, bench.Config{
			Scenario: n, Seed: *seed, Policies: splitList(*policies), Seconds: *secs, Rate: *rate, LinkDelay: *delay,
		})
		broken += rep.Broken()
		// What was measured before an error is still printed.
		if werr := showReport(t, rep, *asJSON, plotName(*plot, n, len(names))); werr != nil {
			return werr
		}
		if err != nil {
			return Error.Wrap(err)
		}
	}
	if broken > 0 {
		return Error.New("%d promises were broken", broken)
	}
	return nil
}

// splitList splits a list of names; it is nil if the list is empty.
func splitList(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(s, ",")
}

func showReport(t terminal, rep bench.Report, asJSON bool, plot string) error {
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

// plotName puts the scenario into the file name if there are several.
func plotName(file, scenario string, scenarios int) string {
	if file == "" || scenarios == 1 {
		return file
	}
	ext := filepath.Ext(file)
	return strings.TrimSuffix(file, ext) + "-" + scenario + ext
}
