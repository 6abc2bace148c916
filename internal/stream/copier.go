package stream

import (
	"context"
	"errors"
)

// copyBatchBytes bounds one batch, so that a new keeper receives a long record
// in parts between the tokens of other answers. It also bounds what an answer
// holds besides its record, since it has one batch on its way.
const copyBatchBytes = 64 << 10

// ErrSuperseded ends the copying to a keeper that has been replaced.
var ErrSuperseded = Error.New("another keeper was chosen")

// Head opens a copy.
type Head struct {
	Request Request
	Epoch   uint64
}

// Copier sends the record of one answer to its keeper. Each method returns when
// the keeper has acknowledged, or an error after which the keeper counts as
// lost; ErrTakenOver means that it has become the owner. A Copier bounds its own
// waiting time, because readers wait with it.
type Copier interface {
	Begin(ctx context.Context, h Head) error
	Append(ctx context.Context, pos uint64, tokens []string) error
	End(ctx context.Context, e End) error
	Close() error
}

// Copied tells whether a keeper holds the record.
type Copied uint8

// The states of the copy.
const (
	Uncopied Copied = iota // no keeper; tokens are visible at once
	InCopy                 // tokens are visible when the keeper has acknowledged them
	Complete               // the keeper has acknowledged the end
	Lost                   // the keeper failed; new tokens wait for another one or for Uncover
)

// String returns the state's name.
func (c Copied) String() string {
	switch c {
	case InCopy:
		return "copied"
	case Complete:
		return "complete"
	case Lost:
		return "lost"
	default:
		return "uncopied"
	}
}

type copyState struct {
	state  Copied
	run    uint64 // counts keepers; a replaced one has an older number
	acked  int
	reason string // why the answer is uncopied
	held   bool   // this record is itself the copy that a keeper holds
	kept   bool   // a keeper has had the record
}

// CopyStatus returns the state of the copy and, if the answer is uncopied
// because a keeper failed, why.
func (a *Answer) CopyStatus() (Copied, string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.copy.state, a.copy.reason
}

// Kept reports whether a keeper has had the record. If not, no other instance can
// continue the answer.
func (a *Answer) Kept() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.copy.kept
}

// Copy gives the record to a keeper and returns when the keeper has the request
// and all tokens recorded at the call. From then on tokens become visible when
// the keeper has acknowledged them; those that arrive while an acknowledgement
// is outstanding go together in the next batch.
//
// The channel receives one value: nil when the keeper has the end, or the error
// that lost the keeper. After an error the answer goes on uncopied, and Copy may
// be called again with another keeper. A newer call replaces an older one.
func (a *Answer) Copy(ctx context.Context, c Copier) (<-chan error, error) {
	a.mu.Lock()
	switch {
	case a.copy.held:
		a.mu.Unlock()
		return nil, ErrOwned
	case a.taken:
		a.mu.Unlock()
		return nil, ErrTakenOver
	}
	a.copy.run++
	run, head := a.copy.run, Head{Request: a.req, Epoch: a.epoch}
	target := len(a.ends)
	a.mu.Unlock()

	err := c.Begin(ctx, head)
	sent := 0
	for err == nil && sent < target {
		sent, err = a.sendBatch(ctx, c, sent)
	}
	if err == nil && !a.startCopy(run, sent) {
		err = ErrSuperseded
	}
	if err != nil {
		a.loseCopy(run, err)
		_ = c.Close()
		return nil, Error.Wrap(err)
	}
	done := make(chan error, 1)
	go func() {
		err := a.pump(ctx, c, run)
		switch {
		case ctx.Err() != nil:
			a.stopCopy(run)
		case err != nil:
			a.loseCopy(run, err)
		}
		_ = c.Close()
		done <- err
	}()
	return done, nil
}

func (a *Answer) startCopy(run uint64, acked int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.copy.run != run {
		return false
	}
	a.copy.state, a.copy.acked, a.copy.reason, a.copy.kept = InCopy, acked, "", true
	a.reveal()
	return true
}

// sendBatch sends the tokens from a position, as many as fit into one batch.
func (a *Answer) sendBatch(ctx context.Context, c Copier, from int) (int, error) {
	a.mu.Lock()
	to, size := from, 0
	for to < len(a.ends) && (to == from || size < copyBatchBytes) {
		size += len(a.token(uint64(to))) + tokenBytes
		to++
	}
	tokens := a.slice(uint64(from), uint64(to))
	a.mu.Unlock()
	return to, c.Append(ctx, uint64(from), tokens)
}

// pump sends batches until the end is acknowledged or the keeper is lost.
func (a *Answer) pump(ctx context.Context, c Copier, run uint64) error {
	for {
		a.mu.Lock()
		if a.copy.run != run {
			a.mu.Unlock()
			return ErrSuperseded
		}
		acked, end := a.copy.acked, a.end
		var wait <-chan struct{}
		if acked == len(a.ends) && end == nil {
			wait = a.wait()
		}
		more := acked < len(a.ends)
		a.mu.Unlock()
		switch {
		case wait != nil:
			select {
			case <-ctx.Done():
				return Error.Wrap(ctx.Err())
			case <-wait:
			}
		case more:
			n, err := a.sendBatch(ctx, c, acked)
			if err != nil {
				return err
			}
			a.acknowledge(run, n)
		default:
			if err := c.End(ctx, *end); err != nil {
				return err
			}
			a.mu.Lock()
			if a.copy.run == run {
				a.copy.state = Complete
			}
			a.mu.Unlock()
			return nil
		}
	}
}

func (a *Answer) acknowledge(run uint64, n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.copy.run != run {
		return
	}
	a.copy.acked = n
	a.reveal()
}

// Uncover goes on without a keeper: all recorded tokens and the ones to come are
// visible at once. Call it when no keeper can be found.
func (a *Answer) Uncover() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.copy.state == Lost {
		a.copy.state = Uncopied
		a.reveal()
	}
}

// loseCopy notes that the answer has no keeper, or breaks the answer off if the
// keeper has taken it over.
func (a *Answer) loseCopy(run uint64, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	defer a.settle(a.memory(), 0)
	if errors.Is(err, ErrTakenOver) {
		// Tokens that readers saw without a copy may differ from those of the new
		// owner, so such a reader must not continue there.
		a.breakOff(err.Error(), a.visible <= a.copy.acked)
		return
	}
	if a.copy.run != run {
		return
	}
	a.copy.state, a.copy.reason = Lost, err.Error()
	a.notify()
}

// stopCopy ends the copying because the instance stops. Tokens that the keeper
// does not have stay invisible: the keeper continues without them.
func (a *Answer) stopCopy(run uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	defer a.settle(a.memory(), 0)
	if a.copy.run == run && (a.copy.state == InCopy || a.copy.state == Lost) {
		a.breakOff("the instance stops", true)
	}
}

// Leave ends the record here without telling the keeper, which continues the
// answer if it has taken it over or finds this instance gone.
func (a *Answer) Leave(reason string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	defer a.settle(a.memory(), 0)
	a.copy.run++
	a.breakOff(reason, a.visible <= a.copy.acked)
}

// reveal makes tokens visible as far as the state of the copy allows. An answer
// that another instance took over reveals nothing more. a.mu is held.
func (a *Answer) reveal() {
	n := len(a.ends)
	if a.copy.state == InCopy {
		n = a.copy.acked
	}
	if a.taken || a.copy.state == Lost {
		n = a.visible
	}
	a.visible = max(a.visible, n)
	a.notify()
}
