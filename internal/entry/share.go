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

// ReportDemand and ReportResults are the sections of the reports to control.
const (
	ReportDemand  = "demand"
	ReportResults = "results"
)

// shares holds the limits of each service. Services have limits of their own,
// because a slot of a model engine is of no use to a plain service.
type shares struct {
	mu        sync.Mutex
	byService map[string]*serviceShare
}

type serviceShare struct {
	limits *limit.Limits
	config uint64 // configuration version and cell that the limits know
	nodes  int
	slots  float64
}

// of returns the limits of a service, configured for the present cell.
func (e *Entry) limitsOf(service string, v *store.View, now time.Time) *limit.Limits {
	slots := 0.0
	for _, p := range e.member.Permits(now) {
		if p.Service == service {
			slots += float64(p.Slots)
		}
	}
	nodes := 1
	for _, p := range e.member.Peers(now) {
		if p.Serving && !p.Draining {
			nodes++
		}
	}
	e.shares.mu.Lock()
	defer e.shares.mu.Unlock()
	if e.shares.byService == nil {
		e.shares.byService = map[string]*serviceShare{}
	}
	s := e.shares.byService[service]
	if s != nil && s.config == v.Config && s.nodes == nodes && s.slots == slots {
		return s.limits
	}
	cfg := limit.Config{
		Node: e.cfg.Settings.Node, Nodes: nodes, Capacity: slots * Overcommit,
		Weights: map[string]float64{}, LongShare: v.PresetInForce().LongShare,
	}
	for _, o := range v.Declaration.Organisations {
		cfg.Weights[o.Name] = v.Declaration.WeightOf(o.Name, v.PresetInForce())
	}
	if s == nil {
		s = &serviceShare{limits: limit.New(cfg)}
		e.shares.byService[service] = s
	} else {
		s.limits.Configure(cfg)
	}
	s.config, s.nodes, s.slots = v.Config, nodes, slots
	return s.limits
}

// Overcommit is how many requests are admitted for each slot. A short queue at
// the engines keeps their batches full; a longer one would miss the latency
// target, and a refusal with a time to come back is better than that.
const Overcommit = 1.5

// admit asks the limits. A refusal goes out at once with a time to come back.
func (e *Entry) admit(c *call, service string, class world.Class) (*limit.Limits, *failure) {
	l := e.limitsOf(service, c.view, c.now)
	d := l.Admit(c.org.Name, class, limit.Cost{Class: class}, c.now)
	if d.Admit {
		return l, nil
	}
	f := &failure{status: 429, kind: "rate_limit_error", code: "overShare", message: d.Reason, outcome: notRun}
	return nil, f.withRetryAfter(max(d.RetryAfter, time.Second))
}

// FillDemand builds the demand section of a report.
func (e *Entry) FillDemand(now time.Time) []byte {
	msg := &entrpb.Demand{Node: e.cfg.Settings.Node, Cell: e.cfg.Settings.Cell, Callers: e.member.Self().Callers}
	e.shares.mu.Lock()
	for name, s := range e.shares.byService {
		part := &entrpb.ServiceDemand{Service: name}
		for _, d := range s.limits.Demand(now) {
			part.Orgs = append(part.Orgs, &entrpb.OrgDemand{Org: d.Org, Weight: d.Weight, Want: d.Want, InUse: d.InUse})
		}
		msg.Services = append(msg.Services, part)
	}
	e.shares.mu.Unlock()
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

// TakeGrants applies the answer to the demand section.
func (e *Entry) TakeGrants(answer []byte, sent, _ time.Time) {
	var msg entrpb.Grants
	if proto.Unmarshal(answer, &msg) != nil {
		return // the grants lapse and the shares without a leader apply
	}
	byService := map[string][]limit.Grant{}
	for _, g := range msg.Grants {
		byService[g.Service] = append(byService[g.Service], limit.Grant{Node: e.cfg.Settings.Node, Org: g.Org, Amount: g.Amount})
	}
	e.shares.mu.Lock()
	defer e.shares.mu.Unlock()
	for name, s := range e.shares.byService {
		if grants, ok := byService[name]; ok {
			s.limits.Grant(grants, sent)
		}
	}
}

// FillResults builds the results section of a report.
func (e *Entry) FillResults(now time.Time) []byte {
	b, err := e.results.Take(now).Encode()
	if err != nil {
		return nil
	}
	return b
}

func mustMarshal(m proto.Message) []byte {
	b, err := proto.Marshal(m)
	if err != nil {
		panic(err) // messages built here always marshal
	}
	return b
}
