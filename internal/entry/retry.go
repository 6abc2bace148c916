package entry

import (
	"context"
	"time"

	"cranberrypath.example/cranberrypath/internal/world"
)

// retryWait is how long the first further attempt of a request waits for the
// retry budget. It doubles with each loss of the request. The attempt is made
// when it ends, because the request is accepted; waiting spreads the load and
// lets the router learn which servers fail.
func retryWait(c world.Class, losses int) time.Duration {
	first := 500 * time.Millisecond
	if c == world.Review {
		first = 2 * time.Second
	}
	return first << max(losses-1, 0)
}

// retryPauseOf is the first pause between two looks at the budget. Urgent
// classes look more often, so that they get most of it.
func retryPauseOf(c world.Class) time.Duration {
	if c == world.Review {
		return 4 * retryPause
	}
	return retryPause
}

// spend waits until the retry budget covers the next attempt after a loss, or
// the request has waited for long enough. Losses to announced reclaims are free.
func (r *runner) spend(ctx context.Context) {
	if r.losses <= r.spent {
		return
	}
	r.spent = r.losses
	began := r.e.cfg.Now()
	left := min(retryWait(r.req.Class, r.losses), r.deadline.Sub(began)/2)
	for wait := retryPauseOf(r.req.Class); ; wait *= 2 {
		now := r.e.cfg.Now()
		if r.e.mayRetry(r.req.Service, now) || now.Sub(began) >= left {
			return
		}
		if !pause(ctx, min(wait, left-now.Sub(began))) {
			return
		}
	}
}

// mayRetry spends from the retry budget of a service.
func (e *Entry) mayRetry(service string, now time.Time) bool {
	view, err := e.cfg.Configuration.Current(now)
	return err == nil && e.limitsOf(service, view, now).Retry(now)
}
