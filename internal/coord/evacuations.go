package coord

import (
	"context"
	"errors"
	"slices"
	"strings"

	"github.com/apex/log"

	"cranberrypath.example/cranberrypath/internal/coord/coordpb"
)

// Evacuation is the last accepted order for the backend servers of a data centre.
type Evacuation struct {
	DataCentre string
	Active     bool   // they get no new requests
	Serial     uint64 // number of accepted orders for the data centre
	// OppositeSerial is the serial number of the last accepted order for the opposite of
	// Active; 0 if there was none.
	OppositeSerial uint64
}

// acceptedAfter reports whether an order was accepted after the one with a serial number. A
// copy of such an order that is held up on its way is acknowledged without another effect,
// also if an order for the opposite was accepted since.
func (e Evacuation) acceptedAfter(active bool, serial uint64) bool {
	if e.Active == active {
		return e.Serial > serial
	}
	return e.OppositeSerial > serial
}

// Evacuations are the evacuated data centres as known at one time. Values are immutable; the
// zero value knows nothing.
type Evacuations struct {
	// Version is 1 plus the sum of the serial numbers of all data centres; 0 if no leader has
	// said any.
	Version uint64
	// DataCentres are the evacuated ones, sorted.
	DataCentres []string

	term uint64 // of the leader that last confirmed them
}

// WithReply returns what is known after the reply of a leader of a term. A reply with fewer
// orders comes from a relay or leader that is behind, unless a leader of a later term is sure
// that its state is the newest.
func (e Evacuations) WithReply(next Evacuations, term uint64, confirmed bool) Evacuations {
	if next.Version == 0 || next.Version < e.Version && !(confirmed && term > e.term) {
		return e
	}
	next.term = e.term
	if confirmed {
		next.term = max(e.term, term)
	}
	return next
}

// Contains reports whether a data centre is evacuated.
func (e Evacuations) Contains(dataCentre string) bool {
	return slices.Contains(e.DataCentres, dataCentre)
}

// evacuationsOf returns what the last orders of all data centres amount to.
func evacuationsOf(all []*coordpb.Evacuation) Evacuations {
	out := Evacuations{Version: 1}
	for _, o := range all {
		out.Version += o.Serial
		if o.Active {
			out.DataCentres = append(out.DataCentres, o.DataCentre)
		}
	}
	slices.Sort(out.DataCentres)
	return out
}

// adoptEvacuations replaces the orders by those that the leader knew when it proposed the log
// entry with an index. A member or leader that skipped orders as an earlier program version
// would otherwise accept other orders than the rest. A member that has applied an order which
// the leader did not know yet adopted the leader's list then, and keeps it. mu must be held.
func (m *stateMachine) adoptEvacuations(index uint64, before *coordpb.Evacuations) {
	if before != nil && m.state.EvacuationIndex <= before.Index {
		m.state.Evacuations = slices.Clone(before.All)
	}
	m.state.EvacuationIndex = index
}

// evacuationsBefore returns the orders that this instance's member, which leads, knows.
func (m *member) evacuationsBefore(ctx context.Context) (*coordpb.Evacuations, error) {
	index, err := m.group.Barrier(ctx)
	if err != nil {
		return nil, err
	}
	return &coordpb.Evacuations{All: m.state.copy().Evacuations, Index: index}, nil
}

// applyEvacuation records an order for a data centre and returns the one that is in force
// then. An order that was given before the last one has no effect. One that repeats the last
// one counts: it ends the effect of orders that were given before it and are still on their
// way. mu must be held.
func (m *stateMachine) applyEvacuation(e *coordpb.Evacuation, after *uint64) *coordpb.Evacuation {
	i := slices.IndexFunc(m.state.Evacuations, func(o *coordpb.Evacuation) bool { return o.DataCentre == e.DataCentre })
	last := &coordpb.Evacuation{DataCentre: e.DataCentre}
	if i >= 0 {
		last = m.state.Evacuations[i]
	}
	if after == nil || *after != last.Serial {
		return last
	}
	// The serial numbers of rollouts are not used: members of earlier program versions skip
	// the command, and would number the next rollout differently.
	next := &coordpb.Evacuation{DataCentre: e.DataCentre, Active: e.Active, Serial: last.Serial + 1, OppositeSerial: last.OppositeSerial}
	if last.Active != e.Active {
		next.OppositeSerial = last.Serial
	}
	if i < 0 {
		m.state.Evacuations = append(m.state.Evacuations, next)
	} else {
		m.state.Evacuations[i] = next
	}
	return next
}

func (m *stateMachine) evacuations() Evacuations {
	m.mu.Lock()
	defer m.mu.Unlock()
	return evacuationsOf(m.state.Evacuations)
}

// OrderEvacuation commits an order to evacuate a data centre, or with active false to revoke
// that. It returns nil once the order, or an equal one given at the same time, is durable.
// The error is an *UnconfirmedError if the order may be a late copy; see OrderRollout.
func (c *Coord) OrderEvacuation(ctx context.Context, dataCentre string, active bool, o Origin) error {
	received := c.leaseTime(c.cfg.Clock())
	for {
		after, err := c.orderAfter(ctx, o, received, func() (uint64, error) {
			last, err := c.lastEvacuation(ctx, dataCentre)
			return last.Serial, err
		})
		if err != nil {
			return err
		}
		state, err := c.propose(ctx, &coordpb.Command{
			Evacuation: &coordpb.Evacuation{DataCentre: dataCentre, Active: active}, AfterSerial: &after,
		})
		if err != nil {
			return err
		}
		held := evacuationsFromProto(state.GetEvacuations())
		if len(held) != 1 || held[0].Serial <= after {
			return errors.Join(ErrUnavailable, Error.New("the leader does not know evacuations"))
		}
		if held[0].acceptedAfter(active, after) {
			c.SyncSoon()
			return nil
		}
		c.cfg.Log.WithFields(log.Fields{
			"event": "evacuation.overtaken", "dataCentre": dataCentre, "active": active, "after": after,
		}).Info("another order was accepted first")
		if o.Confirmed {
			return errors.Join(ErrUnavailable, Error.New("another order for data centre %s was accepted after the one numbered %d", dataCentre, after))
		}
	}
}

// lastEvacuation returns the last accepted order for a data centre.
func (c *Coord) lastEvacuation(ctx context.Context, dataCentre string) (Evacuation, error) {
	d, err := c.Read(ctx)
	if err != nil {
		return Evacuation{}, err
	}
	for _, e := range d.Evacuations {
		if e.DataCentre == dataCentre {
			return e, nil
		}
	}
	return Evacuation{DataCentre: dataCentre}, nil
}

func evacuationsFromProto(all []*coordpb.Evacuation) []Evacuation {
	var out []Evacuation
	for _, e := range all {
		out = append(out, Evacuation{DataCentre: e.DataCentre, Active: e.Active, Serial: e.Serial, OppositeSerial: e.OppositeSerial})
	}
	slices.SortFunc(out, func(a, b Evacuation) int { return strings.Compare(a.DataCentre, b.DataCentre) })
	return out
}
