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
	// silent is how many nodes of the cell did not say whether they know the answer.
	silent int
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
	silent := 0
	for i, r := range replies {
		switch {
		case r == nil:
			silent++
		case r.Known && (l.found == nil || better(r, l.found)):
			l = located{peer: nodes[i], found: r}
		case r.Cell != "" && l.found == nil:
			l.cell = r.Cell
		case r.ReservedBy != "" && r.ReservedBy != e.reserver():
			reserved = r
		}
	}
	l.silent = silent
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
