package raft

import (
	"context"
	"time"

	"cranberrypath.example/cranberrypath/internal/raft/raftpb"
)

// Barrier returns a read index and waits until this member's state machine has
// applied it; a read of the state machine is then linearizable. A follower gets the
// read index from the leader. The errors are *NotLeader, ErrStopped and the context's.
func (g *Group) Barrier(ctx context.Context) (uint64, error) {
	g.mu.Lock()
	role, leader, err := g.role, g.leader, g.err
	g.mu.Unlock()
	if err != nil {
		return 0, ErrStopped
	}
	if role == Leader {
		index, err := g.leaseReadIndex(ctx)
		if err != nil {
			return 0, err
		}
		return index, g.awaitApplied(ctx, index)
	}
	if leader == "" {
		return 0, &NotLeader{}
	}
	resp, err := g.cfg.Transport.Call(ctx, leader, g.newMessage(raftpb.Kind_KIND_BARRIER))
	if err != nil {
		return 0, &NotLeader{leader}
	}
	if !resp.Ok || resp.From != leader {
		return 0, &NotLeader{resp.Leader}
	}
	return resp.Match, g.awaitApplied(ctx, resp.Match)
}

// leaseReadIndex waits until this member holds the lease and returns the commit
// index. The clock is read after the index, so no other leader can have committed
// anything before the index was read.
func (g *Group) leaseReadIndex(ctx context.Context) (uint64, error) {
	for {
		g.mu.Lock()
		if g.role != Leader || g.err != nil {
			err := g.rejectionError()
			g.mu.Unlock()
			return 0, err
		}
		index, changed := g.commit, g.changed
		now := g.cfg.Clock()
		holdsLease := index >= g.termStartIndex && now.Before(g.leaseUntil(now))
		g.mu.Unlock()
		if holdsLease {
			return index, nil
		}
		if err := waitForChange(ctx, changed, g.cfg.Heartbeat); err != nil {
			return 0, err
		}
	}
}

func (g *Group) awaitApplied(ctx context.Context, index uint64) error {
	for {
		g.mu.Lock()
		applied, changed, err := g.applied, g.changed, g.err
		g.mu.Unlock()
		if applied >= index {
			return nil
		}
		if err != nil {
			return ErrStopped
		}
		if err := waitForChange(ctx, changed, g.cfg.Heartbeat); err != nil {
			return err
		}
	}
}

// waitForChange waits until changed is closed, the timeout expires or ctx ends.
func waitForChange(ctx context.Context, changed chan struct{}, timeout time.Duration) error {
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
	return nil
}
