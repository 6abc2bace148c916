package entry

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
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
	// ownerTimeout is how long the owner of a replica has to reply before the replica is taken
	// over. An owner that is only slow may have shown its callers more tokens than the
	// replica has.
	ownerTimeout = time.Second
	// locateTimeout limits the search for an answer.
	locateTimeout = 2*findTimeout + ownerTimeout
)

// answerID returns the internal id of an answer. Request ids are unique only
// within an organisation.
func answerID(org, requestID string) string { return org + "/" + requestID }

// rankPeers orders the peers by rendezvous hashing. Replica holders of an
// answer and instances that reserve its id are chosen in this order, which is the
// same on every instance with the same membership.
func rankPeers(peers []member.Peer, id string) []member.Peer {
	out := slices.Clone(peers)
	slices.SortFunc(out, func(a, b member.Peer) int {
		hashA, hashB := xxhash.Sum64String(a.Instance+"\x00"+id), xxhash.Sum64String(b.Instance+"\x00"+id)
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
// this instance, in order of preference: first peers in other data centres, then
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
	// missingReplies is the number of instances of the cell that did not reply, silent that
	// of those which may run nevertheless.
	missingReplies, silent int
	takeovers              uint64 // of the answer, the most that an instance knows of
}

// holder returns the instance that has the answer; self is this instance.
func (l location) holder(self member.Peer) member.Peer {
	if l.local != nil {
		return self
	}
	return l.peer
}

// locate looks for an answer at this instance and at all instances of the cell, for a
// reader at a position. A replica whose owner is gone is taken over, because a caller is
// asking for the answer.
func (e *Entry) locate(ctx context.Context, id string, pos uint64, now time.Time) (location, bool) {
	if l, ok := e.locateLocal(id); ok && l.reaches(pos) {
		return l, true
	}
	l, _ := e.search(ctx, &entrpb.Find{Id: id}, pos, now)
	return l, l.found != nil || l.cell != ""
}

// locateLocal returns this instance's record of an answer unless another instance may
// have a better one.
func (e *Entry) locateLocal(id string) (location, bool) {
	f := e.localRecord(id)
	if f == nil || f.Held && !f.Linked && !f.Ended {
		return location{}, false
	}
	a, ok := e.answers.Get(id)
	return location{local: a, found: f}, ok
}

// allInstances returns all instances of the cell, including this one, in rank order.
func (e *Entry) allInstances(id string, now time.Time) []member.Peer {
	return rankPeers(append(e.member.Peers(now), e.member.Self()), id)
}

// search queries every instance of the cell and returns the best record of the
// answer for a reader at a position, or the reservation of another instance if there
// is one. A replica that does not reach the position is not taken over while its
// owner may run.
func (e *Entry) search(ctx context.Context, req *entrpb.Find, pos uint64, now time.Time) (location, *entrpb.Found) {
	instances := e.allInstances(req.Id, now)
	var l location
	var reserved *entrpb.Found
	for attempt := range maxReserveInstances {
		lookup := &entrpb.Find{Id: req.Id}
		if attempt >= len(instances) {
			break
		}
		replies, silent := e.queryAll(ctx, instances, pos, func(i int) *entrpb.Find {
			if i == attempt {
				return req
			}
			return lookup
		})
		l, reserved = e.mergeReplies(instances, replies, pos)
		l.silent = silent
		if l.found != nil || l.cell != "" || reserved != nil || req.Reserve == "" || replies[attempt] != nil {
			break
		}
	}
	if l.found == nil || !l.reaches(pos) && l.silent > 0 {
		return l, reserved
	}
	return e.ensureOwner(ctx, req.Id, l, now), nil
}

// mergeReplies selects the best record for a reader at a position and the reservation of
// another instance.
func (e *Entry) mergeReplies(instances []member.Peer, replies []*entrpb.Found, pos uint64) (l location, reserved *entrpb.Found) {
	missing, takeovers := 0, uint64(0)
	for i, r := range replies {
		takeovers = max(takeovers, r.GetEpoch())
		switch {
		case r == nil:
			missing++
		case r.Known && (l.found == nil || preferRecord(r, l.found, pos)):
			l = location{peer: instances[i], found: r}
		case r.Cell != "" && l.found == nil:
			l.cell = r.Cell
		case r.ReservedBy != "" && r.ReservedBy != e.reservationOwner():
			reserved = r
		}
	}
	l.missingReplies, l.takeovers = missing, takeovers
	return l, reserved
}

// preferRecord reports whether a reader at a position prefers record a to record b.
// The order is: a record that reaches the position, a complete answer, the latest
// takeover, the owner's record, the longest replica. A replica holder that only
// timed out has a shorter replica than its successor.
func preferRecord(a, b *entrpb.Found, pos uint64) bool {
	reaches := func(f *entrpb.Found) bool { return f.Position >= pos && !f.Broken }
	complete := func(f *entrpb.Found) bool { return f.Ended && !f.Broken }
	switch {
	case pos > 0 && reaches(a) != reaches(b):
		return reaches(a)
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
	orphaned := func(f *entrpb.Found) bool { return f.Held && !f.Linked && !f.Ended }
	if orphaned(l.found) && l.silent > 0 {
		if owner, ok := e.queryOwner(ctx, id, l.found.Owner); ok {
			return owner
		}
	}
	local := l.peer.Instance == e.cfg.Settings.Node
	if orphaned(l.found) {
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

// queryOwner asks the owner of a replica for its record.
func (e *Entry) queryOwner(ctx context.Context, id, instance string) (location, bool) {
	owner, ok := e.peerByName(instance)
	if !ok {
		return location{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	f, err := e.queryInstance(ctx, owner, &entrpb.Find{Id: id})
	if err != nil || !f.Known || f.Held || f.Broken {
		return location{}, false
	}
	return location{peer: owner, found: f, takeovers: f.Epoch}, true
}

// queryAll queries the instances concurrently. A reply is nil if the instance did not
// reply; silent is the number of those that did not refuse the connection. A reply
// from the owner ends the wait for the others if its record reaches pos.
func (e *Entry) queryAll(ctx context.Context, instances []member.Peer, pos uint64, req func(i int) *entrpb.Find) (replies []*entrpb.Found, silent int) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	var wg sync.WaitGroup
	var noReply atomic.Int64
	replies = make([]*entrpb.Found, len(instances))
	for i, p := range instances {
		wg.Go(func() {
			r, err := e.queryInstance(ctx, p, req(i))
			if err != nil {
				if !errors.Is(err, syscall.ECONNREFUSED) {
					noReply.Add(1)
				}
				return
			}
			replies[i] = r
			if r.Known && !r.Held && !r.Broken && r.Position >= pos {
				cancel()
			}
		})
	}
	wg.Wait()
	return replies, int(noReply.Load())
}

func (e *Entry) queryInstance(ctx context.Context, p member.Peer, req *entrpb.Find) (*entrpb.Found, error) {
	if p.Instance == e.cfg.Settings.Node {
		return e.findLocal(req, e.cfg.Now()), nil
	}
	r := &entrpb.Found{}
	return r, Error.Wrap(e.cfg.Net.Call(ctx, p.Address, findCall, req, r))
}

func (e *Entry) peerByName(instance string) (member.Peer, bool) {
	for _, p := range e.member.Peers(e.cfg.Now()) {
		if p.Instance == instance {
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

// findLocal answers a query from this instance's records and reservations.
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

// localRecord describes this instance's record of an answer. It returns nil if
// there is none or another instance has taken the answer over.
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
	f.Owner, f.Held, f.Linked, f.Epoch, f.Position = info.Owner, info.IsReplica, info.OwnerConnected, info.Epoch, info.Pos
	if end, ok := a.Ended(); ok {
		f.Ended, f.Broken = true, end.Aborted
	}
	var broken *stream.AbortedError
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
