package caller

import (
	"errors"
	"testing"
)

// Guards against a client that gives an answer up although it goes on at another
// address, or that goes on after a final error.
func TestStreamsGoOnElsewhere(t *testing.T) {
	for _, c := range []struct {
		kind, data string
		goesOn     bool
	}{
		{"moved", `{}`, true},
		{"error", `{"error": {"code": "cutOff", "outcome": "unknown"}}`, true},
		{"error", `{"error": {"code": "crashesServers", "outcome": "unknown"}}`, false},
		{"error", `not JSON`, false},
	} {
		_, err := (&Stream{}).event(c.kind, "1", c.data)
		var f *Failure
		if errors.Is(err, errCut) != c.goesOn || errors.As(err, &f) == c.goesOn {
			t.Errorf("%s %s: %v, goes on %v", c.kind, c.data, err, c.goesOn)
		}
	}
}
