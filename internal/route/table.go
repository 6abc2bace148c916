// Package route selects the backend server of a request. Load reports lag and
// many entry instances decide at the same time, so each decision combines the
// reports with what this instance knows itself: its own outstanding work, the
// prompts it sent and the latencies it saw.
package route

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"

	"cranberrypath.example/cranberrypath/internal/world"
)

// Error is the class of this package's errors.
var Error = errs.Class("route")

// The reasons for which Pick finds no backend server.
var (
	ErrNoServer = Error.New("no backend server runs the service and version")
	ErrExcluded = Error.New("each backend server is excluded, leaving or without the adapter")
)

// Query describes one request to route.
type Query struct {
	Service, Version, Org string
	Adapter               string // required adapter; empty for none
	Class                 world.Class
	DataCenter            string   // of this entry instance
	Prefix                []uint64 // world.Blocks of the prompt, or a hash for each equal piece of it
	// Home is the hash of the part of the prompt that gives it its home; 0 takes a
	// block of Prefix.
	Home                    uint64
	PromptTokens, MaxTokens int
	Exclude                 []string // ids not to pick, such as those that failed this request
	// FetchPerToken is the time in which a server fetches the cache of a prompt token
	// from another one; 0 if servers cannot.
	FetchPerToken time.Duration
}

// Cost is the work that one request puts on a backend server. Only the one in a
// Choice can be passed to Started and Ended.
type Cost struct {
	Class          world.Class
	Prefix         []uint64
	UncachedTokens int // tokens to prefill
	MaxTokens      int
	// server is the number of the server's table entry. A server that restarted or
	// was away has a new one, to which this request does not count.
	server uint32
}

// Choice is the backend server that Pick selected.
type Choice struct {
	Backend      world.Backend
	Expected     time.Duration // expected time to first token
	CachedTokens int           // prompt tokens expected in its cache
	// Source is the server from whose cache it shall fetch FetchTokens more first;
	// it is zero if FetchTokens is.
	Source      world.Backend
	FetchTokens int
	Cost        Cost // for Started and Ended
}

// Result tells how a request ended on a backend server.
type Result struct {
	Cost   Cost
	Failed bool // by the server's fault; not refusals and cancellations
	// Unreached means that the server took no connection. It is ejected at once: the
	// next request would not reach it either.
	Unreached bool
	Took      time.Duration // from start to end
}

// Config of a Table. Zero fields take the defaults.
type Config struct {
	Seed uint64
	// Delay returns the one-way delay between two data centres.
	Delay func(from, to string) time.Duration
	// CacheBlocks bounds the prefix map of one backend server, in blocks.
	CacheBlocks int
	// PerToken is the prefill time of a token before a report tells it; 0 takes the
	// default.
	PerToken time.Duration
}

// The defaults of a Config.
const (
	defaultCacheBlocks = 1 << 16
	defaultDelay       = 1500 * time.Microsecond
	defaultRTTFactor   = 2 // request there, first token back
)

// Table selects among the backend servers that this instance may send to. Its
// methods may be called concurrently.
type Table struct {
	cfg Config

	mu      sync.Mutex
	rnd     *rand.Rand
	servers map[string]*server
	groups  map[groupKey]*group
	leaving map[string][]*server // by service; they take no requests but still give caches
	index   *blockIndex
	nextNum uint32
	nums    map[uint32]*server // by number, for the block index
	noise   float64            // factor of the noise; tests set 0
}

type groupKey struct{ service, version string }

// group is the servers that are ready for one version of a service.
type group struct {
	servers              []*server
	others               float64 // mean load from other instances for each server, smoothed
	price                float64 // mean, currency units an hour
	review               float64 // share of reviews in this instance's slot time: reviewTokens/tokens
	tokens, reviewTokens float64 // smoothed answer lengths, of all requests and of reviews
	first                float64 // smoothed time to first token, s
	prompt               float64 // smoothed tokens to prefill of one request
	ejected              int
}

// server is what this instance knows about one backend server.
type server struct {
	b      world.Backend
	num    uint32
	hash   uint64  // of the id, equal on all instances
	side   float64 // 0 to 1, from the hash; see sidePenalty
	group  *group  // of the first version, for averages
	load   world.Load
	seen   bool          // load is set
	untold time.Duration // prefill time of a token until load tells it
	own    int           // requests of this instance
	ownRev int           // of them reviews
	recent []step
	next   int       // in recent
	busy   time.Time // until when this instance's prefills last
	bias   float64   // observed minus expected time to first token, s
	biasAt time.Time
	took   float64 // smoothed duration of a request, s
	cache  cache
	health health
	leftAt time.Time // when it was first seen leaving
}

// step is one start (+1) or end (-1) of a request.
type step struct {
	at    time.Time
	delta int
}

// recentSteps covers the lag of a report: at today's rates an entry instance
// starts and ends fewer than 32 requests on one server within a second.
const recentSteps = 32

// New returns an empty table.
func New(cfg Config) *Table {
	if cfg.CacheBlocks == 0 {
		cfg.CacheBlocks = defaultCacheBlocks
	}
	if cfg.PerToken == 0 {
		cfg.PerToken = defaultPerToken
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
		groups: map[groupKey]*group{}, index: newBlockIndex(), nums: map[uint32]*server{}, noise: 1,
	}
}

// Set replaces the backend servers. What is known about a server is kept unless
// it has restarted, which shows in its incarnation.
func (t *Table) Set(backends []world.Backend, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.servers
	t.servers = make(map[string]*server, len(backends))
	for _, b := range backends {
		s := old[b.ID]
		if s == nil || s.b.Incarnation < b.Incarnation {
			s = t.newServer(b)
		}
		if s.b.Incarnation == b.Incarnation {
			s.b = b
		}
		if s.b.State == world.Leaving && s.leftAt.IsZero() {
			s.leftAt = now
		}
		t.servers[b.ID] = s
	}
	for id, s := range old {
		if t.servers[id] != s {
			delete(t.nums, s.num)
		}
	}
	t.regroup()
}

func (t *Table) newServer(b world.Backend) *server {
	t.nextNum++
	limit := t.cfg.CacheBlocks
	if b.CacheBlocks > 0 {
		limit = min(limit, b.CacheBlocks)
	}
	hash := xxhash.Sum64String(b.ID)
	s := &server{b: b, num: t.nextNum, hash: hash, side: float64(hash>>11) / (1 << 53), cache: newCache(limit), untold: t.cfg.PerToken}
	t.nums[s.num] = s
	return s
}

func (t *Table) regroup() {
	old := t.groups
	t.groups, t.leaving = map[groupKey]*group{}, map[string][]*server{}
	for _, s := range t.servers {
		s.group = nil
		if s.b.State == world.Leaving {
			t.leaving[s.b.Service] = append(t.leaving[s.b.Service], s)
		}
		if s.b.State != world.Ready {
			continue
		}
		for _, v := range s.b.Versions {
			key := groupKey{s.b.Service, v}
			g := t.groups[key]
			if g == nil {
				g = &group{}
				if o := old[key]; o != nil {
					g.others, g.review, g.first, g.prompt = o.others, o.review, o.first, o.prompt
					g.tokens, g.reviewTokens = o.tokens, o.reviewTokens
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
			g.price += s.b.Price / float64(len(g.servers))
			if s.group == g && s.health.ejected() {
				g.ejected++
			}
		}
		slices.SortFunc(g.servers, func(a, b *server) int { return int(a.num) - int(b.num) })
	}
}

// Started records that a request was sent. The prompt counts as cached from now on.
// It has no effect if the server has restarted or left since Pick.
func (t *Table) Started(id string, cost Cost, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[id]
	if s == nil || s.num != cost.server {
		return
	}
	s.own++
	s.step(now, 1)
	reviewTokens := 0.0
	if cost.Class == world.Review {
		s.ownRev++
		reviewTokens = float64(cost.MaxTokens)
	}
	if s.busy.Before(now) {
		s.busy = now
	}
	s.busy = s.busy.Add(time.Duration(cost.UncachedTokens) * s.perToken())
	s.health.started(now)
	if g := s.group; g != nil {
		// Slots are held for as long as answers are generated, so a few long
		// reviews may need most of the fleet.
		g.tokens = smooth(g.tokens, float64(cost.MaxTokens), groupWeight)
		g.reviewTokens = smooth(g.reviewTokens, reviewTokens, groupWeight)
		g.review = g.reviewTokens / max(g.tokens, 1)
		g.prompt = smooth(g.prompt, float64(cost.UncachedTokens), groupWeight)
	}
	for _, h := range cost.Prefix {
		t.index.add(h, s.num)
		s.cache.add(h)
	}
}

// FirstToken records how long a request took to its first token. Late first tokens
// show load that reports do not show yet. It has no effect if the server has restarted
// or left since Pick.
func (t *Table) FirstToken(c Choice, took time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[c.Backend.ID]
	if s == nil || s.num != c.Cost.server {
		return
	}
	miss := min(max((took-c.Expected).Seconds(), -biasMax), biasMax)
	s.bias, s.biasAt = smooth(s.biasNow(now), miss, biasWeight), now
	g := s.group
	if g == nil {
		return
	}
	s.health.first(took.Seconds())
	if s.health.slow(g.first) {
		t.eject(s, now)
	}
	g.first = smooth(g.first, took.Seconds(), groupWeight)
}

// Ended records that a request ended. It has no effect if the server has
// restarted or left since Pick.
func (t *Table) Ended(id string, res Result, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[id]
	if s == nil || s.own == 0 || s.num != res.Cost.server {
		return
	}
	s.own--
	s.step(now, -1)
	if res.Cost.Class == world.Review && s.ownRev > 0 {
		s.ownRev--
	}
	if s.health.result(res.Failed) || res.Unreached {
		t.eject(s, now)
	}
	if res.Failed {
		return
	}
	if s.health.ejected() && !s.health.probe.IsZero() {
		t.readmit(s)
	}
	if s.took == 0 {
		s.took = res.Took.Seconds()
	}
	s.took = smooth(s.took, res.Took.Seconds(), groupWeight)
}

// Report records a load report. Older reports than the last are ignored.
func (t *Table) Report(id string, load world.Load, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[id]
	if s == nil || s.seen && !load.At.After(s.load.At) {
		return
	}
	s.load, s.seen = load, true
	if s.group != nil {
		s.group.others = smooth(s.group.others, s.others(), 1/float64(4+len(s.group.servers)))
	}
}

// Cache records cache events. Resync tells which servers must send all blocks.
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

// Holds records that a server has read the pieces of a prompt for another
// instance.
func (t *Table) Holds(id string, prefix []uint64) {
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

// Resync returns the servers whose prefix map has a gap and that were not asked
// within resyncPause. The caller asks each for its whole cache content.
func (t *Table) Resync(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for id, s := range t.servers {
		if s.b.State == world.Ready && s.cache.distrusted && now.Sub(s.cache.asked) >= resyncPause {
			s.cache.asked = now
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Outstanding returns this instance's requests on a server.
func (t *Table) Outstanding(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[id]; s != nil {
		return s.own
	}
	return 0
}

func (s *server) step(now time.Time, delta int) {
	if len(s.recent) < recentSteps {
		s.recent = append(s.recent, step{now, delta})
		return
	}
	s.recent[s.next] = step{now, delta}
	s.next = (s.next + 1) % recentSteps
}

// others is the load from other instances when the last report was measured.
func (s *server) others() float64 {
	own := s.own
	for _, r := range s.recent {
		if r.at.After(s.load.At) {
			own -= r.delta
		}
	}
	return float64(max(s.load.Running+s.load.Waiting-max(own, 0), 0))
}

func (s *server) perToken() time.Duration {
	if s.load.PrefillPerToken > 0 {
		return s.load.PrefillPerToken
	}
	return s.untold
}

func (s *server) biasNow(now time.Time) float64 {
	if s.bias == 0 {
		return 0
	}
	return s.bias * math.Exp(-now.Sub(s.biasAt).Seconds()/biasSeconds)
}

func smooth(old, v, weight float64) float64 { return old + (v-old)*weight }
