package member

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// keepDirectory is how long callers may keep a directory answer. A planned
	// stop waits longer than that before it closes the listener.
	keepDirectory = 15 * time.Second
	// keepSpread spreads the times at which answers lapse, so that callers that
	// started together do not ask together for ever.
	keepSpread = 5 * time.Second
)

// Caller is what is known of a caller that asks for the directory.
type Caller struct {
	Key        string // anything stable, such as its IP address
	DataCentre string // this node's data centre if empty
}

// Directory is the answer to a caller that asks which addresses to use.
type Directory struct {
	Addresses []string // of callers' listeners, best first
	Keep      time.Duration
}

// Directory returns the entry instances that take requests, near ones first and
// within a data centre in an order that differs by caller but stays the same
// while the cell does. Draining, failed and refusing instances are left out; if
// none is left, this node is named, since it did answer.
func (m *Member) Directory(now time.Time, c Caller) Directory {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.DataCentre == "" {
		c.DataCentre = m.cfg.DataCentre
	}
	var all []Peer
	if m.self.Serving && !m.self.Draining {
		all = append(all, m.self)
	}
	for _, p := range m.peers {
		if m.live(p, now) && p.Serving && !p.Draining && p.Callers != "" {
			all = append(all, p.Peer)
		}
	}
	if len(all) == 0 {
		all = append(all, m.self)
	}
	d := Directory{Keep: keepDirectory + time.Duration(xxhash.Sum64String(c.Key)%uint64(keepSpread))}
	for _, p := range rank(all, c.Key, c.DataCentre) {
		d.Addresses = append(d.Addresses, p.Callers)
	}
	return d
}
