package link

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/hashicorp/yamux"
)

// dialed is the session to one address. Net.mu guards it.
type dialed struct {
	session *yamux.Session
	failed  time.Time
	err     error
	attempt chan struct{} // closed at the end of the attempt that runs, or nil
}

// session returns the open session to addr or waits, at most until ctx ends, for
// a new one. Callers share one attempt, which none of them can cancel.
func (n *Net) session(ctx context.Context, addr string) (*yamux.Session, error) {
	n.mu.Lock()
	d := n.dialed[addr]
	if d == nil {
		d = &dialed{}
		n.dialed[addr] = d
	}
	switch {
	case n.closed:
		n.mu.Unlock()
		return nil, Error.New("closed")
	case d.session != nil && !d.session.IsClosed():
		s := d.session
		n.mu.Unlock()
		return s, nil
	case d.attempt == nil && d.err != nil && time.Since(d.failed) < redialPause:
		err := d.err
		n.mu.Unlock()
		return nil, err
	case d.attempt == nil:
		d.attempt = make(chan struct{})
		n.wg.Go(func() { n.redial(d, addr) })
	}
	attempt := d.attempt
	n.mu.Unlock()
	select {
	case <-attempt:
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

func (n *Net) redial(d *dialed, addr string) {
	session, err := n.dial(addr)
	n.mu.Lock()
	closed := n.closed
	if closed && session != nil {
		defer session.Close()
		session, err = nil, Error.New("closed")
	}
	d.session, d.err, d.failed = session, err, time.Now()
	close(d.attempt)
	d.attempt = nil
	n.mu.Unlock()
}

func (n *Net) dial(addr string) (*yamux.Session, error) {
	ctx, cancel := context.WithTimeout(n.ctx, n.cfg.DialTimeout)
	defer cancel()
	raw, err := n.cfg.Dial(ctx, addr)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var conn net.Conn = &countedConn{Conn: raw, net: n}
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
	session, err := yamux.Client(newMerger(conn), yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return nil, Error.Wrap(err)
	}
	return session, nil
}
