package walog

import (
	"bytes"
	"fmt"
	"testing"

	"cranberrypath.example/cranberrypath/internal/disk"
)

// Guards against a log that is taken for corrupt, loses acknowledged records or can't be opened
// any more after its disk was full at any byte of a write, also while it was reopened.
func TestFullAtEveryByte(t *testing.T) {
	const (
		records      = 24
		segmentBytes = 256
		total        = 3000 // bytes that all writes take, and more
	)
	record := func(i uint64) []byte { return bytes.Repeat([]byte{byte(i)}, 40) }
	for _, prepare := range []bool{false, true} {
		for free := range total {
			fs := disk.NewFake(1)
			cfg := Config{FS: fs, Dir: "d", SegmentBytes: segmentBytes}
			fs.SetFreeBytes(free)
			var acked, front uint64
			l, _, err := Open(cfg)
			for i := uint64(1); err == nil && i <= records; i++ {
				if prepare {
					if create := l.PrepareSegment(); create != nil {
						_ = create() // the write that needs the segment fails
					}
				}
				if err = l.Append(i, [][]byte{record(i)}); err == nil {
					acked = i
				}
				if i%10 == 0 && err == nil {
					err = l.TruncateFront(i - 5)
					front = i - 5
				}
			}
			if l != nil {
				_ = l.Close()
			}
			for _, room := range []int{0, segmentBytes / 2, -1} {
				fs.SetFreeBytes(room)
				l, content, err := Open(cfg)
				name := fmt.Sprintf("prepared %v, %d bytes free, then %d", prepare, free, room)
				if err != nil {
					if room < 0 || Corrupt.Has(err) {
						t.Fatalf("%s: %v", name, err)
					}
					continue
				}
				if content.Last() < acked || content.First > front+1 && acked > 0 {
					t.Fatalf("%s: records %d to %d, want %d to %d", name, content.First, content.Last(), front+1, acked)
				}
				for i, r := range content.Records {
					if !bytes.Equal(r, record(content.First+uint64(i))) {
						t.Fatalf("%s: record %d differs", name, content.First+uint64(i))
					}
				}
				if room < 0 {
					if err := l.Append(content.Last()+1, [][]byte{record(content.Last() + 1)}); err != nil {
						t.Fatalf("%s: %v", name, err)
					}
				}
				_ = l.Close()
			}
		}
	}
}
