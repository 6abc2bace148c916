package stream

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/link"
	"cranberrypath.example/cranberrypath/internal/stream/strmpb"
)

// Handlers is the subset of link.Transport that Serve uses.
type Handlers interface {
	Handle(name string, h link.Handler)
	HandleStream(name string, h link.StreamHandler)
}

// Serve registers the handlers for replication, attach and takeover. onTakeover is
// called with each answer that this instance becomes the owner of and must not
// block. clock gives the times at which messages of an owner arrive.
func Serve(h Handlers, r *Registry, clock func() time.Time, onTakeover func(*Answer)) {
	h.HandleStream(replicaStreamName, func(_ context.Context, from link.Peer, s *link.Stream) error {
		return r.serveReplicas(from.Node, s, clock)
	})
	h.HandleStream(attachStreamName, func(ctx context.Context, _ link.Peer, s *link.Stream) error {
		return r.serveAttach(ctx, s)
	})
	h.Handle(takeoverCallName, func(_ context.Context, from link.Peer, body []byte) (proto.Message, error) {
		return r.serveTakeover(from.Node, body, clock(), onTakeover)
	})
}

// serveAttach sends an answer to a reader on another instance.
func (r *Registry) serveAttach(ctx context.Context, s *link.Stream) error {
	var m strmpb.Attach
	if err := s.Recv(&m); err != nil {
		return Error.Wrap(err)
	}
	a, ok := r.Get(m.Id)
	if !ok {
		return Error.Wrap(s.Send(errorChunk(ErrUnknown)))
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	readerClosed := make(chan struct{})
	go func() {
		defer close(readerClosed)
		defer cancel()
		// The reader sends nothing more; Recv returns when it closes the stream.
		_ = s.Recv(&strmpb.Attach{})
	}()
	defer func() {
		_ = s.SetDeadline(time.Unix(1, 0))
		<-readerClosed
	}()
	return sendChunks(ctx, s, a, m.Pos)
}

// sendChunks sends the tokens of an answer starting at a position, until the answer or ctx ends.
func sendChunks(ctx context.Context, s *link.Stream, a *Answer, pos uint64) error {
	for {
		chunks, done, err := a.Read(ctx, pos)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return Error.Wrap(s.Send(errorChunk(err)))
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

func errorChunk(err error) *strmpb.Chunk {
	var broken *AbortedError
	if !errors.As(err, &broken) {
		return &strmpb.Chunk{Code: codeOf(err), Message: err.Error()}
	}
	code := codeBroken
	if broken.TakenOver {
		code = codeBrokenTakenOver
	}
	return &strmpb.Chunk{Code: code, Message: broken.Reason}
}

func (r *Registry) serveTakeover(from string, body []byte, now time.Time, onTakeover func(*Answer)) (proto.Message, error) {
	var m strmpb.Takeover
	if err := proto.Unmarshal(body, &m); err != nil {
		return nil, Error.Wrap(err)
	}
	info, _ := r.Info(m.Id)
	// While the owner's replica stream is open, only the owner may hand over.
	a, taken, err := r.Takeover(m.Id, m.Handover && info.Owner == from, now)
	if err != nil {
		return nil, &link.RemoteError{Code: codeOf(err), Message: err.Error()}
	}
	_, ended := a.Ended()
	updated, _ := r.Info(m.Id)
	if taken {
		onTakeover(a)
	}
	return &strmpb.TakeoverReply{Epoch: updated.Epoch, Pos: a.Position(), Ended: ended}, nil
}
