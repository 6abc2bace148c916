package site

import (
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/conf"
)

// Guards against a delay on connections to backend servers, which hold up every
// attempt there, and against one within a data centre.
func TestDelayBetweenDataCentres(t *testing.T) {
	const far = 3 * time.Millisecond
	s := &Site{cfg: Config{LinkDelay: far}, settings: []conf.Settings{
		{DataCentre: "dc1", Listen: conf.Listen{Peers: "a"}},
		{DataCentre: "dc1", Listen: conf.Listen{Peers: "b"}},
		{DataCentre: "dc2", Listen: conf.Listen{Peers: "c"}},
	}}
	for _, c := range []struct {
		from, to string
		want     time.Duration
	}{
		{"a", "b", 0}, {"a", "c", far}, {"c", "b", far}, {"a", "engine", 0}, {"engine", "c", 0},
	} {
		if got := s.delay(c.from, c.to); got != c.want {
			t.Errorf("from %s to %s: %v, want %v", c.from, c.to, got, c.want)
		}
	}
}
