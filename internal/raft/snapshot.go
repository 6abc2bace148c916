package raft

import (
	"context"
	"fmt"
	"path/filepath"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/disk"
	"cranberrypath.example/cranberrypath/internal/raft/raftpb"
	"cranberrypath.example/cranberrypath/internal/walog"
)

const (
	// snapshotChunkBytes is the size of a snapshot chunk; a link message is at most 16 MiB.
	snapshotChunkBytes = 1 << 20
	// maxSnapshotBytes limits the size of a snapshot.
	maxSnapshotBytes = 256 << 20
	// trailingEntries and trailingBytes limit the entries before a snapshot that
	// stay in the log for members that are slightly behind.
	trailingEntries = 1024
	trailingBytes   = 1 << 20
	snapshotPrefix  = "snapshot-" // of file names
)

func (g *Group) snapshotPath(index uint64) string {
	return filepath.Join(g.cfg.Dir, fmt.Sprintf(snapshotPrefix+"%020d", index))
}

// startSnapshot takes the state of the state machine. In the background it writes
// that to a file and truncates the front of the log.
func (g *Group) startSnapshot() error {
	data, err := g.cfg.Machine.Snapshot()
	if err != nil {
		return Error.Wrap(err)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	index := g.applied
	if g.writingSnapshot || g.pendingRestore != nil || index < g.base {
		return nil // a snapshot is being written, or a newer one has arrived
	}
	snap := &raftpb.Snapshot{Index: index, Term: g.termAt(index), Members: g.membersAt(index).proto(), Data: data}
	g.writingSnapshot, g.bytesSinceSnapshot = true, 0
	g.wg.Go(func() {
		err := g.writeSnapshot(snap)
		g.mu.Lock()
		defer g.mu.Unlock()
		g.writingSnapshot = false
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
	if err := walog.WriteFile(g.cfg.FS, g.snapshotPath(snap.Index), content); err != nil {
		return Error.Wrap(err)
	}
	obsolete, err := g.compactLog(snap.Index, len(content))
	if err != nil || obsolete == 0 {
		return err
	}
	return Error.Wrap(g.cfg.FS.Remove(g.snapshotPath(obsolete)))
}

// compactLog makes the snapshot at index the current one and truncates the front of
// the log. It returns the index of the snapshot to remove, or 0 if there is none.
func (g *Group) compactLog(index uint64, size int) (uint64, error) {
	g.diskMu.Lock()
	defer g.diskMu.Unlock()
	g.mu.Lock()
	if g.err != nil {
		g.mu.Unlock()
		return 0, nil
	}
	previous := g.snapshotIndex
	if previous >= index {
		g.mu.Unlock()
		return index, nil // a newer snapshot from the leader was installed meanwhile
	}
	g.snapshotIndex, g.lastSnapshotBytes = index, size
	base := index
	for kept := 0; base > g.base && index-base < trailingEntries; base-- {
		if kept += len(g.entries[base-g.base-1].Data); kept > trailingBytes {
			break
		}
	}
	baseTerm := g.termAt(base)
	// Copying the slice frees the memory of the dropped entries.
	g.entries = append([]*raftpb.Entry(nil), g.entries[base-g.base:]...)
	g.base, g.baseTerm = base, baseTerm
	current := membership{index, g.membersAt(index)}
	g.memberships = append([]membership{current}, g.membershipsAfter(index)...)
	g.mu.Unlock()
	g.queueFileTask(g.log.TruncateFrontFunc(base))
	return previous, nil
}

func (g *Group) membershipsAfter(index uint64) []membership {
	for i, m := range g.memberships {
		if m.index > index {
			return g.memberships[i:]
		}
	}
	return nil
}

// maxSnapshotRestarts limits how often sending a snapshot restarts.
const maxSnapshotRestarts = 2

// sendSnapshot sends the newest snapshot in chunks and reports whether replication
// should continue at once.
func (g *Group) sendSnapshot(ctx context.Context, p *peer) (bool, error) {
	g.mu.Lock()
	if ctx.Err() != nil {
		g.mu.Unlock()
		return false, nil // the term may be later than this leader's
	}
	index := g.snapshotIndex
	req := g.newMessageLocked(raftpb.Kind_KIND_SNAPSHOT)
	g.mu.Unlock()
	data, err := disk.Read(g.cfg.FS, g.snapshotPath(index))
	if disk.IsNotExist(err) {
		return true, nil // a newer snapshot has replaced it
	}
	if err != nil {
		g.mu.Lock()
		g.fail(Error.Wrap(err))
		g.mu.Unlock()
		return false, Error.Wrap(err)
	}
	req.ToIncarnation, req.Index, req.Total = p.incarnation, index, uint64(len(data))
	if err := g.sendChunks(ctx, p, req, data); err != nil {
		return false, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if ctx.Err() != nil {
		return false, nil
	}
	p.matchIndex = max(p.matchIndex, index)
	p.nextIndex = p.matchIndex + 1
	g.advanceCommit()
	return true, nil
}

// sendChunks sends the bytes of the snapshot that req describes. Each response tells
// the offset of the next chunk, until the member has all of them.
func (g *Group) sendChunks(ctx context.Context, p *peer, req *raftpb.Message, data []byte) error {
	restarts := 0
	for offset := uint64(0); offset < req.Total; {
		chunk := proto.CloneOf(req)
		chunk.Offset, chunk.Chunk = offset, data[offset:min(offset+snapshotChunkBytes, req.Total)]
		resp, err := g.callPeer(ctx, p, chunk)
		if err != nil {
			return err
		}
		if resp.Ok {
			return nil
		}
		if resp.Match <= offset {
			restarts++ // the member discarded its chunks, after a restart or a bad checksum
		}
		if resp.Match > req.Total || restarts > maxSnapshotRestarts {
			return Error.New("%q rejected the snapshot at byte %d", p.id, offset)
		}
		offset = resp.Match
	}
	return nil
}

// partialSnapshot is a snapshot of which some chunks have arrived.
type partialSnapshot struct {
	from  string
	term  uint64
	index uint64
	total uint64
	data  []byte
}

func (g *Group) handleSnapshot(req, resp *raftpb.Message) {
	g.diskMu.Lock()
	defer g.diskMu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.acceptLeader(req, resp) {
		return
	}
	if req.Index <= g.commit {
		resp.Ok, resp.Match = true, req.Total
		return
	}
	partial := &g.incomingSnapshot
	if partial.from != req.From || partial.term != req.Term || partial.index != req.Index || partial.total != req.Total {
		*partial = partialSnapshot{from: req.From, term: req.Term, index: req.Index, total: req.Total}
	}
	resp.Match = uint64(len(partial.data))
	if req.Total > maxSnapshotBytes || req.Offset != resp.Match || resp.Match+uint64(len(req.Chunk)) > req.Total {
		return
	}
	partial.data = append(partial.data, req.Chunk...)
	resp.Match = uint64(len(partial.data))
	if resp.Match < req.Total {
		return
	}
	content, ok := walog.DecodeFile(partial.data)
	*partial = partialSnapshot{}
	var snap raftpb.Snapshot
	if !ok || proto.Unmarshal(content, &snap) != nil || snap.Index != req.Index || len(fromProto(snap.Members).voters()) == 0 {
		resp.Match = 0
		return
	}
	resp.Ok = g.installSnapshot(&snap, content)
}

// installSnapshot replaces the log by a snapshot and reports whether it succeeded.
// The caller holds diskMu and mu; mu is released during the write.
func (g *Group) installSnapshot(snap *raftpb.Snapshot, content []byte) bool {
	if g.termAt(snap.Index) == snap.Term {
		// The log contains the snapshot's last entry. Later entries may have been
		// acknowledged to the leader and must be kept.
		g.commit = max(g.commit, snap.Index)
		signal(g.applySignal)
		return true
	}
	previous := g.snapshotIndex
	g.mu.Unlock()
	err := walog.WriteFile(g.cfg.FS, g.snapshotPath(snap.Index), content)
	if err == nil {
		err = g.log.Reset(snap.Index)
	}
	if err == nil {
		g.queueFileTask(g.log.TruncateFrontFunc(snap.Index))
	}
	if err == nil && previous > 0 {
		err = g.cfg.FS.Remove(g.snapshotPath(previous))
	}
	g.mu.Lock()
	if err != nil {
		g.fail(Error.Wrap(err))
		return false
	}
	g.base, g.baseTerm, g.entries = snap.Index, snap.Term, nil
	g.memberships = []membership{{snap.Index, fromProto(snap.Members)}}
	g.commit, g.stable = snap.Index, snap.Index
	g.snapshotIndex, g.lastSnapshotBytes, g.bytesSinceSnapshot = snap.Index, len(content), 0
	g.pendingRestore = snap
	signal(g.applySignal)
	return g.err == nil
}
