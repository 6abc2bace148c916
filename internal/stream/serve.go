package stream

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/link"
	"cranberrypath.example/cranberrypath/internal/stream/strmpb"
)

// Handlers is the part of link.Net that Serve needs.
type Handlers interface {
	Handle(name string, h link.Handler)
	HandleStream(name string, h link.StreamHandler)
}

// Serve registers the keeper's side of copy, attach and takeover. run is called
// with each answer that this instance becomes the owner of and must not block.
// clock is the one by which the instance judges how long an owner is silent.
func Serve(h Handlers, r *Registry, clock func() time.Time, run func(*Answer)) {
	h.HandleStream(copyStream, func(_ context.Context, from link.Peer, s *link.Stream) error {
		return r.serveCopies(from.Node, s, clock)
	})
	h.HandleStream(attachStream, func(ctx context.Context, _ link.Peer, s *link.Stream) error {
		return r.serveAttach(ctx, s)
	})
	h.Handle(takeoverCall, func(_ context.Context, from link.Peer, body []byte) (proto.Message, error) {
		return r.serveTakeover(from.Node, body, clock(), run)
	})
}

// serveAttach sends an answer to a reader at another instance.
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
	return sendChunks(ctx, s, a, m.Pos)
}

// sendChunks sends an answer from a position to its end, or until ctx ends.
func sendChunks(ctx context.Context, s *link.Stream, a *Answer, pos uint64) error {
	for {
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
	code := codeBroken
	if broken.TakenOver {
		code = codeBrokenTakenOver
	}
	return &strmpb.Chunk{Code: code, Message: broken.Reason}
}

func (r *Registry) serveTakeover(from string, body []byte, now time.Time, run func(*Answer)) (proto.Message, error) {
	var m strmpb.Takeover
	if err := proto.Unmarshal(body, &m); err != nil {
		return nil, Error.Wrap(err)
	}
	info, _ := r.Info(m.Id)
	// Only the owner itself may hand over while its copy stream is open.
	a, err := r.Takeover(m.Id, m.Handover && info.Owner == from, now)
	if err != nil {
		return nil, &link.RemoteError{Code: codeOf(err), Message: err.Error()}
	}
	_, ended := a.Ended()
	after, _ := r.Info(m.Id)
	if info.Held && !after.Held && !ended {
		run(a)
	}
	return &strmpb.TakeoverReply{Epoch: after.Epoch, Pos: a.Position(), Ended: ended}, nil
}
