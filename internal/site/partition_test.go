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

// partitionExcept cuts an entry node's links to the backend servers and to all nodes
// other than except.
func partitionExcept(s *Site, node, except int) {
	cutLinks := func(a, b string) {
		s.Links.Set(a, b, faults.Rule{Cut: true})
		s.Links.Set(b, a, faults.Rule{Cut: true})
	}
	for _, e := range s.Engines() {
		cutLinks(s.Settings(node).Listen.Peers, e.Addr())
	}
	for i := range s.NodeCount() {
		if i != node && i != except {
			cutLinks(s.Settings(node).Listen.Peers, s.Settings(i).Listen.Peers)
		}
	}
}

// idReplicatedOn returns a request id for which node k holds the replica of the answer
// if node 5 accepts the request.
func idReplicatedOn(s *Site, prefix string, k int) string {
	for n := 0; ; n++ {
		id := fmt.Sprint(prefix, n)
		best, top := -1, uint64(0)
		for i := range s.NodeCount() {
			settings := s.Settings(i)
			if h := xxhash.Sum64String(settings.Node + "\x00acme/" + id); settings.DataCentre != s.Settings(5).DataCentre && h > top {
				best, top = i, h
			}
		}
		if best == k {
			return id
		}
	}
}

// Guards against accepted requests that wait for their deadline at an instance that
// reaches neither backend servers nor its cell. The caller must get an error, and the
// answer must be available from the replica's node, which continues it.
func TestCutOffEntryBreaksOff(t *testing.T) {
	t.Parallel()
	seed := rand.Uint64() >> 32
	s := startSixNodes(t, seed, 3, stand.EngineConfig{Speed: 1})
	addr := s.Settings(5).Listen.Callers
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Second)
	defer cancel()
	stream := &streamCaller{id: "cut-stream", key: "acme-key", prompt: "long", seed: seed, tokens: 300, addrs: []string{addr}}
	var wg sync.WaitGroup
	wg.Go(func() { stream.run(ctx) })
	var status int
	var h http.Header
	body := fmt.Sprintf(`{"model": "drafts", "prompt": "whole", "max_tokens": 300, "seed": %d}`, seed)
	wg.Go(func() { status, h, _ = post(t, addr, "/v1/completions", body, "X-Request-Id", "cut-whole") })
	for stream.tokensReceived() < 3 && ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
	}
	partitionExcept(s, 5, -1)
	wg.Wait()
	if status != 503 || h.Get("Retry-After") == "" || h.Get("X-Outcome") != "unknown" {
		t.Errorf("whole answer: status %d, headers %v", status, h)
	}
	if stream.failure == "" || stream.tokensReceived() >= stream.tokens {
		t.Fatalf("stream: %d tokens, %q", stream.tokensReceived(), stream.failure)
	}
	t.Logf("stream ended with %s", stream.failure)
	stream.failure, stream.addrs = "", []string{s.Settings(0).Listen.Callers}
	stream.run(ctx)
	stream.check(t)
	checkComputedOnce(t, s, "acme", stream.id)
}

// Guards against an answer that is lost or stalls although the node with its replica is
// reachable.
func TestCutOffEntryHandsOver(t *testing.T) {
	t.Parallel()
	seed := rand.Uint64() >> 32
	s := startSixNodes(t, seed, 3, stand.EngineConfig{Speed: 1})
	const replica = 4
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Second)
	defer cancel()
	c := &streamCaller{
		id: idReplicatedOn(s, "cut-", replica), key: "acme-key", prompt: "long", seed: seed, tokens: 300,
		addrs: []string{s.Settings(5).Listen.Callers},
	}
	var wg sync.WaitGroup
	wg.Go(func() { c.run(ctx) })
	for c.tokensReceived() < 3 && ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
	}
	partitionExcept(s, 5, replica)
	wg.Wait()
	c.check(t)
	if c.attempts != 1 {
		t.Errorf("the caller needed %d connections", c.attempts)
	}
	checkComputedOnce(t, s, "acme", c.id)
	if t.Failed() {
		for _, e := range s.Timeline(event.Filter{}) {
			t.Log(e.Time.Format(time.StampMilli), e.Node, e.Kind, e.Request, e.Instance, e.Detail)
		}
	}
}
