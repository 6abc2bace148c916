package coord

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/coord/coordpb"
	"cranberrypath.example/cranberrypath/internal/link"
	"cranberrypath.example/cranberrypath/internal/raft"
	"cranberrypath.example/cranberrypath/internal/walog"
)

const (
	// founderWait is how long an instance without a disk collects candidates before it
	// chooses the founder. All instances start within 0.3 s.
	founderWait = 1500 * time.Millisecond
	// membershipInterval is the interval at which the leader checks the membership.
	membershipInterval = 200 * time.Millisecond
	// removeSilentAfter is the time without contact after which a member is removed if
	// enough others are left. It must be shorter than the time in which a deployment expects
	// to bear its next loss. A member that returns is added again.
	removeSilentAfter = 2 * electionTimeout
	// addRetryDelay is how long a member that could not be added gives way to others.
	addRetryDelay = 2 * time.Second
	// segmentBytes and snapshotBytes limit the log to a few MB, because disks are small.
	segmentBytes  = 1 << 20
	snapshotBytes = 2 << 20
)

// runMember opens this instance's member, and reopens it after each failure.
func (c *Coord) runMember() {
	founder := ""
	if c.cfg.Bootstrap {
		if founder = c.findFounder(); founder == "" {
			return
		}
	}
	for c.ctx.Err() == nil {
		if c.runMemberOnce(founder) {
			founder = "" // the group exists: a member without its log must not found another one
		}
		sleep(c.ctx, reopenDelay)
	}
}

// runMemberOnce opens the member and returns once the log fails or the instance stops. It
// reports whether the log was opened.
func (c *Coord) runMemberOnce(founder string) bool {
	failure := make(chan error, 1)
	m := &member{state: newStateMachine(c.learnDepartures)}
	cfg := raft.Config{
		ID: c.cfg.Self.ID, FS: c.cfg.FS, Dir: c.cfg.Dir, StateMachine: m.state, Transport: c.links, Clock: func() time.Time { return c.leaseTime(c.cfg.Clock()) },
		Seed: uint64(c.cfg.Self.Started.UnixNano()), HeartbeatInterval: raftHeartbeat, ElectionTimeout: electionTimeout,
		SegmentBytes: segmentBytes, SnapshotBytes: snapshotBytes, OnFailure: func(err error) { failure <- err },
	}
	if founder == c.cfg.Self.ID {
		cfg.Members = []string{founder}
	}
	group, err := raft.Open(cfg)
	if err != nil {
		c.cfg.Log.WithError(err).WithField("event", "log.openFailed").Error("opening the replicated log failed")
		if walog.Corrupt.Has(err) {
			c.wipeLog()
		}
		return false
	}
	m.group = group
	c.mu.Lock()
	c.member = m
	c.mu.Unlock()
	c.links.Register(group)
	c.cfg.Log.WithField("event", "log.opened").Info("the replicated log is open")
	select {
	case err := <-failure:
		c.cfg.Log.WithError(err).WithField("event", "log.failed").Error("the replicated log failed")
	case <-c.ctx.Done():
	}
	c.mu.Lock()
	c.member, c.aggregator = nil, nil
	c.mu.Unlock()
	if err := group.Close(); err != nil {
		c.cfg.Log.WithError(err).WithField("event", "log.closeFailed").Warn("closing the replicated log failed")
	}
	return true
}

// wipeLog removes a corrupt log. The member rejoins under a new incarnation, which the
// group treats as the loss of a disk.
func (c *Coord) wipeLog() {
	for _, dir := range []string{c.cfg.Dir + "/state", c.cfg.Dir} {
		names, err := c.cfg.FS.List(dir)
		for _, name := range names {
			err = errors.Join(err, c.cfg.FS.Remove(dir+"/"+name))
		}
		err = errors.Join(err, c.cfg.FS.SyncDir(dir))
		if err != nil {
			c.cfg.Log.WithError(err).WithField("event", "log.wipeFailed").Error("removing the corrupt log failed")
			return
		}
	}
	c.cfg.Log.WithField("event", "log.wiped").Warn("the corrupt log was removed; the member rejoins under a new incarnation")
}

// findFounder asks the lowest seed for the founder of the group. At the first start
// all instances have the same seeds.
func (c *Coord) findFounder() string {
	for ; c.ctx.Err() == nil; sleep(c.ctx, membershipInterval/2) {
		seeds := c.cfg.Seeds()
		if len(seeds) == 0 {
			continue
		}
		lowest := slices.Min(seeds)
		if lowest == c.cfg.Self.ID {
			return lowest
		}
		ctx, cancel := context.WithTimeout(c.ctx, syncTimeout)
		var resp coordpb.Answer
		err := c.cfg.Net.Call(ctx, lowest, callFounder, &coordpb.Ask{Id: c.cfg.Self.ID, Durable: true}, &resp)
		cancel()
		if err == nil && resp.Id != "" {
			return resp.Id
		}
	}
	return ""
}

func (c *Coord) handleFounder(_ context.Context, _ link.Peer, body []byte) (proto.Message, error) {
	var req coordpb.Ask
	if err := proto.Unmarshal(body, &req); err != nil {
		return nil, Error.Wrap(err)
	}
	if c.cfg.Self.Durable {
		return &coordpb.Answer{Id: c.cfg.Self.ID}, nil
	}
	now := c.cfg.Clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.firstAskedAt.IsZero() {
		c.firstAskedAt = now
	}
	c.founderCandidates = append(c.founderCandidates, req.Id)
	if c.founder == "" && now.Sub(c.firstAskedAt) >= founderWait {
		c.founder = slices.Min(c.founderCandidates)
	}
	return &coordpb.Answer{Id: c.founder}, nil
}

// manageMembers adds reporting instances with a disk to the group and removes silent
// members, while this instance leads.
func (c *Coord) manageMembers() {
	addFailedAt := map[string]time.Time{}
	for sleep(c.ctx, membershipInterval) {
		now := c.cfg.Clock()
		c.mu.Lock()
		m, agg := c.member, c.aggregator
		c.mu.Unlock()
		if m == nil || agg == nil {
			continue
		}
		if _, ok := m.group.Lease(c.leaseTime(now)); !ok {
			continue
		}
		maps.DeleteFunc(addFailedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= addRetryDelay })
		reporting := slices.DeleteFunc(agg.reportingDurable(now), func(id string) bool { return !addFailedAt[id].IsZero() })
		add, remove := nextMembershipChange(m.group.Status(), reporting, c.cfg.MinVoters, c.leaseTime(agg.electedAt), c.leaseTime(now))
		switch {
		case remove != "":
			c.changeMember("member.removed", remove, m.group.Remove)
		case add != "" && !c.changeMember("member.added", add, m.group.Add):
			addFailedAt[add] = c.cfg.Clock()
		}
	}
}

// changeMember makes a change and reports whether it is committed.
func (c *Coord) changeMember(event, id string, change func(context.Context, string) error) bool {
	ctx, cancel := context.WithTimeout(c.ctx, electionTimeout)
	defer cancel()
	logger := c.cfg.Log.WithField("event", event).WithField("member", id)
	if err := change(ctx, id); err != nil {
		logger.WithError(err).Warn("membership change failed; retrying")
		return false
	}
	c.mu.Lock()
	m, agg := c.member, c.aggregator
	c.mu.Unlock()
	if m != nil && agg != nil {
		now := c.cfg.Clock()
		logger = logger.WithField("members", memberLogs(m.group.Status(), c.leaseTime(agg.electedAt), c.leaseTime(now)))
	}
	logger.Info("membership changed")
	return true
}

// nextMembershipChange returns the next member to add or remove, or empty strings.
// reporting lists the instances with a disk that report. Members change one at a time.
//
// A silent voter weakens the group until it is removed: every member that is added
// raises the majority that the others must reach without it. So silent voters are
// removed before replacements are added, unless too few voters would be left.
func nextMembershipChange(st raft.Status, reporting []string, minVoters int, electedAt, now time.Time) (add, remove string) {
	contacts := map[string]time.Time{st.ID: now}
	for _, p := range st.Peers {
		// A new leader does not know earlier contacts, and a new member has had none.
		contacts[p.ID] = later(later(p.Contact, p.AddedAt), electedAt)
		if p.IncarnationMismatch && slices.Contains(reporting, p.ID) {
			return p.ID, "" // it lost its disk, so it cannot vote until it is added again
		}
	}
	voters, hasLearner := 0, false
	silentVoter, silentLearner := "", ""
	for _, m := range st.Members {
		contact, known := contacts[m.ID]
		silent := known && now.Sub(contact) >= removeSilentAfter
		switch {
		case silent && m.Learner:
			silentLearner = m.ID
		case silent:
			silentVoter = m.ID
		}
		if m.Learner {
			hasLearner = true
		} else {
			voters++
		}
	}
	if silentLearner != "" {
		return "", silentLearner
	}
	// Silent voters that stay count as well: the others need a smaller majority without
	// this one, and never a larger one.
	if silentVoter != "" && voters > minVoters {
		return "", silentVoter
	}
	if hasLearner {
		return "", ""
	}
	for _, id := range reporting {
		if !slices.ContainsFunc(st.Members, func(m raft.Member) bool { return m.ID == id }) {
			return id, ""
		}
	}
	return "", ""
}
