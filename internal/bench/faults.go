package bench

import (
	"context"
	"sync"
	"time"

	"cranberrypath.example/cranberrypath/internal/faults"
	"cranberrypath.example/cranberrypath/internal/stand"
)

// markList remembers when servers were marked as leaving.
type markList struct {
	mu    sync.Mutex
	marks map[string][]time.Time
}

func (l *markList) add(id string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.marks == nil {
		l.marks = map[string][]time.Time{}
	}
	l.marks[id] = append(l.marks[id], at)
}

// latest returns the last mark of a server before t.
func (l *markList) latest(id string, t time.Time) (time.Time, bool) {
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

// crashCount counts engines that crashed although no fault of the scenario made them.
type crashCount struct {
	mu      sync.Mutex
	planned map[string]bool // engines that a fault has taken away
	found   int
}

func (c *crashCount) plan(id string, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.planned == nil {
		c.planned = map[string]bool{}
	}
	c.planned[id] = on
}

// see records a crashed engine and reports whether it is to be restarted.
func (c *crashCount) see(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.planned[id] {
		return false
	}
	c.found++
	return true
}

func (c *crashCount) total() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.found
}

// supervise restarts servers that crashed by a request, as the platform does.
func (p *player) supervise(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	away := map[string]bool{}
	var mu sync.Mutex
	restart := func(id string, f func() error) {
		mu.Lock()
		defer mu.Unlock()
		away[id] = true
		wg.Go(func() {
			pause(ctx, restartAfter)
			_ = f() // the address is taken only if something else on the machine took it
			mu.Lock()
			defer mu.Unlock()
			delete(away, id)
		})
	}
	isAway := func(id string) bool {
		mu.Lock()
		defer mu.Unlock()
		return away[id]
	}
	for ctx.Err() == nil {
		for _, e := range p.servers() {
			if !isAway(e.ID()) && !e.Alive() && p.crashes.see(e.ID()) {
				restart(e.ID(), e.Restart)
			}
		}
		for _, d := range p.plain() {
			if !isAway(d.ID()) && !d.Alive() && p.crashes.wanted(d.ID()) {
				restart(d.ID(), d.Restart)
			}
		}
		pause(ctx, 50*time.Millisecond)
	}
}

// wanted reports whether a server that is not alive is to be restarted.
func (c *crashCount) wanted(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.planned[id]
}

// apply makes a fault happen and returns when it is over.
func (p *player) apply(ctx context.Context, f fault) {
	switch f.Kind {
	case reclaimEngine:
		e := p.engines[f.Target]
		p.reclaim(ctx, f, e.ID(), e.Reclaim, e.Restart)
	case reclaimDesk:
		d := p.desks[f.Target]
		p.reclaim(ctx, f, d.ID(), d.Reclaim, d.Restart)
	case reclaimWave:
		p.rented.wave(f)
	case crashEngine:
		e := p.engines[f.Target]
		p.crashes.plan(e.ID(), true)
		e.Crash()
		p.comeBack(ctx, f, e.ID(), e.Restart)
	case desksFail:
		p.failDesks(ctx, f)
	case stopNode:
		stop, cancel := context.WithTimeout(context.Background(), f.For)
		defer cancel()
		_ = p.site.StopNode(stop, f.Target, true) // a timeout is expected; the rest is handed over
		p.startNode(ctx, f)
	case crashNode:
		_ = p.site.StopNode(ctx, f.Target, false)
		p.startNode(ctx, f)
	case cutNode:
		p.cut(ctx, f, []string{"*"})
	case cutFromLog:
		var members []string
		for i := range controls {
			members = append(members, p.site.Settings(i).Listen.Peers)
		}
		p.cut(ctx, f, members)
	}
}

func (p *player) reclaim(ctx context.Context, f fault, id string, reclaim func(time.Time), restart func() error) {
	p.crashes.plan(id, true)
	now := time.Now()
	p.marks.add(id, now)
	reclaim(now.Add(f.For))
	pause(ctx, f.For)
	p.comeBack(ctx, f, id, restart)
}

// comeBack restarts a server if the fault says so.
func (p *player) comeBack(ctx context.Context, f fault, id string, restart func() error) {
	if f.Back == 0 {
		return
	}
	pause(ctx, f.Back)
	if ctx.Err() != nil {
		return
	}
	_ = restart() // the address is taken only if something else on the machine took it
	p.crashes.plan(id, false)
}

func (p *player) startNode(ctx context.Context, f fault) {
	if f.Back == 0 {
		return
	}
	pause(ctx, f.Back)
	for ctx.Err() == nil && p.site.StartNode(f.Target) != nil {
		pause(ctx, f.Back) // the port of the stopped node may be in use briefly
	}
}

// failDesks makes orders fail at every step of their execution.
func (p *player) failDesks(ctx context.Context, f fault) {
	set := func(df stand.DeskFaults) {
		for _, d := range p.plain() {
			d.SetFaults(df)
		}
	}
	set(stand.DeskFaults{CrashBefore: 0.02, CrashAfter: 0.02, DropAfter: 0.06, CutAnswer: 0.06})
	pause(ctx, f.For)
	set(stand.DeskFaults{})
}

// cut holds the bytes between a node and others back silently, in both directions.
func (p *player) cut(ctx context.Context, f fault, others []string) {
	self := p.site.Settings(f.Target).Listen.Peers
	set := func(r faults.Rule) {
		for _, o := range others {
			p.site.Links.Set(self, o, r)
			p.site.Links.Set(o, self, r)
		}
	}
	set(faults.Rule{Cut: true})
	pause(ctx, f.For)
	set(faults.Rule{})
}
