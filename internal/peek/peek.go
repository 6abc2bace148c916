// Package peek inspects the input of a connection without reading it.
package peek

import (
	"errors"
	"net"
	"syscall"
)

// Input is what a connection has received and not read yet.
type Input uint8

// The inputs of a connection.
const (
	Unknown Input = iota // the socket cannot be inspected
	Empty                // nothing, and the peer has not closed the connection
	Pending              // some bytes
	Closed               // the peer has closed or reset the connection, and nothing is left to read
)

// At returns the input of a connection. Another goroutine may be reading from it.
func At(nc net.Conn) Input {
	for w, ok := nc.(interface{ NetConn() net.Conn }); ok; w, ok = nc.(interface{ NetConn() net.Conn }) {
		nc = w.NetConn()
	}
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return Unknown
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Unknown
	}
	in := Unknown
	// Not raw.Read, which waits for a concurrent read to return.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(rerr, syscall.EAGAIN):
			in = Empty
		case rerr != nil || n == 0:
			in = Closed
		default:
			in = Pending
		}
	})
	if err != nil {
		return Closed // by this process
	}
	return in
}
