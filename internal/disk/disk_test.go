package disk

import (
	"bytes"
	"path/filepath"
	"testing"
)

// Guards against a replaced file with neither its old nor its new content after a
// crash, or with the old content although Replace had returned.
func TestReplaceAtEveryCrash(t *testing.T) {
	for seed := uint64(1); seed <= 300; seed++ {
		d := NewFake(seed)
		if err := Replace(d, "dir/f", []byte("old")); err != nil {
			t.Fatal(err)
		}
		d.CrashAt(int(seed%6) + 1)
		err := Replace(d, "dir/f", []byte("the new content"))
		d.Restart()
		got, readErr := Read(d, "dir/f")
		if readErr != nil {
			t.Fatalf("seed %d: %v", seed, readErr)
		}
		if string(got) != "the new content" && (err == nil || string(got) != "old") {
			t.Fatalf("seed %d: got %q after %v", seed, got, err)
		}
	}
}

// Guards against a fake disk that never loses unsynced bytes and names, as a real disk
// may in a crash.
func TestFakeLoses(t *testing.T) {
	var lost, torn, holes, names int
	for seed := uint64(1); seed <= 200; seed++ {
		d := NewFake(seed)
		f, _ := d.Create("a")
		_ = d.SyncDir(".")
		_, _ = f.Write([]byte("synced"))
		_ = f.Sync()
		_, _ = f.Write([]byte("-unsynced"))
		_, _ = d.Create("b")
		d.Restart()
		got, err := Read(d, "a")
		if err != nil || !bytes.HasPrefix(got, []byte("synced")) {
			t.Fatalf("seed %d: got %q, %v", seed, got, err)
		}
		switch n := len(got); {
		case n == 6:
			lost++
		case bytes.IndexByte(got, 0) >= 0:
			holes++
		case n < 15:
			torn++
		}
		if _, err := Read(d, "b"); IsNotExist(err) {
			names++
		}
		if _, err := f.Write([]byte("x")); err == nil {
			t.Fatalf("seed %d: a file opened before the crash can still be written", seed)
		}
	}
	if lost == 0 || torn == 0 || holes == 0 || names == 0 {
		t.Fatalf("lost %d, torn %d, holes %d, names %d, want each to occur", lost, torn, holes, names)
	}
}

// Guards against a fake disk that reports success when it is full or a sync failed, and
// keeps bytes of a failed sync after a crash.
func TestFakeFullAndFailedSync(t *testing.T) {
	d := NewFake(1)
	f, _ := d.Create("a")
	_ = d.SyncDir(".")
	d.SetFreeBytes(2)
	if n, err := f.Write([]byte("abc")); n != 2 || err == nil {
		t.Fatalf("wrote %d, %v on a full disk", n, err)
	}
	d.FailSync(1)
	if f.Sync() == nil || f.Sync() != nil {
		t.Fatal("want one failing sync, then a working one")
	}
	if got, _ := Read(d, "a"); string(got) != "ab" {
		t.Fatalf("got %q before the crash", got)
	}
	d.Restart()
	if got, _ := Read(d, "a"); len(got) != 0 {
		t.Fatalf("got %q, want bytes of a failed sync to be lost", got)
	}
}

// Guards against differences between the real and the fake disk.
func TestReal(t *testing.T) {
	var d FS = Real{}
	dir := filepath.Join(t.TempDir(), "x", "y")
	if err := d.MkdirAll(dir); err != nil {
		t.Fatal(err)
	}
	name := filepath.Join(dir, "f")
	if _, err := Read(d, name); !IsNotExist(err) {
		t.Fatalf("got %v, want a missing file", err)
	}
	if err := Replace(d, name, []byte("abc")); err != nil {
		t.Fatal(err)
	}
	f, err := d.Append(name)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if err := f.Truncate(1); err != nil {
		t.Fatal(err)
	}
	if _, err := f.Write([]byte("z")); err != nil {
		t.Fatal(err)
	}
	if got, err := Read(d, name); err != nil || string(got) != "az" {
		t.Fatalf("got %q, %v", got, err)
	}
	if names, err := d.List(dir); err != nil || len(names) != 1 || names[0] != "f" {
		t.Fatalf("got %v, %v", names, err)
	}
	if err := d.Remove(name); err != nil {
		t.Fatal(err)
	}
}
