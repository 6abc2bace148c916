package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/entry/entrpb"
	"cranberrypath.example/cranberrypath/internal/event"
	"cranberrypath.example/cranberrypath/internal/limit"
	"cranberrypath.example/cranberrypath/internal/member"
	"cranberrypath.example/cranberrypath/internal/poison"
	"cranberrypath.example/cranberrypath/internal/route"
	"cranberrypath.example/cranberrypath/internal/stream"
	"cranberrypath.example/cranberrypath/pkg/decl"
)

// eventStream is the content type of streamed answers.
const eventStream = "text/event-stream"

// endMark is the reason of a finished answer as the record keeps it.
type endMark struct {
	reason       string
	promptTokens int
}

func (m endMark) String() string { return m.reason + ";" + strconv.Itoa(m.promptTokens) }

func parseEndMark(s string) endMark {
	reason, n, _ := strings.Cut(s, ";")
	tokens, err := strconv.Atoi(n)
	if err != nil {
		tokens = 0
	}
	return endMark{reason, tokens}
}

// servePost answers a model request: a new one, or one that this deployment
// knows already under the caller's id.
func (e *Entry) servePost(c *call, chat bool) *failure {
	if f := wantMethod(c.http, fasthttp.MethodPost); f != nil {
		return f
	}
	m, f := parseModelRequest(c.body, chat, string(c.http.Request.Header.Peek(headerClass)))
	if f != nil {
		return f
	}
	from, f := lastEvent(c.http)
	if f != nil {
		return f
	}
	service, ok := c.view.Declaration.Service(m.Service)
	if !ok || service.Kind != decl.Model {
		return notFound("unknownModel", "model "+strconv.Quote(m.Service)+" is not declared")
	}
	hash := bodyHash(c)
	id := answerID(c.org.Name, c.id)
	version := chooseVersion(c.view.Shares[m.Service], id, c.view.Serving[m.Service])
	acc := e.accepted(c, m, hash)
	w := e.wantedModel(m, version, acc)
	if c.named {
		l, known, f := e.reserve(e.ctx, id, hash)
		if f != nil {
			return f
		}
		if known && l.found != nil {
			return e.respond(c, id, l, m, from, l.found.Created)
		}
		if known {
			if done, f := e.again(c, l.cell, w); done {
				return f
			}
		}
	}
	a, f := e.accept(c, m, w, acc)
	if f != nil {
		f = e.forward(c, w, f)
		if c.named {
			e.unreserve(id)
		}
		return f
	}
	found := foundOf(a)
	return e.respond(c, id, located{local: a, found: found}, m, min(from, a.Position()), found.Created)
}

// bodyHash identifies a request by its path and body.
func bodyHash(c *call) uint64 {
	d := xxhash.New()
	_, _ = d.Write(c.http.Method())
	_, _ = d.WriteString("\x00")
	_, _ = d.Write(c.http.RequestURI())
	_, _ = d.WriteString("\x00")
	_, _ = d.Write(c.body)
	return d.Sum64()
}

// serveContinue answers GET /v1/requests/ID.
func (e *Entry) serveContinue(c *call, requestID string) *failure {
	if f := wantMethod(c.http, fasthttp.MethodGet); f != nil {
		return f
	}
	from, f := lastEvent(c.http)
	if f != nil {
		return f
	}
	c.id = requestID
	c.http.Response.Header.Set(headerRequestID, requestID)
	id := answerID(c.org.Name, requestID)
	ctx, cancel := context.WithTimeout(e.ctx, 2*findTimeout)
	defer cancel()
	l, known := e.locate(ctx, id, c.now)
	if !known {
		return notFound("unknownRequest", "the answer is not known or no longer kept")
	}
	if l.found == nil {
		return e.continueAt(c, l.cell)
	}
	model := l.found.Service
	if l.found.Adapter != "" {
		model += ":" + l.found.Adapter
	}
	m := modelRequest{Service: l.found.Service, Adapter: l.found.Adapter, Chat: l.found.Chat, Stream: true}
	return e.respond(c, id, l, m, from, l.found.Created)
}

// accept decides whether a new request is taken. Once it returns an answer, the
// request is accepted and will be finished.
func (e *Entry) accept(c *call, m modelRequest, w wanted, acc *entrpb.Accepted) (*stream.Answer, *failure) {
	version := w.version
	if f := e.checkPoison(w.fingerprint, c.now); f != nil {
		return nil, f
	}
	e.refresh(c.now)
	probe := route.Query{Service: m.Service, Version: version, Adapter: m.Adapter, DataCenter: e.cfg.Settings.DataCentre}
	if _, err := e.table.Pick(probe, c.now); err != nil {
		return nil, unavailable("noCapacity", "no backend server may take the request: "+err.Error())
	}
	body, err := proto.Marshal(acc)
	if err != nil {
		return nil, badRequest("badField", "the request cannot be stored: "+err.Error())
	}
	limits, f := e.admit(c, m.Service, m.Class)
	if f != nil {
		return nil, f
	}
	release := func() { limits.Done(c.org.Name, limit.Cost{Class: m.Class}, e.cfg.Now()) }
	a, err := e.answers.Accept(stream.Request{
		ID: answerID(c.org.Name, c.id), Org: c.org.Name, Service: m.Service, Version: version, Class: m.Class, Body: body,
	}, c.now)
	if errors.Is(err, stream.ErrExists) {
		release() // the same request was accepted here a moment ago
		if a, ok := e.answers.Get(answerID(c.org.Name, c.id)); ok {
			return a, sameBody(foundOf(a), acc.BodyHash)
		}
	}
	if err != nil {
		release()
		return nil, unavailable("noCapacity", "this instance has no memory for the answer: "+err.Error())
	}
	e.tally.accepted.Add(1)
	e.copyToKeeper(a)
	e.event(event.Of("request.accepted").WithRequest(a.Request().ID).With("version", version).With("class", m.Class.String()))
	e.start(a, release)
	return a, nil
}

func (e *Entry) accepted(c *call, m modelRequest, hash uint64) *entrpb.Accepted {
	options, err := json.Marshal(m.Options)
	if err != nil || len(m.Options) == 0 {
		options = nil // the values were read from JSON, so they can be written
	}
	limit := seconds(e.cfg.Settings.Limits.RequestSeconds)
	return &entrpb.Accepted{
		Service: m.Service, Adapter: m.Adapter, Prompt: m.Prompt, MaxTokens: uint32(m.MaxTokens), Seed: m.Seed,
		Chat: m.Chat, Created: c.now.Unix(), BodyHash: hash, Options: options, DeadlineMs: c.now.Add(limit).UnixMilli(), Hop: c.hop,
	}
}

// chooseVersion spreads requests over versions by their shares. The same id
// always falls to the same version while the shares stay.
func chooseVersion(shares map[string]float64, id, serving string) string {
	if len(shares) < 2 {
		return serving
	}
	u := float64(xxhash.Sum64String(id)>>11) / (1 << 53)
	for _, v := range slices.Sorted(maps.Keys(shares)) {
		if v == serving {
			continue
		}
		if u < shares[v] {
			return v
		}
		u -= shares[v]
	}
	return serving
}

// respond sends an answer from a position, streamed or whole.
func (e *Entry) respond(c *call, id string, l located, m modelRequest, from uint64, created int64) *failure {
	s := shape{id: c.id, model: m.Service, chat: m.Chat, created: created}
	if m.Adapter != "" {
		s.model += ":" + m.Adapter
	}
	if m.Stream {
		e.respondStream(c, id, l, m, s, from)
		return nil
	}
	ctx, cancel := e.requestContext()
	defer cancel()
	text, n, reason, err := e.readWhole(ctx, id, l)
	if err != nil {
		return e.brokenOff(err)
	}
	mark := parseEndMark(reason)
	u := usage{PromptTokens: mark.promptTokens, CompletionTokens: n, TotalTokens: mark.promptTokens + n}
	writeJSON(c.http, s.whole(text, mark.reason, u))
	return nil
}

// readWhole reads an answer from its beginning. The caller has got nothing of it
// yet, so it begins again if the answer goes on elsewhere from fewer tokens than
// were read.
func (e *Entry) readWhole(ctx context.Context, id string, l located) (text string, tokens int, reason string, err error) {
	for range wholeTries {
		var b strings.Builder
		tokens = 0
		reason, err = e.follow(ctx, id, l, 0, func(chunks []stream.Chunk) error {
			for _, ch := range chunks {
				b.WriteString(ch.Text)
			}
			tokens += len(chunks)
			return nil
		})
		if !errors.Is(err, errBehind) {
			return b.String(), tokens, reason, err
		}
		var ok bool
		if l, ok = e.locate(ctx, id, e.cfg.Now()); !ok {
			break
		}
	}
	return "", 0, "", err
}

const crashesServers = "this request was running on two backend servers when they crashed and is not run again"

// checkPoison refuses a request that is known or suspected to crash servers and
// may not run now.
func (e *Entry) checkPoison(f poison.Fingerprint, now time.Time) *failure {
	v := e.ledger.Check(f, now)
	switch {
	case v.Final:
		f := unprocessable("crashesServers", crashesServers)
		f.retryAfter = v.RetryAfter
		return f
	case !v.Run:
		return unavailable("suspect", "the request may have crashed backend servers").withRetryAfter(max(v.RetryAfter, time.Second))
	}
	return nil
}

// brokenOff turns the end of an unfinished answer into a response. The request was
// accepted, so its outcome is unknown in every case.
func (e *Entry) brokenOff(err error) *failure {
	var broken *stream.BrokenError
	reason := ""
	if errors.As(err, &broken) {
		reason = broken.Reason
	}
	switch {
	case reason == "crashesServers":
		f := unprocessable(reason, crashesServers)
		f.outcome = unknown
		return f
	case reason == reasonCutOff:
		f := unavailable(reason, "this instance reaches no backend server; continue at another address with the same X-Request-Id")
		f.outcome = unknown
		return f.withRetryAfter(cutOffAfter)
	case reason == "timeLimit", errors.Is(err, context.DeadlineExceeded):
		return &failure{
			status: fasthttp.StatusGatewayTimeout, kind: "server_error", code: "timeLimit",
			message: "the request reached its time limit", outcome: unknown,
		}
	case errors.Is(err, stream.ErrPosition):
		f := badRequest("badHeader", "Last-Event-ID is beyond the answer")
		f.outcome = unknown
		return f
	}
	f := outcomeUnknown("the answer was broken off: " + err.Error())
	if e.server.draining.Load() {
		f.message += "; fetch it at another address with the same X-Request-Id"
		f.retryAfter = time.Second
	}
	return f
}

// respondStream sends server-sent events until the answer ends.
func (e *Entry) respondStream(c *call, id string, l located, m modelRequest, s shape, from uint64) {
	h := &c.http.Response.Header
	h.SetContentType(eventStream)
	h.Set("Cache-Control", "no-store")
	h.Set(headerOutcome, string(answered))
	c.http.Response.ImmediateHeaderFlush = true
	c.http.SetBodyStreamWriter(func(w *bufio.Writer) {
		ctx, cancel := e.requestContext()
		defer cancel()
		sse := &eventWriter{w: w, shape: s, pos: from, first: from == 0}
		reason, err := e.follow(ctx, id, l, from, sse.chunks)
		if err != nil {
			e.endBroken(sse, err)
			return
		}
		sse.end(parseEndMark(reason), m.Usage)
	})
}

// endBroken says on the stream why it ends, so that it cannot be taken for a
// whole answer.
func (e *Entry) endBroken(sse *eventWriter, err error) {
	var caller *errReader
	switch {
	case errors.As(err, &caller):
		return // the caller's connection has gone; the answer is kept
	case e.ctx.Err() != nil && !e.server.draining.Load() && !final(err):
		return // the process stops at once; a stream without a final event was broken off
	case e.server.draining.Load() && !final(err):
		sse.moved(e.addresses(member.Caller{}))
	default:
		sse.fail(e.brokenOff(err))
	}
}

// eventWriter writes server-sent events. Each event's id is the number of tokens
// up to its end, which a caller sends back to continue.
type eventWriter struct {
	w     *bufio.Writer
	shape shape
	pos   uint64
	first bool
}

func (s *eventWriter) chunks(chunks []stream.Chunk) error {
	var text strings.Builder
	for _, ch := range chunks {
		text.WriteString(ch.Text)
	}
	s.pos += uint64(len(chunks))
	if err := s.data(s.shape.chunk(text.String(), "", s.first)); err != nil {
		return err
	}
	s.first = false
	return s.w.Flush()
}

func (s *eventWriter) data(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.w, "id: %d\ndata: %s\n\n", s.pos, b)
	return err
}

// end writes the final events. Errors need no answer: the caller has gone.
func (s *eventWriter) end(m endMark, withUsage bool) {
	_ = s.data(s.shape.chunk("", m.reason, s.first))
	if withUsage {
		n := int(s.pos)
		last := s.shape.chunk("", "", false)
		last.Choices, last.Usage = []choice{}, &usage{m.promptTokens, n, m.promptTokens + n}
		_ = s.data(last)
	}
	_, _ = s.w.WriteString("data: [DONE]\n\n")
	_ = s.w.Flush()
}

func (s *eventWriter) fail(f *failure) {
	if f.retryAfter > 0 {
		_, _ = fmt.Fprintf(s.w, "retry: %d\n", f.retryAfter.Milliseconds())
	}
	_, _ = fmt.Fprintf(s.w, "event: error\ndata: %s\n\n", f.body())
	_ = s.w.Flush()
}

func (s *eventWriter) moved(a addressesBody) {
	b, err := json.Marshal(a)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(s.w, "event: moved\ndata: %s\n\n", b)
	_ = s.w.Flush()
}
