package faults

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
)

// Responder is a server whose responses are written byte by byte, so that they may break any
// rule of HTTP.
type Responder struct {
	ln       net.Listener
	respond  func(conn *net.TCPConn, r *http.Request)
	requests atomic.Int64
}

// NewResponder starts a server on a loopback address. respond is called with each request, whose
// body it may leave unread. The connection stays open for another request unless respond closes
// it.
func NewResponder(respond func(conn *net.TCPConn, r *http.Request)) (*Responder, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Responder{ln: ln, respond: respond}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return // closed
			}
			go s.serve(nc.(*net.TCPConn))
		}
	}()
	return s, nil
}

func (s *Responder) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	for br := bufio.NewReader(conn); ; {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		s.requests.Add(1)
		s.respond(conn, r)
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
	}
}

// Addr returns the address of the server.
func (s *Responder) Addr() string { return s.ln.Addr().String() }

// Requests returns the number of requests received.
func (s *Responder) Requests() int64 { return s.requests.Load() }

// Close closes the listener. Open connections end with their clients.
func (s *Responder) Close() error { return s.ln.Close() }
