package duty

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/coord"
	"cranberrypath.example/cranberrypath/internal/roster"
	"cranberrypath.example/cranberrypath/internal/routes"
	"cranberrypath.example/cranberrypath/internal/world"
)

// orderRecorder records the last order of each kind in each data centre.
type orderRecorder struct {
	testPlatform
	mu     sync.Mutex
	orders map[string]map[bool]int // by data centre and whether reclaimable
}

func (p *orderRecorder) Scale(_ context.Context, _ Fence, o Order) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.orders[o.DataCentre] == nil {
		p.orders[o.DataCentre] = map[bool]int{}
	}
	p.orders[o.DataCentre][o.Reclaimable] = o.Count
	return nil
}

// Guards against orders of servers in a data centre that is evacuated, against servers there
// that count as serving, and against a failure if no other data centre is left.
func TestEvacuatedServersAreReplaced(t *testing.T) {
	env := newTestEnv()
	env.leader, env.lease = "a", coord.Leadership{Term: 1, ElectedAt: start.Add(-time.Minute)}
	r := env.runner("a")
	p := &orderRecorder{testPlatform: testPlatform{testCoord{env, "a"}}, orders: map[string]map[bool]int{}}
	prices := map[string]float64{"a": 1, "b": 1, "c": 1, "d": 1}
	var servers []roster.Server
	for dataCentre := range prices {
		for i := range 10 {
			servers = append(servers, roster.Server{ID: fmt.Sprint(dataCentre, i), Service: "s", DataCentre: dataCentre, State: world.Ready, Reclaimable: i < 8})
		}
	}
	var evacuated []string
	r.cfg.Platform, r.cfg.ScalesEngines, r.cfg.ReportsUsage = p, true, false
	r.cfg.Services = func() ([]routes.Service, []roster.Server) {
		return []routes.Service{{Name: "s", Scaling: &routes.Scaling{Min: 1, Max: 30, StartupTime: time.Second, Prices: prices}}}, servers
	}
	r.cfg.Evacuated = func() []string { return evacuated }
	// play decides for 40 s and returns the number of servers ordered outside of a.
	play := func() int {
		p.orders = map[string]map[bool]int{}
		for range 160 {
			r.tick()
			env.now = env.now.Add(250 * time.Millisecond)
		}
		total := 0
		for dataCentre, kinds := range p.orders {
			if dataCentre != "a" {
				total += kinds[false] + kinds[true]
			}
		}
		return total
	}
	// Under load, so that a fleet is needed at all.
	r.cfg.Coord = busyCoord{testCoord{env, "a"}, func() map[string]coord.Load {
		loads := map[string]coord.Load{}
		for _, s := range servers {
			loads[s.ID] = coord.Load{Server: s.ID, Running: 5}
			if len(evacuated) > 0 {
				loads[s.ID] = coord.Load{Server: s.ID, Running: 7} // the others take over
			}
		}
		return loads
	}}
	before := play()
	evacuated = []string{"a"}
	if during := play(); during <= before || p.orders["a"] != nil {
		t.Errorf("%d servers are ordered in the other data centres, %d before; in the evacuated one %v", during, before, p.orders["a"])
	}
	evacuated = []string{"a", "b", "c", "d"}
	if play(); len(p.orders) != 0 {
		t.Errorf("ordered with all data centres evacuated: %v", p.orders)
	}
	evacuated = nil
	if play(); p.orders["a"] == nil && p.orders["b"] == nil {
		t.Errorf("nothing is ordered after the revocation: %v", p.orders)
	}
	if len(prices) != 4 || len(servers) != 40 {
		t.Error("the configuration was changed")
	}
}

// busyCoord is a testCoord with loads.
type busyCoord struct {
	testCoord
	loads func() map[string]coord.Load
}

func (c busyCoord) Loads() map[string]coord.Load { return c.loads() }
