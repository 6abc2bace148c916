package entry

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

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
	if !known && l.silent > 0 {
		f := unavailable("notAllAnswered", fmt.Sprintf("%d instances that may know the answer did not reply", l.silent))
		f.outcome = unknown
		return f
	}
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
