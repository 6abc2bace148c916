package backnd

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"strconv"

	"github.com/valyala/fasthttp"

	"cranberrypath.example/cranberrypath/internal/world"
)

// maxEarlyEvents bounds the events kept while an earlier position is missing.
const maxEarlyEvents = 64

var (
	errBroken    = errors.New("stream ended without a last event")
	errMalformed = errors.New("malformed event")
	errMissing   = errors.New("tokens are missing from the stream")
)

// GenerateRequest is a request to a model engine.
type GenerateRequest struct {
	RequestID    string          `json:"requestId"`
	Attempt      uint64          `json:"attempt"` // from 1
	Model        string          `json:"model"`   // service name
	Version      string          `json:"version"`
	Adapter      string          `json:"adapter,omitempty"`
	Prompt       string          `json:"prompt"`
	ResumeTokens []string        `json:"resumeTokens,omitempty"` // produced by earlier attempts
	MaxTokens    int             `json:"maxTokens"`              // of the whole answer
	Priority     int             `json:"priority"`               // 0 is the most urgent
	Seed         uint64          `json:"seed"`
	Sampling     json.RawMessage `json:"sampling,omitempty"` // passed through
	KV           string          `json:"kv,omitempty"`       // from Import
}

// Usage is an engine's count of the tokens of one attempt.
type Usage struct {
	PromptTokens     int `json:"promptTokens"`
	CachedTokens     int `json:"cachedTokens"`
	CompletionTokens int `json:"completionTokens"` // of the whole answer
	RecomputedTokens int `json:"recomputedTokens"`
}

// Event is one event of a stream, in order of position.
type Event struct {
	Pos    int      // of the first token; for the last event the length of the answer
	Tokens []string // text pieces
	Done   bool     // last event
	Reason string   // of the last event
	Usage  Usage    // of the last event
}

type wireError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

type wireEvent struct {
	Pos    int        `json:"pos"`
	Tokens []string   `json:"tokens"`
	Done   bool       `json:"done"`
	Reason string     `json:"reason"`
	Usage  Usage      `json:"usage"`
	Error  *wireError `json:"error"`
}

// Stream is the answer of an engine. One goroutine uses it at a time.
type Stream struct {
	ctx   context.Context
	x     *exchange
	lines *bufio.Scanner
	next  int         // position of the next token to return
	early []wireEvent // events beyond next
	last  *wireEvent
	err   error // returned by all further calls
}

// Generate starts a request. The context ends the stream, not the run: use
// Cancel for that. A nil error means that the engine accepted the request.
func (c *Client) Generate(ctx context.Context, b world.Backend, r GenerateRequest) (*Stream, error) {
	return c.stream(ctx, b.Address, "/engine/generate", r.RequestID, r, len(r.ResumeTokens))
}

// Resume attaches to a run that the engine still holds, from a position.
func (c *Client) Resume(ctx context.Context, b world.Backend, requestID string, fromPos int) (*Stream, error) {
	body := struct {
		RequestID string `json:"requestId"`
		FromPos   int    `json:"fromPos"`
	}{requestID, fromPos}
	return c.stream(ctx, b.Address, "/engine/resume", requestID, body, fromPos)
}

func (c *Client) stream(ctx context.Context, addr, path, requestID string, body any, from int) (*Stream, error) {
	x, err := c.post(ctx, addr, path, requestID, body, 1<<62)
	if err != nil {
		return nil, err
	}
	s := &Stream{ctx: ctx, x: x, lines: bufio.NewScanner(x), next: from}
	s.lines.Buffer(make([]byte, 0, 1024), maxEventBytes)
	return s, nil
}

// Recv returns the next event. Repeated tokens are dropped and late events put
// in order. After the last event it returns io.EOF. A *CallError with outcome
// Answered is the engine's report that the run failed; with outcome Unknown the
// stream broke.
func (s *Stream) Recv() (Event, error) {
	if s.err != nil {
		return Event{}, s.err
	}
	ev, err := s.recv()
	switch {
	case err != nil:
		s.err = err
	case ev.Done:
		s.err = io.EOF
	}
	return ev, err
}

func (s *Stream) recv() (Event, error) {
	for {
		if ev, ok := s.ready(); ok {
			return ev, nil
		}
		if len(s.early) > maxEarlyEvents {
			return Event{}, s.broken(errMissing)
		}
		if !s.lines.Scan() {
			return Event{}, s.broken(s.endError())
		}
		w, err := decodeEvent(s.lines.Bytes())
		switch {
		case err != nil:
			return Event{}, s.broken(err)
		case w.Error != nil:
			s.x.finish()
			_ = s.x.Close()
			return Event{}, &CallError{Outcome: Answered, Status: s.x.status, Code: w.Error.Code, Err: Error.New("%s", w.Error.Message)}
		case w.Done:
			s.last = &w
		case w.Pos+len(w.Tokens) > s.next:
			s.early = append(s.early, w)
		}
	}
}

// ready returns the next event in order if it has arrived.
func (s *Stream) ready() (Event, bool) {
	for i, w := range s.early {
		if w.Pos > s.next {
			continue
		}
		s.early = append(s.early[:i], s.early[i+1:]...)
		if w.Pos+len(w.Tokens) <= s.next {
			return s.ready()
		}
		ev := Event{Pos: s.next, Tokens: w.Tokens[s.next-w.Pos:]}
		s.next = w.Pos + len(w.Tokens)
		return ev, true
	}
	if s.last == nil || s.last.Pos > s.next {
		return Event{}, false
	}
	return Event{Pos: s.last.Pos, Done: true, Reason: s.last.Reason, Usage: s.last.Usage}, true
}

func (s *Stream) endError() error {
	if err := s.lines.Err(); err != nil {
		return err
	}
	if s.last != nil {
		return errMissing
	}
	return errBroken
}

func (s *Stream) broken(err error) error {
	s.x.discard()
	if s.ctx.Err() != nil {
		err = context.Cause(s.ctx)
	}
	return &CallError{Outcome: Unknown, Status: s.x.status, Err: Error.Wrap(err)}
}

// Close releases the connection. The run at the engine continues.
func (s *Stream) Close() error {
	if s.last != nil && len(s.early) == 0 {
		s.x.finish()
	}
	if s.err == nil {
		s.err = io.EOF
	}
	return s.x.Close()
}

func decodeEvent(line []byte) (wireEvent, error) {
	var w wireEvent
	if err := json.Unmarshal(line, &w); err != nil {
		return wireEvent{}, errMalformed
	}
	if w.Pos < 0 || w.Pos > 1<<40 || (!w.Done && w.Error == nil && len(w.Tokens) == 0) {
		return wireEvent{}, errMalformed
	}
	return w, nil
}

// Cancel ends the run of an attempt, or of any attempt if it is 0. It reports
// whether the engine had one.
func (c *Client) Cancel(ctx context.Context, b world.Backend, requestID string, attempt uint64) (bool, error) {
	var out struct {
		Cancelled bool `json:"cancelled"`
	}
	err := c.call(ctx, b.Address, "/engine/cancel", requestID, requestOf{requestID, attempt}, &out)
	return out.Cancelled, err
}

type requestOf struct {
	RequestID string `json:"requestId"`
	Attempt   uint64 `json:"attempt,omitempty"`
}

// Export stops a run and returns its KV bytes and the number of tokens of the
// answer that they cover.
func (c *Client) Export(ctx context.Context, b world.Backend, requestID string) ([]byte, int, error) {
	x, err := c.post(ctx, b.Address, "/engine/export", requestID, requestOf{requestID, 0}, maxKVBytes)
	if err != nil {
		return nil, 0, err
	}
	pos, perr := strconv.ParseUint(headerValue(&x.resp.Header, "X-Position"), 10, 40)
	kv, err := x.readAll(ctx)
	if err != nil {
		return nil, 0, err
	}
	if perr != nil {
		return nil, 0, &CallError{Outcome: Unknown, Status: x.status, Err: Error.New("export without a position")}
	}
	return kv, int(pos), nil
}

// Import gives KV bytes to an engine. It returns the id to use as
// GenerateRequest.KV and the number of tokens that the bytes cover.
func (c *Client) Import(ctx context.Context, b world.Backend, kv []byte) (string, int, error) {
	var out struct {
		KV       string `json:"kv"`
		Position int    `json:"position"`
	}
	req := newRequest(b.Address, "/engine/import", "", "application/octet-stream", kv)
	x, err := c.do(ctx, b.Address, req, maxJSONBytes)
	if err != nil {
		return "", 0, err
	}
	err = x.decode(ctx, &out)
	return out.KV, out.Position, err
}

// Kinds of order.
const (
	LoadModel   = "loadModel"
	LoadAdapter = "loadAdapter"
	LoadVersion = "loadVersion"
	Unload      = "unload"
	SetRole     = "setRole"
	Drain       = "drain"
	Clean       = "clean"
)

// Fence is the fencing number of an order, from the replicated log.
type Fence struct {
	Term  uint64 `json:"term"`
	Index uint64 `json:"index"`
}

// Order is an instruction to a backend server. A repeated ID runs once.
type Order struct {
	ID      string `json:"id"`
	Fence   Fence  `json:"fence"`
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
}

// CodeStaleFence is the code of an order that was refused for an old number.
const CodeStaleFence = "staleFence"

// Order sends an order. It reports whether the server had it already.
func (c *Client) Order(ctx context.Context, b world.Backend, o Order) (repeated bool, err error) {
	var out struct {
		Repeated bool `json:"repeated"`
	}
	err = c.call(ctx, b.Address, "/engine/orders", o.ID, o, &out)
	return out.Repeated, err
}

// call posts a JSON body and decodes a JSON answer.
func (c *Client) call(ctx context.Context, addr, path, id string, in, out any) error {
	x, err := c.post(ctx, addr, path, id, in, maxJSONBytes)
	if err != nil {
		return err
	}
	return x.decode(ctx, out)
}

func (x *exchange) decode(ctx context.Context, out any) error {
	b, err := x.readAll(ctx)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(b, out); err != nil {
		return &CallError{Outcome: Unknown, Status: x.status, Err: Error.Wrap(err)}
	}
	return nil
}

func (c *Client) post(ctx context.Context, addr, path, id string, body any, limit int64) (*exchange, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return nil, &CallError{Outcome: NotRun, Err: Error.Wrap(err)}
	}
	return c.do(ctx, addr, newRequest(addr, path, id, "application/json", b), limit)
}

// do runs a call whose success is status 200.
func (c *Client) do(ctx context.Context, addr string, req *fasthttp.Request, limit int64) (*exchange, error) {
	x, err := c.roundTrip(ctx, addr, req, limit)
	if err != nil {
		return nil, err
	}
	if x.status == fasthttp.StatusOK {
		return x, nil
	}
	return nil, x.refused(ctx)
}

// refused turns a response of another status than 200 into an error.
func (x *exchange) refused(ctx context.Context) error {
	ce := &CallError{Outcome: Answered, Status: x.status, RetryAfter: x.retryAfter()}
	notRun := x.refusal()
	x.left = min(x.left, maxJSONBytes)
	b, err := x.readAll(ctx)
	var body struct {
		Error wireError `json:"error"`
	}
	_ = json.Unmarshal(b, &body) // a body of another form is allowed; the status says enough
	ce.Code, ce.Err = body.Error.Code, Error.New("%s", body.Error.Message)
	switch {
	case notRun: // the promise is in the header; a cut body does not weaken it
		ce.Outcome = NotRun
	case err != nil:
		return err
	}
	return ce
}

func newRequest(addr, path, id, contentType string, body []byte) *fasthttp.Request {
	req := &fasthttp.Request{}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetRequestURI(path)
	req.Header.SetHost(addr)
	req.Header.SetContentType(contentType)
	req.Header.SetNoDefaultContentType(true)
	if id != "" {
		req.Header.Set(headerRequestID, id)
	}
	req.SetBodyRaw(body)
	return req
}
