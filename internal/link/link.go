// Package link connects the system's processes: one yamux session for each
// process that this one calls, and protobuf messages on its streams. Both ends
// prove that they hold the deployment's shared key; without a key only loopback
// peers are accepted.
package link

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/clock"
	"cranberrypath.example/cranberrypath/internal/link/linkpb"
)

// Error is the class of this package's errors.
var Error = errs.Class("link")

const (
	// maxFrameBytes bounds one message. Snapshots are sent in chunks below it.
	maxFrameBytes = 16 << 20
	// handshakeTimeout bounds the time until an unauthenticated connection is closed.
	handshakeTimeout = 2 * time.Second
	// dialTimeout is shorter than a send permission, so that an unreachable
	// peer is noticed before the permission lapses.
	dialTimeout = time.Second
	// keepAlive is how often an idle session checks its peer. A silent partition
	// ends the session after keepAlive plus writeTimeout.
	keepAlive    = 2 * time.Second
	writeTimeout = 2 * time.Second
	// redialPause keeps a process from dialing a dead peer for every call.
	redialPause = 100 * time.Millisecond
)

// RemoteError is an error that the called process returned.
type RemoteError struct {
	Code    string // a stable word, such as "notLeader"
	Message string
}

func (e *RemoteError) Error() string { return e.Code + ": " + e.Message }

// Peer is the authenticated process at the other end.
type Peer struct {
	Node       string
	DataCenter string
}

// Handler answers one call. An error of type *RemoteError keeps its code.
type Handler func(ctx context.Context, from Peer, body []byte) (proto.Message, error)

// StreamHandler serves one stream until it returns.
type StreamHandler func(ctx context.Context, from Peer, s *Stream) error

// Config sets up a Net.
type Config struct {
	Node       string
	DataCenter string
	Listen     string // IP address and port
	Key        []byte // shared key; empty restricts peers to loopback
	// AnyPeer accepts peers without a key from everywhere, for networks that only
	// the deployment's own processes reach.
	AnyPeer bool
	TLS     *tls.Config // optional, used for both directions
	Clock   *clock.Clock
	// DialTimeout bounds one attempt to connect; 0 means 1 s. The opening packet to a
	// process that is not there yet is sent again after a second only, so a shorter
	// bound finds a restarted one sooner.
	DialTimeout time.Duration
	// Dial replaces the TCP dialer, so that tests can delay and cut links.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
}

// Net is one process's end of all its links.
type Net struct {
	cfg Config
	ln  net.Listener

	mu       sync.Mutex
	handlers map[string]Handler
	streams  map[string]StreamHandler
	dialed   map[string]*dialed
	accepted map[*yamux.Session]struct{}
	byName   map[string]*counters
	closed   bool

	total  counters
	wg     sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
}

// Listen opens the listener and serves the peers that connect.
func Listen(cfg Config) (*Net, error) {
	if cfg.Clock == nil {
		cfg.Clock = &clock.Clock{}
	}
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = dialTimeout
	}
	if cfg.Dial == nil {
		d := net.Dialer{Timeout: cfg.DialTimeout}
		cfg.Dial = func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) }
	}
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Net{
		cfg: cfg, ln: ln, ctx: ctx, cancel: cancel,
		handlers: map[string]Handler{}, streams: map[string]StreamHandler{},
		dialed: map[string]*dialed{}, accepted: map[*yamux.Session]struct{}{}, byName: map[string]*counters{},
	}
	n.wg.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			n.wg.Go(func() { n.serve(conn) })
		}
	})
	return n, nil
}

// Addr returns the address of the listener.
func (n *Net) Addr() string { return n.ln.Addr().String() }

// Handle registers the handler of a call. It must be set before peers call it.
func (n *Net) Handle(name string, h Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[name] = h
}

// HandleStream registers the handler of a stream.
func (n *Net) HandleStream(name string, h StreamHandler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.streams[name] = h
}

// Close ends all sessions and waits for the handlers that run.
func (n *Net) Close() error {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return nil
	}
	n.closed = true
	n.cancel()
	sessions := make([]*yamux.Session, 0, len(n.accepted)+len(n.dialed))
	for s := range n.accepted {
		sessions = append(sessions, s)
	}
	for _, d := range n.dialed {
		if d.session != nil {
			sessions = append(sessions, d.session)
		}
	}
	n.mu.Unlock()
	err := n.ln.Close()
	for _, s := range sessions {
		_ = s.Close()
	}
	n.wg.Wait()
	return Error.Wrap(err)
}

func yamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.KeepAliveInterval = keepAlive
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = handshakeTimeout
	c.LogOutput = io.Discard
	return c
}

// serve authenticates one accepted connection and serves its streams.
func (n *Net) serve(raw net.Conn) {
	var conn net.Conn = &countedConn{Conn: raw, net: n}
	if n.cfg.TLS != nil {
		conn = tls.Server(conn, n.cfg.TLS)
	}
	peer, err := n.handshake(conn, false)
	if err != nil {
		_ = conn.Close()
		return
	}
	session, err := yamux.Server(newMerger(conn), yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	defer session.Close()
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return
	}
	n.accepted[session] = struct{}{}
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		delete(n.accepted, session)
		n.mu.Unlock()
	}()
	for {
		y, err := session.AcceptStream()
		if err != nil {
			return
		}
		n.wg.Go(func() { n.serveStream(peer, y) })
	}
}

func (n *Net) serveStream(peer Peer, y *yamux.Stream) {
	defer y.Close()
	s := newStream(n, y)
	var open linkpb.Open
	if s.Recv(&open) != nil {
		return
	}
	first := s.count.traffic()
	s.count = n.counters(open.Name)
	s.count.read(int(first.BytesReceived))
	n.cfg.Clock.Observe(clock.Stamp(open.Stamp))
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	if open.TimeoutMs > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, time.Duration(open.TimeoutMs)*time.Millisecond)
		defer stop()
	}
	n.mu.Lock()
	call, stream := n.handlers[open.Name], n.streams[open.Name]
	n.mu.Unlock()
	switch {
	case call != nil:
		body, err := s.recvBytes()
		if err != nil {
			return
		}
		resp, err := call(ctx, peer, body)
		n.reply(s, resp, err)
	case stream != nil:
		n.reply(s, nil, stream(ctx, peer, s))
	default:
		n.reply(s, nil, &RemoteError{Code: "unknownCall", Message: open.Name})
	}
}

// reply sends the result and the response as one write.
func (n *Net) reply(s *Stream, resp proto.Message, err error) {
	res := &linkpb.Result{Stamp: uint64(n.cfg.Clock.Now(time.Now()))}
	if err != nil {
		res.Code, res.Message = "failed", err.Error()
		var re *RemoteError
		if errors.As(err, &re) {
			res.Code, res.Message = re.Code, re.Message
		}
		_ = s.Send(res)
		return
	}
	if resp == nil {
		_ = s.Send(res)
		return
	}
	b, err := appendFrame(nil, res)
	if err == nil {
		b, err = appendFrame(b, resp)
	}
	if err != nil {
		n.reply(s, nil, err)
		return
	}
	_ = s.write(b)
}

// handshake exchanges names and proofs. Each proof covers both nonces, the
// sender's name and its side, so that it cannot be replayed or reflected.
func (n *Net) handshake(conn net.Conn, client bool) (Peer, error) {
	if len(n.cfg.Key) == 0 && !n.cfg.AnyPeer && !isLoopback(conn.RemoteAddr()) {
		return Peer{}, Error.New("peer %v is not on loopback and no shared key is set", conn.RemoteAddr())
	}
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return Peer{}, Error.Wrap(err)
	}
	nonce := make([]byte, 16)
	_, _ = rand.Read(nonce)
	mine := &linkpb.Hello{Node: n.cfg.Node, DataCenter: n.cfg.DataCenter, Nonce: nonce}
	var theirs linkpb.Hello
	if err := writeFrame(conn, mine); err != nil {
		return Peer{}, err
	}
	if err := readFrame(conn, &theirs); err != nil {
		return Peer{}, err
	}
	if err := writeFrame(conn, &linkpb.Proof{Mac: n.proof(client, mine, &theirs)}); err != nil {
		return Peer{}, err
	}
	var proof linkpb.Proof
	if err := readFrame(conn, &proof); err != nil {
		return Peer{}, err
	}
	if !hmac.Equal(proof.Mac, n.proof(!client, &theirs, mine)) {
		return Peer{}, Error.New("peer %q does not hold the shared key", theirs.Node)
	}
	return Peer{Node: theirs.Node, DataCenter: theirs.DataCenter}, Error.Wrap(conn.SetDeadline(time.Time{}))
}

func (n *Net) proof(client bool, from, to *linkpb.Hello) []byte {
	m := hmac.New(sha256.New, n.cfg.Key)
	side := byte('s')
	if client {
		side = 'c'
	}
	m.Write([]byte{side})
	m.Write(from.Nonce)
	m.Write(to.Nonce)
	m.Write([]byte(from.Node))
	m.Write([]byte{0})
	m.Write([]byte(from.DataCenter))
	return m.Sum(nil)
}

func isLoopback(a net.Addr) bool {
	host, _, err := net.SplitHostPort(a.String())
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}
