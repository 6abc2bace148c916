package edge

import (
	"fmt"
	"testing"

	"cranberrypath.example/cranberrypath/internal/roster"
	"cranberrypath.example/cranberrypath/internal/world"
)

// Guards against reports of all servers by all instances at once, which take the memory of
// a new leader, and against servers that such a leader never gets.
func TestServersAreReportedInParts(t *testing.T) {
	o := newOutbox()
	var all []roster.Server
	for i := range 1000 {
		state := world.Ready
		if i%2 == 1 {
			state = world.Gone // known for some time, so that no server waits
		}
		all = append(all, roster.Server{ID: fmt.Sprint(i), Seq: 5, State: state})
	}
	o.addAll(all)
	leaving := roster.Server{ID: "leaving", Seq: 1, State: world.Leaving}
	o.add(roster.Server{ID: "8", Seq: 6, State: world.Ready})
	got := map[string]roster.Server{}
	for n := 0; len(got) < 1001; n++ {
		if n > 20 {
			t.Fatalf("%d servers were reported in %d reports", len(got), n)
		}
		if n == 2 {
			o.add(leaving)
		}
		part := o.take()
		if len(part) > maxReportServers+1 {
			t.Fatalf("a report has %d servers", len(part))
		}
		if n == 1 { // lost, and therefore repeated
			o.failed()
			continue
		}
		for _, s := range part {
			if known, ok := got[s.ID]; !ok || s.Newer(known) {
				got[s.ID] = s
			}
		}
		if _, ok := got["leaving"]; n == 2 && !ok {
			t.Error("the leaving server waits for a later report")
		}
		o.answered()
	}
	if got["8"].Seq != 6 {
		t.Error("an announcement was replaced by an older one")
	}
}

// Guards against reporting servers that a new leader knows already.
func TestKnownServersAreNotReported(t *testing.T) {
	o := newOutbox()
	o.addAll([]roster.Server{{ID: "a", Seq: 5}, {ID: "b", Seq: 5}, {ID: "c", Seq: 5}})
	o.learned([]roster.Server{{ID: "a", Seq: 5}, {ID: "b", Seq: 4}})
	if got := o.take(); len(got) != 2 {
		t.Errorf("%d servers were reported, want b and c", len(got))
	}
}
