package raft

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/link"
	"cranberrypath.example/cranberrypath/internal/raft/raftpb"
)

const (
	beatsName = "raft.beats"
	// joinWindow is how long a heartbeat waits for those of other groups to the
	// same process. All beat at the same moments, so it only covers the time until
	// their goroutines run, which takes milliseconds on a busy machine.
	joinWindow = 5 * time.Millisecond
	// joinTimeout bounds joined heartbeats of which none has a deadline.
	joinTimeout = time.Second
)

// began is the origin of the moments at which the groups of this process beat.
var began = time.Now()

// beats returns how many moments to beat have passed.
func beats(every time.Duration) int64 { return int64(time.Since(began) / every) }

// untilBeat returns the time until the next moment to beat, or 0 if one has come
// after the one numbered done.
func untilBeat(every time.Duration, done int64) time.Duration {
	if beats(every) > done {
		return 0
	}
	return every - time.Since(began)%every
}

// joined are heartbeats to one process that travel in one message.
type joined struct {
	requests  []*raftpb.Message
	deadline  time.Time // the latest of their contexts
	done      chan struct{}
	responses []*raftpb.Message // after done; nil for a member that was busy
	err       error             // after done
}

// beat carries a heartbeat together with those of other groups. A member that
// is busy, perhaps with a sync, must not delay the others: it is asked alone.
func (l *Links) beat(ctx context.Context, to string, req *raftpb.Message) (*raftpb.Message, error) {
	l.mu.Lock()
	j := l.joining[to]
	if j == nil {
		j = &joined{done: make(chan struct{})}
		l.joining[to] = j
		window := joinWindow
		if len(l.groups) == 1 {
			window = 0 // there is nothing to join
		}
		time.AfterFunc(window, func() { l.send(to, j) })
	}
	n := len(j.requests)
	j.requests = append(j.requests, req)
	if d, ok := ctx.Deadline(); ok && d.After(j.deadline) {
		j.deadline = d
	}
	l.mu.Unlock()
	select {
	case <-j.done:
	case <-ctx.Done():
		return nil, Error.Wrap(ctx.Err())
	}
	switch {
	case j.err != nil:
		return nil, j.err
	case j.responses[n] == nil:
		return l.call(ctx, to, req)
	}
	return j.responses[n], nil
}

// send carries joined heartbeats. It is no part of a group, whose leadership may
// end while the others wait.
func (l *Links) send(to string, j *joined) {
	defer close(j.done)
	l.mu.Lock()
	delete(l.joining, to)
	l.mu.Unlock()
	if j.deadline.IsZero() {
		j.deadline = time.Now().Add(joinTimeout)
	}
	ctx, cancel := context.WithDeadline(context.Background(), j.deadline)
	defer cancel()
	j.responses = make([]*raftpb.Message, len(j.requests))
	req, resp := &raftpb.Beats{}, &raftpb.BeatsAnswer{}
	for _, r := range j.requests {
		req.Beats = append(req.Beats, &raftpb.Beat{Group: r.Group, Term: r.Term, ToIncarnation: r.ToIncarnation})
	}
	if j.err = l.do(ctx, to, beatsName, req, resp); j.err != nil {
		return
	}
	for i, r := range j.requests {
		j.responses[i] = answerOf(resp, i, r, to)
	}
}

// answerOf returns the answer to the heartbeat at position i, or nil if there is none.
func answerOf(all *raftpb.BeatsAnswer, i int, req *raftpb.Message, to string) *raftpb.Message {
	if slices.Contains(all.Confirmed, uint32(i)) {
		return &raftpb.Message{
			Kind: req.Kind, Group: req.Group, Term: req.Term, From: to, FromIncarnation: req.ToIncarnation,
			Leader: req.From, Ok: true,
		}
	}
	if k := slices.Index(all.Positions, uint32(i)); k >= 0 && k < len(all.Others) {
		return all.Others[k]
	}
	return nil
}

func (l *Links) handleBeats(_ context.Context, from link.Peer, body []byte) (proto.Message, error) {
	var req raftpb.Beats
	if err := proto.Unmarshal(body, &req); err != nil {
		return nil, Error.Wrap(err)
	}
	out := &raftpb.BeatsAnswer{}
	for i, b := range req.Beats {
		l.mu.Lock()
		g := l.groups[b.Group]
		l.mu.Unlock()
		if g == nil {
			continue
		}
		resp := g.tryHeartbeat(&raftpb.Message{
			Kind: raftpb.Kind_KIND_HEARTBEAT, Group: b.Group, Term: b.Term, From: from.Node, ToIncarnation: b.ToIncarnation,
		})
		switch {
		case resp == nil:
		case resp.Ok && !resp.Leaving:
			out.Confirmed = append(out.Confirmed, uint32(i))
		default:
			out.Positions = append(out.Positions, uint32(i))
			out.Others = append(out.Others, resp)
		}
	}
	return out, nil
}

// tryHeartbeat answers a heartbeat like Handle, or returns nil if the member has
// stopped or another goroutine holds its state, perhaps during a sync.
func (g *Group) tryHeartbeat(req *raftpb.Message) *raftpb.Message {
	if !g.mu.TryLock() {
		return nil
	}
	defer g.mu.Unlock()
	if g.err != nil {
		return nil
	}
	resp := g.newResponse(req)
	if !resp.Stranger {
		g.confirmLeader(req, resp)
	}
	return resp
}
