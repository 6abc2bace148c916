package coord

import (
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/coord/coordpb"
	"cranberrypath.example/cranberrypath/internal/quota"
)

// sendReport applies a process's report of its count in window 7 and returns the reply.
func sendReport(agg *aggregator, id string, started int64, count float64, now time.Time) *coordpb.SyncReply {
	req := &coordpb.Sync{
		Node:    &coordpb.Node{Id: id, StartedMs: started, Durable: true},
		Windows: []*coordpb.Window{Window{7, map[string]float64{"o": count}}.proto()},
	}
	agg.applyReport(req, now)
	agg.feed.publish(published{term: agg.term, counted: agg.usageHandover(now)})
	return agg.feed.reply(req, now)
}

// testAggregator returns the aggregator of a new term at an instance that has heard of no
// other.
func testAggregator(self string, term uint64, counted []*coordpb.Counted, now time.Time) *aggregator {
	return newAggregator(self, newFeed(Instance{ID: self, Started: now}), term, counted, now)
}

// Guards against losing usage counts when the leader is killed after another instance,
// and against counting them twice when both report again.
func TestUsageSurvivesTheLeader(t *testing.T) {
	agg := testAggregator("a", 1, nil, start)
	sendReport(agg, "a", 1, 5, start)
	sendReport(agg, "b", 1, 3, start)
	sendReport(agg, "c", 1, 2, start)
	// The process of c is killed and restarted.
	now := start.Add(2 * time.Second)
	sendReport(agg, "a", 1, 5, now)
	sendReport(agg, "c", 2, 1, now)
	last := sendReport(agg, "b", 1, 3, now)
	if got := agg.usage(7)["o"]; got != 11 {
		t.Fatalf("usage %v before the change, want 11", got)
	}
	// The leader a is killed and b becomes the leader.
	next := testAggregator("b", 2, last.Counted, now)
	sendReport(next, "b", 1, 3, now)
	sendReport(next, "c", 2, 1, now)
	if got := next.usage(7)["o"]; got != 11 {
		t.Errorf("usage %v at the next leader, want 11", got)
	}
	// Instance a was only unreachable and reports again.
	sendReport(next, "a", 1, 6, now)
	if got := next.usage(7)["o"]; got != 12 {
		t.Errorf("usage %v after the report of the former leader, want 12", got)
	}
}

// Guards against admitting another burst of a flood at each leader change.
func TestNewLeaderKeepsTheLevels(t *testing.T) {
	rules := map[string]quota.Rule{"o": {Rate: 10, Burst: 100, InitialLevel: 30}}
	for _, c := range []struct {
		name       string
		term       uint64
		lastLevels map[string]quota.Level
		want       float64
	}{
		{"first term", 1, nil, 100},
		{"spent", 2, map[string]quota.Level{"o": {Units: 3, At: start}}, 3},
		{"in debt", 2, map[string]quota.Level{"o": {Units: -50, At: start}}, -50},
		{"nothing left", 2, map[string]quota.Level{"o": {Units: 0, At: start}}, 0},
		{"after a restart of all", 2, nil, 30},
	} {
		agg := testAggregator("a", c.term, nil, start)
		agg.configure(1, rules, c.lastLevels, start)
		if got := agg.ledger.Levels(start)["o"]; got != c.want {
			t.Errorf("%s: level %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against admitting more than the rate limit while instances are partitioned: they
// still admit their share, so the leader must not lend it to others. Instances that do not
// accept requests and earlier processes of a running instance need no such reservation.
func TestSilentFraction(t *testing.T) {
	agg := testAggregator("a", 1, nil, start)
	sendReport := func(id string, ready bool, started, now time.Time) {
		agg.applyReport(&coordpb.Sync{Node: Instance{ID: id, Ready: ready, Started: started}.proto()}, now)
	}
	for _, id := range []string{"a", "b", "c", "d"} {
		sendReport(id, true, start, start)
	}
	sendReport("e", false, start, start)
	afterTimeout := start.Add(2 * time.Second)
	for _, id := range []string{"a", "b"} {
		sendReport(id, true, start, afterTimeout)
	}
	sendReport("c", true, afterTimeout, afterTimeout)
	if got := agg.silentFraction(afterTimeout); got != 0.25 {
		t.Errorf("silent fraction %v, want 0.25", got)
	}
}

// Guards against a leader that lends the whole rates for seconds after it has lost contact
// to a part of the instances, which spend their parts from the first failed call on. One
// late report must not reserve anything.
func TestSilentFractionAfterACut(t *testing.T) {
	for _, c := range []struct {
		name string
		ms   int // since the last reports of a relay and of an instance without one
		want float64
	}{
		{"a report is late", 400, 0},
		{"cut off", 600, 0.6},
	} {
		agg := testAggregator("a", 1, nil, start)
		report := func(id string, now time.Time, children ...string) {
			req := &coordpb.Sync{Node: Instance{ID: id, Ready: true, Started: start}.proto()}
			for _, child := range children {
				req.Children = append(req.Children, &coordpb.Child{Node: Instance{ID: child, Ready: true, Started: start}.proto()})
			}
			agg.applyReport(req, now)
		}
		now := start.Add(time.Duration(c.ms) * time.Millisecond)
		report("relay", start, "i")
		report("other", start)
		report("a", now)
		report("b", now)
		if got := agg.silentFraction(now); got != c.want {
			t.Errorf("%s: silent fraction %v, want %v", c.name, got, c.want)
		}
	}
}
