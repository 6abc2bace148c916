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

// Dialer is the subset of link.Net that a Client uses.
type Dialer interface {
	Open(ctx context.Context, addr, name string) (*link.Stream, error)
	Call(ctx context.Context, addr, name string, req, resp proto.Message) error
}

// Client calls the registries of other entry instances.
type Client struct {
	Net        Dialer
	AckTimeout time.Duration // DefaultAckTimeout if 0

	mu    sync.Mutex
	conns map[string]*holderConn                                        // by address of the replica holder
	dial  func(ctx context.Context, addr string) (messageStream, error) // replaces Net in tests
}

// Attach reads an answer from the instance at addr, starting at a position, and
// calls onChunks with its tokens. It returns the finish reason or an error:
// ErrUnknown, ErrPosition, a *BrokenError, or a connection error, after which
// the caller may attach again.
func (c *Client) Attach(ctx context.Context, addr, id string, pos uint64, onChunks func([]Chunk) error) (string, error) {
	s, err := c.Net.Open(ctx, addr, attachStreamName)
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
		chunks, err := chunksFromProto(id, pos, &m)
		if err != nil {
			return "", err
		}
		if len(chunks) > 0 {
			if err := onChunks(chunks); err != nil {
				return "", err
			}
		}
		if m.Done {
			return m.Reason, nil
		}
		pos += uint64(len(chunks))
	}
}

func chunksFromProto(id string, pos uint64, m *strmpb.Chunk) ([]Chunk, error) {
	switch {
	case m.Code == codeBroken, m.Code == codeBrokenTakenOver:
		return nil, &BrokenError{ID: id, Reason: m.Message, TakenOver: m.Code == codeBrokenTakenOver}
	case m.Code != "":
		return nil, errorFromCode(m.Code, m.Message)
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

// Takeover asks the instance at addr to become the owner of an answer of which
// it holds a replica. An owner that shuts down sets handover. Takeover returns
// the position at which the new owner continues.
func (c *Client) Takeover(ctx context.Context, addr, id string, handover bool) (pos uint64, ended bool, err error) {
	var resp strmpb.TakeoverReply
	err = c.Net.Call(ctx, addr, takeoverCallName, &strmpb.Takeover{Id: id, Handover: handover}, &resp)
	var remoteErr *link.RemoteError
	if errors.As(err, &remoteErr) {
		return 0, false, errorFromCode(remoteErr.Code, remoteErr.Message)
	}
	return resp.Pos, resp.Ended, Error.Wrap(err)
}
