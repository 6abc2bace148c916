package route

import (
	"errors"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/world"
)

// Guards against requests to servers in an evacuated data centre, whether as the holder of
// their prompt, by affinity, as the last resort or as the next one to open, in groups that are
// scanned and sampled; and against the loss of the caches there.
func TestEvacuatedServersGetNothing(t *testing.T) {
	const evacuated = "1"
	for _, n := range []int{8, 4 * fullScanServers} {
		table := New(Config{Seed: 1})
		all := fleet(n)
		for i := range all {
			all[i].Versions = []string{"1"}
		}
		table.SetBackends(all, start)
		prompt := promptBlocks(1, 64)
		holder := all[1]
		table.Started(holder.ID, table.cost(holder.ID, prompt), start)
		q := Query{Service: "m", Version: "1", Prefix: prompt, PromptTokens: 64 * 256, FetchPerToken: time.Microsecond}
		if got, err := table.Pick(q, start); err != nil || got.Backend.ID != holder.ID {
			t.Fatalf("picked %s, %v; want the holder of the prompt, %s", got.Backend.ID, err, holder.ID)
		}
		set := func(evacuates func(world.Backend) bool) {
			for i := range all {
				all[i].Evacuated = evacuates(all[i])
			}
			table.SetBackends(all, start)
		}
		set(func(b world.Backend) bool { return b.DataCentre == evacuated })
		for i := range 300 {
			at := start.Add(time.Duration(i) * 10 * time.Millisecond)
			got, err := table.Pick(q, at)
			if err != nil || got.Backend.DataCentre == evacuated {
				t.Fatalf("%d servers: picked %s in the evacuated data centre, %v", n, got.Backend.ID, err)
			}
			if got.Source.ID != holder.ID {
				t.Fatalf("%d servers: after %v the prompt is fetched from %q, want %s", n, at.Sub(start), got.Source.ID, holder.ID)
			}
		}
		set(func(world.Backend) bool { return true })
		if got, err := table.Pick(q, start); !errors.Is(err, ErrNoServer) {
			t.Errorf("picked %s, %v, with all data centres evacuated", got.Backend.ID, err)
		}
		if o, ok := table.NextOpening(q, start); ok {
			t.Errorf("a server is said to open at %v", o.At)
		}
		set(func(world.Backend) bool { return false })
		if got, err := table.Pick(q, start); err != nil || got.Backend.ID != holder.ID {
			t.Errorf("picked %s, %v, after the revocation, want %s", got.Backend.ID, err, holder.ID)
		}
	}
}

// Guards against an evacuated server whose cache is read after it has ended.
func TestEvacuatedServersThatLeave(t *testing.T) {
	table := New(Config{Seed: 1})
	all := fleet(2)
	table.SetBackends(all, start)
	prompt := promptBlocks(1, 64)
	table.Started(all[0].ID, table.cost(all[0].ID, prompt), start)
	all[0].Evacuated, all[0].LeaveBy = true, start.Add(3*time.Second)
	table.SetBackends(all, start)
	q := Query{Service: "m", Version: "1", Prefix: prompt, PromptTokens: 64 * 256, FetchPerToken: time.Microsecond}
	for after, want := range map[time.Duration]string{2 * time.Second: all[0].ID, 3 * time.Second: ""} {
		if got, err := table.Pick(q, start.Add(after)); err != nil || got.Backend.ID != all[1].ID || got.Source.ID != want {
			t.Errorf("after %v: picked %s with the cache of %q, %v; want %s with %q", after, got.Backend.ID, got.Source.ID, err, all[1].ID, want)
		}
	}
}

// Guards against requests, or the prompts in them, that reach servers outside of their homes or
// whose region is not known, and against a change where a request has no home.
func TestRegionsOfARequest(t *testing.T) {
	regions := map[string]string{"0": "north", "1": "north", "2": "south"} // that of 3 is not known
	table := New(Config{Seed: 1})
	all := fleet(8)
	for i := range all {
		all[i].Versions, all[i].Region = []string{"1"}, regions[all[i].DataCentre]
	}
	table.SetBackends(all, start)
	prompt := promptBlocks(1, 64)
	table.Started(all[3].ID, table.cost(all[3].ID, prompt), start)
	for _, c := range []struct {
		name    string
		regions []string
		want    map[string]bool // data centres; empty for a refusal
	}{
		{"any", nil, map[string]bool{"0": true, "1": true, "2": true, "3": true}},
		{"one", []string{"south"}, map[string]bool{"2": true}},
		{"two", []string{"south", "north"}, map[string]bool{"0": true, "1": true, "2": true}},
		{"one without servers", []string{"west"}, nil},
		{"none", []string{}, nil},
	} {
		q := Query{Service: "m", Version: "1", Prefix: prompt, PromptTokens: 64 * 256, FetchPerToken: time.Microsecond, Regions: c.regions}
		for range 100 {
			got, err := table.Pick(q, start)
			switch {
			case len(c.want) == 0 && !errors.Is(err, ErrExcluded):
				t.Fatalf("%s: picked %s, %v", c.name, got.Backend.ID, err)
			case len(c.want) > 0 && (err != nil || !c.want[got.Backend.DataCentre]):
				t.Fatalf("%s: picked %s in %s, %v", c.name, got.Backend.ID, got.Backend.DataCentre, err)
			case got.Source.ID != "" && !c.want[got.Source.DataCentre]:
				t.Fatalf("%s: fetches from %s in %s", c.name, got.Source.ID, got.Source.DataCentre)
			}
			if len(c.want) > 0 {
				table.Started(got.Backend.ID, got.Cost, start)
			}
		}
		if _, ok := table.NextOpening(q, start); ok != (len(c.want) > 0) {
			t.Errorf("%s: a server opens %v", c.name, ok)
		}
	}
}
