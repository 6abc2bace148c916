package duty

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"github.com/apex/log"

	"cranberrypath.example/cranberrypath/internal/coord"
	"cranberrypath.example/cranberrypath/internal/fleet"
	"cranberrypath.example/cranberrypath/internal/roster"
	"cranberrypath.example/cranberrypath/internal/routes"
	"cranberrypath.example/cranberrypath/internal/world"
)

// ErrNoCapacity means that the platform has no capacity for engines of the ordered
// kind in the data centre now.
var ErrNoCapacity = Error.New("no engines of the ordered kind are available")

// Order sets the number of engines of one kind in a data centre.
type Order struct {
	Service     string
	DataCentre  string
	Reclaimable bool
	Count       int
}

// poolKey identifies a pool: the engines of one service in one data centre.
type poolKey struct{ service, dataCentre string }

// poolState is the state of this leader's orders for one pool.
type poolState struct {
	ordered              fleet.Counts
	orderedAt            time.Time // of the last order
	reclaimableOrderedAt time.Time // of the last order for reclaimable engines
	maxReadyReclaimable  int       // maximum number of ready reclaimable engines since reclaimableOrderedAt
	refusedAt            time.Time // when an order for reclaimable engines was last refused
	exhausted            bool      // no such order has been accepted since
}

// scaler holds the state from which the engine orders are derived.
type scaler struct {
	pools        map[poolKey]*poolState
	loadPeaks    map[string]*[peakWindowSeconds]serviceLoad // peak load in each of the last seconds, by service
	missingPeaks map[string]missingPeak
	initial      map[string]initialState
	lastSecond   int64 // Unix time of the last update
	released     map[releaseKey]releaseState
	work         map[string]workAverage // by service, of those whose servers state their pace
}

// releaseKey identifies one of the numbers of engines that fall only gradually.
type releaseKey struct {
	service string
	kind    releaseKind
}

type releaseKind uint8

const (
	releasePeak releaseKind = iota
	releaseRecent
	releaseOnDemand
)

type releaseState struct {
	engines float64
	at      time.Time
}

func newScaler() scaler {
	return scaler{
		pools: map[poolKey]*poolState{}, loadPeaks: map[string]*[peakWindowSeconds]serviceLoad{}, missingPeaks: map[string]missingPeak{}, initial: map[string]initialState{},
		released: map[releaseKey]releaseState{}, work: map[string]workAverage{},
	}
}

const (
	// requestsPerEngine is how many requests one model engine runs without much added
	// prefill latency: each decode step and prefill delays the others in the batch. It
	// sizes the reclaimable engines, which are cheap and also replace each other.
	requestsPerEngine = 5
	// waitingPerEngine is how many requests in prefill, and decodingSlotShare in how many of
	// its slots requests in decode, one engine runs within the latency targets. Prefills run
	// one after the other, while decodes share each step, so the number of engines that a
	// load needs depends on its mix. They size the on-demand engines.
	waitingPerEngine  = 2.5
	decodingSlotShare = 0.25
	// peakWindowSeconds is the length of the window whose load peak determines the fleet
	// size. Engines take several seconds to start and lose their caches when they stop.
	peakWindowSeconds = 20
	// recentWindowSeconds is the window length for on-demand engines, which cost several
	// times as much as reclaimable engines. A peak of requests queued while engines are
	// missing is over before further engines have started.
	recentWindowSeconds = 5
	// warmupSeconds is how long a new leader observes the load before it gives up engines.
	warmupSeconds = 8
	// missingHoldSeconds is how long on-demand engines are kept after engines were last
	// missing: the start time of an engine.
	missingHoldSeconds = 5
	// releaseShare is the share of a fleet that may be given up in a second. The caches of
	// engines that are given up must be rebuilt elsewhere: when most of a fleet is given up
	// at once, the remaining engines prefill instead of serving, and the fleet grows again.
	// On-demand engines are few of a fleet and cost several times as much, so they go sooner.
	releaseShare         = 0.05
	onDemandReleaseShare = 0.2
	// minEngines is the number of engines of an idle service, so that some remain after a
	// crash.
	minEngines = 3
)

// serviceLoad is the load of a service.
type serviceLoad struct {
	requests int     // requests to plan for
	engines  float64 // engines that they keep busy, by the mix of prefill and decode
}

func (l serviceLoad) add(other serviceLoad) serviceLoad {
	return serviceLoad{l.requests + other.requests, l.engines + other.engines}
}

func (l serviceLoad) max(other serviceLoad) serviceLoad {
	return serviceLoad{max(l.requests, other.requests), max(l.engines, other.engines)}
}

// requiredEngines returns how many engines a service needs: by number of requests for the
// peak of the last peakWindowSeconds, and by the work in them for that of the last
// recentWindowSeconds. Until a new leader has observed load for warmupSeconds, both are at
// least baseline, the engines for the load that the existing fleet is sized for: the leader
// may have started before the traffic, or taken over from another leader.
func (s *scaler) requiredEngines(service string, load serviceLoad, baseline int, now time.Time) (peak, recent int) {
	peaks := s.loadPeaks[service]
	if peaks == nil {
		peaks = &[peakWindowSeconds]serviceLoad{}
		s.loadPeaks[service] = peaks
	}
	for second := max(s.lastSecond, now.Unix()-peakWindowSeconds); second < now.Unix(); second++ {
		peaks[(second+1)%peakWindowSeconds] = serviceLoad{}
	}
	slot := now.Unix() % peakWindowSeconds
	peaks[slot] = peaks[slot].max(load)
	var whole, last serviceLoad
	for second := now.Unix() - peakWindowSeconds + 1; second <= now.Unix(); second++ {
		whole = whole.max(peaks[second%peakWindowSeconds])
		if second > now.Unix()-recentWindowSeconds {
			last = last.max(peaks[second%peakWindowSeconds])
		}
	}
	peak = max((whole.requests+requestsPerEngine-1)/requestsPerEngine, minEngines)
	recent = max(min(int(math.Ceil(last.engines)), peak), minEngines)
	initial := s.initial[service]
	if initial.loadedAt.IsZero() {
		initial.engines = max(initial.engines, baseline)
		if load.requests > 0 {
			initial.loadedAt = now
		}
		s.initial[service] = initial
	}
	if initial.loadedAt.IsZero() || now.Sub(initial.loadedAt) < warmupSeconds*time.Second {
		return max(peak, initial.engines), max(recent, initial.engines)
	}
	return peak, recent
}

// release returns the number of engines to keep when wanted are needed: a lower number
// than before is approached by the share of the kind a second.
func (s *scaler) release(key releaseKey, wanted int, now time.Time) int {
	share := releaseShare
	if key.kind != releasePeak {
		share = onDemandReleaseShare
	}
	before, ok := s.released[key]
	keep := float64(wanted)
	if ok {
		keep = max(keep, before.engines*math.Pow(1-share, now.Sub(before.at).Seconds()))
	}
	s.released[key] = releaseState{keep, now}
	return int(math.Ceil(keep - releaseRounding))
}

// releaseRounding keeps a number from staying one too high for long.
const releaseRounding = 0.5

// demand returns the load to plan for on a backend server with a number of slots. Waiting requests count for at
// most twice the started requests plus requestsPerEngine: any number may queue behind a
// lost or slow server, and most of their callers have disconnected before new engines start.
func demand(l coord.Load, slots int) serviceLoad {
	decodingPerEngine := decodingSlotShare * float64(slots)
	if slots == 0 {
		decodingPerEngine = requestsPerEngine // not announced
	}
	started := l.Running - l.Waiting
	waiting := min(l.Waiting, 2*started+requestsPerEngine)
	return serviceLoad{
		requests: started + waiting,
		engines:  float64(started)/decodingPerEngine + float64(waiting)/waitingPerEngine,
	}
}

// baselineEngines returns the number of engines for the load that the existing fleet is
// sized for. A fleet without reclaimable engines is the initial fleet of a deployment,
// which includes headroom for losses.
func baselineEngines(onDemand, reclaimable, dataCentres int) int {
	if reclaimable == 0 {
		return fleet.SupportedLoad(onDemand, dataCentres)
	}
	return max(onDemand, fleet.SupportedLoad(reclaimable, dataCentres))
}

// orderBasis holds the inputs of an order decision, for the log.
type orderBasis struct {
	need, recent int         // required engines for the peak and for the recent load
	load         serviceLoad // sum of the demand of the service's servers
}

// initialState is the state of a service found by a new leader.
type initialState struct {
	engines  int       // maximum baseline seen before the first load
	loadedAt time.Time // when load was first seen
}

// maxRecentMissing returns the peak of missing engines, held for missingHoldSeconds.
func (s *scaler) maxRecentMissing(service string, missing int, now time.Time) int {
	peak := s.missingPeaks[service]
	if missing >= peak.count || now.Sub(peak.at) > missingHoldSeconds*time.Second {
		peak = missingPeak{missing, now}
	}
	s.missingPeaks[service] = peak
	return peak.count
}

// missingPeak is a peak of missing engines and when it was reached.
type missingPeak struct {
	count int
	at    time.Time
}

// sizingView collects the inputs from which the fleet of one service is sized.
func (s *scaler) sizingView(svc *routes.Service, servers []roster.Server, need, recent int, now time.Time) fleet.SizingView {
	v := fleet.SizingView{Min: svc.Scaling.Min, Max: svc.Scaling.Max, StartupTime: svc.Scaling.StartupTime, PeakServers: need, RecentServers: recent}
	for dataCentre, price := range svc.Scaling.Prices {
		dcServers := fleet.DataCentreServers{DataCentre: dataCentre, OnDemandPrice: price}
		for _, server := range servers {
			switch {
			case server.Service != svc.Name || server.DataCentre != dataCentre:
			case server.State == world.Ready && server.Reclaimable:
				dcServers.ReadyReclaimable++
			case server.State == world.Ready:
				dcServers.ReadyOnDemand++
			}
		}
		pool := s.pool(poolKey{svc.Name, dataCentre})
		pool.maxReadyReclaimable = max(pool.maxReadyReclaimable, dcServers.ReadyReclaimable)
		dcServers.Ordered, dcServers.OrderedAt, dcServers.ReclaimableOrderedAt, dcServers.PeakReclaimable = pool.ordered, pool.orderedAt, pool.reclaimableOrderedAt, pool.maxReadyReclaimable
		dcServers.RefusedAt, dcServers.ReclaimableUnavailable = pool.refusedAt, pool.exhausted
		if pool.orderedAt.IsZero() {
			dcServers.Ordered = fleet.Counts{OnDemand: dcServers.ReadyOnDemand, Reclaimable: dcServers.ReadyReclaimable} // ordered by an earlier leader
		}
		v.DataCentres = append(v.DataCentres, dcServers)
	}
	return v
}

func (s *scaler) pool(key poolKey) *poolState {
	pool := s.pools[key]
	if pool == nil {
		pool = &poolState{}
		s.pools[key] = pool
	}
	return pool
}

// scale sizes the fleet of each scalable service and sends the resulting orders.
func (r *Runner) scale() {
	now := r.cfg.Clock()
	services, servers := r.withoutEvacuated(r.cfg.Services())
	loads := r.cfg.Coord.Loads()
	for i := range services {
		svc := &services[i]
		if svc.Scaling == nil || len(svc.Scaling.Prices) == 0 {
			continue // there is no data centre to order in
		}
		var load serviceLoad
		work := 0.0
		onDemand, reclaimable := 0, 0
		for _, server := range servers {
			switch {
			case server.Service != svc.Name:
				continue
			case server.Reclaimable:
				reclaimable++
			default:
				onDemand++
			}
			load = load.add(demand(loads[server.ID], server.Slots))
			work += engineWork(loads[server.ID], server.Slots)
		}
		if r.cfg.StatesPace != nil && r.cfg.StatesPace(svc.Name) {
			r.scaler.work[svc.Name] = r.scaler.work[svc.Name].WithSample(work, now)
			load = load.withWork(r.scaler.work[svc.Name])
		}
		baseline := baselineEngines(onDemand, reclaimable, len(svc.Scaling.Prices))
		need, recent := r.scaler.requiredEngines(svc.Name, load, baseline, now)
		need = r.scaler.release(releaseKey{svc.Name, releasePeak}, need, now)
		recent = r.scaler.release(releaseKey{svc.Name, releaseRecent}, recent, now)
		v := r.scaler.sizingView(svc, servers, need, recent, now)
		missing := r.scaler.maxRecentMissing(svc.Name, v.NeededOnDemand(now), now)
		v.MinOnDemand = r.scaler.release(releaseKey{svc.Name, releaseOnDemand}, missing, now)
		// The platform may answer slowly or not at all, and orders of different data centres
		// do not depend on each other.
		var wg sync.WaitGroup
		for _, o := range fleet.Size(now, v) {
			pool := r.scaler.pool(poolKey{svc.Name, o.DataCentre})
			wg.Go(func() { r.sendOrders(svc.Name, pool, o, orderBasis{need, recent, load}, now) })
		}
		wg.Wait()
	}
	r.scaler.lastSecond = now.Unix()
}

// sendOrders sends the orders for one pool, reclaimable engines first, so that the total
// never falls below the running engines. If the platform does not answer the first order,
// the next tick decides again.
func (r *Runner) sendOrders(service string, pool *poolState, o fleet.DataCentreOrder, basis orderBasis, now time.Time) {
	first := pool.orderedAt.IsZero()
	pool.orderedAt = now
	if first || o.Target.Reclaimable != pool.ordered.Reclaimable || o.Target == pool.ordered {
		pool.reclaimableOrderedAt, pool.maxReadyReclaimable = now, 0
		switch err := r.sendOrder(Order{service, o.DataCentre, true, o.Target.Reclaimable}, basis); {
		case errors.Is(err, ErrNoCapacity):
			pool.refusedAt, pool.exhausted = now, true
		case err == nil:
			pool.ordered.Reclaimable, pool.exhausted = o.Target.Reclaimable, false
		default:
			return
		}
	}
	if first || o.Target.OnDemand != pool.ordered.OnDemand {
		if r.sendOrder(Order{service, o.DataCentre, false, o.Target.OnDemand}, basis) == nil {
			pool.ordered.OnDemand = o.Target.OnDemand
		}
	}
}

// sendOrder sends one order to the platform and logs the outcome.
func (r *Runner) sendOrder(o Order, basis orderBasis) error {
	fence, ok := r.activeFence()
	if !ok {
		return Error.New("this instance no longer leads")
	}
	ctx, cancel := context.WithTimeout(r.ctx, callTimeout)
	defer cancel()
	err := r.cfg.Platform.Scale(ctx, fence, o)
	logger := r.cfg.Log.WithFields(log.Fields{
		"event": "duty.scale", "service": o.Service, "dataCentre": o.DataCentre, "reclaimable": o.Reclaimable, "count": o.Count,
		"need": basis.need, "recent": basis.recent, "load": basis.load.requests, "busyEngines": basis.load.engines, "token": fence.Token,
	})
	switch {
	case errors.Is(err, ErrNoCapacity):
		logger.Warn("the platform has no engines available")
	case err != nil:
		logger.WithError(err).Warn("the order was not accepted; retrying")
	default:
		logger.Info("engines ordered")
	}
	return err
}
