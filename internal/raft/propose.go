package raft

import (
	"context"
	"fmt"

	"cranberrypath.example/cranberrypath/internal/raft/raftpb"
)

type proposal struct {
	kind             raftpb.EntryKind
	data             []byte
	membershipChange func(members) (members, error) // computes the new membership; nil for commands
	learner          *peer                          // the learner that membershipChange promotes, or nil
	term             uint64
	done             chan result // buffered; nil if no caller waits
}

type result struct {
	data []byte
	err  error
}

func (p *proposal) complete(r result) {
	if p.done != nil {
		p.done <- r
	}
}

// Propose replicates a command and returns the result of applying it. After the
// errors *NotLeaderError, ErrStopped and ErrBusy the command was not appended; after
// ErrUnknown it may or may not be applied.
func (g *Group) Propose(ctx context.Context, cmd []byte) ([]byte, error) {
	if len(cmd) > MaxCommandBytes {
		return nil, Error.New("command of %d bytes exceeds %d", len(cmd), MaxCommandBytes)
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

// enqueue queues p for the writer. The caller holds mu.
func (g *Group) enqueue(p *proposal) error {
	switch {
	case g.err != nil:
		return ErrStopped
	case g.role != Leader:
		return &NotLeaderError{g.leader}
	case len(g.queue) >= maxQueueLength || g.queueBytes > maxQueueBytes:
		return ErrBusy
	}
	g.queue = append(g.queue, p)
	g.queueBytes += len(p.data)
	signal(g.writeSignal)
	return nil
}
