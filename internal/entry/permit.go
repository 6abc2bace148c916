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
	// permitTimeout limits a call that asks for a suspect's permit.
	permitTimeout = 300 * time.Millisecond
)

// runGrant allows a request to run now, under conditions that depend on the
// crashes it is involved in.
type runGrant struct {
	avoidServers []string
	suspect      bool
	heldPermits  []heldPermit // to be returned
}

// heldPermit is a permit and the node that granted it.
type heldPermit struct {
	fingerprint poison.Fingerprint
	node        string
}

var (
	errCrashesServers        = Error.New("the request was running on two backend servers when they crashed")
	errSuspectHeld           = Error.New("the request is suspected of crashing servers and must wait")
	errPermitNodeUnreachable = Error.New("the instance that holds the permit of a suspected request does not answer")
)

// authorizeRun decides whether a request may run. A suspect request needs its
// fingerprint's only permit in the cell, so that it cannot crash several
// servers at the same time.
func (e *Entry) authorizeRun(ctx context.Context, f poison.Fingerprint, now time.Time) (runGrant, error) {
	v := e.ledger.Check(f, now)
	switch {
	case v.Final:
		return runGrant{}, errCrashesServers
	case !v.Run:
		return runGrant{}, errSuspectHeld
	}
	g := runGrant{avoidServers: v.Avoid, suspect: v.Permit}
	if !v.Permit {
		return g, nil
	}
	if err := e.obtainPermit(ctx, &g, f, now); err != nil {
		return runGrant{}, err
	}
	return g, nil
}

// obtainPermit requests a permit from the node that grants it. The error is
// errSuspectHeld if another run has the permit, and errPermitNodeUnreachable if
// the node does not reply.
func (e *Entry) obtainPermit(ctx context.Context, g *runGrant, key poison.Fingerprint, now time.Time) error {
	node := e.permitNode(key, now)
	switch e.requestPermit(ctx, node, key, false, now) {
	case voteGranted:
		g.heldPermits = append(g.heldPermits, heldPermit{key, node})
		return nil
	case noReply:
		// The reply may have been lost. Release the permit, so that it does not
		// stay assigned without use.
		e.background.Go(func() { e.requestPermit(context.WithoutCancel(e.runCtx), node, key, true, e.cfg.Now()) })
		return errPermitNodeUnreachable
	}
	return errSuspectHeld
}

// permitNode returns the node that grants the permits of a fingerprint.
func (e *Entry) permitNode(key poison.Fingerprint, now time.Time) string {
	nodes := []string{e.cfg.Settings.Node}
	for _, p := range e.member.Peers(now) {
		nodes = append(nodes, p.Node)
	}
	return poison.PermitOwner(key, nodes)
}

// obtainServerPermit allows a suspect request to run on a server only while no
// other suspect does, so that a crash can be attributed to one request.
func (e *Entry) obtainServerPermit(ctx context.Context, g *runGrant, b world.Backend, now time.Time) error {
	if !g.suspect {
		return nil
	}
	return e.obtainPermit(ctx, g, poison.ServerPermitKey(b.ID, b.Incarnation), now)
}

// returnPermits returns the permits of a run that has ended.
func (e *Entry) returnPermits(g runGrant) {
	for _, p := range g.heldPermits {
		e.background.Go(func() { e.requestPermit(e.runCtx, p.node, p.fingerprint, true, e.cfg.Now()) })
	}
}

func (e *Entry) requestPermit(ctx context.Context, node string, f poison.Fingerprint, release bool, now time.Time) vote {
	self := e.cfg.Settings.Node
	if node == self {
		return voteOf(e.grantOrRelease(f, self, release, now))
	}
	resp, err := e.callPermit(ctx, node, &entrpb.PermitRequest{Fingerprint: f[:], Release: release}, permitTimeout)
	if err != nil {
		return noReply
	}
	return voteOf(resp.Granted)
}

func (e *Entry) callPermit(ctx context.Context, node string, req *entrpb.PermitRequest, timeout time.Duration) (*entrpb.PermitResponse, error) {
	p, ok := e.peerByName(node)
	if !ok {
		return nil, Error.New("node %s is not in the cell", node)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp := &entrpb.PermitResponse{}
	return resp, Error.Wrap(e.cfg.Net.Call(ctx, p.Address, permitCall, req, resp))
}

func (e *Entry) grantOrRelease(f poison.Fingerprint, node string, release bool, now time.Time) bool {
	if release {
		e.ledger.Release(f, node)
		return true
	}
	e.ledger.RevokeIfGone(f, e.hasLeft)
	return e.ledger.Permit(f, node, now)
}

// hasLeft reports whether a node has left the cell or restarted after since.
// The incarnation of a node is its start time in nanoseconds.
func (e *Entry) hasLeft(node string, since time.Time) bool {
	if node == e.cfg.Settings.Node {
		return false
	}
	p, ok := e.peerByName(node)
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
		e.runCounts.remove(f, req.Run, req.Completed, now)
		return &entrpb.PermitResponse{Granted: true}, nil
	case req.Run != "":
		granted := e.countRunLocal(f, req.Run, req.Server, now)
		return &entrpb.PermitResponse{Granted: granted, Records: e.ledger.RecordsOf(f, now)}, nil
	}
	return &entrpb.PermitResponse{Granted: e.grantOrRelease(f, from.Node, req.Release, e.cfg.Now())}, nil
}
