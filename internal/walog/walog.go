// Package walog is a write-ahead log of numbered records in segment files. Raft
// relies on two promises: a record is durable once Append has returned, and after
// a crash the log holds a prefix of what was appended or refuses to open.
//
// Each Append writes one frame, with one checksum, and syncs it before the next
// frame is written. An invalid frame that ends the log is therefore a write that
// a crash interrupted and nobody was told of; an invalid frame with a valid one
// after it is corruption of acknowledged records.
package walog

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"

	"cranberrypath.example/cranberrypath/internal/disk"
)

// Error is the class of this package's errors.
var Error = errs.Class("walog")

// Corrupt is the class of errors about acknowledged bytes that have changed or
// are missing. The log can't be used; the member must be replaced.
var Corrupt = errs.Class("walog corrupt")

const (
	// defaultSegmentBytes starts a new segment file. Open rewrites the last
	// segment, so it also bounds that work.
	defaultSegmentBytes = 4 << 20
	// maxFrameBytes bounds one frame, so that a damaged length allocates little.
	maxFrameBytes = 64 << 20
	suffix        = ".wal"
)

// Segment header: magic, salt, sequence number, checksum of the three.
const (
	segmentMagic  = 0x31676f6c61770a01
	segmentHeader = 32
)

// Frame header: magic, payload length, checksum, index, kind and count.
const (
	frameMagic  = 0xc7a30f5e
	frameHeader = 32
)

type kind uint32

const (
	kindRecords kind = 1 // count records from index on; they replace any that exist
	kindReset   kind = 2 // the log is empty and continues after index
)

// Config sets up a Log.
type Config struct {
	FS           disk.FS
	Dir          string
	SegmentBytes int // 0 means 4 MiB
}

// Log is an open log. It is not safe for concurrent use.
type Log struct {
	cfg  Config
	segs []segment
	file disk.File
	size int
	last uint64
	err  error // the first failure; nothing is accepted after it
	// next creates the next segment, or returns it if that has begun; nil before Prepare.
	next func() created
}

// created is a segment without frames.
type created struct {
	seg  segment
	file disk.File
	size int
	err  error
}

type segment struct {
	seq  uint64
	salt uint64
	max  uint64 // highest index of any record in it
}

// Content is what Open found in the log.
type Content struct {
	First   uint64   // index of the first record
	Records [][]byte // consecutive
	// New means that there was no log.
	New bool
}

// Last returns the index of the last record, or First-1 without records.
func (c Content) Last() uint64 { return c.First + uint64(len(c.Records)) - 1 }

// Open reads the log in cfg.Dir, or creates it, and cuts off an interrupted
// write at its end. Its errors of class Corrupt mean that acknowledged records
// are damaged.
func Open(cfg Config) (*Log, Content, error) {
	if cfg.SegmentBytes == 0 {
		cfg.SegmentBytes = defaultSegmentBytes
	}
	l := &Log{cfg: cfg}
	if err := cfg.FS.MkdirAll(cfg.Dir); err != nil {
		return nil, Content{}, Error.Wrap(err)
	}
	if err := cfg.FS.SyncDir(cfg.Dir); err != nil {
		return nil, Content{}, Error.Wrap(err)
	}
	seqs, err := l.list()
	if err != nil {
		return nil, Content{}, err
	}
	if seqs, err = l.dropSpare(seqs); err != nil {
		return nil, Content{}, err
	}
	content := Content{First: 1}
	for i, seq := range seqs {
		if i > 0 && seq != seqs[i-1]+1 {
			return nil, Content{}, Corrupt.New("segment %d is missing", seqs[i-1]+1)
		}
		if err := l.load(seq, i == len(seqs)-1, &content); err != nil {
			return nil, Content{}, err
		}
	}
	l.last = content.Last()
	if len(l.segs) == 0 {
		content.New = true
		return l, content, l.roll(1)
	}
	return l, content, nil
}

func (l *Log) list() ([]uint64, error) {
	names, err := l.cfg.FS.List(l.cfg.Dir)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var out []uint64
	for _, name := range names {
		if !strings.HasSuffix(name, suffix) {
			continue
		}
		var seq uint64
		if _, err := fmt.Sscanf(name, "%020d"+suffix, &seq); err != nil || name != fileName(seq) {
			return nil, Corrupt.New("file %q is not a segment", name)
		}
		out = append(out, seq)
	}
	return out, nil
}

func fileName(seq uint64) string { return fmt.Sprintf("%020d", seq) + suffix }

func (l *Log) path(seq uint64) string { return filepath.Join(l.cfg.Dir, fileName(seq)) }

// load adds the frames of one segment to c. The last segment is rewritten: its
// end may be an interrupted write, and bytes that a failed sync covered may be
// readable without being durable.
func (l *Log) load(seq uint64, last bool, c *Content) error {
	b, err := disk.Read(l.cfg.FS, l.path(seq))
	if err != nil {
		return Error.Wrap(err)
	}
	seg, ok := parseHeader(b, seq)
	if !ok {
		// A segment gets frames only after its header was synced.
		if !last || len(b) > segmentHeader {
			return Corrupt.New("segment %d has a damaged header", seq)
		}
		return l.dropUnborn(seq)
	}
	end, err := parseFrames(b, &seg, c, last)
	if err != nil {
		return err
	}
	l.segs = append(l.segs, seg)
	if !last {
		return nil
	}
	if err := disk.Replace(l.cfg.FS, l.path(seq), b[:end]); err != nil {
		return Error.Wrap(err)
	}
	l.size = end
	l.file, err = l.cfg.FS.Append(l.path(seq))
	return Error.Wrap(err)
}

// dropSpare removes the last segment if it has no frames and is not the only
// one. It was prepared, perhaps not completely, while the one before it was still
// written, so that one may end with an interrupted write.
func (l *Log) dropSpare(seqs []uint64) ([]uint64, error) {
	n := len(seqs) - 1
	if n < 1 || seqs[n] != seqs[n-1]+1 {
		return seqs, nil
	}
	b, err := disk.Read(l.cfg.FS, l.path(seqs[n]))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if len(b) > segmentHeader {
		return seqs, nil
	}
	return seqs[:n], l.dropUnborn(seqs[n])
}

// dropUnborn removes a segment that never got a frame.
func (l *Log) dropUnborn(seq uint64) error {
	if err := l.cfg.FS.Remove(l.path(seq)); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(l.cfg.FS.SyncDir(l.cfg.Dir))
}

func parseHeader(b []byte, seq uint64) (segment, bool) {
	if len(b) < segmentHeader {
		return segment{}, false
	}
	s := segment{salt: binary.LittleEndian.Uint64(b[8:]), seq: binary.LittleEndian.Uint64(b[16:])}
	ok := binary.LittleEndian.Uint64(b) == segmentMagic && s.seq == seq &&
		binary.LittleEndian.Uint64(b[24:]) == xxhash.Sum64(b[:24])
	return s, ok
}

// parseFrames adds the frames in b to c and returns where the valid ones end.
func parseFrames(b []byte, seg *segment, c *Content, last bool) (int, error) {
	at := segmentHeader
	for at < len(b) {
		f, ok := parseFrame(b[at:], seg.salt)
		if !ok {
			break
		}
		if err := c.add(f); err != nil {
			return 0, err
		}
		seg.max = max(seg.max, f.lastIndex())
		at += f.size
	}
	if at == len(b) {
		return at, nil
	}
	if !last {
		return 0, Corrupt.New("segment %d is damaged at byte %d and is not the last", seg.seq, at)
	}
	for next := at + 1; next+frameHeader <= len(b); next++ {
		if _, ok := parseFrame(b[next:], seg.salt); ok {
			return 0, Corrupt.New("segment %d is damaged at byte %d, before a valid record at byte %d", seg.seq, at, next)
		}
	}
	return at, nil
}

type frame struct {
	kind    kind
	index   uint64
	records [][]byte
	size    int
}

func (f frame) lastIndex() uint64 {
	if f.kind == kindReset {
		return f.index
	}
	return f.index + uint64(len(f.records)) - 1
}

// parseFrame decodes the frame at the start of b. The salt keeps bytes of a
// record that look like a frame from passing as one.
func parseFrame(b []byte, salt uint64) (frame, bool) {
	if len(b) < frameHeader || binary.LittleEndian.Uint32(b) != frameMagic {
		return frame{}, false
	}
	n := int(binary.LittleEndian.Uint32(b[4:]))
	if n > maxFrameBytes || n > len(b)-frameHeader {
		return frame{}, false
	}
	if binary.LittleEndian.Uint64(b[8:]) != checksum(b[:frameHeader+n], salt) {
		return frame{}, false
	}
	f := frame{
		index: binary.LittleEndian.Uint64(b[16:]), kind: kind(binary.LittleEndian.Uint32(b[24:])),
		size: frameHeader + n,
	}
	count := binary.LittleEndian.Uint32(b[28:])
	rest := b[frameHeader : frameHeader+n]
	for range count {
		size, used := binary.Uvarint(rest)
		if used <= 0 || size > uint64(len(rest)-used) {
			return frame{}, false
		}
		f.records = append(f.records, rest[used:used+int(size):used+int(size)])
		rest = rest[used+int(size):]
	}
	return f, len(rest) == 0
}

// checksum covers the salt, the frame's header but for the checksum, and the payload.
func checksum(b []byte, salt uint64) uint64 {
	d := xxhash.NewWithSeed(salt)
	_, _ = d.Write(b[:8])
	_, _ = d.Write(b[16:])
	return d.Sum64()
}

func encode(k kind, index uint64, records [][]byte, salt uint64) []byte {
	size := frameHeader
	for _, r := range records {
		size += binary.MaxVarintLen32 + len(r)
	}
	b := make([]byte, frameHeader, size)
	for _, r := range records {
		b = binary.AppendUvarint(b, uint64(len(r)))
		b = append(b, r...)
	}
	binary.LittleEndian.PutUint32(b, frameMagic)
	binary.LittleEndian.PutUint32(b[4:], uint32(len(b)-frameHeader))
	binary.LittleEndian.PutUint64(b[16:], index)
	binary.LittleEndian.PutUint32(b[24:], uint32(k))
	binary.LittleEndian.PutUint32(b[28:], uint32(len(records)))
	binary.LittleEndian.PutUint64(b[8:], checksum(b, salt))
	return b
}

// add applies a frame to the content.
func (c *Content) add(f frame) error {
	switch {
	case f.kind == kindReset:
		c.First, c.Records = f.index+1, nil
	case f.kind != kindRecords || len(f.records) == 0:
		return Corrupt.New("frame of unknown kind %d", f.kind)
	case len(c.Records) == 0 && c.First == 1:
		// The oldest segments may have been released.
		c.First, c.Records = f.index, f.records
	case f.index > c.Last()+1:
		return Corrupt.New("record %d follows record %d", f.index, c.Last())
	case f.index < c.First:
		c.First, c.Records = f.index, f.records
	default:
		c.Records = append(c.Records[:f.index-c.First], f.records...)
	}
	return nil
}

// Append writes records with consecutive indexes from first on and returns when
// they are durable. First may be at most one past the last record; records from
// first on that exist are replaced. After an error the log accepts nothing: it is
// unknown whether the records are on the disk.
func (l *Log) Append(first uint64, records [][]byte) error {
	if len(records) == 0 {
		return l.err
	}
	if first > l.last+1 || first == 0 {
		return Error.New("record %d does not follow record %d", first, l.last)
	}
	if err := l.write(kindRecords, first, records); err != nil {
		return err
	}
	l.last = first + uint64(len(records)) - 1
	seg := &l.segs[len(l.segs)-1]
	seg.max = max(seg.max, l.last)
	return nil
}

// Reset empties the log; the next record is index+1. It is durable on return.
func (l *Log) Reset(index uint64) error {
	if err := l.write(kindReset, index, nil); err != nil {
		return err
	}
	l.last = index
	seg := &l.segs[len(l.segs)-1]
	seg.max = max(seg.max, index)
	return nil
}

func (l *Log) write(k kind, index uint64, records [][]byte) error {
	if l.err != nil {
		return l.err
	}
	if l.size >= l.cfg.SegmentBytes {
		if err := l.roll(l.segs[len(l.segs)-1].seq + 1); err != nil {
			return l.fail(err)
		}
	}
	b := encode(k, index, records, l.segs[len(l.segs)-1].salt)
	if len(b)-frameHeader > maxFrameBytes {
		return Error.New("%d bytes in one append exceed %d", len(b)-frameHeader, maxFrameBytes)
	}
	if _, err := l.file.Write(b); err != nil {
		return l.fail(err)
	}
	if err := l.file.Sync(); err != nil {
		return l.fail(err)
	}
	l.size += len(b)
	return nil
}

// fail makes the log refuse everything from now on. A sync that is repeated
// after it failed may succeed without having written the bytes.
func (l *Log) fail(err error) error {
	l.err = Error.Wrap(err)
	return l.err
}

// roll starts a segment. Its header is durable before the first frame.
func (l *Log) roll(seq uint64) error {
	if l.file != nil {
		if err := l.file.Close(); err != nil {
			return Error.Wrap(err)
		}
		l.file = nil
	}
	if l.next == nil {
		l.next = func() created { return l.create(seq) }
	}
	c := l.next()
	l.next = nil
	if c.err != nil {
		return c.err
	}
	l.file, l.size = c.file, c.size
	l.segs = append(l.segs, c.seg)
	return nil
}

// Prepare returns a function that creates the next segment ahead of its use, or
// nil if that is not due yet. The function may run at the same time as any other
// use of the log; the write that needs the segment waits for it, or creates the
// segment if the function has not been called.
func (l *Log) Prepare() func() error {
	if l.err != nil || l.next != nil || l.size < l.cfg.SegmentBytes/2 {
		return nil
	}
	seq := l.segs[len(l.segs)-1].seq + 1
	next := sync.OnceValue(func() created { return l.create(seq) })
	l.next = next
	return func() error { return next().err }
}

// create makes an empty segment that is durable.
func (l *Log) create(seq uint64) created {
	seg := segment{seq: seq, salt: rand.Uint64()}
	b := binary.LittleEndian.AppendUint64(nil, segmentMagic)
	b = binary.LittleEndian.AppendUint64(b, seg.salt)
	b = binary.LittleEndian.AppendUint64(b, seg.seq)
	b = binary.LittleEndian.AppendUint64(b, xxhash.Sum64(b))
	f, err := l.cfg.FS.Create(l.path(seq))
	if err != nil {
		return created{err: Error.Wrap(err)}
	}
	_, err = f.Write(b)
	if err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = l.cfg.FS.SyncDir(l.cfg.Dir)
	}
	if err != nil {
		return created{err: Error.Wrap(errors.Join(err, f.Close()))}
	}
	return created{seg: seg, file: f, size: len(b)}
}

// Release removes the segments that hold only records up to index.
func (l *Log) Release(index uint64) error {
	if l.err != nil {
		return l.err
	}
	if err := l.Trim(index)(); err != nil {
		return l.fail(err)
	}
	return nil
}

// Trim does what Release does in the function that it returns. The function may
// run at the same time as any other use of the log, but those of several calls must
// run one after the other in the order of the calls. Each removal is synced before
// the next, so that a crash leaves no gap.
func (l *Log) Trim(index uint64) func() error {
	var paths []string
	for len(l.segs) > 1 && l.segs[0].max <= index {
		paths = append(paths, l.path(l.segs[0].seq))
		l.segs = l.segs[1:]
	}
	return func() error {
		for _, path := range paths {
			if err := l.cfg.FS.Remove(path); err != nil {
				return Error.Wrap(err)
			}
			if err := l.cfg.FS.SyncDir(l.cfg.Dir); err != nil {
				return Error.Wrap(err)
			}
		}
		return nil
	}
}

// Close closes the open segment. Everything appended is durable already.
func (l *Log) Close() error {
	l.err = Error.New("closed")
	if l.next != nil {
		if c := l.next(); c.err == nil {
			// Open drops the segment if it comes back after a crash.
			_ = c.file.Close()
			_ = l.cfg.FS.Remove(l.path(c.seg.seq))
		}
	}
	if l.file == nil {
		return nil
	}
	return Error.Wrap(l.file.Close())
}
