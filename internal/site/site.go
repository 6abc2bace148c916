// Package site runs a whole deployment in one process on loopback: entry and
// control nodes with real listeners, and simulators of backend servers. The
// demonstration, the experiments and the tests of failures share it.
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

// readyTimeout bounds the start of a deployment.
const readyTimeout = 20 * time.Second

// Config sets up a Site.
type Config struct {
	Seed        uint64
	DataCentres []string // at least one
	// EntriesPer is the number of entry nodes in each data centre.
	EntriesPer int
	// Controls is the number of control nodes; they are the first entry nodes,
	// spread over the data centres.
	Controls int
	// Folder holds the control nodes' data; a temporary one if empty.
	Folder string
	// FakeDisks gives each node a disk in memory, on which a crash loses what was
	// not synced. Other work on the machine cannot delay its syncs.
	FakeDisks bool
	// Election is the shortest election timeout of control members; zero means the
	// default. Under the race detector and beside other tests a member may get no
	// processor time for longer than that.
	Election     time.Duration
	Declaration  decl.Declaration
	DrainSeconds int
	CheckFencing bool
	Platform     conf.Platform
	Manage       manage.Timing // intervals of the controllers
	// Settings changes the settings of each node before it starts; it may be nil.
	Settings func(*conf.Settings)
	// Router returns a new router for a node; nil for the usual one.
	Router     func(seed uint64) entry.Router
	ReplayOnly bool // see entry.Config
	// Now is the clock of all nodes; time.Now if nil.
	Now func() time.Time
	// LinkDelay is the one-way delay of links between data centres.
	LinkDelay time.Duration
	// Planner replaces the planner of version moves; see manage.Config.
	Planner func(decl.MovePolicy) manage.Planner
}

// Site is a running deployment.
type Site struct {
	cfg    Config
	Links  *faults.Links // of the connections between the nodes
	folder string
	remove bool

	mu       sync.Mutex
	nodes    []*node.Node // nil while stopped
	settings []conf.Settings
	disks    []*disk.Fake // by node; nil unless FakeDisks
	engines  []*stand.Engine
	desks    []*stand.Desk
	past     []event.Event // of nodes that have stopped
}

// startTries is how often a start is tried whose ports another process took
// between their choice and their use.
const startTries = 5

// Start starts the nodes and applies the declaration. Call Close afterwards.
func Start(ctx context.Context, cfg Config) (*Site, error) {
	for try := 1; ; try++ {
		s, err := startOnce(ctx, cfg)
		if err == nil || try == startTries || !errors.Is(err, syscall.EADDRINUSE) {
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
		s.folder, s.remove = dir, true
	}
	if err := s.plan(); err != nil {
		s.Close()
		return nil, err
	}
	if cfg.LinkDelay > 0 {
		s.Links.SetLatency(s.delay)
	}
	for i := range s.settings {
		if err := s.StartNode(i); err != nil {
			s.Close()
			return nil, err
		}
	}
	if err := s.apply(ctx); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// plan chooses the addresses and settings of all nodes.
func (s *Site) plan() error {
	n := len(s.cfg.DataCentres) * s.cfg.EntriesPer
	addrs, err := freeAddresses(3 * n)
	if err != nil {
		return err
	}
	var control []conf.ControlMember
	for i := range n {
		dc := s.cfg.DataCentres[i%len(s.cfg.DataCentres)]
		set := conf.Default()
		set.Node = fmt.Sprintf("%s-%d", dc, i/len(s.cfg.DataCentres)+1)
		set.DataCentre, set.Region, set.Zone = dc, "region", dc+"-a"
		set.Roles = []string{"entry"}
		set.Listen = conf.Listen{Callers: addrs[3*i], Peers: addrs[3*i+1]}
		set.Backends.CheckFencing = s.cfg.CheckFencing
		set.Platform = s.cfg.Platform
		if s.cfg.DrainSeconds > 0 {
			set.DrainSeconds = s.cfg.DrainSeconds
		}
		if i < s.cfg.Controls {
			set.Roles = append(set.Roles, "control")
			set.Listen.Operators = addrs[3*i+2]
			set.DataFolder = filepath.Join(s.folder, set.Node)
			control = append(control, conf.ControlMember{Node: set.Node, Address: set.Listen.Peers, DataCentre: dc})
		}
		s.settings = append(s.settings, set)
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

// Ports of the nodes. They lie below the range from which systems take the
// ports of outgoing connections, so that the port of a stopped node stays free.
const (
	firstPort = 12_000
	lastPort  = 32_000
)

// taken are the ports given to the deployments of this process.
var taken sync.Map

// freeAddresses returns loopback addresses that were free a moment ago.
func freeAddresses(n int) ([]string, error) {
	var out []string
	for range 100 * n {
		if len(out) == n {
			return out, nil
		}
		port := firstPort + rand.IntN(lastPort-firstPort)
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		_ = l.Close()
		if _, used := taken.LoadOrStore(port, true); !used {
			out = append(out, addr)
		}
	}
	return nil, Error.New("only %d of %d ports between %d and %d are free", len(out), n, firstPort, lastPort)
}

// apply puts the declaration in force at every node.
func (s *Site) apply(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	c := s.Operator()
	defer c.Close()
	var err error
	id := oprcli.NewCommandID()
	for ctx.Err() == nil {
		var r oprcli.Result
		if r, err = c.Apply(ctx, id, 0, "declaration", s.cfg.Declaration.JSON()); err == nil {
			return s.WaitInForce(ctx, r.Version)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return Error.New("the declaration could not be applied: %v", err)
}

// WaitInForce returns when every running node has confirmed a configuration at
// least as new as version.
func (s *Site) WaitInForce(ctx context.Context, version uint64) error {
	for {
		waiting := ""
		for _, n := range s.Nodes() {
			if v, ok := n.Current(); !ok || v < version {
				waiting = fmt.Sprintf("has version %d (confirmed: %v)", v, ok)
			}
		}
		if waiting == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return Error.New("a node %s, not %d", waiting, version)
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// WaitBackends returns when every running node may send work to at least n
// backend servers.
func (s *Site) WaitBackends(ctx context.Context, n int) error {
	for {
		least := n
		for _, node := range s.Nodes() {
			least = min(least, node.Backends())
		}
		if least >= n {
			return nil
		}
		select {
		case <-ctx.Done():
			return Error.New("a node may send to %d backend servers, not %d", least, n)
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// StartNode starts node i, which must not run.
func (s *Site) StartNode(i int) error {
	set := s.settings[i]
	cfg := node.Config{
		Settings: set, Seed: s.cfg.Seed + uint64(i), ReplayOnly: s.cfg.ReplayOnly, Manage: s.cfg.Manage,
		Planner: s.cfg.Planner, Now: s.cfg.Now, Election: s.cfg.Election,
		Link:     func(c *link.Config) { c.Dial = s.Links.Dialer(set.Listen.Peers) },
		Backends: backnd.Config{Dial: s.Links.Dialer(set.Listen.Peers)},
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

// StopNode stops node i at once, as a crash would; with drain it is a planned stop.
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
	past := n.Recorded(event.Filter{})
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
	s.past = append(s.past, past...)
	return err
}

// Wipe removes the data of node i, which must not run, as replacing its disk does.
func (s *Site) Wipe(i int) error {
	if s.disks != nil {
		s.disks[i].Wipe()
		return nil
	}
	return Error.Wrap(os.RemoveAll(s.settings[i].DataFolder))
}

// Size returns the number of nodes, running or not.
func (s *Site) Size() int { return len(s.settings) }

// Settings returns the settings of node i.
func (s *Site) Settings(i int) conf.Settings { return s.settings[i] }

// Node returns node i, or nil if it does not run.
func (s *Site) Node(i int) *node.Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodes[i]
}

// Nodes returns the nodes that run.
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

// Leader returns the number of the node that leads the configuration group, or -1.
func (s *Site) Leader() int {
	for i := range s.settings {
		if n := s.Node(i); n != nil && n.Leads() {
			return i
		}
	}
	return -1
}

// Callers returns the callers' addresses of the nodes that run.
func (s *Site) Callers() []string {
	var out []string
	for i, set := range s.settings {
		if s.Node(i) != nil {
			out = append(out, set.Listen.Callers)
		}
	}
	return out
}

// Operator returns a client of the operators' interface.
func (s *Site) Operator() *oprcli.Client {
	var addrs []string
	for _, set := range s.settings {
		if set.Listen.Operators != "" {
			addrs = append(addrs, set.Listen.Operators)
		}
	}
	return oprcli.New(addrs, "")
}

// AddEngine starts a model engine that announces itself to the site, or to the
// entry nodes in cfg if there are any.
func (s *Site) AddEngine(cfg stand.EngineConfig) (*stand.Engine, error) {
	if len(cfg.Entries) == 0 {
		cfg.Entries = s.Callers()
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

// AddDesk starts an order desk that announces itself to the site, or to the
// entry nodes in cfg if there are any.
func (s *Site) AddDesk(cfg stand.DeskConfig) (*stand.Desk, error) {
	if len(cfg.Entries) == 0 {
		cfg.Entries = s.Callers()
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

// Timeline returns the events of all nodes, stopped ones included, in one order.
func (s *Site) Timeline(f event.Filter) []event.Event {
	s.mu.Lock()
	past := f.Apply(s.past)
	s.mu.Unlock()
	lists := [][]event.Event{past}
	for _, n := range s.Nodes() {
		lists = append(lists, n.Recorded(f))
	}
	return event.Merge(lists...)
}

// Close stops everything.
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
	if s.remove {
		_ = os.RemoveAll(s.folder)
	}
}
