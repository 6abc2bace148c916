package raft

import (
	"math/rand/v2"
	"path/filepath"
	"strings"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/disk"
	"cranberrypath.example/cranberrypath/internal/raft/raftpb"
	"cranberrypath.example/cranberrypath/internal/walog"
)

// stateSegmentBytes is enough for several thousand terms and votes.
const stateSegmentBytes = 256 << 10

// load reads the state, snapshot and log from disk.
func (g *Group) load() error {
	log, content, err := walog.Open(walog.Config{FS: g.cfg.FS, Dir: g.cfg.Dir, SegmentBytes: g.cfg.SegmentBytes})
	if err != nil {
		return Error.Wrap(err)
	}
	g.log = log
	snap, err := g.loadSnapshot()
	if err != nil {
		return err
	}
	if err := g.loadState(content, snap); err != nil {
		return err
	}
	if snap != nil {
		if err := g.cfg.StateMachine.Restore(snap.Data); err != nil {
			return Error.Wrap(err)
		}
		g.base, g.baseTerm = snap.Index, snap.Term
		g.snapshotIndex, g.commit, g.applied = snap.Index, snap.Index, snap.Index
		g.memberships = []membership{{snap.Index, fromProto(snap.Members)}}
	}
	if err := g.loadEntries(content); err != nil {
		return err
	}
	g.stable = g.lastIndex()
	return nil
}

// loadState opens the log of terms and votes and reads its last record, the current
// state. A log needs only one sync of an open file per vote; replacing a file needs
// several.
func (g *Group) loadState(content walog.Content, snap *raftpb.Snapshot) error {
	stateLog, states, err := walog.Open(walog.Config{FS: g.cfg.FS, Dir: filepath.Join(g.cfg.Dir, "state"), SegmentBytes: stateSegmentBytes})
	if err != nil {
		return Error.Wrap(err)
	}
	g.stateLog, g.stateIndex = stateLog, states.Last()
	hasState := len(states.Records) > 0
	switch {
	case hasState && content.New:
		return walog.Corrupt.New("group %d: the log is missing although the member has started before", g.cfg.Group)
	case hasState:
		g.state = &raftpb.State{}
		// Before the restart this member may have confirmed a leader's lease.
		g.lastLeaderContact = g.cfg.Clock()
		return walog.Corrupt.Wrap(proto.Unmarshal(states.Records[len(states.Records)-1], g.state))
	case snap != nil || len(content.Records) > 0:
		return walog.Corrupt.New("group %d: term and vote are missing although the member has started before", g.cfg.Group)
	}
	return g.saveState(&raftpb.State{Incarnation: rand.Uint64()>>1 + 1})
}

// saveState writes s to disk. The caller holds diskMu, and mu if the group is running.
func (g *Group) saveState(s *raftpb.State) error {
	b, err := proto.Marshal(s)
	if err != nil {
		return Error.Wrap(err)
	}
	if err := g.stateLog.Append(g.stateIndex+1, [][]byte{b}); err != nil {
		return Error.Wrap(err)
	}
	if err := g.stateLog.TruncateFront(g.stateIndex); err != nil {
		return Error.Wrap(err)
	}
	g.stateIndex++
	g.state = s
	return nil
}

func (g *Group) loadEntries(content walog.Content) error {
	var all []*raftpb.Entry
	for i, b := range content.Records {
		e := &raftpb.Entry{}
		if err := proto.Unmarshal(b, e); err != nil || e.Index != content.First+uint64(i) {
			return walog.Corrupt.New("group %d: log record %d is not an entry", g.cfg.Group, content.First+uint64(i))
		}
		all = append(all, e)
	}
	if content.First > g.base+1 {
		return walog.Corrupt.New("group %d: the log starts at %d but the snapshot ends at %d", g.cfg.Group, content.First, g.base)
	}
	covered := int(g.base + 1 - content.First)
	if covered > 0 && (covered > len(all) || all[covered-1].Term != g.baseTerm) {
		// A crash occurred after a snapshot was installed and before the log was reset.
		return Error.Wrap(g.log.Reset(g.base))
	}
	if covered > 0 {
		// The entries before the snapshot's end are for members that are slightly behind.
		g.base, g.baseTerm = all[0].Index, all[0].Term
		all = all[1:]
	}
	for _, e := range all {
		if err := g.recordMembership(e); err != nil {
			return err
		}
	}
	g.entries = all
	return nil
}

// loadSnapshot reads the newest snapshot and removes older ones left by a crash.
func (g *Group) loadSnapshot() (*raftpb.Snapshot, error) {
	names, err := g.cfg.FS.List(g.cfg.Dir)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var newest string
	for _, name := range names {
		if !strings.HasPrefix(name, snapshotPrefix) || strings.HasSuffix(name, disk.TempSuffix) {
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
		return nil, walog.Corrupt.Wrap(err)
	}
	g.lastSnapshotBytes = len(content)
	return snap, nil
}
