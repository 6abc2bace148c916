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

// moveEngineSpeed is the speed of engines in scenarios of version moves, relative to the
// default. At half speed, even short answers, which use less of the machine, run long
// enough to overlap with faults under load.
const moveEngineSpeed = 0.5

const (
	// startDelay is the time from the purchase of an instance to the start of its server.
	startDelay = 300 * time.Millisecond
	deskSlots  = 16
)

// fleetServer is the server that runs on an instance.
type fleetServer interface {
	Reclaim(leaveBy time.Time)
	Close() error
}

// cloudFleet runs servers on the instances of a simulated cloud. The system's fleet
// controller starts and stops the instances.
type cloudFleet struct {
	run          *policyRun
	cloud        *stand.Cloud
	operator     *oprcli.Client
	ledger       *stand.Ledger
	nodesStarted chan struct{} // closed when the nodes have started

	mu            sync.Mutex
	engines       []*stand.Engine // including stopped ones
	desks         []*stand.Desk   // including stopped ones
	servers       map[string]fleetServer
	services      map[string]string             // by instance id
	versionFaults map[string]stand.VersionFault // fault of the new version, by service
	moveIDs       map[int]string                // by index of the moveCase
}

// runConcurrently runs a scenario of version moves with all policies concurrently.
func runConcurrently(ctx context.Context, in inputs) ([]*Result, error) {
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

// allEngines returns the engines, including the stopped ones of a cloud fleet.
func (p *policyRun) allEngines() []*stand.Engine {
	if p.fleet == nil {
		return p.engines
	}
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return slices.Clone(p.fleet.engines)
}

// allDesks returns the order desks, including the stopped ones of a cloud fleet.
func (p *policyRun) allDesks() []*stand.Desk {
	if p.fleet == nil {
		return p.desks
	}
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return slices.Clone(p.fleet.desks)
}

// runOnNewVersion returns the ids of the requests that the new version of a move has run.
func (p *policyRun) runOnNewVersion() map[string]bool {
	out := map[string]bool{}
	for _, e := range p.allEngines() {
		for _, run := range e.Runs() {
			if run.Version == nextVersion {
				out[run.RequestID] = true
			}
		}
	}
	return out
}

// startMoveFleet starts a deployment for a scenario of version moves.
func (p *policyRun) startMoveFleet(ctx context.Context) error {
	d, err := moveDeclaration(p.in.scenario.moves)
	if err != nil {
		return err
	}
	// Three servers: the fleet of each service can lose a data centre.
	return p.startWithCloud(ctx, site.Config{EntriesPerDataCentre: 1, Declaration: d, Planner: newPlannerFunc(p.policy)}, 3*len(p.in.scenario.moves))
}

// startFleet starts a deployment of the default size in a cloud. The servers of one data
// centre are the headroom for the loss of a data centre.
func (p *policyRun) startFleet(ctx context.Context) error {
	d, err := parseDeclaration(defaultServices(), []string{
		fmt.Sprintf(`{"service": %q, "min": %d, "max": %d}`, service, engineCount*3/4, 2*engineCount),
		fmt.Sprintf(`{"service": "orders", "min": %d, "max": %d}`, deskCount*3/4, 2*deskCount),
	}, "")
	if err != nil {
		return err
	}
	return p.startWithCloud(ctx, site.Config{
		EntriesPerDataCentre: entriesPerDataCentre, Declaration: d, Router: newRouterFunc(p.policy), ReplayOnly: p.policy != systemPolicy,
	}, engineCount+deskCount)
}

// startWithCloud starts a deployment with a simulated cloud and waits until the given
// number of servers is ready.
func (p *policyRun) startWithCloud(ctx context.Context, cfg site.Config, servers int) error {
	cf := &cloudFleet{
		run: p, ledger: stand.NewLedger(), nodesStarted: make(chan struct{}), servers: map[string]fleetServer{}, services: map[string]string{},
		versionFaults: map[string]stand.VersionFault{}, moveIDs: map[int]string{},
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
	cf.cloud, err = stand.NewCloud(stand.CloudConfig{
		Offers: offers, Seed: p.in.cfg.Seed, PriceEvery: time.Hour, StartDelay: startDelay, Start: cf.start, Stop: cf.stop, Notice: cf.notice,
	})
	if err != nil {
		return Error.Wrap(err)
	}
	p.fleet = cf
	cfg.DataCentres, cfg.Platform = dataCentres, conf.Platform{Cloud: cf.cloud.URL()}
	cfg.Manage = manage.Timing{List: time.Second, Prices: 2 * time.Second}
	if err := p.startSite(ctx, cfg); err != nil {
		return err
	}
	cf.operator = p.site.OperatorClient()
	close(cf.nodesStarted)
	return Error.Wrap(p.site.WaitForBackends(ctx, servers))
}

func (cf *cloudFleet) close() {
	_ = cf.cloud.Close()
	if cf.operator != nil {
		cf.operator.Close()
	}
}

// start starts the server of an instance that the cloud has started.
func (cf *cloudFleet) start(i stand.Instance) error {
	select {
	case <-cf.nodesStarted:
	case <-time.After(startTimeout):
		return Error.New("the nodes have not started")
	}
	spec := stand.Spec{
		ID: i.ID, Service: i.Service, Versions: []string{i.Version}, DataCentre: i.DataCentre, Zone: i.Zone, MachineClass: i.MachineClass,
		Reclaimable: i.Reclaimable, Price: i.Price, Slots: engineSlots, AnnounceEvery: announceEvery, Seed: cf.run.in.cfg.Seed,
	}
	if i.Service == "orders" {
		spec.Slots = deskSlots
		d, err := cf.run.site.AddDesk(stand.DeskConfig{Spec: spec, Path: orderPath + "/", Work: orderWork, Book: cf.run.orderBook})
		if err != nil {
			return Error.Wrap(err)
		}
		cf.mu.Lock()
		defer cf.mu.Unlock()
		cf.desks = append(cf.desks, d)
		cf.servers[i.ID] = d
		return nil
	}
	speed := 1.0
	if len(cf.run.in.scenario.moves) > 0 {
		speed = moveEngineSpeed
	}
	e, err := cf.run.site.AddEngine(stand.EngineConfig{
		Spec: spec, CacheBlocks: cacheBlocks, Speed: speed, Sampling: true, Ledger: cf.ledger, LoadLag: loadLag, CacheLag: cacheLag, KVBytesPerToken: 2 << 10,
	})
	if err != nil {
		return Error.Wrap(err)
	}
	cf.mu.Lock()
	defer cf.mu.Unlock()
	cf.engines = append(cf.engines, e)
	cf.servers[i.ID], cf.services[i.ID] = e, i.Service
	if f, ok := cf.versionFaults[i.Service]; ok {
		e.SetVersionFaults(f)
	}
	return nil
}

func (cf *cloudFleet) server(id string) fleetServer {
	cf.mu.Lock()
	defer cf.mu.Unlock()
	return cf.servers[id]
}

func (cf *cloudFleet) stop(i stand.Instance, _ bool) {
	cf.run.crashes.setExpected(i.ID, true)
	if s := cf.server(i.ID); s != nil {
		_ = s.Close()
	}
}

func (cf *cloudFleet) notice(i stand.Instance) {
	cf.run.crashes.setExpected(i.ID, true)
	cf.run.leavingMarks.add(i.ID, time.Now())
	if s := cf.server(i.ID); s != nil {
		s.Reclaim(*i.LeaveBy)
	}
}

// reclaimWave reclaims servers in all data centres, while only the data centre Target
// starts new ones.
func (cf *cloudFleet) reclaimWave(f fault) {
	for n, dc := range dataCentres {
		cf.cloud.Refuse(dc, "", n != f.Target)
	}
	for _, dc := range dataCentres {
		cf.cloud.Reclaim(dc, "", 0.6, f.Duration)
	}
}

// readFleet counts the instances that the cloud started for the fleet controller, and
// the starts that it refused.
func (cf *cloudFleet) readFleet(r *Result) {
	for _, i := range cf.cloud.Instances() {
		if i.Started.After(cf.run.began) {
			r.InstancesBought++
		}
	}
	r.StartsRefused = len(cf.run.site.Timeline(event.Filter{Kind: "fleet.refused", From: cf.run.began}))
}

func (cf *cloudFleet) serves(instance, service string) bool {
	cf.mu.Lock()
	defer cf.mu.Unlock()
	return cf.services[instance] == service
}

// runMoves starts the moves and sets the faults of their versions.
func (cf *cloudFleet) runMoves(ctx context.Context) {
	if len(cf.run.in.scenario.moves) == 0 {
		return
	}
	for _, c := range cf.run.in.scenario.moves {
		if c.fault != nil && !c.lateFault {
			cf.setFault(c)
		}
	}
	if !cf.run.waitUntil(ctx, moveStart) {
		return
	}
	deadline := cf.run.began.Add(fractionOf(cf.run.in.load, deadlineFraction))
	for i, c := range cf.run.in.scenario.moves {
		res, err := cf.operator.StartMove(ctx, fmt.Sprintf("bench-move-%d", i), c.name, nextVersion, deadline)
		if err != nil || res.Move == nil {
			continue // the result reports the move as not ended
		}
		cf.mu.Lock()
		cf.moveIDs[i] = res.Move.ID
		cf.mu.Unlock()
	}
	if !cf.run.waitUntil(ctx, fractionOf(cf.run.in.load, lateFaultFraction)) {
		return
	}
	for _, c := range cf.run.in.scenario.moves {
		if c.lateFault {
			cf.setFault(c)
		}
	}
}

// awaitEnds waits until each move has ended, to distinguish a late end from none. ctx
// ends with the grace period.
func (cf *cloudFleet) awaitEnds(ctx context.Context) {
	for i := range cf.run.in.scenario.moves {
		for ctx.Err() == nil && cf.moveStarted(i) && cf.move(i).Outcome == "" {
			sleep(ctx, 200*time.Millisecond)
		}
	}
}

// moveStarted reports whether the system has accepted the move with index i.
func (cf *cloudFleet) moveStarted(i int) bool {
	cf.mu.Lock()
	defer cf.mu.Unlock()
	return cf.moveIDs[i] != ""
}

// setFault sets the fault of a move on all present and future engines of the service.
func (cf *cloudFleet) setFault(c moveCase) {
	cf.mu.Lock()
	defer cf.mu.Unlock()
	cf.versionFaults[c.name] = *c.fault
	for _, e := range cf.engines {
		if cf.services[e.ID()] == c.name {
			e.SetVersionFaults(*c.fault)
		}
	}
}

// move returns the state of the move with index i. The id is empty if there is none.
func (cf *cloudFleet) move(i int) oprcli.Move {
	cf.mu.Lock()
	id := cf.moveIDs[i]
	cf.mu.Unlock()
	if id == "" {
		return oprcli.Move{}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	m, err := cf.operator.Move(ctx, id)
	if err != nil {
		return oprcli.Move{}
	}
	return m
}
