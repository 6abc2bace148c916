package coord

import (
	"context"
	"errors"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/coord/coordpb"
	"cranberrypath.example/cranberrypath/internal/link"
)

// Borrow implements quota.Lender: it spends units of an organisation's rate at the
// leader. Its error wraps ErrUnavailable.
func (c *Coord) Borrow(ctx context.Context, organisation string, units float64) (bool, float64, error) {
	ask := &coordpb.Borrow{Organisation: organisation, Units: units}
	if _, ok := c.Leads(c.cfg.Clock()); ok {
		out, err := c.lend(ask)
		return out.GetAdmitted(), out.GetLevel(), err
	}
	to := c.target(false)
	if to == "" || to == c.cfg.Self.ID {
		return false, 0, ErrUnavailable
	}
	out := &coordpb.Lent{}
	if err := c.cfg.Net.Call(ctx, to, callBorrow, ask, out); err != nil {
		if !errors.Is(ctx.Err(), context.Canceled) { // the caller of the request has left then
			c.cfg.Log.WithError(err).WithFields(log.Fields{"event": "quota.alone", "leader": to, "organisation": organisation}).
				Warn("the leader lends nothing; this instance keeps to its part of the rates until a report is answered")
		}
		return false, 0, errors.Join(ErrUnavailable, err)
	}
	return out.Admitted, out.Level, nil
}

// lend answers for all instances. Only the holder of the lease may: the ledger of a
// leader that was replaced admits what the next one admits too.
func (c *Coord) lend(ask *coordpb.Borrow) (*coordpb.Lent, error) {
	now := c.cfg.Clock()
	if _, ok := c.Leads(now); !ok {
		return nil, &link.RemoteError{Code: codeNotLeader}
	}
	c.mu.Lock()
	h := c.hub
	c.mu.Unlock()
	if h == nil {
		return nil, &link.RemoteError{Code: codeNotLeader}
	}
	ok, level, err := h.ledger.Borrow(ask.Organisation, ask.Units, now)
	if err != nil {
		return nil, errors.Join(ErrUnavailable, err)
	}
	return &coordpb.Lent{Admitted: ok, Level: level}, nil
}

func (c *Coord) handleBorrow(_ context.Context, _ link.Peer, body []byte) (proto.Message, error) {
	var ask coordpb.Borrow
	if err := proto.Unmarshal(body, &ask); err != nil {
		return nil, Error.Wrap(err)
	}
	return c.lend(&ask)
}
