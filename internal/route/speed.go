package route

import (
	"math"
	"time"

	"cranberrypath.example/cranberrypath/internal/mixed"
	"cranberrypath.example/cranberrypath/internal/speed"
	"cranberrypath.example/cranberrypath/internal/world"
)

// This file holds the estimates for services whose servers state their pace. The servers of
// other services have no work state, and their scores do not depend on this file.

const (
	// reportLag is subtracted from the time of a load report when it is compared with what a
	// server said itself: a report sums the reports of all instances, which are up to an interval
	// older.
	reportLag = 200 * time.Millisecond
	// minMeasuredPrefill is the shortest expected prefill, in seconds, whose measured time tells
	// something about the server's speed. Network and scheduling add milliseconds.
	minMeasuredPrefill = 0.03
	// maxMeasuredWait is the longest expected wait before a prefill whose time is measured.
	maxMeasuredWait = 0.02
	// The weights below were chosen with the queueing model in mixedsim_test.go, in which they
	// serve more requests of both kinds than those of services whose servers state no pace.

	// pacedBatchSeconds is the counterpart of fullBatchSeconds. The wait and the request's time
	// are estimated apart, so it has less to account for.
	pacedBatchSeconds = 0.1
	// pacedPrefillWeight is the counterpart of prefillWeight; the delay of other prompts is
	// part of the cost of lateness.
	pacedPrefillWeight = 1.0
	// pacedAffinityShare is the counterpart of affinityShare, relative to the prefill of the
	// shared part of a prompt. The more instances there are, the more of them send a new prefix
	// before they have heard of its holder.
	pacedAffinityShare = 3.0
	// affinityHeld replaces pacedAffinityShare at servers that have the shared part cached.
	affinityHeld = 1.8
	// pacedNoise multiplies the noise on scores. The scores differ by less than those
	// of services without it, so that more instances would choose the same server.
	pacedNoise = 1.5
	// reportLifeDurations is the life of a load report in mean durations of a request. With
	// reportDecaySeconds alone, instances sent calls of 80 ms to the servers that had been idle
	// in the last report: 0.82 met their target in the model instead of 0.98.
	reportLifeDurations = 2.0
	// maxPrefillRatio bounds the measured prefill time, relative to the expected one.
	maxPrefillRatio = 4.0
)

// Observation is what a server says about itself in a response.
type Observation struct {
	Running, Waiting, Slots int
	Pace                    float64 // how long work takes relative to usual; 0 if the server does not say
}

// Reason holds the inputs that decided a choice, for the log. It is zero for services whose
// servers state no pace.
type Reason struct {
	Pace       float64       // how long the server's work takes, relative to usual
	PaceAge    time.Duration // of the last figure; 0 also if there is none
	Wait       time.Duration // expected before the request's own work starts
	Work       time.Duration // expected for its prefill or fetch
	Pending    time.Duration // prefill of other instances' prompts, part of Wait
	PendingAge time.Duration
	Late       time.Duration // cost of lateness, met and imposed
	Compared   int           // servers
	Margin     time.Duration // by which the next best server scored worse
}

// pacedService is the state of a service whose servers state their pace.
type pacedService struct {
	mix   mixed.Mix
	ratio float64 // mean of measured prefill times, relative to the expected ones
}

// work is the state of a server of such a service.
type work struct {
	speed         speed.Estimate
	othersLoad    float64 // requests of other instances
	othersAt      time.Time
	othersPending mixed.Pending
	own           []prefill // prompts of this instance without a first byte
	ownTokens     int       // sum of own
}

type prefill struct {
	request uint64
	tokens  int
}

// Observe records what a server of the given incarnation said in a response that arrived now.
// Only servers that state their pace are observed.
func (t *Table) Observe(id string, incarnation uint64, o Observation, now time.Time) {
	if o.Pace <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[id]
	if s == nil || s.backend.Incarnation != incarnation {
		return
	}
	t.enablePace(s.backend.Service)
	s.work.speed = s.work.speed.WithStated(o.Pace, now)
	s.work.othersLoad, s.work.othersAt = float64(max(o.Running+o.Waiting-s.outstanding, 0)), now
}

// ObservePace records the pace that a server stated to another instance at the given time.
func (t *Table) ObservePace(id string, pace float64, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[id]
	if s == nil || pace <= 0 {
		return
	}
	t.enablePace(s.backend.Service)
	s.work.speed = s.work.speed.WithStated(pace, at)
}

// StatesPace reports whether the servers of a service state their pace.
func (t *Table) StatesPace(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.paced[service] != nil
}

// enablePace starts to use the pace of a service's servers. mu must be held.
func (t *Table) enablePace(service string) {
	if t.paced[service] != nil {
		return
	}
	t.paced[service] = &pacedService{ratio: 1}
	for key, g := range t.groups {
		if key.service == service {
			g.paced = t.paced[service]
		}
	}
	for _, s := range t.servers {
		t.addWork(s)
	}
}

// addWork adds the work state to a server if its service states paces. mu must be held.
func (t *Table) addWork(s *server) {
	if t.paced[s.backend.Service] == nil {
		s.work = nil
		return
	}
	if s.work != nil {
		return
	}
	s.work = &work{}
	if s.reported {
		s.reportWork()
	}
}

// reportWork takes over the last load report.
func (s *server) reportWork() {
	if at := s.load.MeasuredAt.Add(-reportLag); at.After(s.work.othersAt) {
		s.work.othersLoad, s.work.othersAt = s.reportedOtherLoad(), at
	}
	s.work.othersPending = s.work.othersPending.WithReport(s.load.WaitingTokens, s.load.MeasuredAt)
}

// factor returns how long the server's work takes now, relative to usual.
func (s *server) factor(now time.Time) float64 {
	if s.work == nil {
		return 1
	}
	return s.work.speed.Value(now)
}

// perTokenAt returns the prefill time of a token at the server's present speed.
func (s *server) perTokenAt(now time.Time) time.Duration {
	if s.work == nil {
		return s.perToken()
	}
	return time.Duration(float64(s.perToken()) * s.factor(now))
}

// noiseFactor multiplies the noise on the server's score.
func (s *server) noiseFactor() float64 {
	if s.work == nil {
		return 1
	}
	return pacedNoise
}

// affinitySeconds returns the largest affinity bonus of a prompt.
func (g *group) affinitySeconds(q *Query, perToken float64) float64 {
	if g.mixes(q) {
		return pacedAffinityShare * float64(q.SharedTokens) * perToken
	}
	return affinityShare * float64(q.PromptTokens) * perToken
}

// heldAffinity returns the part of the affinity bonus that a server loses when it has the shared
// part of the prompt in its cache. Then the bonus only keeps prompts together; with all of it, the
// server of a prefix that many prompts share became a bottleneck.
func (s *server) heldAffinity(q *Query, hit int) float64 {
	if s.group == nil || q.SharedTokens == 0 || !s.group.mixes(q) {
		return 0
	}
	held := min(float64(hit)/float64(q.SharedTokens), 1)
	return s.affinityBonus(s.group, q) * held * (1 - affinityHeld/pacedAffinityShare)
}

// mixes reports whether requests are routed by the lateness that they meet and impose.
func (g *group) mixes(q *Query) bool { return g.paced != nil && q.Target > 0 }

// pacedDelay is the counterpart of delay for a server that states its pace: the expected
// time before the request's own work starts, and the penalty for a full batch.
func (s *server) pacedDelay(svc *pacedService, now time.Time, networkDelay float64) (wait, batch float64) {
	slots := float64(max(s.backend.Slots, 1))
	factor := s.factor(now)
	requests := float64(s.outstanding) + s.otherLoadAt(svc.reportLife(), now)
	batch = pacedBatchSeconds * min(requests/slots, 1) * factor
	wait = networkDelay
	if requests >= slots {
		wait += (requests - slots + 1) * svc.durationOr(defaultRequestSeconds) * factor / slots
	}
	perToken := s.perToken().Seconds() * factor
	wait += s.ownPending(perToken, now) + s.work.othersPending.Seconds(perToken, now)
	return max(wait+s.biasAfterDecay(now), networkDelay), batch
}

// otherLoadAt estimates the requests of other instances from the server's last response or
// report, whichever is newer. It moves to the group mean with age, at the given time constant.
func (s *server) otherLoadAt(reportLife float64, now time.Time) float64 {
	mean := 0.0
	if s.group != nil {
		mean = s.group.otherLoad
	}
	if s.work.othersAt.IsZero() {
		return mean
	}
	weight := math.Exp(-max(now.Sub(s.work.othersAt).Seconds(), 0) / reportLife)
	return smooth(mean, s.work.othersLoad, weight)
}

// ownPending returns the expected time to prefill this instance's prompts without a first byte.
func (s *server) ownPending(perToken float64, now time.Time) float64 {
	if s.work.ownTokens == 0 {
		return 0
	}
	seconds := float64(s.work.ownTokens) * perToken
	if left := s.prefillUntil.Sub(now).Seconds(); left > 0 {
		return min(seconds, left)
	}
	return seconds / 2 // overdue: the prompts have waited for others and have come some way
}

// durationOr returns the mean time that a request holds a slot at usual pace.
func (p *pacedService) durationOr(seconds float64) float64 {
	if d := p.mix.Duration(); d > 0 {
		return d
	}
	return seconds
}

// reportLife returns the time constant with which a report of a server's load loses weight, in
// seconds: its requests end, and others come in their place.
func (p *pacedService) reportLife() float64 {
	return min(reportLifeDurations*p.durationOr(defaultRequestSeconds), reportDecaySeconds)
}

// callSeconds returns the expected time of a call without a prompt at the server; its whole
// duration precedes the first byte.
func (s *server) callSeconds(svc *pacedService, q *Query, now time.Time) float64 {
	if q.Class != world.Call || q.PromptTokens > 0 {
		return 0
	}
	return svc.mix.Duration() * s.factor(now)
}

// pacedScore returns the part of a server's score for a request's own work that best does not
// add for all services: the time of a call, and the cost of lateness met and imposed.
func (s *server) pacedScore(svc *pacedService, q *Query, wait, fetchSeconds, prefillSeconds float64, now time.Time) float64 {
	call := s.callSeconds(svc, q, now)
	score := call
	if q.Target > 0 {
		score += mixed.Met(wait+call+fetchSeconds+prefillSeconds, q.Target.Seconds())
		score += svc.mix.Neighbours(s.meanLoad()).Imposed(wait, prefillSeconds)
	}
	return score
}

func (s *server) meanLoad() float64 {
	if s.group == nil {
		return 0
	}
	return s.group.otherLoad
}

// explain completes the choice of a server that states its pace: its expected time, what is
// measured when it ends, and the inputs that decided.
func (t *Table) explain(c *Choice, svc *pacedService, s *server, q *Query, wait, prefillSeconds, margin float64, compared int, now time.Time) {
	own := prefillSeconds + s.callSeconds(svc, q, now)
	perToken := s.perTokenAt(now).Seconds()
	t.nextRequest++
	c.Expected = seconds(wait + own)
	c.Cost.request, c.Cost.target, c.Cost.wait, c.Cost.work = t.nextRequest, q.Target, seconds(wait), seconds(own)
	c.Cost.queued = wait - t.networkDelay(s, q)
	uncached := float64(c.Cost.UncachedTokens) * perToken
	late := s.pacedScore(svc, q, wait, prefillSeconds-uncached, uncached, now) - s.callSeconds(svc, q, now)
	c.Reason = Reason{
		Pace: s.factor(now), PaceAge: s.work.speed.Age(now), Wait: seconds(wait), Work: seconds(own),
		Pending: seconds(s.work.othersPending.Seconds(perToken, now)), PendingAge: s.work.othersPending.Age(now),
		Late: seconds(late), Compared: compared,
	}
	if !math.IsInf(margin, 0) {
		c.Reason.Margin = seconds(margin)
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// startWork records that a request was sent.
func (s *server) startWork(svc *pacedService, cost *Cost) {
	if cost.UncachedTokens > 0 {
		s.work.own = append(s.work.own, prefill{cost.request, cost.UncachedTokens})
		s.work.ownTokens += cost.UncachedTokens
	}
	svc.mix = svc.mix.WithRequest(cost.Class != world.Review, (cost.target - cost.work).Seconds())
}

// endPrefill records that a request needs no prefill any more.
func (s *server) endPrefill(request uint64, now time.Time) {
	for i, p := range s.work.own {
		if p.request == request {
			s.work.ownTokens -= p.tokens
			s.work.own = append(s.work.own[:i], s.work.own[i+1:]...)
			break
		}
	}
	if s.work.ownTokens == 0 {
		s.prefillUntil = now
	}
}

// measure compares the time to the first byte of a prompt that found no queue with the estimate.
func (s *server) measure(svc *pacedService, cost *Cost, timeToFirstToken time.Duration) {
	expected := cost.work.Seconds()
	if expected < minMeasuredPrefill || cost.queued > maxMeasuredWait {
		return
	}
	ratio := min((timeToFirstToken-cost.wait).Seconds()/expected, maxPrefillRatio)
	if ratio <= 0 {
		return
	}
	svc.ratio = smooth(svc.ratio, ratio, groupSmoothing)
	s.work.speed = s.work.speed.WithMeasured(ratio / svc.ratio)
}
