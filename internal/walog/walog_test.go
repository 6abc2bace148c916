package walog

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"cranberrypath.example/cranberrypath/internal/disk"
)

// model is the naive log: a plain slice of records and the index before it.
type model struct {
	base    uint64
	records [][]byte
}

func (m model) last() uint64 { return m.base + uint64(len(m.records)) }

func (m model) appended(first uint64, records [][]byte) model {
	kept := m.records[: first-m.base-1 : first-m.base-1]
	return model{m.base, append(kept, records...)}
}

// agrees reports whether the log holds the same records as m. It may still hold
// released ones before them.
func (m model) agrees(c Content) bool {
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

// Guards against recovery that loses an acknowledged record, returns one that was
// replaced, or refuses a log that a crash interrupted, at any write or sync.
func TestCrashAtEveryOperation(t *testing.T) {
	for seed := uint64(1); seed <= 2500; seed++ {
		rng := rand.New(rand.NewPCG(seed, 2))
		d := disk.NewFake(seed)
		var done, maybe model
		for boot := range 4 {
			d.CrashAt(1 + rng.IntN(60))
			l, c, err := Open(Config{FS: d, Dir: "log", SegmentBytes: 200})
			if err != nil {
				if !d.Crashed() {
					t.Fatalf("seed %d boot %d: open: %v", seed, boot, err)
				}
				d.Restart()
				continue
			}
			switch {
			case maybe.agrees(c):
				done = maybe
			case !done.agrees(c):
				t.Fatalf("seed %d boot %d: got %d..%d, want %d..%d or %d..%d", seed, boot, c.First, c.Last(),
					done.base+1, done.last(), maybe.base+1, maybe.last())
			}
			done, maybe = drive(rng, l, done, fmt.Sprint(boot))
			d.Restart()
		}
		l, c, err := Open(Config{FS: d, Dir: "log", SegmentBytes: 200})
		if err != nil || !done.agrees(c) && !maybe.agrees(c) {
			t.Fatalf("seed %d: last open: %v, got %d..%d", seed, err, c.First, c.Last())
		}
		_ = l.Close()
	}
}

// drive changes the log until it fails. It returns what was acknowledged and
// what a crash in the last change may have left instead.
func drive(rng *rand.Rand, l *Log, done model, tag string) (acked, maybe model) {
	var trims []func() error
	for n := 0; ; n++ {
		next, err := done, error(nil)
		if f := l.Prepare(); f != nil && rng.IntN(3) > 0 {
			_ = f() // an error comes back in the write that needs the segment
		}
		if len(trims) > 0 && rng.IntN(3) == 0 {
			_ = trims[0]()
			trims = trims[1:]
		}
		switch op := rng.IntN(12); {
		case op == 0 && len(done.records) > 0:
			index := done.base + uint64(rng.IntN(len(done.records)))
			next = model{index, done.records[index-done.base:]}
			if len(trims) == 0 && rng.IntN(2) == 0 {
				err = l.Release(index)
			} else {
				trims = append(trims, l.Trim(index))
			}
		case op == 1:
			next = model{base: done.last() + uint64(rng.IntN(5))}
			err = l.Reset(next.base)
		default:
			first := done.last() + 1 - uint64(rng.IntN(min(3, len(done.records)+1)))
			var records [][]byte
			for i := range 1 + rng.IntN(4) {
				records = append(records, bytes.Repeat(fmt.Append(nil, tag, "/", n, "/", i, " "), rng.IntN(8)))
			}
			next = done.appended(first, records)
			err = l.Append(first, records)
		}
		if err != nil {
			return done, next
		}
		done = next
	}
}

func filled(t *testing.T, d disk.FS, segment int) {
	t.Helper()
	l, _, err := Open(Config{FS: d, Dir: "log", SegmentBytes: segment})
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

// Guards against opening a log of which an acknowledged record was damaged. Only
// damage to the very last frame can't be told from an interrupted write.
func TestDamageIsRefused(t *testing.T) {
	for _, segment := range []int{1 << 20, 200} {
		probe := disk.NewFake(1)
		filled(t, probe, segment)
		names, _ := probe.List("log")
		for k, name := range names {
			b, _ := disk.Read(probe, "log/"+name)
			for at := range b {
				d := disk.NewFake(uint64(at + 1))
				filled(t, d, segment)
				d.Flip("log/"+name, at)
				_, c, err := Open(Config{FS: d, Dir: "log", SegmentBytes: segment})
				tail := k == len(names)-1 && at >= len(b)-(frameHeader+len("record 19")+1)
				if tail && err == nil && c.Last() == 19 {
					continue
				}
				if !Corrupt.Has(err) {
					t.Fatalf("segment size %d, file %s byte %d: got %v, want a refusal", segment, name, at, err)
				}
			}
		}
	}
}

// Guards against a prepared segment that hides or excuses damage: only the last
// frame before it can be taken for an interrupted write.
func TestDamageBeforeAPreparedSegment(t *testing.T) {
	fill := func(d *disk.Fake) {
		l, _, err := Open(Config{FS: d, Dir: "log", SegmentBytes: 1000})
		if err != nil {
			t.Fatal(err)
		}
		for i := range uint64(12) {
			if err := l.Append(i+1, [][]byte{fmt.Append(nil, "record ", i)}); err != nil {
				t.Fatal(err)
			}
		}
		if err := l.Prepare()(); err != nil {
			t.Fatal(err)
		}
	}
	probe := disk.NewFake(1)
	fill(probe)
	names, _ := probe.List("log")
	b, _ := disk.Read(probe, "log/"+names[len(names)-2])
	if l, c, err := Open(Config{FS: probe, Dir: "log", SegmentBytes: 1000}); err != nil || c.Last() != 12 || l.Append(13, [][]byte{nil}) != nil {
		t.Fatalf("undamaged: %d, %v", c.Last(), err)
	}
	for at := range b {
		d := disk.NewFake(uint64(at + 1))
		fill(d)
		d.Flip("log/"+names[len(names)-2], at)
		_, c, err := Open(Config{FS: d, Dir: "log", SegmentBytes: 1000})
		if tail := at >= len(b)-(frameHeader+len("record 11")+1); tail && err == nil && c.Last() == 11 {
			continue
		}
		if !Corrupt.Has(err) {
			t.Fatalf("byte %d: got %v, want a refusal", at, err)
		}
	}
}

// Guards against a lost segment that goes unnoticed.
func TestMissingSegmentIsRefused(t *testing.T) {
	d := disk.NewFake(1)
	filled(t, d, 200)
	if err := d.Remove("log/" + fileName(2)); err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(Config{FS: d, Dir: "log"}); !Corrupt.Has(err) {
		t.Fatalf("got %v, want a refusal", err)
	}
}

// Guards against accepting records after a failed sync or on a full disk, and
// against trusting readable bytes that the failed sync never made durable.
func TestNothingIsAcceptedAfterAFailure(t *testing.T) {
	for _, full := range []bool{false, true} {
		d := disk.NewFake(7)
		l, _, err := Open(Config{FS: d, Dir: "log"})
		if err != nil {
			t.Fatal(err)
		}
		if full {
			d.SetFree(10)
		} else {
			d.FailSync(1)
		}
		if l.Append(1, [][]byte{[]byte("a")}) == nil || l.Append(1, [][]byte{[]byte("b")}) == nil {
			t.Fatal("an append after the failure was accepted")
		}
		d.SetFree(-1)
		_, c, err := Open(Config{FS: d, Dir: "log"}) // the process restarts, the machine does not
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

// Guards against a damaged state or snapshot file being used.
func TestSealedFileDamage(t *testing.T) {
	for at := range sealHeader + 5 {
		d := disk.NewFake(uint64(at))
		if err := WriteFile(d, "state", []byte("hello")); err != nil {
			t.Fatal(err)
		}
		if b, err := ReadFile(d, "state"); err != nil || string(b) != "hello" {
			t.Fatalf("got %q, %v", b, err)
		}
		d.Flip("state", at)
		if _, err := ReadFile(d, "state"); !Corrupt.Has(err) {
			t.Fatalf("byte %d: got %v, want a refusal", at, err)
		}
	}
}

// Guards against a decoder that panics or reads outside its input.
func FuzzDecode(f *testing.F) {
	f.Add(encode(kindRecords, 1, [][]byte{[]byte("a"), nil}, 0), uint64(0))
	f.Add(encode(kindReset, 9, nil, 5), uint64(5))
	f.Fuzz(func(t *testing.T, b []byte, salt uint64) {
		if fr, ok := parseFrame(b, salt); ok && fr.size > len(b) {
			t.Fatalf("frame of %d bytes in %d", fr.size, len(b))
		}
		c := Content{First: 1}
		_, _ = parseFrames(append(make([]byte, segmentHeader), b...), &segment{salt: salt}, &c, true)
		_, _ = Unseal(b)
		_, _ = parseHeader(b, 1)
	})
}
