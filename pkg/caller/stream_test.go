package caller

import (
	"errors"
	"testing"
)

// Guards against a client that abandons an answer that continues at another address,
// or that retries after a final error.
func TestStreamsGoOnElsewhere(t *testing.T) {
	for _, c := range []struct {
		kind, data string
		resumes    bool
	}{
		{"moved", `{}`, true},
		{"error", `{"error": {"code": "cutOff", "outcome": "unknown"}}`, true},
		{"error", `{"error": {"code": "crashesServers", "outcome": "unknown"}}`, false},
		{"error", `not JSON`, false},
	} {
		_, err := (&Stream{}).parseEvent(c.kind, "1", c.data)
		var f *Failure
		if errors.Is(err, errIncomplete) != c.resumes || errors.As(err, &f) == c.resumes {
			t.Errorf("%s %s: %v, want resumption %v", c.kind, c.data, err, c.resumes)
		}
	}
}
