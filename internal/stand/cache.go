package stand

import (
	"container/list"
	"math/rand/v2"
	"time"
)

// prefixCache is an LRU cache of block hashes. It records its changes until they are
// published.
type prefixCache struct {
	capacity    int
	lru         *list.List // of uint64, most recently used first
	elements    map[uint64]*list.Element
	pending     []cacheChange
	nextSeq     uint64 // sequence number of the next change
	publishFull bool   // the next publication contains the whole cache
}

type cacheChange struct {
	hash  uint64
	added bool
	at    time.Time
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, lru: list.New(), elements: map[uint64]*list.Element{}}
}

// cachedPrefix returns the number of leading blocks that are cached and marks them as
// recently used.
func (c *prefixCache) cachedPrefix(blocks []uint64) int {
	for i, h := range blocks {
		el := c.elements[h]
		if el == nil {
			return i
		}
		c.lru.MoveToFront(el)
	}
	return len(blocks)
}

func (c *prefixCache) add(blocks []uint64, now time.Time) {
	for _, h := range blocks {
		if el := c.elements[h]; el != nil {
			c.lru.MoveToFront(el)
			continue
		}
		for c.lru.Len() >= c.capacity {
			if c.capacity == 0 {
				return
			}
			evicted := c.lru.Remove(c.lru.Back()).(uint64)
			delete(c.elements, evicted)
			c.pending = append(c.pending, cacheChange{evicted, false, now})
		}
		c.elements[h] = c.lru.PushFront(h)
		c.pending = append(c.pending, cacheChange{h, true, now})
	}
}

// publish returns the net changes up to the given time, or nil if there are none.
// Receivers apply the additions of a publication before its removals, so blocks that
// were both added and removed are left out if they end as they began.
func (c *prefixCache) publish(upTo time.Time) *cacheEvents {
	if c.publishFull {
		c.publishFull, c.pending = false, nil
		ev := &cacheEvents{From: c.nextSeq, Full: true}
		for el := c.lru.Front(); el != nil; el = el.Next() {
			ev.Added = append(ev.Added, hexHashes([]uint64{el.Value.(uint64)})...)
		}
		c.nextSeq++
		return ev
	}
	n := 0
	var hashes []uint64
	firstAdded, lastAdded := map[uint64]bool{}, map[uint64]bool{}
	for n < len(c.pending) && !c.pending[n].at.After(upTo) {
		p := c.pending[n]
		if _, ok := firstAdded[p.hash]; !ok {
			firstAdded[p.hash] = p.added
			hashes = append(hashes, p.hash)
		}
		lastAdded[p.hash] = p.added
		n++
	}
	c.pending = c.pending[n:]
	var added, removed []uint64
	for _, h := range hashes {
		switch {
		case firstAdded[h] != lastAdded[h]:
		case lastAdded[h]:
			added = append(added, h)
		default:
			removed = append(removed, h)
		}
	}
	if len(added)+len(removed) == 0 {
		return nil
	}
	ev := &cacheEvents{From: c.nextSeq, Added: hexHashes(added), Removed: hexHashes(removed)}
	c.nextSeq += uint64(len(added) + len(removed))
	return ev
}

// maybeDrop drops a publication with the given probability, to simulate loss. Its
// sequence numbers stay consumed, so receivers see a gap.
func maybeDrop(ev *cacheEvents, share float64, rng *rand.Rand) *cacheEvents {
	if ev != nil && !ev.Full && share > 0 && rng.Float64() < share {
		return nil
	}
	return ev
}
