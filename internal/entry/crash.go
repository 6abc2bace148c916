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
	crashCall = "entry.crash"
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
)

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

// informed remembers which peers have got everything that this node knows of crashes.
type informed struct {
	mu    sync.Mutex
	peers map[string]uint64 // incarnation by node
}

func (g *informed) first(node string, incarnation uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.peers == nil {
		g.peers = map[string]uint64{}
	}
	have, ok := g.peers[node]
	g.peers[node] = incarnation
	return !ok || have != incarnation
}

// spreadCrashes spreads what this node learnt of crashes and stops the runs that
// are no longer allowed.
func (e *Entry) spreadCrashes(now time.Time) {
	changed := e.ledger.Changed(now)
	for _, p := range e.member.Peers(now) {
		records := changed
		if e.informed.first(p.Node, p.Incarnation) {
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
				if a.info.fingerprint == f {
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
