// Package demo runs a whole deployment in one process, lets engines, instances
// and a version move disturb it and checks that the promises held. It is the
// first thing that a new user sees, and a quick check of the whole.
package demo

import (
	"context"
	"encoding/json"
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
	// notice is the time between a reclaim notice and the end of the engine.
	notice = 1500 * time.Millisecond
	// speed of the simulated engines against real ones. Streams must be slow
	// enough to be running when their engines go.
	speed = 1
	// inForceLimit is the promise for a configuration change.
	inForceLimit = 4 * time.Second
	// moveDeadline of the version move; a bad version is found long before.
	moveDeadline  = 15 * time.Second
	lookupWorkers = 12
)

var dataCentres = []string{"north", "east", "west"}

// Options of a run.
type Options struct {
	Seed uint64
	JSON bool
	Out  io.Writer
}

// Promise is one promise and whether it held.
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
	Events   map[string]int `json:"events"` // number of events of the time line by kind
	Held     bool           `json:"held"`   // every promise
}

// run is the state of one demonstration.
type run struct {
	opt  Options
	rng  *rand.Rand
	site *site.Site
	book *stand.Book
	mu   sync.Mutex
	sum  Summary
}

// Run runs the demonstration and prints its summary. The error tells why it could
// not run; broken promises are in the summary.
func Run(ctx context.Context, opt Options) (Summary, error) {
	began := time.Now()
	r := &run{opt: opt, rng: rand.New(rand.NewPCG(opt.Seed, 1)), book: stand.NewBook(), sum: Summary{Seed: opt.Seed, Held: true}}
	r.say("seed %d: three data centres, %d entry nodes, %d engines", opt.Seed, 2*len(dataCentres), engineCount)
	if err := r.start(ctx); err != nil {
		return Summary{}, err
	}
	defer r.site.Close()
	for _, act := range []func(context.Context) error{r.steady, r.disturb, r.configure, r.moveBadVersion, r.stopPlanned} {
		if err := act(ctx); err != nil {
			return Summary{}, err
		}
	}
	r.sum.Events = map[string]int{}
	for _, e := range r.site.Timeline(event.Filter{}) {
		r.sum.Events[e.Kind]++
	}
	r.sum.Seconds = time.Since(began).Seconds()
	return r.sum, r.print()
}

func (r *run) say(format string, args ...any) {
	if !r.opt.JSON {
		fmt.Fprintf(r.opt.Out, format+"\n", args...)
	}
}

// promise records whether a promise held.
func (r *run) promise(name string, held bool, format string, args ...any) {
	p := Promise{Name: name, Held: held, Detail: fmt.Sprintf(format, args...)}
	r.mu.Lock()
	r.sum.Promises = append(r.sum.Promises, p)
	r.sum.Held = r.sum.Held && held
	r.mu.Unlock()
	r.say("  %s", p)
}

// String returns the promise as one line.
func (p Promise) String() string {
	mark := "held  "
	if !p.Held {
		mark = "BROKEN"
	}
	return mark + " " + p.Name + ": " + p.Detail
}

func (r *run) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	d, err := decl.Parse("demo", []byte(declaration()))
	if err != nil {
		return Error.Wrap(err)
	}
	r.site, err = site.Start(ctx, site.Config{
		Seed: r.opt.Seed, DataCentres: dataCentres, EntriesPerDataCentre: 2, ControlNodes: 3, Declaration: d, DrainSeconds: 4,
	})
	if err != nil {
		return Error.Wrap(err)
	}
	ledger := stand.NewLedger()
	for i := range engineCount {
		if err := r.addEngine(i, "v1", ledger); err != nil {
			return err
		}
	}
	for i := range 2 {
		if _, err := r.site.AddDesk(stand.DeskConfig{Spec: r.spec(i, "desk", "orders", "v1"), Path: "/orders", Book: r.book}); err != nil {
			return Error.Wrap(err)
		}
	}
	return Error.Wrap(r.site.WaitForBackends(ctx, engineCount+2))
}

func (r *run) spec(i int, kind, service, version string) stand.Spec {
	dc := dataCentres[i%len(dataCentres)]
	return stand.Spec{
		ID: fmt.Sprintf("%s-%d", kind, i+1), Service: service, Versions: []string{version}, DataCentre: dc, Zone: dc + "-a",
		MachineClass: "small", Reclaimable: true, Price: 1, Slots: 16, AnnounceEvery: 300 * time.Millisecond, Seed: r.opt.Seed + uint64(i),
	}
}

func (r *run) addEngine(i int, version string, ledger *stand.Ledger) error {
	_, err := r.site.AddEngine(stand.EngineConfig{
		Spec: r.spec(i, "engine", "drafts", version), CacheBlocks: 4096, Speed: speed, Ledger: ledger,
	})
	return Error.Wrap(err)
}

func declaration() string {
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

// client returns a caller of one organisation in one data centre.
func (r *run) client(i int) *caller.Client {
	key := []string{"builders-key", "yard-key"}[i%2]
	return caller.New(caller.Config{Seeds: r.site.CallerAddrs(), Key: key, DataCentre: dataCentres[i%len(dataCentres)], Tries: 20})
}

// result is what one stream gave.
type result struct {
	id         string
	whole      bool
	detail     string
	reconnects int
}

// streams runs n streams of the given length and compares each with the text
// that an undisturbed engine gives.
func (r *run) streams(ctx context.Context, n, tokens int) []result {
	out := make([]result, n)
	var wg sync.WaitGroup
	for i := range n {
		prompt := fmt.Sprintf("Site survey %d: plinth for a barn, load class %d. ", r.rng.IntN(1000), r.rng.IntN(9)) + strings.Repeat("As before. ", r.rng.IntN(60))
		seed := r.rng.Int64N(1 << 30)
		length := tokens/2 + r.rng.IntN(tokens)
		wg.Go(func() {
			c := r.client(i)
			defer c.Close()
			out[i] = one(ctx, c, caller.Request{Model: "drafts", Prompt: prompt, Seed: seed, MaxTokens: length})
		})
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
	return out
}

func one(ctx context.Context, c *caller.Client, req caller.Request) result {
	s, err := c.Complete(ctx, req)
	if err != nil {
		return result{detail: err.Error()}
	}
	defer s.Close()
	text, _, err := s.ReadAll()
	res := result{id: s.ID(), reconnects: s.Reconnects}
	want := stand.Text{Model: "drafts", Version: "v1", Prompt: req.Prompt, Seed: uint64(req.Seed)}
	switch {
	case err != nil:
		res.detail = fmt.Sprintf("stream %s ended at token %d of %d: %v", s.ID(), s.Position(), req.MaxTokens, err)
	case text != strings.Join(want.Tokens(req.MaxTokens), ""):
		res.detail = fmt.Sprintf("stream %s differs from the undisturbed answer", s.ID())
	default:
		res.whole = true
	}
	return res
}

func tally(all []result) (whole, reconnects int, first string) {
	for _, x := range all {
		reconnects += x.reconnects
		if x.whole {
			whole++
		} else if first == "" {
			first = "; " + x.detail
		}
	}
	return whole, reconnects, first
}

// steady runs streams and orders without disturbance.
func (r *run) steady(ctx context.Context) error {
	r.say("undisturbed: %d streams", streamCount)
	whole, _, first := tally(r.streams(ctx, streamCount, 60))
	r.promise("whole answers", whole == streamCount, "%d of %d streams equal the expected text%s", whole, streamCount, first)
	return nil
}

// disturb reclaims two engines and crashes another one and an entry node while
// streams run and orders are sent twice.
func (r *run) disturb(ctx context.Context) error {
	r.say("two engines reclaimed, a third and an entry node crashed, orders sent twice")
	var wg sync.WaitGroup
	var all []result
	wg.Go(func() { all = r.streams(ctx, streamCount, 250) })
	wg.Go(func() { r.orders(ctx) })
	time.Sleep(700 * time.Millisecond)
	first := r.busiestEngine()
	first.Reclaim(time.Now().Add(notice))
	time.Sleep(300 * time.Millisecond)
	second := r.busiestEngine(first)
	second.Reclaim(time.Now().Add(notice))
	time.Sleep(300 * time.Millisecond)
	r.busiestEngine(first, second).Crash()
	err := r.site.StopNode(ctx, r.busiestNode(), false)
	wg.Wait()
	whole, reconnects, broken := tally(all)
	r.promise("accepted requests survive", whole == streamCount,
		"%d of %d streams equal the undisturbed text; %d continued at another entry node%s", whole, streamCount, reconnects, broken)
	moved := len(r.site.Timeline(event.Filter{Kind: "answer.replayed"})) + len(r.site.Timeline(event.Filter{Kind: "answer.kvMoved"}))
	crashed := len(r.site.Timeline(event.Filter{Kind: "attempt.failed"}))
	r.promise("the disturbances hit running work", moved > 0 && crashed > 0 && reconnects > 0,
		"%d streams moved off reclaimed engines, %d attempts lost to the crash", moved, crashed)
	return Error.Wrap(err)
}

// busiestEngine returns the engine with the most running attempts.
func (r *run) busiestEngine(but ...*stand.Engine) *stand.Engine {
	var best *stand.Engine
	most := -1
	for _, e := range r.site.Engines() {
		running := 0
		for _, x := range e.Runs() {
			if x.Ended.IsZero() {
				running++
			}
		}
		if running > most && e.Alive() && !slices.Contains(but, e) {
			best, most = e, running
		}
	}
	return best
}

// busiestNode returns the number of the entry node with the most running attempts.
func (r *run) busiestNode() int {
	best, most := 0, int64(-1)
	for i := range r.site.NodeCount() {
		if n := r.site.Node(i); n != nil && n.Entry().Counts().Running > most {
			best, most = i, n.Entry().Counts().Running
		}
	}
	return best
}

// orders sends each order at two entry nodes under one key.
func (r *run) orders(ctx context.Context) {
	var wg sync.WaitGroup
	failed := ""
	for i := range orderCount {
		for copy := range 2 {
			wg.Go(func() {
				c := r.client(2 * i) // the same organisation for both
				defer c.Close()
				time.Sleep(time.Duration(i*80+copy*20) * time.Millisecond)
				_, err := c.Call(ctx, "POST", "/orders", fmt.Sprintf("order-%d", i), fmt.Appendf(nil, `{"pour": %d}`, i))
				if err != nil {
					r.mu.Lock()
					failed = "; " + err.Error()
					r.mu.Unlock()
				}
			})
		}
	}
	wg.Wait()
	once, twice := 0, 0
	for i := range orderCount {
		switch r.book.Executions(fmt.Sprintf("order-%d", i)) {
		case 0:
		case 1:
			once++
		default:
			twice++
		}
	}
	r.promise("orders run at most once", twice == 0, "%d orders sent twice: %d ran once, %d more often%s", orderCount, once, twice, failed)
}

// configure changes the preset, sends the command a second time and waits until
// it is in force everywhere.
func (r *run) configure(ctx context.Context) error {
	r.say("an operator changes the preset")
	c := r.site.OperatorClient()
	defer c.Close()
	id := oprcli.NewCommandID()
	first, err := c.SetPreset(ctx, id, "maintenance", 0)
	if err != nil {
		return Error.Wrap(err)
	}
	limited, cancel := context.WithTimeout(ctx, inForceLimit)
	defer cancel()
	began := time.Now()
	err = r.site.WaitForVersion(limited, first.Version)
	r.promise("in force everywhere", err == nil, "version %d after %d ms at %d nodes", first.Version, time.Since(began).Milliseconds(), len(r.site.Nodes()))
	again, err := c.SetPreset(ctx, id, "maintenance", 0)
	if err != nil {
		return Error.Wrap(err)
	}
	r.promise("repeated commands", again.Version == first.Version, "the command sent again got its first answer, version %d", again.Version)
	return nil
}

// moveBadVersion starts a move to a version that fails every request and waits
// for its statement. Lookups of callers must not fail meanwhile.
func (r *run) moveBadVersion(ctx context.Context) error {
	r.say("a version move to a version that fails every request")
	for i := range 2 {
		e, err := r.site.AddEngine(stand.EngineConfig{Spec: r.spec(engineCount+i, "engine", "drafts", "v2"), CacheBlocks: 4096, Speed: speed})
		if err != nil {
			return Error.Wrap(err)
		}
		e.SetVersionFaults(stand.VersionFault{Version: "v2", Fail: true})
	}
	op := r.site.OperatorClient()
	defer op.Close()
	res, err := op.StartMove(ctx, oprcli.NewCommandID(), "drafts", "v2", time.Now().Add(moveDeadline))
	if err != nil {
		return Error.Wrap(err)
	}
	lookups := r.lookups(ctx)
	var m oprcli.Move
	for began := time.Now(); time.Since(began) < moveDeadline; time.Sleep(100 * time.Millisecond) {
		if m, err = op.Move(ctx, res.Move.ID); err == nil && m.Outcome != "" {
			break
		}
	}
	sent, failed, first := lookups()
	ran := 0
	for _, e := range r.site.Engines() {
		for _, x := range e.Runs() {
			if x.Version == "v2" {
				ran++
			}
		}
	}
	r.promise("a bad version is taken back", m.Outcome == "takenBack",
		"outcome %q: %s; %d of %d lookups reached it", m.Outcome, m.Reason, ran, sent)
	r.promise("a bad version fails no caller", failed == 0, "%d of %d lookups failed%s", failed, sent, first)
	return nil
}

// lookups sends short requests until the returned function is called, which
// counts them.
func (r *run) lookups(ctx context.Context) (stop func() (sent, failed int, first string)) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var all []result
	for w := range lookupWorkers {
		wg.Go(func() {
			c := r.client(w)
			defer c.Close()
			for n := 0; ctx.Err() == nil; n++ {
				// The request itself is finished even if the loop is told to stop.
				s, err := c.Complete(context.WithoutCancel(ctx), caller.Request{Model: "drafts", Prompt: fmt.Sprintf("yard phone %d, question %d", w, n), MaxTokens: 4})
				res := result{whole: err == nil}
				if err == nil {
					_, _, err = s.ReadAll()
					s.Close()
					res.whole = err == nil
				}
				if err != nil {
					res.detail = err.Error()
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
		whole, _, first := tally(all)
		return len(all), len(all) - whole, first
	}
}

// stopPlanned drains an entry node while streams run.
func (r *run) stopPlanned(ctx context.Context) error {
	r.say("a planned stop of an entry node while streams run")
	var all []result
	var wg sync.WaitGroup
	wg.Go(func() { all = r.streams(ctx, streamCount, 150) })
	time.Sleep(400 * time.Millisecond)
	i := r.busiestNode()
	set := r.site.Settings(i)
	limited, cancel := context.WithTimeout(ctx, time.Duration(set.DrainSeconds)*time.Second)
	defer cancel()
	_ = r.site.StopNode(limited, i, true)
	wg.Wait()
	whole, reconnects, first := tally(all)
	r.promise("a planned stop cuts nothing", whole == streamCount, "%d of %d streams whole; %d continued elsewhere%s", whole, streamCount, reconnects, first)
	return nil
}

func (r *run) print() error {
	if r.opt.JSON {
		e := json.NewEncoder(r.opt.Out)
		e.SetIndent("", "  ")
		return Error.Wrap(e.Encode(r.sum))
	}
	verdict := "every promise held"
	if !r.sum.Held {
		verdict = "a promise was BROKEN"
	}
	r.say("%s in %.1f s (seed %d)", verdict, r.sum.Seconds, r.sum.Seed)
	r.say("events: %d answers done, %d replayed, %d moved with their KV cache, %d taken over by another entry node",
		r.sum.Events["answer.done"], r.sum.Events["answer.replayed"], r.sum.Events["answer.kvMoved"], r.sum.Events["answer.takenOver"])
	return nil
}
