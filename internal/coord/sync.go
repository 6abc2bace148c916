package coord

import (
	"context"
	"errors"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/coord/coordpb"
	"cranberrypath.example/cranberrypath/internal/link"
	"cranberrypath.example/cranberrypath/internal/raft"
)

// Flush reports now and returns once the leader has the report.
func (c *Coord) Flush(ctx context.Context) error {
	done := make(chan error, 1)
	select {
	case c.kick <- done:
	case <-ctx.Done():
		return errors.Join(ErrUnavailable, ctx.Err())
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return errors.Join(ErrUnavailable, ctx.Err())
	}
}

// Hurry reports soon without waiting for the outcome.
func (c *Coord) Hurry() {
	select {
	case c.kick <- nil:
	default: // a report is due already
	}
}

// LastContact returns when the leader last answered this instance.
func (c *Coord) LastContact() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastSync
}

// Leader returns the leader's id as last heard of, or "".
func (c *Coord) Leader() string { return c.target(false) }

// Suspect returns the leader that did not answer last, until another one does, or "".
func (c *Coord) Suspect() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.suspect
}

// report reports to the leader until the instance stops.
func (c *Coord) report() {
	t := time.NewTimer(syncInterval)
	defer t.Stop()
	var number uint64
	for {
		var waiting []chan error
		select {
		case <-c.ctx.Done():
			return
		case w := <-c.kick:
			waiting = append(waiting, w)
		case <-t.C:
		}
		for more := true; more; {
			select {
			case w := <-c.kick:
				waiting = append(waiting, w)
			default:
				more = false
			}
		}
		number++
		err := c.sync(number)
		for _, w := range waiting {
			if w != nil {
				w <- err
			}
		}
		if err != nil {
			t.Reset(seekInterval)
		} else {
			t.Reset(syncInterval)
		}
	}
}

// sync sends one report and learns from its answer.
func (c *Coord) sync(number uint64) error {
	now := c.cfg.Clock()
	c.lookHere(now)
	c.mu.Lock()
	v, h := c.view, c.hub
	c.mu.Unlock()
	if h != nil {
		c.greet(h, now)
	}
	r := c.cfg.Local.Report(v.epoch == 0, now)
	req := c.request(r, v, number, now)
	asked := now
	reply, err := c.exchange(req, now)
	now = c.cfg.Clock()
	if err != nil {
		c.cfg.Local.Lost(now)
		return err
	}
	c.learn(reply, req, asked, now)
	if reply.Epoch != v.epoch && v.epoch != 0 {
		// The new leader knows nothing of before; the next report is a full one.
		c.mu.Lock()
		c.view.epoch = 0
		c.mu.Unlock()
		c.Hurry()
	}
	return nil
}

func (c *Coord) request(r Report, v view, number uint64, now time.Time) *coordpb.Sync {
	self := c.cfg.Self
	self.Ready = r.Ready
	req := &coordpb.Sync{
		Node: self.proto(), Epoch: v.epoch, ServersSeen: v.servers, NodesSeen: v.nodes, RolloutsSeen: v.rollouts, Held: heldProto(r.Held), HeldSeen: v.held, Judged: r.Judged,
		Spent: countsOf(r.Spent), SpentNumber: number, Loads: loadsProto(r.Loads),
	}
	req.Node.ConfigVersion = r.ConfigVersion
	for _, s := range r.Servers {
		req.Servers = append(req.Servers, serverProto(s, now))
	}
	for _, w := range r.Windows {
		req.Windows = append(req.Windows, w.proto())
	}
	return req
}

// exchange brings the report to the leader, here or elsewhere.
func (c *Coord) exchange(req *coordpb.Sync, now time.Time) (*coordpb.SyncReply, error) {
	c.mu.Lock()
	h, m := c.hub, c.member
	c.mu.Unlock()
	if h != nil && m != nil {
		return c.answerSync(h, m, req, now), nil
	}
	to := c.target(true)
	if to == "" || to == c.cfg.Self.ID {
		return nil, ErrUnavailable
	}
	ctx, cancel := context.WithTimeout(c.ctx, syncTimeout)
	defer cancel()
	reply := &coordpb.SyncReply{}
	if err := c.cfg.Net.Call(ctx, to, callSync, req, reply); err != nil {
		c.distrust(to, err)
		return nil, errors.Join(ErrUnavailable, err)
	}
	return reply, nil
}

// learn passes the answer on.
func (c *Coord) learn(reply *coordpb.SyncReply, req *coordpb.Sync, asked, now time.Time) {
	v := View{
		Leader: reply.Leader, Term: reply.Epoch, Fronts: int(reply.Fronts), Levels: amounts(reply.Levels),
		Loads: loadsOf(reply.Loads), Held: heldOf(reply.Held), Asked: asked,
	}
	if reply.Config != nil {
		v.Version, v.Config = reply.ConfigVersion, reply.Config
	}
	for _, s := range reply.Servers {
		v.Servers = append(v.Servers, serverOf(s, now))
	}
	if reply.NodesChanged {
		v.Nodes = []Node{}
		for _, n := range reply.Nodes {
			v.Nodes = append(v.Nodes, nodeOf(n))
		}
	}
	if reply.RolloutsSeen != req.RolloutsSeen || req.Epoch != reply.Epoch {
		v.Rollouts = []Rollout{}
		for _, r := range reply.Rollouts {
			v.Rollouts = append(v.Rollouts, rolloutOf(r))
		}
	}
	c.mu.Lock()
	if c.reported != reply.Leader {
		c.cfg.Log.WithField("event", "leader.found").WithField("leader", reply.Leader).WithField("term", reply.Epoch).Info("reports go to a leader")
	}
	c.leader, c.reported, c.members, c.lastSync, c.suspect = reply.Leader, reply.Leader, reply.Members, now, ""
	c.counted = reply.Counted
	c.view = view{
		epoch: reply.Epoch, servers: reply.ServersSeen, nodes: reply.NodesSeen, rollouts: reply.RolloutsSeen,
		held: reply.HeldSeen,
	}
	c.mu.Unlock()
	c.cfg.Local.Learn(v, now)
}

func (c *Coord) handleSync(_ context.Context, _ link.Peer, body []byte) (proto.Message, error) {
	var req coordpb.Sync
	if err := proto.Unmarshal(body, &req); err != nil {
		return nil, Error.Wrap(err)
	}
	if req.Node == nil {
		return nil, Error.New("a report without a node")
	}
	m, err := c.leading()
	if err != nil {
		return nil, err
	}
	now := c.cfg.Clock()
	c.lookHere(now)
	c.mu.Lock()
	h := c.hub
	c.mu.Unlock()
	if h == nil {
		return nil, &link.RemoteError{Code: codeNotLeader}
	}
	return c.answerSync(h, m, &req, now), nil
}

func (c *Coord) answerSync(h *hub, m *member, req *coordpb.Sync, now time.Time) *coordpb.SyncReply {
	h.take(req, now)
	out := h.reply(req, now)
	out.Leader = c.cfg.Self.ID
	cfg := m.state.config()
	if out.ConfigVersion = cfg.Version; req.Node.ConfigVersion < cfg.Version {
		out.Config = cfg.Content
	}
	rollouts := m.state.rollouts()
	out.RolloutsSeen = seenOf(rollouts)
	if out.RolloutsSeen != req.RolloutsSeen || req.Epoch != out.Epoch {
		for _, r := range rollouts {
			out.Rollouts = append(out.Rollouts, r.proto())
		}
	}
	for _, x := range m.group.Status().Members {
		out.Members = append(out.Members, x.ID)
	}
	return out
}

// seenOf folds the rollouts into a number that differs after each change.
func seenOf(rollouts []Rollout) uint64 {
	var n uint64
	for _, r := range rollouts {
		n = n*1_000_003 + r.Serial*64 + uint64(r.Phase)*16 + uint64(r.Share*10_000)
	}
	return n
}

// lookHere begins or ends the leader's part of this instance.
func (c *Coord) lookHere(now time.Time) {
	c.mu.Lock()
	m := c.member
	c.mu.Unlock()
	if m == nil {
		return
	}
	l, ok := m.group.Lease(now)
	st := m.group.Status()
	c.mu.Lock()
	switch {
	case st.Role != raft.Leader:
		if c.hub != nil {
			c.cfg.Log.WithField("event", "leader.ended").WithField("term", c.hub.term).Info("this instance no longer leads")
		}
		c.hub = nil
	case ok && (c.hub == nil || c.hub.term != l.Term):
		c.hub = newHub(c.cfg.Self.ID, l.Term, c.counted, now)
		c.cfg.Log.WithField("event", "leader.began").WithField("term", l.Term).Info("this instance leads")
	}
	if st.Leader != "" && st.Role != raft.Leader {
		c.leader = st.Leader
	}
	h := c.hub
	c.mu.Unlock()
	if h == nil {
		return
	}
	version, rules, told := c.cfg.Rules()
	h.setRules(version, rules, told, now)
	for _, s := range h.tick(c.cfg.Heartbeat, now) {
		c.cfg.Log.WithField("event", "server.silent").WithField("server", s.ID).WithField("service", s.Service).Warn("backend server is taken out: it stopped announcing itself")
	}
}

// greet tells seeds that do not report to this leader who leads. They are the only
// instances that others know at first, and need not be members themselves.
func (c *Coord) greet(h *hub, now time.Time) {
	for _, id := range c.cfg.Seeds() {
		if id == c.cfg.Self.ID || !h.toGreet(id, now) {
			continue
		}
		c.wg.Go(func() {
			ctx, cancel := context.WithTimeout(c.ctx, syncTimeout)
			defer cancel()
			ask := &coordpb.Ask{Id: c.cfg.Self.ID}
			if err := c.cfg.Net.Call(ctx, id, callGreet, ask, &coordpb.Answer{}); err != nil {
				c.cfg.Log.WithError(err).WithField("event", "seed.unreachable").WithField("seed", id).Debug("a seed does not answer")
			}
		})
	}
}

// handleGreet takes the word of a leader, unless this instance has one already.
func (c *Coord) handleGreet(_ context.Context, from link.Peer, body []byte) (proto.Message, error) {
	var ask coordpb.Ask
	if err := proto.Unmarshal(body, &ask); err != nil {
		return nil, Error.Wrap(err)
	}
	if ask.Id != from.Node {
		return nil, Error.New("%q greets as %q", from.Node, ask.Id)
	}
	c.mu.Lock()
	if c.leader == "" {
		c.leader = ask.Id
	}
	c.mu.Unlock()
	c.Hurry()
	return &coordpb.Answer{}, nil
}

// target returns whom to ask: the leader or, with try, another instance that may
// know it.
func (c *Coord) target(try bool) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == c.cfg.Self.ID && c.hub == nil {
		c.leader = "" // it led before, and may have been removed since
	}
	if c.leader != "" || !try {
		return c.leader
	}
	var all []string
	for _, id := range slices.Concat(c.members, c.cfg.Seeds()) {
		if id != c.cfg.Self.ID && !slices.Contains(all, id) {
			all = append(all, id)
		}
	}
	if len(all) == 0 {
		return ""
	}
	c.tried++
	return all[c.tried%len(all)]
}

// distrust forgets a leader that did not answer, or follows its hint.
func (c *Coord) distrust(id string, err error) {
	var re *link.RemoteError
	hint := ""
	if errors.As(err, &re) && re.Code == codeNotLeader && re.Message != c.cfg.Self.ID {
		// Others name this instance for a while after it led and was restarted.
		hint = re.Message
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case hint != "" && hint != id:
		c.leader = hint
	case c.leader == id:
		c.leader, c.suspect = "", id
	}
	if c.reported == id {
		c.cfg.Log.WithError(err).WithField("event", "leader.lost").WithField("leader", id).Warn("the leader does not answer")
		c.reported = ""
	}
}
