package raft

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/raft/raftpb"
)

// pausableClock is a clock that a test can pause.
type pausableClock struct {
	mu       sync.Mutex
	pausedAt time.Time
}

func (c *pausableClock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pausedAt.IsZero() {
		return time.Now()
	}
	return c.pausedAt
}

func (c *pausableClock) pause() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pausedAt = time.Now()
}

// Guards against a planned stop that needs an election timeout, rejects proposals for
// longer than the transfer, loses a proposal or leaves its outcome unknown. The clocks
// of all members are paused, so that no timeout expires. With five members, the
// successor also needs the vote of a follower that has confirmed a valid lease.
func TestPlannedStopNeedsNoTimeout(t *testing.T) {
	t.Parallel()
	for seed := uint64(51); seed <= 55; seed++ {
		clock := &pausableClock{}
		c := newClusterWith(t, 5, seed, 400, func(c *cluster) {
			c.clock = func(string) func() time.Time { return clock.now }
		})
		c.propose("first")
		old := c.leader("")
		eventually(t, "all members have the log and answer", func() bool {
			now := clock.now()
			g := c.group(old)
			g.mu.Lock()
			defer g.mu.Unlock()
			for _, p := range g.peers {
				if p.matchIndex < g.lastIndex() || now.Sub(p.lastContact) > g.cfg.Heartbeat {
					return false
				}
			}
			return g.role == Leader
		})
		clock.pause()
		term, preVotes := c.group(old).Status().Term, c.net.requestCount(raftpb.Kind_KIND_PRE_VOTE)
		done := make(chan struct{})
		var wg sync.WaitGroup
		acked := make([][]string, 4)
		for n := range acked {
			wg.Go(func() { acked[n] = proposeUntilDone(t, c, done, n) })
		}
		time.Sleep(20 * time.Millisecond)
		if err := c.group(old).Resign(t.Context()); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		next := c.leader(old)
		c.stop(old)
		c.propose("after the stop")
		time.Sleep(20 * time.Millisecond)
		close(done)
		wg.Wait()
		if s := c.group(next).Status(); s.Term != term+1 || c.net.requestCount(raftpb.Kind_KIND_PRE_VOTE) != preVotes {
			t.Fatalf("seed %d: term went from %d to %d, with %d pre-votes", seed, term, s.Term, c.net.requestCount(raftpb.Kind_KIND_PRE_VOTE)-preVotes)
		}
		_, all := c.stateMachine(next).read()
		total := 0
		for _, commands := range acked {
			total += len(commands)
			for _, cmd := range commands {
				if !slices.Contains(all, cmd) {
					t.Fatalf("seed %d: acknowledged command %q is lost", seed, cmd)
				}
			}
		}
		t.Logf("%d commands acknowledged", total)
	}
}

// proposeUntilDone proposes commands one after another to the leader, until done is
// closed. No outcome may be unknown.
func proposeUntilDone(t *testing.T, c *cluster, done <-chan struct{}, n int) []string {
	var acked []string
	for i := 0; ; i++ {
		cmd := fmt.Sprint(n, "/", i)
		for {
			select {
			case <-done:
				return acked
			default:
			}
			err := ErrStopped
			for _, id := range c.ids {
				if g := c.group(id); g != nil {
					if _, err = g.Propose(context.Background(), []byte(cmd)); err == nil {
						break
					}
				}
				if errors.Is(err, ErrUnknown) {
					t.Errorf("the outcome of %q is unknown", cmd)
				}
			}
			if err == nil {
				acked = append(acked, cmd)
				break
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// Guards against a transfer to a member that is behind, unreachable, unknown or about
// to stop, and against a leader that rejects proposals after a failed transfer.
func TestTransferIsRefused(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 56, 0)
	c.propose("one")
	lead := c.leader("")
	g := c.group(lead)
	others := members{{ID: "a"}, {ID: "b"}, {ID: "c"}}.without(lead)
	behind, other := others[0].ID, others[1].ID
	if err := g.Transfer(t.Context(), "nobody"); err == nil {
		t.Fatal("a transfer to an unknown member succeeded")
	}
	if err := c.group(behind).Transfer(t.Context(), ""); !errors.As(err, new(*NotLeader)) {
		t.Fatalf("a follower answered %v, want not the leader", err)
	}
	c.net.setCut(lead, behind, true)
	c.propose("two")
	if err := g.Transfer(t.Context(), behind); err == nil {
		t.Fatal("a transfer to a member that is cut off succeeded")
	}
	c.propose("three")
	c.net.setCut(lead, behind, false)
	if err := c.group(other).Resign(t.Context()); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the leader knows who is about to stop", func() bool {
		g := c.group(c.leader(""))
		g.mu.Lock()
		defer g.mu.Unlock()
		p := g.peers[other]
		return p != nil && p.shuttingDown
	})
	if err := c.group(c.leader("")).Transfer(t.Context(), other); err == nil {
		t.Fatal("a transfer to a member that is about to stop succeeded")
	}
	c.propose("four")
}

// Guards against leadership that stays on one member, and against a transfer to a
// preferred member that is partitioned or about to stop.
func TestLeadersMoveToThePreferredMember(t *testing.T) {
	c := newClusterWith(t, 3, 57, 0, func(c *cluster) { c.rebalanceDelay = 50 * time.Millisecond })
	c.propose("one")
	eventually(t, "b, the preferred member of group 1, leads", func() bool { return c.leader("") == "b" })
	c.isolate("b", true)
	c.leader("b")
	c.propose("two")
	c.isolate("b", false)
	eventually(t, "b leads again", func() bool { return c.leader("") == "b" })
	if err := c.group("b").Resign(t.Context()); err != nil {
		t.Fatal(err)
	}
	next := c.leader("b")
	time.Sleep(300 * time.Millisecond) // several times the delay of a transfer
	if s := c.group("b").Status(); s.Role == Leader {
		t.Fatalf("b leads again after it resigned; %s led before", next)
	}
	c.propose("three")
}

// Guards against lost writes and stale reads during repeated leadership transfers,
// with lost messages and crashes.
func TestLinearizableWithTransfers(t *testing.T) {
	for seed := uint64(61); seed <= 64; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 3, seed, 300)
			c.leader("")
			h := &opHistory{start: time.Now()}
			done := make(chan struct{})
			var wg sync.WaitGroup
			for n := range 4 {
				wg.Go(func() {
					h.runClient(done, n, seed, c.ids, c.group, func(id string) string { last, _ := c.stateMachine(id).read(); return last })
				})
			}
			var transfers int
			rng := rand.New(rand.NewPCG(seed, 7))
			for range 60 {
				time.Sleep(time.Duration(rng.IntN(30)) * time.Millisecond)
				from, to := c.leader(""), c.ids[rng.IntN(3)]
				fault := rng.IntN(6)
				switch fault {
				case 0: // the transfer request or votes may be lost
					c.net.setCut(from, to, from != to)
				case 1:
					c.crash(to)
				}
				ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
				if g := c.group(from); g.Transfer(ctx, to) == nil {
					transfers++
				}
				cancel()
				c.net.setCut(from, to, false)
			}
			close(done)
			wg.Wait()
			t.Logf("%d transfers", transfers)
			if transfers < 10 {
				t.Fatalf("only %d transfers succeeded, too few for a meaningful check", transfers)
			}
			h.check(t, 100)
			c.propose("end")
			c.waitSameState(c.ids...)
		})
	}
}

// Guards against a former leader that answers reads after it has transferred
// leadership, when it receives nothing from its successor. The clocks are paused, so
// that its lease does not expire.
func TestFormerLeaderHasNoLease(t *testing.T) {
	t.Parallel()
	clock := &pausableClock{}
	c := newClusterWith(t, 3, 58, 0, func(c *cluster) {
		c.clock = func(string) func() time.Time { return clock.now }
	})
	c.propose("one")
	old := c.leader("")
	var next string
	eventually(t, "a member may lead next", func() bool {
		g := c.group(old)
		g.mu.Lock()
		defer g.mu.Unlock()
		p := g.successor("", clock.now())
		if p != nil {
			next = p.id
			clock.pause()
		}
		return p != nil && p.matchIndex >= g.lastIndex()
	})
	for _, id := range c.ids {
		c.net.setCut(id, old, id != old)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	if c.group(old).Transfer(ctx, next) == nil {
		t.Fatal("the former leader knows its successor although it is cut off")
	}
	if got := c.leader(old); got != next {
		t.Fatalf("%s leads, want %s", got, next)
	}
	if l, ok := c.group(old).Lease(clock.now()); ok {
		t.Fatalf("the former leader has a lease %v", l)
	}
	ctx, cancel = context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if _, err := c.group(old).Barrier(ctx); err == nil {
		t.Fatal("the former leader answered a read")
	}
}
