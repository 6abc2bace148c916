// Package link connects the processes of a deployment. Protobuf messages are sent
// over the streams of one yamux session per called process. Both ends prove that
// they hold the deployment's shared key. Without a key, only loopback peers are
// accepted unless Config.AllowUnauthenticated is set.
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
	"slices"
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
	// maxMessageBytes limits the size of a message. Snapshots are sent in smaller
	// chunks.
	maxMessageBytes = 16 << 20
	// handshakeTimeout is the time after which an unauthenticated connection is closed.
	handshakeTimeout = 2 * time.Second
	// dialTimeout is shorter than an entry instance's lease to send to backend
	// servers, so that an unreachable peer is detected before the lease expires.
	dialTimeout = time.Second
	// keepAliveInterval is the interval between yamux keep-alive pings. A silent
	// partition closes the session after keepAliveInterval plus writeTimeout.
	keepAliveInterval = 2 * time.Second
	writeTimeout      = 2 * time.Second
	// acceptRetryDelay is the pause after a connection could not be accepted.
	acceptRetryDelay = 50 * time.Millisecond
	// maxHandshakeBytes limits the messages of a handshake, which have a few names and a code.
	maxHandshakeBytes = 4 << 10
	// maxHandshakes limits the accepted connections whose handshake is not complete. Peers need
	// a few milliseconds for theirs, so 256 suffice when all instances connect at once.
	maxHandshakes = 256
	// redialDelay prevents dialing an unreachable peer again for every call.
	redialDelay = 100 * time.Millisecond
)

// RemoteError is an error returned by the called process.
type RemoteError struct {
	Code    string // a stable error code, such as "notLeader"
	Message string
}

func (e *RemoteError) Error() string { return e.Code + ": " + e.Message }

// Peer identifies the authenticated process at the other end.
type Peer struct {
	Node       string
	DataCentre string
}

// Handler handles a call. The caller receives the code of a *RemoteError; other
// errors get the code "failed".
type Handler func(ctx context.Context, from Peer, body []byte) (proto.Message, error)

// StreamHandler handles a stream, which is closed when the handler returns.
type StreamHandler func(ctx context.Context, from Peer, s *Stream) error

// Config configures a Transport.
type Config struct {
	Node       string
	DataCentre string
	Listen     string // IP address and port
	Key        []byte // shared key; if empty, only loopback peers are accepted
	// AllowUnauthenticated accepts peers from any address without a shared key. Use it only on
	// networks that are limited to the deployment's own processes.
	AllowUnauthenticated bool
	TLS                  *tls.Config // optional; used for accepted and dialed connections
	Clock                *clock.Clock
	// DialTimeout limits one connection attempt; 0 means 1 s. TCP retransmits a SYN
	// only after 1 s, so a shorter timeout with a new attempt reaches a restarted
	// process sooner.
	DialTimeout time.Duration
	// Dial replaces the TCP dialer; tests use it to delay or cut connections.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
}

// Transport holds all connections of a process to its peers.
type Transport struct {
	cfg Config
	ln  net.Listener

	mu             sync.Mutex
	handlers       map[string]Handler
	streams        map[string]StreamHandler
	outbound       map[string]*outboundSession
	accepted       map[*yamux.Session]struct{}
	handshakes     []net.Conn // accepted and not authenticated yet, the oldest first
	countersByName map[string]*counters
	closed         bool

	totalCounters counters
	wg            sync.WaitGroup
	ctx           context.Context
	cancel        context.CancelFunc
}

// Listen opens the listener and serves connecting peers in the background.
func Listen(cfg Config) (*Transport, error) {
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
	n := &Transport{
		cfg: cfg, ln: ln, ctx: ctx, cancel: cancel,
		handlers: map[string]Handler{}, streams: map[string]StreamHandler{},
		outbound: map[string]*outboundSession{}, accepted: map[*yamux.Session]struct{}{}, countersByName: map[string]*counters{},
	}
	n.wg.Go(func() {
		for {
			conn, err := ln.Accept()
			switch {
			case errors.Is(err, net.ErrClosed):
				return
			case err != nil:
				// For example too many open files, or a peer that has gone again.
				select {
				case <-ctx.Done():
					return
				case <-time.After(acceptRetryDelay):
				}
			default:
				n.wg.Go(func() { n.serve(conn) })
			}
		}
	})
	return n, nil
}

// Addr returns the address of the listener.
func (n *Transport) Addr() string { return n.ln.Addr().String() }

// Handle registers the handler of a call. It must be registered before peers call.
func (n *Transport) Handle(name string, h Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[name] = h
}

// HandleStream registers the handler of a stream.
func (n *Transport) HandleStream(name string, h StreamHandler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.streams[name] = h
}

// Close closes all sessions and waits for running handlers.
func (n *Transport) Close() error {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return nil
	}
	n.closed = true
	n.cancel()
	sessions := make([]*yamux.Session, 0, len(n.accepted)+len(n.outbound))
	for s := range n.accepted {
		sessions = append(sessions, s)
	}
	for _, d := range n.outbound {
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
	c.KeepAliveInterval = keepAliveInterval
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = handshakeTimeout
	c.LogOutput = io.Discard
	return c
}

// serve authenticates an accepted connection and serves its streams.
func (n *Transport) serve(raw net.Conn) {
	var conn net.Conn = &countedConn{Conn: raw, transport: n}
	if n.cfg.TLS != nil {
		conn = tls.Server(conn, n.cfg.TLS)
	}
	n.beginHandshake(raw)
	peer, err := n.handshake(conn, false)
	n.endHandshake(raw)
	if err != nil {
		_ = conn.Close()
		return
	}
	session, err := yamux.Server(newFrameMerger(conn), yamuxConfig())
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
		ys, err := session.AcceptStream()
		if err != nil {
			return
		}
		n.wg.Go(func() { n.serveStream(peer, ys) })
	}
}

// beginHandshake records a connection, and closes the oldest one at the limit: strangers that
// send nothing must not keep peers from connecting.
func (n *Transport) beginHandshake(conn net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.handshakes) >= maxHandshakes {
		_ = n.handshakes[0].Close() // its handshake fails
		n.handshakes = slices.Delete(n.handshakes, 0, 1)
	}
	n.handshakes = append(n.handshakes, conn)
}

func (n *Transport) endHandshake(conn net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if i := slices.Index(n.handshakes, conn); i >= 0 {
		n.handshakes = slices.Delete(n.handshakes, i, i+1)
	}
}

func (n *Transport) serveStream(peer Peer, ys *yamux.Stream) {
	defer ys.Close()
	s := newStream(n, ys)
	var open linkpb.Open
	if s.Recv(&open) != nil {
		return
	}
	openTraffic := s.counters.snapshot()
	s.counters = n.countersForHandler(open.Name)
	s.counters.addRead(int(openTraffic.BytesReceived))
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

// reply sends the result and the response in one write.
func (n *Transport) reply(s *Stream, resp proto.Message, err error) {
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
	b, err := appendMessage(nil, res)
	if err == nil {
		b, err = appendMessage(b, resp)
	}
	if err != nil {
		n.reply(s, nil, err)
		return
	}
	_ = s.write(b)
}

// handshake exchanges names and authentication codes. Each code covers both
// nonces, the sender's name and its role (client or server), so that it cannot be
// replayed or reflected.
func (n *Transport) handshake(conn net.Conn, client bool) (Peer, error) {
	if len(n.cfg.Key) == 0 && !n.cfg.AllowUnauthenticated && !isLoopback(conn.RemoteAddr()) {
		return Peer{}, Error.New("peer %v is not on loopback and no shared key is set", conn.RemoteAddr())
	}
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return Peer{}, Error.Wrap(err)
	}
	nonce := make([]byte, 16)
	_, _ = rand.Read(nonce)
	local := &linkpb.Hello{Node: n.cfg.Node, DataCenter: n.cfg.DataCentre, Nonce: nonce}
	var remote linkpb.Hello
	if err := writeMessage(conn, local); err != nil {
		return Peer{}, err
	}
	if err := readHandshake(conn, &remote); err != nil {
		return Peer{}, err
	}
	if err := writeMessage(conn, &linkpb.Proof{Mac: n.proof(client, local, &remote)}); err != nil {
		return Peer{}, err
	}
	var proof linkpb.Proof
	if err := readHandshake(conn, &proof); err != nil {
		return Peer{}, err
	}
	if !hmac.Equal(proof.Mac, n.proof(!client, &remote, local)) {
		return Peer{}, Error.New("peer %q does not hold the shared key", remote.Node)
	}
	return Peer{Node: remote.Node, DataCentre: remote.DataCenter}, Error.Wrap(conn.SetDeadline(time.Time{}))
}

func (n *Transport) proof(client bool, from, to *linkpb.Hello) []byte {
	m := hmac.New(sha256.New, n.cfg.Key)
	role := byte('s')
	if client {
		role = 'c'
	}
	m.Write([]byte{role})
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
