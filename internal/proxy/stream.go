package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"cranberrypath.example/cranberrypath/internal/backnd"
	"cranberrypath.example/cranberrypath/internal/buffer"
)

const (
	// maxEventBytes bounds the size of one stream event.
	maxEventBytes = 1 << 20
	// minReadBytes is the minimum buffer space for one read; events are small.
	minReadBytes = 2 << 10
)

var (
	errEventTooLarge = errors.New("stream event exceeds the size limit")
	errNoMemory      = errors.New("the responses in flight take all memory that is meant for them")
)

// eventReader splits a stream into complete events. Incomplete events stay buffered,
// so that the caller never gets part of an event when the server stops within it.
type eventReader struct {
	r      io.Reader
	buf    []byte
	unread int // offset of the first byte not yet returned
	lease  *buffer.Lease
}

// next returns the complete events that have arrived, at least one. At the end of
// the stream it returns the remaining events with io.EOF.
func (e *eventReader) next() ([]byte, error) {
	if e.unread > 0 {
		e.buf = append(e.buf[:0], e.buf[e.unread:]...)
		e.unread = 0
	}
	for {
		if len(e.buf) > maxEventBytes {
			return nil, errEventTooLarge
		}
		if cap(e.buf)-len(e.buf) < minReadBytes {
			size := 2*cap(e.buf) + minReadBytes
			if !e.lease.Hold(size) {
				return nil, errNoMemory
			}
			e.buf = append(make([]byte, 0, size), e.buf...)
		}
		n, err := e.r.Read(e.buf[len(e.buf):cap(e.buf)])
		e.buf = e.buf[:len(e.buf)+n]
		end := lastEventEnd(e.buf)
		if err == io.EOF && onlyBlankLines(e.buf[end:]) {
			end = len(e.buf) // further blank lines end no event
		}
		if end > 0 {
			e.unread = end
			if err == io.EOF && end < len(e.buf) {
				err = io.ErrUnexpectedEOF // the stream ends within an event
			}
			return e.buf[:end], err
		}
		switch {
		case err == io.EOF && len(e.buf) > 0:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
	}
}

func onlyBlankLines(b []byte) bool { return len(bytes.Trim(b, "\r\n")) == 0 }

// lastEventEnd returns the end offset of the last complete event, or 0.
func lastEventEnd(b []byte) int {
	end := 0
	for _, sep := range []string{"\n\n", "\r\n\r\n"} {
		if i := bytes.LastIndex(b, []byte(sep)); i >= 0 {
			end = max(end, i+len(sep))
		}
	}
	return end
}

// lastEventID returns the id of the last event that has an id.
func lastEventID(b []byte) (string, bool) {
	end := len(b)
	for end > 0 {
		start := bytes.LastIndexByte(b[:end-1], '\n') + 1
		if id, ok := bytes.CutPrefix(b[start:end], []byte("id:")); ok {
			return string(bytes.TrimSpace(id)), true
		}
		end = start
	}
	return "", false
}

// skipThrough drops the events of b up to the given id, which a server repeats although
// the caller has them. Ids are increasing numbers; events with other ids are kept.
func skipThrough(b []byte, id string) []byte {
	delivered, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return b
	}
	for len(b) > 0 {
		end := firstEventEnd(b)
		got, ok := lastEventID(b[:end])
		n, err := strconv.ParseInt(got, 10, 64)
		if !ok || err != nil || n > delivered {
			return b
		}
		b = b[end:]
	}
	return b
}

// continues reports whether the first of the events in b follows the event with the given id.
// Errors that a server sends as an event have no such id.
func continues(b []byte, id string) bool {
	delivered, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return false
	}
	for len(b) > 0 && !hasField(b[:firstEventEnd(b)]) {
		b = b[firstEventEnd(b):]
	}
	got, _ := lastEventID(b[:firstEventEnd(b)])
	n, err := strconv.ParseInt(got, 10, 64)
	return err == nil && n > delivered
}

// firstEventEnd returns the end offset of the first of the complete events in b.
func firstEventEnd(b []byte) int {
	end := len(b)
	for _, sep := range []string{"\n\n", "\r\n\r\n"} {
		if i := bytes.Index(b, []byte(sep)); i >= 0 {
			end = min(end, i+len(sep))
		}
	}
	return end
}

// hasField reports whether the complete events in b contain anything but comments, which
// a stalled server may send as well.
func hasField(b []byte) bool {
	for line := range bytes.Lines(b) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

// forwardStream writes a stream to the caller in complete events. If the connection to
// the server is lost, the stream may be resumed on another server. Comments before the
// first event are dropped, so that the request can still get another response.
func (f *inflight) forwardStream(ctx context.Context, t *attemptState, resp *Response) (bool, error) {
	lease := f.p.cfg.Buffers.NewLease()
	defer lease.Release()
	e := &eventReader{r: resp.Body, lease: lease}
	continued := !f.headerSent // or the events continue those that the caller has
	for {
		b, err := e.next()
		progress := hasField(b)
		if progress || len(b) > 0 && err == io.EOF {
			t.recordFirstByte(resp.Status)
			t.recordEvents(f.p.cfg.Clock())
			b = skipThrough(b, f.lastEventID)
		}
		if progress && !continued && hasField(b) {
			if !continues(b, f.lastEventID) {
				t.failed = true
				return f.responseLost(Error.New("the server does not continue the stream after event %q", f.lastEventID))
			}
			continued = true
		}
		if len(b) > 0 && (progress || f.headerSent) {
			if werr := f.writeEvents(resp, b); werr != nil {
				return true, werr // the caller has disconnected
			}
		}
		switch {
		case err == nil:
			continue
		case err == io.EOF:
			t.completed = true
			if !f.headerSent {
				_ = f.writeEvents(resp, nil)
			}
			return true, nil
		}
		t.failed, t.err = !requestEnded(ctx), err
		if requestEnded(ctx) {
			f.lastErr = context.Cause(ctx)
			return true, f.finalError(TimedOut)
		}
		return f.responseLost(&backnd.CallError{Outcome: backnd.Unknown, Err: err})
	}
}

// recordEvents records the arrival of events and the longest gap between them.
func (a *attemptState) recordEvents(now time.Time) {
	if !a.lastEventAt.IsZero() {
		a.maxEventGap = max(a.maxEventGap, now.Sub(a.lastEventAt))
	}
	a.lastEventAt = now
}

// writeEvents writes events to the caller and flushes them.
func (f *inflight) writeEvents(resp *Response, b []byte) error {
	if !f.headerSent {
		f.copyHeader(resp)
		f.w.Header().Del("Content-Length")
		f.w.WriteHeader(resp.Status)
		f.headerSent = true
	}
	if _, err := f.w.Write(b); err != nil {
		return Error.Wrap(err)
	}
	if id, ok := lastEventID(b); ok {
		f.lastEventID = id
	}
	return Error.Wrap(http.NewResponseController(f.w).Flush())
}
