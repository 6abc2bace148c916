package coord

import (
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/coord/coordpb"
)

// Guards against an order of the version that is in force which takes its servers out of service,
// and against a new version that counts as being in force, over orders, ends and a snapshot.
func TestVersionsInForce(t *testing.T) {
	// Each step is an order of a version, or the end of the last one, with the versions that have servers.
	type step struct {
		act, present string
		wantInForce  bool
		wantAccepted string
	}
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"order back while running", []step{{"v2", "v1 v2", false, "v1"}, {"v1", "v1 v2", true, "v1"}}},
		{"order back before the first server", []step{{"v2", "v1", false, "v1"}, {"v1", "v1", true, "v1"}, {"v2", "v1 v2", false, "v1"}}},
		{"order back after the roll-back", []step{{"v2", "v1 v2", false, "v1"}, {"rolledBack", "", false, "v1"}, {"v1", "v1 v2", true, "v1"}}},
		{"order back after done", []step{{"v2", "v1 v2", false, "v1"}, {"done", "", false, "v1"}, {"v1", "v1 v2", false, "v2"}, {"v2", "v1 v2", true, "v2"}}},
		{"order back rolled back", []step{{"v2", "v1 v2", false, "v1"}, {"v1", "v1 v2", true, "v1"}, {"rolledBack", "", true, "v1"}, {"v3", "v1 v3", false, "v1"}, {"v1", "v1", true, "v1"}}},
		{"twice", []step{{"v2", "v1 v2", false, "v1"}, {"v1", "v1 v2", true, "v1"}, {"done", "", true, "v1"}, {"v1", "v1", true, "v1"}, {"v2", "v1 v2", false, "v1"}, {"v1", "v1 v2", true, "v1"}}},
		{"another version meanwhile", []step{{"v2", "v1 v2", false, "v1"}, {"v3", "v1 v2 v3", false, "v1"}, {"v1", "v1 v2 v3", true, "v1"}}},
		{"the only version", []step{{"v1", "v1", true, "v1"}}},
		{"no servers", []step{{"v2", "", false, ""}, {"v1", "v1 v2", true, "v1"}}},
		{"target without others, ordered before", []step{{"v2", "v1 v2", false, "v1"}, {"rolledBack", "", false, "v1"}, {"v2", "v2", false, "v1"}}},
		{"replaced without an order", []step{{"v2", "v1 v2", false, "v1"}, {"rolledBack", "", false, "v1"}, {"v1b", "v1b", true, "v1b"}}},
		{"two in force", []step{
			{"v3", "v1 v2 v3", false, "v1 v2"},
			{"v2", "v1 v2 v3", false, "v1 v2"},
			{"v1", "v1 v2 v3", false, "v1 v2"},
			{"rolledBack", "", false, "v1 v2"},
			{"v2", "v1 v2", true, "v2"},
		}},
		{"two in force, one of them done", []step{{"v2", "v1 v2", false, "v1"}, {"rolledBack", "", false, "v1"}, {"v1b", "v1 v1b", false, "v1"}, {"done", "", false, "v1"}, {"v1b", "v1 v1b", true, "v1b"}}},
	} {
		s := newStateMachine(ignoreDepartures)
		for i, st := range c.steps {
			cmd := &coordpb.Command{PresentVersions: strings.Fields(st.present)}
			switch st.act {
			case "done":
				cmd.Rollout = s.rollouts()[0].WithPhase(Done, "test").proto()
			case "rolledBack":
				cmd.Rollout = s.rollouts()[0].WithPhase(RolledBack, "test").proto()
			default:
				var last uint64
				for _, r := range s.rollouts() {
					last = r.Serial
				}
				// Late enough not to count as a retry of the one before.
				cmd.Rollout, cmd.AfterSerial = orderOf(st.act, start.Add(time.Duration(i)*time.Hour)).proto(), &last
			}
			b, err := proto.Marshal(cmd)
			if err != nil {
				t.Fatal(err)
			}
			s.Apply(uint64(i+1), b)
			snapshot, err := s.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			if err := s.Restore(snapshot); err != nil {
				t.Fatal(err)
			}
			r := s.rollouts()[0]
			if got := strings.Join(r.Accepted, " "); r.InForce != st.wantInForce || got != st.wantAccepted {
				t.Errorf("%s, step %d (%s): in force %v with %q accepted, want %v and %q", c.name, i, st.act, r.InForce, got, st.wantInForce, st.wantAccepted)
			}
			if r.InForce && (r.WasRolledBack(r.Target) || r.WasSuperseded(r.Target)) {
				t.Errorf("%s, step %d (%s): the version in force is out of service", c.name, i, st.act)
			}
		}
		if r := s.rollouts()[0]; c.name == "another version meanwhile" && (!r.WasSuperseded("v2") || !r.WasSuperseded("v3")) {
			t.Errorf("%s: superseded %v", c.name, r.Superseded)
		}
	}
}
