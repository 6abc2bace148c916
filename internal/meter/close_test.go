package meter_test

import (
	"net"
	"runtime"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/meter"
)

// Guards against a process that cannot stop: a connection that sends half a request, and a
// server that has not begun to serve, must not keep Close from returning.
func TestCloseReturns(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for _, c := range []struct {
		name string
		send string // nothing connects if empty
	}{
		{"before the server serves", ""},
		{"beside half a request", "GET /metrics HTTP/1.1\r\nHost:"},
	} {
		m, err := meter.New("a", "z")
		if err != nil {
			t.Fatal(err)
		}
		addr, err := m.Serve("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		if c.send != "" {
			conn, err := net.Dial("tcp", addr.String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if _, err := conn.Write([]byte(c.send)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond)
		}
		done := make(chan error, 1)
		go func() { done <- m.Close() }()
		select {
		case err := <-done:
			if err != nil {
				t.Errorf("%s: %v", c.name, err)
			}
		case <-time.After(30 * time.Second):
			t.Fatalf("%s: Close has not returned", c.name)
		}
		if conn, err := net.Dial("tcp", addr.String()); err == nil {
			_ = conn.Close()
			t.Errorf("%s: the address still accepts connections", c.name)
		}
	}
}
