package main

import (
	"fmt"
	"time"
)

const (
	// startSpread is the time within which all machines of the system start.
	startSpread = 300 * time.Millisecond
	// restartDelay is the short delay after which a process that was killed is started again.
	restartDelay = 500 * time.Millisecond
	// killAfter is when the process is killed, after the start of the first one.
	killAfter = 900 * time.Millisecond
	// settleTime is how long the operator waits after the disturbance until the core has been
	// stable for stable-window-ms (3 s).
	settleTime = 4 * time.Second
	// ackTime is how long the operator then asks: many times ackLimit and recovery-s (12 s).
	ackTime = 40 * time.Second
	// ackLimit is ack-ms.
	ackLimit = 4 * time.Second
	// requestCount is the number of requests sent at the end.
	requestCount = 30
)

// startAll starts all machines for the first time, in the order of their addresses reversed, so
// that no machine depends on an earlier one.
func (w *world) startAll() error {
	for i := len(w.nodes) - 1; i >= 0; i-- {
		if err := w.nodes[i].start(true); err != nil {
			return err
		}
		time.Sleep(startSpread / time.Duration(len(w.nodes)))
	}
	return nil
}

// playFounder kills the process of one machine with a disk soon after the first start of the
// whole system, and starts it again with its disk. Nothing else is disturbed.
func playFounder(w *world) (bool, error) {
	w.addNodes(4, 2, []int{0, 1, 2, 3, 4, 5})
	w.setSeeds(w.nodes[0], w.nodes[1], w.nodes[4])
	return w.playFirstStart(func() error {
		n := w.nodes[0]
		n.kill()
		time.Sleep(restartDelay)
		return n.start(false)
	})
}

// playSeed loses one machine without a disk soon after the first start of the whole system.
// Nothing else is disturbed: all machines with a disk run.
func playSeed(w *world) (bool, error) {
	w.addNodes(4, 2, []int{1, 2, 3, 4, 0, 5})
	w.setSeeds(w.nodes[4], w.nodes[0], w.nodes[1])
	return w.playFirstStart(func() error {
		w.nodes[4].kill()
		return nil
	})
}

// playFirstStart starts a new system, disturbs it once and then waits until the operator's first
// configuration is acknowledged and requests are served.
func (w *world) playFirstStart(disturb func() error) (bool, error) {
	for i := range 4 {
		if err := w.addEngine(i, oldVersion, fault{work: quickWork}); err != nil {
			return false, err
		}
	}
	begun := time.Now()
	if err := w.startAll(); err != nil {
		return false, err
	}
	time.Sleep(time.Until(begun.Add(killAfter)))
	if w.trouble {
		if err := disturb(); err != nil {
			return false, err
		}
	}
	time.Sleep(settleTime)
	for _, n := range w.nodes {
		if n.cmd != nil && !n.running() {
			return false, fmt.Errorf("%s ended by itself", n.name)
		}
	}
	took, acknowledged := w.configure(1, ackTime)
	if acknowledged {
		time.Sleep(2 * heartbeatInterval)
	}
	served := w.askAll(requestCount, caller{interval: 20 * time.Millisecond, deadline: 1500 * time.Millisecond})
	return !acknowledged || took > ackLimit || served == 0, nil
}
