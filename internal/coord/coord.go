// Package coord coordinates the instances of a deployment without a static list of
// them. A few instances with a disk replicate the durable state. Every instance
// reports to their leader a few times a second, and the reply contains the state of
// all other instances. State that the leader only aggregates (backend servers, load,
// spending) is soft: a new leader rebuilds it from the next reports.
//
// The group of instances with a disk manages its own membership. One of them, the
// founder, is derived from the initial seeds; the founder bootstraps the group alone
// and adds the others. The leader adds each instance with a disk that reports, and
// removes a silent member if enough others are left.
package coord

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/blame"
	"cranberrypath.example/cranberrypath/internal/coord/coordpb"
	"cranberrypath.example/cranberrypath/internal/disk"
	"cranberrypath.example/cranberrypath/internal/link"
	"cranberrypath.example/cranberrypath/internal/quota"
	"cranberrypath.example/cranberrypath/internal/raft"
)

// Error is the class of this package's errors.
var Error = errs.Class("coord")

// Errors that callers distinguish with errors.Is.
var (
	// ErrUnavailable means that no leader could be reached or that the leader cannot
	// commit now. The command had no effect.
	ErrUnavailable = errs.New("coord: no leader can answer now")
	// ErrUnknown means that the command may or may not take effect.
	ErrUnknown = errs.New("coord: outcome unknown")
)

// Instance describes one instance.
type Instance struct {
	ID             string // link address, unique among the instances
	Name           string
	DataCentre     string
	Region         string
	CallerAddress  string // address that callers connect to
	ControlAddress string // address that backend servers and operators connect to
	Ready          bool   // accepts requests
	Durable        bool   // has a disk
	Started        time.Time
	Capacity       float32 // what it can carry, relative to other instances; 0 if unknown
}

// Config configures a Coord.
type Config struct {
	Self Instance
	Net  *link.Transport
	// Seeds returns the link addresses of some instances, which may no longer exist.
	Seeds func() []string
	// FS and Dir locate the durable state of an instance with a disk.
	FS  disk.FS
	Dir string
	// Bootstrap allows this instance to bootstrap the group. It is set only on the first
	// start of the whole deployment.
	Bootstrap bool
	// MinVoters is the number of voters that the group needs before it accepts commands,
	// so that committed state survives as many losses as the deployment tolerates.
	MinVoters int
	// Local supplies this instance's reports and receives the replies.
	Local Local
	// QuotaRules returns the configuration version, its rate limits of the organisations, and
	// the token bucket levels last received from a leader.
	QuotaRules func() (version uint64, rules map[string]quota.Rule, lastLevels map[string]quota.Level)
	// LendNearby admits units of an organisation's rate from the parts of so many instances,
	// which this instance holds as a relay while there is no leader. Only instances with a
	// disk need it.
	// Blame holds the crashes of backend servers, which all instances exchange.
	Blame      *blame.Ledger
	LendNearby func(organisation string, units float64, parts int, now time.Time) bool
	// Heartbeat is the interval at which backend servers announce themselves.
	Heartbeat time.Duration
	Clock     func() time.Time
	// Suspended returns for how long the machine was suspended, which Clock leaves out.
	// Leases run out during that time as well. Nil means never.
	Suspended func() time.Duration
	Log       log.Interface
}

const (
	// syncInterval is the interval of reports. A change at one instance takes effect at
	// all others after two reports and a reply, well within the 2 s that deployments
	// allow.
	syncInterval = 200 * time.Millisecond
	// minSearchInterval and maxSearchInterval bound the interval that replaces syncInterval
	// while this instance has no leader; see searchInterval.
	minSearchInterval = 50 * time.Millisecond
	maxSearchInterval = 600 * time.Millisecond
	// searchRate is the number of reports a second that all instances together may send
	// while they have no leader.
	searchRate = 500
	// windowsInterval is the interval at which an instance behind a relay reports its usage
	// counts. An instance that reports to the leader includes them in each report.
	windowsInterval = time.Second
	// syncTimeout bounds one report; a leader that takes longer is stalled.
	syncTimeout = 700 * time.Millisecond
	// raftHeartbeat and electionTimeout configure the replicated log. Instances share
	// processors and disks stall, so a leader may be silent for most of a second.
	raftHeartbeat   = 200 * time.Millisecond
	electionTimeout = time.Second
	// reopenDelay is the delay before a member whose disk failed reopens its log.
	reopenDelay = time.Second
)

// Coord connects one instance to the leader and, on an instance with a disk, runs its
// member of the group. It is safe for concurrent use.
type Coord struct {
	cfg          Config
	ctx          context.Context
	cancel       context.CancelFunc
	wg           sync.WaitGroup
	links        *raft.LinkTransport
	syncRequests chan chan error // request an immediate report; a non-nil channel gets its result
	feed         *feed
	relay        *relay

	mu                sync.Mutex
	choice            relayChoice
	instances         map[string]Instance // that report, by ID; replaced on each change
	absent            *absentees
	serverIDs         map[uint32]string // by the number in the feed of the last reply
	windowsSent       map[int64]float64 // sum of the counts last confirmed, by window
	windowsSentAt     time.Time
	member            *member     // nil without a disk or while the log is not open
	aggregator        *aggregator // of the term led by this instance, or nil
	leader            string      // last known leader, or ""
	reportedTo        string      // leader that answered the last report, or ""
	suspect           string      // leader that did not answer, or ""
	members           []string
	searchIndex       int
	founder           string    // of a new group; chosen only by an instance without a disk
	firstAskedAt      time.Time // when this instance was first asked for the founder
	founderCandidates []string
	seen              seenVersions       // from the last reply
	crashesSent       uint64             // change number of Config.Blame up to which seen.feed has the records
	usageHandover     []*coordpb.Counted // from the last reply
	borrowFailedAt    time.Time          // when a Borrow call to the leader last failed
	evacuations       Evacuations        // from the replies
	lastSync          time.Time
	electionLoggedAt  time.Time   // when the last election seen by logElection ended
	ledWith           raft.Status // of the replicated log while this instance led
}

// member is the open replicated log and state of an instance with a disk.
type member struct {
	group *raft.Group
	state *stateMachine
}

// Start starts the coordination. Close stops it.
func Start(cfg Config) *Coord {
	ctx, cancel := context.WithCancel(context.Background())
	if cfg.Blame == nil {
		cfg.Blame = blame.New(cfg.Self.ID)
	}
	c := &Coord{
		cfg: cfg, ctx: ctx, cancel: cancel, syncRequests: make(chan chan error, 16), feed: newFeed(cfg.Self), relay: newRelay(),
		instances: map[string]Instance{}, absent: newAbsentees(), serverIDs: map[uint32]string{}, windowsSent: map[int64]float64{},
	}
	c.links = raft.NewLinkTransport(cfg.Net, func(id string) string { return id })
	cfg.Net.Handle(callSync, c.handleSync)
	cfg.Net.Handle(callPropose, c.handlePropose)
	cfg.Net.Handle(callRead, c.handleRead)
	cfg.Net.Handle(callFounder, c.handleFounder)
	cfg.Net.Handle(callGreet, c.handleGreet)
	cfg.Net.Handle(callBorrow, c.handleBorrow)
	cfg.Net.Handle(callBorrowNearby, c.handleBorrowNearby)
	c.wg.Go(c.syncLoop)
	if cfg.Self.Durable {
		c.wg.Go(c.runMember)
		c.wg.Go(c.manageMembers)
		c.wg.Go(c.keepKnown)
	}
	return c
}

// Close stops without handing over the leadership.
func (c *Coord) Close() error {
	c.cancel()
	c.wg.Wait()
	return nil
}

// Resign hands the leadership over before a planned stop, if this instance leads.
func (c *Coord) Resign(ctx context.Context) error {
	c.mu.Lock()
	m := c.member
	c.mu.Unlock()
	if m == nil {
		return nil
	}
	return Error.Wrap(m.group.Resign(ctx))
}

// The names of the calls between instances.
const (
	callSync    = "coord.sync"
	callPropose = "coord.propose"
	callRead    = "coord.read"
	callFounder = "coord.founder"
	callGreet   = "coord.greet"
	callBorrow  = "coord.borrow"

	callBorrowNearby = "coord.borrowNearby"
)

// The error codes of these calls.
const (
	codeNotLeader = "notLeader" // the message is the leader's ID, or empty
	codeUseRelay  = "useRelay"  // the message is the ID of the relay to report to
	codeNoLeader  = "noLeader"  // the relay could not reach a leader
	codeUnknown   = "unknown"
)

// Leadership is the leader lease of this instance.
type Leadership struct {
	Term      uint64
	ElectedAt time.Time // when this instance was elected
	Until     time.Time
}

// leaseTime returns the time by which the replicated log measures its leases.
func (c *Coord) leaseTime(now time.Time) time.Time {
	if c.cfg.Suspended == nil {
		return now
	}
	return now.Add(c.cfg.Suspended())
}

// Leads returns the leader lease of this instance, or false if it does not lead.
func (c *Coord) Leads(now time.Time) (Leadership, bool) {
	c.mu.Lock()
	m, agg := c.member, c.aggregator
	c.mu.Unlock()
	if m == nil {
		return Leadership{}, false
	}
	lease, ok := m.group.Lease(c.leaseTime(now))
	if !ok || agg == nil || agg.term != lease.Term {
		return Leadership{}, false
	}
	return Leadership{Term: lease.Term, ElectedAt: agg.electedAt, Until: lease.Until}, true
}

// MaxConfigBytes is the size of the largest configuration that Configure can commit.
const MaxConfigBytes = raft.MaxCommandBytes - 1<<10

// Configure commits a configuration. It returns the version that is active
// afterwards, which is higher if a later configuration was committed before.
func (c *Coord) Configure(ctx context.Context, version uint64, content []byte) (uint64, error) {
	state, err := c.propose(ctx, &coordpb.Command{Configure: &coordpb.Configure{Version: version, Content: content}})
	if err != nil {
		return 0, err
	}
	c.SyncSoon()
	return state.GetConfig().GetVersion(), nil
}

// OrderRollout commits an order to move a service to a version. The order names the service's
// last order, so that a copy of it that is held up on its way has no effect after a later order.
// The error is an *UnconfirmedError if the order may be such a copy itself.
func (c *Coord) OrderRollout(ctx context.Context, r Rollout, o Origin) error {
	r.Serial, r.Phase = 0, Running
	received := c.leaseTime(c.cfg.Clock())
	for {
		after, err := c.orderAfter(ctx, o, received, func() (uint64, error) { return c.lastOrder(ctx, r.Service) })
		if err != nil {
			return err
		}
		state, err := c.propose(ctx, &coordpb.Command{Rollout: r.proto(), AfterSerial: &after})
		if err != nil {
			return err
		}
		held := state.GetRollouts()
		if len(held) == 1 && held[0].GetTarget() == r.Target {
			return nil
		}
		c.cfg.Log.WithFields(log.Fields{
			"event": "rollout.overtaken", "service": r.Service, "target": r.Target, "after": after,
		}).Info("another order was accepted first")
		if o.Confirmed {
			return errors.Join(ErrUnavailable, Error.New("another order of service %s was accepted after the one numbered %d", r.Service, after))
		}
	}
}

// lastOrder returns the serial number of the last order of a service, 0 if there is none.
func (c *Coord) lastOrder(ctx context.Context, service string) (uint64, error) {
	d, err := c.Read(ctx)
	if err != nil {
		return 0, err
	}
	for _, r := range d.Rollouts {
		if r.Service == service {
			return r.Serial, nil
		}
	}
	return 0, nil
}

// UpdateRollout commits a change of a rollout decided by the leader from the given revision.
func (c *Coord) UpdateRollout(ctx context.Context, r Rollout) error {
	state, err := c.propose(ctx, &coordpb.Command{Rollout: r.proto()})
	if err != nil {
		return err
	}
	held := state.GetRollouts()
	if len(held) != 1 {
		return Error.New("the reply has %d rollouts, want 1", len(held))
	}
	want := r.proto()
	if r.Revision > 0 {
		want.Revision++
	}
	if !proto.Equal(held[0], want) {
		return Error.New("the rollout has changed since: serial %d, revision %d", held[0].GetSerial(), held[0].GetRevision())
	}
	return nil
}

// CommitUsage commits the counts of a window and returns the committed counts, which
// an earlier leader may have set.
func (c *Coord) CommitUsage(ctx context.Context, window int64, counts map[string]float64) (map[string]float64, error) {
	state, err := c.propose(ctx, &coordpb.Command{Usage: Window{window, counts}.proto()})
	if err != nil {
		return nil, err
	}
	if len(state.GetUsage()) != 1 {
		return nil, Error.New("the reply has %d windows, want 1", len(state.GetUsage()))
	}
	return countsFromProto(state.Usage[0].Counts), nil
}

// DurableState is a snapshot of the durable state.
type DurableState struct {
	Version  uint64 // configuration version; 0 without a configuration
	Config   []byte
	Rollouts []Rollout
	// Evacuations has the last order of each data centre that was ever evacuated.
	Evacuations []Evacuation
}

// Read is a linearizable read of the durable state. The error wraps ErrUnavailable if
// no leader can confirm the state now.
func (c *Coord) Read(ctx context.Context) (DurableState, error) {
	resp := &coordpb.Answer{}
	err := c.callLeader(ctx, callRead, &coordpb.Ask{Id: c.cfg.Self.ID}, resp, func(m *member) error {
		state, err := c.readMember(ctx, m)
		resp.State = state
		return err
	})
	if err != nil {
		return DurableState{}, err
	}
	d := DurableState{Version: resp.State.GetConfig().GetVersion(), Config: resp.State.GetConfig().GetContent()}
	for _, r := range resp.State.GetRollouts() {
		d.Rollouts = append(d.Rollouts, rolloutFromProto(r))
	}
	d.Evacuations = evacuationsFromProto(resp.State.GetEvacuations())
	return d, nil
}

// readMember reads the state of this instance's member, which leads.
func (c *Coord) readMember(ctx context.Context, m *member) (*coordpb.State, error) {
	index, err := m.group.Barrier(ctx)
	if err != nil {
		return nil, err
	}
	s := m.state.copy()
	now := c.leaseTime(c.cfg.Clock())
	lease, _ := m.group.Lease(now)
	c.cfg.Log.WithFields(log.Fields{
		"event": "config.read", "config": s.GetConfig().GetVersion(), "index": index, "term": lease.Term, "leaseMs": lease.Until.Sub(now).Milliseconds(),
	}).Info("the durable state was read")
	return s, nil
}

func (c *Coord) propose(ctx context.Context, cmd *coordpb.Command) (*coordpb.State, error) {
	out := &coordpb.State{}
	err := c.callLeader(ctx, callPropose, cmd, out, func(m *member) error {
		return c.proposeLocally(ctx, m, cmd, out)
	})
	return out, err
}

func (c *Coord) proposeLocally(ctx context.Context, m *member, cmd *coordpb.Command, out *coordpb.State) error {
	voters := 0
	for _, peer := range m.group.Status().Members {
		if !peer.Learner {
			voters++
		}
	}
	if voters < c.cfg.MinVoters {
		return Error.New("the group has %d members of %d that it needs", voters, c.cfg.MinVoters)
	}
	if cmd.Departure != nil {
		return c.proposeDeparture(ctx, m, cmd.Departure, out)
	}
	if cmd.Evacuation != nil {
		before, err := m.evacuationsBefore(ctx)
		if err != nil {
			return err
		}
		cmd.EvacuationsBefore = before
	}
	if cmd.Rollout != nil && cmd.Rollout.Serial == 0 {
		if err := c.addPresentVersions(cmd); err != nil {
			return err
		}
	}
	return c.commit(ctx, m, cmd, out)
}

// commit proposes a command to the group and decodes its result.
func (c *Coord) commit(ctx context.Context, m *member, cmd *coordpb.Command, out *coordpb.State) error {
	b, err := proto.Marshal(cmd)
	if err != nil {
		return Error.Wrap(err)
	}
	result, err := m.group.Propose(ctx, b)
	if err != nil {
		return err
	}
	return Error.Wrap(proto.Unmarshal(result, out))
}

// callLeader runs local if this instance leads, and otherwise makes the call to the
// leader. Calls are retried while the leader changes, which is safe because every
// command is idempotent. Once the outcome of one call is unknown, so is that of all.
func (c *Coord) callLeader(ctx context.Context, name string, req, resp proto.Message, local func(*member) error) error {
	const retryDelay = 50 * time.Millisecond
	var lastErr error
	failure := ErrUnavailable // ErrUnknown once a call may have been executed
	for firstTry := true; ; firstTry = false {
		if !firstTry && !sleep(ctx, retryDelay) {
			return errors.Join(failure, lastErr)
		}
		c.mu.Lock()
		m := c.member
		c.mu.Unlock()
		if m != nil && m.group.Status().Role == raft.Leader {
			err := local(m)
			if err == nil {
				return nil
			}
			if errors.Is(err, raft.ErrUnknown) {
				return errors.Join(ErrUnknown, err)
			}
			lastErr = err
			continue
		}
		target := c.leaderOrPeer(true, c.cfg.Clock())
		if target == "" || target == c.cfg.Self.ID {
			lastErr = ErrUnavailable
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		err := c.cfg.Net.Call(callCtx, target, name, req, resp)
		cancel()
		if err == nil {
			return nil
		}
		lastErr = err
		c.leaderFailed(target, err)
		if mayHaveRun(err) {
			failure = ErrUnknown
		}
	}
}

// mayHaveRun reports whether the peer may have executed a call that failed.
func mayHaveRun(err error) bool {
	var remoteErr *link.RemoteError
	if errors.As(err, &remoteErr) {
		return remoteErr.Code != codeNotLeader
	}
	return !link.NotSent(err)
}

func (c *Coord) handlePropose(ctx context.Context, _ link.Peer, body []byte) (proto.Message, error) {
	var cmd coordpb.Command
	if err := proto.Unmarshal(body, &cmd); err != nil {
		return nil, Error.Wrap(err)
	}
	m, err := c.leadingMember()
	if err != nil {
		return nil, err
	}
	out := &coordpb.State{}
	return out, toRemoteError(c.proposeLocally(ctx, m, &cmd, out))
}

func (c *Coord) handleRead(ctx context.Context, _ link.Peer, _ []byte) (proto.Message, error) {
	m, err := c.leadingMember()
	if err != nil {
		return nil, err
	}
	s, err := c.readMember(ctx, m)
	return &coordpb.Answer{State: s}, toRemoteError(err)
}

// leadingMember returns this instance's member if it leads, and otherwise a notLeader
// error.
func (c *Coord) leadingMember() (*member, error) {
	c.mu.Lock()
	m := c.member
	c.mu.Unlock()
	if m == nil {
		return nil, &link.RemoteError{Code: codeNotLeader, Message: c.leaderOrPeer(false, c.cfg.Clock())}
	}
	if st := m.group.Status(); st.Role != raft.Leader {
		return nil, &link.RemoteError{Code: codeNotLeader, Message: st.Leader}
	}
	return m, nil
}

// toRemoteError converts errors of the replicated log to errors of the calls.
func toRemoteError(err error) error {
	var notLeader *raft.NotLeaderError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &notLeader):
		return &link.RemoteError{Code: codeNotLeader, Message: notLeader.Leader}
	case errors.Is(err, raft.ErrUnknown):
		return &link.RemoteError{Code: codeUnknown, Message: err.Error()}
	}
	return err
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Usage returns the number of requests started in a window, summed over all instances,
// and the committed counts, if any. Both are nil unless this instance leads.
func (c *Coord) Usage(window int64) (sum, committed map[string]float64) {
	c.mu.Lock()
	m, agg := c.member, c.aggregator
	c.mu.Unlock()
	if m == nil || agg == nil {
		return nil, nil
	}
	committed, _ = m.state.usage(window)
	return agg.usage(window), committed
}

// TakeVersionResults returns the results of versions in a rollout that arrived since the last
// call. Only the leader receives them.
func (c *Coord) TakeVersionResults() [][]byte {
	c.mu.Lock()
	agg := c.aggregator
	c.mu.Unlock()
	if agg == nil {
		return nil
	}
	agg.mu.Lock()
	defer agg.mu.Unlock()
	out := agg.versionResults
	agg.versionResults = nil
	return out
}

// Rollouts returns the committed rollouts, or nil on an instance without a disk.
func (c *Coord) Rollouts() []Rollout {
	c.mu.Lock()
	m := c.member
	c.mu.Unlock()
	if m == nil {
		return nil
	}
	return m.state.rollouts()
}

// Loads returns the outstanding work at each backend server, summed over all
// instances. The result is empty unless this instance leads.
func (c *Coord) Loads() map[string]Load {
	c.mu.Lock()
	agg := c.aggregator
	c.mu.Unlock()
	out := map[string]Load{}
	if agg == nil {
		return out
	}
	for _, l := range agg.totalLoads(c.cfg.Clock()) {
		out[l.Server] = l
	}
	return out
}
