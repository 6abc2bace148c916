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

// control is the control role of a process.
type control struct {
	n      *Node
	store  *store.Store
	groups []*raft.Group // the configuration group, then the claim groups
	watch  *watch.Server
	server *contrl.Server
	runner *contrl.Runner

	orders   *backnd.Client // for orders to backend servers
	platform *cloud.Client  // nil without a cloud
}

func (n *Node) startControl() (*control, error) {
	c := &control{n: n, store: store.New()}
	s := n.cfg.Settings
	links := raft.NewLinks(n.net, n.controlAddress)
	claims := claim.NewServer(claim.ServerConfig{
		Net: n.net, Clock: n.cfg.Now, LimitBytes: s.ClaimBytes / s.ClaimGroups, Full: n.claimsFull,
	})
	if err := claims.Observe(n.meters); err != nil {
		return nil, Error.Wrap(err)
	}
	for i := range s.ClaimGroups + 1 {
		var m raft.Machine = c.store
		held := claim.NewMachine(time.Duration(s.ClaimHours) * time.Hour)
		if i > 0 {
			m = held
		}
		g, err := n.openGroup(uint32(i), m, links)
		if err != nil {
			c.close()
			return nil, err
		}
		c.groups = append(c.groups, g)
		links.Serve(g)
		if i > 0 {
			claims.Serve(uint32(i), g, held)
		}
	}
	n.net.Handle(changeCall, c.handleChange)
	c.watch = watch.NewServer(watch.ServerConfig{
		Net: n.net, Log: c, Store: c.store, Clock: n.cfg.Now,
		Leader: func() (string, bool) { st := c.Status(); return st.Leader, st.Leads },
	})
	loops, err := n.loops(c)
	if err != nil {
		c.close()
		return nil, err
	}
	var operators *tls.Config
	if s.TLS.On() {
		if operators, err = certs.Server(certs.Files(s.TLS)); err != nil {
			c.close()
			return nil, Error.Wrap(err)
		}
	}
	c.server, err = contrl.NewServer(contrl.Config{
		TLS:  operators,
		Node: s.Node, Listen: s.Listen.Operators, Operators: s.Operators, Net: n.net, Log: c, Store: c.store,
		Clock: n.cfg.Now, Events: n.Events, Membership: c,
	})
	if err != nil {
		c.close()
		return nil, Error.Wrap(err)
	}
	c.runner = contrl.NewRunner(contrl.LeadConfig{
		Node: s.Node, Log: c, Net: n.net, Clock: n.cfg.Now, Loops: loops,
		CheckFencing: s.Backends.CheckFencing, Lease: leaderLease,
	})
	return c, nil
}

// claimsFull reports that a claim group refuses new calls.
func (n *Node) claimsFull(group uint32, u claim.Usage) {
	n.event(event.Of("claim.full").With("group", strconv.Itoa(int(group))).With("bytes", strconv.Itoa(u.Bytes)))
	n.log.WithField("group", group).WithField("bytes", u.Bytes).WithField("claims", u.Claims).
		Error("claim group is full; new calls that are not idempotent are refused")
}

// leaderLease is the longest time that a deposed leader may believe that it
// leads; it covers the lease of the replicated log and 1% of clock drift.
const leaderLease = time.Second

const (
	// claimSpread is how long a member leads a claim group before the leadership
	// goes to the group's preferred member. Changes are rare enough that an
	// unstable member costs little. The configuration group has no preference,
	// because its leader's controllers start anew with each change.
	claimSpread = 10 * time.Second
	// resignTimeout bounds how long a planned stop waits for other leaders; a
	// group that has none to offer elects one as after a crash.
	resignTimeout = 2 * time.Second
)

func (n *Node) openGroup(number uint32, m raft.Machine, t raft.Transport) (*raft.Group, error) {
	s := n.cfg.Settings
	var ids []string
	for _, c := range s.Control {
		ids = append(ids, c.Node)
	}
	var spread time.Duration
	if number > 0 {
		spread = claimSpread
	}
	g, err := raft.Open(raft.Config{
		Group: number, ID: s.Node, Members: ids, FS: n.cfg.Disk,
		Dir:     filepath.Join(s.DataFolder, "group"+strconv.Itoa(int(number))),
		Machine: m, Transport: t, Clock: n.cfg.Now, Seed: n.cfg.Seed + uint64(number), Spread: spread,
		Election: n.cfg.Election,
		Failed: func(err error) {
			n.event(event.Of("control.stopped").With("group", strconv.Itoa(int(number))).With("error", err.Error()))
			n.log.WithError(err).WithField("group", number).Error("replicated log stopped")
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
	return b, c.convert(err)
}

// Barrier implements contrl.Log and watch.Log.
func (c *control) Barrier(ctx context.Context) (uint64, error) {
	i, err := c.groups[0].Barrier(ctx)
	return i, c.convert(err)
}

func (c *control) convert(err error) error {
	var nl *raft.NotLeader
	if errors.As(err, &nl) {
		return &contrl.NotLeader{Address: c.n.controlAddress(nl.Leader)}
	}
	return Error.Wrap(err)
}

// Status implements contrl.Log.
func (c *control) Status() contrl.Status {
	st := c.groups[0].Status()
	_, leads := c.groups[0].Lease(c.n.cfg.Now())
	out := contrl.Status{Term: st.Term, Leader: c.n.controlAddress(st.Leader), Leads: leads}
	match := map[string]uint64{st.ID: st.Last}
	for _, p := range st.Peers {
		match[p.ID] = p.Match
	}
	for _, m := range st.Members {
		voter := !m.Learner
		for _, g := range c.groups[1:] {
			voter = voter && isVoter(g.Status().Members, m.ID)
		}
		out.Members = append(out.Members, contrl.MemberStatus{
			Node: m.ID, Address: c.n.controlAddress(m.ID), DataCentre: c.n.dataCentre(m.ID), Voter: voter, Match: match[m.ID],
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

// resign passes the leaderships of this process on, before a planned stop.
func (c *control) resign(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, resignTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for i, g := range c.groups {
		wg.Go(func() {
			if err := g.Resign(ctx); err != nil {
				c.n.log.WithError(err).WithField("group", i).Warn("stops without passing the leadership on")
			}
		})
	}
	wg.Wait()
}

// close stops the role; the links have been closed before.
func (c *control) close() {
	if c.runner != nil {
		c.runner.Close()
	}
	if c.server != nil {
		_ = c.server.Close()
	}
	for _, g := range c.groups {
		_ = g.Close()
	}
	if c.watch != nil {
		c.watch.Close()
	}
	if c.orders != nil {
		_ = c.orders.Close()
	}
	if c.platform != nil {
		_ = c.platform.Close()
	}
}
