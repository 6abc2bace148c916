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

// notSent wraps the error of a call that was not sent to the peer.
type notSent struct{ err error }

func (e *notSent) Error() string { return e.err.Error() }
func (e *notSent) Unwrap() error { return e.err }

// NotSent reports whether err guarantees that no byte of the call was sent.
func NotSent(err error) bool {
	var e *notSent
	return errors.As(err, &e)
}

// pendingCall is a call or a stream that is being opened. yamux calls block for up
// to writeTimeout even past the stream's deadline, so they run in a goroutine that
// the caller can abandon.
type pendingCall struct {
	transport       *Transport
	session         *yamux.Session
	counters        *counters
	requestMessages []byte // messages to send in one write
	result          chan callResult

	mu          sync.Mutex
	yamuxStream *yamux.Stream
	abandoned   bool // the caller has returned because its context ended
}

type callResult struct {
	body []byte // message that follows the result of a call
	err  error
}

// Call sends req to the process at addr and waits for its response until ctx is
// done. An error of type *RemoteError came from the peer. For any other error the
// outcome is unknown, unless NotSent reports true.
func (n *Transport) Call(ctx context.Context, addr, name string, req, resp proto.Message) error {
	x, err := n.prepareCall(ctx, addr, name, req)
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

// Open opens a stream to the process at addr. ctx applies to opening the stream,
// and its deadline, if any, also to the context of the peer's handler. The stream
// itself lasts until the session ends or its own deadline passes. The caller must
// close it.
func (n *Transport) Open(ctx context.Context, addr, name string) (*Stream, error) {
	x, err := n.prepareCall(ctx, addr, name, nil)
	if err != nil {
		return nil, &notSent{err}
	}
	if !n.spawn(func() { x.result <- callResult{err: x.open()} }) {
		return nil, &notSent{Error.New("closed")}
	}
	if _, err := x.wait(ctx); err != nil {
		return nil, err
	}
	s := newStream(n, x.yamuxStream)
	s.counters = x.counters
	return s, nil
}

// prepareCall obtains the session and encodes the first messages.
func (n *Transport) prepareCall(ctx context.Context, addr, name string, req proto.Message) (*pendingCall, error) {
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
	b, err := appendMessage(nil, open)
	if err == nil && req != nil {
		b, err = appendMessage(b, req)
	}
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return &pendingCall{transport: n, session: session, counters: n.countersFor(name), requestMessages: b, result: make(chan callResult, 1)}, nil
}

// wait returns the result of the call, or an error when ctx is done.
func (x *pendingCall) wait(ctx context.Context) (callResult, error) {
	select {
	case out := <-x.result:
		return out, out.err
	case <-ctx.Done():
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.abandoned = true
	err := Error.Wrap(ctx.Err())
	if x.yamuxStream == nil {
		return callResult{}, &notSent{err}
	}
	_ = x.yamuxStream.SetDeadline(time.Unix(1, 0))
	// Closing at once lets the peer stop its handler. A second Close has no effect.
	x.transport.background(func() { _ = x.yamuxStream.Close() })
	return callResult{}, err
}

// open opens the stream and writes the first messages, unless the call was
// abandoned.
func (x *pendingCall) open() error {
	ys, err := x.session.OpenStream()
	if err != nil {
		return &notSent{Error.Wrap(err)}
	}
	x.mu.Lock()
	if x.abandoned {
		x.mu.Unlock()
		_ = ys.Close()
		return Error.New("call was abandoned by its caller")
	}
	x.yamuxStream = ys
	x.mu.Unlock()
	x.counters.addWrite(len(x.requestMessages))
	if _, err := ys.Write(x.requestMessages); err != nil {
		_ = ys.Close()
		return Error.Wrap(err)
	}
	return nil
}

func (x *pendingCall) call() {
	if err := x.open(); err != nil {
		x.result <- callResult{err: err}
		return
	}
	defer x.yamuxStream.Close()
	body, err := x.receive()
	x.result <- callResult{body: body, err: err}
}

func (x *pendingCall) receive() ([]byte, error) {
	b, err := readMessageBytes(x.yamuxStream, maxMessageBytes)
	if err != nil {
		return nil, err
	}
	x.counters.addRead(len(b) + lengthPrefixBytes)
	var res linkpb.Result
	if err := proto.Unmarshal(b, &res); err != nil {
		return nil, Error.Wrap(err)
	}
	x.transport.cfg.Clock.Observe(clock.Stamp(res.Stamp))
	if res.Code != "" {
		return nil, &RemoteError{Code: res.Code, Message: res.Message}
	}
	b, err = readMessageBytes(x.yamuxStream, maxMessageBytes)
	x.counters.addRead(len(b) + lengthPrefixBytes)
	return b, err
}

// spawn runs f in a goroutine that Close waits for. It returns false if n is closed.
func (n *Transport) spawn(f func()) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.wg.Go(f)
	return true
}

// background runs f without blocking the caller. If n is closed, its sessions are
// closed too, so f does not block and runs directly.
func (n *Transport) background(f func()) {
	if !n.spawn(f) {
		f()
	}
}
