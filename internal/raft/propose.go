package raft

import (
	"context"
	"fmt"

	"cranberrypath.example/cranberrypath/internal/raft/raftpb"
)

type proposal struct {
	kind   raftpb.EntryKind
	data   []byte
	change func(members) (members, error) // for membership changes
	peer   *peer                          // the learner that change promotes, or nil
	term   uint64
	done   chan result // buffered; nil if nobody waits
}

type result struct {
	data []byte
	err  error
}

func (p *proposal) finish(r result) {
	if p.done != nil {
		p.done <- r
	}
}

// Propose appends a command and returns what the machine answered. Its errors
// are *NotLeader, ErrStopped and ErrBusy, after which the command has no effect,
// and ErrUnknown.
func (g *Group) Propose(ctx context.Context, cmd []byte) ([]byte, error) {
	if len(cmd) > maxCommandBytes {
		return nil, Error.New("command of %d bytes exceeds %d", len(cmd), maxCommandBytes)
	}
	return g.propose(ctx, &proposal{kind: raftpb.EntryKind_ENTRY_KIND_COMMAND, data: cmd})
}

func (g *Group) propose(ctx context.Context, p *proposal) ([]byte, error) {
	p.done = make(chan result, 1)
	g.mu.Lock()
	if err := g.enqueue(p); err != nil {
		g.mu.Unlock()
		return nil, err
	}
	g.mu.Unlock()
	select {
	case r := <-p.done:
		return r.data, r.err
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", ErrUnknown, ctx.Err())
	}
}

// enqueue passes p to the writer. The caller holds mu.
func (g *Group) enqueue(p *proposal) error {
	switch {
	case g.err != nil:
		return ErrStopped
	case g.role != Leader:
		return &NotLeader{g.leader}
	case len(g.queue) >= maxQueue || g.queueBytes > maxQueueBytes:
		return ErrBusy
	}
	g.queue = append(g.queue, p)
	g.queueBytes += len(p.data)
	signal(g.wake)
	return nil
}
