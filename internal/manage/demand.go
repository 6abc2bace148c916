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

// demandCollector keeps the newest demand report of each entry instance for the
// duration of window.
type demandCollector struct {
	window time.Duration

	mu          sync.Mutex
	leaderSince time.Time // start of the leadership; zero while the grants loop is not running
	reports     map[string]nodeReport
	prunedAt    time.Time
	// divisions holds the latest division of capacity by cell.
	divisions map[string]capacityDivision
}

// divisionInterval is the minimum time between two divisions of a cell's capacity;
// grants are valid for 3 s.
const divisionInterval = 500 * time.Millisecond

// capacityDivision is the capacity of a cell divided among its nodes.
type capacityDivision struct {
	computedAt    time.Time
	configVersion uint64
	byNode        map[string][]*entrpb.Grant
}

type nodeReport struct {
	receivedAt time.Time
	cell       string
	services   []*entrpb.ServiceDemand
	backends   []server
}

// server is the state of a backend server as reported by an entry instance.
type server struct {
	world.Backend
	inFlight   int // running and queued requests
	reportedAt time.Time
}

func newDemandCollector(window time.Duration) *demandCollector {
	return &demandCollector{window: window, reports: map[string]nodeReport{}, divisions: map[string]capacityDivision{}}
}

// runGrants enables grants for the duration of the leadership.
func (m *Manager) runGrants(ctx context.Context, _ contrl.Leadership) error {
	m.demand.setLeaderSince(m.cfg.Clock())
	defer m.demand.setLeaderSince(time.Time{})
	<-ctx.Done()
	return nil
}

func (c *demandCollector) setLeaderSince(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaderSince = now
	clear(c.divisions)
}

// HandleDemand handles the demand section of a report and returns the sender's grants.
func (m *Manager) HandleDemand(_ context.Context, from link.Peer, body []byte, now time.Time) ([]byte, error) {
	var msg entrpb.Demand
	if err := proto.Unmarshal(body, &msg); err != nil {
		return nil, Error.Wrap(err)
	}
	node := cmp.Or(from.Node, msg.Node)
	m.demand.addReport(node, &msg, now)
	b, err := proto.Marshal(&entrpb.Grants{Grants: m.demand.grantsOf(node, m.cfg.Store.View(), now)})
	return b, Error.Wrap(err)
}

func (c *demandCollector) addReport(node string, msg *entrpb.Demand, now time.Time) {
	r := nodeReport{receivedAt: now, cell: msg.Cell, services: msg.Services}
	for _, b := range msg.Backends {
		r.backends = append(r.backends, serverFromReport(b, now))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reports[node] = r
	if now.Sub(c.prunedAt) < c.window {
		return
	}
	c.prunedAt = now
	for n, old := range c.reports {
		if now.Sub(old.receivedAt) >= c.window {
			delete(c.reports, n)
		}
	}
}

func serverFromReport(b *entrpb.Backend, now time.Time) server {
	s := server{inFlight: int(b.Running), reportedAt: now, Backend: world.Backend{
		ID: b.Id, Incarnation: b.Incarnation, Address: b.Address, Service: b.Service, Versions: b.Versions,
		DataCentre: b.DataCentre, Zone: b.Zone, MachineClass: b.MachineClass, Reclaimable: b.Reclaimable,
		Slots: int(b.Slots), State: world.State(min(b.State, uint32(world.Gone))),
	}}
	if b.LeaveInMs > 0 {
		s.LeaveBy = now.Add(time.Duration(b.LeaveInMs) * time.Millisecond)
	}
	return s
}

// servers returns the backend servers reported within the window, sorted by id; an
// empty cell means all cells.
func (c *demandCollector) servers(cell string, now time.Time) []server {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []server
	for _, s := range c.newestReports(cell, now) {
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// newestReports returns the newest report on each server. The caller holds mu.
func (c *demandCollector) newestReports(cell string, now time.Time) map[string]*server {
	byID := map[string]*server{}
	for _, r := range c.reports {
		if now.Sub(r.receivedAt) >= c.window || cell != "" && r.cell != cell {
			continue
		}
		for i := range r.backends {
			s := &r.backends[i]
			if old := byID[s.ID]; old == nil || s.isNewerThan(old) {
				byID[s.ID] = s
			}
		}
	}
	return byID
}

// isNewerThan compares two reports on a server, which its previous and its current
// entry instance may have sent. An incarnation passes through its states in increasing
// order, so the higher state is the newer one.
func (s *server) isNewerThan(o *server) bool {
	return cmp.Or(cmp.Compare(s.Incarnation, o.Incarnation), cmp.Compare(s.State, o.State), s.reportedAt.Compare(o.reportedAt)) > 0
}

func indexByID(servers []server) map[string]server {
	out := map[string]server{}
	for _, s := range servers {
		out[s.ID] = s
	}
	return out
}

// isReady reports whether the server takes new work.
func (s *server) isReady() bool { return s.State == world.Ready && s.LeaveBy.IsZero() }

// serviceLoad sums the reports: for each service, the slots in use and the slots
// in use or requested.
func (c *demandCollector) serviceLoad(now time.Time) (inUse, wanted map[string]float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	inUse, wanted = map[string]float64{}, map[string]float64{}
	for _, r := range c.reports {
		if now.Sub(r.receivedAt) >= c.window {
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

// grantsOf returns the grants of a node. It returns none during the first window of
// a leadership, because reports are incomplete and grants of the previous leader
// may still be in use.
func (c *demandCollector) grantsOf(node string, v *store.View, now time.Time) []*entrpb.Grant {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaderSince.IsZero() || now.Sub(c.leaderSince) < c.window {
		return nil
	}
	cell := c.reports[node].cell
	d := c.divisions[cell]
	if _, ok := d.byNode[node]; !ok || d.configVersion != v.Config || now.Sub(d.computedAt) >= divisionInterval {
		d = c.divideCapacity(cell, v, now)
		c.divisions[cell] = d
	}
	return d.byNode[node]
}

// divideCapacity allocates the capacity of a cell. The caller holds mu.
func (c *demandCollector) divideCapacity(cell string, v *store.View, now time.Time) capacityDivision {
	out := capacityDivision{computedAt: now, configVersion: v.Config, byNode: map[string][]*entrpb.Grant{}}
	demands := map[string][]limit.Demand{}
	for n, r := range c.reports {
		if now.Sub(r.receivedAt) >= c.window || r.cell != cell {
			continue
		}
		out.byNode[n] = nil
		for _, s := range r.services {
			for _, o := range s.Orgs {
				demands[s.Service] = append(demands[s.Service], limit.Demand{
					Instance: n, Org: o.Org, Weight: effectiveWeight(v, o), Want: o.Want, InUse: o.InUse,
				})
			}
		}
	}
	all := c.newestReports(cell, now)
	for service, list := range demands {
		for _, g := range limit.Allocate(entry.Overcommit*usableSlots(service, all, v), list) {
			out.byNode[g.Instance] = append(out.byNode[g.Instance], &entrpb.Grant{Service: service, Org: g.Org, Amount: g.Amount})
		}
	}
	return out
}

// effectiveWeight returns the organisation's weight under the active preset. The
// weight in the report may still be that of the previous preset.
func effectiveWeight(v *store.View, o *entrpb.OrgDemand) float64 {
	if w := v.Declaration.WeightOf(o.Org, v.PresetInForce()); w > 0 {
		return w
	}
	return o.Weight
}

// usableSlots returns the slots of ready servers that traffic can use. During a
// move the traffic is split between two versions, so the version with the fewest
// slots relative to its share limits the total.
func usableSlots(service string, all map[string]*server, v *store.View) float64 {
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
