package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// sent is one client attempt.
type sent struct {
	id     string
	path   string
	via    string // name of the machine
	at     time.Time
	status int // 0 without an answer
	took   time.Duration
}

// clients are the stand-ins of the clients. Each request asks the directory for addresses, as
// often as the answers allow, and goes to one of them at random.
type clients struct {
	c      *cluster
	host   string
	key    string
	hc     *http.Client
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu        sync.Mutex
	n         int
	addresses []string
	validTill time.Time
	all       map[string]*sent
}

func (c *cluster) newClients(host, key string) *clients {
	return &clients{c: c, host: host, key: key, hc: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}, all: map[string]*sent{}}
}

// resolve asks up to three directory nodes for addresses.
func (k *clients) resolve() []string {
	k.mu.Lock()
	addresses, valid := k.addresses, time.Now().Before(k.validTill)
	k.mu.Unlock()
	if valid {
		return addresses
	}
	for range 3 {
		m := k.c.machines[rand.IntN(len(k.c.machines))]
		status, b, err := call("GET", "http://"+m.addr(directoryPort)+"/resolve?name="+k.host+"&region=oberbayern&zone="+zones[rand.IntN(len(zones))], nil, time.Second)
		var a struct {
			Addresses []string `json:"addresses"`
			TTL       float64  `json:"ttl-s"`
		}
		if err != nil || status != 200 || json.Unmarshal(b, &a) != nil || len(a.Addresses) == 0 {
			continue
		}
		k.mu.Lock()
		k.addresses, k.validTill = a.Addresses, time.Now().Add(time.Duration(min(a.TTL, 5)*float64(time.Second)))
		k.mu.Unlock()
		return a.Addresses
	}
	return addresses
}

// run sends requests to the paths in turn, at a rate, until stopped.
func (k *clients) run(perSecond int, timeout time.Duration, paths ...string) {
	ctx, cancel := context.WithCancel(context.Background())
	k.cancel = cancel
	k.wg.Go(func() {
		t := time.NewTicker(time.Second / time.Duration(perSecond))
		defer t.Stop()
		for i := 0; ; i++ {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
			path := paths[i%len(paths)]
			k.wg.Go(func() { k.send(path, timeout) })
		}
	})
}

func (k *clients) stop() {
	k.cancel()
	k.wg.Wait()
}

// send sends one request.
func (k *clients) send(path string, timeout time.Duration) {
	addresses := k.resolve()
	if len(addresses) == 0 {
		return
	}
	addr := addresses[rand.IntN(len(addresses))]
	s := &sent{path: path}
	for _, m := range k.c.machines {
		if m.addr(frontPort) == addr {
			s.via = m.name
		}
	}
	k.mu.Lock()
	k.n++
	s.id = fmt.Sprintf("%08x%08x", rand.Uint32(), k.n)
	s.at = time.Now()
	k.all[s.id] = s
	k.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+addr+path, bytes.NewReader([]byte("body of "+s.id)))
	if err != nil {
		return
	}
	req.Host = k.host
	req.GetBody = nil // so that the client's library sends nothing twice by itself
	req.Header.Set("Request-Id", s.id)
	req.Header.Set("Request-Deadline", fmt.Sprint(timeout.Milliseconds()))
	req.Header.Set("Authorization", "Token "+k.key)
	resp, err := k.hc.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	k.mu.Lock()
	defer k.mu.Unlock()
	if err == nil {
		s.status, s.took = resp.StatusCode, time.Since(s.at)
	}
}

func (k *clients) find(id string) (sent, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, ok := k.all[id]
	if !ok {
		return sent{}, false
	}
	return *s, true
}

// summary returns the number of requests by status, sent in a span of time.
func (k *clients) summary(from, to time.Time) map[int]int {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := map[int]int{}
	for _, s := range k.all {
		if !s.at.Before(from) && s.at.Before(to) {
			out[s.status]++
		}
	}
	return out
}

// dump records all requests: what was sent and answered, and where each ran.
func (k *clients) dump(engines ...*engine) {
	runs := map[string][]string{}
	for _, e := range engines {
		for _, a := range e.received() {
			what := "ok"
			if a.failed {
				what = "500"
			}
			runs[a.id] = append(runs[a.id], fmt.Sprintf("%s (%s) at %.3f: %s", e.id, e.version, a.at.Sub(k.c.rec.begin).Seconds(), what))
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	all := make([]*sent, 0, len(k.all))
	for _, s := range k.all {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *sent) int { return a.at.Compare(b.at) })
	k.c.rec.line("all requests of the clients:")
	for _, s := range all {
		answer := "no answer"
		if s.status != 0 {
			answer = fmt.Sprintf("%d after %d ms", s.status, s.took.Milliseconds())
		}
		ran := "no engine"
		if r := runs[s.id]; len(r) > 0 {
			ran = strings.Join(r, ", ")
		}
		k.c.rec.lineAt(s.at, "%s %s to %s: %s; ran at %s", s.id, s.path, s.via, answer, ran)
	}
}
