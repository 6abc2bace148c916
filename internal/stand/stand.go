// Package stand simulates the external systems that cranberrypath talks to: model
// engines, an order application, the cloud API and the weight store, each on a real
// HTTP listener. It implements the contract pages (docs/contract-backends.md and
// docs/contract-platform.md) without code of the adapters, which also shows that the
// pages are sufficient. Methods inject faults at run time.
package stand

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("stand")

const (
	defaultAnnounceInterval = time.Second // time between announcements
	announceTimeout         = time.Second
	maxBodyBytes            = 64 << 20
	maxBindAttempts         = 50 // the port of a crashed server may still be in use for a moment
)

// Server states in announcements.
const (
	stateStarting = "starting"
	stateReady    = "ready"
	stateLeaving  = "leaving"
)

// Spec describes a server and how it announces itself.
type Spec struct {
	ID           string
	Listen       string // IP address and port; "127.0.0.1:0" if empty
	Service      string
	Versions     []string
	Adapters     []string
	Role         string
	DataCentre   string
	Zone         string
	MachineClass string
	Reclaimable  bool
	Price        float64 // currency units per hour
	Slots        int
	// Entries are the caller addresses of the entry instances to announce to. If
	// empty, the server doesn't announce itself.
	Entries       []string
	AnnounceEvery time.Duration // initial interval, until an entry instance sets it; 1 s if zero
	// CheckFencing makes the server refuse orders with an outdated fencing token.
	CheckFencing bool
	// StartDelay is the time in the starting state, in real time.
	StartDelay time.Duration
	// CleanTime is the duration of cleaning once the server is idle, in real time.
	CleanTime time.Duration
	// LoadTime is the duration of loading a version or adapter, in real time.
	LoadTime time.Duration
	// Load, if set, is called to load a version or adapter, before LoadTime elapses.
	// If it fails, nothing is loaded.
	Load func(ctx context.Context, service, version string) error
	Seed uint64
}

// fence is the fencing token of an order.
type fence struct {
	Term  uint64 `json:"term"`
	Index uint64 `json:"index"`
}

func (f fence) less(g fence) bool {
	return cmp.Or(cmp.Compare(f.Term, g.Term), cmp.Compare(f.Index, g.Index)) < 0
}

// order is an order from the control plane, such as to load a version.
type order struct {
	ID      string `json:"id"`
	Fence   fence  `json:"fence"`
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter"`
	Role    string `json:"role"`
}

// ExecutedOrder is an order from the control plane that a server executed.
type ExecutedOrder struct {
	ID, Kind    string
	Term, Index uint64
}

// kindHooks is implemented by each kind of server, on top of the common part. Methods
// other than handler are called with mu held.
type kindHooks interface {
	handler() http.Handler
	onCrash()
	busy() bool
	onCleaned()
	fillAnnouncement(now time.Time, m *announcement)
	onResyncCache()
}

// server is the common part of model engines and plain servers: life cycle,
// announcements and orders.
type server struct {
	spec  Spec
	kind  string
	hooks kindHooks
	addr  string

	mu                      sync.Mutex
	rng                     *rand.Rand
	srv                     *http.Server
	incarnationCtx          context.Context // cancelled when the incarnation ends
	endIncarnation          context.CancelFunc
	incarnation             uint64
	seq                     uint64
	state                   string
	versions                []string
	adapters                []string
	role                    string
	leaveBy                 time.Time
	highestFence            fence
	orderIDs                map[string]bool
	executedOrders          []ExecutedOrder
	alive                   bool
	announcementsSuppressed bool // see SuppressAnnouncements
	frozen                  chan struct{}
	assignedEntry           string
	refuseShare             float64
	refusedLeaving          []time.Time // times of calls refused in the leaving state
	reclaimTimer            *time.Timer

	announceNow       chan struct{} // triggers an announcement
	ctx               context.Context
	cancel            context.CancelFunc
	wg                sync.WaitGroup
	announceTransport *http.Transport
}

func (s *server) start(spec Spec, kind string, hooks kindHooks) error {
	if spec.Listen == "" {
		spec.Listen = "127.0.0.1:0"
	}
	if spec.AnnounceEvery == 0 {
		spec.AnnounceEvery = defaultAnnounceInterval
	}
	s.spec, s.kind, s.hooks = spec, kind, hooks
	s.rng = rand.New(rand.NewPCG(spec.Seed, uint64(len(spec.ID))))
	s.announceNow = make(chan struct{}, 1)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.announceTransport = &http.Transport{}
	if err := s.listen(spec.Listen); err != nil {
		return err
	}
	if len(spec.Entries) > 0 {
		s.wg.Go(s.announceLoop)
	}
	return nil
}

// Addr returns the listen address of the server.
func (s *server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// listen opens the listener and starts a new incarnation.
func (s *server) listen(addr string) error {
	var ln net.Listener
	var err error
	for range maxBindAttempts {
		if ln, err = net.Listen("tcp", addr); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		return Error.Wrap(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.addr == "" {
		s.addr = ln.Addr().String()
	}
	s.incarnationCtx, s.endIncarnation = context.WithCancel(s.ctx)
	incarnationCtx := s.incarnationCtx
	s.srv = &http.Server{
		Handler:     s.wrapHandler(s.hooks.handler()),
		BaseContext: func(net.Listener) context.Context { return incarnationCtx },
	}
	s.beginIncarnation()
	s.versions, s.adapters, s.role = slices.Clone(s.spec.Versions), slices.Clone(s.spec.Adapters), s.spec.Role
	s.orderIDs, s.highestFence, s.leaveBy, s.alive = map[string]bool{}, fence{}, time.Time{}, true
	srv := s.srv
	s.wg.Go(func() { _ = srv.Serve(ln) })
	return nil
}

// beginIncarnation starts an incarnation, in the starting state if StartDelay is set.
// The caller holds mu.
func (s *server) beginIncarnation() {
	s.incarnation++
	s.seq = 0
	s.state = stateReady
	if s.spec.StartDelay > 0 {
		s.state = stateStarting
		s.afterDelay(s.spec.StartDelay, func() { s.state = stateReady })
	}
	s.wakeAnnouncer()
}

// afterDelay runs f with mu held after d, unless the incarnation ends first. The caller
// holds mu.
func (s *server) afterDelay(d time.Duration, f func()) {
	incarnationCtx := s.incarnationCtx
	s.wg.Go(func() {
		if !sleep(incarnationCtx, d) {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		f()
		s.wakeAnnouncer()
	})
}

func (s *server) wakeAnnouncer() {
	select {
	case s.announceNow <- struct{}{}:
	default:
	}
}

// wrapHandler adds the order endpoint to h and the behaviour common to all calls:
// echoed headers, a body limit, and blocking while the server is frozen.
func (s *server) wrapHandler(h http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /engine/orders", s.handleOrder)
	mux.Handle("/", h)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.beginCall() {
			panic(http.ErrAbortHandler) // closes the connection
		}
		defer s.wg.Done()
		for _, name := range []string{"X-Request-Id", "X-Attempt"} {
			if v := r.Header.Get(name); v != "" {
				w.Header().Set(name, v)
			}
		}
		body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
		if err != nil || !s.waitThawed(r.Context()) {
			panic(http.ErrAbortHandler) // closes the connection
		}
		if len(body) > maxBodyBytes {
			writeError(w, http.StatusRequestEntityTooLarge, "badRequest", "body is too large")
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		mux.ServeHTTP(w, r)
	})
}

// beginCall registers a call, so that Close waits for it. It reports false if the
// server is not alive.
func (s *server) beginCall() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.alive {
		return false
	}
	s.wg.Add(1)
	return true
}

// waitThawed waits until the server is not frozen. It reports false if ctx ends.
func (s *server) waitThawed(ctx context.Context) bool {
	for {
		s.mu.Lock()
		frozen := s.frozen
		s.mu.Unlock()
		if frozen == nil {
			return ctx.Err() == nil
		}
		select {
		case <-frozen:
		case <-ctx.Done():
			return false
		}
	}
}

// refuseCall reports whether the call is refused, because of the state or the
// configured share of refusals, and writes a not-run response if so. The caller holds
// mu.
func (s *server) refuseCall(w http.ResponseWriter) bool {
	switch {
	case s.state == stateStarting:
		writeNotRun(w, http.StatusServiceUnavailable, "starting")
	case s.state == stateLeaving:
		s.refusedLeaving = append(s.refusedLeaving, time.Now())
		writeNotRun(w, http.StatusServiceUnavailable, "draining")
	case s.refuseShare > 0 && s.rng.Float64() < s.refuseShare:
		writeNotRun(w, http.StatusTooManyRequests, "busy")
	default:
		return false
	}
	return true
}

func (s *server) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil || !o.valid() {
		writeError(w, http.StatusBadRequest, "badOrder", "unknown kind or missing field")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	repeated := s.orderIDs[o.ID]
	switch {
	case repeated:
	case s.spec.CheckFencing && o.Fence.less(s.highestFence):
		writeError(w, http.StatusConflict, "staleFence", "a newer order has been accepted")
		return
	default:
		s.orderIDs[o.ID] = true
		if s.highestFence.less(o.Fence) {
			s.highestFence = o.Fence
		}
		s.executedOrders = append(s.executedOrders, ExecutedOrder{o.ID, o.Kind, o.Fence.Term, o.Fence.Index})
		s.execute(o)
	}
	writeJSON(w, struct {
		ID       string `json:"id"`
		Repeated bool   `json:"repeated"`
	}{o.ID, repeated})
}

func (o order) valid() bool {
	if o.ID == "" {
		return false
	}
	switch o.Kind {
	case "loadModel":
		return o.Model != "" && o.Version != ""
	case "loadVersion":
		return o.Version != ""
	case "loadAdapter":
		return o.Adapter != ""
	case "unload":
		return o.Version != "" || o.Adapter != ""
	case "setRole":
		return o.Role == "" || o.Role == "prefill" || o.Role == "decode"
	case "drain", "clean":
		return true
	}
	return false
}

// execute starts the execution of an order. The caller holds mu.
func (s *server) execute(o order) {
	switch o.Kind {
	case "loadModel":
		s.versions = nil
		s.loadWeights(o.Version, func() { s.spec.Service, s.versions = o.Model, []string{o.Version} })
	case "loadVersion":
		s.loadWeights(o.Version, func() {
			if s.kind == "plain" {
				s.versions = nil
			}
			s.versions = addUnique(s.versions, o.Version)
		})
	case "loadAdapter":
		s.loadWeights(o.Adapter, func() { s.adapters = addUnique(s.adapters, o.Adapter) })
	case "unload":
		s.versions = slices.DeleteFunc(slices.Clone(s.versions), func(v string) bool { return v == o.Version })
		s.adapters = slices.DeleteFunc(slices.Clone(s.adapters), func(a string) bool { return a == o.Adapter })
	case "setRole":
		s.role = o.Role
	case "drain":
		s.state = stateLeaving
	case "clean":
		s.state = stateLeaving
		s.cleanWhenIdle()
	}
	s.wakeAnnouncer()
}

func addUnique(list []string, v string) []string {
	if slices.Contains(list, v) {
		return list
	}
	return append(slices.Clone(list), v)
}

func (s *server) loadWeights(name string, done func()) {
	incarnationCtx, service := s.incarnationCtx, s.spec.Service
	s.wg.Go(func() {
		if s.spec.Load != nil && s.spec.Load(incarnationCtx, service, name) != nil {
			return
		}
		if !sleep(incarnationCtx, s.spec.LoadTime) {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		done()
		s.wakeAnnouncer()
	})
}

func (s *server) cleanWhenIdle() {
	incarnationCtx := s.incarnationCtx
	s.wg.Go(func() {
		for busy := true; busy; {
			if !sleep(incarnationCtx, 5*time.Millisecond) {
				return
			}
			s.mu.Lock()
			busy = s.hooks.busy()
			s.mu.Unlock()
		}
		if !sleep(incarnationCtx, s.spec.CleanTime) {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.hooks.onCleaned()
		s.beginIncarnation()
	})
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// ID returns the id of the server.
func (s *server) ID() string { return s.spec.ID }

// Address returns the IP address and port of the server.
func (s *server) Address() string { return s.addr }

// Incarnation returns the number of the current incarnation.
func (s *server) Incarnation() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnation
}

// State returns the announced state.
func (s *server) State() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// Alive reports whether the server has not crashed.
func (s *server) Alive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.alive
}

// Versions returns the loaded versions.
func (s *server) Versions() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.versions)
}

// Orders returns the executed orders of all incarnations.
func (s *server) Orders() []ExecutedOrder {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.executedOrders)
}

// Crash closes all connections at once and stops announcing. Runs and cached state are
// lost.
func (s *server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crash()
}

// crash implements Crash. The caller holds mu.
func (s *server) crash() {
	if !s.alive {
		return
	}
	s.alive = false
	s.endIncarnation()
	s.hooks.onCrash()
	_ = s.srv.Close()
	s.thaw()
	if s.reclaimTimer != nil {
		s.reclaimTimer.Stop()
	}
}

// Restart starts a new incarnation of a crashed server at the same address.
func (s *server) Restart() error {
	if s.Alive() {
		return nil
	}
	return s.listen(s.addr)
}

// Freeze suspends all work, responses and announcements but keeps connections open.
func (s *server) Freeze() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.frozen == nil && s.alive {
		s.frozen = make(chan struct{})
	}
}

// Thaw resumes a frozen server.
func (s *server) Thaw() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.thaw()
}

func (s *server) thaw() {
	if s.frozen != nil {
		close(s.frozen)
		s.frozen = nil
	}
}

// SuppressAnnouncements turns announcements off or on while the server keeps working,
// as in a one-way partition.
func (s *server) SuppressAnnouncements(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announcementsSuppressed = on
}

// Refuse makes the server refuse a share of calls, 0 to 1, with a not-run response.
func (s *server) Refuse(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuseShare = share
}

// RefusedLeaving returns the times of calls that were refused because the server was
// leaving.
func (s *server) RefusedLeaving() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.refusedLeaving)
}

// Reclaim announces that the instance will be reclaimed at leaveBy, and crashes the
// server then.
func (s *server) Reclaim(leaveBy time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.alive {
		return
	}
	s.state, s.leaveBy = stateLeaving, leaveBy
	incarnationCtx := s.incarnationCtx
	if s.reclaimTimer != nil {
		s.reclaimTimer.Stop()
	}
	s.reclaimTimer = time.AfterFunc(time.Until(leaveBy), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if incarnationCtx.Err() == nil {
			s.crash()
		}
	})
	s.wakeAnnouncer()
}

// Close stops the server and waits for its goroutines.
func (s *server) Close() error {
	s.Crash()
	s.cancel()
	s.wg.Wait()
	s.announceTransport.CloseIdleConnections()
	return nil
}

func writeJSON(w http.ResponseWriter, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // unreachable: callers pass values that can be encoded
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b)
}

type errorBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	b, _ := json.Marshal(struct {
		Error errorBody `json:"error"`
	}{errorBody{code, message}})
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func writeNotRun(w http.ResponseWriter, status int, code string) {
	w.Header().Set("X-Not-Run", "true")
	w.Header().Set("Retry-After", "1")
	writeError(w, status, code, "the call was not run")
}
