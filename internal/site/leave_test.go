package site

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/faults"
	"cranberrypath.example/cranberrypath/internal/stand"
)

// partitionFromPeers cuts or restores the links between an entry node and all other
// nodes.
func partitionFromPeers(s *Site, i int, partitioned bool) {
	s.Links.Set(s.Settings(i).Listen.Peers, "*", faults.Rule{Cut: partitioned})
	s.Links.Set("*", s.Settings(i).Listen.Peers, faults.Rule{Cut: partitioned})
}

const shortBody = `{"model": "drafts", "prompt": "x", "max_tokens": 2}`

// Guards against new requests to a leaving server more than one lease after its
// announcement, also from an instance that did not receive the announcement.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	t.Parallel()
	seed := rand.Uint64() >> 32
	s := startSixNodes(t, seed, 4, stand.EngineConfig{Speed: 20})
	partitionFromPeers(s, 5, true)
	e := s.Engines()[0]
	e.Reclaim(time.Now().Add(time.Minute))
	leaseEnd := time.Now().Add(3 * time.Second)
	stop := leaseEnd.Add(1500 * time.Millisecond)
	client := &http.Client{Timeout: time.Second}
	var wg sync.WaitGroup
	for n := 0; time.Now().Before(stop); n++ {
		id := fmt.Sprintf("leave-%d", n)
		if status, _, body := post(t, s.Settings(n%5).Listen.Callers, "/v1/completions", shortBody, "X-Request-Id", id); status != http.StatusOK {
			t.Errorf("status %d: %s", status, body)
		}
		wg.Go(func() { // the answer may be delayed until the instance is connected again
			req, _ := http.NewRequest(http.MethodPost, "http://"+s.Settings(5).Listen.Callers+"/v1/completions", strings.NewReader(shortBody))
			req.Header.Set("Authorization", "Bearer acme-key")
			if resp, err := client.Do(req); err == nil {
				_ = resp.Body.Close()
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	for _, r := range e.Runs() {
		if r.Started.After(leaseEnd) {
			t.Errorf("%s was started %v after the lease", r.RequestID, r.Started.Sub(leaseEnd))
		}
	}
	partitionFromPeers(s, 5, false)
}

// Guards against an instance without a confirmed configuration that keeps accepting
// requests, stays in the directory, interrupts accepted streams or does not recover.
func TestEntryCutOffFromControl(t *testing.T) {
	t.Parallel()
	seed := rand.Uint64() >> 32
	s := startSixNodes(t, seed, 3, stand.EngineConfig{Speed: 1})
	const node = 4
	addr := s.Settings(node).Listen.Callers
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	c := &streamCaller{id: "accepted", key: "acme-key", prompt: "long", seed: seed, tokens: 450, addrs: []string{addr}} // about 6 s
	var wg sync.WaitGroup
	wg.Go(func() { c.run(ctx) })
	for c.tokensReceived() < 3 && ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
	}
	partitionFromControl(s, node, true)
	wait := func(what string, ok func() bool) {
		t.Helper()
		for !ok() {
			if ctx.Err() != nil {
				t.Fatal(what)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	isListed := func(at int) bool {
		_, _, body := get(t, s.Settings(at).Listen.Callers, "/v1/addresses")
		return strings.Contains(body, addr)
	}
	wait("the instance does not refuse new work", func() bool {
		status, h, body := post(t, addr, "/v1/completions", shortBody)
		return status == 503 && h.Get("X-Outcome") == "not-run" && h.Get("Retry-After") != "" && strings.Contains(body, "notConfirmed") && strings.Contains(body, "cannot confirm")
	})
	wait("the instance stays in the directory", func() bool { return !isListed(5) && !isListed(node) })
	if c.tokensReceived() >= c.tokens {
		t.Error("the stream ended before the partition took effect")
	}
	wg.Wait()
	c.check(t)
	if c.attempts != 1 {
		t.Errorf("the accepted stream was interrupted %d times", c.lostConnections)
	}
	partitionFromControl(s, node, false)
	wait("the instance does not recover", func() bool {
		status, _, _ := post(t, addr, "/v1/completions", shortBody)
		return status == http.StatusOK && isListed(5)
	})
}

// Guards against a directory that lists an instance without a confirmed configuration,
// at a node that cannot reach that instance.
func TestCutOffEntryLeavesEveryDirectory(t *testing.T) {
	t.Parallel()
	s := startSixNodes(t, rand.Uint64()>>32, 0, stand.EngineConfig{})
	partitionFromControl(s, 4, true)
	defer partitionFromControl(s, 4, false)
	body := ""
	for range 100 { // for 10 s
		if _, _, body = get(t, s.Settings(0).Listen.Callers, "/v1/addresses"); !strings.Contains(body, s.Settings(4).Listen.Callers) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Errorf("still listed: %s", body)
}

// Guards against requests that fail, are interrupted or executed twice during a rolling
// restart of all processes.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	seed := rand.Uint64() >> 32
	s, desks := startWithDesks(t, seed)
	for i := range 3 {
		if _, err := s.AddEngine(stand.EngineConfig{Speed: 4, Spec: stand.Spec{
			ID: fmt.Sprintf("engine-%d", i), Service: "drafts", Versions: []string{"v1"}, DataCentre: dataCentres[i], Zone: dataCentres[i] + "-a",
			MachineClass: "m", Slots: 32, AnnounceEvery: 100 * time.Millisecond, Seed: seed,
		}, CacheBlocks: 1000, Sampling: true}); err != nil {
			t.Fatal(err)
		}
	}
	waitBackends(t, s, 5)
	ctx, cancel := context.WithTimeout(context.Background(), 110*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	var stop atomic.Bool
	var mu sync.Mutex
	var streams []*streamCaller
	var orders []*testOrder
	for w := range 4 {
		var list []string // the worker's cached directory
		asked := time.Time{}
		addresses := func() []string {
			if time.Since(asked) > time.Second {
				asked = time.Now()
				list = fetchAddresses(s, list)
			}
			return list
		}
		wg.Go(func() {
			for n := 0; !stop.Load(); n++ {
				c := &streamCaller{id: fmt.Sprintf("roll-%d-%d", w, n), key: "acme-key", prompt: "p", seed: uint64(n), tokens: 60, addrs: slices.Clone(addresses())}
				o := &testOrder{key: fmt.Sprintf("roll-%d-%d", w, n), book: desks[0].Book()}
				c.run(ctx)
				addrs := addresses()
				for try := 0; try < 200 && o.firstAnswers+o.unknown+o.replayed == 0; try++ {
					o.send(t, addrs[try%len(addrs)], true)
				}
				mu.Lock()
				streams, orders = append(streams, c), append(orders, o)
				mu.Unlock()
			}
		})
	}
	for i := range s.NodeCount() {
		stopNode(t, s, i, 4*time.Second)
		restartAll(t, s)
	}
	stop.Store(true)
	wg.Wait()
	t.Logf("%d streams, %d orders", len(streams), len(orders))
	for _, c := range streams {
		c.check(t)
		if c.lostConnections > 0 {
			t.Errorf("%s was interrupted %d times", c.id, c.lostConnections)
		}
		checkComputedOnce(t, s, "acme", c.id)
	}
	for _, o := range orders {
		o.check(t)
		if o.unknown > 0 || o.firstAnswers != 1 {
			t.Errorf("%s: %d answers, %d unknown: %s", o.key, o.firstAnswers, o.unknown, o.lastResult)
		}
	}
}
