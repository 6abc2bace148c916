package peek

import (
	"net"
	"testing"
	"time"
)

// Guards against a connection whose end goes unnoticed while another goroutine reads from
// it, and against taking one that is open for closed.
func TestAt(t *testing.T) {
	for _, c := range []struct {
		name string
		act  func(peer *net.TCPConn) error
		want Input
	}{
		{"open", func(*net.TCPConn) error { return nil }, Empty},
		{"bytes", func(peer *net.TCPConn) error { _, err := peer.Write([]byte("a")); return err }, Pending},
		{"closed", func(peer *net.TCPConn) error { return peer.Close() }, Closed},
		{"closed for writing", func(peer *net.TCPConn) error { return peer.CloseWrite() }, Closed},
		{"reset", func(peer *net.TCPConn) error { _ = peer.SetLinger(0); return peer.Close() }, Closed},
		{"closed after bytes", func(peer *net.TCPConn) error { _, _ = peer.Write([]byte("a")); return peer.Close() }, Pending},
	} {
		t.Run(c.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			dialed, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer dialed.Close()
			nc, err := ln.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer nc.Close()
			if c.want == Empty {
				go func() { _, _ = nc.Read(make([]byte, 1)) }()
			}
			if err := c.act(dialed.(*net.TCPConn)); err != nil {
				t.Fatal(err)
			}
			got := Unknown
			for range 100 {
				if got = At(nc); got == c.want {
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
			t.Errorf("got %d, want %d", got, c.want)
		})
	}
	if got := At(&net.IPConn{}); got != Unknown {
		t.Errorf("got %d for a connection without a socket, want %d", got, Unknown)
	}
}
