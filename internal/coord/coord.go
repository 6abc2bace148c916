// Package coord makes the instances of a deployment act together when nobody
// lists them. A few instances with a disk replicate the durable state; every
// instance reports to their leader a few times a second and learns from the
// answer what all others know. What the leader only sums (backend servers, load,
// spending) is soft: a new leader rebuilds it from the next reports.
//
// The group of instances with a disk forms, grows and heals by itself. One of
// them, on which all agree from their first settings, founds the group alone and
// adds the others. The leader adds each instance with a disk that reports, and
// removes one that stays silent once enough others are left.
package coord

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

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
	// ErrUnavailable means that no leader could be reached or that it may not
	// decide now. The command had no effect.
	ErrUnavailable = errs.New("coord: no leader can answer now")
	// ErrUnknown means that the command may or may not take effect.
	ErrUnknown = errs.New("coord: outcome unknown")
)

// Node describes one instance.
type Node struct {
	ID         string // address for links, unique among the instances
	Name       string
	DataCentre string
	Region     string
	Callers    string // address for callers
	Control    string // address for backend servers and operators
	Ready      bool   // takes requests
	Durable    bool   // has a disk
	Started    time.Time
}

// Config sets up a Coord.
type Config struct {
	Self Node
	Net  *link.Net
	// Seeds returns the link addresses of some instances, which may be gone.
	Seeds func() []string
	// FS and Dir hold the durable state of an instance with a disk.
	FS  disk.FS
	Dir string
	// First allows founding the group: the whole deployment starts for the first time.
	First bool
	// MinVoters is how many members the group needs before it accepts anything, so
	// that what it accepts survives as many losses as the deployment bears.
	MinVoters int
	// Local is what this instance reports and learns.
	Local Local
	// Rules returns the version of the configuration, the rates of the organisations
	// that it sets, and their levels by the last word of a leader.
	Rules func() (version uint64, rules map[string]quota.Rule, told map[string]float64)
	// Heartbeat is how often backend servers announce themselves.
	Heartbeat time.Duration
	Clock     func() time.Time
	Log       log.Interface
}

const (
	// syncInterval is how often an instance reports. Two reports and the answer lie
	// between a notice at one instance and its effect at all others, well inside the
	// 2 s that deployments allow.
	syncInterval = 200 * time.Millisecond
	// seekInterval is the same while this instance has no leader: callers wait.
	seekInterval = 50 * time.Millisecond
	// syncTimeout bounds one report; a leader that takes longer has stalled.
	syncTimeout = 700 * time.Millisecond
	// heartbeat and election time the replicated log. Instances share processors
	// and disks stall, so a leader may be silent for most of a second.
	heartbeat = 200 * time.Millisecond
	election  = time.Second
	// reopenPause is the wait before a member whose disk failed opens its log again.
	reopenPause = time.Second
)

// Coord is one instance's part. It is safe for concurrent use.
type Coord struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	links  *raft.Links
	kick   chan chan error // reports at once and tells the result

	mu       sync.Mutex
	member   *member // nil without a disk, or while its disk fails
	hub      *hub    // of the term that this instance leads, or nil
	leader   string  // as last heard of
	reported string  // the leader that answered the last report, or ""
	suspect  string  // a leader that did not answer
	members  []string
	tried    int
	founder  string    // of a group that is forming, as this instance decided
	asked    time.Time // first question who founds
	askers   []string
	view     view               // of the last answer
	counted  []*coordpb.Counted // of the last answer
	lastSync time.Time
}

// member is the open part of an instance with a disk.
type member struct {
	group *raft.Group
	state *state
}

// Start starts the instance's part. Close ends it.
func Start(cfg Config) *Coord {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Coord{cfg: cfg, ctx: ctx, cancel: cancel, kick: make(chan chan error, 16)}
	c.links = raft.NewLinks(cfg.Net, func(id string) string { return id })
	cfg.Net.Handle(callSync, c.handleSync)
	cfg.Net.Handle(callPropose, c.handlePropose)
	cfg.Net.Handle(callRead, c.handleRead)
	cfg.Net.Handle(callFounder, c.handleFounder)
	cfg.Net.Handle(callGreet, c.handleGreet)
	cfg.Net.Handle(callBorrow, c.handleBorrow)
	c.wg.Go(c.report)
	if cfg.Self.Durable {
		c.wg.Go(c.runMember)
		c.wg.Go(c.tendMembers)
	}
	return c
}

// Close stops without passing on what this instance leads.
func (c *Coord) Close() error {
	c.cancel()
	c.wg.Wait()
	return nil
}

// Resign passes the leadership on before a planned stop, if this instance has it.
func (c *Coord) Resign(ctx context.Context) error {
	c.mu.Lock()
	m := c.member
	c.mu.Unlock()
	if m == nil {
		return nil
	}
	return Error.Wrap(m.group.Resign(ctx))
}

// The calls between instances.
const (
	callSync    = "coord.sync"
	callPropose = "coord.propose"
	callRead    = "coord.read"
	callFounder = "coord.founder"
	callGreet   = "coord.greet"
	callBorrow  = "coord.borrow"
)

// The codes of errors of these calls.
const (
	codeNotLeader = "notLeader" // the message is the leader's id, or empty
	codeUnknown   = "unknown"
)

// Lead is the right of this instance to act for all.
type Lead struct {
	Term  uint64
	Since time.Time // when this instance was elected
	Until time.Time
}

// Leads returns the lease of this instance, or false if it does not lead.
func (c *Coord) Leads(now time.Time) (Lead, bool) {
	c.mu.Lock()
	m, h := c.member, c.hub
	c.mu.Unlock()
	if m == nil {
		return Lead{}, false
	}
	l, ok := m.group.Lease(now)
	if !ok || h == nil || h.term != l.Term {
		return Lead{}, false
	}
	return Lead{Term: l.Term, Since: h.since, Until: l.Until}, true
}

// Configure makes a configuration durable. It returns the version that is in
// force then, which is higher if a later one overtook it.
func (c *Coord) Configure(ctx context.Context, version uint64, content []byte) (uint64, error) {
	s, err := c.propose(ctx, &coordpb.Command{Configure: &coordpb.Configure{Version: version, Content: content}})
	if err != nil {
		return 0, err
	}
	c.Hurry()
	return s.GetConfig().GetVersion(), nil
}

// OrderRollout records an order to move a service to a version.
func (c *Coord) OrderRollout(ctx context.Context, r Rollout) error {
	r.Serial, r.Phase = 0, Running
	_, err := c.propose(ctx, &coordpb.Command{Rollout: r.proto()})
	return err
}

// StepRollout records a change of a rollout that the leader has decided.
func (c *Coord) StepRollout(ctx context.Context, r Rollout) error {
	_, err := c.propose(ctx, &coordpb.Command{Rollout: r.proto()})
	return err
}

// FixUsage makes the counts of a window durable and returns those that hold, which
// an earlier leader may have fixed.
func (c *Coord) FixUsage(ctx context.Context, window int64, counts map[string]float64) (map[string]float64, error) {
	s, err := c.propose(ctx, &coordpb.Command{Usage: Window{window, counts}.proto()})
	if err != nil {
		return nil, err
	}
	if len(s.GetUsage()) != 1 {
		return nil, Error.New("the answer names %d windows", len(s.GetUsage()))
	}
	return amounts(s.Usage[0].Counts), nil
}

// Durable is the durable state at one moment.
type Durable struct {
	Version  uint64 // of the configuration; 0 without one
	Config   []byte
	Rollouts []Rollout
}

// Read returns the durable state as of a moment after the call. Its error wraps
// ErrUnavailable if that cannot be known now.
func (c *Coord) Read(ctx context.Context) (Durable, error) {
	resp := &coordpb.Answer{}
	err := c.atLeader(ctx, callRead, &coordpb.Ask{Id: c.cfg.Self.ID}, resp, func(m *member) error {
		s, err := m.read(ctx)
		resp.State = s
		return err
	})
	if err != nil {
		return Durable{}, err
	}
	d := Durable{Version: resp.State.GetConfig().GetVersion(), Config: resp.State.GetConfig().GetContent()}
	for _, r := range resp.State.GetRollouts() {
		d.Rollouts = append(d.Rollouts, rolloutOf(r))
	}
	return d, nil
}

func (m *member) read(ctx context.Context) (*coordpb.State, error) {
	if _, err := m.group.Barrier(ctx); err != nil {
		return nil, err
	}
	return m.state.copy(), nil
}

func (c *Coord) propose(ctx context.Context, cmd *coordpb.Command) (*coordpb.State, error) {
	out := &coordpb.State{}
	err := c.atLeader(ctx, callPropose, cmd, out, func(m *member) error {
		return c.proposeHere(ctx, m, cmd, out)
	})
	return out, err
}

func (c *Coord) proposeHere(ctx context.Context, m *member, cmd *coordpb.Command, out *coordpb.State) error {
	voters := 0
	for _, x := range m.group.Status().Members {
		if !x.Learner {
			voters++
		}
	}
	if voters < c.cfg.MinVoters {
		return Error.New("the group has %d members of %d that it needs", voters, c.cfg.MinVoters)
	}
	b, err := proto.Marshal(cmd)
	if err != nil {
		return Error.Wrap(err)
	}
	res, err := m.group.Propose(ctx, b)
	if err != nil {
		return err
	}
	return Error.Wrap(proto.Unmarshal(res, out))
}

// atLeader runs here if this instance leads, otherwise the call at the leader. It
// asks again while the leader changes; repeating is safe, because every command
// has its effect once.
func (c *Coord) atLeader(ctx context.Context, name string, req, resp proto.Message, here func(*member) error) error {
	const pause = 50 * time.Millisecond
	var last error
	for first := true; ; first = false {
		if !first && !sleep(ctx, pause) {
			return errors.Join(ErrUnavailable, last)
		}
		c.mu.Lock()
		m := c.member
		c.mu.Unlock()
		if m != nil && m.group.Status().Role == raft.Leader {
			err := here(m)
			if err == nil {
				return nil
			}
			if errors.Is(err, raft.ErrUnknown) {
				return errors.Join(ErrUnknown, err)
			}
			last = err
			continue
		}
		to := c.target(true)
		if to == "" || to == c.cfg.Self.ID {
			last = ErrUnavailable
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		err := c.cfg.Net.Call(callCtx, to, name, req, resp)
		cancel()
		if err == nil {
			return nil
		}
		last = err
		c.distrust(to, err)
		var re *link.RemoteError
		if !errors.As(err, &re) && !link.NotSent(err) && ctx.Err() != nil {
			return errors.Join(ErrUnknown, err)
		}
	}
}

func (c *Coord) handlePropose(ctx context.Context, _ link.Peer, body []byte) (proto.Message, error) {
	var cmd coordpb.Command
	if err := proto.Unmarshal(body, &cmd); err != nil {
		return nil, Error.Wrap(err)
	}
	m, err := c.leading()
	if err != nil {
		return nil, err
	}
	out := &coordpb.State{}
	return out, remote(c.proposeHere(ctx, m, &cmd, out))
}

func (c *Coord) handleRead(ctx context.Context, _ link.Peer, _ []byte) (proto.Message, error) {
	m, err := c.leading()
	if err != nil {
		return nil, err
	}
	s, err := m.read(ctx)
	return &coordpb.Answer{State: s}, remote(err)
}

// leading returns the member if it leads.
func (c *Coord) leading() (*member, error) {
	c.mu.Lock()
	m := c.member
	c.mu.Unlock()
	if m == nil {
		return nil, &link.RemoteError{Code: codeNotLeader, Message: c.target(false)}
	}
	if st := m.group.Status(); st.Role != raft.Leader {
		return nil, &link.RemoteError{Code: codeNotLeader, Message: st.Leader}
	}
	return m, nil
}

// remote turns errors of the log into those of the calls.
func remote(err error) error {
	var nl *raft.NotLeader
	switch {
	case err == nil:
		return nil
	case errors.As(err, &nl):
		return &link.RemoteError{Code: codeNotLeader, Message: nl.Leader}
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

// Usage returns what began to run in a window, summed over all instances, and the
// counts that are fixed already, if any. It is known at the leader only.
func (c *Coord) Usage(window int64) (sum, fixed map[string]float64) {
	c.mu.Lock()
	m, h := c.member, c.hub
	c.mu.Unlock()
	if m == nil || h == nil {
		return nil, nil
	}
	fixed, _ = m.state.usage(window)
	return h.usage(window), fixed
}

// TakeJudged returns the results of versions on trial that arrived since the last
// call. They come to the leader only.
func (c *Coord) TakeJudged() [][]byte {
	c.mu.Lock()
	h := c.hub
	c.mu.Unlock()
	if h == nil {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	out := h.judged
	h.judged = nil
	return out
}

// Rollouts returns the recorded rollouts. They are known on members only.
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
// instances. It is known at the leader only.
func (c *Coord) Loads() map[string]Load {
	c.mu.Lock()
	h := c.hub
	c.mu.Unlock()
	out := map[string]Load{}
	if h == nil {
		return out
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, l := range h.loads(c.cfg.Clock()) {
		out[l.Server] = l
	}
	return out
}
