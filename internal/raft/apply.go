package raft

import "cranberrypath.example/cranberrypath/internal/raft/raftpb"

// maxApply bounds the entries applied between two updates of the status.
const maxApply = 512

// apply passes committed entries to the machine.
func (g *Group) apply() {
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-g.ready:
		}
		for g.ctx.Err() == nil {
			more, err := g.applySome()
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

// applySome restores a snapshot or applies a run of entries, and reports
// whether it did either.
func (g *Group) applySome() (bool, error) {
	g.mu.Lock()
	snap, from, to := g.restore, g.applied, min(g.commit, g.applied+maxApply)
	g.restore = nil
	var run []*raftpb.Entry
	if snap == nil && to > from {
		run = g.entries[from-g.base : to-g.base]
	}
	g.mu.Unlock()
	if snap != nil {
		if err := g.cfg.Machine.Restore(snap.Data); err != nil {
			return false, Error.Wrap(err)
		}
		g.finishApply(snap.Index, nil, 0)
		return true, nil
	}
	if len(run) == 0 {
		return false, nil
	}
	size := 0
	answers := make([][]byte, len(run))
	for i, e := range run {
		if e.Kind == raftpb.EntryKind_ENTRY_KIND_COMMAND {
			answers[i] = g.cfg.Machine.Apply(e.Index, e.Data)
		}
		size += len(e.Data)
	}
	if g.finishApply(to, answers, size) {
		return true, g.snapshot()
	}
	return true, nil
}

// finishApply answers the proposals that were applied and reports whether a
// snapshot is due.
func (g *Group) finishApply(to uint64, answers [][]byte, size int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applied = to
	from := to - uint64(len(answers)) + 1
	for i, a := range answers {
		index := from + uint64(i)
		// A waiter exists only while its entry's term is the one it was proposed in.
		if p := g.waiters[index]; p != nil {
			p.finish(result{data: a})
			delete(g.waiters, index)
		}
	}
	g.broadcast()
	g.sinceSnap += size
	return g.sinceSnap > max(g.cfg.SnapshotBytes, g.snapBytes)
}
