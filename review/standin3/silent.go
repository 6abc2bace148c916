package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["silent-drain"] = silentDrain }

const (
	silentEngines = 10
	silentLeaving = 3 // share 0.3, as in the site files
	silentAfter   = 10 * time.Second
	silentRounds  = 3
	// silentInterval is the time between two disruptions. It is no multiple of the interval of 2 s
	// at which machines check their connections, so that the disruptions come at different moments
	// of it.
	silentInterval = 14667 * time.Millisecond
	silentTime     = 9 * time.Second // that is observed after each
	lingerTime     = 8 * time.Second // for which a leaving engine goes on serving
)

// silentDrain lets the open connections of the machines without a disk to others go silent just
// after some engines have announced that they leave. It counts the requests that reach such an
// engine too late after the acknowledgement, sent by machines that are in touch again.
func silentDrain(w *world, trouble bool) (verdict, error) {
	if err := w.startNodes(4, 7); err != nil {
		return verdict{}, err
	}
	if err := w.startEngines(silentEngines); err != nil {
		return verdict{}, err
	}
	if _, err := w.configure(configuration(1, []route{{"/book/", "unsafe", 600, 1, map[string]int{"desk": 1}}}, "desk"), 20*time.Second); err != nil {
		return verdict{}, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := newCallers(w)
	c.run(ctx, 4*time.Millisecond, http.MethodPost, "/book/1")
	sleep(ctx, silentAfter)
	late, last := 0, time.Duration(0)
	for range silentRounds {
		leaving := w.engines[len(w.engines)-silentEngines:][:silentLeaving]
		silentAt := w.leaveAndSilence(leaving, trouble)
		sleep(ctx, silentTime)
		n, at := w.countLate(c, leaving, silentAt)
		late, last = late+n, max(last, at)
		if err := w.startEngines(silentLeaving); err != nil {
			return verdict{}, err
		}
		sleep(ctx, silentAt+silentInterval-w.now())
	}
	return verdict{late > 0, fmt.Sprintf("%d requests reached draining engines too late, the last %.2f s after the acknowledgement", late, last.Seconds())}, nil
}

func (w *world) startEngines(n int) error {
	for range n {
		if _, err := w.startEngine(fmt.Sprintf("e%02d", len(w.engines)), "desk", 15*time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}

// leaveAndSilence lets engines leave, and once that is acknowledged makes the open connections
// silent. It returns when.
func (w *world) leaveAndSilence(leaving []*engine, trouble bool) time.Duration {
	var acks sync.WaitGroup
	for _, e := range leaving {
		acks.Go(e.drain)
		time.AfterFunc(lingerTime, e.leave)
	}
	acks.Wait()
	if trouble {
		n := 0
		for _, from := range w.nodes {
			for _, to := range w.nodes {
				if !from.durable {
					n += to.peers.silence(from.address(w.ports.internal))
				}
			}
		}
		w.recordf("TROUBLE: %d open connections from the machines without a disk to others go silent, new ones work", n)
	}
	return w.now()
}

// countLate counts the requests that reached a draining engine after drainTime and were sent when
// stableWindow had passed since the disruption, and returns the longest time after an
// acknowledgement.
func (w *world) countLate(c *callers, leaving []*engine, silentAt time.Duration) (late int, last time.Duration) {
	for _, e := range leaving {
		acked, arrivals := e.drained()
		for _, a := range arrivals {
			s := c.byID(a.request)
			if acked == 0 || a.at <= acked+drainTime || s.at <= silentAt+stableWindow {
				continue
			}
			late++
			last = max(last, a.at-acked)
			w.recordf("DRAIN: %s, sent at %.3f to %s, reaches %s at %.3f, %.3f s after its acknowledgement, %.3f s after the connections went silent",
				a.request, s.at.Seconds(), s.node, e.name, a.at.Seconds(), (a.at - acked).Seconds(), (a.at - silentAt).Seconds())
		}
	}
	return late, last
}
