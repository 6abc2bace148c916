package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

func init() { cases["poison-split"] = poisonSplit }

const (
	poisonPath     = "/book/poison"
	poisonInterval = 1500 * time.Millisecond
	poisonRetries  = 3 // that the rule allows
	crashesAllowed = 3
)

// poisonSplit sends a request that crashes the engines that run it again and again on a route that
// is split between two services, and counts the engines that get it after the third crash.
func poisonSplit(w *world, trouble bool) (verdict, error) {
	if err := w.startNodes(4, 4); err != nil {
		return verdict{}, err
	}
	for i := range 8 {
		e, err := w.startEngine(fmt.Sprintf("e%02d", i), []string{"desk", "desk2"}[i%2], 60*time.Millisecond)
		if err != nil {
			return verdict{}, err
		}
		if trouble {
			e.poison = poisonPath
		}
	}
	routes := []route{{"/book/", "unsafe", 600, 1, map[string]int{"desk": 1, "desk2": 1}}}
	if _, err := w.configure(configuration(1, routes, "desk", "desk2"), 20*time.Second); err != nil {
		return verdict{}, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := newCallers(w)
	c.run(ctx, 20*time.Millisecond, "POST", "/book/1")
	sleep(ctx, 6*time.Second)
	var senders []*caller
	for i := range 4 {
		senders = append(senders, c.newCaller(i))
		go senders[i].keepResolved(ctx)
	}
	if trouble {
		w.recordf("TROUBLE: from now on a request comes every %v that crashes the engines that run it", poisonInterval)
	}
	for end := w.now() + 100*time.Second; w.now() < end; sleep(ctx, poisonInterval) {
		if to := senders[rand.IntN(len(senders))].address(); to != "" {
			c.send(to, http.MethodPost, poisonPath, "the same body")
		}
	}
	cancel()
	time.Sleep(callerDeadline)
	runs := w.poisonRuns()
	if len(runs) < crashesAllowed {
		return verdict{false, fmt.Sprintf("the request crashed %d engines", len(runs))}, nil
	}
	third, late := runs[crashesAllowed-1].at, 0
	for _, a := range runs[crashesAllowed:] {
		s := c.byID(a.request)
		if s.at > third+stableWindow {
			late++
		}
		w.recordf("BUDGET: %s, sent at %.3f to %s, reaches an engine at %.3f, %.3f s after the third crash", a.request, s.at.Seconds(), s.node, a.at.Seconds(), (a.at - third).Seconds())
	}
	lost := 0
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.sent {
		if s.path != poisonPath && s.status != http.StatusOK && s.status != http.StatusServiceUnavailable {
			lost++
			w.recordf("lost beside it: %s, sent at %.3f to %s, got %d", s.id, s.at.Seconds(), s.node, s.status)
		}
	}
	return verdict{late > poisonRetries, fmt.Sprintf("%d requests reached an engine over %v after the third crash, %d are allowed; %d others were lost", late, stableWindow, poisonRetries, lost)}, nil
}
