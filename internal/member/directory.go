package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cranberrypath.example/cranberrypath/internal/spread"
)

const (
	// minDirectoryTTL is how long callers may cache a directory. A graceful shutdown
	// waits longer than that before it closes the listener.
	minDirectoryTTL = 15 * time.Second
	// directoryTTLJitter is the range of the jitter added to the TTL, so that callers
	// that started together don't keep refreshing at the same time.
	directoryTTLJitter = 5 * time.Second
)

// Caller describes a caller that requests the directory.
type Caller struct {
	Key        string // stable key of the caller, such as its IP address
	DataCentre string // if empty, this instance's data centre
}

// Directory lists the addresses that a caller should use.
type Directory struct {
	Addresses []string // of the listeners for callers, in order of preference
	TTL       time.Duration
}

// Directory returns the entry instances that accept requests, those in the caller's
// data centre first. The order differs between callers, but is stable for a caller as
// long as the membership of the cell does not change. Draining, failed and refusing
// instances are left out. If none remains, the directory lists this instance, which is
// at least reachable.
func (m *Member) Directory(now time.Time, c Caller) Directory {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.DataCentre == "" {
		c.DataCentre = m.cfg.DataCentre
	}
	var serving []Peer
	if m.self.Serving && !m.self.Draining {
		serving = append(serving, m.self)
	}
	for _, p := range m.peers {
		if m.isLive(p, now) && p.Serving && !p.Draining && p.CallerAddress != "" {
			serving = append(serving, p.Peer)
		}
	}
	if len(serving) == 0 {
		serving = append(serving, m.self)
	}
	d := Directory{TTL: minDirectoryTTL + time.Duration(xxhash.Sum64String(c.Key)%uint64(directoryTTLJitter))}
	for _, p := range rankByCapacity(serving, c.Key, c.DataCentre) {
		d.Addresses = append(d.Addresses, p.CallerAddress)
	}
	return d
}

// rankByCapacity sorts peers like rankPeers. If their capacities differ, each comes before the
// others in its data centre for a share of the keys in proportion to its capacity.
func rankByCapacity(peers []Peer, key, dataCentre string) []Peer {
	capacities := make([]float64, len(peers))
	for i, p := range peers {
		capacities[i] = float64(p.Capacity)
	}
	if !spread.Uneven(capacities) {
		return rankPeers(peers, key, dataCentre)
	}
	scores := map[string]float64{}
	for i, w := range spread.Weights(capacities) {
		scores[peers[i].Instance] = spread.Score(xxhash.Sum64String(peers[i].Instance+"\x00"+key), w)
	}
	slices.SortFunc(peers, func(a, b Peer) int {
		if near := a.DataCentre == dataCentre; near != (b.DataCentre == dataCentre) {
			if near {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(scores[b.Instance], scores[a.Instance]), cmp.Compare(a.Instance, b.Instance))
	})
	return peers
}
