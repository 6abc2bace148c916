// Package member implements the membership of a cell. It discovers the entry instances
// of the cell from a few seed addresses, collects the announcements of backend servers,
// and grants this instance permits to send new work to them.
//
// Safety depends on one invariant: a permit expires one lease after the announcement
// that it is based on was sent, no matter how the announcement was propagated. An
// instance passes on only announcements that it received itself, together with their
// age, and a puller subtracts that age from the time at which it sent its request. One
// lease after a backend server announces that it is leaving, no instance holds a permit
// for it, even if its primary instance has changed or messages were delayed in a
// stalled connection.
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
	// MaxCellSize is the maximum number of entry instances in a cell. Each instance
	// pulls from every other one, so the cost per instance grows with the cell size.
	MaxCellSize = 12

	// defaultPullInterval allows for two lost pulls within the lease of 3 s.
	defaultPullInterval = time.Second
	// maxFailedPulls is the number of consecutive pulls that may fail, from all
	// instances of the cell, before a peer is considered failed. A single slow link or
	// lost pull must not move a tenth of the backend servers to other primary instances.
	maxFailedPulls = 4
	// peerRetention is how long a failed peer is retried. It covers a data centre that
	// is partitioned for an hour.
	peerRetention = 2 * time.Hour
	// silentPeerAfter is the time without contact after which a peer is pulled only in
	// every silentPeerPullRounds-th round.
	silentPeerAfter      = time.Minute
	silentPeerPullRounds = 10
	// latestStateRetention is how long the latest state of a silent backend server is
	// kept, to detect outdated announcements.
	latestStateRetention = 10 * time.Minute
	// cacheBytesPerSecond limits the cache events that an instance pulls. At full load,
	// 106 backend servers produce about ten times as much. Excess events are delayed,
	// and the oldest ones are dropped and reported as a gap.
	cacheBytesPerSecond = 8 << 10
	// The names of the RPCs between entry instances.
	pullRPC   = "member.pull"
	revokeRPC = "member.revoke"
	// clockDriftDivisor is the tolerated clock drift: 1/100 of a duration.
	clockDriftDivisor = 100
)

// Net is the part of link.Transport that this package uses.
type Net interface {
	Call(ctx context.Context, addr, name string, req, resp proto.Message) error
	Handle(name string, h link.Handler)
}

// Config is the configuration of a Member.
type Config struct {
	Instance, DataCentre, Cell string
	Address                    string // of the peer listener
	CallerAddress              string // address that callers and backend servers use
	Seeds                      []string
	// Incarnation increases with each start of the process.
	Incarnation  uint64
	Capacity     float32       // what the machine can carry, relative to others; 0 if unknown
	Lease        time.Duration // lifetime of a permit
	PullInterval time.Duration // between two pulls from a peer; 0 means 1 s
	Clock        func() time.Time
	// ManualPulls disables the periodic pulls, so that tests and benchmarks can call
	// PullOnce.
	ManualPulls bool
}

// Peer is an entry instance of the cell.
type Peer struct {
	Instance      string
	DataCentre    string
	Address       string // of its peer listener
	CallerAddress string // address that callers and backend servers use
	Draining      bool
	Incarnation   uint64
	Capacity      float32 // what it can carry, relative to other instances; 0 if unknown
	// Serving is set if the instance accepts requests from callers, by its last report.
	Serving    bool
	servingSeq uint64 // number of changes of Serving in this incarnation
}

// Member is this instance's membership in its cell. Its methods are safe for
// concurrent use.
type Member struct {
	cfg     Config
	net     Net
	started time.Time

	mu           sync.Mutex
	self         Peer
	peers        map[string]*peer // by instance name, without this instance
	peerList     peerList
	table        *localTable
	latestStates map[string]latestState
	cacheUpdates cacheUpdateQueue
	permitCache  permitCache
	cacheBudget  cacheBudget
	roundCount   uint64

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New joins the cell. It starts the periodic pulls unless Config.ManualPulls is set.
func New(cfg Config, net Net) (*Member, error) {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	if cfg.PullInterval == 0 {
		cfg.PullInterval = defaultPullInterval
	}
	if cfg.Lease <= 0 {
		return nil, Error.New("lease is %v; want more than 0", cfg.Lease)
	}
	if cfg.Instance == "" || cfg.Address == "" {
		return nil, Error.New("node %q at %q; want a name and a peer address", cfg.Instance, cfg.Address)
	}
	ctx, cancel := context.WithCancel(context.Background())
	now := cfg.Clock()
	m := &Member{
		cfg: cfg, net: net, started: now, ctx: ctx, cancel: cancel,
		self: Peer{
			Instance: cfg.Instance, DataCentre: cfg.DataCentre, Address: cfg.Address, CallerAddress: cfg.CallerAddress,
			Incarnation: cfg.Incarnation, Serving: true, Capacity: cfg.Capacity,
		},
		peers: map[string]*peer{}, table: newLocalTable(), latestStates: map[string]latestState{},
		cacheBudget: cacheBudget{refilledAt: now},
	}
	m.cacheUpdates.lost = map[string]bool{}
	net.Handle(pullRPC, m.handlePull)
	net.Handle(revokeRPC, m.handleRevoke)
	if !cfg.ManualPulls {
		m.wg.Go(m.pullLoop)
	}
	return m, nil
}

// pullLoop starts a round of pulls at each interval until Close.
func (m *Member) pullLoop() {
	t := time.NewTicker(m.cfg.PullInterval)
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

// Close stops the pulls without notifying the peers; see Leave.
func (m *Member) Close() {
	m.mu.Lock()
	m.cancel() // under mu, so that no goroutine is started after Close
	m.mu.Unlock()
	m.wg.Wait()
}

// SetServing sets whether this instance accepts requests from callers. If it does not,
// directories leave it out, but backend servers continue to announce to it.
func (m *Member) SetServing(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.self.Serving == on {
		return
	}
	m.self.Serving = on
	m.self.servingSeq++
	m.peerList.increment()
}

// Leave marks this instance as draining and notifies every live peer. It returns when
// all peers have answered or ctx ends. From then on, backend servers are redirected to
// other primary instances, and the directories of the cell leave this instance out. The
// instance answers pulls until Close, so that no permit is lost. The error lists the
// peers that could not be notified; they learn of it from other peers or when this
// instance stops responding.
func (m *Member) Leave(ctx context.Context) error {
	m.mu.Lock()
	m.self.Draining = true
	m.peerList.increment()
	for _, p := range m.peers {
		p.knowsCurrentSelf = false
	}
	msg := &membpb.Revoke{Cell: m.cfg.Cell, Leaving: peerToWire(m.self)}
	m.mu.Unlock()
	return m.broadcast(ctx, msg)
}

// broadcast sends msg to all live peers concurrently.
func (m *Member) broadcast(ctx context.Context, msg *membpb.Revoke) error {
	now := m.cfg.Clock()
	var mu sync.Mutex
	var failed errs.Group
	var wg sync.WaitGroup
	for _, p := range m.Peers(now) {
		wg.Go(func() {
			err := m.net.Call(ctx, p.Address, revokeRPC, msg, &membpb.RevokeResponse{})
			if err == nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			failed.Add(Error.New("cannot notify %s: %v", p.Instance, err))
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
		m.recordState(msg.Id, latestState{stateVersion{msg.Incarnation, msg.Seq}, world.State(msg.State), now})
	}
	if msg.Leaving != nil {
		m.mergePeer(peerFromWire(msg.Leaving), time.Time{}, now)
	}
	return &membpb.RevokeResponse{}, nil
}
