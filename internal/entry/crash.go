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
	// crashInterval is how often new crash records are sent to the cell.
	crashInterval = 50 * time.Millisecond
	// probeTimeout is how long a server that broke a stream has to accept a new
	// connection before it counts as crashed.
	probeTimeout = 300 * time.Millisecond
	// defaultRestartGrace is how long a server that broke a stream has to
	// announce itself, with the same incarnation or a new one, before it counts
	// as crashed. It covers several lost announcements and pulls at intervals
	// of 1 s.
	defaultRestartGrace = 10 * time.Second
	// maxAnnouncementDelay is how long an announcement sent before a crash may
	// be in flight. Only later announcements show that a server is alive.
	maxAnnouncementDelay = 500 * time.Millisecond
	restartPollInterval  = 50 * time.Millisecond
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

// syncedPeers records which peers have received all crash records of this instance.
type syncedPeers struct {
	mu           sync.Mutex
	incarnations map[string]uint64 // by instance
}

// markSynced marks an incarnation of a peer as synced and reports whether that
// is new.
func (s *syncedPeers) markSynced(instance string, incarnation uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.incarnations == nil {
		s.incarnations = map[string]uint64{}
	}
	known, ok := s.incarnations[instance]
	s.incarnations[instance] = incarnation
	return !ok || known != incarnation
}

// propagateCrashes sends new crash records to the peers and stops the runs that
// are no longer allowed.
func (e *Entry) propagateCrashes(now time.Time) {
	changed := e.ledger.TakeChanges(now)
	for _, p := range e.member.Peers(now) {
		records := changed
		if e.syncedPeers.markSynced(p.Instance, p.Incarnation) {
			records = e.ledger.AllRecords(now)
		}
		if len(records) == 0 {
			continue
		}
		e.background.Go(func() {
			ctx, cancel := context.WithTimeout(e.runCtx, time.Second)
			defer cancel()
			// A peer that cannot be reached gets the records from another peer.
			_ = e.cfg.Net.Call(ctx, p.Address, crashCall, &entrpb.Crash{Records: records}, &entrpb.Empty{})
		})
	}
	for f, servers := range e.ledger.RunsToCancel(now) {
		for _, id := range servers {
			for _, a := range e.attempts.onBackend(id) {
				if a.info.fingerprint == f {
					a.stop(errSuspectHeld)
				}
			}
		}
	}
}

// recordRunEnd records in the ledger how a run ended. A broken connection
// counts as a crash if the server accepts no new connection, turns out to have
// restarted or stops announcing itself. Until that is known the run counts as
// running, so that a request which crashes servers that restart quickly does
// not run on a third server.
func (e *Entry) recordRunEnd(f poison.Fingerprint, b world.Backend, broken, completed bool, endRun func(completed bool)) {
	now := e.cfg.Now()
	if !broken || e.reclaimed(b, now) {
		e.ledger.Ended(f, b.ID, b.Incarnation, completed, now)
		endRun(completed)
		return
	}
	e.ledger.MaybeCrashed(f, b.ID, b.Incarnation)
	if !acceptsConnection(e.runCtx, b.Address) || e.restarted(b, now) {
		e.recordCrash(b.ID, b.Incarnation)
		endRun(false)
		return
	}
	e.background.Go(func() {
		defer endRun(false)
		for deadline := now.Add(e.restartGrace); e.cfg.Now().Before(deadline) && sleep(e.runCtx, restartPollInterval); {
			switch at := e.cfg.Now(); {
			case e.restarted(b, at):
				e.recordCrash(b.ID, b.Incarnation)
				return
			case e.announcedSince(b, now.Add(maxAnnouncementDelay), at):
				e.ledger.Ended(f, b.ID, b.Incarnation, completed, at)
				return
			}
		}
		if at := e.cfg.Now(); !e.announcedSince(b, time.Time{}, at) {
			e.recordCrash(b.ID, b.Incarnation)
			return
		}
		e.ledger.Ended(f, b.ID, b.Incarnation, completed, e.cfg.Now())
	})
}

// announcedSince reports whether the incarnation of b has announced itself
// after since and within the last lease.
func (e *Entry) announcedSince(b world.Backend, since, now time.Time) bool {
	announced := func(p member.Permit) bool {
		return p.ID == b.ID && p.Incarnation == b.Incarnation && p.AnnouncedAt.After(since)
	}
	return slices.ContainsFunc(e.member.Permits(now), announced) || slices.ContainsFunc(e.member.AnnouncedServers(now), announced)
}

// restarted reports whether the server has announced a newer incarnation.
func (e *Entry) restarted(b world.Backend, now time.Time) bool {
	newer := func(p member.Permit) bool { return p.ID == b.ID && p.Incarnation > b.Incarnation }
	return slices.ContainsFunc(e.member.Permits(now), newer) || slices.ContainsFunc(e.member.AnnouncedServers(now), newer)
}

func (e *Entry) recordCrash(id string, incarnation uint64) {
	now := e.cfg.Now()
	key := id + "/" + strconv.FormatUint(incarnation, 10)
	if _, known := e.knownCrashes.LoadOrStore(key, now); known {
		e.ledger.Crashed(id, incarnation, now)
		return
	}
	e.ledger.Crashed(id, incarnation, now)
	e.recordEvent(event.Of("backend.crashed").WithInstance(id))
}

// reclaimed reports whether the server is subject to an announced reclaim.
func (e *Entry) reclaimed(b world.Backend, now time.Time) bool {
	for _, l := range e.member.LeavingServers(now) {
		if l.ID == b.ID && l.Incarnation == b.Incarnation {
			return !l.LeaveBy.IsZero()
		}
	}
	return !b.LeaveBy.IsZero()
}

// acceptsConnection reports whether a server accepts a TCP connection.
func acceptsConnection(ctx context.Context, addr string) bool {
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

// isSuspect reports whether the request is involved in crashes. The failures of
// such a request say nothing about the version that ran it.
func (e *Entry) isSuspect(f poison.Fingerprint, now time.Time) bool {
	return e.ledger.State(f, now) != poison.Clear
}
