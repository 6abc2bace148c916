// Package route selects the backend server of a request. Load reports lag and
// many entry instances decide at the same time, so each decision combines the
// reports with local data: this instance's outstanding requests, the prompts it
// sent and the latencies it measured.
package route

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"

	"cranberrypath.example/cranberrypath/internal/pacing"
	"cranberrypath.example/cranberrypath/internal/world"
)

// Error is the class of this package's errors.
var Error = errs.Class("route")

// The errors that Pick returns.
var (
	ErrNoServer = Error.New("no backend server runs the service and version")
	ErrExcluded = Error.New("each backend server is excluded, leaving, without the adapter or accepts no requests now")
)

// Query describes one request to route.
type Query struct {
	Service, Version, Org string
	Adapter               string // required adapter, empty if none
	Class                 world.Class
	DataCentre            string   // of this entry instance
	Prefix                []uint64 // world.BlockHashes of the prompt, or one hash for each equally long part
	// AffinityKey is the affinity key: prompts with the same key prefer the same server. If it
	// is 0, a block of Prefix is used.
	AffinityKey             uint64
	PromptTokens, MaxTokens int
	Exclude                 []string // ids not to pick, such as those that failed this request
	// FetchPerToken is the time to fetch the cache of one prompt token from another
	// server; 0 if servers cannot fetch.
	FetchPerToken time.Duration
	// Regions are those whose servers may run the request and have their caches read for it;
	// nil means any.
	Regions    []string
	partsValid bool // as of the Pick; see Config.PartsValid
	// Target is the time left until the target for the first byte; 0 for none. It counts
	// only for services whose servers state their pace.
	Target time.Duration
	// SharedTokens is the length of the part of the prompt that other prompts share; 0 if
	// unknown. It counts only where Target does.
	SharedTokens int
}

// Cost is the work that one request causes on a backend server. Started and Ended
// accept only the Cost of a Choice.
type Cost struct {
	Class          world.Class
	Prefix         []uint64
	UncachedTokens int // tokens to prefill
	MaxTokens      int
	// server is the number of the server's table entry. A server that restarted or was
	// removed and added again has a new number, so this request does not count there.
	server uint32
	// For servers that state their pace: the number of the request, the time left until its
	// target, and the expected times before and of its own work. queued is the part of wait
	// that is not network delay, in seconds.
	request            uint64
	target, wait, work time.Duration
	queued             float64
}

// Choice is the backend server that Pick selected.
type Choice struct {
	Backend      world.Backend
	Expected     time.Duration // expected time to first token
	CachedTokens int           // prompt tokens expected in its cache
	// Source is the server to fetch the cache of FetchTokens more prompt tokens from;
	// zero if FetchTokens is 0.
	Source      world.Backend
	FetchTokens int
	Cost        Cost   // for Started and Ended
	Reason      Reason // for the log
}

// Result is the outcome of a request on a backend server.
type Result struct {
	Cost   Cost
	Failed bool // by the server's fault; excludes refusals and cancellations
	// ConnectFailed means that no connection to the server could be made. The server is
	// ejected at once, as the next request would fail as well.
	ConnectFailed bool
	Duration      time.Duration // from start to end
}

// Config configures a Table. Zero fields take the defaults.
type Config struct {
	Seed uint64
	// Delay returns the one-way delay between two data centres.
	Delay func(from, to string) time.Duration
	// CacheBlocks bounds the prefix map of one backend server, in blocks.
	CacheBlocks int
	// PrefillPerToken is the prefill time of a token until the first load report.
	PrefillPerToken time.Duration
	// PartsValid reports whether this instance may use its parts of the rates of cold servers;
	// nil means always. It is called with the Table locked.
	PartsValid func(now time.Time) bool
}

// Defaults of Config.
const (
	defaultCacheBlocks = 1 << 16
	defaultDelay       = 1500 * time.Microsecond
	defaultRTTFactor   = 2 // request out, first token back
)

// Table selects among the backend servers that this instance may use. It is safe
// for concurrent use.
type Table struct {
	cfg Config

	mu           sync.Mutex
	rnd          *rand.Rand
	servers      map[string]*server
	groups       map[groupKey]*group
	leaving      map[string][]*server // by service; they get no requests, but other servers fetch from their caches
	limited      map[string][]*server // by service, those with a rate limit; other servers fetch from their caches
	index        *blockIndex
	nextNum      uint32
	serversByNum map[uint32]*server // keyed by server.num, for the block index
	noise        float64            // noise factor; tests set 0
	anyCold      bool               // a server is cold
	paced        map[string]*pacedService
	nextRequest  uint64
}

type groupKey struct{ service, version string }

// group is the set of servers that are ready for one version of a service. Averages
// are exponentially smoothed.
type group struct {
	servers                    []*server
	otherLoad                  float64 // mean load per server from other entry instances
	meanPrice                  float64 // currency units an hour
	reviewShare                float64 // reviewTokens/answerTokens: share of reviews in this instance's slot time
	answerTokens, reviewTokens float64 // mean answer length over all requests, and its part from reviews
	avgFirstToken              float64 // time to first token, s
	avgPrefillTokens           float64 // uncached prompt tokens of a request
	ejected                    int
	paced                      *pacedService // nil if the servers state no pace
}

// server is this instance's state of one backend server.
type server struct {
	backend            world.Backend
	num                uint32
	hash               uint64  // of the id, equal on all entry instances
	partition          float64 // 0 to 1, from the hash; see partitionPenalty
	group              *group  // of the first version; used for averages
	load               world.Load
	reported           bool          // load holds a report
	initialPerToken    time.Duration // prefill time of a token until the first load report
	outstanding        int           // requests of this instance in flight
	outstandingReviews int           // reviews among outstanding
	changes            []outstandingChange
	nextChange         int       // ring buffer position in changes
	prefillUntil       time.Time // expected end of this instance's prefills
	firstTokenBias     float64   // observed minus expected time to first token, s
	biasAt             time.Time
	avgDuration        float64 // s
	cache              cache
	health             health
	leavingSince       time.Time // when the Leaving state was first seen
	acceptsFrom        time.Time // no request is sent before, also as a last resort
	pace               pacing.Bucket
	cold               coldState
	work               *work // nil if the service's servers state no pace
}

// outstandingChange is one start (+1) or end (-1) of a request.
type outstandingChange struct {
	at    time.Time
	delta int
}

// maxChanges must cover the lag of a load report: an entry instance starts and ends
// fewer than 32 requests on one server within a second.
const maxChanges = 32

// New returns an empty table.
func New(cfg Config) *Table {
	if cfg.CacheBlocks == 0 {
		cfg.CacheBlocks = defaultCacheBlocks
	}
	if cfg.PrefillPerToken == 0 {
		cfg.PrefillPerToken = defaultPrefillPerToken
	}
	if cfg.Delay == nil {
		cfg.Delay = func(from, to string) time.Duration {
			if from == to {
				return 0
			}
			return defaultDelay
		}
	}
	return &Table{
		cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 0)), servers: map[string]*server{},
		groups: map[groupKey]*group{}, index: newBlockIndex(), serversByNum: map[uint32]*server{}, noise: 1, paced: map[string]*pacedService{},
	}
}

// SetBackends replaces the backend servers. The state of a server is kept unless a higher
// incarnation shows that the server has restarted.
func (t *Table) SetBackends(backends []world.Backend, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.servers
	t.servers, t.anyCold = make(map[string]*server, len(backends)), false
	for _, b := range backends {
		s := old[b.ID]
		if s == nil || s.backend.Incarnation < b.Incarnation {
			s = t.newServer(b)
		}
		if s.backend.Incarnation == b.Incarnation {
			s.backend = b
			s.holdOff(b.AcceptsFrom)
			s.setPace(b, now)
			s.setCold(b, now)
		}
		t.anyCold = t.anyCold || s.cold.gate.Limited()
		if s.backend.State == world.Leaving && s.leavingSince.IsZero() {
			s.leavingSince = now
		}
		t.servers[b.ID] = s
	}
	for id, s := range old {
		if t.servers[id] != s {
			delete(t.serversByNum, s.num)
		}
	}
	t.regroup()
}

// HoldOff sends an incarnation of a server no requests before the given time.
func (t *Table) HoldOff(id string, incarnation uint64, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[id]; s != nil && s.backend.Incarnation == incarnation {
		s.holdOff(until)
	}
}

func (s *server) holdOff(until time.Time) {
	if until.After(s.acceptsFrom) {
		s.acceptsFrom = until
	}
}

func (s *server) setPace(b world.Backend, now time.Time) {
	if !b.RateLimited {
		s.pace = pacing.Bucket{}
		return
	}
	s.pace = s.pace.WithRate(b.Rate, now)
}

// TakeTurn reports whether a request may be sent to the chosen server, which may be cold or have
// a rate limit, and counts it. The caller must send the request or pick again.
func (t *Table) TakeTurn(c Choice, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[c.Backend.ID]
	if s == nil || s.num != c.Cost.server {
		return s == nil || !s.cold.gate.Limited() // a server that restarted may be cold
	}
	if !s.pace.Admits(now) || !t.takeColdTurn(s, now) {
		return false
	}
	if s.pace.Limited() {
		s.pace = s.pace.WithSent(now)
	}
	return true
}

func (t *Table) newServer(b world.Backend) *server {
	t.nextNum++
	limit := t.cfg.CacheBlocks
	if b.CacheBlocks > 0 {
		limit = min(limit, b.CacheBlocks)
	}
	hash := xxhash.Sum64String(b.ID)
	s := &server{backend: b, num: t.nextNum, hash: hash, partition: float64(hash>>11) / (1 << 53), cache: newCache(limit), initialPerToken: t.cfg.PrefillPerToken}
	t.serversByNum[s.num] = s
	return s
}

func (t *Table) regroup() {
	old := t.groups
	t.groups, t.leaving, t.limited = map[groupKey]*group{}, map[string][]*server{}, map[string][]*server{}
	for _, s := range t.servers {
		s.group = nil
		t.addWork(s)
		if s.backend.State == world.Leaving || s.backend.State == world.Ready && s.backend.Evacuated {
			t.leaving[s.backend.Service] = append(t.leaving[s.backend.Service], s)
		}
		if !s.backend.TakesRequests() {
			continue
		}
		if s.backend.RateLimited {
			t.limited[s.backend.Service] = append(t.limited[s.backend.Service], s)
		}
		for _, v := range s.backend.Versions {
			key := groupKey{s.backend.Service, v}
			g := t.groups[key]
			if g == nil {
				g = &group{paced: t.paced[s.backend.Service]}
				if o := old[key]; o != nil {
					g.otherLoad, g.reviewShare, g.avgFirstToken, g.avgPrefillTokens = o.otherLoad, o.reviewShare, o.avgFirstToken, o.avgPrefillTokens
					g.answerTokens, g.reviewTokens = o.answerTokens, o.reviewTokens
				}
				t.groups[key] = g
			}
			g.servers = append(g.servers, s)
			if s.group == nil {
				s.group = g
			}
		}
	}
	for _, g := range t.groups {
		for _, s := range g.servers {
			g.meanPrice += s.backend.Price / float64(len(g.servers))
			if s.group == g && s.health.ejected() {
				g.ejected++
			}
		}
		slices.SortFunc(g.servers, func(a, b *server) int { return int(a.num) - int(b.num) })
	}
}

// Started records that a request was sent. The prompt counts as cached from now on.
// Started has no effect if the server has restarted or left since Pick.
func (t *Table) Started(id string, cost Cost, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[id]
	if s == nil || s.num != cost.server {
		return
	}
	s.outstanding++
	s.recordChange(now, 1)
	reviewTokens := 0.0
	if cost.Class == world.Review {
		s.outstandingReviews++
		reviewTokens = float64(cost.MaxTokens)
	}
	if s.prefillUntil.Before(now) {
		s.prefillUntil = now
	}
	s.prefillUntil = s.prefillUntil.Add(time.Duration(cost.UncachedTokens) * s.perTokenAt(now))
	if s.work != nil {
		s.startWork(t.paced[s.backend.Service], &cost)
	}
	s.health.recordStart(now)
	if g := s.group; g != nil {
		// A request holds its slot for the whole answer, so the share is measured
		// in tokens: a few long reviews may need most of the fleet.
		g.answerTokens = smooth(g.answerTokens, float64(cost.MaxTokens), groupSmoothing)
		g.reviewTokens = smooth(g.reviewTokens, reviewTokens, groupSmoothing)
		g.reviewShare = g.reviewTokens / max(g.answerTokens, 1)
		g.avgPrefillTokens = smooth(g.avgPrefillTokens, float64(cost.UncachedTokens), groupSmoothing)
	}
	for _, h := range cost.Prefix {
		t.index.add(h, s.num)
		s.cache.add(h)
	}
}

// FirstToken records the time to first token of a request. Late first tokens reveal
// load before reports do. FirstToken has no effect if the server has restarted or left
// since Pick.
func (t *Table) FirstToken(c Choice, timeToFirstToken time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[c.Backend.ID]
	if s == nil || s.num != c.Cost.server {
		return
	}
	deviation := min(max((timeToFirstToken-c.Expected).Seconds(), -maxBiasSeconds), maxBiasSeconds)
	s.firstTokenBias, s.biasAt = smooth(s.biasAfterDecay(now), deviation, biasSmoothing), now
	if s.work != nil {
		s.measure(t.paced[s.backend.Service], &c.Cost, timeToFirstToken)
		s.endPrefill(c.Cost.request, now)
	}
	g := s.group
	if g == nil || s.cold.gate.Limited() { // a cold server is slow, not faulty
		return
	}
	s.health.recordFirstToken(timeToFirstToken.Seconds())
	if s.health.isSlow(g.avgFirstToken) {
		t.eject(s, now)
	}
	g.avgFirstToken = smooth(g.avgFirstToken, timeToFirstToken.Seconds(), groupSmoothing)
}

// Ended records that a request ended. Ended has no effect if the server has
// restarted or left since Pick.
func (t *Table) Ended(id string, res Result, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[id]
	if s == nil || s.outstanding == 0 || s.num != res.Cost.server {
		return
	}
	s.outstanding--
	s.recordChange(now, -1)
	if s.work != nil {
		s.endPrefill(res.Cost.request, now)
	}
	if s.outstanding == 0 {
		s.prefillUntil = now // no request is left whose prompt could be prefilled
	}
	if res.Cost.Class == world.Review && s.outstandingReviews > 0 {
		s.outstandingReviews--
	}
	if s.health.recordResult(res.Failed) || res.ConnectFailed {
		t.eject(s, now)
	}
	if res.Failed {
		return
	}
	if s.work != nil {
		svc := t.paced[s.backend.Service]
		svc.mix = svc.mix.WithDuration(res.Duration.Seconds() / s.factor(now))
	}
	if s.health.ejected() && !s.health.probeSentAt.IsZero() {
		t.readmit(s)
	}
	if s.avgDuration == 0 {
		s.avgDuration = res.Duration.Seconds()
	}
	s.avgDuration = smooth(s.avgDuration, res.Duration.Seconds(), groupSmoothing)
}

// Report records a load report. Reports that are not newer than the last are ignored.
func (t *Table) Report(id string, load world.Load, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[id]
	if s == nil || s.reported && !load.MeasuredAt.After(s.load.MeasuredAt) {
		return
	}
	s.load, s.reported = load, true
	if s.work != nil {
		s.reportWork()
	}
	if s.group != nil {
		s.group.otherLoad = smooth(s.group.otherLoad, s.reportedOtherLoad(), 1/float64(4+len(s.group.servers)))
	}
}

// Cache records cache events. After lost events, Resync returns the server.
func (t *Table) Cache(id string, ev world.CacheEvents, _ time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[id]
	if s == nil {
		return
	}
	for _, h := range s.cache.apply(ev) {
		t.index.add(h, s.num)
	}
}

// AddCached records that a server has cached the blocks of a prompt that another
// entry instance sent.
func (t *Table) AddCached(id string, prefix []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[id]
	if s == nil {
		return
	}
	for _, h := range prefix {
		t.index.add(h, s.num)
		s.cache.add(h)
	}
}

// Resync returns the servers whose prefix map is incomplete, at most once per
// minResyncInterval each. The caller requests the whole cache content of each.
func (t *Table) Resync(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for id, s := range t.servers {
		if s.backend.State == world.Ready && s.cache.incomplete && now.Sub(s.cache.resyncAt) >= minResyncInterval {
			s.cache.resyncAt = now
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Outstanding returns the number of this instance's requests in flight on a server.
func (t *Table) Outstanding(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[id]; s != nil {
		return s.outstanding
	}
	return 0
}

func (s *server) recordChange(now time.Time, delta int) {
	if len(s.changes) < maxChanges {
		s.changes = append(s.changes, outstandingChange{now, delta})
		return
	}
	s.changes[s.nextChange] = outstandingChange{now, delta}
	s.nextChange = (s.nextChange + 1) % maxChanges
}

// reportedOtherLoad is the load from other entry instances at the time of the last
// report: the reported load minus this instance's requests in flight at that time.
func (s *server) reportedOtherLoad() float64 {
	own := s.outstanding
	for _, r := range s.changes {
		if r.at.After(s.load.MeasuredAt) {
			own -= r.delta
		}
	}
	return float64(max(s.load.Running+s.load.Waiting-max(own, 0), 0))
}

func (s *server) perToken() time.Duration {
	if s.load.PrefillPerToken > 0 {
		return s.load.PrefillPerToken
	}
	return s.initialPerToken
}

func (s *server) biasAfterDecay(now time.Time) float64 {
	if s.firstTokenBias == 0 {
		return 0
	}
	return s.firstTokenBias * math.Exp(-now.Sub(s.biasAt).Seconds()/biasDecaySeconds)
}

func smooth(old, v, weight float64) float64 { return old + (v-old)*weight }
