package manage

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/contrl"
	"cranberrypath.example/cranberrypath/internal/entry"
	"cranberrypath.example/cranberrypath/internal/entry/entrpb"
	"cranberrypath.example/cranberrypath/internal/limit"
	"cranberrypath.example/cranberrypath/internal/link"
	"cranberrypath.example/cranberrypath/internal/store"
	"cranberrypath.example/cranberrypath/internal/world"
)

// collector keeps the newest demand report of each entry instance for a window.
type collector struct {
	window time.Duration

	mu     sync.Mutex
	since  time.Time // of the leadership; zero while the grants loop does not run
	nodes  map[string]nodeReport
	pruned time.Time
	// divided holds the latest division of each cell's capacity.
	divided map[string]division
}

// divideEvery bounds how often a cell's capacity is divided anew; grants last 3 s.
const divideEvery = 500 * time.Millisecond

// division is the capacity of a cell divided among its nodes.
type division struct {
	at     time.Time
	config uint64
	byNode map[string][]*entrpb.Grant
}

type nodeReport struct {
	at       time.Time
	cell     string
	services []*entrpb.ServiceDemand
	backends []server
}

// server is a backend server as an entry instance reports it.
type server struct {
	world.Backend
	running int // requests running and waiting
	at      time.Time
}

func newCollector(window time.Duration) *collector {
	return &collector{window: window, nodes: map[string]nodeReport{}, divided: map[string]division{}}
}

// runGrants marks the time during which grants are given.
func (m *Manager) runGrants(ctx context.Context, _ contrl.Leadership) error {
	m.demand.begin(m.cfg.Clock())
	defer m.demand.begin(time.Time{})
	<-ctx.Done()
	return nil
}

func (c *collector) begin(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.since = now
	clear(c.divided)
}

// Demand answers the demand section of a report with the sender's grants.
func (m *Manager) Demand(_ context.Context, from link.Peer, body []byte, now time.Time) ([]byte, error) {
	var msg entrpb.Demand
	if err := proto.Unmarshal(body, &msg); err != nil {
		return nil, Error.Wrap(err)
	}
	node := cmp.Or(from.Node, msg.Node)
	m.demand.add(node, &msg, now)
	b, err := proto.Marshal(&entrpb.Grants{Grants: m.demand.grants(node, m.cfg.Store.View(), now)})
	return b, Error.Wrap(err)
}

func (c *collector) add(node string, msg *entrpb.Demand, now time.Time) {
	r := nodeReport{at: now, cell: msg.Cell, services: msg.Services}
	for _, b := range msg.Backends {
		r.backends = append(r.backends, reported(b, now))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[node] = r
	if now.Sub(c.pruned) < c.window {
		return
	}
	c.pruned = now
	for n, old := range c.nodes {
		if now.Sub(old.at) >= c.window {
			delete(c.nodes, n)
		}
	}
}

func reported(b *entrpb.Backend, now time.Time) server {
	s := server{running: int(b.Running), at: now, Backend: world.Backend{
		ID: b.Id, Incarnation: b.Incarnation, Address: b.Address, Service: b.Service, Versions: b.Versions,
		DataCentre: b.DataCentre, Zone: b.Zone, MachineClass: b.MachineClass, Reclaimable: b.Reclaimable,
		Slots: int(b.Slots), State: world.State(min(b.State, uint32(world.Gone))),
	}}
	if b.LeaveInMs > 0 {
		s.LeaveBy = now.Add(time.Duration(b.LeaveInMs) * time.Millisecond)
	}
	return s
}

// servers returns the backend servers that were reported within the window, in
// order of their ids; an empty cell means all cells.
func (c *collector) servers(cell string, now time.Time) []server {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []server
	for _, s := range c.merged(cell, now) {
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// merged returns the newest report on each server. mu is held.
func (c *collector) merged(cell string, now time.Time) map[string]*server {
	byID := map[string]*server{}
	for _, r := range c.nodes {
		if now.Sub(r.at) >= c.window || cell != "" && r.cell != cell {
			continue
		}
		for i := range r.backends {
			s := &r.backends[i]
			if old := byID[s.ID]; old == nil || s.newer(old) {
				byID[s.ID] = s
			}
		}
	}
	return byID
}

// newer compares two reports on a server, which may come from its old and its new
// home. The states of one incarnation are passed in order, so the last one counts.
func (s *server) newer(o *server) bool {
	return cmp.Or(cmp.Compare(s.Incarnation, o.Incarnation), cmp.Compare(s.State, o.State), s.at.Compare(o.at)) > 0
}

func byID(servers []server) map[string]server {
	out := map[string]server{}
	for _, s := range servers {
		out[s.ID] = s
	}
	return out
}

// isReady reports whether the server takes new work.
func (s *server) isReady() bool { return s.State == world.Ready && s.LeaveBy.IsZero() }

// load sums the reports: by service, the slots in use and the slots that are in
// use or wanted.
func (c *collector) load(now time.Time) (inUse, wanted map[string]float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	inUse, wanted = map[string]float64{}, map[string]float64{}
	for _, r := range c.nodes {
		if now.Sub(r.at) >= c.window {
			continue
		}
		for _, s := range r.services {
			for _, o := range s.Orgs {
				inUse[s.Service] += max(o.InUse, 0)
				wanted[s.Service] += max(o.Want, o.InUse, 0)
			}
		}
	}
	return inUse, wanted
}

// grants returns the grants of one node. For the first window of a leadership
// there are none: the reports are not complete, and grants of the leader before
// may still be in use.
func (c *collector) grants(node string, v *store.View, now time.Time) []*entrpb.Grant {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.since.IsZero() || now.Sub(c.since) < c.window {
		return nil
	}
	cell := c.nodes[node].cell
	d := c.divided[cell]
	if _, ok := d.byNode[node]; !ok || d.config != v.Config || now.Sub(d.at) >= divideEvery {
		d = c.divide(cell, v, now)
		c.divided[cell] = d
	}
	return d.byNode[node]
}

// divide allocates the capacity of a cell. mu is held.
func (c *collector) divide(cell string, v *store.View, now time.Time) division {
	out := division{at: now, config: v.Config, byNode: map[string][]*entrpb.Grant{}}
	demands := map[string][]limit.Demand{}
	for n, r := range c.nodes {
		if now.Sub(r.at) >= c.window || r.cell != cell {
			continue
		}
		out.byNode[n] = nil
		for _, s := range r.services {
			for _, o := range s.Orgs {
				demands[s.Service] = append(demands[s.Service], limit.Demand{
					Node: n, Org: o.Org, Weight: weight(v, o), Want: o.Want, InUse: o.InUse,
				})
			}
		}
	}
	all := c.merged(cell, now)
	for service, list := range demands {
		for _, g := range limit.Allocate(entry.Overcommit*slots(service, all, v), list) {
			out.byNode[g.Node] = append(out.byNode[g.Node], &entrpb.Grant{Service: service, Org: g.Org, Amount: g.Amount})
		}
	}
	return out
}

// weight is the declared one under the preset in force; a report may have been
// sent under the preset before.
func weight(v *store.View, o *entrpb.OrgDemand) float64 {
	if w := v.Declaration.WeightOf(o.Org, v.PresetInForce()); w > 0 {
		return w
	}
	return o.Weight
}

// slots returns the slots of ready servers that traffic can use. During a move
// each version gets its share of the traffic, so the version with the fewest
// slots for its share bounds the whole.
func slots(service string, all map[string]*server, v *store.View) float64 {
	total, byVersion := 0.0, map[string]float64{}
	for _, s := range all {
		if s.Service != service || !s.isReady() {
			continue
		}
		total += float64(s.Slots)
		for _, version := range s.Versions {
			byVersion[version] += float64(s.Slots)
		}
	}
	m, moving := v.Running(service)
	if !moving {
		return total
	}
	for version, share := range map[string]float64{m.From: 1 - m.Share, m.To: m.Share} {
		if share > 0 && byVersion[version] > 0 {
			total = min(total, byVersion[version]/share)
		}
	}
	return total
}
