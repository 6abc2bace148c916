package coord

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/coord/coordpb"
	"cranberrypath.example/cranberrypath/internal/link"
)

const (
	// greetInterval and maxGreetInterval bound the interval at which an absent instance is told
	// the leader. It grows with the time for which the instance has been absent.
	greetInterval    = time.Second
	maxGreetInterval = 10 * time.Second
	// greetRate is the number of times a second that all instances but the leader together may
	// tell an absent one.
	greetRate = 5
	// maxGreetings bounds the absent instances that one instance tells at the same time: a whole
	// data centre can be absent.
	maxGreetings = 8
	// rememberAbsent is how long an absent instance is remembered that is not a seed.
	rememberAbsent = 15 * time.Minute
	// maxAbsent bounds the absent instances that are remembered.
	maxAbsent = 1024
	// contactTime is how long after the last reply of a leader an instance still tells others
	// who leads.
	contactTime = 2 * time.Second
)

// absentee is an instance that does not report to the leader although this one has heard of it.
type absentee struct {
	since     time.Time
	greetedAt time.Time
	wait      time.Duration // until the next greeting
}

// absentees are the instances that may be looking for the leader: the seeds of this instance and
// those that reported before. An instance without a disk remembers nothing over a restart but the
// seeds in its settings, and these may all have restarted as well. So it can't be left to those
// who search: whoever is in contact with the leader tells it to the absent.
type absentees struct {
	mu  sync.Mutex
	all map[string]*absentee
}

func newAbsentees() *absentees { return &absentees{all: map[string]*absentee{}} }

// add remembers instances that are no longer listed.
func (a *absentees) add(now time.Time, ids ...string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, id := range ids {
		if a.all[id] == nil && len(a.all) < maxAbsent {
			a.all[id] = &absentee{since: now}
		}
	}
}

// ids returns the IDs of the absent instances.
func (a *absentees) ids() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Collect(maps.Keys(a.all))
}

// due returns the absent instances that are to be told the leader now. listed are the instances
// that report; leads tells whether this one is the leader.
func (a *absentees) due(seeds []string, self string, listed map[string]Instance, leads bool, now time.Time) []string {
	missing := slices.DeleteFunc(slices.Clone(seeds), func(id string) bool {
		_, ok := listed[id]
		return ok || id == self
	})
	a.add(now, missing...)
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []string
	for id, e := range a.all {
		_, ok := listed[id]
		switch {
		case ok || id == self || now.Sub(e.since) > rememberAbsent && !slices.Contains(missing, id):
			delete(a.all, id)
		case e.greetedAt.IsZero() && !leads && e.wait == 0:
			// The others notice at the same time.
			e.wait, e.greetedAt = greetWait(0, len(listed), leads, rand.Float64()), now
		case now.Sub(e.greetedAt) >= e.wait:
			out = append(out, id)
		}
	}
	slices.SortFunc(out, func(x, y string) int {
		return cmp.Or(a.all[x].greetedAt.Compare(a.all[y].greetedAt), cmp.Compare(x, y))
	})
	out = out[:min(len(out), maxGreetings)]
	for _, id := range out {
		e := a.all[id]
		e.greetedAt, e.wait = now, greetWait(now.Sub(e.since), len(listed), leads, rand.Float64())
	}
	return out
}

// greetWait returns the time until the next greeting of an instance that has been absent for a
// while. random is in [0, 1).
func greetWait(absent time.Duration, instances int, leads bool, random float64) time.Duration {
	d := min(max(absent/4, greetInterval), maxGreetInterval)
	if !leads {
		d = max(d, time.Duration(instances)*time.Second/greetRate)
	}
	return time.Duration((0.5 + random) * float64(d))
}

// greetAbsent tells the leader to absent instances, while this one is in contact with it.
func (c *Coord) greetAbsent(now time.Time) {
	c.mu.Lock()
	leader, leads, listed := c.reportedTo, c.aggregator != nil, c.instances
	inContact := leader != "" && now.Sub(c.lastSync) < contactTime
	var due []string
	if inContact {
		due = c.absent.due(c.cfg.Seeds(), c.cfg.Self.ID, listed, leads, now)
	}
	c.mu.Unlock()
	for _, id := range due {
		c.wg.Go(func() {
			ctx, cancel := context.WithTimeout(c.ctx, syncTimeout)
			defer cancel()
			req := &coordpb.Ask{Id: c.cfg.Self.ID, Leader: leader}
			if err := c.cfg.Net.Call(ctx, id, callGreet, req, &coordpb.Answer{}); err != nil {
				c.cfg.Log.WithError(err).WithField("event", "absent.unreachable").WithField("instance", id).Debug("an absent instance could not be told the leader")
			}
		})
	}
}

// handleGreet accepts what another instance says of the leader, unless this one is in contact
// with a leader.
func (c *Coord) handleGreet(_ context.Context, from link.Peer, body []byte) (proto.Message, error) {
	var req coordpb.Ask
	if err := proto.Unmarshal(body, &req); err != nil {
		return nil, Error.Wrap(err)
	}
	if req.Id != from.Node {
		return nil, Error.New("%q greets as %q", from.Node, req.Id)
	}
	leader := cmp.Or(req.Leader, req.Id) // leaders of earlier program versions say only their own ID
	c.mu.Lock()
	if learns := c.reportedTo == "" && leader != c.cfg.Self.ID; learns {
		c.leader = leader
		c.cfg.Log.WithField("event", "leader.told").WithField("leader", leader).WithField("by", req.Id).Info("another instance told the leader")
	}
	c.mu.Unlock()
	c.SyncSoon()
	return &coordpb.Answer{}, nil
}
