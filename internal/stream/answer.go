// Package stream keeps the record of one answer of a model request. Engines,
// links and owners fail while an answer is produced, so the record alone decides
// which tokens belong to the answer: it orders them by position, refuses those
// of abandoned attempts, copies them to a keeper before readers see them and
// lets any number of readers start at any position.
package stream

import (
	"sync"
	"time"

	"github.com/zeebo/errs"

	"cranberrypath.example/cranberrypath/internal/world"
)

// Error is the class of this package's errors.
var Error = errs.Class("stream")

// The reasons for which a record refuses something.
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
	// DefaultAnswerBytes holds the longest answer of today's models, about
	// 100,000 tokens, and a request body of the largest accepted size.
	DefaultAnswerBytes = 16 << 20
	// aheadBytes bounds the tokens kept that arrived ahead of a missing one.
	aheadBytes = 256 << 10
	// maxAttempt bounds the attempts of one owner, so that its numbers stay
	// below those of the owner that follows.
	maxAttempt = 1<<32 - 1
)

// Request is a model request. Body is opaque here.
type Request struct {
	ID, Org, Service, Version string
	Class                     world.Class
	Body                      []byte
}

func (r Request) bytes() int64 {
	return int64(answerBytes + len(r.ID) + len(r.Org) + len(r.Service) + len(r.Version) + len(r.Body))
}

// Chunk is one token of an answer at its position, counted from 0.
type Chunk struct {
	Pos  uint64
	Text string
}

// End closes an answer after Pos tokens. Reason is the final mark's reason,
// such as "stop", or why the answer was broken off.
type End struct {
	Pos    uint64
	Reason string
	Broken bool
}

// BrokenError is returned to readers of an answer that was broken off, after
// all tokens that they may see.
type BrokenError struct {
	ID     string
	Reason string
	// TakenOver reports that the answer continues at another instance.
	TakenOver bool
}

func (e *BrokenError) Error() string { return "stream: answer " + e.ID + " broken off: " + e.Reason }

// Answer is the record of one answer. Its methods may be called concurrently.
type Answer struct {
	req     Request
	started time.Time
	budget  *budget
	limit   int64

	mu      sync.Mutex
	epoch   uint64 // number of takeovers so far
	attempt uint64 // within the epoch
	text    []byte // texts of all tokens, in order
	ends    []uint32
	ahead   []ahead // sorted by position
	aheadN  int
	end     *End
	taken   bool // broken off because another instance took the answer over
	lateEnd *End // final mark that arrived before the last token
	bytes   int64
	visible int // tokens that readers may see
	copy    copyState
	changed chan struct{} // closed at the next change; nil if nobody waits
	seq     uint64        // order of ending, for eviction
}

type ahead struct {
	pos    uint64
	tokens []string
}

// New returns an empty record with the default memory limit, outside any Registry.
func New(id string, req Request, now time.Time) *Answer {
	req.ID = id
	return newAnswer(req, DefaultAnswerBytes, &budget{max: 1 << 62}, now)
}

func newAnswer(req Request, limit int64, b *budget, now time.Time) *Answer {
	return &Answer{req: req, started: now, limit: limit, budget: b, bytes: req.bytes()}
}

// Request returns the request. Its body must not be changed.
func (a *Answer) Request() Request { return a.req }

// Started returns when the record was made on this instance.
func (a *Answer) Started() time.Time { return a.started }

// Attempt starts the next attempt and returns its number. Chunks of older
// attempts are refused from now on, also those received ahead of a gap. The
// attempt continues at Position. A copy held for another owner has no attempts:
// all chunks of the returned number are refused.
func (a *Answer) Attempt() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	defer a.settle(a.memory(), 0)
	a.dropAhead()
	if a.attempt < maxAttempt {
		a.attempt++
	}
	return a.epoch<<32 | a.attempt
}

// Position returns the number of consecutive tokens recorded, which is where
// the next attempt continues. Readers may not see the last of them yet.
func (a *Answer) Position() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return uint64(len(a.ends))
}

// Tokens returns the recorded tokens from a position, for a resumed attempt.
func (a *Answer) Tokens(from uint64) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.slice(min(from, uint64(len(a.ends))), uint64(len(a.ends)))
}

// Ended returns how the answer ended; ok is false while it runs.
func (a *Answer) Ended() (e End, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.end == nil {
		return End{}, false
	}
	return *a.end, true
}

// Append records the tokens at pos and following positions. It returns how many
// tokens the consecutive part of the record grew by. Tokens recorded already are
// skipped, and tokens ahead of a gap are kept until it closes, within limits.
func (a *Answer) Append(attempt, pos uint64, tokens []string) (accepted int, err error) {
	size := sizeOf(tokens)
	reserved := a.room(tokens, size)
	if !a.budget.take(reserved) {
		return 0, ErrFull
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	defer a.settle(a.memory(), reserved)
	if err := a.current(attempt); err != nil {
		return 0, err
	}
	return a.add(pos, tokens)
}

func (a *Answer) current(attempt uint64) error {
	if a.end != nil {
		return ErrEnded
	}
	if attempt != a.epoch<<32|a.attempt || a.attempt == 0 || a.copy.held {
		return ErrStale
	}
	return nil
}

// add records a chunk of the current attempt. a.mu is held.
func (a *Answer) add(pos uint64, tokens []string) (int, error) {
	have, n := uint64(len(a.ends)), uint64(len(tokens))
	if pos+n < pos || a.lateEnd != nil && pos+n > a.lateEnd.Pos {
		return 0, ErrMismatch
	}
	if pos > have {
		return 0, a.keepAhead(pos, tokens)
	}
	if err := a.extend(pos, tokens); err != nil {
		return 0, err
	}
	err := a.drain()
	if a.end == nil && a.lateEnd != nil && a.lateEnd.Pos == uint64(len(a.ends)) {
		a.finish(*a.lateEnd)
	}
	a.reveal()
	return int(uint64(len(a.ends)) - have), err
}

// extend compares the tokens below the end of the record with it and appends the others.
func (a *Answer) extend(pos uint64, tokens []string) error {
	known := min(uint64(len(a.ends))-pos, uint64(len(tokens)))
	for i, t := range tokens[:known] {
		if string(a.token(pos+uint64(i))) != t {
			return ErrMismatch
		}
	}
	rest := tokens[known:]
	size := sizeOf(rest)
	if a.bytes+size > a.limit {
		a.breakOff(ErrTooLarge.Error(), false)
		return ErrTooLarge
	}
	for _, t := range rest {
		a.text = append(a.text, t...)
		a.ends = append(a.ends, uint32(len(a.text)))
	}
	a.bytes += size
	return nil
}

func (a *Answer) keepAhead(pos uint64, tokens []string) error {
	if len(tokens) == 0 {
		return nil
	}
	i := 0
	for i < len(a.ahead) && a.ahead[i].pos < pos {
		i++
	}
	for _, h := range a.ahead[i:] {
		if h.pos == pos && len(h.tokens) >= len(tokens) {
			return nil
		}
	}
	size := sizeOf(tokens)
	if a.aheadN+int(size) > aheadBytes || a.bytes+size > a.limit {
		return ErrGap
	}
	a.ahead = append(a.ahead, ahead{})
	copy(a.ahead[i+1:], a.ahead[i:])
	a.ahead[i] = ahead{pos: pos, tokens: append([]string(nil), tokens...)}
	a.aheadN += int(size)
	a.bytes += size
	return nil
}

// drain appends the kept tokens that have become consecutive.
func (a *Answer) drain() error {
	var bad error
	for len(a.ahead) > 0 && a.ahead[0].pos <= uint64(len(a.ends)) {
		h := a.ahead[0]
		a.ahead = a.ahead[1:]
		size := sizeOf(h.tokens)
		a.aheadN -= int(size)
		a.bytes -= size
		if err := a.extend(h.pos, h.tokens); err != nil {
			bad = err
		}
		if a.end != nil {
			return bad
		}
	}
	return bad
}

func (a *Answer) dropAhead() {
	a.bytes -= int64(a.aheadN)
	a.ahead, a.aheadN, a.lateEnd = nil, 0, nil
}

// End records the final mark after pos tokens. If tokens before it are missing,
// the answer ends when they arrive. An empty reason is no final mark: a
// connection that closes without one leaves the answer unfinished.
func (a *Answer) End(attempt, pos uint64, reason string) error {
	if reason == "" {
		return ErrNotFinal
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	defer a.settle(a.memory(), 0)
	e := End{Pos: pos, Reason: reason}
	if a.end != nil && *a.end == e {
		return nil
	}
	if err := a.current(attempt); err != nil {
		return err
	}
	return a.close(e)
}

func (a *Answer) close(e End) error {
	if e.Pos < uint64(len(a.ends)) || a.lateEnd != nil && *a.lateEnd != e {
		return ErrMismatch
	}
	for _, h := range a.ahead {
		if h.pos+uint64(len(h.tokens)) > e.Pos {
			return ErrMismatch
		}
	}
	if e.Pos > uint64(len(a.ends)) {
		a.lateEnd = &e
		return nil
	}
	a.finish(e)
	return nil
}

// Break ends the answer with a reason that readers receive. It has no effect on
// an answer that has ended.
func (a *Answer) Break(reason string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	defer a.settle(a.memory(), 0)
	a.breakOff(reason, false)
}

func (a *Answer) breakOff(reason string, taken bool) {
	if a.end != nil {
		return
	}
	a.taken = taken
	a.finish(End{Pos: uint64(len(a.ends)), Reason: reason, Broken: true})
}

func (a *Answer) finish(e End) {
	a.dropAhead()
	a.trim()
	a.end = &e
	a.seq = a.budget.seq.Add(1)
	a.notify()
}
