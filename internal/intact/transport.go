package intact

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.Transport that returns an error instead of a broken response.
type Transport struct {
	*http.Transport
}

// NewTransport returns a transport that uses base, whose dial functions it replaces. It speaks
// HTTP/1 only.
func NewTransport(base *http.Transport) Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return NewConn(nc), nil
	}
	base.DialTLSContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		return dialTLS(ctx, dial, base.TLSClientConfig, network, addr)
	}
	return Transport{base}
}

func dialTLS(ctx context.Context, dial func(ctx context.Context, network, addr string) (net.Conn, error), cfg *tls.Config, network, addr string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	nc, err := dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	if cfg = cfg.Clone(); cfg == nil {
		cfg = &tls.Config{MinVersion: tls.VersionTLS12}
	}
	if cfg.ServerName == "" {
		cfg.ServerName = host
	}
	tc := tls.Client(nc, cfg)
	if err := tc.HandshakeContext(ctx); err != nil {
		_ = nc.Close() // nothing was sent
		return nil, err
	}
	return NewConn(tc), nil
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*Conn); ok {
			_ = c.ExpectHead(nil) // fails only for bytes that were read already
		}
	}}
	return t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
}
