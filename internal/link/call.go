package link

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/clock"
	"cranberrypath.example/cranberrypath/internal/link/linkpb"
)

// notSent marks an error of a call that the peer does not see.
type notSent struct{ err error }

func (e *notSent) Error() string { return e.err.Error() }
func (e *notSent) Unwrap() error { return e.err }

// NotSent reports whether err means that no byte of the call left this process.
func NotSent(err error) bool {
	var e *notSent
	return errors.As(err, &e)
}

// exchange is one stream that is being opened. The calls of yamux block for up
// to writeTimeout whatever the deadline of the stream says, so they run on a
// goroutine that the caller can leave behind.
type exchange struct {
	net     *Net
	session *yamux.Session
	count   *counters
	request []byte // frames to write as one
	done    chan outcome

	mu   sync.Mutex
	y    *yamux.Stream
	left bool // the caller has gone
}

type outcome struct {
	body []byte // frame after the result, of a call
	err  error
}

// Call sends req to the process at addr and waits for its response, at most
// until ctx ends. An error of type *RemoteError came from the peer; with any
// other the outcome is unknown unless NotSent reports true.
func (n *Net) Call(ctx context.Context, addr, name string, req, resp proto.Message) error {
	x, err := n.begin(ctx, addr, name, req)
	if err != nil {
		return &notSent{err}
	}
	if !n.spawn(func() { x.call() }) {
		return &notSent{Error.New("closed")}
	}
	out, err := x.wait(ctx)
	if err != nil {
		return err
	}
	return Error.Wrap(proto.Unmarshal(out.body, resp))
}

// Open opens a stream to the process at addr. ctx bounds the opening and, if it
// has a deadline, the context of the peer's handler; the stream itself ends with
// the session or its own deadline. The caller must close it.
func (n *Net) Open(ctx context.Context, addr, name string) (*Stream, error) {
	x, err := n.begin(ctx, addr, name, nil)
	if err != nil {
		return nil, &notSent{err}
	}
	if !n.spawn(func() { x.done <- outcome{err: x.open()} }) {
		return nil, &notSent{Error.New("closed")}
	}
	if _, err := x.wait(ctx); err != nil {
		return nil, err
	}
	s := newStream(n, x.y)
	s.count = x.count
	return s, nil
}

// begin finds the session and encodes the first frames.
func (n *Net) begin(ctx context.Context, addr, name string, req proto.Message) (*exchange, error) {
	if ctx.Err() != nil {
		return nil, Error.Wrap(ctx.Err())
	}
	session, err := n.session(ctx, addr)
	if err != nil {
		return nil, err
	}
	open := &linkpb.Open{Name: name, Stamp: uint64(n.cfg.Clock.Now(time.Now()))}
	if d, ok := ctx.Deadline(); ok {
		open.TimeoutMs = uint64(max(time.Until(d).Milliseconds(), 1))
	}
	b, err := appendFrame(nil, open)
	if err == nil && req != nil {
		b, err = appendFrame(b, req)
	}
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return &exchange{net: n, session: session, count: n.named(name), request: b, done: make(chan outcome, 1)}, nil
}

// wait returns the outcome, or an error when ctx ends.
func (x *exchange) wait(ctx context.Context) (outcome, error) {
	select {
	case out := <-x.done:
		return out, out.err
	case <-ctx.Done():
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.left = true
	err := Error.Wrap(ctx.Err())
	if x.y == nil {
		return outcome{}, &notSent{err}
	}
	_ = x.y.SetDeadline(time.Unix(1, 0))
	// Told at once, the peer can stop its handler; closing twice is harmless.
	x.net.background(func() { _ = x.y.Close() })
	return outcome{}, err
}

// open opens the stream and writes the first frames, unless the caller has left.
func (x *exchange) open() error {
	y, err := x.session.OpenStream()
	if err != nil {
		return &notSent{Error.Wrap(err)}
	}
	x.mu.Lock()
	if x.left {
		x.mu.Unlock()
		_ = y.Close()
		return Error.New("the caller has left")
	}
	x.y = y
	x.mu.Unlock()
	x.count.wrote(len(x.request))
	if _, err := y.Write(x.request); err != nil {
		_ = y.Close()
		return Error.Wrap(err)
	}
	return nil
}

func (x *exchange) call() {
	if err := x.open(); err != nil {
		x.done <- outcome{err: err}
		return
	}
	defer x.y.Close()
	body, err := x.receive()
	x.done <- outcome{body: body, err: err}
}

func (x *exchange) receive() ([]byte, error) {
	b, err := readBytes(x.y)
	if err != nil {
		return nil, err
	}
	x.count.read(len(b) + frameLength)
	var res linkpb.Result
	if err := proto.Unmarshal(b, &res); err != nil {
		return nil, Error.Wrap(err)
	}
	x.net.cfg.Clock.Observe(clock.Stamp(res.Stamp))
	if res.Code != "" {
		return nil, &RemoteError{Code: res.Code, Message: res.Message}
	}
	b, err = readBytes(x.y)
	x.count.read(len(b) + frameLength)
	return b, err
}

// spawn runs f on a goroutine that Close waits for, unless the net is closed.
func (n *Net) spawn(f func()) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.wg.Go(f)
	return true
}

// background runs f without blocking the caller. When the net is closed, its
// sessions are too and f does not block.
func (n *Net) background(f func()) {
	if !n.spawn(f) {
		f()
	}
}
