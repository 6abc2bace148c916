package member

import (
	"time"

	"cranberrypath.example/cranberrypath/internal/member/membpb"
	"cranberrypath.example/cranberrypath/internal/world"
)

const (
	// keepHashes bounds the cache events that wait for pullers, in block hashes.
	keepHashes = 32 << 10
	// inboxHashes bounds the ones that wait for this node's own router.
	inboxHashes = 256 << 10
	// hashBytes is the size of a block hash on the wire.
	hashBytes = 8
)

// CacheUpdate is news about the prefix cache of one backend server.
type CacheUpdate struct {
	Backend     string
	Incarnation uint64
	Events      world.CacheEvents
	// Gap is set if events were lost; Events is empty then. A gap can also show
	// as a jump of the sequence numbers in Events.
	Gap bool
}

// CacheEvents returns the cache events that have arrived since the last call,
// from the whole cell, and forgets them. The same events may come twice when a
// backend server changes its home.
func (m *Member) CacheEvents() []CacheUpdate {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cache.take()
}

// cacheInbox holds the events that this node's router has not taken yet.
type cacheInbox struct {
	updates []CacheUpdate
	hashes  int
	lost    map[string]bool // backend servers with dropped events
}

func (c *cacheInbox) add(u CacheUpdate) {
	n := len(u.Events.Added) + len(u.Events.Removed)
	if c.hashes+n > inboxHashes {
		c.lost[u.Backend] = true
		return
	}
	c.hashes += n
	c.updates = append(c.updates, u)
}

func (c *cacheInbox) take() []CacheUpdate {
	out := c.updates
	for id := range c.lost {
		out = append(out, CacheUpdate{Backend: id, Gap: true})
	}
	*c = cacheInbox{lost: map[string]bool{}}
	return out
}

// cacheBatch is the cache events of one announcement.
type cacheBatch struct {
	slot        uint32
	incarnation uint64
	events      world.CacheEvents
}

func (b cacheBatch) hashes() int { return len(b.events.Added) + len(b.events.Removed) }

// cacheLog keeps the newest events of the backend servers that announce here.
type cacheLog struct {
	first   uint64 // number of the oldest batch kept
	batches []cacheBatch
	hashes  int
}

func (c *cacheLog) add(slot uint32, incarnation uint64, ev world.CacheEvents) {
	b := cacheBatch{slot, incarnation, ev}
	c.batches = append(c.batches, b)
	c.hashes += b.hashes()
	for c.hashes > keepHashes && len(c.batches) > 1 {
		c.hashes -= c.batches[0].hashes()
		c.batches = c.batches[1:]
		c.first++
	}
}

// fill adds the batches from number held on that the puller has room for. The
// last one may exceed the room, since a batch is not divided.
func (c *cacheLog) fill(r *membpb.PullResponse, held uint64, room uint32) {
	next := c.first + uint64(len(c.batches))
	if held < c.first || held > next {
		r.CacheLost = held > 0
		held = c.first
	}
	left := int64(room)
	for held < next && left > 0 {
		b := c.batches[held-c.first]
		r.Caches = append(r.Caches, &membpb.Cache{
			Slot: b.slot, Incarnation: b.incarnation, From: b.events.From, Full: b.events.Full,
			Added: b.events.Added, Removed: b.events.Removed,
		})
		left -= int64(b.hashes()*hashBytes) + hashBytes
		held++
	}
	r.Cache = held
}

// cacheBudget spreads the bytes for cache events over the pulls of a second.
type cacheBudget struct {
	at    time.Time
	left  int64 // may be negative after a batch that was larger than the room
	share uint32
}

func (b *cacheBudget) refill(now time.Time, peers int) {
	b.left = min(b.left+int64(now.Sub(b.at).Seconds()*cacheBytesPerSecond), cacheBytesPerSecond)
	b.at = now
	b.share = uint32(max(b.left, 0) / int64(max(peers, 1)))
}

func (m *Member) applyCache(r *remote, resp *membpb.PullResponse) {
	if resp.CacheLost {
		for _, e := range r.entries {
			m.cache.lost[e.backend.ID] = true
		}
	}
	r.cache = resp.Cache
	for _, c := range resp.Caches {
		m.budget.left -= int64((len(c.Added)+len(c.Removed))*hashBytes) + hashBytes
		if i, ok := r.find(c.Slot); ok {
			m.cache.add(CacheUpdate{
				Backend: r.entries[i].backend.ID, Incarnation: c.Incarnation,
				Events: world.CacheEvents{From: c.From, Full: c.Full, Added: c.Added, Removed: c.Removed},
			})
		}
	}
}
