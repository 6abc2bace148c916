package coord

import (
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/coord/coordpb"
)

// Guards against totals that lose the newest pace, sum paces, keep old ones, or grow for services
// whose servers state none, and against messages of earlier program versions that do not decode.
func TestPaces(t *testing.T) {
	sums := loadSums{}
	report := func(l ...Load) []Load { return loadsFromProto(loadsToProto(l, start), start) }
	first := report(Load{Server: "a", Running: 1, Pace: Pace{2.5, start.Add(-300 * time.Millisecond)}})
	sums.replace(nil, first)
	sums.replace(nil, report(Load{Server: "a", Running: 2, Pace: Pace{1.2, start.Add(-100 * time.Millisecond)}}))
	sums.replace(nil, report(Load{Server: "b", Pace: Pace{0.833, start}}, Load{Server: "c", Running: 1, Pace: Pace{2, start.Add(-time.Hour)}}))
	sums.replace(first, report(Load{Server: "a", Running: 1}))
	f := newFeed(Instance{})
	f.serverNumbers = map[string]uint32{"a": 1, "b": 2, "c": 3}
	c := &Coord{serverIDs: map[uint32]string{1: "a", 2: "b", 3: "c"}}
	decode := func(totals *coordpb.Totals) map[string]Load {
		out := map[string]Load{}
		for _, l := range c.loadsFromReply(&coordpb.SyncReply{Totals: totals}, 0, start) {
			out[l.Server] = l
		}
		return out
	}
	totals := f.totalsToProto(sums.list(start), start)
	got := decode(totals)
	want := map[string]Load{
		"a": {Server: "a", Running: 3, Pace: Pace{1.2, start.Add(-100 * time.Millisecond)}},
		"b": {Server: "b", Pace: Pace{0.83, start}}, "c": {Server: "c", Running: 1},
	}
	for id, l := range want {
		if got[id] != l {
			t.Errorf("%s: %+v, want %+v", id, got[id], l)
		}
	}
	totals.Paces, totals.PaceAgesMs = totals.Paces[:1], nil
	if got := decode(totals); len(got) != 3 || got["a"].Running != 3 || got["a"].Pace != (Pace{}) {
		t.Errorf("without paces %+v", got)
	}
	later := start.Add(maxPaceAge + time.Second)
	totals = f.totalsToProto(sums.list(later), later)
	if len(totals.Servers) != 2 || totals.Paces != nil || len(sums) != 2 {
		t.Errorf("totals %v of %d servers after all paces are old, want 2 without paces", totals, len(sums))
	}
}
