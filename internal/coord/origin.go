package coord

import (
	"context"
	"errors"
	"fmt"
	"time"
)

const (
	// orderTimeout bounds the time from receiving an order to its last proposal. Operators wait
	// about a second for a response and then repeat the order elsewhere.
	orderTimeout = time.Second
	// ConfirmAfter is how long ago a request may have been sent whose sender is not asked to
	// confirm it: less than orderTimeout by the times that Origin.SentAfter leaves out.
	ConfirmAfter = 600 * time.Millisecond
)

// Origin is what is known of the request with which an operator gave an order.
type Origin struct {
	// SentAfter is a time after which the request was sent, by a clock that counts the time for
	// which the machine was suspended; zero if none is known.
	SentAfter time.Time
	// Abandoned reports whether the operator has given up the request.
	Abandoned func() bool
	// Confirmed means that the operator has confirmed the order after it was told After, the
	// number of the last order then.
	Confirmed bool
	After     uint64
}

// UnconfirmedError means that an order had no effect because its request may have been sent long
// ago. Its operator may have given up waiting and given other orders since, which a copy that
// arrives late must not replace. An operator who still waits can confirm the order: it then
// takes effect if the last order is still the one numbered After.
type UnconfirmedError struct{ After uint64 }

func (e *UnconfirmedError) Error() string {
	return fmt.Sprintf("the order may have been sent long ago; its operator has to confirm it after the order numbered %d", e.After)
}

// orderAfter returns the number of the last order that an order is given after. last reads it;
// received is when the instance received the order, by the time of leases.
func (c *Coord) orderAfter(ctx context.Context, o Origin, received time.Time, last func() (uint64, error)) (uint64, error) {
	after, err := o.After, error(nil)
	if !o.Confirmed {
		if after, err = last(); err != nil {
			return 0, err
		}
	}
	// What the operator did after it gave up the request is included in last, so the request
	// must be checked afterwards.
	now := c.leaseTime(c.cfg.Clock())
	switch {
	case ctx.Err() != nil || o.Abandoned() || now.Sub(received) > orderTimeout:
		return 0, errors.Join(ErrUnavailable, ctx.Err())
	case !o.Confirmed && now.Sub(o.SentAfter) > ConfirmAfter:
		return 0, &UnconfirmedError{after}
	}
	return after, nil
}
