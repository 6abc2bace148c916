package site

import (
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/conf"
)

// Guards against a delay on connections to backend servers, which would slow down
// every attempt, and against a delay within a data centre.
func TestDelayBetweenDataCentres(t *testing.T) {
	const delay = 3 * time.Millisecond
	s := &Site{cfg: Config{LinkDelay: delay}, settings: []conf.Settings{
		{DataCentre: "dc1", Listen: conf.Listen{Peers: "a"}},
		{DataCentre: "dc1", Listen: conf.Listen{Peers: "b"}},
		{DataCentre: "dc2", Listen: conf.Listen{Peers: "c"}},
	}}
	for _, c := range []struct {
		from, to string
		want     time.Duration
	}{
		{"a", "b", 0}, {"a", "c", delay}, {"c", "b", delay}, {"a", "engine", 0}, {"engine", "c", 0},
	} {
		if got := s.linkDelay(c.from, c.to); got != c.want {
			t.Errorf("from %s to %s: %v, want %v", c.from, c.to, got, c.want)
		}
	}
}
