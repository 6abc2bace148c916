// Package entry implements the entry instances that callers connect to. An
// entry instance accepts requests, runs them on backend servers until they
// finish, and lets a caller fetch an answer from any entry instance of the
// cell, because backend servers, entry instances and network links can all fail
// while an answer is being generated.
package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"cranberrypath.example/cranberrypath/internal/backnd"
	"cranberrypath.example/cranberrypath/internal/cells"
	"cranberrypath.example/cranberrypath/internal/conf"
	"cranberrypath.example/cranberrypath/internal/event"
	"cranberrypath.example/cranberrypath/internal/guard"
	"cranberrypath.example/cranberrypath/internal/judge"
	"cranberrypath.example/cranberrypath/internal/link"
	"cranberrypath.example/cranberrypath/internal/member"
	"cranberrypath.example/cranberrypath/internal/poison"
	"cranberrypath.example/cranberrypath/internal/route"
	"cranberrypath.example/cranberrypath/internal/store"
	"cranberrypath.example/cranberrypath/internal/stream"
	"cranberrypath.example/cranberrypath/internal/world"
)

const (
	// maxAnswerBytes limits the memory for all answers and replicas. Together
	// with the rest of the process it stays below the instance's 128 MB for
	// control plus the data of running requests.
	maxAnswerBytes = 512 << 20
	// sweepInterval is how often expired answers, reservations and records are
	// removed.
	sweepInterval = time.Second
	// handoverTime is the part of a planned stop reserved for handing over
	// unfinished answers. A short notice reduces it.
	handoverTime      = 2 * time.Second
	drainPollInterval = 20 * time.Millisecond
)

// Configuration provides the active configuration.
type Configuration interface {
	// Current returns an error if this process cannot confirm that its
	// configuration is still active at now.
	Current(now time.Time) (*store.View, error)
}

// Router selects the backend server for each attempt. It is a *route.Table
// except in experiments that compare routing policies.
type Router interface {
	Pick(q route.Query, now time.Time) (route.Choice, error)
	Started(id string, cost route.Cost, now time.Time)
	Ended(id string, res route.Result, now time.Time)
	FirstToken(c route.Choice, timeToFirstToken time.Duration, now time.Time)
	Report(id string, load world.Load, now time.Time)
	SetBackends(backends []world.Backend, now time.Time)
	Cache(id string, ev world.CacheEvents, now time.Time)
	Resync(now time.Time) []string
}

// Config holds the settings and dependencies of an Entry.
type Config struct {
	Settings      conf.Settings
	Incarnation   uint64 // increases with each start of the process
	Net           *link.Transport
	Member        *member.Member
	Configuration Configuration
	Claims        Claims
	Backends      *backnd.Client
	Events        *event.Log
	Now           func() time.Time
	// Guard bounds what callers occupy; nil means a default size.
	Guard *guard.Guard
	Seed  uint64 // for routing decisions; 0 picks a random seed
	// Router overrides the default router, for experiments.
	Router Router
	// ReplayOnly makes streams on a reclaimed server that would not finish in
	// time move immediately by replaying their tokens, without KV cache export
	// and pacing, for experiments.
	ReplayOnly bool
}

// Entry serves callers on one instance.
type Entry struct {
	cfg               Config
	member            *member.Member
	answers           *stream.Registry
	peers             *stream.Client
	router            Router
	ledger            *poison.Ledger
	limitsTable       limitsTable
	results           *judge.Recorder
	server            *server
	cells             *cells.Table
	forwardTable      forwardTable
	engines           engineAPI
	firstTokenTimeout time.Duration // longest wait for the first token of an attempt
	restartGrace      time.Duration // how long a server that broke a stream has to announce itself

	attempts       activeAttempts
	replicaHolders replicaHolders
	reserved       reservations
	runCounts      runCounts
	syncedPeers    syncedPeers
	counters       counters

	ownerSeq        atomic.Uint64 // next suffix of the names of claim owners and runs
	claimsInFlight  sync.Map      // owners of claims whose calls are being served
	unsettledClaims sync.Map      // owners of claims whose result is not recorded yet
	orphanRetries   sync.Map      // replicas without an owner, with the time of the next check
	handingOver     atomic.Bool   // a planned stop hands the last answers over
	knownCrashes    sync.Map      // server ids and incarnations known to have crashed

	resyncMu      sync.Mutex
	resyncPending map[string]bool // backend servers to ask for their full cache contents

	permitsMu sync.Mutex
	permits   []member.Permit

	serveCtx    context.Context // cancelled when the process stops serving callers
	stopServing context.CancelFunc
	runCtx      context.Context // cancelled when the process stops running requests
	stopRuns    context.CancelFunc
	serveWG     sync.WaitGroup // periodic tasks and the listener
	background  sync.WaitGroup // runs and their background calls
}

// New opens the callers' listener and starts serving.
func New(cfg Config) (*Entry, error) {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Seed == 0 {
		cfg.Seed = rand.Uint64()
	}
	if cfg.Guard == nil {
		cfg.Guard = guard.Default()
	}
	if cfg.Router == nil {
		cfg.Router = route.New(route.Config{Seed: cfg.Seed})
	}
	s := cfg.Settings
	e := &Entry{
		cfg: cfg, member: cfg.Member,
		answers:       stream.NewRegistry(stream.Config{Instance: s.Node, TotalBytes: maxAnswerBytes, Retention: seconds(s.Limits.KeepSeconds)}),
		peers:         &stream.Client{Net: cfg.Net},
		router:        cfg.Router,
		ledger:        poison.New(),
		resyncPending: map[string]bool{},
		results:       judge.NewRecorder(s.Node, cfg.Incarnation),
		cells:         cells.NewTable(s.Cell, s.Region, cfg.Now()),
		engines:       engineClient{cfg.Backends}, firstTokenTimeout: defaultFirstTokenTimeout, restartGrace: defaultRestartGrace,
	}
	e.serveCtx, e.stopServing = context.WithCancel(context.Background())
	e.runCtx, e.stopRuns = context.WithCancel(context.Background())
	e.registerPeerHandlers()
	if err := e.listen(); err != nil {
		return nil, err
	}
	e.startLoops()
	return e, nil
}

// registerPeerHandlers registers the handlers for calls from other entry
// instances.
func (e *Entry) registerPeerHandlers() {
	net := e.cfg.Net
	stream.Serve(net, e.answers, e.cfg.Now, e.runAsOwner)
	net.Handle(findCall, e.handleFind)
	net.Handle(crashCall, e.handleCrash)
	net.Handle(permitCall, e.handlePermit)
	net.Handle(idleCall, e.handleIdle)
	net.Handle(forwardedCall, e.handleForwarded)
	net.Handle(lendCall, e.handleLend)
}

// startLoops starts the periodic tasks.
func (e *Entry) startLoops() {
	e.startLoop(sweepInterval, func(now time.Time) {
		e.answers.Sweep(now)
		e.reserved.sweep(now)
		e.runCounts.sweep(now)
		e.forwardTable.sweep(e.forwardRecordTTL(), now)
		e.checkOrphans(now)
		e.updateRouterCaches(now)
		e.updateServing(now)
	})
	planner := &reclaimPlanner{e: e, pendingReplays: map[string]*activeAttempt{}}
	e.startLoop(reclaimInterval, planner.step)
	e.startLoop(crashInterval, e.propagateCrashes)
}

// startLoop calls f at each interval until the process stops running requests.
func (e *Entry) startLoop(interval time.Duration, f func(now time.Time)) {
	e.serveWG.Go(func() {
		t := time.NewTicker(interval)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				f(e.cfg.Now())
			case <-e.runCtx.Done():
				return
			}
		}
	})
}

// Addr returns the address of the callers' listener.
func (e *Entry) Addr() string { return e.server.ln.Addr().String() }

// refreshRouter updates the router with the backend servers that this instance
// may send to.
func (e *Entry) refreshRouter(now time.Time) {
	permits := e.member.Permits(now)
	e.permitsMu.Lock()
	defer e.permitsMu.Unlock()
	if len(permits) == len(e.permits) && (len(permits) == 0 || &permits[0] == &e.permits[0]) {
		return // Permits returns the same slice until its list changes
	}
	e.permits = permits
	backends := make([]world.Backend, len(permits))
	for i, p := range permits {
		backends[i] = p.Backend
	}
	e.router.SetBackends(backends, now)
	for _, p := range permits {
		e.router.Report(p.ID, p.Load, now)
	}
}

// reportedLoad returns the running and waiting requests per slot from a
// server's last load report.
func (e *Entry) reportedLoad(b world.Backend) float64 {
	e.permitsMu.Lock()
	defer e.permitsMu.Unlock()
	for _, p := range e.permits {
		if p.ID == b.ID {
			return float64(p.Load.Running+p.Load.Waiting) / float64(max(b.Slots, 1))
		}
	}
	return 0
}

// backendsExcept returns the ids of all backend servers other than id.
func (e *Entry) backendsExcept(id string) []string {
	e.permitsMu.Lock()
	defer e.permitsMu.Unlock()
	var ids []string
	for _, p := range e.permits {
		if p.ID != id {
			ids = append(ids, p.ID)
		}
	}
	return ids
}

// updateRouterCaches passes the cell's cache events on to the router.
func (e *Entry) updateRouterCaches(now time.Time) {
	for _, u := range e.member.TakeCacheEvents() {
		if u.Gap {
			continue // the router detects the gap by the sequence number of the next event
		}
		e.router.Cache(u.Backend, u.Events, now)
	}
}

// updateServing removes this instance from the directory while it cannot accept
// requests.
func (e *Entry) updateServing(now time.Time) {
	_, err := e.cfg.Configuration.Current(now)
	e.member.SetServing(err == nil)
}

func (e *Entry) recordEvent(ev event.Event) { e.cfg.Events.Add(ev, e.cfg.Now()) }

// Drain stops this instance without interrupting requests. It announces the
// stop to the cell and the directory, keeps the listener open until callers
// have dropped cached directory entries with its address, and then waits for
// running answers to finish. Answers still unfinished shortly before ctx ends
// are handed over to their replica holders, and their callers are told where to
// continue.
func (e *Entry) Drain(ctx context.Context) error {
	e.recordEvent(event.Of("entry.draining"))
	_ = e.member.Leave(ctx) // peers that miss the message notice the closed listener
	keep := e.member.Directory(e.cfg.Now(), member.Caller{}).TTL
	if deadline, ok := ctx.Deadline(); ok {
		keep = min(keep, time.Until(deadline)/2)
	}
	e.server.draining.Store(true)
	// Reserve part of the notice period for the handover.
	handover := handoverTime
	if deadline, ok := ctx.Deadline(); ok {
		handover = min(handover, time.Until(deadline)/4)
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-handover))
		defer cancel()
		e.server.stopAt.Store(deadline.Add(-handover).UnixNano())
	}
	sleep(ctx, keep)
	err := e.server.stop(ctx)
	for len(e.ownedUnfinished()) > 0 && sleep(ctx, drainPollInterval) {
		continue
	}
	if ctx.Err() != nil {
		err = e.handOverAndDisconnect(handover)
	}
	e.recordEvent(event.Of("entry.drained"))
	return err
}

// handOverAndDisconnect hands over the running answers and tells their callers
// where to continue.
func (e *Entry) handOverAndDisconnect(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	e.handOverAll(ctx)
	e.stopServing() // ends the responses
	for e.server.http.GetOpenConnectionsCount() > 0 {
		if !sleep(ctx, drainPollInterval) {
			return Error.New("%d connections of callers are still open", e.server.http.GetOpenConnectionsCount())
		}
	}
	return nil
}

// Abort resets all connections of callers and stops immediately. Tests and
// experiments use it to simulate a crash within one process.
func (e *Entry) Abort() {
	_ = e.server.ln.Close()
	e.server.ln.abort() // before the links close, because tokens become visible without a replica then
	_ = e.Close()
}

// Close stops immediately. Running answers are left to their replica holders.
func (e *Entry) Close() error {
	e.stopServing()
	e.stopRuns()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	err := e.server.stop(ctx)
	e.server.ln.abort() // connections that did not close in time
	e.serveWG.Wait()
	e.background.Wait()
	return err
}
