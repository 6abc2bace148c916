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
	// findTimeout is about 100 round trips within a region. A peer that does
	// not reply within it is treated as not knowing the answer.
	findTimeout = 300 * time.Millisecond
)

// answerID returns the internal id of an answer. Request ids are unique only
// within an organisation.
func answerID(org, requestID string) string { return org + "/" + requestID }

// rankPeers orders the peers by rendezvous hashing. Replica holders of an
// answer and nodes that reserve its id are chosen in this order, which is the
// same on every node with the same membership.
func rankPeers(peers []member.Peer, id string) []member.Peer {
	out := slices.Clone(peers)
	slices.SortFunc(out, func(a, b member.Peer) int {
		hashA, hashB := xxhash.Sum64String(a.Node+"\x00"+id), xxhash.Sum64String(b.Node+"\x00"+id)
		switch {
		case hashA > hashB:
			return -1
		case hashA < hashB:
			return 1
		}
		return 0
	})
	return out
}

// replicaCandidates returns the peers that may hold the replica of an answer of
// this node, in order of preference: first peers in other data centres, then
// the rest. Draining peers are excluded.
func (e *Entry) replicaCandidates(id string, now time.Time) []member.Peer {
	var otherDataCentres, sameDataCentre []member.Peer
	for _, p := range rankPeers(e.member.Peers(now), id) {
		switch {
		case p.Draining:
		case p.DataCentre == e.cfg.Settings.DataCentre:
			sameDataCentre = append(sameDataCentre, p)
		default:
			otherDataCentres = append(otherDataCentres, p)
		}
	}
	return append(otherDataCentres, sameDataCentre...)
}

// location says where the record of an answer is.
type location struct {
	local *stream.Answer // nil if the answer is at a peer
	peer  member.Peer
	found *entrpb.Found // nil if another cell computes the answer
	cell  string        // the cell that computes the answer, if not this cell
	// missingReplies is the number of nodes of the cell that did not reply.
	missingReplies int
}

// holder returns the instance that has the answer; self is this instance.
func (l location) holder(self member.Peer) member.Peer {
	if l.local != nil {
		return self
	}
	return l.peer
}

// locate looks for an answer at this node and at all nodes of the cell. A
// replica whose owner is gone is taken over, because a caller is asking for the
// answer.
func (e *Entry) locate(ctx context.Context, id string, now time.Time) (location, bool) {
	if l, ok := e.locateLocal(id); ok {
		return l, true
	}
	l, _ := e.search(ctx, &entrpb.Find{Id: id}, now)
	return l, l.found != nil || l.cell != ""
}

// locateLocal returns this node's record of an answer unless another node may
// have a better one.
func (e *Entry) locateLocal(id string) (location, bool) {
	f := e.localRecord(id)
	if f == nil || f.Held && !f.Linked && !f.Ended {
		return location{}, false
	}
	a, ok := e.answers.Get(id)
	return location{local: a, found: f}, ok
}

// allNodes returns all nodes of the cell, including this one, in rank order.
func (e *Entry) allNodes(id string, now time.Time) []member.Peer {
	return rankPeers(append(e.member.Peers(now), e.member.Self()), id)
}

// search queries every node of the cell and returns the best record of the
// answer, or the reservation of another node if there is one.
func (e *Entry) search(ctx context.Context, req *entrpb.Find, now time.Time) (location, *entrpb.Found) {
	nodes := e.allNodes(req.Id, now)
	var l location
	var reserved *entrpb.Found
	for attempt := range maxReserveNodes {
		lookup := &entrpb.Find{Id: req.Id}
		if attempt >= len(nodes) {
			break
		}
		replies := e.queryAll(ctx, nodes, func(i int) *entrpb.Find {
			if i == attempt {
				return req
			}
			return lookup
		})
		l, reserved = e.mergeReplies(nodes, replies)
		if l.found != nil || l.cell != "" || reserved != nil || req.Reserve == "" || replies[attempt] != nil {
			break
		}
	}
	if l.found == nil {
		return l, reserved
	}
	return e.ensureOwner(ctx, req.Id, l, now), nil
}

// mergeReplies selects the best record and the reservation of another node.
func (e *Entry) mergeReplies(nodes []member.Peer, replies []*entrpb.Found) (l location, reserved *entrpb.Found) {
	missing := 0
	for i, r := range replies {
		switch {
		case r == nil:
			missing++
		case r.Known && (l.found == nil || preferRecord(r, l.found)):
			l = location{peer: nodes[i], found: r}
		case r.Cell != "" && l.found == nil:
			l.cell = r.Cell
		case r.ReservedBy != "" && r.ReservedBy != e.reservationOwner():
			reserved = r
		}
	}
	l.missingReplies = missing
	return l, reserved
}

// preferRecord reports whether record a is preferred to record b. The order is:
// a complete answer, the latest takeover, the owner's record, the longest
// replica. A replica holder that only timed out has a shorter replica than its
// successor.
func preferRecord(a, b *entrpb.Found) bool {
	complete := func(f *entrpb.Found) bool { return f.Ended && !f.Broken }
	switch {
	case complete(a) != complete(b):
		return complete(a)
	case a.Epoch != b.Epoch:
		return a.Epoch > b.Epoch
	case a.Held != b.Held:
		return !a.Held
	case a.Position != b.Position:
		return a.Position > b.Position
	}
	return a.Linked && !b.Linked
}

// ensureOwner makes the holder of the best replica the owner if no owner is
// left.
func (e *Entry) ensureOwner(ctx context.Context, id string, l location, now time.Time) location {
	local := l.peer.Node == e.cfg.Settings.Node
	if f := l.found; f.Held && !f.Linked && !f.Ended {
		if local {
			e.takeOver(id, now)
		} else {
			ctx, cancel := context.WithTimeout(ctx, findTimeout)
			defer cancel()
			// A holder that refuses has heard from the owner again.
			_, _, _ = e.peers.Takeover(ctx, l.peer.Address, id, false)
		}
	}
	if local {
		l.local, _ = e.answers.Get(id)
	}
	return l
}

// queryAll queries the nodes concurrently. A reply is nil if the node did not
// reply. A reply from the owner ends the wait for the others.
func (e *Entry) queryAll(ctx context.Context, nodes []member.Peer, req func(i int) *entrpb.Find) []*entrpb.Found {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	var wg sync.WaitGroup
	replies := make([]*entrpb.Found, len(nodes))
	for i, p := range nodes {
		wg.Go(func() {
			r, err := e.queryNode(ctx, p, req(i))
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

func (e *Entry) queryNode(ctx context.Context, p member.Peer, req *entrpb.Find) (*entrpb.Found, error) {
	if p.Node == e.cfg.Settings.Node {
		return e.findLocal(req, e.cfg.Now()), nil
	}
	r := &entrpb.Found{}
	return r, Error.Wrap(e.cfg.Net.Call(ctx, p.Address, findCall, req, r))
}

func (e *Entry) peerByName(node string) (member.Peer, bool) {
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
	return e.findLocal(&req, e.cfg.Now()), nil
}

// findLocal answers a query from this node's records and reservations.
func (e *Entry) findLocal(req *entrpb.Find, now time.Time) *entrpb.Found {
	if f := e.localRecord(req.Id); f != nil {
		return f
	}
	if cell := e.forwardTable.cell(req.Id); cell != "" && !req.Release {
		return &entrpb.Found{Cell: cell}
	}
	switch {
	case req.Release:
		e.reserved.release(req.Id, req.Reserve)
		return &entrpb.Found{}
	case req.Reserve != "":
		e.reserved.dropOrphaned(req.Id, func(owner string) bool { return !e.ownerAlive(owner) })
		r := e.reserved.acquire(req.Id, reservation{req.Reserve, req.BodyHash, now})
		return &entrpb.Found{ReservedBy: r.owner, BodyHash: r.bodyHash}
	}
	r := e.reserved.get(req.Id, now)
	return &entrpb.Found{ReservedBy: r.owner, BodyHash: r.bodyHash}
}

// localRecord describes this node's record of an answer. It returns nil if
// there is none or another node has taken the answer over.
func (e *Entry) localRecord(id string) *entrpb.Found {
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
		_, _, err := a.Read(e.serveCtx, a.Position())
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
