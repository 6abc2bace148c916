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
)

const (
	// maxEvent bounds one event of a stream.
	maxEvent = 1 << 20
	// readBytes is the least room for one read of a stream; events are small.
	readBytes = 2 << 10
)

var errEvent = errors.New("an event exceeds its limit")

// events cuts a stream into whole events. Bytes of an event that is not complete
// stay behind, so that a server which stops in the middle of one leaves nothing
// half-sent.
type events struct {
	r    io.Reader
	buf  []byte
	from int // of the first byte that was not returned yet
}

// next returns the complete events that have arrived, at least one. At the end of
// the stream it returns what is left with io.EOF.
func (e *events) next() ([]byte, error) {
	if e.from > 0 {
		e.buf = append(e.buf[:0], e.buf[e.from:]...)
		e.from = 0
	}
	for {
		if len(e.buf) > maxEvent {
			return nil, errEvent
		}
		if cap(e.buf)-len(e.buf) < readBytes {
			e.buf = append(make([]byte, 0, 2*cap(e.buf)+readBytes), e.buf...)
		}
		n, err := e.r.Read(e.buf[len(e.buf):cap(e.buf)])
		e.buf = e.buf[:len(e.buf)+n]
		if end := eventEnd(e.buf); end > 0 {
			e.from = end
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

// eventEnd returns the end of the last complete event, or 0.
func eventEnd(b []byte) int {
	end := 0
	for _, sep := range []string{"\n\n", "\r\n\r\n"} {
		if i := bytes.LastIndex(b, []byte(sep)); i >= 0 {
			end = max(end, i+len(sep))
		}
	}
	return end
}

// lastID returns the id of the last event that has one.
func lastID(b []byte) (string, bool) {
	at := len(b)
	for at > 0 {
		line := bytes.LastIndexByte(b[:at-1], '\n') + 1
		if id, ok := bytes.CutPrefix(b[line:at], []byte("id:")); ok {
			return string(bytes.TrimSpace(id)), true
		}
		at = line
	}
	return "", false
}

// after returns the part of b behind the event with the id, for a server that
// repeats what the caller has. Ids increase and are numbers; others are kept.
func after(b []byte, id string) []byte {
	have, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return b
	}
	for len(b) > 0 {
		end := firstEnd(b)
		got, ok := lastID(b[:end])
		n, err := strconv.ParseInt(got, 10, 64)
		if !ok || err != nil || n > have {
			return b
		}
		b = b[end:]
	}
	return b
}

// firstEnd returns the end of the first event of complete ones.
func firstEnd(b []byte) int {
	end := len(b)
	for _, sep := range []string{"\n\n", "\r\n\r\n"} {
		if i := bytes.Index(b, []byte(sep)); i >= 0 {
			end = min(end, i+len(sep))
		}
	}
	return end
}

// relay passes a stream on, event by event. If the server is lost the stream may
// go on at another one.
func (x *run) relay(ctx context.Context, t *trial, resp *Response) (bool, error) {
	e := &events{r: resp.Body}
	for {
		b, err := e.next()
		if len(b) > 0 {
			t.first(resp.Status)
			t.passed(x.p.cfg.Clock())
			b = after(b, x.lastEvent)
		}
		if len(b) > 0 {
			if werr := x.pass(resp, b); werr != nil {
				return true, werr // the caller has left
			}
		}
		switch {
		case err == nil:
			continue
		case err == io.EOF:
			if !x.begun {
				_ = x.pass(resp, nil)
			}
			return true, nil
		}
		t.failed, t.err = !givenUp(ctx), err
		if givenUp(ctx) {
			x.lastErr = context.Cause(ctx)
			return true, x.giveUp(TimedOut)
		}
		return x.lostAnswer(&backnd.CallError{Outcome: backnd.Unknown, Err: err})
	}
}

// passed records when events arrived.
func (t *trial) passed(now time.Time) {
	if !t.last.IsZero() {
		t.pause = max(t.pause, now.Sub(t.last))
	}
	t.last = now
}

// pass writes events to the caller and flushes them.
func (x *run) pass(resp *Response, b []byte) error {
	if !x.begun {
		x.head(resp)
		x.w.Header().Del("Content-Length")
		x.w.WriteHeader(resp.Status)
		x.begun = true
	}
	if _, err := x.w.Write(b); err != nil {
		return Error.Wrap(err)
	}
	if id, ok := lastID(b); ok {
		x.lastEvent = id
	}
	return Error.Wrap(http.NewResponseController(x.w).Flush())
}
