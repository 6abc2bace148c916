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
	// keeperTries is how many peers are tried before an answer goes on without a
	// copy; a caller must not wait for a cell that does not answer.
	keeperTries = 2
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
	done, ok := e.tryKeepers(a, keeperTries)
	e.running.Go(func() {
		for {
			if ok {
				err := <-done
				e.holders.set(id, "")
				if err == nil || errors.Is(err, stream.ErrTakenOver) {
					return
				}
				e.event(event.Of("copy.lost").WithRequest(id).With("error", err.Error()))
			}
			if _, ended := a.Ended(); ended || !pause(e.runs, recopyPause) {
				return
			}
			done, ok = e.tryKeepers(a, keeperTries)
		}
	})
}

func (e *Entry) tryKeepers(a *stream.Answer, tries int) (<-chan error, bool) {
	id := a.Request().ID
	for i, p := range e.keepers(id, e.cfg.Now()) {
		if i == tries {
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

// adopt runs an answer that this node has become the owner of.
func (e *Entry) adopt(a *stream.Answer) {
	e.event(event.Of("answer.takenOver").WithRequest(a.Request().ID))
	e.start(a, nil)
	e.running.Go(func() { e.copyToKeeper(a) })
}

// adoptOrphans takes over the answers whose owner has left the cell's membership.
func (e *Entry) adoptOrphans(now time.Time) {
	live := map[string]bool{e.cfg.Settings.Node: true}
	for _, p := range e.member.Peers(now) {
		live[p.Node] = true
	}
	for _, id := range e.answers.Orphans(now.Add(-time.Second)) {
		if info, ok := e.answers.Info(id); ok && !live[info.Owner] {
			e.takeOver(id, now)
		}
	}
}

// handOver gives the running answers to their keepers. It is the last step of a
// planned stop, for answers that did not finish in time.
func (e *Entry) handOver(ctx context.Context) {
	for _, id := range e.ownedRunning() {
		addr, ok := e.holders.get(id)
		if !ok {
			continue
		}
		_, _, err := e.peers.Takeover(ctx, addr, id, true)
		ev := event.Of("answer.handedOver").WithRequest(id).With("to", addr)
		if err != nil {
			ev = ev.With("error", err.Error())
		}
		e.event(ev)
	}
}

func (e *Entry) ownedRunning() []string {
	e.holders.mu.Lock()
	defer e.holders.mu.Unlock()
	var out []string
	for id := range e.holders.addr {
		if a, ok := e.answers.Get(id); ok {
			if _, ended := a.Ended(); !ended {
				out = append(out, id)
			}
		}
	}
	return out
}
