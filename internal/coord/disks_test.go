package coord

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/disk"
	"cranberrypath.example/cranberrypath/internal/roster"
	"cranberrypath.example/cranberrypath/internal/world"
)

var (
	fullDiskSeeds = flag.Int("fulldisks.seeds", 2, "number of series of full disks")
	fullDiskFirst = flag.Uint64("fulldisks.first", 1, "seed of the first series")
)

// Guards against a group that refuses changes, or does not answer them, after disks were full
// one after another, never two at once: also while a snapshot or a segment is written, the log
// is reopened, a process restarts or a member is replaced.
func TestDisksFullInTurn(t *testing.T) {
	for i := range *fullDiskSeeds {
		seed := *fullDiskFirst + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			fillDisksInTurn(t, seed)
		})
	}
}

func fillDisksInTurn(t *testing.T, seed uint64) {
	const (
		durable     = 4
		turns       = 8
		configBytes = 200 << 10 // a segment for five, a snapshot for ten
		ackTime     = 4 * time.Second
	)
	rng := rand.New(rand.NewPCG(seed, 0))
	d := deploy(t, durable, 1)
	d.configure(d.instances[0], 1)
	eventually(t, "all instances with a disk vote", func() bool { return len(d.voters()) == durable })
	var (
		mu       sync.Mutex
		acked    = uint64(1) // highest version acknowledged
		version  = uint64(1)
		lastSent time.Time
	)
	// change sends a configuration to an instance, and reports whether it is acknowledged.
	change := func(inst *instance) bool {
		mu.Lock()
		version++
		v := version
		mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		got, err := inst.coord.Configure(ctx, v, append(fmt.Appendf(nil, "config %d ", v), bytes.Repeat([]byte{byte(v)}, configBytes)...))
		if err != nil {
			return false
		}
		mu.Lock()
		defer mu.Unlock()
		acked, lastSent = max(acked, got), time.Now()
		return true
	}
	plain := d.instances[durable] // is never stopped
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		for ctx.Err() == nil {
			change(plain)
			sleep(ctx, 200*time.Millisecond)
		}
	})
	stopChanges := func() {
		cancel()
		wg.Wait()
	}
	defer stopChanges()
	for turn := range turns {
		inst := d.instances[turn%durable]
		inst.fs.SetFreeBytes(rng.IntN(3 * configBytes))
		how := rng.IntN(4)
		time.Sleep(time.Duration(500+rng.IntN(1500)) * time.Millisecond)
		if how == 0 { // the process restarts on a full disk
			d.stop(inst)
			inst.fs.SetFreeBytes(0)
			d.start(inst, false)
			time.Sleep(time.Duration(500+rng.IntN(1500)) * time.Millisecond)
		}
		if how == 1 && turn >= durable { // an empty machine replaces it
			d.stop(inst)
			replacement := &instance{addr: freeAddress(), fs: disk.NewFake(seed*100 + uint64(turn))}
			d.instances[turn%durable] = replacement
			var seeds []string
			for _, other := range d.instances {
				seeds = append(seeds, other.addr)
			}
			d.startWith(replacement, func(cfg *Config) { cfg.Seeds = func() []string { return seeds } })
			t.Cleanup(func() { d.stop(replacement) })
		}
		inst.fs.SetFreeBytes(-1)
		// The next loss is tolerated once this one has had the time to catch up.
		time.Sleep(catchUpTime)
		mu.Lock()
		since := time.Since(lastSent)
		mu.Unlock()
		if since > ackTime {
			t.Fatalf("turn %d (%d): no change was acknowledged for %v while one disk at most was full", turn, how, since)
		}
	}
	stopChanges()
	for _, inst := range d.instances {
		within(t, ackTime, "a configuration at "+inst.addr, func(context.Context) error {
			if !change(inst) {
				return ErrUnavailable
			}
			return nil
		})
		within(t, ackTime, "an order at "+inst.addr, func(ctx context.Context) error {
			return inst.coord.OrderRollout(ctx, orderOf("v"+inst.addr, time.Now()), waits())
		})
		within(t, ackTime, "a departure at "+inst.addr, func(ctx context.Context) error {
			return inst.coord.RecordDeparture(ctx, roster.Server{ID: "e" + inst.addr, Incarnation: 1, Service: "s", Address: "10.0.0.1:1", State: world.Leaving})
		})
	}
	eventually(t, "all instances with a disk vote again", func() bool { return len(d.voters()) == durable })
	want := acked
	for _, inst := range d.instances {
		eventually(t, "the newest configuration is known", func() bool { return inst.local.check(func(l *fakeLocal) bool { return l.version >= want }) })
	}
	if i := slices.IndexFunc(d.instances, func(inst *instance) bool { return inst.coord == nil }); i >= 0 {
		t.Errorf("instance %d does not run", i)
	}
}

// within repeats a change, waiting a second for each answer, until it is acknowledged.
func within(t *testing.T, d time.Duration, what string, change func(ctx context.Context) error) {
	t.Helper()
	for deadline := time.Now().Add(d); ; {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		err := change(ctx)
		cancel()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s is not acknowledged within %v: %v", what, d, err)
		}
	}
}
