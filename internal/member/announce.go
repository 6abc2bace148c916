package member

import (
	"context"
	"fmt"
	"time"

	"cranberrypath.example/cranberrypath/internal/member/membpb"
	"cranberrypath.example/cranberrypath/internal/world"
)

// Announcement is what a backend server says about itself, once a second.
type Announcement struct {
	Backend world.Backend
	// Seq grows with each announcement of one incarnation.
	Seq  uint64
	Load world.Load
	// Cache events since the last announcement.
	Cache []world.CacheEvents
	// Ticket and Held date the announcement: the ticket of the last reply of
	// this node, and how long the server held it before it sent this. A late
	// announcement without a ticket is taken for a fresh one.
	Ticket string
	Held   time.Duration
}

// Reply answers an announcement.
type Reply struct {
	// Homes are the entry instances to announce to from now on: the home, then
	// the ones to try if it does not answer.
	Homes []Peer
	// Ticket goes with the next announcement to this node.
	Ticket string
	// Stale is set if a newer announcement is known; this one had no effect.
	Stale bool
	// Next is the time until the next announcement.
	Next time.Duration
}

// Announce records an announcement. Every node records the ones that it
// receives, whether it is the home or not: pulls carry them to the cell with
// their age, and the reply sends the server to its home. News that a server
// leaves is also sent to the cell at once.
func (m *Member) Announce(a Announcement, now time.Time) Reply {
	m.mu.Lock()
	r := Reply{Homes: m.homes(a.Backend.ID, a.Backend.DataCentre, now), Ticket: m.ticket(now), Next: m.cfg.Pull}
	r.Homes = r.Homes[:min(len(r.Homes), 3)]
	o := order{a.Backend.Incarnation, a.Seq}
	have, ok := m.marks[a.Backend.ID]
	if ok && !have.less(o) {
		m.mu.Unlock()
		r.Stale = true
		return r
	}
	news := !ok || have.state != a.Backend.State || have.incarnation != a.Backend.Incarnation
	m.mark(a.Backend.ID, mark{o, a.Backend.State, now})
	m.table.put(a, m.age(a, now), now)
	m.permits.stale = true
	for _, ev := range a.Cache {
		m.cache.add(CacheUpdate{Backend: a.Backend.ID, Incarnation: a.Backend.Incarnation, Events: ev})
	}
	if news && (a.Backend.State == world.Leaving || a.Backend.State == world.Gone) && m.ctx.Err() == nil {
		m.wg.Go(func() { m.spreadEnd(a.Backend, o) })
	}
	m.mu.Unlock()
	return r
}

// spreadEnd tells the cell that a backend server takes no more work. The pulls
// tell the peers that this does not reach.
func (m *Member) spreadEnd(b world.Backend, o order) {
	ctx, cancel := context.WithTimeout(m.ctx, m.cfg.Pull)
	defer cancel()
	_ = m.spread(ctx, &membpb.Revoke{
		Cell: m.cfg.Cell, Id: b.ID, Incarnation: o.incarnation, Seq: o.seq, State: uint32(b.State),
	})
}

func (m *Member) ticket(now time.Time) string {
	return fmt.Sprintf("%x-%x", m.cfg.Incarnation, max(now.Sub(m.started), 0).Milliseconds())
}

// age returns how long ago the announcement was sent at the earliest.
func (m *Member) age(a Announcement, now time.Time) time.Duration {
	var incarnation uint64
	var issued int64
	if n, _ := fmt.Sscanf(a.Ticket, "%x-%x", &incarnation, &issued); n != 2 || incarnation != m.cfg.Incarnation {
		return 0
	}
	held := a.Held - a.Held/driftPart
	return max(now.Sub(m.started)-time.Duration(issued)*time.Millisecond-held, 0)
}
