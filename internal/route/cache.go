package route

import (
	"time"

	"cranberrypath.example/cranberrypath/internal/world"
)

const (
	// minResyncInterval is the minimum time between two resyncs of one server.
	minResyncInterval = 5 * time.Second
	// indexOneIn selects the indexed blocks: one in eight by hash, so that all
	// instances and events index the same blocks.
	indexOneIn = 8
	// indexHolders is how many servers the block index keeps for a block.
	indexHolders = 4
	// maxIndexBlocks bounds one generation of the block index.
	maxIndexBlocks = 1 << 17
)

// cache is the prefix map of one server: the blocks that the server has cached
// according to its events and this instance's requests. The map has two generations.
// When the young one reaches half the limit, the old one is dropped, so blocks in use
// are kept.
type cache struct {
	limit        int
	young, old   set
	nextEvent    uint64 // sequence number of the next event
	hasNextEvent bool   // nextEvent is known
	incomplete   bool
	resyncAt     time.Time
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

// prefix returns how many leading blocks are cached. A block's hash covers all earlier
// blocks, and servers evict the ends of prefixes first, so an exponential and a binary
// search find the last cached block.
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

// apply records events and returns the blocks added. Events that were already applied
// are skipped. After a gap in the sequence the map is incomplete until a full snapshot.
func (c *cache) apply(ev world.CacheEvents) []uint64 {
	next := ev.Next()
	if c.hasNextEvent && next <= c.nextEvent && (!ev.Full || next < c.nextEvent) {
		return nil
	}
	added, removed := ev.Added, ev.Removed
	switch {
	case ev.Full:
		c.young, c.old, c.incomplete = set{}, set{}, false
	case !c.hasNextEvent, ev.From > c.nextEvent:
		c.incomplete = true
	default:
		skip := c.nextEvent - ev.From
		n := min(skip, uint64(len(added)))
		added, removed = added[n:], removed[skip-n:]
	}
	c.nextEvent, c.hasNextEvent = next, true
	for _, h := range added {
		c.add(h)
	}
	for _, h := range removed {
		c.young.remove(h)
		c.old.remove(h)
	}
	return added
}

// set is an open-addressing hash table of the low 32 bits of block hashes, which need
// half the memory of full hashes. In a full map a collision makes a prefix look longer
// with a probability of about 1 in 100,000, which costs one prefill.
type set struct {
	slots []uint32 // 0 is empty
	n     int
}

func lowBits(h uint64) uint32 { return max(uint32(h), 1) }

// preferredSlot is where the probe sequence of v starts. The multiplication spreads
// values that differ in few bits.
func (s *set) preferredSlot(v uint32) uint32 { return (v * 0x9E3779B1) >> 7 & uint32(len(s.slots)-1) }

func (s *set) find(v uint32) (uint32, bool) {
	if len(s.slots) == 0 {
		return 0, false
	}
	mask := uint32(len(s.slots) - 1)
	i := s.preferredSlot(v)
	for s.slots[i] != 0 {
		if s.slots[i] == v {
			return i, true
		}
		i = (i + 1) & mask
	}
	return i, false
}

func (s *set) has(h uint64) bool {
	_, ok := s.find(lowBits(h))
	return ok
}

func (s *set) add(h uint64) {
	if (s.n+1)*4 > len(s.slots)*3 {
		s.grow()
	}
	if i, ok := s.find(lowBits(h)); !ok {
		s.slots[i] = lowBits(h)
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

// remove shifts later entries of the probe sequence back to fill the empty slot.
func (s *set) remove(h uint64) {
	i, ok := s.find(lowBits(h))
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
		if (j-s.preferredSlot(v))&mask >= (j-i)&mask {
			s.slots[i] = v
			i = j
		}
	}
	s.slots[i] = 0
}

// blockIndex maps blocks to servers that cache them, so that Pick finds these servers
// in a group that is too large to scan. It has two generations, like cache.
type blockIndex struct {
	young, old map[uint64]holders
}

type holders [indexHolders]uint32

func newBlockIndex() *blockIndex { return &blockIndex{young: map[uint64]holders{}} }

func (x *blockIndex) add(h uint64, num uint32) {
	if h%indexOneIn != 0 {
		return
	}
	p, ok := x.young[h]
	if !ok {
		p = x.old[h]
		if len(x.young) >= maxIndexBlocks {
			x.young, x.old = make(map[uint64]holders, maxIndexBlocks), x.young
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
	copy(p[1:], p[:indexHolders-1])
	p[0] = num
	x.young[h] = p
}

// find writes the servers that cache the longest indexed parts of a prompt to out and
// returns their number.
func (x *blockIndex) find(prefix []uint64, out *[maxIndexHits]uint32) int {
	n, lookups := 0, 0
	for i := len(prefix) - 1; i >= 0 && n < maxIndexHits && lookups < 32; i-- {
		h := prefix[i]
		if h%indexOneIn != 0 {
			continue
		}
		lookups++
		p, ok := x.young[h]
		if !ok {
			p = x.old[h]
		}
		for _, num := range p {
			if num != 0 && n < maxIndexHits && !contains(out[:n], num) {
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
