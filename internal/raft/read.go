package raft

import (
	"context"
	"time"

	"cranberrypath.example/cranberrypath/internal/raft/raftpb"
)

// Barrier returns an index at which a read of this member's machine is
// linearizable, after the machine has reached it. A member that is not the leader
// asks the leader. Its errors are *NotLeader, ErrStopped and that of the context.
func (g *Group) Barrier(ctx context.Context) (uint64, error) {
	g.mu.Lock()
	role, leader, err := g.role, g.leader, g.err
	g.mu.Unlock()
	if err != nil {
		return 0, ErrStopped
	}
	if role == Leader {
		index, err := g.confirm(ctx)
		if err != nil {
			return 0, err
		}
		return index, g.awaitApplied(ctx, index)
	}
	if leader == "" {
		return 0, &NotLeader{}
	}
	resp, err := g.cfg.Transport.Call(ctx, leader, g.message(raftpb.Kind_KIND_BARRIER))
	if err != nil {
		return 0, &NotLeader{leader}
	}
	if !resp.Ok || resp.From != leader {
		return 0, &NotLeader{resp.Leader}
	}
	return resp.Match, g.awaitApplied(ctx, resp.Match)
}

// confirm returns the commit index at a moment at which this member holds the
// lease. The clock is read after the index: no other leader can have committed
// anything before that moment.
func (g *Group) confirm(ctx context.Context) (uint64, error) {
	for {
		g.mu.Lock()
		if g.role != Leader || g.err != nil {
			err := g.refusal()
			g.mu.Unlock()
			return 0, err
		}
		index, changed := g.commit, g.changed
		now := g.cfg.Clock()
		held := index >= g.termStart && now.Before(g.leaseUntil(now))
		g.mu.Unlock()
		if held {
			return index, nil
		}
		if err := wait(ctx, changed, g.cfg.Heartbeat); err != nil {
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
		if err := wait(ctx, changed, g.cfg.Heartbeat); err != nil {
			return err
		}
	}
}

func wait(ctx context.Context, changed chan struct{}, most time.Duration) error {
	t := time.NewTimer(most)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
	return nil
}
