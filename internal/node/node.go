// Package node assembles a process from its settings: the links, the event log, the
// control role and the entry role.
package node

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/apex/log"
	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"cranberrypath.example/cranberrypath/internal/await"
	"cranberrypath.example/cranberrypath/internal/backnd"
	"cranberrypath.example/cranberrypath/internal/certs"
	"cranberrypath.example/cranberrypath/internal/claim"
	"cranberrypath.example/cranberrypath/internal/clock"
	"cranberrypath.example/cranberrypath/internal/conf"
	"cranberrypath.example/cranberrypath/internal/disk"
	"cranberrypath.example/cranberrypath/internal/entry"
	"cranberrypath.example/cranberrypath/internal/event"
	"cranberrypath.example/cranberrypath/internal/guard"
	"cranberrypath.example/cranberrypath/internal/link"
	"cranberrypath.example/cranberrypath/internal/manage"
	"cranberrypath.example/cranberrypath/internal/member"
	"cranberrypath.example/cranberrypath/internal/meter"
	"cranberrypath.example/cranberrypath/internal/watch"
	"cranberrypath.example/cranberrypath/pkg/decl"
)

// Error is the class of this package's errors.
var Error = errs.Class("node")

const (
	// maxEventsInMemory is how many events a process keeps in memory, about 10 MB.
	maxEventsInMemory = 32 << 10
	eventsCall        = "node.events"
)

// Config sets up a Node.
type Config struct {
	Settings conf.Settings
	Log      log.Interface // nil discards log lines
	Now      func() time.Time
	Seed     uint64
	// Link adjusts the configuration of the links between processes, for tests.
	Link func(*link.Config)
	// Backends configures the client of backend servers, for tests.
	Backends backnd.Config
	// Disk holds the data folder of the control role; nil means the instance's disk.
	Disk disk.FS
	// Election is the minimum election timeout of the replicated logs and must be
	// equal on all members; zero means the default.
	Election time.Duration
	// Manage holds the intervals of the controllers; zero fields mean the defaults.
	Manage manage.Timing
	// Planner replaces the planner of version moves; see manage.Config.
	Planner func(decl.MovePolicy) manage.Planner
	// Router and ReplayOnly configure the entry role, for experiments.
	Router     entry.Router
	ReplayOnly bool
}

// Node is a running process.
type Node struct {
	cfg           Config
	log           log.Interface
	incarnation   uint64
	events        *event.Log
	eventFile     *os.File
	meters        *meter.Meters
	guard         *guard.Guard
	net           *link.Transport
	control       *control
	member        *member.Member
	watcher       *watch.Watcher
	backendClient *backnd.Client
	entry         *entry.Entry
}

// Start opens the listeners and starts the roles listed in the settings.
func Start(cfg Config) (*Node, error) {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Disk == nil {
		cfg.Disk = disk.Real{}
	}
	if cfg.Log == nil {
		cfg.Log = &log.Logger{Handler: log.HandlerFunc(func(*log.Entry) error { return nil })}
	}
	n := &Node{cfg: cfg, log: cfg.Log, incarnation: uint64(cfg.Now().UnixNano())}
	for _, step := range []func() error{n.openEvents, n.openMeters, n.openLinks, n.openControl, n.openEntry} {
		if err := step(); err != nil {
			n.Close()
			return nil, err
		}
	}
	n.event(event.Of("node.started"))
	n.log.WithFields(log.Fields{"node": cfg.Settings.Node, "dataCentre": cfg.Settings.DataCentre}).Info("started")
	return n, nil
}

func (n *Node) openEvents() error {
	s := n.cfg.Settings
	c := &clock.Clock{}
	if s.EventFile == "" {
		n.events = event.NewLog(s.Node, c, maxEventsInMemory, nil)
		return nil
	}
	if err := os.MkdirAll(filepath.Dir(s.EventFile), 0o755); err != nil {
		return Error.Wrap(err)
	}
	f, err := os.OpenFile(s.EventFile, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return Error.Wrap(err)
	}
	n.eventFile, n.events = f, event.NewLog(s.Node, c, maxEventsInMemory, f)
	return nil
}

func (n *Node) openMeters() error {
	s := n.cfg.Settings
	m, err := meter.New(s.Node, s.DataCentre)
	if err != nil {
		return Error.Wrap(err)
	}
	n.meters = m
	bounds := guard.ForMemory(s.MemoryBytes(), s.Limits.Connections)
	if n.guard, err = guard.New(guard.Config{Bytes: bounds.Bytes, Log: n.log, Meter: m}); err != nil {
		return Error.Wrap(err)
	}
	if s.Listen.Metrics == "" {
		return nil
	}
	_, err = m.Serve(s.Listen.Metrics)
	return Error.Wrap(err)
}

func (n *Node) openLinks() error {
	s := n.cfg.Settings
	cfg := link.Config{
		Node: s.Node, DataCentre: s.DataCentre, Listen: s.Listen.Peers, Key: []byte(s.SharedKey), Clock: n.events.Clock(),
	}
	if s.TLS.Enabled() {
		var err error
		if cfg.TLS, err = certs.PeerConfig(certs.Files(s.TLS)); err != nil {
			return Error.Wrap(err)
		}
	}
	if n.cfg.Link != nil {
		n.cfg.Link(&cfg)
	}
	net, err := link.Listen(cfg)
	if err != nil {
		return Error.Wrap(err)
	}
	n.net = net
	net.Handle(eventsCall, n.handleEvents)
	return n.observeTraffic()
}

func (n *Node) openControl() error {
	if !n.cfg.Settings.HasRole("control") {
		return nil
	}
	c, err := n.startControl()
	n.control = c
	return err
}

func (n *Node) openEntry() error {
	s := n.cfg.Settings
	if !s.HasRole("entry") {
		return nil
	}
	callersAddr := s.Listen.CallersPublic
	if callersAddr == "" {
		callersAddr = s.Listen.Callers
	}
	var err error
	n.member, err = member.New(member.Config{
		Instance: s.Node, DataCentre: s.DataCentre, Cell: s.Cell, Address: n.net.Addr(), CallerAddress: callersAddr,
		Seeds: s.Seeds, Incarnation: n.incarnation, Lease: s.SendLease(), Clock: n.cfg.Now, Capacity: float32(s.Capacity),
	}, n.net)
	if err != nil {
		return Error.Wrap(err)
	}
	var controlAddrs []string
	for _, m := range s.Control {
		controlAddrs = append(controlAddrs, m.Address)
	}
	n.watcher, err = watch.NewWatcher(watch.Config{Instance: s.Node, Net: n.net, ControlAddrs: controlAddrs, Clock: n.cfg.Now})
	if err != nil {
		return Error.Wrap(err)
	}
	n.backendClient = backnd.New(n.cfg.Backends)
	n.entry, err = entry.New(entry.Config{
		Settings: s, Guard: n.guard, Incarnation: n.incarnation, Net: n.net, Member: n.member, Configuration: n.watcher,
		Claims: claim.NewClient(n.net, s.ClaimGroups, n.claimMembers), Backends: n.backendClient, Events: n.events,
		Now: n.cfg.Now, Seed: n.cfg.Seed, Router: n.cfg.Router, ReplayOnly: n.cfg.ReplayOnly,
	})
	if err != nil {
		return Error.Wrap(err)
	}
	n.watcher.AddSection(watch.ReportSection{Name: entry.DemandSection, Build: n.entry.BuildDemand, HandleReply: n.entry.ApplyGrants})
	n.watcher.AddSection(watch.ReportSection{Name: entry.ResultsSection, Build: n.entry.BuildResults})
	n.watcher.AddSection(watch.ReportSection{Name: entry.CellsSection, Build: n.entry.BuildCells, HandleReply: n.entry.ApplyCells})
	return Error.Wrap(n.entry.RegisterMetrics(n.meters))
}

func (n *Node) claimMembers() []claim.Member {
	var out []claim.Member
	for _, m := range n.cfg.Settings.Control {
		out = append(out, claim.Member{ID: m.Node, Address: m.Address})
	}
	return out
}

// CallersAddr returns the address of the callers' listener, or "" without the entry role.
func (n *Node) CallersAddr() string {
	if n.entry == nil {
		return ""
	}
	return n.entry.Addr()
}

// OperatorsAddr returns the address of the operators' listener, or "" without the control role.
func (n *Node) OperatorsAddr() string {
	if n.control == nil {
		return ""
	}
	return n.control.operatorServer.Addr()
}

// Entry returns the entry role, or nil.
func (n *Node) Entry() *entry.Entry { return n.entry }

// ConfigurationVersion returns the version of the configuration that the entry role uses and
// whether it is confirmed.
func (n *Node) ConfigurationVersion() (version uint64, confirmed bool) {
	if n.watcher == nil {
		return 0, false
	}
	v, err := n.watcher.Current(n.cfg.Now())
	if v == nil {
		return 0, false
	}
	return v.ConfigVersion, err == nil
}

// BackendCount returns the number of backend servers to which this process may send new
// requests.
func (n *Node) BackendCount() int {
	if n.member == nil {
		return 0
	}
	return len(n.member.Permits(n.cfg.Now()))
}

// Leads reports whether this process leads the configuration group.
func (n *Node) Leads() bool { return n.control != nil && n.control.Status().IsLeader }

func (n *Node) event(e event.Event) { n.events.Add(e, n.cfg.Now()) }

// LocalEvents returns the events recorded by this process.
func (n *Node) LocalEvents(f event.Filter) []event.Event { return n.events.Events(f) }

// Events merges the events of all reachable processes.
func (n *Node) Events(ctx context.Context, f event.Filter) ([]event.Event, error) {
	lists := [][]event.Event{n.events.Events(f)}
	asked := map[string]bool{n.net.Addr(): true}
	for _, addr := range n.peerAddresses() {
		if asked[addr] {
			continue
		}
		asked[addr] = true
		if l, err := n.fetchEvents(ctx, addr, f); err == nil {
			lists = append(lists, l)
		}
	}
	return event.Merge(lists...), nil
}

func (n *Node) peerAddresses() []string {
	out := append([]string{}, n.cfg.Settings.Seeds...)
	for _, m := range n.cfg.Settings.Control {
		out = append(out, m.Address)
	}
	if n.member != nil {
		for _, p := range n.member.Peers(n.cfg.Now()) {
			out = append(out, p.Address)
		}
	}
	if n.entry != nil {
		out = append(out, n.entry.OtherCellPeers()...)
	}
	return out
}

func (n *Node) fetchEvents(ctx context.Context, addr string, f event.Filter) ([]event.Event, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	var resp wrapperspb.BytesValue
	if err := n.net.Call(ctx, addr, eventsCall, wrapperspb.Bytes(encodeFilter(f)), &resp); err != nil {
		return nil, Error.Wrap(err)
	}
	return decodeEvents(resp.Value)
}

func (n *Node) handleEvents(_ context.Context, _ link.Peer, body []byte) (proto.Message, error) {
	var req wrapperspb.BytesValue
	if err := proto.Unmarshal(body, &req); err != nil {
		return nil, Error.Wrap(err)
	}
	f, err := decodeFilter(req.Value)
	if err != nil {
		return nil, err
	}
	return wrapperspb.Bytes(encodeEvents(n.events.Events(f))), nil
}

// Drain transfers the leaderships of the control role and stops the entry role
// without interrupting requests. ctx bounds the duration.
func (n *Node) Drain(ctx context.Context) error {
	if n.control != nil {
		n.control.transferLeadership(ctx)
	}
	if n.entry == nil {
		return nil
	}
	return Error.Wrap(n.entry.Drain(ctx))
}

// Abort simulates a crash: callers and peers are not notified.
func (n *Node) Abort() {
	if n.entry != nil {
		n.entry.Abort()
	}
	n.Close()
}

// stopTimeout bounds how long Close waits for one part of the process. It covers the operators'
// listener, which lets requests in progress end.
const stopTimeout = 30 * time.Second

// Close stops the process immediately. Call Drain first for a planned stop. A part that does
// not stop in time is logged and left behind.
func (n *Node) Close() {
	for _, p := range n.parts() {
		if err := await.Stop(p.name, stopTimeout, n.log, p.stop); err != nil {
			n.log.WithError(err).WithField("part", p.name).Debug("stopping a part failed")
		}
	}
}

type part struct {
	name string
	stop func() error
}

// parts returns the parts that were started, in the order in which they stop.
func (n *Node) parts() []part {
	var out []part
	add := func(started bool, name string, stop func() error) {
		if started {
			out = append(out, part{name, stop})
		}
	}
	withoutError := func(stop func()) func() error { return func() error { stop(); return nil } }
	add(n.entry != nil, "entry", func() error { return n.entry.Close() })
	add(n.watcher != nil, "watcher", withoutError(func() { n.watcher.Close() }))
	add(n.member != nil, "member", withoutError(func() { n.member.Close() }))
	add(n.net != nil, "links", func() error { return n.net.Close() })
	add(n.control != nil, "control", withoutError(func() { n.control.close() }))
	add(n.backendClient != nil, "backendClient", func() error { return n.backendClient.Close() })
	add(n.meters != nil, "metrics", func() error { return n.meters.Close() })
	add(n.eventFile != nil, "eventFile", func() error { return n.eventFile.Close() })
	return out
}
