package disk

import (
	"path/filepath"
	"testing"
)

// BenchmarkSync measures one small synced append on the real disk.
func BenchmarkSync(b *testing.B) {
	name := filepath.Join(b.TempDir(), "f")
	f, err := Real{}.Create(name)
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	for b.Loop() {
		if _, err := f.Write(make([]byte, 200)); err != nil {
			b.Fatal(err)
		}
		if err := f.Sync(); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkReplace measures one replacement of a small file.
func BenchmarkReplace(b *testing.B) {
	name := filepath.Join(b.TempDir(), "f")
	for b.Loop() {
		if err := Replace(Real{}, name, make([]byte, 50)); err != nil {
			b.Fatal(err)
		}
	}
}
