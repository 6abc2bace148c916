package entry

import (
	"context"
	"time"

	"cranberrypath.example/cranberrypath/internal/world"
)

// maxBudgetWait limits how long an attempt after a loss waits for the retry
// budget. It doubles with each loss of the request. The attempt is made when
// the wait ends even without budget, because the request is accepted; the wait
// spreads the load and lets the router learn which servers fail.
func maxBudgetWait(c world.Class, losses int) time.Duration {
	firstWait := 500 * time.Millisecond
	if c == world.Review {
		firstWait = 2 * time.Second
	}
	return firstWait << max(losses-1, 0)
}

// budgetPollInterval returns the initial pause between two checks of the retry
// budget. Urgent classes poll more often, so that they get most of the budget.
func budgetPollInterval(c world.Class) time.Duration {
	if c == world.Review {
		return 4 * minRetryPause
	}
	return minRetryPause
}

// awaitRetryBudget waits after a loss until the retry budget covers the next
// attempt or the maximum wait has passed. Losses to announced reclaims cost no
// budget.
func (r *runner) awaitRetryBudget(ctx context.Context) {
	if r.losses <= r.budgetedLosses {
		return
	}
	r.budgetedLosses = r.losses
	start := r.e.cfg.Now()
	maxWait := min(maxBudgetWait(r.req.Class, r.losses), r.deadline.Sub(start)/2)
	for wait := budgetPollInterval(r.req.Class); ; wait *= 2 {
		now := r.e.cfg.Now()
		if r.e.takeRetry(r.req.Service, now) || now.Sub(start) >= maxWait {
			return
		}
		if !sleep(ctx, min(wait, maxWait-now.Sub(start))) {
			return
		}
	}
}

// takeRetry takes one retry from the retry budget of a service and reports
// whether the budget covered it.
func (e *Entry) takeRetry(service string, now time.Time) bool {
	view, err := e.cfg.Configuration.Current(now)
	return err == nil && e.limitsFor(service, view, now).Retry(now)
}
