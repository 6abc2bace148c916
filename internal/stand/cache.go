package stand

import (
	"container/list"
	"math/rand/v2"
	"time"
)

// prefixCache holds block hashes, evicts the least recently used one, and keeps
// the changes that have not been published.
type prefixCache struct {
	limit   int
	order   *list.List // of uint64, most recently used first
	at      map[uint64]*list.Element
	pending []cacheChange
	next    uint64 // sequence number of the next event
	full    bool   // the next publication carries the whole content
}

type cacheChange struct {
	hash  uint64
	added bool
	when  time.Time
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), at: map[uint64]*list.Element{}}
}

// hits returns how many leading blocks are cached, and marks them as used.
func (c *prefixCache) hits(blocks []uint64) int {
	for i, h := range blocks {
		el := c.at[h]
		if el == nil {
			return i
		}
		c.order.MoveToFront(el)
	}
	return len(blocks)
}

func (c *prefixCache) add(blocks []uint64, now time.Time) {
	for _, h := range blocks {
		if el := c.at[h]; el != nil {
			c.order.MoveToFront(el)
			continue
		}
		for c.order.Len() >= c.limit {
			if c.limit == 0 {
				return
			}
			last := c.order.Remove(c.order.Back()).(uint64)
			delete(c.at, last)
			c.pending = append(c.pending, cacheChange{last, false, now})
		}
		c.at[h] = c.order.PushFront(h)
		c.pending = append(c.pending, cacheChange{h, true, now})
	}
}

// publish returns the net changes up to the given time. Within one publication
// additions are announced before removals, so a block that came and went, or
// went and came back, is left out.
func (c *prefixCache) publish(upTo time.Time) *wireEvents {
	if c.full {
		c.full, c.pending = false, nil
		ev := &wireEvents{From: c.next, Full: true}
		for el := c.order.Front(); el != nil; el = el.Next() {
			ev.Added = append(ev.Added, hexes([]uint64{el.Value.(uint64)})...)
		}
		c.next++
		return ev
	}
	n := 0
	var order []uint64
	first, last := map[uint64]bool{}, map[uint64]bool{}
	for n < len(c.pending) && !c.pending[n].when.After(upTo) {
		p := c.pending[n]
		if _, ok := first[p.hash]; !ok {
			first[p.hash] = p.added
			order = append(order, p.hash)
		}
		last[p.hash] = p.added
		n++
	}
	c.pending = c.pending[n:]
	var added, removed []uint64
	for _, h := range order {
		switch {
		case first[h] != last[h]:
		case last[h]:
			added = append(added, h)
		default:
			removed = append(removed, h)
		}
	}
	if len(added)+len(removed) == 0 {
		return nil
	}
	ev := &wireEvents{From: c.next, Added: hexes(added), Removed: hexes(removed)}
	c.next += uint64(len(added) + len(removed))
	return ev
}

// lose returns nil instead of a share of publications, whose numbers are used up.
func lose(ev *wireEvents, share float64, rng *rand.Rand) *wireEvents {
	if ev != nil && !ev.Full && share > 0 && rng.Float64() < share {
		return nil
	}
	return ev
}
