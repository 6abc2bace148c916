package raft

import (
	"sync/atomic"
	"testing"
	"time"
)

// frozen is a clock for all members that can be stopped: nothing that waits for
// an election timeout happens while it is.
type frozen struct{ at atomic.Pointer[time.Time] }

func (f *frozen) now() time.Time {
	if t := f.at.Load(); t != nil {
		return *t
	}
	return time.Now()
}

func (f *frozen) stop() {
	t := time.Now()
	f.at.Store(&t)
}

func (c *cluster) withClock(f *frozen) {
	c.clock = func(string) func() time.Time { return f.now }
}

// Guards against a deployment that waits for an election timeout although all its
// members have restarted: callers were refused for more than a second.
func TestElectionAfterARestartOfAll(t *testing.T) {
	f := &frozen{}
	c := newClusterWith(t, 4, 11, 0, func(c *cluster) { c.withClock(f) })
	c.propose("before")
	f.stop()
	for _, id := range c.ids {
		c.stop(id)
	}
	for _, id := range c.ids {
		c.start(id, c.ids)
	}
	c.leader("")
}

// Guards against an early election while a leader may still hold its lease: the
// leader lives and only its followers have restarted.
func TestNoEarlyElectionBesideALeader(t *testing.T) {
	f := &frozen{}
	c := newClusterWith(t, 3, 12, 0, func(c *cluster) { c.withClock(f) })
	c.propose("before")
	lead := c.leader("")
	term := c.group(lead).Status().Term
	f.stop()
	for _, id := range c.ids {
		if id != lead {
			c.stop(id)
		}
	}
	// The followers come back cut off from the leader, which cannot tell them of
	// itself, but can still answer reads under its lease.
	c.isolate(lead, true)
	for _, id := range c.ids {
		if id != lead {
			c.start(id, c.ids)
		}
	}
	time.Sleep(20 * earlyStep) // several early elections would have been over
	for _, id := range c.ids {
		if got := c.group(id).Status(); id != lead && (got.Role == Leader || got.Term != term) {
			t.Fatalf("%s is %v of term %d while %s may lead term %d", id, got.Role, got.Term, lead, term)
		}
	}
}

// Guards against waiting for a member that has lost its disk: the process that
// answers in its place shows that the member is gone.
func TestElectionAfterARestartWithALostDisk(t *testing.T) {
	f := &frozen{}
	c := newClusterWith(t, 4, 13, 0, func(c *cluster) { c.withClock(f) })
	c.propose("before")
	f.stop()
	for _, id := range c.ids {
		c.stop(id)
	}
	c.disks["b"].Wipe()
	for _, id := range c.ids {
		if id == "b" {
			c.start(id, nil)
			continue
		}
		c.start(id, c.ids)
	}
	c.leader("")
}
