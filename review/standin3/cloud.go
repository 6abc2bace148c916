package main

import (
	"io"
	"net"
	"net/http"
)

// cloud is a stand-in for the API of the platform, which accepts all calls.
type cloud struct {
	address string
	server  *http.Server
}

func startCloud(w *world) (*cloud, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(w.ip(), "0"))
	if err != nil {
		return nil, err
	}
	c := &cloud{address: ln.Addr().String()}
	c.server = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.recordf("platform: %s from %s token %s %s", r.URL.Path, r.Header.Get("Lease-Holder"), r.Header.Get("Fencing-Token"), body)
		rw.WriteHeader(http.StatusOK)
	})}
	go func() { _ = c.server.Serve(ln) }()
	return c, nil
}

func (c *cloud) close() { _ = c.server.Close() }
