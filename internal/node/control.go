package node

import (
	"context"
	"crypto/tls"
	"errors"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"cranberrypath.example/cranberrypath/internal/backnd"
	"cranberrypath.example/cranberrypath/internal/certs"
	"cranberrypath.example/cranberrypath/internal/claim"
	"cranberrypath.example/cranberrypath/internal/cloud"
	"cranberrypath.example/cranberrypath/internal/contrl"
	"cranberrypath.example/cranberrypath/internal/event"
	"cranberrypath.example/cranberrypath/internal/raft"
	"cranberrypath.example/cranberrypath/internal/store"
	"cranberrypath.example/cranberrypath/internal/watch"
)

// control implements the control role of a process.
type control struct {
	node             *Node
	store            *store.Store
	groups           []*raft.Group // the configuration group, then the claim groups
	watchServer      *watch.Server
	operatorServer   *contrl.Server
	controllerRunner *contrl.Runner

	orderClient *backnd.Client // sends orders to backend servers
	cloudClient *cloud.Client  // nil without a cloud
}

func (n *Node) startControl() (*control, error) {
	c := &control{node: n, store: store.New()}
	s := n.cfg.Settings
	links := raft.NewLinkTransport(n.net, n.controlAddress)
	claims := claim.NewServer(claim.ServerConfig{
		Net: n.net, Clock: n.cfg.Now, LimitBytes: s.ClaimBytes / s.ClaimGroups, OnFull: n.reportClaimsFull,
	})
	if err := claims.RegisterMetrics(n.meters); err != nil {
		return nil, Error.Wrap(err)
	}
	for i := range s.ClaimGroups + 1 {
		var machine raft.StateMachine = c.store
		claimMachine := claim.NewMachine(time.Duration(s.ClaimHours) * time.Hour)
		if i > 0 {
			machine = claimMachine
		}
		g, err := n.openGroup(uint32(i), machine, links)
		if err != nil {
			c.close()
			return nil, err
		}
		c.groups = append(c.groups, g)
		links.Register(g)
		if i > 0 {
			claims.AddGroup(uint32(i), g, claimMachine)
		}
	}
	n.net.Handle(memberChangeCall, c.handleMemberChange)
	c.watchServer = watch.NewServer(watch.ServerConfig{
		Net: n.net, Log: c, Store: c.store, Clock: n.cfg.Now,
		Leader: func() (string, bool) { st := c.Status(); return st.Leader, st.IsLeader },
	})
	controllers, err := n.newControllers(c)
	if err != nil {
		c.close()
		return nil, err
	}
	var operatorTLS *tls.Config
	if s.TLS.Enabled() {
		if operatorTLS, err = certs.ServerConfig(certs.Files(s.TLS)); err != nil {
			c.close()
			return nil, Error.Wrap(err)
		}
	}
	c.operatorServer, err = contrl.NewServer(contrl.Config{
		TLS:      operatorTLS,
		Instance: s.Node, Listen: s.Listen.Operators, Guard: n.guard, Operators: s.Operators, Net: n.net, Log: c, Store: c.store,
		Clock: n.cfg.Now, Events: n.Events, Membership: c,
	})
	if err != nil {
		c.close()
		return nil, Error.Wrap(err)
	}
	c.controllerRunner = contrl.NewRunner(contrl.RunnerConfig{
		Instance: s.Node, Log: c, Net: n.net, Clock: n.cfg.Now, Controllers: controllers,
		ServersCheckFencing: s.Backends.CheckFencing, Lease: leaderLease,
	})
	return c, nil
}

// reportClaimsFull reports that a claim group is full and refuses new calls.
func (n *Node) reportClaimsFull(group uint32, u claim.Usage) {
	n.event(event.Of("claim.full").With("group", strconv.Itoa(int(group))).With("bytes", strconv.Itoa(u.Bytes)))
	n.log.WithField("group", group).WithField("bytes", u.Bytes).WithField("claims", u.Claims).
		Error("claim group is full; new calls that are not idempotent are refused")
}

// leaderLease is the longest time for which a deposed leader may still consider
// itself the leader; it covers the lease of the replicated log and 1% clock drift.
const leaderLease = time.Second

const (
	// claimTransferDelay is how long a member leads a claim group before it transfers
	// the leadership to the group's preferred member. The delay keeps transfers rare, so
	// that an unstable member costs little. The configuration group has no preferred
	// member, because its controllers restart at each change of leader.
	claimTransferDelay = 10 * time.Second
	// transferTimeout bounds how long a planned stop waits for leadership transfers;
	// a group without another candidate holds an election, as after a crash.
	transferTimeout = 2 * time.Second
)

func (n *Node) openGroup(group uint32, machine raft.StateMachine, transport raft.Transport) (*raft.Group, error) {
	s := n.cfg.Settings
	var ids []string
	for _, c := range s.Control {
		ids = append(ids, c.Node)
	}
	var transferDelay time.Duration
	if group > 0 {
		transferDelay = claimTransferDelay
	}
	g, err := raft.Open(raft.Config{
		Group: group, ID: s.Node, Members: ids, FS: n.cfg.Disk,
		Dir:          filepath.Join(s.DataFolder, "group"+strconv.Itoa(int(group))),
		StateMachine: machine, Transport: transport, Clock: n.cfg.Now, Seed: n.cfg.Seed + uint64(group), LeaderRebalanceDelay: transferDelay,
		ElectionTimeout: n.cfg.Election,
		OnFailure: func(err error) {
			n.event(event.Of("control.stopped").With("group", strconv.Itoa(int(group))).With("error", err.Error()))
			n.log.WithError(err).WithField("group", group).Error("replicated log stopped")
		},
	})
	return g, Error.Wrap(err)
}

// controlAddress returns the peer address of a member of the replicated log.
func (n *Node) controlAddress(id string) string {
	for _, m := range n.cfg.Settings.Control {
		if m.Node == id {
			return m.Address
		}
	}
	return ""
}

// Propose implements contrl.Log.
func (c *control) Propose(ctx context.Context, cmd []byte) ([]byte, error) {
	b, err := c.groups[0].Propose(ctx, cmd)
	return b, c.convertError(err)
}

// Barrier implements contrl.Log and watch.Log.
func (c *control) Barrier(ctx context.Context) (uint64, error) {
	i, err := c.groups[0].Barrier(ctx)
	return i, c.convertError(err)
}

func (c *control) convertError(err error) error {
	var nl *raft.NotLeaderError
	if errors.As(err, &nl) {
		return &contrl.NotLeaderError{Address: c.node.controlAddress(nl.Leader)}
	}
	return Error.Wrap(err)
}

// Status implements contrl.Log.
func (c *control) Status() contrl.Status {
	st := c.groups[0].Status()
	_, leads := c.groups[0].Lease(c.node.cfg.Now())
	out := contrl.Status{Term: st.Term, Leader: c.node.controlAddress(st.Leader), IsLeader: leads}
	match := map[string]uint64{st.ID: st.Last}
	for _, p := range st.Peers {
		match[p.ID] = p.Match
	}
	for _, m := range st.Members {
		votesEverywhere := !m.Learner
		for _, g := range c.groups[1:] {
			votesEverywhere = votesEverywhere && isVoter(g.Status().Members, m.ID)
		}
		out.Members = append(out.Members, contrl.MemberStatus{
			Node: m.ID, Address: c.node.controlAddress(m.ID), DataCentre: c.node.dataCentre(m.ID), Voter: votesEverywhere, Match: match[m.ID],
		})
	}
	return out
}

func isVoter(members []raft.Member, id string) bool {
	for _, m := range members {
		if m.ID == id {
			return !m.Learner
		}
	}
	return false
}

func (n *Node) dataCentre(id string) string {
	for _, m := range n.cfg.Settings.Control {
		if m.Node == id {
			return m.DataCentre
		}
	}
	return ""
}

// transferLeadership transfers the leaderships of this process to other members
// before a planned stop.
func (c *control) transferLeadership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for i, g := range c.groups {
		wg.Go(func() {
			if err := g.Resign(ctx); err != nil {
				c.node.log.WithError(err).WithField("group", i).Warn("stopping without a leadership transfer")
			}
		})
	}
	wg.Wait()
}

// close stops the control role; the links are already closed.
func (c *control) close() {
	if c.controllerRunner != nil {
		c.controllerRunner.Close()
	}
	if c.operatorServer != nil {
		_ = c.operatorServer.Close()
	}
	for _, g := range c.groups {
		_ = g.Close()
	}
	if c.watchServer != nil {
		c.watchServer.Close()
	}
	if c.orderClient != nil {
		_ = c.orderClient.Close()
	}
	if c.cloudClient != nil {
		_ = c.cloudClient.Close()
	}
}
