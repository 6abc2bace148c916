package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	oldVersion, badVersion = "v1", "v2"
	// rolloutTime is the duration-s of both orders.
	rolloutTime = 16 * time.Second
	// bootTime is how long the platform takes to start the engines of an order.
	bootTime = time.Second
	// backAfter is how long after the first order the second operator orders the version before.
	backAfter = 2 * time.Second
	// afterwards is how long the run goes on after the deadline of the bad version's order.
	afterwards = 8 * time.Second
	// quickWork is how long an engine of the order desk works on a request, see the sheets.
	quickWork = 15 * time.Millisecond
	// badShare is the share of the requests that a bad version hits.
	badShare = 0.5
	// exposeSlack and exposeShare are expose-slack and expose-share.
	exposeSlack = 50
	exposeShare = 0.1
	// rollbackTime is rollback-ms, and rollbackAnswers the bad answers from which on it counts.
	rollbackTime    = 5 * time.Second
	rollbackAnswers = 50
)

// orderRollout orders a version at one machine after the other until one acknowledges the order.
func (w *world) orderRollout(target string, timeout time.Duration) bool {
	return w.orderRolloutAt(w.nodes, target, timeout)
}

// orderRolloutAt is orderRollout at some of the machines.
func (w *world) orderRolloutAt(nodes []*node, target string, timeout time.Duration) bool {
	begun := time.Now()
	for i := 0; time.Since(begun) < timeout; i++ {
		n := nodes[i%len(nodes)]
		if status, _ := call(context.Background(), http.MethodPost, "http://"+n.ip+":"+controlPort+"/rollouts", orderBody(target)); status == http.StatusOK {
			w.record("operator: order of %s acknowledged by %s", target, n.name)
			return true
		}
		time.Sleep(operatorPause)
	}
	w.record("operator: order of %s not acknowledged", target)
	return false
}

// orderBody is the body of an order.
func orderBody(target string) string {
	return fmt.Sprintf(`{"service":%q,"target":%q,"duration-s":%g}`, service, target, rolloutTime.Seconds())
}

// rolloutState returns what the system says of the service's rollout.
func (w *world) rolloutState() string {
	for _, n := range w.nodes {
		if status, body := call(context.Background(), http.MethodGet, "http://"+n.ip+":"+controlPort+"/rollouts/"+service, ""); status == http.StatusOK {
			return body
		}
	}
	return "not known"
}

// rollout is a case with an order of a bad version.
type rollout struct {
	good, bad fault
	caller    caller
	// second is what happens after the first order; nil for nothing.
	second func(ordered time.Time) error
}

// play starts the system and the callers, orders the bad version, and reports whether it got more
// requests than it may.
func (w *world) play(r rollout) (bool, error) {
	w.addNodes(4, 2, []int{0, 1, 2, 3, 4, 5})
	w.setSeeds(w.nodes[0], w.nodes[1], w.nodes[4])
	if err := w.startAll(); err != nil {
		return false, err
	}
	if err := w.addEngines(0, oldVersion, r.good); err != nil {
		return false, err
	}
	if _, ok := w.configure(1, ackTime); !ok {
		return false, fmt.Errorf("the first configuration was not acknowledged")
	}
	time.Sleep(2 * heartbeatInterval)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var callers sync.WaitGroup
	defer callers.Wait()
	defer cancel()
	callers.Go(func() { w.askUntil(ctx, r.caller) })
	time.Sleep(settleTime)
	ordered := time.Now()
	if !w.orderRollout(badVersion, ackLimit) {
		return false, fmt.Errorf("the order was not acknowledged")
	}
	time.Sleep(bootTime)
	if err := w.addEngines(20, badVersion, r.bad); err != nil {
		return false, err
	}
	if r.second != nil {
		if err := r.second(ordered); err != nil {
			return false, err
		}
	}
	for end := ordered.Add(rolloutTime + afterwards); time.Now().Before(end); time.Sleep(time.Second) {
		w.record("operator: rollout %s", w.rolloutState())
	}
	return w.exposed(ordered, ordered.Add(rolloutTime), r.caller.deadline), nil
}

// playBack orders a bad version, and a moment later another operator orders the version before
// again. No machine, process or link is disturbed.
func playBack(w *world) (bool, error) {
	good := fault{work: quickWork}
	r := rollout{
		good: good, bad: fault{work: quickWork, share: badShare, after: 3 * time.Second, fails: true, slower: 1},
		caller: caller{interval: 10 * time.Millisecond, deadline: 1500 * time.Millisecond},
	}
	if w.trouble {
		r.second = func(ordered time.Time) error {
			time.Sleep(time.Until(ordered.Add(backAfter)))
			if !w.orderRollout(oldVersion, ackLimit) {
				return fmt.Errorf("the second order was not acknowledged")
			}
			time.Sleep(bootTime)
			return w.addEngines(40, oldVersion, good)
		}
	}
	return w.play(r)
}

// addEngines starts the engines of a version, one in each zone.
func (w *world) addEngines(first int, version string, f fault) error {
	for i := range zones {
		if err := w.addEngine(first+i, version, f); err != nil {
			return err
		}
	}
	return nil
}

// exposed reports whether the bad version got more than its share of the requests that reached
// the service between two times, or a request too long after its failures.
func (w *world) exposed(from, to time.Time, deadline time.Duration) bool {
	all, onBad, late := 0, 0, 0
	var badAnswers []time.Time
	for _, e := range w.engines {
		e.mu.Lock()
		for _, at := range e.arrivals {
			if at.Before(from) || at.After(to) {
				continue
			}
			all++
			if e.fault.bad() {
				onBad++
			}
		}
		badAnswers = append(badAnswers, e.faulty...)
		e.mu.Unlock()
	}
	limit := exposeShare*float64(all) + exposeSlack
	slices.SortFunc(badAnswers, time.Time.Compare)
	if len(badAnswers) >= rollbackAnswers {
		// A request was sent at most the callers' deadline before it arrived.
		late = w.arrivalsAtBad(badAnswers[rollbackAnswers-1].Add(rollbackTime + deadline))
	}
	w.record("of %d requests that reached the service from the order to its deadline, %d reached the bad version; allowed %.0f", all, onBad, limit)
	w.record("the bad version gave %d bad answers; %d requests were sent to it later than rollback-ms after the %dth", len(badAnswers), late, rollbackAnswers)
	return float64(onBad) > limit || late > 0
}

// arrivalsAtBad returns how many requests reached engines of the bad version after a time.
func (w *world) arrivalsAtBad(after time.Time) (n int) {
	for _, e := range w.engines {
		e.mu.Lock()
		for _, at := range e.arrivals {
			if e.fault.bad() && at.After(after) {
				n++
			}
		}
		e.mu.Unlock()
	}
	return n
}
