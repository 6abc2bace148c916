package route

import (
	"math"
	"slices"
	"time"

	"cranberrypath.example/cranberrypath/internal/world"
)

const (
	// scanAll is the largest group of which Pick considers every server. It is
	// above the size of a cell; larger groups are sampled.
	scanAll = 128
	// finalists are the servers whose prefix map is searched, besides those that
	// the block index names. Today's deployments are smaller, so there the search is
	// complete.
	finalists = 32
	// indexed is how many servers the block index may name.
	indexed = 8

	// trustSeconds is the time constant with which a report loses weight against
	// the mean of the group.
	trustSeconds = 1.5
	// noiseBase and noiseAge spread the choices of many instances that see the
	// same reports: differences below the noise are not known well enough to
	// follow. In seconds, and seconds for each second of the report's age.
	noiseBase = 0.004
	noiseAge  = 0.012
	// loadSeconds is what a full batch costs: later first tokens and slower ones
	// after them. With 0.06 s, side and price packed reviews on full servers;
	// with 0.3 s, half of the nodes rush to the same idle one.
	loadSeconds = 0.2
	// defaultTook is the duration of a request until one has ended, in seconds.
	defaultTook = 2.0
	// defaultPerToken is the prefill time of a token before the first report.
	defaultPerToken = 100 * time.Microsecond

	groupWeight = 0.05 // of one request in the averages of a group
	biasWeight  = 0.3  // of one first token
	biasMax     = 2.0  // s
	biasSeconds = 2.0  // time constant with which an observation loses weight

	// distrust is the weight of a prefix map with a gap.
	distrust = 0.5

	// lookupSide and reviewSide are the penalties for a request on the side of
	// the fleet that serves the other class, in seconds. A review delays the
	// lookups beside it for its whole run, so it is kept off more firmly.
	lookupSide = 0.1
	reviewSide = 0.15
	// longest share of the fleet that reviews prefer.
	maxReviewShare = 0.7

	// prefillWeight counts the prefill of a prompt beyond its own delay, because
	// it also delays the prompts behind it. With 2 instead of 1 the queueing model
	// of the tests recomputes about half as many tokens at equal latency.
	prefillWeight = 2.0
	// fetchLeast is the smallest part of a prompt that is fetched from another server.
	fetchLeast = 1024
	// fetchWeight is what fetching a token costs against reading it, besides the time:
	// transfers take link and memory of two servers. Prices of today's deployments
	// make it two thirds of a token read again.
	fetchWeight = 0.65
	// leavingServes is how long a server without a time to leave gives its cache to
	// others after it was seen leaving; servers go on for 2 s or more then.
	leavingServes = 1500 * time.Millisecond
	// homeBlock is the first block that may give a prompt its home; see homeOf.
	homeBlock = 32
	// homeShare is the part of the prefill time that a server may be slower and
	// still be preferred as home of a prompt that no server is known to have.
	homeShare = 0.5

	// noticePenalty keeps requests that would finish in time off servers with a
	// reclaim notice while others have room, in seconds.
	noticePenalty = 2.0
	// noticeSlack is the factor of the expected run that a notice must leave.
	noticeSlack = 1.5
	// decodePerToken bounds the run of a request before one was seen.
	decodePerToken = 30 * time.Millisecond
	// decodeRole is the penalty for a new prompt on a server kept for decoding.
	decodeRole = 1.0
)

// priceSeconds is the delay that a server of twice the mean price must save,
// by class. Reviews are patient, so price decides more of them. An instance costs
// the same when it idles, so price only breaks ties: with 0.25 s for reviews,
// those on cheap servers queued while expensive ones idled.
var priceSeconds = [...]float64{world.Lookup: 0.005, world.Call: 0.005, world.Review: 0.02}

// candidate is a server with its score without prefill, with noise, in seconds.
type candidate struct {
	s     *server
	score float64
}

// shortlist holds the best candidates, unsorted; worst is the index to replace.
type shortlist struct {
	c     [finalists + indexed]candidate
	n     int
	worst int
}

func (l *shortlist) offer(c candidate) {
	if l.n < finalists {
		l.c[l.n] = c
		l.n++
		l.findWorst()
		return
	}
	if c.score < l.c[l.worst].score {
		l.c[l.worst] = c
		l.findWorst()
	}
}

func (l *shortlist) findWorst() {
	l.worst = 0
	for i := 1; i < l.n; i++ {
		if l.c[i].score > l.c[l.worst].score {
			l.worst = i
		}
	}
}

// append adds a server that the block index names, unless it is listed.
func (l *shortlist) append(c candidate) {
	for i := range l.n {
		if l.c[i].s == c.s {
			return
		}
	}
	l.c[l.n] = c
	l.n++
}

// Pick selects the backend server with the lowest expected time to first token,
// corrected by price and class. It returns ErrNoServer or ErrExcluded if none
// may run the request. Ejected servers are used only if no other is left.
func (t *Table) Pick(q Query, now time.Time) (Choice, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groups[groupKey{q.Service, q.Version}]
	if g == nil {
		return Choice{}, ErrNoServer
	}
	for _, useEjected := range []bool{false, true} {
		if c, ok := t.pick(g, &q, useEjected, now); ok {
			return c, nil
		}
	}
	return Choice{}, ErrExcluded
}

func (t *Table) pick(g *group, q *Query, useEjected bool, now time.Time) (Choice, bool) {
	var list shortlist
	var named [indexed]uint32
	n := t.index.find(q.Prefix, &named)
	if len(g.servers) <= scanAll || useEjected {
		for _, s := range g.servers {
			if s.allowed(q, useEjected, now) {
				list.offer(t.candidate(g, s, q, now))
			}
		}
	} else {
		t.sample(g, q, &list, now)
	}
	for _, num := range named[:n] {
		s := t.nums[num]
		if s != nil && s.b.State == world.Ready && s.b.Service == q.Service && s.b.Runs(q.Version) && s.allowed(q, useEjected, now) {
			list.append(t.candidate(g, s, q, now))
		}
	}
	if list.n == 0 {
		return Choice{}, false
	}
	return t.best(&list, q, now), true
}

// sample considers scanAll/2 servers at evenly spaced places from a random one
// on, which are distinct without remembering them.
func (t *Table) sample(g *group, q *Query, list *shortlist, now time.Time) {
	const draws = scanAll / 2
	size := len(g.servers)
	stride := size / draws
	at := t.rnd.IntN(size)
	for range draws {
		if s := g.servers[at]; s.allowed(q, false, now) {
			list.offer(t.candidate(g, s, q, now))
		}
		at = (at + 1 + t.rnd.IntN(2*stride-1)) % size
	}
}

// best adds the time to read or fetch the prompt to each finalist and returns the
// best.
func (t *Table) best(list *shortlist, q *Query, now time.Time) Choice {
	var hits [finalists + indexed]int
	holder, held := (*server)(nil), 0 // the server with most of the prompt
	for i := range list.n {
		if hits[i] = list.c[i].s.cachedTokens(q); hits[i] > held {
			holder, held = list.c[i].s, hits[i]
		}
	}
	if q.FetchPerToken > 0 {
		holder, held = t.leavingHolder(q, holder, held, now)
	}
	var out Choice
	var s *server
	least, prefill := math.Inf(1), 0.0
	for i := range list.n {
		c := list.c[i]
		hit, fetch := hits[i], 0
		if gain := held - hit; q.FetchPerToken > 0 && gain >= fetchLeast {
			fetch = gain
		}
		p := float64(q.PromptTokens-hit-fetch) * c.s.perToken().Seconds()
		f := float64(fetch) * q.FetchPerToken.Seconds()
		score := c.score + prefillWeight*p + f + fetchWeight*float64(fetch)*c.s.perToken().Seconds()
		if score >= least {
			continue
		}
		least, prefill, s = score, p+f, c.s
		out = Choice{Backend: s.b, CachedTokens: hit, FetchTokens: fetch}
		if fetch > 0 {
			out.Source = holder.b
		}
	}
	out.Expected = time.Duration((s.delay(now, t.distance(s, q)) + prefill) * float64(time.Second))
	out.Cost = Cost{
		Class: q.Class, Prefix: q.Prefix, UncachedTokens: q.PromptTokens - out.CachedTokens - out.FetchTokens,
		MaxTokens: q.MaxTokens, server: s.num,
	}
	return out
}

// leavingHolder returns a leaving server that holds more of the prompt than the best
// other one, or that one. When a data centre is reclaimed its caches are needed by
// the servers that start in its place, and they are there until it is gone.
func (t *Table) leavingHolder(q *Query, holder *server, held int, now time.Time) (*server, int) {
	for _, s := range t.leaving[q.Service] {
		until := s.b.LeaveBy
		if until.IsZero() {
			until = s.leftAt.Add(leavingServes)
		}
		if !now.Before(until) || !s.b.Runs(q.Version) || slices.Contains(q.Exclude, s.b.ID) {
			continue
		}
		if hit := s.cachedTokens(q); hit > held {
			holder, held = s, hit
		}
	}
	return holder, held
}

func (s *server) cachedTokens(q *Query) int {
	if len(q.Prefix) == 0 {
		return 0
	}
	share := float64(s.cache.prefix(q.Prefix)) / float64(len(q.Prefix))
	if s.cache.distrusted {
		share *= distrust
	}
	return int(share * float64(q.PromptTokens))
}

// allowed reports whether the server may run the request at all.
func (s *server) allowed(q *Query, useEjected bool, now time.Time) bool {
	if q.Adapter != "" && !slices.Contains(s.b.Adapters, q.Adapter) {
		return false
	}
	if len(q.Exclude) > 0 && slices.Contains(q.Exclude, s.b.ID) {
		return false
	}
	if !s.b.LeaveBy.IsZero() && float64(s.b.LeaveBy.Sub(now)) < noticeSlack*float64(s.run(q)) {
		return false
	}
	return useEjected || !s.health.blocked(now)
}

// run is the expected duration of a request on the server.
func (s *server) run(q *Query) time.Duration {
	return time.Duration(q.PromptTokens)*s.perToken() + time.Duration(q.MaxTokens)*decodePerToken
}

func (t *Table) candidate(g *group, s *server, q *Query, now time.Time) candidate {
	base := s.delay(now, t.distance(s, q)) + s.preference(g, q)
	age := trustSeconds
	if s.seen {
		age = min(max(now.Sub(s.load.At).Seconds(), 0), trustSeconds)
	}
	noise := t.noise * (noiseBase + noiseAge*age) * gumbel[t.rnd.Uint32()%uint32(len(gumbel))]
	return candidate{s: s, score: base + noise}
}

func (t *Table) distance(s *server, q *Query) float64 {
	return defaultRTTFactor * t.cfg.Delay(q.DataCenter, s.b.DataCentre).Seconds()
}

// delay is the expected time to first token without prefill of this prompt.
func (s *server) delay(now time.Time, distance float64) float64 {
	slots := float64(max(s.b.Slots, 1))
	others := s.othersNow(now)
	load := float64(s.own) + others
	d := distance + loadSeconds*min(load/slots, 1)
	if load >= slots {
		took := s.took
		if took == 0 {
			took = defaultTook
		}
		d += (load - slots + 1) * took / slots
	}
	if s.busy.After(now) {
		d += s.busy.Sub(now).Seconds()
	}
	d += float64(s.load.WaitingTokens) * s.perToken().Seconds() * s.trust(now)
	if s.group != nil && s.load.Waiting > 0 {
		d += float64(s.load.Waiting) * s.group.prompt * s.perToken().Seconds() * s.trust(now)
	}
	return max(d+s.biasNow(now), distance)
}

func (s *server) trust(now time.Time) float64 {
	if !s.seen {
		return 0
	}
	return math.Exp(-max(now.Sub(s.load.At).Seconds(), 0) / trustSeconds)
}

// othersNow is the expected load from other instances: the report, and as it
// ages more and more the mean of the group.
func (s *server) othersNow(now time.Time) float64 {
	mean := 0.0
	if s.group != nil {
		mean = s.group.others
	}
	if !s.seen {
		return mean
	}
	return smooth(mean, s.others(), s.trust(now))
}

// preference is what speaks against a server besides its delay, in seconds.
func (s *server) preference(g *group, q *Query) float64 {
	p := s.sidePenalty(g, q.Class) - s.homeBonus(g, q)
	if g.price > 0 {
		p += priceSeconds[min(int(q.Class), len(priceSeconds)-1)] * (s.b.Price/g.price - 1)
	}
	if !s.b.LeaveBy.IsZero() {
		p += noticePenalty
	}
	if s.b.Role == "decode" {
		p += decodeRole
	}
	return p
}

// homeBonus draws prompts with the same beginning to the same server, by a hash
// that all instances compute alike. Without it several instances send a new
// prompt to several servers before the first cache event arrives.
func (s *server) homeBonus(g *group, q *Query) float64 {
	home := q.Home
	if home == 0 {
		if len(q.Prefix) <= homeBlock {
			return 0
		}
		home = homeOf(q.Prefix)
	}
	h := (home ^ s.hash) * 0x9E3779B97F4A7C15
	h = (h ^ h>>32) * 0xD6E8FEB86659FD93
	// The best of n servers is about 1/n from the top; the bonus is for it alone.
	rank := float64(len(g.servers)) * (1 - float64(h>>11)/(1<<53))
	return homeShare * float64(q.PromptTokens) * s.perToken().Seconds() / (1 + rank*rank)
}

// homeOf returns the block that gives a prompt its home: the last one at homeBlock
// times a power of two. It lies in the second half of the prompt, behind a system
// prompt that many long prompts share and that would send them all to one server,
// and most turns of a conversation have the same one.
func homeOf(prefix []uint64) uint64 {
	at := homeBlock
	for 2*at < len(prefix) {
		at *= 2
	}
	return prefix[at]
}

// sidePenalty keeps reviews and lookups apart. The side of a server is a hash of
// its id, so all instances fill the same servers with reviews without talking
// to each other. Both sides stay usable by both classes.
func (s *server) sidePenalty(g *group, c world.Class) float64 {
	if len(g.servers) < 2 || g.review < 0.01 {
		return 0
	}
	reviews := s.side < min(g.review, maxReviewShare)
	switch {
	case c == world.Review && !reviews:
		return reviewSide
	case c != world.Review && reviews:
		return lookupSide + reviewSide*float64(s.ownRev)/float64(max(s.b.Slots, 1))
	default:
		return 0
	}
}

// gumbel holds quantiles of the Gumbel distribution for minima: the lowest of
// values with this noise is each value with a probability that falls
// exponentially with its distance from the best.
var gumbel = func() (q [1024]float64) {
	for i := range q {
		q[i] = math.Log(-math.Log(1 - (float64(i)+0.5)/float64(len(q))))
	}
	return q
}()
