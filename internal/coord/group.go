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
	"cranberrypath.example/cranberrypath/internal/walog"
)

const (
	// founderWait is how long an instance without a disk collects those that have
	// one before it names the founder. All instances start within 0.3 s.
	founderWait = 1500 * time.Millisecond
	// tendInterval is how often the leader looks at the membership.
	tendInterval = 200 * time.Millisecond
	// removeAfter is the silence after which a member is removed. Restarts and
	// freezes last a few seconds; a member that returns later is added again.
	removeAfter = 12 * time.Second
	// segmentBytes and snapshotBytes keep the log within a few MB: the disks are small.
	segmentBytes  = 1 << 20
	snapshotBytes = 2 << 20
)

// runMember keeps this instance's member open, whatever its disk does.
func (c *Coord) runMember() {
	founder := ""
	if c.cfg.First {
		if founder = c.findFounder(); founder == "" {
			return
		}
	}
	for c.ctx.Err() == nil {
		c.openMember(founder)
		sleep(c.ctx, reopenPause)
	}
}

// openMember opens the member and returns once it has failed or the instance stops.
func (c *Coord) openMember(founder string) {
	failed := make(chan error, 1)
	m := &member{state: newState()}
	cfg := raft.Config{
		ID: c.cfg.Self.ID, FS: c.cfg.FS, Dir: c.cfg.Dir, Machine: m.state, Transport: c.links, Clock: c.cfg.Clock,
		Seed: uint64(c.cfg.Self.Started.UnixNano()), Heartbeat: heartbeat, Election: election,
		SegmentBytes: segmentBytes, SnapshotBytes: snapshotBytes, Failed: func(err error) { failed <- err },
	}
	if founder == c.cfg.Self.ID {
		cfg.Members = []string{founder}
	}
	g, err := raft.Open(cfg)
	if err != nil {
		c.cfg.Log.WithError(err).WithField("event", "log.openFailed").Error("the replicated log cannot be opened")
		if walog.Corrupt.Has(err) {
			c.wipe()
		}
		return
	}
	m.group = g
	c.mu.Lock()
	c.member = m
	c.mu.Unlock()
	c.links.Serve(g)
	c.cfg.Log.WithField("event", "log.opened").Info("the replicated log is open")
	select {
	case err := <-failed:
		c.cfg.Log.WithError(err).WithField("event", "log.failed").Error("the replicated log stopped")
	case <-c.ctx.Done():
	}
	c.mu.Lock()
	c.member, c.hub = nil, nil
	c.mu.Unlock()
	if err := g.Close(); err != nil {
		c.cfg.Log.WithError(err).WithField("event", "log.closeFailed").Warn("the replicated log was not closed cleanly")
	}
}

// wipe removes a damaged log. The member joins again under a new incarnation,
// which the group counts as the loss of a disk.
func (c *Coord) wipe() {
	for _, dir := range []string{c.cfg.Dir + "/state", c.cfg.Dir} {
		names, err := c.cfg.FS.List(dir)
		for _, name := range names {
			err = errors.Join(err, c.cfg.FS.Remove(dir+"/"+name))
		}
		err = errors.Join(err, c.cfg.FS.SyncDir(dir))
		if err != nil {
			c.cfg.Log.WithError(err).WithField("event", "log.wipeFailed").Error("the damaged log was not removed")
			return
		}
	}
	c.cfg.Log.WithField("event", "log.wiped").Warn("the damaged log was removed; the member joins anew")
}

// findFounder asks the lowest seed, which all instances know alike at the first
// start, who founds the group.
func (c *Coord) findFounder() string {
	for ; c.ctx.Err() == nil; sleep(c.ctx, tendInterval/2) {
		seeds := c.cfg.Seeds()
		if len(seeds) == 0 {
			continue
		}
		first := slices.Min(seeds)
		if first == c.cfg.Self.ID {
			return first
		}
		ctx, cancel := context.WithTimeout(c.ctx, syncTimeout)
		var resp coordpb.Answer
		err := c.cfg.Net.Call(ctx, first, callFounder, &coordpb.Ask{Id: c.cfg.Self.ID, Durable: true}, &resp)
		cancel()
		if err == nil && resp.Id != "" {
			return resp.Id
		}
	}
	return ""
}

func (c *Coord) handleFounder(_ context.Context, _ link.Peer, body []byte) (proto.Message, error) {
	var ask coordpb.Ask
	if err := proto.Unmarshal(body, &ask); err != nil {
		return nil, Error.Wrap(err)
	}
	if c.cfg.Self.Durable {
		return &coordpb.Answer{Id: c.cfg.Self.ID}, nil
	}
	now := c.cfg.Clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.asked.IsZero() {
		c.asked = now
	}
	c.askers = append(c.askers, ask.Id)
	if c.founder == "" && now.Sub(c.asked) >= founderWait {
		c.founder = slices.Min(c.askers)
	}
	return &coordpb.Answer{Id: c.founder}, nil
}

// tendMembers lets the leader add instances with a disk that report and remove
// those that are silent for long.
func (c *Coord) tendMembers() {
	for sleep(c.ctx, tendInterval) {
		now := c.cfg.Clock()
		c.mu.Lock()
		m, h := c.member, c.hub
		c.mu.Unlock()
		if m == nil || h == nil {
			continue
		}
		if _, ok := m.group.Lease(now); !ok {
			continue
		}
		if add, remove := nextChange(m.group.Status(), h.durable(now), c.cfg.MinVoters, h.since, now); add != "" {
			c.changeMember("member.added", add, m.group.Add)
		} else if remove != "" {
			c.changeMember("member.removed", remove, m.group.Remove)
		}
	}
}

func (c *Coord) changeMember(event, id string, f func(context.Context, string) error) {
	ctx, cancel := context.WithTimeout(c.ctx, election)
	defer cancel()
	l := c.cfg.Log.WithField("event", event).WithField("member", id)
	if err := f(ctx, id); err != nil {
		l.WithError(err).Warn("the change of membership did not succeed; it is tried again")
		return
	}
	l.Info("membership changed")
}

// nextChange decides on the membership: present are the instances with a disk
// that report, since is when this leader was elected. One change at a time; additions go first, because a member that
// has lost its disk counts against the quorum until it is added again.
func nextChange(st raft.Status, present []string, minVoters int, since, now time.Time) (add, remove string) {
	peers := map[string]raft.PeerStatus{}
	for _, p := range st.Peers {
		if p.Contact.Before(since) {
			p.Contact = since // a new leader does not know how long others were silent
		}
		peers[p.ID] = p
	}
	healthy, learning := 1, false
	for _, m := range st.Members {
		if m.ID == st.ID {
			continue
		}
		if m.Learner {
			learning = true
		} else if now.Sub(peers[m.ID].Contact) < removeAfter {
			healthy++
		}
	}
	for _, id := range present {
		i := slices.IndexFunc(st.Members, func(m raft.Member) bool { return m.ID == id })
		if i < 0 && !learning || i >= 0 && peers[id].Stranger {
			return id, ""
		}
	}
	for _, m := range st.Members {
		p, ok := peers[m.ID]
		if m.ID == st.ID || !ok || now.Sub(p.Contact) < removeAfter {
			continue
		}
		if m.Learner || healthy >= minVoters {
			return "", m.ID
		}
	}
	return "", ""
}
