// Package raft implements the Raft consensus algorithm for a group of control
// members, so that an acknowledged command survives the loss of any minority.
// Reads are linearizable through a leader lease.
//
// There are two locks. diskMu is held while durable state changes, so that files
// are written in the order of the decisions. mu guards the state in memory. A
// holder of diskMu may take mu, but not the other way round. mu is not held while
// the log syncs, so that proposals queue up during one sync and share the next.
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
	// ErrUnknown means that the command may or may not be applied.
	ErrUnknown = errs.New("raft: outcome unknown")
	// ErrStopped means that this member has stopped; the command was not appended.
	ErrStopped = errs.New("raft: member stopped")
	// ErrBusy means that the proposal queue is full; the command was not appended.
	ErrBusy = errs.New("raft: too many proposals waiting")
)

// NotLeaderError means that this member is not the leader, or can't get a read index from
// the leader. A proposed command was not appended.
type NotLeaderError struct {
	Leader string // may be empty
}

func (e *NotLeaderError) Error() string {
	return "raft: not the leader; the leader is " + strconv.Quote(e.Leader)
}

const (
	defaultHeartbeatInterval = 100 * time.Millisecond
	// defaultElectionTimeout is the shortest time without a leader after which a
	// member starts an election: three heartbeats. At 400 ms the slowest of 10
	// failovers took 1,061 ms; the limit is 1 s.
	defaultElectionTimeout = 300 * time.Millisecond
	// maxBatchBytes limits one append, on the wire and in the log.
	maxBatchBytes = 1 << 20
	// MaxCommandBytes limits the size of one command.
	MaxCommandBytes = 1 << 20
	// maxQueueBytes limits the total size of queued proposals.
	maxQueueBytes = 16 << 20
	// maxQueueLength limits the number of queued proposals.
	maxQueueLength = 16384
	// defaultSnapshotBytes is the size of the commands applied between two
	// snapshots. If the last snapshot is larger, its size is used instead, so that
	// snapshots at most double the bytes written.
	defaultSnapshotBytes = 8 << 20
	// maxWriteStall is how long a leader waits for its own disk before it steps
	// down. Heartbeats need no disk, so otherwise it would stay the leader forever
	// without committing anything.
	maxWriteStall = 3 * time.Second
	// maxFileTasks limits the queued file tasks: the creation of a segment and the
	// truncations after a few snapshots.
	maxFileTasks = 8
)

// StateMachine is the replicated state machine. Apply must be deterministic. All
// methods are called from one goroutine, in log order.
type StateMachine interface {
	Apply(index uint64, cmd []byte) []byte
	Snapshot() ([]byte, error)
	Restore(b []byte) error
}

// Transport sends a request to the member with the ID to and returns its response.
type Transport interface {
	Call(ctx context.Context, to string, req *raftpb.Message) (*raftpb.Message, error)
}

// Config configures a Group.
type Config struct {
	Group uint32 // number of the group, sent in each message
	ID    string // node name of this member
	// Members are the voters at the group's first start. All of them must be
	// reachable until the first leader is elected; after that the list is ignored.
	// Members that join later may leave the list empty.
	Members      []string
	FS           disk.FS
	Dir          string
	StateMachine StateMachine
	Transport    Transport
	// Clock must return times with a monotonic reading, as time.Now does. Otherwise
	// leases could overlap when the wall clock is set.
	Clock             func() time.Time
	Seed              uint64        // seed of the random election timeouts
	HeartbeatInterval time.Duration // interval of heartbeats; 0 means 100 ms
	ElectionTimeout   time.Duration // shortest election timeout; 0 means 300 ms
	// SnapshotBytes is the size of the commands applied between snapshots; 0 means
	// 8 MiB.
	SnapshotBytes int
	// SegmentBytes is the size of the log's segment files; 0 means the default of
	// package walog.
	SegmentBytes int
	// LeaderRebalanceDelay is how long a leader waits before it transfers leadership to the
	// preferred member, so that the leaders of many groups are spread over the
	// members. Of the voters sorted by ID, the preferred member is the one at
	// position Group modulo their number. 0 disables the transfers.
	LeaderRebalanceDelay time.Duration
	// OnFailure is called once if the member stops because of an error of its disk or
	// state machine.
	OnFailure func(error)
}

func (c Config) withDefaults() Config {
	if c.HeartbeatInterval == 0 {
		c.HeartbeatInterval = defaultHeartbeatInterval
	}
	if c.ElectionTimeout == 0 {
		c.ElectionTimeout = defaultElectionTimeout
	}
	if c.SnapshotBytes == 0 {
		c.SnapshotBytes = defaultSnapshotBytes
	}
	if c.Clock == nil {
		c.Clock = time.Now
	}
	if c.OnFailure == nil {
		c.OnFailure = func(error) {}
	}
	return c
}

// Role is the role of a member in the current term.
type Role uint8

// The roles of a member.
const (
	Follower Role = iota
	Candidate
	Leader
)

// String returns the name of the role in lower case.
func (r Role) String() string { return [...]string{"follower", "candidate", "leader"}[r] }

// Group is this process's member of one replicated group.
type Group struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	diskMu sync.Mutex // see the package comment
	log    *walog.Log // guarded by diskMu

	stateLog   *walog.Log // guarded by diskMu; records of raftpb.State, of which the last is current
	stateIndex uint64

	mu               sync.Mutex
	changed          chan struct{}     // closed and replaced by broadcast
	writeSignal      chan struct{}     // wakes the writer: the queue has proposals
	applySignal      chan struct{}     // wakes the applier: entries are committed or a snapshot is installed
	fileTasks        chan func() error // file operations that need no lock, in order
	transferRequests chan uint64       // terms whose leader asked this member to take over
	rng              *rand.Rand
	err              error // why the member stopped; nil while it runs

	state               *raftpb.State // as on disk; replaced, never modified
	role                Role
	leader              string
	lastLeaderContact   time.Time // last message of the current leader, or the start after a restart
	electionDeadline    time.Time // when to start an election
	participated        bool      // this member heard from a leader, voted or campaigned since its start
	incarnationMismatch bool      // the group has another incarnation of this member

	base        uint64 // index of the entry before entries[0]
	baseTerm    uint64
	entries     []*raftpb.Entry
	stable      uint64 // index of the last entry on this member's disk
	commit      uint64
	applied     uint64
	memberships []membership // memberships in the snapshot and the log, by index

	snapshotIndex      uint64
	lastSnapshotBytes  int // size of the last snapshot
	bytesSinceSnapshot int // size of the commands applied since the last snapshot
	writingSnapshot    bool
	pendingRestore     *raftpb.Snapshot
	incomingSnapshot   partialSnapshot

	lastElection Election

	transferTarget string    // voter to receive leadership; the queue waits until the transfer ends
	transferring   bool      // a transfer started by runTimers is in progress
	lastTransferAt time.Time // when runTimers last started a transfer
	shuttingDown   bool      // this member is about to stop

	queue          []*proposal
	queueBytes     int
	waiters        map[uint64]*proposal
	peers          map[string]*peer
	termStartIndex uint64    // index of the leader's first entry in its term
	electedAt      time.Time // when this member became the leader
	writeStarted   time.Time // when the write in progress began; zero if there is none
	leaderCtx      context.Context
	cancelLeader   context.CancelFunc
}

// Open starts the member with the state in cfg.Dir. It returns an error of class
// walog.Corrupt if the state is damaged or partly missing: such a member must be wiped
// and added again.
func Open(cfg Config) (*Group, error) {
	cfg = cfg.withDefaults()
	g := &Group{
		cfg: cfg, changed: make(chan struct{}), writeSignal: make(chan struct{}, 1), applySignal: make(chan struct{}, 1),
		transferRequests: make(chan uint64, 1), fileTasks: make(chan func() error, maxFileTasks),
		rng: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Group))), waiters: map[uint64]*proposal{},
	}
	if err := g.load(); err != nil {
		return nil, err
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	now := cfg.Clock()
	g.resetElectionTimer(now)
	bootstrapping := g.bootstrapping() // read before runTimers may elect this member and end the bootstrap
	g.wg.Go(g.runTimers)
	g.wg.Go(g.runWriter)
	g.wg.Go(g.runApplier)
	g.wg.Go(g.runFileTasks)
	if !bootstrapping {
		g.wg.Go(g.electAfterRestart)
	}
	return g, nil
}

// lastIndex returns the index of the last entry.
func (g *Group) lastIndex() uint64 { return g.base + uint64(len(g.entries)) }

// runFileTasks runs file operations that need no lock in the background, so that
// proposals do not wait for directory syncs.
func (g *Group) runFileTasks() {
	for {
		select {
		case <-g.ctx.Done():
			return
		case task := <-g.fileTasks:
			if err := task(); err != nil {
				g.mu.Lock()
				g.fail(Error.Wrap(err))
				g.mu.Unlock()
			}
		}
	}
}

// queueFileTask queues a task for runFileTasks. The caller holds diskMu.
func (g *Group) queueFileTask(task func() error) {
	select {
	case g.fileTasks <- task:
	case <-g.ctx.Done():
	}
}

// termAt returns the term of the entry at index, or 0 if it is not in the log.
func (g *Group) termAt(index uint64) uint64 {
	switch {
	case index == g.base:
		return g.baseTerm
	case index < g.base || index > g.lastIndex():
		return 0
	}
	return g.entries[index-g.base-1].Term
}

// broadcast wakes all goroutines in waitForChange. The caller holds mu.
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

// fail stops the member permanently. The caller holds mu.
func (g *Group) fail(err error) {
	if g.err != nil {
		return
	}
	g.err = err
	g.becomeFollower("")
	g.cancel()
	g.broadcast()
	go g.cfg.OnFailure(err)
}

// Close stops the member and waits for its goroutines.
func (g *Group) Close() error {
	g.mu.Lock()
	if g.err == nil {
		g.err = ErrStopped
		g.becomeFollower("")
		g.broadcast()
	}
	g.mu.Unlock()
	g.cancel()
	g.wg.Wait()
	g.diskMu.Lock()
	defer g.diskMu.Unlock()
	return Error.Wrap(errors.Join(g.log.Close(), g.stateLog.Close()))
}
