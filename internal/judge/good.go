package judge

import (
	"fmt"
	"time"
)

// stepCounts are the results of the new version since the last change of share.
type stepCounts struct {
	n, failed, crashes, timed, slow int
	forgot                          int // requests that halving removed
}

// halve forgets older results, so that a short outage does not withhold Good
// until the deadline. Few results and results with crashes are kept.
func (c *stepCounts) halve() {
	if c.n < 4*goodRequests || c.crashes > 0 {
		return
	}
	c.forgot += c.n - c.n/2
	c.n, c.failed, c.timed, c.slow = c.n/2, c.failed/2, c.timed/2, c.slow/2
}

func (c *stepCounts) add(s *stratum, newer *counts) {
	c.n += int(newer.Requests) + newer.crashes
	c.failed += int(newer.Errors) + newer.crashes
	c.crashes += newer.crashes
	for _, m := range metrics {
		if m.kind != first || m.q != 0.9 {
			continue
		}
		k, n := newer.marks(m, s, m.slack)
		c.slow += k
		c.timed += n
	}
}

// good looks for a route that still lacks evidence.
func (j *Judge) good(now time.Time) Verdict {
	all := uint64(0)
	for _, r := range j.routes {
		all += r.total
	}
	worst := Verdict{State: Unsure, Reason: "no requests yet", Missing: goodRequests}
	first, fair := true, fairness{seconds: max(now.Sub(j.stepFrom).Seconds(), 1)}
	for _, name := range j.order {
		r := j.routes[name]
		fair.add(r)
		if float64(r.total) < rareRoute*float64(all) || all == 0 {
			continue
		}
		v := j.goodRoute(name, r, now)
		fair.route(r)
		if first || v.Missing > worst.Missing {
			worst, first = v, false
		}
	}
	worst.Fair, worst.FairMissing, worst.FairRate = fair.result()
	return worst
}

// fairness gathers the evidence for Fair.
type fairness struct {
	seconds float64
	all     stepCounts
	older   stepCounts
	old     counts
	missing int // for the routes, in requests on all routes
}

func (f *fairness) add(r *route) {
	f.all.n += r.step.n
	f.all.failed += r.step.failed
	f.all.crashes += r.step.crashes
	f.all.timed += r.step.timed
	f.all.slow += r.step.slow
	f.all.forgot += r.step.forgot
	f.older.n += r.older.n
	f.older.failed += r.older.failed
	old := r.old()
	f.old.Requests += old.Requests
	f.old.Errors += old.Errors
	f.old.crashes += old.crashes
}

func (f *fairness) route(r *route) {
	need := fairRequests - r.step.n
	if need <= 0 && upperRate(r.step.failed, r.step.n, goodError) > r.oldFailing()+fairFailures {
		need = fairRequests
	}
	if need > 0 {
		share := float64(r.step.n+1) / float64(f.all.n+1)
		f.missing = max(f.missing, int(float64(need)/share))
	}
}

func (f *fairness) result() (ok bool, missing int, rate float64) {
	missing = max(f.missing, goodRequests+perCrash*f.all.crashes-f.all.n)
	usual := f.old.failing()
	if f.older.n >= goodRequests {
		usual = max(usual, float64(f.older.failed)/float64(f.older.n))
	}
	failing := upperRate(f.all.failed, f.all.n, goodError) > usual+goodFailures
	slow := f.all.timed > 0 && upperRate(f.all.slow, f.all.timed, goodError) > goodSlow
	if missing <= 0 && (failing || slow) {
		missing = goodRequests / 2 // a guess
	}
	return missing <= 0, max(missing, 0), float64(f.all.n+f.all.forgot) / f.seconds
}

// old returns the old version's counts over all load levels.
func (r *route) old() *counts {
	var c counts
	for i := range r.levels {
		ref := &r.levels[i].reference
		c.Requests += ref.Requests
		c.Errors += ref.Errors
		c.crashes += ref.crashes
	}
	return &c
}

// failing returns the share of requests that failed or crashed.
func (c *counts) failing() float64 {
	n := int(c.Requests) + c.crashes
	if n == 0 {
		return 0
	}
	return float64(int(c.Errors)+c.crashes) / float64(n)
}

func (j *Judge) goodRoute(name string, r *route, now time.Time) Verdict {
	v := Verdict{State: Good, Route: name, Rate: float64(r.step.n+r.step.forgot) / max(now.Sub(j.stepFrom).Seconds(), 1)}
	need := goodRequests + perCrash*r.step.crashes
	switch {
	case r.step.n < need:
		v.State, v.Missing = Unsure, need-r.step.n
		v.Reason = fmt.Sprintf("route %s needs %d more requests", name, v.Missing)
	case upperRate(r.step.failed, r.step.n, goodError) > r.oldFailing()+goodFailures:
		v.State, v.Missing = Unsure, goodRequests/2 // a guess
		v.Reason = fmt.Sprintf("%d of %d requests failed on route %s", r.step.failed, r.step.n, name)
	case r.step.timed > 0 && upperRate(r.step.slow, r.step.timed, goodError) > goodSlow:
		v.State, v.Missing = Unsure, goodRequests/2 // a guess
		v.Reason = fmt.Sprintf("%d of %d first tokens are slow on route %s", r.step.slow, r.step.timed, name)
	}
	return v
}
