package main

import (
	"bytes"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// proxy stands before a machine's peer port. It can hold the bytes of connections, as a
// partition does: they arrive when it heals, and are lost if their sender resets the
// connection.
type proxy struct {
	ln     net.Listener
	target string

	mu     sync.Mutex
	heldOf func(hello []byte) bool // which connections are held, by their first bytes; nil for none
	healed chan struct{}
	conns  map[net.Conn]bool
}

func newProxy(listen, target string) (*proxy, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: ln, target: target, conns: map[net.Conn]bool{}}
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

// cut holds the bytes of all connections whose first bytes match, until heal.
func (p *proxy) cut(match func(hello []byte) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heldOf, p.healed = match, make(chan struct{})
}

func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.heldOf != nil {
		close(p.healed)
		p.heldOf = nil
	}
}

// wait returns once the connection with the given first bytes is not cut.
func (p *proxy) wait(hello []byte) {
	p.mu.Lock()
	held, healed := p.heldOf != nil && p.heldOf(hello), p.healed
	p.mu.Unlock()
	if held {
		<-healed
	}
}

func (p *proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
	} else {
		delete(p.conns, c)
	}
}

func (p *proxy) close() {
	_ = p.ln.Close()
	p.heal()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

func (p *proxy) serve(client net.Conn) {
	defer client.Close()
	p.track(client, true)
	defer p.track(client, false)
	hello := make([]byte, 4<<10)
	n, err := client.Read(hello)
	if err != nil {
		return
	}
	hello = hello[:n]
	p.wait(hello)
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		reset(client)
		return
	}
	defer server.Close()
	p.track(server, true)
	defer p.track(server, false)
	if _, err := server.Write(hello); err != nil {
		reset(client)
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { p.pass(server, client, hello) })
	wg.Go(func() { p.pass(client, server, hello) })
	wg.Wait()
}

// pass copies one direction. It goes on reading while the connection is cut, so that a reset
// by the sender is seen.
func (p *proxy) pass(to, from net.Conn, hello []byte) {
	var mu sync.Mutex
	var pending bytes.Buffer
	ended, wasReset := false, false
	arrived := make(chan struct{}, 1)
	go func() {
		buf := make([]byte, 64<<10)
		for {
			n, err := from.Read(buf)
			mu.Lock()
			pending.Write(buf[:n])
			if err != nil {
				ended, wasReset = true, errors.Is(err, syscall.ECONNRESET)
			}
			mu.Unlock()
			select {
			case arrived <- struct{}{}:
			default:
			}
			if err != nil {
				return
			}
		}
	}()
	for range arrived {
		p.wait(hello)
		mu.Lock()
		b, end, lost := bytes.Clone(pending.Bytes()), ended, wasReset
		pending.Reset()
		mu.Unlock()
		if lost {
			reset(to)
			return
		}
		if len(b) > 0 {
			if _, err := to.Write(b); err != nil {
				reset(from)
				return
			}
		}
		if end {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
