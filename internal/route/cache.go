package route

import (
	"time"

	"cranberrypath.example/cranberrypath/internal/world"
)

const (
	// resyncPause is the least time between two requests for a server's whole cache.
	resyncPause = 5 * time.Second
	// indexShare is the share of blocks in the block index: one in eight by
	// hash, so that all instances and events index the same blocks.
	indexShare = 8
	// indexPlaces is how many servers the block index remembers for a block.
	indexPlaces = 4
	// indexBlocks bounds one generation of the block index.
	indexBlocks = 1 << 17
)

// cache is the prefix map of one server: the blocks that its events and this
// instance's own requests say it holds. It keeps two generations; when the newer
// is half the limit, the older is dropped, so blocks that are used stay.
type cache struct {
	limit      int
	young, old set
	next       uint64 // sequence number of the next event
	begun      bool   // next is known
	distrusted bool
	asked      time.Time
}

func newCache(limit int) cache { return cache{limit: max(limit, 2)} }

func (c *cache) add(h uint64) {
	if c.young.has(h) {
		return
	}
	if c.young.n >= (c.limit+1)/2 {
		c.young, c.old = set{}, c.young
	}
	c.old.remove(h)
	c.young.add(h)
}

func (c *cache) has(h uint64) bool { return c.young.has(h) || c.old.has(h) }

func (c *cache) blocks() int { return c.young.n + c.old.n }

// prefix returns how many leading blocks are cached. A hash covers all earlier
// blocks and engines drop the ends of prefixes first, so it searches for the
// last cached block instead of visiting each.
func (c *cache) prefix(p []uint64) int {
	if len(p) == 0 || !c.has(p[0]) {
		return 0
	}
	low, high := 1, 2 // p[low-1] is cached
	for high <= len(p) && c.has(p[high-1]) {
		low, high = high, high*2
	}
	high = min(high, len(p)+1) // p[high-1] is not cached or does not exist
	for high-low > 1 {
		if mid := (low + high) / 2; c.has(p[mid-1]) {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}

// apply records events and returns the blocks added. Events that were applied
// already are skipped; after a gap the map is distrusted until a full one.
func (c *cache) apply(ev world.CacheEvents) []uint64 {
	next := ev.Next()
	if c.begun && next <= c.next && (!ev.Full || next < c.next) {
		return nil
	}
	added, removed := ev.Added, ev.Removed
	switch {
	case ev.Full:
		c.young, c.old, c.distrusted = set{}, set{}, false
	case !c.begun, ev.From > c.next:
		c.distrusted = true
	default:
		skip := c.next - ev.From
		n := min(skip, uint64(len(added)))
		added, removed = added[n:], removed[skip-n:]
	}
	c.next, c.begun = next, true
	for _, h := range added {
		c.add(h)
	}
	for _, h := range removed {
		c.young.remove(h)
		c.old.remove(h)
	}
	return added
}

// set holds block hashes by their low 32 bits in an open-addressed table. Two
// blocks that share them make a prefix look longer with a probability of about
// 1 in 100,000 for a full map, which costs one prefill and saves half the memory.
type set struct {
	slots []uint32 // 0 is empty
	n     int
}

func short(h uint64) uint32 { return max(uint32(h), 1) }

// home is the preferred slot; it spreads values that differ in few bits.
func (s *set) home(v uint32) uint32 { return (v * 0x9E3779B1) >> 7 & uint32(len(s.slots)-1) }

func (s *set) find(v uint32) (uint32, bool) {
	if len(s.slots) == 0 {
		return 0, false
	}
	mask := uint32(len(s.slots) - 1)
	i := s.home(v)
	for s.slots[i] != 0 {
		if s.slots[i] == v {
			return i, true
		}
		i = (i + 1) & mask
	}
	return i, false
}

func (s *set) has(h uint64) bool {
	_, ok := s.find(short(h))
	return ok
}

func (s *set) add(h uint64) {
	if (s.n+1)*4 > len(s.slots)*3 {
		s.grow()
	}
	if i, ok := s.find(short(h)); !ok {
		s.slots[i] = short(h)
		s.n++
	}
}

func (s *set) grow() {
	old := s.slots
	s.slots = make([]uint32, max(16, 2*len(old)))
	for _, v := range old {
		if v != 0 {
			i, _ := s.find(v)
			s.slots[i] = v
		}
	}
}

// remove closes the hole by moving later entries of the run back.
func (s *set) remove(h uint64) {
	i, ok := s.find(short(h))
	if !ok {
		return
	}
	s.n--
	mask := uint32(len(s.slots) - 1)
	for j := i; ; {
		j = (j + 1) & mask
		v := s.slots[j]
		if v == 0 {
			break
		}
		if (j-s.home(v))&mask >= (j-i)&mask {
			s.slots[i] = v
			i = j
		}
	}
	s.slots[i] = 0
}

// blockIndex names servers that hold a block, so that Pick finds them in a
// group that is too large to search. It keeps two generations like cache.
type blockIndex struct {
	young, old map[uint64]places
}

type places [indexPlaces]uint32

func newBlockIndex() *blockIndex { return &blockIndex{young: map[uint64]places{}} }

func (x *blockIndex) add(h uint64, num uint32) {
	if h%indexShare != 0 {
		return
	}
	p, ok := x.young[h]
	if !ok {
		p = x.old[h]
		if len(x.young) >= indexBlocks {
			x.young, x.old = make(map[uint64]places, indexBlocks), x.young
		}
	}
	for i, n := range p {
		if n == num {
			copy(p[1:i+1], p[:i])
			p[0] = num
			x.young[h] = p
			return
		}
	}
	copy(p[1:], p[:indexPlaces-1])
	p[0] = num
	x.young[h] = p
}

// find returns servers that hold the longest indexed parts of a prompt.
func (x *blockIndex) find(prefix []uint64, out *[indexed]uint32) int {
	n, looked := 0, 0
	for i := len(prefix) - 1; i >= 0 && n < indexed && looked < 32; i-- {
		h := prefix[i]
		if h%indexShare != 0 {
			continue
		}
		looked++
		p, ok := x.young[h]
		if !ok {
			p = x.old[h]
		}
		for _, num := range p {
			if num != 0 && n < indexed && !contains(out[:n], num) {
				out[n] = num
				n++
			}
		}
	}
	return n
}

func contains(list []uint32, v uint32) bool {
	for _, o := range list {
		if o == v {
			return true
		}
	}
	return false
}
