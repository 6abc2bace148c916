package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// caller is how the callers of a run ask.
type caller struct {
	interval time.Duration // between two requests
	deadline time.Duration // of each
}

// askAll sends n requests, one after the other to each of the machines that run, and returns how
// many were answered with success. A pause between them gives the answers time to change.
func (w *world) askAll(n int, c caller) (served int) {
	answers := map[int]int{}
	for i := range n {
		status := w.ask(w.nodes[i%len(w.nodes)], fmt.Sprintf("%016x", i+1), c.deadline)
		answers[status]++
		if status/100 == 2 {
			served++
		}
		time.Sleep(c.interval)
	}
	w.record("callers: %d requests, %d served; statuses (0 is no response) %v", n, served, answers)
	return served
}

// ask sends one request and returns the status. A success without the engine's signature and body
// counts as none.
func (w *world) ask(n *node, id string, deadline time.Duration) int {
	status := send(n, id, deadline)
	w.record("caller: %s sent to %s, answered %d", id, n.name, status)
	return status
}

func send(n *node, id string, deadline time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.ip+":"+frontPort+"/status/x", nil)
	if err != nil {
		return 0
	}
	req.Host = host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Request-Deadline", fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("Authorization", "Token "+apiKey)
	resp, err := http11.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode/100 == 2 && (resp.Header.Get("Server-Signature") == "" || len(b) == 0) {
		return 0
	}
	return resp.StatusCode
}

// askUntil sends requests at a steady rate, each to the next machine, until ctx ends.
func (w *world) askUntil(ctx context.Context, c caller) {
	var pending sync.WaitGroup
	defer pending.Wait()
	var mu sync.Mutex
	answers := map[int]int{}
	t := time.NewTicker(c.interval)
	defer t.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			mu.Lock()
			defer mu.Unlock()
			w.record("callers: statuses (0 is no response) %v", answers)
			return
		case <-t.C:
		}
		pending.Go(func() {
			status := w.ask(w.nodes[i%len(w.nodes)], fmt.Sprintf("%016x", i+1), c.deadline)
			mu.Lock()
			defer mu.Unlock()
			answers[status]++
		})
	}
}
