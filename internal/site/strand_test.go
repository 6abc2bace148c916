package site

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"cranberrypath.example/cranberrypath/internal/event"
	"cranberrypath.example/cranberrypath/internal/faults"
	"cranberrypath.example/cranberrypath/internal/stand"
)

// cutOff cuts an entry node off from the backend servers and all other nodes but one.
func cutOff(s *Site, node, except int) {
	cut := func(a, b string) {
		s.Links.Set(a, b, faults.Rule{Cut: true})
		s.Links.Set(b, a, faults.Rule{Cut: true})
	}
	for _, e := range s.Engines() {
		cut(s.Settings(node).Listen.Peers, e.Addr())
	}
	for i := range s.Size() {
		if i != node && i != except {
			cut(s.Settings(node).Listen.Peers, s.Settings(i).Listen.Peers)
		}
	}
}

// keptBy returns an id whose answers, accepted at node 5, node k keeps.
func keptBy(s *Site, prefix string, k int) string {
	for n := 0; ; n++ {
		id := fmt.Sprint(prefix, n)
		best, top := -1, uint64(0)
		for i := range s.Size() {
			set := s.Settings(i)
			if h := xxhash.Sum64String(set.Node + "\x00acme/" + id); set.DataCentre != s.Settings(5).DataCentre && h > top {
				best, top = i, h
			}
		}
		if best == k {
			return id
		}
	}
}

// Guards against accepted requests that wait for their deadline at an instance
// which reaches neither backend servers nor the cell: the caller must learn of
// it, and find its answer where the keeper runs it.
func TestCutOffEntryBreaksOff(t *testing.T) {
	t.Parallel()
	seed := rand.Uint64() >> 32
	s := wide(t, seed, 3, stand.EngineConfig{Speed: 1})
	addr := s.Settings(5).Listen.Callers
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Second)
	defer cancel()
	stream := &caller{id: "cut-stream", key: "acme-key", prompt: "long", seed: seed, tokens: 300, addrs: []string{addr}}
	var wg sync.WaitGroup
	wg.Go(func() { stream.run(ctx) })
	var status int
	var h http.Header
	body := fmt.Sprintf(`{"model": "drafts", "prompt": "whole", "max_tokens": 300, "seed": %d}`, seed)
	wg.Go(func() { status, h, _ = post(t, addr, "/v1/completions", body, "X-Request-Id", "cut-whole") })
	for stream.position() < 3 && ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
	}
	cutOff(s, 5, -1)
	wg.Wait()
	if status != 503 || h.Get("Retry-After") == "" || h.Get("X-Outcome") != "unknown" {
		t.Errorf("whole answer: status %d, headers %v", status, h)
	}
	if stream.failed == "" || stream.position() >= stream.tokens {
		t.Fatalf("stream: %d tokens, %q", stream.position(), stream.failed)
	}
	t.Logf("stream ended with %s", stream.failed)
	stream.failed, stream.addrs = "", []string{s.Settings(0).Listen.Callers}
	stream.run(ctx)
	stream.check(t)
	computedOnce(t, s, "acme", stream.id)
}

// Guards against an answer that is lost, or waits, although its keeper is within reach.
func TestCutOffEntryHandsOver(t *testing.T) {
	t.Parallel()
	seed := rand.Uint64() >> 32
	s := wide(t, seed, 3, stand.EngineConfig{Speed: 1})
	const keeper = 4
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Second)
	defer cancel()
	c := &caller{
		id: keptBy(s, "cut-", keeper), key: "acme-key", prompt: "long", seed: seed, tokens: 300,
		addrs: []string{s.Settings(5).Listen.Callers},
	}
	var wg sync.WaitGroup
	wg.Go(func() { c.run(ctx) })
	for c.position() < 3 && ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
	}
	cutOff(s, 5, keeper)
	wg.Wait()
	c.check(t)
	if c.tries != 1 {
		t.Errorf("the caller needed %d connections", c.tries)
	}
	computedOnce(t, s, "acme", c.id)
	if t.Failed() {
		for _, e := range s.Timeline(event.Filter{}) {
			t.Log(e.Time.Format(time.StampMilli), e.Node, e.Kind, e.Request, e.Instance, e.Detail)
		}
	}
}
