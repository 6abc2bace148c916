package edge

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"cranberrypath.example/cranberrypath/internal/coord"
	"cranberrypath.example/cranberrypath/internal/routes"
)

func newAddressEdge(t *testing.T) *Edge {
	t.Helper()
	now := time.Now()
	e, err := Start(Config{
		Name: "n", PeerAddress: "127.0.0.1:0", Seeds: func() []string { return nil }, HeartbeatInterval: time.Second, Clock: func() time.Time { return now },
		DecodeConfig: func([]byte) (*routes.Config, error) { return &routes.Config{}, nil }, Log: &log.Logger{Handler: discard.New()},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = e.Close() })
	return e
}

// instancesOf returns ready instances of a data centre with the given capacities.
func instancesOf(dataCentre string, capacities ...float32) []coord.Instance {
	var out []coord.Instance
	for i, c := range capacities {
		name := fmt.Sprintf("%s-%d", dataCentre, i)
		out = append(out, coord.Instance{ID: name, DataCentre: dataCentre, Region: "r", CallerAddress: name, Ready: true, Capacity: c})
	}
	return out
}

// Guards against other answers where the instances are all alike or of unknown size, and
// against instances that are named alike though they can carry less, or without a second one.
func TestAddressesByCapacity(t *testing.T) {
	alike := slices.Repeat([]float32{0.2}, 70)
	for _, c := range []struct {
		name      string
		instances []coord.Instance
		size      [2]int             // fewest and most addresses of an answer
		load      map[string]float64 // expected shares of the connections
	}{
		{"alike", slices.Concat(instancesOf("a", 0.2, 0.2), instancesOf("b", 0.2)), [2]int{2, 2}, map[string]float64{"a-0": 0.5, "a-1": 0.5}},
		{"unknown", slices.Concat(instancesOf("a", 0, 0, 0), instancesOf("b", 0)), [2]int{3, 3}, map[string]float64{"a-2": 1.0 / 3}},
		{"alike and many", instancesOf("a", alike...), [2]int{64, 64}, map[string]float64{"a-0": 1.0 / 64, "a-63": 1.0 / 64, "a-64": 0}},
		{"alone in its data centre", slices.Concat(instancesOf("a", 0.2), instancesOf("b", 0.2, 0.2)), [2]int{3, 3}, map[string]float64{"a-0": 1.0 / 3, "b-1": 1.0 / 3}},
		{"uneven", slices.Concat(instancesOf("a", 0.1, 0.1, 0.1, 0.1, 0.2, 0.2), instancesOf("b", 0.8)), [2]int{4, 4}, map[string]float64{"a-0": 0.125, "a-4": 0.25, "b-0": 0}},
		{"too little here", slices.Concat(instancesOf("a", 0.05, 0.05), instancesOf("b", 0.4, 0.5)), [2]int{2, 4}, map[string]float64{"a-0": 0.1, "b-0": 0.356}},
	} {
		e := newAddressEdge(t)
		e.Apply(coord.View{Instances: c.instances}, e.cfg.Clock())
		const answers = 4000
		load := map[string]float64{}
		for range answers {
			addresses, _ := e.Addresses("a", "r")
			if len(addresses) < c.size[0] || len(addresses) > c.size[1] {
				t.Fatalf("%s: %d addresses, want %v", c.name, len(addresses), c.size)
			}
			for _, a := range addresses {
				load[a] += 1 / float64(len(addresses)) / answers
			}
		}
		for name, want := range c.load {
			if d := load[name] - want; d > 0.02 || d < -0.02 {
				t.Errorf("%s: %s has %.3f of the connections, want %.3f", c.name, name, load[name], want)
			}
		}
	}
}
