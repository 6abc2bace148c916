// Package walog implements a write-ahead log of numbered records in segment files.
// It guarantees that a record is durable once Append has returned, and that after a
// crash Open returns a prefix of the appended records or an error.
//
// Each Append writes one frame with one checksum, and syncs it before the next frame
// is written. An invalid frame at the end of the log is therefore an unacknowledged
// write that a crash interrupted. An invalid frame with a valid one after it means
// that acknowledged records are corrupt.
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

// Corrupt is the class of errors for acknowledged records that are damaged or missing.
// The log can't be used; the member must be replaced.
var Corrupt = errs.Class("walog corrupt")

const (
	// defaultSegmentBytes is the size at which a new segment file is started. Open
	// rewrites the last segment, so it also limits that work.
	defaultSegmentBytes = 4 << 20
	// maxFrameBytes limits the payload of one frame, so that a damaged length field
	// does not cause a large allocation.
	maxFrameBytes = 64 << 20
	segmentSuffix = ".wal"
)

// Segment header: magic number, salt, sequence number, checksum of these three.
const (
	segmentMagic       = 0x31676f6c61770a01
	segmentHeaderBytes = 32
)

// Frame header: magic number, payload length, checksum, index, kind, record count.
const (
	frameMagic       = 0xc7a30f5e
	frameHeaderBytes = 32
)

type frameKind uint32

const (
	kindRecords frameKind = 1 // records from index on; they replace existing records from there on
	kindReset   frameKind = 2 // empties the log; the next record is index+1
)

// Config configures a Log.
type Config struct {
	FS           disk.FS
	Dir          string
	SegmentBytes int // 0 means 4 MiB
}

// Log is an open log. It is not safe for concurrent use.
type Log struct {
	cfg       Config
	segments  []segment
	file      disk.File
	size      int
	lastIndex uint64
	err       error // first error; all writes after it fail
	// nextSegment creates the next segment, or waits for its creation and returns it
	// if PrepareSegment's function was called; nil before PrepareSegment.
	nextSegment func() newSegment
}

// newSegment is a segment without frames that is open for writing.
type newSegment struct {
	segment segment
	file    disk.File
	size    int
	err     error
}

type segment struct {
	seq      uint64
	salt     uint64
	maxIndex uint64 // highest index of its records
}

// Content holds the records that Open found in the log.
type Content struct {
	First   uint64   // index of the first record
	Records [][]byte // with consecutive indexes
	// New means that there was no log.
	New bool
}

// Last returns the index of the last record, or First-1 if there are none.
func (c Content) Last() uint64 { return c.First + uint64(len(c.Records)) - 1 }

// Open reads the log in cfg.Dir, or creates it, and removes an interrupted write at
// its end. Errors of class Corrupt mean that acknowledged records are damaged.
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
	seqs, err := l.listSegments()
	if err != nil {
		return nil, Content{}, err
	}
	if seqs, err = l.removePreparedSegment(seqs); err != nil {
		return nil, Content{}, err
	}
	content := Content{First: 1}
	for i, seq := range seqs {
		if i > 0 && seq != seqs[i-1]+1 {
			return nil, Content{}, Corrupt.New("segment %d is missing", seqs[i-1]+1)
		}
		if err := l.loadSegment(seq, i == len(seqs)-1, &content); err != nil {
			return nil, Content{}, err
		}
	}
	l.lastIndex = content.Last()
	if len(l.segments) == 0 {
		content.New = true
		return l, content, l.startSegment(1)
	}
	return l, content, nil
}

func (l *Log) listSegments() ([]uint64, error) {
	names, err := l.cfg.FS.List(l.cfg.Dir)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var seqs []uint64
	for _, name := range names {
		if !strings.HasSuffix(name, segmentSuffix) {
			continue
		}
		var seq uint64
		if _, err := fmt.Sscanf(name, "%020d"+segmentSuffix, &seq); err != nil || name != segmentName(seq) {
			return nil, Corrupt.New("file %q is not a segment", name)
		}
		seqs = append(seqs, seq)
	}
	return seqs, nil
}

func segmentName(seq uint64) string { return fmt.Sprintf("%020d", seq) + segmentSuffix }

func (l *Log) segmentPath(seq uint64) string { return filepath.Join(l.cfg.Dir, segmentName(seq)) }

// loadSegment applies the frames of one segment to c. The last segment is rewritten:
// its end may be an interrupted write, and after a failed sync bytes may be readable
// without being durable.
func (l *Log) loadSegment(seq uint64, last bool, c *Content) error {
	b, err := disk.Read(l.cfg.FS, l.segmentPath(seq))
	if err != nil {
		return Error.Wrap(err)
	}
	seg, ok := parseHeader(b, seq)
	if !ok {
		// Frames are written only after the segment's header was synced.
		if !last || len(b) > segmentHeaderBytes {
			return Corrupt.New("segment %d has a damaged header", seq)
		}
		return l.removeEmptySegment(seq)
	}
	end, err := parseFrames(b, &seg, c, last)
	if err != nil {
		return err
	}
	l.segments = append(l.segments, seg)
	if !last {
		return nil
	}
	if err := disk.Replace(l.cfg.FS, l.segmentPath(seq), b[:end]); err != nil {
		return Error.Wrap(err)
	}
	l.size = end
	l.file, err = l.cfg.FS.Append(l.segmentPath(seq))
	return Error.Wrap(err)
}

// removePreparedSegment removes the last segment if it has no frames and is not the
// only one. Such a segment was created in advance, perhaps not completely, while the
// segment before it was in use, so that segment may end with an interrupted write.
func (l *Log) removePreparedSegment(seqs []uint64) ([]uint64, error) {
	n := len(seqs) - 1
	if n < 1 || seqs[n] != seqs[n-1]+1 {
		return seqs, nil
	}
	b, err := disk.Read(l.cfg.FS, l.segmentPath(seqs[n]))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if len(b) > segmentHeaderBytes {
		return seqs, nil
	}
	return seqs[:n], l.removeEmptySegment(seqs[n])
}

// removeEmptySegment removes a segment without frames.
func (l *Log) removeEmptySegment(seq uint64) error {
	if err := l.cfg.FS.Remove(l.segmentPath(seq)); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(l.cfg.FS.SyncDir(l.cfg.Dir))
}

func parseHeader(b []byte, seq uint64) (segment, bool) {
	if len(b) < segmentHeaderBytes {
		return segment{}, false
	}
	s := segment{salt: binary.LittleEndian.Uint64(b[8:]), seq: binary.LittleEndian.Uint64(b[16:])}
	ok := binary.LittleEndian.Uint64(b) == segmentMagic && s.seq == seq &&
		binary.LittleEndian.Uint64(b[24:]) == xxhash.Sum64(b[:24])
	return s, ok
}

// parseFrames applies the frames in b to c and returns the offset after the last valid
// frame.
func parseFrames(b []byte, seg *segment, c *Content, last bool) (int, error) {
	offset := segmentHeaderBytes
	for offset < len(b) {
		f, ok := parseFrame(b[offset:], seg.salt)
		if !ok {
			break
		}
		if err := c.applyFrame(f); err != nil {
			return 0, err
		}
		seg.maxIndex = max(seg.maxIndex, f.lastIndex())
		offset += f.size
	}
	if offset == len(b) {
		return offset, nil
	}
	if !last {
		return 0, Corrupt.New("segment %d is damaged at byte %d and is not the last", seg.seq, offset)
	}
	for probe := offset + 1; probe+frameHeaderBytes <= len(b); probe++ {
		if _, ok := parseFrame(b[probe:], seg.salt); ok {
			return 0, Corrupt.New("segment %d is damaged at byte %d, before a valid record at byte %d", seg.seq, offset, probe)
		}
	}
	return offset, nil
}

type frame struct {
	kind    frameKind
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

// parseFrame decodes the frame at the start of b. The checksum includes the salt, so
// that record data that looks like a frame is not taken for one.
func parseFrame(b []byte, salt uint64) (frame, bool) {
	if len(b) < frameHeaderBytes || binary.LittleEndian.Uint32(b) != frameMagic {
		return frame{}, false
	}
	n := int(binary.LittleEndian.Uint32(b[4:]))
	if n > maxFrameBytes || n > len(b)-frameHeaderBytes {
		return frame{}, false
	}
	if binary.LittleEndian.Uint64(b[8:]) != checksum(b[:frameHeaderBytes+n], salt) {
		return frame{}, false
	}
	f := frame{
		index: binary.LittleEndian.Uint64(b[16:]), kind: frameKind(binary.LittleEndian.Uint32(b[24:])),
		size: frameHeaderBytes + n,
	}
	count := binary.LittleEndian.Uint32(b[28:])
	rest := b[frameHeaderBytes : frameHeaderBytes+n]
	for range count {
		size, prefixLen := binary.Uvarint(rest)
		if prefixLen <= 0 || size > uint64(len(rest)-prefixLen) {
			return frame{}, false
		}
		f.records = append(f.records, rest[prefixLen:prefixLen+int(size):prefixLen+int(size)])
		rest = rest[prefixLen+int(size):]
	}
	return f, len(rest) == 0
}

// checksum returns the checksum of the frame b: of the salt, the header without its
// checksum field, and the payload.
func checksum(b []byte, salt uint64) uint64 {
	d := xxhash.NewWithSeed(salt)
	_, _ = d.Write(b[:8])
	_, _ = d.Write(b[16:])
	return d.Sum64()
}

func encodeFrame(k frameKind, index uint64, records [][]byte, salt uint64) []byte {
	size := frameHeaderBytes
	for _, r := range records {
		size += binary.MaxVarintLen32 + len(r)
	}
	b := make([]byte, frameHeaderBytes, size)
	for _, r := range records {
		b = binary.AppendUvarint(b, uint64(len(r)))
		b = append(b, r...)
	}
	binary.LittleEndian.PutUint32(b, frameMagic)
	binary.LittleEndian.PutUint32(b[4:], uint32(len(b)-frameHeaderBytes))
	binary.LittleEndian.PutUint64(b[16:], index)
	binary.LittleEndian.PutUint32(b[24:], uint32(k))
	binary.LittleEndian.PutUint32(b[28:], uint32(len(records)))
	binary.LittleEndian.PutUint64(b[8:], checksum(b, salt))
	return b
}

// applyFrame adds the records of a frame, or resets the content.
func (c *Content) applyFrame(f frame) error {
	switch {
	case f.kind == kindReset:
		c.First, c.Records = f.index+1, nil
	case f.kind != kindRecords || len(f.records) == 0:
		return Corrupt.New("frame of unknown kind %d", f.kind)
	case len(c.Records) == 0 && c.First == 1:
		// The oldest segments may have been removed by TruncateFront.
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

// Append writes records with consecutive indexes from first on and returns when they
// are durable. first may be at most one past the last record; existing records from
// first on are replaced. After a write or sync error all further writes fail, because
// it is unknown whether the records are on disk.
func (l *Log) Append(first uint64, records [][]byte) error {
	if len(records) == 0 {
		return l.err
	}
	if first > l.lastIndex+1 || first == 0 {
		return Error.New("record %d does not follow record %d", first, l.lastIndex)
	}
	if err := l.writeFrame(kindRecords, first, records); err != nil {
		return err
	}
	l.lastIndex = first + uint64(len(records)) - 1
	seg := &l.segments[len(l.segments)-1]
	seg.maxIndex = max(seg.maxIndex, l.lastIndex)
	return nil
}

// Reset empties the log; the next record is index+1. The reset is durable on return.
func (l *Log) Reset(index uint64) error {
	if err := l.writeFrame(kindReset, index, nil); err != nil {
		return err
	}
	l.lastIndex = index
	seg := &l.segments[len(l.segments)-1]
	seg.maxIndex = max(seg.maxIndex, index)
	return nil
}

func (l *Log) writeFrame(k frameKind, index uint64, records [][]byte) error {
	if l.err != nil {
		return l.err
	}
	if l.size >= l.cfg.SegmentBytes {
		if err := l.startSegment(l.segments[len(l.segments)-1].seq + 1); err != nil {
			return l.fail(err)
		}
	}
	b := encodeFrame(k, index, records, l.segments[len(l.segments)-1].salt)
	if len(b)-frameHeaderBytes > maxFrameBytes {
		return Error.New("%d bytes in one append exceed %d", len(b)-frameHeaderBytes, maxFrameBytes)
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

// fail makes all further writes fail. Retrying a failed sync is not safe, because it
// may succeed without having written the bytes.
func (l *Log) fail(err error) error {
	l.err = Error.Wrap(err)
	return l.err
}

// startSegment closes the current segment and starts the next, whose header is durable
// before the first frame is written.
func (l *Log) startSegment(seq uint64) error {
	if l.file != nil {
		if err := l.file.Close(); err != nil {
			return Error.Wrap(err)
		}
		l.file = nil
	}
	if l.nextSegment == nil {
		l.nextSegment = func() newSegment { return l.createSegment(seq) }
	}
	c := l.nextSegment()
	l.nextSegment = nil
	if c.err != nil {
		return c.err
	}
	l.file, l.size = c.file, c.size
	l.segments = append(l.segments, c.segment)
	return nil
}

// PrepareSegment returns a function that creates the next segment in advance, or nil if
// that is not due yet. The function may run concurrently with any other use of the
// log. The write that needs the segment waits for it, or creates the segment if the
// function was not called.
func (l *Log) PrepareSegment() func() error {
	if l.err != nil || l.nextSegment != nil || l.size < l.cfg.SegmentBytes/2 {
		return nil
	}
	seq := l.segments[len(l.segments)-1].seq + 1
	create := sync.OnceValue(func() newSegment { return l.createSegment(seq) })
	l.nextSegment = create
	return func() error { return create().err }
}

// createSegment creates an empty segment and makes it durable.
func (l *Log) createSegment(seq uint64) newSegment {
	seg := segment{seq: seq, salt: rand.Uint64()}
	b := binary.LittleEndian.AppendUint64(nil, segmentMagic)
	b = binary.LittleEndian.AppendUint64(b, seg.salt)
	b = binary.LittleEndian.AppendUint64(b, seg.seq)
	b = binary.LittleEndian.AppendUint64(b, xxhash.Sum64(b))
	f, err := l.cfg.FS.Create(l.segmentPath(seq))
	if err != nil {
		return newSegment{err: Error.Wrap(err)}
	}
	_, err = f.Write(b)
	if err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = l.cfg.FS.SyncDir(l.cfg.Dir)
	}
	if err != nil {
		return newSegment{err: Error.Wrap(errors.Join(err, f.Close()))}
	}
	return newSegment{segment: seg, file: f, size: len(b)}
}

// TruncateFront removes the segments that have only records up to index.
func (l *Log) TruncateFront(index uint64) error {
	if l.err != nil {
		return l.err
	}
	if err := l.TruncateFrontFunc(index)(); err != nil {
		return l.fail(err)
	}
	return nil
}

// TruncateFrontFunc returns a function that does the file operations of TruncateFront.
// The function may run concurrently with any other use of the log, but the functions
// of several calls must run one after another, in the order of the calls. Each removal
// is synced before the next, so that a crash leaves no gap.
func (l *Log) TruncateFrontFunc(index uint64) func() error {
	var paths []string
	for len(l.segments) > 1 && l.segments[0].maxIndex <= index {
		paths = append(paths, l.segmentPath(l.segments[0].seq))
		l.segments = l.segments[1:]
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

// Close closes the open segment. All appended records are durable already.
func (l *Log) Close() error {
	l.err = Error.New("closed")
	if l.nextSegment != nil {
		if c := l.nextSegment(); c.err == nil {
			// Open removes the segment if it reappears after a crash.
			_ = c.file.Close()
			_ = l.cfg.FS.Remove(l.segmentPath(c.segment.seq))
		}
	}
	if l.file == nil {
		return nil
	}
	return Error.Wrap(l.file.Close())
}
