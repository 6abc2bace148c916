package entry

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/backnd"
	"cranberrypath.example/cranberrypath/internal/clock"
	"cranberrypath.example/cranberrypath/internal/conf"
	"cranberrypath.example/cranberrypath/internal/entry/entrpb"
	"cranberrypath.example/cranberrypath/internal/event"
	"cranberrypath.example/cranberrypath/internal/judge"
	"cranberrypath.example/cranberrypath/internal/limit"
	"cranberrypath.example/cranberrypath/internal/link"
	"cranberrypath.example/cranberrypath/internal/member"
	"cranberrypath.example/cranberrypath/internal/poison"
	"cranberrypath.example/cranberrypath/internal/route"
	"cranberrypath.example/cranberrypath/internal/stand"
	"cranberrypath.example/cranberrypath/internal/store"
	"cranberrypath.example/cranberrypath/internal/stream"
	"cranberrypath.example/cranberrypath/internal/world"
)

// noPeers is a network without peers.
type noPeers struct{}

func (noPeers) Call(context.Context, string, string, proto.Message, proto.Message) error {
	return errors.New("no peers")
}
func (noPeers) Handle(string, link.Handler) {}

type fixedView struct{}

func (fixedView) Current(time.Time) (*store.View, error) {
	return &store.View{Serving: map[string]string{"drafts": "v1"}, Shares: map[string]map[string]float64{"drafts": {"v1": 1}}}, nil
}

// faultyEngines answer each attempt with a stream that is damaged at random
// from a seed.
type faultyEngines struct {
	mu  sync.Mutex
	rng *rand.Rand
	// cancelled attempts by request id
	cancelled map[string][]uint64
}

func (f *faultyEngines) Cancel(_ context.Context, _ world.Backend, id string, attempt uint64) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelled[id] = append(f.cancelled[id], attempt)
	return true, nil
}

func (f *faultyEngines) Export(context.Context, world.Backend, string) ([]byte, int, error) {
	return nil, 0, errors.New("not supported")
}

func (f *faultyEngines) Import(context.Context, world.Backend, []byte) (string, int, error) {
	return "", 0, errors.New("not supported")
}

func (f *faultyEngines) Generate(ctx context.Context, _ world.Backend, r backnd.GenerateRequest) (tokenStream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch f.rng.IntN(12) {
	case 0:
		return nil, &backnd.CallError{Outcome: backnd.NotRun, Code: "busy", Err: errors.New("busy")}
	case 1:
		return nil, &backnd.CallError{Outcome: backnd.Unknown, Err: errors.New("cut")}
	}
	t := stand.Text{Model: r.Model, Version: r.Version, Prompt: r.Prompt, Seed: r.Seed, Salt: strconv.FormatUint(f.rng.Uint64()>>40, 16)}
	if len(r.ResumeTokens) > 0 {
		t.Salt = strings.TrimSuffix(strings.TrimPrefix(r.ResumeTokens[0], "#"), " ")
	}
	return &faultyStream{ctx: ctx, events: f.damage(t.Tokens(r.MaxTokens), len(r.ResumeTokens))}, nil
}

// damage splits the answer into events, then repeats, reorders, drops and
// wrongly ends them.
func (f *faultyEngines) damage(tokens []string, from int) []backnd.Event {
	var out []backnd.Event
	for pos := from; pos < len(tokens); {
		n := min(1+f.rng.IntN(3), len(tokens)-pos)
		out = append(out, backnd.Event{Pos: pos, Tokens: tokens[pos : pos+n]})
		pos += n
	}
	end := backnd.Event{Pos: len(tokens), Done: true, Reason: "length"}
	switch f.rng.IntN(9) {
	case 0:
		end.Reason = "cancelled" // by a late cancel of an older attempt
	case 1:
		end.Reason = "replaced"
	case 2:
		end.Pos = 0 // contradicts the tokens
	}
	out = append(out, end)
	for i := range out {
		switch f.rng.IntN(8) {
		case 0:
			out = append(out, out[i]) // repeated, after the end
		case 1:
			j := min(i+1+f.rng.IntN(2), len(out)-1)
			out[i], out[j] = out[j], out[i]
		}
	}
	switch f.rng.IntN(4) {
	case 0:
		return out[:f.rng.IntN(len(out))]
	case 1:
		i := f.rng.IntN(len(out))
		return append(out[:i:i], out[i+1:]...)
	case 2:
		if from > 0 && f.rng.IntN(2) == 0 { // repeats a known position with different text
			i := f.rng.IntN(len(out))
			return append(out[:i:i], append([]backnd.Event{{Pos: from - 1, Tokens: []string{"other "}}}, out[i:]...)...)
		}
	}
	return out
}

type faultyStream struct {
	ctx    context.Context
	events []backnd.Event
}

func (s *faultyStream) Recv() (backnd.Event, error) {
	if s.ctx.Err() != nil {
		return backnd.Event{}, s.ctx.Err()
	}
	if len(s.events) == 0 {
		return backnd.Event{}, &backnd.CallError{Outcome: backnd.Unknown, Err: io.ErrUnexpectedEOF}
	}
	ev := s.events[0]
	s.events = s.events[1:]
	return ev, nil
}

func (s *faultyStream) Close() error { return nil }

// newTestEntry returns an entry instance without peers that may send to three
// engines.
func newTestEntry(t *testing.T, engines engineAPI, seed uint64) *Entry {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { // the engines are alive: they accept new connections
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			_ = c.Close()
		}
	}()
	settings := conf.Default()
	settings.Node, settings.DataCentre = "n1", "dc1"
	m, err := member.New(member.Config{Node: "n1", DataCentre: "dc1", Cell: "main", Address: "127.0.0.1:1", Lease: time.Hour, Manual: true}, noPeers{})
	if err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		b := world.Backend{
			ID: "engine-" + strconv.Itoa(i), Incarnation: 1, Address: ln.Addr().String(), Service: "drafts", Kind: "model",
			Versions: []string{"v1"}, DataCentre: "dc1", Slots: 1000, State: world.Ready,
		}
		m.Announce(member.Announcement{Backend: b, Seq: 1}, time.Now())
	}
	e := &Entry{
		cfg:    Config{Settings: settings, Configuration: fixedView{}, Events: event.NewLog("n1", &clock.Clock{}, 100, nil), Now: time.Now, Seed: seed},
		member: m, answers: stream.NewRegistry(stream.Config{Node: "n1", TotalBytes: 64 << 20, Keep: time.Minute}),
		router: route.New(route.Config{Seed: seed}), ledger: poison.New(), results: judge.NewRecorder("n1", 1), resyncPending: map[string]bool{},
		engines: engines, firstTokenTimeout: defaultFirstTokenTimeout, restartGrace: time.Millisecond,
	}
	e.serveCtx, e.stopServing = context.WithCancel(context.Background())
	e.runCtx, e.stopRuns = context.WithCancel(context.Background())
	t.Cleanup(func() {
		e.stopServing()
		e.stopRuns()
		e.background.Wait()
		m.Close()
		_ = ln.Close()
	})
	return e
}

// Guards against answers that hang, lack or repeat tokens, or mix two texts
// after duplicated, late, missing, truncated, contradictory or unfinished
// events.
func TestRunSurvivesDamagedStreams(t *testing.T) {
	const schedules, tokens = 2000, 24
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	e := newTestEntry(t, &faultyEngines{rng: rand.New(rand.NewPCG(seed, 0)), cancelled: map[string][]uint64{}}, seed)
	complete, broken := 0, 0
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range schedules {
		acc := &entrpb.Accepted{
			Service: "drafts", Prompt: "prompt " + strconv.Itoa(i), MaxTokens: tokens, Seed: int64(i),
			DeadlineMs: time.Now().Add(time.Minute).UnixMilli(),
		}
		body, err := proto.Marshal(acc)
		if err != nil {
			t.Fatal(err)
		}
		a, err := e.answers.Accept(stream.Request{ID: "acme/" + strconv.Itoa(i), Org: "acme", Service: "drafts", Version: "v1", Body: body}, time.Now())
		if err != nil {
			t.Fatal(err)
		}
		e.startRun(a, nil)
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(e.serveCtx, 20*time.Second)
			defer cancel()
			var text []string
			reason, err := readLocal(ctx, a, 0, func(chunks []stream.Chunk) error {
				for _, c := range chunks {
					text = append(text, c.Text)
				}
				return nil
			})
			mu.Lock()
			defer mu.Unlock()
			want := stand.Text{Model: "drafts", Version: "v1", Prompt: acc.Prompt, Seed: uint64(i)}
			got, firstToken := strings.Join(text, ""), strings.Join(text[:min(1, len(text))], "")
			if got != want.Expected(firstToken, len(text)) {
				t.Errorf("schedule %d: got %q", i, got)
			}
			var be *stream.BrokenError
			switch {
			case err == nil && len(text) == tokens && parseEndInfo(reason).reason == "length":
				complete++
			case errors.As(err, &be) && be.Reason != "" && !be.TakenOver:
				broken++
			default:
				t.Errorf("schedule %d: %d tokens, reason %q, error %v", i, len(text), reason, err)
			}
		})
	}
	wg.Wait()
	t.Logf("%d whole, %d broken off", complete, broken)
	if complete < schedules/2 {
		t.Errorf("only %d of %d answers are whole", complete, schedules)
	}
}

// frozenEngine accepts requests for engine-0 and never responds to them.
type frozenEngine struct{ faultyEngines }

func (m *frozenEngine) Generate(ctx context.Context, b world.Backend, r backnd.GenerateRequest) (tokenStream, error) {
	if b.ID != "engine-0" {
		return m.faultyEngines.Generate(ctx, b, r)
	}
	<-ctx.Done() // no response header arrives
	return nil, &backnd.CallError{Outcome: backnd.Unknown, Err: context.Cause(ctx)}
}

// Guards against a request that waits for ever for the response header of a
// frozen engine.
func TestRunLeavesFrozenEngine(t *testing.T) {
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	e := newTestEntry(t, &frozenEngine{faultyEngines{rng: rand.New(rand.NewPCG(seed, 0)), cancelled: map[string][]uint64{}}}, seed)
	e.firstTokenTimeout = 50 * time.Millisecond
	var wg sync.WaitGroup
	for i := range 50 {
		body, _ := proto.Marshal(&entrpb.Accepted{Service: "drafts", Prompt: "p" + strconv.Itoa(i), MaxTokens: 4, DeadlineMs: time.Now().Add(time.Minute).UnixMilli()})
		a, err := e.answers.Accept(stream.Request{ID: "acme/" + strconv.Itoa(i), Service: "drafts", Version: "v1", Body: body}, time.Now())
		if err != nil {
			t.Fatal(err)
		}
		e.startRun(a, nil)
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(e.serveCtx, 10*time.Second)
			defer cancel()
			_, err := readLocal(ctx, a, 0, func([]stream.Chunk) error { return nil })
			if ctx.Err() != nil {
				t.Errorf("answer %d hangs: %v", i, err)
			}
		})
	}
	wg.Wait()
}

// thirdFailing is a set of engines in which every third engine fails all
// requests.
type thirdFailing struct {
	faultyEngines
	started, ended, failed atomic.Int64
}

func (f *thirdFailing) Generate(_ context.Context, b world.Backend, r backnd.GenerateRequest) (tokenStream, error) {
	f.started.Add(1)
	defer f.ended.Add(1)
	time.Sleep(20 * time.Millisecond)
	if n, _ := strconv.Atoi(strings.TrimPrefix(b.ID, "engine-")); n%3 == 0 {
		f.failed.Add(1)
		return nil, &backnd.CallError{Outcome: backnd.Answered, Code: "internal", Err: errors.New("fails")}
	}
	return &faultyStream{ctx: context.Background(), events: []backnd.Event{{Tokens: []string{"x"}}, {Pos: 1, Done: true, Reason: "length"}}}, nil
}

// Guards against retries beyond the retry budget, which multiply the load while
// a third of the engines fail every request, and against accepted requests that
// fail because the budget is used up. The clock stands still at first, so that
// the budget is not refilled and no wait ends, and then runs on.
func TestRetriesDoNotMultiplyLoad(t *testing.T) {
	const requests, budget = 300, 30
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	engines := &thirdFailing{faultyEngines: faultyEngines{cancelled: map[string][]uint64{}}}
	e := newTestEntry(t, engines, seed)
	var clockRuns atomic.Bool
	var done atomic.Int64
	fixed := time.Now()
	e.cfg.Now = func() time.Time {
		if clockRuns.Load() {
			return time.Now().Add(10 * time.Second)
		}
		return fixed
	}
	first := e.member.Permits(fixed)[0].Backend
	for i := 3; i < 9; i++ {
		b := first
		b.ID = "engine-" + strconv.Itoa(i)
		e.member.Announce(member.Announcement{Backend: b, Seq: 1}, fixed)
	}
	view, _ := e.cfg.Configuration.Current(fixed)
	var wg sync.WaitGroup
	for i := range requests {
		class := []world.Class{world.Lookup, world.Review}[i%2]
		e.limitsFor("drafts", view, fixed).Admit("acme", class, limit.Cost{}, fixed)
		body, _ := proto.Marshal(&entrpb.Accepted{Service: "drafts", Prompt: strconv.Itoa(i), MaxTokens: 1, DeadlineMs: fixed.Add(time.Minute).UnixMilli()})
		a, err := e.answers.Accept(stream.Request{ID: strconv.Itoa(i), Org: "acme", Service: "drafts", Version: "v1", Class: class, Body: body}, fixed)
		if err != nil {
			t.Fatal(err)
		}
		e.startRun(a, func() { done.Add(1) })
		wg.Go(func() {
			if _, err := readLocal(e.serveCtx, a, 0, func([]stream.Chunk) error { return nil }); err != nil {
				t.Error(err)
			}
		})
	}
	for done.Load() < requests && engines.started.Load() < requests+budget || engines.ended.Load() < engines.started.Load() {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(10 * minRetryPause) // any further attempts would start now
	started, failed := engines.started.Load(), engines.failed.Load()
	t.Logf("%.3f attempts per request, %d failed", float64(started)/requests, failed)
	if started > requests+budget {
		t.Errorf("%d further attempts, want at most %d", started-requests, budget)
	}
	if failed <= budget {
		t.Errorf("only %d attempts failed, which the budget covers", failed)
	}
	clockRuns.Store(true)
	wg.Wait()
}
