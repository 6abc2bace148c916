package route

import (
	"math"
	"slices"
	"time"

	"cranberrypath.example/cranberrypath/internal/world"
)

const (
	// fullScanServers is the largest group in which Pick scores every server. It
	// exceeds the size of a cell; larger groups are sampled.
	fullScanServers = 128
	// shortlistServers is how many of the best-scored servers have their prefix
	// maps searched, in addition to the hits of the block index. Deployments with
	// fewer servers are searched completely.
	shortlistServers = 32
	// affinityServers is how many of the servers with the highest affinity to a prompt are
	// scored in a group that is sampled, so that instances that have never seen the prompt
	// send it to the server that another instance chose.
	affinityServers = 2
	// maxIndexHits bounds the servers that a block index lookup returns.
	maxIndexHits = 8

	// reportDecaySeconds is the time constant with which the weight of a load
	// report decays in favour of the group mean.
	reportDecaySeconds = 1.5
	// noiseBaseSeconds and noisePerAgeSecond scale the random noise on scores, which
	// spreads the choices of instances that see the same reports. Score differences
	// below the noise are not reliable. The second is per second of report age.
	noiseBaseSeconds  = 0.004
	noisePerAgeSecond = 0.012
	// fullBatchSeconds is the penalty for a full batch, which delays the first token
	// and slows decoding. With 0.06 s, the partition and price penalties packed
	// reviews onto full servers; with 0.3 s, half of the entry instances picked the
	// same idle server.
	fullBatchSeconds = 0.2
	// defaultRequestSeconds is the assumed request duration until a request has ended.
	defaultRequestSeconds = 2.0
	// defaultPrefillPerToken is used until the first load report.
	defaultPrefillPerToken = 100 * time.Microsecond

	groupSmoothing   = 0.05 // weight of one request in the group averages
	biasSmoothing    = 0.3  // weight of one first token
	maxBiasSeconds   = 2.0
	biasDecaySeconds = 2.0 // time constant

	// incompleteMapWeight scales the hits in a prefix map that missed events.
	incompleteMapWeight = 0.5

	// lookupPartitionSeconds and reviewPartitionSeconds are the penalties for a
	// request in the partition of the fleet that serves the other class. A review
	// slows the lookups in its batch for its whole run, so its penalty is higher.
	lookupPartitionSeconds = 0.1
	reviewPartitionSeconds = 0.15
	// maxReviewShare bounds the share of the fleet in the review partition.
	maxReviewShare = 0.7

	// prefillWeight exceeds 1 because the prefill of a prompt also delays the prompts
	// queued behind it. With 2 instead of 1, the queueing model in the tests
	// recomputes about half as many tokens at equal latency.
	prefillWeight = 2.0
	// minFetchTokens is the smallest part of a prompt worth fetching from another server.
	minFetchTokens = 1024
	// fetchCostWeight is the cost of fetching a token's cache, apart from its time,
	// relative to its prefill: a transfer uses network and memory of two servers.
	// At current prices it costs about two thirds of a prefill.
	fetchCostWeight = 0.65
	// leavingFetchWindow is how long other servers may fetch from a leaving server
	// that announced no departure time. Such servers run for at least 2 s more.
	leavingFetchWindow = 1500 * time.Millisecond
	// minAffinityBlock is the first block that may determine a prompt's affinity;
	// see affinityBlock.
	minAffinityBlock = 32
	// affinityShare is the share of the prefill time by which the affinity server of
	// a prompt may be slower and still be picked when no server has it cached.
	affinityShare = 0.5

	// noticePenaltySeconds steers requests away from servers with a reclaim notice
	// while others have capacity, even if the request would finish in time.
	noticePenaltySeconds = 2.0
	// noticeSafetyFactor multiplies the expected duration of a request, which must
	// end before a server with a reclaim notice leaves.
	noticeSafetyFactor = 1.5
	// defaultDecodePerToken estimates the decode time of a request.
	defaultDecodePerToken = 30 * time.Millisecond
	// decodeRoleSeconds is the penalty for a new prompt on a server with the decode role.
	decodeRoleSeconds = 1.0
)

// pricePenaltySeconds is the penalty, by class, for a server of twice the mean
// price. Reviews tolerate more delay, so price has more weight for them. An idle
// instance costs as much as a busy one, so price only breaks ties: with 0.25 s for
// reviews, they queued on cheap servers while expensive ones were idle.
var pricePenaltySeconds = [...]float64{world.Lookup: 0.005, world.Call: 0.005, world.Review: 0.02}

// candidate is a server with its score in seconds, which includes noise but not the
// prefill of the prompt. Lower is better.
type candidate struct {
	server *server
	score  float64
	wait   float64 // expected before the request's own work starts; set for servers that state their pace
}

// maxCandidates is the number of servers that one Pick compares in the end.
const maxCandidates = shortlistServers + maxIndexHits + affinityServers

// shortlist holds the best candidates, unsorted; worst is the index to replace.
type shortlist struct {
	candidates [maxCandidates]candidate
	n          int
	worst      int
}

func (l *shortlist) offer(c candidate) {
	if l.n < shortlistServers {
		l.candidates[l.n] = c
		l.n++
		l.findWorst()
		return
	}
	if c.score < l.candidates[l.worst].score {
		l.candidates[l.worst] = c
		l.findWorst()
	}
}

func (l *shortlist) findWorst() {
	l.worst = 0
	for i := 1; i < l.n; i++ {
		if l.candidates[i].score > l.candidates[l.worst].score {
			l.worst = i
		}
	}
}

// append adds a server that was not sampled, unless it is listed.
func (l *shortlist) append(c candidate) {
	for i := range l.n {
		if l.candidates[i].server == c.server {
			return
		}
	}
	l.candidates[l.n] = c
	l.n++
}

// Pick selects the backend server with the lowest expected time to first token,
// adjusted by price and class. It returns ErrNoServer or ErrExcluded if no server
// may run the request. Ejected servers are a last resort.
func (t *Table) Pick(q Query, now time.Time) (Choice, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groups[groupKey{q.Service, q.Version}]
	if g == nil {
		return Choice{}, ErrNoServer
	}
	q.partsValid = t.partsValid(now)
	for _, useEjected := range []bool{false, true} {
		if c, ok := t.pick(g, &q, useEjected, now); ok {
			return c, nil
		}
	}
	return Choice{}, ErrExcluded
}

func (t *Table) pick(g *group, q *Query, useEjected bool, now time.Time) (Choice, bool) {
	var list shortlist
	var indexHits [maxIndexHits]uint32
	n := t.index.find(q.Prefix, &indexHits)
	if len(g.servers) <= fullScanServers || useEjected {
		for _, s := range g.servers {
			if s.eligible(q, useEjected, now) {
				list.offer(t.candidate(g, s, q, now))
			}
		}
	} else {
		t.sample(g, q, &list, now)
		t.addAffinityServers(g, q, &list, now)
	}
	for _, num := range indexHits[:n] {
		s := t.serversByNum[num]
		if s != nil && s.backend.TakesRequests() && s.backend.Service == q.Service && s.backend.Runs(q.Version) && s.eligible(q, useEjected, now) {
			list.append(t.candidate(g, s, q, now))
		}
	}
	if list.n == 0 {
		return Choice{}, false
	}
	return t.best(&list, q, now), true
}

// Opening is when a server accepts a request.
type Opening struct {
	At time.Time
	// Limited means that the server has a rate limit: only one of the requests that wait for
	// it is accepted.
	Limited bool
}

// otherInstanceDelay is when a caller should come back whose request this instance may not
// send to a server, but others may: the next connection leads to another instance.
const otherInstanceDelay = 200 * time.Millisecond

// NextOpening returns the earliest time from which a server that may run the request accepts
// it, and false if there is no such server.
func (t *Table) NextOpening(q Query, now time.Time) (Opening, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.nextOpening(&q, now, true)
}

// NextWarmOpening is NextOpening without the cold servers, for which no request waits.
func (t *Table) NextWarmOpening(q Query, now time.Time) (Opening, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.nextOpening(&q, now, false)
}

// nextOpening is NextOpening with or without the cold servers. mu must be held.
func (t *Table) nextOpening(q *Query, now time.Time, withCold bool) (Opening, bool) {
	g := t.groups[groupKey{q.Service, q.Version}]
	if g == nil {
		return Opening{}, false
	}
	var earliest Opening
	found, cold := false, false
	for _, s := range g.servers {
		if !withCold && s.cold.gate.Limited() {
			continue
		}
		o := t.coldOpening(s, s.opening(now), now)
		if s.mayRun(q, o.At) && (!found || o.At.Before(earliest.At)) {
			earliest, found, cold = o, true, s.cold.gate.Limited()
		}
	}
	if cold {
		earliest = t.spreadCold(earliest, now)
	}
	return earliest, found
}

func (s *server) opening(now time.Time) Opening {
	o := Opening{At: now}
	if s.acceptsFrom.After(now) {
		o.At = s.acceptsFrom
	}
	if !s.pace.Limited() {
		return o
	}
	o.Limited = true
	next, ok := s.pace.Next(now)
	if !ok {
		next = now.Add(otherInstanceDelay)
	}
	if next.After(o.At) {
		o.At = next
	}
	return o
}

// sample scores fullScanServers/2 servers, at random steps of size/samples on average
// from a random start. This avoids most repeats without a record of the servers visited.
func (t *Table) sample(g *group, q *Query, list *shortlist, now time.Time) {
	const samples = fullScanServers / 2
	size := len(g.servers)
	stride := size / samples
	at := t.rnd.IntN(size)
	for range samples {
		if s := g.servers[at]; s.eligible(q, false, now) {
			list.offer(t.candidate(g, s, q, now))
		}
		at = (at + 1 + t.rnd.IntN(2*stride-1)) % size
	}
}

// addAffinityServers adds the eligible servers with the highest affinity to the prompt.
func (t *Table) addAffinityServers(g *group, q *Query, list *shortlist, now time.Time) {
	key, ok := q.affinityKey()
	if !ok {
		return
	}
	var best [affinityServers]*server
	var hashes [affinityServers]uint64
	for _, s := range g.servers {
		h := affinityHash(key, s.hash)
		if h <= hashes[affinityServers-1] || !s.eligible(q, false, now) {
			continue
		}
		i := affinityServers - 1
		for ; i > 0 && h > hashes[i-1]; i-- {
			best[i], hashes[i] = best[i-1], hashes[i-1]
		}
		best[i], hashes[i] = s, h
	}
	for _, s := range best {
		if s != nil {
			list.append(t.candidate(g, s, q, now))
		}
	}
}

// best adds the time to prefill or fetch the prompt to the score of each shortlisted
// server and returns the best server.
func (t *Table) best(list *shortlist, q *Query, now time.Time) Choice {
	var hits [maxCandidates]int
	holder, holderTokens := (*server)(nil), 0 // the server that caches most of the prompt
	for i := range list.n {
		if hits[i] = list.candidates[i].server.cachedTokens(q); hits[i] > holderTokens {
			holder, holderTokens = list.candidates[i].server, hits[i]
		}
	}
	if q.FetchPerToken > 0 {
		holder, holderTokens = t.leavingHolder(q, holder, holderTokens, now)
		holder, holderTokens = t.limitedHolder(q, holder, holderTokens)
	}
	svc := t.paced[q.Service]
	var out Choice
	var s *server
	bestScore, secondScore, bestPrefill, wait := math.Inf(1), math.Inf(1), 0.0, 0.0
	for i := range list.n {
		c := list.candidates[i]
		hit, fetch := hits[i], 0
		if missing := holderTokens - hit; q.FetchPerToken > 0 && missing >= minFetchTokens {
			fetch = missing
		}
		perToken := c.server.perTokenAt(now).Seconds()
		prefillSeconds := float64(q.PromptTokens-hit-fetch) * perToken
		fetchSeconds := float64(fetch) * q.FetchPerToken.Seconds()
		weight := prefillWeight
		if svc != nil {
			weight = pacedPrefillWeight
		}
		score := c.score + weight*prefillSeconds + fetchSeconds + fetchCostWeight*float64(fetch)*perToken
		if svc != nil {
			score += c.server.pacedScore(svc, q, c.wait, fetchSeconds, prefillSeconds, now) + c.server.heldAffinity(q, hit)
		}
		if score >= bestScore {
			secondScore = min(secondScore, score)
			continue
		}
		secondScore, bestScore, bestPrefill, s, wait = bestScore, score, prefillSeconds+fetchSeconds, c.server, c.wait
		out = Choice{Backend: s.backend, CachedTokens: hit, FetchTokens: fetch}
		if fetch > 0 {
			out.Source = holder.backend
		}
	}
	out.Expected = time.Duration((s.delay(now, t.networkDelay(s, q)) + bestPrefill) * float64(time.Second))
	out.Cost = Cost{
		Class: q.Class, Prefix: q.Prefix, UncachedTokens: q.PromptTokens - out.CachedTokens - out.FetchTokens,
		MaxTokens: q.MaxTokens, server: s.num,
	}
	if svc != nil {
		t.explain(&out, svc, s, q, wait, bestPrefill, secondScore-bestScore, list.n, now)
	}
	return out
}

// leavingHolder returns the leaving or evacuated server that caches most of the prompt if it
// has more than holder, and holder otherwise. When a data centre is reclaimed, the
// replacement servers can fetch from its caches until its servers are gone.
func (t *Table) leavingHolder(q *Query, holder *server, holderTokens int, now time.Time) (*server, int) {
	for _, s := range t.leaving[q.Service] {
		until := s.backend.LeaveBy
		if until.IsZero() && s.backend.State == world.Leaving {
			until = s.leavingSince.Add(leavingFetchWindow)
		}
		if !until.IsZero() && !now.Before(until) || !s.backend.Runs(q.Version) || slices.Contains(q.Exclude, s.backend.ID) || !q.allows(s.backend) {
			continue
		}
		if hit := s.cachedTokens(q); hit > holderTokens {
			holder, holderTokens = s, hit
		}
	}
	return holder, holderTokens
}

// limitedHolder returns the server with a rate limit that caches most of the prompt if it has
// more than holder, and holder otherwise. Other servers can fetch from it without a request.
func (t *Table) limitedHolder(q *Query, holder *server, holderTokens int) (*server, int) {
	for _, s := range t.limited[q.Service] {
		if !s.backend.Runs(q.Version) || slices.Contains(q.Exclude, s.backend.ID) || !q.allows(s.backend) {
			continue
		}
		if hit := s.cachedTokens(q); hit > holderTokens {
			holder, holderTokens = s, hit
		}
	}
	return holder, holderTokens
}

func (s *server) cachedTokens(q *Query) int {
	if len(q.Prefix) == 0 {
		return 0
	}
	share := float64(s.cache.prefix(q.Prefix)) / float64(len(q.Prefix))
	if s.cache.incomplete {
		share *= incompleteMapWeight
	}
	return int(share * float64(q.PromptTokens))
}

// eligible reports whether the request may be sent to the server now.
func (s *server) eligible(q *Query, useEjected bool, now time.Time) bool {
	return !now.Before(s.acceptsFrom) && s.pace.Admits(now) && s.admitsCold(q.partsValid, now) && s.mayRun(q, now) && (useEjected || !s.health.blocked(now))
}

// mayRun reports whether the server may run the request at all.
func (s *server) mayRun(q *Query, now time.Time) bool {
	if q.Adapter != "" && !slices.Contains(s.backend.Adapters, q.Adapter) {
		return false
	}
	if len(q.Exclude) > 0 && slices.Contains(q.Exclude, s.backend.ID) || !q.allows(s.backend) {
		return false
	}
	if !s.backend.LeaveBy.IsZero() && float64(s.backend.LeaveBy.Sub(now)) < noticeSafetyFactor*float64(s.expectedDuration(q, now)) {
		return false
	}
	return true
}

// expectedDuration estimates how long the request would run on the server.
func (s *server) expectedDuration(q *Query, now time.Time) time.Duration {
	d := time.Duration(q.PromptTokens)*s.perToken() + time.Duration(q.MaxTokens)*defaultDecodePerToken
	if s.work != nil {
		d = time.Duration(float64(d) * s.factor(now))
	}
	return d
}

func (t *Table) candidate(g *group, s *server, q *Query, now time.Time) candidate {
	wait, score := 0.0, 0.0
	if s.work == nil {
		score = s.delay(now, t.networkDelay(s, q)) + s.penalty(g, q)
	} else {
		var batch float64
		wait, batch = s.pacedDelay(g.paced, now, t.networkDelay(s, q))
		score = wait + batch + s.penalty(g, q)
	}
	score += s.coldPenalty(now)
	age := reportDecaySeconds
	if s.reported {
		age = min(max(now.Sub(s.load.MeasuredAt).Seconds(), 0), reportDecaySeconds)
	}
	noise := t.noise * s.noiseFactor() * (noiseBaseSeconds + noisePerAgeSecond*age) * gumbelMinima[t.rnd.Uint32()%uint32(len(gumbelMinima))]
	return candidate{server: s, score: score + noise, wait: wait}
}

func (t *Table) networkDelay(s *server, q *Query) float64 {
	return defaultRTTFactor * t.cfg.Delay(q.DataCentre, s.backend.DataCentre).Seconds()
}

// delay is the expected time to first token in seconds, without the prefill of the
// new prompt.
func (s *server) delay(now time.Time, networkDelay float64) float64 {
	slots := float64(max(s.backend.Slots, 1))
	others := s.expectedOtherLoad(now)
	requests := float64(s.outstanding) + others
	seconds := networkDelay + fullBatchSeconds*min(requests/slots, 1)
	if requests >= slots {
		duration := s.avgDuration
		if duration == 0 {
			duration = defaultRequestSeconds
		}
		seconds += (requests - slots + 1) * duration / slots
	}
	if s.prefillUntil.After(now) {
		seconds += s.prefillUntil.Sub(now).Seconds()
	}
	seconds += float64(s.load.WaitingTokens) * s.perToken().Seconds() * s.reportWeight(now)
	if s.group != nil && s.load.Waiting > 0 {
		seconds += float64(s.load.Waiting) * s.group.avgPrefillTokens * s.perToken().Seconds() * s.reportWeight(now)
	}
	return max(seconds+s.biasAfterDecay(now), networkDelay)
}

func (s *server) reportWeight(now time.Time) float64 {
	if !s.reported {
		return 0
	}
	return math.Exp(-max(now.Sub(s.load.MeasuredAt).Seconds(), 0) / reportDecaySeconds)
}

// expectedOtherLoad estimates the load from other entry instances. It moves from the
// last report to the group mean as the report ages.
func (s *server) expectedOtherLoad(now time.Time) float64 {
	mean := 0.0
	if s.group != nil {
		mean = s.group.otherLoad
	}
	if !s.reported {
		return mean
	}
	return smooth(mean, s.reportedOtherLoad(), s.reportWeight(now))
}

// penalty is the part of the server's score that is not delay, in seconds.
func (s *server) penalty(g *group, q *Query) float64 {
	seconds := s.partitionPenalty(g, q) - s.affinityBonus(g, q)
	if g.meanPrice > 0 {
		seconds += pricePenaltySeconds[min(int(q.Class), len(pricePenaltySeconds)-1)] * (s.backend.Price/g.meanPrice - 1)
	}
	if !s.backend.LeaveBy.IsZero() {
		seconds += noticePenaltySeconds
	}
	if s.backend.Role == "decode" {
		seconds += decodeRoleSeconds
	}
	return seconds
}

// affinityBonus favours one server for all prompts with the same prefix, by
// rendezvous hashing, which all instances compute alike. Without it, instances send
// the same new prompt to several servers before the first cache event arrives.
func (s *server) affinityBonus(g *group, q *Query) float64 {
	key, ok := q.affinityKey()
	if !ok {
		return 0
	}
	h := affinityHash(key, s.hash)
	// Among n servers the highest hash is about 1/n below the maximum; the bonus
	// falls off quickly beyond that, so only one server gets most of it.
	rank := float64(len(g.servers)) * (1 - float64(h>>11)/(1<<53))
	return g.affinitySeconds(q, s.perToken().Seconds()) / (1 + rank*rank)
}

// affinityKey returns the key by which all instances prefer the same server for a prompt,
// or false if the prompt is too short.
func (q *Query) affinityKey() (uint64, bool) {
	if q.AffinityKey != 0 {
		return q.AffinityKey, true
	}
	if len(q.Prefix) <= minAffinityBlock {
		return 0, false
	}
	return affinityBlock(q.Prefix), true
}

// affinityHash returns the rendezvous hash of a prompt's key and a server's hash.
func affinityHash(key, server uint64) uint64 {
	h := (key ^ server) * 0x9E3779B97F4A7C15
	return (h ^ h>>32) * 0xD6E8FEB86659FD93
}

// affinityBlock returns the block that determines the affinity of a prompt: the last
// block whose index is minAffinityBlock times a power of two. This block is in the
// second half of the prompt, after any system prompt, which would send all prompts
// that share it to one server. Most turns of a conversation have the same block.
func affinityBlock(prefix []uint64) uint64 {
	i := minAffinityBlock
	for 2*i < len(prefix) {
		i *= 2
	}
	return prefix[i]
}

// partitionPenalty separates reviews from lookups. The partition of a server follows
// from a hash of its id, so all instances prefer the same servers for reviews without
// coordination. Both classes may still use either partition. Where lateness decides, there
// are no partitions.
func (s *server) partitionPenalty(g *group, q *Query) float64 {
	if len(g.servers) < 2 || g.reviewShare < 0.01 || g.mixes(q) {
		return 0
	}
	c := q.Class
	reviews := s.partition < min(g.reviewShare, maxReviewShare)
	switch {
	case c == world.Review && !reviews:
		return reviewPartitionSeconds
	case c != world.Review && reviews:
		return lookupPartitionSeconds + reviewPartitionSeconds*float64(s.outstandingReviews)/float64(max(s.backend.Slots, 1))
	default:
		return 0
	}
}

// gumbelMinima holds quantiles of the Gumbel distribution for minima. With this noise
// the probability that a server has the lowest score falls exponentially with the
// distance of its score from the best.
var gumbelMinima = func() (q [1024]float64) {
	for i := range q {
		q[i] = math.Log(-math.Log(1 - (float64(i)+0.5)/float64(len(q))))
	}
	return q
}()
