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

// SyncNow sends a report at once and returns once the leader has answered it.
func (c *Coord) SyncNow(ctx context.Context) error {
	done := make(chan error, 1)
	select {
	case c.syncRequests <- done:
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

// SyncSoon requests an immediate report without waiting for the result.
func (c *Coord) SyncSoon() {
	select {
	case c.syncRequests <- nil:
	default: // reports are already requested
	}
}

// LastContact returns when the leader last answered this instance.
func (c *Coord) LastContact() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastSync
}

// Leader returns the ID of the last known leader, or "".
func (c *Coord) Leader() string { return c.leaderOrPeer(false) }

// Suspect returns the leader that last failed to answer, or "" once a leader has
// answered.
func (c *Coord) Suspect() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.suspect
}

// syncLoop sends reports to the leader until the instance stops.
func (c *Coord) syncLoop() {
	t := time.NewTimer(syncInterval)
	defer t.Stop()
	var number uint64
	for {
		var waiters []chan error
		select {
		case <-c.ctx.Done():
			return
		case waiter := <-c.syncRequests:
			waiters = append(waiters, waiter)
		case <-t.C:
		}
		for more := true; more; {
			select {
			case w := <-c.syncRequests:
				waiters = append(waiters, w)
			default:
				more = false
			}
		}
		number++
		err := c.syncOnce(number)
		for _, w := range waiters {
			if w != nil {
				w <- err
			}
		}
		if err != nil {
			t.Reset(leaderSearchInterval)
		} else {
			t.Reset(syncInterval)
		}
	}
}

// syncOnce sends one report and applies the reply.
func (c *Coord) syncOnce(number uint64) error {
	now := c.cfg.Clock()
	c.updateLeadership(now)
	c.mu.Lock()
	seen, agg := c.seen, c.aggregator
	c.mu.Unlock()
	if agg != nil {
		c.greetSeeds(agg, now)
	}
	r := c.cfg.Local.Report(seen.term == 0, now)
	req := c.newSyncRequest(r, seen, number, now)
	sentAt := now
	reply, err := c.sendSync(req, now)
	now = c.cfg.Clock()
	if err != nil {
		c.cfg.Local.ReportFailed(now)
		return err
	}
	c.applyReply(reply, req, sentAt, now)
	if reply.Epoch != seen.term && seen.term != 0 {
		// The new leader has none of the earlier reports; the next report is a full one.
		c.mu.Lock()
		c.seen.term = 0
		c.mu.Unlock()
		c.SyncSoon()
	}
	return nil
}

func (c *Coord) newSyncRequest(r Report, seen seenVersions, number uint64, now time.Time) *coordpb.Sync {
	self := c.cfg.Self
	self.Ready = r.Ready
	req := &coordpb.Sync{
		Node: self.proto(), Epoch: seen.term, ServersSeen: seen.servers, NodesSeen: seen.instances, RolloutsSeen: seen.rollouts, Held: prefixesToProto(r.Prefixes), HeldSeen: seen.prefixes, Judged: r.VersionResults,
		Spent: countsToProto(r.Spent), SpentNumber: number, Loads: loadsToProto(r.Loads),
	}
	req.Node.ConfigVersion = r.ConfigVersion
	for _, s := range r.Servers {
		req.Servers = append(req.Servers, serverToProto(s, now))
	}
	for _, w := range r.Windows {
		req.Windows = append(req.Windows, w.proto())
	}
	return req
}

// sendSync delivers the report to the leader, which may be this instance.
func (c *Coord) sendSync(req *coordpb.Sync, now time.Time) (*coordpb.SyncReply, error) {
	c.mu.Lock()
	agg, m := c.aggregator, c.member
	c.mu.Unlock()
	if agg != nil && m != nil {
		return c.answerSync(agg, m, req, now), nil
	}
	target := c.leaderOrPeer(true)
	if target == "" || target == c.cfg.Self.ID {
		return nil, ErrUnavailable
	}
	ctx, cancel := context.WithTimeout(c.ctx, syncTimeout)
	defer cancel()
	reply := &coordpb.SyncReply{}
	if err := c.cfg.Net.Call(ctx, target, callSync, req, reply); err != nil {
		c.leaderFailed(target, err)
		return nil, errors.Join(ErrUnavailable, err)
	}
	return reply, nil
}

// applyReply records the reply and passes the changes to Local.
func (c *Coord) applyReply(reply *coordpb.SyncReply, req *coordpb.Sync, sentAt, now time.Time) {
	v := View{
		Leader: reply.Leader, Term: reply.Epoch, ReadyInstances: int(reply.Fronts), Levels: countsFromProto(reply.Levels),
		Loads: loadsFromProto(reply.Loads), Prefixes: prefixesFromProto(reply.Held), ReportSentAt: sentAt,
	}
	if reply.Config != nil {
		v.Version, v.Config = reply.ConfigVersion, reply.Config
	}
	for _, s := range reply.Servers {
		v.Servers = append(v.Servers, serverFromProto(s, now))
	}
	if reply.NodesChanged {
		v.Instances = []Instance{}
		for _, n := range reply.Nodes {
			v.Instances = append(v.Instances, instanceFromProto(n))
		}
	}
	if reply.RolloutsSeen != req.RolloutsSeen || req.Epoch != reply.Epoch {
		v.Rollouts = []Rollout{}
		for _, r := range reply.Rollouts {
			v.Rollouts = append(v.Rollouts, rolloutFromProto(r))
		}
	}
	c.mu.Lock()
	if c.reportedTo != reply.Leader {
		c.cfg.Log.WithField("event", "leader.found").WithField("leader", reply.Leader).WithField("term", reply.Epoch).Info("found a leader to report to")
	}
	c.leader, c.reportedTo, c.members, c.lastSync, c.suspect = reply.Leader, reply.Leader, reply.Members, now, ""
	c.usageHandover = reply.Counted
	c.seen = seenVersions{
		term: reply.Epoch, servers: reply.ServersSeen, instances: reply.NodesSeen, rollouts: reply.RolloutsSeen,
		prefixes: reply.HeldSeen,
	}
	c.mu.Unlock()
	c.cfg.Local.Apply(v, now)
}

func (c *Coord) handleSync(_ context.Context, _ link.Peer, body []byte) (proto.Message, error) {
	var req coordpb.Sync
	if err := proto.Unmarshal(body, &req); err != nil {
		return nil, Error.Wrap(err)
	}
	if req.Node == nil {
		return nil, Error.New("a report without a node")
	}
	m, err := c.leadingMember()
	if err != nil {
		return nil, err
	}
	now := c.cfg.Clock()
	c.updateLeadership(now)
	c.mu.Lock()
	agg := c.aggregator
	c.mu.Unlock()
	if agg == nil {
		return nil, &link.RemoteError{Code: codeNotLeader}
	}
	return c.answerSync(agg, m, &req, now), nil
}

func (c *Coord) answerSync(agg *aggregator, m *member, req *coordpb.Sync, now time.Time) *coordpb.SyncReply {
	agg.applyReport(req, now)
	out := agg.newReply(req, now)
	out.Leader = c.cfg.Self.ID
	cfg := m.state.config()
	if out.ConfigVersion = cfg.Version; req.Node.ConfigVersion < cfg.Version {
		out.Config = cfg.Content
	}
	rollouts := m.state.rollouts()
	out.RolloutsSeen = rolloutsFingerprint(rollouts)
	if out.RolloutsSeen != req.RolloutsSeen || req.Epoch != out.Epoch {
		for _, r := range rollouts {
			out.Rollouts = append(out.Rollouts, r.proto())
		}
	}
	for _, peer := range m.group.Status().Members {
		out.Members = append(out.Members, peer.ID)
	}
	return out
}

// rolloutsFingerprint hashes the rollouts to a number that differs after each change.
func rolloutsFingerprint(rollouts []Rollout) uint64 {
	var n uint64
	for _, r := range rollouts {
		n = n*1_000_003 + r.Serial*64 + uint64(r.Phase)*16 + uint64(r.Share*10_000)
	}
	return n
}

// updateLeadership starts or stops the aggregator when this instance gains or loses the
// leadership, and ticks it.
func (c *Coord) updateLeadership(now time.Time) {
	c.mu.Lock()
	m := c.member
	c.mu.Unlock()
	if m == nil {
		return
	}
	lease, ok := m.group.Lease(now)
	st := m.group.Status()
	c.mu.Lock()
	switch {
	case st.Role != raft.Leader:
		if c.aggregator != nil {
			c.cfg.Log.WithField("event", "leader.ended").WithField("term", c.aggregator.term).Info("this instance no longer leads")
		}
		c.aggregator = nil
	case ok && (c.aggregator == nil || c.aggregator.term != lease.Term):
		c.aggregator = newAggregator(c.cfg.Self.ID, lease.Term, c.usageHandover, now)
		c.cfg.Log.WithField("event", "leader.began").WithField("term", lease.Term).Info("this instance leads")
	}
	if st.Leader != "" && st.Role != raft.Leader {
		c.leader = st.Leader
	}
	agg := c.aggregator
	c.mu.Unlock()
	if agg == nil {
		return
	}
	version, rules, lastLevels := c.cfg.QuotaRules()
	agg.configure(version, rules, lastLevels, now)
	for _, s := range agg.tick(c.cfg.Heartbeat, now) {
		c.cfg.Log.WithField("event", "server.silent").WithField("server", s.ID).WithField("service", s.Service).Warn("backend server expired: no heartbeat received")
	}
}

// greetSeeds announces this leader to the seeds that do not report to it. New instances
// know only the seeds, and a seed need not be a member.
func (c *Coord) greetSeeds(agg *aggregator, now time.Time) {
	for _, id := range c.cfg.Seeds() {
		if id == c.cfg.Self.ID || !agg.shouldGreet(id, now) {
			continue
		}
		c.wg.Go(func() {
			ctx, cancel := context.WithTimeout(c.ctx, syncTimeout)
			defer cancel()
			req := &coordpb.Ask{Id: c.cfg.Self.ID}
			if err := c.cfg.Net.Call(ctx, id, callGreet, req, &coordpb.Answer{}); err != nil {
				c.cfg.Log.WithError(err).WithField("event", "seed.unreachable").WithField("seed", id).Debug("a seed did not answer the leader announcement")
			}
		})
	}
}

// handleGreet accepts the announcement of a leader, unless a leader is already known.
func (c *Coord) handleGreet(_ context.Context, from link.Peer, body []byte) (proto.Message, error) {
	var req coordpb.Ask
	if err := proto.Unmarshal(body, &req); err != nil {
		return nil, Error.Wrap(err)
	}
	if req.Id != from.Node {
		return nil, Error.New("%q greets as %q", from.Node, req.Id)
	}
	c.mu.Lock()
	if c.leader == "" {
		c.leader = req.Id
	}
	c.mu.Unlock()
	c.SyncSoon()
	return &coordpb.Answer{}, nil
}

// leaderOrPeer returns the last known leader. If there is none, it returns "" or, with
// search, a different member or seed on each call, which may know the leader.
func (c *Coord) leaderOrPeer(search bool) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == c.cfg.Self.ID && c.aggregator == nil {
		c.leader = "" // this instance led before, and may have been removed from the group since
	}
	if c.leader != "" || !search {
		return c.leader
	}
	var peers []string
	for _, id := range slices.Concat(c.members, c.cfg.Seeds()) {
		if id != c.cfg.Self.ID && !slices.Contains(peers, id) {
			peers = append(peers, id)
		}
	}
	if len(peers) == 0 {
		return ""
	}
	c.searchIndex++
	return peers[c.searchIndex%len(peers)]
}

// leaderFailed handles a failed call to the leader: it forgets the leader or follows the
// leader hint in err.
func (c *Coord) leaderFailed(id string, err error) {
	var remoteErr *link.RemoteError
	hint := ""
	if errors.As(err, &remoteErr) && remoteErr.Code == codeNotLeader && remoteErr.Message != c.cfg.Self.ID {
		// A hint to this instance is ignored: others still name it for a while if it led
		// before a restart.
		hint = remoteErr.Message
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case hint != "" && hint != id:
		c.leader = hint
	case c.leader == id:
		c.leader, c.suspect = "", id
	}
	if c.reportedTo == id {
		c.cfg.Log.WithError(err).WithField("event", "leader.lost").WithField("leader", id).Warn("the leader did not answer")
		c.reportedTo = ""
	}
}
