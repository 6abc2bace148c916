package member

import (
	"context"
	"fmt"
	"time"

	"cranberrypath.example/cranberrypath/internal/member/membpb"
	"cranberrypath.example/cranberrypath/internal/world"
)

// Announcement is the state that a backend server reports about itself once a second.
type Announcement struct {
	Backend world.Backend
	// Seq increases with each announcement of an incarnation.
	Seq  uint64
	Load world.Load
	// Cache holds the prefix cache events since the last announcement.
	Cache []world.CacheEvents
	// Ticket and TicketHeldFor give the age of the announcement: the ticket from this
	// instance's last reply, and the time from the receipt of that reply until the
	// server sent the announcement. Without a ticket, a delayed announcement is
	// treated as a fresh one.
	Ticket        string
	TicketHeldFor time.Duration
}

// Reply is the reply to an announcement.
type Reply struct {
	// Homes are the entry instances to announce to from now on: the primary one,
	// followed by fallbacks in case it does not respond.
	Homes []Peer
	// Ticket must be included in the next announcement to this instance.
	Ticket string
	// Stale is set if the announcement was ignored because a newer one is known.
	Stale bool
	// Next is the time until the next announcement.
	Next time.Duration
}

// Announce records an announcement. An instance records every announcement that it
// receives, even if it is not the server's primary instance: peers pull it together
// with its age, and the reply redirects the server to its primary instance. If a server
// starts to leave, this is also broadcast to the cell at once.
func (m *Member) Announce(a Announcement, now time.Time) Reply {
	m.mu.Lock()
	r := Reply{Homes: m.announceTargets(a.Backend.ID, a.Backend.DataCentre, now), Ticket: m.newTicket(now), Next: m.cfg.PullInterval}
	r.Homes = r.Homes[:min(len(r.Homes), 3)]
	version := stateVersion{a.Backend.Incarnation, a.Seq}
	have, ok := m.latestStates[a.Backend.ID]
	if ok && !have.less(version) {
		m.mu.Unlock()
		r.Stale = true
		return r
	}
	stateChanged := !ok || have.state != a.Backend.State || have.incarnation != a.Backend.Incarnation
	m.recordState(a.Backend.ID, latestState{version, a.Backend.State, now})
	m.table.put(a, m.announcementAge(a, now), now)
	m.permitCache.stale = true
	for _, ev := range a.Cache {
		m.cacheUpdates.add(CacheUpdate{Backend: a.Backend.ID, Incarnation: a.Backend.Incarnation, Events: ev})
	}
	if stateChanged && (a.Backend.State == world.Leaving || a.Backend.State == world.Gone) && m.ctx.Err() == nil {
		m.wg.Go(func() { m.broadcastState(a.Backend, version) })
	}
	m.mu.Unlock()
	return r
}

// broadcastState tells the cell that a backend server accepts no more work. Peers that
// the broadcast does not reach learn it from their next pull.
func (m *Member) broadcastState(b world.Backend, version stateVersion) {
	ctx, cancel := context.WithTimeout(m.ctx, m.cfg.PullInterval)
	defer cancel()
	_ = m.broadcast(ctx, &membpb.Revoke{
		Cell: m.cfg.Cell, Id: b.ID, Incarnation: version.incarnation, Seq: version.seq, State: uint32(b.State),
	})
}

func (m *Member) newTicket(now time.Time) string {
	return fmt.Sprintf("%x-%x", m.cfg.Incarnation, max(now.Sub(m.started), 0).Milliseconds())
}

// announcementAge returns an upper bound of the time since the announcement was sent.
func (m *Member) announcementAge(a Announcement, now time.Time) time.Duration {
	var incarnation uint64
	var issuedMs int64
	if n, _ := fmt.Sscanf(a.Ticket, "%x-%x", &incarnation, &issuedMs); n != 2 || incarnation != m.cfg.Incarnation {
		return 0
	}
	heldFor := a.TicketHeldFor - a.TicketHeldFor/clockDriftDivisor
	return max(now.Sub(m.started)-time.Duration(issuedMs)*time.Millisecond-heldFor, 0)
}
