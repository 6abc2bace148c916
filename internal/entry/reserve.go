package entry

import (
	"context"
	"sync"
	"time"

	"cranberrypath.example/cranberrypath/internal/entry/entrpb"
)

const (
	// reservationTTL covers the time from reserving an id until its answer is
	// recorded. It is short because the instance that made the reservation may
	// crash.
	reservationTTL = 3 * time.Second
	// maxReserveInstances is how many instances are asked in turn to store a
	// reservation.
	maxReserveInstances = 3
	// reserveTimeout is how long a request waits while another instance decides
	// whether to accept the same id.
	reserveTimeout      = 2 * time.Second
	reservePollInterval = 20 * time.Millisecond
)

// reserve looks for the answer of a new request. If no instance knows the answer,
// reserve reserves the id for this instance, so that only one instance computes an
// id that is sent to two instances at the same time. releaseReservation undoes
// it. pos is the position from which the caller reads.
func (e *Entry) reserve(ctx context.Context, id string, hash, pos uint64) (l location, known bool, f *failure) {
	if l, ok := e.locateLocal(id); ok {
		return l, true, checkBodyHash(l.found, hash)
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	for {
		now := e.cfg.Now()
		l, reserved := e.search(ctx, &entrpb.Find{Id: id, Reserve: e.reservationOwner(), BodyHash: hash}, pos, now)
		switch {
		case l.found != nil:
			return l, true, checkBodyHash(l.found, hash)
		case l.cell != "":
			return l, true, nil
		case reserved == nil:
			return location{}, false, nil
		}
		if f := checkBodyHash(reserved, hash); f != nil {
			return location{}, false, f
		}
		if !sleep(ctx, reservePollInterval) {
			inProgress := conflict("inProgress", "another entry instance is about to run the request", outcomeUnknown)
			return location{}, false, inProgress.withRetryAfter(time.Second)
		}
	}
}

func checkBodyHash(f *entrpb.Found, hash uint64) *failure {
	if f.BodyHash == hash {
		return nil
	}
	return conflict("requestIdReused", "X-Request-Id was used with another body", outcomeNotRun)
}

// reservationOwner returns the name of this process in reservations. It has the
// form of a claim owner, so that a reservation ends with the process that made
// it.
func (e *Entry) reservationOwner() string { return e.processPrefix() + "id" }

// releaseReservation allows other instances to accept an id that this instance has
// refused.
func (e *Entry) releaseReservation(id string) {
	req := &entrpb.Find{Id: id, Reserve: e.reservationOwner(), Release: true}
	for _, p := range e.allInstances(id, e.cfg.Now())[:1] {
		e.background.Go(func() {
			ctx, cancel := context.WithTimeout(e.runCtx, findTimeout)
			defer cancel()
			_, _ = e.queryInstance(ctx, p, req) // on failure the reservation expires
		})
	}
}

// reservations holds the ids that instances are about to accept.
type reservations struct {
	mu   sync.Mutex
	byID map[string]reservation
}

type reservation struct {
	owner    string
	bodyHash uint64 // of the request
	madeAt   time.Time
}

// get returns the unexpired reservation of an id, or the zero value.
func (r *reservations) get(id string, now time.Time) reservation {
	r.mu.Lock()
	defer r.mu.Unlock()
	if existing, ok := r.byID[id]; ok && now.Sub(existing.madeAt) < reservationTTL {
		return existing
	}
	return reservation{}
}

// acquire makes a reservation unless an unexpired one exists, and returns the
// current one.
func (r *reservations) acquire(id string, request reservation) reservation {
	r.mu.Lock()
	defer r.mu.Unlock()
	if existing, ok := r.byID[id]; ok && request.madeAt.Sub(existing.madeAt) < reservationTTL {
		return existing
	}
	if r.byID == nil {
		r.byID = map[string]reservation{}
	}
	r.byID[id] = request
	return request
}

func (r *reservations) release(id, owner string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byID[id].owner == owner {
		delete(r.byID, id)
	}
}

// dropOrphaned removes a reservation whose process has left the cell.
func (r *reservations) dropOrphaned(id string, gone func(owner string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if existing, ok := r.byID[id]; ok && gone(existing.owner) {
		delete(r.byID, id)
	}
}

// sweep removes expired reservations.
func (r *reservations) sweep(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, existing := range r.byID {
		if now.Sub(existing.madeAt) >= reservationTTL {
			delete(r.byID, id)
		}
	}
}
