package bench

import (
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cranberrypath.example/cranberrypath/internal/event"
	"cranberrypath.example/cranberrypath/internal/world"
)

// The latency target of the design scale.
const (
	targetFirst   = 950 * time.Millisecond
	targetBetween = 37 * time.Millisecond
)

// leavingLimit is how long after its mark a leaving server may still get new work.
const leavingLimit = 3 * time.Second

// Promises whose breaches are counted.
const (
	promiseWrong   = "wrongAnswer"     // not the complete and right answer
	promiseLost    = "lostAccepted"    // an accepted request was not finished
	promiseTwice   = "orderTwice"      // an order was executed more than once
	promiseNotRun  = "notRunExecuted"  // "not-run" was said of an executed order
	promiseLeaving = "workForLeaving"  // new work for a server marked more than 3 s before
	promisePoison  = "tooManyCrashes"  // one request crashed more than two servers
	promiseUnsent  = "answeredNotRun"  // an answered order was not executed
	promiseResume  = "wrongResumption" // an engine was told to continue after wrong tokens
	promiseEnd     = "moveStatements"  // a version move did not end with exactly one statement by its deadline
)

// Promises returns the names of all promises in the order of the table.
func Promises() []string {
	return []string{
		promiseWrong, promiseLost, promiseTwice, promiseNotRun, promiseUnsent, promiseLeaving, promisePoison, promiseResume, promiseEnd,
	}
}

// keptDetails bounds the details of broken promises in a result.
const keptDetails = 12

// outcome is how one request ended for its caller.
type outcome struct {
	ID     string
	Org    string
	Class  world.Class
	Kind   string
	First  time.Duration // to the first token, or to the answer of an order
	Gaps   []time.Duration
	Codes  []string // of the errors that the caller received on the way
	Met    bool     // answered within the target
	Mixed  bool     // begun by a version on trial, continued by the old one
	broken []breach
}

type breach struct{ promise, detail string }

func (o outcome) with(promise, detail string) outcome {
	o.broken = append(o.broken, breach{promise, o.ID + ": " + detail})
	return o
}

// outcomes collects the outcomes of one run.
type outcomes struct {
	mu  sync.Mutex
	all []outcome
}

func (l *outcomes) add(o outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, o)
}

// orderLedger keeps what callers were told about their orders.
type orderLedger struct {
	mu       sync.Mutex
	answered map[string]bool // by key
	notRun   map[string]bool // by the request id of a send
}

func (l *orderLedger) add(key string, answered bool, notRun []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.answered == nil {
		l.answered, l.notRun = map[string]bool{}, map[string]bool{}
	}
	l.answered[key] = answered
	for _, id := range notRun {
		l.notRun[id] = true
	}
}

// Latency holds the latencies of one class, in milliseconds.
type Latency struct {
	Answers    int     `json:"answers"`
	FirstP50   float64 `json:"firstP50"`
	FirstP95   float64 `json:"firstP95"`
	BetweenP95 float64 `json:"betweenP95"` // between streamed events
}

// Result is what one policy did in a scenario.
type Result struct {
	Policy   string         `json:"policy"`
	Partial  bool           `json:"partial"` // the run was interrupted
	Requests int            `json:"requests"`
	Outcomes map[string]int `json:"outcomes"`
	// Codes counts the error responses, also of requests that were answered later.
	Codes   map[string]int     `json:"codes"`
	Latency map[string]Latency `json:"latency"` // by class
	// SmallP95 is the 95th percentile of the first token of all organisations but
	// the large one, in milliseconds.
	SmallP95 float64 `json:"smallOrganisationsFirstP95"`
	// Cost is instance price times time, in currency units.
	Cost float64 `json:"cost"`
	Met  int     `json:"met"` // answers within the target
	// CostPerThousand is the cost of a thousand answers within the target; it is
	// absent if there was none.
	CostPerThousand float64        `json:"costPerThousand,omitempty"`
	Recomputed      int            `json:"recomputedTokens"`
	Prefilled       int            `json:"prefilledTokens"`
	Prompt          int            `json:"promptTokens"`
	Exported        int            `json:"streamsExported"`
	Replayed        int            `json:"streamsReplayed"`
	FailedAttempts  int            `json:"failedAttempts"`
	Broken          map[string]int `json:"brokenPromises"`
	Details         []string       `json:"brokenDetails,omitempty"`
	Engines         []EngineUse    `json:"engines"`

	// Bought counts the instances that the fleet controller started during the
	// load, and Refused the starts that the cloud refused.
	Bought  int `json:"instancesBought,omitempty"`
	Refused int `json:"startsRefused,omitempty"`
	// Mixed counts answers that a version on trial began and, after its server was
	// lost, the old version continued.
	Mixed int `json:"continuedOnOldVersion,omitempty"`
	// Moves are the version moves of the scenario.
	Moves []MoveResult `json:"moves,omitempty"`

	first []float64 // first tokens of model requests in milliseconds, for the plot
}

// BrokenTotal returns the number of broken promises.
func (r *Result) BrokenTotal() int {
	n := 0
	for _, v := range r.Broken {
		n += v
	}
	return n
}

func (r *Result) breach(promise, detail string) {
	r.Broken[promise]++
	if len(r.Details) < keptDetails {
		r.Details = append(r.Details, promise+": "+detail)
	}
}

// histogram of durations from 1 µs to 2 min with 3 digits.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 120e6, 3) }

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), 120e6)) // the value is in range
}

func millis(h *hdrhistogram.Histogram, percentile float64) float64 {
	return math.Round(float64(h.ValueAtPercentile(percentile))/100) / 10
}

// judge computes the result of the run. The deployment must still exist.
func (p *player) judge() *Result {
	r := &Result{Policy: p.policy, Partial: p.interrupted(), Outcomes: map[string]int{}, Codes: map[string]int{}, Latency: map[string]Latency{}, Broken: map[string]int{}}
	p.summarise(r)
	r.Cost = p.cost
	if r.Met > 0 {
		r.CostPerThousand = r.Cost / float64(r.Met) * 1000
	}
	p.readEngines(r)
	r.Engines = usesOf(p.engines, p.began, p.in.load)
	p.readEvents(r)
	p.checkOrders(r)
	p.checkLeaving(r)
	if p.rented != nil {
		p.rented.readFleet(r)
		p.rented.readMoves(r)
	}
	if limit := 2 * p.in.scene.mix.poison; limit > 0 && p.crashes.total() > limit {
		r.breach(promisePoison, fmt.Sprintf("%d crashes by %d distinct requests", p.crashes.total(), p.in.scene.mix.poison))
	}
	return r
}

func (p *player) summarise(r *Result) {
	classes := []world.Class{world.Lookup, world.Review, world.Call}
	small := newHistogram()
	firsts, betweens := map[world.Class]*hdrhistogram.Histogram{}, map[world.Class]*hdrhistogram.Histogram{}
	for _, c := range classes {
		firsts[c], betweens[c] = newHistogram(), newHistogram()
	}
	p.results.mu.Lock()
	defer p.results.mu.Unlock()
	r.Requests = len(p.results.all)
	for _, o := range p.results.all {
		r.Outcomes[o.Kind]++
		for _, c := range o.Codes {
			r.Codes[c]++
		}
		if o.Met {
			r.Met++
		}
		if o.Mixed {
			r.Mixed++
		}
		for _, g := range o.Gaps {
			record(betweens[o.Class], g)
		}
		for _, b := range o.broken {
			r.breach(b.promise, b.detail)
		}
		if o.First == 0 {
			continue
		}
		record(firsts[o.Class], o.First)
		if o.Class == world.Call {
			continue
		}
		r.first = append(r.first, float64(o.First.Microseconds())/1000)
		if o.Org != organisations[0].name {
			record(small, o.First)
		}
	}
	r.SmallP95 = millis(small, 95)
	for _, c := range classes {
		r.Latency[c.String()] = Latency{
			Answers: int(firsts[c].TotalCount()), FirstP50: millis(firsts[c], 50), FirstP95: millis(firsts[c], 95),
			BetweenP95: millis(betweens[c], 95),
		}
	}
}

func (p *player) readEngines(r *Result) {
	trial := p.onTrial()
	for _, e := range p.servers() {
		for _, run := range e.Runs() {
			r.Recomputed += run.Recomputed
			r.Prefilled += run.Computed
			r.Prompt += run.Prompt
			// What a version on trial began is no prefix of the old version's answer;
			// the caller's check covers the text.
			if run.BadResume && !(run.Version == version && trial[run.RequestID]) {
				r.breach(promiseResume, fmt.Sprintf("%s attempt %d on %s with %d tokens", run.RequestID, run.Attempt, run.Engine, run.Resumed))
			}
		}
	}
}

func (p *player) readEvents(r *Result) {
	count := func(kind string) int { return len(p.site.Timeline(event.Filter{Kind: kind, From: p.began})) }
	r.Exported, r.Replayed = count("answer.kvMoved"), count("answer.replayed")
	r.FailedAttempts = count("attempt.failed")
}

// checkOrders compares the book of the order desks with what callers were told.
func (p *player) checkOrders(r *Result) {
	p.orders.mu.Lock()
	defer p.orders.mu.Unlock()
	seen := map[string]int{}
	for _, b := range p.book.Bookings() {
		seen[b.Key]++
		if seen[b.Key] > 1 {
			r.breach(promiseTwice, fmt.Sprintf("%s by %s, execution %d", b.Key, b.RequestID, seen[b.Key]))
		}
		if p.orders.notRun[b.RequestID] {
			r.breach(promiseNotRun, b.Key+" by "+b.RequestID)
		}
	}
	for key, answered := range p.orders.answered {
		if answered && seen[key] == 0 {
			r.breach(promiseUnsent, key)
		}
	}
}

// checkLeaving looks at the new work that leaving servers received and refused.
func (p *player) checkLeaving(r *Result) {
	check := func(id string, refusals []time.Time) {
		for _, t := range refusals {
			if mark, ok := p.marks.latest(id, t); ok && t.Sub(mark) > leavingLimit {
				r.breach(promiseLeaving, fmt.Sprintf("%s got new work %v after its mark", id, t.Sub(mark).Round(time.Millisecond)))
			}
		}
	}
	for _, e := range p.servers() {
		check(e.ID(), e.RefusedLeaving())
	}
	for _, d := range p.plain() {
		check(d.ID(), d.RefusedLeaving())
	}
}
