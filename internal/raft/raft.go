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
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

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
	// driftDivisor takes 2% off the lease: clock rates differ by at most 1% from
	// the true rate, in both directions.
	driftDivisor = 50
	// maxBatchBytes bounds one append, on the wire and in the log.
	maxBatchBytes = 1 << 20
	// maxCommandBytes bounds one command.
	maxCommandBytes = 1 << 20
	// maxQueueBytes bounds the proposals that wait for the log.
	maxQueueBytes = 16 << 20
	// maxQueue bounds their number.
	maxQueue = 16384
	// chunkBytes is the size of one piece of a snapshot; a link message is at most 16 MiB.
	chunkBytes = 1 << 20
	// maxSnapshotBytes bounds what a member accepts as a snapshot.
	maxSnapshotBytes = 256 << 20
	// defaultSnapshotBytes of commands are applied between snapshots, or as many
	// as the last snapshot had if that is more, so that writing snapshots at most
	// doubles what is written.
	defaultSnapshotBytes = 8 << 20
	// trailingEntries stay in the log behind a snapshot, for members that lag a little.
	trailingEntries = 1024
	trailingBytes   = 1 << 20
	// maxStall is how long a leader waits for its own disk before it steps down;
	// with heartbeats that need no disk it would lead for ever without progress.
	maxStall = 3 * time.Second
	// stateSegmentBytes holds some thousand terms and votes.
	stateSegmentBytes = 256 << 10
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

type proposal struct {
	kind   raftpb.EntryKind
	data   []byte
	change func(members) (members, error) // for membership changes
	peer   *peer                          // the learner that change promotes, or nil
	term   uint64
	done   chan result // buffered; nil if nobody waits
}

type result struct {
	data []byte
	err  error
}

func (p *proposal) finish(r result) {
	if p.done != nil {
		p.done <- r
	}
}

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

	mu      sync.Mutex
	changed chan struct{}     // closed and replaced when a waiter's condition may hold
	wake    chan struct{}     // the queue has proposals
	ready   chan struct{}     // the apply loop has work
	upkeep  chan func() error // work on files that needs no lock, in order
	summons chan uint64       // the leader of this term asks this member to stand
	rng     *rand.Rand
	err     error // why the member stopped

	state    *raftpb.State // as on disk; replaced, never modified
	role     Role
	leader   string
	heard    time.Time // last message of the current leader, or start
	electAt  time.Time // when to stand for election
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
		summons: make(chan uint64, 1), upkeep: make(chan func() error, maxUpkeep),
		rng: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Group))), waiters: map[uint64]*proposal{},
	}
	if err := g.load(); err != nil {
		return nil, err
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	now := cfg.Clock()
	g.delayElection(now)
	g.wg.Go(g.tick)
	g.wg.Go(g.write)
	g.wg.Go(g.apply)
	g.wg.Go(g.keep)
	return g, nil
}

// load reads state, snapshot and log.
func (g *Group) load() error {
	log, content, err := walog.Open(walog.Config{FS: g.cfg.FS, Dir: g.cfg.Dir, SegmentBytes: g.cfg.SegmentBytes})
	if err != nil {
		return Error.Wrap(err)
	}
	g.log = log
	snap, err := g.loadSnapshot()
	if err != nil {
		return err
	}
	if err := g.loadState(content, snap); err != nil {
		return err
	}
	if snap != nil {
		if err := g.cfg.Machine.Restore(snap.Data); err != nil {
			return Error.Wrap(err)
		}
		g.base, g.baseTerm = snap.Index, snap.Term
		g.snapIndex, g.commit, g.applied = snap.Index, snap.Index, snap.Index
		g.history = []membersAt{{snap.Index, fromProto(snap.Members)}}
	}
	if err := g.loadEntries(content); err != nil {
		return err
	}
	g.stable = g.last()
	return nil
}

// loadState opens the log of terms and votes. Its last record counts; a vote
// costs one sync of an open file, not the several of a replaced one.
func (g *Group) loadState(content walog.Content, snap *raftpb.Snapshot) error {
	votes, states, err := walog.Open(walog.Config{FS: g.cfg.FS, Dir: filepath.Join(g.cfg.Dir, "state"), SegmentBytes: stateSegmentBytes})
	if err != nil {
		return Error.Wrap(err)
	}
	g.votes, g.voteIndex = votes, states.Last()
	known := len(states.Records) > 0
	switch {
	case known && content.New:
		return Error.New("group %d: the log is missing although the member has started before", g.cfg.Group)
	case known:
		g.state = &raftpb.State{}
		// Before the restart this member may have confirmed a leader's lease.
		g.heard = g.cfg.Clock()
		return Error.Wrap(proto.Unmarshal(states.Records[len(states.Records)-1], g.state))
	case snap != nil || len(content.Records) > 0:
		return Error.New("group %d: term and vote are missing although the member has started before", g.cfg.Group)
	}
	return g.saveState(&raftpb.State{Incarnation: rand.Uint64()>>1 + 1})
}

// saveState makes s durable; the caller holds io, and mu if the group runs.
func (g *Group) saveState(s *raftpb.State) error {
	b, err := proto.Marshal(s)
	if err != nil {
		return Error.Wrap(err)
	}
	if err := g.votes.Append(g.voteIndex+1, [][]byte{b}); err != nil {
		return Error.Wrap(err)
	}
	if err := g.votes.Release(g.voteIndex); err != nil {
		return Error.Wrap(err)
	}
	g.voteIndex++
	g.state = s
	return nil
}

func (g *Group) loadEntries(content walog.Content) error {
	var all []*raftpb.Entry
	for i, b := range content.Records {
		e := &raftpb.Entry{}
		if err := proto.Unmarshal(b, e); err != nil || e.Index != content.First+uint64(i) {
			return Error.New("group %d: log record %d is not an entry", g.cfg.Group, content.First+uint64(i))
		}
		all = append(all, e)
	}
	if content.First > g.base+1 {
		return Error.New("group %d: the log starts at %d but the snapshot ends at %d", g.cfg.Group, content.First, g.base)
	}
	skip := int(g.base + 1 - content.First)
	if skip > 0 && (skip > len(all) || all[skip-1].Term != g.baseTerm) {
		// A crash came between the arrival of a snapshot and the reset of the log.
		return Error.Wrap(g.log.Reset(g.base))
	}
	if skip > 0 {
		// The entries behind the snapshot serve members that lag a little.
		g.base, g.baseTerm = all[0].Index, all[0].Term
		all = all[1:]
	}
	for _, e := range all {
		if err := g.noteMembers(e); err != nil {
			return err
		}
	}
	g.entries = all
	return nil
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

func poke(c chan struct{}) {
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

// Propose appends a command and returns what the machine answered. Its errors
// are *NotLeader, ErrStopped and ErrBusy, after which the command has no effect,
// and ErrUnknown.
func (g *Group) Propose(ctx context.Context, cmd []byte) ([]byte, error) {
	if len(cmd) > maxCommandBytes {
		return nil, Error.New("command of %d bytes exceeds %d", len(cmd), maxCommandBytes)
	}
	return g.propose(ctx, &proposal{kind: raftpb.EntryKind_ENTRY_KIND_COMMAND, data: cmd})
}

func (g *Group) propose(ctx context.Context, p *proposal) ([]byte, error) {
	p.done = make(chan result, 1)
	g.mu.Lock()
	if err := g.enqueue(p); err != nil {
		g.mu.Unlock()
		return nil, err
	}
	g.mu.Unlock()
	select {
	case r := <-p.done:
		return r.data, r.err
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", ErrUnknown, ctx.Err())
	}
}

// enqueue passes p to the writer. The caller holds mu.
func (g *Group) enqueue(p *proposal) error {
	switch {
	case g.err != nil:
		return ErrStopped
	case g.role != Leader:
		return &NotLeader{g.leader}
	case len(g.queue) >= maxQueue || g.queueBytes > maxQueueBytes:
		return ErrBusy
	}
	g.queue = append(g.queue, p)
	g.queueBytes += len(p.data)
	poke(g.wake)
	return nil
}

// PeerStatus is what the leader knows about another member.
type PeerStatus struct {
	Member
	Match   uint64
	Contact time.Time // last confirmed message, by the leader's clock
	// Stranger means that the process answers under another incarnation: it has
	// lost its state and must be added again.
	Stranger bool
}

// Status of a member.
type Status struct {
	Group       uint32
	ID          string
	Incarnation uint64
	Term        uint64
	Role        Role
	Leader      string
	First, Last uint64 // entries in the log
	Commit      uint64
	Applied     uint64
	Snapshot    uint64
	Members     []Member
	Peers       []PeerStatus // on the leader
	LeaseUntil  time.Time    // on the leader
	// Stranger means that the group knows this member under another incarnation.
	Stranger bool
	Err      error // why the member stopped
}

// Status returns the state of this member.
func (g *Group) Status() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := Status{
		Group: g.cfg.Group, ID: g.cfg.ID, Incarnation: g.state.Incarnation, Term: g.state.Term, Role: g.role,
		Leader: g.leader, First: g.base + 1, Last: g.last(), Commit: g.commit, Applied: g.applied,
		Snapshot: g.snapIndex, Members: slices.Clone(g.members()), Stranger: g.stranger, Err: g.err,
	}
	if g.role != Leader {
		return s
	}
	s.LeaseUntil = g.leaseUntil(g.cfg.Clock())
	for _, m := range s.Members {
		if p := g.peers[m.ID]; p != nil {
			s.Peers = append(s.Peers, PeerStatus{Member: m, Match: p.match, Contact: p.contact, Stranger: p.stranger})
		}
	}
	return s
}
