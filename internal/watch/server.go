// Package watch keeps the configuration of entry instances current and carries
// their reports to control.
//
// A control member answers a watch only after a linearizable barrier that it
// began after the request arrived. The entry instance may therefore treat its
// configuration as current as of the time at which it sent the request, and stops
// taking new work when the last such time is too long ago: a newer configuration
// could have been accepted by a majority that it does not see.
package watch

import (
	"context"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/link"
	"cranberrypath.example/cranberrypath/internal/store"
	"cranberrypath.example/cranberrypath/internal/watch/watcpb"
)

// Error is the class of this package's errors.
var Error = errs.Class("watch")

const (
	// maxWait bounds a long poll.
	maxWait = time.Second
	// barrierTimeout bounds a barrier. An election takes up to a second; a
	// watcher has asked another member by then.
	barrierTimeout = 500 * time.Millisecond
	callWatch      = "watch"
	callReport     = "report"
)

// Log is the part of the replicated log that the server uses. When Barrier
// returns, the local store must hold every command that was committed before
// the call.
type Log interface {
	Barrier(ctx context.Context) (uint64, error)
}

// Net is the part of link.Net that this package uses.
type Net interface {
	Call(ctx context.Context, addr, name string, req, resp proto.Message) error
	Handle(name string, h link.Handler)
}

// Section answers one section of a report. from is the node that sent it.
type Section func(ctx context.Context, from link.Peer, body []byte, now time.Time) ([]byte, error)

// ServerConfig sets up a Server.
type ServerConfig struct {
	Net   Net
	Log   Log
	Store *store.Store
	// Leader returns the peer address of the leader of the configuration group
	// and whether this process is it and holds its lease. Only the leader
	// answers reports.
	Leader func() (addr string, leads bool)
	Clock  func() time.Time
}

// Server is the control side.
type Server struct {
	cfg      ServerConfig
	barriers *batch

	mu       sync.Mutex
	sections map[string]Section
	config   uint64 // version that deltas belong to
	deltas   map[uint64][]byte
}

// NewServer answers watches and reports that arrive on the configured net.
func NewServer(cfg ServerConfig) *Server {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	s := &Server{cfg: cfg, barriers: newBatch(cfg.Log), sections: map[string]Section{}, deltas: map[uint64][]byte{}}
	cfg.Net.Handle(callWatch, s.watch)
	cfg.Net.Handle(callReport, s.report)
	return s
}

// Close makes the server refuse what still arrives and waits for the barrier that
// runs. Close the net first, so that no handler runs any more.
func (s *Server) Close() { s.barriers.close() }

// Handle registers the handler of a section of reports. A section without one is
// ignored, so that entry instances of a newer release can report to this one.
func (s *Server) Handle(section string, h Section) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sections[section] = h
}

func (s *Server) watch(ctx context.Context, _ link.Peer, body []byte) (proto.Message, error) {
	var req watcpb.WatchRequest
	if err := proto.Unmarshal(body, &req); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := s.barriers.wait(ctx); err != nil {
		return nil, &link.RemoteError{Code: "notCurrent", Message: err.Error()}
	}
	v := s.cfg.Store.View()
	t := time.NewTimer(min(time.Duration(req.WaitMs)*time.Millisecond, maxWait))
	defer t.Stop()
	for v.Config <= req.Held {
		select {
		case <-s.cfg.Store.Changed(v.Version):
			v = s.cfg.Store.View()
			continue
		case <-t.C:
		case <-ctx.Done():
			return nil, Error.Wrap(ctx.Err())
		}
		break
	}
	resp := &watcpb.WatchResponse{Version: v.Config}
	if v.Config > req.Held {
		resp.Delta = s.delta(v, req.Held)
	}
	return resp, nil
}

// delta returns v.Delta(held), computed once for all watchers that hold the same.
func (s *Server) delta(v *store.View, held uint64) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v.Config != s.config {
		s.config = v.Config
		clear(s.deltas)
	}
	d, ok := s.deltas[held]
	if !ok {
		d = v.Delta(held)
		s.deltas[held] = d
	}
	return d
}

func (s *Server) report(ctx context.Context, from link.Peer, body []byte) (proto.Message, error) {
	if addr, leads := s.cfg.Leader(); !leads {
		return nil, &link.RemoteError{Code: "notLeader", Message: addr}
	}
	var req watcpb.Sections
	if err := proto.Unmarshal(body, &req); err != nil {
		return nil, Error.Wrap(err)
	}
	now := s.cfg.Clock()
	resp := &watcpb.Sections{Sections: map[string][]byte{}}
	for name, b := range req.Sections {
		s.mu.Lock()
		h := s.sections[name]
		s.mu.Unlock()
		if h == nil {
			continue
		}
		out, err := h(ctx, from, b, now)
		if err != nil {
			return nil, Error.New("section %s: %v", name, err)
		}
		resp.Sections[name] = out
	}
	return resp, nil
}

// batch lets the requests that wait for a barrier share one. A barrier that has
// begun already does not count for a request that arrives later.
type batch struct {
	log  Log
	kick chan struct{} // holds a token while next is set and not begun

	mu   sync.Mutex
	next *barrier

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

type barrier struct {
	done chan struct{}
	err  error
}

func newBatch(log Log) *batch {
	ctx, cancel := context.WithCancel(context.Background())
	b := &batch{log: log, kick: make(chan struct{}, 1), ctx: ctx, cancel: cancel}
	b.wg.Go(func() {
		for {
			select {
			case <-b.kick:
				b.run()
			case <-ctx.Done():
				return
			}
		}
	})
	return b
}

func (b *batch) close() {
	b.cancel()
	b.wg.Wait()
}

func (b *batch) wait(ctx context.Context) error {
	b.mu.Lock()
	if b.next == nil {
		b.next = &barrier{done: make(chan struct{})}
		b.kick <- struct{}{} // never blocks: the token of the last one was taken with it
	}
	r := b.next
	b.mu.Unlock()
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	case <-b.ctx.Done():
		return Error.New("closed")
	}
}

// run performs the next barrier, bounded by barrierTimeout.
func (b *batch) run() {
	b.mu.Lock()
	r := b.next
	b.next = nil
	b.mu.Unlock()
	ctx, cancel := context.WithTimeout(b.ctx, barrierTimeout)
	defer cancel()
	_, err := b.log.Barrier(ctx)
	r.err = Error.Wrap(err)
	close(r.done)
}
