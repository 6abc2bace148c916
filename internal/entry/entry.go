// Package entry is the part of the system that callers connect to. It accepts
// requests, runs them on backend servers until they are finished and lets a
// caller fetch its answer at any entry instance, because backend servers, this
// instance and its links may each go away while an answer is produced.
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
	// answersBytes bounds the memory of all answers and copies. Together with
	// the rest of the process it stays below the instance's 128 MB for control
	// plus the data of running requests.
	answersBytes = 512 << 20
	// sweepEvery is how often finished answers and reservations are dropped.
	sweepEvery = time.Second
	// giveTime is the part of a planned stop that is kept for handing over the
	// answers that have not finished; it is less if the notice is short.
	giveTime  = 2 * time.Second
	drainPoll = 20 * time.Millisecond
)

// Configuration gives the configuration in force.
type Configuration interface {
	// Current returns an error if this process cannot be sure of it at now.
	Current(now time.Time) (*store.View, error)
}

// Router selects the backend server of each attempt. It is a *route.Table
// except in experiments that compare it with other policies.
type Router interface {
	Pick(q route.Query, now time.Time) (route.Choice, error)
	Started(id string, cost route.Cost, now time.Time)
	Ended(id string, res route.Result, now time.Time)
	FirstToken(c route.Choice, took time.Duration, now time.Time)
	Report(id string, load world.Load, now time.Time)
	Set(backends []world.Backend, now time.Time)
	Cache(id string, ev world.CacheEvents, now time.Time)
	Resync(now time.Time) []string
}

// Config sets up an Entry.
type Config struct {
	Settings      conf.Settings
	Incarnation   uint64 // grows with each start of the process
	Net           *link.Net
	Member        *member.Member
	Configuration Configuration
	Claims        Claims
	Backends      *backnd.Client
	Events        *event.Log
	Now           func() time.Time
	Seed          uint64 // of routing decisions; 0 draws one
	// Router replaces the router if it is set, for experiments.
	Router Router
	// ReplayOnly makes streams on a reclaimed server that would not end in time
	// move at once and by their tokens, without export and pacing, for experiments.
	ReplayOnly bool
}

// Entry serves callers on one instance.
type Entry struct {
	cfg     Config
	member  *member.Member
	answers *stream.Registry
	peers   *stream.Client
	table   Router
	ledger  *poison.Ledger
	shares  shares
	results *judge.Recorder
	server  *server
	bodies  bodies
	cells   *cells.Table
	sent    forwardedIDs
	engines engines
	quiet   time.Duration // how long an engine may be silent
	restart time.Duration // how long a restart of a backend server may stay unknown

	active   activeRuns
	holders  keepersOf
	reserved reservations
	counts   runCounts
	informed informed
	tally    tally

	claims    atomic.Uint64 // number of claims taken, part of their owner's name
	inFlight  sync.Map      // owners of claims whose calls are being served
	unsettled sync.Map      // owners of claims whose end is not written yet
	orphans   sync.Map      // copies without an owner, and when to ask about them again
	crashes   sync.Map      // servers and incarnations known to have crashed

	resyncMu sync.Mutex
	resync   map[string]bool // backend servers to ask for their whole cache

	permitsMu sync.Mutex
	permits   []member.Permit

	ctx     context.Context // ends when the process stops serving callers
	cancel  context.CancelFunc
	runs    context.Context // ends when the process stops running requests
	stop    context.CancelFunc
	wg      sync.WaitGroup // loops and the listener
	running sync.WaitGroup // runs and their helpers
}

// New opens the callers' listener and starts to serve.
func New(cfg Config) (*Entry, error) {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Seed == 0 {
		cfg.Seed = rand.Uint64()
	}
	if cfg.Router == nil {
		cfg.Router = route.New(route.Config{Seed: cfg.Seed})
	}
	s := cfg.Settings
	e := &Entry{
		cfg: cfg, member: cfg.Member,
		answers: stream.NewRegistry(stream.Config{Node: s.Node, TotalBytes: answersBytes, Keep: seconds(s.Limits.KeepSeconds)}),
		peers:   &stream.Client{Net: cfg.Net},
		table:   cfg.Router,
		ledger:  poison.New(),
		resync:  map[string]bool{},
		results: judge.NewRecorder(s.Node, cfg.Incarnation),
		cells:   cells.NewTable(s.Cell, s.Region, cfg.Now()),
		engines: engineClient{cfg.Backends}, quiet: silence, restart: restartKnown,
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.runs, e.stop = context.WithCancel(context.Background())
	e.handlePeers()
	var err error
	if e.server, err = e.listen(); err != nil {
		return nil, err
	}
	e.startLoops()
	return e, nil
}

// handlePeers answers the calls of other entry instances.
func (e *Entry) handlePeers() {
	net := e.cfg.Net
	stream.Serve(net, e.answers, e.cfg.Now, e.adopt)
	net.Handle(findCall, e.handleFind)
	net.Handle(crashCall, e.handleCrash)
	net.Handle(permitCall, e.handlePermit)
	net.Handle(idleCall, e.handleIdle)
	net.Handle(forwardedCall, e.handleForwarded)
	net.Handle(lendCall, e.handleLend)
}

// startLoops starts what this instance does at intervals.
func (e *Entry) startLoops() {
	e.loop(sweepEvery, func(now time.Time) {
		e.answers.Sweep(now)
		e.reserved.sweep(now)
		e.counts.sweep(now)
		e.sent.sweep(e.keepForwarded(), now)
		e.adoptOrphans(now)
		e.learnCaches(now)
		e.noteServing(now)
	})
	moves := &reclaims{e: e, waiting: map[string]*activeRun{}}
	e.loop(reclaimTick, moves.step)
	e.loop(crashTick, e.spreadCrashes)
}

// loop calls f each interval until the process stops serving.
func (e *Entry) loop(every time.Duration, f func(now time.Time)) {
	e.wg.Go(func() {
		t := time.NewTicker(every)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				f(e.cfg.Now())
			case <-e.runs.Done():
				return
			}
		}
	})
}

// Addr returns the address of the callers' listener.
func (e *Entry) Addr() string { return e.server.ln.Addr().String() }

// refresh gives the router the backend servers that this instance may send to.
func (e *Entry) refresh(now time.Time) {
	permits := e.member.Permits(now)
	e.permitsMu.Lock()
	defer e.permitsMu.Unlock()
	if len(permits) == len(e.permits) && (len(permits) == 0 || &permits[0] == &e.permits[0]) {
		return // the shared list has not changed
	}
	e.permits = permits
	backends := make([]world.Backend, len(permits))
	for i, p := range permits {
		backends[i] = p.Backend
	}
	e.table.Set(backends, now)
	for _, p := range permits {
		e.table.Report(p.ID, p.Load, now)
	}
}

// loadOf returns the running and waiting requests per slot of a server, as it
// reported last.
func (e *Entry) loadOf(b world.Backend) float64 {
	e.permitsMu.Lock()
	defer e.permitsMu.Unlock()
	for _, p := range e.permits {
		if p.ID == b.ID {
			return float64(p.Load.Running+p.Load.Waiting) / float64(max(b.Slots, 1))
		}
	}
	return 0
}

// otherThan returns the backend servers but one.
func (e *Entry) otherThan(id string) []string {
	e.permitsMu.Lock()
	defer e.permitsMu.Unlock()
	var out []string
	for _, p := range e.permits {
		if p.ID != id {
			out = append(out, p.ID)
		}
	}
	return out
}

// learnCaches gives the router the cache events of the cell.
func (e *Entry) learnCaches(now time.Time) {
	for _, u := range e.member.CacheEvents() {
		if u.Gap {
			continue // the next event's number shows the gap to the router
		}
		e.table.Cache(u.Backend, u.Events, now)
	}
}

// noteServing takes this instance out of the directory while it cannot take requests.
func (e *Entry) noteServing(now time.Time) {
	_, err := e.cfg.Configuration.Current(now)
	e.member.SetServing(err == nil)
}

func (e *Entry) event(ev event.Event) { e.cfg.Events.Add(ev, e.cfg.Now()) }

// Drain stops this instance without cutting a request. The cell and the
// directory learn of it first; the listener stays open until callers have
// dropped the answers that name it, then running answers finish. Those that do
// not finish before ctx ends are handed to their keepers, and their callers are
// told where to go on.
func (e *Entry) Drain(ctx context.Context) error {
	e.event(event.Of("entry.draining"))
	_ = e.member.Leave(ctx) // peers that cannot be told notice the closed listener
	keep := e.member.Directory(e.cfg.Now(), member.Caller{}).Keep
	if deadline, ok := ctx.Deadline(); ok {
		keep = min(keep, time.Until(deadline)/2)
	}
	e.server.draining.Store(true)
	// The handover needs a part of the notice.
	give := giveTime
	if deadline, ok := ctx.Deadline(); ok {
		give = min(give, time.Until(deadline)/4)
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-give))
		defer cancel()
	}
	pause(ctx, keep)
	err := e.server.stop(ctx)
	for len(e.ownedRunning()) > 0 && pause(ctx, drainPoll) {
		continue
	}
	if ctx.Err() != nil {
		err = e.giveUp(give)
	}
	e.event(event.Of("entry.drained"))
	return err
}

// giveUp hands the running answers over and tells their callers where to go on.
func (e *Entry) giveUp(within time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	e.handOver(ctx)
	e.cancel() // ends the responses
	for e.server.http.GetOpenConnectionsCount() > 0 {
		if !pause(ctx, drainPoll) {
			return Error.New("%d connections of callers are still open", e.server.http.GetOpenConnectionsCount())
		}
	}
	return nil
}

// Abort drops every connection of a caller without a word and then stops, for
// tests and experiments that need a crash in one process.
func (e *Entry) Abort() {
	_ = e.server.ln.Close()
	e.server.ln.abort() // before the links end, since tokens become visible uncopied then
	_ = e.Close()
}

// Close stops at once. Running answers are left to their keepers.
func (e *Entry) Close() error {
	e.cancel()
	e.stop()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	err := e.server.stop(ctx)
	e.server.ln.abort() // of callers that did not end in time
	e.wg.Wait()
	e.running.Wait()
	return err
}
