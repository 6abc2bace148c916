package walog

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"cranberrypath.example/cranberrypath/internal/disk"
)

// logModel is the expected content of a log: its records and the index before them.
type logModel struct {
	base    uint64
	records [][]byte
}

func (m logModel) last() uint64 { return m.base + uint64(len(m.records)) }

func (m logModel) withAppended(first uint64, records [][]byte) logModel {
	kept := m.records[: first-m.base-1 : first-m.base-1]
	return logModel{m.base, append(kept, records...)}
}

// matches reports whether c has the same records as m. c may also have truncated
// records before them.
func (m logModel) matches(c Content) bool {
	if c.Last() != m.last() || c.First > m.base+1 {
		return false
	}
	got := c.Records[m.base+1-c.First:]
	for i := range got {
		if !bytes.Equal(got[i], m.records[i]) {
			return false
		}
	}
	return true
}

// Guards against recovery that loses an acknowledged record, returns a replaced record,
// or fails, after a crash at any write or sync.
func TestCrashAtEveryOperation(t *testing.T) {
	for seed := uint64(1); seed <= 2500; seed++ {
		rng := rand.New(rand.NewPCG(seed, 2))
		d := disk.NewFake(seed)
		var acked, unconfirmed logModel
		for run := range 4 {
			d.CrashAt(1 + rng.IntN(60))
			l, c, err := Open(Config{FS: d, Dir: "log", SegmentBytes: 200})
			if err != nil {
				if !d.Crashed() {
					t.Fatalf("seed %d run %d: open: %v", seed, run, err)
				}
				d.Restart()
				continue
			}
			switch {
			case unconfirmed.matches(c):
				acked = unconfirmed
			case !acked.matches(c):
				t.Fatalf("seed %d run %d: got %d..%d, want %d..%d or %d..%d", seed, run, c.First, c.Last(),
					acked.base+1, acked.last(), unconfirmed.base+1, unconfirmed.last())
			}
			acked, unconfirmed = changeUntilFailure(rng, l, acked, fmt.Sprint(run))
			d.Restart()
		}
		l, c, err := Open(Config{FS: d, Dir: "log", SegmentBytes: 200})
		if err != nil || !acked.matches(c) && !unconfirmed.matches(c) {
			t.Fatalf("seed %d: last open: %v, got %d..%d", seed, err, c.First, c.Last())
		}
		_ = l.Close()
	}
}

// changeUntilFailure changes the log until it fails. It returns the acknowledged
// content, and the content if the last change reached the disk nevertheless.
func changeUntilFailure(rng *rand.Rand, l *Log, current logModel, prefix string) (acked, unconfirmed logModel) {
	var truncations []func() error
	for n := 0; ; n++ {
		next, err := current, error(nil)
		if f := l.PrepareSegment(); f != nil && rng.IntN(3) > 0 {
			_ = f() // the write that needs the segment returns an error
		}
		if len(truncations) > 0 && rng.IntN(3) == 0 {
			_ = truncations[0]()
			truncations = truncations[1:]
		}
		switch op := rng.IntN(12); {
		case op == 0 && len(current.records) > 0:
			index := current.base + uint64(rng.IntN(len(current.records)))
			next = logModel{index, current.records[index-current.base:]}
			if len(truncations) == 0 && rng.IntN(2) == 0 {
				err = l.TruncateFront(index)
			} else {
				truncations = append(truncations, l.TruncateFrontFunc(index))
			}
		case op == 1:
			next = logModel{base: current.last() + uint64(rng.IntN(5))}
			err = l.Reset(next.base)
		default:
			first := current.last() + 1 - uint64(rng.IntN(min(3, len(current.records)+1)))
			var records [][]byte
			for i := range 1 + rng.IntN(4) {
				records = append(records, bytes.Repeat(fmt.Append(nil, prefix, "/", n, "/", i, " "), rng.IntN(8)))
			}
			next = current.withAppended(first, records)
			err = l.Append(first, records)
		}
		if err != nil {
			return current, next
		}
		current = next
	}
}

func writeRecords(t *testing.T, d disk.FS, segmentBytes int) {
	t.Helper()
	l, _, err := Open(Config{FS: d, Dir: "log", SegmentBytes: segmentBytes})
	if err != nil {
		t.Fatal(err)
	}
	for i := range uint64(20) {
		if err := l.Append(i+1, [][]byte{fmt.Append(nil, "record ", i)}); err != nil {
			t.Fatal(err)
		}
	}
	_ = l.Close()
}

// Guards against opening a log with a damaged acknowledged record. Only damage to the
// last frame can't be distinguished from an interrupted write.
func TestDamageIsRefused(t *testing.T) {
	for _, segmentBytes := range []int{1 << 20, 200} {
		intact := disk.NewFake(1)
		writeRecords(t, intact, segmentBytes)
		names, _ := intact.List("log")
		for i, name := range names {
			b, _ := disk.Read(intact, "log/"+name)
			for offset := range b {
				d := disk.NewFake(uint64(offset + 1))
				writeRecords(t, d, segmentBytes)
				d.FlipBit("log/"+name, offset)
				_, c, err := Open(Config{FS: d, Dir: "log", SegmentBytes: segmentBytes})
				lastFrame := i == len(names)-1 && offset >= len(b)-(frameHeaderBytes+len("record 19")+1)
				if lastFrame && err == nil && c.Last() == 19 {
					continue
				}
				if !Corrupt.Has(err) {
					t.Fatalf("segment size %d, file %s byte %d: got %v, want an error of class Corrupt", segmentBytes, name, offset, err)
				}
			}
		}
	}
}

// Guards against missing damage because of a segment created in advance: only the last
// frame before it may be taken for an interrupted write.
func TestDamageBeforeAPreparedSegment(t *testing.T) {
	writePrepared := func(d *disk.Fake) {
		l, _, err := Open(Config{FS: d, Dir: "log", SegmentBytes: 1000})
		if err != nil {
			t.Fatal(err)
		}
		for i := range uint64(12) {
			if err := l.Append(i+1, [][]byte{fmt.Append(nil, "record ", i)}); err != nil {
				t.Fatal(err)
			}
		}
		if err := l.PrepareSegment()(); err != nil {
			t.Fatal(err)
		}
	}
	intact := disk.NewFake(1)
	writePrepared(intact)
	names, _ := intact.List("log")
	b, _ := disk.Read(intact, "log/"+names[len(names)-2])
	if l, c, err := Open(Config{FS: intact, Dir: "log", SegmentBytes: 1000}); err != nil || c.Last() != 12 || l.Append(13, [][]byte{nil}) != nil {
		t.Fatalf("undamaged: %d, %v", c.Last(), err)
	}
	for offset := range b {
		d := disk.NewFake(uint64(offset + 1))
		writePrepared(d)
		d.FlipBit("log/"+names[len(names)-2], offset)
		_, c, err := Open(Config{FS: d, Dir: "log", SegmentBytes: 1000})
		if lastFrame := offset >= len(b)-(frameHeaderBytes+len("record 11")+1); lastFrame && err == nil && c.Last() == 11 {
			continue
		}
		if !Corrupt.Has(err) {
			t.Fatalf("byte %d: got %v, want an error of class Corrupt", offset, err)
		}
	}
}

// Guards against opening a log with a missing segment.
func TestMissingSegmentIsRefused(t *testing.T) {
	d := disk.NewFake(1)
	writeRecords(t, d, 200)
	if err := d.Remove("log/" + segmentName(2)); err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(Config{FS: d, Dir: "log"}); !Corrupt.Has(err) {
		t.Fatalf("got %v, want an error of class Corrupt", err)
	}
}

// Guards against accepting records after a failed sync or on a full disk, and against
// treating bytes as durable that are readable after a failed sync.
func TestNothingIsAcceptedAfterAFailure(t *testing.T) {
	for _, full := range []bool{false, true} {
		d := disk.NewFake(7)
		l, _, err := Open(Config{FS: d, Dir: "log"})
		if err != nil {
			t.Fatal(err)
		}
		if full {
			d.SetFreeBytes(10)
		} else {
			d.FailSync(1)
		}
		if l.Append(1, [][]byte{[]byte("a")}) == nil || l.Append(1, [][]byte{[]byte("b")}) == nil {
			t.Fatal("an append after the failure was accepted")
		}
		d.SetFreeBytes(-1)
		_, c, err := Open(Config{FS: d, Dir: "log"}) // the process restarts, the instance does not
		if err != nil {
			t.Fatal(err)
		}
		d.Restart()
		_, after, err := Open(Config{FS: d, Dir: "log"})
		if err != nil || after.Last() != c.Last() {
			t.Fatalf("full %v: %v, read %d records before the crash and %d after", full, err, c.Last(), after.Last())
		}
	}
}

// Guards against using a damaged file that WriteFile wrote.
func TestSealedFileDamage(t *testing.T) {
	for offset := range fileHeaderBytes + 5 {
		d := disk.NewFake(uint64(offset))
		if err := WriteFile(d, "state", []byte("hello")); err != nil {
			t.Fatal(err)
		}
		if b, err := ReadFile(d, "state"); err != nil || string(b) != "hello" {
			t.Fatalf("got %q, %v", b, err)
		}
		d.FlipBit("state", offset)
		if _, err := ReadFile(d, "state"); !Corrupt.Has(err) {
			t.Fatalf("byte %d: got %v, want an error of class Corrupt", offset, err)
		}
	}
}

// Guards against a decoder that panics or reads outside its input.
func FuzzDecode(f *testing.F) {
	f.Add(encodeFrame(kindRecords, 1, [][]byte{[]byte("a"), nil}, 0), uint64(0))
	f.Add(encodeFrame(kindReset, 9, nil, 5), uint64(5))
	f.Fuzz(func(t *testing.T, b []byte, salt uint64) {
		if fr, ok := parseFrame(b, salt); ok && fr.size > len(b) {
			t.Fatalf("frame of %d bytes in %d", fr.size, len(b))
		}
		c := Content{First: 1}
		_, _ = parseFrames(append(make([]byte, segmentHeaderBytes), b...), &segment{salt: salt}, &c, true)
		_, _ = DecodeFile(b)
		_, _ = parseHeader(b, 1)
	})
}
