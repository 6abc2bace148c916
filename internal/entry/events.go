package entry

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"cranberrypath.example/cranberrypath/internal/member"
	"cranberrypath.example/cranberrypath/internal/stream"
)

// respondStream sends server-sent events until the answer ends.
func (e *Entry) respondStream(c *call, id string, l located, m modelRequest, s shape, from uint64) {
	c.startEvents()
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

// startEvents sets the header of a stream of server-sent events, which is sent
// before the first event.
func (c *call) startEvents() {
	h := &c.http.Response.Header
	h.SetContentType(eventStream)
	h.Set("Cache-Control", "no-store")
	h.Set(headerOutcome, string(answered))
	c.http.Response.ImmediateHeaderFlush = true
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
