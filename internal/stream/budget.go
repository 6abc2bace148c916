package stream

import (
	"slices"
	"sync/atomic"
)

const (
	// tokenBytes is what one token costs besides its text.
	tokenBytes = 4
	// answerBytes is what one answer costs besides its request and tokens,
	// measured by TestBudgetFollowsMemory.
	answerBytes = 640
	// trimPart is the part of a finished record, an eighth, below which its
	// unused room is not worth a copy.
	trimPart = 8
)

// budget counts the bytes of all answers of a Registry.
type budget struct {
	max  int64
	used atomic.Int64
	seq  atomic.Uint64
	// evict frees memory; called without locks held.
	evict func(need int64)
}

func (b *budget) take(n int64) bool {
	for range 2 {
		if b.used.Add(n) <= b.max {
			return true
		}
		b.used.Add(-n)
		if b.evict == nil {
			return false
		}
		b.evict(n)
	}
	return false
}

func (b *budget) give(n int64) { b.used.Add(-n) }

// settle charges the budget for the change of the memory since before, of which
// reserved bytes are charged already. a.mu is held.
func (a *Answer) settle(before, reserved int64) { a.budget.give(reserved - (a.memory() - before)) }

// memory returns what the record takes: its content and the room that the slices
// have beyond it. a.mu is held.
func (a *Answer) memory() int64 {
	return a.bytes + int64(cap(a.text)-len(a.text)) + tokenBytes*int64(cap(a.ends)-len(a.ends))
}

// room returns how much memory the record may need for tokens of the given size.
// Slices that grow at most double.
func (a *Answer) room(tokens []string, size int64) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.bytes+size > a.limit {
		return size // refused
	}
	text, ends := int(size)-tokenBytes*len(tokens), len(tokens)
	if len(a.text)+text > cap(a.text) {
		size += int64(cap(a.text) + text)
	}
	if len(a.ends)+ends > cap(a.ends) {
		size += tokenBytes * int64(cap(a.ends)+ends)
	}
	return size
}

// trim gives back the room of a finished record, which is kept for readers that
// come back.
func (a *Answer) trim() {
	if a.memory()-a.bytes > a.bytes/trimPart {
		a.text, a.ends = slices.Clone(a.text), slices.Clone(a.ends)
	}
}

func sizeOf(tokens []string) int64 {
	n := tokenBytes * len(tokens)
	for _, t := range tokens {
		n += len(t)
	}
	return int64(n)
}
