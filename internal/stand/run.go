package stand

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"cranberrypath.example/cranberrypath/internal/world"
)

const maxTokensAllowed = 1 << 20

type generateRequest struct {
	RequestID    string          `json:"requestId"`
	Attempt      uint64          `json:"attempt"`
	Model        string          `json:"model"`
	Version      string          `json:"version"`
	Adapter      string          `json:"adapter"`
	Prompt       string          `json:"prompt"`
	ResumeTokens []string        `json:"resumeTokens"`
	MaxTokens    int             `json:"maxTokens"`
	Priority     int             `json:"priority"`
	Seed         uint64          `json:"seed"`
	Sampling     json.RawMessage `json:"sampling"`
	KV           string          `json:"kv"`
}

type usage struct {
	PromptTokens     int `json:"promptTokens"`
	CachedTokens     int `json:"cachedTokens"`
	CompletionTokens int `json:"completionTokens"`
	RecomputedTokens int `json:"recomputedTokens"`
}

type streamEvent struct {
	Pos    *int       `json:"pos,omitempty"`
	Tokens []string   `json:"tokens,omitempty"`
	Done   bool       `json:"done,omitempty"`
	Reason string     `json:"reason,omitempty"`
	Usage  *usage     `json:"usage,omitempty"`
	Error  *errorBody `json:"error,omitempty"`
}

// run is one attempt of a request. The engine's mu guards it.
type run struct {
	req         generateRequest
	blocks      []uint64
	textHash    uint64
	salt        string
	tokens      []string // answer so far, including resume tokens
	prefillLeft int      // input tokens left to compute before the next new token
	processed   int      // input tokens computed or cached
	stepPrefill float64  // prefill work in the current step, in tokens times slowdown
	credit      float64  // fraction of the next token that a slowed-down run has earned
	slowdown    float64
	fails       bool
	begun       bool
	ended       bool
	finalEvent  *streamEvent // nil if the engine crashed
	changed     chan struct{}
	record      *Run
}

func (r *run) append(token string) {
	r.tokens = append(r.tokens, token)
	r.notify()
}

func (r *run) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *run) finish(now time.Time, reason string, finalEvent *streamEvent) {
	if r.ended {
		return
	}
	r.ended, r.finalEvent = true, finalEvent
	r.record.Ended, r.record.Reason = now, reason
	r.record.Completed = reason == "length"
	r.notify()
}

func contains(prompt, marker string) bool { return strings.Contains(prompt, marker) }

func (e *Engine) handleGenerate(w http.ResponseWriter, req *http.Request) {
	var g generateRequest
	if json.NewDecoder(req.Body).Decode(&g) != nil || !g.valid() {
		writeError(w, http.StatusBadRequest, "badRequest", "malformed generate request")
		return
	}
	e.mu.Lock()
	r := e.accept(w, g, time.Now())
	e.mu.Unlock()
	if r != nil {
		e.streamRun(w, req, r, len(g.ResumeTokens))
	}
}

func (g generateRequest) valid() bool {
	return g.RequestID != "" && g.Attempt > 0 && g.MaxTokens > 0 && g.MaxTokens <= maxTokensAllowed &&
		len(g.ResumeTokens) <= g.MaxTokens && g.Priority >= 0 && g.Priority <= 9
}

// accept queues a request. If it can't, it writes an error response and returns nil.
// The caller holds mu.
func (e *Engine) accept(w http.ResponseWriter, g generateRequest, now time.Time) *run {
	if e.refuseCall(w) {
		return nil
	}
	previous := e.runs[g.RequestID]
	switch {
	case previous != nil && previous.req.Attempt >= g.Attempt:
		writeError(w, http.StatusConflict, "staleAttempt", "a later attempt has been seen")
		return nil
	case g.Model != e.spec.Service || !slices.Contains(e.versions, g.Version):
		writeError(w, http.StatusNotFound, "unknownVersion", "version is not loaded")
		return nil
	case g.Adapter != "" && !slices.Contains(e.adapters, g.Adapter):
		writeError(w, http.StatusNotFound, "unknownVersion", "adapter is not loaded")
		return nil
	case len(e.waiting) >= e.cfg.MaxWaiting:
		writeNotRun(w, http.StatusTooManyRequests, "busy")
		return nil
	}
	if previous != nil && !previous.ended {
		e.completeRun(previous, now, "replaced")
	}
	r := e.newRun(g, now)
	e.runs[g.RequestID] = r
	e.waiting = append(e.waiting, r)
	e.wakeBatchLoop()
	return r
}

func (e *Engine) newRun(g generateRequest, now time.Time) *run {
	t := Text{Model: g.Model, Version: g.Version, Adapter: g.Adapter, Prompt: g.Prompt, Seed: g.Seed}
	switch {
	case len(g.ResumeTokens) > 0:
		t.Salt = saltFromToken(g.ResumeTokens[0])
	case e.cfg.Sampling:
		t.Salt = e.newSalt()
	}
	r := &run{
		req: g, blocks: world.Blocks(g.Prompt), textHash: t.hash(), salt: t.Salt,
		tokens: slices.Clone(g.ResumeTokens), slowdown: 1, prefillLeft: 1, changed: make(chan struct{}),
		record: &Run{
			Engine: e.spec.ID, Incarnation: e.incarnation, RequestID: g.RequestID, Attempt: g.Attempt,
			Version: g.Version, Adapter: g.Adapter, Priority: g.Priority,
			Prompt: countPromptTokens(g.Prompt), Resumed: len(g.ResumeTokens), Started: now,
		},
	}
	r.record.BadResume = !slices.Equal(g.ResumeTokens, t.Tokens(len(g.ResumeTokens)))
	e.records = append(e.records, r.record)
	return r
}

func (e *Engine) handleResume(w http.ResponseWriter, req *http.Request) {
	var in struct {
		RequestID string `json:"requestId"`
		FromPos   int    `json:"fromPos"`
	}
	if json.NewDecoder(req.Body).Decode(&in) != nil || in.FromPos < 0 {
		writeError(w, http.StatusBadRequest, "badRequest", "malformed resume request")
		return
	}
	e.mu.Lock()
	e.dropExpired(time.Now())
	r := e.runs[in.RequestID]
	known := r != nil && in.FromPos <= len(r.tokens)
	e.mu.Unlock()
	if !known {
		writeError(w, http.StatusNotFound, "unknownRequest", "no such run")
		return
	}
	e.streamRun(w, req, r, in.FromPos)
}

func (e *Engine) handleCancel(w http.ResponseWriter, req *http.Request) {
	id, attempt, ok := readRequestID(w, req)
	if !ok {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.runs[id]
	running := r != nil && !r.ended && (attempt == 0 || r.req.Attempt == attempt)
	if running {
		e.completeRun(r, time.Now(), "cancelled")
	}
	writeJSON(w, struct {
		Cancelled bool `json:"cancelled"`
	}{running})
}

func readRequestID(w http.ResponseWriter, req *http.Request) (id string, attempt uint64, ok bool) {
	var in struct {
		RequestID string `json:"requestId"`
		Attempt   uint64 `json:"attempt"`
	}
	if json.NewDecoder(req.Body).Decode(&in) != nil || in.RequestID == "" {
		writeError(w, http.StatusBadRequest, "badRequest", "requestId is missing")
		return "", 0, false
	}
	return in.RequestID, in.Attempt, true
}

// kvExport is the content of an exported KV cache. Filler stands in for the cache data.
type kvExport struct {
	Model      string `json:"model"`
	Version    string `json:"version"`
	TextHash   uint64 `json:"base"`
	Position   int    `json:"position"`
	Filler     []byte `json:"filler"`
	importedAt time.Time
}

func (kv kvExport) matches(r *run) bool {
	return kv.Model == r.req.Model && kv.Version == r.req.Version && kv.TextHash == r.textHash
}

func (e *Engine) handleExport(w http.ResponseWriter, req *http.Request) {
	id, _, ok := readRequestID(w, req)
	if !ok {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.runs[id]
	switch {
	case r == nil || r.ended:
		writeError(w, http.StatusNotFound, "unknownRequest", "no such run")
		return
	case r.prefillLeft > 0 || len(r.tokens) == 0:
		writeError(w, http.StatusConflict, "notStarted", "the run has not produced a token")
		return
	}
	size := (r.record.Prompt + len(r.tokens)) * e.cfg.KVBytesPerToken
	kv, _ := json.Marshal(kvExport{
		Model: r.req.Model, Version: r.req.Version, TextHash: r.textHash, Position: len(r.tokens), Filler: make([]byte, size),
	})
	sum := binary.LittleEndian.AppendUint64(nil, xxhash.Sum64(kv))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("X-Position", strconv.Itoa(len(r.tokens)))
	w.Header().Set("Content-Length", strconv.Itoa(len(sum)+len(kv)))
	e.completeRun(r, time.Now(), "exported")
	_, _ = w.Write(append(sum, kv...))
}

func (e *Engine) handleImport(w http.ResponseWriter, req *http.Request) {
	b, _ := io.ReadAll(req.Body)
	var kv kvExport
	if len(b) < 8 || binary.LittleEndian.Uint64(b) != xxhash.Sum64(b[8:]) || json.Unmarshal(b[8:], &kv) != nil {
		writeError(w, http.StatusBadRequest, "badKv", "the bytes are damaged")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.refuseCall(w) {
		return
	}
	if kv.Model != e.spec.Service || !slices.Contains(e.versions, kv.Version) {
		writeError(w, http.StatusBadRequest, "badKv", "the version is not loaded")
		return
	}
	e.nextID++
	kv.importedAt, kv.Filler = time.Now(), nil
	id := "kv" + strconv.FormatUint(e.nextID, 10)
	e.imports[id] = kv
	writeJSON(w, struct {
		KV       string `json:"kv"`
		Position int    `json:"position"`
	}{id, kv.Position})
}

// faultInjector draws the faults of one stream.
type faultInjector struct {
	StreamFaults
	rng   *rand.Rand
	cutAt int // number of tokens after which the stream is cut; 0 means never
}

func (e *Engine) newFaultInjector(tokensLeft int) faultInjector {
	e.mu.Lock()
	defer e.mu.Unlock()
	inj := faultInjector{StreamFaults: e.streamFaults, rng: rand.New(rand.NewPCG(e.rng.Uint64(), 0)), cutAt: e.streamFaults.CutAfter}
	if inj.Cut > 0 && inj.rng.Float64() < inj.Cut {
		inj.cutAt = 1 + inj.rng.IntN(max(tokensLeft, 1))
	}
	return inj
}

func (inj faultInjector) draw(share float64) bool { return share > 0 && inj.rng.Float64() < share }

// streamRun streams the events of a run, starting at token position pos, until the run
// ends.
func (e *Engine) streamRun(w http.ResponseWriter, req *http.Request, r *run, pos int) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	out := &eventWriter{w: w, rc: http.NewResponseController(w), faults: e.newFaultInjector(r.req.MaxTokens - pos)}
	_ = out.rc.Flush() // sends the headers at once to confirm that the request was accepted
	for from := pos; ; {
		if !e.waitThawed(req.Context()) {
			panic(http.ErrAbortHandler)
		}
		e.mu.Lock()
		tokens, ended, finalEvent, changed := slices.Clone(r.tokens[from:]), r.ended, r.finalEvent, r.changed
		e.mu.Unlock()
		if len(tokens) > 0 {
			p := from
			from += len(tokens)
			if !out.sendTokens(&streamEvent{Pos: &p, Tokens: tokens}, from-pos) {
				panic(http.ErrAbortHandler)
			}
			continue
		}
		if ended {
			out.sendFinal(finalEvent)
			return
		}
		waitChange(req.Context(), changed)
	}
}

func waitChange(ctx context.Context, changed <-chan struct{}) {
	select {
	case <-changed:
	case <-ctx.Done():
	}
}

type eventWriter struct {
	w       http.ResponseWriter
	rc      *http.ResponseController
	faults  faultInjector
	delayed *streamEvent // event to send after the next one
}

// sendTokens sends a token event, with faults. It reports false if the stream must be
// cut.
func (o *eventWriter) sendTokens(ev *streamEvent, sent int) bool {
	if o.faults.cutAt > 0 && sent >= o.faults.cutAt {
		return false
	}
	if o.delayed == nil && o.faults.draw(o.faults.Late) {
		o.delayed = ev
		return true
	}
	o.send(ev)
	if o.faults.draw(o.faults.Duplicate) {
		o.send(ev)
	}
	if o.delayed != nil {
		o.send(o.delayed)
		o.delayed = nil
	}
	return true
}

// sendFinal sends the final event, and a delayed event before or after it. A crashed
// run has no final event; its connection is closed.
func (o *eventWriter) sendFinal(finalEvent *streamEvent) {
	if finalEvent == nil {
		panic(http.ErrAbortHandler)
	}
	delayed := o.delayed
	if delayed != nil && !o.faults.draw(0.5) {
		o.send(delayed)
		delayed = nil
	}
	if !o.faults.draw(o.faults.NoFinal) {
		o.send(finalEvent)
	}
	if delayed != nil {
		o.send(delayed)
	}
}

func (o *eventWriter) send(ev *streamEvent) {
	b, err := json.Marshal(ev)
	if err != nil {
		panic(err) // unreachable: all fields can be encoded
	}
	_, _ = o.w.Write(append(b, '\n'))
	_ = o.rc.Flush()
}
