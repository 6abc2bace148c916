package bench

import (
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/stand"
)

// Guards against a report that misses waiting requests, counts runs outside the
// load or leaves out those that never ended.
func TestUseOf(t *testing.T) {
	began := time.Unix(1_800_000_000, 0)
	at := func(s float64) time.Time { return began.Add(seconds(s)) }
	runs := []stand.Run{{Priority: lookupPriority, Computed: 7, Started: at(-1), Ended: at(1)}, {Priority: 5, Started: at(9)}}
	for range engineSlots {
		runs = append(runs, stand.Run{Priority: 5, Computed: 10, Started: at(0.5), Ended: at(2)})
	}
	got := useOf("e", runs, began, 10*time.Second)
	want := EngineUse{Engine: "e", Lookups: 1, Reviews: engineSlots + 1, Prefilled: 7 + 10*engineSlots, Mean: 1.4, Most: engineSlots + 1, Full: 0.5}
	if got != want {
		t.Fatalf("got %+v, want %+v", got, want)
	}
}
