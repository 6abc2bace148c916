package bench

import (
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/stand"
)

// Guards against a report that misses queued requests, includes time outside the load, or
// omits runs that never ended.
func TestUseOf(t *testing.T) {
	began := time.Unix(1_800_000_000, 0)
	after := func(s float64) time.Time { return began.Add(seconds(s)) }
	runs := []stand.Run{{Priority: lookupPriority, Computed: 7, Started: after(-1), Ended: after(1)}, {Priority: 5, Started: after(9)}}
	for range engineSlots {
		runs = append(runs, stand.Run{Priority: 5, Computed: 10, Started: after(0.5), Ended: after(2)})
	}
	got := engineUse("e", runs, began, 10*time.Second)
	want := EngineUse{Engine: "e", Lookups: 1, Reviews: engineSlots + 1, PrefilledTokens: 7 + 10*engineSlots, MeanConcurrent: 1.4, MaxConcurrent: engineSlots + 1, QueueSeconds: 0.5}
	if got != want {
		t.Fatalf("got %+v, want %+v", got, want)
	}
}
