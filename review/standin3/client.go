package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The host of all routes, and the wait of callers.
const (
	host           = "calls.example"
	callerDeadline = 1500 * time.Millisecond
)

// sent is a request of a caller and what became of it.
type sent struct {
	id, node, path string
	at             time.Duration
	status         int  // 0 for none
	signed         bool // the answer bears an engine's signature
}

// The callers of a case, and for how long some of them keep the addresses that the system names.
const (
	callerCount = 24
	longTTL     = 3 * time.Second
	shortTTL    = time.Second
)

// callers send requests to the machines that the system names to them.
type callers struct {
	w      *world
	client *http.Client

	mu   sync.Mutex
	sent map[string]*sent
	next int
}

func newCallers(w *world) *callers {
	return &callers{w: w, sent: map[string]*sent{}, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}}
}

// caller is one caller with its addresses.
type caller struct {
	c    *callers
	zone string
	ttl  time.Duration

	mu   sync.Mutex
	list []string
}

// newCaller returns a caller in one of the zones. Every third keeps addresses longer.
func (c *callers) newCaller(i int) *caller {
	a := &caller{c: c, zone: fmt.Sprintf("z%d", i%4), ttl: shortTTL}
	if i%3 == 0 {
		a.ttl = longTTL
	}
	return a
}

// resolve asks up to three machines, nearest first, for the addresses of the system.
func (a *caller) resolve() {
	nodes := a.c.w.control()
	slices.SortStableFunc(nodes, func(x, y *node) int { return cmp.Compare(distance(x, a.zone), distance(y, a.zone)) })
	for _, n := range nodes[:3] {
		if list := a.ask(n); len(list) > 0 {
			a.mu.Lock()
			a.list = list
			a.mu.Unlock()
			return
		}
	}
}

func distance(n *node, zone string) int {
	if n.zone == zone {
		return 0
	}
	return 1
}

func (a *caller) ask(n *node) []string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	u := fmt.Sprintf("http://%s/resolve?%s", n.address(n.w.ports.directory), url.Values{"name": {host}, "region": {"r"}, "zone": {a.zone}}.Encode())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return nil
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&answer) != nil {
		return nil
	}
	return answer.Addresses
}

// address returns one of the addresses, or "".
func (a *caller) address() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.list) == 0 {
		return ""
	}
	return a.list[rand.IntN(len(a.list))]
}

// keepResolved asks for the addresses again and again until ctx ends.
func (a *caller) keepResolved(ctx context.Context) {
	for ctx.Err() == nil {
		a.resolve()
		sleep(ctx, a.ttl)
	}
}

// run lets all callers together send a request about every interval until ctx ends.
func (c *callers) run(ctx context.Context, interval time.Duration, method, path string) {
	for i := range callerCount {
		a := c.newCaller(i)
		go a.keepResolved(ctx)
		go func() {
			for ctx.Err() == nil {
				sleep(ctx, time.Duration(rand.Int64N(int64(2*callerCount*interval))))
				if to := a.address(); to != "" && ctx.Err() == nil {
					go c.send(to, method, path, "order")
				}
			}
		}()
	}
}

// send sends one request to a machine and returns what became of it.
func (c *callers) send(address, method, path, body string) *sent {
	c.mu.Lock()
	c.next++
	s := &sent{id: fmt.Sprintf("q%06d", c.next), node: address, path: path, at: c.w.now()}
	c.sent[s.id] = s
	c.mu.Unlock()
	c.w.recordf("client sends %s %s to %s", s.id, path, address)
	ctx, cancel := context.WithTimeout(context.Background(), callerDeadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return s
	}
	req.Host = host
	req.Header.Set("Request-Id", s.id)
	req.Header.Set("Request-Deadline", strconv.FormatInt(callerDeadline.Milliseconds(), 10))
	resp, err := c.client.Do(req)
	status, answer, signed := 0, "", false
	if err == nil {
		b, readErr := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if readErr == nil {
			status, answer, signed = resp.StatusCode, string(b), resp.Header.Get("Server-Signature") != ""
		}
	}
	c.mu.Lock()
	s.status, s.signed = status, signed
	c.mu.Unlock()
	c.w.recordf("client gets %d for %s: %.60s", status, s.id, answer)
	return s
}

func (c *callers) byID(id string) sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.sent[id]; s != nil {
		return *s
	}
	return sent{}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
