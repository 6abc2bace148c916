package stand

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cranberrypath.example/cranberrypath/internal/world"
)

// Defaults of an engine. Step and prefill times are simulated and divided by Speed.
const (
	defaultSlots           = 8
	defaultStepBase        = 12 * time.Millisecond
	defaultStepPerRun      = 400 * time.Microsecond
	defaultPrefillPerToken = 60 * time.Microsecond
	defaultPrefillChunk    = 512 // prefill tokens per step
	defaultMaxWaiting      = 64
	endedRunTTL            = 10 * time.Second // the contract requires that ended runs can be resumed this long
	importTTL              = 30 * time.Second // the contract requires that imports are kept this long
	maxLoadReports         = 64
)

// EngineConfig configures an Engine.
type EngineConfig struct {
	Spec
	CacheBlocks     int
	Speed           float64 // simulated seconds per second; 1 if zero
	StepBase        time.Duration
	StepPerRun      time.Duration // added for each run in the decode phase
	PrefillPerToken time.Duration
	PrefillChunk    int
	MaxWaiting      int // further requests are refused as not run
	// Sampling makes each run without resume tokens produce a different text.
	Sampling        bool
	KVBytesPerToken int           // size of exported KV caches
	LoadLag         time.Duration // age of load reports, in real time
	CacheLag        time.Duration // age of cache events, in real time
	CacheEventLoss  float64       // share of cache publications that are dropped
	// Ledger is shared by engines that may run the same requests; a new one if nil.
	Ledger *Ledger
}

// Run records how an engine processed one attempt of a request.
type Run struct {
	Engine       string
	Incarnation  uint64
	RequestID    string
	Attempt      uint64
	Version      string
	Adapter      string
	Priority     int
	Prompt       int // prompt tokens
	Resumed      int // resume tokens in the request
	CachedTokens int // tokens taken from the prefix cache or an imported KV cache
	Computed     int // prompt and resume tokens that were not cached
	Recomputed   int // computed tokens, new ones included, that the Ledger had recorded before
	Generated    int // new answer tokens
	Completed    bool
	Reason       string // why the run ended: the reason of its last event, "failed" or "crashed"
	BadResume    bool   // the resume tokens are not a prefix of the answer text
	Started      time.Time
	Ended        time.Time
}

// Engine simulates a model engine.
type Engine struct {
	server
	cfg EngineConfig

	// The fields below are guarded by server.mu.
	cache           *prefixCache
	runs            map[string]*run // by request id; includes ended runs until they expire
	active          []*run
	waiting         []*run
	imports         map[string]kvExport
	records         []*Run
	versionFaults   faultList
	streamFaults    StreamFaults
	poisonMarker    string
	nextID          uint64
	tokensSinceRate int // tokens generated since tokenRateAt
	tokenRate       float64
	tokenRateAt     time.Time
	loadReports     []loadReport
	wakeBatch       chan struct{}
}

type loadReport struct {
	at   time.Time
	load announcedLoad
}

// NewEngine starts an engine.
func NewEngine(cfg EngineConfig) (*Engine, error) {
	cfg = cfg.withDefaults()
	e := &Engine{
		cfg: cfg, cache: newPrefixCache(cfg.CacheBlocks), runs: map[string]*run{},
		imports: map[string]kvExport{}, wakeBatch: make(chan struct{}, 1), tokenRateAt: time.Now(),
	}
	if err := e.start(cfg.Spec, "model", e); err != nil {
		return nil, err
	}
	e.wg.Go(e.batchLoop)
	return e, nil
}

func (c EngineConfig) withDefaults() EngineConfig {
	c.Slots = cmp.Or(c.Slots, defaultSlots)
	c.Speed = cmp.Or(c.Speed, 1)
	c.StepBase = cmp.Or(c.StepBase, defaultStepBase)
	c.StepPerRun = cmp.Or(c.StepPerRun, defaultStepPerRun)
	c.PrefillPerToken = cmp.Or(c.PrefillPerToken, defaultPrefillPerToken)
	c.PrefillChunk = cmp.Or(c.PrefillChunk, defaultPrefillChunk)
	c.MaxWaiting = cmp.Or(c.MaxWaiting, defaultMaxWaiting)
	if c.Ledger == nil {
		c.Ledger = NewLedger()
	}
	return c
}

// SetPoison makes the engine crash when it starts to run a prompt that contains
// marker. An empty marker disables this.
func (e *Engine) SetPoison(marker string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.poisonMarker = marker
}

// SetVersionFaults replaces the version faults.
func (e *Engine) SetVersionFaults(f ...VersionFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.versionFaults = newFaultList(f, time.Now())
}

// SetStreamFaults replaces the faults of future streams.
func (e *Engine) SetStreamFaults(f StreamFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.streamFaults = f
}

// Runs returns the records of all runs over all incarnations, in order of arrival.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Run, len(e.records))
	for i, r := range e.records {
		out[i] = *r
	}
	return out
}

// Warm adds the blocks of a prompt to the prefix cache.
func (e *Engine) Warm(prompt string, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.add(world.Blocks(prompt), now)
}

// CachedBlocks returns the block hashes in the prefix cache, in no particular order.
func (e *Engine) CachedBlocks() []uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]uint64, 0, len(e.cache.elements))
	for h := range e.cache.elements {
		out = append(out, h)
	}
	return out
}

func (e *Engine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /engine/generate", e.handleGenerate)
	mux.HandleFunc("POST /engine/resume", e.handleResume)
	mux.HandleFunc("POST /engine/cancel", e.handleCancel)
	mux.HandleFunc("POST /engine/export", e.handleExport)
	mux.HandleFunc("POST /engine/import", e.handleImport)
	return mux
}

func (e *Engine) onCrash() {
	now := time.Now()
	for _, r := range append(e.active, e.waiting...) {
		r.finish(now, "crashed", nil)
	}
	e.active, e.waiting = nil, nil
	e.runs, e.imports = map[string]*run{}, map[string]kvExport{}
	e.cache, e.loadReports = newPrefixCache(e.cfg.CacheBlocks), nil
}

func (e *Engine) busy() bool { return len(e.active)+len(e.waiting) > 0 }

func (e *Engine) onCleaned() { e.onCrash() }

func (e *Engine) onResyncCache() { e.cache.publishFull = true }

func (e *Engine) fillAnnouncement(now time.Time, m *announcement) {
	m.CacheBlocks = e.cfg.CacheBlocks
	m.CacheEvents = maybeDrop(e.cache.publish(now.Add(-e.cfg.CacheLag)), e.cfg.CacheEventLoss, e.rng)
	e.loadReports = append(e.loadReports, loadReport{now, e.currentLoad(now)})
	if len(e.loadReports) > maxLoadReports {
		e.loadReports = e.loadReports[1:]
	}
	report := e.loadReports[0]
	for _, r := range e.loadReports {
		if now.Sub(r.at) >= e.cfg.LoadLag {
			report = r
		}
	}
	m.Load = report.load
	m.Load.AgeMillis = now.Sub(report.at).Milliseconds()
}

func (e *Engine) currentLoad(now time.Time) announcedLoad {
	if d := now.Sub(e.tokenRateAt); d >= time.Second/2 {
		e.tokenRate = float64(e.tokensSinceRate) / d.Seconds()
		e.tokensSinceRate, e.tokenRateAt = 0, now
	}
	l := announcedLoad{
		Running: len(e.active), Waiting: len(e.waiting), TokensPerSecond: e.tokenRate,
		PrefillMicros: float64(e.cfg.PrefillPerToken) / float64(time.Microsecond) / e.cfg.Speed,
	}
	if e.cfg.CacheBlocks > 0 {
		l.CacheUsed = float64(e.cache.lru.Len()) / float64(e.cfg.CacheBlocks)
	}
	return l
}

// batchLoop runs the steps of the batch until Close.
func (e *Engine) batchLoop() {
	next := time.Now()
	for e.waitThawed(e.ctx) {
		d := e.planStep(time.Now())
		if d == 0 {
			select {
			case <-e.wakeBatch:
			case <-e.ctx.Done():
			}
			next = time.Now()
			continue
		}
		// Each step starts at the scheduled end of the last one, so that timer error
		// doesn't accumulate. A loop that is far behind resets its schedule, so that it
		// doesn't catch up in a burst.
		next = next.Add(time.Duration(float64(d) / e.cfg.Speed))
		untilNext := time.Until(next)
		if untilNext < -20*time.Millisecond {
			next = time.Now()
		}
		if untilNext > 0 && !sleep(e.ctx, untilNext) {
			return
		}
		e.finishStep(time.Now())
	}
}

// planStep fills the batch and returns the simulated duration of its next step, or 0
// if there is no work.
func (e *Engine) planStep(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.alive {
		return 0
	}
	e.dropExpired(now)
	e.admit(now)
	if len(e.active) == 0 {
		return 0
	}
	d, budget := e.cfg.StepBase, float64(e.cfg.PrefillChunk)
	for _, r := range e.active {
		if r.prefillLeft <= 0 {
			r.stepPrefill = 0
			d += e.cfg.StepPerRun
			continue
		}
		r.stepPrefill = min(budget, float64(r.prefillLeft)*r.slowdown)
		budget -= r.stepPrefill
		d += time.Duration(r.stepPrefill * float64(e.cfg.PrefillPerToken))
	}
	return d
}

// admit moves waiting runs into the batch, most urgent first. If the batch is full, a
// more urgent run preempts a run that is still in its prefill phase.
func (e *Engine) admit(now time.Time) {
	byPriority := func(a, b *run) int { return cmp.Compare(a.req.Priority, b.req.Priority) }
	slices.SortStableFunc(e.waiting, byPriority)
	for len(e.waiting) > 0 && e.alive {
		r := e.waiting[0]
		if len(e.active) >= e.cfg.Slots {
			victim := -1
			for i, a := range e.active {
				if a.prefillLeft > 0 && a.req.Priority > r.req.Priority && (victim < 0 || a.req.Priority >= e.active[victim].req.Priority) {
					victim = i
				}
			}
			if victim < 0 {
				break
			}
			e.waiting = append(e.waiting, e.active[victim])
			e.active = slices.Delete(e.active, victim, victim+1)
			slices.SortStableFunc(e.waiting, byPriority)
		}
		e.waiting = slices.DeleteFunc(e.waiting, func(w *run) bool { return w == r })
		e.active = append(e.active, r)
		e.beginRun(r, now)
	}
	slices.SortStableFunc(e.active, byPriority)
}

// beginRun applies the faults that hit a run when it first enters the batch, and
// determines how many tokens of its input are cached.
func (e *Engine) beginRun(r *run, now time.Time) {
	if r.begun {
		return
	}
	r.begun = true
	if e.poisonMarker != "" && contains(r.req.Prompt, e.poisonMarker) {
		e.crash()
		return
	}
	eff := e.versionFaults.effectOn(r.req.Version, []string{classOfPriority(r.req.Priority), r.req.Adapter}, "", len(e.active), now, e.rng)
	if eff.crashes {
		e.crash()
		return
	}
	r.fails, r.slowdown = eff.fails, eff.slowdown
	total := r.record.Prompt + r.record.Resumed
	cached := min(e.cache.cachedPrefix(r.blocks)*world.BlockBytes/bytesPerToken, r.record.Prompt)
	if kv, ok := e.imports[r.req.KV]; ok && kv.matches(r) {
		delete(e.imports, r.req.KV)
		cached = max(cached, r.record.Prompt+min(kv.Position, r.record.Resumed))
	}
	r.record.CachedTokens, r.processed = cached, cached
	// The last input token is always computed, since it produces the next token.
	r.prefillLeft = max(total-cached, 1)
	r.record.Computed = total - cached
}

// finishStep applies the results of a step: prefill progress, and one token for each
// run in the decode phase.
func (e *Engine) finishStep(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range slices.Clone(e.active) {
		if r.ended || !slices.Contains(e.active, r) {
			continue
		}
		if r.prefillLeft > 0 {
			e.advancePrefill(r, now)
			continue
		}
		if r.stepPrefill != 0 { // was in the prefill phase when the step was planned
			continue
		}
		if r.credit += 1 / r.slowdown; r.credit < 1 {
			continue
		}
		r.credit--
		if r.fails {
			e.endRun(r, now, "failed", &streamEvent{Error: &errorBody{"failed", "the run failed"}})
			continue
		}
		e.emitToken(r, now)
	}
}

func (e *Engine) advancePrefill(r *run, now time.Time) {
	r.stepPrefill /= r.slowdown
	n := min(r.prefillLeft, max(int(r.stepPrefill), 1))
	if r.stepPrefill == 0 {
		return
	}
	r.prefillLeft -= n
	total := r.record.Prompt + r.record.Resumed
	to := min(r.processed+n, total)
	r.record.Recomputed += e.cfg.Ledger.markComputed(r.req.RequestID, r.processed, to)
	r.processed = to
	if r.prefillLeft > 0 {
		return
	}
	e.cache.add(r.blocks, now)
	if len(r.tokens) >= r.req.MaxTokens {
		e.completeRun(r, now, "length")
	}
}

func (e *Engine) emitToken(r *run, now time.Time) {
	r.append(tokenAt(r.textHash, r.salt, len(r.tokens)))
	r.record.Generated++
	e.tokensSinceRate++
	total := r.record.Prompt + len(r.tokens)
	r.record.Recomputed += e.cfg.Ledger.markComputed(r.req.RequestID, total-1, total)
	if len(r.tokens) >= r.req.MaxTokens {
		e.completeRun(r, now, "length")
	}
}

func (e *Engine) completeRun(r *run, now time.Time, reason string) {
	u := usage{
		PromptTokens: r.record.Prompt, CachedTokens: r.record.CachedTokens, CompletionTokens: len(r.tokens),
	}
	if r.record.Resumed > 0 {
		u.RecomputedTokens = r.record.Computed
	}
	pos := len(r.tokens)
	e.endRun(r, now, reason, &streamEvent{Pos: &pos, Done: true, Reason: reason, Usage: &u})
}

func (e *Engine) endRun(r *run, now time.Time, reason string, finalEvent *streamEvent) {
	isRun := func(a *run) bool { return a == r }
	e.active = slices.DeleteFunc(e.active, isRun)
	e.waiting = slices.DeleteFunc(e.waiting, isRun)
	r.finish(now, reason, finalEvent)
	e.wakeBatchLoop()
}

// dropExpired deletes ended runs and imports after their TTL.
func (e *Engine) dropExpired(now time.Time) {
	for id, r := range e.runs {
		if r.ended && now.Sub(r.record.Ended) > endedRunTTL {
			delete(e.runs, id)
		}
	}
	for id, kv := range e.imports {
		if now.Sub(kv.importedAt) > importTTL {
			delete(e.imports, id)
		}
	}
}

// wakeBatchLoop wakes batchLoop after a change of the runs.
func (e *Engine) wakeBatchLoop() {
	select {
	case e.wakeBatch <- struct{}{}:
	default:
	}
}

// newSalt returns a unique salt for a run of a sampling engine.
func (e *Engine) newSalt() string {
	e.nextID++
	return fmt.Sprintf("%08x", uint32(xxhash.Sum64String(fmt.Sprint(e.spec.ID, e.spec.Seed, e.incarnation, e.nextID))))
}

func classOfPriority(priority int) string {
	return world.Class(min(max(priority, 0), int(world.Review))).String()
}
