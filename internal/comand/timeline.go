package comand

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"

	"cranberrypath.example/cranberrypath/internal/clock"
	"cranberrypath.example/cranberrypath/internal/event"
	"cranberrypath.example/cranberrypath/internal/oprcli"
)

// timeline merges events from the event files or logs of processes, or fetches them
// from the running deployment.
func timeline(ctx context.Context, t terminal, args []string) error {
	fs := newFlagSet(t, "timeline")
	var o clientOptions
	o.addFlags(fs)
	var f event.Filter
	fs.StringVar(&f.Request, "request", "", "only events of this request (ORGANISATION/ID)")
	fs.StringVar(&f.Move, "move", "", "only events of this version move")
	fs.StringVar(&f.Instance, "instance", "", "only events of this instance")
	fs.StringVar(&f.Kind, "kind", "", "only events of this kind")
	from := fs.String("from", "", "only events at or after this time, RFC 3339")
	until := fs.String("until", "", "only events before this time, RFC 3339")
	if err := parseFlags(fs, args, 1<<16); err != nil {
		return err
	}
	var err error
	if f.From, err = parseTime("-from", *from); err != nil {
		return err
	}
	if f.Until, err = parseTime("-until", *until); err != nil {
		return err
	}
	var all []event.Event
	if fs.NArg() > 0 {
		all, err = readEvents(t, fs.Args(), f)
	} else {
		all, err = fetchEvents(ctx, o, f)
	}
	if err != nil {
		return err
	}
	for _, e := range all {
		if err := printEvent(t, o, e); err != nil {
			return err
		}
	}
	return nil
}

func parseTime(flagName, s string) (time.Time, error) {
	if s == "" {
		return time.Time{}, nil
	}
	at, err := time.Parse(time.RFC3339, s)
	if err != nil {
		return time.Time{}, usageError("%s is %q; want RFC 3339", flagName, s)
	}
	return at, nil
}

func readEvents(t terminal, files []string, f event.Filter) ([]event.Event, error) {
	var lists [][]event.Event
	for _, name := range files {
		b, err := readFile(t, name)
		if err != nil {
			return nil, err
		}
		l, err := event.Read(bytes.NewReader(b), nodeFromFileName(name))
		if err != nil {
			return nil, Error.New("%s: %v", name, err)
		}
		lists = append(lists, f.Apply(l))
	}
	return event.Merge(lists...), nil
}

func fetchEvents(ctx context.Context, o clientOptions, f event.Filter) ([]event.Event, error) {
	c, ctx, cancel, err := o.newClient(ctx)
	if err != nil {
		return nil, err
	}
	defer cancel()
	defer c.Close()
	got, err := c.Events(ctx, oprcli.EventFilter{
		Request: f.Request, Move: f.Move, Instance: f.Instance, Kind: f.Kind, From: f.From, Until: f.Until,
	})
	if err != nil {
		return nil, err
	}
	var out []event.Event
	for _, e := range got {
		out = append(out, event.Event{
			Stamp: clock.Stamp(e.Stamp), Time: e.Time, Node: e.Node, Kind: e.Kind,
			Request: e.Request, Move: e.Move, Instance: e.Instance, Detail: e.Detail,
		})
	}
	return out, nil
}

// timeFormat is the format of times in tables and time lines.
const timeFormat = "2006-01-02T15:04:05.000Z"

func printEvent(t terminal, o clientOptions, e event.Event) error {
	if o.json {
		return Error.Wrap(json.NewEncoder(t.out).Encode(e))
	}
	_, err := fmt.Fprintln(t.out, formatEvent(e))
	return Error.Wrap(err)
}

// formatEvent formats an event as one line.
func formatEvent(e event.Event) string {
	var s strings.Builder
	fmt.Fprintf(&s, "%s %-10s %-20s", e.Time.Format(timeFormat), e.Node, e.Kind)
	for _, p := range []struct{ name, value string }{{"request", e.Request}, {"move", e.Move}, {"instance", e.Instance}} {
		if p.value != "" {
			fmt.Fprintf(&s, " %s=%s", p.name, p.value)
		}
	}
	var keys []string
	for k := range e.Detail {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		fmt.Fprintf(&s, " %s=%q", k, e.Detail[k])
	}
	return s.String()
}
