// Package edge is one instance of a deployment that routes opaque requests: it
// joins the request path, the coordination with other instances and the list of
// backend servers. Adapters translate between it and the messages that callers,
// backend servers and operators use.
package edge

import (
	"bytes"
	"cmp"
	"compress/flate"
	"context"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"
	"go.opentelemetry.io/otel/metric"

	"cranberrypath.example/cranberrypath/internal/coord"
	"cranberrypath.example/cranberrypath/internal/disk"
	"cranberrypath.example/cranberrypath/internal/duty"
	"cranberrypath.example/cranberrypath/internal/judge"
	"cranberrypath.example/cranberrypath/internal/link"
	"cranberrypath.example/cranberrypath/internal/meter"
	"cranberrypath.example/cranberrypath/internal/proxy"
	"cranberrypath.example/cranberrypath/internal/quota"
	"cranberrypath.example/cranberrypath/internal/roster"
	"cranberrypath.example/cranberrypath/internal/routes"
	"cranberrypath.example/cranberrypath/internal/world"
)

// Error is the class of this package's errors.
var Error = errs.Class("edge")

// ErrInvalid is the class of configurations that cannot be accepted.
var ErrInvalid = errs.Class("invalid configuration")

// Config sets up an Edge.
type Config struct {
	Name       string // of the instance
	DataCentre string
	Region     string
	Peers      string // address that other instances connect to
	// PeersListen is where this instance listens for them if it is not Peers, for
	// example behind a proxy or address translation.
	PeersListen string
	Callers     string // address for callers
	Control     string // address for backend servers and operators
	// Seeds returns the peer addresses of some instances.
	Seeds func() []string
	// Dir is the folder for durable state, or "" without a disk.
	Dir string
	// First tells that the whole deployment starts for the first time.
	First bool
	// Losses is how many instances with a disk may be lost at once.
	Losses int
	// Heartbeat is how often backend servers announce themselves.
	Heartbeat time.Duration
	Retry     proxy.RetryLimit
	// Tolerance is how far organisations may exceed their limits.
	Tolerance quota.Tolerance
	// Duties are the calls that one instance makes for all; nil without any.
	Duties duty.Platform
	// Reports and Sizes tell which duties there are.
	Reports, Sizes bool
	// Usage describes the reports of usage.
	Usage duty.Timing
	// Decode turns the content of a configuration into its meaning.
	Decode func(content []byte) (*routes.Config, error)
	Sender proxy.Sender
	// AddressTime is how long callers may keep an answer to Addresses.
	AddressTime time.Duration
	Clock       func() time.Time
	Log         log.Interface
	// Meters takes the metrics; nil for none.
	Meters *meter.Meters
}

// Edge is a running instance. It is safe for concurrent use.
type Edge struct {
	cfg    Config
	net    *link.Net
	coord  *coord.Coord
	proxy  *proxy.Proxy
	quota  *quota.Buckets
	roster *roster.Roster
	duties *duty.Runner
	judged *judge.Recorder
	trials *trials
	self   coord.Node

	draining atomic.Bool

	mu       sync.Mutex
	heard    map[string]roster.Server // announcements that the leader does not have
	flying   map[string]roster.Server // those in the report under way
	nodes    []coord.Node
	rollouts []coord.Rollout
	rules    map[string]quota.Rule
}

// prefillPerToken is the prefill time of a prompt token at a model engine that
// does not tell it: 48 tokens a millisecond, as the engines of today's
// deployments read them.
const prefillPerToken = 21 * time.Microsecond

// dialTimeout bounds one attempt to connect to another instance: many times the
// delay within a region.
const dialTimeout = 250 * time.Millisecond

// Start starts the instance. Close ends it.
func Start(cfg Config) (*Edge, error) {
	now := cfg.Clock()
	n, err := link.Listen(link.Config{Node: cfg.Peers, DataCenter: cfg.DataCentre, Listen: cmp.Or(cfg.PeersListen, cfg.Peers), AnyPeer: true, DialTimeout: dialTimeout})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	e := &Edge{
		cfg: cfg, net: n, roster: roster.New(),
		heard: map[string]roster.Server{}, flying: map[string]roster.Server{},
		self: coord.Node{
			ID: cfg.Peers, Name: cfg.Name, DataCentre: cfg.DataCentre, Region: cfg.Region, Callers: cfg.Callers,
			Control: cfg.Control, Durable: cfg.Dir != "", Started: now,
		},
	}
	e.quota = quota.NewBuckets(lender{e})
	e.judged = judge.NewRecorder(cfg.Peers, uint64(now.UnixNano()))
	var m metric.Meter
	if cfg.Meters != nil {
		m = cfg.Meters
	}
	e.proxy, err = proxy.New(proxy.Config{
		DataCentre: cfg.DataCentre, Sender: cfg.Sender, Quota: e.quota, Retry: cfg.Retry, PerToken: prefillPerToken,
		UsageWindow: cfg.Usage.Window, Clock: cfg.Clock, Log: cfg.Log, Seed: uint64(now.UnixNano()) ^ xxhash.Sum64String(cfg.Peers), Meter: m, Judged: e.judged,
	})
	if err == nil && m != nil {
		err = e.observe(m)
	}
	if err != nil {
		_ = n.Close()
		return nil, err
	}
	e.coord = coord.Start(coord.Config{
		Self: e.self, Net: n, Seeds: cfg.Seeds, FS: disk.Real{}, Dir: cfg.Dir, First: cfg.First,
		MinVoters: 2*cfg.Losses + 1, Local: e, Rules: e.quotaRules, Heartbeat: cfg.Heartbeat, Clock: cfg.Clock, Log: cfg.Log,
	})
	if e.self.Durable {
		e.trials = startTrials(e)
	}
	if cfg.Duties != nil && e.self.Durable {
		e.duties = duty.Start(duty.Config{
			Name: cfg.Name, Coord: e.coord, Platform: cfg.Duties, Timing: cfg.Usage, Organisations: e.organisations,
			Reports: cfg.Reports, Sizes: cfg.Sizes, Services: e.services, Heartbeat: cfg.Heartbeat,
			Clock: cfg.Clock, Log: cfg.Log,
		})
	}
	return e, nil
}

// Close ends the instance at once.
func (e *Edge) Close() error {
	if e.duties != nil {
		e.duties.Close()
	}
	if e.trials != nil {
		e.trials.close()
	}
	err := e.coord.Close()
	if nerr := e.net.Close(); err == nil {
		err = nerr
	}
	return Error.Wrap(err)
}

// Drain prepares a planned stop: callers are no longer sent here and what this
// instance leads is passed on.
func (e *Edge) Drain(ctx context.Context) error {
	e.draining.Store(true)
	e.coord.Hurry()
	return e.coord.Resign(ctx)
}

// Draining reports whether the instance prepares to stop.
func (e *Edge) Draining() bool { return e.draining.Load() }

// Ready reports whether the instance takes requests.
func (e *Edge) Ready() bool { return !e.draining.Load() && e.proxy.Config() != nil }

// Proxy returns the request path.
func (e *Edge) Proxy() *proxy.Proxy { return e.proxy }

// Log returns the log of the instance.
func (e *Edge) Log() log.Interface { return e.cfg.Log }

// Announce takes what a backend server says of itself. What others must know at
// once (the server takes no new work) returns only when the leader has it.
func (e *Edge) Announce(ctx context.Context, s roster.Server) error {
	now := e.cfg.Clock()
	changed := e.roster.Put(s, now)
	e.mu.Lock()
	if o, ok := e.heard[s.ID]; !ok || s.Newer(o) {
		e.heard[s.ID] = s
	}
	e.mu.Unlock()
	if changed {
		e.serversChanged(now)
		e.cfg.Log.WithFields(log.Fields{
			"event": "server.announced", "server": s.ID, "service": s.Service, "state": s.State.String(), "version": s.Version,
		}).Info("backend server changed its state")
	}
	if s.State == world.Ready {
		if changed {
			e.coord.Hurry()
		}
		return nil
	}
	return e.coord.Flush(ctx)
}

// Leave takes the word of a backend server that it ends.
func (e *Edge) Leave(ctx context.Context, id string) error {
	now := e.cfg.Clock()
	s := e.roster.Leave(id, now)
	e.mu.Lock()
	e.heard[id] = s
	e.mu.Unlock()
	e.serversChanged(now)
	e.cfg.Log.WithFields(log.Fields{"event": "server.left", "server": id, "service": s.Service}).Info("backend server left")
	return e.coord.Flush(ctx)
}

func (e *Edge) serversChanged(now time.Time) { e.proxy.SetServers(e.roster.Present(), now) }

// Configure accepts a configuration. It returns nil once it is durable, or
// overtaken by a higher version.
func (e *Edge) Configure(ctx context.Context, content []byte) error {
	c, err := e.cfg.Decode(content)
	if err != nil {
		return ErrInvalid.Wrap(err)
	}
	packed, err := pack(content)
	if err != nil {
		return err
	}
	held, err := e.coord.Configure(ctx, c.Version, packed)
	l := e.cfg.Log.WithFields(log.Fields{"event": "config.proposed", "config": c.Version, "held": held})
	if err != nil {
		l.WithError(err).Warn("configuration was not accepted")
		return err
	}
	l.Info("configuration is durable")
	return nil
}

// Configuration returns the newest configuration as it was sent, or nil without
// one.
func (e *Edge) Configuration(ctx context.Context) ([]byte, error) {
	d, err := e.coord.Read(ctx)
	if err != nil || d.Version == 0 {
		return nil, err
	}
	return unpack(d.Config)
}

// Rollouts returns the durable state of all rollouts.
func (e *Edge) Rollouts(ctx context.Context) ([]coord.Rollout, error) {
	d, err := e.coord.Read(ctx)
	return d.Rollouts, err
}

// OrderRollout accepts an order to move a service to a version within d.
func (e *Edge) OrderRollout(ctx context.Context, service, target string, d time.Duration) error {
	return e.coord.OrderRollout(ctx, coord.Rollout{
		Service: service, Target: target, Started: e.cfg.Clock(), ShareAt: e.cfg.Clock(), Duration: d, Reason: "ordered",
	})
}

// maxAddresses is how many addresses callers take.
const maxAddresses = 64

// Addresses returns where callers in a data centre shall connect, and for how long
// they may keep the answer: to the instances near them, or to all if too few are
// near to bear the loss of one.
func (e *Edge) Addresses(dataCentre, region string) ([]string, time.Duration) {
	const enough = 2
	e.mu.Lock()
	nodes := e.nodes
	e.mu.Unlock()
	suspect := e.coord.Suspect()
	var near, far, other []string
	for _, n := range nodes {
		switch {
		case n.ID == suspect: // nobody else can tell that it stands still
		case !n.Ready || n.ID == e.self.ID && e.draining.Load():
		case n.DataCentre == dataCentre:
			near = append(near, n.Callers)
		case n.Region == region:
			far = append(far, n.Callers)
		default:
			other = append(other, n.Callers)
		}
	}
	if len(near) < enough {
		near = append(near, far...)
	}
	if len(near) < enough {
		near = append(near, other...)
	}
	if len(near) == 0 && e.Ready() {
		near = []string{e.cfg.Callers}
	}
	return near[:min(len(near), maxAddresses)], e.cfg.AddressTime
}

// Report implements coord.Local.
func (e *Edge) Report(full bool, now time.Time) coord.Report {
	r := coord.Report{
		Ready: e.Ready(), Spent: e.quota.Take(), Loads: e.proxy.Loads(), Windows: e.proxy.Windows(now),
		Held: e.proxy.TakeHeld(now),
	}
	if c := e.proxy.Config(); c != nil {
		r.ConfigVersion = c.Version
	}
	r.Judged = e.takeJudged(now)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.flying, e.heard = e.heard, map[string]roster.Server{}
	if full {
		r.Servers, _ = e.roster.Since(0)
	}
	for _, s := range e.flying {
		r.Servers = append(r.Servers, s)
	}
	return r
}

// Lost implements coord.Local.
func (e *Edge) Lost(time.Time) {
	e.quota.Restore()
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, s := range e.flying {
		if o, ok := e.heard[id]; !ok || s.Newer(o) {
			e.heard[id] = s
		}
	}
	e.flying = map[string]roster.Server{}
}

// Learn implements coord.Local.
func (e *Edge) Learn(v coord.View, now time.Time) {
	e.quota.Confirm(v.Levels, v.Fronts, now)
	e.proxy.SetNodes(v.Fronts)
	changed := v.Config != nil
	for _, s := range v.Servers {
		changed = e.roster.Put(s, now) || changed
	}
	if v.Rollouts != nil {
		e.proxy.SetRollouts(v.Rollouts)
		changed = true
	}
	if changed {
		e.serversChanged(now)
	}
	if v.Config != nil {
		// Requests that wait for the first configuration need the servers with it.
		e.applyConfig(v, now)
		e.serversChanged(now)
	}
	e.proxy.SetLoads(v.Loads, v.Asked)
	e.proxy.Learn(v.Held)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.flying = map[string]roster.Server{}
	if v.Nodes != nil {
		e.nodes = v.Nodes
	}
	if v.Rollouts != nil {
		e.rollouts = v.Rollouts
	}
}

func (e *Edge) applyConfig(v coord.View, now time.Time) {
	content, err := unpack(v.Config)
	if err != nil {
		e.cfg.Log.WithError(err).WithField("event", "config.unreadable").Error("the durable configuration cannot be unpacked")
		return
	}
	c, err := e.cfg.Decode(content)
	if err != nil {
		e.cfg.Log.WithError(err).WithField("event", "config.unreadable").Error("the durable configuration cannot be decoded")
		return
	}
	if old := e.proxy.Config(); old != nil && old.Version >= c.Version {
		return
	}
	rules := map[string]quota.Rule{}
	for _, o := range c.Organisations {
		if o.Rate > 0 {
			rules[o.Name] = quota.Rule{Rate: o.Rate, Burst: max(o.Burst, 1)}.WithTolerance(e.cfg.Tolerance)
		}
	}
	e.quota.Configure(rules, now)
	e.mu.Lock()
	e.rules = rules
	e.mu.Unlock()
	e.proxy.SetConfig(c, now)
	e.cfg.Log.WithFields(log.Fields{"event": "config.applied", "config": c.Version, "leader": v.Leader}).Info("configuration is in force here")
}

func (e *Edge) quotaRules() (uint64, map[string]quota.Rule, map[string]float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.proxy.Config()
	if c == nil {
		return 0, nil, nil
	}
	return c.Version, e.rules, e.quota.Told()
}

// lender reaches the leader's ledger through the coordination, which starts after
// the request path.
type lender struct{ e *Edge }

// Borrow implements quota.Lender.
func (l lender) Borrow(ctx context.Context, name string, units float64) (bool, float64, error) {
	return l.e.coord.Borrow(ctx, name, units)
}

func (e *Edge) organisations() []string {
	c := e.proxy.Config()
	if c == nil {
		return nil
	}
	var out []string
	for _, o := range c.Organisations {
		out = append(out, o.Name)
	}
	slices.Sort(out)
	return out
}

func (e *Edge) services() ([]routes.Service, []roster.Server) {
	c := e.proxy.Config()
	if c == nil {
		return nil, nil
	}
	return c.Services, e.roster.Present()
}

// pack compresses a configuration, which goes to every instance.
func pack(content []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.DefaultCompression)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if _, err := w.Write(content); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, Error.Wrap(err)
	}
	return b.Bytes(), nil
}

func unpack(b []byte) ([]byte, error) {
	out, err := io.ReadAll(flate.NewReader(bytes.NewReader(b)))
	return out, Error.Wrap(err)
}
