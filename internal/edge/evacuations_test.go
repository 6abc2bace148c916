package edge

import (
	"slices"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"cranberrypath.example/cranberrypath/internal/coord"
	"cranberrypath.example/cranberrypath/internal/moves"
	"cranberrypath.example/cranberrypath/internal/roster"
	"cranberrypath.example/cranberrypath/internal/routes"
	"cranberrypath.example/cranberrypath/internal/world"
)

// startAlone starts an instance in data centre x of region r that knows no other.
func startAlone(t *testing.T, c routes.Config) *Edge {
	t.Helper()
	e, err := Start(Config{
		Name: "n", DataCentre: "x", Region: "r", PeerAddress: "127.0.0.1:0", CallerAddress: "self", Seeds: func() []string { return nil }, HeartbeatInterval: time.Second, Clock: time.Now,
		DecodeConfig: func([]byte) (*routes.Config, error) { return routes.New(c) }, Log: &log.Logger{Handler: discard.New()},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = e.Close() })
	return e
}

// Guards against an instance that loses what it knows of the data centres with the next reply,
// when the instances there have ended, or when one there states no region.
func TestPlaces(t *testing.T) {
	e := startAlone(t, routes.Config{})
	now := time.Now()
	e.Apply(coord.View{
		Instances:   []coord.Instance{{ID: "a", DataCentre: "y", Region: "s"}, {ID: "b", DataCentre: "y", Region: "other"}},
		Evacuations: coord.Evacuations{Version: 2, DataCentres: []string{"y"}},
	}, now)
	e.Apply(coord.View{Instances: []coord.Instance{
		{ID: "c", DataCentre: "z", Region: "s"}, {ID: "d", DataCentre: "y"}, {ID: "f", DataCentre: "x"}, {ID: "g", DataCentre: "u"},
	}}, now)
	if !e.KnowsDataCentre("u") {
		t.Error("a data centre is unknown whose instance states no region")
	}
	if got := e.evacuatedDataCentres(); !slices.Equal(got, []string{"y"}) {
		t.Errorf("evacuated %v, want y", got)
	}
	for dataCentre, want := range map[string]string{"x": "r", "y": "s", "z": "s", "none": ""} {
		if got := e.regions[dataCentre]; got != want || e.KnowsDataCentre(dataCentre) != (want != "") {
			t.Errorf("%s is in %q, known %v; want %q", dataCentre, got, e.KnowsDataCentre(dataCentre), want)
		}
	}
	e.Apply(coord.View{Evacuations: coord.Evacuations{Version: 3}}, now)
	if got := e.evacuatedDataCentres(); len(got) != 0 {
		t.Errorf("evacuated %v after the revocation", got)
	}
}

// Guards against a rollout that counts on servers which get no requests.
func TestRolloutLeavesOutEvacuatedServers(t *testing.T) {
	e := startAlone(t, routes.Config{})
	now := time.Now()
	var servers []roster.Server
	for _, s := range []struct{ id, dataCentre, version string }{{"1", "x", "v1"}, {"2", "y", "v1"}, {"3", "x", "v2"}, {"4", "y", "v2"}, {"5", "y", "v2"}} {
		servers = append(servers, roster.Server{ID: s.id, Incarnation: 1, Seq: 1, Service: "s", Version: s.version, DataCentre: s.dataCentre, Address: "10.0.0." + s.id + ":80", State: world.Ready, Slots: 8})
	}
	r := coord.Rollout{Service: "s", Target: "v2", Phase: coord.Running}
	rc := &rolloutController{e: e}
	for _, c := range []struct {
		version   uint64
		evacuated []string
		new, old  moves.Capacity
	}{
		{1, nil, moves.Capacity{ReadyServers: 3, Slots: 24}, moves.Capacity{ReadyServers: 2, Slots: 16}},
		{2, []string{"y"}, moves.Capacity{ReadyServers: 1, Slots: 8}, moves.Capacity{ReadyServers: 1, Slots: 8}},
		{3, []string{"x", "y"}, moves.Capacity{}, moves.Capacity{}},
	} {
		e.Apply(coord.View{Servers: servers, Evacuations: coord.Evacuations{Version: c.version, DataCentres: c.evacuated}}, now)
		v := moves.View{New: map[string]moves.Capacity{}, Old: map[string]moves.Capacity{}, Demand: map[string]float64{}}
		m := moveOf(r)
		rc.addCapacity(&v, m, r)
		if v.New[m.ID] != c.new || v.Old[m.ID] != c.old {
			t.Errorf("evacuated %v: new %v and old %v, want %v and %v", c.evacuated, v.New[m.ID], v.Old[m.ID], c.new, c.old)
		}
	}
}

// Guards against addresses outside of the homes of the requests and of the caller's region,
// and against other addresses than before where no request has a home.
func TestAddressesOfHomes(t *testing.T) {
	instances := []coord.Instance{
		{ID: "a", DataCentre: "x", Region: "r", CallerAddress: "a", Ready: true},
		{ID: "b", DataCentre: "y", Region: "s", CallerAddress: "b", Ready: true},
		{ID: "c", DataCentre: "z", Region: "t", CallerAddress: "c", Ready: true},
		{ID: "d", DataCentre: "z", Region: "t", CallerAddress: "d", Ready: false},
	}
	for _, c := range []struct {
		name               string
		homes              []string
		dataCentre, region string
		want               []string
	}{
		{"no homes", nil, "x", "r", []string{"a", "b", "c"}},
		{"own region is the home", []string{"r"}, "x", "r", []string{"a"}},
		{"another region is the home", []string{"s"}, "x", "r", []string{"a", "b"}},
		{"caller elsewhere", []string{"s", "t"}, "none", "none", []string{"b", "c"}},
		{"caller and home without an instance", []string{"none"}, "none", "none", nil},
	} {
		e := startAlone(t, routes.Config{
			Version: 1, Services: []routes.Service{{Name: "s"}},
			Routes: []routes.Route{{Name: "r", Host: "h", Prefix: "/", Timeout: time.Second, Shares: []routes.Share{{Service: "s", Weight: 1}}, Regions: c.homes}},
		})
		content, err := compress(nil)
		if err != nil {
			t.Fatal(err)
		}
		e.Apply(coord.View{Instances: instances, Version: 1, Config: content}, time.Now())
		got, _ := e.Addresses(c.dataCentre, c.region)
		if slices.Sort(got); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
