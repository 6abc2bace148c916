package manage_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/event"
	"cranberrypath.example/cranberrypath/internal/oprcli"
	"cranberrypath.example/cranberrypath/internal/site"
	"cranberrypath.example/cranberrypath/internal/stand"
	"cranberrypath.example/cranberrypath/internal/world"
	"cranberrypath.example/cranberrypath/pkg/caller"
	"cranberrypath.example/cranberrypath/pkg/decl"
)

// fixedSite is a site without a cloud.
type fixedSite struct {
	*cloudSite
	seed uint64
}

// newFixedSite starts a site with a declaration that has one placeholder, for the
// hash of an organisation's key.
func newFixedSite(t *testing.T, declared string) *fixedSite {
	t.Helper()
	t.Parallel()
	g := &fixedSite{cloudSite: &cloudSite{t: t}, seed: rand.Uint64() >> 32}
	t.Logf("seed %d", g.seed)
	d, err := decl.Parse("declared", fmt.Appendf(nil, declared, decl.HashKey("acme-key")))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	cfg := site.Config{
		Seed: g.seed, DataCentres: []string{"dc1", "dc2", "dc3"}, EntriesPerDataCentre: 1, ControlNodes: 3, Declaration: d, DrainSeconds: 5,
		Now: g.now,
	}
	// Another process may bind an address between its choice and its use.
	for range 5 {
		if g.Site, err = site.Start(ctx, cfg); err == nil || !strings.Contains(err.Error(), "address already in use") {
			break
		}
	}
	if err != nil {
		t.Fatal(err)
	}
	g.op = g.OperatorClient()
	t.Cleanup(func() { g.op.Close(); g.Close() })
	return g
}

func (s *fixedSite) spec(id, service string, n int, versions ...string) stand.Spec {
	dc := fmt.Sprint("dc", n%3+1)
	return stand.Spec{
		ID: id, Service: service, Versions: versions, DataCentre: dc, Zone: dc + "-a", MachineClass: "m", Slots: 8,
		AnnounceEvery: 200 * time.Millisecond, CleanTime: 300 * time.Millisecond, Seed: s.seed + uint64(n),
	}
}

func (s *fixedSite) addEngine(cfg stand.EngineConfig) *stand.Engine {
	e, err := s.AddEngine(cfg)
	if err != nil {
		s.t.Fatal(err)
	}
	return e
}

func (s *fixedSite) countEvents(kind string) int { return len(s.Timeline(event.Filter{Kind: kind})) }

// startStreams streams answers until the returned function is called, which returns
// the number of answers and the errors in them.
func startStreams(s *site.Site, workers, tokens int) (stop func() (n int, failures []string)) {
	done, wg, mu := make(chan struct{}), sync.WaitGroup{}, sync.Mutex{}
	count, failures := 0, []string{}
	for w := range workers {
		wg.Go(func() {
			c := caller.New(caller.Config{Seeds: s.CallerAddrs(), Key: "acme-key", Tries: 30})
			defer c.Close()
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				failure := streamOnce(c, fmt.Sprintf("pour %d of %d", n, w), tokens)
				mu.Lock()
				count++
				if failure != "" {
					failures = append(failures, failure)
				}
				mu.Unlock()
			}
		})
	}
	return func() (int, []string) {
		close(done)
		wg.Wait()
		return count, failures
	}
}

// streamOnce streams one answer and returns a description of its error, if any.
func streamOnce(c *caller.Client, prompt string, tokens int) string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	st, err := c.Complete(ctx, caller.Request{Model: "drafts", Prompt: prompt, MaxTokens: tokens})
	if err != nil {
		return err.Error()
	}
	defer st.Close()
	text, _, err := st.ReadAll()
	want := strings.Join(stand.Text{Model: "drafts", Version: "v1", Prompt: prompt}.Tokens(tokens), "")
	if err != nil || text != want {
		return fmt.Sprintf("%q of %d bytes: %d bytes arrived: %v", prompt, len(want), len(text), err)
	}
	return ""
}

const cleaningDeclaration = `{
	"dataCentres": [{"name": "dc1"}, {"name": "dc2"}, {"name": "dc3"}],
	"machineClasses": [{"name": "m", "accelerators": 1, "onDemandPrice": 3, "reclaimablePrice": 1}],
	"services": [{"name": "drafts", "kind": "model", "versions": ["v1"], "version": "v1", "machineClass": "m"}],
	"organisations": [{"name": "acme", "keys": ["%s"], "weight": 1}],
	"cleaning": {"everyHours": 1, "maxAtOnce": 1, "drainMinutes": 1},
	"presets": [{"name": "ordinary", "cleaningAllowed": true, "capacity": [{"service": "drafts", "min": 2, "max": 9}]}]}`

// Guards against weekly cleaning that interrupts a request, drains two servers at the
// same time, skips a server, or is overdue without an event.
func TestSiteCleaning(t *testing.T) {
	g := newFixedSite(t, cleaningDeclaration)
	var engines []*stand.Engine
	for n := range 3 {
		engines = append(engines, g.addEngine(stand.EngineConfig{Spec: g.spec(fmt.Sprint("own-", n), "drafts", n, "v1"), CacheBlocks: 1000, Speed: 2}))
	}
	g.waitReady(3)
	g.waitFor("three records", func() bool { return g.countEvents("instance.tracked") == 3 })
	stop := startStreams(g.Site, 6, 100)
	g.clockOffset.Store(int64(56 * time.Minute)) // every server is due, none is overdue
	maxAway := 0
	g.waitFor("three cleanings", func() bool {
		away := 0
		for _, e := range engines {
			if e.State() != "ready" {
				away++
			}
		}
		maxAway = max(maxAway, away)
		return g.countEvents("instance.cleaned") == 3
	})
	g.waitReady(3)
	if n, failures := stop(); len(failures) > 0 || n < 10 {
		t.Errorf("%d of %d answers are wrong: %v", len(failures), n, failures)
	}
	for _, e := range engines {
		if e.Incarnation() != 2 {
			t.Errorf("%s has incarnation %d, want 2", e.ID(), e.Incarnation())
		}
		for _, r := range e.Runs() {
			if r.Reason == "crashed" || r.Reason == "" {
				t.Errorf("%s of incarnation %d was interrupted: %q", r.RequestID, r.Incarnation, r.Reason)
			}
		}
	}
	if maxAway > 1 || g.countEvents("instance.cleaningOverdue") > 0 {
		t.Errorf("%d servers were drained at the same time, %d were overdue", maxAway, g.countEvents("instance.cleaningOverdue"))
	}
	// Two servers are the minimum, so neither can be drained.
	engines[0].Crash()
	g.waitFor("two servers", func() bool { return g.Nodes()[0].BackendCount() == 2 })
	g.clockOffset.Add(int64(61 * time.Minute))
	g.waitFor("the events of overdue cleanings", func() bool { return g.countEvents("instance.cleaningOverdue") >= 2 })
	if n := g.countEvents("instance.cleaned"); n != 3 {
		t.Errorf("%d cleanings; the last ones cost headroom", n)
	}
}

// Guards against a change of preset that removes servers all at once or while they
// have requests in flight.
func TestSitePresetPaced(t *testing.T) {
	t.Parallel()
	const pace = 8 * time.Second
	r := newCloudSiteFor(t, strings.Replace(strings.Replace(siteDeclaration, `{"name": "ordinary",`, `{"name": "ordinary", "paceSeconds": 8,`, 1),
		`"presets"`, `"preset": "peak", "presets"`, 1))
	r.waitReady(6)
	// New servers, and servers covered by the recent peak demand, are kept.
	r.clockOffset.Store(int64(20 * time.Minute))
	r.waitReady(6)
	stop := startStreams(r.Site, 8, 100)
	r.waitFor("work on each server", func() bool {
		for _, e := range r.Engines() {
			if len(e.Runs()) == 0 {
				return false
			}
		}
		return true
	})
	began := r.now()
	if _, err := r.op.SetPreset(context.Background(), oprcli.NewCommandID(), "ordinary", 0); err != nil {
		t.Fatal(err)
	}
	r.waitFor("the servers of the preset", func() bool { return r.instancesUp() == 3 })
	n, failures := stop()
	if len(failures) > 0 || n < 10 {
		t.Errorf("%d of %d answers are wrong: %v", len(failures), n, failures)
	}
	drains := r.Timeline(event.Filter{Kind: "fleet.drain", From: began})
	if len(drains) == 0 || drains[len(drains)-1].Time.Sub(began) < pace/2 {
		t.Errorf("the last of %d drains came too early for the pace: %v", len(drains), drains)
	}
}

// Guards against a move of a plain service that executes an order twice, loses an
// order, or does not end.
func TestSitePlainMove(t *testing.T) {
	g := newFixedSite(t, `{
	"dataCentres": [{"name": "dc1"}, {"name": "dc2"}, {"name": "dc3"}],
	"machineClasses": [{"name": "m", "onDemandPrice": 3, "reclaimablePrice": 1}],
	"services": [{"name": "orders", "kind": "plain", "versions": ["v1", "v2"], "version": "v1", "machineClass": "m", "path": "/orders"}],
	"organisations": [{"name": "acme", "keys": ["%s"], "weight": 1}],
	"moves": {"firstShare": 0.1, "soakSeconds": 1, "falseAlarm": 0.01},
	"presets": [{"name": "ordinary", "capacity": [{"service": "orders", "min": 1, "max": 9}]}]}`)
	book := stand.NewBook()
	var desks []*stand.Desk
	for n := range 4 {
		d, err := g.AddDesk(stand.DeskConfig{Spec: g.spec(fmt.Sprint("desk-", n), "orders", n, "v1"), Path: "/orders", Book: book, Work: 5 * time.Millisecond})
		if err != nil {
			t.Fatal(err)
		}
		desks = append(desks, d)
	}
	g.waitReady(4)
	g.waitFor("four records", func() bool { return g.countEvents("instance.tracked") == 4 })
	done, wg, keys, failures := make(chan struct{}), sync.WaitGroup{}, sync.Map{}, sync.Map{}
	for w := range 6 {
		wg.Go(func() {
			rnd := rand.New(rand.NewPCG(g.seed, uint64(w)))
			c := caller.New(caller.Config{Seeds: g.CallerAddrs(), Key: "acme-key", Tries: 30})
			defer c.Close()
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(time.Duration(20+rnd.IntN(30)) * time.Millisecond):
				}
				key := fmt.Sprintf("pour-%d-%d", w, n)
				keys.Store(key, true)
				for range 1 + rnd.IntN(2) { // some orders are sent twice
					if resp, err := c.Call(context.Background(), "POST", "/orders", key, []byte(`{"pour": 1}`)); err != nil || resp.Status != 201 {
						failures.Store(key, fmt.Sprint(resp.Status, " ", err))
					}
				}
			}
		})
	}
	res, err := g.op.StartMove(context.Background(), oprcli.NewCommandID(), "orders", "v2", time.Now().Add(60*time.Second))
	if err != nil {
		t.Fatal(err)
	}
	g.waitFor("the end of the move", func() bool { return g.getMove(res.Move.ID).Outcome != "" })
	g.waitFor("the new version everywhere", func() bool {
		for _, d := range desks {
			if v := d.Versions(); len(v) != 1 || v[0] != "v2" {
				return false
			}
		}
		return true
	})
	close(done)
	wg.Wait()
	if m := g.getMove(res.Move.ID); m.Outcome != string(world.Done) || len(g.Timeline(event.Filter{Move: m.ID, Kind: "move.ended"})) != 1 {
		t.Errorf("%+v", m)
	}
	failures.Range(func(key, failure any) bool { t.Errorf("%s: %s", key, failure); return true })
	all := 0
	keys.Range(func(key, _ any) bool {
		all++
		if n := book.Executions(key.(string)); n != 1 {
			t.Errorf("%s ran %d times", key, n)
		}
		return true
	})
	t.Logf("%d orders", all)
	for _, e := range g.Timeline(event.Filter{Move: res.Move.ID}) {
		t.Log(e.Time.Sub(res.Move.Started).Round(time.Millisecond), e.Kind, e.Detail)
	}
}

// Guards against urgent weight loads queued behind less urgent ones while the weight
// store is slow.
func TestSiteWeightsByUrgency(t *testing.T) {
	g := newFixedSite(t, `{
	"dataCentres": [{"name": "dc1"}, {"name": "dc2"}, {"name": "dc3"}],
	"machineClasses": [{"name": "m", "accelerators": 1, "onDemandPrice": 3, "reclaimablePrice": 1}],
	"services": [
		{"name": "drafts", "kind": "model", "versions": ["v1"], "version": "v1", "machineClass": "m"},
		{"name": "checks", "kind": "model", "versions": ["v1"], "version": "v1", "machineClass": "m"}],
	"organisations": [{"name": "acme", "keys": ["%s"], "weight": 1}],
	"presets": [{"name": "ordinary", "capacity": [{"service": "drafts", "min": 1, "max": 20}, {"service": "checks", "min": 2, "max": 9}]}]}`)
	weights, err := stand.NewWeightStore(stand.WeightConfig{BytesPerSecond: 500, Sizes: map[string]int{"drafts/v1": 1000, "checks/v1": 1000}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = weights.Close() })
	add := func(id, service string, n int, versions ...string) *stand.Engine {
		spec := g.spec(id, service, n, versions...)
		spec.Load = weights.Load
		return g.addEngine(stand.EngineConfig{Spec: spec, CacheBlocks: 1000, Speed: 5})
	}
	add("loaded", "drafts", 0, "v1")
	for n := range 10 { // more capacity than the service needs
		add(fmt.Sprint("more-", n), "drafts", n)
	}
	g.waitFor("the first loads", func() bool { return g.countEvents("fleet.load") > 0 })
	urgent := []*stand.Engine{add("urgent-0", "checks", 0), add("urgent-1", "checks", 1)}
	g.waitFor("the urgent loads", func() bool { return len(urgent[0].Versions())+len(urgent[1].Versions()) == 2 })
	before := g.countEvents("fleet.load")
	g.waitFor("a load after the urgent ones", func() bool { return g.countEvents("fleet.load") > before })
	known, waiting, after := 0, 2, 0
	for _, e := range g.Timeline(event.Filter{}) {
		isUrgent := strings.HasPrefix(e.Instance, "urgent")
		switch {
		case e.Kind == "instance.tracked" && isUrgent:
			known++
		case e.Kind == "fleet.load" && isUrgent:
			waiting--
		case e.Kind == "fleet.load" && known == 2 && waiting > 0:
			t.Errorf("%s was told to load while %d urgent servers waited", e.Instance, waiting)
		case e.Kind == "fleet.load" && waiting == 0:
			after++
		}
	}
	if waiting > 0 || after == 0 {
		t.Errorf("%d urgent servers were not told to load, %d others after them", waiting, after)
	}
}
