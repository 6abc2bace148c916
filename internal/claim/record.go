package claim

import (
	"crypto/sha256"
	"encoding/binary"
)

const (
	digestBytes = 16
	// headerBytes is the size of an entry's header: digest, time of the last change,
	// length and pending flag.
	headerBytes = digestBytes + 8 + 4
	// pendingFlag is set in the length field of a pending claim's entry.
	pendingFlag = 1 << 31
	chunkBytes  = 64 << 10
	// compactSlackBytes is the size of dead entries, on top of an eighth of the live
	// ones, from which on chunks are compacted.
	compactSlackBytes = 4 * chunkBytes
)

// digest identifies a claim. It is a cryptographic hash truncated to 128 bits, so that
// callers can't choose keys that collide.
type digest [digestBytes]byte

func digestOf(org, key string) digest {
	b := binary.AppendUvarint(make([]byte, 0, 128), uint64(len(org)))
	b = append(append(b, org...), key...)
	sum := sha256.Sum256(b)
	return digest(sum[:digestBytes])
}

// position is the chunk number of an entry and its offset in the chunk.
type position struct{ chunk, offset uint32 }

// entry is one encoded claim.
type entry struct {
	digest    digest
	changedMs int64
	pending   bool
	encoded   []byte
}

// entryStore holds encoded claims in the order of their last change. A changed claim
// is appended again and its old entry becomes dead, so that claims expire from the
// front. Entries are packed into pointer-free chunks, which need a third of the memory
// of separate objects.
type entryStore struct {
	index       map[digest]position
	chunks      [][]byte // oldest first
	firstChunk  uint32   // chunk number of chunks[0]
	headOffset  uint32   // offset of the first entry in chunks[0] that may be live
	liveBytes   int      // size of the live entries
	deadBytes   int      // size of replaced and removed entries after headOffset
	nextCompact uint32   // chunk number of the next chunk to compact
}

func newEntryStore(n int) *entryStore { return &entryStore{index: make(map[digest]position, n)} }

// get returns the live entry of a claim. Its encoded field is valid until the next
// change of the store.
func (s *entryStore) get(d digest) (entry, bool) {
	p, ok := s.index[d]
	if !ok {
		return entry{}, false
	}
	return s.read(p), true
}

func (s *entryStore) read(p position) entry {
	b := s.chunks[p.chunk-s.firstChunk][p.offset:]
	n := binary.LittleEndian.Uint32(b[digestBytes+8:])
	size := n &^ pendingFlag
	return entry{
		digest: digest(b[:digestBytes]), changedMs: int64(binary.LittleEndian.Uint64(b[digestBytes:])),
		pending: n&pendingFlag != 0, encoded: b[headerBytes : headerBytes+size : headerBytes+size],
	}
}

// put stores a claim as the most recently changed one.
func (s *entryStore) put(e entry) {
	s.remove(e.digest)
	s.append(e)
	if s.deadBytes > s.liveBytes/8+compactSlackBytes {
		s.compact()
	}
}

func (s *entryStore) append(e entry) {
	size := headerBytes + len(e.encoded)
	last := len(s.chunks) - 1
	if last < 0 || len(s.chunks[last])+size > cap(s.chunks[last]) {
		s.chunks = append(s.chunks, make([]byte, 0, max(size, chunkBytes)))
		last++
	}
	b := s.chunks[last]
	s.index[e.digest] = position{s.firstChunk + uint32(last), uint32(len(b))}
	n := uint32(len(e.encoded))
	if e.pending {
		n |= pendingFlag
	}
	b = append(b, e.digest[:]...)
	b = binary.LittleEndian.AppendUint64(b, uint64(e.changedMs))
	b = binary.LittleEndian.AppendUint32(b, n)
	s.chunks[last] = append(b, e.encoded...)
	s.liveBytes += size
}

func (s *entryStore) remove(d digest) {
	p, ok := s.index[d]
	if !ok {
		return
	}
	size := headerBytes + len(s.read(p).encoded)
	s.liveBytes, s.deadBytes = s.liveBytes-size, s.deadBytes+size
	delete(s.index, d)
}

// isCurrent reports whether the entry at p is the live entry of the claim.
func (s *entryStore) isCurrent(d digest, p position) bool {
	current, ok := s.index[d]
	return ok && current == p
}

// oldest returns the least recently changed claim. It drops dead entries at the
// front.
func (s *entryStore) oldest() (entry, bool) {
	for len(s.chunks) > 0 {
		if int(s.headOffset) == len(s.chunks[0]) {
			s.chunks[0] = nil
			s.chunks, s.firstChunk, s.headOffset = s.chunks[1:], s.firstChunk+1, 0
			continue
		}
		at := position{s.firstChunk, s.headOffset}
		e := s.read(at)
		if s.isCurrent(e.digest, at) {
			return e, true
		}
		size := headerBytes + len(e.encoded)
		s.headOffset += uint32(size)
		s.deadBytes -= size
	}
	return entry{}, false
}

// each calls f for all claims, least recently changed first.
func (s *entryStore) each(f func(entry)) {
	at := position{s.firstChunk, s.headOffset}
	for _, b := range s.chunks {
		for int(at.offset) < len(b) {
			e := s.read(at)
			if s.isCurrent(e.digest, at) {
				f(e)
			}
			at.offset += uint32(headerBytes + len(e.encoded))
		}
		at = position{at.chunk + 1, 0}
	}
}

// compact rewrites the next chunk without its dead entries. The last chunk is left out
// because it still grows. Only one chunk is rewritten at a time: rewriting all of them
// would block commands for 54 ms with 100,000 claims.
func (s *entryStore) compact() {
	if len(s.chunks) < 2 {
		return
	}
	if s.nextCompact < s.firstChunk || s.nextCompact >= s.firstChunk+uint32(len(s.chunks)-1) {
		s.nextCompact = s.firstChunk
	}
	i, from := s.nextCompact-s.firstChunk, uint32(0)
	if i == 0 {
		from = s.headOffset
	}
	old := s.chunks[i][from:]
	compacted := make([]byte, 0, len(old))
	for at := uint32(0); int(at) < len(old); {
		e := s.read(position{s.nextCompact, from + at})
		size := uint32(headerBytes + len(e.encoded))
		if s.isCurrent(e.digest, position{s.nextCompact, from + at}) {
			s.index[e.digest] = position{s.nextCompact, uint32(len(compacted))}
			compacted = append(compacted, old[at:at+size]...)
		}
		at += size
	}
	s.deadBytes -= len(old) - len(compacted)
	s.chunks[i] = append(make([]byte, 0, len(compacted)), compacted...)
	if i == 0 {
		s.headOffset = 0
	}
	s.nextCompact++
}
