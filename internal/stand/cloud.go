package stand

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const maxNotices = 10_000

// Offer is what the cloud rents out in one zone.
type Offer struct {
	DataCentre, Zone, MachineClass string
	Reclaimable                    int // instances of each kind that the zone can hold
	OnDemand                       int
	ReclaimablePrice               float64 // average, currency units per hour
	OnDemandPrice                  float64
}

// CloudConfig sets up a Cloud.
type CloudConfig struct {
	Listen     string // "127.0.0.1:0" if empty
	Token      string // required from callers unless empty
	Offers     []Offer
	Seed       uint64
	PriceEvery time.Duration // between price changes of reclaimable instances; 10 s if zero
	StartDelay time.Duration // from the request to the start of the server
	// Start runs the server of an instance, and Stop ends it: by a reclaim
	// (at leaveBy), a call or a failed Start. Both are called without locks held;
	// either may be nil. An instance that ends while it starts is stopped twice.
	Start func(i Instance) error
	Stop  func(i Instance, reclaimed bool)
	// Notice tells the server about its reclaim.
	Notice func(i Instance)
}

// Instance is one rented instance.
type Instance struct {
	ID           string     `json:"id"`
	RequestID    string     `json:"requestId"`
	DataCentre   string     `json:"dataCentre"`
	Zone         string     `json:"zone"`
	MachineClass string     `json:"machineClass"`
	Reclaimable  bool       `json:"reclaimable"`
	Service      string     `json:"service"`
	Version      string     `json:"version"`
	State        string     `json:"state"`
	Started      time.Time  `json:"started"`
	LeaveBy      *time.Time `json:"leaveBy,omitempty"`
	Price        float64    `json:"price"`

	wishedZone string
	ended      time.Time
}

type notice struct {
	Number     uint64    `json:"number"`
	Instance   string    `json:"instance"`
	LeaveBy    time.Time `json:"leaveBy"`
	DataCentre string    `json:"dataCentre"`
	Zone       string    `json:"zone"`
}

// Cloud simulates the cloud API.
type Cloud struct {
	cfg  CloudConfig
	addr string
	srv  *http.Server

	mu        sync.Mutex
	rng       *rand.Rand
	began     time.Time
	instances []*Instance
	byRequest map[string]*Instance
	notices   []notice
	last      uint64
	refused   map[string]bool // data centre, or data centre and zone
	loseNext  int

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// NewCloud starts a cloud.
func NewCloud(cfg CloudConfig) (*Cloud, error) {
	cfg.PriceEvery = cmp.Or(cfg.PriceEvery, 10*time.Second)
	ln, err := net.Listen("tcp", cmp.Or(cfg.Listen, "127.0.0.1:0"))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	c := &Cloud{
		cfg: cfg, addr: ln.Addr().String(), rng: rand.New(rand.NewPCG(cfg.Seed, 1)), began: time.Now(),
		byRequest: map[string]*Instance{}, refused: map[string]bool{},
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	mux := http.NewServeMux()
	mux.HandleFunc("POST /cloud/instances", c.handleStart)
	mux.HandleFunc("GET /cloud/instances", c.handleList)
	mux.HandleFunc("DELETE /cloud/instances/{id}", c.handleStop)
	mux.HandleFunc("GET /cloud/notices", c.handleNotices)
	mux.HandleFunc("GET /cloud/prices", c.handlePrices)
	c.srv = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if cfg.Token != "" && r.Header.Get("Authorization") != "Bearer "+cfg.Token {
			fail(w, http.StatusUnauthorized, "unauthorized", "wrong token")
			return
		}
		mux.ServeHTTP(w, r)
	})}
	c.wg.Go(func() { _ = c.srv.Serve(ln) })
	return c, nil
}

// URL returns the address without path.
func (c *Cloud) URL() string { return "http://" + c.addr }

// Close ends the API and its goroutines. Instances are not stopped.
func (c *Cloud) Close() error {
	c.mu.Lock()
	c.cancel()
	c.mu.Unlock()
	err := c.srv.Close()
	c.wg.Wait()
	return err
}

// Refuse makes starts in a data centre, or in one of its zones, be refused.
func (c *Cloud) Refuse(dataCentre, zone string, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused[dataCentre+"/"+zone] = on
}

// LoseAnswers makes the next n starts take effect without an answer.
func (c *Cloud) LoseAnswers(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loseNext = n
}

// Reclaim announces the end of a share of the reclaimable instances of a data
// centre, or of one zone, and stops them after the time of notice. It returns
// their ids.
func (c *Cloud) Reclaim(dataCentre, zone string, share float64, notice time.Duration) []string {
	now := time.Now()
	c.mu.Lock()
	var hit []*Instance
	for _, i := range c.instances {
		if i.Reclaimable && i.LeaveBy == nil && i.up() && i.DataCentre == dataCentre && (zone == "" || i.Zone == zone) {
			hit = append(hit, i)
		}
	}
	c.rng.Shuffle(len(hit), func(a, b int) { hit[a], hit[b] = hit[b], hit[a] })
	hit = hit[:min(len(hit), int(share*float64(len(hit))+0.999))]
	var ids []string
	for _, i := range hit {
		ids = append(ids, i.ID)
		c.announce(i, now.Add(notice).UTC())
	}
	c.mu.Unlock()
	return ids
}

// announce gives notice of the end of an instance. The caller holds mu.
func (c *Cloud) announce(i *Instance, leaveBy time.Time) {
	i.LeaveBy = &leaveBy
	c.last++
	c.notices = append(c.notices, notice{c.last, i.ID, leaveBy, i.DataCentre, i.Zone})
	if len(c.notices) > maxNotices {
		c.notices = c.notices[1:]
	}
	copied := *i
	c.task(func() {
		if c.cfg.Notice != nil {
			c.cfg.Notice(copied)
		}
		if sleep(c.ctx, time.Until(leaveBy)) {
			c.end(i, true)
		}
	})
}

// task runs f unless the cloud is closed. The caller holds mu.
func (c *Cloud) task(f func()) {
	if c.ctx.Err() == nil {
		c.wg.Go(f)
	}
}

// Fail stops an instance without notice.
func (c *Cloud) Fail(id string) {
	c.mu.Lock()
	i := c.find(id)
	c.mu.Unlock()
	if i != nil {
		c.end(i, true)
	}
}

// Instances returns all instances, including those that are gone.
func (c *Cloud) Instances() []Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Instance
	for _, i := range c.instances {
		out = append(out, *i)
	}
	return out
}

// Cost returns what all instances have cost until now, in currency units, at the
// prices of their starts.
func (c *Cloud) Cost(now time.Time) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	var sum float64
	for _, i := range c.instances {
		until := now
		if !i.ended.IsZero() {
			until = i.ended
		}
		sum += i.Price * until.Sub(i.Started).Hours()
	}
	return sum
}

func (i *Instance) up() bool { return i.State == "starting" || i.State == "running" }

func (c *Cloud) find(id string) *Instance {
	for _, i := range c.instances {
		if i.ID == id {
			return i
		}
	}
	return nil
}

// end stops an instance once.
func (c *Cloud) end(i *Instance, reclaimed bool) {
	c.mu.Lock()
	if !i.up() {
		c.mu.Unlock()
		return
	}
	ran := i.State == "running"
	i.State, i.ended = "gone", time.Now()
	copied := *i
	c.mu.Unlock()
	if ran && c.cfg.Stop != nil {
		c.cfg.Stop(copied, reclaimed)
	}
}

func (c *Cloud) handleStart(w http.ResponseWriter, r *http.Request) {
	var in Instance
	if json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<20)).Decode(&in) != nil || in.RequestID == "" {
		fail(w, http.StatusBadRequest, "badRequest", "malformed request")
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.byRequest[in.RequestID]; old != nil {
		if !old.same(in) {
			fail(w, http.StatusConflict, "otherRequest", "requestId was used for another instance")
			return
		}
		reply(w, old)
		return
	}
	i, err := c.rent(in, time.Now())
	switch {
	case errors.Is(err, errNoOffer):
		fail(w, http.StatusBadRequest, "badRequest", "no such data centre, zone or machine class")
		return
	case err != nil:
		fail(w, http.StatusConflict, "noCapacity", "nothing was started")
		return
	}
	if c.loseNext > 0 {
		c.loseNext--
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	reply(w, i)
}

func (i *Instance) same(in Instance) bool {
	return i.DataCentre == in.DataCentre && i.wishedZone == in.Zone && i.MachineClass == in.MachineClass &&
		i.Reclaimable == in.Reclaimable && i.Service == in.Service && i.Version == in.Version
}

var (
	errNoOffer    = errors.New("no such offer")
	errNoCapacity = errors.New("no capacity")
)

// rent starts an instance. The caller holds mu.
func (c *Cloud) rent(in Instance, now time.Time) (*Instance, error) {
	var fit []Offer
	for _, o := range c.cfg.Offers {
		if o.DataCentre == in.DataCentre && o.MachineClass == in.MachineClass && (in.Zone == "" || in.Zone == o.Zone) {
			fit = append(fit, o)
		}
	}
	if len(fit) == 0 {
		return nil, errNoOffer
	}
	fit = slices.DeleteFunc(fit, func(o Offer) bool { return c.free(o, in.Reclaimable) <= 0 })
	if len(fit) == 0 {
		return nil, errNoCapacity
	}
	o := slices.MinFunc(fit, func(a, b Offer) int {
		return cmp.Compare(c.price(a, in.Reclaimable, now), c.price(b, in.Reclaimable, now))
	})
	i := &Instance{
		ID: fmt.Sprintf("i-%d", len(c.instances)+1), RequestID: in.RequestID,
		DataCentre: o.DataCentre, Zone: o.Zone, MachineClass: o.MachineClass, Reclaimable: in.Reclaimable,
		Service: in.Service, Version: in.Version, State: "starting", Started: now.UTC(),
		Price: c.price(o, in.Reclaimable, now), wishedZone: in.Zone,
	}
	c.instances = append(c.instances, i)
	c.byRequest[in.RequestID] = i
	c.task(func() {
		if sleep(c.ctx, c.cfg.StartDelay) {
			c.run(i)
		}
	})
	return i, nil
}

// run starts the server of an instance.
func (c *Cloud) run(i *Instance) {
	c.mu.Lock()
	if i.State != "starting" {
		c.mu.Unlock()
		return
	}
	i.State = "running"
	copied := *i
	c.mu.Unlock()
	if c.cfg.Start == nil {
		return
	}
	if err := c.cfg.Start(copied); err != nil {
		c.end(i, false)
		return
	}
	c.mu.Lock()
	late := !i.up() // stopped while it started
	copied = *i
	c.mu.Unlock()
	if late && c.cfg.Stop != nil {
		c.cfg.Stop(copied, true)
	}
}

func (c *Cloud) free(o Offer, reclaimable bool) int {
	if c.refused[o.DataCentre+"/"] || c.refused[o.DataCentre+"/"+o.Zone] {
		return 0
	}
	n := o.OnDemand
	if reclaimable {
		n = o.Reclaimable
	}
	for _, i := range c.instances {
		if i.up() && i.DataCentre == o.DataCentre && i.Zone == o.Zone && i.MachineClass == o.MachineClass && i.Reclaimable == reclaimable {
			n--
		}
	}
	return n
}

// price is a function of seed, place and time, so that runs can be repeated.
func (c *Cloud) price(o Offer, reclaimable bool, now time.Time) float64 {
	if !reclaimable {
		return o.OnDemandPrice
	}
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, c.cfg.Seed, o.DataCentre, o.Zone, o.MachineClass, int64(now.Sub(c.began)/c.cfg.PriceEvery))
	swing := rand.New(rand.NewPCG(h.Sum64(), 2)).Float64()
	return o.ReclaimablePrice * (0.7 + 0.6*swing)
}

func (c *Cloud) handleList(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := []*Instance{}
	for _, i := range c.instances {
		if i.up() {
			list = append(list, i)
		}
	}
	reply(w, map[string]any{"instances": list})
}

func (c *Cloud) handleStop(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	i := c.find(r.PathValue("id"))
	if i != nil {
		c.task(func() { c.end(i, false) })
	}
	c.mu.Unlock()
	if i == nil {
		fail(w, http.StatusNotFound, "unknownInstance", "no such instance")
		return
	}
	reply(w, map[string]string{"id": i.ID, "state": "stopping"})
}

func (c *Cloud) handleNotices(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(cmp.Or(r.URL.Query().Get("after"), "0"), 10, 64)
	if err != nil {
		fail(w, http.StatusBadRequest, "badRequest", "after is not a number")
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	list := []notice{}
	for _, n := range c.notices {
		if n.Number > after {
			list = append(list, n)
		}
	}
	reply(w, map[string]any{"notices": list, "last": c.last})
}

func (c *Cloud) handlePrices(w http.ResponseWriter, _ *http.Request) {
	type price struct {
		DataCentre   string  `json:"dataCentre"`
		Zone         string  `json:"zone"`
		MachineClass string  `json:"machineClass"`
		Reclaimable  bool    `json:"reclaimable"`
		Price        float64 `json:"price"`
	}
	now := time.Now()
	list := []price{}
	for _, o := range c.cfg.Offers {
		for _, kind := range []bool{true, false} {
			list = append(list, price{o.DataCentre, o.Zone, o.MachineClass, kind, c.price(o, kind, now)})
		}
	}
	reply(w, map[string]any{"prices": list})
}
