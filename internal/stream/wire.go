package stream

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/link"
	"cranberrypath.example/cranberrypath/internal/stream/strmpb"
	"cranberrypath.example/cranberrypath/internal/world"
)

// The names of the calls and streams between entry instances.
const (
	copyStream   = "copies"
	attachStream = "attach"
	takeoverCall = "takeover"
)

// DefaultAckTimeout is how long readers wait for a keeper before the answer goes
// on uncopied. It is about a hundred round trips between data centres of one region.
const DefaultAckTimeout = 250 * time.Millisecond

// codes are the errors that keep their identity across a link.
var codes = []struct {
	code string
	err  error
}{
	{"takenOver", ErrTakenOver},
	{"unknown", ErrUnknown},
	{"owned", ErrOwned},
	{"position", ErrPosition},
	{"full", ErrFull},
	{"tooLarge", ErrTooLarge},
	{"mismatch", ErrMismatch},
	{"gap", ErrGap},
	{"ended", ErrEnded},
	{"broken", nil},
	{"brokenTakenOver", nil},
}

func codeOf(err error) string {
	for _, c := range codes {
		if c.err != nil && errors.Is(err, c.err) {
			return c.code
		}
	}
	return "failed"
}

func errorOf(code, message string) error {
	for _, c := range codes {
		if c.code == code && c.err != nil {
			return c.err
		}
	}
	return Error.New("%s: %s", code, message)
}

// Handlers is the part of link.Net that Serve needs.
type Handlers interface {
	Handle(name string, h link.Handler)
	HandleStream(name string, h link.StreamHandler)
}

// Serve registers the keeper's side of copy, attach and takeover. run is called
// with each answer that this instance becomes the owner of and must not block.
func Serve(h Handlers, r *Registry, run func(*Answer)) {
	h.HandleStream(copyStream, func(_ context.Context, from link.Peer, s *link.Stream) error {
		return r.serveCopies(from.Node, s)
	})
	h.HandleStream(attachStream, func(ctx context.Context, _ link.Peer, s *link.Stream) error {
		return r.serveAttach(ctx, s)
	})
	h.Handle(takeoverCall, func(_ context.Context, from link.Peer, body []byte) (proto.Message, error) {
		return r.serveTakeover(from.Node, body, run)
	})
}

func (r *Registry) serveAttach(ctx context.Context, s *link.Stream) error {
	var m strmpb.Attach
	if err := s.Recv(&m); err != nil {
		return Error.Wrap(err)
	}
	a, ok := r.Get(m.Id)
	if !ok {
		return Error.Wrap(s.Send(chunkError(ErrUnknown)))
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		defer cancel()
		// The reader sends nothing more; Recv returns when it closes the stream.
		_ = s.Recv(&strmpb.Attach{})
	}()
	defer func() {
		_ = s.SetDeadline(time.Unix(1, 0))
		<-gone
	}()
	for pos := m.Pos; ; {
		chunks, done, err := a.Read(ctx, pos)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return Error.Wrap(s.Send(chunkError(err)))
		}
		out := &strmpb.Chunk{Pos: pos, Done: done}
		for _, c := range chunks {
			out.Tokens = append(out.Tokens, []byte(c.Text))
		}
		if done {
			e, _ := a.Ended()
			out.Reason = e.Reason
		}
		if err := s.Send(out); err != nil || done {
			return Error.Wrap(err)
		}
		pos += uint64(len(chunks))
	}
}

func chunkError(err error) *strmpb.Chunk {
	var broken *BrokenError
	if !errors.As(err, &broken) {
		return &strmpb.Chunk{Code: codeOf(err), Message: err.Error()}
	}
	code := "broken"
	if broken.TakenOver {
		code = "brokenTakenOver"
	}
	return &strmpb.Chunk{Code: code, Message: broken.Reason}
}

func (r *Registry) serveTakeover(from string, body []byte, run func(*Answer)) (proto.Message, error) {
	var m strmpb.Takeover
	if err := proto.Unmarshal(body, &m); err != nil {
		return nil, Error.Wrap(err)
	}
	info, _ := r.Info(m.Id)
	// Only the owner itself may hand over while its copy stream is open.
	a, err := r.Takeover(m.Id, m.Handover && info.Owner == from, time.Now())
	if err != nil {
		return nil, &link.RemoteError{Code: codeOf(err), Message: err.Error()}
	}
	_, ended := a.Ended()
	now, _ := r.Info(m.Id)
	if info.Held && !now.Held && !ended {
		run(a)
	}
	return &strmpb.TakeoverReply{Epoch: now.Epoch, Pos: a.Position(), Ended: ended}, nil
}

// Dialer is the part of link.Net that a Client needs.
type Dialer interface {
	Open(ctx context.Context, addr, name string) (*link.Stream, error)
	Call(ctx context.Context, addr, name string, req, resp proto.Message) error
}

// Client reaches the registries of other entry instances.
type Client struct {
	Net        Dialer
	AckTimeout time.Duration // DefaultAckTimeout if 0

	mu    sync.Mutex
	pairs map[string]*pair                                     // by the keeper's address
	dial  func(ctx context.Context, addr string) (wire, error) // replaces Net in tests
}

// Attach reads an answer of the instance at addr from a position and calls each
// with its tokens. It returns the reason of the final mark, or an error:
// ErrUnknown, ErrPosition, a *BrokenError, or one of the link, after which the
// caller may attach again.
func (c *Client) Attach(ctx context.Context, addr, id string, pos uint64, each func([]Chunk) error) (string, error) {
	s, err := c.Net.Open(ctx, addr, attachStream)
	if err != nil {
		return "", Error.Wrap(err)
	}
	defer s.Close()
	stop := context.AfterFunc(ctx, func() { _ = s.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := s.Send(&strmpb.Attach{Id: id, Pos: pos}); err != nil {
		return "", Error.Wrap(err)
	}
	for {
		var m strmpb.Chunk
		if err := s.Recv(&m); err != nil {
			return "", Error.Wrap(err)
		}
		chunks, err := chunksFrom(id, pos, &m)
		if err != nil {
			return "", err
		}
		if len(chunks) > 0 {
			if err := each(chunks); err != nil {
				return "", err
			}
		}
		if m.Done {
			return m.Reason, nil
		}
		pos += uint64(len(chunks))
	}
}

func chunksFrom(id string, pos uint64, m *strmpb.Chunk) ([]Chunk, error) {
	switch {
	case m.Code == "broken", m.Code == "brokenTakenOver":
		return nil, &BrokenError{ID: id, Reason: m.Message, TakenOver: m.Code == "brokenTakenOver"}
	case m.Code != "":
		return nil, errorOf(m.Code, m.Message)
	case m.Pos != pos:
		return nil, ErrMismatch
	case m.Done && m.Reason == "":
		return nil, ErrNotFinal
	}
	out := make([]Chunk, len(m.Tokens))
	for i, t := range m.Tokens {
		out[i] = Chunk{Pos: pos + uint64(i), Text: string(t)}
	}
	return out, nil
}

// Takeover asks the instance at addr to become the owner of an answer that it
// keeps a copy of. handover is set by an owner that is stopping. It returns the
// position at which the new owner continues.
func (c *Client) Takeover(ctx context.Context, addr, id string, handover bool) (pos uint64, ended bool, err error) {
	var resp strmpb.TakeoverReply
	err = c.Net.Call(ctx, addr, takeoverCall, &strmpb.Takeover{Id: id, Handover: handover}, &resp)
	var re *link.RemoteError
	if errors.As(err, &re) {
		return 0, false, errorOf(re.Code, re.Message)
	}
	return resp.Pos, resp.Ended, Error.Wrap(err)
}

func requestTo(r Request) *strmpb.Request {
	return &strmpb.Request{Id: r.ID, Org: r.Org, Service: r.Service, Version: r.Version, Class: uint32(r.Class), Body: r.Body}
}

func requestFrom(m *strmpb.Request) Request {
	return Request{
		ID: m.GetId(), Org: m.GetOrg(), Service: m.GetService(), Version: m.GetVersion(),
		Class: world.Class(min(m.GetClass(), uint32(world.Review))), Body: m.GetBody(),
	}
}

func stringsOf(in [][]byte) []string {
	out := make([]string, len(in))
	for i, b := range in {
		out[i] = string(b)
	}
	return out
}

func bytesOf(in []string) [][]byte {
	out := make([][]byte, len(in))
	for i, s := range in {
		out[i] = []byte(s)
	}
	return out
}
