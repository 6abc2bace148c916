package link

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/hashicorp/yamux"
)

// outboundSession is the session to an address. Net.mu guards its fields.
type outboundSession struct {
	session  *yamux.Session
	dialedAt time.Time
	err      error
	dialing  chan struct{} // closed when the dial attempt in progress ends; nil if there is none
}

// session returns the open session to addr, or waits for a new one until ctx is
// done. Concurrent callers share one dial attempt, which none of them can cancel.
func (n *Net) session(ctx context.Context, addr string) (*yamux.Session, error) {
	n.mu.Lock()
	d := n.outbound[addr]
	if d == nil {
		d = &outboundSession{}
		n.outbound[addr] = d
	}
	switch {
	case n.closed:
		n.mu.Unlock()
		return nil, Error.New("closed")
	case d.session != nil && !d.session.IsClosed():
		s := d.session
		n.mu.Unlock()
		return s, nil
	case d.dialing == nil && d.err != nil && time.Since(d.dialedAt) < redialDelay:
		err := d.err
		n.mu.Unlock()
		return nil, err
	case d.dialing == nil:
		d.dialing = make(chan struct{})
		n.wg.Go(func() { n.redial(d, addr) })
	}
	dialing := d.dialing
	n.mu.Unlock()
	select {
	case <-dialing:
	case <-ctx.Done():
		return nil, Error.Wrap(ctx.Err())
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if d.session == nil && d.err == nil {
		return nil, Error.New("closed")
	}
	return d.session, d.err
}

func (n *Net) redial(d *outboundSession, addr string) {
	session, err := n.dial(addr)
	n.mu.Lock()
	closed := n.closed
	if closed && session != nil {
		defer session.Close()
		session, err = nil, Error.New("closed")
	}
	d.session, d.err, d.dialedAt = session, err, time.Now()
	close(d.dialing)
	d.dialing = nil
	n.mu.Unlock()
}

func (n *Net) dial(addr string) (*yamux.Session, error) {
	ctx, cancel := context.WithTimeout(n.ctx, n.cfg.DialTimeout)
	defer cancel()
	raw, err := n.cfg.Dial(ctx, addr)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var conn net.Conn = &countedConn{Conn: raw, transport: n}
	if n.cfg.TLS != nil {
		conn = tls.Client(conn, n.cfg.TLS)
	}
	stop := context.AfterFunc(n.ctx, func() { _ = raw.Close() })
	_, err = n.handshake(conn, true)
	if !stop() && err == nil {
		err = Error.New("closed")
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	session, err := yamux.Client(newFrameMerger(conn), yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return nil, Error.Wrap(err)
	}
	return session, nil
}
