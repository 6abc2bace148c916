package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

func init() { cases["foreign-entry"] = foreignEntry }

// foreignEntry lets another writer send heartbeats in which fields are missing, and counts the
// requests of callers that are sent to the address in them and the answers that come from there.
func foreignEntry(w *world, trouble bool) (verdict, error) {
	if err := w.startNodes(4, 4); err != nil {
		return verdict{}, err
	}
	for i := range 3 {
		if _, err := w.startEngine(fmt.Sprintf("e%02d", i), "desk", 15*time.Millisecond); err != nil {
			return verdict{}, err
		}
	}
	ln, err := net.Listen("tcp", net.JoinHostPort(w.ip(), strconv.Itoa(w.ports.engine)))
	if err != nil {
		return verdict{}, err
	}
	defer ln.Close()
	// The other writer's server is no engine: it answers every request in its own way.
	go func() {
		_ = http.Serve(ln, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			w.recordf("the other writer's server gets %s %s, request %q, %d bytes", r.Method, r.URL.Path, r.Header.Get("Request-Id"), len(body))
			_, _ = io.WriteString(rw, "printer ready")
		}))
	}()
	if _, err := w.configure(configuration(1, []route{{"/book/", "unsafe", 600, 1, map[string]int{"desk": 1}}}, "desk"), 20*time.Second); err != nil {
		return verdict{}, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := newCallers(w)
	c.run(ctx, 25*time.Millisecond, "POST", "/book/1")
	sleep(ctx, 5*time.Second)
	for i := range 10 {
		if trouble {
			n := w.control()[0]
			status, _, err := callControl(n, http.MethodPut, "/instances/printer-7", map[string]any{"service": "desk", "address": ln.Addr().String(), "state": "ready", "seq": i + 1})
			w.recordf("TROUBLE: the other writer's heartbeat without zone, version, slots and born: %s answers %d %v", n.name, status, err)
		}
		sleep(ctx, heartbeatInterval)
	}
	cancel()
	time.Sleep(callerDeadline)
	unsigned := 0
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.sent {
		if s.status/100 == 2 && !s.signed {
			unsigned++
			w.recordf("MIXED: %s, sent at %.3f to %s, got %d without an engine's signature", s.id, s.at.Seconds(), s.node, s.status)
		}
	}
	return verdict{unsigned > 0, fmt.Sprintf("%d of %d requests got a success that is no engine's", unsigned, len(c.sent))}, nil
}
