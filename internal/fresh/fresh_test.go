package fresh

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against taking a request that was held up for one that was just sent, wherever it
// waited, and against distrusting those of connections that were not held up.
func TestSentAfter(t *testing.T) {
	// Steps of a connection: a waits while the process runs, f while it does not, s sends and the
	// process reads, u sends without being read, r responds.
	for _, c := range []struct {
		name, steps string
		known       bool // whether a time is known, within half a second
	}{
		{"first request", "s", true},
		{"first request after a wait", "as", false},
		{"after a response", "sras", false},
		{"soon after a response", "srs", true},
		{"soon after several", "srsrs", true},
		{"frozen after the response", "srfs", false},
		{"frozen, then a response", "srfsrs", true},
		{"frozen between two requests on their way", "sufrs", false},
		{"sent before the response", "surs", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var offset atomic.Int64
			clock := func() time.Time { return time.Now().Add(time.Duration(offset.Load())) }
			w := &Watch{clock: clock, ticked: clock()} // ticks below
			raw, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			ln := NewListener(raw, w)
			defer ln.Close()
			client, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			nc, err := ln.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer nc.Close()
			conn := nc.(*Conn)
			b := make([]byte, 1)
			for _, step := range c.steps {
				switch step {
				case 'a':
					for range 20 {
						offset.Add(int64(tickInterval))
						w.tick(clock())
					}
				case 'f':
					offset.Add(int64(4 * time.Second))
				case 's', 'u':
					if _, err := client.Write([]byte("a")); err != nil {
						t.Fatal(err)
					}
					if step == 's' {
						if _, err := io.ReadFull(conn, b); err != nil {
							t.Fatal(err)
						}
					}
				case 'r':
					if _, err := conn.Write([]byte("b")); err != nil {
						t.Fatal(err)
					}
					if _, err := io.ReadFull(client, b); err != nil {
						t.Fatal(err)
					}
				}
			}
			now := clock()
			if known := now.Sub(conn.SentAfter(now)) < time.Second/2; known != c.known {
				t.Errorf("sent after %v, now %v; want a recent time: %v", conn.SentAfter(now), now, c.known)
			}
		})
	}
}

// Guards against trusting connections that were opened while the process stood still, whichever
// of the reader and the Watch runs first when it goes on.
func TestConnectionsOfAStall(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, c := range []struct {
		name          string
		ticks         []int // after start, in ms
		accepted, now int
		want          bool
	}{
		{"runs", []int{100, 200, 300}, 250, 310, true},
		{"slow", []int{250, 500, 750}, 760, 770, true},
		{"not ticked since", []int{100}, 4000, 4000, false},
		{"ticked after the stall", []int{100, 4000}, 4000, 4001, false},
		{"soon after the stall", []int{100, 4000, 4100, 4200}, 4250, 4260, false},
		{"long after the stall", []int{100, 4000, 4300, 4600, 4900, 5200}, 5250, 5260, true},
	} {
		w := &Watch{ticked: start}
		for _, ms := range c.ticks {
			w.tick(at(ms))
		}
		if got := w.RanSince(at(c.accepted).Add(-backlogTime), at(c.now)); got != c.want {
			t.Errorf("%s: the process ran all the while: %v, want %v", c.name, got, c.want)
		}
	}
}
