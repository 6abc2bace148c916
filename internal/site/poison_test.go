package site

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/stand"
)

// Guards against a poison request that crashes more than two servers when its callers
// retry it at other instances, also if the servers restart immediately, and
// concurrent requests that do not get their answers.
func TestPoisonLosesTwoServers(t *testing.T) {
	t.Parallel()
	runPoisonTest(t, 300*time.Millisecond)
}

// Guards against the same failures when four instances receive the poison request
// simultaneously, before any of them has seen a crash.
func TestPoisonSentAtOnce(t *testing.T) {
	t.Parallel()
	runPoisonTest(t, 0)
}

func runPoisonTest(t *testing.T, interval time.Duration) {
	t.Helper()
	seed := rand.Uint64() >> 32
	s := startSixNodes(t, seed, 6, stand.EngineConfig{Speed: 4})
	ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
	defer cancel()
	var restarts sync.WaitGroup
	done := make(chan struct{})
	for _, e := range s.Engines() {
		e.SetPoison("CRASH")
		restarts.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(30 * time.Millisecond):
					_ = e.Restart()
				}
			}
		})
	}
	defer func() { close(done); restarts.Wait() }()
	var neighbours, poisoned []*streamCaller
	var wg sync.WaitGroup
	startCaller := func(list *[]*streamCaller, prompt string) {
		i := len(neighbours) + len(poisoned)
		c := &streamCaller{id: "p" + strconv.Itoa(i), key: "acme-key", prompt: prompt, seed: seed, tokens: 120}
		for k := range s.NodeCount() {
			c.addrs = append(c.addrs, s.Settings((i+k)%s.NodeCount()).Listen.Callers)
		}
		*list = append(*list, c)
		wg.Go(func() { c.run(ctx) })
	}
	for i := range 12 {
		startCaller(&neighbours, "neighbour "+strconv.Itoa(i))
	}
	time.Sleep(100 * time.Millisecond)
	for range 4 { // the same body with four ids at four instances
		startCaller(&poisoned, "a plan that must CRASH")
		time.Sleep(interval)
	}
	wg.Wait()
	for _, c := range neighbours {
		c.check(t)
	}
	for _, c := range poisoned {
		if !strings.Contains(c.failure, "crashesServers") {
			t.Errorf("%s ended with %q after %d tries", c.id, c.failure, c.attempts)
		}
	}
	repeatBody := `{"model": "drafts", "prompt": "a plan that must CRASH", "max_tokens": 120, "seed": ` + strconv.FormatUint(seed, 10) + `}`
	status, h, body := post(t, s.CallerAddrs()[5], "/v1/completions", repeatBody)
	for status == 503 && h.Get("X-Outcome") == "not-run" && h.Get("Retry-After") != "" && ctx.Err() == nil {
		// Another instance may still wait for reports of the requests that ran on the
		// crashed servers.
		time.Sleep(100 * time.Millisecond)
		status, h, body = post(t, s.CallerAddrs()[5], "/v1/completions", repeatBody)
	}
	if status != 422 || !strings.Contains(body, "crashesServers") {
		t.Errorf("repeated request: status %d: %s", status, body)
	}
	lost := 0
	for _, e := range s.Engines() {
		lost += int(e.Incarnation()) - 1
	}
	if lost != 2 {
		t.Errorf("%d servers were lost, want 2", lost)
	}
}
