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
	// keeperWait bounds the search for a keeper before an answer goes on without a
	// copy; a caller must not wait for a cell that does not answer. Peers that
	// refuse the connection cost none of it, so that the loss of a whole data
	// centre leaves time to find one elsewhere.
	keeperWait = 2 * stream.DefaultAckTimeout
	// orphanPause is the pause before this node asks again about a copy of which
	// another node has a better record.
	orphanPause = 10 * time.Second
	// recopyPause is the pause before an uncopied answer looks for a keeper again.
	recopyPause = 500 * time.Millisecond
)

// keepersOf remembers which peer holds the copy of each answer of this node.
type keepersOf struct {
	mu   sync.Mutex
	addr map[string]string
}

func (k *keepersOf) set(id, addr string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.addr == nil {
		k.addr = map[string]string{}
	}
	if addr == "" {
		delete(k.addr, id)
		return
	}
	k.addr[id] = addr
}

func (k *keepersOf) get(id string) (string, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	addr, ok := k.addr[id]
	return addr, ok
}

// copyToKeeper gives the record to a peer before the first token can be seen
// and keeps it copied until the answer has ended.
func (e *Entry) copyToKeeper(a *stream.Answer) {
	id := a.Request().ID
	done, ok := e.tryKeepers(a)
	e.running.Go(func() {
		for {
			if ok {
				err := <-done
				e.holders.set(id, "")
				if err == nil || errors.Is(err, stream.ErrTakenOver) || e.runs.Err() != nil {
					return
				}
				e.event(event.Of("copy.lost").WithRequest(id).With("error", err.Error()))
			} else if !pause(e.runs, recopyPause) {
				return
			} else if _, ended := a.Ended(); ended {
				return
			}
			done, ok = e.tryKeepers(a)
		}
	})
}

// tryKeepers looks for a keeper. If none is found in time, the answer goes on
// without one, since its caller cannot wait for a cell that does not answer.
func (e *Entry) tryKeepers(a *stream.Answer) (<-chan error, bool) {
	done, ok := e.findKeeper(a)
	if !ok && e.runs.Err() == nil {
		a.Uncover()
	}
	return done, ok
}

func (e *Entry) findKeeper(a *stream.Answer) (<-chan error, bool) {
	id := a.Request().ID
	began := e.cfg.Now()
	for _, p := range e.keepers(id, began) {
		if e.cfg.Now().Sub(began) >= keeperWait {
			break
		}
		done, err := a.Copy(e.runs, e.peers.Copier(p.Address))
		if err == nil {
			e.holders.set(id, p.Address)
			return done, true
		}
		if errors.Is(err, stream.ErrTakenOver) {
			return nil, false
		}
	}
	return nil, false
}

// takeOver makes this node the owner of a copy whose owner has gone, and runs it.
func (e *Entry) takeOver(id string, now time.Time) {
	a, err := e.answers.Takeover(id, false, now)
	if err != nil {
		return
	}
	if _, ended := a.Ended(); ended {
		return
	}
	e.adopt(a)
}

// adopt runs an answer that this node has become the owner of. It is copied
// first, so that the loss of this node too does not lose tokens that were seen.
func (e *Entry) adopt(a *stream.Answer) {
	e.event(event.Of("answer.takenOver").WithRequest(a.Request().ID))
	e.running.Go(func() {
		e.copyToKeeper(a)
		e.start(a, nil)
	})
}

// adoptOrphans takes over the copies whose owners have gone. Each owner is asked
// first, because a copy is also left behind when only its link was lost.
func (e *Entry) adoptOrphans(now time.Time) {
	for _, id := range e.answers.Orphans(now.Add(-time.Second)) {
		if next, ok := e.orphans.Load(id); ok && now.Before(next.(time.Time)) {
			continue
		}
		e.orphans.Store(id, now.Add(orphanPause))
		e.running.Go(func() {
			ctx, cancel := context.WithTimeout(e.runs, 2*findTimeout)
			defer cancel()
			e.locate(ctx, id, now)
		})
	}
	e.orphans.Range(func(id, next any) bool {
		if now.After(next.(time.Time)) {
			e.orphans.Delete(id)
		}
		return true
	})
}

// handOver gives the running answers to their keepers. It is the last step of a
// planned stop, for answers that did not finish in time.
func (e *Entry) handOver(ctx context.Context) {
	var wg sync.WaitGroup
	for _, a := range e.ownedRunning() {
		wg.Go(func() { _ = e.handOverOne(ctx, a) })
	}
	wg.Wait()
}

// handOverOne makes the keeper of an answer its owner.
func (e *Entry) handOverOne(ctx context.Context, a *stream.Answer) error {
	id := a.Request().ID
	addr, ok := e.holders.get(id)
	if !ok {
		if _, ok = e.tryKeepers(a); ok {
			addr, _ = e.holders.get(id)
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
	e.event(ev)
	return err
}

// ownedRunning returns the answers of this node that have not ended.
func (e *Entry) ownedRunning() []*stream.Answer {
	var out []*stream.Answer
	for _, i := range e.answers.List() {
		if a, ok := e.answers.Get(i.ID); ok && !i.Held && !i.Ended {
			out = append(out, a)
		}
	}
	return out
}
