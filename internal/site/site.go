// Package site runs a complete deployment in one process on loopback: entry and
// control nodes with real listeners, and simulated backend servers. The demo, the
// experiments and the fault tests share it.
package site

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"cranberrypath.example/cranberrypath/internal/backnd"
	"cranberrypath.example/cranberrypath/internal/conf"
	"cranberrypath.example/cranberrypath/internal/disk"
	"cranberrypath.example/cranberrypath/internal/entry"
	"cranberrypath.example/cranberrypath/internal/event"
	"cranberrypath.example/cranberrypath/internal/faults"
	"cranberrypath.example/cranberrypath/internal/link"
	"cranberrypath.example/cranberrypath/internal/manage"
	"cranberrypath.example/cranberrypath/internal/node"
	"cranberrypath.example/cranberrypath/internal/oprcli"
	"cranberrypath.example/cranberrypath/internal/stand"
	"cranberrypath.example/cranberrypath/pkg/decl"
)

// Error is the class of this package's errors.
var Error = errs.Class("site")

// declarationTimeout bounds the time until the declaration is in force on all nodes.
const declarationTimeout = 20 * time.Second

// Config sets up a Site.
type Config struct {
	Seed        uint64
	DataCentres []string // at least one
	// EntriesPerDataCentre is the number of entry nodes in each data centre.
	EntriesPerDataCentre int
	// ControlNodes is the number of entry nodes that also have the control role. They are
	// spread over the data centres.
	ControlNodes int
	// Folder holds the control nodes' data; a temporary folder if empty.
	Folder string
	// FakeDisks gives each node an in-memory disk that loses unsynced data at a
	// crash. Other load on the machine cannot delay its syncs.
	FakeDisks bool
	// Election is the minimum election timeout of control members; zero means the
	// default. With the race detector and concurrent tests, a member may get no CPU
	// time for longer than the default.
	Election     time.Duration
	Declaration  decl.Declaration
	DrainSeconds int
	CheckFencing bool
	Platform     conf.Platform
	Manage       manage.Timing // intervals of the controllers
	// Settings modifies the settings of each node before it starts; it may be nil.
	Settings func(*conf.Settings)
	// Router returns a new router for a node; nil means the default router.
	Router     func(seed uint64) entry.Router
	ReplayOnly bool // see entry.Config
	// Now is the clock of all nodes; nil means time.Now.
	Now func() time.Time
	// LinkDelay is the one-way delay of links between data centres.
	LinkDelay time.Duration
	// Planner replaces the planner of version moves; see manage.Config.
	Planner func(decl.MovePolicy) manage.Planner
}

// Site is a running deployment.
type Site struct {
	cfg          Config
	Links        *faults.Links // fault injection for connections between nodes
	folder       string
	removeFolder bool

	mu         sync.Mutex
	nodes      []*node.Node // nil while stopped
	settings   []conf.Settings
	disks      []*disk.Fake // by node; nil without FakeDisks
	engines    []*stand.Engine
	desks      []*stand.Desk
	pastEvents []event.Event // events of stopped nodes
}

// maxStartAttempts limits the attempts of a start that fails because another process
// binds a port between its choice and its use.
const maxStartAttempts = 5

// Start starts the nodes and applies the declaration. Call Close afterwards.
func Start(ctx context.Context, cfg Config) (*Site, error) {
	for attempt := 1; ; attempt++ {
		s, err := startOnce(ctx, cfg)
		if err == nil || attempt == maxStartAttempts || !errors.Is(err, syscall.EADDRINUSE) {
			return s, err
		}
	}
}

func startOnce(ctx context.Context, cfg Config) (*Site, error) {
	s := &Site{cfg: cfg, Links: faults.New(), folder: cfg.Folder}
	if s.folder == "" {
		dir, err := os.MkdirTemp("", "cranberrypath")
		if err != nil {
			return nil, Error.Wrap(err)
		}
		s.folder, s.removeFolder = dir, true
	}
	if err := s.configureNodes(); err != nil {
		s.Close()
		return nil, err
	}
	if cfg.LinkDelay > 0 {
		s.Links.SetLatency(s.linkDelay)
	}
	for i := range s.settings {
		if err := s.StartNode(i); err != nil {
			s.Close()
			return nil, err
		}
	}
	if err := s.applyDeclaration(ctx); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// configureNodes chooses the addresses and settings of all nodes.
func (s *Site) configureNodes() error {
	n := len(s.cfg.DataCentres) * s.cfg.EntriesPerDataCentre
	addrs, err := freeAddresses(3 * n)
	if err != nil {
		return err
	}
	var control []conf.ControlMember
	for i := range n {
		dc := s.cfg.DataCentres[i%len(s.cfg.DataCentres)]
		settings := conf.Default()
		settings.Node = fmt.Sprintf("%s-%d", dc, i/len(s.cfg.DataCentres)+1)
		settings.DataCentre, settings.Region, settings.Zone = dc, "region", dc+"-a"
		settings.Roles = []string{"entry"}
		settings.Listen = conf.Listen{Callers: addrs[3*i], Peers: addrs[3*i+1]}
		settings.Backends.CheckFencing = s.cfg.CheckFencing
		settings.Platform = s.cfg.Platform
		if s.cfg.DrainSeconds > 0 {
			settings.DrainSeconds = s.cfg.DrainSeconds
		}
		if i < s.cfg.ControlNodes {
			settings.Roles = append(settings.Roles, "control")
			settings.Listen.Operators = addrs[3*i+2]
			settings.DataFolder = filepath.Join(s.folder, settings.Node)
			control = append(control, conf.ControlMember{Node: settings.Node, Address: settings.Listen.Peers, DataCentre: dc})
		}
		s.settings = append(s.settings, settings)
	}
	for i := range s.settings {
		s.settings[i].Control = control
		s.settings[i].Seeds = []string{s.settings[0].Listen.Peers, s.settings[n/2].Listen.Peers}
		if s.cfg.Settings != nil {
			s.cfg.Settings(&s.settings[i])
		}
	}
	s.nodes = make([]*node.Node, n)
	for i := range n {
		if s.cfg.FakeDisks {
			s.disks = append(s.disks, disk.NewFake(s.cfg.Seed+uint64(i)))
		}
	}
	return nil
}

// Port range of the nodes. It is below the usual ephemeral port range, so that
// outgoing connections do not take the port of a stopped node.
const (
	minPort = 12_000
	maxPort = 32_000
)

// usedPorts contains the ports assigned to the deployments of this process.
var usedPorts sync.Map

// freeAddresses returns n loopback addresses that were free when checked.
func freeAddresses(n int) ([]string, error) {
	var out []string
	for range 100 * n {
		if len(out) == n {
			return out, nil
		}
		port := minPort + rand.IntN(maxPort-minPort)
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		_ = l.Close()
		if _, used := usedPorts.LoadOrStore(port, true); !used {
			out = append(out, addr)
		}
	}
	return nil, Error.New("only %d of %d ports between %d and %d are free", len(out), n, minPort, maxPort)
}

// applyDeclaration applies the declaration and waits until it is in force on every node.
func (s *Site) applyDeclaration(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, declarationTimeout)
	defer cancel()
	c := s.OperatorClient()
	defer c.Close()
	var err error
	id := oprcli.NewCommandID()
	for ctx.Err() == nil {
		var result oprcli.Result
		if result, err = c.Apply(ctx, id, 0, "declaration", s.cfg.Declaration.JSON()); err == nil {
			return s.WaitForVersion(ctx, result.Version)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return Error.New("could not apply the declaration: %v", err)
}

// WaitForVersion waits until every running node has confirmed a configuration of at
// least the given version.
func (s *Site) WaitForVersion(ctx context.Context, version uint64) error {
	for {
		outdated := ""
		for _, n := range s.Nodes() {
			if v, ok := n.ConfigurationVersion(); !ok || v < version {
				outdated = fmt.Sprintf("has version %d (confirmed: %v)", v, ok)
			}
		}
		if outdated == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return Error.New("a node %s; want version %d or newer, confirmed", outdated, version)
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// WaitForBackends waits until every running node may send requests to at least n backend
// servers.
func (s *Site) WaitForBackends(ctx context.Context, n int) error {
	for {
		fewest := n
		for _, node := range s.Nodes() {
			fewest = min(fewest, node.BackendCount())
		}
		if fewest >= n {
			return nil
		}
		select {
		case <-ctx.Done():
			return Error.New("a node may send requests to %d backend servers, want %d", fewest, n)
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// StartNode starts node i, which must not be running.
func (s *Site) StartNode(i int) error {
	settings := s.settings[i]
	cfg := node.Config{
		Settings: settings, Seed: s.cfg.Seed + uint64(i), ReplayOnly: s.cfg.ReplayOnly, Manage: s.cfg.Manage,
		Planner: s.cfg.Planner, Now: s.cfg.Now, Election: s.cfg.Election,
		Link:     func(c *link.Config) { c.Dial = s.Links.Dialer(settings.Listen.Peers) },
		Backends: backnd.Config{Dial: s.Links.Dialer(settings.Listen.Peers)},
	}
	if s.cfg.Router != nil {
		cfg.Router = s.cfg.Router(cfg.Seed)
	}
	if s.disks != nil {
		cfg.Disk = s.disks[i]
	}
	n, err := node.Start(cfg)
	if err != nil {
		return Error.Wrap(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes[i] = n
	return nil
}

// StopNode crashes node i or, with drain, performs a planned stop.
func (s *Site) StopNode(ctx context.Context, i int, drain bool) error {
	s.mu.Lock()
	n := s.nodes[i]
	s.mu.Unlock()
	if n == nil {
		return nil
	}
	var err error
	if drain {
		err = n.Drain(ctx)
	}
	events := n.LocalEvents(event.Filter{})
	if drain {
		n.Close()
	} else {
		n.Abort()
		if s.disks != nil {
			s.disks[i].Restart()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes[i] = nil
	s.pastEvents = append(s.pastEvents, events...)
	return err
}

// Wipe deletes the data of node i, which must not be running, as if its disk were
// replaced.
func (s *Site) Wipe(i int) error {
	if s.disks != nil {
		s.disks[i].Wipe()
		return nil
	}
	return Error.Wrap(os.RemoveAll(s.settings[i].DataFolder))
}

// NodeCount returns the number of nodes, running or not.
func (s *Site) NodeCount() int { return len(s.settings) }

// Settings returns the settings of node i.
func (s *Site) Settings(i int) conf.Settings { return s.settings[i] }

// Node returns node i, or nil if it is not running.
func (s *Site) Node(i int) *node.Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodes[i]
}

// Nodes returns the running nodes.
func (s *Site) Nodes() []*node.Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*node.Node
	for _, n := range s.nodes {
		if n != nil {
			out = append(out, n)
		}
	}
	return out
}

// LeaderIndex returns the index of the node that leads the configuration group, or -1.
func (s *Site) LeaderIndex() int {
	for i := range s.settings {
		if n := s.Node(i); n != nil && n.Leads() {
			return i
		}
	}
	return -1
}

// CallerAddrs returns the addresses for callers of the running nodes.
func (s *Site) CallerAddrs() []string {
	var out []string
	for i, settings := range s.settings {
		if s.Node(i) != nil {
			out = append(out, settings.Listen.Callers)
		}
	}
	return out
}

// OperatorClient returns a client of the operator API.
func (s *Site) OperatorClient() *oprcli.Client {
	var addrs []string
	for _, settings := range s.settings {
		if settings.Listen.Operators != "" {
			addrs = append(addrs, settings.Listen.Operators)
		}
	}
	return oprcli.New(addrs, "")
}

// AddEngine starts a model engine that announces itself to the entry nodes in cfg, or
// to all running nodes if cfg has none.
func (s *Site) AddEngine(cfg stand.EngineConfig) (*stand.Engine, error) {
	if len(cfg.Entries) == 0 {
		cfg.Entries = s.CallerAddrs()
	}
	e, err := stand.NewEngine(cfg)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engines = append(s.engines, e)
	return e, nil
}

// AddDesk starts an order desk, a simulated plain server, that announces itself to the
// entry nodes in cfg, or to all running nodes if cfg has none.
func (s *Site) AddDesk(cfg stand.DeskConfig) (*stand.Desk, error) {
	if len(cfg.Entries) == 0 {
		cfg.Entries = s.CallerAddrs()
	}
	d, err := stand.NewDesk(cfg)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.desks = append(s.desks, d)
	return d, nil
}

// Engines returns the engines that were added.
func (s *Site) Engines() []*stand.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*stand.Engine{}, s.engines...)
}

// Timeline returns the merged events of all nodes, including stopped nodes.
func (s *Site) Timeline(f event.Filter) []event.Event {
	s.mu.Lock()
	pastEvents := f.Apply(s.pastEvents)
	s.mu.Unlock()
	lists := [][]event.Event{pastEvents}
	for _, n := range s.Nodes() {
		lists = append(lists, n.LocalEvents(f))
	}
	return event.Merge(lists...)
}

// Close stops all nodes and simulated servers.
func (s *Site) Close() {
	s.mu.Lock()
	engines, desks, nodes := s.engines, s.desks, s.nodes
	s.engines, s.desks, s.nodes = nil, nil, make([]*node.Node, len(s.settings))
	s.mu.Unlock()
	var wg sync.WaitGroup
	for _, e := range engines {
		wg.Go(func() { _ = e.Close() })
	}
	for _, d := range desks {
		wg.Go(func() { _ = d.Close() })
	}
	for _, n := range nodes {
		if n != nil {
			wg.Go(n.Close)
		}
	}
	wg.Wait()
	if s.removeFolder {
		_ = os.RemoveAll(s.folder)
	}
}
