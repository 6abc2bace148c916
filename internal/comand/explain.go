package comand

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strings"

	"cranberrypath.example/cranberrypath/internal/cause"
	"cranberrypath.example/cranberrypath/internal/event"
)

// explain finds the causes of failed requests in the logs of all processes.
func explain(_ context.Context, t terminal, args []string) error {
	fs := newFlagSet(t, "explain")
	request := fs.String("request", "", "id of the request to explain")
	sampleSize := fs.Int("some", 0, "explain this many failed requests, chosen at random")
	seed := fs.Uint64("seed", 1, "seed for the random choice of -some")
	asJSON := fs.Bool("json", false, "print JSON lines")
	if err := parseFlags(fs, args, 1<<16); err != nil {
		return err
	}
	if (*request == "") == (*sampleSize < 1) {
		return usageError("explain: want -request or -some, and at least one log")
	}
	if fs.NArg() == 0 {
		return usageError("explain: want the logs of the processes, or - for standard input")
	}
	all, err := readEvents(t, fs.Args(), event.Filter{})
	if err != nil {
		return err
	}
	l, err := cause.New(all)
	if err != nil {
		return Error.Wrap(err)
	}
	ids := []string{*request}
	if *sampleSize > 0 {
		ids = l.Failed()
		rand.New(rand.NewPCG(*seed, 0)).Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
		ids = ids[:min(*sampleSize, len(ids))]
	}
	explained := 0
	for _, id := range ids {
		list := l.Explain(id)
		if len(list) == 0 {
			return Error.New("request %s: no failed end in these logs; the caller reached no instance, or the log line was dropped (see log.dropped)", id)
		}
		if err := printExplanations(t, *asJSON, list); err != nil {
			return err
		}
		if list[len(list)-1].Explained() {
			explained++
		}
	}
	if *sampleSize > 0 && !*asJSON {
		fmt.Fprintf(t.out, "%d of %d explained\n", explained, len(ids))
	}
	return nil
}

func printExplanations(t terminal, asJSON bool, list []cause.Explanation) error {
	for _, x := range list {
		if asJSON {
			if err := json.NewEncoder(t.out).Encode(x); err != nil {
				return Error.Wrap(err)
			}
			continue
		}
		d := x.End.Detail
		fmt.Fprintf(t.out, "%s %s request %s: %s, %s after %s ms\n", x.End.Time.Format(timeFormat), x.End.Node, x.End.Request, d["outcome"], d["reason"], d["tookMs"])
		for _, f := range x.Findings {
			fmt.Fprintf(t.out, "  %s: %s\n", f.Code, f.Text)
			for _, e := range f.Evidence {
				fmt.Fprintf(t.out, "    %s\n", formatEvent(e))
			}
		}
	}
	return nil
}

// nodeFromFileName returns the name of the log's process: the file name without its
// extension.
func nodeFromFileName(file string) string {
	base := filepath.Base(file)
	return strings.TrimSuffix(base, filepath.Ext(base))
}
