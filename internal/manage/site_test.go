package manage_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/conf"
	"cranberrypath.example/cranberrypath/internal/event"
	"cranberrypath.example/cranberrypath/internal/manage"
	"cranberrypath.example/cranberrypath/internal/oprcli"
	"cranberrypath.example/cranberrypath/internal/site"
	"cranberrypath.example/cranberrypath/internal/stand"
	"cranberrypath.example/cranberrypath/internal/world"
	"cranberrypath.example/cranberrypath/pkg/decl"
)

const siteDeclaration = `{
	"dataCentres": [{"name": "dc1"}, {"name": "dc2"}, {"name": "dc3"}],
	"machineClasses": [{"name": "m", "accelerators": 1, "onDemandPrice": 3, "reclaimablePrice": 1}],
	"services": [{"name": "drafts", "kind": "model", "versions": ["v1", "v2"], "version": "v1", "machineClass": "m"}],
	"organisations": [{"name": "acme", "keys": ["%s"], "weight": 1}],
	"moves": {"firstShare": 0.1, "soakSeconds": 1, "falseAlarm": 0.01},
	"presets": [
		{"name": "ordinary", "capacity": [{"service": "drafts", "min": 2, "max": 9}]},
		{"name": "peak", "capacity": [{"service": "drafts", "min": 4, "max": 9}]}]}`

// cloudSite is a site whose engines run on the instances of a simulated cloud.
type cloudSite struct {
	*site.Site
	t              *testing.T
	cloud          *stand.Cloud
	op             *oprcli.Client
	mu             sync.Mutex
	engineByID     map[string]*stand.Engine
	versionFaults  []stand.VersionFault
	sentRequests   atomic.Int64
	failedRequests atomic.Int64
	clockOffset    atomic.Int64 // nanoseconds by which the nodes' clock is ahead
}

func (s *cloudSite) now() time.Time { return time.Now().Add(time.Duration(s.clockOffset.Load())) }

func newCloudSite(t *testing.T) *cloudSite {
	t.Parallel()
	return newCloudSiteFor(t, siteDeclaration)
}

func newCloudSiteFor(t *testing.T, declared string) *cloudSite {
	const seed = 7
	t.Logf("seed %d", seed)
	d, err := decl.Parse("declared", fmt.Appendf(nil, declared, decl.HashKey("acme-key")))
	if err != nil {
		t.Fatal(err)
	}
	r := &cloudSite{t: t, engineByID: map[string]*stand.Engine{}}
	started := make(chan struct{})
	var offers []stand.Offer
	for _, dc := range d.DataCentres {
		offers = append(offers, stand.Offer{DataCentre: dc.Name, Zone: dc.Name + "-a", MachineClass: "m", Reclaimable: 9, OnDemand: 9, ReclaimablePrice: 1, OnDemandPrice: 3})
	}
	r.cloud, err = stand.NewCloud(stand.CloudConfig{
		Offers: offers, Seed: seed, PriceEvery: time.Hour,
		Start:  func(i stand.Instance) error { <-started; return r.startEngine(i) },
		Stop:   func(i stand.Instance, _ bool) { _ = r.engine(i.ID).Close() },
		Notice: func(i stand.Instance) { r.engine(i.ID).Reclaim(*i.LeaveBy) },
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	cfg := site.Config{
		Seed: seed, DataCentres: []string{"dc1", "dc2", "dc3"}, EntriesPerDataCentre: 1, ControlNodes: 3, Declaration: d, DrainSeconds: 5, FakeDisks: true, Election: time.Second,
		Now: r.now, Platform: conf.Platform{Cloud: r.cloud.URL()}, Manage: manage.Timing{List: 500 * time.Millisecond, Prices: time.Second},
	}
	if r.Site, err = site.Start(ctx, cfg); err != nil {
		t.Fatal(err)
	}
	close(started)
	r.op = r.OperatorClient()
	t.Cleanup(func() { r.op.Close(); r.Close(); _ = r.cloud.Close() })
	return r
}

func (s *cloudSite) startEngine(i stand.Instance) error {
	e, err := s.AddEngine(stand.EngineConfig{
		Spec: stand.Spec{
			ID: i.ID, Service: i.Service, Versions: []string{i.Version}, DataCentre: i.DataCentre, Zone: i.Zone, MachineClass: i.MachineClass,
			Reclaimable: i.Reclaimable, Price: i.Price, Slots: 8, AnnounceEvery: 200 * time.Millisecond,
		},
		CacheBlocks: 1000, Speed: 5,
	})
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engineByID[i.ID] = e
	e.SetVersionFaults(s.versionFaults...)
	return nil
}

func (s *cloudSite) engine(id string) *stand.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engineByID[id]
}

// setVersionFault injects a version fault into all current and future engines.
func (s *cloudSite) setVersionFault(f stand.VersionFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versionFaults = []stand.VersionFault{f}
	for _, e := range s.engineByID {
		e.SetVersionFaults(f)
	}
}

// waitFor waits for a condition; its timeout only ends a test that hangs.
func (s *cloudSite) waitFor(what string, ok func() bool) {
	s.t.Helper()
	for end := time.Now().Add(90 * time.Second); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			for _, e := range s.Timeline(event.Filter{}) {
				s.t.Log(e.Time.Format(time.StampMilli), e.Node, e.Kind, e.Instance, e.Move, e.Detail)
			}
			s.t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// startCallers sends short requests until the test ends.
func (s *cloudSite) startCallers(workers int) {
	stop, wg := make(chan struct{}), sync.WaitGroup{}
	s.t.Cleanup(func() { close(stop); wg.Wait() })
	for w := range workers {
		wg.Go(func() {
			rnd := rand.New(rand.NewPCG(7, uint64(w)))
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(20+rnd.IntN(40)) * time.Millisecond):
				}
				addrs := s.CallerAddrs()
				body := fmt.Sprintf(`{"model": "drafts", "prompt": "plinth %d of %d", "max_tokens": 4}`, n, w)
				req, _ := http.NewRequest(http.MethodPost, "http://"+addrs[rnd.IntN(len(addrs))]+"/v1/completions", strings.NewReader(body))
				req.Header.Set("Authorization", "Bearer acme-key")
				s.sentRequests.Add(1)
				resp, err := http.DefaultClient.Do(req)
				if err != nil {
					s.failedRequests.Add(1)
					continue
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				if resp.StatusCode != http.StatusOK {
					s.failedRequests.Add(1)
				}
			}
		})
	}
}

func (s *cloudSite) instancesUp() (n int) {
	for _, i := range s.cloud.Instances() {
		if i.State == "running" || i.State == "starting" {
			n++
		}
	}
	return n
}

// startsByRequestID counts the instances started for each request id.
func (s *cloudSite) startsByRequestID() map[string]int {
	out := map[string]int{}
	for _, i := range s.cloud.Instances() {
		out[i.RequestID]++
	}
	return out
}

func (s *cloudSite) waitReady(n int) {
	s.waitFor(fmt.Sprint(n, " servers are ready"), func() bool {
		least := 99
		for _, node := range s.Nodes() {
			least = min(least, node.BackendCount())
		}
		return least >= n
	})
}

func (s *cloudSite) getMove(id string) oprcli.Move {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	m, _ := s.op.Move(ctx, id) // the call fails during an election
	return m
}

func (s *cloudSite) startMove(deadline time.Duration) string {
	s.t.Helper()
	res, err := s.op.StartMove(context.Background(), oprcli.NewCommandID(), "drafts", "v2", time.Now().Add(deadline))
	if err != nil {
		s.t.Fatal(err)
	}
	return res.Move.ID
}

// crashLeader crashes the leader and waits for the next one.
func (s *cloudSite) crashLeader() {
	i := -1
	s.waitFor("a leader", func() bool { i = s.LeaderIndex(); return i >= 0 })
	_ = s.StopNode(context.Background(), i, false)
	s.waitFor("the next leader", func() bool { return s.LeaderIndex() >= 0 })
}

// countAttempts counts the attempts started after a point in time, on a version and in
// total.
func (s *cloudSite) countAttempts(version string, after time.Time) (ofVersion, total int) {
	for _, e := range s.Engines() {
		for _, run := range e.Runs() {
			if run.Started.Before(after) {
				continue
			}
			total++
			if run.Version == version {
				ofVersion++
			}
		}
	}
	return ofVersion, total
}

// Guards against a move to a good version that misses its deadline, a move whose end
// is reported twice, and servers purchased twice, when the leader crashes during the
// move.
func TestSiteGoodMove(t *testing.T) {
	r := newCloudSite(t)
	r.waitReady(3)
	r.startCallers(6)
	id := r.startMove(45 * time.Second)
	r.waitFor("a share of a quarter", func() bool { return r.getMove(id).Share >= 0.25 })
	r.crashLeader()
	r.waitFor("the end of the move", func() bool { return r.getMove(id).Outcome != "" })
	m := r.getMove(id)
	if m.Outcome != string(world.Done) || m.Ended.After(m.Deadline) || len(r.Timeline(event.Filter{Move: id, Kind: "move.ended"})) != 1 {
		t.Errorf("%+v", m)
	}
	requests := r.startsByRequestID()
	request := r.cloud.Instances()[0].RequestID
	prefix := request[:strings.LastIndex(request, "-")+1]
	for n := 1; n <= len(requests); n++ {
		if requests[fmt.Sprint(prefix, n)] != 1 {
			t.Errorf("purchases %v, want consecutive numbers, each of them once", requests)
		}
	}
	t.Logf("done after %s of %s; %d requests, %d failed", m.Ended.Sub(m.Started).Round(time.Millisecond), m.Deadline.Sub(m.Started), r.sentRequests.Load(), r.failedRequests.Load())
}

// Guards against a version that becomes faulty during its move and keeps its traffic,
// or gets traffic after the rollback.
func TestSiteBadMoves(t *testing.T) {
	t.Parallel()
	for _, f := range []stand.VersionFault{{Version: "v2", Fail: true, Share: 0.5}, {Version: "v2", Slow: 8}} {
		t.Run(fmt.Sprintf("fails %v, slow %g", f.Fail, f.Slow), func(t *testing.T) {
			r := newCloudSite(t)
			r.waitReady(3)
			r.startCallers(6)
			id := r.startMove(45 * time.Second)
			r.waitFor("a share of a quarter", func() bool { return r.getMove(id).Share >= 0.25 })
			r.setVersionFault(f)
			fault := time.Now()
			r.waitFor("the end of the move", func() bool { return r.getMove(id).Outcome != "" })
			m := r.getMove(id)
			if m.Outcome != string(world.TakenBack) {
				t.Fatalf("%+v", m)
			}
			// A leader reports the end in its first step after the end was stored.
			statements := func() int { return len(r.Timeline(event.Filter{Move: id, Kind: "move.ended"})) }
			r.waitFor("the event of the end", func() bool { return statements() > 0 })
			bad, all := r.countAttempts("v2", fault)
			time.Sleep(4 * time.Second) // by then the configuration is in force on every node
			if n := statements(); n != 1 {
				t.Errorf("the end was reported %d times: %+v", n, m)
			}
			after := time.Now()
			r.waitFor("more requests", func() bool { _, n := r.countAttempts("v2", after); return n > 100 })
			if late, n := r.countAttempts("v2", after); late > 0 {
				t.Errorf("%d of %d requests reached the faulty version after the rollback", late, n)
			}
			t.Logf("share back to zero %s after the fault: %s; the faulty version got %d of %d requests since", m.Ended.Sub(fault).Round(time.Millisecond), m.Reason, bad, all)
		})
	}
}

// Guards against duplicate purchases when the leader crashes while the cloud's answers
// are lost, a reclaimed zone that is not replaced while the data centre refuses starts,
// and a preset without effect.
func TestSiteCloud(t *testing.T) {
	r := newCloudSite(t)
	r.cloud.LoseAnswers(2)
	r.waitFor("a purchase", func() bool { return len(r.cloud.Instances()) > 0 })
	r.crashLeader()
	r.waitReady(3)
	time.Sleep(2 * time.Second) // leaves time for an excess purchase
	if n := len(r.cloud.Instances()); n != 3 {
		t.Fatalf("%d instances bought, want 3", n)
	}
	lost := r.cloud.Instances()[0]
	r.cloud.Refuse(lost.DataCentre, "", true)
	gone := r.cloud.Reclaim(lost.DataCentre, "", 1, 3*time.Second)
	r.waitFor("the zone is replaced", func() bool {
		left := 0
		for _, i := range r.cloud.Instances() {
			if i.DataCentre == lost.DataCentre && i.State != "gone" {
				left++
			}
		}
		return left == 0 && r.instancesUp() >= 3
	})
	r.waitReady(3)
	if _, err := r.op.SetPreset(context.Background(), oprcli.NewCommandID(), "peak", 0); err != nil {
		t.Fatal(err)
	}
	r.waitFor("the servers of the preset", func() bool { return r.instancesUp() >= 6 })
	r.waitReady(6)
	t.Logf("%d of %d instances reclaimed; %d refused starts; cost %.4f", len(gone), len(r.cloud.Instances()), len(r.Timeline(event.Filter{Kind: "fleet.refused"})), r.cloud.Cost(time.Now()))
}
