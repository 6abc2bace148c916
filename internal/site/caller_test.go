package site

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/stand"
)

// streamCaller reads one streamed answer and resumes it at the next address after a
// lost connection.
type streamCaller struct {
	id, key, prompt string
	seed            uint64
	tokens          int

	mu              sync.Mutex
	addrs           []string // used in order, one per attempt
	text            strings.Builder
	firstToken      string
	received        int // tokens; equals the id of the last event
	attempts        int
	lostConnections int // connections that ended without a final event
	movedEvents     int
	finishReason    string
	failure         string // the error event or refusal that ended the stream
}

type sseChunk struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Error *struct{ Code, Outcome string } `json:"error"`
}

func (c *streamCaller) tokensReceived() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received
}

// run reads until the answer is complete or has failed, or ctx is done.
func (c *streamCaller) run(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil && c.failure == "" && c.finishReason == "" {
		addr := c.addrs[c.attempts%len(c.addrs)]
		if c.attempts++; c.attempts > 1 {
			time.Sleep(20 * time.Millisecond)
		}
		body, _ := json.Marshal(map[string]any{"model": "drafts", "prompt": c.prompt, "max_tokens": c.tokens, "seed": c.seed, "stream": true})
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/completions", strings.NewReader(string(body)))
		req.Header.Set("Authorization", "Bearer "+c.key)
		req.Header.Set("X-Request-Id", c.id)
		if c.received > 0 {
			req.Header.Set("Last-Event-ID", strconv.Itoa(c.received))
		}
		resp, err := client.Do(req)
		if err != nil {
			continue // the instance no longer listens
		}
		c.readStream(resp)
		_ = resp.Body.Close()
	}
}

func (c *streamCaller) readStream(resp *http.Response) {
	if resp.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(resp.Body)
		retryable := resp.StatusCode == http.StatusConflict && resp.Header.Get("Retry-After") != "" && strings.Contains(string(b), "inProgress")
		if resp.Header.Get("X-Outcome") != "not-run" && !retryable || c.attempts > 200 {
			c.failure = fmt.Sprintf("status %d: %s", resp.StatusCode, b)
		}
		return
	}
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(nil, 1<<20)
	id, event := 0, ""
	for scanner.Scan() {
		switch field, value, _ := strings.Cut(scanner.Text(), ": "); field {
		case "id":
			id, _ = strconv.Atoi(value)
		case "event":
			event = value
		case "data":
			if value == "[DONE]" {
				return
			}
			if event == "moved" {
				c.movedEvents++
				return
			}
			if !c.addChunk(value, id) {
				return
			}
		}
	}
	c.lostConnections++
}

func (c *streamCaller) addChunk(data string, id int) bool {
	var chunk sseChunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil || chunk.Error != nil || len(chunk.Choices) != 1 {
		c.failure = data
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	text := chunk.Choices[0].Text
	if c.received == 0 {
		c.firstToken, _, _ = strings.Cut(text, " ")
		c.firstToken += " "
	}
	if text != "" && id <= c.received {
		c.failure = fmt.Sprintf("event id %d after %d", id, c.received)
		return false
	}
	c.text.WriteString(text)
	c.received = id
	if r := chunk.Choices[0].FinishReason; r != nil {
		c.finishReason = *r
	}
	return true
}

// check compares the answer with the expected output of the engines.
func (c *streamCaller) check(t *testing.T) {
	t.Helper()
	want := stand.Text{Model: "drafts", Version: "v1", Prompt: c.prompt, Seed: c.seed}.Expected(c.firstToken, c.tokens)
	if got := c.text.String(); c.failure != "" || c.finishReason != "length" || got != want {
		t.Errorf("%s: %d of %d tokens, reason %q, failed %q, %d tries, %d cuts, equal %v, is prefix %v",
			c.id, c.received, c.tokens, c.finishReason, c.failure, c.attempts, c.lostConnections, got == want, strings.HasPrefix(want, got))
	}
}

// checkComputedOnce checks that later attempts resumed the answer instead of computing
// it again.
func checkComputedOnce(t *testing.T, s *Site, org, id string) {
	t.Helper()
	started := 0
	for _, e := range s.Engines() {
		for _, r := range e.Runs() {
			// A cell that runs a request of another cell appends the attempt to the id.
			if r.RequestID != org+"/"+id && !strings.HasPrefix(r.RequestID, org+"/"+id+" ") {
				continue
			}
			if r.BadResume {
				t.Errorf("%s: attempt %d resumed a different text", id, r.Attempt)
			}
			if r.Resumed == 0 && r.Generated > 0 {
				started++
			}
		}
	}
	if started != 1 {
		t.Errorf("%s: the answer was started %d times", id, started)
	}
}

var dataCentres = []string{"dc1", "dc2", "dc3"}

// startSixNodes starts two entry nodes in each of three data centres, one of them a
// control node.
func startSixNodes(t *testing.T, seed uint64, engines int, cfg stand.EngineConfig) *Site {
	t.Helper()
	t.Logf("seed %d", seed)
	ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
	defer cancel()
	s, err := Start(ctx, Config{Seed: seed, DataCentres: dataCentres, EntriesPerDataCentre: 2, ControlNodes: 3, Declaration: testDeclaration(t), DrainSeconds: 5, FakeDisks: true, Election: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	for i := range engines {
		cfg.Spec = stand.Spec{
			ID: "engine-" + strconv.Itoa(i), Service: "drafts", Versions: []string{"v1"}, DataCentre: dataCentres[i%3], Zone: dataCentres[i%3] + "-a",
			MachineClass: "m", Reclaimable: true, Price: 1, Slots: 32, AnnounceEvery: 100 * time.Millisecond, Seed: seed + uint64(i),
		}
		cfg.CacheBlocks = 1000
		if _, err := s.AddEngine(cfg); err != nil {
			t.Fatal(err)
		}
	}
	waitBackends(t, s, engines)
	return s
}

func waitBackends(t *testing.T, s *Site, n int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := s.WaitForBackends(ctx, n); err != nil {
		t.Fatal(err)
	}
}

func get(t *testing.T, addr, path string, headers ...string) (int, http.Header, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, resp.Header, string(b)
}

// fetchAddresses fetches the directory from the known addresses, then from any node.
func fetchAddresses(s *Site, known []string) []string {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	for _, addr := range append(slices.Clone(known), s.CallerAddrs()...) {
		resp, err := client.Get("http://" + addr + "/v1/addresses")
		if err != nil {
			continue
		}
		var body struct{ Addresses []struct{ Address string } }
		err = json.NewDecoder(resp.Body).Decode(&body)
		_ = resp.Body.Close()
		if err != nil || len(body.Addresses) == 0 {
			continue
		}
		var out []string
		for _, a := range body.Addresses {
			out = append(out, a.Address)
		}
		return out
	}
	return known
}
