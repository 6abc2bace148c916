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

	mu    sync.Mutex
	since time.Time // of the leadership; zero while the grants loop does not run
	nodes map[string]nodeReport
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
	return &collector{window: window, nodes: map[string]nodeReport{}}
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
	byID := map[string]server{}
	for _, r := range c.nodes {
		if now.Sub(r.at) >= c.window || cell != "" && r.cell != cell {
			continue
		}
		for _, s := range r.backends {
			old, ok := byID[s.ID]
			if !ok || s.newer(old) {
				byID[s.ID] = s
			}
		}
	}
	out := make([]server, 0, len(byID))
	for _, s := range byID {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// newer compares two reports on a server, which may come from its old and its new
// home. The states of one incarnation are passed in order, so the last one counts.
func (s server) newer(o server) bool {
	return cmp.Or(cmp.Compare(s.Incarnation, o.Incarnation), cmp.Compare(s.State, o.State), s.at.Compare(o.at)) > 0
}

// isReady reports whether the server takes new work.
func (s server) isReady() bool { return s.State == world.Ready && s.LeaveBy.IsZero() }

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
	self, ok := c.nodes[node]
	ready := !c.since.IsZero() && now.Sub(c.since) >= c.window
	demands := map[string][]limit.Demand{}
	for n, r := range c.nodes {
		if now.Sub(r.at) >= c.window || r.cell != self.cell {
			continue
		}
		for _, s := range r.services {
			for _, o := range s.Orgs {
				demands[s.Service] = append(demands[s.Service], limit.Demand{
					Node: n, Org: o.Org, Weight: weight(v, o), Want: o.Want, InUse: o.InUse,
				})
			}
		}
	}
	c.mu.Unlock()
	if !ok || !ready {
		return nil
	}
	var out []*entrpb.Grant
	all := c.servers(self.cell, now)
	for _, s := range self.services {
		for _, g := range limit.Allocate(entry.Overcommit*slots(s.Service, all, v), demands[s.Service]) {
			if g.Node == node {
				out = append(out, &entrpb.Grant{Service: s.Service, Org: g.Org, Amount: g.Amount})
			}
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
func slots(service string, all []server, v *store.View) float64 {
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
