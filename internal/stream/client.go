package stream

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/link"
	"cranberrypath.example/cranberrypath/internal/stream/strmpb"
)

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
	case m.Code == codeBroken, m.Code == codeBrokenTakenOver:
		return nil, &BrokenError{ID: id, Reason: m.Message, TakenOver: m.Code == codeBrokenTakenOver}
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
