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

// Offer describes the capacity and prices of a machine class in one zone.
type Offer struct {
	DataCentre, Zone, MachineClass string
	Reclaimable                    int     // capacity in reclaimable instances
	OnDemand                       int     // capacity in on-demand instances
	ReclaimablePrice               float64 // average price in currency units per hour
	OnDemandPrice                  float64
}

// CloudConfig configures a Cloud.
type CloudConfig struct {
	Listen     string // "127.0.0.1:0" if empty
	Token      string // bearer token that callers must present; none if empty
	Offers     []Offer
	Seed       uint64
	PriceEvery time.Duration // time between price changes of reclaimable instances; 10 s if zero
	StartDelay time.Duration // time between the request and the start of the server
	// Start starts the server of an instance. Stop stops it after a reclaim (at
	// leaveBy), an API call or a failed Start. Both are called without locks held and
	// may be nil. Stop is called twice for an instance that is stopped during Start.
	Start func(i Instance) error
	Stop  func(i Instance, reclaimed bool)
	// Notice notifies the server of its reclaim; may be nil.
	Notice func(i Instance)
}

// Instance is an instance that was started through the API.
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

	requestedZone string
	endedAt       time.Time
}

type notice struct {
	Number     uint64    `json:"number"`
	Instance   string    `json:"instance"`
	LeaveBy    time.Time `json:"leaveBy"`
	DataCentre string    `json:"dataCentre"`
	Zone       string    `json:"zone"`
}

// Cloud simulates the instance API of a cloud provider.
type Cloud struct {
	cfg  CloudConfig
	addr string
	srv  *http.Server

	mu              sync.Mutex
	rng             *rand.Rand
	startedAt       time.Time
	instances       []*Instance
	byRequest       map[string]*Instance
	notices         []notice
	lastNotice      uint64
	refused         map[string]bool // by "data centre/" or "data centre/zone"
	responsesToDrop int

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// NewCloud starts the simulated API.
func NewCloud(cfg CloudConfig) (*Cloud, error) {
	cfg.PriceEvery = cmp.Or(cfg.PriceEvery, 10*time.Second)
	ln, err := net.Listen("tcp", cmp.Or(cfg.Listen, "127.0.0.1:0"))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	c := &Cloud{
		cfg: cfg, addr: ln.Addr().String(), rng: rand.New(rand.NewPCG(cfg.Seed, 1)), startedAt: time.Now(),
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
			writeError(w, http.StatusUnauthorized, "unauthorized", "wrong token")
			return
		}
		mux.ServeHTTP(w, r)
	})}
	c.wg.Go(func() { _ = c.srv.Serve(ln) })
	return c, nil
}

// URL returns the base URL of the API, without a path.
func (c *Cloud) URL() string { return "http://" + c.addr }

// Close shuts down the API and waits for its goroutines. It doesn't stop instances.
func (c *Cloud) Close() error {
	c.mu.Lock()
	c.cancel()
	c.mu.Unlock()
	err := c.srv.Close()
	c.wg.Wait()
	return err
}

// Refuse sets whether starts in a data centre, or in one zone if zone is set, are
// refused for lack of capacity.
func (c *Cloud) Refuse(dataCentre, zone string, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused[dataCentre+"/"+zone] = on
}

// LoseAnswers drops the responses of the next n start requests, which still take
// effect.
func (c *Cloud) LoseAnswers(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responsesToDrop = n
}

// Reclaim reclaims a share of the reclaimable instances of a data centre, or of one
// zone if zone is set: it publishes notices at once and stops the instances after
// noticePeriod. It returns their ids.
func (c *Cloud) Reclaim(dataCentre, zone string, share float64, noticePeriod time.Duration) []string {
	now := time.Now()
	c.mu.Lock()
	var selected []*Instance
	for _, i := range c.instances {
		if i.Reclaimable && i.LeaveBy == nil && i.up() && i.DataCentre == dataCentre && (zone == "" || i.Zone == zone) {
			selected = append(selected, i)
		}
	}
	c.rng.Shuffle(len(selected), func(a, b int) { selected[a], selected[b] = selected[b], selected[a] })
	selected = selected[:min(len(selected), int(share*float64(len(selected))+0.999))]
	var ids []string
	for _, i := range selected {
		ids = append(ids, i.ID)
		c.scheduleReclaim(i, now.Add(noticePeriod).UTC())
	}
	c.mu.Unlock()
	return ids
}

// scheduleReclaim publishes a reclaim notice for an instance and stops it at leaveBy.
// The caller holds mu.
func (c *Cloud) scheduleReclaim(i *Instance, leaveBy time.Time) {
	i.LeaveBy = &leaveBy
	c.lastNotice++
	c.notices = append(c.notices, notice{c.lastNotice, i.ID, leaveBy, i.DataCentre, i.Zone})
	if len(c.notices) > maxNotices {
		c.notices = c.notices[1:]
	}
	snapshot := *i
	c.spawn(func() {
		if c.cfg.Notice != nil {
			c.cfg.Notice(snapshot)
		}
		if sleep(c.ctx, time.Until(leaveBy)) {
			c.terminate(i, true)
		}
	})
}

// spawn runs f in a goroutine unless the cloud is closed. The caller holds mu.
func (c *Cloud) spawn(f func()) {
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
		c.terminate(i, true)
	}
}

// Instances returns all instances, including stopped ones.
func (c *Cloud) Instances() []Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Instance
	for _, i := range c.instances {
		out = append(out, *i)
	}
	return out
}

// Cost returns the total cost of all instances until now, in currency units. Each
// instance is charged at its price when it was started.
func (c *Cloud) Cost(now time.Time) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	var sum float64
	for _, i := range c.instances {
		until := now
		if !i.endedAt.IsZero() {
			until = i.endedAt
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

// terminate stops an instance unless it has been stopped already.
func (c *Cloud) terminate(i *Instance, reclaimed bool) {
	c.mu.Lock()
	if !i.up() {
		c.mu.Unlock()
		return
	}
	wasRunning := i.State == "running"
	i.State, i.endedAt = "gone", time.Now()
	snapshot := *i
	c.mu.Unlock()
	if wasRunning && c.cfg.Stop != nil {
		c.cfg.Stop(snapshot, reclaimed)
	}
}

func (c *Cloud) handleStart(w http.ResponseWriter, r *http.Request) {
	var in Instance
	if json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<20)).Decode(&in) != nil || in.RequestID == "" {
		writeError(w, http.StatusBadRequest, "badRequest", "malformed request")
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if existing := c.byRequest[in.RequestID]; existing != nil {
		if !existing.sameRequest(in) {
			writeError(w, http.StatusConflict, "otherRequest", "requestId was used for another instance")
			return
		}
		writeJSON(w, existing)
		return
	}
	i, err := c.allocate(in, time.Now())
	switch {
	case errors.Is(err, errNoOffer):
		writeError(w, http.StatusBadRequest, "badRequest", "no such data centre, zone or machine class")
		return
	case err != nil:
		writeError(w, http.StatusConflict, "noCapacity", "nothing was started")
		return
	}
	if c.responsesToDrop > 0 {
		c.responsesToDrop--
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	writeJSON(w, i)
}

func (i *Instance) sameRequest(in Instance) bool {
	return i.DataCentre == in.DataCentre && i.requestedZone == in.Zone && i.MachineClass == in.MachineClass &&
		i.Reclaimable == in.Reclaimable && i.Service == in.Service && i.Version == in.Version
}

var (
	errNoOffer    = errors.New("no such offer")
	errNoCapacity = errors.New("no capacity")
)

// allocate starts an instance from the cheapest matching offer with free capacity.
// The caller holds mu.
func (c *Cloud) allocate(in Instance, now time.Time) (*Instance, error) {
	var offers []Offer
	for _, o := range c.cfg.Offers {
		if o.DataCentre == in.DataCentre && o.MachineClass == in.MachineClass && (in.Zone == "" || in.Zone == o.Zone) {
			offers = append(offers, o)
		}
	}
	if len(offers) == 0 {
		return nil, errNoOffer
	}
	offers = slices.DeleteFunc(offers, func(o Offer) bool { return c.freeCapacity(o, in.Reclaimable) <= 0 })
	if len(offers) == 0 {
		return nil, errNoCapacity
	}
	o := slices.MinFunc(offers, func(a, b Offer) int {
		return cmp.Compare(c.price(a, in.Reclaimable, now), c.price(b, in.Reclaimable, now))
	})
	i := &Instance{
		ID: fmt.Sprintf("i-%d", len(c.instances)+1), RequestID: in.RequestID,
		DataCentre: o.DataCentre, Zone: o.Zone, MachineClass: o.MachineClass, Reclaimable: in.Reclaimable,
		Service: in.Service, Version: in.Version, State: "starting", Started: now.UTC(),
		Price: c.price(o, in.Reclaimable, now), requestedZone: in.Zone,
	}
	c.instances = append(c.instances, i)
	c.byRequest[in.RequestID] = i
	c.spawn(func() {
		if sleep(c.ctx, c.cfg.StartDelay) {
			c.startServer(i)
		}
	})
	return i, nil
}

// startServer starts the server of an instance unless it has been stopped.
func (c *Cloud) startServer(i *Instance) {
	c.mu.Lock()
	if i.State != "starting" {
		c.mu.Unlock()
		return
	}
	i.State = "running"
	snapshot := *i
	c.mu.Unlock()
	if c.cfg.Start == nil {
		return
	}
	if err := c.cfg.Start(snapshot); err != nil {
		c.terminate(i, false)
		return
	}
	c.mu.Lock()
	stopped := !i.up() // stopped during Start
	snapshot = *i
	c.mu.Unlock()
	if stopped && c.cfg.Stop != nil {
		c.cfg.Stop(snapshot, true)
	}
}

func (c *Cloud) freeCapacity(o Offer, reclaimable bool) int {
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

// price derives the price from the seed, the offer and the time alone, so that runs
// are reproducible.
func (c *Cloud) price(o Offer, reclaimable bool, now time.Time) float64 {
	if !reclaimable {
		return o.OnDemandPrice
	}
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, c.cfg.Seed, o.DataCentre, o.Zone, o.MachineClass, int64(now.Sub(c.startedAt)/c.cfg.PriceEvery))
	fraction := rand.New(rand.NewPCG(h.Sum64(), 2)).Float64()
	return o.ReclaimablePrice * (0.7 + 0.6*fraction)
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
	writeJSON(w, map[string]any{"instances": list})
}

func (c *Cloud) handleStop(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	i := c.find(r.PathValue("id"))
	if i != nil {
		c.spawn(func() { c.terminate(i, false) })
	}
	c.mu.Unlock()
	if i == nil {
		writeError(w, http.StatusNotFound, "unknownInstance", "no such instance")
		return
	}
	writeJSON(w, map[string]string{"id": i.ID, "state": "stopping"})
}

func (c *Cloud) handleNotices(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(cmp.Or(r.URL.Query().Get("after"), "0"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "badRequest", "after is not a number")
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
	writeJSON(w, map[string]any{"notices": list, "last": c.lastNotice})
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
		for _, reclaimable := range []bool{true, false} {
			list = append(list, price{o.DataCentre, o.Zone, o.MachineClass, reclaimable, c.price(o, reclaimable, now)})
		}
	}
	writeJSON(w, map[string]any{"prices": list})
}
