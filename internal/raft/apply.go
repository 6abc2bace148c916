package raft

import (
	"fmt"
	"path/filepath"
	"strings"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/disk"
	"cranberrypath.example/cranberrypath/internal/raft/raftpb"
	"cranberrypath.example/cranberrypath/internal/walog"
)

const (
	snapPrefix = "snapshot-"
	// maxApply bounds the entries applied between two updates of the status.
	maxApply = 512
)

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

func (g *Group) snapPath(index uint64) string {
	return filepath.Join(g.cfg.Dir, fmt.Sprintf(snapPrefix+"%020d", index))
}

// snapshot takes the machine's state, and writes it to a file and cuts the
// front of the log while the machine goes on.
func (g *Group) snapshot() error {
	data, err := g.cfg.Machine.Snapshot()
	if err != nil {
		return Error.Wrap(err)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	index := g.applied
	if g.snapping || g.restore != nil || index < g.base {
		return nil // another is under way, or a newer one has arrived
	}
	snap := &raftpb.Snapshot{Index: index, Term: g.termAt(index), Members: g.membersAt(index).proto(), Data: data}
	g.snapping, g.sinceSnap = true, 0
	g.wg.Go(func() {
		err := g.writeSnapshot(snap)
		g.mu.Lock()
		defer g.mu.Unlock()
		g.snapping = false
		if err != nil {
			g.fail(err)
		}
	})
	return nil
}

func (g *Group) writeSnapshot(snap *raftpb.Snapshot) error {
	content, err := proto.Marshal(snap)
	if err != nil {
		return Error.Wrap(err)
	}
	if len(content) > maxSnapshotBytes {
		return Error.New("group %d: snapshot of %d bytes exceeds %d", g.cfg.Group, len(content), maxSnapshotBytes)
	}
	if err := walog.WriteFile(g.cfg.FS, g.snapPath(snap.Index), content); err != nil {
		return Error.Wrap(err)
	}
	old, err := g.retire(snap.Index, len(content))
	if err != nil || old == 0 {
		return err
	}
	return Error.Wrap(g.cfg.FS.Remove(g.snapPath(old)))
}

// retire makes the snapshot at index the current one and cuts the log. It
// returns the index of the snapshot to remove, if any.
func (g *Group) retire(index uint64, size int) (uint64, error) {
	g.io.Lock()
	defer g.io.Unlock()
	g.mu.Lock()
	if g.err != nil {
		g.mu.Unlock()
		return 0, nil
	}
	old := g.snapIndex
	if old >= index {
		g.mu.Unlock()
		return index, nil // the leader has sent a newer one meanwhile
	}
	g.snapIndex, g.snapBytes = index, size
	base := index
	for kept := 0; base > g.base && index-base < trailingEntries; base-- {
		if kept += len(g.entries[base-g.base-1].Data); kept > trailingBytes {
			break
		}
	}
	baseTerm := g.termAt(base)
	// A copy lets the memory of the dropped entries go.
	g.entries = append([]*raftpb.Entry(nil), g.entries[base-g.base:]...)
	g.base, g.baseTerm = base, baseTerm
	at := membersAt{index, g.membersAt(index)}
	g.history = append([]membersAt{at}, g.historyAfter(index)...)
	g.mu.Unlock()
	g.later(g.log.Trim(base))
	return old, nil
}

func (g *Group) historyAfter(index uint64) []membersAt {
	for i, h := range g.history {
		if h.index > index {
			return g.history[i:]
		}
	}
	return nil
}

// loadSnapshot reads the newest snapshot and removes older ones, which a crash
// may have left.
func (g *Group) loadSnapshot() (*raftpb.Snapshot, error) {
	names, err := g.cfg.FS.List(g.cfg.Dir)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var newest string
	for _, name := range names {
		if !strings.HasPrefix(name, snapPrefix) || strings.HasSuffix(name, disk.TempSuffix) {
			continue
		}
		if newest != "" {
			if err := g.cfg.FS.Remove(filepath.Join(g.cfg.Dir, newest)); err != nil {
				return nil, Error.Wrap(err)
			}
		}
		newest = name
	}
	if newest == "" {
		return nil, nil
	}
	content, err := walog.ReadFile(g.cfg.FS, filepath.Join(g.cfg.Dir, newest))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	snap := &raftpb.Snapshot{}
	if err := proto.Unmarshal(content, snap); err != nil {
		return nil, Error.Wrap(err)
	}
	g.snapBytes = len(content)
	return snap, nil
}
