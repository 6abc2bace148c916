package entry

import (
	"bufio"
	"bytes"
	"strings"
	"testing"
	"testing/iotest"
)

// Guards against a relayed stream that is cut within an event, treats an
// unfinished stream as finished, or continues from a wrong position.
func TestRelayedEvents(t *testing.T) {
	const two = "id: 3\ndata: {\"text\":\"a\"}\n\nid: 5\ndata: {\"text\":\"b\"}\n\n"
	tests := []struct {
		name, in string
		from     uint64
		out      string // "" means all of in
		pos      uint64
		whole    bool
	}{
		{"whole", two + "data: [DONE]\n\n", 0, "", 5, true},
		{"error event", two + "event: error\ndata: {}\n\n", 0, "", 5, true},
		{"cut between events", two, 2, "", 5, false},
		{"cut within an event", two + "id: 9\ndata: {\"te", 2, two, 5, false},
		{"moved", two + "event: moved\ndata: {}\n\n", 0, two, 5, false},
		{"begun anew", two, 50, "", 5, false},
		{"nothing", "", 7, "", 7, false},
		{"long line", "id: 1\ndata: " + strings.Repeat("x", 10_000) + "\n\n", 0, "", 1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			pos := tt.from
			in := bufio.NewReaderSize(iotest.OneByteReader(strings.NewReader(tt.in)), 16)
			err := relayEvents(in, bufio.NewWriter(&out), &pos, func() {})
			want := tt.out
			if want == "" {
				want = tt.in
			}
			if out.String() != want || pos != tt.pos || (err == nil) != tt.whole {
				t.Errorf("got %q at %d, %v; want %q at %d", out.String(), pos, err, want, tt.pos)
			}
		})
	}
}
