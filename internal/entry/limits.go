package entry

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/entry/entrpb"
	"cranberrypath.example/cranberrypath/internal/limit"
	"cranberrypath.example/cranberrypath/internal/store"
	"cranberrypath.example/cranberrypath/internal/world"
)

// DemandSection and ResultsSection name sections of the reports to control.
const (
	DemandSection  = "demand"
	ResultsSection = "results"
)

// limitsTable holds the limits of each service. Services have separate limits,
// because a slot of a model engine is of no use to a plain service.
type limitsTable struct {
	mu        sync.Mutex
	byService map[string]*serviceLimits
}

type serviceLimits struct {
	limits        *limit.Limits
	configVersion uint64 // configuration version that the limits were built from
	instances     int
	slots         float64
}

// limitsFor returns the limits of a service, configured for the current members
// of the cell.
func (e *Entry) limitsFor(service string, v *store.View, now time.Time) *limit.Limits {
	slots := 0.0
	for _, p := range e.member.Permits(now) {
		if p.Service == service {
			slots += float64(p.Slots)
		}
	}
	instances := 1
	for _, p := range e.member.Peers(now) {
		if p.Serving && !p.Draining {
			instances++
		}
	}
	e.limitsTable.mu.Lock()
	defer e.limitsTable.mu.Unlock()
	if e.limitsTable.byService == nil {
		e.limitsTable.byService = map[string]*serviceLimits{}
	}
	current := e.limitsTable.byService[service]
	if current != nil && current.configVersion == v.Config && current.instances == instances && current.slots == slots {
		return current.limits
	}
	cfg := limit.Config{
		Instance: e.cfg.Settings.Node, Instances: instances, Capacity: slots * Overcommit,
		Weights: map[string]float64{}, LongShare: v.PresetInForce().LongShare,
	}
	for _, o := range v.Declaration.Organisations {
		cfg.Weights[o.Name] = v.Declaration.WeightOf(o.Name, v.PresetInForce())
	}
	if current == nil {
		current = &serviceLimits{limits: limit.New(cfg)}
		e.limitsTable.byService[service] = current
	} else {
		current.limits.Configure(cfg)
	}
	current.configVersion, current.instances, current.slots = v.Config, instances, slots
	return current.limits
}

// Overcommit is how many requests are admitted per slot. A short queue keeps
// the batches of the engines full. A longer queue would miss the latency
// target, so requests beyond it are refused with a retry time.
const Overcommit = 1.5

// admit checks the limits. A refusal is immediate and tells the caller when to
// retry.
func (e *Entry) admit(c *call, service string, class world.Class) (*limit.Limits, *failure) {
	l := e.limitsFor(service, c.view, c.now)
	d := l.Admit(c.org.Name, class, limit.Cost{Class: class}, c.now)
	if d.Admit {
		return l, nil
	}
	f := &failure{status: 429, errorType: "rate_limit_error", code: "overShare", message: d.Reason, outcome: outcomeNotRun}
	return nil, f.withRetryAfter(max(d.RetryAfter, time.Second))
}

// BuildDemand builds the demand section of a report.
func (e *Entry) BuildDemand(now time.Time) []byte {
	msg := &entrpb.Demand{Node: e.cfg.Settings.Node, Cell: e.cfg.Settings.Cell, Callers: e.member.Self().Callers}
	e.limitsTable.mu.Lock()
	for name, s := range e.limitsTable.byService {
		demand := &entrpb.ServiceDemand{Service: name}
		for _, d := range s.limits.Demand(now) {
			demand.Orgs = append(demand.Orgs, &entrpb.OrgDemand{Org: d.Org, Weight: d.Weight, Want: d.Want, InUse: d.InUse})
		}
		msg.Services = append(msg.Services, demand)
	}
	e.limitsTable.mu.Unlock()
	for _, p := range e.member.Announced(now) {
		msg.Backends = append(msg.Backends, backendReport(p.Backend, p.Load, now))
	}
	return mustMarshal(msg)
}

func backendReport(b world.Backend, l world.Load, now time.Time) *entrpb.Backend {
	r := &entrpb.Backend{
		Id: b.ID, Incarnation: b.Incarnation, Address: b.Address, Service: b.Service, Versions: b.Versions,
		DataCentre: b.DataCentre, Zone: b.Zone, MachineClass: b.MachineClass, Reclaimable: b.Reclaimable,
		Slots: uint32(max(b.Slots, 0)), State: uint32(b.State), Running: uint32(max(l.Running+l.Waiting, 0)),
	}
	if !b.LeaveBy.IsZero() {
		r.LeaveInMs = max(b.LeaveBy.Sub(now).Milliseconds(), 1)
	}
	return r
}

// ApplyGrants applies the reply to the demand section.
func (e *Entry) ApplyGrants(answer []byte, sent, _ time.Time) {
	var msg entrpb.Grants
	if proto.Unmarshal(answer, &msg) != nil {
		return // the old grants expire, then the shares without a leader apply
	}
	byService := map[string][]limit.Grant{}
	for _, g := range msg.Grants {
		byService[g.Service] = append(byService[g.Service], limit.Grant{Instance: e.cfg.Settings.Node, Org: g.Org, Amount: g.Amount})
	}
	e.limitsTable.mu.Lock()
	defer e.limitsTable.mu.Unlock()
	for name, s := range e.limitsTable.byService {
		if grants, ok := byService[name]; ok {
			s.limits.Grant(grants, sent)
		}
	}
}

// BuildResults builds the results section of a report.
func (e *Entry) BuildResults(now time.Time) []byte {
	b, err := e.results.Take(now).Encode()
	if err != nil {
		return nil
	}
	return b
}

func mustMarshal(m proto.Message) []byte {
	b, err := proto.Marshal(m)
	if err != nil {
		panic(err) // messages built here can always be marshalled
	}
	return b
}
