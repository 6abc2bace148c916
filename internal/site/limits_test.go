package site

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/stand"
)

// Guards against an organisation that is starved when another organisation floods all
// instances, and refusals without a Retry-After header. The test does not run in
// parallel with others, because it uses all CPU time.
func TestFloodDoesNotStarve(t *testing.T) {
	s := startSixNodes(t, rand.Uint64()>>32, 3, stand.EngineConfig{Speed: 3})
	var floodCallers sync.WaitGroup
	var stop atomic.Bool
	var refused atomic.Int64
	for i := range 40 * s.NodeCount() {
		floodCallers.Go(func() {
			for n := 0; !stop.Load(); n++ {
				body := fmt.Sprintf(`{"model": "drafts", "prompt": "flood %d-%d", "max_tokens": 100}`, i, n)
				status, h, text := tryPost(s.Settings(i%s.NodeCount()).Listen.Callers, "/v1/completions", body)
				switch {
				case status == http.StatusOK:
				case status == http.StatusTooManyRequests && h.Get("Retry-After") != "" && h.Get("X-Outcome") == "not-run" && strings.Contains(text, "overShare"):
					refused.Add(1)
					// On a loaded machine, 240 callers that retry immediately leave the
					// nodes no CPU time to renew their leases.
					time.Sleep(50 * time.Millisecond)
				default:
					t.Errorf("flood: status %d: %s", status, text)
					return
				}
			}
		})
	}
	for refused.Load() < 100 && !t.Failed() {
		time.Sleep(time.Millisecond)
	}
	var smallCallers sync.WaitGroup
	for i := range s.NodeCount() {
		smallCallers.Go(func() {
			for n := range 10 {
				body := fmt.Sprintf(`{"model": "drafts", "prompt": "small %d-%d", "max_tokens": 10}`, i, n)
				if status, _, text := tryPost(s.Settings(i).Listen.Callers, "/v1/completions", body, "Authorization", "Bearer other-key"); status != http.StatusOK {
					t.Errorf("small: status %d: %s", status, text)
				}
			}
		})
	}
	smallCallers.Wait()
	stop.Store(true)
	floodCallers.Wait()
	t.Logf("%d flood requests were refused", refused.Load())
}
