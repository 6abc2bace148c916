package site

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/faults"
	"cranberrypath.example/cranberrypath/internal/stand"
)

// Guards against a request id that is computed twice, answered with another request's
// answer, or shared between organisations.
func TestRequestIDs(t *testing.T) {
	t.Parallel()
	seed := rand.Uint64() >> 32
	s := startSixNodes(t, seed, 3, stand.EngineConfig{Speed: 20, Sampling: true})
	rng := rand.New(rand.NewPCG(seed, 2))
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()

	t.Run("the same request at all instances at once", func(t *testing.T) {
		for round := range 10 {
			id := fmt.Sprintf("same-%d", round)
			var callers []*streamCaller
			var wg sync.WaitGroup
			for i := range 2 * s.NodeCount() {
				org := []string{"acme", "other"}[i%2]
				c := &streamCaller{id: id, key: org + "-key", prompt: "for " + org, seed: seed, tokens: 20, addrs: []string{s.Settings(rng.IntN(s.NodeCount())).Listen.Callers}}
				callers = append(callers, c)
				wg.Go(func() { c.run(ctx) })
			}
			wg.Wait()
			for i, c := range callers {
				c.check(t)
				if c.firstToken != callers[i%2].firstToken {
					t.Errorf("round %d: answers %q and %q to one request", round, c.firstToken, callers[i%2].firstToken)
				}
			}
			checkComputedOnce(t, s, "acme", id)
			checkComputedOnce(t, s, "other", id)
		}
	})
	t.Run("another body", func(t *testing.T) {
		for round := range 10 {
			var wg sync.WaitGroup
			var mu sync.Mutex
			texts, refused := map[string]bool{}, 0
			for i := range 4 {
				wg.Go(func() {
					prompt := fmt.Sprintf("prompt %d", i%2)
					status, h, body := post(t, s.Settings((round+i)%s.NodeCount()).Listen.Callers, "/v1/completions",
						fmt.Sprintf(`{"model": "drafts", "prompt": %q, "max_tokens": 5}`, prompt), "X-Request-Id", fmt.Sprintf("body-%d", round))
					mu.Lock()
					defer mu.Unlock()
					switch {
					case status == http.StatusOK:
						texts[prompt] = true
					case status == http.StatusConflict && h.Get("X-Outcome") == "not-run" && strings.Contains(body, "requestIdReused"):
						refused++
					default:
						t.Errorf("round %d: status %d: %s", round, status, body)
					}
				})
			}
			wg.Wait()
			if len(texts) != 1 || refused != 2 {
				t.Errorf("round %d: answers to %v, %d refused; want one body answered", round, texts, refused)
			}
		}
	})
}

// Guards against a caller that abandons its answer because it is reported as unknown
// while the instances that hold it do not respond in time.
func TestSilentHoldersAreNotMissingAnswers(t *testing.T) {
	t.Parallel()
	s := startSixNodes(t, rand.Uint64()>>32, 3, stand.EngineConfig{Speed: 20})
	const replica = 4
	id := idReplicatedOn(s, "silent-", replica)
	status, _, text := post(t, s.Settings(5).Listen.Callers, "/v1/completions", `{"model": "drafts", "prompt": "short", "max_tokens": 5}`, "X-Request-Id", id)
	if status != http.StatusOK {
		t.Fatalf("status %d: %s", status, text)
	}
	getRequest := func(id string) (int, http.Header, string) {
		return get(t, s.Settings(0).Listen.Callers, "/v1/requests/"+id, "Authorization", "Bearer acme-key")
	}
	setPartition := func(on bool) {
		for _, i := range []int{5, replica} {
			s.Links.Set(s.Settings(0).Listen.Peers, s.Settings(i).Listen.Peers, faults.Rule{Cut: on})
		}
	}
	setPartition(true)
	status, h, text := getRequest(id)
	if status != http.StatusServiceUnavailable || h.Get("Retry-After") == "" || h.Get("X-Outcome") != "unknown" || !strings.Contains(text, "notAllAnswered") {
		t.Errorf("holders cut off: status %d, headers %v: %s", status, h, text)
	}
	setPartition(false)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for {
		if status, _, text = getRequest(id); status == http.StatusOK {
			break
		}
		if ctx.Err() != nil {
			t.Fatalf("holders back: status %d: %s", status, text)
		}
		time.Sleep(50 * time.Millisecond)
	}
	if status, _, text = getRequest("never-" + id); status != http.StatusNotFound {
		t.Errorf("unknown id: status %d: %s", status, text)
	}
}
