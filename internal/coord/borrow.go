package coord

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/coord/coordpb"
	"cranberrypath.example/cranberrypath/internal/link"
	"cranberrypath.example/cranberrypath/internal/quota"
)

const (
	// borrowRetryDelay is how long a relay lends from its parts after a call to the leader
	// failed, before it asks again. A slow leader may still answer reports.
	borrowRetryDelay = 500 * time.Millisecond
	// relayedBorrowTimeout bounds a relay's call to the leader, so that it can still lend
	// before the instance behind it gives up.
	relayedBorrowTimeout = quota.NearbyTimeout / 2
)

// Borrow implements quota.Lender: it asks the leader to admit units of an organisation's
// rate limit, and returns whether they were admitted and the resulting level. The error
// wraps ErrUnavailable.
func (c *Coord) Borrow(ctx context.Context, organisation string, units float64) (bool, float64, error) {
	req := &coordpb.Borrow{Organisation: organisation, Units: units}
	if _, ok := c.Leads(c.cfg.Clock()); ok {
		out, err := c.lend(req)
		return out.GetAdmitted(), out.GetLevel(), err
	}
	leader := c.leaderOrPeer(false, c.cfg.Clock())
	if leader == "" || leader == c.cfg.Self.ID {
		return false, 0, ErrUnavailable
	}
	reply := &coordpb.Lent{}
	if err := c.cfg.Net.Call(ctx, leader, callBorrow, req, reply); err != nil {
		if !errors.Is(ctx.Err(), context.Canceled) { // Canceled means that the caller has disconnected
			c.cfg.Log.WithError(err).WithFields(log.Fields{"event": "quota.alone", "leader": leader, "organisation": organisation}).
				Warn("borrowing from the leader failed; this instance admits by its share of the rate limits until a report is answered")
			c.mu.Lock()
			c.borrowFailedAt = c.cfg.Clock()
			c.mu.Unlock()
		}
		return false, 0, errors.Join(ErrUnavailable, err)
	}
	return reply.Admitted, reply.Level, nil
}

// lend admits units for all instances together. Only the lease holder may do so: the
// ledger of a replaced leader would admit the same units as its successor.
func (c *Coord) lend(req *coordpb.Borrow) (*coordpb.Lent, error) {
	now := c.cfg.Clock()
	if _, ok := c.Leads(now); !ok {
		return nil, &link.RemoteError{Code: codeNotLeader}
	}
	c.mu.Lock()
	agg := c.aggregator
	c.mu.Unlock()
	if agg == nil {
		return nil, &link.RemoteError{Code: codeNotLeader}
	}
	c.configureLedger(agg, now)
	admitted, level, err := agg.ledger.Borrow(req.Organisation, req.Units, now)
	if err != nil {
		return nil, errors.Join(ErrUnavailable, err)
	}
	return &coordpb.Lent{Admitted: admitted, Level: level}, nil
}

func (c *Coord) handleBorrow(_ context.Context, _ link.Peer, body []byte) (proto.Message, error) {
	var req coordpb.Borrow
	if err := proto.Unmarshal(body, &req); err != nil {
		return nil, Error.Wrap(err)
	}
	return c.lend(&req)
}

// BorrowNearby implements quota.Lender: it asks the relay of this instance to admit units
// from the part of the rates that the relay holds. The error wraps ErrUnavailable.
func (c *Coord) BorrowNearby(ctx context.Context, organisation string, units float64) (bool, error) {
	now := c.cfg.Clock()
	req := &coordpb.Borrow{Organisation: organisation, Units: units}
	c.mu.Lock()
	relay, enabled := c.choice.current, c.choice.enabled
	if relay != "" {
		req.PartElsewhereMs = c.choice.usePart(relay, now, now.Add(quota.NearbyTimeout+quota.NearbyHoldTime))
	}
	c.mu.Unlock()
	if enabled && c.cfg.Self.Durable && c.cfg.LendNearby != nil {
		return c.cfg.LendNearby(organisation, units, c.relay.parts(now), now), nil
	}
	if relay == "" {
		return false, ErrUnavailable
	}
	reply := &coordpb.Lent{}
	if err := c.cfg.Net.Call(ctx, relay, callBorrowNearby, req, reply); err != nil {
		return false, errors.Join(ErrUnavailable, err)
	}
	return reply.Admitted, nil
}

// handleBorrowNearby admits units for an instance behind this relay. The leader decides if
// this instance reaches it.
func (c *Coord) handleBorrowNearby(ctx context.Context, from link.Peer, body []byte) (proto.Message, error) {
	var req coordpb.Borrow
	if err := proto.Unmarshal(body, &req); err != nil {
		return nil, Error.Wrap(err)
	}
	c.mu.Lock()
	enabled, failedAt := c.choice.enabled, c.borrowFailedAt
	c.mu.Unlock()
	if c.cfg.LendNearby == nil || !enabled {
		return nil, &link.RemoteError{Code: codeNoLeader} // this instance holds no part
	}
	now := c.cfg.Clock()
	if now.Sub(c.LastContact()) < reportTimeout && now.Sub(failedAt) >= borrowRetryDelay {
		borrowCtx, cancel := context.WithTimeout(ctx, relayedBorrowTimeout)
		defer cancel()
		admitted, level, err := c.Borrow(borrowCtx, req.Organisation, req.Units)
		if err == nil {
			return &coordpb.Lent{Admitted: admitted, Level: level}, nil
		}
	}
	now = c.cfg.Clock()
	c.relay.extendPresent(from.Node, time.Duration(req.PartElsewhereMs)*time.Millisecond, now, now.Add(quota.NearbyHoldTime))
	return &coordpb.Lent{Admitted: c.cfg.LendNearby(req.Organisation, req.Units, c.relay.parts(now), now)}, nil
}
