package entry

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/entry/entrpb"
	"cranberrypath.example/cranberrypath/internal/link"
	"cranberrypath.example/cranberrypath/internal/member"
	"cranberrypath.example/cranberrypath/internal/stream"
)

const (
	findCall = "entry.find"
	// findTimeout is about a hundred round trips within a region. A peer that
	// does not answer in it is treated as not knowing the answer.
	findTimeout = 300 * time.Millisecond
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

// answerID is the name of an answer inside the system: request ids are unique
// only within an organisation.
func answerID(org, requestID string) string { return org + "/" + requestID }

// ranked returns the peers in the order in which they keep the copy of an
// answer and reserve its id. Every node computes the same order from the same
// membership.
func ranked(peers []member.Peer, id string) []member.Peer {
	out := slices.Clone(peers)
	slices.SortFunc(out, func(a, b member.Peer) int {
		x, y := xxhash.Sum64String(a.Node+"\x00"+id), xxhash.Sum64String(b.Node+"\x00"+id)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	return out
}

// keepers returns the peers that may keep the copy of an answer of this node,
// best first: those of other data centres, then the rest. Draining peers are left out.
func (e *Entry) keepers(id string, now time.Time) []member.Peer {
	var far, near []member.Peer
	for _, p := range ranked(e.member.Peers(now), id) {
		switch {
		case p.Draining:
		case p.DataCentre == e.cfg.Settings.DataCentre:
			near = append(near, p)
		default:
			far = append(far, p)
		}
	}
	return append(far, near...)
}

// located is an answer that some entry instance knows.
type located struct {
	local *stream.Answer // nil if it is at a peer
	peer  member.Peer
	found *entrpb.Found // nil if another cell computes the answer
	cell  string        // that cell
}

// peerOr returns the instance that has the answer; self is this one.
func (l located) peerOr(self member.Peer) member.Peer {
	if l.local != nil {
		return self
	}
	return l.peer
}

// locate looks for an answer here and at all nodes of the cell. The copy of an
// answer whose owner is gone is taken over, because a caller asks for it.
func (e *Entry) locate(ctx context.Context, id string, now time.Time) (located, bool) {
	if l, ok := e.locateHere(id); ok {
		return l, true
	}
	l, _ := e.search(ctx, &entrpb.Find{Id: id}, now)
	return l, l.found != nil || l.cell != ""
}

// locateHere returns the answer of this node if no other one can know better.
func (e *Entry) locateHere(id string) (located, bool) {
	f := e.known(id)
	if f == nil || f.Held && !f.Linked && !f.Ended {
		return located{}, false
	}
	a, ok := e.answers.Get(id)
	return located{local: a, found: f}, ok
}

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

// everyone returns the nodes of the cell, this one included, in rank order.
func (e *Entry) everyone(id string, now time.Time) []member.Peer {
	return ranked(append(e.member.Peers(now), e.member.Self()), id)
}

// search asks every node of the cell and returns the best record of the answer.
// It also returns the reservation of another node, if there is one.
func (e *Entry) search(ctx context.Context, req *entrpb.Find, now time.Time) (located, *entrpb.Found) {
	nodes := e.everyone(req.Id, now)
	var l located
	var reserved *entrpb.Found
	for try := range reserveTries {
		plain := &entrpb.Find{Id: req.Id}
		if try >= len(nodes) {
			break
		}
		replies := e.askAll(ctx, nodes, func(i int) *entrpb.Find {
			if i == try {
				return req
			}
			return plain
		})
		l, reserved = e.judgeReplies(nodes, replies)
		if l.found != nil || l.cell != "" || reserved != nil || req.Reserve == "" || replies[try] != nil {
			break
		}
	}
	if l.found == nil {
		return l, reserved
	}
	return e.revive(ctx, req.Id, l, now), nil
}

// judgeReplies picks the best record and the reservation of another node.
func (e *Entry) judgeReplies(nodes []member.Peer, replies []*entrpb.Found) (l located, reserved *entrpb.Found) {
	for i, r := range replies {
		switch {
		case r == nil:
		case r.Known && (l.found == nil || better(r, l.found)):
			l = located{peer: nodes[i], found: r}
		case r.Cell != "" && l.found == nil:
			l.cell = r.Cell
		case r.ReservedBy != "" && r.ReservedBy != e.reserver():
			reserved = r
		}
	}
	return l, reserved
}

// better reports whether record a is to be preferred to b: a whole answer, then
// the one that was taken over last, then the owner's, then the longest copy. A
// keeper that only timed out holds a shorter copy than the one that followed it.
func better(a, b *entrpb.Found) bool {
	whole := func(f *entrpb.Found) bool { return f.Ended && !f.Broken }
	switch {
	case whole(a) != whole(b):
		return whole(a)
	case a.Epoch != b.Epoch:
		return a.Epoch > b.Epoch
	case a.Held != b.Held:
		return !a.Held
	case a.Position != b.Position:
		return a.Position > b.Position
	}
	return a.Linked && !b.Linked
}

// revive makes the holder of the best copy its owner if no owner is left.
func (e *Entry) revive(ctx context.Context, id string, l located, now time.Time) located {
	here := l.peer.Node == e.cfg.Settings.Node
	if f := l.found; f.Held && !f.Linked && !f.Ended {
		if here {
			e.takeOver(id, now)
		} else {
			ctx, cancel := context.WithTimeout(ctx, findTimeout)
			defer cancel()
			// A holder that refuses has heard from the owner again.
			_, _, _ = e.peers.Takeover(ctx, l.peer.Address, id, false)
		}
	}
	if here {
		l.local, _ = e.answers.Get(id)
	}
	return l
}

// askAll asks the nodes at the same time. A reply is nil if the node gave none. An
// owner's reply ends the wait for the others.
func (e *Entry) askAll(ctx context.Context, nodes []member.Peer, req func(i int) *entrpb.Find) []*entrpb.Found {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	var wg sync.WaitGroup
	replies := make([]*entrpb.Found, len(nodes))
	for i, p := range nodes {
		wg.Go(func() {
			r, err := e.askFind(ctx, p, req(i))
			if err != nil {
				return
			}
			replies[i] = r
			if r.Known && !r.Held && !r.Broken {
				cancel()
			}
		})
	}
	wg.Wait()
	return replies
}

func (e *Entry) askFind(ctx context.Context, p member.Peer, req *entrpb.Find) (*entrpb.Found, error) {
	if p.Node == e.cfg.Settings.Node {
		return e.findHere(req, e.cfg.Now()), nil
	}
	r := &entrpb.Found{}
	return r, Error.Wrap(e.cfg.Net.Call(ctx, p.Address, findCall, req, r))
}

func (e *Entry) peerNamed(node string) (member.Peer, bool) {
	for _, p := range e.member.Peers(e.cfg.Now()) {
		if p.Node == node {
			return p, true
		}
	}
	return member.Peer{}, false
}

func (e *Entry) handleFind(_ context.Context, _ link.Peer, body []byte) (proto.Message, error) {
	var req entrpb.Find
	if err := proto.Unmarshal(body, &req); err != nil {
		return nil, Error.Wrap(err)
	}
	return e.findHere(&req, e.cfg.Now()), nil
}

// findHere answers from this node's records and reservations.
func (e *Entry) findHere(req *entrpb.Find, now time.Time) *entrpb.Found {
	if f := e.known(req.Id); f != nil {
		return f
	}
	if cell := e.sent.cell(req.Id); cell != "" && !req.Release {
		return &entrpb.Found{Cell: cell}
	}
	switch {
	case req.Release:
		e.reserved.release(req.Id, req.Reserve)
		return &entrpb.Found{}
	case req.Reserve != "":
		e.reserved.drop(req.Id, func(owner string) bool { return !e.ownerLives(owner) })
		r := e.reserved.take(req.Id, reservation{req.Reserve, req.BodyHash, now})
		return &entrpb.Found{ReservedBy: r.node, BodyHash: r.hash}
	}
	r := e.reserved.get(req.Id, now)
	return &entrpb.Found{ReservedBy: r.node, BodyHash: r.hash}
}

// known describes this node's record of an answer, or returns nil. A record
// that another node has taken over counts as none.
func (e *Entry) known(id string) *entrpb.Found {
	info, ok := e.answers.Info(id)
	if !ok {
		return nil
	}
	a, ok := e.answers.Get(id)
	if !ok {
		return nil
	}
	f := foundOf(a)
	f.Owner, f.Held, f.Linked, f.Epoch, f.Position = info.Owner, info.Held, info.Linked, info.Epoch, info.Pos
	if end, ok := a.Ended(); ok {
		f.Ended, f.Broken = true, end.Broken
	}
	var broken *stream.BrokenError
	if f.Broken {
		_, _, err := a.Read(e.ctx, a.Position())
		if errors.As(err, &broken) && broken.TakenOver {
			return nil
		}
	}
	return f
}

func foundOf(a *stream.Answer) *entrpb.Found {
	acc := acceptedOf(a)
	return &entrpb.Found{
		Known: true, BodyHash: acc.BodyHash, Chat: acc.Chat, Created: acc.Created,
		Service: acc.Service, Adapter: acc.Adapter,
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
