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
	// relayQuiet is how long a streamed answer may be silent before another
	// instance of the cell is asked for it. It is longer than an engine may be.
	relayQuiet = silence + 2*pauseBetween
	// lastWait bounds the wait for the end of a body whose last event has come.
	lastWait = 20 * time.Millisecond
	// maxRelayed bounds one event.
	maxRelayed = 4 << 20
)

var (
	errMoved     = Error.New("the instance stops")
	errLongEvent = Error.New("an event is too long")
)

// remote is the response of an entry instance of another cell.
type remote struct {
	e       *Entry
	call    backnd.Call
	ans     *backnd.Answer
	cancel  context.CancelFunc
	refusal string // code, if the instance has no room or may not take requests
	body    []byte // of a refusal with another code
}

// open sends a request to an instance and reads the header of its response.
func (e *Entry) open(addr string, call backnd.Call, w wanted) (*remote, error) {
	ctx, stop := context.WithTimeout(e.ctx, w.limit)
	cancel := func() {
		stop()
		if w.done != nil {
			w.done()
		}
	}
	if w.stream {
		late := time.AfterFunc(headerWait, cancel)
		defer late.Stop()
	}
	ans, err := e.cfg.Backends.Call(ctx, world.Backend{Address: addr}, call)
	if err != nil {
		cancel()
		return nil, err
	}
	r := &remote{e: e, call: call, ans: ans, cancel: cancel}
	if (ans.Status == fasthttp.StatusServiceUnavailable || ans.Status == fasthttp.StatusTooManyRequests) &&
		r.header(headerOutcome) == string(notRun) {
		return r, r.readRefusal()
	}
	return r, nil
}

func (r *remote) readRefusal() error {
	b, err := io.ReadAll(io.LimitReader(r.ans, bufferedBody))
	r.close()
	var body errorBody
	if err == nil {
		err = json.Unmarshal(b, &body)
	}
	if err != nil {
		return notSent("noCapacity", err) // the header has said that it did not run
	}
	switch body.Error.Code {
	case "noCapacity", "overShare", "notConfirmed":
		r.refusal = body.Error.Code
	}
	r.body = b
	return nil
}

func (r *remote) header(name string) string {
	for _, h := range r.ans.Header {
		if strings.EqualFold(h.Name, name) {
			return h.Value
		}
	}
	return ""
}

func (r *remote) close() {
	_ = r.ans.Close()
	r.cancel()
}

// write relays the response to the caller. After an error nothing was sent.
func (r *remote) write(c *call, cell cells.Cell) error {
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
		if out.body, err = io.ReadAll(io.LimitReader(r.ans, bufferedBody)); err != nil {
			r.close()
			return err
		}
		out.rest = r.ans
		if len(out.body) < bufferedBody {
			out.rest = nil
			_ = r.ans.Close()
		}
	}
	out.write(c.http, r.cancel)
	if o := r.header(headerOutcome); o != "" {
		c.http.Response.Header.Set(headerOutcome, o)
	}
	return nil
}

// writeStream relays server-sent events until the answer ends. If the instance
// that sends them is lost, another one of its cell continues the answer.
func (r *remote) writeStream(c *call, cell cells.Cell) {
	c.startEvents()
	from, _ := lastEvent(c.http) // it has been checked
	next := r.continuation(c)
	c.http.SetBodyStreamWriter(func(w *bufio.Writer) {
		pos, now := from, r
		for try := 0; ; try++ {
			err := now.copyEvents(w, &pos)
			var caller *errReader
			if err == nil || errors.As(err, &caller) {
				return
			}
			if now = r.e.reopen(next, cell, pos); now == nil {
				break
			}
		}
		if r.e.server.draining.Load() {
			(&eventWriter{w: w}).moved(r.e.addresses(member.Caller{}))
		}
		// Otherwise a stream without a final event was broken off.
	})
}

// continuation is the request that fetches the rest of the answer. It never
// begins the answer anew, so what the caller has stays valid.
func (r *remote) continuation(c *call) backnd.Call {
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
// if none has it or this process stops.
func (e *Entry) reopen(next backnd.Call, cell cells.Cell, pos uint64) *remote {
	next.Header = append(next.Header[:len(next.Header):len(next.Header)],
		backnd.Header{Name: headerLastEvent, Value: strconv.FormatUint(pos, 10)})
	for try := range followTries {
		if !pause(e.ctx, followPause) {
			return nil
		}
		all := cell.Instances
		if c, ok := e.cells.Known(cell.Name, next.RequestID); ok {
			all = c.Instances
		}
		w := wanted{limit: seconds(e.cfg.Settings.Limits.RequestSeconds), stream: true}
		r, err := e.open(all[try%len(all)].Callers, next, w)
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
func (r *remote) copyEvents(w *bufio.Writer, pos *uint64) error {
	defer r.close()
	quiet := time.AfterFunc(relayQuiet, r.cancel)
	defer quiet.Stop()
	in := bufio.NewReader(r.ans)
	if err := relayEvents(in, w, pos, func() { quiet.Reset(relayQuiet) }); err != nil {
		return err
	}
	// The end of the body follows; after it the connection can be used again.
	quiet.Reset(lastWait)
	_, _ = io.Copy(io.Discard, in)
	return nil
}

// relayEvents relays whole events and returns nil after the final one. It calls
// each after every event.
func relayEvents(in *bufio.Reader, w *bufio.Writer, pos *uint64, each func()) error {
	var ev relayed
	for {
		line, err := in.ReadSlice('\n')
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
		if len(ev.bytes)+len(line) > maxRelayed {
			return errLongEvent
		}
		if whole := ev.add(line, err == nil); !whole {
			continue
		}
		each()
		if ev.moved() {
			return errMoved
		}
		if _, err := w.Write(ev.bytes); err != nil {
			return &errReader{err}
		}
		if err := w.Flush(); err != nil {
			return &errReader{err}
		}
		*pos = ev.position(*pos)
		if ev.final() {
			return nil
		}
		ev = relayed{bytes: ev.bytes[:0]}
	}
}

// relayed is one event that is being read.
type relayed struct {
	bytes []byte
	start int // of the present line
}

// add appends a part of a line and reports whether the event is whole.
func (v *relayed) add(part []byte, end bool) bool {
	v.bytes = append(v.bytes, part...)
	if !end {
		return false
	}
	empty := len(bytes.TrimRight(v.bytes[v.start:], "\r\n")) == 0
	v.start = len(v.bytes)
	return empty
}

func (v *relayed) field(name string) string {
	for line := range strings.SplitSeq(string(v.bytes), "\n") {
		if key, value, ok := strings.Cut(line, ": "); ok && key == name {
			return strings.TrimRight(value, "\r")
		}
	}
	return ""
}

func (v *relayed) moved() bool { return v.field("event") == "moved" }

func (v *relayed) final() bool { return v.field("event") == "error" || v.field("data") == "[DONE]" }

// position returns the caller's position after the event. It may be lower than
// the one before: an answer that was no longer known begins anew.
func (v *relayed) position(before uint64) uint64 {
	n, err := strconv.ParseUint(v.field("id"), 10, 40)
	if err != nil {
		return before
	}
	return n
}
