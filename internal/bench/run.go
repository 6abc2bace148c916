package bench

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"cranberrypath.example/cranberrypath/internal/site"
	"cranberrypath.example/cranberrypath/internal/stand"
	"cranberrypath.example/cranberrypath/internal/world"
)

const (
	startTimeout = 15 * time.Second
	// closeTimeout is the timeout for shutting a deployment down.
	closeTimeout = 15 * time.Second
	// maxStartAttempts is the number of attempts to start a deployment: another program
	// may take a port between its allocation and its use.
	maxStartAttempts = 3
	// gracePeriod is the time for requests in flight to complete after the load has
	// ended. It exceeds the longest review on a full engine.
	gracePeriod = 9 * time.Second
	// costInterval is the interval at which the cost of the running servers is added up.
	costInterval = 100 * time.Millisecond
	// restartDelay is the time that the platform takes to restart a crashed server.
	restartDelay  = time.Second
	loadLag       = 300 * time.Millisecond
	cacheLag      = 300 * time.Millisecond
	orderWork     = 5 * time.Millisecond
	announceEvery = 500 * time.Millisecond
)

// Prices of instances in currency units per hour, by data centre.
var (
	enginePrice = map[string]float64{"dc1": 1.5, "dc2": 1.2, "dc3": 1.8, "dc4": 1.35}
	deskPrice   = map[string]float64{"dc1": 0.2, "dc2": 0.18, "dc3": 0.25, "dc4": 0.2}
)

// onDemandFactor is the price of an on-demand instance relative to a reclaimable one.
const onDemandFactor = 2.5

// errRunOver is the cause of the cancellation of requests at the end of the grace
// period. It distinguishes the end of the run from an interruption.
var errRunOver = errors.New("the run is over")

// policyRun runs the inputs against a deployment with one policy.
type policyRun struct {
	in        inputs
	policy    string
	site      *site.Site
	engines   []*stand.Engine
	desks     []*stand.Desk
	orderBook *stand.Book
	callers   []*caller
	transport *http.Transport
	fleet     *cloudFleet     // nil in scenarios without a cloud
	runCtx    context.Context // cancelled if the user interrupts the run
	began     time.Time
	cost      float64 // currency units, written by trackCost

	outcomes     outcomes
	orderReplies orderReplies
	leavingMarks leavingMarks
	crashes      crashTracker
}

func runPolicy(ctx context.Context, in inputs, policy string) (*Result, error) {
	p := &policyRun{in: in, policy: policy, runCtx: ctx, orderBook: stand.NewBook()}
	var err error
	if !finishesWithin(ctx, startTimeout, func() { err = p.start(ctx) }) {
		return nil, Error.New("the deployment neither started nor stopped in time")
	}
	var r *Result
	if err == nil {
		p.run(ctx)
		r = p.result()
	}
	if !finishesWithin(ctx, 0, p.close) {
		return r, errors.Join(err, Error.New("the deployment did not stop within %v", closeTimeout))
	}
	return r, err
}

// finishesWithin runs f and reports whether it returned in time: closeTimeout after d
// has elapsed or ctx has ended. A deployment that hangs must not block the benchmark,
// because the results of other runs would be lost.
func finishesWithin(ctx context.Context, d time.Duration, f func()) bool {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	timeoutCtx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	select {
	case <-done:
		return true
	case <-timeoutCtx.Done():
	}
	t := time.NewTimer(closeTimeout)
	defer t.Stop()
	select {
	case <-done:
		return true
	case <-t.C:
		return false
	}
}

func (p *policyRun) interrupted() bool { return p.runCtx.Err() != nil }

// start starts the deployment and waits until every node knows every server.
func (p *policyRun) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	switch {
	case len(p.in.scenario.moves) > 0:
		return p.startMoveFleet(ctx)
	case p.in.scenario.hasCloud:
		return p.startFleet(ctx)
	}
	d, err := declaration()
	if err != nil {
		return err
	}
	err = p.startSite(ctx, site.Config{
		DataCentres: dataCentres, EntriesPerDataCentre: entriesPerDataCentre, Declaration: d, Router: newRouterFunc(p.policy), ReplayOnly: p.policy != systemPolicy,
	})
	if err != nil {
		return err
	}
	if err := p.addServers(); err != nil {
		return err
	}
	return Error.Wrap(p.site.WaitForBackends(ctx, engineCount+deskCount))
}

// startSite starts the nodes and creates the callers.
func (p *policyRun) startSite(ctx context.Context, cfg site.Config) error {
	cfg.Seed, cfg.ControlNodes, cfg.LinkDelay = p.in.cfg.Seed, controlNodes, p.in.cfg.LinkDelay
	var err error
	for range maxStartAttempts {
		if p.site, err = site.Start(ctx, cfg); err == nil || ctx.Err() != nil {
			break
		}
	}
	if err != nil {
		return Error.Wrap(err)
	}
	p.transport = newTransport()
	for _, location := range p.in.callers {
		p.callers = append(p.callers, &caller{callerLocation: location, client: &http.Client{Transport: p.transport}, seeds: p.site.CallerAddrs()})
	}
	return nil
}

func newTransport() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: 200, DialContext: (&net.Dialer{Timeout: connectTimeout}).DialContext}
}

func (p *policyRun) addServers() error {
	ledger := stand.NewLedger()
	for i := range engineCount {
		spec := p.serverSpec("engine", i, engineSlots)
		spec.Service, spec.Versions, spec.MachineClass = service, []string{version}, "m"
		spec.Reclaimable, spec.Price = i < engineCount*2/3, enginePrice[spec.DataCentre]
		if !spec.Reclaimable {
			spec.Price *= onDemandFactor
		}
		e, err := p.site.AddEngine(stand.EngineConfig{
			Spec: spec, CacheBlocks: cacheBlocks, Sampling: true, Ledger: ledger, LoadLag: loadLag, CacheLag: cacheLag,
			KVBytesPerToken: 2 << 10,
		})
		if err != nil {
			return Error.Wrap(err)
		}
		if p.in.scenario.mix.poison > 0 {
			e.SetPoison(poisonMarker)
		}
		p.engines = append(p.engines, e)
	}
	for i := range deskCount {
		spec := p.serverSpec("desk", i, deskSlots)
		spec.Service, spec.Versions, spec.MachineClass, spec.Price = "orders", []string{"v1"}, "s", deskPrice[spec.DataCentre]
		d, err := p.site.AddDesk(stand.DeskConfig{Spec: spec, Path: orderPath + "/", Work: orderWork, Book: p.orderBook})
		if err != nil {
			return Error.Wrap(err)
		}
		p.desks = append(p.desks, d)
	}
	return nil
}

func (p *policyRun) serverSpec(kind string, i, slots int) stand.Spec {
	dc := dataCentres[i%len(dataCentres)]
	return stand.Spec{
		ID: fmt.Sprintf("%s-%d", kind, i), DataCentre: dc, Zone: dc + "-a", Slots: slots,
		AnnounceEvery: announceEvery, Seed: p.in.cfg.Seed*1000 + uint64(i),
	}
}

func (p *policyRun) close() {
	if p.site != nil {
		p.site.Close()
	}
	if p.fleet != nil {
		p.fleet.close()
	}
	if p.transport != nil {
		p.transport.CloseIdleConnections()
	}
}

// run sends the requests at their arrival times (an open-loop load) and injects the
// faults. It returns when all requests have ended or the grace period is over.
func (p *policyRun) run(ctx context.Context) {
	p.began = time.Now()
	ctx, cancel := context.WithTimeoutCause(ctx, p.in.load+gracePeriod, errRunOver)
	defer cancel()
	backgroundCtx, stop := context.WithCancel(ctx)
	var background, requests sync.WaitGroup
	background.Go(func() { p.trackCost(backgroundCtx) })
	background.Go(func() { p.restartCrashed(backgroundCtx) })
	if p.fleet != nil {
		background.Go(func() { p.fleet.runMoves(backgroundCtx) })
	}
	for _, f := range p.in.faults {
		background.Go(func() {
			if p.waitUntil(backgroundCtx, f.Start) {
				p.inject(backgroundCtx, f)
			}
		})
	}
	for _, r := range p.in.requests {
		if !p.waitUntil(ctx, r.Arrival) {
			break
		}
		requests.Go(func() {
			if r.Class == world.Call {
				p.outcomes.add(p.runOrder(ctx, r))
				return
			}
			p.outcomes.add(p.runModelRequest(ctx, r))
		})
	}
	p.waitUntil(ctx, p.in.load)
	requests.Wait()
	if p.fleet != nil {
		p.fleet.awaitEnds(ctx)
	}
	stop()
	background.Wait()
}

// waitUntil waits until at after the start of the load. It returns false if ctx has
// ended.
func (p *policyRun) waitUntil(ctx context.Context, at time.Duration) bool {
	sleep(ctx, time.Until(p.began.Add(at)))
	return ctx.Err() == nil
}

// trackCost adds up the cost of the servers that are alive during the load.
func (p *policyRun) trackCost(ctx context.Context) {
	if p.fleet != nil {
		costAtStart := p.fleet.cloud.Cost(p.began)
		p.waitUntil(ctx, p.in.load)
		p.cost = p.fleet.cloud.Cost(time.Now()) - costAtStart
		return
	}
	last := p.began
	for at := costInterval; at <= p.in.load && p.waitUntil(ctx, at); at += costInterval {
		now := time.Now()
		hours := now.Sub(last).Hours()
		last = now
		for i, e := range p.engines {
			if e.Alive() {
				p.cost += hours * p.enginePriceOf(i)
			}
		}
		for i, d := range p.desks {
			if d.Alive() {
				p.cost += hours * deskPrice[dataCentres[i%len(dataCentres)]]
			}
		}
	}
}

func (p *policyRun) enginePriceOf(engine int) float64 {
	price := enginePrice[dataCentres[engine%len(dataCentres)]]
	if engine >= engineCount*2/3 {
		price *= onDemandFactor
	}
	return price
}
