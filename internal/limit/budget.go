package limit

import (
	"sync"
	"time"
)

// BudgetConfig configures a Budget.
type BudgetConfig struct {
	Window       time.Duration // for counting requests and retries, in whole seconds
	RetryRatio   float64       // allowed retries per request
	MinRetries   float64       // minimum number of retries allowed
	ExtraRetries float64       // retries allowed on top of RetryRatio
}

// Budget bounds retries to a share of the requests, so that retries never multiply
// load. It is safe for concurrent use.
type Budget struct {
	mu            sync.Mutex
	cfg           BudgetConfig
	currentSecond int64
	requests      []int
	retries       []int
}

// NewBudget returns a budget with no requests counted.
func NewBudget(cfg BudgetConfig) *Budget {
	n := max(int(cfg.Window/time.Second), 1)
	return &Budget{cfg: cfg, requests: make([]int, n), retries: make([]int, n)}
}

// SetExtra replaces BudgetConfig.ExtraRetries.
func (b *Budget) SetExtra(extra float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cfg.ExtraRetries = extra
}

// Request counts one request.
func (b *Budget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[b.advance(now)]++
}

// Retry reports whether a request may be retried and, if so, counts the retry.
func (b *Budget) Retry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := b.advance(now)
	requests, retries := 0, 0
	for j := range b.requests {
		requests += b.requests[j]
		retries += b.retries[j]
	}
	if float64(retries+1) > max(b.cfg.RetryRatio*float64(requests), b.cfg.MinRetries)+b.cfg.ExtraRetries {
		return false
	}
	b.retries[i]++
	return true
}

// advance clears the expired buckets and returns the index of the bucket of now. The
// caller holds mu.
func (b *Budget) advance(now time.Time) int {
	n := int64(len(b.requests))
	second := now.Unix()
	for b.currentSecond < second {
		b.currentSecond = max(b.currentSecond+1, second-n+1)
		b.requests[b.currentSecond%n], b.retries[b.currentSecond%n] = 0, 0
	}
	return int(b.currentSecond % n)
}
