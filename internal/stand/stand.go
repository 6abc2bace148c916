// Package stand simulates what surrounds the system: model engines, an order
// desk, the cloud API and the weight store, on real HTTP listeners. It knows the
// system only through the contract pages (docs/contract-backends.md and
// docs/contract-platform.md), so it also proves that the pages suffice. Faults
// are switched at run time by methods.
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
	defaultEvery    = time.Second // between announcements
	announceTimeout = time.Second
	maxBodyBytes    = 64 << 20
	bindTries       = 50 // the port of a crashed server may be in use briefly
)

// States of a server in its announcements.
const (
	stateStarting = "starting"
	stateReady    = "ready"
	stateLeaving  = "leaving"
)

// Spec says what a server is and where it announces itself.
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
	// Entries are the caller addresses of entry instances to announce to; a
	// server without them does not announce itself.
	Entries       []string
	AnnounceEvery time.Duration // until an entry instance says otherwise; 1 s if zero
	// CheckFencing makes the server refuse orders with an old fencing number.
	CheckFencing bool
	// StartDelay is the time spent in the state starting, in real time.
	StartDelay time.Duration
	// CleanTime is the time that cleaning takes, in real time.
	CleanTime time.Duration
	// LoadTime is the time that an order to load takes, in real time.
	LoadTime time.Duration
	// Load, if set, is called for each version or adapter that is loaded.
	Load func(ctx context.Context, service, version string) error
	Seed uint64
}

type fence struct {
	Term  uint64 `json:"term"`
	Index uint64 `json:"index"`
}

func (f fence) less(g fence) bool {
	return cmp.Or(cmp.Compare(f.Term, g.Term), cmp.Compare(f.Index, g.Index)) < 0
}

type order struct {
	ID      string `json:"id"`
	Fence   fence  `json:"fence"`
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter"`
	Role    string `json:"role"`
}

// Executed is an order that a server has executed.
type Executed struct {
	ID, Kind    string
	Term, Index uint64
}

// body is what a kind of server adds to the common part.
type body interface {
	handler() http.Handler
	crashed()                             // called with mu held
	busy() bool                           // called with mu held
	cleaned()                             // called with mu held
	announce(now time.Time, m *wireState) // called with mu held
	resync()                              // called with mu held
}

// server is the part that model engines and plain servers share: life cycle,
// announcements and orders.
type server struct {
	spec Spec
	kind string
	body body
	addr string

	mu          sync.Mutex
	rng         *rand.Rand
	srv         *http.Server
	life        context.Context // ends with the incarnation
	endLife     context.CancelFunc
	incarnation uint64
	seq         uint64
	state       string
	versions    []string
	adapters    []string
	role        string
	leaveBy     time.Time
	fence       fence
	orders      map[string]bool
	executed    []Executed
	alive       bool
	silent      bool // does not announce itself
	frozen      chan struct{}
	home        string
	refuse      float64
	late        []time.Time // refusals in the state leaving
	reclaim     *time.Timer

	changed  chan struct{} // wakes the announcer
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	announcr *http.Transport
}

func (s *server) start(spec Spec, kind string, b body) error {
	if spec.Listen == "" {
		spec.Listen = "127.0.0.1:0"
	}
	if spec.AnnounceEvery == 0 {
		spec.AnnounceEvery = defaultEvery
	}
	s.spec, s.kind, s.body = spec, kind, b
	s.rng = rand.New(rand.NewPCG(spec.Seed, uint64(len(spec.ID))))
	s.changed = make(chan struct{}, 1)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.announcr = &http.Transport{}
	if err := s.listen(spec.Listen); err != nil {
		return err
	}
	if len(spec.Entries) > 0 {
		s.wg.Go(s.announceLoop)
	}
	return nil
}

// Addr returns the address that the simulator serves.
func (s *server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// listen opens the listener and begins an incarnation.
func (s *server) listen(addr string) error {
	var ln net.Listener
	var err error
	for range bindTries {
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
	s.life, s.endLife = context.WithCancel(s.ctx)
	life := s.life
	s.srv = &http.Server{
		Handler:     s.serve(s.body.handler()),
		BaseContext: func(net.Listener) context.Context { return life },
	}
	s.begin()
	s.versions, s.adapters, s.role = slices.Clone(s.spec.Versions), slices.Clone(s.spec.Adapters), s.spec.Role
	s.orders, s.fence, s.leaveBy, s.alive = map[string]bool{}, fence{}, time.Time{}, true
	srv := s.srv
	s.wg.Go(func() { _ = srv.Serve(ln) })
	return nil
}

// begin starts an incarnation in the state starting. The caller holds mu.
func (s *server) begin() {
	s.incarnation++
	s.seq = 0
	s.state = stateReady
	if s.spec.StartDelay > 0 {
		s.state = stateStarting
		s.later(s.spec.StartDelay, func() { s.state = stateReady })
	}
	s.wake()
}

// later runs f with mu held after d, unless the incarnation ends first. The
// caller holds mu.
func (s *server) later(d time.Duration, f func()) {
	life := s.life
	s.wg.Go(func() {
		if !sleep(life, d) {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		f()
		s.wake()
	})
}

func (s *server) wake() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// serve wraps the handlers: it holds calls back while the server is frozen.
func (s *server) serve(h http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /engine/orders", s.handleOrder)
	mux.Handle("/", h)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.enter() {
			panic(http.ErrAbortHandler) // closes the connection
		}
		defer s.wg.Done()
		for _, name := range []string{"X-Request-Id", "X-Attempt"} {
			if v := r.Header.Get(name); v != "" {
				w.Header().Set(name, v)
			}
		}
		b, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
		if err != nil || !s.thawed(r.Context()) {
			panic(http.ErrAbortHandler) // closes the connection
		}
		if len(b) > maxBodyBytes {
			fail(w, http.StatusRequestEntityTooLarge, "badRequest", "body is too large")
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(b))
		mux.ServeHTTP(w, r)
	})
}

// enter counts a call, so that Close waits for it.
func (s *server) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.alive {
		return false
	}
	s.wg.Add(1)
	return true
}

// thawed waits until the server is not frozen. It reports false if the call has ended.
func (s *server) thawed(ctx context.Context) bool {
	for {
		s.mu.Lock()
		gate := s.frozen
		s.mu.Unlock()
		if gate == nil {
			return ctx.Err() == nil
		}
		select {
		case <-gate:
		case <-ctx.Done():
			return false
		}
	}
}

// refusal answers with a promise that the call does not run, if the state or the
// configured refusals require it. The caller holds mu.
func (s *server) refusal(w http.ResponseWriter) bool {
	switch {
	case s.state == stateStarting:
		notRun(w, http.StatusServiceUnavailable, "starting")
	case s.state == stateLeaving:
		s.late = append(s.late, time.Now())
		notRun(w, http.StatusServiceUnavailable, "draining")
	case s.refuse > 0 && s.rng.Float64() < s.refuse:
		notRun(w, http.StatusTooManyRequests, "busy")
	default:
		return false
	}
	return true
}

func (s *server) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil || !o.valid() {
		fail(w, http.StatusBadRequest, "badOrder", "unknown kind or missing field")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	repeated := s.orders[o.ID]
	switch {
	case repeated:
	case s.spec.CheckFencing && o.Fence.less(s.fence):
		fail(w, http.StatusConflict, "staleFence", "a newer order has been accepted")
		return
	default:
		s.orders[o.ID] = true
		if s.fence.less(o.Fence) {
			s.fence = o.Fence
		}
		s.executed = append(s.executed, Executed{o.ID, o.Kind, o.Fence.Term, o.Fence.Index})
		s.execute(o)
	}
	reply(w, struct {
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

// execute starts an order. The caller holds mu.
func (s *server) execute(o order) {
	switch o.Kind {
	case "loadModel":
		s.versions = nil
		s.load(o.Version, func() { s.spec.Service, s.versions = o.Model, []string{o.Version} })
	case "loadVersion":
		s.load(o.Version, func() {
			if s.kind == "plain" {
				s.versions = nil
			}
			s.versions = with(s.versions, o.Version)
		})
	case "loadAdapter":
		s.load(o.Adapter, func() { s.adapters = with(s.adapters, o.Adapter) })
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
	s.wake()
}

func with(list []string, v string) []string {
	if slices.Contains(list, v) {
		return list
	}
	return append(slices.Clone(list), v)
}

func (s *server) load(version string, done func()) {
	life, service := s.life, s.spec.Service
	s.wg.Go(func() {
		if s.spec.Load != nil && s.spec.Load(life, service, version) != nil {
			return
		}
		if !sleep(life, s.spec.LoadTime) {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		done()
		s.wake()
	})
}

func (s *server) cleanWhenIdle() {
	life := s.life
	s.wg.Go(func() {
		for busy := true; busy; {
			if !sleep(life, 5*time.Millisecond) {
				return
			}
			s.mu.Lock()
			busy = s.body.busy()
			s.mu.Unlock()
		}
		if !sleep(life, s.spec.CleanTime) {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.body.cleaned()
		s.begin()
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

// ID returns the name of the server.
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

// Orders returns the orders that were executed, over all incarnations.
func (s *server) Orders() []Executed {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.executed)
}

// Crash closes all connections at once and stops announcing. Runs are lost.
func (s *server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crash()
}

// crash is Crash with mu held.
func (s *server) crash() {
	if !s.alive {
		return
	}
	s.alive = false
	s.endLife()
	s.body.crashed()
	_ = s.srv.Close()
	s.thaw()
	if s.reclaim != nil {
		s.reclaim.Stop()
	}
}

// Restart begins a new incarnation of a crashed server at the same address.
func (s *server) Restart() error {
	if s.Alive() {
		return nil
	}
	return s.listen(s.addr)
}

// Freeze stops all work, answers and announcements but keeps connections open.
func (s *server) Freeze() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.frozen == nil && s.alive {
		s.frozen = make(chan struct{})
	}
}

// Thaw ends Freeze.
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

// Silence stops the announcements while the server goes on working, as behind a
// one-way partition.
func (s *server) Silence(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = on
}

// Refuse makes the server refuse a share of calls, 0 to 1, as not run.
func (s *server) Refuse(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse = share
}

// RefusedLeaving returns when the server refused new work because it was leaving.
func (s *server) RefusedLeaving() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.late)
}

// Reclaim announces that the instance is gone at leaveBy, and crashes it then.
func (s *server) Reclaim(leaveBy time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.alive {
		return
	}
	s.state, s.leaveBy = stateLeaving, leaveBy
	life := s.life
	if s.reclaim != nil {
		s.reclaim.Stop()
	}
	s.reclaim = time.AfterFunc(time.Until(leaveBy), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if life.Err() == nil {
			s.crash()
		}
	})
	s.wake()
}

// Close ends the server and its goroutines.
func (s *server) Close() error {
	s.Crash()
	s.cancel()
	s.wg.Wait()
	s.announcr.CloseIdleConnections()
	return nil
}

func reply(w http.ResponseWriter, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // only values of this package are encoded
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b)
}

type wireError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func fail(w http.ResponseWriter, status int, code, message string) {
	b, _ := json.Marshal(struct {
		Error wireError `json:"error"`
	}{wireError{code, message}})
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func notRun(w http.ResponseWriter, status int, code string) {
	w.Header().Set("X-Not-Run", "true")
	w.Header().Set("Retry-After", "1")
	fail(w, status, code, "the call was not run")
}
