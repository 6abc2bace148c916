package stream

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"
)

// Guards against a budget that counts less memory than the records use, or so
// much more that a fifth of the memory stays unused.
func TestBudgetFollowsMemory(t *testing.T) {
	const answers, tokens = 2000, 277
	for _, ended := range []bool{false, true} {
		rnd := rand.New(rand.NewPCG(1, 6))
		r := NewRegistry(Config{TotalBytes: 1 << 30, Keep: time.Hour})
		text := make([]string, 0, tokens)
		for range tokens {
			text = append(text, fmt.Sprintf("%0*d", 1+rnd.IntN(9), 7))
		}
		heap := func() int64 {
			var m runtime.MemStats
			runtime.GC()
			runtime.GC()
			runtime.ReadMemStats(&m)
			return int64(m.HeapAlloc)
		}
		before := heap()
		for i := range answers {
			a, err := r.Accept(Request{ID: fmt.Sprint("org/request-", i), Org: "org", Service: "drafts", Version: "v1", Body: make([]byte, 200)}, testStart)
			if err != nil {
				t.Fatal(err)
			}
			n := a.Attempt()
			for p := range text {
				_, _ = a.Append(n, uint64(p), text[p:p+1])
			}
			if ended {
				_ = a.End(n, tokens, "stop")
			}
		}
		took := heap() - before
		bytes := r.Bytes()
		t.Logf("ended %v: %d bytes of memory and %d charged per token, %d and %d per answer", ended,
			took/answers/tokens, bytes/answers/tokens, took/answers, bytes/answers)
		if bytes < took || 4*bytes > 5*took {
			t.Errorf("ended %v: %d bytes charged for %d", ended, bytes, took)
		}
		runtime.KeepAlive(r)
	}
}
