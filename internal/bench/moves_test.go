package bench

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/moves"
	"cranberrypath.example/cranberrypath/internal/stand"
	"cranberrypath.example/cranberrypath/internal/world"
	"cranberrypath.example/cranberrypath/pkg/decl"
)

// Guards against naive planners that consider results, that wait for anything but
// servers, or that never end a move.
func TestNaivePlans(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, tt := range []struct {
		policy string
		want   string
	}{
		{allAtOnce, "100%@0s done@50s"},
		{fixedSteps, "10%@0s 25%@20s 50%@40s 100%@60s done@80s"},
	} {
		for _, ready := range []bool{true, false} {
			m := world.Move{ID: "m", Service: "s", From: version, To: nextVersion, Started: start, Deadline: start.Add(100 * time.Second)}
			var got []string
			for s := range 200 {
				now := start.Add(time.Duration(s) * time.Second)
				v := moves.View{Moves: []world.Move{m}, New: map[string]moves.Capacity{}, Demand: map[string]float64{"s": 6}}
				if ready {
					v.New["m"] = moves.Capacity{ReadyServers: 1, Slots: 8}
				}
				for _, st := range newPlannerFunc(tt.policy)(decl.MovePolicy{}).Next(now, v) {
					m = moves.Apply(m, st, now)
					text := fmt.Sprintf("%g%%", 100*m.Share)
					if m.Outcome != "" {
						text = string(m.Outcome)
					}
					got = append(got, fmt.Sprintf("%s@%gs", text, now.Sub(start).Seconds()))
				}
			}
			want := tt.want
			if !ready {
				want = "takenBack@100s"
			}
			if text := strings.Join(got, " "); text != want {
				t.Errorf("%s, servers ready %v: %s, want %s", tt.policy, ready, text, want)
			}
		}
	}
}

// Guards against a report that counts as correct a good version that was taken back, a bad
// version that was not, or a move without its end event.
func TestMoveRows(t *testing.T) {
	takenBack, done := string(world.TakenBack), string(world.Done)
	rep := Report{Results: []*Result{{Policy: systemPolicy, Moves: []MoveResult{
		{Service: "a", Outcome: done, ByDeadline: true, EndEvents: 1},
		{Service: "b", Outcome: done, EndEvents: 1}, // late
		{Service: "c", Outcome: takenBack, ByDeadline: true, EndEvents: 1},
		{Service: "d", Bad: true, Outcome: takenBack, ByDeadline: true, BeforeDeadline: true, FaultToZeroSeconds: 4, ReceivedShare: 0.1, EndEvents: 2},
		{Service: "e", Bad: true, Outcome: takenBack, ByDeadline: true, FaultToZeroSeconds: 9, ReceivedShare: 0.2, EndEvents: 1},
		{Service: "f", Bad: true, Outcome: done, ByDeadline: true, ReceivedShare: 0.6, EndEvents: 1},
		{Service: "g", Bad: true, ReceivedShare: 0.7},
	}}}}
	var b bytes.Buffer
	if err := rep.WriteTable(&b); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"good moves done in time  1 of 3", "bad moves taken back  2 of 4", "before the deadline  1 of 4",
		"median/longest s  9.0/9.0", "after their faults  40.0%", "one end event  5 of 7", "g  not ended",
	} {
		if !strings.Contains(strings.Join(strings.Fields(b.String()), " "), strings.Join(strings.Fields(want), " ")) {
			t.Errorf("%q is missing in\n%s", want, b.String())
		}
	}
}

// Guards against an answer check that accepts an arbitrary mix of versions, or that rejects
// an answer of the new version that the old version continued.
func TestCheckVersions(t *testing.T) {
	r := request{Service: "s", Prompt: "a deck", Seed: 3, MaxTokens: 5}
	tokensOf := func(v string) []string {
		return stand.Text{Model: "s", Version: v, Prompt: r.Prompt, Seed: 3, Salt: "0a0b0c0d"}.Tokens(5)
	}
	oldTokens, newTokens := tokensOf(version), tokensOf(nextVersion)
	for _, tt := range []struct {
		name      string
		tokens    []string
		ok, mixed bool
	}{
		{"old", oldTokens, true, false},
		{"new", newTokens, true, false},
		{"continued on the old", append(newTokens[:3:3], oldTokens[3:]...), true, true},
		{"continued on the new", append(oldTokens[:3:3], newTokens[3:]...), false, false},
		{"back and forth", append(append(newTokens[:2:2], oldTokens[2:4]...), newTokens[4]), false, false},
		{"damaged", append(newTokens[:3:3], "x ", oldTokens[4]), false, false},
	} {
		c := newAnswerChecker(r)
		var err error
		for i, token := range tt.tokens {
			if err == nil {
				err = c.addEvent(i+1, token)
			}
		}
		if err == nil {
			err = c.finish("length")
		}
		if (err == nil) != tt.ok || tt.ok && c.mixedVersions != tt.mixed {
			t.Errorf("%s: %v, mixed %v", tt.name, err, c.mixedVersions)
		}
	}
}
