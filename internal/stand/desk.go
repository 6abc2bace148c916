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

// Book is the database behind the order desks of one service. It survives their
// crashes and counts executions, but does not prevent duplicates.
type Book struct {
	mu       sync.Mutex
	bookings []Booking
	byKey    map[string]int
}

// Booking is one executed order.
type Booking struct {
	ID        string    `json:"booking"`
	Key       string    `json:"key"` // Idempotency-Key, else the hash of the body
	Desk      string    `json:"desk"`
	RequestID string    `json:"requestId"`
	Attempt   string    `json:"attempt"`
	Body      string    `json:"body"`
	At        time.Time `json:"at"`
}

// NewBook returns an empty book, to be shared by desks.
func NewBook() *Book { return &Book{byKey: map[string]int{}} }

// Executions returns how often an order ran. key is its Idempotency-Key, or the
// result of BodyKey for an order without one.
func (b *Book) Executions(key string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.byKey[key]
}

// Bookings returns all executions in order.
func (b *Book) Bookings() []Booking {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Booking(nil), b.bookings...)
}

// BodyKey returns the key under which a body without Idempotency-Key is counted.
func BodyKey(body []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(body)) }

func (b *Book) add(k Booking) Booking {
	b.mu.Lock()
	defer b.mu.Unlock()
	k.ID = fmt.Sprintf("b%d", len(b.bookings)+1)
	b.bookings = append(b.bookings, k)
	b.byKey[k.Key]++
	return k
}

func (b *Book) find(id string) (Booking, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, k := range b.bookings {
		if k.ID == id || k.Key == id {
			return k, true
		}
	}
	return Booking{}, false
}

// DeskConfig sets up a Desk.
type DeskConfig struct {
	Spec
	Path string        // path prefix; "/orders/" if empty
	Work time.Duration // time that one call takes, in real time
	Book *Book         // a new one if nil
}

// DeskFaults are shares of calls, 0 to 1, that go wrong.
type DeskFaults struct {
	CrashBefore float64 // the desk crashes before it executes the call
	CrashAfter  float64 // the desk crashes after it executed the call and before it answers
	DropAfter   float64 // the connection is closed after the execution; the desk lives on
	CutAnswer   float64 // the connection is closed within the answer
}

// Desk simulates a plain order application. POST below its path books, GET
// {path}{booking or key} reads back.
type Desk struct {
	server
	cfg DeskConfig

	// The fields below are guarded by server.mu.
	running int
	desk    DeskFaults
	faults  faultList
}

// NewDesk starts a desk.
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

// SetFaults replaces the shares of calls that go wrong.
func (d *Desk) SetFaults(f DeskFaults) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.desk = f
}

// SetVersionFaults replaces the faults of versions.
func (d *Desk) SetVersionFaults(f ...VersionFault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = newFaults(f, time.Now())
}

func (d *Desk) handler() http.Handler { return http.HandlerFunc(d.handle) }
func (d *Desk) crashed()              {}
func (d *Desk) busy() bool            { return d.running > 0 }
func (d *Desk) cleaned()              {}
func (d *Desk) resync()               {}

func (d *Desk) announce(_ time.Time, m *wireState) { m.Load.Running = d.running }

// fate is what happens to one call.
type fate struct {
	crashBefore, crashAfter, dropAfter, cut, fails bool
	work                                           time.Duration
	version                                        string
}

func (d *Desk) fate(path string) fate {
	happens := func(rng *rand.Rand, share float64) bool { return share > 0 && rng.Float64() < share }
	f := fate{
		crashBefore: happens(d.rng, d.desk.CrashBefore), crashAfter: happens(d.rng, d.desk.CrashAfter),
		dropAfter: happens(d.rng, d.desk.DropAfter), cut: happens(d.rng, d.desk.CutAnswer), work: d.cfg.Work,
	}
	if len(d.versions) > 0 {
		f.version = d.versions[0]
	}
	hit := d.faults.hit(f.version, nil, path, d.running, time.Now(), d.rng)
	f.fails = hit.fails
	if hit.slow > 1 {
		f.work = time.Duration(float64(max(f.work, time.Millisecond)) * hit.slow)
	}
	return f
}

func (d *Desk) handle(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	d.mu.Lock()
	if d.refusal(w) {
		d.mu.Unlock()
		return
	}
	d.running++
	f := d.fate(r.URL.Path)
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		d.running--
		d.mu.Unlock()
	}()
	rest, ok := strings.CutPrefix(r.URL.Path, d.cfg.Path)
	switch {
	case !sleep(r.Context(), f.work):
		panic(http.ErrAbortHandler)
	case !ok && r.URL.Path != strings.TrimSuffix(d.cfg.Path, "/"):
		fail(w, http.StatusNotFound, "notFound", "no such path")
	case f.fails:
		fail(w, http.StatusInternalServerError, "failed", "the version is broken")
	case r.Method == http.MethodPost:
		d.book(w, r, body, f)
	case r.Method == http.MethodGet || r.Method == http.MethodHead:
		d.status(w, rest, f)
	default:
		fail(w, http.StatusMethodNotAllowed, "badRequest", "method is not supported")
	}
}

func (d *Desk) book(w http.ResponseWriter, r *http.Request, body []byte, f fate) {
	if f.crashBefore {
		d.Crash()
		panic(http.ErrAbortHandler)
	}
	if !d.thawed(r.Context()) { // a call that is cut off while frozen has not run
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
	case f.crashAfter:
		d.Crash()
		panic(http.ErrAbortHandler)
	case f.dropAfter:
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Version", f.version)
	out, _ := json.Marshal(b)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	if f.cut {
		_, _ = w.Write(out[:len(out)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(out)
}

func (d *Desk) status(w http.ResponseWriter, id string, f fate) {
	w.Header().Set("X-Version", f.version)
	b, ok := d.cfg.Book.find(id)
	if !ok {
		fail(w, http.StatusNotFound, "notFound", "no such booking")
		return
	}
	reply(w, b)
}
