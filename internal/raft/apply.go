package raft

import "cranberrypath.example/cranberrypath/internal/raft/raftpb"

// maxApplyBatch is the maximum number of entries applied before Group.applied is
// updated and waiting proposals are answered.
const maxApplyBatch = 512

// runApplier applies committed entries to the state machine.
func (g *Group) runApplier() {
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-g.applySignal:
		}
		for g.ctx.Err() == nil {
			more, err := g.applyBatch()
			if err != nil {
				g.mu.Lock()
				g.fail(err)
				g.mu.Unlock()
				return
			}
			if !more {
				break
			}
		}
	}
}

// applyBatch restores a snapshot or applies a batch of entries, and reports whether
// there was anything to do.
func (g *Group) applyBatch() (bool, error) {
	g.mu.Lock()
	snap, from, to := g.pendingRestore, g.applied, min(g.commit, g.applied+maxApplyBatch)
	g.pendingRestore = nil
	var entries []*raftpb.Entry
	if snap == nil && to > from {
		entries = g.entries[from-g.base : to-g.base]
	}
	g.mu.Unlock()
	if snap != nil {
		if err := g.cfg.Machine.Restore(snap.Data); err != nil {
			return false, Error.Wrap(err)
		}
		g.finishApply(snap.Index, nil, 0)
		return true, nil
	}
	if len(entries) == 0 {
		return false, nil
	}
	size := 0
	results := make([][]byte, len(entries))
	for i, e := range entries {
		if e.Kind == raftpb.EntryKind_ENTRY_KIND_COMMAND {
			results[i] = g.cfg.Machine.Apply(e.Index, e.Data)
		}
		size += len(e.Data)
	}
	if g.finishApply(to, results, size) {
		return true, g.startSnapshot()
	}
	return true, nil
}

// finishApply answers the proposals that were applied and reports whether a new
// snapshot is due.
func (g *Group) finishApply(to uint64, results [][]byte, size int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applied = to
	from := to - uint64(len(results)) + 1
	for i, data := range results {
		index := from + uint64(i)
		// becomeFollower removes the waiters, so this entry is the one the waiter proposed.
		if p := g.waiters[index]; p != nil {
			p.complete(result{data: data})
			delete(g.waiters, index)
		}
	}
	g.broadcast()
	g.bytesSinceSnapshot += size
	return g.bytesSinceSnapshot > max(g.cfg.SnapshotBytes, g.lastSnapshotBytes)
}
