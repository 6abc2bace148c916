package bench

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"cranberrypath.example/cranberrypath/internal/conf"
	"cranberrypath.example/cranberrypath/internal/event"
	"cranberrypath.example/cranberrypath/internal/manage"
	"cranberrypath.example/cranberrypath/internal/oprcli"
	"cranberrypath.example/cranberrypath/internal/site"
	"cranberrypath.example/cranberrypath/internal/stand"
)

// rentedSpeed makes engines half as fast as usual, so that short answers, which
// cost the machine less, take long enough to meet faults under load.
const rentedSpeed = 0.5

const (
	// startDelay is the time from a purchase to the start of its server.
	startDelay = 300 * time.Millisecond
	deskSlots  = 16
)

// tenant is the server of an instance.
type tenant interface {
	Reclaim(leaveBy time.Time)
	Close() error
}

// rented is a simulated cloud whose instances run the engines. The system's own
// fleet controller starts and stops them.
type rented struct {
	p      *player
	cloud  *stand.Cloud
	op     *oprcli.Client
	ledger *stand.Ledger
	open   chan struct{} // closed when the nodes have started

	mu      sync.Mutex
	engines []*stand.Engine // also those that were stopped
	desks   []*stand.Desk   // as engines
	byID    map[string]tenant
	service map[string]string             // by instance id
	bad     map[string]stand.VersionFault // by service: the fault that is set
	ids     map[int]string                // of the moves, by number of the case
}

// runAtOnce runs all policies of a scenario of version moves at the same time.
func runAtOnce(ctx context.Context, in inputs) ([]*Result, error) {
	results := make([]*Result, len(in.cfg.Policies))
	var g errgroup.Group
	for i, p := range in.cfg.Policies {
		g.Go(func() (err error) {
			results[i], err = runPolicy(ctx, in, p)
			return err
		})
	}
	err := g.Wait()
	if ctx.Err() != nil {
		err = nil // interrupted before the load began
	}
	return slices.DeleteFunc(results, func(r *Result) bool { return r == nil }), err
}

// servers returns the engines, for a rented fleet also those that were stopped.
func (p *player) servers() []*stand.Engine {
	if p.rented == nil {
		return p.engines
	}
	p.rented.mu.Lock()
	defer p.rented.mu.Unlock()
	return slices.Clone(p.rented.engines)
}

// plain returns the order desks, for a rented fleet also those that were stopped.
func (p *player) plain() []*stand.Desk {
	if p.rented == nil {
		return p.desks
	}
	p.rented.mu.Lock()
	defer p.rented.mu.Unlock()
	return slices.Clone(p.rented.desks)
}

// onTrial returns the requests that a version on trial has run.
func (p *player) onTrial() map[string]bool {
	out := map[string]bool{}
	for _, e := range p.servers() {
		for _, run := range e.Runs() {
			if run.Version == nextVersion {
				out[run.RequestID] = true
			}
		}
	}
	return out
}

// rentForMoves starts a deployment of services that are moved.
func (p *player) rentForMoves(ctx context.Context) error {
	d, err := moveDeclaration(p.in.scene.moves)
	if err != nil {
		return err
	}
	// The fleet of each service bears the loss of a data centre.
	return p.rent(ctx, site.Config{EntriesPerDataCentre: 1, Declaration: d, Planner: planner(p.policy)}, 3*len(p.in.scene.moves))
}

// rentAll starts a deployment of the usual size. One data centre's part of its
// servers is the headroom for the loss of a data centre.
func (p *player) rentAll(ctx context.Context) error {
	d, err := parseDeclaration(usualServices(), []string{
		fmt.Sprintf(`{"service": %q, "min": %d, "max": %d}`, service, engineCount*3/4, 2*engineCount),
		fmt.Sprintf(`{"service": "orders", "min": %d, "max": %d}`, deskCount*3/4, 2*deskCount),
	}, "")
	if err != nil {
		return err
	}
	return p.rent(ctx, site.Config{
		EntriesPerDataCentre: entriesPer, Declaration: d, Router: routerOf(p.policy), ReplayOnly: p.policy != ours,
	}, engineCount+deskCount)
}

// rent starts a deployment with a cloud and waits for its first fleet.
func (p *player) rent(ctx context.Context, cfg site.Config, servers int) error {
	rt := &rented{
		p: p, ledger: stand.NewLedger(), open: make(chan struct{}), byID: map[string]tenant{}, service: map[string]string{},
		bad: map[string]stand.VersionFault{}, ids: map[int]string{},
	}
	var offers []stand.Offer
	for _, dc := range dataCentres {
		for class, price := range map[string]float64{"m": enginePrice[dc], "s": deskPrice[dc]} {
			offers = append(offers, stand.Offer{
				DataCentre: dc, Zone: dc + "-a", MachineClass: class, Reclaimable: 100, OnDemand: 100, ReclaimablePrice: price, OnDemandPrice: price * onDemandFactor,
			})
		}
	}
	var err error
	rt.cloud, err = stand.NewCloud(stand.CloudConfig{
		Offers: offers, Seed: p.in.cfg.Seed, PriceEvery: time.Hour, StartDelay: startDelay, Start: rt.start, Stop: rt.stop, Notice: rt.notice,
	})
	if err != nil {
		return Error.Wrap(err)
	}
	p.rented = rt
	cfg.DataCentres, cfg.Platform = dataCentres, conf.Platform{Cloud: rt.cloud.URL()}
	cfg.Manage = manage.Timing{List: time.Second, Prices: 2 * time.Second}
	if err := p.startSite(ctx, cfg); err != nil {
		return err
	}
	rt.op = p.site.OperatorClient()
	close(rt.open)
	return Error.Wrap(p.site.WaitForBackends(ctx, servers))
}

func (rt *rented) close() {
	_ = rt.cloud.Close()
	if rt.op != nil {
		rt.op.Close()
	}
}

// start runs the engine of an instance that the cloud has started.
func (rt *rented) start(i stand.Instance) error {
	select {
	case <-rt.open:
	case <-time.After(startTimeout):
		return Error.New("the nodes have not started")
	}
	spec := stand.Spec{
		ID: i.ID, Service: i.Service, Versions: []string{i.Version}, DataCentre: i.DataCentre, Zone: i.Zone, MachineClass: i.MachineClass,
		Reclaimable: i.Reclaimable, Price: i.Price, Slots: engineSlots, AnnounceEvery: announceEvery, Seed: rt.p.in.cfg.Seed,
	}
	if i.Service == "orders" {
		spec.Slots = deskSlots
		d, err := rt.p.site.AddDesk(stand.DeskConfig{Spec: spec, Path: orderPath + "/", Work: orderWork, Book: rt.p.book})
		if err != nil {
			return Error.Wrap(err)
		}
		rt.mu.Lock()
		defer rt.mu.Unlock()
		rt.desks = append(rt.desks, d)
		rt.byID[i.ID] = d
		return nil
	}
	speed := 1.0
	if len(rt.p.in.scene.moves) > 0 {
		speed = rentedSpeed
	}
	e, err := rt.p.site.AddEngine(stand.EngineConfig{
		Spec: spec, CacheBlocks: cacheBlocks, Speed: speed, Sampling: true, Ledger: rt.ledger, LoadLag: loadLag, CacheLag: cacheLag, KVBytesPerToken: 2 << 10,
	})
	if err != nil {
		return Error.Wrap(err)
	}
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.engines = append(rt.engines, e)
	rt.byID[i.ID], rt.service[i.ID] = e, i.Service
	if f, ok := rt.bad[i.Service]; ok {
		e.SetVersionFaults(f)
	}
	return nil
}

func (rt *rented) tenant(id string) tenant {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.byID[id]
}

func (rt *rented) stop(i stand.Instance, _ bool) {
	rt.p.crashes.plan(i.ID, true)
	if t := rt.tenant(i.ID); t != nil {
		_ = t.Close()
	}
}

func (rt *rented) notice(i stand.Instance) {
	rt.p.crashes.plan(i.ID, true)
	rt.p.marks.add(i.ID, time.Now())
	if t := rt.tenant(i.ID); t != nil {
		t.Reclaim(*i.LeaveBy)
	}
}

// wave reclaims servers in all data centres while only one of them starts new ones.
func (rt *rented) wave(f fault) {
	for n, dc := range dataCentres {
		rt.cloud.Refuse(dc, "", n != f.Target)
	}
	for _, dc := range dataCentres {
		rt.cloud.Reclaim(dc, "", 0.6, f.For)
	}
}

// readFleet counts what the fleet controller asked the cloud for.
func (rt *rented) readFleet(r *Result) {
	for _, i := range rt.cloud.Instances() {
		if i.Started.After(rt.p.began) {
			r.Bought++
		}
	}
	r.Refused = len(rt.p.site.Timeline(event.Filter{Kind: "fleet.refused", From: rt.p.began}))
}

func (rt *rented) serves(instance, service string) bool {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.service[instance] == service
}

// play starts the moves and makes their versions bad at the time of their faults.
func (rt *rented) play(ctx context.Context) {
	if len(rt.p.in.scene.moves) == 0 {
		return
	}
	for _, c := range rt.p.in.scene.moves {
		if c.fault != nil && !c.late {
			rt.spoil(c)
		}
	}
	if !rt.p.until(ctx, moveStart) {
		return
	}
	deadline := rt.p.began.Add(part(rt.p.in.load, movePart))
	for i, c := range rt.p.in.scene.moves {
		res, err := rt.op.StartMove(ctx, fmt.Sprintf("bench-move-%d", i), c.name, nextVersion, deadline)
		if err != nil || res.Move == nil {
			continue // the move is reported as not ended
		}
		rt.mu.Lock()
		rt.ids[i] = res.Move.ID
		rt.mu.Unlock()
	}
	if !rt.p.until(ctx, part(rt.p.in.load, latePart)) {
		return
	}
	for _, c := range rt.p.in.scene.moves {
		if c.late {
			rt.spoil(c)
		}
	}
}

// awaitEnds waits until each move has ended, to tell a late end from none. The
// end of the grace ends ctx.
func (rt *rented) awaitEnds(ctx context.Context) {
	for i := range rt.p.in.scene.moves {
		for ctx.Err() == nil && rt.started(i) && rt.move(i).Outcome == "" {
			pause(ctx, 200*time.Millisecond)
		}
	}
}

// started reports whether the system has accepted the move of a case.
func (rt *rented) started(i int) bool {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.ids[i] != ""
}

// spoil sets a fault on all engines of its service, present and future ones.
func (rt *rented) spoil(c moveCase) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.bad[c.name] = *c.fault
	for _, e := range rt.engines {
		if rt.service[e.ID()] == c.name {
			e.SetVersionFaults(*c.fault)
		}
	}
}

// move returns the state of the move of a case, without id if there is none.
func (rt *rented) move(i int) oprcli.Move {
	rt.mu.Lock()
	id := rt.ids[i]
	rt.mu.Unlock()
	if id == "" {
		return oprcli.Move{}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	m, err := rt.op.Move(ctx, id)
	if err != nil {
		return oprcli.Move{}
	}
	return m
}
