// Package watch keeps the configuration of entry instances up to date and sends
// their reports to control.
//
// A control member answers a watch request only after a linearizable barrier that
// started after the request arrived. The entry instance may therefore treat its
// configuration as current at the time at which it sent the request. It stops
// accepting work when the last such time is too long ago, because a majority that
// it cannot reach could have accepted a newer configuration.
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

// Error is the error class of this package.
var Error = errs.Class("watch")

const (
	// maxPollWait limits the duration of a long poll.
	maxPollWait = time.Second
	// barrierTimeout limits a barrier. It need not cover an election, which takes
	// up to a second: the watcher polls another member meanwhile.
	barrierTimeout = 500 * time.Millisecond
	watchCall      = "watch"
	reportCall     = "report"
)

// Log is the subset of the replicated log that the server uses. When Barrier
// returns, the local store must hold every command that was committed before
// the call.
type Log interface {
	Barrier(ctx context.Context) (uint64, error)
}

// Net is the subset of link.Net that this package uses.
type Net interface {
	Call(ctx context.Context, addr, name string, req, resp proto.Message) error
	Handle(name string, h link.Handler)
}

// SectionHandler handles one section of a report from an instance and returns the reply.
type SectionHandler func(ctx context.Context, from link.Peer, body []byte, now time.Time) ([]byte, error)

// ServerConfig configures a Server.
type ServerConfig struct {
	Net   Net
	Log   Log
	Store *store.Store
	// Leader returns the peer address of the leader of the configuration group,
	// and whether this process is the leader and holds the lease. Only the leader
	// answers reports.
	Leader func() (addr string, leads bool)
	Clock  func() time.Time
}

// Server handles watch requests and reports on a control member.
type Server struct {
	cfg      ServerConfig
	barriers *barrierBatcher

	mu           sync.Mutex
	sections     map[string]SectionHandler
	deltaVersion uint64 // configuration version to which deltas lead
	deltas       map[uint64][]byte
}

// NewServer registers handlers for watch requests and reports on cfg.Net.
func NewServer(cfg ServerConfig) *Server {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	s := &Server{cfg: cfg, barriers: newBarrierBatcher(cfg.Log), sections: map[string]SectionHandler{}, deltas: map[uint64][]byte{}}
	cfg.Net.Handle(watchCall, s.watch)
	cfg.Net.Handle(reportCall, s.report)
	return s
}

// Close rejects further requests and waits for the barrier in progress. Close
// cfg.Net first, so that no handler is running.
func (s *Server) Close() { s.barriers.close() }

// Handle registers the handler of a report section. Sections without a handler are
// ignored, so that entry instances of a newer release can report to this one.
func (s *Server) Handle(section string, h SectionHandler) {
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
	view := s.cfg.Store.View()
	t := time.NewTimer(min(time.Duration(req.WaitMs)*time.Millisecond, maxPollWait))
	defer t.Stop()
	for view.Config <= req.Held {
		select {
		case <-s.cfg.Store.Changed(view.Version):
			view = s.cfg.Store.View()
			continue
		case <-t.C:
		case <-ctx.Done():
			return nil, Error.Wrap(ctx.Err())
		}
		break
	}
	resp := &watcpb.WatchResponse{Version: view.Config}
	if view.Config > req.Held {
		resp.Delta = s.delta(view, req.Held)
	}
	return resp, nil
}

// delta returns v.Delta(sinceVersion) and caches it for other watchers with the same version.
func (s *Server) delta(v *store.View, sinceVersion uint64) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v.Config != s.deltaVersion {
		s.deltaVersion = v.Config
		clear(s.deltas)
	}
	d, ok := s.deltas[sinceVersion]
	if !ok {
		d = v.Delta(sinceVersion)
		s.deltas[sinceVersion] = d
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

// barrierBatcher shares one barrier among the requests that arrive before it
// starts. A barrier that has started is not valid for later requests.
type barrierBatcher struct {
	log     Log
	pending chan struct{} // signals that next is set and has not started

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

func newBarrierBatcher(log Log) *barrierBatcher {
	ctx, cancel := context.WithCancel(context.Background())
	b := &barrierBatcher{log: log, pending: make(chan struct{}, 1), ctx: ctx, cancel: cancel}
	b.wg.Go(func() {
		for {
			select {
			case <-b.pending:
				b.run()
			case <-ctx.Done():
				return
			}
		}
	})
	return b
}

func (b *barrierBatcher) close() {
	b.cancel()
	b.wg.Wait()
}

func (b *barrierBatcher) wait(ctx context.Context) error {
	b.mu.Lock()
	if b.next == nil {
		b.next = &barrier{done: make(chan struct{})}
		b.pending <- struct{}{} // never blocks: run receives the previous signal before it clears next
	}
	next := b.next
	b.mu.Unlock()
	select {
	case <-next.done:
		return next.err
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	case <-b.ctx.Done():
		return Error.New("closed")
	}
}

// run performs the next barrier, limited by barrierTimeout.
func (b *barrierBatcher) run() {
	b.mu.Lock()
	next := b.next
	b.next = nil
	b.mu.Unlock()
	ctx, cancel := context.WithTimeout(b.ctx, barrierTimeout)
	defer cancel()
	_, err := b.log.Barrier(ctx)
	next.err = Error.Wrap(err)
	close(next.done)
}
