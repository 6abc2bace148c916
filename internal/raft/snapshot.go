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
	// chunkBytes is the size of one piece of a snapshot; a link message is at most 16 MiB.
	chunkBytes = 1 << 20
	// maxSnapshotBytes bounds what a member accepts as a snapshot.
	maxSnapshotBytes = 256 << 20
	// trailingEntries stay in the log behind a snapshot, for members that lag a little.
	trailingEntries = 1024
	trailingBytes   = 1 << 20
	snapPrefix      = "snapshot-" // of the names of files
)

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

// maxRestarts bounds how often one transfer of a snapshot begins anew.
const maxRestarts = 2

// sendSnapshot sends the newest snapshot in chunks.
func (g *Group) sendSnapshot(ctx context.Context, p *peer) (bool, error) {
	g.mu.Lock()
	if ctx.Err() != nil {
		g.mu.Unlock()
		return false, nil // the term may be later than this leader's
	}
	index := g.snapIndex
	req := g.newMessage(raftpb.Kind_KIND_SNAPSHOT)
	g.mu.Unlock()
	b, err := disk.Read(g.cfg.FS, g.snapPath(index))
	if disk.IsNotExist(err) {
		return true, nil // a newer one has replaced it
	}
	if err != nil {
		g.mu.Lock()
		g.fail(Error.Wrap(err))
		g.mu.Unlock()
		return false, Error.Wrap(err)
	}
	req.ToIncarnation, req.Index, req.Total = p.incarnation, index, uint64(len(b))
	if err := g.sendChunks(ctx, p, req, b); err != nil {
		return false, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if ctx.Err() != nil {
		return false, nil
	}
	p.match = max(p.match, index)
	p.next = p.match + 1
	g.advance()
	return true, nil
}

// sendChunks sends the bytes of a snapshot, described by req, from where the
// member asks for them, until it has all of them.
func (g *Group) sendChunks(ctx context.Context, p *peer, req *raftpb.Message, b []byte) error {
	restarts := 0
	for at := uint64(0); at < req.Total; {
		part := proto.CloneOf(req)
		part.Offset, part.Chunk = at, b[at:min(at+chunkBytes, req.Total)]
		resp, err := g.ask(ctx, p, part)
		if err != nil {
			return err
		}
		if resp.Ok {
			return nil
		}
		if resp.Match <= at {
			restarts++ // the member has begun anew, after a restart or damage
		}
		if resp.Match > req.Total || restarts > maxRestarts {
			return Error.New("%q does not take the snapshot at byte %d", p.id, at)
		}
		at = resp.Match
	}
	return nil
}

// incoming is a snapshot of which some chunks have arrived.
type incoming struct {
	from  string
	term  uint64
	index uint64
	total uint64
	data  []byte
}

func (g *Group) handleSnapshot(req, resp *raftpb.Message) {
	g.io.Lock()
	defer g.io.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.accept(req, resp) {
		return
	}
	if req.Index <= g.commit {
		resp.Ok, resp.Match = true, req.Total
		return
	}
	in := &g.incoming
	if in.from != req.From || in.term != req.Term || in.index != req.Index || in.total != req.Total {
		*in = incoming{from: req.From, term: req.Term, index: req.Index, total: req.Total}
	}
	resp.Match = uint64(len(in.data))
	if req.Total > maxSnapshotBytes || req.Offset != resp.Match || resp.Match+uint64(len(req.Chunk)) > req.Total {
		return
	}
	in.data = append(in.data, req.Chunk...)
	resp.Match = uint64(len(in.data))
	if resp.Match < req.Total {
		return
	}
	content, ok := walog.Unseal(in.data)
	*in = incoming{}
	var snap raftpb.Snapshot
	if !ok || proto.Unmarshal(content, &snap) != nil || snap.Index != req.Index || len(fromProto(snap.Members).voters()) == 0 {
		resp.Match = 0
		return
	}
	resp.Ok = g.install(&snap, content)
}

// install replaces the log by a snapshot. The caller holds io and mu; mu is
// free during the write.
func (g *Group) install(snap *raftpb.Snapshot, content []byte) bool {
	if g.termAt(snap.Index) == snap.Term {
		// The log has the entry. What follows it may have been acknowledged to
		// the leader and must stay.
		g.commit = max(g.commit, snap.Index)
		signal(g.ready)
		return true
	}
	old := g.snapIndex
	g.mu.Unlock()
	err := walog.WriteFile(g.cfg.FS, g.snapPath(snap.Index), content)
	if err == nil {
		err = g.log.Reset(snap.Index)
	}
	if err == nil {
		g.later(g.log.Trim(snap.Index))
	}
	if err == nil && old > 0 {
		err = g.cfg.FS.Remove(g.snapPath(old))
	}
	g.mu.Lock()
	if err != nil {
		g.fail(Error.Wrap(err))
		return false
	}
	g.base, g.baseTerm, g.entries = snap.Index, snap.Term, nil
	g.history = []membersAt{{snap.Index, fromProto(snap.Members)}}
	g.commit, g.stable = snap.Index, snap.Index
	g.snapIndex, g.snapBytes, g.sinceSnap = snap.Index, len(content), 0
	g.restore = snap
	signal(g.ready)
	return g.err == nil
}
