package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"cranberrypath.example/cranberrypath/internal/event"
	"cranberrypath.example/cranberrypath/internal/stream"
)

const (
	// replicaSearchTimeout limits the search for a replica holder before an
	// answer continues without a replica, because a caller must not wait for a
	// cell that does not respond. Peers that refuse the connection take almost
	// none of this time, so that after the loss of a whole data centre there is
	// time to find a holder elsewhere.
	replicaSearchTimeout = 2 * stream.DefaultAckTimeout
	// orphanRetryInterval is the time between checks of a replica for which
	// another instance has a better record.
	orphanRetryInterval = 10 * time.Second
	// handoverRetryPause is the pause between two attempts to hand an answer over.
	handoverRetryPause = 50 * time.Millisecond
	// replicaRetryInterval is the time between searches for a replica holder.
	replicaRetryInterval = 500 * time.Millisecond
)

// replicaHolders records which peer holds the replica of each answer owned by
// this instance.
type replicaHolders struct {
	mu       sync.Mutex
	addrByID map[string]string
}

func (h *replicaHolders) set(id, addr string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.addrByID == nil {
		h.addrByID = map[string]string{}
	}
	if addr == "" {
		delete(h.addrByID, id)
		return
	}
	h.addrByID[id] = addr
}

func (h *replicaHolders) get(id string) (string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	addr, ok := h.addrByID[id]
	return addr, ok
}

// replicate starts a replica of the record at a peer before the first token
// becomes visible, and maintains a replica until the answer ends.
func (e *Entry) replicate(a *stream.Answer) {
	id := a.Request().ID
	replicaDone, ok := e.startReplica(a)
	e.background.Go(func() {
		for {
			if ok {
				err := <-replicaDone
				e.replicaHolders.set(id, "")
				if err == nil || errors.Is(err, stream.ErrTakenOver) || e.runCtx.Err() != nil {
					return
				}
				e.recordEvent(event.Of("copy.lost").WithRequest(id).With("error", err.Error()))
			} else if !sleep(e.runCtx, replicaRetryInterval) {
				return
			} else if _, ended := a.Ended(); ended {
				return
			}
			replicaDone, ok = e.startReplica(a)
		}
	})
}

// startReplica looks for a replica holder. If none is found in time, the answer
// continues without a replica, because its caller cannot wait for a cell that
// does not respond. At the end of a planned stop no more tokens become visible:
// their reader would have to continue where nobody has them.
func (e *Entry) startReplica(a *stream.Answer) (<-chan error, bool) {
	replicaDone, ok := e.findReplicaHolder(a)
	if !ok && e.runCtx.Err() == nil && !e.handingOver.Load() {
		a.ContinueUnreplicated()
	}
	return replicaDone, ok
}

func (e *Entry) findReplicaHolder(a *stream.Answer) (<-chan error, bool) {
	id := a.Request().ID
	start := e.cfg.Now()
	for _, p := range e.replicaCandidates(id, start) {
		if e.cfg.Now().Sub(start) >= replicaSearchTimeout {
			break
		}
		replicaDone, err := a.Replicate(e.runCtx, e.peers.Replicator(p.Address))
		if err == nil {
			e.replicaHolders.set(id, p.Address)
			return replicaDone, true
		}
		if errors.Is(err, stream.ErrTakenOver) {
			return nil, false
		}
	}
	return nil, false
}

// takeOver makes this instance the owner of a replica whose owner is gone, and runs
// the answer.
func (e *Entry) takeOver(id string, now time.Time) {
	a, taken, err := e.answers.Takeover(id, false, now)
	if err == nil && taken { // otherwise it has ended, or another request has taken it over
		e.runAsOwner(a)
	}
}

// runAsOwner runs an answer that this instance has taken over. The answer is
// replicated first, so that losing this instance as well loses no tokens that a
// caller has seen.
func (e *Entry) runAsOwner(a *stream.Answer) {
	e.recordEvent(event.Of("answer.takenOver").WithRequest(a.Request().ID))
	e.background.Go(func() {
		e.replicate(a)
		e.startRun(a, nil)
	})
}

// checkOrphans takes over replicas whose owners are gone. The owner is queried
// first, because a replica also becomes an orphan when only the link to its
// owner fails.
func (e *Entry) checkOrphans(now time.Time) {
	for _, id := range e.answers.Orphans(now.Add(-time.Second)) {
		if retryAt, ok := e.orphanRetries.Load(id); ok && now.Before(retryAt.(time.Time)) {
			continue
		}
		e.orphanRetries.Store(id, now.Add(orphanRetryInterval))
		e.background.Go(func() {
			ctx, cancel := context.WithTimeout(e.runCtx, locateTimeout)
			defer cancel()
			e.locate(ctx, id, 0, now)
		})
	}
	e.orphanRetries.Range(func(id, retryAt any) bool {
		if now.After(retryAt.(time.Time)) {
			e.orphanRetries.Delete(id)
		}
		return true
	})
}

// handOverAll hands the running answers over to their replica holders. It is
// the last step of a planned stop, for answers that did not finish in time. It tries
// until ctx ends, since callers have seen tokens that only this instance may have.
func (e *Entry) handOverAll(ctx context.Context) {
	e.handingOver.Store(true)
	var wg sync.WaitGroup
	for _, a := range e.ownedUnfinished() {
		wg.Go(func() {
			for e.handOverAnswer(ctx, a) != nil && sleep(ctx, handoverRetryPause) {
				if _, ended := a.Ended(); ended || len(e.replicaCandidates(a.Request().ID, e.cfg.Now())) == 0 {
					return
				}
			}
		})
	}
	wg.Wait()
}

// handOverAnswer makes the replica holder of an answer its owner. An answer
// without one gets a replica first.
func (e *Entry) handOverAnswer(ctx context.Context, a *stream.Answer) error {
	id := a.Request().ID
	addr, ok := e.replicaHolders.get(id)
	if !ok {
		if _, ok = e.startReplica(a); ok {
			addr, _ = e.replicaHolders.get(id)
		}
	}
	err := Error.New("no entry instance takes the answer")
	if ok {
		_, _, err = e.peers.Takeover(ctx, addr, id, true)
	}
	ev := event.Of("answer.handedOver").WithRequest(id).With("to", addr)
	if err != nil {
		ev = ev.With("error", err.Error())
	}
	e.recordEvent(ev)
	return err
}

// ownedUnfinished returns the answers owned by this instance that have not ended.
func (e *Entry) ownedUnfinished() []*stream.Answer {
	var out []*stream.Answer
	for _, info := range e.answers.List() {
		if a, ok := e.answers.Get(info.ID); ok && !info.IsReplica && !info.Ended {
			out = append(out, a)
		}
	}
	return out
}
