package main

import (
	"io"
	"net"
	"net/http"
	"sync"
)

// cloud is the stand-in of the platform's API. It accepts every call.
type cloud struct {
	rec  *record
	addr string
	srv  *http.Server

	mu     sync.Mutex
	holder string // of the last call
	calls  int
}

func startCloud(rec *record, ip string) (*cloud, error) {
	c := &cloud{rec: rec, addr: ip + ":8225"}
	ln, err := net.Listen("tcp", c.addr)
	if err != nil {
		return nil, err
	}
	c.srv = &http.Server{Handler: c}
	go func() { _ = c.srv.Serve(ln) }()
	return c, nil
}

func (c *cloud) close() { _ = c.srv.Close() }

// ServeHTTP implements http.Handler.
func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	if holder := r.Header.Get("Lease-Holder"); holder != c.holder {
		c.rec.line("platform: %s is called by %s with token %s", r.URL.Path, holder, r.Header.Get("Fencing-Token"))
		c.holder = holder
	}
	w.WriteHeader(http.StatusOK)
}

// lastHolder returns the machine that acted last.
func (c *cloud) lastHolder() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder
}
