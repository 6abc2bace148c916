package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// engine is a sound engine of a plain service. It registers with the control addresses of the
// machines, one after the other until one acknowledges.
type engine struct {
	w       *world
	id      string
	service string
	zone    string
	version string
	address string
	born    int64
	server  *http.Server
	cancel  context.CancelFunc
	fault   fault

	mu       sync.Mutex
	arrivals []time.Time // of the requests that it ran
	faulty   []time.Time // of the answers that the fault has hit
}

// fault is what is wrong with a version: a share of the requests, from some time after the start
// of the engine, fails or takes several times as long.
type fault struct {
	work   time.Duration // for a request that the fault does not hit
	share  float64       // 0 for a good version
	after  time.Duration
	fails  bool
	slower int
}

func (f fault) bad() bool { return f.share > 0 }

// heartbeatInterval is the heartbeat-ms of the settings.
const heartbeatInterval = 1200 * time.Millisecond

// addEngine starts an engine of a version with a fault, or none.
func (w *world) addEngine(n int, version string, f fault) error {
	ln, err := net.Listen("tcp", net.JoinHostPort(w.address(100+n), "8080"))
	if err != nil {
		return err
	}
	e := &engine{
		w: w, id: fmt.Sprintf("i-%d", n), service: service, version: version, fault: f, zone: zones[n%len(zones)], address: ln.Addr().String(), born: time.Now().UnixMilli(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.server = &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(e.serve)}
	go func() { _ = e.server.Serve(ln) }() // ends with close
	go e.register(ctx)
	w.engines = append(w.engines, e)
	return nil
}

func (e *engine) close() {
	e.cancel()
	_ = e.server.Close()
}

func (e *engine) register(ctx context.Context) {
	for seq := 1; ctx.Err() == nil; seq++ {
		body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":%q,"slots":6,"state":"ready","cold-remaining-ms":0,"born":%d,"seq":%d}`,
			e.service, e.address, e.zone, e.version, e.born, seq)
		for _, n := range e.w.nodes {
			if status, _ := call(ctx, http.MethodPut, "http://"+n.ip+":"+controlPort+"/instances/"+e.id, body); status/100 == 2 {
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Instance-Id", e.id)
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	switch expected := r.Header.Get("Expected-Instance"); {
	case r.URL.Path == "/health":
		return
	case expected != "" && expected != e.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	e.mu.Lock()
	e.arrivals = append(e.arrivals, time.Now())
	e.mu.Unlock()
	e.w.record("engine %s (%s): runs %s", e.id, e.version, r.Header.Get("Request-Id"))
	w.Header().Set("Server-Signature", "signature-"+e.id)
	took, status := e.fault.work, http.StatusOK
	if time.Since(time.UnixMilli(e.born)) >= e.fault.after && rand.Float64() < e.fault.share {
		defer e.recordFaulty()
		took *= time.Duration(e.fault.slower)
		if e.fault.fails {
			status = http.StatusInternalServerError
		}
	}
	// An engine stops work at the deadline that it receives.
	if ms, err := strconv.Atoi(r.Header.Get("Request-Deadline")); err == nil && took > time.Duration(ms)*time.Millisecond {
		took, status = time.Duration(ms)*time.Millisecond, http.StatusGatewayTimeout
	}
	time.Sleep(took)
	w.WriteHeader(status)
	_, _ = io.WriteString(w, "answer of "+e.id) // the caller may have left
}

// recordFaulty records an answer that the fault has hit.
func (e *engine) recordFaulty() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faulty = append(e.faulty, time.Now())
}
