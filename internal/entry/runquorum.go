package entry

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"cranberrypath.example/cranberrypath/internal/entry/entrpb"
	"cranberrypath.example/cranberrypath/internal/poison"
	"cranberrypath.example/cranberrypath/internal/world"
)

const (
	// maxCountingInstances is how many instances count the runs of a request. A run
	// needs the votes of more than two thirds of them: with two runs allowed
	// per instance, at most two runs pass in total, and one instance of four may be
	// slow or lost.
	maxCountingInstances = 4
	// countQueryTimeout limits the wait for the vote of one instance. Instances are
	// seldom much further than a round trip, but take longer on a machine that
	// is short of CPU time.
	countQueryTimeout = time.Second
	// maxCountRounds is how often instances that do not reply are queried. Together
	// with the timeout it covers the time after which a lost instance leaves the
	// cell.
	maxCountRounds = 3
	// runEndDelay is the time that crash records take to reach the cell. A run
	// counts until then, so that no other run starts without knowing of the
	// crash.
	runEndDelay = 4 * crashInterval
	// maxRunEndTries is how often the end of a run is sent to a counting instance.
	maxRunEndTries = 3
)

// beginRun records a run that is about to start on a server. It refuses a
// request that has become suspect since its run was granted.
func (e *Entry) beginRun(ctx context.Context, f poison.Fingerprint, g *runGrant, b world.Backend, now time.Time) (endRun func(completed bool), ok bool) {
	if endRun, ok = e.registerRun(ctx, f, g, b.ID, now); !ok {
		return nil, false
	}
	if !e.ledger.Started(f, b.ID, b.Incarnation, now) {
		endRun(false)
		return nil, false
	}
	if !g.suspect && e.isSuspect(f, now) {
		e.ledger.Ended(f, b.ID, b.Incarnation, false, now)
		endRun(false)
		return nil, false
	}
	return endRun, true
}

// registerRun asks the counting instances of a request whether it may run now.
// endRun ends the run. The permits of g are held until then.
func (e *Entry) registerRun(ctx context.Context, f poison.Fingerprint, g *runGrant, serverID string, now time.Time) (endRun func(completed bool), ok bool) {
	runID := fmt.Sprintf("%s%d", e.processPrefix(), e.ownerSeq.Add(1))
	instances, ok := e.queryCountingInstances(ctx, f, runID, serverID, now)
	if !ok {
		e.background.Go(func() { e.reportRunEnd(f, instances, runID, false) })
		return nil, false
	}
	heldGrant := *g
	g.heldPermits = nil
	endRun = func(completed bool) {
		e.background.Go(func() {
			if !completed {
				sleep(e.runCtx, runEndDelay)
			}
			e.reportRunEnd(f, instances, runID, completed)
			e.returnPermits(heldGrant)
		})
	}
	return endRun, true
}

// queryCountingInstances asks the counting instances of a request and returns as soon
// as the votes are decisive. It returns all the instances, because any of them may
// have counted the run.
//
// If too many instances do not reply and none refuses, they are queried again. A
// part of the cell that is cut off for longer must not block its accepted
// requests, so after a last round without a refusal this instance decides alone.
// During a partition a request may therefore crash two servers on each side.
func (e *Entry) queryCountingInstances(ctx context.Context, f poison.Fingerprint, runID, serverID string, now time.Time) (instances []string, ok bool) {
	instances = e.countingInstances(f, now)
	for round := 1; ctx.Err() == nil; round++ {
		votes := make(chan vote, len(instances))
		for _, instance := range instances {
			e.background.Go(func() { votes <- e.queryCountingInstance(ctx, instance, f, runID, serverID, now) })
		}
		switch countVotes(len(instances), votes) {
		case voteGranted:
			return instances, true
		case voteRefused:
			return instances, false
		}
		if round == maxCountRounds {
			return instances, e.countRunLocal(f, runID, serverID, now)
		}
	}
	return instances, false
}

// vote is the reply of an instance that was asked to permit a run, or the result of
// all votes of the counting instances.
type vote uint8

const (
	noReply vote = iota
	voteGranted
	voteRefused
)

// countVotes reads the votes of n instances until they are decisive. The result is
// noReply if too few instances voted and none refused.
func countVotes(n int, votes <-chan vote) vote {
	quorum := 2*n/3 + 1
	var counts [voteRefused + 1]int
	for missing := n; missing > 0; missing-- {
		counts[<-votes]++
		switch {
		case counts[voteGranted] >= quorum:
			return voteGranted
		case counts[voteRefused] > n-quorum:
			return voteRefused
		}
	}
	if counts[voteRefused] > 0 {
		return voteRefused
	}
	return noReply
}

// countingInstances returns the instances that count the runs of a request. They are
// taken in rank order, but from different data centres where possible, so that
// the remaining instances can still decide after the loss of a data centre.
func (e *Entry) countingInstances(f poison.Fingerprint, now time.Time) []string {
	dataCentreOf := map[string]string{e.cfg.Settings.Node: e.cfg.Settings.DataCentre}
	for _, p := range e.member.Peers(now) {
		dataCentreOf[p.Instance] = p.DataCentre
	}
	ranked := poison.PermitOwners(f, slices.Collect(maps.Keys(dataCentreOf)))
	var distinct, rest []string
	seen := map[string]bool{}
	for _, n := range ranked {
		if dc := dataCentreOf[n]; !seen[dc] {
			seen[dc] = true
			distinct = append(distinct, n)
			continue
		}
		rest = append(rest, n)
	}
	instances := append(distinct, rest...)
	return instances[:min(len(instances), maxCountingInstances)]
}

// queryCountingInstance asks one instance for its vote, and merges the instance's crash
// records for the request into the local ledger.
func (e *Entry) queryCountingInstance(ctx context.Context, instance string, f poison.Fingerprint, runID, serverID string, now time.Time) vote {
	if instance == e.cfg.Settings.Node {
		return voteOf(e.countRunLocal(f, runID, serverID, now))
	}
	req := &entrpb.PermitRequest{Fingerprint: f[:], Run: runID, Server: serverID, Records: e.ledger.RecordsOf(f, now)}
	resp, err := e.callPermit(ctx, instance, req, countQueryTimeout)
	if err != nil || e.ledger.Merge(resp.Records, now) != nil {
		return noReply
	}
	return voteOf(resp.Granted)
}

func voteOf(grant bool) vote {
	if grant {
		return voteGranted
	}
	return voteRefused
}

// reportRunEnd tells the counting instances that a run has ended, and sends the
// crash records for the request along. At an instance that cannot be reached, the
// run expires. A stopping process sends the message as well, because another
// process continues its answers.
func (e *Entry) reportRunEnd(f poison.Fingerprint, instances []string, runID string, completed bool) {
	var wg sync.WaitGroup
	for _, instance := range instances {
		wg.Go(func() {
			if instance == e.cfg.Settings.Node {
				e.runCounts.remove(f, runID, completed, e.cfg.Now())
				return
			}
			req := &entrpb.PermitRequest{Fingerprint: f[:], Run: runID, Release: true, Completed: completed, Records: e.ledger.RecordsOf(f, e.cfg.Now())}
			for range maxRunEndTries {
				if _, err := e.callPermit(context.WithoutCancel(e.runCtx), instance, req, countQueryTimeout); err == nil {
					return
				}
			}
		})
	}
	wg.Wait()
}
