package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"cranberrypath.example/cranberrypath/internal/backnd"
	"cranberrypath.example/cranberrypath/internal/event"
	"cranberrypath.example/cranberrypath/internal/poison"
	"cranberrypath.example/cranberrypath/internal/route"
	"cranberrypath.example/cranberrypath/internal/world"
)

const (
	// exportRate is the rate at which an engine is expected to export, in bytes a second.
	exportRate = 200 << 20
	// defaultDecode is the time between tokens of a run that has not shown its own.
	defaultDecode = 30 * time.Millisecond
	// defaultPrefill is the prefill time of a token on a server without a report.
	defaultPrefill = 100 * time.Microsecond
	// reclaimTick is how often notices are looked at and replays are started.
	reclaimTick = 100 * time.Millisecond
)

// activeRun is one attempt that runs on a backend server.
type activeRun struct {
	backend string
	info    runInfo
	stop    context.CancelCauseFunc
	tokens  atomic.Int64 // received in this attempt
	started time.Time

	planned atomic.Bool // what happens at the reclaim is decided
	kvReady chan struct{}
	kv      []byte
}

// runInfo is what a reclaim decision needs to know about an answer.
type runInfo struct {
	id          string
	fingerprint poison.Fingerprint
	class       world.Class
	prompt      int // tokens
	resumed     int // tokens known before the attempt
	maxTokens   int
}

func (r *runner) info() runInfo {
	return runInfo{
		id: r.req.ID, fingerprint: r.fingerprint, class: r.req.Class, prompt: len(r.acc.Prompt) / bytesPerToken,
		resumed: int(r.a.Position()), maxTokens: int(r.acc.MaxTokens),
	}
}

func (a *activeRun) progress(tokens int) { a.tokens.Add(int64(tokens)) }

// exported waits for the KV bytes of an export that was started, or returns nil.
func (a *activeRun) exported(ctx context.Context) []byte {
	select {
	case <-a.kvReady:
		return a.kv
	case <-ctx.Done():
		return nil
	}
}

// activeRuns are the attempts that run, by backend server.
type activeRuns struct {
	mu   sync.Mutex
	runs map[string]map[*activeRun]struct{}
}

func (s *activeRuns) add(backend string, info runInfo, stop context.CancelCauseFunc, now time.Time) *activeRun {
	a := &activeRun{backend: backend, info: info, stop: stop, started: now, kvReady: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs == nil {
		s.runs = map[string]map[*activeRun]struct{}{}
	}
	if s.runs[backend] == nil {
		s.runs[backend] = map[*activeRun]struct{}{}
	}
	s.runs[backend][a] = struct{}{}
	return a
}

func (s *activeRuns) remove(a *activeRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.runs[a.backend], a)
	if len(s.runs[a.backend]) == 0 {
		delete(s.runs, a.backend)
	}
}

func (s *activeRuns) on(backend string) []*activeRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*activeRun
	for a := range s.runs[backend] {
		out = append(out, a)
	}
	return out
}

func (s *activeRuns) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, m := range s.runs {
		n += len(m)
	}
	return n
}

// running describes an attempt for the reclaim decision.
func (a *activeRun) running(now time.Time) (r route.Running, perToken time.Duration) {
	got := int(a.tokens.Load())
	perToken = defaultDecode
	if got > 1 {
		perToken = now.Sub(a.started) / time.Duration(got)
	}
	generated := a.info.resumed + got
	r = route.Running{
		ID: a.info.id, Class: a.info.class, Prompt: a.info.prompt, Generated: generated,
		Remaining: max(a.info.maxTokens-generated, 1),
	}
	if got > 0 { // an engine exports only what has produced a token
		r.KVBytes = int64(a.info.prompt+generated) * kvBytesPerToken
	}
	return r, perToken
}

// reclaims decides what happens to streams on servers that are reclaimed. One
// goroutine uses it.
type reclaims struct {
	e       *Entry
	pacer   route.Pacer
	waiting map[string]*activeRun // replays that have not started
}

// step handles the notices known at now.
func (m *reclaims) step(now time.Time) {
	m.e.refresh(now)
	for _, b := range m.e.member.Leaving(now) {
		if !b.LeaveBy.IsZero() {
			m.plan(b, now)
		}
	}
	m.replay(now)
}

func (m *reclaims) plan(b world.Backend, now time.Time) {
	var streams []route.Running
	runs := map[string]*activeRun{}
	decode := time.Duration(0)
	for _, a := range m.e.active.on(b.ID) {
		if !a.planned.CompareAndSwap(false, true) {
			continue
		}
		r, perToken := a.running(now)
		streams, runs[r.ID] = append(streams, r), a
		decode = max(decode, perToken)
	}
	if len(streams) == 0 {
		return
	}
	src := route.Source{DecodePerToken: decode, LeaveBy: b.LeaveBy, BytesPerSecond: exportRate}
	target := func(r route.Running) route.Target { return m.target(b, r, now) }
	for _, p := range route.DecideAll(streams, src, target, now) {
		a := runs[p.ID]
		m.e.event(event.Of("reclaim.plan").WithRequest(p.ID).WithInstance(b.ID).With("action", p.Action.String()))
		if m.e.cfg.ReplayOnly && p.Action != route.Finish {
			a.stop(errMoveReplay)
			continue
		}
		switch p.Action {
		case route.Finish:
		case route.Export:
			m.export(a, b)
		case route.Replay:
			r, _ := a.running(now)
			m.pacer.Add(r, p.Work, now)
			m.waiting[p.ID] = a
		}
	}
}

// target describes the server that would continue a stream.
func (m *reclaims) target(from world.Backend, r route.Running, now time.Time) route.Target {
	t := route.Target{PrefillPerToken: defaultPrefill, CanImport: true}
	versions := from.Versions
	if len(versions) == 0 {
		return t
	}
	c, err := m.e.table.Pick(route.Query{
		Service: from.Service, Version: versions[0], Class: r.Class, DataCenter: m.e.cfg.Settings.DataCentre,
		PromptTokens: r.Prompt + r.Generated, MaxTokens: r.Remaining, Exclude: []string{from.ID},
	}, now)
	if err == nil {
		t.Queue = c.Expected
	}
	return t
}

// export starts the export of a run's KV cache. The run ends with the reason
// "exported" and its runner continues elsewhere.
func (m *reclaims) export(a *activeRun, b world.Backend) {
	m.e.running.Go(func() {
		ctx, cancel := context.WithTimeout(m.e.runs, moveTimeout)
		defer cancel()
		kv, _, err := m.e.engines.Export(ctx, b, a.info.id)
		if err != nil && backnd.CodeOf(err) != "unknownRequest" {
			a.stop(errMoveReplay)
		}
		a.kv = kv
		close(a.kvReady)
	})
}

// replay starts the replays that the remaining servers bear now.
func (m *reclaims) replay(now time.Time) {
	if len(m.waiting) == 0 {
		return
	}
	for _, id := range m.pacer.Next(len(m.e.member.Permits(now)), now) {
		if a := m.waiting[id]; a != nil {
			a.stop(errMoveReplay)
		}
		delete(m.waiting, id)
	}
}
