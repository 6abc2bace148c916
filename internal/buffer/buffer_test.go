package buffer

import (
	"fmt"
	"sync"
	"testing"
)

func ExampleLease() {
	pool := NewPool(100)
	a, b := pool.NewLease(), pool.NewLease()
	fmt.Println(a.Hold(Allowance+80), b.Hold(Allowance+30), b.Hold(Allowance))
	a.Release()
	fmt.Println(b.Hold(Allowance + 30))
	// Output:
	// true false true
	// true
}

// Guards against memory that is lost or handed out twice when responses begin and end at the
// same time.
func TestPoolIsWholeAfterwards(t *testing.T) {
	const size = 1000
	pool := NewPool(size)
	var wg sync.WaitGroup
	for i := range 50 {
		wg.Go(func() {
			for n := range 200 {
				l := pool.NewLease()
				l.Hold(Allowance + (i*n)%400)
				l.Hold(Allowance + (i+n)%600)
				if pool.free.Load() > size {
					t.Error("more is free than the pool has")
				}
				l.Release()
				l.Release()
			}
		})
	}
	wg.Wait()
	if got := pool.free.Load(); got != size {
		t.Errorf("%d bytes are free, want %d", got, size)
	}
	var none *Pool
	l := none.NewLease()
	if !l.Hold(1 << 40) {
		t.Error("a nil pool has a limit")
	}
	l.Release()
}
