package judge

import (
	"fmt"
	"time"
)

// stepCounts are the results of the new version since the last change of share.
type stepCounts struct {
	requests, failed, crashes, withFirstToken, tooSlow int
	dropped                                            int // requests removed by halve
}

// halve halves the counts, so that a short outage does not delay Good until the
// deadline. Counts with few requests or with crashes are kept.
func (c *stepCounts) halve() {
	if c.requests < 4*minGoodRequests || c.crashes > 0 {
		return
	}
	c.dropped += c.requests - c.requests/2
	c.requests, c.failed, c.withFirstToken, c.tooSlow = c.requests/2, c.failed/2, c.withFirstToken/2, c.tooSlow/2
}

func (c *stepCounts) add(s *stratum, newer *counts) {
	c.requests += int(newer.Requests) + newer.crashes
	c.failed += int(newer.Errors) + newer.crashes
	c.crashes += newer.crashes
	for _, m := range metrics {
		if m.kind != metricFirstToken || m.quantile != 0.9 {
			continue
		}
		k, n := newer.marked(m, s, m.slackBuckets)
		c.tooSlow += k
		c.withFirstToken += n
	}
}

// goodVerdict returns Good, or the verdict of the route that lacks the most evidence.
func (j *Judge) goodVerdict(now time.Time) Verdict {
	all := uint64(0)
	for _, r := range j.routes {
		all += r.total
	}
	worst := Verdict{State: Unsure, Reason: "no requests yet", Missing: minGoodRequests}
	first, fair := true, fairEvidence{seconds: max(now.Sub(j.stepStart).Seconds(), 1)}
	for _, name := range j.routeOrder {
		r := j.routes[name]
		fair.add(r)
		if float64(r.total) < rareRouteShare*float64(all) || all == 0 {
			continue
		}
		v := j.goodRouteVerdict(name, r, now)
		fair.addRoute(r)
		if first || v.Missing > worst.Missing {
			worst, first = v, false
		}
	}
	worst.Fair, worst.FairMissing, worst.FairRequestsPerSecond = fair.result()
	return worst
}

// fairEvidence is the evidence for Verdict.Fair.
type fairEvidence struct {
	seconds   float64
	all       stepCounts
	oldStep   stepCounts
	oldCounts counts
	missing   int // requests on all routes until each route has enough
}

func (f *fairEvidence) add(r *route) {
	f.all.requests += r.step.requests
	f.all.failed += r.step.failed
	f.all.crashes += r.step.crashes
	f.all.withFirstToken += r.step.withFirstToken
	f.all.tooSlow += r.step.tooSlow
	f.all.dropped += r.step.dropped
	f.oldStep.requests += r.oldStep.requests
	f.oldStep.failed += r.oldStep.failed
	old := r.oldCounts()
	f.oldCounts.Requests += old.Requests
	f.oldCounts.Errors += old.Errors
	f.oldCounts.crashes += old.crashes
}

func (f *fairEvidence) addRoute(r *route) {
	need := minFairRequests - r.step.requests
	if need <= 0 && upperRate(r.step.failed, r.step.requests, goodErrorProbability) > r.oldFailureShare()+fairExtraFailures {
		need = minFairRequests
	}
	if need > 0 {
		share := float64(r.step.requests+1) / float64(f.all.requests+1)
		f.missing = max(f.missing, int(float64(need)/share))
	}
}

func (f *fairEvidence) result() (ok bool, missing int, rate float64) {
	missing = max(f.missing, minGoodRequests+requestsPerCrash*f.all.crashes-f.all.requests)
	oldShare := f.oldCounts.failureShare()
	if f.oldStep.requests >= minGoodRequests {
		oldShare = max(oldShare, float64(f.oldStep.failed)/float64(f.oldStep.requests))
	}
	tooManyFailures := upperRate(f.all.failed, f.all.requests, goodErrorProbability) > oldShare+goodExtraFailures
	tooSlow := f.all.withFirstToken > 0 && upperRate(f.all.tooSlow, f.all.withFirstToken, goodErrorProbability) > goodSlowShare
	if missing <= 0 && (tooManyFailures || tooSlow) {
		missing = minGoodRequests / 2 // an estimate
	}
	return missing <= 0, max(missing, 0), float64(f.all.requests+f.all.dropped) / f.seconds
}

// oldCounts returns the old version's counts over all load levels.
func (r *route) oldCounts() *counts {
	var c counts
	for i := range r.levels {
		ref := &r.levels[i].reference
		c.Requests += ref.Requests
		c.Errors += ref.Errors
		c.crashes += ref.crashes
	}
	return &c
}

// failureShare returns the share of requests that failed or crashed.
func (c *counts) failureShare() float64 {
	n := int(c.Requests) + c.crashes
	if n == 0 {
		return 0
	}
	return float64(int(c.Errors)+c.crashes) / float64(n)
}

func (j *Judge) goodRouteVerdict(name string, r *route, now time.Time) Verdict {
	v := Verdict{State: Good, Route: name, RequestsPerSecond: float64(r.step.requests+r.step.dropped) / max(now.Sub(j.stepStart).Seconds(), 1)}
	need := minGoodRequests + requestsPerCrash*r.step.crashes
	switch {
	case r.step.requests < need:
		v.State, v.Missing = Unsure, need-r.step.requests
		v.Reason = fmt.Sprintf("route %s needs %d more requests", name, v.Missing)
	case upperRate(r.step.failed, r.step.requests, goodErrorProbability) > r.oldFailureShare()+goodExtraFailures:
		v.State, v.Missing = Unsure, minGoodRequests/2 // an estimate
		v.Reason = fmt.Sprintf("%d of %d requests failed on route %s", r.step.failed, r.step.requests, name)
	case r.step.withFirstToken > 0 && upperRate(r.step.tooSlow, r.step.withFirstToken, goodErrorProbability) > goodSlowShare:
		v.State, v.Missing = Unsure, minGoodRequests/2 // an estimate
		v.Reason = fmt.Sprintf("%d of %d first tokens are slow on route %s", r.step.tooSlow, r.step.withFirstToken, name)
	}
	return v
}
