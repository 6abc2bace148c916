package entry

import (
	"context"
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
	// arrival of its copy at a keeper.
	keepReservation = 10 * time.Second
)

// answerID is the name of an answer inside the system: request ids are unique
// only within an organisation.
func answerID(org, requestID string) string { return org + "/" + requestID }

// ranked returns the peers in the order in which they keep the copy of an
// answer. Every node computes the same order from the same membership, so that
// a caller's return can be answered without asking all.
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
	found *entrpb.Found
}

// locate looks for an answer here, then at its keepers, then at all peers of
// the cell. With reserve it also reserves an unknown id for this node, so that
// the same id sent to two entry instances at once is computed by one.
func (e *Entry) locate(ctx context.Context, id string, reserve bool, now time.Time) (located, bool) {
	if l, ok := e.locateHere(id); ok {
		return l, true
	}
	peers := ranked(append(e.member.Peers(now), e.member.Self()), id)
	first := firstOfTwoDataCentres(peers)
	if l, ok := e.ask(ctx, id, first, reserve); ok {
		return l, true
	}
	if reserve {
		return located{}, false // a new request does not wait for the whole cell
	}
	return e.ask(ctx, id, peers, false)
}

func (e *Entry) locateHere(id string) (located, bool) {
	a, ok := e.answers.Get(id)
	if !ok {
		return located{}, false
	}
	return located{local: a, found: foundOf(a)}, true
}

// firstOfTwoDataCentres returns the first peer and the first one in another
// data centre. One of them keeps the copy of any answer, whoever owns it.
func firstOfTwoDataCentres(peers []member.Peer) []member.Peer {
	if len(peers) == 0 {
		return nil
	}
	for _, p := range peers[1:] {
		if p.DataCentre != peers[0].DataCentre {
			return []member.Peer{peers[0], p}
		}
	}
	return peers[:1]
}

// ask asks peers at the same time and returns the first that knows the answer.
func (e *Entry) ask(ctx context.Context, id string, peers []member.Peer, reserve bool) (located, bool) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var best located
	known := false
	self := e.cfg.Settings.Node
	for i, p := range peers {
		req := &entrpb.Find{Id: id}
		if reserve && i == 0 {
			req.Reserve = self
		}
		wg.Go(func() {
			var resp *entrpb.Found
			if p.Node == self {
				resp = e.findHere(req, e.cfg.Now())
			} else {
				resp = &entrpb.Found{}
				if e.cfg.Net.Call(ctx, p.Address, findCall, req, resp) != nil {
					return
				}
			}
			mu.Lock()
			defer mu.Unlock()
			switch {
			case resp.Known && !known:
				best, known = located{peer: p, found: resp}, true
				cancel()
			case resp.ReservedBy != "" && resp.ReservedBy != self && !known:
				if owner, ok := e.peerNamed(resp.ReservedBy); ok {
					best, known = located{peer: owner, found: resp}, true
				}
			}
		})
	}
	wg.Wait()
	if known && best.peer.Node == self {
		return e.locateHere(id)
	}
	return best, known
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

// findHere answers from this node's records. A held copy whose owner has gone
// is taken over, because a caller is asking for it.
func (e *Entry) findHere(req *entrpb.Find, now time.Time) *entrpb.Found {
	if info, ok := e.answers.Info(req.Id); ok {
		if info.Held && !info.Linked && !info.Ended && now.Sub(info.Heard) > findTimeout {
			e.takeOver(req.Id, now)
		}
		a, ok := e.answers.Get(req.Id)
		if !ok {
			return &entrpb.Found{}
		}
		f := foundOf(a)
		f.Owner = info.Owner
		return f
	}
	if req.Reserve == "" {
		return &entrpb.Found{}
	}
	return &entrpb.Found{ReservedBy: e.reserved.take(req.Id, req.Reserve, now)}
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
	at   time.Time
}

// take reserves an id for node unless another one holds it, and returns the holder.
func (r *reservations) take(id, node string, now time.Time) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if have, ok := r.byID[id]; ok && now.Sub(have.at) < keepReservation {
		return have.node
	}
	if r.byID == nil {
		r.byID = map[string]reservation{}
	}
	r.byID[id] = reservation{node, now}
	return node
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
