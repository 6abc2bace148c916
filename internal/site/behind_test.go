package site

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/event"
	"cranberrypath.example/cranberrypath/internal/faults"
	"cranberrypath.example/cranberrypath/internal/stand"
)

// resumeOnce resumes an answer at an instance and returns the first line with data, or the
// body of a response that is no stream.
func resumeOnce(ctx context.Context, addr, id string, pos int) (status int, first string, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/requests/"+id, http.NoBody)
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Authorization", "Bearer acme-key")
	req.Header.Set("Last-Event-ID", strconv.Itoa(pos))
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		b, err := io.ReadAll(resp.Body)
		return resp.StatusCode, string(b), err
	}
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		if data, ok := strings.CutPrefix(scanner.Text(), "data: "); ok {
			return resp.StatusCode, data, nil
		}
	}
	return resp.StatusCode, "", scanner.Err()
}

// Guards against resumed answers that are refused because the instance holds a copy that is
// behind the caller: the copy is on its way there, and the owner has the rest.
func TestCopyBehindItsCaller(t *testing.T) {
	t.Parallel()
	const owner, holder = 5, 4
	for _, c := range []struct {
		name  string
		next  int           // the instance that makes the next copy
		delay time.Duration // of each message with it
		lose  func(t *testing.T, s *Site)
	}{
		{"owner stops", holder, 120 * time.Millisecond, func(t *testing.T, s *Site) { stopNode(t, s, owner, 2*time.Second) }},
		{"owner crashes", holder, 150 * time.Millisecond, func(t *testing.T, s *Site) { stopNode(t, s, owner, 0) }},
		{"holder of the copy crashes", owner, 220 * time.Millisecond, func(t *testing.T, s *Site) { stopNode(t, s, holder, 0) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			seed := rand.Uint64() >> 32
			s := startSixInstances(t, seed, 3, stand.EngineConfig{Speed: 1, Sampling: true})
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Second)
			defer cancel()
			main := &streamCaller{id: idReplicatedOn(s, "behind-", holder), key: "acme-key", prompt: "long", seed: seed, tokens: 250}
			for _, i := range []int{owner, 0, 1, 2, 3, holder} {
				main.addrs = append(main.addrs, s.Settings(i).Listen.Callers)
			}
			var wg sync.WaitGroup
			read := make(chan struct{})
			wg.Go(func() {
				defer close(read)
				main.run(ctx)
			})
			for main.tokensReceived() < 20 && ctx.Err() == nil {
				time.Sleep(5 * time.Millisecond)
			}
			for i := range s.InstanceCount() {
				if c.next != i { // the next copy takes time to arrive
					s.Links.Set(s.Settings(c.next).Listen.Peers, s.Settings(i).Listen.Peers, faults.Rule{Delay: c.delay})
				}
			}
			readCtx, stop := context.WithCancel(ctx)
			defer stop()
			var mu sync.Mutex
			resumed, refused := 0, map[string]int{}
			for i := range 4 { // callers that resume again and again, each at its own instance
				wg.Go(func() {
					for readCtx.Err() == nil {
						pos := main.tokensReceived()
						status, first, err := resumeOnce(readCtx, s.Settings(i).Listen.Callers, main.id, pos)
						mu.Lock()
						switch {
						case err != nil:
						case status == 200 && first == "": // the instance stops
						case status == 503 && strings.Contains(first, "notAllAnswered"): // it did not reply in time
						case status == 200 && !strings.Contains(first, `"error"`):
							resumed++
						default:
							refused[fmt.Sprint(status, " ", first)]++
						}
						mu.Unlock()
					}
				})
			}
			c.lose(t, s)
			<-read
			stop()
			wg.Wait()
			main.check(t)
			if len(refused) > 0 || resumed == 0 {
				t.Errorf("%d resumed, refused: %v", resumed, refused)
			}
			if t.Failed() {
				for _, e := range s.Timeline(event.Filter{Request: "acme/" + main.id}) {
					t.Log(e.Time.Format(time.StampMilli), e.Node, e.Kind, e.Instance, e.Detail)
				}
			}
		})
	}
}

// Guards against positions that no instance has reached being taken for a copy that is
// behind, and against answers that such a position changes.
func TestPositionsThatNobodyReached(t *testing.T) {
	t.Parallel()
	seed := rand.Uint64() >> 32
	s := startSixInstances(t, seed, 3, stand.EngineConfig{Speed: 1, Sampling: true})
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	const tokens = 20
	ended := &streamCaller{id: "ended", key: "acme-key", prompt: "short", seed: seed, tokens: tokens, addrs: []string{s.Settings(0).Listen.Callers}}
	ended.run(ctx)
	running := &streamCaller{id: "running", key: "acme-key", prompt: "long", seed: seed, tokens: 400, addrs: ended.addrs}
	var wg sync.WaitGroup
	wg.Go(func() { running.run(ctx) })
	for running.tokensReceived() < 3 && ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
	}
	for i := range s.InstanceCount() {
		addr := s.Settings(i).Listen.Callers
		for _, c := range []struct {
			id, pos string
			status  int
			want    string // part of the body
		}{
			{"ended", "x", 400, "must be a position"},
			{"ended", "-1", 400, "must be a position"},
			{"ended", "1.5", 400, "must be a position"},
			{"ended", "18446744073709551616", 400, "must be a position"},
			{"ended", "21", 400, "the answer ended with 20"},
			{"ended", "1000000", 400, "the answer ended with 20"},
			{"ended", "20", 200, "[DONE]"},
			{"ended", "19", 200, "[DONE]"},
			{"running", "399", 400, "has only reached"},
			{"unknown", "7", 404, "unknownRequest"},
		} {
			began := time.Now()
			status, _, body := get(t, addr, "/v1/requests/"+c.id, "Authorization", "Bearer acme-key", "Last-Event-ID", c.pos)
			if status != c.status || !strings.Contains(body, c.want) {
				t.Errorf("%s from %s at instance %d: status %d, %s", c.id, c.pos, i, status, body)
			}
			if took := time.Since(began); took > 3*time.Second {
				t.Errorf("%s from %s at instance %d took %v", c.id, c.pos, i, took)
			}
		}
		body := fmt.Sprintf(`{"max_tokens":%d,"model":"drafts","prompt":"short","seed":%d,"stream":true}`, tokens, seed) // as streamCaller sends it
		status, h, text := post(t, addr, "/v1/completions", body, "X-Request-Id", "ended", "Last-Event-ID", "21")
		if status != 400 || h.Get("X-Outcome") != "unknown" || !strings.Contains(text, "the answer ended with 20") {
			t.Errorf("sent again from beyond the end at instance %d: status %d, %v, %s", i, status, h, text)
		}
	}
	wg.Wait()
	running.check(t)
	again := &streamCaller{id: "ended", key: "acme-key", prompt: "short", seed: seed, tokens: tokens, addrs: ended.addrs}
	again.run(ctx)
	again.check(t)
	if again.text.String() != ended.text.String() {
		t.Error("the answer has changed")
	}
	checkComputedOnce(t, s, "acme", "ended")
	checkComputedOnce(t, s, "acme", "running")
}

// Guards against a planned stop that gives up handing an answer over although it has time
// left: if the instance could not copy the last tokens for a while, nobody else has them.
func TestHandoverIsRepeated(t *testing.T) {
	t.Parallel()
	const owner, holder = 5, 4
	seed := rand.Uint64() >> 32
	s := startSixInstances(t, seed, 3, stand.EngineConfig{Speed: 1, Sampling: true})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Second)
	defer cancel()
	c := &streamCaller{id: idReplicatedOn(s, "late-", holder), key: "acme-key", prompt: "long", seed: seed, tokens: 700}
	for _, i := range []int{owner, 0, 1, 2, 3, holder} {
		c.addrs = append(c.addrs, s.Settings(i).Listen.Callers)
	}
	var wg sync.WaitGroup
	wg.Go(func() { c.run(ctx) })
	for c.tokensReceived() < 5 && ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
	}
	wg.Go(func() { stopNode(t, s, owner, 8*time.Second) }) // the answers are handed over in the last 2 s
	cut := func(on bool) {
		for i := range s.InstanceCount() {
			s.Links.Set(s.Settings(owner).Listen.Peers, s.Settings(i).Listen.Peers, faults.Rule{Cut: on})
			s.Links.Set(s.Settings(i).Listen.Peers, s.Settings(owner).Listen.Peers, faults.Rule{Cut: on})
		}
	}
	time.Sleep(4 * time.Second)
	before := c.tokensReceived()
	cut(true)
	time.Sleep(3 * time.Second)
	seen := c.tokensReceived()
	cut(false)
	wg.Wait()
	c.check(t)
	if seen == before {
		t.Error("no tokens were seen that had no copy")
	}
	if t.Failed() {
		for _, e := range s.Timeline(event.Filter{Request: "acme/" + c.id}) {
			t.Log(e.Time.Format(time.StampMilli), e.Node, e.Kind, e.Instance, e.Detail)
		}
	}
}
