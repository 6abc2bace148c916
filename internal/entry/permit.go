package entry

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/entry/entrpb"
	"cranberrypath.example/cranberrypath/internal/link"
	"cranberrypath.example/cranberrypath/internal/poison"
	"cranberrypath.example/cranberrypath/internal/world"
)

const (
	permitCall = "entry.permit"
	// permitTimeout bounds the question whether a suspect may run.
	permitTimeout = 300 * time.Millisecond
)

// gate is the right of a request to run now, given the crashes that it is in.
type gate struct {
	avoid   []string
	suspect bool
	permits []heldPermit // to be returned
}

// heldPermit is a permit and the node that gave it.
type heldPermit struct {
	key  poison.Fingerprint
	home string
}

var (
	errCondemned = Error.New("the request was running on two backend servers when they crashed")
	errHeld      = Error.New("the request is suspected of crashing servers and must wait")
	errNoHome    = Error.New("the instance that holds the permit of a suspected request does not answer")
)

// mayRun asks whether a request may run. A suspect needs the cell's one permit for
// its fingerprint, so that it cannot crash several servers at the same time.
func (e *Entry) mayRun(ctx context.Context, f poison.Fingerprint, now time.Time) (gate, error) {
	v := e.ledger.Check(f, now)
	switch {
	case v.Final:
		return gate{}, errCondemned
	case !v.Run:
		return gate{}, errHeld
	}
	g := gate{avoid: v.Avoid, suspect: v.Permit}
	if !v.Permit {
		return g, nil
	}
	if err := e.obtain(ctx, &g, f, now); err != nil {
		return gate{}, err
	}
	return g, nil
}

// obtain asks for one permit at its home. The error is errHeld if another run has
// it, and errNoHome if the home does not answer.
func (e *Entry) obtain(ctx context.Context, g *gate, key poison.Fingerprint, now time.Time) error {
	home := e.homeOf(key, now)
	switch e.askPermit(ctx, home, key, false, now) {
	case granted:
		g.permits = append(g.permits, heldPermit{key, home})
		return nil
	case silent:
		// The answer may have been lost; a permit that nobody uses must not stay.
		e.running.Go(func() { e.askPermit(context.WithoutCancel(e.runs), home, key, true, e.cfg.Now()) })
		return errNoHome
	}
	return errHeld
}

// homeOf returns the node that gives the permits of a key.
func (e *Entry) homeOf(key poison.Fingerprint, now time.Time) string {
	nodes := []string{e.cfg.Settings.Node}
	for _, p := range e.member.Peers(now) {
		nodes = append(nodes, p.Node)
	}
	return poison.Home(key, nodes)
}

// takeSlot lets a suspect run on a server only if no other suspect does, so that
// a crash shows which of them caused it.
func (e *Entry) takeSlot(ctx context.Context, g *gate, b world.Backend, now time.Time) error {
	if !g.suspect {
		return nil
	}
	return e.obtain(ctx, g, poison.Slot(b.ID, b.Incarnation), now)
}

// returnPermits returns the permits of a run that has ended.
func (e *Entry) returnPermits(g gate) {
	for _, p := range g.permits {
		e.running.Go(func() { e.askPermit(e.runs, p.home, p.key, true, e.cfg.Now()) })
	}
}

func (e *Entry) askPermit(ctx context.Context, home string, f poison.Fingerprint, release bool, now time.Time) answer {
	self := e.cfg.Settings.Node
	if home == self {
		return verdict(e.permit(f, self, release, now))
	}
	resp, err := e.callPermit(ctx, home, &entrpb.PermitRequest{Fingerprint: f[:], Release: release}, permitTimeout)
	if err != nil {
		return silent
	}
	return verdict(resp.Granted)
}

func (e *Entry) callPermit(ctx context.Context, home string, req *entrpb.PermitRequest, timeout time.Duration) (*entrpb.PermitResponse, error) {
	p, ok := e.peerNamed(home)
	if !ok {
		return nil, Error.New("%s is not in the cell", home)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp := &entrpb.PermitResponse{}
	return resp, Error.Wrap(e.cfg.Net.Call(ctx, p.Address, permitCall, req, resp))
}

func (e *Entry) permit(f poison.Fingerprint, node string, release bool, now time.Time) bool {
	if release {
		e.ledger.Release(f, node)
		return true
	}
	e.ledger.Drop(f, e.hasLeft)
	return e.ledger.Permit(f, node, now)
}

// hasLeft reports whether a node has left the cell or restarted since a time. An
// incarnation is the start of its process in nanoseconds.
func (e *Entry) hasLeft(node string, since time.Time) bool {
	if node == e.cfg.Settings.Node {
		return false
	}
	p, ok := e.peerNamed(node)
	return !ok || time.Unix(0, int64(p.Incarnation)).After(since)
}

func (e *Entry) handlePermit(_ context.Context, from link.Peer, body []byte) (proto.Message, error) {
	var req entrpb.PermitRequest
	if err := proto.Unmarshal(body, &req); err != nil {
		return nil, Error.Wrap(err)
	}
	var f poison.Fingerprint
	if copy(f[:], req.Fingerprint) != len(f) {
		return nil, Error.New("fingerprint has %d bytes", len(req.Fingerprint))
	}
	now := e.cfg.Now()
	if err := e.ledger.Merge(req.Records, now); err != nil {
		return nil, Error.Wrap(err)
	}
	switch {
	case req.Run != "" && req.Release:
		e.counts.remove(f, req.Run, req.Completed, now)
		return &entrpb.PermitResponse{Granted: true}, nil
	case req.Run != "":
		granted := e.countHere(f, req.Run, req.Server, now)
		return &entrpb.PermitResponse{Granted: granted, Records: e.ledger.Of(f, now)}, nil
	}
	return &entrpb.PermitResponse{Granted: e.permit(f, from.Node, req.Release, e.cfg.Now())}, nil
}
