package node

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"cranberrypath.example/cranberrypath/internal/contrl"
	"cranberrypath.example/cranberrypath/internal/raft"
)

const (
	// voterSilentAfter is the time without an answer after which a voter is taken for dead.
	// Voters answer a heartbeat every 100 ms, also during a slow sync.
	voterSilentAfter = 2 * time.Second
	// voterPollInterval is the delay between two looks at the voters' answers.
	voterPollInterval = 20 * time.Millisecond
)

// errVoterUnknown means that it is too early to tell whether a voter answers.
var errVoterUnknown = Error.New("a voter has not answered since the change was requested")

// awaitVoters waits until all voters of a group that this member leads have answered, and
// returns an error if the change must not be made. It returns nil if this member does not
// lead.
func (c *control) awaitVoters(ctx context.Context, g *raft.Group, member string, add bool) error {
	requested := c.node.cfg.Now()
	for {
		now := c.node.cfg.Now()
		lease, ok := g.Lease(now)
		st := g.Status()
		if st.Role != raft.Leader {
			return nil
		}
		err := errVoterUnknown
		if ok {
			err = checkMemberChange(st, lease, member, add, requested, now)
		}
		if !errors.Is(err, errVoterUnknown) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(voterPollInterval):
		}
	}
}

// checkMemberChange returns an error of type *contrl.VoterSilentError if another voter does
// not answer and must be removed or added again before the change. It counts towards the
// majority of the changed group, which may then be out of reach, or end with the next loss;
// without it the group tolerates at least as many losses. st and lease are those of the
// leader. The error is errVoterUnknown if a voter has not answered since the request and
// may still do so.
func checkMemberChange(st raft.Status, lease raft.Lease, member string, add bool, requested, now time.Time) error {
	silent := map[string]bool{}
	unknown := false
	for _, p := range st.Peers {
		switch {
		case p.Learner:
		case p.IncarnationMismatch, now.Sub(p.Contact) >= voterSilentAfter && now.Sub(lease.PreviousLeaseEnd) >= voterSilentAfter:
			silent[p.ID] = true
		case p.Contact.Before(requested) && p.ID != member:
			unknown = true
		}
	}
	m := slices.IndexFunc(st.Members, func(m raft.Member) bool { return m.ID == member })
	isMember, isVoter := m >= 0, m >= 0 && !st.Members[m].Learner
	switch {
	case silent[member]:
		return nil // the change ends the vote of a dead voter
	case add && isMember, !add && !isVoter:
		return nil // the voters stay the same
	case len(silent) > 0:
		return &contrl.VoterSilentError{Voters: slices.Sorted(maps.Keys(silent))}
	case unknown:
		return errVoterUnknown
	}
	return nil
}
