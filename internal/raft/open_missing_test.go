package raft

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/disk"
	"cranberrypath.example/cranberrypath/internal/walog"
)

// memberFiles are the files of a member by kind.
type memberFiles struct{ state, segments, snapshots []string }

func listMemberFiles(t *testing.T, d *disk.Fake) (out memberFiles) {
	t.Helper()
	for _, dir := range []string{"raft/state", "raft"} {
		names, err := d.List(dir)
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range names {
			path := dir + "/" + name
			switch {
			case dir == "raft/state":
				out.state = append(out.state, path)
			case strings.HasPrefix(name, snapshotPrefix):
				out.snapshots = append(out.snapshots, path)
			default:
				out.segments = append(out.segments, path)
			}
		}
	}
	return out
}

// newFilledDisk returns the disk of a member with a snapshot and later entries.
func newFilledDisk(t *testing.T) *disk.Fake {
	t.Helper()
	d := disk.NewFake(5)
	g, err := Open(Config{
		ID: "a", Members: []string{"a"}, FS: d, Dir: "raft", StateMachine: &testStateMachine{}, Transport: endpoint{&network{}, "a"},
		SegmentBytes: 300, ElectionTimeout: 20 * time.Millisecond, HeartbeatInterval: 5 * time.Millisecond, SnapshotBytes: 600, Seed: 5,
	})
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "a snapshot and later entries", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, _ = g.Propose(ctx, make([]byte, 100)) // until there is a leader
		st := g.Status()
		return st.Snapshot > 0 && st.Last > st.Snapshot+2
	})
	if err := g.Close(); err != nil {
		t.Fatal(err)
	}
	return d
}

// Guards against a member that never opens again and is never wiped: some of its files
// are missing, as after a power loss while a corrupt log is removed.
func TestOpenWithMissingFilesIsCorrupt(t *testing.T) {
	tests := []struct {
		name    string
		removed func(f memberFiles) []string
	}{
		{"state", func(f memberFiles) []string { return f.state }},
		{"state and oldest segment", func(f memberFiles) []string { return append(f.state, f.segments[0]) }},
		{"state and segments", func(f memberFiles) []string { return append(f.state, f.segments...) }},
		{"state and snapshots", func(f memberFiles) []string { return append(f.state, f.snapshots...) }},
		{"segments", func(f memberFiles) []string { return f.segments }},
		{"segments and snapshots", func(f memberFiles) []string { return slices.Concat(f.segments, f.snapshots) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := newFilledDisk(t)
			for _, path := range test.removed(listMemberFiles(t, d)) {
				if err := d.Remove(path); err != nil {
					t.Fatal(err)
				}
			}
			g, err := openFollower(d)
			if err == nil {
				_ = g.Close()
			}
			if !walog.Corrupt.Has(err) {
				t.Errorf("got %v, want an error of class %q", err, "walog corrupt")
			}
		})
	}
}
