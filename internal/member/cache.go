package member

import (
	"time"

	"cranberrypath.example/cranberrypath/internal/member/membpb"
	"cranberrypath.example/cranberrypath/internal/world"
)

const (
	// maxLoggedHashes limits the cache events kept for peers, in block hashes.
	maxLoggedHashes = 32 << 10
	// maxQueuedHashes limits the cache events queued for this instance's router, in
	// block hashes.
	maxQueuedHashes = 256 << 10
	// hashBytes is the size of a block hash on the wire.
	hashBytes = 8
)

// CacheUpdate is an update of the prefix cache contents of a backend server.
type CacheUpdate struct {
	Backend     string
	Incarnation uint64
	Events      world.CacheEvents
	// Gap is set if events were lost; Events is then empty. Lost events can also
	// appear as a gap in the sequence numbers of Events.
	Gap bool
}

// CacheEvents removes and returns the cache events received from the cell since the
// last call. Events may be duplicated when a backend server's primary instance changes.
func (m *Member) CacheEvents() []CacheUpdate {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cacheUpdates.take()
}

// cacheUpdateQueue holds the events that this instance's router has not taken yet.
type cacheUpdateQueue struct {
	updates []CacheUpdate
	hashes  int
	lost    map[string]bool // backend servers with dropped events
}

func (c *cacheUpdateQueue) add(u CacheUpdate) {
	n := len(u.Events.Added) + len(u.Events.Removed)
	if c.hashes+n > maxQueuedHashes {
		c.lost[u.Backend] = true
		return
	}
	c.hashes += n
	c.updates = append(c.updates, u)
}

func (c *cacheUpdateQueue) take() []CacheUpdate {
	out := c.updates
	for id := range c.lost {
		out = append(out, CacheUpdate{Backend: id, Gap: true})
	}
	*c = cacheUpdateQueue{lost: map[string]bool{}}
	return out
}

// cacheBatch holds the cache events of one announcement.
type cacheBatch struct {
	slot        uint32
	incarnation uint64
	events      world.CacheEvents
}

func (b cacheBatch) hashes() int { return len(b.events.Added) + len(b.events.Removed) }

// cacheLog keeps the newest events of the backend servers that announce to this
// instance.
type cacheLog struct {
	firstBatch uint64 // number of the oldest kept batch
	batches    []cacheBatch
	hashes     int
}

func (c *cacheLog) add(slot uint32, incarnation uint64, ev world.CacheEvents) {
	b := cacheBatch{slot, incarnation, ev}
	c.batches = append(c.batches, b)
	c.hashes += b.hashes()
	for c.hashes > maxLoggedHashes && len(c.batches) > 1 {
		c.hashes -= c.batches[0].hashes()
		c.batches = c.batches[1:]
		c.firstBatch++
	}
}

// fillResponse adds the batches starting at number from, up to maxBytes. The last batch
// may exceed the limit, because batches are not split.
func (c *cacheLog) fillResponse(r *membpb.PullResponse, from uint64, maxBytes uint32) {
	next := c.firstBatch + uint64(len(c.batches))
	if from < c.firstBatch || from > next {
		r.CacheLost = from > 0
		from = c.firstBatch
	}
	remaining := int64(maxBytes)
	for from < next && remaining > 0 {
		b := c.batches[from-c.firstBatch]
		r.Caches = append(r.Caches, &membpb.Cache{
			Slot: b.slot, Incarnation: b.incarnation, From: b.events.From, Full: b.events.Full,
			Added: b.events.Added, Removed: b.events.Removed,
		})
		remaining -= int64(b.hashes()*hashBytes) + hashBytes
		from++
	}
	r.Cache = from
}

// cacheBudget is a token bucket that limits the cache events pulled per second, in bytes,
// and divides them among the peers.
type cacheBudget struct {
	refilledAt time.Time
	remaining  int64 // negative after a batch that exceeded the limit
	perPeer    uint32
}

func (b *cacheBudget) refill(now time.Time, peers int) {
	b.remaining = min(b.remaining+int64(now.Sub(b.refilledAt).Seconds()*cacheBytesPerSecond), cacheBytesPerSecond)
	b.refilledAt = now
	b.perPeer = uint32(max(b.remaining, 0) / int64(max(peers, 1)))
}

func (m *Member) applyCache(r *peerTable, resp *membpb.PullResponse) {
	if resp.CacheLost {
		for _, e := range r.entries {
			m.cacheUpdates.lost[e.backend.ID] = true
		}
	}
	r.nextCacheBatch = resp.Cache
	for _, c := range resp.Caches {
		m.cacheBudget.remaining -= int64((len(c.Added)+len(c.Removed))*hashBytes) + hashBytes
		if i, ok := r.find(c.Slot); ok {
			m.cacheUpdates.add(CacheUpdate{
				Backend: r.entries[i].backend.ID, Incarnation: c.Incarnation,
				Events: world.CacheEvents{From: c.From, Full: c.Full, Added: c.Added, Removed: c.Removed},
			})
		}
	}
}
