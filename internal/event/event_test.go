package event

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/clock"
)

var testTime = time.UnixMilli(1_700_000_000_000)

// Guards against a timeline that lists an effect before its cause because the
// clock of the effect's node is behind.
func TestMergeKeepsCauseBeforeEffect(t *testing.T) {
	a := NewLog("a", &clock.Clock{}, 10, nil)
	b := NewLog("b", &clock.Clock{}, 10, nil)
	a.Add(Of("cause").WithRequest("r1"), testTime.Add(time.Minute))
	b.Clock().Observe(a.Events(Filter{})[0].Stamp)
	b.Add(Of("effect").WithRequest("r1"), testTime)
	merged := Merge(b.Events(Filter{}), a.Events(Filter{}), a.Events(Filter{}))
	if len(merged) != 2 || merged[0].Kind != "cause" || merged[1].Kind != "effect" {
		t.Fatalf("wrong order: %+v", merged)
	}
}

// Guards against returning events out of order after the ring buffer has wrapped.
func TestRingKeepsNewest(t *testing.T) {
	l := NewLog("a", &clock.Clock{}, 3, nil)
	for _, k := range []string{"1", "2", "3", "4", "5"} {
		l.Add(Of(k), testTime)
	}
	var kinds []string
	for _, e := range l.Events(Filter{}) {
		kinds = append(kinds, e.Kind)
	}
	if got := strings.Join(kinds, ""); got != "345" {
		t.Fatalf("kept %q, want the newest three in order", got)
	}
}

// Guards against an incomplete last line making the whole file unreadable, and
// against ignoring a malformed line in the middle.
func TestReadCutAndDamaged(t *testing.T) {
	var b bytes.Buffer
	l := NewLog("a", &clock.Clock{}, 3, &b)
	l.Add(Of("x"), testTime)
	l.Add(Of("y"), testTime)
	complete := b.String()
	tests := []struct {
		name, in string
		n        int
		fails    bool
	}{
		{"whole", complete, 2, false},
		{"cut", complete[:len(complete)-5], 1, false},
		{"damaged", "{\n" + complete, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			events, err := Read(strings.NewReader(tt.in), "n1")
			if (err != nil) != tt.fails || len(events) != tt.n {
				t.Fatalf("read %d events, error %v", len(events), err)
			}
		})
	}
}

// Guards against assigning log lines to the wrong process or time, and against
// treating different lines of the same millisecond as duplicates.
func TestReadLogLines(t *testing.T) {
	const rest = `"level":"info","timestamp":"2026-03-21T23:35:23.014268281Z","message":"request ended"}`
	in := `{"fields":{"event":"process.started","node":"n7"},"level":"info","timestamp":"2026-03-21T23:35:22Z","message":"instance started"}
{"fields":{"event":"request.ended","request":"a","tookMs":3,"tried":[{"server":"i-1"}]},` + rest + `
  0.5906 n8 {"fields":{"event":"request.ended","request":"b","outcome":"failed"},` + rest + `
{"fields":{"event":"request.ended","request":"c"},` + rest + `
`
	got, err := Read(strings.NewReader(in), "file")
	if err != nil {
		t.Fatal(err)
	}
	got = Merge(got, got)
	if len(got) != 4 {
		t.Fatalf("%d events, want 4", len(got))
	}
	for i, want := range []struct{ node, kind, request, key, value string }{
		{"n7", "process.started", "", "message", "instance started"},
		{"n7", "request.ended", "a", "tried", `[{"server":"i-1"}]`},
		{"n7", "request.ended", "c", "message", "request ended"},
		{"n8", "request.ended", "b", "outcome", "failed"},
	} {
		e := got[i]
		if e.Node != want.node || e.Kind != want.kind || e.Request != want.request || e.Detail[want.key] != want.value {
			t.Errorf("event %d is %+v, want %+v", i, e, want)
		}
	}
	if at := got[1].Time; at.Nanosecond() != 14268281 {
		t.Errorf("time %v has lost its nanoseconds", at)
	}
}
