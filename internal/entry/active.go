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
	// exportBytesPerSecond is the expected rate at which an engine exports a KV
	// cache.
	exportBytesPerSecond = 200 << 20
	// defaultTokenTime is the assumed time between tokens of a run that has not
	// produced enough tokens to measure it.
	defaultTokenTime = 30 * time.Millisecond
	// defaultPrefillTime is the assumed prefill time per token.
	defaultPrefillTime = 100 * time.Microsecond
	// reclaimInterval is how often reclaim notices are checked and replays are
	// started.
	reclaimInterval = 100 * time.Millisecond
)

// activeAttempt is an attempt in progress on a backend server.
type activeAttempt struct {
	backend string
	info    attemptInfo
	stop    context.CancelCauseFunc
	tokens  atomic.Int64 // received in this attempt
	started time.Time

	planned atomic.Bool // set once the action for the reclaim is decided
	kvReady chan struct{}
	kv      []byte
}

// attemptInfo is the part of an answer that reclaim decisions use.
type attemptInfo struct {
	requestID     string
	fingerprint   poison.Fingerprint
	class         world.Class
	promptTokens  int // estimate
	resumedTokens int // recorded before the attempt
	maxTokens     int
}

func (r *runner) info() attemptInfo {
	return attemptInfo{
		requestID: r.req.ID, fingerprint: r.fingerprint, class: r.req.Class, promptTokens: len(r.acc.Prompt) / bytesPerToken,
		resumedTokens: int(r.answer.Position()), maxTokens: int(r.acc.MaxTokens),
	}
}

func (a *activeAttempt) addTokens(tokens int) { a.tokens.Add(int64(tokens)) }

// waitExported waits for the exported KV cache. It returns nil if the export
// failed or ctx ends.
func (a *activeAttempt) waitExported(ctx context.Context) []byte {
	select {
	case <-a.kvReady:
		return a.kv
	case <-ctx.Done():
		return nil
	}
}

// activeAttempts holds the attempts in progress, by backend server.
type activeAttempts struct {
	mu        sync.Mutex
	byBackend map[string]map[*activeAttempt]struct{}
}

func (s *activeAttempts) add(backend string, info attemptInfo, stop context.CancelCauseFunc, now time.Time) *activeAttempt {
	a := &activeAttempt{backend: backend, info: info, stop: stop, started: now, kvReady: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byBackend == nil {
		s.byBackend = map[string]map[*activeAttempt]struct{}{}
	}
	if s.byBackend[backend] == nil {
		s.byBackend[backend] = map[*activeAttempt]struct{}{}
	}
	s.byBackend[backend][a] = struct{}{}
	return a
}

func (s *activeAttempts) remove(a *activeAttempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byBackend[a.backend], a)
	if len(s.byBackend[a.backend]) == 0 {
		delete(s.byBackend, a.backend)
	}
}

func (s *activeAttempts) onBackend(backend string) []*activeAttempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*activeAttempt
	for a := range s.byBackend[backend] {
		out = append(out, a)
	}
	return out
}

func (s *activeAttempts) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, m := range s.byBackend {
		n += len(m)
	}
	return n
}

// reclaimState describes an attempt for the reclaim decision.
func (a *activeAttempt) reclaimState(now time.Time) (r route.Stream, perToken time.Duration) {
	received := int(a.tokens.Load())
	perToken = defaultTokenTime
	if received > 1 {
		perToken = now.Sub(a.started) / time.Duration(received)
	}
	generated := a.info.resumedTokens + received
	r = route.Stream{
		ID: a.info.requestID, Class: a.info.class, Prompt: a.info.promptTokens, Generated: generated,
		Remaining: max(a.info.maxTokens-generated, 1),
	}
	if received > 0 { // an engine exports only runs that have produced a token
		r.KVBytes = int64(a.info.promptTokens+generated) * kvBytesPerToken
	}
	return r, perToken
}

// reclaimPlanner decides what happens to streams on servers that are being
// reclaimed. It is not safe for concurrent use.
type reclaimPlanner struct {
	e              *Entry
	pacer          route.Pacer
	pendingReplays map[string]*activeAttempt // replays that have not started
}

// step handles the reclaim notices known at now.
func (m *reclaimPlanner) step(now time.Time) {
	m.e.refreshRouter(now)
	for _, b := range m.e.member.Leaving(now) {
		if !b.LeaveBy.IsZero() {
			m.plan(b, now)
		}
	}
	m.startReplays(now)
}

func (m *reclaimPlanner) plan(b world.Backend, now time.Time) {
	var streams []route.Stream
	attempts := map[string]*activeAttempt{}
	tokenTime := time.Duration(0)
	for _, a := range m.e.attempts.onBackend(b.ID) {
		if !a.planned.CompareAndSwap(false, true) {
			continue
		}
		r, perToken := a.reclaimState(now)
		streams, attempts[r.ID] = append(streams, r), a
		tokenTime = max(tokenTime, perToken)
	}
	if len(streams) == 0 {
		return
	}
	source := route.Source{DecodePerToken: tokenTime, LeaveBy: b.LeaveBy, BytesPerSecond: exportBytesPerSecond}
	target := func(r route.Stream) route.Target { return m.continuationTarget(b, r, now) }
	for _, p := range route.DecideAll(streams, source, target, now) {
		a := attempts[p.ID]
		m.e.recordEvent(event.Of("reclaim.plan").WithRequest(p.ID).WithInstance(b.ID).With("action", p.Action.String()))
		if m.e.cfg.ReplayOnly && p.Action != route.Finish {
			a.stop(errReclaimReplay)
			continue
		}
		switch p.Action {
		case route.Finish:
		case route.Export:
			m.export(a, b)
		case route.Replay:
			r, _ := a.reclaimState(now)
			m.pacer.Add(r, p.Work, now)
			m.pendingReplays[p.ID] = a
		}
	}
}

// continuationTarget describes the server that would continue a stream.
func (m *reclaimPlanner) continuationTarget(from world.Backend, r route.Stream, now time.Time) route.Target {
	t := route.Target{PrefillPerToken: defaultPrefillTime, CanImport: true}
	versions := from.Versions
	if len(versions) == 0 {
		return t
	}
	c, err := m.e.router.Pick(route.Query{
		Service: from.Service, Version: versions[0], Class: r.Class, DataCentre: m.e.cfg.Settings.DataCentre,
		PromptTokens: r.Prompt + r.Generated, MaxTokens: r.Remaining, Exclude: []string{from.ID},
	}, now)
	if err == nil {
		t.QueueDelay = c.Expected
	}
	return t
}

// export starts the export of an attempt's KV cache. The attempt ends with the
// reason "exported" and its runner continues on another server.
func (m *reclaimPlanner) export(a *activeAttempt, b world.Backend) {
	m.e.background.Go(func() {
		ctx, cancel := context.WithTimeout(m.e.runCtx, kvMoveTimeout)
		defer cancel()
		kv, _, err := m.e.engines.Export(ctx, b, a.info.requestID)
		if err != nil && backnd.CodeOf(err) != "unknownRequest" {
			a.stop(errReclaimReplay)
		}
		a.kv = kv
		close(a.kvReady)
	})
}

// startReplays starts the replays that the pacer allows at now.
func (m *reclaimPlanner) startReplays(now time.Time) {
	if len(m.pendingReplays) == 0 {
		return
	}
	for _, id := range m.pacer.Next(len(m.e.member.Permits(now)), now) {
		if a := m.pendingReplays[id]; a != nil {
			a.stop(errReclaimReplay)
		}
		delete(m.pendingReplays, id)
	}
}
