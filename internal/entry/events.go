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
func (e *Entry) respondStream(c *call, id string, l location, m modelRequest, format responseFormat, from uint64) {
	c.startEvents()
	c.http.SetBodyStreamWriter(func(w *bufio.Writer) {
		ctx, cancel := e.requestContext()
		defer cancel()
		sse := &eventWriter{w: w, format: format, pos: from, firstEvent: from == 0}
		reason, err := e.follow(ctx, id, l, from, sse.writeChunks)
		if err != nil {
			e.endBroken(sse, err)
			return
		}
		sse.writeEnd(parseEndInfo(reason), m.Usage)
	})
}

// startEvents sets the header of a server-sent event stream. The header is
// flushed before the first event.
func (c *call) startEvents() {
	h := &c.http.Response.Header
	h.SetContentType(eventStream)
	h.Set("Cache-Control", "no-store")
	h.Set(headerOutcome, string(outcomeAnswered))
	c.http.Response.ImmediateHeaderFlush = true
}

// endBroken writes to the stream why it ends, so that it is not mistaken for a
// complete answer.
func (e *Entry) endBroken(sse *eventWriter, err error) {
	var caller *callerError
	switch {
	case errors.As(err, &caller):
		return // the caller's connection is gone; the answer is kept
	case e.serveCtx.Err() != nil && !e.server.draining.Load() && !isFinalError(err):
		return // the process is stopping immediately; the missing final event marks the stream as incomplete
	case e.server.draining.Load() && !isFinalError(err):
		sse.writeMoved(e.addresses(member.Caller{}))
	default:
		sse.writeFailure(e.brokenFailure(err))
	}
}

// eventWriter writes server-sent events. The id of an event is the number of
// tokens up to its end, which a caller sends back in order to continue.
type eventWriter struct {
	w          *bufio.Writer
	format     responseFormat
	pos        uint64
	firstEvent bool
}

func (s *eventWriter) writeChunks(chunks []stream.Chunk) error {
	var text strings.Builder
	for _, ch := range chunks {
		text.WriteString(ch.Text)
	}
	s.pos += uint64(len(chunks))
	if err := s.writeData(s.format.chunk(text.String(), "", s.firstEvent)); err != nil {
		return err
	}
	s.firstEvent = false
	return s.w.Flush()
}

func (s *eventWriter) writeData(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.w, "id: %d\ndata: %s\n\n", s.pos, b)
	return err
}

// writeEnd writes the final events. Write errors are ignored, because they mean
// that the caller is gone.
func (s *eventWriter) writeEnd(m endInfo, withUsage bool) {
	_ = s.writeData(s.format.chunk("", m.reason, s.firstEvent))
	if withUsage {
		n := int(s.pos)
		usageChunk := s.format.chunk("", "", false)
		usageChunk.Choices, usageChunk.Usage = []choice{}, &usage{m.promptTokens, n, m.promptTokens + n}
		_ = s.writeData(usageChunk)
	}
	_, _ = s.w.WriteString("data: [DONE]\n\n")
	_ = s.w.Flush()
}

func (s *eventWriter) writeFailure(f *failure) {
	if f.retryAfter > 0 {
		_, _ = fmt.Fprintf(s.w, "retry: %d\n", f.retryAfter.Milliseconds())
	}
	_, _ = fmt.Fprintf(s.w, "event: error\ndata: %s\n\n", f.body())
	_ = s.w.Flush()
}

func (s *eventWriter) writeMoved(a addressesBody) {
	b, err := json.Marshal(a)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(s.w, "event: moved\ndata: %s\n\n", b)
	_ = s.w.Flush()
}
