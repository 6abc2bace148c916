// Package edge implements an instance of a deployment that routes opaque requests. It
// connects the request path, the coordination with other instances and the list of
// backend servers. Adapters translate between this package and the protocols of
// callers, backend servers and operators.
package edge

import (
	"bytes"
	"cmp"
	"compress/flate"
	"context"
	"io"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"
	"go.opentelemetry.io/otel/metric"

	"cranberrypath.example/cranberrypath/internal/blame"
	"cranberrypath.example/cranberrypath/internal/buffer"
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
	"cranberrypath.example/cranberrypath/internal/spread"
	"cranberrypath.example/cranberrypath/internal/world"
)

// Error is the class of this package's errors.
var Error = errs.Class("edge")

// Classes of the errors of configurations that can never be accepted.
var (
	ErrInvalid  = errs.Class("invalid configuration")
	ErrTooLarge = errs.Class("configuration too large")
)

// MaxConfigBytes bounds the content of a configuration.
const MaxConfigBytes = 32 << 20

// Config configures an Edge.
type Config struct {
	Name        string // name of the instance
	DataCentre  string
	Region      string
	PeerAddress string // address that other instances connect to
	// PeerListenAddress is the listen address for other instances if it differs from
	// PeerAddress, for example behind a proxy or address translation.
	PeerListenAddress string
	CallerAddress     string // address for callers
	ControlAddress    string // address for backend servers and operators
	// Seeds returns the peer addresses of some instances.
	Seeds func() []string
	// DataDir is the directory for durable state; empty without a disk.
	DataDir string
	// Bootstrap is set on the first start of the whole deployment.
	Bootstrap bool
	// ToleratedLosses is how many instances with a disk may be lost at the same time.
	ToleratedLosses int
	// Machine is what this instance has to serve requests with.
	Machine spread.Machine
	// HeartbeatInterval is the interval of the heartbeats of backend servers.
	HeartbeatInterval time.Duration
	RetryLimit        proxy.RetryLimit
	// ConfigMaxAge is the time in which a configuration must be in force at all instances.
	// An instance that no leader has answered for longer refuses nothing for good. 0 means
	// no limit.
	ConfigMaxAge time.Duration
	// QuotaTolerance is how far organisations may exceed their quotas.
	QuotaTolerance quota.Tolerance
	// ColdTolerance is how far the rate may be exceeded that cold servers tolerate.
	ColdTolerance ColdTolerance
	// DutyPlatform makes the platform calls that one instance performs on behalf of
	// the deployment; nil without duties.
	DutyPlatform duty.Platform
	// ReportsUsage and ScalesServices enable the duties.
	ReportsUsage, ScalesServices bool
	// UsageTiming is the timing of the usage reports.
	UsageTiming duty.Timing
	// DecodeConfig decodes and validates the content of a configuration.
	DecodeConfig func(content []byte) (*routes.Config, error)
	Sender       proxy.Sender
	// Buffers bounds the memory of the responses in flight together; nil means no limit.
	Buffers *buffer.Pool
	// Accepts reports whether a backend server accepts a new connection.
	Accepts func(ctx context.Context, s roster.Server) bool
	// Regions are the regions of the data centres, as far as the settings state them.
	Regions map[string]string
	// AddressTTL is how long callers may cache the result of Addresses.
	AddressTTL time.Duration
	Clock      func() time.Time
	// Suspended returns for how long the machine was suspended; nil means never.
	Suspended func() time.Duration
	Log       log.Interface
	// Meters records the metrics; nil disables them.
	Meters *meter.Meters
}

// Edge is a running instance. It is safe for concurrent use.
type Edge struct {
	cfg               Config
	net               *link.Transport
	coord             *coord.Coord
	proxy             *proxy.Proxy
	blame             *blame.Ledger
	quota             *quota.Buckets
	relayQuota        *quota.Buckets // parts of the rates of the instances behind this relay; nil without a disk
	roster            *roster.Roster
	duties            *duty.Runner
	judgeRecorder     *judge.Recorder
	rolloutController *rolloutController
	self              coord.Instance

	draining atomic.Bool
	relays   atomic.Int32 // number of relays; 0 if the deployment uses none

	partsConfirmedAt atomic.Pointer[time.Time] // when the last report was sent with whose answer the parts of cold servers' rates agree

	serversMu sync.Mutex // held while the roster is copied to the request path

	addresses *addressChoice

	mu          sync.Mutex
	confirmedAt time.Time // see coord.View.ConfirmedAt
	outbox      outbox
	instances   []coord.Instance
	limits      limitState
	rollouts    []coord.Rollout
	quotaRules  map[string]quota.Rule
	evacuations coord.Evacuations
	regions     map[string]string // by data centre
	homes       []string          // see routes.Config.Homes
}

// prefillPerToken is the prefill time per prompt token of model servers that do not
// announce it: 48 tokens per millisecond, the rate of the servers in deployments.
const prefillPerToken = 21 * time.Microsecond

// dialTimeout bounds an attempt to connect to another instance. It is many times the
// round-trip time within a region.
const dialTimeout = 250 * time.Millisecond

// Start starts an instance. The caller must call Close.
func Start(cfg Config) (*Edge, error) {
	now := cfg.Clock()
	network, err := link.Listen(link.Config{Node: cfg.PeerAddress, DataCentre: cfg.DataCentre, Listen: cmp.Or(cfg.PeerListenAddress, cfg.PeerAddress), AllowUnauthenticated: true, DialTimeout: dialTimeout})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	e := &Edge{
		cfg: cfg, net: network, roster: roster.New(), blame: blame.New(cfg.PeerAddress),
		outbox: newOutbox(),
		self: coord.Instance{
			ID: cfg.PeerAddress, Name: cfg.Name, DataCentre: cfg.DataCentre, Region: cfg.Region, CallerAddress: cfg.CallerAddress,
			ControlAddress: cfg.ControlAddress, Durable: cfg.DataDir != "", Started: now,
			Capacity: float32(cfg.Machine.Capacity()),
		},
	}
	e.regions = regionsAfter(cfg.Regions, []coord.Instance{e.self})
	e.addresses = newAddressChoice(uint64(now.UnixNano()) ^ xxhash.Sum64String(cfg.PeerAddress))
	e.quota = quota.NewBuckets(leaderLender{e})
	if e.self.Durable {
		e.relayQuota = quota.NewBuckets(nil)
	}
	e.judgeRecorder = judge.NewRecorder(cfg.PeerAddress, uint64(now.UnixNano()))
	var metricMeter metric.Meter
	if cfg.Meters != nil {
		metricMeter = cfg.Meters
	}
	e.proxy, err = proxy.New(proxy.Config{
		DataCentre: cfg.DataCentre, Sender: cfg.Sender, Buffers: cfg.Buffers, Accepts: cfg.Accepts, Quota: e.quota, Retry: cfg.RetryLimit, PrefillPerToken: prefillPerToken,
		UsageWindow: cfg.UsageTiming.Window, Clock: cfg.Clock, ConfigAge: e.configAge, MaxConfigAge: cfg.ConfigMaxAge, Log: cfg.Log, Seed: uint64(now.UnixNano()) ^ xxhash.Sum64String(cfg.PeerAddress), Meter: metricMeter, VersionResults: e.judgeRecorder,
		Blame: e.blame, CrashRecorded: func() { e.coord.SyncSoon() }, ServerLeaves: e.markLeaving, ServerLimit: e.markLimit, Part: e.partOfLimit, ServerCold: e.markCold, ColdPart: e.partOfCold, ColdPartsValid: e.partsValid,
	})
	if err == nil && metricMeter != nil {
		err = e.registerGauges(metricMeter)
	}
	if err != nil {
		_ = network.Close()
		return nil, err
	}
	e.proxy.SetPlaces(proxy.Places{Regions: e.regions})
	e.coord = coord.Start(coord.Config{
		Self: e.self, Net: network, Seeds: cfg.Seeds, FS: disk.Real{}, Dir: cfg.DataDir, Bootstrap: cfg.Bootstrap,
		MinVoters: 2*cfg.ToleratedLosses + 1, Local: e, QuotaRules: e.currentQuotaRules, LendNearby: e.lendNearby, Blame: e.blame, Heartbeat: cfg.HeartbeatInterval, Clock: cfg.Clock, Suspended: cfg.Suspended, Log: cfg.Log,
	})
	if e.self.Durable {
		e.rolloutController = startRolloutController(e)
	}
	if cfg.DutyPlatform != nil && e.self.Durable {
		e.duties = duty.Start(duty.Config{
			Name: cfg.Name, Coord: e.coord, Platform: cfg.DutyPlatform, Timing: cfg.UsageTiming, Organisations: e.organisationNames,
			ReportsUsage: cfg.ReportsUsage, ScalesEngines: cfg.ScalesServices, Services: e.services, Evacuated: e.evacuatedDataCentres, Heartbeat: cfg.HeartbeatInterval,
			StatesPace: e.proxy.StatesPace, Clock: cfg.Clock, Log: cfg.Log,
		})
	}
	return e, nil
}

// Close terminates the instance without draining it.
func (e *Edge) Close() error {
	if e.duties != nil {
		e.duties.Close()
	}
	if e.rolloutController != nil {
		e.rolloutController.close()
	}
	err := e.coord.Close()
	if nerr := e.net.Close(); err == nil {
		err = nerr
	}
	return Error.Wrap(err)
}

// Drain prepares a planned stop at the deadline of ctx: the instance is removed from the
// addresses for callers and transfers its leadership.
func (e *Edge) Drain(ctx context.Context) error {
	if at, ok := ctx.Deadline(); ok {
		e.proxy.StopBy(at, e.cfg.Clock())
	}
	e.draining.Store(true)
	e.coord.SyncSoon()
	return e.coord.Resign(ctx)
}

// Draining reports whether Drain has been called.
func (e *Edge) Draining() bool { return e.draining.Load() }

// Ready reports whether the instance accepts requests.
func (e *Edge) Ready() bool { return !e.draining.Load() && e.proxy.Config() != nil }

// Proxy returns the request path.
func (e *Edge) Proxy() *proxy.Proxy { return e.proxy }

// Log returns the log of the instance.
func (e *Edge) Log() log.Interface { return e.cfg.Log }

// Announce processes the heartbeat of a backend server. If the server accepts no new
// requests, Announce returns only once that is durable.
func (e *Edge) Announce(ctx context.Context, s roster.Server) error {
	now := e.cfg.Clock()
	s = e.withColdStart(s, now)
	changed := e.roster.Put(s, now)
	e.mu.Lock()
	e.outbox.add(s)
	e.mu.Unlock()
	if changed {
		e.updateServers(now)
		fields := log.Fields{
			"event": "server.announced", "server": s.ID, "service": s.Service, "state": s.State.String(), "version": s.Version,
			"cold": s.Cold(now), "dataCentre": s.DataCentre,
		}
		if s.Cold(now) {
			fields["forMs"] = s.ColdEnd().Sub(now).Milliseconds()
		}
		e.cfg.Log.WithFields(fields).Info("backend server state changed")
	}
	if s.State == world.Ready {
		if changed {
			e.coord.SyncSoon()
		}
		return nil
	}
	return e.coord.RecordDeparture(ctx, s)
}

// Leave deregisters a backend server that stops: its incarnation, or all that have started if
// that is 0. It returns once that is durable.
func (e *Edge) Leave(ctx context.Context, id string, incarnation int64) error {
	now := e.cfg.Clock()
	s, ok := e.roster.Leave(id, incarnation, now)
	if !ok {
		return nil // a later incarnation has started, so this one has ended
	}
	e.mu.Lock()
	e.outbox.add(s)
	e.mu.Unlock()
	e.updateServers(now)
	e.cfg.Log.WithFields(log.Fields{"event": "server.left", "server": id, "service": s.Service}).Info("backend server deregistered")
	return e.coord.RecordDeparture(ctx, s)
}

// Incarnation returns the last known incarnation of a backend server, for Leave.
func (e *Edge) Incarnation(id string) int64 { return e.roster.Incarnation(id, e.cfg.Clock()) }

// markLeaving records that a backend server has said in its response to a request sent at the
// given time that it leaves, and reports it to the other instances.
func (e *Edge) markLeaving(s roster.Server, sent time.Time) {
	leaving, changed := e.roster.MarkLeaving(s.ID, s.Incarnation, sent)
	if !changed {
		return
	}
	e.updateServers(e.cfg.Clock())
	e.mu.Lock()
	e.outbox.add(leaving)
	e.mu.Unlock()
	e.cfg.Log.WithFields(log.Fields{"event": "server.leaving", "server": s.ID, "service": s.Service}).Info("backend server said in a response that it leaves")
	e.coord.SyncSoon()
}

// updateServers copies the roster to the request path. Without the lock, a copy made before
// a change could replace the one made after it.
func (e *Edge) updateServers(now time.Time) {
	e.serversMu.Lock()
	defer e.serversMu.Unlock()
	servers, c := e.roster.Present(), e.proxy.Config()
	e.mu.Lock()
	e.limits.any = slices.ContainsFunc(servers, func(s roster.Server) bool { return s.Limit.Named })
	e.limits.setCold(servers, c, now)
	e.mu.Unlock()
	e.proxy.SetServers(servers, now)
}

// Configure proposes a configuration. It returns nil once the configuration is durable
// or superseded by a higher version.
func (e *Edge) Configure(ctx context.Context, content []byte) error {
	c, err := e.cfg.DecodeConfig(content)
	if err != nil {
		return ErrInvalid.Wrap(err)
	}
	packed, err := compress(content)
	if err != nil {
		return err
	}
	if len(packed) > coord.MaxConfigBytes {
		return ErrTooLarge.New("%d bytes when compressed, the limit is %d", len(packed), coord.MaxConfigBytes)
	}
	durableVersion, err := e.coord.Configure(ctx, c.Version, packed)
	l := e.cfg.Log.WithFields(log.Fields{"event": "config.proposed", "config": c.Version, "held": durableVersion})
	if err != nil {
		l.WithError(err).Warn("configuration not accepted")
		return err
	}
	l.Info("configuration is durable")
	return nil
}

// Configuration returns a reader of the latest configuration as originally sent, or nil if
// there is none. It decompresses while it is read: many callers that read slowly must not hold
// a copy each.
func (e *Edge) Configuration(ctx context.Context) (io.Reader, error) {
	state, err := e.coord.Read(ctx)
	if err != nil || state.Version == 0 {
		return nil, err
	}
	return io.LimitReader(flate.NewReader(bytes.NewReader(state.Config)), MaxConfigBytes), nil
}

// Rollouts returns the durable state of all rollouts.
func (e *Edge) Rollouts(ctx context.Context) ([]coord.Rollout, error) {
	state, err := e.coord.Read(ctx)
	return state.Rollouts, err
}

// ErrUnknownService means that the newest configuration does not define a service.
var ErrUnknownService = Error.New("unknown service")

// CheckService returns nil if the configuration defines the service or there is none yet,
// and ErrUnknownService if the newest one lacks it. Other errors mean that no leader can
// tell now which one is the newest.
func (e *Edge) CheckService(ctx context.Context, name string) error {
	defined := func() bool { c := e.proxy.Config(); return c == nil || c.Service(name) != nil }
	if defined() {
		return nil
	}
	asked := e.leaseTime(e.cfg.Clock())
	if err := e.coord.SyncNow(ctx); err != nil {
		return err
	}
	if defined() {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.confirmedAt.Before(asked) {
		return coord.ErrUnavailable
	}
	return ErrUnknownService
}

// OrderRollout records an order to move a service to the target version within duration.
func (e *Edge) OrderRollout(ctx context.Context, service, target string, duration time.Duration, o coord.Origin) error {
	return e.coord.OrderRollout(ctx, coord.Rollout{
		Service: service, Target: target, Started: e.cfg.Clock(), ShareAt: e.cfg.Clock(), Duration: duration, Reason: "ordered",
	}, o)
}

// IsInstanceAddress reports whether an instance accepts callers, operators or peers on an
// address. A backend server there would make requests circulate.
func (e *Edge) IsInstanceAddress(addr string) bool {
	if addr == e.self.CallerAddress || addr == e.self.ControlAddress || addr == e.self.ID {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.ContainsFunc(e.instances, func(inst coord.Instance) bool {
		return addr == inst.CallerAddress || addr == inst.ControlAddress || addr == inst.ID
	})
}

// Report implements coord.Local.
func (e *Edge) Report(full bool, now time.Time) coord.Report {
	spent := e.quota.TakeSpent()
	if e.relayQuota != nil {
		spent = maps.Clone(spent)
		for name, units := range e.relayQuota.TakeSpent() {
			spent[name] += units
		}
	}
	r := coord.Report{
		Ready: e.Ready(), Spent: spent, Loads: e.proxy.Loads(), Windows: e.proxy.UsageWindows(now),
		Prefixes: e.proxy.TakePrefixReports(now), Demands: e.proxy.TakeDemands(),
	}
	if c := e.proxy.Config(); c != nil {
		r.ConfigVersion = c.Version
	}
	r.VersionResults = e.takeResults(now)
	e.mu.Lock()
	defer e.mu.Unlock()
	if full {
		all, _, _ := e.roster.Since(0, 0)
		e.outbox.addAll(all)
	}
	r.Servers = e.outbox.take()
	return r
}

// ReportFailed implements coord.Local.
func (e *Edge) ReportFailed(now time.Time) {
	if touch, cold := e.updateTouch(now), e.coldEnded(now); touch || cold {
		e.updateServers(now)
	}
	e.quota.Restore()
	if e.relayQuota != nil {
		e.relayQuota.Restore()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.outbox.failed()
}

// Apply implements coord.Local.
func (e *Edge) Apply(v coord.View, now time.Time) {
	e.proxy.SetInstances(v.ReadyInstances)
	e.blame.SetInstances(v.ReadyInstances)
	e.proxy.LogVerdicts(now)
	e.roster.ForgetGone(now)
	changed := e.giveUpParts(now) || e.coldEnded(now) || v.Config != nil
	changed = e.setInstances(v, now) || changed
	changed = e.setPlaces(v) || changed
	for _, s := range v.Servers {
		changed = e.roster.Put(s, now) || changed
	}
	if v.Rollouts != nil {
		e.proxy.SetRollouts(v.Rollouts)
		changed = true
	}
	if changed {
		e.updateServers(now)
	}
	e.confirmParts(v.ConfirmedAt)
	if v.Config != nil {
		// Requests waiting for the first configuration need the servers along with it.
		e.applyConfig(v, now)
		e.updateServers(now)
	}
	// After the configuration, since levels without a rule are not kept.
	e.quota.Confirm(v.Levels, v.ReadyInstances, now)
	if e.relayQuota != nil {
		e.relayQuota.SetParts(v.Parts, now)
		e.relayQuota.Confirm(v.Levels, v.ReadyInstances, now)
	}
	e.relays.Store(int32(v.Relays))
	e.proxy.SetLoads(v.Loads, v.ReportSentAt)
	e.proxy.LearnPrefixes(v.Prefixes)
	if v.Shares != nil {
		e.proxy.SetShares(*v.Shares)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !v.ConfirmedAt.IsZero() {
		e.confirmedAt = v.ConfirmedAt
	}
	e.outbox.answered()
	e.outbox.learned(v.Servers)
	if v.Rollouts != nil {
		e.rollouts = v.Rollouts
	}
}

func (e *Edge) applyConfig(v coord.View, now time.Time) {
	content, err := decompress(v.Config)
	if err != nil {
		e.cfg.Log.WithError(err).WithField("event", "config.unreadable").Error("cannot decompress the durable configuration")
		return
	}
	c, err := e.cfg.DecodeConfig(content)
	if err != nil {
		e.cfg.Log.WithError(err).WithField("event", "config.unreadable").Error("cannot decode the durable configuration")
		return
	}
	if old := e.proxy.Config(); old != nil && old.Version >= c.Version {
		return
	}
	rules := map[string]quota.Rule{}
	for _, o := range c.Organisations {
		if o.Rate > 0 {
			rules[o.Name] = quota.Rule{Rate: o.Rate, Burst: max(o.Burst, 1)}.WithTolerance(e.cfg.QuotaTolerance)
		}
	}
	e.quota.Configure(rules, now)
	if e.relayQuota != nil {
		e.relayQuota.Configure(rules, now)
	}
	e.mu.Lock()
	e.quotaRules, e.homes = rules, c.Homes()
	e.mu.Unlock()
	e.proxy.SetConfig(c, now)
	e.cfg.Log.WithFields(log.Fields{"event": "config.applied", "config": c.Version, "leader": v.Leader}).Info("configuration applied")
}

// configAge returns the time since a leader confirmed that the configuration is the newest.
func (e *Edge) configAge(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaseTime(now).Sub(e.confirmedAt)
}

// leaseTime returns now with the time for which the machine was suspended.
func (e *Edge) leaseTime(now time.Time) time.Time {
	if e.cfg.Suspended == nil {
		return now
	}
	return now.Add(e.cfg.Suspended())
}

func (e *Edge) currentQuotaRules() (uint64, map[string]quota.Rule, map[string]quota.Level) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.proxy.Config()
	if c == nil {
		return 0, nil, nil
	}
	return c.Version, e.quotaRules, e.quota.LeaderLevels()
}

// leaderLender borrows quota from the leader. It accesses Edge.coord lazily, because the
// coordination starts after the request path.
type leaderLender struct{ e *Edge }

// Borrow implements quota.Lender.
func (l leaderLender) Borrow(ctx context.Context, name string, units float64) (bool, float64, error) {
	return l.e.coord.Borrow(ctx, name, units)
}

// BorrowNearby implements quota.Lender.
func (l leaderLender) BorrowNearby(ctx context.Context, name string, units float64) (bool, error) {
	return l.e.coord.BorrowNearby(ctx, name, units)
}

// lendNearby admits units from the parts of the rates that this instance holds as a relay.
func (e *Edge) lendNearby(name string, units float64, parts int, now time.Time) bool {
	if e.relayQuota == nil || e.relays.Load() == 0 {
		return false
	}
	e.relayQuota.SetParts(parts, now)
	ok, _ := e.relayQuota.Admit(context.Background(), name, units, now)
	return ok
}

func (e *Edge) organisationNames() []string {
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

// compress compresses a configuration, which is sent to every instance.
func compress(content []byte) ([]byte, error) {
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

func decompress(b []byte) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), MaxConfigBytes+1))
	if len(out) > MaxConfigBytes {
		return nil, ErrTooLarge.New("more than %d bytes", MaxConfigBytes)
	}
	return out, Error.Wrap(err)
}
