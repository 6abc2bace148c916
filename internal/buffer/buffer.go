// Package buffer bounds the memory that the responses in flight take together. A limit for each
// response alone does not: many faulty backend servers that send bytes without end reach it at
// the same time.
package buffer

import "sync/atomic"

// Allowance is the number of bytes that each response may hold without a reservation, so that
// ordinary ones are not affected by faulty ones.
const Allowance = 16 << 10

// Pool is the memory for what exceeds the allowances. It is safe for concurrent use. A nil Pool
// has no limit.
type Pool struct{ free atomic.Int64 }

// NewPool returns a pool of the given number of bytes.
func NewPool(bytes int64) *Pool {
	p := &Pool{}
	p.free.Store(bytes)
	return p
}

func (p *Pool) take(n int64) bool {
	if p.free.Add(-n) >= 0 {
		return true
	}
	p.free.Add(n)
	return false
}

// Lease is the memory of one response. It is not safe for concurrent use. A nil Lease has no
// limit.
type Lease struct {
	pool *Pool
	held int64 // bytes beyond the allowance
}

// NewLease returns a lease without any memory but the allowance.
func (p *Pool) NewLease() *Lease { return &Lease{pool: p} }

// Hold reports whether the response may hold n bytes in all. It never reduces the lease.
func (l *Lease) Hold(n int) bool {
	if l == nil || l.pool == nil {
		return true
	}
	more := int64(n) - Allowance - l.held
	if more <= 0 {
		return true
	}
	if !l.pool.take(more) {
		return false
	}
	l.held += more
	return true
}

// Release returns the memory to the pool.
func (l *Lease) Release() {
	if l != nil && l.held > 0 {
		l.pool.free.Add(l.held)
		l.held = 0
	}
}
