package entry

import (
	"testing"

	"cranberrypath.example/cranberrypath/internal/entry/entrpb"
)

// Guards against a reader or a takeover that prefers the stale replica of a
// holder that only timed out.
func TestPreferRecord(t *testing.T) {
	order := []*entrpb.Found{ // in order of preference
		{Ended: true, Position: 9},
		{Epoch: 2, Held: true, Position: 5},
		{Epoch: 1, Position: 7},
		{Epoch: 1, Held: true, Position: 8, Linked: true},
		{Epoch: 1, Held: true, Position: 8},
		{Epoch: 1, Held: true, Position: 3, Linked: true},
		{Ended: true, Broken: true, Position: 20},
	}
	for i, a := range order {
		for j, b := range order {
			if preferRecord(a, b) != (i < j) {
				t.Errorf("preferRecord(%v, %v) is %v", a, b, i >= j)
			}
		}
	}
}
