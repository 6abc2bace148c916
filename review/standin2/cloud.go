package main

import (
	"io"
	"net"
	"net/http"
	"time"
)

// cloud is the platform's API. It accepts every call.
type cloud struct {
	address string
	server  *http.Server
}

func newCloud(w *world, ip string) (*cloud, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "8225"))
	if err != nil {
		return nil, err
	}
	c := &cloud{address: ln.Addr().String()}
	c.server = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		w.record("platform: %s %s holder %s token %s", r.URL.Path, b, r.Header.Get("Lease-Holder"), r.Header.Get("Fencing-Token"))
		rw.WriteHeader(http.StatusOK)
	})}
	go func() { _ = c.server.Serve(ln) }() // ends with close
	return c, nil
}

func (c *cloud) close() { _ = c.server.Close() }
