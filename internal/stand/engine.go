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

// Defaults of an engine, in the simulated time that Speed divides.
const (
	defaultSlots        = 8
	defaultStepBase     = 12 * time.Millisecond
	defaultStepPerRun   = 400 * time.Microsecond
	defaultPrefillToken = 60 * time.Microsecond
	defaultPrefillChunk = 512 // tokens of prefill work in one step
	defaultMaxWaiting   = 64
	keepEnded           = 10 * time.Second // contract: events of an ended run are kept
	keepImport          = 30 * time.Second // contract: an import is kept
	loadHistory         = 64
)

// EngineConfig sets up an Engine.
type EngineConfig struct {
	Spec
	CacheBlocks     int
	Speed           float64 // simulated seconds per second; 1 if zero
	StepBase        time.Duration
	StepPerRun      time.Duration // added for each decoding run in the batch
	PrefillPerToken time.Duration
	PrefillChunk    int
	MaxWaiting      int // more are refused as not run
	// Sampling makes each run without resume tokens produce other text.
	Sampling        bool
	KVBytesPerToken int           // size of an export
	LoadLag         time.Duration // age of load reports, in real time
	CacheLag        time.Duration // age of cache events, in real time
	CacheGaps       float64       // share of cache publications that are lost
	// Ledger is shared by engines that may run the same requests.
	Ledger *Ledger
}

// Run is what an engine did for one attempt of a request.
type Run struct {
	Engine      string
	Incarnation uint64
	RequestID   string
	Attempt     uint64
	Version     string
	Adapter     string
	Priority    int
	Prompt      int // tokens of the prompt
	Resumed     int // tokens of the answer that the request carried
	Cached      int // tokens taken from the prefix cache or KV bytes
	Computed    int // tokens of prompt and resumed answer that were computed
	Recomputed  int // of all computed tokens, those that the ledger knew
	Generated   int // new tokens of the answer
	Completed   bool
	Reason      string // of the end; "failed" or "crashed" without a last event
	BadResume   bool   // the resume tokens are not a prefix of the answer
	Started     time.Time
	Ended       time.Time
}

// Engine simulates a model engine.
type Engine struct {
	server
	cfg EngineConfig

	// The fields below are guarded by server.mu.
	cache    *prefixCache
	runs     map[string]*run // by request id; running and kept
	active   []*run
	waiting  []*run
	imports  map[string]importedKV
	records  []*Run
	faults   faultList
	streams  StreamFaults
	poison   string
	nextID   uint64
	emitted  int // tokens since rateAt
	rate     float64
	rateAt   time.Time
	reports  []loadReport
	wakeLoop chan struct{}
}

type loadReport struct {
	at   time.Time
	load wireLoad
}

// NewEngine starts an engine.
func NewEngine(cfg EngineConfig) (*Engine, error) {
	cfg = cfg.withDefaults()
	e := &Engine{
		cfg: cfg, cache: newPrefixCache(cfg.CacheBlocks), runs: map[string]*run{},
		imports: map[string]importedKV{}, wakeLoop: make(chan struct{}, 1), rateAt: time.Now(),
	}
	if err := e.start(cfg.Spec, "model", e); err != nil {
		return nil, err
	}
	e.wg.Go(e.loop)
	return e, nil
}

func (c EngineConfig) withDefaults() EngineConfig {
	c.Slots = cmp.Or(c.Slots, defaultSlots)
	c.Speed = cmp.Or(c.Speed, 1)
	c.StepBase = cmp.Or(c.StepBase, defaultStepBase)
	c.StepPerRun = cmp.Or(c.StepPerRun, defaultStepPerRun)
	c.PrefillPerToken = cmp.Or(c.PrefillPerToken, defaultPrefillToken)
	c.PrefillChunk = cmp.Or(c.PrefillChunk, defaultPrefillChunk)
	c.MaxWaiting = cmp.Or(c.MaxWaiting, defaultMaxWaiting)
	if c.Ledger == nil {
		c.Ledger = NewLedger()
	}
	return c
}

// SetPoison makes the engine crash when it begins to run a prompt that contains
// the marker. An empty marker turns this off.
func (e *Engine) SetPoison(marker string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.poison = marker
}

// SetVersionFaults replaces the faults of versions.
func (e *Engine) SetVersionFaults(f ...VersionFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = newFaults(f, time.Now())
}

// SetStreamFaults replaces the faults of streams that begin from now on.
func (e *Engine) SetStreamFaults(f StreamFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.streams = f
}

// Runs returns what the engine did, over all incarnations, in order of arrival.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Run, len(e.records))
	for i, r := range e.records {
		out[i] = *r
	}
	return out
}

// Warm puts the blocks of a prompt into the prefix cache.
func (e *Engine) Warm(prompt string, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.add(world.Blocks(prompt), now)
}

// CachedBlocks returns the content of the prefix cache.
func (e *Engine) CachedBlocks() []uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]uint64, 0, len(e.cache.at))
	for h := range e.cache.at {
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

func (e *Engine) crashed() {
	now := time.Now()
	for _, r := range append(e.active, e.waiting...) {
		r.end(now, "crashed", nil)
	}
	e.active, e.waiting = nil, nil
	e.runs, e.imports = map[string]*run{}, map[string]importedKV{}
	e.cache, e.reports = newPrefixCache(e.cfg.CacheBlocks), nil
}

func (e *Engine) busy() bool { return len(e.active)+len(e.waiting) > 0 }

func (e *Engine) cleaned() { e.crashed() }

func (e *Engine) resync() { e.cache.full = true }

func (e *Engine) announce(now time.Time, m *wireState) {
	m.CacheBlocks = e.cfg.CacheBlocks
	m.CacheEvents = lose(e.cache.publish(now.Add(-e.cfg.CacheLag)), e.cfg.CacheGaps, e.rng)
	e.reports = append(e.reports, loadReport{now, e.load(now)})
	if len(e.reports) > loadHistory {
		e.reports = e.reports[1:]
	}
	rep := e.reports[0]
	for _, r := range e.reports {
		if now.Sub(r.at) >= e.cfg.LoadLag {
			rep = r
		}
	}
	m.Load = rep.load
	m.Load.AgeMillis = now.Sub(rep.at).Milliseconds()
}

func (e *Engine) load(now time.Time) wireLoad {
	if d := now.Sub(e.rateAt); d >= time.Second/2 {
		e.rate = float64(e.emitted) / d.Seconds()
		e.emitted, e.rateAt = 0, now
	}
	l := wireLoad{
		Running: len(e.active), Waiting: len(e.waiting), TokensPerSecond: e.rate,
		PrefillMicros: float64(e.cfg.PrefillPerToken) / float64(time.Microsecond) / e.cfg.Speed,
	}
	if e.cfg.CacheBlocks > 0 {
		l.CacheUsed = float64(e.cache.order.Len()) / float64(e.cfg.CacheBlocks)
	}
	return l
}

// loop runs the batch, one step after the other, until Close.
func (e *Engine) loop() {
	next := time.Now()
	for e.thawed(e.ctx) {
		d := e.plan(time.Now())
		if d == 0 {
			select {
			case <-e.wakeLoop:
			case <-e.ctx.Done():
			}
			next = time.Now()
			continue
		}
		// Steps are laid end to end, so that timer granularity does not add up;
		// a loop that has fallen behind does not catch up with a burst.
		next = next.Add(time.Duration(float64(d) / e.cfg.Speed))
		wait := time.Until(next)
		if wait < -20*time.Millisecond {
			next = time.Now()
		}
		if wait > 0 && !sleep(e.ctx, wait) {
			return
		}
		e.finishStep(time.Now())
	}
}

// plan fills the batch and returns the simulated length of its next step.
func (e *Engine) plan(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.alive {
		return 0
	}
	e.expire(now)
	e.admit(now)
	if len(e.active) == 0 {
		return 0
	}
	d, budget := e.cfg.StepBase, float64(e.cfg.PrefillChunk)
	for _, r := range e.active {
		if r.prefill <= 0 {
			r.share = 0
			d += e.cfg.StepPerRun
			continue
		}
		r.share = min(budget, float64(r.prefill)*r.slow)
		budget -= r.share
		d += time.Duration(r.share * float64(e.cfg.PrefillPerToken))
	}
	return d
}

// admit moves waiting runs into the batch, most urgent first. A run that has not
// produced a token of this attempt gives its place to a more urgent one.
func (e *Engine) admit(now time.Time) {
	byUrgency := func(a, b *run) int { return cmp.Compare(a.req.Priority, b.req.Priority) }
	slices.SortStableFunc(e.waiting, byUrgency)
	for len(e.waiting) > 0 && e.alive {
		r := e.waiting[0]
		if len(e.active) >= e.cfg.Slots {
			victim := -1
			for i, a := range e.active {
				if a.prefill > 0 && a.req.Priority > r.req.Priority && (victim < 0 || a.req.Priority >= e.active[victim].req.Priority) {
					victim = i
				}
			}
			if victim < 0 {
				break
			}
			e.waiting = append(e.waiting, e.active[victim])
			e.active = slices.Delete(e.active, victim, victim+1)
			slices.SortStableFunc(e.waiting, byUrgency)
		}
		e.waiting = slices.DeleteFunc(e.waiting, func(w *run) bool { return w == r })
		e.active = append(e.active, r)
		e.lookUp(r, now)
	}
	slices.SortStableFunc(e.active, byUrgency)
}

// lookUp looks up what a run need not compute.
func (e *Engine) lookUp(r *run, now time.Time) {
	if r.begun {
		return
	}
	r.begun = true
	if e.poison != "" && contains(r.req.Prompt, e.poison) {
		e.crash()
		return
	}
	hit := e.faults.hit(r.req.Version, []string{className(r.req.Priority), r.req.Adapter}, "", len(e.active), now, e.rng)
	if hit.crashes {
		e.crash()
		return
	}
	r.fails, r.slow = hit.fails, hit.slow
	all := r.record.Prompt + r.record.Resumed
	cached := min(e.cache.hits(r.blocks)*world.BlockBytes/bytesPerToken, r.record.Prompt)
	if kv, ok := e.imports[r.req.KV]; ok && kv.matches(r) {
		delete(e.imports, r.req.KV)
		cached = max(cached, r.record.Prompt+min(kv.Position, r.record.Resumed))
	}
	r.record.Cached, r.done = cached, cached
	// The last token of the input is always run, to produce the next one.
	r.prefill = max(all-cached, 1)
	r.record.Computed = all - cached
}

// finishStep completes a step: prefill work is done and each decoding run has
// one more token.
func (e *Engine) finishStep(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range slices.Clone(e.active) {
		if r.over || !slices.Contains(e.active, r) {
			continue
		}
		if r.prefill > 0 {
			e.finishPrefill(r, now)
			continue
		}
		if r.share != 0 { // admitted or completed its prefill during this step
			continue
		}
		if r.credit += 1 / r.slow; r.credit < 1 {
			continue
		}
		r.credit--
		if r.fails {
			e.endRun(r, now, "failed", &wireEvent{Error: &wireError{"failed", "the run failed"}})
			continue
		}
		e.emit(r, now)
	}
}

func (e *Engine) finishPrefill(r *run, now time.Time) {
	r.share /= r.slow
	step := min(r.prefill, max(int(r.share), 1))
	if r.share == 0 {
		return
	}
	r.prefill -= step
	all := r.record.Prompt + r.record.Resumed
	to := min(r.done+step, all)
	r.record.Recomputed += e.cfg.Ledger.computed(r.req.RequestID, r.done, to)
	r.done = to
	if r.prefill > 0 {
		return
	}
	e.cache.add(r.blocks, now)
	if len(r.tokens) >= r.req.MaxTokens {
		e.complete(r, now, "length")
	}
}

func (e *Engine) emit(r *run, now time.Time) {
	r.append(tokenAt(r.base, r.salt, len(r.tokens)))
	r.record.Generated++
	e.emitted++
	all := r.record.Prompt + len(r.tokens)
	r.record.Recomputed += e.cfg.Ledger.computed(r.req.RequestID, all-1, all)
	if len(r.tokens) >= r.req.MaxTokens {
		e.complete(r, now, "length")
	}
}

func (e *Engine) complete(r *run, now time.Time, reason string) {
	u := usage{
		PromptTokens: r.record.Prompt, CachedTokens: r.record.Cached, CompletionTokens: len(r.tokens),
	}
	if r.record.Resumed > 0 {
		u.RecomputedTokens = r.record.Computed
	}
	pos := len(r.tokens)
	e.endRun(r, now, reason, &wireEvent{Pos: &pos, Done: true, Reason: reason, Usage: &u})
}

func (e *Engine) endRun(r *run, now time.Time, reason string, last *wireEvent) {
	is := func(a *run) bool { return a == r }
	e.active = slices.DeleteFunc(e.active, is)
	e.waiting = slices.DeleteFunc(e.waiting, is)
	r.end(now, reason, last)
	e.stir()
}

// expire forgets ended runs and imports that were kept long enough.
func (e *Engine) expire(now time.Time) {
	for id, r := range e.runs {
		if r.over && now.Sub(r.record.Ended) > keepEnded {
			delete(e.runs, id)
		}
	}
	for id, kv := range e.imports {
		if now.Sub(kv.at) > keepImport {
			delete(e.imports, id)
		}
	}
}

// stir wakes the loop.
func (e *Engine) stir() {
	select {
	case e.wakeLoop <- struct{}{}:
	default:
	}
}

// newSalt returns the salt of a new run of a sampling engine.
func (e *Engine) newSalt() string {
	e.nextID++
	return fmt.Sprintf("%08x", uint32(xxhash.Sum64String(fmt.Sprint(e.spec.ID, e.spec.Seed, e.incarnation, e.nextID))))
}

func className(priority int) string {
	return world.Class(min(max(priority, 0), int(world.Review))).String()
}
