// Package stream records the tokens of answers to model requests. Backend
// servers, connections and owners can fail while an answer is generated, so the
// record alone decides which tokens belong to the answer. It orders tokens by
// position, rejects those of abandoned attempts, replicates them to a replica
// holder before readers see them, and lets any number of readers start at any
// position.
//
// The owner of an answer is the entry instance that runs it. The replica holder
// is another entry instance that stores a copy and can take the answer over.
package stream

import (
	"sync"
	"time"

	"github.com/zeebo/errs"

	"cranberrypath.example/cranberrypath/internal/world"
)

// Error is the error class of this package.
var Error = errs.Class("stream")

// Errors returned by records and registries.
var (
	ErrStale     = Error.New("chunk of an attempt that is not the current one")
	ErrGap       = Error.New("too many tokens received ahead of a missing one")
	ErrMismatch  = Error.New("chunk contradicts the record")
	ErrEnded     = Error.New("answer has ended")
	ErrNotFinal  = Error.New("end without a final mark")
	ErrTooLarge  = Error.New("answer exceeds its memory limit")
	ErrFull      = Error.New("memory limit of all answers reached")
	ErrPosition  = Error.New("position is beyond the recorded tokens")
	ErrExists    = Error.New("answer exists already")
	ErrUnknown   = Error.New("no such answer")
	ErrTakenOver = Error.New("another instance has taken the answer over")
	ErrOwned     = Error.New("the owner of the answer is connected")
)

const (
	// DefaultAnswerBytes fits the longest answer of current models, about
	// 100,000 tokens, plus a request body of the maximum size.
	DefaultAnswerBytes = 16 << 20
	// maxOutOfOrderBytes limits the tokens buffered after a gap.
	maxOutOfOrderBytes = 256 << 10
	// maxAttempts limits the attempts of one owner to the low 32 bits, so that
	// attempt numbers of the next owner are higher.
	maxAttempts = 1<<32 - 1
)

// Request is a model request. This package does not interpret Body.
type Request struct {
	ID, Org, Service, Version string
	Class                     world.Class
	Body                      []byte
}

func (r Request) bytes() int64 {
	return int64(answerOverheadBytes + len(r.ID) + len(r.Org) + len(r.Service) + len(r.Version) + len(r.Body))
}

// Chunk is one token of an answer with its position, counted from 0.
type Chunk struct {
	Pos  uint64
	Text string
}

// End is the end of an answer of Pos tokens. Reason is the finish reason, such
// as "stop", or why the answer was aborted.
type End struct {
	Pos    uint64
	Reason string
	Broken bool
}

// BrokenError is returned to readers of an aborted answer after the last visible
// token.
type BrokenError struct {
	ID     string
	Reason string
	// TakenOver is true if the answer continues on another instance.
	TakenOver bool
}

func (e *BrokenError) Error() string { return "stream: answer " + e.ID + " broken off: " + e.Reason }

// Answer is the record of one answer. Its methods are safe for concurrent use.
type Answer struct {
	req      Request
	started  time.Time
	budget   *budget
	maxBytes int64

	mu              sync.Mutex
	epoch           uint64 // number of takeovers
	attempt         uint64 // number of the attempt within the epoch
	text            []byte // concatenated token texts
	endOffsets      []uint32
	outOfOrder      []fragment // sorted by position
	outOfOrderBytes int
	end             *End
	takenOver       bool // aborted because another instance took the answer over
	pendingEnd      *End // end that arrived before the last token
	bytes           int64
	visible         int // number of tokens that readers may see
	replication     replicationState
	changed         chan struct{} // closed at the next change; nil without waiters
	endSeq          uint64        // order in which answers ended, for eviction
}

type fragment struct {
	pos    uint64
	tokens []string
}

// New returns an empty record with the default memory limit and without a Registry.
func New(id string, req Request, now time.Time) *Answer {
	req.ID = id
	return newAnswer(req, DefaultAnswerBytes, &budget{max: 1 << 62}, now)
}

func newAnswer(req Request, maxBytes int64, b *budget, now time.Time) *Answer {
	return &Answer{req: req, started: now, maxBytes: maxBytes, budget: b, bytes: req.bytes()}
}

// Request returns the request. The caller must not modify its body.
func (a *Answer) Request() Request { return a.req }

// Started returns when the record was created on this instance.
func (a *Answer) Started() time.Time { return a.started }

// Attempt starts the next attempt and returns its number. Chunks of older
// attempts are rejected from then on, and those buffered after a gap are
// dropped. The attempt continues at Position. A replica of another owner's
// answer has no attempts: chunks with the returned number are rejected.
func (a *Answer) Attempt() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	defer a.chargeChange(a.memory(), 0)
	a.dropOutOfOrder()
	if a.attempt < maxAttempts {
		a.attempt++
	}
	return a.epoch<<32 | a.attempt
}

// Position returns the number of consecutive tokens recorded, which is where
// the next attempt continues. The last ones may not be visible to readers yet.
func (a *Answer) Position() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return uint64(len(a.endOffsets))
}

// Tokens returns the recorded tokens starting at a position, for a resumed attempt.
func (a *Answer) Tokens(from uint64) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.tokens(min(from, uint64(len(a.endOffsets))), uint64(len(a.endOffsets)))
}

// Ended returns how the answer ended; ok is false while it is in progress.
func (a *Answer) Ended() (e End, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.end == nil {
		return End{}, false
	}
	return *a.end, true
}

// Append records tokens starting at position pos. It returns by how many tokens
// the consecutive part of the record grew. Tokens that are already recorded are
// skipped, and a limited number of tokens after a gap is buffered until the gap
// is filled.
func (a *Answer) Append(attempt, pos uint64, tokens []string) (accepted int, err error) {
	size := tokensSize(tokens)
	reserved := a.maxGrowth(tokens, size)
	if !a.budget.reserve(reserved) {
		return 0, ErrFull
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	defer a.chargeChange(a.memory(), reserved)
	if err := a.checkAttempt(attempt); err != nil {
		return 0, err
	}
	return a.record(pos, tokens)
}

func (a *Answer) checkAttempt(attempt uint64) error {
	if a.end != nil {
		return ErrEnded
	}
	if attempt != a.epoch<<32|a.attempt || a.attempt == 0 || a.replication.isReplica {
		return ErrStale
	}
	return nil
}

// record adds a chunk of the current attempt. The caller holds a.mu.
func (a *Answer) record(pos uint64, tokens []string) (int, error) {
	before, n := uint64(len(a.endOffsets)), uint64(len(tokens))
	if pos+n < pos || a.pendingEnd != nil && pos+n > a.pendingEnd.Pos {
		return 0, ErrMismatch
	}
	if pos > before {
		return 0, a.bufferOutOfOrder(pos, tokens)
	}
	if err := a.appendNew(pos, tokens); err != nil {
		return 0, err
	}
	err := a.appendBuffered()
	if a.end == nil && a.pendingEnd != nil && a.pendingEnd.Pos == uint64(len(a.endOffsets)) {
		a.setEnd(*a.pendingEnd)
	}
	a.updateVisible()
	return int(uint64(len(a.endOffsets)) - before), err
}

// appendNew checks that tokens that are already recorded match, and appends the others.
func (a *Answer) appendNew(pos uint64, tokens []string) error {
	known := min(uint64(len(a.endOffsets))-pos, uint64(len(tokens)))
	for i, t := range tokens[:known] {
		if string(a.token(pos+uint64(i))) != t {
			return ErrMismatch
		}
	}
	rest := tokens[known:]
	size := tokensSize(rest)
	if a.bytes+size > a.maxBytes {
		a.abort(ErrTooLarge.Error(), false)
		return ErrTooLarge
	}
	for _, t := range rest {
		a.text = append(a.text, t...)
		a.endOffsets = append(a.endOffsets, uint32(len(a.text)))
	}
	a.bytes += size
	return nil
}

func (a *Answer) bufferOutOfOrder(pos uint64, tokens []string) error {
	if len(tokens) == 0 {
		return nil
	}
	i := 0
	for i < len(a.outOfOrder) && a.outOfOrder[i].pos < pos {
		i++
	}
	for _, f := range a.outOfOrder[i:] {
		if f.pos == pos && len(f.tokens) >= len(tokens) {
			return nil
		}
	}
	size := tokensSize(tokens)
	if a.outOfOrderBytes+int(size) > maxOutOfOrderBytes || a.bytes+size > a.maxBytes {
		return ErrGap
	}
	a.outOfOrder = append(a.outOfOrder, fragment{})
	copy(a.outOfOrder[i+1:], a.outOfOrder[i:])
	a.outOfOrder[i] = fragment{pos: pos, tokens: append([]string(nil), tokens...)}
	a.outOfOrderBytes += int(size)
	a.bytes += size
	return nil
}

// appendBuffered appends the buffered tokens that have become consecutive.
func (a *Answer) appendBuffered() error {
	var appendErr error
	for len(a.outOfOrder) > 0 && a.outOfOrder[0].pos <= uint64(len(a.endOffsets)) {
		f := a.outOfOrder[0]
		a.outOfOrder = a.outOfOrder[1:]
		size := tokensSize(f.tokens)
		a.outOfOrderBytes -= int(size)
		a.bytes -= size
		if err := a.appendNew(f.pos, f.tokens); err != nil {
			appendErr = err
		}
		if a.end != nil {
			return appendErr
		}
	}
	return appendErr
}

func (a *Answer) dropOutOfOrder() {
	a.bytes -= int64(a.outOfOrderBytes)
	a.outOfOrder, a.outOfOrderBytes, a.pendingEnd = nil, 0, nil
}

// End records the end of the answer after pos tokens. If tokens before the end
// are missing, the answer ends when they arrive. An empty reason is rejected: a
// connection that closes without a finish reason leaves the answer unfinished.
func (a *Answer) End(attempt, pos uint64, reason string) error {
	if reason == "" {
		return ErrNotFinal
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	defer a.chargeChange(a.memory(), 0)
	e := End{Pos: pos, Reason: reason}
	if a.end != nil && *a.end == e {
		return nil
	}
	if err := a.checkAttempt(attempt); err != nil {
		return err
	}
	return a.endAt(e)
}

func (a *Answer) endAt(e End) error {
	if e.Pos < uint64(len(a.endOffsets)) || a.pendingEnd != nil && *a.pendingEnd != e {
		return ErrMismatch
	}
	for _, f := range a.outOfOrder {
		if f.pos+uint64(len(f.tokens)) > e.Pos {
			return ErrMismatch
		}
	}
	if e.Pos > uint64(len(a.endOffsets)) {
		a.pendingEnd = &e
		return nil
	}
	a.setEnd(e)
	return nil
}

// Break aborts the answer with a reason that readers receive. It has no effect
// on an answer that has ended.
func (a *Answer) Break(reason string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	defer a.chargeChange(a.memory(), 0)
	a.abort(reason, false)
}

func (a *Answer) abort(reason string, takenOver bool) {
	if a.end != nil {
		return
	}
	a.takenOver = takenOver
	a.setEnd(End{Pos: uint64(len(a.endOffsets)), Reason: reason, Broken: true})
}

func (a *Answer) setEnd(e End) {
	a.dropOutOfOrder()
	a.shrink()
	a.end = &e
	a.endSeq = a.budget.lastEndSeq.Add(1)
	a.notify()
}
