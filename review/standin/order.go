package main

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// cut partitions one machine from all others until the returned function is called.
func (c *cluster) cut(cutOff *machine) (heal func()) {
	own := []byte(cutOff.addr(peerPort))
	for _, m := range c.machines {
		m.peerProxy.cut(func(hello []byte) bool { return m == cutOff || bytes.Contains(hello, own) })
	}
	return func() {
		for _, m := range c.machines {
			m.peerProxy.heal()
		}
	}
}

// runOrder: an order of a rollout is sent to a machine that is cut off, and then to another
// one, which acknowledges it. Its version is bad and is taken back, and the operator orders
// the next version, which is acknowledged too. When the cut heals, the first copy of the
// first order arrives at the leader.
//
// Whether the connection between the two machines outlives the cut depends on when it last
// checked the other end, so there are up to four rounds.
func runOrder(rec *record, trouble bool) (verdict, error) {
	const (
		rounds   = 4
		downTime = 1100 * time.Millisecond // closing = { kind = "kill_all", down_s = 1.1 }
	)
	c, err := newCluster(rec, 4, 2, true)
	if err != nil {
		return verdict{}, err
	}
	defer c.close()
	if err := c.startAll(); err != nil {
		return verdict{}, err
	}
	if err := c.configure(plainConfig(1), 10*time.Second); err != nil {
		return verdict{}, err
	}
	if err := c.awaitReady(10 * time.Second); err != nil {
		return verdict{}, err
	}
	o := &orders{c: c, cutOff: c.machines[len(c.machines)-1], other: c.machines[len(c.machines)-2]}
	defer o.stopAll()
	if _, err := o.start("v1", 4, nil); err != nil {
		return verdict{}, err
	}
	time.Sleep(3 * time.Second)
	k := c.newClients(testHost, testKey)
	k.run(200, 1500*time.Millisecond, "/status/1", "/status/2", "/release/1")
	defer k.stop()
	last := ""
	for round := range rounds {
		var replaced bool
		if last, replaced, err = o.round(2*round+2, trouble); err != nil {
			return verdict{}, err
		}
		if replaced || !trouble {
			break
		}
	}
	if trouble {
		rec.line("platform: the final fault: all processes are killed")
		for _, m := range c.machines {
			m.kill()
		}
		time.Sleep(downTime)
		for _, m := range c.machines {
			if err := m.start(false); err != nil {
				return verdict{}, err
			}
		}
	}
	// The operator reads back for at least stable-window-ms, and for longer if nobody answers.
	var state, target string
	read := time.Time{}
	for deadline := time.Now().Add(12 * time.Second); time.Now().Before(deadline); time.Sleep(500 * time.Millisecond) {
		s, t, ok := c.rollout(o.other, orderedService)
		if !ok {
			continue
		}
		state, target = s, t
		if read.IsZero() {
			read = time.Now()
		}
		if time.Since(read) > stableWindow {
			break
		}
	}
	k.dump(o.engines...)
	if read.IsZero() {
		return verdict{true, "the rollout can't be read back"}, nil
	}
	reason := fmt.Sprintf("the last order is that of %s, which was acknowledged; read back: %s, %s", last, target, state)
	return verdict{broken: target != last, reason: reason}, nil
}

const (
	orderedService  = "auftrag-app"
	orderedDuration = 12 * time.Second // as in the example of the pages
)

// orders are the rollouts of one run.
type orders struct {
	c             *cluster
	cutOff, other *machine
	engines       []*engine
}

func (o *orders) start(version string, n int, bad *badness) ([]*engine, error) {
	var out []*engine
	for i := range n {
		e, err := o.c.startEngine(fmt.Sprintf("i-%s-%d", version, i), orderedService, version, zones[i%len(zones)], 20*time.Millisecond, bad)
		if err != nil {
			return nil, err
		}
		out = append(out, e)
	}
	o.engines = append(o.engines, out...)
	return out, nil
}

func (o *orders) stopAll() {
	for _, e := range o.engines {
		e.close()
	}
}

// drainAll ends engines as planned.
func (o *orders) drainAll(engines []*engine) {
	var wg sync.WaitGroup
	for _, e := range engines {
		wg.Go(func() {
			if err := e.drain(o.other); err != nil {
				o.c.rec.line("engine %s: %v", e.id, err)
			}
		})
	}
	wg.Wait()
}

// order sends the order of a rollout and reports whether it is acknowledged.
func (o *orders) order(m *machine, version string) bool {
	body := fmt.Appendf(nil, `{"service":%q,"target":%q,"duration-s":%d}`, orderedService, version, int(orderedDuration.Seconds()))
	status, _ := o.c.operatorCall(m, "POST", "/rollouts", body)
	return status == http.StatusOK
}

// round orders a bad version, of which a copy stays behind the cut, and then a good one. It
// returns the good one and whether the rollout has another target when the cut has healed.
func (o *orders) round(number int, trouble bool) (last string, replaced bool, err error) {
	const cutTime = 2600 * time.Millisecond // within node_cut: for_s = 5.5
	c, rec := o.c, o.c.rec
	badVersion, goodVersion := fmt.Sprint("v", number), fmt.Sprint("v", number+1)
	bad, err := o.start(badVersion, 2, &badness{failShare: 1})
	if err != nil {
		return "", false, err
	}
	good, err := o.start(goodVersion, 2, nil)
	if err != nil {
		return "", false, err
	}
	time.Sleep(stableWindow)
	heal := func() {}
	if trouble {
		rec.line("platform: %s is cut off from all other machines for %v", o.cutOff.name, cutTime)
		heal = c.cut(o.cutOff)
	}
	cutAt := time.Now()
	acked := o.order(o.cutOff, badVersion)
	for deadline := cutAt.Add(ackBound); !acked && time.Now().Before(deadline); {
		acked = o.order(o.other, badVersion)
	}
	if !acked {
		return "", false, errors.New("the first order was not acknowledged")
	}
	// The operator orders the next version once the first is taken back, or a second and a
	// half later.
	takenBack := false
	for deadline := time.Now().Add(1500 * time.Millisecond); !takenBack && time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		state, _, ok := c.rollout(o.other, orderedService)
		takenBack = ok && state == "rolled_back"
	}
	rec.line("operator: %s is taken back: %v; orders %s in its place", badVersion, takenBack, goodVersion)
	acked = false
	for deadline := time.Now().Add(ackBound); !acked && time.Now().Before(deadline); {
		acked = o.order(o.other, goodVersion)
	}
	if !acked {
		return "", false, errors.New("the second order was not acknowledged")
	}
	ordered := time.Now()
	time.Sleep(time.Until(cutAt.Add(cutTime)))
	if trouble {
		heal()
		rec.line("platform: the cut of %s has healed", o.cutOff.name)
	}
	time.Sleep(3 * time.Second)
	state, target, ok := c.rollout(o.other, orderedService)
	if ok && target != goodVersion {
		late := 0
		for _, e := range bad {
			for _, a := range e.received() {
				if a.at.After(cutAt.Add(cutTime)) {
					late++
				}
			}
		}
		rec.line("the rollout is that of %s (%s), though that of %s was acknowledged later; %d requests have reached %s since the cut healed",
			target, state, goodVersion, late, badVersion)
		return goodVersion, true, nil
	}
	// The rollout ends, and the engines of versions that are not in use stop.
	o.drainAll(bad)
	time.Sleep(time.Until(ordered.Add(orderedDuration)))
	_, _, _ = c.rollout(o.other, orderedService)
	o.drainAll(good)
	return goodVersion, false, nil
}
