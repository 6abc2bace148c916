// Package node puts one process together from its settings: the links, the time
// line, the control role and the entry role.
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

	"cranberrypath.example/cranberrypath/internal/backnd"
	"cranberrypath.example/cranberrypath/internal/certs"
	"cranberrypath.example/cranberrypath/internal/claim"
	"cranberrypath.example/cranberrypath/internal/clock"
	"cranberrypath.example/cranberrypath/internal/conf"
	"cranberrypath.example/cranberrypath/internal/disk"
	"cranberrypath.example/cranberrypath/internal/entry"
	"cranberrypath.example/cranberrypath/internal/event"
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
	// keptEvents is how many events a process keeps in memory, about 10 MB.
	keptEvents = 32 << 10
	eventsCall = "node.events"
)

// Config sets up a Node.
type Config struct {
	Settings conf.Settings
	Log      log.Interface // nil drops the lines
	Now      func() time.Time
	Seed     uint64
	// Dial replaces the dialer of the links between processes, for tests.
	Link func(*link.Config)
	// Backends sets up the client of backend servers, for tests.
	Backends backnd.Config
	// Disk holds the data folder of the control role; nil is the machine's own.
	Disk disk.FS
	// Election is the shortest election timeout of the replicated logs, the same at
	// all members; zero means the default.
	Election time.Duration
	// Manage holds the intervals of the controllers; zero fields get the defaults.
	Manage manage.Timing
	// Planner replaces the planner of version moves; see manage.Config.
	Planner func(decl.MovePolicy) manage.Planner
	// Router and ReplayOnly are passed to the entry role, for experiments.
	Router     entry.Router
	ReplayOnly bool
}

// Node is one running process.
type Node struct {
	cfg         Config
	log         log.Interface
	incarnation uint64
	events      *event.Log
	file        *os.File
	meters      *meter.Meters
	net         *link.Net
	control     *control
	member      *member.Member
	watcher     *watch.Watcher
	backends    *backnd.Client
	entry       *entry.Entry
}

// Start opens the listeners and starts the roles of the settings.
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
		n.events = event.NewLog(s.Node, c, keptEvents, nil)
		return nil
	}
	if err := os.MkdirAll(filepath.Dir(s.EventFile), 0o755); err != nil {
		return Error.Wrap(err)
	}
	f, err := os.OpenFile(s.EventFile, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return Error.Wrap(err)
	}
	n.file, n.events = f, event.NewLog(s.Node, c, keptEvents, f)
	return nil
}

func (n *Node) openMeters() error {
	s := n.cfg.Settings
	m, err := meter.New(s.Node, s.DataCentre)
	if err != nil {
		return Error.Wrap(err)
	}
	n.meters = m
	if s.Listen.Metrics == "" {
		return nil
	}
	_, err = m.Serve(s.Listen.Metrics)
	return Error.Wrap(err)
}

func (n *Node) openLinks() error {
	s := n.cfg.Settings
	cfg := link.Config{
		Node: s.Node, DataCenter: s.DataCentre, Listen: s.Listen.Peers, Key: []byte(s.SharedKey), Clock: n.events.Clock(),
	}
	if s.TLS.On() {
		var err error
		if cfg.TLS, err = certs.Peers(certs.Files(s.TLS)); err != nil {
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
	if !n.cfg.Settings.Has("control") {
		return nil
	}
	c, err := n.startControl()
	n.control = c
	return err
}

func (n *Node) openEntry() error {
	s := n.cfg.Settings
	if !s.Has("entry") {
		return nil
	}
	public := s.Listen.CallersPublic
	if public == "" {
		public = s.Listen.Callers
	}
	var err error
	n.member, err = member.New(member.Config{
		Node: s.Node, DataCentre: s.DataCentre, Cell: s.Cell, Address: n.net.Addr(), Callers: public,
		Seeds: s.Seeds, Incarnation: n.incarnation, Lease: s.Lease(), Clock: n.cfg.Now,
	}, n.net)
	if err != nil {
		return Error.Wrap(err)
	}
	var addrs []string
	for _, m := range s.Control {
		addrs = append(addrs, m.Address)
	}
	n.watcher, err = watch.NewWatcher(watch.Config{Node: s.Node, Net: n.net, Control: addrs, Clock: n.cfg.Now})
	if err != nil {
		return Error.Wrap(err)
	}
	n.backends = backnd.New(n.cfg.Backends)
	n.entry, err = entry.New(entry.Config{
		Settings: s, Incarnation: n.incarnation, Net: n.net, Member: n.member, Configuration: n.watcher,
		Claims: claim.NewClient(n.net, s.ClaimGroups, n.claimMembers), Backends: n.backends, Events: n.events,
		Now: n.cfg.Now, Seed: n.cfg.Seed, Router: n.cfg.Router, ReplayOnly: n.cfg.ReplayOnly,
	})
	if err != nil {
		return Error.Wrap(err)
	}
	n.watcher.Add(watch.Part{Name: entry.ReportDemand, Fill: n.entry.FillDemand, Take: n.entry.TakeGrants})
	n.watcher.Add(watch.Part{Name: entry.ReportResults, Fill: n.entry.FillResults})
	n.watcher.Add(watch.Part{Name: entry.ReportCells, Fill: n.entry.FillCells, Take: n.entry.TakeCells})
	return Error.Wrap(n.entry.Observe(n.meters))
}

func (n *Node) claimMembers() []claim.Member {
	var out []claim.Member
	for _, m := range n.cfg.Settings.Control {
		out = append(out, claim.Member{ID: m.Node, Address: m.Address})
	}
	return out
}

// Callers returns the address of the callers' listener, or "" without the entry role.
func (n *Node) Callers() string {
	if n.entry == nil {
		return ""
	}
	return n.entry.Addr()
}

// Operators returns the address of the operators' listener, or "" without the control role.
func (n *Node) Operators() string {
	if n.control == nil {
		return ""
	}
	return n.control.server.Addr()
}

// Entry returns the entry role, or nil.
func (n *Node) Entry() *entry.Entry { return n.entry }

// Current returns the configuration that the entry role uses and whether it is confirmed.
func (n *Node) Current() (version uint64, confirmed bool) {
	if n.watcher == nil {
		return 0, false
	}
	v, err := n.watcher.Current(n.cfg.Now())
	if v == nil {
		return 0, false
	}
	return v.Config, err == nil
}

// Backends returns how many backend servers this process may send new work to.
func (n *Node) Backends() int {
	if n.member == nil {
		return 0
	}
	return len(n.member.Permits(n.cfg.Now()))
}

// Leads reports whether this process leads the configuration group.
func (n *Node) Leads() bool { return n.control != nil && n.control.Status().Leads }

func (n *Node) event(e event.Event) { n.events.Add(e, n.cfg.Now()) }

// Recorded returns this process's own events.
func (n *Node) Recorded(f event.Filter) []event.Event { return n.events.Events(f) }

// Events returns the events of every process that can be reached, in one order.
func (n *Node) Events(ctx context.Context, f event.Filter) ([]event.Event, error) {
	lists := [][]event.Event{n.events.Events(f)}
	asked := map[string]bool{n.net.Addr(): true}
	for _, addr := range n.peerAddresses() {
		if asked[addr] {
			continue
		}
		asked[addr] = true
		if l, err := n.askEvents(ctx, addr, f); err == nil {
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
		out = append(out, n.entry.OtherCells()...)
	}
	return out
}

func (n *Node) askEvents(ctx context.Context, addr string, f event.Filter) ([]event.Event, error) {
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

// Drain passes the leaderships of the control role on, and ends the entry role
// without cutting a request. ctx bounds the time.
func (n *Node) Drain(ctx context.Context) error {
	if n.control != nil {
		n.control.resign(ctx)
	}
	if n.entry == nil {
		return nil
	}
	return Error.Wrap(n.entry.Drain(ctx))
}

// Abort stops the process as a crash would: callers and peers get no last word.
func (n *Node) Abort() {
	if n.entry != nil {
		n.entry.Abort()
	}
	n.Close()
}

// Close stops the process at once. Call Drain before it for a planned stop.
func (n *Node) Close() {
	if n.entry != nil {
		_ = n.entry.Close()
	}
	if n.watcher != nil {
		n.watcher.Close()
	}
	if n.member != nil {
		n.member.Close()
	}
	if n.net != nil {
		_ = n.net.Close()
	}
	if n.control != nil {
		n.control.close()
	}
	if n.backends != nil {
		_ = n.backends.Close()
	}
	if n.meters != nil {
		_ = n.meters.Close()
	}
	if n.file != nil {
		_ = n.file.Close()
	}
}
