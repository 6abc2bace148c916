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

// heldPermit is a permit and the instance that granted it.
type heldPermit struct {
	fingerprint poison.Fingerprint
	instance    string
}

var (
	errCrashesServers            = Error.New("the request was running on two backend servers when they crashed")
	errSuspectHeld               = Error.New("the request is suspected of crashing servers and must wait")
	errPermitInstanceUnreachable = Error.New("the instance that holds the permit of a suspected request does not answer")
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

// obtainPermit requests a permit from the instance that grants it. The error is
// errSuspectHeld if another run has the permit, and errPermitInstanceUnreachable if
// the instance does not reply.
func (e *Entry) obtainPermit(ctx context.Context, g *runGrant, key poison.Fingerprint, now time.Time) error {
	instance := e.permitInstance(key, now)
	switch e.requestPermit(ctx, instance, key, false, now) {
	case voteGranted:
		g.heldPermits = append(g.heldPermits, heldPermit{key, instance})
		return nil
	case noReply:
		// The reply may have been lost. Release the permit, so that it does not
		// stay assigned without use.
		e.background.Go(func() { e.requestPermit(context.WithoutCancel(e.runCtx), instance, key, true, e.cfg.Now()) })
		return errPermitInstanceUnreachable
	}
	return errSuspectHeld
}

// permitInstance returns the instance that grants the permits of a fingerprint.
func (e *Entry) permitInstance(key poison.Fingerprint, now time.Time) string {
	instances := []string{e.cfg.Settings.Node}
	for _, p := range e.member.Peers(now) {
		instances = append(instances, p.Instance)
	}
	return poison.PermitOwner(key, instances)
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
		e.background.Go(func() { e.requestPermit(e.runCtx, p.instance, p.fingerprint, true, e.cfg.Now()) })
	}
}

func (e *Entry) requestPermit(ctx context.Context, instance string, f poison.Fingerprint, release bool, now time.Time) vote {
	self := e.cfg.Settings.Node
	if instance == self {
		return voteOf(e.grantOrRelease(f, self, release, now))
	}
	resp, err := e.callPermit(ctx, instance, &entrpb.PermitRequest{Fingerprint: f[:], Release: release}, permitTimeout)
	if err != nil {
		return noReply
	}
	return voteOf(resp.Granted)
}

func (e *Entry) callPermit(ctx context.Context, instance string, req *entrpb.PermitRequest, timeout time.Duration) (*entrpb.PermitResponse, error) {
	p, ok := e.peerByName(instance)
	if !ok {
		return nil, Error.New("node %s is not in the cell", instance)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp := &entrpb.PermitResponse{}
	return resp, Error.Wrap(e.cfg.Net.Call(ctx, p.Address, permitCall, req, resp))
}

func (e *Entry) grantOrRelease(f poison.Fingerprint, instance string, release bool, now time.Time) bool {
	if release {
		e.ledger.Release(f, instance)
		return true
	}
	e.ledger.RevokeIfGone(f, e.hasLeft)
	return e.ledger.Permit(f, instance, now)
}

// hasLeft reports whether an instance has left the cell or restarted after since.
// The incarnation of an instance is its start time in nanoseconds.
func (e *Entry) hasLeft(instance string, since time.Time) bool {
	if instance == e.cfg.Settings.Node {
		return false
	}
	p, ok := e.peerByName(instance)
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
