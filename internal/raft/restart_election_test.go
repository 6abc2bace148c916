package raft

import (
	"sync/atomic"
	"testing"
	"time"
)

// atomicPausableClock is a clock for all members that a test can pause, so that no
// election timeout expires.
type atomicPausableClock struct{ pausedAt atomic.Pointer[time.Time] }

func (c *atomicPausableClock) now() time.Time {
	if t := c.pausedAt.Load(); t != nil {
		return *t
	}
	return time.Now()
}

func (c *atomicPausableClock) pause() {
	t := time.Now()
	c.pausedAt.Store(&t)
}

func (c *cluster) useClock(clock *atomicPausableClock) {
	c.clock = func(string) func() time.Time { return clock.now }
}

// Guards against waiting for an election timeout when all members have restarted. During
// a deployment, callers were rejected for more than a second because of it.
func TestElectionAfterARestartOfAll(t *testing.T) {
	clock := &atomicPausableClock{}
	c := newClusterWith(t, 4, 11, 0, func(c *cluster) { c.useClock(clock) })
	c.propose("before")
	clock.pause()
	for _, id := range c.ids {
		c.stop(id)
	}
	for _, id := range c.ids {
		c.start(id, c.ids)
	}
	c.leader("")
}

// Guards against an election before the timeout while a leader may still hold its
// lease: the leader is running and only its followers have restarted.
func TestNoEarlyElectionBesideALeader(t *testing.T) {
	clock := &atomicPausableClock{}
	c := newClusterWith(t, 3, 12, 0, func(c *cluster) { c.useClock(clock) })
	c.propose("before")
	lead := c.leader("")
	term := c.group(lead).Status().Term
	clock.pause()
	for _, id := range c.ids {
		if id != lead {
			c.stop(id)
		}
	}
	// The followers restart partitioned from the leader. It can't reach them, but can
	// still answer reads under its lease.
	c.isolate(lead, true)
	for _, id := range c.ids {
		if id != lead {
			c.start(id, c.ids)
		}
	}
	time.Sleep(20 * restartElectionDelay) // long enough for several elections
	for _, id := range c.ids {
		if got := c.group(id).Status(); id != lead && (got.Role == Leader || got.Term != term) {
			t.Fatalf("%s is %v of term %d while %s may lead term %d", id, got.Role, got.Term, lead, term)
		}
	}
}

// Guards against waiting for a restart of a member that has lost its disk: a response
// with another incarnation shows that the old member no longer runs.
func TestElectionAfterARestartWithALostDisk(t *testing.T) {
	clock := &atomicPausableClock{}
	c := newClusterWith(t, 4, 13, 0, func(c *cluster) { c.useClock(clock) })
	c.propose("before")
	clock.pause()
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
