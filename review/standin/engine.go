package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// arrival is a request that reached an engine.
type arrival struct {
	id     string
	at     time.Time
	failed bool // its answer is a failure
	bad    bool // its answer is a failure or late
}

// badness is how a version is bad: a share of its answers are failures, or all come late, from
// some time after its first request on and on some paths only.
type badness struct {
	failShare float64
	slowBy    time.Duration
	after     time.Duration
	path      string // prefix; empty for all
}

// engine is a stand-in of a plain engine.
type engine struct {
	c       *cluster
	id      string
	service string
	version string
	zone    string
	addr    string
	work    time.Duration
	bad     *badness // nil for a sound version
	srv     *http.Server
	born    int64

	mu       sync.Mutex
	seq      int
	silent   bool // sends no heartbeats any more
	draining bool // says so in its heartbeats
	arrivals []arrival
	stop     chan struct{}
}

func (c *cluster) startEngine(id, service, version, zone string, work time.Duration, bad *badness) (*engine, error) {
	e := &engine{
		c: c, id: id, service: service, version: version, zone: zone, addr: c.net.ip() + ":8080", work: work, bad: bad,
		born: time.Now().UnixMilli(), stop: make(chan struct{}),
	}
	ln, err := net.Listen("tcp", e.addr)
	if err != nil {
		return nil, err
	}
	e.srv = &http.Server{Handler: e, IdleTimeout: 10 * time.Second}
	go func() { _ = e.srv.Serve(ln) }()
	go e.announce()
	c.rec.line("engine %s (%s %s) starts at %s", id, service, version, e.addr)
	return e, nil
}

// close ends the engine without a word, as at the end of its time.
func (e *engine) close() {
	e.mu.Lock()
	closed := e.silent
	e.silent = true
	e.mu.Unlock()
	if !closed {
		close(e.stop)
	}
	_ = e.srv.Close()
}

// announce sends heartbeats, each to the next node that answers.
func (e *engine) announce() {
	for i := 0; ; i++ {
		e.mu.Lock()
		silent := e.silent
		body := e.heartbeat()
		e.mu.Unlock()
		if silent {
			return
		}
		for try := range len(e.c.machines) {
			m := e.c.machines[(i+try)%len(e.c.machines)]
			if status, _, err := call("PUT", "http://"+m.addr(controlPort)+"/instances/"+e.id, body, time.Second); err == nil && status/100 == 2 {
				break
			}
		}
		select {
		case <-e.stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

// heartbeat returns the body of the next heartbeat. e.mu must be held.
func (e *engine) heartbeat() []byte {
	e.seq++
	state := "ready"
	if e.draining {
		state = "draining"
	}
	b, err := json.Marshal(map[string]any{
		"service": e.service, "address": e.addr, "zone": e.zone, "version": e.version, "slots": 64, "state": state,
		"cold-remaining-ms": 0, "seq": e.seq, "born": e.born,
	})
	if err != nil {
		panic(err)
	}
	return b
}

// drain reports that the engine is draining, goes on serving for drain-ms after the
// acknowledgement, deregisters and ends.
func (e *engine) drain(m *machine) error {
	e.mu.Lock()
	e.draining = true
	body := e.heartbeat()
	e.mu.Unlock()
	status, _, err := call("PUT", "http://"+m.addr(controlPort)+"/instances/"+e.id, body, time.Second)
	if err != nil || status/100 != 2 {
		return fmt.Errorf("the draining heartbeat is not acknowledged: %d %v", status, err)
	}
	e.c.rec.line("engine %s: %s acknowledges that it is draining", e.id, m.name)
	time.Sleep(drainBound)
	_, err = e.deregister(m)
	e.close()
	e.c.rec.line("engine %s ends", e.id)
	return err
}

// deregister sends DELETE to a node and returns when it was acknowledged. The engine sends no
// heartbeats from then on, and goes on serving.
func (e *engine) deregister(m *machine) (time.Time, error) {
	e.mu.Lock()
	if !e.silent {
		e.silent = true
		close(e.stop)
	}
	e.mu.Unlock()
	status, _, err := call("DELETE", "http://"+m.addr(controlPort)+"/instances/"+e.id, nil, time.Second)
	now := time.Now()
	if err != nil || status/100 != 2 {
		return now, fmt.Errorf("DELETE is not acknowledged: %d %v", status, err)
	}
	return now, nil
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	w.Header().Set("Instance-Id", e.id)
	if r.URL.Path == "/health" {
		w.WriteHeader(http.StatusOK)
		return
	}
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	first := now
	if len(e.arrivals) > 0 {
		first = e.arrivals[0].at
	}
	a := arrival{id: id, at: now}
	work := e.work
	if b := e.bad; b != nil && now.Sub(first) >= b.after && strings.HasPrefix(r.URL.Path, b.path) {
		a.failed = rand.Float64() < b.failShare
		work += b.slowBy
		a.bad = a.failed || b.slowBy > 0
	}
	e.arrivals = append(e.arrivals, a)
	e.mu.Unlock()
	time.Sleep(work)
	w.Header().Set("Server-Signature", "sig."+e.id+"."+id)
	if a.failed {
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "error")
		return
	}
	_, _ = io.WriteString(w, "done "+id)
}

func (e *engine) received() []arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]arrival(nil), e.arrivals...)
}
