package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// engine is a stand-in for a backend server.
type engine struct {
	w       *world
	service string
	address string
	work    time.Duration
	poison  string // path of the requests that crash the engine

	mu       sync.Mutex
	server   *http.Server // nil while the engine is down
	id       string
	starts   int
	name     string
	born     int64
	seq      int
	state    string
	ackedAt  time.Duration // when the first heartbeat with the state draining was acknowledged
	arrivals []arrival
	poisoned []arrival // of requests that crash the engine
	stopped  bool
}

// arrival is a request that has reached an engine.
type arrival struct {
	at      time.Duration
	request string
}

// downTime is how long an engine is down after a crash.
const downTime = 3 * time.Second

func (w *world) startEngine(name, service string, work time.Duration) (*engine, error) {
	e := &engine{w: w, name: name, service: service, address: net.JoinHostPort(w.ip(), strconv.Itoa(w.ports.engine)), work: work}
	if err := e.start(); err != nil {
		return nil, err
	}
	w.engines = append(w.engines, e)
	go func() {
		for !e.isStopped() {
			e.beat(w.control())
			time.Sleep(heartbeatInterval)
		}
	}()
	return e, nil
}

// start starts a new incarnation of the engine.
func (e *engine) start() error {
	ln, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts++
	e.id, e.seq, e.born, e.state = fmt.Sprintf("i-%s-%d", e.name, e.starts), 0, time.Now().UnixMilli(), "ready"
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go func() { _ = e.server.Serve(ln) }()
	return nil
}

// crash ends the engine without a word, with what runs on it. It is back some seconds later.
func (e *engine) crash() {
	e.mu.Lock()
	server := e.server
	e.server = nil
	e.mu.Unlock()
	if server == nil {
		return
	}
	_ = server.Close()
	time.AfterFunc(downTime, func() {
		if !e.isStopped() {
			_ = e.start()
		}
	})
}

func (e *engine) isStopped() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stopped
}

func (e *engine) close() {
	e.mu.Lock()
	e.stopped = true
	server := e.server
	e.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// control returns the machines that serve control, in the order in which a caller tries them.
func (w *world) control() []*node {
	out := append([]*node(nil), w.nodes...)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// callControl makes a call to a machine that serves control. It follows a redirect twice.
func callControl(n *node, method, path string, body any) (status int, reply []byte, err error) {
	content, err := json.Marshal(body)
	if err != nil {
		return 0, nil, err
	}
	if raw, ok := body.(json.RawMessage); ok {
		content = raw
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.address(n.w.ports.control)+path, bytes.NewReader(content))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	reply, err = io.ReadAll(resp.Body)
	return resp.StatusCode, reply, err
}

// beat sends a heartbeat, and reports whether it was acknowledged.
func (e *engine) beat(nodes []*node) bool {
	for _, n := range nodes {
		e.mu.Lock()
		if e.server == nil {
			e.mu.Unlock()
			return false
		}
		id := e.id
		e.seq++
		beat := map[string]any{
			"service": e.service, "address": e.address, "zone": "z0", "version": "v1", "slots": 64, "state": e.state, "cold-remaining-ms": 0,
			"stage": "both", "seq": e.seq, "born": e.born,
		}
		state := e.state
		e.mu.Unlock()
		status, _, err := callControl(n, http.MethodPut, "/instances/"+id, beat)
		if err != nil || status/100 != 2 {
			continue
		}
		e.mu.Lock()
		first := state == "draining" && e.ackedAt == 0
		if first {
			e.ackedAt = e.w.now()
		}
		e.mu.Unlock()
		if first {
			e.w.recordf("engine %s: %s acknowledges that it is draining", id, n.name)
		}
		return true
	}
	return false
}

// drain reports the state draining until it is acknowledged.
func (e *engine) drain() {
	e.mu.Lock()
	e.state = "draining"
	e.mu.Unlock()
	e.w.recordf("engine %s says that it is draining", e.name)
	for range 10 {
		if e.beat(e.w.control()) {
			return
		}
	}
}

func (e *engine) serve(rw http.ResponseWriter, r *http.Request) {
	h := rw.Header()
	e.mu.Lock()
	self := e.id
	e.mu.Unlock()
	id := r.Header.Get("Request-Id")
	if r.URL.Path == "/health" {
		h.Set("Instance-Id", self)
		return
	}
	if r.URL.Path == "/report" {
		fmt.Fprint(rw, `{"stage":"both","models":[],"busy":false,"seq":0,"queued":0,"running":0,"kv-used":0,"kv-total":1,"handles":0}`)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	h.Set("Request-Id", id)
	if r.Header.Get("Expected-Instance") != self {
		h.Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	a := arrival{e.w.now(), id}
	e.arrivals = append(e.arrivals, a)
	if e.poison != "" && r.URL.Path == e.poison {
		e.poisoned = append(e.poisoned, a)
	}
	e.mu.Unlock()
	e.w.recordf("engine %s runs %s (%s %s, %d bytes)", self, id, r.Method, r.URL.Path, len(body))
	if e.poison != "" && r.URL.Path == e.poison {
		e.w.recordf("engine %s crashes under %s", self, id)
		e.crash()
		return
	}
	time.Sleep(e.work)
	h.Set("Server-Signature", "sig."+self+"."+id)
	_, _ = io.WriteString(rw, "done "+id)
}

// poisonRuns returns the arrivals of the requests that crash engines, in order.
func (w *world) poisonRuns() []arrival {
	var out []arrival
	for _, e := range w.engines {
		e.mu.Lock()
		out = append(out, e.poisoned...)
		e.mu.Unlock()
	}
	slices.SortFunc(out, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return out
}

// drained returns when it was acknowledged that the engine is draining, and what reached it.
func (e *engine) drained() (acked time.Duration, arrivals []arrival) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ackedAt, append([]arrival(nil), e.arrivals...)
}

// leave deregisters the engine and ends it.
func (e *engine) leave() {
	e.mu.Lock()
	id := e.id
	e.mu.Unlock()
	for _, n := range e.w.control() {
		if status, _, err := callControl(n, http.MethodDelete, "/instances/"+id, struct{}{}); err == nil && status/100 == 2 {
			break
		}
	}
	e.w.recordf("engine %s ends", id)
	e.close()
}
