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

// Latency targets, as on the design page.
const (
	firstTokenTarget    = 950 * time.Millisecond
	betweenTokensTarget = 37 * time.Millisecond
)

// maxWorkAfterMark is how long a server may get new requests after it was marked as
// leaving.
const maxWorkAfterMark = 3 * time.Second

// Promises of the system whose breaches are counted.
const (
	promiseWrong      = "wrongAnswer"     // an answer was incomplete or wrong
	promiseLost       = "lostAccepted"    // an accepted request was not finished
	promiseOrderTwice = "orderTwice"      // an order was executed more than once
	promiseNotRun     = "notRunExecuted"  // the response for an executed order was "not-run"
	promiseLeaving    = "workForLeaving"  // a server got new requests more than 3 s after it was marked as leaving
	promiseCrashes    = "tooManyCrashes"  // one request crashed more than two servers
	promiseUnexecuted = "answeredNotRun"  // an answered order was not executed
	promiseResume     = "wrongResumption" // an engine had to resume an answer after wrong tokens
	promiseMoveEnd    = "moveStatements"  // a version move did not end with exactly one move.ended event by its deadline
)

// Promises returns the names of all promises, in the order of the table.
func Promises() []string {
	return []string{
		promiseWrong, promiseLost, promiseOrderTwice, promiseNotRun, promiseUnexecuted, promiseLeaving, promiseCrashes, promiseResume, promiseMoveEnd,
	}
}

// maxDetails is the maximum number of details of broken promises in a result.
const maxDetails = 12

// outcome is the outcome of one request, as seen by its caller.
type outcome struct {
	ID            string
	Org           string
	Class         world.Class
	Kind          string
	FirstLatency  time.Duration // to the first token, or to the answer to an order
	Gaps          []time.Duration
	Codes         []string // error codes that the caller received before the end
	WithinTarget  bool     // answered within the latency target
	MixedVersions bool     // begun by the new version of a move, continued by the old one
	breaches      []breach
}

type breach struct{ promise, detail string }

func (o outcome) withBreach(promise, detail string) outcome {
	o.breaches = append(o.breaches, breach{promise, o.ID + ": " + detail})
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

// orderReplies records the replies that callers got to their orders.
type orderReplies struct {
	mu       sync.Mutex
	answered map[string]bool // by idempotency key
	notRun   map[string]bool // by request id
}

func (l *orderReplies) add(key string, answered bool, notRun []string) {
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

// Latency holds the latencies of one request class, in milliseconds.
type Latency struct {
	Answers    int     `json:"answers"`
	FirstP50   float64 `json:"firstP50"`
	FirstP95   float64 `json:"firstP95"`
	BetweenP95 float64 `json:"betweenP95"` // between streamed events
}

// Result holds the results of one policy in a scenario.
type Result struct {
	Policy   string         `json:"policy"`
	Partial  bool           `json:"partial"` // the run was interrupted
	Requests int            `json:"requests"`
	Outcomes map[string]int `json:"outcomes"`
	// Codes counts the error responses by code, including those of requests that were
	// answered after a retry.
	Codes   map[string]int     `json:"codes"`
	Latency map[string]Latency `json:"latency"` // by class
	// SmallP95 is the 95th percentile of the time to first token for all organisations
	// except the large one, in milliseconds.
	SmallP95 float64 `json:"smallOrganisationsFirstP95"`
	// Cost is the cost of the instances during the load, in currency units.
	Cost         float64 `json:"cost"`
	WithinTarget int     `json:"met"` // answers within the latency target
	// CostPerThousand is the cost of a thousand answers within the latency target, or 0
	// if there are none.
	CostPerThousand  float64        `json:"costPerThousand,omitempty"`
	RecomputedTokens int            `json:"recomputedTokens"`
	PrefilledTokens  int            `json:"prefilledTokens"`
	PromptTokens     int            `json:"promptTokens"`
	StreamsExported  int            `json:"streamsExported"`
	StreamsReplayed  int            `json:"streamsReplayed"`
	FailedAttempts   int            `json:"failedAttempts"`
	BrokenPromises   map[string]int `json:"brokenPromises"`
	BreachDetails    []string       `json:"brokenDetails,omitempty"`
	Engines          []EngineUse    `json:"engines"`

	// InstancesBought counts the instances that the fleet controller started during the
	// load, and StartsRefused the starts that the cloud refused.
	InstancesBought int `json:"instancesBought,omitempty"`
	StartsRefused   int `json:"startsRefused,omitempty"`
	// ContinuedOnOldVersion counts answers that the new version of a move began and the
	// old version continued after a server was lost.
	ContinuedOnOldVersion int `json:"continuedOnOldVersion,omitempty"`
	// Moves holds the results of the version moves.
	Moves []MoveResult `json:"moves,omitempty"`

	firstTokensMs []float64 // times to first token of model requests, for the plot
}

// BrokenTotal returns the total number of broken promises.
func (r *Result) BrokenTotal() int {
	n := 0
	for _, v := range r.BrokenPromises {
		n += v
	}
	return n
}

func (r *Result) addBreach(promise, detail string) {
	r.BrokenPromises[promise]++
	if len(r.BreachDetails) < maxDetails {
		r.BreachDetails = append(r.BreachDetails, promise+": "+detail)
	}
}

// newHistogram returns a histogram of durations from 1 µs to 2 min with 3 significant
// digits.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 120e6, 3) }

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), 120e6)) // cannot fail: the value is within the range
}

func percentileMs(h *hdrhistogram.Histogram, percentile float64) float64 {
	return math.Round(float64(h.ValueAtPercentile(percentile))/100) / 10
}

// result computes the result of the run. The deployment must still be running.
func (p *policyRun) result() *Result {
	r := &Result{Policy: p.policy, Partial: p.interrupted(), Outcomes: map[string]int{}, Codes: map[string]int{}, Latency: map[string]Latency{}, BrokenPromises: map[string]int{}}
	p.summarise(r)
	r.Cost = p.cost
	if r.WithinTarget > 0 {
		r.CostPerThousand = r.Cost / float64(r.WithinTarget) * 1000
	}
	p.readEngines(r)
	r.Engines = engineUses(p.engines, p.began, p.in.load)
	p.readEvents(r)
	p.checkOrders(r)
	p.checkLeaving(r)
	if p.fleet != nil {
		p.fleet.readFleet(r)
		p.fleet.readMoves(r)
	}
	if limit := 2 * p.in.scenario.mix.poison; limit > 0 && p.crashes.total() > limit {
		r.addBreach(promiseCrashes, fmt.Sprintf("%d crashes by %d distinct requests", p.crashes.total(), p.in.scenario.mix.poison))
	}
	return r
}

func (p *policyRun) summarise(r *Result) {
	classes := []world.Class{world.Lookup, world.Review, world.Call}
	small := newHistogram()
	firstTokens, tokenGaps := map[world.Class]*hdrhistogram.Histogram{}, map[world.Class]*hdrhistogram.Histogram{}
	for _, c := range classes {
		firstTokens[c], tokenGaps[c] = newHistogram(), newHistogram()
	}
	p.outcomes.mu.Lock()
	defer p.outcomes.mu.Unlock()
	r.Requests = len(p.outcomes.all)
	for _, o := range p.outcomes.all {
		r.Outcomes[o.Kind]++
		for _, c := range o.Codes {
			r.Codes[c]++
		}
		if o.WithinTarget {
			r.WithinTarget++
		}
		if o.MixedVersions {
			r.ContinuedOnOldVersion++
		}
		for _, g := range o.Gaps {
			recordDuration(tokenGaps[o.Class], g)
		}
		for _, b := range o.breaches {
			r.addBreach(b.promise, b.detail)
		}
		if o.FirstLatency == 0 {
			continue
		}
		recordDuration(firstTokens[o.Class], o.FirstLatency)
		if o.Class == world.Call {
			continue
		}
		r.firstTokensMs = append(r.firstTokensMs, float64(o.FirstLatency.Microseconds())/1000)
		if o.Org != organisations[0].name {
			recordDuration(small, o.FirstLatency)
		}
	}
	r.SmallP95 = percentileMs(small, 95)
	for _, c := range classes {
		r.Latency[c.String()] = Latency{
			Answers: int(firstTokens[c].TotalCount()), FirstP50: percentileMs(firstTokens[c], 50), FirstP95: percentileMs(firstTokens[c], 95),
			BetweenP95: percentileMs(tokenGaps[c], 95),
		}
	}
}

func (p *policyRun) readEngines(r *Result) {
	newVersionRequests := p.runOnNewVersion()
	for _, e := range p.allEngines() {
		for _, run := range e.Runs() {
			r.RecomputedTokens += run.Recomputed
			r.PrefilledTokens += run.Computed
			r.PromptTokens += run.Prompt
			// Tokens of the new version are not a prefix of the old version's answer. The
			// caller's answerChecker verifies such answers.
			if run.BadResume && !(run.Version == version && newVersionRequests[run.RequestID]) {
				r.addBreach(promiseResume, fmt.Sprintf("%s attempt %d on %s with %d tokens", run.RequestID, run.Attempt, run.Engine, run.Resumed))
			}
		}
	}
}

func (p *policyRun) readEvents(r *Result) {
	countEvents := func(kind string) int { return len(p.site.Timeline(event.Filter{Kind: kind, From: p.began})) }
	r.StreamsExported, r.StreamsReplayed = countEvents("answer.kvMoved"), countEvents("answer.replayed")
	r.FailedAttempts = countEvents("attempt.failed")
}

// checkOrders compares the orders that the desks executed with the replies to callers.
func (p *policyRun) checkOrders(r *Result) {
	p.orderReplies.mu.Lock()
	defer p.orderReplies.mu.Unlock()
	executions := map[string]int{}
	for _, b := range p.orderBook.Bookings() {
		executions[b.Key]++
		if executions[b.Key] > 1 {
			r.addBreach(promiseOrderTwice, fmt.Sprintf("%s by %s, execution %d", b.Key, b.RequestID, executions[b.Key]))
		}
		if p.orderReplies.notRun[b.RequestID] {
			r.addBreach(promiseNotRun, b.Key+" by "+b.RequestID)
		}
	}
	for key, answered := range p.orderReplies.answered {
		if answered && executions[key] == 0 {
			r.addBreach(promiseUnexecuted, key)
		}
	}
}

// checkLeaving checks the times of new requests that leaving servers received and
// refused.
func (p *policyRun) checkLeaving(r *Result) {
	check := func(id string, refusals []time.Time) {
		for _, t := range refusals {
			if mark, ok := p.leavingMarks.latest(id, t); ok && t.Sub(mark) > maxWorkAfterMark {
				r.addBreach(promiseLeaving, fmt.Sprintf("%s got a new request %v after it was marked as leaving", id, t.Sub(mark).Round(time.Millisecond)))
			}
		}
	}
	for _, e := range p.allEngines() {
		check(e.ID(), e.RefusedLeaving())
	}
	for _, d := range p.allDesks() {
		check(d.ID(), d.RefusedLeaving())
	}
}
