package stream

import (
	"slices"
	"sync/atomic"
)

const (
	// tokenOverheadBytes is the memory of one token besides its text.
	tokenOverheadBytes = 4
	// answerOverheadBytes is the memory of one answer besides its request and
	// tokens; TestBudgetFollowsMemory checks it.
	answerOverheadBytes = 640
	// shrinkDivisor sets the share of a finished record, one eighth, up to which
	// unused slice capacity does not justify a copy.
	shrinkDivisor = 8
)

// budget limits the memory of all answers of a Registry.
type budget struct {
	max        int64
	used       atomic.Int64
	lastEndSeq atomic.Uint64
	// evict frees memory. It is called without locks held.
	evict func(need int64)
}

func (b *budget) reserve(n int64) bool {
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

func (b *budget) release(n int64) { b.used.Add(-n) }

// chargeChange charges the budget for the change in memory use since before and
// releases the reserved bytes. The caller holds a.mu.
func (a *Answer) chargeChange(before, reserved int64) {
	a.budget.release(reserved - (a.memory() - before))
}

// memory returns the memory use of the record: its content and the unused
// capacity of its slices. The caller holds a.mu.
func (a *Answer) memory() int64 {
	return a.bytes + int64(cap(a.text)-len(a.text)) + tokenOverheadBytes*int64(cap(a.endOffsets)-len(a.endOffsets))
}

// maxGrowth returns an upper bound of the additional memory for tokens of the
// given size. A slice that grows at most doubles its capacity.
func (a *Answer) maxGrowth(tokens []string, size int64) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.bytes+size > a.maxBytes {
		return size // will be rejected
	}
	text, ends := int(size)-tokenOverheadBytes*len(tokens), len(tokens)
	if len(a.text)+text > cap(a.text) {
		size += int64(cap(a.text) + text)
	}
	if len(a.endOffsets)+ends > cap(a.endOffsets) {
		size += tokenOverheadBytes * int64(cap(a.endOffsets)+ends)
	}
	return size
}

// shrink releases unused capacity of a finished record, which is retained for
// readers that reconnect.
func (a *Answer) shrink() {
	if a.memory()-a.bytes > a.bytes/shrinkDivisor {
		a.text, a.endOffsets = slices.Clone(a.text), slices.Clone(a.endOffsets)
	}
}

func tokensSize(tokens []string) int64 {
	n := tokenOverheadBytes * len(tokens)
	for _, t := range tokens {
		n += len(t)
	}
	return int64(n)
}
