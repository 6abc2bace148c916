// Package demo runs a complete deployment in one process, injects faults of engines,
// instances and a version move, and checks the promises of the system. The demonstration
// introduces new users to the system and serves as a quick end-to-end check.
package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"cranberrypath.example/cranberrypath/internal/event"
	"cranberrypath.example/cranberrypath/internal/oprcli"
	"cranberrypath.example/cranberrypath/internal/site"
	"cranberrypath.example/cranberrypath/internal/stand"
	"cranberrypath.example/cranberrypath/pkg/caller"
	"cranberrypath.example/cranberrypath/pkg/decl"
)

// Error is the class of this package's errors.
var Error = errs.Class("demo")

const (
	engineCount = 6
	streamCount = 24
	orderCount  = 12
	// reclaimNotice is the time between a reclaim notice and the end of the engine.
	reclaimNotice = 1500 * time.Millisecond
	// engineSpeed is the speed of the simulated engines relative to real ones. Streams
	// must be slow enough to be running when their engines stop.
	engineSpeed = 1
	// activationLimit is the promised maximum time for a configuration change to become
	// active on all nodes.
	activationLimit = 4 * time.Second
	// moveDeadline is the deadline of the version move; a bad version is detected much
	// earlier.
	moveDeadline  = 15 * time.Second
	lookupWorkers = 12
)

var dataCentres = []string{"north", "east", "west"}

// Options configures a run of the demonstration.
type Options struct {
	Seed uint64
	JSON bool
	Out  io.Writer
}

// Promise is one promise of the system and whether it held.
type Promise struct {
	Name   string `json:"name"`
	Held   bool   `json:"held"`
	Detail string `json:"detail"`
}

// Summary is the result of a run.
type Summary struct {
	Seed     uint64         `json:"seed"`
	Seconds  float64        `json:"seconds"`
	Promises []Promise      `json:"promises"`
	Events   map[string]int `json:"events"` // number of events by kind
	Held     bool           `json:"held"`   // all promises held
}

// demonstration is the state of one run.
type demonstration struct {
	opt       Options
	rng       *rand.Rand
	site      *site.Site
	orderBook *stand.BookingStore
	mu        sync.Mutex
	summary   Summary
}

// Run runs the demonstration and prints a summary. Broken promises are reported in the
// summary; an error means that the demonstration could not run.
func Run(ctx context.Context, opt Options) (Summary, error) {
	began := time.Now()
	r := &demonstration{opt: opt, rng: rand.New(rand.NewPCG(opt.Seed, 1)), orderBook: stand.NewBookingStore(), summary: Summary{Seed: opt.Seed, Held: true}}
	r.printf("seed %d: three data centres, %d entry nodes, %d engines", opt.Seed, 2*len(dataCentres), engineCount)
	if err := r.startDeployment(ctx); err != nil {
		return Summary{}, err
	}
	defer r.site.Close()
	for _, step := range []func(context.Context) error{r.runWithoutFaults, r.runWithFaults, r.changePreset, r.moveBadVersion, r.drainEntryNode} {
		if err := step(ctx); err != nil {
			return Summary{}, err
		}
	}
	r.summary.Events = map[string]int{}
	for _, e := range r.site.Timeline(event.Filter{}) {
		r.summary.Events[e.Kind]++
	}
	r.summary.Seconds = time.Since(began).Seconds()
	return r.summary, r.printSummary()
}

func (r *demonstration) printf(format string, args ...any) {
	if !r.opt.JSON {
		fmt.Fprintf(r.opt.Out, format+"\n", args...)
	}
}

// record records whether a promise held.
func (r *demonstration) record(name string, held bool, format string, args ...any) {
	p := Promise{Name: name, Held: held, Detail: fmt.Sprintf(format, args...)}
	r.mu.Lock()
	r.summary.Promises = append(r.summary.Promises, p)
	r.summary.Held = r.summary.Held && held
	r.mu.Unlock()
	r.printf("  %s", p)
}

// String formats the promise as one line.
func (p Promise) String() string {
	status := "held  "
	if !p.Held {
		status = "BROKEN"
	}
	return status + " " + p.Name + ": " + p.Detail
}

func (r *demonstration) startDeployment(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	d, err := decl.Parse("demo", []byte(declarationJSON()))
	if err != nil {
		return Error.Wrap(err)
	}
	r.site, err = site.Start(ctx, site.Config{
		Seed: r.opt.Seed, DataCentres: dataCentres, EntriesPerDataCentre: 2, ControlInstances: 3, Declaration: d, DrainSeconds: 4,
	})
	if err != nil {
		return Error.Wrap(err)
	}
	ledger := stand.NewComputeTracker()
	for i := range engineCount {
		if err := r.addEngine(i, "v1", ledger); err != nil {
			return err
		}
	}
	for i := range 2 {
		if _, err := r.site.AddDesk(stand.DeskConfig{Spec: r.serverSpec(i, "desk", "orders", "v1"), Path: "/orders", Store: r.orderBook}); err != nil {
			return Error.Wrap(err)
		}
	}
	return Error.Wrap(r.site.WaitForBackends(ctx, engineCount+2))
}

func (r *demonstration) serverSpec(i int, kind, service, version string) stand.Spec {
	dc := dataCentres[i%len(dataCentres)]
	return stand.Spec{
		ID: fmt.Sprintf("%s-%d", kind, i+1), Service: service, Versions: []string{version}, DataCentre: dc, Zone: dc + "-a",
		MachineClass: "small", Reclaimable: true, Price: 1, Slots: 16, AnnounceInterval: 300 * time.Millisecond, Seed: r.opt.Seed + uint64(i),
	}
}

func (r *demonstration) addEngine(i int, version string, ledger *stand.ComputeTracker) error {
	_, err := r.site.AddEngine(stand.EngineConfig{
		Spec: r.serverSpec(i, "engine", "drafts", version), CacheBlocks: 4096, Speed: engineSpeed, ComputeTracker: ledger,
	})
	return Error.Wrap(err)
}

func declarationJSON() string {
	return `{
	"dataCentres": [{"name": "north", "region": "r"}, {"name": "east", "region": "r"}, {"name": "west", "region": "r"}],
	"machineClasses": [{"name": "small", "accelerators": 1, "onDemandPrice": 2, "reclaimablePrice": 1}],
	"services": [
		{"name": "drafts", "kind": "model", "versions": ["v1", "v2"], "version": "v1", "machineClass": "small", "slots": 16},
		{"name": "orders", "kind": "plain", "versions": ["v1"], "version": "v1", "machineClass": "small", "path": "/orders"}],
	"organisations": [
		{"name": "builders", "weight": 2, "keys": ["` + decl.HashKey("builders-key") + `"]},
		{"name": "yard", "weight": 1, "keys": ["` + decl.HashKey("yard-key") + `"]}],
	"presets": [
		{"name": "ordinary", "longShare": 0.8, "capacity": [{"service": "drafts", "min": 4, "max": 8}]},
		{"name": "maintenance", "longShare": 0.9, "capacity": [{"service": "drafts", "min": 4, "max": 8}]}],
	"moves": {"firstShare": 0.1, "soakSeconds": 1, "falseAlarm": 0.01}}`
}

// newCaller returns a client for caller i, with an organisation and a data centre
// chosen in turn.
func (r *demonstration) newCaller(i int) *caller.Client {
	key := []string{"builders-key", "yard-key"}[i%2]
	return caller.New(caller.Config{Seeds: r.site.CallerAddrs(), Key: key, DataCentre: dataCentres[i%len(dataCentres)], MaxAttempts: 20})
}

// streamResult is the result of one stream.
type streamResult struct {
	id         string
	complete   bool
	failure    string
	reconnects int
	pause      time.Duration // the longest between two tokens
}

// runStreams runs n streams of about the given number of tokens and compares each answer
// with the text that an engine generates without faults.
func (r *demonstration) runStreams(ctx context.Context, n, tokens int) []streamResult {
	out := make([]streamResult, n)
	var wg sync.WaitGroup
	for i := range n {
		prompt := fmt.Sprintf("Site survey %d: plinth for a barn, load class %d. ", r.rng.IntN(1000), r.rng.IntN(9)) + strings.Repeat("As before. ", r.rng.IntN(60))
		seed := r.rng.Int64N(1 << 30)
		length := tokens/2 + r.rng.IntN(tokens)
		wg.Go(func() {
			c := r.newCaller(i)
			defer c.Close()
			out[i] = runStream(ctx, c, caller.Request{Model: "drafts", Prompt: prompt, Seed: seed, MaxTokens: length})
		})
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
	return out
}

func runStream(ctx context.Context, c *caller.Client, req caller.Request) streamResult {
	s, err := c.Complete(ctx, req)
	if err != nil {
		return streamResult{failure: err.Error()}
	}
	defer s.Close()
	text, pause, err := readAll(s)
	res := streamResult{id: s.ID(), reconnects: s.Reconnects, pause: pause}
	want := stand.Generator{Model: "drafts", Version: "v1", Prompt: req.Prompt, Seed: uint64(req.Seed)}
	switch {
	case err != nil:
		res.failure = fmt.Sprintf("stream %s ended at token %d of %d: %v", s.ID(), s.Position(), req.MaxTokens, err)
	case text != strings.Join(want.Tokens(req.MaxTokens), ""):
		res.failure = fmt.Sprintf("stream %s differs from the expected text", s.ID())
	default:
		res.complete = true
	}
	return res
}

// readAll reads a stream to its end and returns the longest pause between two tokens.
func readAll(s *caller.Stream) (string, time.Duration, error) {
	var text strings.Builder
	var pause time.Duration
	for last := (time.Time{}); ; last = time.Now() {
		ev, err := s.Next()
		switch {
		case errors.Is(err, io.EOF):
			return text.String(), pause, nil
		case err != nil:
			return text.String(), pause, Error.Wrap(err)
		case !last.IsZero():
			pause = max(pause, time.Since(last))
		}
		text.WriteString(ev.Text)
	}
}

// pausePercentile returns a percentile of the longest pauses of the streams that were resumed,
// or 0 if none was.
func pausePercentile(all []streamResult, percent int) time.Duration {
	var pauses []time.Duration
	for _, x := range all {
		if x.reconnects > 0 {
			pauses = append(pauses, x.pause)
		}
	}
	if len(pauses) == 0 {
		return 0
	}
	slices.Sort(pauses)
	return pauses[min(len(pauses)*percent/100, len(pauses)-1)].Round(time.Millisecond)
}

func countResults(all []streamResult) (complete, reconnects int, firstFailure string) {
	for _, x := range all {
		reconnects += x.reconnects
		if x.complete {
			complete++
		} else if firstFailure == "" {
			firstFailure = "; " + x.failure
		}
	}
	return complete, reconnects, firstFailure
}

// runWithoutFaults runs streams without faults.
func (r *demonstration) runWithoutFaults(ctx context.Context) error {
	r.printf("no faults: %d streams", streamCount)
	complete, _, firstFailure := countResults(r.runStreams(ctx, streamCount, 60))
	r.record("whole answers", complete == streamCount, "%d of %d streams equal the expected text%s", complete, streamCount, firstFailure)
	return nil
}

// runWithFaults reclaims two engines and crashes a third one and an entry node while
// streams run and each order is sent twice.
func (r *demonstration) runWithFaults(ctx context.Context) error {
	r.printf("faults: two engines are reclaimed, a third engine and an entry node crash, orders are sent twice")
	var wg sync.WaitGroup
	var all []streamResult
	wg.Go(func() { all = r.runStreams(ctx, streamCount, 250) })
	wg.Go(func() { r.sendOrders(ctx) })
	time.Sleep(700 * time.Millisecond)
	firstReclaimed := r.busiestEngine()
	firstReclaimed.Reclaim(time.Now().Add(reclaimNotice))
	time.Sleep(300 * time.Millisecond)
	secondReclaimed := r.busiestEngine(firstReclaimed)
	secondReclaimed.Reclaim(time.Now().Add(reclaimNotice))
	time.Sleep(300 * time.Millisecond)
	r.busiestEngine(firstReclaimed, secondReclaimed).Crash()
	err := r.site.StopInstance(ctx, r.busiestNode(), false)
	wg.Wait()
	complete, reconnects, firstFailure := countResults(all)
	r.record("accepted requests survive", complete == streamCount,
		"%d of %d streams equal the expected text; %d resumed at another entry node%s", complete, streamCount, reconnects, firstFailure)
	moved := len(r.site.Timeline(event.Filter{Kind: "answer.replayed"})) + len(r.site.Timeline(event.Filter{Kind: "answer.kvMoved"}))
	crashed := len(r.site.Timeline(event.Filter{Kind: "attempt.failed"}))
	r.record("the disturbances hit running work", moved > 0 && crashed > 0 && reconnects > 0,
		"%d streams migrated from reclaimed engines, %d attempts failed in the crashes", moved, crashed)
	return Error.Wrap(err)
}

// busiestEngine returns the running engine with the most attempts in flight that is
// not in exclude.
func (r *demonstration) busiestEngine(exclude ...*stand.Engine) *stand.Engine {
	var best *stand.Engine
	mostRunning := -1
	for _, e := range r.site.Engines() {
		running := 0
		for _, x := range e.Runs() {
			if x.Ended.IsZero() {
				running++
			}
		}
		if running > mostRunning && e.Alive() && !slices.Contains(exclude, e) {
			best, mostRunning = e, running
		}
	}
	return best
}

// busiestNode returns the number of the entry node with the most attempts in flight.
func (r *demonstration) busiestNode() int {
	best, mostRunning := 0, int64(-1)
	for i := range r.site.InstanceCount() {
		if n := r.site.Instance(i); n != nil && n.Entry().Counts().Running > mostRunning {
			best, mostRunning = i, n.Entry().Counts().Running
		}
	}
	return best
}

// sendOrders sends each order twice with the same idempotency key, by two clients.
func (r *demonstration) sendOrders(ctx context.Context) {
	var wg sync.WaitGroup
	lastFailure := ""
	for i := range orderCount {
		for sendNumber := range 2 {
			wg.Go(func() {
				c := r.newCaller(2 * i) // both clients belong to the same organisation
				defer c.Close()
				time.Sleep(time.Duration(i*80+sendNumber*20) * time.Millisecond)
				_, err := c.Call(ctx, "POST", "/orders", fmt.Sprintf("order-%d", i), fmt.Appendf(nil, `{"pour": %d}`, i))
				if err != nil {
					r.mu.Lock()
					lastFailure = "; " + err.Error()
					r.mu.Unlock()
				}
			})
		}
	}
	wg.Wait()
	once, twice := 0, 0
	for i := range orderCount {
		switch r.orderBook.Executions(fmt.Sprintf("order-%d", i)) {
		case 0:
		case 1:
			once++
		default:
			twice++
		}
	}
	r.record("orders run at most once", twice == 0, "%d orders sent twice: %d ran once, %d more often%s", orderCount, once, twice, lastFailure)
}

// changePreset changes the preset, waits until the change is active on all nodes, and
// repeats the command.
func (r *demonstration) changePreset(ctx context.Context) error {
	r.printf("an operator changes the preset")
	c := r.site.OperatorClient()
	defer c.Close()
	id := oprcli.NewCommandID()
	accepted, err := c.SetPreset(ctx, id, "maintenance", 0)
	if err != nil {
		return Error.Wrap(err)
	}
	waitCtx, cancel := context.WithTimeout(ctx, activationLimit)
	defer cancel()
	began := time.Now()
	err = r.site.WaitForVersion(waitCtx, accepted.Version)
	r.record("in force everywhere", err == nil, "version %d after %d ms at %d nodes", accepted.Version, time.Since(began).Milliseconds(), len(r.site.Instances()))
	repeated, err := c.SetPreset(ctx, id, "maintenance", 0)
	if err != nil {
		return Error.Wrap(err)
	}
	r.record("repeated commands", repeated.Version == accepted.Version, "the repeated command got the first answer, version %d", repeated.Version)
	return nil
}

// moveBadVersion starts a version move to a version that fails every request, and waits
// for the move to end. Callers' lookups must not fail meanwhile.
func (r *demonstration) moveBadVersion(ctx context.Context) error {
	r.printf("version move: the new version fails every request")
	for i := range 2 {
		e, err := r.site.AddEngine(stand.EngineConfig{Spec: r.serverSpec(engineCount+i, "engine", "drafts", "v2"), CacheBlocks: 4096, Speed: engineSpeed})
		if err != nil {
			return Error.Wrap(err)
		}
		e.SetVersionFaults(stand.VersionFault{Version: "v2", Fail: true})
	}
	op := r.site.OperatorClient()
	defer op.Close()
	started, err := op.StartMove(ctx, oprcli.NewCommandID(), "drafts", "v2", time.Now().Add(moveDeadline))
	if err != nil {
		return Error.Wrap(err)
	}
	stopLookups := r.startLookups(ctx)
	var m oprcli.Move
	for began := time.Now(); time.Since(began) < moveDeadline; time.Sleep(100 * time.Millisecond) {
		if m, err = op.Move(ctx, started.Move.ID); err == nil && m.Outcome != "" {
			break
		}
	}
	sent, failed, firstFailure := stopLookups()
	attempts := 0
	for _, e := range r.site.Engines() {
		for _, x := range e.Runs() {
			if x.Version == "v2" {
				attempts++
			}
		}
	}
	r.record("a bad version is taken back", m.Outcome == "takenBack",
		"outcome %q: %s; %d of %d lookups reached it", m.Outcome, m.Reason, attempts, sent)
	r.record("a bad version fails no caller", failed == 0, "%d of %d lookups failed%s", failed, sent, firstFailure)
	return nil
}

// startLookups sends short requests in the background. The returned function stops them
// and returns their numbers and the first failure.
func (r *demonstration) startLookups(ctx context.Context) (stop func() (sent, failed int, firstFailure string)) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var all []streamResult
	for w := range lookupWorkers {
		wg.Go(func() {
			c := r.newCaller(w)
			defer c.Close()
			for n := 0; ctx.Err() == nil; n++ {
				// A request in flight completes even after the loop is stopped.
				s, err := c.Complete(context.WithoutCancel(ctx), caller.Request{Model: "drafts", Prompt: fmt.Sprintf("yard phone %d, question %d", w, n), MaxTokens: 4})
				res := streamResult{complete: err == nil}
				if err == nil {
					_, _, err = s.ReadAll()
					s.Close()
					res.complete = err == nil
				}
				if err != nil {
					res.failure = err.Error()
				}
				mu.Lock()
				all = append(all, res)
				mu.Unlock()
			}
		})
	}
	return func() (int, int, string) {
		cancel()
		wg.Wait()
		complete, _, firstFailure := countResults(all)
		return len(all), len(all) - complete, firstFailure
	}
}

// drainEntryNode drains an entry node while streams run.
func (r *demonstration) drainEntryNode(ctx context.Context) error {
	r.printf("planned stop: an entry node drains while streams run")
	all := r.stopBusiestNode(ctx, 150)
	complete, reconnects, firstFailure := countResults(all)
	pause := ""
	if reconnects > 0 {
		pause = fmt.Sprintf(", median of their longest pauses %v", pausePercentile(all, 50))
	}
	r.record("a planned stop cuts nothing", complete == streamCount, "%d of %d streams complete; %d resumed at another entry node%s%s", complete, streamCount, reconnects, pause, firstFailure)
	return nil
}

// stopBusiestNode stops the busiest entry node as planned while streams of about the given
// number of tokens run.
func (r *demonstration) stopBusiestNode(ctx context.Context, tokens int) []streamResult {
	var all []streamResult
	var wg sync.WaitGroup
	wg.Go(func() { all = r.runStreams(ctx, streamCount, tokens) })
	time.Sleep(400 * time.Millisecond)
	i := r.busiestNode()
	settings := r.site.Settings(i)
	drainCtx, cancel := context.WithTimeout(ctx, time.Duration(settings.DrainSeconds)*time.Second)
	defer cancel()
	_ = r.site.StopInstance(drainCtx, i, true)
	wg.Wait()
	return all
}

func (r *demonstration) printSummary() error {
	if r.opt.JSON {
		e := json.NewEncoder(r.opt.Out)
		e.SetIndent("", "  ")
		return Error.Wrap(e.Encode(r.summary))
	}
	verdict := "every promise held"
	if !r.summary.Held {
		verdict = "a promise was BROKEN"
	}
	r.printf("%s in %.1f s (seed %d)", verdict, r.summary.Seconds, r.summary.Seed)
	r.printf("events: %d answers done, %d replayed, %d moved with their KV cache, %d taken over by another entry node",
		r.summary.Events["answer.done"], r.summary.Events["answer.replayed"], r.summary.Events["answer.kvMoved"], r.summary.Events["answer.takenOver"])
	return nil
}
