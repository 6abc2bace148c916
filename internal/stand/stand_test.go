package stand

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"go/parser"
	"go/token"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"cranberrypath.example/cranberrypath/internal/world"
)

func TestMain(m *testing.M) {
	http.DefaultTransport.(*http.Transport).DisableKeepAlives = true
	goleak.VerifyTestMain(m)
}

// Guards against the simulators and the adapters agreeing by shared code instead
// of by the contract pages.
func TestSharesNoCodeWithTheAdapters(t *testing.T) {
	files, err := os.ReadDir(".")
	if err != nil || len(files) < 8 {
		t.Fatalf("%d files, %v", len(files), err)
	}
	for _, f := range files {
		p, err := parser.ParseFile(token.NewFileSet(), f.Name(), nil, parser.ImportsOnly)
		if err != nil {
			t.Fatal(err)
		}
		for _, i := range p.Imports {
			if strings.Contains(i.Path.Value, "cranberrypath/internal/") && !strings.HasSuffix(i.Path.Value, "/world\"") {
				t.Errorf("%s imports %s", f.Name(), i.Path.Value)
			}
		}
	}
}

// entry records announcements and follows cache events as the contract says.
type entry struct {
	*httptest.Server
	mu     sync.Mutex
	last   wireState
	next   uint64
	blocks map[string]bool
	resync bool
	gaps   int
}

func newEntry(t *testing.T) *entry {
	n := &entry{blocks: map[string]bool{}}
	n.Server = httptest.NewServer(http.HandlerFunc(n.serve))
	t.Cleanup(n.Close)
	return n
}

func (n *entry) addr() string { return n.Listener.Addr().String() }

func (n *entry) serve(w http.ResponseWriter, r *http.Request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var m wireState
	if json.NewDecoder(r.Body).Decode(&m) != nil || r.URL.Path != "/v1/backends/announce" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if m.Incarnation > n.last.Incarnation {
		n.next, n.blocks = 0, map[string]bool{}
	}
	n.last = m
	if ev := m.CacheEvents; ev != nil {
		n.follow(ev)
	}
	reply(w, map[string]any{"home": n.addr(), "everyMillis": 10, "resyncCache": n.resync})
}

func (n *entry) follow(ev *wireEvents) {
	if ev.Full {
		n.blocks, n.next, n.resync = map[string]bool{}, ev.From, false
	}
	if ev.From != n.next {
		n.gaps++
		n.resync = true
	}
	for _, h := range ev.Added {
		n.blocks[h] = true
	}
	for _, h := range ev.Removed {
		delete(n.blocks, h)
	}
	n.next = ev.From + uint64(len(ev.Added)+len(ev.Removed))
	if ev.Full {
		n.next = ev.From + 1
	}
}

func (n *entry) state() wireState {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.last
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 1000 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("did not happen: %s", what)
}

func newEngine(t testing.TB, cfg EngineConfig) *Engine {
	t.Helper()
	cfg.Service, cfg.Versions = "plans", []string{"v1", "v2"}
	e, err := NewEngine(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = e.Close() })
	return e
}

// generate runs a request and returns its text, its last event and the time of its end.
func generate(e *Engine, g generateRequest) (string, wireEvent, time.Time) {
	g.Model, g.Attempt = "plans", max(g.Attempt, 1)
	if g.Version == "" {
		g.Version = "v1"
	}
	b, _ := json.Marshal(g)
	resp, err := http.Post("http://"+e.Address()+"/engine/generate", "application/json", bytes.NewReader(b))
	if err != nil {
		return "", wireEvent{}, time.Time{}
	}
	defer func() { _ = resp.Body.Close() }()
	var text strings.Builder
	var last wireEvent
	for s := bufio.NewScanner(resp.Body); s.Scan(); {
		last = wireEvent{}
		_ = json.Unmarshal(s.Bytes(), &last)
		text.WriteString(strings.Join(last.Tokens, ""))
	}
	return text.String(), last, time.Now()
}

// Guards against events from which the content of the cache cannot be
// reconstructed: late, interleaved with evictions, or with gaps and a resync.
func TestCacheEventsDescribeTheCache(t *testing.T) {
	for _, gaps := range []float64{0, 0.5} {
		n := newEntry(t)
		e := newEngine(t, EngineConfig{
			Spec:        Spec{ID: "e", Seed: 5, Entries: []string{n.addr()}, AnnounceEvery: 10 * time.Millisecond},
			CacheBlocks: 40, CacheLag: 15 * time.Millisecond, CacheGaps: gaps, Speed: 1000,
		})
		for i := range 60 {
			prompt := strings.Repeat(fmt.Sprintf("document %08d. ", i%7), 50)
			if _, last, _ := generate(e, generateRequest{RequestID: fmt.Sprint(i), Prompt: prompt, MaxTokens: 2}); !last.Done {
				t.Fatalf("seed 5: request %d ended with %+v", i, last)
			}
		}
		// How many publications the requests above make depends on the load of the
		// machine; few of them may all arrive.
		more := 60
		eventually(t, "a publication is lost and noticed", func() bool {
			if gaps == 0 {
				return true
			}
			more++
			generate(e, generateRequest{RequestID: fmt.Sprint(more), Prompt: strings.Repeat(fmt.Sprintf("document %08d. ", more), 20), MaxTokens: 2})
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.gaps > 0
		})
		e.mu.Lock()
		e.cfg.CacheGaps = 0
		e.mu.Unlock()
		// A gap at the very end shows only with the next events.
		e.Warm(strings.Repeat("x", world.BlockBytes), time.Now())
		eventually(t, "the entry instance knows the cache", func() bool {
			blocks := e.CachedBlocks()
			n.mu.Lock()
			defer n.mu.Unlock()
			same := len(blocks) == len(n.blocks) && !n.resync
			for _, h := range hexes(blocks) {
				same = same && n.blocks[h]
			}
			return same
		})
		if (gaps > 0) != (n.gaps > 0) {
			t.Fatalf("seed 5: %d gaps with share %v", n.gaps, gaps)
		}
	}
}

// Guards against a prefix cache that saves no work, or that counts work as saved
// which it no longer holds.
func TestPrefixCacheSavesWork(t *testing.T) {
	e := newEngine(t, EngineConfig{CacheBlocks: 20, Speed: 1000})
	a, b := strings.Repeat("a", 16*world.BlockBytes), strings.Repeat("b", 16*world.BlockBytes)
	for i, p := range []string{a, a + "tail", b, a} {
		generate(e, generateRequest{RequestID: fmt.Sprint(i), Prompt: p, MaxTokens: 1})
	}
	want := []int{0, 256, 0, 0} // tokens; b has evicted the first blocks of a
	for i, r := range e.Runs() {
		if r.Cached != want[i] || r.Computed != r.Prompt-want[i] || !r.Completed {
			t.Errorf("run %d: %+v, want %d cached", i, r, want[i])
		}
	}
}

// Guards against urgent work waiting behind patient work that has not begun.
func TestPriorities(t *testing.T) {
	e := newEngine(t, EngineConfig{Spec: Spec{Slots: 1}, Speed: 20})
	ends := make(map[string]time.Time)
	var mu sync.Mutex
	var wg sync.WaitGroup
	run := func(id string, priority, prompt int) {
		wg.Go(func() {
			_, last, at := generate(e, generateRequest{RequestID: id, Prompt: strings.Repeat("x", prompt), MaxTokens: 20, Priority: priority})
			mu.Lock()
			defer mu.Unlock()
			if last.Done {
				ends[id] = at
			}
		})
		eventually(t, id+" arrives", func() bool {
			for _, r := range e.Runs() {
				if r.RequestID == id {
					return true
				}
			}
			return false
		})
	}
	run("prefilling review", 2, 100_000) // holds the only slot without a token
	run("review", 2, 100)
	run("lookup", 0, 100)
	wg.Wait()
	if len(ends) != 3 || ends["lookup"].After(ends["review"]) || ends["lookup"].After(ends["prefilling review"]) {
		t.Fatalf("ends %v", ends)
	}
}

// Guards against version faults that hit too much, too little or too early.
func TestVersionFaults(t *testing.T) {
	e := newEngine(t, EngineConfig{Speed: 1000})
	failed := func(version string, priority int) bool {
		_, last, _ := generate(e, generateRequest{RequestID: fmt.Sprint(len(e.Runs())), Version: version, Priority: priority, MaxTokens: 3})
		return last.Error != nil
	}
	tests := []struct {
		fault     VersionFault
		v1, v2    bool // lookups fail
		v2Reviews bool
	}{
		{VersionFault{Version: "v2", Fail: true}, false, true, true},
		{VersionFault{Version: "v2", Fail: true, Route: "review"}, false, false, true},
		{VersionFault{Version: "v2", Fail: true, After: time.Hour}, false, false, false},
		{VersionFault{Version: "v2", Fail: true, AboveRunning: 3}, false, false, false},
		{VersionFault{Version: "v2", Slow: 3}, false, false, false},
	}
	for _, tt := range tests {
		e.SetVersionFaults(tt.fault)
		if failed("v1", 0) != tt.v1 || failed("v2", 0) != tt.v2 || failed("v2", 2) != tt.v2Reviews {
			t.Errorf("%+v: hit the wrong requests", tt.fault)
		}
	}
}

// Guards against a reclaim without notice, an engine that outlives its reclaim,
// and a restart or cleaning that does not show.
func TestLifeCycle(t *testing.T) {
	n := newEntry(t)
	e := newEngine(t, EngineConfig{Spec: Spec{ID: "e", Entries: []string{"127.0.0.1:1", n.addr()}, AnnounceEvery: 10 * time.Millisecond}, Speed: 100})
	eventually(t, "an announcement after a failed one", func() bool { return n.state().State == stateReady })
	e.Reclaim(time.Now().Add(100 * time.Millisecond))
	eventually(t, "the notice", func() bool { return n.state().State == stateLeaving && n.state().LeaveBy != nil })
	eventually(t, "the end", func() bool { return !e.Alive() })
	if err := e.Restart(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the second incarnation", func() bool { return n.state().Incarnation == 2 && n.state().State == stateReady })
	resp, err := http.Post("http://"+e.Address()+"/engine/orders", "application/json", strings.NewReader(`{"id":"1","kind":"clean"}`))
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatal(resp, err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	eventually(t, "the cleaned incarnation", func() bool { return n.state().Incarnation == 3 && n.state().State == stateReady })
}

// Guards against a poisonous prompt that leaves the engine alive, or a harmless
// one that does not.
func TestPoison(t *testing.T) {
	e := newEngine(t, EngineConfig{Speed: 100})
	e.SetPoison("anchor bolt 0")
	if _, last, _ := generate(e, generateRequest{RequestID: "1", Prompt: "anchor bolt 1", MaxTokens: 3}); !last.Done || !e.Alive() {
		t.Fatalf("harmless prompt ended with %+v", last)
	}
	_, last, _ := generate(e, generateRequest{RequestID: "2", Prompt: "anchor bolt 0", MaxTokens: 3})
	if r := e.Runs()[1]; last.Done || e.Alive() || r.Reason != "crashed" {
		t.Fatalf("poison ended with %+v, run %+v", last, r)
	}
}

// Guards against a version that crashes servers but lives, or crashes them when
// another version runs.
func TestVersionCrash(t *testing.T) {
	e := newEngine(t, EngineConfig{Speed: 100})
	e.SetVersionFaults(VersionFault{Version: "v2", Crash: true})
	for n, v := range []string{"v1", "v2"} {
		_, last, _ := generate(e, generateRequest{RequestID: v, Version: v, MaxTokens: 3})
		if crashed := v == "v2"; last.Done == crashed || e.Alive() == crashed || (e.Runs()[n].Reason == "crashed") != crashed {
			t.Fatalf("%s ended with %+v, alive %v", v, last, e.Alive())
		}
	}
}

func BenchmarkEncodeAnnouncement(b *testing.B) {
	e := newEngine(b, EngineConfig{CacheBlocks: 1000})
	b.ReportAllocs()
	for b.Loop() {
		b.ReportMetric(float64(len(e.Announced(time.Now()))), "wire-bytes")
	}
}
