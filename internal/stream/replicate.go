package stream

import (
	"context"
	"errors"
)

// replicaBatchBytes limits one batch, so that a long record reaches a new replica
// holder in parts, interleaved with the tokens of other answers. It also limits
// the memory of an answer besides its record: one batch is in flight at a time.
const replicaBatchBytes = 64 << 10

// ErrSuperseded ends the replication to a replica holder that has been replaced.
var ErrSuperseded = Error.New("another replica holder was chosen")

// ReplicaHeader is the first message of a replica.
type ReplicaHeader struct {
	Request Request
	Epoch   uint64
}

// Replicator sends the record of one answer to its replica holder. Each method
// returns when the holder has acknowledged the message. After an error the holder
// counts as failed; ErrTakenOver means that it has become the owner.
// Implementations need their own timeout, because readers wait for them.
type Replicator interface {
	Begin(ctx context.Context, h ReplicaHeader) error
	Append(ctx context.Context, pos uint64, tokens []string) error
	End(ctx context.Context, e End) error
	Close() error
}

// ReplicaState is the state of the replica of an answer.
type ReplicaState uint8

// Replica states.
const (
	Unreplicated    ReplicaState = iota // no replica; tokens are visible at once
	Replicating                         // tokens are visible once the replica holder has acknowledged them
	ReplicaComplete                     // the replica holder has acknowledged the end
	ReplicaLost                         // the replica holder failed; new tokens stay invisible until another is found or Uncover is called
)

// String returns the name of the state.
func (s ReplicaState) String() string {
	switch s {
	case Replicating:
		return "copied"
	case ReplicaComplete:
		return "complete"
	case ReplicaLost:
		return "lost"
	default:
		return "uncopied"
	}
}

type replicationState struct {
	state          ReplicaState
	generation     uint64 // number of the current Replicator; grows with each replacement
	acked          int
	reason         string // why the last replica holder failed
	isReplica      bool   // this record is the replica of another owner's answer
	everReplicated bool   // a replica holder has had the record
}

// ReplicaStatus returns the state of the replica and, if the replica holder
// failed, the error text.
func (a *Answer) ReplicaStatus() (ReplicaState, string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.replication.state, a.replication.reason
}

// Kept reports whether a replica holder has ever had the record. If not, no other
// instance can continue the answer.
func (a *Answer) Kept() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.replication.everReplicated
}

// Copy replicates the record and returns when the replica holder has the request
// and all tokens recorded at the time of the call. From then on tokens become
// visible when the holder has acknowledged them. Tokens that arrive while an
// acknowledgement is outstanding are sent together in the next batch.
//
// The channel receives one value: nil when the holder has acknowledged the end,
// or the error that ended the replication. After an error the answer continues
// without a replica, and Copy may be called again with another holder. A newer
// call replaces an older one.
func (a *Answer) Copy(ctx context.Context, r Replicator) (<-chan error, error) {
	a.mu.Lock()
	switch {
	case a.replication.isReplica:
		a.mu.Unlock()
		return nil, ErrOwned
	case a.takenOver:
		a.mu.Unlock()
		return nil, ErrTakenOver
	}
	a.replication.generation++
	generation, head := a.replication.generation, ReplicaHeader{Request: a.req, Epoch: a.epoch}
	target := len(a.endOffsets)
	a.mu.Unlock()

	err := r.Begin(ctx, head)
	sent := 0
	for err == nil && sent < target {
		sent, err = a.sendBatch(ctx, r, sent)
	}
	if err == nil && !a.startReplication(generation, sent) {
		err = ErrSuperseded
	}
	if err != nil {
		a.replicaFailed(generation, err)
		_ = r.Close()
		return nil, Error.Wrap(err)
	}
	done := make(chan error, 1)
	go func() {
		err := a.replicate(ctx, r, generation)
		switch {
		case ctx.Err() != nil:
			a.stopReplication(generation)
		case err != nil:
			a.replicaFailed(generation, err)
		}
		_ = r.Close()
		done <- err
	}()
	return done, nil
}

func (a *Answer) startReplication(generation uint64, acked int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.replication.generation != generation {
		return false
	}
	a.replication.state, a.replication.acked, a.replication.reason, a.replication.everReplicated = Replicating, acked, "", true
	a.updateVisible()
	return true
}

// sendBatch sends as many tokens as fit into one batch, starting at a position.
func (a *Answer) sendBatch(ctx context.Context, r Replicator, from int) (int, error) {
	a.mu.Lock()
	to, size := from, 0
	for to < len(a.endOffsets) && (to == from || size < replicaBatchBytes) {
		size += len(a.token(uint64(to))) + tokenOverheadBytes
		to++
	}
	tokens := a.tokens(uint64(from), uint64(to))
	a.mu.Unlock()
	return to, r.Append(ctx, uint64(from), tokens)
}

// replicate sends batches until the end is acknowledged or the replica holder fails.
func (a *Answer) replicate(ctx context.Context, r Replicator, generation uint64) error {
	for {
		a.mu.Lock()
		if a.replication.generation != generation {
			a.mu.Unlock()
			return ErrSuperseded
		}
		acked, end := a.replication.acked, a.end
		var wait <-chan struct{}
		if acked == len(a.endOffsets) && end == nil {
			wait = a.nextChange()
		}
		more := acked < len(a.endOffsets)
		a.mu.Unlock()
		switch {
		case wait != nil:
			select {
			case <-ctx.Done():
				return Error.Wrap(ctx.Err())
			case <-wait:
			}
		case more:
			n, err := a.sendBatch(ctx, r, acked)
			if err != nil {
				return err
			}
			a.acknowledge(generation, n)
		default:
			if err := r.End(ctx, *end); err != nil {
				return err
			}
			a.mu.Lock()
			if a.replication.generation == generation {
				a.replication.state = ReplicaComplete
			}
			a.mu.Unlock()
			return nil
		}
	}
}

func (a *Answer) acknowledge(generation uint64, n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.replication.generation != generation {
		return
	}
	a.replication.acked = n
	a.updateVisible()
}

// Uncover continues the answer without a replica: all recorded and future tokens
// are visible at once. Call it when no replica holder can be found.
func (a *Answer) Uncover() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.replication.state == ReplicaLost {
		a.replication.state = Unreplicated
		a.updateVisible()
	}
}

// replicaFailed records that the answer has no replica, or aborts the answer if
// the replica holder has taken it over.
func (a *Answer) replicaFailed(generation uint64, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	defer a.chargeChange(a.memory(), 0)
	if errors.Is(err, ErrTakenOver) {
		// Tokens that were visible before they were replicated may differ from
		// those of the new owner, so their readers must not continue there.
		a.abort(err.Error(), a.visible <= a.replication.acked)
		return
	}
	if a.replication.generation != generation {
		return
	}
	a.replication.state, a.replication.reason = ReplicaLost, err.Error()
	a.notify()
}

// stopReplication aborts the answer because the instance shuts down. Tokens that
// are not replicated stay invisible: the replica holder continues without them.
func (a *Answer) stopReplication(generation uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	defer a.chargeChange(a.memory(), 0)
	if a.replication.generation == generation && (a.replication.state == Replicating || a.replication.state == ReplicaLost) {
		a.abort("the instance stops", true)
	}
}

// Leave aborts the local record without notifying the replica holder, which
// continues the answer if it has taken the answer over or detects that this
// instance is gone.
func (a *Answer) Leave(reason string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	defer a.chargeChange(a.memory(), 0)
	a.replication.generation++
	a.abort(reason, a.visible <= a.replication.acked)
}

// updateVisible makes tokens visible as far as the replica state allows. After a
// takeover by another instance no more tokens become visible. The caller holds a.mu.
func (a *Answer) updateVisible() {
	n := len(a.endOffsets)
	if a.replication.state == Replicating {
		n = a.replication.acked
	}
	if a.takenOver || a.replication.state == ReplicaLost {
		n = a.visible
	}
	a.visible = max(a.visible, n)
	a.notify()
}
