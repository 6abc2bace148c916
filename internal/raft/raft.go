// Package raft replicates the log of one group of control members, so that a
// command that was acknowledged survives the loss of any minority. Reads are
// linearizable through a leader lease.
//
// Two locks order everything: io is held while durable state changes, so that
// the files change in the order of the decisions, and mu guards the memory. A
// holder of io may take mu, not the other way round, and mu is free while the log
// syncs, so that proposals queue up behind one sync and share the next.
package raft

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"cranberrypath.example/cranberrypath/internal/disk"
	"cranberrypath.example/cranberrypath/internal/raft/raftpb"
	"cranberrypath.example/cranberrypath/internal/walog"
)

// Error is the class of this package's errors.
var Error = errs.Class("raft")

// Errors that callers distinguish with errors.Is.
var (
	// ErrUnknown means that the command may or may not take effect.
	ErrUnknown = errs.New("raft: outcome unknown")
	// ErrStopped means that this member has stopped; the command has no effect.
	ErrStopped = errs.New("raft: member stopped")
	// ErrBusy means that too much is waiting; the command has no effect.
	ErrBusy = errs.New("raft: too many proposals waiting")
)

// NotLeader means that this member can't answer and nothing took effect.
type NotLeader struct {
	Leader string // may be empty
}

func (e *NotLeader) Error() string {
	return "raft: not the leader; the leader is " + strconv.Quote(e.Leader)
}

const (
	// defaultHeartbeat is the interval of the design page.
	defaultHeartbeat = 100 * time.Millisecond
	// defaultElection is the shortest time without a leader after which a member
	// stands for election, three heartbeats. At 400 ms the slowest of 10
	// replacements of a leader took 1,061 ms; the design page allows 1 s.
	defaultElection = 300 * time.Millisecond
	// maxBatchBytes bounds one append, on the wire and in the log.
	maxBatchBytes = 1 << 20
	// maxCommandBytes bounds one command.
	maxCommandBytes = 1 << 20
	// maxQueueBytes bounds the proposals that wait for the log.
	maxQueueBytes = 16 << 20
	// maxQueue bounds their number.
	maxQueue = 16384
	// defaultSnapshotBytes of commands are applied between snapshots, or as many
	// as the last snapshot had if that is more, so that writing snapshots at most
	// doubles what is written.
	defaultSnapshotBytes = 8 << 20
	// maxStall is how long a leader waits for its own disk before it steps down;
	// with heartbeats that need no disk it would lead for ever without progress.
	maxStall = 3 * time.Second
	// maxUpkeep is how much work on files may wait: a segment to create and the
	// removals of a few snapshots.
	maxUpkeep = 8
)

// Machine is the replicated state machine. Apply must be deterministic. Calls
// come from one goroutine, in the order of the log.
type Machine interface {
	Apply(index uint64, cmd []byte) []byte
	Snapshot() ([]byte, error)
	Restore(b []byte) error
}

// Transport carries a request to the member called to and returns its response.
type Transport interface {
	Call(ctx context.Context, to string, req *raftpb.Message) (*raftpb.Message, error)
}

// Config sets up a Group.
type Config struct {
	Group uint32 // number of the group, carried by each message
	ID    string // of this member; its node name
	// Members are the voters at the group's first start. All of them must be
	// reachable until the first leader is elected; after that the list is ignored.
	// A member that joins later may leave it empty.
	Members   []string
	FS        disk.FS
	Dir       string
	Machine   Machine
	Transport Transport
	// Clock must give times with a monotonic reading, as time.Now does: leases
	// would not be exclusive on a clock that is set.
	Clock     func() time.Time
	Seed      uint64        // of the election timeouts
	Heartbeat time.Duration // 0 means 100 ms
	Election  time.Duration // shortest election timeout; 0 means 300 ms
	// SnapshotBytes of commands between snapshots; 0 means 8 MiB.
	SnapshotBytes int
	// SegmentBytes of the log's files; 0 means the default of walog.
	SegmentBytes int
	// Spread is how long a leader leads before it passes the leadership to the
	// preferred member: the voter at position group number modulo voters, in the
	// order of the ids. 0 means that it never does.
	Spread time.Duration
	// Failed is called once if the member stops because of its disk or its machine.
	Failed func(error)
}

func (c Config) withDefaults() Config {
	if c.Heartbeat == 0 {
		c.Heartbeat = defaultHeartbeat
	}
	if c.Election == 0 {
		c.Election = defaultElection
	}
	if c.SnapshotBytes == 0 {
		c.SnapshotBytes = defaultSnapshotBytes
	}
	if c.Clock == nil {
		c.Clock = time.Now
	}
	if c.Failed == nil {
		c.Failed = func(error) {}
	}
	return c
}

// Role of a member.
type Role uint8

// The roles of a member.
const (
	Follower Role = iota
	Candidate
	Leader
)

// String returns the usual name.
func (r Role) String() string { return [...]string{"follower", "candidate", "leader"}[r] }

// Group is one member of one replicated group.
type Group struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	io  sync.Mutex // see the package comment
	log *walog.Log // guarded by io

	votes     *walog.Log // guarded by io; of raftpb.State, the last counts
	voteIndex uint64

	mu       sync.Mutex
	changed  chan struct{}     // closed and replaced when a waiter's condition may hold
	wake     chan struct{}     // the queue has proposals
	ready    chan struct{}     // the apply loop has work
	upkeep   chan func() error // work on files that needs no lock, in order
	standNow chan uint64       // the leader of this term asks this member to stand
	rng      *rand.Rand
	err      error // why the member stopped

	state    *raftpb.State // as on disk; replaced, never modified
	role     Role
	leader   string
	heard    time.Time // last message of the current leader, or start
	electAt  time.Time // when to stand for election
	met      bool      // since its start this member heard from a leader, voted or led
	stranger bool      // the group knows this member under another incarnation

	base     uint64 // the entry before entries[0]
	baseTerm uint64
	entries  []*raftpb.Entry
	stable   uint64 // last entry that is durable here
	commit   uint64
	applied  uint64
	history  []membersAt // membership changes in the snapshot and the log

	snapIndex uint64
	snapBytes int // size of the last snapshot
	sinceSnap int // bytes of commands applied since
	snapping  bool
	restore   *raftpb.Snapshot
	incoming  incoming

	target   string    // whom the leadership is being passed to; the queue waits meanwhile
	passing  bool      // a transfer started by the tick is under way
	passedAt time.Time // when the last such transfer began
	leaving  bool      // this member is about to stop

	queue      []*proposal
	queueBytes int
	waiters    map[uint64]*proposal
	peers      map[string]*peer
	termStart  uint64    // the leader's first entry
	electedAt  time.Time // of this leader
	writing    time.Time // when the write under way began; zero without one
	lead       context.Context
	resign     context.CancelFunc
}

// Open starts the member with the state in cfg.Dir. Damaged or partly missing
// state is an error: such a member must be wiped and added again.
func Open(cfg Config) (*Group, error) {
	cfg = cfg.withDefaults()
	g := &Group{
		cfg: cfg, changed: make(chan struct{}), wake: make(chan struct{}, 1), ready: make(chan struct{}, 1),
		standNow: make(chan uint64, 1), upkeep: make(chan func() error, maxUpkeep),
		rng: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Group))), waiters: map[uint64]*proposal{},
	}
	if err := g.load(); err != nil {
		return nil, err
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	now := cfg.Clock()
	g.delayElection(now)
	forming := g.forming() // read before tick may elect this member and add to it
	g.wg.Go(g.tick)
	g.wg.Go(g.write)
	g.wg.Go(g.apply)
	g.wg.Go(g.keep)
	if !forming {
		g.wg.Go(g.early)
	}
	return g, nil
}

// last returns the index of the last entry.
func (g *Group) last() uint64 { return g.base + uint64(len(g.entries)) }

// keep does the work on files that needs no lock, so that proposals do not wait
// for directory syncs.
func (g *Group) keep() {
	for {
		select {
		case <-g.ctx.Done():
			return
		case f := <-g.upkeep:
			if err := f(); err != nil {
				g.mu.Lock()
				g.fail(Error.Wrap(err))
				g.mu.Unlock()
			}
		}
	}
}

// later passes work to keep. The caller holds io.
func (g *Group) later(f func() error) {
	select {
	case g.upkeep <- f:
	case <-g.ctx.Done():
	}
}

// termAt returns the term of an entry, or 0 if it is not in the log.
func (g *Group) termAt(index uint64) uint64 {
	switch {
	case index == g.base:
		return g.baseTerm
	case index < g.base || index > g.last():
		return 0
	}
	return g.entries[index-g.base-1].Term
}

// broadcast wakes everyone who waits for a condition. The caller holds mu.
func (g *Group) broadcast() {
	close(g.changed)
	g.changed = make(chan struct{})
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// fail stops the member for good. The caller holds mu.
func (g *Group) fail(err error) {
	if g.err != nil {
		return
	}
	g.err = err
	g.follow("")
	g.cancel()
	g.broadcast()
	go g.cfg.Failed(err)
}

// Close stops the member and waits for its goroutines.
func (g *Group) Close() error {
	g.mu.Lock()
	if g.err == nil {
		g.err = ErrStopped
		g.follow("")
		g.broadcast()
	}
	g.mu.Unlock()
	g.cancel()
	g.wg.Wait()
	g.io.Lock()
	defer g.io.Unlock()
	return Error.Wrap(errors.Join(g.log.Close(), g.votes.Close()))
}
