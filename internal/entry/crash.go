package entry

import (
	"context"
	"errors"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/entry/entrpb"
	"cranberrypath.example/cranberrypath/internal/event"
	"cranberrypath.example/cranberrypath/internal/link"
	"cranberrypath.example/cranberrypath/internal/member"
	"cranberrypath.example/cranberrypath/internal/poison"
	"cranberrypath.example/cranberrypath/internal/world"
)

const (
	crashCall  = "entry.crash"
	permitCall = "entry.permit"
	// crashTick bounds how late the cell learns of a crash.
	crashTick = 50 * time.Millisecond
	// probeTimeout is how long a server that broke a stream has to accept a new
	// connection before it counts as crashed.
	probeTimeout = 300 * time.Millisecond
	// restartKnown is how long a server that broke a stream has to announce
	// itself, with the same incarnation or a new one, before it counts as crashed.
	// It covers several lost announcements and pulls of 1 s each.
	restartKnown = 10 * time.Second
	// inFlight is how long an announcement may travel that was sent before a
	// crash; only later ones show that a server lives.
	inFlight    = 500 * time.Millisecond
	restartPoll = 50 * time.Millisecond
	// permitTimeout bounds the question whether a suspect may run.
	permitTimeout = 300 * time.Millisecond
)

// gate is the right of a request to run now, given what it did to servers before.
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

// pass asks whether a request may run. A suspect needs the cell's one permit for
// its fingerprint, so that it cannot crash several servers at the same time.
func (e *Entry) pass(ctx context.Context, f poison.Fingerprint, now time.Time) (gate, error) {
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
	return g, e.obtain(ctx, &g, f, now)
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
	return e.homesOf(key, now)[0]
}

// homesOf returns the nodes of the cell in the order in which they are homes of
// a key.
func (e *Entry) homesOf(key poison.Fingerprint, now time.Time) []string {
	nodes := []string{e.cfg.Settings.Node}
	for _, p := range e.member.Peers(now) {
		nodes = append(nodes, p.Node)
	}
	return poison.Homes(key, nodes)
}

// takeSlot lets a suspect run on a server only if no other suspect does, so that
// a crash shows which of them caused it.
func (e *Entry) takeSlot(ctx context.Context, g *gate, b world.Backend, now time.Time) error {
	if !g.suspect {
		return nil
	}
	return e.obtain(ctx, g, poison.Slot(b.ID, b.Incarnation), now)
}

// leave returns the permits of a run that has ended.
func (e *Entry) leave(g gate) {
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
	e.ledger.Drop(f, e.left)
	return e.ledger.Permit(f, node, now)
}

// left reports whether a node has left the cell or restarted since a time. An
// incarnation is the start of its process in nanoseconds.
func (e *Entry) left(node string, since time.Time) bool {
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
		e.entrances.exit(f, req.Run, req.Completed, now)
		return &entrpb.PermitResponse{Granted: true}, nil
	case req.Run != "":
		granted := e.enterHere(f, req.Run, req.Server, now)
		return &entrpb.PermitResponse{Granted: granted, Records: e.ledger.Of(f, now)}, nil
	}
	return &entrpb.PermitResponse{Granted: e.permit(f, from.Node, req.Release, e.cfg.Now())}, nil
}

func (e *Entry) handleCrash(_ context.Context, _ link.Peer, body []byte) (proto.Message, error) {
	var msg entrpb.Crash
	if err := proto.Unmarshal(body, &msg); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := e.ledger.Merge(msg.Records, e.cfg.Now()); err != nil {
		return nil, Error.Wrap(err)
	}
	return &entrpb.Empty{}, nil
}

// greeted remembers which peers have got everything that this node knows of crashes.
type greeted struct {
	mu    sync.Mutex
	peers map[string]uint64 // incarnation by node
}

func (g *greeted) first(node string, incarnation uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.peers == nil {
		g.peers = map[string]uint64{}
	}
	have, ok := g.peers[node]
	g.peers[node] = incarnation
	return !ok || have != incarnation
}

// tellCrashes spreads what this node learnt of crashes and stops the runs that
// are no longer allowed.
func (e *Entry) tellCrashes(now time.Time) {
	changed := e.ledger.Changed(now)
	for _, p := range e.member.Peers(now) {
		records := changed
		if e.greeted.first(p.Node, p.Incarnation) {
			records = e.ledger.All(now)
		}
		if len(records) == 0 {
			continue
		}
		e.running.Go(func() {
			ctx, cancel := context.WithTimeout(e.runs, time.Second)
			defer cancel()
			// A peer that is not reached gets the records from another one.
			_ = e.cfg.Net.Call(ctx, p.Address, crashCall, &entrpb.Crash{Records: records}, &entrpb.Empty{})
		})
	}
	for f, servers := range e.ledger.Excess(now) {
		for _, id := range servers {
			for _, a := range e.active.on(id) {
				if a.info.print == f {
					a.stop(errHeld)
				}
			}
		}
	}
}

// ended tells the ledger how a run ended. A broken connection counts as a crash
// if the server accepts no new one, turns out to have restarted or announces
// nothing more. Until that is known the run counts as running, so that a request
// which crashes servers that restart quickly does not run on a third one.
func (e *Entry) ended(f poison.Fingerprint, b world.Backend, broken, completed bool, exit func(completed bool)) {
	now := e.cfg.Now()
	switch {
	case !broken || e.reclaimed(b, now):
		e.ledger.Ended(f, b.ID, b.Incarnation, completed, now)
		exit(completed)
	case !accepts(e.runs, b.Address) || e.restarted(b, now):
		e.crashed(b.ID, b.Incarnation)
		exit(false)
	default:
		e.ledger.Broken(f, b.ID, b.Incarnation)
		e.running.Go(func() {
			defer exit(false)
			for until := now.Add(e.restart); e.cfg.Now().Before(until) && pause(e.runs, restartPoll); {
				switch at := e.cfg.Now(); {
				case e.restarted(b, at):
					e.crashed(b.ID, b.Incarnation)
					return
				case e.announcedSince(b, now.Add(inFlight), at):
					e.ledger.Ended(f, b.ID, b.Incarnation, completed, at)
					return
				}
			}
			if at := e.cfg.Now(); !e.announcedSince(b, time.Time{}, at) {
				e.crashed(b.ID, b.Incarnation)
				return
			}
			e.ledger.Ended(f, b.ID, b.Incarnation, completed, e.cfg.Now())
		})
	}
}

// announcedSince reports whether the incarnation of b announced itself after
// since, and not longer than a lease ago.
func (e *Entry) announcedSince(b world.Backend, since, now time.Time) bool {
	same := func(p member.Permit) bool {
		return p.ID == b.ID && p.Incarnation == b.Incarnation && p.At.After(since)
	}
	return slices.ContainsFunc(e.member.Permits(now), same) || slices.ContainsFunc(e.member.Announced(now), same)
}

// restarted reports whether the server has announced a newer incarnation.
func (e *Entry) restarted(b world.Backend, now time.Time) bool {
	newer := func(p member.Permit) bool { return p.ID == b.ID && p.Incarnation > b.Incarnation }
	return slices.ContainsFunc(e.member.Permits(now), newer) || slices.ContainsFunc(e.member.Announced(now), newer)
}

func (e *Entry) crashed(id string, incarnation uint64) {
	now := e.cfg.Now()
	key := id + "/" + strconv.FormatUint(incarnation, 10)
	if _, known := e.crashes.LoadOrStore(key, now); known {
		e.ledger.Crashed(id, incarnation, now)
		return
	}
	e.ledger.Crashed(id, incarnation, now)
	e.event(event.Of("backend.crashed").WithInstance(id))
}

// reclaimed reports whether the server is lost to an announced reclaim.
func (e *Entry) reclaimed(b world.Backend, now time.Time) bool {
	for _, l := range e.member.Leaving(now) {
		if l.ID == b.ID && l.Incarnation == b.Incarnation {
			return !l.LeaveBy.IsZero()
		}
	}
	return !b.LeaveBy.IsZero()
}

// accepts reports whether a server takes a connection.
func accepts(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return errors.Is(err, context.Canceled)
	}
	_ = c.Close()
	return true
}

// suspect reports whether the request is known for crashes; its failures say
// nothing about the version that ran it.
func (e *Entry) suspect(f poison.Fingerprint, now time.Time) bool {
	return e.ledger.State(f, now) != poison.Clear
}
