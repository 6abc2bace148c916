package site

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/event"
	"cranberrypath.example/cranberrypath/internal/stand"
)

// failureCases are failures of the processes that a stream depends on. inject gets the
// engine and the entry node that serve the first stream.
var failureCases = []struct {
	name string
	lose func(t *testing.T, s *Site, engine *stand.Engine, entry int)
}{
	{"engine reclaimed", func(_ *testing.T, _ *Site, e *stand.Engine, _ int) {
		e.Reclaim(time.Now().Add(500 * time.Millisecond))
	}},
	{"second engine reclaimed during the move", func(_ *testing.T, s *Site, e *stand.Engine, _ int) {
		e.Reclaim(time.Now().Add(500 * time.Millisecond))
		time.Sleep(250 * time.Millisecond)
		for _, other := range s.Engines() {
			if other != e && other.State() == "ready" && len(runningRequests(other)) > 0 {
				other.Reclaim(time.Now().Add(500 * time.Millisecond))
				return
			}
		}
	}},
	{"engine crashed", func(_ *testing.T, _ *Site, e *stand.Engine, _ int) { e.Crash() }},
	{"entry crashed", func(t *testing.T, s *Site, _ *stand.Engine, entry int) { stopNode(t, s, entry, 0) }},
	{"entry and engine crashed", func(t *testing.T, s *Site, e *stand.Engine, entry int) {
		e.Crash()
		stopNode(t, s, entry, 0)
	}},
	{"entry stopped with a short notice", func(t *testing.T, s *Site, _ *stand.Engine, entry int) { stopNode(t, s, entry, time.Second) }},
	{"data centre reclaimed", func(t *testing.T, s *Site, _ *stand.Engine, entry int) {
		dc := s.Settings(entry).DataCentre
		for i, e := range s.Engines() {
			if dataCentres[i%3] == dc {
				e.Reclaim(time.Now().Add(500 * time.Millisecond))
			}
		}
		var wg sync.WaitGroup
		for i := range s.NodeCount() {
			if s.Settings(i).DataCentre == dc {
				wg.Go(func() { stopNode(t, s, i, 0) })
			}
		}
		wg.Wait()
	}},
}

// runningRequests returns the ids of the requests running on an engine.
func runningRequests(e *stand.Engine) []string {
	var out []string
	for _, r := range e.Runs() {
		if r.Ended.IsZero() {
			out = append(out, r.RequestID)
		}
	}
	return out
}

func stopNode(t *testing.T, s *Site, i int, notice time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), max(notice, time.Millisecond))
	defer cancel()
	if err := s.StopNode(ctx, i, notice > 0); err != nil {
		t.Logf("stop of node %d: %v", i, err)
	}
}

// Guards against streams that lose, duplicate or mix up tokens, or are computed twice,
// when engines, entry instances or a data centre fail.
func TestStreamsSurviveLosses(t *testing.T) {
	t.Parallel()
	seed := rand.Uint64() >> 32
	ledger := stand.NewLedger()
	s := startSixNodes(t, seed, 6, stand.EngineConfig{Speed: 2, Sampling: true, KVBytesPerToken: 64, Ledger: ledger})
	rng := rand.New(rand.NewPCG(seed, 1))
	for _, c := range failureCases {
		t.Run(c.name, func(t *testing.T) {
			injectFailure(t, s, rng, c.name, c.lose)
			restartAll(t, s)
		})
	}
}

func injectFailure(t *testing.T, s *Site, rng *rand.Rand, name string, inject func(*testing.T, *Site, *stand.Engine, int)) {
	ctx, cancel := context.WithTimeout(context.Background(), 25*time.Second)
	defer cancel()
	entry := rng.IntN(s.NodeCount())
	var callers []*streamCaller
	var wg sync.WaitGroup
	for i := range 6 {
		c := &streamCaller{
			id: fmt.Sprintf("%d-%d", rng.Uint32(), i), key: "acme-key", prompt: name + strconv.Itoa(i), seed: uint64(i), tokens: 200,
		}
		for k := range s.NodeCount() { // most streams use the entry node that fails
			c.addrs = append(c.addrs, s.Settings((entry+k+i/4)%s.NodeCount()).Listen.Callers)
		}
		callers = append(callers, c)
		wg.Go(func() { c.run(ctx) })
	}
	for _, c := range callers {
		for c.tokensReceived() < 5 && ctx.Err() == nil {
			time.Sleep(5 * time.Millisecond)
		}
	}
	var engine *stand.Engine
	for _, e := range s.Engines() {
		for _, id := range runningRequests(e) {
			if id == "acme/"+callers[0].id {
				engine = e
			}
		}
	}
	if engine == nil {
		t.Fatal("no engine runs the first stream")
	}
	inject(t, s, engine, entry)
	wg.Wait()
	for _, c := range callers {
		c.check(t)
		checkComputedOnce(t, s, "acme", c.id)
		if t.Failed() {
			for _, e := range s.Timeline(event.Filter{Request: "acme/" + c.id}) {
				t.Log(e.Time.Format(time.StampMilli), e.Node, e.Kind, e.Instance, e.Detail)
			}
		}
	}
	attempts := 0
	for _, e := range s.Engines() {
		for _, r := range e.Runs() {
			if r.RequestID == "acme/"+callers[0].id {
				attempts++
			}
		}
	}
	if attempts < 2 && callers[0].attempts < 2 {
		t.Errorf("the failure did not affect the first stream")
	}
	t.Logf("first stream: %d attempts, %d connections, %d lost, %d moved", attempts, callers[0].attempts, callers[0].lostConnections, callers[0].movedEvents)
}

// restartAll restarts failed engines and nodes.
func restartAll(t *testing.T, s *Site) {
	t.Helper()
	for _, e := range s.Engines() {
		if e.State() == "leaving" {
			e.Crash()
		}
		if err := e.Restart(); err != nil {
			t.Fatal(err)
		}
	}
	for i := range s.NodeCount() {
		if s.Node(i) == nil {
			if err := s.StartNode(i); err != nil {
				t.Fatal(err)
			}
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := s.WaitForVersion(ctx, 1); err != nil {
		t.Fatal(err)
	}
	waitBackends(t, s, len(s.Engines()))
}
