package entry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"cranberrypath.example/cranberrypath/internal/backnd"
	"cranberrypath.example/cranberrypath/internal/cells"
	"cranberrypath.example/cranberrypath/internal/member"
	"cranberrypath.example/cranberrypath/internal/world"
)

const (
	// relayIdleTimeout is how long a streamed answer may be idle before another
	// instance of the cell is asked for it. It is longer than the idle timeout
	// of an engine.
	relayIdleTimeout = defaultFirstTokenTimeout + 2*tokenGapTimeout
	// bodyEndTimeout limits the wait for the end of a body after its last
	// event.
	bodyEndTimeout = 20 * time.Millisecond
	// maxEventBytes limits the size of one event.
	maxEventBytes = 4 << 20
)

var (
	errInstanceStopping = Error.New("the instance stops")
	errEventTooLong     = Error.New("an event exceeds the size limit")
)

// remoteResponse is the response of an entry instance of another cell.
type remoteResponse struct {
	e       *Entry
	call    backnd.Call
	ans     *backnd.Answer
	cancel  context.CancelFunc
	refusal string // code of a refusal for lack of capacity or an unconfirmed configuration
	body    []byte // body of a refusal
}

// openRemote sends a request to an instance of another cell and reads the
// response header.
func (e *Entry) openRemote(addr string, call backnd.Call, spec forwardSpec) (*remoteResponse, error) {
	ctx, stop := context.WithTimeout(e.serveCtx, spec.timeout)
	cancel := func() {
		stop()
		if spec.release != nil {
			spec.release()
		}
	}
	if spec.streamed {
		headerTimer := time.AfterFunc(headerTimeout, cancel)
		defer headerTimer.Stop()
	}
	ans, err := e.cfg.Backends.Call(ctx, world.Backend{Address: addr}, call)
	if err != nil {
		cancel()
		return nil, err
	}
	r := &remoteResponse{e: e, call: call, ans: ans, cancel: cancel}
	if (ans.Status == fasthttp.StatusServiceUnavailable || ans.Status == fasthttp.StatusTooManyRequests) &&
		r.header(headerOutcome) == string(outcomeNotRun) {
		return r, r.readRefusal()
	}
	return r, nil
}

func (r *remoteResponse) readRefusal() error {
	b, err := io.ReadAll(io.LimitReader(r.ans, bufferedBodyBytes))
	r.close()
	var body errorBody
	if err == nil {
		err = json.Unmarshal(b, &body)
	}
	if err != nil {
		return notSentError("noCapacity", err) // the header says that the request did not run
	}
	switch body.Error.Code {
	case "noCapacity", "overShare", "notConfirmed":
		r.refusal = body.Error.Code
	}
	r.body = b
	return nil
}

func (r *remoteResponse) header(name string) string {
	for _, h := range r.ans.Header {
		if strings.EqualFold(h.Name, name) {
			return h.Value
		}
	}
	return ""
}

func (r *remoteResponse) close() {
	_ = r.ans.Close()
	r.cancel()
}

// write relays the response to the caller. If it fails, nothing has been sent.
func (r *remoteResponse) write(c *call, cell cells.Cell) error {
	if strings.HasPrefix(r.header("Content-Type"), eventStream) {
		r.writeStream(c, cell)
		return nil
	}
	out := &plainAnswer{status: r.ans.Status, body: r.body}
	for _, h := range r.ans.Header {
		if !strings.EqualFold(h.Name, headerOutcome) {
			out.header = append(out.header, h)
		}
	}
	if r.body == nil {
		var err error
		if out.body, err = io.ReadAll(io.LimitReader(r.ans, bufferedBodyBytes)); err != nil {
			r.close()
			return err
		}
		out.remainder = r.ans
		if len(out.body) < bufferedBodyBytes {
			out.remainder = nil
			_ = r.ans.Close()
		}
	}
	out.write(c.http, r.cancel)
	if o := r.header(headerOutcome); o != "" {
		c.http.Response.Header.Set(headerOutcome, o)
	}
	return nil
}

// writeStream relays server-sent events until the answer ends. If the sending
// instance is lost, another instance of its cell continues the answer.
func (r *remoteResponse) writeStream(c *call, cell cells.Cell) {
	c.startEvents()
	from, _ := lastEventPosition(c.http) // already validated
	next := r.continuation(c)
	c.http.SetBodyStreamWriter(func(w *bufio.Writer) {
		pos, current := from, r
		for try := 0; ; try++ {
			err := current.copyEvents(w, &pos)
			var caller *callerError
			if err == nil || errors.As(err, &caller) {
				return
			}
			if current = r.e.reopen(next, cell, pos); current == nil {
				break
			}
		}
		if r.e.server.draining.Load() {
			(&eventWriter{w: w}).writeMoved(r.e.addresses(member.Caller{}))
		}
		// Otherwise the stream ends without a final event, which tells the
		// caller that it is incomplete.
	})
}

// continuation returns the request that fetches the rest of the answer. It
// never starts the answer again, so the tokens that the caller has remain
// valid.
func (r *remoteResponse) continuation(c *call) backnd.Call {
	out := r.call
	out.Method, out.Path, out.Body = fasthttp.MethodGet, "/v1/requests/"+c.id, nil
	out.Header = nil
	for _, h := range r.call.Header {
		if !strings.EqualFold(h.Name, headerLastEvent) {
			out.Header = append(out.Header, h)
		}
	}
	return out
}

// reopen asks the instances of a cell for the rest of an answer. It returns nil
// if no instance has it or this process stops.
func (e *Entry) reopen(next backnd.Call, cell cells.Cell, pos uint64) *remoteResponse {
	next.Header = append(next.Header[:len(next.Header):len(next.Header)],
		backnd.Header{Name: headerLastEvent, Value: strconv.FormatUint(pos, 10)})
	for try := range maxFollowTries {
		if !sleep(e.serveCtx, followRetryPause) {
			return nil
		}
		instances := cell.Instances
		if c, ok := e.cells.Known(cell.Name, next.RequestID); ok {
			instances = c.Instances
		}
		spec := forwardSpec{timeout: seconds(e.cfg.Settings.Limits.RequestSeconds), streamed: true}
		r, err := e.openRemote(instances[try%len(instances)].Callers, next, spec)
		if err != nil {
			continue
		}
		if r.ans.Status == fasthttp.StatusOK && strings.HasPrefix(r.header("Content-Type"), eventStream) {
			return r
		}
		r.close()
	}
	return nil
}

// copyEvents relays the events of this response. pos is the caller's position.
func (r *remoteResponse) copyEvents(w *bufio.Writer, pos *uint64) error {
	defer r.close()
	idleTimer := time.AfterFunc(relayIdleTimeout, r.cancel)
	defer idleTimer.Stop()
	in := bufio.NewReader(r.ans)
	if err := relayEvents(in, w, pos, func() { idleTimer.Reset(relayIdleTimeout) }); err != nil {
		return err
	}
	// Read up to the end of the body, so that the connection can be reused.
	idleTimer.Reset(bodyEndTimeout)
	_, _ = io.Copy(io.Discard, in)
	return nil
}

// relayEvents relays complete events and returns nil after the final event. It
// calls onEvent after each event.
func relayEvents(in *bufio.Reader, w *bufio.Writer, pos *uint64, onEvent func()) error {
	var ev eventBuffer
	for {
		line, err := in.ReadSlice('\n')
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
		if len(ev.bytes)+len(line) > maxEventBytes {
			return errEventTooLong
		}
		if complete := ev.add(line, err == nil); !complete {
			continue
		}
		onEvent()
		if ev.isMoved() {
			return errInstanceStopping
		}
		if _, err := w.Write(ev.bytes); err != nil {
			return &callerError{err}
		}
		if err := w.Flush(); err != nil {
			return &callerError{err}
		}
		*pos = ev.position(*pos)
		if ev.isFinal() {
			return nil
		}
		ev = eventBuffer{bytes: ev.bytes[:0]}
	}
}

// eventBuffer holds one event while it is being read.
type eventBuffer struct {
	bytes     []byte
	lineStart int // of the current line
}

// add appends a part of a line and reports whether the event is complete.
func (b *eventBuffer) add(part []byte, end bool) bool {
	b.bytes = append(b.bytes, part...)
	if !end {
		return false
	}
	empty := len(bytes.TrimRight(b.bytes[b.lineStart:], "\r\n")) == 0
	b.lineStart = len(b.bytes)
	return empty
}

func (b *eventBuffer) field(name string) string {
	for line := range strings.SplitSeq(string(b.bytes), "\n") {
		if key, value, ok := strings.Cut(line, ": "); ok && key == name {
			return strings.TrimRight(value, "\r")
		}
	}
	return ""
}

func (b *eventBuffer) isMoved() bool { return b.field("event") == "moved" }

func (b *eventBuffer) isFinal() bool {
	return b.field("event") == "error" || b.field("data") == "[DONE]"
}

// position returns the caller's position after the event. It can be lower than
// before if the cell no longer knew the answer and started it again.
func (b *eventBuffer) position(previous uint64) uint64 {
	n, err := strconv.ParseUint(b.field("id"), 10, 40)
	if err != nil {
		return previous
	}
	return n
}
