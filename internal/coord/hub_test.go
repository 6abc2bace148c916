package coord

import (
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/coord/coordpb"
	"cranberrypath.example/cranberrypath/internal/quota"
)

// report lets a process report what it has counted in window 7.
func report(h *hub, id string, started int64, count float64, now time.Time) *coordpb.SyncReply {
	req := &coordpb.Sync{
		Node:    &coordpb.Node{Id: id, StartedMs: started, Durable: true},
		Windows: []*coordpb.Window{Window{7, map[string]float64{"o": count}}.proto()},
	}
	h.take(req, now)
	return h.reply(req, now)
}

// Guards against counts that are lost when the leader is killed after another
// instance, and against ones that count twice because both report again.
func TestUsageSurvivesTheLeader(t *testing.T) {
	h := newHub("a", 1, nil, start)
	report(h, "a", 1, 5, start)
	report(h, "b", 1, 3, start)
	report(h, "c", 1, 2, start)
	// The process of c is killed and starts again.
	now := start.Add(2 * time.Second)
	report(h, "a", 1, 5, now)
	report(h, "c", 2, 1, now)
	last := report(h, "b", 1, 3, now)
	if got := h.usage(7)["o"]; got != 11 {
		t.Fatalf("usage %v before the change, want 11", got)
	}
	// The leader a is killed; b leads next.
	next := newHub("b", 2, last.Counted, now)
	report(next, "b", 1, 3, now)
	report(next, "c", 2, 1, now)
	if got := next.usage(7)["o"]; got != 11 {
		t.Errorf("usage %v at the next leader, want 11", got)
	}
	// It was not killed after all and reports again.
	report(next, "a", 1, 6, now)
	if got := next.usage(7)["o"]; got != 12 {
		t.Errorf("usage %v after the report of the former leader, want 12", got)
	}
}

// Guards against a flood that gets another burst with each change of the leader.
func TestNewLeaderKeepsTheLevels(t *testing.T) {
	rules := map[string]quota.Rule{"o": {Rate: 10, Burst: 100, Start: 30}}
	for _, c := range []struct {
		name string
		term uint64
		told map[string]float64
		want float64
	}{
		{"first term", 1, nil, 100},
		{"spent", 2, map[string]float64{"o": 3}, 3},
		{"in debt", 2, map[string]float64{"o": -50}, -50},
		{"nothing left", 2, map[string]float64{"o": 0}, 0},
		{"after a restart of all", 2, nil, 30},
	} {
		h := newHub("a", c.term, nil, start)
		h.setRules(1, rules, c.told, start)
		if got := h.ledger.Levels(start)["o"]; got != c.want {
			t.Errorf("%s: level %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against rates that are spent twice while instances are cut off: what their
// parts admit must be left out of what the leader lends. Stopped instances and
// earlier processes of one that runs spend nothing.
func TestShareOfInstancesApart(t *testing.T) {
	h := newHub("a", 1, nil, start)
	report := func(id string, ready bool, started, now time.Time) {
		h.take(&coordpb.Sync{Node: Node{ID: id, Ready: ready, Started: started}.proto()}, now)
	}
	for _, id := range []string{"a", "b", "c", "d"} {
		report(id, true, start, start)
	}
	report("e", false, start, start)
	later := start.Add(2 * time.Second)
	for _, id := range []string{"a", "b"} {
		report(id, true, start, later)
	}
	report("c", true, later, later)
	if got := h.apart(later); got != 0.25 {
		t.Errorf("share %v of the instances is apart, want a quarter", got)
	}
}
