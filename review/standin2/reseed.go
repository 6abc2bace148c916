package main

import (
	"fmt"
	"time"
)

const (
	// successorDelay is how long after the end of a machine its successor starts.
	successorDelay = time.Second
	// catchUpTime is how long a successor has before the next machine is replaced: twice catch-up-s.
	catchUpTime = 8 * time.Second
	// readTime is how long the operator reads back at the end: many times stable-window-ms and
	// recovery-s.
	readTime = 30 * time.Second
)

// playReseed exchanges the seeds in all settings files, without a signal, for three machines without
// a disk, and kills these three at once. They come back. Then three machines of the core are replaced,
// one after the other. In the end the operator reads the configuration back.
func playReseed(w *world) (bool, error) {
	w.addNodes(4, 3, []int{0, 1, 2, 3, 4, 5, 6})
	w.setSeeds(w.nodes[0], w.nodes[1], w.nodes[2])
	if err := w.startAll(); err != nil {
		return false, err
	}
	if _, ok := w.configure(1, ackTime); !ok {
		return false, fmt.Errorf("the first configuration was not acknowledged")
	}
	time.Sleep(settleTime)
	seeds := w.nodes[4:7]
	if w.trouble {
		if err := w.exchangeSeeds(seeds); err != nil {
			return false, err
		}
	}
	for i := range 3 {
		if err := w.replace(w.nodes[i], i); err != nil {
			return false, err
		}
		time.Sleep(catchUpTime)
	}
	return !w.readBack(1, readTime), nil
}

// exchangeSeeds names other seeds in the settings files of all machines, and kills these machines.
func (w *world) exchangeSeeds(seeds []*node) error {
	w.setSeeds(seeds[0], seeds[1], seeds[2])
	for _, n := range w.nodes {
		if err := n.writeSettings(false); err != nil {
			return err
		}
	}
	w.record("platform: the settings files name other seeds: %s, %s, %s", seeds[0].name, seeds[1].name, seeds[2].name)
	time.Sleep(time.Second)
	for _, n := range seeds {
		n.kill()
	}
	time.Sleep(restartDelay)
	for _, n := range seeds {
		if err := n.start(false); err != nil {
			return err
		}
	}
	time.Sleep(settleTime)
	return nil
}

// replace removes a machine of the core for good. An empty one with the same roles starts at another
// address.
func (w *world) replace(old *node, i int) error {
	old.kill()
	w.record("platform: %s is removed for good", old.name)
	time.Sleep(successorDelay)
	n := &node{w: w, name: fmt.Sprintf("front-%d", len(w.nodes)+1), ip: w.address(30 + i), zone: old.zone, durable: true, seeds: old.seeds}
	w.nodes = append(w.nodes, n)
	return n.start(false)
}
