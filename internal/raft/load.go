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

// stateSegmentBytes holds some thousand terms and votes.
const stateSegmentBytes = 256 << 10

// load reads state, snapshot and log.
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
		if err := g.cfg.Machine.Restore(snap.Data); err != nil {
			return Error.Wrap(err)
		}
		g.base, g.baseTerm = snap.Index, snap.Term
		g.snapIndex, g.commit, g.applied = snap.Index, snap.Index, snap.Index
		g.history = []membersAt{{snap.Index, fromProto(snap.Members)}}
	}
	if err := g.loadEntries(content); err != nil {
		return err
	}
	g.stable = g.last()
	return nil
}

// loadState opens the log of terms and votes. Its last record counts; a vote
// costs one sync of an open file, not the several of a replaced one.
func (g *Group) loadState(content walog.Content, snap *raftpb.Snapshot) error {
	votes, states, err := walog.Open(walog.Config{FS: g.cfg.FS, Dir: filepath.Join(g.cfg.Dir, "state"), SegmentBytes: stateSegmentBytes})
	if err != nil {
		return Error.Wrap(err)
	}
	g.votes, g.voteIndex = votes, states.Last()
	known := len(states.Records) > 0
	switch {
	case known && content.New:
		return Error.New("group %d: the log is missing although the member has started before", g.cfg.Group)
	case known:
		g.state = &raftpb.State{}
		// Before the restart this member may have confirmed a leader's lease.
		g.heard = g.cfg.Clock()
		return Error.Wrap(proto.Unmarshal(states.Records[len(states.Records)-1], g.state))
	case snap != nil || len(content.Records) > 0:
		return Error.New("group %d: term and vote are missing although the member has started before", g.cfg.Group)
	}
	return g.saveState(&raftpb.State{Incarnation: rand.Uint64()>>1 + 1})
}

// saveState makes s durable; the caller holds io, and mu if the group runs.
func (g *Group) saveState(s *raftpb.State) error {
	b, err := proto.Marshal(s)
	if err != nil {
		return Error.Wrap(err)
	}
	if err := g.votes.Append(g.voteIndex+1, [][]byte{b}); err != nil {
		return Error.Wrap(err)
	}
	if err := g.votes.Release(g.voteIndex); err != nil {
		return Error.Wrap(err)
	}
	g.voteIndex++
	g.state = s
	return nil
}

func (g *Group) loadEntries(content walog.Content) error {
	var all []*raftpb.Entry
	for i, b := range content.Records {
		e := &raftpb.Entry{}
		if err := proto.Unmarshal(b, e); err != nil || e.Index != content.First+uint64(i) {
			return Error.New("group %d: log record %d is not an entry", g.cfg.Group, content.First+uint64(i))
		}
		all = append(all, e)
	}
	if content.First > g.base+1 {
		return Error.New("group %d: the log starts at %d but the snapshot ends at %d", g.cfg.Group, content.First, g.base)
	}
	skip := int(g.base + 1 - content.First)
	if skip > 0 && (skip > len(all) || all[skip-1].Term != g.baseTerm) {
		// A crash came between the arrival of a snapshot and the reset of the log.
		return Error.Wrap(g.log.Reset(g.base))
	}
	if skip > 0 {
		// The entries behind the snapshot serve members that lag a little.
		g.base, g.baseTerm = all[0].Index, all[0].Term
		all = all[1:]
	}
	for _, e := range all {
		if err := g.noteMembers(e); err != nil {
			return err
		}
	}
	g.entries = all
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
