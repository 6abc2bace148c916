package bench

import (
	"context"
	"sync"
	"time"

	"cranberrypath.example/cranberrypath/internal/faults"
	"cranberrypath.example/cranberrypath/internal/stand"
)

// leavingMarks records when servers were marked as leaving.
type leavingMarks struct {
	mu    sync.Mutex
	marks map[string][]time.Time
}

func (l *leavingMarks) add(id string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.marks == nil {
		l.marks = map[string][]time.Time{}
	}
	l.marks[id] = append(l.marks[id], at)
}

// latest returns the latest mark of a server at or before t.
func (l *leavingMarks) latest(id string, t time.Time) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out time.Time
	for _, m := range l.marks[id] {
		if !m.After(t) && m.After(out) {
			out = m
		}
	}
	return out, !out.IsZero()
}

// crashTracker counts the crashes of engines that no fault of the scenario caused.
type crashTracker struct {
	mu         sync.Mutex
	expected   map[string]bool // servers that a fault or the cloud has stopped
	unexpected int
}

func (c *crashTracker) setExpected(id string, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expected == nil {
		c.expected = map[string]bool{}
	}
	c.expected[id] = on
}

// recordCrash counts the crash of an engine, unless it is expected, and reports whether
// to restart the engine.
func (c *crashTracker) recordCrash(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expected[id] {
		return false
	}
	c.unexpected++
	return true
}

func (c *crashTracker) total() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unexpected
}

// restartCrashed restarts servers that were crashed by a request, as the platform does.
func (p *policyRun) restartCrashed(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	restarting := map[string]bool{}
	var mu sync.Mutex
	restart := func(id string, f func() error) {
		mu.Lock()
		defer mu.Unlock()
		restarting[id] = true
		wg.Go(func() {
			sleep(ctx, restartDelay)
			_ = f() // fails only if another program on the machine has taken the address
			mu.Lock()
			defer mu.Unlock()
			delete(restarting, id)
		})
	}
	isRestarting := func(id string) bool {
		mu.Lock()
		defer mu.Unlock()
		return restarting[id]
	}
	for ctx.Err() == nil {
		for _, e := range p.allEngines() {
			if !isRestarting(e.ID()) && !e.Alive() && p.crashes.recordCrash(e.ID()) {
				restart(e.ID(), e.Restart)
			}
		}
		for _, d := range p.allDesks() {
			if !isRestarting(d.ID()) && !d.Alive() && p.crashes.needsRestart(d.ID()) {
				restart(d.ID(), d.Restart)
			}
		}
		sleep(ctx, 50*time.Millisecond)
	}
}

// needsRestart reports whether to restart a server that is not alive.
func (c *crashTracker) needsRestart(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.expected[id]
}

// inject injects a fault and returns when the fault is over.
func (p *policyRun) inject(ctx context.Context, f fault) {
	switch f.Kind {
	case reclaimEngine:
		e := p.engines[f.Target]
		p.reclaim(ctx, f, e.ID(), e.Reclaim, e.Restart)
	case reclaimDesk:
		d := p.desks[f.Target]
		p.reclaim(ctx, f, d.ID(), d.Reclaim, d.Restart)
	case reclaimWave:
		p.fleet.reclaimWave(f)
	case crashEngine:
		e := p.engines[f.Target]
		p.crashes.setExpected(e.ID(), true)
		e.Crash()
		p.restartLater(ctx, f, e.ID(), e.Restart)
	case desksFail:
		p.failDesks(ctx, f)
	case stopNode:
		drainCtx, cancel := context.WithTimeout(context.Background(), f.Duration)
		defer cancel()
		_ = p.site.StopNode(drainCtx, f.Target, true) // a timeout is expected; streams that still run are handed over
		p.restartNode(ctx, f)
	case crashNode:
		_ = p.site.StopNode(ctx, f.Target, false)
		p.restartNode(ctx, f)
	case cutNode:
		p.partition(ctx, f, []string{"*"})
	case cutFromLog:
		var members []string
		for i := range controlNodes {
			members = append(members, p.site.Settings(i).Listen.Peers)
		}
		p.partition(ctx, f, members)
	}
}

func (p *policyRun) reclaim(ctx context.Context, f fault, id string, reclaim func(time.Time), restart func() error) {
	p.crashes.setExpected(id, true)
	now := time.Now()
	p.leavingMarks.add(id, now)
	reclaim(now.Add(f.Duration))
	sleep(ctx, f.Duration)
	p.restartLater(ctx, f, id, restart)
}

// restartLater restarts a server after the fault's RestartDelay, if one is set.
func (p *policyRun) restartLater(ctx context.Context, f fault, id string, restart func() error) {
	if f.RestartDelay == 0 {
		return
	}
	sleep(ctx, f.RestartDelay)
	if ctx.Err() != nil {
		return
	}
	_ = restart() // fails only if another program on the machine has taken the address
	p.crashes.setExpected(id, false)
}

func (p *policyRun) restartNode(ctx context.Context, f fault) {
	if f.RestartDelay == 0 {
		return
	}
	sleep(ctx, f.RestartDelay)
	for ctx.Err() == nil && p.site.StartNode(f.Target) != nil {
		sleep(ctx, f.RestartDelay) // the port of the stopped node may still be in use
	}
}

// failDesks makes desks crash or drop connections at each step of an order.
func (p *policyRun) failDesks(ctx context.Context, f fault) {
	set := func(df stand.DeskFaults) {
		for _, d := range p.allDesks() {
			d.SetFaults(df)
		}
	}
	set(stand.DeskFaults{CrashBefore: 0.02, CrashAfter: 0.02, DropAfter: 0.06, CutAnswer: 0.06})
	sleep(ctx, f.Duration)
	set(stand.DeskFaults{})
}

// partition silently holds back all bytes between a node and others, in both directions.
func (p *policyRun) partition(ctx context.Context, f fault, others []string) {
	self := p.site.Settings(f.Target).Listen.Peers
	set := func(r faults.Rule) {
		for _, o := range others {
			p.site.Links.Set(self, o, r)
			p.site.Links.Set(o, self, r)
		}
	}
	set(faults.Rule{Cut: true})
	sleep(ctx, f.Duration)
	set(faults.Rule{})
}
