package stand

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Book is the database of the order desks of one service. It survives their crashes
// and counts executions, but doesn't deduplicate them.
type Book struct {
	mu              sync.Mutex
	bookings        []Booking
	executionsByKey map[string]int
}

// Booking is one executed customer order.
type Booking struct {
	ID        string    `json:"booking"`
	Key       string    `json:"key"` // Idempotency-Key, or the hash of the body without one
	Desk      string    `json:"desk"`
	RequestID string    `json:"requestId"`
	Attempt   string    `json:"attempt"`
	Body      string    `json:"body"`
	At        time.Time `json:"at"`
}

// NewBook returns an empty database, which several desks can share.
func NewBook() *Book { return &Book{executionsByKey: map[string]int{}} }

// Executions returns how many times a customer order was executed. key is its
// Idempotency-Key, or the result of BodyKey for an order without one.
func (b *Book) Executions(key string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.executionsByKey[key]
}

// Bookings returns all executions, oldest first.
func (b *Book) Bookings() []Booking {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Booking(nil), b.bookings...)
}

// BodyKey returns the key of a customer order that has no Idempotency-Key.
func BodyKey(body []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(body)) }

func (b *Book) add(booking Booking) Booking {
	b.mu.Lock()
	defer b.mu.Unlock()
	booking.ID = fmt.Sprintf("b%d", len(b.bookings)+1)
	b.bookings = append(b.bookings, booking)
	b.executionsByKey[booking.Key]++
	return booking
}

func (b *Book) find(idOrKey string) (Booking, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, booking := range b.bookings {
		if booking.ID == idOrKey || booking.Key == idOrKey {
			return booking, true
		}
	}
	return Booking{}, false
}

// DeskConfig configures a Desk.
type DeskConfig struct {
	Spec
	Path string        // path prefix; "/orders/" if empty
	Work time.Duration // service time of a call, in real time
	Book *Book         // database; a new one if nil
}

// DeskFaults holds the shares of calls, 0 to 1, that each fault affects.
type DeskFaults struct {
	CrashBefore float64 // the desk crashes before the execution
	CrashAfter  float64 // the desk crashes between the execution and the response
	DropAfter   float64 // the connection is closed after the execution, without a response
	CutAnswer   float64 // the connection is closed in the middle of the response
}

// Desk simulates an order application, a plain server. POST below its path executes
// a customer order, GET {path}{booking or key} returns a booking.
type Desk struct {
	server
	cfg DeskConfig

	// The fields below are guarded by server.mu.
	running       int
	faultShares   DeskFaults
	versionFaults faultList
}

// NewDesk starts an order desk.
func NewDesk(cfg DeskConfig) (*Desk, error) {
	if cfg.Path == "" {
		cfg.Path = "/orders/"
	}
	if cfg.Book == nil {
		cfg.Book = NewBook()
	}
	d := &Desk{cfg: cfg}
	if err := d.start(cfg.Spec, "plain", d); err != nil {
		return nil, err
	}
	return d, nil
}

// Book returns the database of the desk.
func (d *Desk) Book() *Book { return d.cfg.Book }

// SetFaults replaces the fault shares.
func (d *Desk) SetFaults(f DeskFaults) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faultShares = f
}

// SetVersionFaults replaces the version faults.
func (d *Desk) SetVersionFaults(f ...VersionFault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.versionFaults = newFaultList(f, time.Now())
}

func (d *Desk) handler() http.Handler { return http.HandlerFunc(d.handle) }
func (d *Desk) onCrash()              {}
func (d *Desk) busy() bool            { return d.running > 0 }
func (d *Desk) onCleaned()            {}
func (d *Desk) onResyncCache()        {}

func (d *Desk) fillAnnouncement(_ time.Time, m *announcement) { m.Load.Running = d.running }

// callPlan holds the faults and the service time drawn for one call.
type callPlan struct {
	crashBefore, crashAfter, dropAfter, truncate, fails bool
	serviceTime                                         time.Duration
	version                                             string
}

func (d *Desk) planCall(path string) callPlan {
	draw := func(rng *rand.Rand, share float64) bool { return share > 0 && rng.Float64() < share }
	p := callPlan{
		crashBefore: draw(d.rng, d.faultShares.CrashBefore), crashAfter: draw(d.rng, d.faultShares.CrashAfter),
		dropAfter: draw(d.rng, d.faultShares.DropAfter), truncate: draw(d.rng, d.faultShares.CutAnswer), serviceTime: d.cfg.Work,
	}
	if len(d.versions) > 0 {
		p.version = d.versions[0]
	}
	eff := d.versionFaults.effectOn(p.version, nil, path, d.running, time.Now(), d.rng)
	p.fails = eff.fails
	if eff.slowdown > 1 {
		p.serviceTime = time.Duration(float64(max(p.serviceTime, time.Millisecond)) * eff.slowdown)
	}
	return p
}

func (d *Desk) handle(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	d.mu.Lock()
	if d.refuseCall(w) {
		d.mu.Unlock()
		return
	}
	d.running++
	p := d.planCall(r.URL.Path)
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		d.running--
		d.mu.Unlock()
	}()
	idOrKey, ok := strings.CutPrefix(r.URL.Path, d.cfg.Path)
	switch {
	case !sleep(r.Context(), p.serviceTime):
		panic(http.ErrAbortHandler)
	case !ok && r.URL.Path != strings.TrimSuffix(d.cfg.Path, "/"):
		writeError(w, http.StatusNotFound, "notFound", "no such path")
	case p.fails:
		writeError(w, http.StatusInternalServerError, "failed", "the version is broken")
	case r.Method == http.MethodPost:
		d.createBooking(w, r, body, p)
	case r.Method == http.MethodGet || r.Method == http.MethodHead:
		d.getBooking(w, idOrKey, p)
	default:
		writeError(w, http.StatusMethodNotAllowed, "badRequest", "method is not supported")
	}
}

func (d *Desk) createBooking(w http.ResponseWriter, r *http.Request, body []byte, p callPlan) {
	if p.crashBefore {
		d.Crash()
		panic(http.ErrAbortHandler)
	}
	if !d.waitThawed(r.Context()) { // a call that is aborted while the server is frozen is not executed
		panic(http.ErrAbortHandler)
	}
	key := r.Header.Get("Idempotency-Key")
	if key == "" {
		key = BodyKey(body)
	}
	b := d.cfg.Book.add(Booking{
		Key: key, Desk: d.spec.ID, RequestID: r.Header.Get("X-Request-Id"), Attempt: r.Header.Get("X-Attempt"),
		Body: string(body), At: time.Now().UTC(),
	})
	switch {
	case p.crashAfter:
		d.Crash()
		panic(http.ErrAbortHandler)
	case p.dropAfter:
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Version", p.version)
	out, _ := json.Marshal(b)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	if p.truncate {
		_, _ = w.Write(out[:len(out)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(out)
}

func (d *Desk) getBooking(w http.ResponseWriter, idOrKey string, p callPlan) {
	w.Header().Set("X-Version", p.version)
	b, ok := d.cfg.Book.find(idOrKey)
	if !ok {
		writeError(w, http.StatusNotFound, "notFound", "no such booking")
		return
	}
	writeJSON(w, b)
}
