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

// endInfo is the end reason of an answer as stored in its record.
type endInfo struct {
	reason       string
	promptTokens int
}

func (m endInfo) String() string { return m.reason + ";" + strconv.Itoa(m.promptTokens) }

func parseEndInfo(s string) endInfo {
	reason, n, _ := strings.Cut(s, ";")
	tokens, err := strconv.Atoi(n)
	if err != nil {
		tokens = 0
	}
	return endInfo{reason, tokens}
}

// servePost answers a model request: either a new one, or a repeat with the id
// of a request that is already known.
func (e *Entry) servePost(c *call, chat bool) *failure {
	if f := requireMethod(c.http, fasthttp.MethodPost); f != nil {
		return f
	}
	m, f := parseModelRequest(c.body, chat, string(c.http.Request.Header.Peek(headerClass)))
	if f != nil {
		return f
	}
	from, f := lastEventPosition(c.http)
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
	acc := e.newAccepted(c, m, hash)
	spec := e.modelForwardSpec(m, version, acc)
	if c.callerSetID {
		l, known, f := e.reserve(e.serveCtx, id, hash, from)
		if f != nil {
			return f
		}
		if known && l.found != nil {
			return e.respond(c, id, l, m, from, l.found.Created)
		}
		if known {
			if done, f := e.resend(c, l.cell, spec); done {
				return f
			}
		}
	}
	a, f := e.accept(c, m, spec, acc)
	if f != nil {
		f = e.forward(c, spec, f)
		if c.callerSetID {
			e.releaseReservation(id)
		}
		return f
	}
	found := foundOf(a)
	found.Position = a.Position()
	return e.respond(c, id, location{local: a, found: found}, m, min(from, found.Position), found.Created)
}

// bodyHash returns a hash of the method, URI and body of a request.
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
	if f := requireMethod(c.http, fasthttp.MethodGet); f != nil {
		return f
	}
	from, f := lastEventPosition(c.http)
	if f != nil {
		return f
	}
	c.id = requestID
	c.http.Response.Header.Set(headerRequestID, requestID)
	id := answerID(c.org.Name, requestID)
	ctx, cancel := context.WithTimeout(e.serveCtx, locateTimeout)
	defer cancel()
	l, known := e.locate(ctx, id, from, c.now)
	if !known && l.missingReplies > 0 {
		f := unavailable("notAllAnswered", fmt.Sprintf("%d instances that may know the answer did not reply", l.missingReplies))
		f.outcome = outcomeUnknown
		return f
	}
	if !known {
		return notFound("unknownRequest", "the answer is not known or no longer kept")
	}
	if l.found == nil {
		return e.continueInCell(c, l.cell)
	}
	model := l.found.Service
	if l.found.Adapter != "" {
		model += ":" + l.found.Adapter
	}
	m := modelRequest{Service: l.found.Service, Adapter: l.found.Adapter, Chat: l.found.Chat, Stream: true}
	return e.respond(c, id, l, m, from, l.found.Created)
}

// respond sends an answer from a position, as a stream or as one response.
func (e *Entry) respond(c *call, id string, l location, m modelRequest, from uint64, created int64) *failure {
	format := responseFormat{id: c.id, model: m.Service, chat: m.Chat, created: created}
	if m.Adapter != "" {
		format.model += ":" + m.Adapter
	}
	ctx, cancel := e.requestContext()
	defer cancel()
	if m.Stream {
		if !l.reaches(from) {
			var err error
			if l, err = e.reach(ctx, id, from); err != nil {
				return e.brokenFailure(err)
			}
		}
		e.respondStream(c, id, l, m, format, from)
		return nil
	}
	text, n, reason, err := e.readWhole(ctx, id, l)
	if err != nil {
		return e.brokenFailure(err)
	}
	end := parseEndInfo(reason)
	u := usage{PromptTokens: end.promptTokens, CompletionTokens: n, TotalTokens: end.promptTokens + n}
	writeJSON(c.http, format.complete(text, end.reason, u))
	return nil
}

// readWhole reads an answer from its beginning. Nothing has been sent to the
// caller yet, so it starts over if another instance continues the answer from
// an earlier token.
func (e *Entry) readWhole(ctx context.Context, id string, l location) (text string, tokens int, reason string, err error) {
	for range maxWholeReads {
		var b strings.Builder
		tokens = 0
		reason, err = e.follow(ctx, id, l, 0, func(chunks []stream.Chunk) error {
			for _, ch := range chunks {
				b.WriteString(ch.Text)
			}
			tokens += len(chunks)
			return nil
		})
		if !errors.Is(err, errRolledBack) {
			return b.String(), tokens, reason, err
		}
		var ok bool
		if l, ok = e.locate(ctx, id, 0, e.cfg.Now()); !ok {
			break
		}
	}
	return "", 0, "", err
}

// brokenFailure converts the error of an unfinished answer to a response. The
// request was accepted, so its outcome is always unknown.
func (e *Entry) brokenFailure(err error) *failure {
	var broken *stream.AbortedError
	var beyond *positionError
	reason := ""
	if errors.As(err, &broken) {
		reason = broken.Reason
	}
	switch {
	case reason == "crashesServers":
		f := unprocessable(reason, crashesServersMessage)
		f.outcome = outcomeUnknown
		return f
	case reason == reasonCutOff:
		f := unavailable(reason, "this instance reaches no backend server; continue at another address with the same X-Request-Id")
		f.outcome = outcomeUnknown
		return f.withRetryAfter(unreachableTimeout)
	case reason == "timeLimit", errors.Is(err, context.DeadlineExceeded):
		return &failure{
			status: fasthttp.StatusGatewayTimeout, errorType: "server_error", code: "timeLimit",
			message: "the request reached its time limit", outcome: outcomeUnknown,
		}
	case errors.As(err, &beyond):
		f := badRequest("badHeader", beyond.Error())
		f.outcome = outcomeUnknown
		return f
	case errors.Is(err, errBehind):
		f := unavailable("notAllAnswered", err.Error())
		f.outcome = outcomeUnknown
		return f
	}
	f := unknownOutcome("the answer was broken off: " + err.Error())
	if e.server.draining.Load() {
		f.message += "; fetch it at another address with the same X-Request-Id"
		f.retryAfter = time.Second
	}
	return f
}
