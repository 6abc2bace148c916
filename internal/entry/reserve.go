package entry

import (
	"context"
	"sync"
	"time"

	"cranberrypath.example/cranberrypath/internal/entry/entrpb"
)

const (
	// keepReservation covers the time between the reservation of an id and the
	// record of its answer. It is short, because the node that holds it may crash.
	keepReservation = 3 * time.Second
	// reserveTries is how many nodes are asked for a reservation until one answers.
	reserveTries = 3
	// reserveWait is how long a request waits while another node decides whether
	// it accepts the same id.
	reserveWait  = 2 * time.Second
	reservePause = 20 * time.Millisecond
)

// reserve looks for the answer of a new request. If nobody knows it, the id is
// reserved for this node, so that the same id sent to two entry instances at
// once is computed by one; unreserve gives it back.
func (e *Entry) reserve(ctx context.Context, id string, hash uint64) (l located, known bool, f *failure) {
	if l, ok := e.locateHere(id); ok {
		return l, true, sameBody(l.found, hash)
	}
	ctx, cancel := context.WithTimeout(ctx, reserveWait)
	defer cancel()
	for {
		now := e.cfg.Now()
		l, other := e.search(ctx, &entrpb.Find{Id: id, Reserve: e.reserver(), BodyHash: hash}, now)
		switch {
		case l.found != nil:
			return l, true, sameBody(l.found, hash)
		case l.cell != "":
			return l, true, nil
		case other == nil:
			return located{}, false, nil
		}
		if f := sameBody(other, hash); f != nil {
			return located{}, false, f
		}
		if !pause(ctx, reservePause) {
			busy := conflict("inProgress", "another entry instance is about to run the request", unknown)
			return located{}, false, busy.withRetryAfter(time.Second)
		}
	}
}

func sameBody(f *entrpb.Found, hash uint64) *failure {
	if f.BodyHash == hash {
		return nil
	}
	return conflict("requestIdReused", "X-Request-Id was used with another body", notRun)
}

// reserver names this process in reservations. It has the form of a claim's
// owner, so that a reservation ends with the process that made it.
func (e *Entry) reserver() string { return e.ownerPrefix() + "id" }

// unreserve lets other nodes accept an id that this node has refused.
func (e *Entry) unreserve(id string) {
	req := &entrpb.Find{Id: id, Reserve: e.reserver(), Release: true}
	for _, p := range e.everyone(id, e.cfg.Now())[:1] {
		e.running.Go(func() {
			ctx, cancel := context.WithTimeout(e.runs, findTimeout)
			defer cancel()
			_, _ = e.askFind(ctx, p, req) // otherwise it lapses
		})
	}
}

// reservations hold the ids that nodes are about to accept.
type reservations struct {
	mu   sync.Mutex
	byID map[string]reservation
}

type reservation struct {
	node string
	hash uint64 // of the request
	at   time.Time
}

// get returns the reservation of an id that is in force, or none.
func (r *reservations) get(id string, now time.Time) reservation {
	r.mu.Lock()
	defer r.mu.Unlock()
	if have, ok := r.byID[id]; ok && now.Sub(have.at) < keepReservation {
		return have
	}
	return reservation{}
}

// take makes a reservation unless there is one, and returns the one in force.
func (r *reservations) take(id string, want reservation) reservation {
	r.mu.Lock()
	defer r.mu.Unlock()
	if have, ok := r.byID[id]; ok && want.at.Sub(have.at) < keepReservation {
		return have
	}
	if r.byID == nil {
		r.byID = map[string]reservation{}
	}
	r.byID[id] = want
	return want
}

func (r *reservations) release(id, node string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byID[id].node == node {
		delete(r.byID, id)
	}
}

// drop removes the reservation of a process that has left the cell.
func (r *reservations) drop(id string, gone func(owner string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if have, ok := r.byID[id]; ok && gone(have.node) {
		delete(r.byID, id)
	}
}

// sweep drops the reservations that have lapsed.
func (r *reservations) sweep(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, have := range r.byID {
		if now.Sub(have.at) >= keepReservation {
			delete(r.byID, id)
		}
	}
}
