package coord

import (
	"context"
	"slices"
	"time"

	"cranberrypath.example/cranberrypath/internal/coord/coordpb"
	"cranberrypath.example/cranberrypath/internal/roster"
)

// maxDepartures bounds the departures in the durable state, about 100 bytes each.
const maxDepartures = 4096

// RecordDeparture makes it durable that a backend server leaves or has ended. Unlike its other
// announcements, which it repeats, the server may not say so again, so it must survive the
// instance that took it and the leader.
func (c *Coord) RecordDeparture(ctx context.Context, s roster.Server) error {
	c.SyncSoon()
	_, err := c.propose(ctx, &coordpb.Command{Departure: &coordpb.Departure{Server: serverToProto(s, c.cfg.Clock())}})
	return err
}

// proposeDeparture commits a departure at the leader, unless it is durable already.
func (c *Coord) proposeDeparture(ctx context.Context, m *member, d *coordpb.Departure, out *coordpb.State) error {
	if d.Server == nil {
		return Error.New("a departure without a server")
	}
	now := c.cfg.Clock()
	// Instances learn of it at once, also if it can't be made durable.
	c.feed.roster.Put(serverFromProto(d.Server, now), now)
	if m.state.hasDeparture(d.Server) {
		return nil
	}
	d.AtMs = now.UnixMilli()
	return c.commit(ctx, m, &coordpb.Command{Departure: d}, out)
}

// learnDepartures applies departures that became durable. A new leader has them from here
// and not from the reports of the instances, which may not have heard of them.
func (c *Coord) learnDepartures(all []*coordpb.Departure) {
	now := c.cfg.Clock()
	for _, d := range all {
		if now.Sub(time.UnixMilli(d.AtMs)) <= roster.GoneRetention {
			c.feed.roster.Put(serverFromProto(d.Server, now), now)
		}
	}
}

// hasDeparture reports whether a server's end is durable as far as s tells it.
func (m *stateMachine) hasDeparture(s *coordpb.Server) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	i := m.departureIndex(s.Id)
	return i >= 0 && departed(m.state.Departures[i]).CoversEndOf(serverFromProto(s, time.Time{}))
}

// departed returns the server of a departure. The time at which it will be gone is relative to
// the receipt and not used.
func departed(d *coordpb.Departure) roster.Server { return serverFromProto(d.Server, time.Time{}) }

// departureIndex returns the index of a server's departure, or -1. mu must be held.
func (m *stateMachine) departureIndex(id string) int {
	return slices.IndexFunc(m.state.Departures, func(d *coordpb.Departure) bool { return d.Server.Id == id })
}

// applyDeparture records a departure and forgets those that no late heartbeat can undo any
// more. mu must be held.
func (m *stateMachine) applyDeparture(d *coordpb.Departure) {
	if i := m.departureIndex(d.Server.Id); i >= 0 {
		if !departed(d).Newer(departed(m.state.Departures[i])) {
			return
		}
		m.state.Departures = slices.Delete(m.state.Departures, i, i+1)
	}
	oldest := d.AtMs - roster.GoneRetention.Milliseconds()
	m.state.Departures = slices.DeleteFunc(m.state.Departures, func(o *coordpb.Departure) bool { return o.AtMs < oldest })
	m.state.Departures = append(m.state.Departures, d)
	if n := len(m.state.Departures); n > maxDepartures {
		m.state.Departures = slices.Delete(m.state.Departures, 0, n-maxDepartures)
	}
}
