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
	// maxCountingNodes is how many nodes count the runs of a request. A run
	// needs the votes of more than two thirds of them: with two runs allowed
	// per node, at most two runs pass in total, and one node of four may be
	// slow or lost.
	maxCountingNodes = 4
	// countQueryTimeout limits the wait for the vote of one node. Nodes are
	// seldom much further than a round trip, but take longer on a machine that
	// is short of CPU time.
	countQueryTimeout = time.Second
	// maxCountRounds is how often nodes that do not reply are queried. Together
	// with the timeout it covers the time after which a lost node leaves the
	// cell.
	maxCountRounds = 3
	// runEndDelay is the time that crash records take to reach the cell. A run
	// counts until then, so that no other run starts without knowing of the
	// crash.
	runEndDelay = 4 * crashInterval
	// maxRunEndTries is how often the end of a run is sent to a counting node.
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

// registerRun asks the counting nodes of a request whether it may run now.
// endRun ends the run. The permits of g are held until then.
func (e *Entry) registerRun(ctx context.Context, f poison.Fingerprint, g *runGrant, serverID string, now time.Time) (endRun func(completed bool), ok bool) {
	runID := fmt.Sprintf("%s%d", e.processPrefix(), e.ownerSeq.Add(1))
	nodes, ok := e.queryCountingNodes(ctx, f, runID, serverID, now)
	if !ok {
		e.background.Go(func() { e.reportRunEnd(f, nodes, runID, false) })
		return nil, false
	}
	heldGrant := *g
	g.heldPermits = nil
	endRun = func(completed bool) {
		e.background.Go(func() {
			if !completed {
				sleep(e.runCtx, runEndDelay)
			}
			e.reportRunEnd(f, nodes, runID, completed)
			e.returnPermits(heldGrant)
		})
	}
	return endRun, true
}

// queryCountingNodes asks the counting nodes of a request and returns as soon
// as the votes are decisive. It returns all the nodes, because any of them may
// have counted the run.
//
// If too many nodes do not reply and none refuses, they are queried again. A
// part of the cell that is cut off for longer must not block its accepted
// requests, so after a last round without a refusal this node decides alone.
// During a partition a request may therefore crash two servers on each side.
func (e *Entry) queryCountingNodes(ctx context.Context, f poison.Fingerprint, runID, serverID string, now time.Time) (nodes []string, ok bool) {
	nodes = e.countingNodes(f, now)
	for round := 1; ctx.Err() == nil; round++ {
		votes := make(chan vote, len(nodes))
		for _, node := range nodes {
			e.background.Go(func() { votes <- e.queryCountingNode(ctx, node, f, runID, serverID, now) })
		}
		switch countVotes(len(nodes), votes) {
		case voteGranted:
			return nodes, true
		case voteRefused:
			return nodes, false
		}
		if round == maxCountRounds {
			return nodes, e.countRunLocal(f, runID, serverID, now)
		}
	}
	return nodes, false
}

// vote is the reply of a node that was asked to permit a run, or the result of
// all votes of the counting nodes.
type vote uint8

const (
	noReply vote = iota
	voteGranted
	voteRefused
)

// countVotes reads the votes of n nodes until they are decisive. The result is
// noReply if too few nodes voted and none refused.
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

// countingNodes returns the nodes that count the runs of a request. They are
// taken in rank order, but from different data centres where possible, so that
// the remaining nodes can still decide after the loss of a data centre.
func (e *Entry) countingNodes(f poison.Fingerprint, now time.Time) []string {
	dataCentreOf := map[string]string{e.cfg.Settings.Node: e.cfg.Settings.DataCentre}
	for _, p := range e.member.Peers(now) {
		dataCentreOf[p.Node] = p.DataCentre
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
	nodes := append(distinct, rest...)
	return nodes[:min(len(nodes), maxCountingNodes)]
}

// queryCountingNode asks one node for its vote, and merges the node's crash
// records for the request into the local ledger.
func (e *Entry) queryCountingNode(ctx context.Context, node string, f poison.Fingerprint, runID, serverID string, now time.Time) vote {
	if node == e.cfg.Settings.Node {
		return voteOf(e.countRunLocal(f, runID, serverID, now))
	}
	req := &entrpb.PermitRequest{Fingerprint: f[:], Run: runID, Server: serverID, Records: e.ledger.RecordsOf(f, now)}
	resp, err := e.callPermit(ctx, node, req, countQueryTimeout)
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

// reportRunEnd tells the counting nodes that a run has ended, and sends the
// crash records for the request along. At a node that cannot be reached, the
// run expires. A stopping process sends the message as well, because another
// process continues its answers.
func (e *Entry) reportRunEnd(f poison.Fingerprint, nodes []string, runID string, completed bool) {
	var wg sync.WaitGroup
	for _, node := range nodes {
		wg.Go(func() {
			if node == e.cfg.Settings.Node {
				e.runCounts.remove(f, runID, completed, e.cfg.Now())
				return
			}
			req := &entrpb.PermitRequest{Fingerprint: f[:], Run: runID, Release: true, Completed: completed, Records: e.ledger.RecordsOf(f, e.cfg.Now())}
			for range maxRunEndTries {
				if _, err := e.callPermit(context.WithoutCancel(e.runCtx), node, req, countQueryTimeout); err == nil {
					return
				}
			}
		})
	}
	wg.Wait()
}
