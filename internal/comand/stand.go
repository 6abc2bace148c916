package comand

import (
	"context"
	"fmt"
	"strings"

	"cranberrypath.example/cranberrypath/internal/stand"
)

// runStand runs simulated backend servers to try a deployment. They implement the
// contract with backend servers, but run no model.
func runStand(ctx context.Context, t terminal, args []string) error {
	fs := newFlagSet(t, "stand")
	entries := fs.String("entries", "127.0.0.1:8110", "comma-separated addresses of entry instances for callers")
	engines := fs.Int("engines", 2, "number of model engines")
	desks := fs.Int("desks", 1, "number of order desks")
	model := fs.String("model", "drafts", "service of the model engines")
	orders := fs.String("orders", "orders", "service of the order desks; its path is the name")
	version := fs.String("version", "v1", "version that all servers run")
	centres := fs.String("dataCentres", "dc1,dc2,dc3", "comma-separated data centres; the servers are distributed round-robin")
	speed := fs.Float64("speed", 1, "simulated seconds per second")
	seed := fs.Uint64("seed", 1, "seed for the simulators")
	if err := parseFlags(fs, args, 0); err != nil {
		return err
	}
	if *engines < 0 || *desks < 0 || *engines+*desks > 100 || *speed <= 0 {
		return usageError("stand: want at most 100 servers and a speed above 0")
	}
	dataCentres := strings.Split(*centres, ",")
	spec := func(i int, kind, service string) stand.Spec {
		dc := dataCentres[i%len(dataCentres)]
		return stand.Spec{
			ID: fmt.Sprintf("%s-%d", kind, i+1), Service: service, Versions: []string{*version}, DataCentre: dc, Zone: dc + "-a",
			MachineClass: "small", Slots: 8, Entries: strings.Split(*entries, ","), Seed: *seed + uint64(i),
		}
	}
	for i := range *engines {
		e, err := stand.NewEngine(stand.EngineConfig{Spec: spec(i, "engine", *model), CacheBlocks: 4096, Speed: *speed})
		if err != nil {
			return Error.Wrap(err)
		}
		defer e.Close()
		fmt.Fprintf(t.out, "engine-%d of %s at %s\n", i+1, *model, e.Address())
	}
	for i := range *desks {
		d, err := stand.NewDesk(stand.DeskConfig{Spec: spec(i, "desk", *orders), Path: "/" + *orders})
		if err != nil {
			return Error.Wrap(err)
		}
		defer d.Close()
		fmt.Fprintf(t.out, "desk-%d of %s at %s\n", i+1, *orders, d.Address())
	}
	<-ctx.Done()
	return nil
}
