package main

import (
	"net"
	"strings"
	"sync"
	"sync/atomic"
)

// proxy forwards the connections to one machine. It can make those that are open go silent for
// good while new ones work.
type proxy struct {
	ln     net.Listener
	target string

	mu    sync.Mutex
	conns map[*proxied]struct{}
}

type proxied struct {
	client, server net.Conn
	silent         atomic.Bool
	hello          atomic.Pointer[string] // the first bytes of the client, which name it
}

func newProxy(listen, target string) (*proxy, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: ln, target: target, conns: map[*proxied]struct{}{}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

func (p *proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.(*net.TCPConn).SetLinger(0) // a port without a listener resets connections
		_ = client.Close()
		return
	}
	c := &proxied{client: client, server: server}
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	go c.copy(server, client)
	c.copy(client, server)
}

// copy forwards one direction. A silent connection takes what is sent and passes on nothing, not
// even its end.
func (c *proxied) copy(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && from == c.client && c.hello.Load() == nil {
			hello := string(buf[:n])
			c.hello.Store(&hello)
		}
		if c.silent.Load() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// silence makes the open connections of a client silent and returns their number.
func (p *proxy) silence(client string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for c := range p.conns {
		if hello := c.hello.Load(); hello != nil && strings.Contains(*hello, client) {
			c.silent.Store(true)
			n++
		}
	}
	return n
}

func (p *proxy) close() {
	_ = p.ln.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.client.Close()
		_ = c.server.Close()
	}
}
