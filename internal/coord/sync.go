package coord

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/coord/coordpb"
	"cranberrypath.example/cranberrypath/internal/link"
	"cranberrypath.example/cranberrypath/internal/quota"
	"cranberrypath.example/cranberrypath/internal/raft"
)

const (
	// othersSearched is the number of searches for the leader of which one asks an instance that
	// is neither a member nor a seed.
	othersSearched = 3
	// minLoggedFailures is the number of failed reports from which on they are logged.
	minLoggedFailures = 16
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
func (c *Coord) Leader() string { return c.leaderOrPeer(false, c.cfg.Clock()) }

// Suspect returns the leader that last failed to answer, or "" once a leader has
// answered.
func (c *Coord) Suspect() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.suspect
}

// syncLoop sends reports to the leader or a relay until the instance stops.
func (c *Coord) syncLoop() {
	t := time.NewTimer(syncInterval)
	defer t.Stop()
	var number uint64
	failures := 0
	var lastSent time.Time
	for {
		var waiters []chan error
		select {
		case <-c.ctx.Done():
			return
		case waiter := <-c.syncRequests:
			waiters = append(waiters, waiter)
			if d := minRelayInterval - c.cfg.Clock().Sub(lastSent); d > 0 && c.relay.hasChildren() && !sleep(c.ctx, d) {
				return
			}
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
		lastSent = c.cfg.Clock()
		err := c.syncOnce(number, len(waiters) > 0)
		for _, w := range waiters {
			if w != nil {
				w <- err
			}
		}
		if err != nil {
			failures++
			c.logSearch(failures, err)
			t.Reset(searchInterval(failures, c.instanceCount(), rand.Float64()))
			continue
		}
		failures = 0
		t.Reset(c.reportInterval())
	}
}

// searchInterval returns the delay before the next report after failed ones. It grows
// with the failures up to a bound that keeps the reports of all instances together, as
// far as they are known, below searchRate: a leader or relay that is overloaded must not
// get more reports than one that is not. random is in [0, 1).
func searchInterval(failures, instances int, random float64) time.Duration {
	bound := time.Duration(max(instances, 1)) * time.Second / searchRate
	if instances == 0 {
		bound = maxSearchInterval // just started
	}
	d := minSearchInterval << min(failures-1, 8)
	d = max(min(d, bound, maxSearchInterval), minSearchInterval)
	return time.Duration((0.5 + random) * float64(d))
}

// logSearch logs that this instance has found no leader for a while, ever more rarely.
func (c *Coord) logSearch(failures int, err error) {
	if failures < minLoggedFailures || failures&(failures-1) != 0 {
		return
	}
	c.mu.Lock()
	fields := log.Fields{"event": "leader.searching", "failures": failures, "seeds": c.cfg.Seeds(), "members": c.members, "instances": len(c.instances)}
	c.mu.Unlock()
	c.cfg.Log.WithError(err).WithFields(fields).Warn("no leader was found so far")
}

func (c *Coord) reportInterval() time.Duration {
	if c.relay.hasChildren() {
		return relayInterval
	}
	return syncInterval
}

func (c *Coord) instanceCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.instances)
}

// syncOnce sends one report and applies the reply.
func (c *Coord) syncOnce(number uint64, urgent bool) error {
	now := c.cfg.Clock()
	c.updateLeadership(now)
	c.mu.Lock()
	seen := c.seen
	direct := c.choice.target(c.cfg.Self, now) == ""
	c.mu.Unlock()
	// A relay has the servers from the leader, and a new leader has them as a relay.
	r := c.cfg.Local.Report(seen.feed == 0 && direct, now)
	req, lastCrash := c.newSyncRequest(r, seen, number, now)
	req.Urgent = urgent
	windows := req.Windows
	children := c.relay.take(req, now)
	sentAt, confirmedAt := now, c.leaseTime(now)
	reply, err := c.sendSync(req, now)
	now = c.cfg.Clock()
	if err != nil {
		c.relay.finish(children, 0, &link.RemoteError{Code: codeNoLeader})
		c.cfg.Local.ReportFailed(now)
		return err
	}
	c.applyReply(reply, req, sentAt, confirmedAt, now)
	c.greetAbsent(now)
	c.relay.finish(children, reply.Epoch, nil)
	c.confirmWindows(windows, reply, seen, now)
	c.crashesSent = lastCrash
	if reply.Feed != seen.feed {
		c.crashesSent = 0
	}
	if reply.Feed != seen.feed && seen.feed != 0 {
		// The new leader or relay has none of the earlier reports; the next report is a
		// full one.
		c.mu.Lock()
		c.seen.feed = 0
		c.mu.Unlock()
		c.SyncSoon()
	}
	return nil
}

// newSyncRequest returns the next report, and the change number up to which it contains the
// crashes.
func (c *Coord) newSyncRequest(r Report, seen seenVersions, number uint64, now time.Time) (req *coordpb.Sync, crashes uint64) {
	self := c.cfg.Self
	self.Ready = r.Ready
	req = &coordpb.Sync{
		Node: self.proto(), Feed: seen.feed, Epoch: seen.term, ServersSeen: seen.servers, NodesSeen: seen.instances, RolloutsSeen: seen.rollouts, Held: prefixesToProto(r.Prefixes), HeldSeen: seen.prefixes, Judged: r.VersionResults,
		Spent: countsToProto(r.Spent), SpentNumber: number, Loads: loadsToProto(r.Loads, now), Demands: demandsToProto(r.Demands),
	}
	req.Node.ConfigVersion = r.ConfigVersion
	records, lastCrash := c.cfg.Blame.Since(c.crashesSent, maxCrashRecords, now)
	req.Crashes, req.CrashesSeen = crashesToProto(records, now), seen.crashes
	for _, s := range r.Servers {
		req.Servers = append(req.Servers, serverToProto(s, now))
	}
	for _, w := range c.windowsDue(r.Windows, now) {
		req.Windows = append(req.Windows, w.proto())
	}
	return req, lastCrash
}

// windowsDue returns the usage windows that have changed since they were last confirmed.
// Behind a relay they are due once per windowsInterval.
func (c *Coord) windowsDue(all []Window, now time.Time) []Window {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.choice.current != "" && now.Sub(c.windowsSentAt) < windowsInterval {
		return nil
	}
	var out []Window
	for _, w := range all {
		if sent, ok := c.windowsSent[w.Number]; !ok || sent != w.total() {
			out = append(out, w)
		}
	}
	return out
}

// confirmWindows records which windows the leader of a term has. A new leader, and a new
// relay, get all of them again.
func (c *Coord) confirmWindows(windows []*coordpb.Window, reply *coordpb.SyncReply, seen seenVersions, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reply.Epoch != seen.term || reply.Feed != seen.feed {
		c.windowsSent, c.windowsSentAt = map[int64]float64{}, time.Time{}
		return
	}
	if len(windows) == 0 {
		return
	}
	c.windowsSentAt = now
	newest := int64(0)
	for _, w := range windows {
		c.windowsSent[w.Number] = Window{w.Number, countsFromProto(w.Counts)}.total()
		newest = max(newest, w.Number)
	}
	for number := range c.windowsSent {
		if number <= newest-retainedWindows {
			delete(c.windowsSent, number)
		}
	}
}

// sendSync delivers the report to the leader, which may be this instance, or to a relay.
func (c *Coord) sendSync(req *coordpb.Sync, now time.Time) (*coordpb.SyncReply, error) {
	c.mu.Lock()
	agg, m := c.aggregator, c.member
	relay := c.choice.target(c.cfg.Self, now)
	if relay != c.choice.current {
		c.cfg.Log.WithField("event", "relay.chosen").WithField("relay", relay).WithField("before", c.choice.current).Info("reports go to another relay, or to the leader")
		c.choice.current = relay
	}
	req.Avoid = c.choice.avoided(now)
	c.mu.Unlock()
	if agg != nil && m != nil {
		return c.answerSync(agg, m, req, now), nil
	}
	target, timeout := relay, relayTimeout
	if relay == "" {
		target, timeout = c.leaderOrPeer(true, now), syncTimeout
	}
	if target == "" || target == c.cfg.Self.ID {
		return nil, ErrUnavailable
	}
	reply, err := c.callSync(target, relay != "", timeout, req)
	var remoteErr *link.RemoteError
	if errors.As(err, &remoteErr) && remoteErr.Code == codeUseRelay && relay == "" {
		relay = remoteErr.Message
		reply, err = c.callSync(relay, true, relayTimeout, req)
	}
	if err == nil && reply.Epoch < req.Epoch {
		err = &link.RemoteError{Code: codeNotLeader} // a leader that has been replaced without noticing it yet
	}
	switch {
	case err == nil:
		return reply, nil
	case relay != "":
		c.relayFailed(relay, err, c.cfg.Clock())
	default:
		c.leaderFailed(target, err)
	}
	return nil, errors.Join(ErrUnavailable, err)
}

func (c *Coord) callSync(target string, throughRelay bool, timeout time.Duration, req *coordpb.Sync) (*coordpb.SyncReply, error) {
	ctx, cancel := context.WithTimeout(c.ctx, timeout)
	defer cancel()
	req.ThroughRelay, req.PartElsewhereMs = throughRelay, 0
	if throughRelay {
		now := c.cfg.Clock()
		c.mu.Lock()
		req.PartElsewhereMs = c.choice.usePart(target, now, now.Add(relayHoldTime+quota.NearbyHoldTime))
		c.mu.Unlock()
	}
	reply := &coordpb.SyncReply{}
	err := c.cfg.Net.Call(ctx, target, callSync, req, reply)
	var remoteErr *link.RemoteError
	if throughRelay && (err == nil || errors.As(err, &remoteErr)) {
		c.mu.Lock()
		c.choice.partAnswered(target, c.cfg.Clock())
		c.mu.Unlock()
	}
	return reply, err
}

// relayFailed handles a report that a relay did not forward.
func (c *Coord) relayFailed(id string, err error, now time.Time) {
	var remoteErr *link.RemoteError
	answered := errors.As(err, &remoteErr)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.choice.failed(id, answered, now)
	switch {
	case !answered:
		c.cfg.Log.WithError(err).WithField("event", "relay.lost").WithField("relay", id).Warn("the relay did not answer")
	case c.reportedTo != "":
		c.cfg.Log.WithError(err).WithField("event", "leader.lost").WithField("leader", c.reportedTo).WithField("relay", id).Warn("the relay reaches no leader")
		c.reportedTo = ""
	}
}

// applyReply records the reply and passes the changes to Local.
func (c *Coord) applyReply(reply *coordpb.SyncReply, req *coordpb.Sync, sentAt, confirmedAt, now time.Time) {
	c.cfg.Blame.Merge(crashesFromProto(reply.Crashes, now), now)
	v := View{
		Leader: reply.Leader, Term: reply.Epoch, ReadyInstances: int(reply.Fronts), Levels: countsFromProto(reply.Levels),
		Prefixes: prefixesFromProto(reply.Held), ReportSentAt: sentAt, Shares: sharesFromProto(reply.Shares, sentAt),
	}
	if !reply.Unconfirmed {
		v.ConfirmedAt = confirmedAt
	}
	if reply.Config != nil {
		v.Version, v.Config = reply.ConfigVersion, reply.Config
	}
	for _, s := range reply.Servers {
		v.Servers = append(v.Servers, serverFromProto(s, now))
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
		feed: reply.Feed, term: reply.Epoch, servers: reply.ServersSeen, instances: reply.NodesSeen, rollouts: reply.RolloutsSeen,
		prefixes: reply.HeldSeen, crashes: reply.CrashesSeen,
	}
	c.evacuations = c.evacuations.WithReply(Evacuations{Version: reply.EvacuationsVersion, DataCentres: reply.Evacuated}, reply.Epoch, !reply.Unconfirmed)
	v.Evacuations = c.evacuations
	v.Loads = c.loadsFromReply(reply, req.Feed, now)
	if reply.NodesChanged {
		v.Instances = c.instancesFromReply(reply, now)
	}
	c.choice.enabled, c.choice.refusals = reply.UseRelays, 0
	if reply.UseRelays {
		v.Relays, v.Parts = len(c.choice.relays), c.relay.parts(now)
	}
	c.mu.Unlock()
	if c.cfg.Self.Durable && reply.Feed != c.feed.id {
		c.updateFeed(reply, v, now)
	}
	if reply.MoreServers && !req.ThroughRelay {
		c.SyncSoon() // a relay collects the reports of many instances first
	}
	c.cfg.Local.Apply(v, now)
}

// loadsFromReply decodes the outstanding work. mu must be held.
func (c *Coord) loadsFromReply(reply *coordpb.SyncReply, feedBefore uint64, now time.Time) []Load {
	if reply.Feed != feedBefore {
		c.serverIDs = make(map[uint32]string, len(reply.Servers))
	}
	for _, s := range reply.Servers {
		c.serverIDs[s.Number] = s.Id
	}
	t := reply.Totals
	n := min(len(t.GetServers()), len(t.GetRunning()), len(t.GetWaiting()), len(t.GetTokens()))
	out := make([]Load, 0, n)
	for i := range n {
		if id := c.serverIDs[t.Servers[i]]; id != "" {
			out = append(out, Load{Server: id, Running: int(t.Running[i]), Waiting: int(t.Waiting[i]), WaitingTokens: int(t.Tokens[i]), Pace: paceAt(t, i, now)})
		}
	}
	return out
}

// instancesFromReply applies the changes of the list of instances and returns the list.
// mu must be held.
func (c *Coord) instancesFromReply(reply *coordpb.SyncReply, now time.Time) []Instance {
	before := c.instances
	c.instances = make(map[string]Instance, max(len(reply.Nodes), len(before)))
	if !reply.NodesAll {
		maps.Copy(c.instances, before)
	}
	for _, n := range reply.Nodes {
		if n.Gone {
			delete(c.instances, n.Id)
			continue
		}
		c.instances[n.Id] = instanceFromProto(n)
	}
	for id := range before {
		if _, ok := c.instances[id]; !ok {
			c.absent.add(now, id)
		}
	}
	out := make([]Instance, 0, len(c.instances))
	c.choice.relays = nil
	for _, inst := range c.instances {
		out = append(out, inst)
		if inst.Durable {
			c.choice.relays = append(c.choice.relays, inst)
		}
	}
	slices.SortFunc(out, func(a, b Instance) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// updateFeed copies the leader's reply to the feed of this instance, from which it answers
// as a relay.
func (c *Coord) updateFeed(reply *coordpb.SyncReply, v View, now time.Time) {
	for _, s := range v.Servers {
		c.feed.roster.Put(s, now)
	}
	if v.Instances != nil {
		c.feed.setInstances(v.Instances)
	}
	c.feed.addPrefixes(reply.Held)
	p := published{
		term: reply.Epoch, leader: reply.Leader, levels: reply.Levels, totals: v.Loads, members: reply.Members,
		rolloutsSeen: reply.RolloutsSeen, counted: reply.Counted, useRelays: reply.UseRelays, unconfirmed: reply.Unconfirmed, shares: reply.Shares,
		evacuations: v.Evacuations,
	}
	c.feed.mu.Lock()
	before := c.feed.published
	c.feed.mu.Unlock()
	p.configVersion, p.config, p.rollouts = before.configVersion, before.config, before.rollouts
	if reply.Config != nil {
		p.configVersion, p.config = reply.ConfigVersion, reply.Config
	}
	if v.Rollouts != nil {
		p.rollouts = reply.Rollouts
	}
	c.feed.publish(p)
}

func (c *Coord) handleSync(ctx context.Context, _ link.Peer, body []byte) (proto.Message, error) {
	var req coordpb.Sync
	if err := proto.Unmarshal(body, &req); err != nil {
		return nil, Error.Wrap(err)
	}
	if req.Node == nil {
		return nil, Error.New("a report without a node")
	}
	now := c.cfg.Clock()
	c.mu.Lock()
	agg := c.aggregator
	c.mu.Unlock()
	m, err := c.leadingMember()
	if err != nil {
		if req.ThroughRelay && c.cfg.Self.Durable {
			return c.relaySync(ctx, &req, now)
		}
		return nil, err
	}
	if agg == nil {
		c.updateLeadership(now)
		c.mu.Lock()
		agg = c.aggregator
		c.mu.Unlock()
	}
	if agg == nil {
		return nil, &link.RemoteError{Code: codeNotLeader}
	}
	if id := agg.relayFor(req.Node, req.Avoid); id != "" {
		return nil, &link.RemoteError{Code: codeUseRelay, Message: id}
	}
	return c.answerSync(agg, m, &req, now), nil
}

// relaySync forwards a report with the next one of this instance and answers it from the
// feed.
func (c *Coord) relaySync(ctx context.Context, req *coordpb.Sync, now time.Time) (proto.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, relayHoldTime)
	defer cancel()
	c.cfg.Blame.Merge(crashesFromProto(req.Crashes, now), now) // in the next report of this instance
	done := c.relay.add(req, now)
	elsewhere := time.Duration(req.PartElsewhereMs) * time.Millisecond
	c.relay.extendPresent(req.Node.Id, elsewhere, now, now.Add(relayHoldTime+quota.NearbyHoldTime))
	defer func() {
		c.relay.setPresent(req.Node.Id, elsewhere, now, c.cfg.Clock().Add(quota.NearbyHoldTime))
	}()
	if req.Urgent {
		c.SyncSoon()
	}
	select {
	case err := <-done:
		if err != nil {
			return nil, err
		}
	case <-ctx.Done():
		return nil, &link.RemoteError{Code: codeNoLeader}
	}
	return c.reply(req, c.cfg.Clock()), nil
}

func (c *Coord) answerSync(agg *aggregator, m *member, req *coordpb.Sync, now time.Time) *coordpb.SyncReply {
	c.configureLedger(agg, now)
	agg.applyReport(req, now)
	c.cfg.Blame.Merge(crashesFromProto(req.Crashes, now), now)
	cfg, rollouts := m.state.config(), m.state.rollouts()
	p := published{
		term: agg.term, leader: c.cfg.Self.ID, configVersion: cfg.Version, config: cfg.Content,
		levels: countsToProto(agg.ledger.Levels(now)), totals: agg.totalLoads(now), rolloutsSeen: rolloutsFingerprint(rollouts),
		useRelays: agg.usesRelays(), unconfirmed: !m.group.Current(c.leaseTime(now)), evacuations: m.state.evacuations(), shares: agg.shares(now),
	}
	for _, r := range rollouts {
		p.rollouts = append(p.rollouts, r.proto())
	}
	for _, peer := range m.group.Status().Members {
		p.members = append(p.members, peer.ID)
	}
	if req.Node.Durable {
		p.counted = agg.usageHandover(now)
	}
	c.feed.publish(p)
	return c.reply(req, now)
}

// rolloutsFingerprint hashes the rollouts to a number that differs after each change.
func rolloutsFingerprint(rollouts []Rollout) uint64 {
	h := xxhash.New()
	for _, r := range rollouts {
		fmt.Fprintf(h, "%q %d %d %d %g;", r.Service, r.Serial, r.Revision, r.Phase, r.Share)
	}
	return h.Sum64()
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
	lease, ok := m.group.Lease(c.leaseTime(now))
	st := m.group.Status()
	c.logElection(st)
	c.mu.Lock()
	switch {
	case st.Role != raft.Leader:
		if c.aggregator != nil {
			c.cfg.Log.WithField("event", "leader.ended").WithField("term", c.aggregator.term).
				WithField("members", memberLogs(c.ledWith, c.leaseTime(c.aggregator.electedAt), c.leaseTime(now))).Info("this instance no longer leads")
		}
		c.aggregator = nil
	case ok && (c.aggregator == nil || c.aggregator.term != lease.Term):
		c.aggregator = newAggregator(c.cfg.Self.ID, c.feed, lease.Term, c.usageHandover, now)
		c.cfg.Log.WithFields(electionFields(st.LastElection)).WithField("event", "leader.began").Info("this instance leads")
	}
	if st.Role == raft.Leader {
		c.ledWith = st
	}
	if st.Leader != "" && st.Role != raft.Leader {
		c.leader = st.Leader
	}
	agg := c.aggregator
	c.mu.Unlock()
	if agg == nil {
		return
	}
	c.configureLedger(agg, now)
	for _, s := range agg.tick(c.cfg.Heartbeat, now) {
		c.cfg.Log.WithField("event", "server.silent").WithField("server", s.ID).WithField("service", s.Service).Warn("backend server expired: no heartbeat received")
	}
}

// configureLedger applies the rate limits of the configuration in force to the ledger.
func (c *Coord) configureLedger(agg *aggregator, now time.Time) {
	version, rules, lastLevels := c.cfg.QuotaRules()
	agg.configure(version, rules, lastLevels, now)
}

// leaderOrPeer returns the last known leader. If there is none, it returns "" or, with
// search, a different member, seed or other instance on each call, which may know the leader.
func (c *Coord) leaderOrPeer(search bool, now time.Time) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == c.cfg.Self.ID && c.aggregator == nil {
		c.leader = "" // this instance led before, and may have been removed from the group since
	}
	if c.leader != "" || !search {
		return c.leader
	}
	c.searchIndex++
	peers, i := slices.Concat(c.members, c.cfg.Seeds()), c.searchIndex-c.searchIndex/othersSearched
	// While this instance was cut off, all members and seeds that it knows may have been
	// replaced. Shortly after it lost the leader, the others have lost it too.
	if c.searchIndex%othersSearched == 0 && now.Sub(c.lastSync) >= contactTime {
		peers, i = slices.Collect(maps.Keys(c.instances)), c.searchIndex/othersSearched
	}
	slices.Sort(peers)
	peers = slices.DeleteFunc(slices.Compact(peers), func(id string) bool { return id == c.cfg.Self.ID })
	if len(peers) == 0 {
		return ""
	}
	return peers[i%len(peers)]
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
