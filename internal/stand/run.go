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

type wireEvent struct {
	Pos    *int       `json:"pos,omitempty"`
	Tokens []string   `json:"tokens,omitempty"`
	Done   bool       `json:"done,omitempty"`
	Reason string     `json:"reason,omitempty"`
	Usage  *usage     `json:"usage,omitempty"`
	Error  *wireError `json:"error,omitempty"`
}

// run is one attempt of a request. It is guarded by the engine's mu.
type run struct {
	req     generateRequest
	blocks  []uint64
	base    uint64
	salt    string
	tokens  []string // of the whole answer
	prefill int      // tokens left to compute before the next new one
	done    int      // tokens of prompt and answer computed or cached
	share   float64  // prefill work in the current step
	credit  float64  // steps saved towards the next token of a slow run
	slow    float64
	fails   bool
	begun   bool
	over    bool
	last    *wireEvent // nil if the engine crashed
	changed chan struct{}
	record  *Run
}

func (r *run) append(token string) {
	r.tokens = append(r.tokens, token)
	r.wake()
}

func (r *run) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *run) end(now time.Time, reason string, last *wireEvent) {
	if r.over {
		return
	}
	r.over, r.last = true, last
	r.record.Ended, r.record.Reason = now, reason
	r.record.Completed = reason == "length"
	r.wake()
}

func contains(prompt, marker string) bool { return strings.Contains(prompt, marker) }

func (e *Engine) handleGenerate(w http.ResponseWriter, req *http.Request) {
	var g generateRequest
	if json.NewDecoder(req.Body).Decode(&g) != nil || !g.valid() {
		fail(w, http.StatusBadRequest, "badRequest", "malformed generate request")
		return
	}
	e.mu.Lock()
	r := e.accept(w, g, time.Now())
	e.mu.Unlock()
	if r != nil {
		e.stream(w, req, r, len(g.ResumeTokens))
	}
}

func (g generateRequest) valid() bool {
	return g.RequestID != "" && g.Attempt > 0 && g.MaxTokens > 0 && g.MaxTokens <= maxTokensAllowed &&
		len(g.ResumeTokens) <= g.MaxTokens && g.Priority >= 0 && g.Priority <= 9
}

// accept queues a request, or answers why not. The caller holds mu.
func (e *Engine) accept(w http.ResponseWriter, g generateRequest, now time.Time) *run {
	if e.refusal(w) {
		return nil
	}
	old := e.runs[g.RequestID]
	switch {
	case old != nil && old.req.Attempt >= g.Attempt:
		fail(w, http.StatusConflict, "staleAttempt", "a later attempt has been seen")
		return nil
	case g.Model != e.spec.Service || !slices.Contains(e.versions, g.Version):
		fail(w, http.StatusNotFound, "unknownVersion", "version is not loaded")
		return nil
	case g.Adapter != "" && !slices.Contains(e.adapters, g.Adapter):
		fail(w, http.StatusNotFound, "unknownVersion", "adapter is not loaded")
		return nil
	case len(e.waiting) >= e.cfg.MaxWaiting:
		notRun(w, http.StatusTooManyRequests, "busy")
		return nil
	}
	if old != nil && !old.over {
		e.complete(old, now, "replaced")
	}
	r := e.newRun(g, now)
	e.runs[g.RequestID] = r
	e.waiting = append(e.waiting, r)
	e.stir()
	return r
}

func (e *Engine) newRun(g generateRequest, now time.Time) *run {
	t := Text{Model: g.Model, Version: g.Version, Adapter: g.Adapter, Prompt: g.Prompt, Seed: g.Seed}
	switch {
	case len(g.ResumeTokens) > 0:
		t.Salt = saltOf(g.ResumeTokens[0])
	case e.cfg.Sampling:
		t.Salt = e.newSalt()
	}
	r := &run{
		req: g, blocks: world.Blocks(g.Prompt), base: t.base(), salt: t.Salt,
		tokens: slices.Clone(g.ResumeTokens), slow: 1, prefill: 1, changed: make(chan struct{}),
		record: &Run{
			Engine: e.spec.ID, Incarnation: e.incarnation, RequestID: g.RequestID, Attempt: g.Attempt,
			Version: g.Version, Adapter: g.Adapter, Priority: g.Priority,
			Prompt: promptTokens(g.Prompt), Resumed: len(g.ResumeTokens), Started: now,
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
		fail(w, http.StatusBadRequest, "badRequest", "malformed resume request")
		return
	}
	e.mu.Lock()
	e.expire(time.Now())
	r := e.runs[in.RequestID]
	known := r != nil && in.FromPos <= len(r.tokens)
	e.mu.Unlock()
	if !known {
		fail(w, http.StatusNotFound, "unknownRequest", "no such run")
		return
	}
	e.stream(w, req, r, in.FromPos)
}

func (e *Engine) handleCancel(w http.ResponseWriter, req *http.Request) {
	id, attempt, ok := readRequestID(w, req)
	if !ok {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.runs[id]
	running := r != nil && !r.over && (attempt == 0 || r.req.Attempt == attempt)
	if running {
		e.complete(r, time.Now(), "cancelled")
	}
	reply(w, struct {
		Cancelled bool `json:"cancelled"`
	}{running})
}

func readRequestID(w http.ResponseWriter, req *http.Request) (id string, attempt uint64, ok bool) {
	var in struct {
		RequestID string `json:"requestId"`
		Attempt   uint64 `json:"attempt"`
	}
	if json.NewDecoder(req.Body).Decode(&in) != nil || in.RequestID == "" {
		fail(w, http.StatusBadRequest, "badRequest", "requestId is missing")
		return "", 0, false
	}
	return in.RequestID, in.Attempt, true
}

// importedKV is the content of an export. Filler stands for the cache itself.
type importedKV struct {
	Model    string `json:"model"`
	Version  string `json:"version"`
	Base     uint64 `json:"base"`
	Position int    `json:"position"`
	Filler   []byte `json:"filler"`
	at       time.Time
}

func (kv importedKV) matches(r *run) bool {
	return kv.Model == r.req.Model && kv.Version == r.req.Version && kv.Base == r.base
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
	case r == nil || r.over:
		fail(w, http.StatusNotFound, "unknownRequest", "no such run")
		return
	case r.prefill > 0 || len(r.tokens) == 0:
		fail(w, http.StatusConflict, "notStarted", "the run has not produced a token")
		return
	}
	size := (r.record.Prompt + len(r.tokens)) * e.cfg.KVBytesPerToken
	kv, _ := json.Marshal(importedKV{
		Model: r.req.Model, Version: r.req.Version, Base: r.base, Position: len(r.tokens), Filler: make([]byte, size),
	})
	sum := binary.LittleEndian.AppendUint64(nil, xxhash.Sum64(kv))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("X-Position", strconv.Itoa(len(r.tokens)))
	w.Header().Set("Content-Length", strconv.Itoa(len(sum)+len(kv)))
	e.complete(r, time.Now(), "exported")
	_, _ = w.Write(append(sum, kv...))
}

func (e *Engine) handleImport(w http.ResponseWriter, req *http.Request) {
	b, _ := io.ReadAll(req.Body)
	var kv importedKV
	if len(b) < 8 || binary.LittleEndian.Uint64(b) != xxhash.Sum64(b[8:]) || json.Unmarshal(b[8:], &kv) != nil {
		fail(w, http.StatusBadRequest, "badKv", "the bytes are damaged")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.refusal(w) {
		return
	}
	if kv.Model != e.spec.Service || !slices.Contains(e.versions, kv.Version) {
		fail(w, http.StatusBadRequest, "badKv", "the version is not loaded")
		return
	}
	e.nextID++
	kv.at, kv.Filler = time.Now(), nil
	id := "kv" + strconv.FormatUint(e.nextID, 10)
	e.imports[id] = kv
	reply(w, struct {
		KV       string `json:"kv"`
		Position int    `json:"position"`
	}{id, kv.Position})
}

// damage decides the faults of one stream.
type damage struct {
	StreamFaults
	rng *rand.Rand
	cut int // tokens after which the stream is cut; 0 for never
}

func (e *Engine) damage(left int) damage {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := damage{StreamFaults: e.streams, rng: rand.New(rand.NewPCG(e.rng.Uint64(), 0)), cut: e.streams.CutAfter}
	if d.Cut > 0 && d.rng.Float64() < d.Cut {
		d.cut = 1 + d.rng.IntN(max(left, 1))
	}
	return d
}

func (d damage) happens(share float64) bool { return share > 0 && d.rng.Float64() < share }

// stream sends the events of a run from a position until its end.
func (e *Engine) stream(w http.ResponseWriter, req *http.Request, r *run, pos int) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	out := &eventWriter{w: w, rc: http.NewResponseController(w), d: e.damage(r.req.MaxTokens - pos)}
	_ = out.rc.Flush() // the sender learns at once that the request was accepted
	for from := pos; ; {
		if !e.thawed(req.Context()) {
			panic(http.ErrAbortHandler)
		}
		e.mu.Lock()
		tokens, over, last, changed := slices.Clone(r.tokens[from:]), r.over, r.last, r.changed
		e.mu.Unlock()
		if len(tokens) > 0 {
			p := from
			from += len(tokens)
			if !out.tokens(&wireEvent{Pos: &p, Tokens: tokens}, from-pos) {
				panic(http.ErrAbortHandler)
			}
			continue
		}
		if over {
			out.end(last)
			return
		}
		wait(req.Context(), changed)
	}
}

func wait(ctx context.Context, changed <-chan struct{}) {
	select {
	case <-changed:
	case <-ctx.Done():
	}
}

type eventWriter struct {
	w    http.ResponseWriter
	rc   *http.ResponseController
	d    damage
	held *wireEvent // sent after the next event
}

// tokens sends an event. It reports false when the stream is to be cut.
func (o *eventWriter) tokens(ev *wireEvent, sent int) bool {
	if o.d.cut > 0 && sent >= o.d.cut {
		return false
	}
	if o.held == nil && o.d.happens(o.d.Late) {
		o.held = ev
		return true
	}
	o.send(ev)
	if o.d.happens(o.d.Duplicate) {
		o.send(ev)
	}
	if o.held != nil {
		o.send(o.held)
		o.held = nil
	}
	return true
}

// end sends the last event. A crashed run has none: its connection is closed.
func (o *eventWriter) end(last *wireEvent) {
	if last == nil {
		panic(http.ErrAbortHandler)
	}
	late := o.held
	if late != nil && !o.d.happens(0.5) {
		o.send(late)
		late = nil
	}
	if !o.d.happens(o.d.NoFinal) {
		o.send(last)
	}
	if late != nil {
		o.send(late)
	}
}

func (o *eventWriter) send(ev *wireEvent) {
	b, err := json.Marshal(ev)
	if err != nil {
		panic(err) // only values of this package are encoded
	}
	_, _ = o.w.Write(append(b, '\n'))
	_ = o.rc.Flush()
}
