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
	heartbeatsCallName = "raft.beats"
	// batchWindow is how long a heartbeat waits for heartbeats of other groups to
	// the same process. All groups send at the same times, so the window only covers
	// the time until their goroutines run: milliseconds on a busy machine.
	batchWindow = 5 * time.Millisecond
	// batchTimeout is the timeout of a batch of heartbeats without deadlines.
	batchTimeout = time.Second
)

// heartbeatEpoch is the time from which all groups of this process count heartbeat
// intervals, so that they send at the same times.
var heartbeatEpoch = time.Now()

// heartbeatCount returns the number of heartbeat times that have passed.
func heartbeatCount(interval time.Duration) int64 {
	return int64(time.Since(heartbeatEpoch) / interval)
}

// untilNextHeartbeat returns the time until the next heartbeat is due, or 0 if more
// than lastCount heartbeat times have passed.
func untilNextHeartbeat(interval time.Duration, lastCount int64) time.Duration {
	if heartbeatCount(interval) > lastCount {
		return 0
	}
	return interval - time.Since(heartbeatEpoch)%interval
}

// heartbeatBatch holds heartbeats of several groups that are sent to one process in
// one message.
type heartbeatBatch struct {
	requests  []*raftpb.Message
	deadline  time.Time // the latest deadline of the callers
	done      chan struct{}
	responses []*raftpb.Message // valid after done; nil for a member that was busy
	err       error             // valid after done
}

// sendHeartbeat sends a heartbeat in a batch with those of other groups. A member
// that is busy, for example with a sync, does not answer in the batch, so that it
// does not delay the others, and is then called separately.
func (l *Links) sendHeartbeat(ctx context.Context, to string, req *raftpb.Message) (*raftpb.Message, error) {
	l.mu.Lock()
	batch := l.pendingBatches[to]
	if batch == nil {
		batch = &heartbeatBatch{done: make(chan struct{})}
		l.pendingBatches[to] = batch
		window := batchWindow
		if len(l.groups) == 1 {
			window = 0 // there are no other groups
		}
		time.AfterFunc(window, func() { l.sendBatch(to, batch) })
	}
	position := len(batch.requests)
	batch.requests = append(batch.requests, req)
	if d, ok := ctx.Deadline(); ok && d.After(batch.deadline) {
		batch.deadline = d
	}
	l.mu.Unlock()
	select {
	case <-batch.done:
	case <-ctx.Done():
		return nil, Error.Wrap(ctx.Err())
	}
	switch {
	case batch.err != nil:
		return nil, batch.err
	case batch.responses[position] == nil:
		return l.call(ctx, to, req)
	}
	return batch.responses[position], nil
}

// sendBatch sends a batch of heartbeats. It doesn't use the context of a group,
// because one group may lose leadership while others wait for the batch.
func (l *Links) sendBatch(to string, batch *heartbeatBatch) {
	defer close(batch.done)
	l.mu.Lock()
	delete(l.pendingBatches, to)
	l.mu.Unlock()
	if batch.deadline.IsZero() {
		batch.deadline = time.Now().Add(batchTimeout)
	}
	ctx, cancel := context.WithDeadline(context.Background(), batch.deadline)
	defer cancel()
	batch.responses = make([]*raftpb.Message, len(batch.requests))
	req, resp := &raftpb.Beats{}, &raftpb.BeatsAnswer{}
	for _, r := range batch.requests {
		req.Beats = append(req.Beats, &raftpb.Beat{Group: r.Group, Term: r.Term, ToIncarnation: r.ToIncarnation})
	}
	if batch.err = l.callMethod(ctx, to, heartbeatsCallName, req, resp); batch.err != nil {
		return
	}
	for i, r := range batch.requests {
		batch.responses[i] = responseAt(resp, i, r, to)
	}
}

// responseAt returns the response to the heartbeat at position i of a batch, or nil
// if there is none.
func responseAt(resp *raftpb.BeatsAnswer, i int, req *raftpb.Message, to string) *raftpb.Message {
	if slices.Contains(resp.Confirmed, uint32(i)) {
		return &raftpb.Message{
			Kind: req.Kind, Group: req.Group, Term: req.Term, From: to, FromIncarnation: req.ToIncarnation,
			Leader: req.From, Ok: true,
		}
	}
	if other := slices.Index(resp.Positions, uint32(i)); other >= 0 && other < len(resp.Others) {
		return resp.Others[other]
	}
	return nil
}

func (l *Links) handleHeartbeats(_ context.Context, from link.Peer, body []byte) (proto.Message, error) {
	var req raftpb.Beats
	if err := proto.Unmarshal(body, &req); err != nil {
		return nil, Error.Wrap(err)
	}
	answer := &raftpb.BeatsAnswer{}
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
			answer.Confirmed = append(answer.Confirmed, uint32(i))
		default:
			answer.Positions = append(answer.Positions, uint32(i))
			answer.Others = append(answer.Others, resp)
		}
	}
	return answer, nil
}

// tryHeartbeat answers a heartbeat like Handle, but returns nil if the member has
// stopped or another goroutine holds mu.
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
		g.handleHeartbeatLocked(req, resp)
	}
	return resp
}
