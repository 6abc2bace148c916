// Package member finds the entry instances of a cell from a few seed addresses,
// collects what backend servers announce about themselves and grants this node
// the permission to send them new work.
//
// Safety rests on one rule: a permission ends one lease after the announcement
// that it derives from, whichever way the news took. Every node serves only the
// announcements that it received itself, with their age, and pullers count from
// the time at which they sent their request. A backend server that says that it
// leaves therefore has no permission anywhere one lease later, also when its
// home changes or messages sit in a stalled connection.
package member

import (
	"context"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/link"
	"cranberrypath.example/cranberrypath/internal/member/membpb"
	"cranberrypath.example/cranberrypath/internal/world"
)

// Error is the class of this package's errors.
var Error = errs.Class("member")

const (
	// MaxCell is the most entry instances of one cell. Each node pulls every
	// other one, so that the cost grows with the size of the cell.
	MaxCell = 12

	// defaultPull leaves time for two lost pulls within the lease of 3 s.
	defaultPull = time.Second
	// failedPulls is how many pulls of a peer may fail in a row, from every node
	// of the cell, before the peer counts as failed. One slow link or one lost
	// pull must not move the homes of a tenth of the backend servers.
	failedPulls = 4
	// forgetPeer is how long a failed peer is tried again. It covers a data
	// centre that is cut off for an hour.
	forgetPeer = 2 * time.Hour
	// quietPeer is the time after which a failed peer is tried only each
	// quietPulls-th round.
	quietPeer  = time.Minute
	quietPulls = 10
	// keepMarks is how long the newest state of a silent backend server is
	// remembered, so that older news of it are recognized.
	keepMarks = 10 * time.Minute
	// cacheBytesPerSecond bounds the cache events that a node pulls. At full
	// rate 106 engines produce about ten times as much; what does not fit waits
	// and is dropped with a gap when it gets too old.
	cacheBytesPerSecond = 8 << 10
	// The names of the calls between entry instances.
	pullCall   = "member.pull"
	revokeCall = "member.revoke"
	// driftPart is the part of a lease that clock rates may differ by.
	driftPart = 100
)

// Net is the part of link.Net that this package uses.
type Net interface {
	Call(ctx context.Context, addr, name string, req, resp proto.Message) error
	Handle(name string, h link.Handler)
}

// Config sets up a Member.
type Config struct {
	Node, DataCentre, Cell string
	Address                string // of the peer listener
	Callers                string // address that callers and backend servers use
	Seeds                  []string
	// Incarnation grows with each start of the process.
	Incarnation uint64
	Lease       time.Duration // of a permission to send
	Pull        time.Duration // between two pulls of a peer; 1 s if 0
	Clock       func() time.Time
	// Manual leaves the pulls to Round, for tests and benchmarks.
	Manual bool
}

// Peer is one entry instance of the cell.
type Peer struct {
	Node        string
	DataCentre  string
	Address     string // of its peer listener
	Callers     string // address that callers and backend servers use
	Draining    bool
	Incarnation uint64
	// Serving is whether it takes requests from callers, as it said last.
	Serving bool
	turn    uint64 // number of changes of Serving in the incarnation
}

// Member is this node's membership of its cell. Its methods may be called from
// any goroutine.
type Member struct {
	cfg     Config
	net     Net
	started time.Time

	mu      sync.Mutex
	self    Peer
	peers   map[string]*peer // by node, without this one
	list    peerList
	table   *table
	marks   map[string]mark
	cache   cacheInbox
	permits permitCache
	budget  cacheBudget
	rounds  uint64

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New joins the cell and starts to pull its members, unless the configuration
// says that the caller does that with Round.
func New(cfg Config, net Net) (*Member, error) {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	if cfg.Pull == 0 {
		cfg.Pull = defaultPull
	}
	if cfg.Lease <= 0 {
		return nil, Error.New("lease is %v; want more than 0", cfg.Lease)
	}
	if cfg.Node == "" || cfg.Address == "" {
		return nil, Error.New("node %q at %q; want a name and a peer address", cfg.Node, cfg.Address)
	}
	ctx, cancel := context.WithCancel(context.Background())
	now := cfg.Clock()
	m := &Member{
		cfg: cfg, net: net, started: now, ctx: ctx, cancel: cancel,
		self: Peer{
			Node: cfg.Node, DataCentre: cfg.DataCentre, Address: cfg.Address, Callers: cfg.Callers,
			Incarnation: cfg.Incarnation, Serving: true,
		},
		peers: map[string]*peer{}, table: newTable(), marks: map[string]mark{},
		budget: cacheBudget{at: now},
	}
	m.cache.lost = map[string]bool{}
	net.Handle(pullCall, m.handlePull)
	net.Handle(revokeCall, m.handleRevoke)
	if !cfg.Manual {
		m.wg.Go(m.pullRounds)
	}
	return m, nil
}

// pullRounds starts a round at each interval until Close.
func (m *Member) pullRounds() {
	t := time.NewTicker(m.cfg.Pull)
	defer t.Stop()
	for {
		m.startRound()
		select {
		case <-t.C:
		case <-m.ctx.Done():
			return
		}
	}
}

// Close stops the pulls. It tells nobody; Leave does.
func (m *Member) Close() {
	m.mu.Lock()
	m.cancel() // under mu, so that nothing is started after it
	m.mu.Unlock()
	m.wg.Wait()
}

// SetServing says whether this node takes requests from callers. A node that
// does not is left out of the directory, but stays a home of backend servers.
func (m *Member) SetServing(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.self.Serving == on {
		return
	}
	m.self.Serving = on
	m.self.turn++
	m.list.changed()
}

// Leave marks this node as draining and returns when every live peer knows, or
// when ctx ends. Backend servers are sent to other homes from then on, and the
// directories of the cell leave this node out. The node keeps answering pulls
// until Close, so that no permission is lost meanwhile. The error names the
// peers that could not be told; they learn it from others or from the failure
// of this node.
func (m *Member) Leave(ctx context.Context) error {
	m.mu.Lock()
	m.self.Draining = true
	m.list.changed()
	for _, p := range m.peers {
		p.told = false
	}
	msg := &membpb.Revoke{Cell: m.cfg.Cell, Leaving: peerToWire(m.self)}
	m.mu.Unlock()
	return m.spread(ctx, msg)
}

// spread sends msg to every live peer at once.
func (m *Member) spread(ctx context.Context, msg *membpb.Revoke) error {
	now := m.cfg.Clock()
	var mu sync.Mutex
	var failed errs.Group
	var wg sync.WaitGroup
	for _, p := range m.Peers(now) {
		wg.Go(func() {
			err := m.net.Call(ctx, p.Address, revokeCall, msg, &membpb.RevokeResponse{})
			if err == nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			failed.Add(Error.New("tell %s: %v", p.Node, err))
		})
	}
	wg.Wait()
	return failed.Err()
}

func (m *Member) handleRevoke(_ context.Context, _ link.Peer, body []byte) (proto.Message, error) {
	var msg membpb.Revoke
	if err := proto.Unmarshal(body, &msg); err != nil {
		return nil, Error.Wrap(err)
	}
	if msg.Cell != m.cfg.Cell {
		return nil, &link.RemoteError{Code: "otherCell", Message: m.cfg.Cell}
	}
	now := m.cfg.Clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	if msg.Id != "" && world.State(msg.State) != world.Ready {
		m.mark(msg.Id, mark{order{msg.Incarnation, msg.Seq}, world.State(msg.State), now})
	}
	if msg.Leaving != nil {
		m.learn(peerFromWire(msg.Leaving), time.Time{}, now)
	}
	return &membpb.RevokeResponse{}, nil
}
