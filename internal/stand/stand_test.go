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

// Guards against simulators that match the adapters because of shared code rather than
// because both follow the contract pages.
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

// entryStub records announcements and applies cache events as the contract specifies.
type entryStub struct {
	*httptest.Server
	mu         sync.Mutex
	lastSeen   announcement
	nextSeq    uint64
	blocks     map[string]bool
	wantResync bool
	gaps       int
}

func newEntryStub(t *testing.T) *entryStub {
	n := &entryStub{blocks: map[string]bool{}}
	n.Server = httptest.NewServer(http.HandlerFunc(n.serve))
	t.Cleanup(n.Close)
	return n
}

func (n *entryStub) addr() string { return n.Listener.Addr().String() }

func (n *entryStub) serve(w http.ResponseWriter, r *http.Request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var m announcement
	if json.NewDecoder(r.Body).Decode(&m) != nil || r.URL.Path != "/v1/backends/announce" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if m.Incarnation > n.lastSeen.Incarnation {
		n.nextSeq, n.blocks = 0, map[string]bool{}
	}
	n.lastSeen = m
	if ev := m.CacheEvents; ev != nil {
		n.applyEvents(ev)
	}
	writeJSON(w, map[string]any{"home": n.addr(), "everyMillis": 10, "resyncCache": n.wantResync})
}

func (n *entryStub) applyEvents(ev *cacheEvents) {
	if ev.Full {
		n.blocks, n.nextSeq, n.wantResync = map[string]bool{}, ev.From, false
	}
	if ev.From != n.nextSeq {
		n.gaps++
		n.wantResync = true
	}
	for _, h := range ev.Added {
		n.blocks[h] = true
	}
	for _, h := range ev.Removed {
		delete(n.blocks, h)
	}
	n.nextSeq = ev.From + uint64(len(ev.Added)+len(ev.Removed))
	if ev.Full {
		n.nextSeq = ev.From + 1
	}
}

func (n *entryStub) lastAnnouncement() announcement {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lastSeen
}

func waitFor(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	for range 1000 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("timed out waiting for: %s", condition)
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

// generate runs a request and returns its text, its last event and its end time.
func generate(e *Engine, g generateRequest) (string, streamEvent, time.Time) {
	g.Model, g.Attempt = "plans", max(g.Attempt, 1)
	if g.Version == "" {
		g.Version = "v1"
	}
	b, _ := json.Marshal(g)
	resp, err := http.Post("http://"+e.Address()+"/engine/generate", "application/json", bytes.NewReader(b))
	if err != nil {
		return "", streamEvent{}, time.Time{}
	}
	defer func() { _ = resp.Body.Close() }()
	var text strings.Builder
	var last streamEvent
	for s := bufio.NewScanner(resp.Body); s.Scan(); {
		last = streamEvent{}
		_ = json.Unmarshal(s.Bytes(), &last)
		text.WriteString(strings.Join(last.Tokens, ""))
	}
	return text.String(), last, time.Now()
}

// Guards against cache events from which the cache cannot be reconstructed when they
// are delayed, interleaved with evictions, or lost and followed by a resync.
func TestCacheEventsDescribeTheCache(t *testing.T) {
	for _, gaps := range []float64{0, 0.5} {
		n := newEntryStub(t)
		e := newEngine(t, EngineConfig{
			Spec:        Spec{ID: "e", Seed: 5, Entries: []string{n.addr()}, AnnounceEvery: 10 * time.Millisecond},
			CacheBlocks: 40, CacheLag: 15 * time.Millisecond, CacheEventLoss: gaps, Speed: 1000,
		})
		for i := range 60 {
			prompt := strings.Repeat(fmt.Sprintf("document %08d. ", i%7), 50)
			if _, last, _ := generate(e, generateRequest{RequestID: fmt.Sprint(i), Prompt: prompt, MaxTokens: 2}); !last.Done {
				t.Fatalf("seed 5: request %d ended with %+v", i, last)
			}
		}
		// The number of publications so far depends on the load of the machine. If there
		// were few, possibly none was dropped.
		extra := 60
		waitFor(t, "a dropped publication is noticed", func() bool {
			if gaps == 0 {
				return true
			}
			extra++
			generate(e, generateRequest{RequestID: fmt.Sprint(extra), Prompt: strings.Repeat(fmt.Sprintf("document %08d. ", extra), 20), MaxTokens: 2})
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.gaps > 0
		})
		e.mu.Lock()
		e.cfg.CacheEventLoss = 0
		e.mu.Unlock()
		// A dropped last publication is noticed only with the next one.
		e.Warm(strings.Repeat("x", world.BlockBytes), time.Now())
		waitFor(t, "the entry instance has the content of the cache", func() bool {
			blocks := e.CachedBlocks()
			n.mu.Lock()
			defer n.mu.Unlock()
			same := len(blocks) == len(n.blocks) && !n.wantResync
			for _, h := range hexHashes(blocks) {
				same = same && n.blocks[h]
			}
			return same
		})
		if (gaps > 0) != (n.gaps > 0) {
			t.Fatalf("seed 5: %d gaps with share %v", n.gaps, gaps)
		}
	}
}

// Guards against a prefix cache that has no effect, or that counts evicted blocks as
// cached.
func TestPrefixCacheSavesWork(t *testing.T) {
	e := newEngine(t, EngineConfig{CacheBlocks: 20, Speed: 1000})
	a, b := strings.Repeat("a", 16*world.BlockBytes), strings.Repeat("b", 16*world.BlockBytes)
	for i, p := range []string{a, a + "tail", b, a} {
		generate(e, generateRequest{RequestID: fmt.Sprint(i), Prompt: p, MaxTokens: 1})
	}
	want := []int{0, 256, 0, 0} // tokens; prompt b evicted the first blocks of a
	for i, r := range e.Runs() {
		if r.CachedTokens != want[i] || r.Computed != r.Prompt-want[i] || !r.Completed {
			t.Errorf("run %d: %+v, want %d cached", i, r, want[i])
		}
	}
}

// Guards against an urgent request that waits for a less urgent one, either queued or
// in its prefill phase.
func TestPriorities(t *testing.T) {
	e := newEngine(t, EngineConfig{Spec: Spec{Slots: 1}, Speed: 20})
	endTimes := make(map[string]time.Time)
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := func(id string, priority, prompt int) {
		wg.Go(func() {
			_, last, at := generate(e, generateRequest{RequestID: id, Prompt: strings.Repeat("x", prompt), MaxTokens: 20, Priority: priority})
			mu.Lock()
			defer mu.Unlock()
			if last.Done {
				endTimes[id] = at
			}
		})
		waitFor(t, id+" arrives", func() bool {
			for _, r := range e.Runs() {
				if r.RequestID == id {
					return true
				}
			}
			return false
		})
	}
	start("prefilling review", 2, 100_000) // occupies the only slot and has not produced a token
	start("review", 2, 100)
	start("lookup", 0, 100)
	wg.Wait()
	if len(endTimes) != 3 || endTimes["lookup"].After(endTimes["review"]) || endTimes["lookup"].After(endTimes["prefilling review"]) {
		t.Fatalf("ends %v", endTimes)
	}
}

// Guards against version faults that affect the wrong requests or take effect too early.
func TestVersionFaults(t *testing.T) {
	e := newEngine(t, EngineConfig{Speed: 1000})
	failed := func(version string, priority int) bool {
		_, last, _ := generate(e, generateRequest{RequestID: fmt.Sprint(len(e.Runs())), Version: version, Priority: priority, MaxTokens: 3})
		return last.Error != nil
	}
	tests := []struct {
		fault     VersionFault
		v1, v2    bool // whether lookups fail
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
			t.Errorf("%+v: affected the wrong requests", tt.fault)
		}
	}
}

// Guards against a reclaim that is not announced, an engine that stays alive after its
// reclaim, and a restart or cleaning that doesn't start a new incarnation.
func TestLifeCycle(t *testing.T) {
	n := newEntryStub(t)
	e := newEngine(t, EngineConfig{Spec: Spec{ID: "e", Entries: []string{"127.0.0.1:1", n.addr()}, AnnounceEvery: 10 * time.Millisecond}, Speed: 100})
	waitFor(t, "an announcement after a failed one", func() bool { return n.lastAnnouncement().State == stateReady })
	e.Reclaim(time.Now().Add(100 * time.Millisecond))
	waitFor(t, "the announcement of the reclaim", func() bool { return n.lastAnnouncement().State == stateLeaving && n.lastAnnouncement().LeaveBy != nil })
	waitFor(t, "the crash at the end of the notice period", func() bool { return !e.Alive() })
	if err := e.Restart(); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the second incarnation", func() bool { return n.lastAnnouncement().Incarnation == 2 && n.lastAnnouncement().State == stateReady })
	resp, err := http.Post("http://"+e.Address()+"/engine/orders", "application/json", strings.NewReader(`{"id":"1","kind":"clean"}`))
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatal(resp, err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	waitFor(t, "the cleaned incarnation", func() bool { return n.lastAnnouncement().Incarnation == 3 && n.lastAnnouncement().State == stateReady })
}

// Guards against a poison prompt that doesn't crash the engine, and a harmless prompt
// that does.
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

// Guards against a crash fault that doesn't crash the engine, and one that affects other
// versions.
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
