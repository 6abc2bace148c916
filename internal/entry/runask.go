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
	// countHomes is how many homes count the runs of a request. More than two
	// thirds of them must let a run pass: with two places at each home that makes
	// two runs at most, and one home of four may be slow or lost.
	countHomes = 4
	// countTimeout bounds the answer of a home. Homes are seldom far beyond a
	// round trip, but a machine that is short of processor time takes longer.
	countTimeout = time.Second
	// countRounds is how often silent homes are asked. Together with the
	// timeout it covers the age at which a lost node leaves the cell.
	countRounds = 3
	// endDelay is the time that news of a crash take to the cell. A run counts
	// until then, so that no other one starts without knowing of the crash.
	endDelay = 4 * crashTick
	// endTries is how often the end of a run is sent to a home that fails.
	endTries = 3
)

// begin records a run on a server that is about to start. It refuses a request
// that has become a suspect since its gate was opened.
func (e *Entry) begin(ctx context.Context, f poison.Fingerprint, g *gate, b world.Backend, now time.Time) (exit func(completed bool), ok bool) {
	if exit, ok = e.countRun(ctx, f, g, b.ID, now); !ok {
		return nil, false
	}
	if !e.ledger.Started(f, b.ID, b.Incarnation, now) {
		exit(false)
		return nil, false
	}
	if !g.suspect && e.suspect(f, now) {
		e.ledger.Ended(f, b.ID, b.Incarnation, false, now)
		exit(false)
		return nil, false
	}
	return exit, true
}

// countRun asks the homes of a request whether it may run now. exit ends the run.
// The permits of g are held until exit.
func (e *Entry) countRun(ctx context.Context, f poison.Fingerprint, g *gate, server string, now time.Time) (exit func(completed bool), ok bool) {
	run := fmt.Sprintf("%s%d", e.ownerPrefix(), e.claims.Add(1))
	homes, ok := e.askHomes(ctx, f, run, server, now)
	if !ok {
		e.running.Go(func() { e.endRun(f, homes, run, false) })
		return nil, false
	}
	held := *g
	g.permits = nil
	exit = func(completed bool) {
		e.running.Go(func() {
			if !completed {
				pause(e.runs, endDelay)
			}
			e.endRun(f, homes, run, completed)
			e.returnPermits(held)
		})
	}
	return exit, true
}

// askHomes asks the homes of a request and returns as soon as they have
// decided. It returns all homes, as any of them may have counted the run.
//
// If they cannot decide because too many are silent, it asks again. A part of the
// cell that is cut off for longer must not hold up its accepted requests, so after
// the last round, in which none refused, the count of this node alone decides.
// During a partition a request may therefore lose two servers on each side.
func (e *Entry) askHomes(ctx context.Context, f poison.Fingerprint, run, server string, now time.Time) (homes []string, ok bool) {
	homes = e.countingNodes(f, now)
	for round := 1; ctx.Err() == nil; round++ {
		answers := make(chan answer, len(homes))
		for _, home := range homes {
			e.running.Go(func() { answers <- e.askHome(ctx, home, f, run, server, now) })
		}
		switch decide(len(homes), answers) {
		case granted:
			return homes, true
		case refused:
			return homes, false
		}
		if round == countRounds {
			return homes, e.countHere(f, run, server, now)
		}
	}
	return homes, false
}

// answer is that of a home, or of all of them together.
type answer uint8

const (
	silent answer = iota
	granted
	refused
)

// decide reads the answers of n homes until they decide. They are silent if the
// answers that are missing could have granted the run.
func decide(n int, answers <-chan answer) answer {
	need := 2*n/3 + 1
	var count [refused + 1]int
	for left := n; left > 0; left-- {
		count[<-answers]++
		switch {
		case count[granted] >= need:
			return granted
		case count[refused] > n-need:
			return refused
		}
	}
	if count[refused] > 0 {
		return refused
	}
	return silent
}

// countingNodes returns the nodes that count the runs of a request: in rank
// order, but from different data centres as far as there are enough, so that the
// loss of one leaves the others able to decide.
func (e *Entry) countingNodes(f poison.Fingerprint, now time.Time) []string {
	at := map[string]string{e.cfg.Settings.Node: e.cfg.Settings.DataCentre}
	for _, p := range e.member.Peers(now) {
		at[p.Node] = p.DataCentre
	}
	ranked := poison.Homes(f, slices.Collect(maps.Keys(at)))
	var first, rest []string
	seen := map[string]bool{}
	for _, n := range ranked {
		if dc := at[n]; !seen[dc] {
			seen[dc] = true
			first = append(first, n)
			continue
		}
		rest = append(rest, n)
	}
	homes := append(first, rest...)
	return homes[:min(len(homes), countHomes)]
}

// askHome asks one home. What it knows of crashes with the request is known here
// afterwards.
func (e *Entry) askHome(ctx context.Context, home string, f poison.Fingerprint, run, server string, now time.Time) answer {
	if home == e.cfg.Settings.Node {
		return verdict(e.countHere(f, run, server, now))
	}
	req := &entrpb.PermitRequest{Fingerprint: f[:], Run: run, Server: server, Records: e.ledger.Of(f, now)}
	resp, err := e.callPermit(ctx, home, req, countTimeout)
	if err != nil || e.ledger.Merge(resp.Records, now) != nil {
		return silent
	}
	return verdict(resp.Granted)
}

func verdict(ok bool) answer {
	if ok {
		return granted
	}
	return refused
}

// endRun tells the homes that a run has ended, with the crash that ended it. A
// home that is not reached lets the run lapse. A process that stops tells them
// too, since another one continues its answers.
func (e *Entry) endRun(f poison.Fingerprint, homes []string, run string, completed bool) {
	var wg sync.WaitGroup
	for _, home := range homes {
		wg.Go(func() {
			if home == e.cfg.Settings.Node {
				e.counts.remove(f, run, completed, e.cfg.Now())
				return
			}
			req := &entrpb.PermitRequest{Fingerprint: f[:], Run: run, Release: true, Completed: completed, Records: e.ledger.Of(f, e.cfg.Now())}
			for range endTries {
				if _, err := e.callPermit(context.WithoutCancel(e.runs), home, req, countTimeout); err == nil {
					return
				}
			}
		})
	}
	wg.Wait()
}
