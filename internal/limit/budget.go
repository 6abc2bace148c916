package limit

import (
	"sync"
	"time"
)

// BudgetConfig sets up a Budget.
type BudgetConfig struct {
	Window time.Duration // over which requests and retries are counted; whole seconds
	Share  float64       // retries for each request
	Least  float64       // retries that are always allowed
	Extra  float64       // retries on top of the share
}

// Budget bounds retries by the number of requests, so that retries never
// multiply load. It is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	cfg      BudgetConfig
	second   int64
	requests []int
	retries  []int
}

// NewBudget returns a budget without requests.
func NewBudget(cfg BudgetConfig) *Budget {
	n := max(int(cfg.Window/time.Second), 1)
	return &Budget{cfg: cfg, requests: make([]int, n), retries: make([]int, n)}
}

// SetExtra replaces the retries on top of the share.
func (b *Budget) SetExtra(extra float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cfg.Extra = extra
}

// Request counts one request.
func (b *Budget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[b.bucket(now)]++
}

// Retry spends from the budget and reports whether a request may be tried again.
func (b *Budget) Retry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := b.bucket(now)
	requests, retries := 0, 0
	for j := range b.requests {
		requests += b.requests[j]
		retries += b.retries[j]
	}
	if float64(retries+1) > max(b.cfg.Share*float64(requests), b.cfg.Least)+b.cfg.Extra {
		return false
	}
	b.retries[i]++
	return true
}

// bucket empties the buckets of seconds that have passed and returns the one of
// now. mu is held.
func (b *Budget) bucket(now time.Time) int {
	n := int64(len(b.requests))
	second := now.Unix()
	for b.second < second {
		b.second = max(b.second+1, second-n+1)
		b.requests[b.second%n], b.retries[b.second%n] = 0, 0
	}
	return int(b.second % n)
}
