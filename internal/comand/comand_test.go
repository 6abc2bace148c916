package comand

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// run calls the program and returns its exit code and output.
func run(t *testing.T, stdin string, args ...string) (code int, out, err string) {
	t.Helper()
	var o, e bytes.Buffer
	code = Main(args, strings.NewReader(stdin), &o, &e)
	return code, o.String(), e.String()
}

func write(t *testing.T, name, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// Guards against wrong exit codes, on which scripts rely, and against error messages
// that do not say which input is valid.
func TestExitCodes(t *testing.T) {
	wrong := write(t, "settings.json", "{\n  \"node\": 7\n}")
	tests := []struct {
		name  string
		stdin string
		args  []string
		code  int
		text  string
	}{
		{"nothing", "", nil, exitUsage, "usage:"},
		{"help", "", []string{"-h"}, exitOK, "timeline"},
		{"unknown subcommand", "", []string{"start"}, exitUsage, "unknown subcommand"},
		{"help of a subcommand", "", []string{"serve", "-h"}, exitOK, "-config"},
		{"unknown flag", "", []string{"serve", "-x"}, exitUsage, "-x"},
		{"extra argument", "", []string{"status", "x"}, exitUsage, `unexpected argument "x"`},
		{"missing settings", "", []string{"serve"}, exitUsage, "-config is missing"},
		{"wrong settings", "", []string{"serve", "-check", "-config", wrong}, exitUsage, "settings.json:2: node: is a number"},
		{"missing declaration", "", []string{"apply"}, exitUsage, "-f is missing"},
		{"wrong declaration", `{"presets": [], "x": 1}`, []string{"apply", "-f", "-"}, exitUsage, "-:1: x: unknown key"},
		{"unreadable file", "", []string{"diff", "-f", "/does/not/exist"}, exitFailed, "no such file"},
		{"move without action", "", []string{"move"}, exitUsage, "want start, watch, list or back"},
		{"move without deadline", "", []string{"move", "start", "-service", "s", "-to", "v"}, exitUsage, "-deadline are needed"},
		{"wrong deadline", "", []string{"move", "start", "-service", "s", "-to", "v", "-deadline", "soon"}, exitUsage, "want RFC 3339 or a duration"},
		{"preset without name", "", []string{"preset"}, exitUsage, "name of the preset is missing"},
		{"wrong time", "", []string{"timeline", "-from", "today"}, exitUsage, "want RFC 3339"},
		{"explain without a request", "", []string{"explain", "x.log"}, exitUsage, "want -request or -some"},
		{"explain without logs", "", []string{"explain", "-request", "r"}, exitUsage, "want the logs"},
		{"explain of a damaged log", "{\n{}\n", []string{"explain", "-request", "r", "-"}, exitFailed, "line 1"},
		{"explain of an unknown request", "", []string{"explain", "-request", "r", "-"}, exitFailed, "no failed end in these logs"},
		{"no operators' listener answers", "", []string{"status", "-operators", "127.0.0.1:1", "-timeout", "200ms"}, exitFailed, "127.0.0.1:1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			code, out, err := run(t, tt.stdin, tt.args...)
			if code != tt.code || !strings.Contains(out+err, tt.text) {
				t.Fatalf("code %d, want %d with %q; output:\n%s%s", code, tt.code, tt.text, out, err)
			}
		})
	}
}

// Guards against a merged time line that is out of order or ignores the filters.
func TestTimelineOfFiles(t *testing.T) {
	a := write(t, "a.events", `{"stamp": 3, "time": "2026-01-01T00:00:03Z", "node": "a", "kind": "effect", "request": "r1"}
{"stamp": 9, "time": "2026-01-01T00:00:09Z", "node": "a", "kind": "other", "request": "r2"}
`)
	b := write(t, "b.events", `{"stamp": 2, "time": "2026-01-01T00:00:30Z", "node": "b", "kind": "cause", "request": "r1"}
{"stamp": 10, "ti`)
	code, out, err := run(t, "", "timeline", "-request", "r1", a, b)
	cause, effect := strings.Index(out, "cause"), strings.Index(out, "effect")
	if code != exitOK || cause < 0 || effect < cause || strings.Contains(out, "other") {
		t.Fatalf("code %d: %s%s", code, out, err)
	}
}

// Guards against explanations without the cause, or without the log line of another
// process that shows the cause.
func TestExplainOfLogs(t *testing.T) {
	a := write(t, "n1.log", `{"fields":{"event":"config.applied","config":3},"level":"info","timestamp":"2026-03-21T23:35:22Z","message":"m"}
{"fields":{"event":"request.ended","request":"r","outcome":"refused","reason":"noRoute","config":3,"tookMs":2},"level":"info","timestamp":"2026-03-21T23:35:24Z","message":"m"}
`)
	b := write(t, "n2.log", `{"fields":{"event":"config.applied","config":4},"level":"info","timestamp":"2026-03-21T23:35:23Z","message":"m"}
`)
	code, out, err := run(t, "", "explain", "-request", "r", a, b)
	if code != exitOK || !strings.Contains(out, "n1 request r: refused, noRoute after 2 ms") || !strings.Contains(out, "configBehind") || !strings.Contains(out, "n2") {
		t.Errorf("code %d: %s%s", code, out, err)
	}
	code, out, err = run(t, "", "explain", "-some", "5", "-json", a)
	if code != exitOK || !strings.Contains(out, `"code":"notInConfig"`) {
		t.Errorf("without the other log: code %d: %s%s", code, out, err)
	}
	if code, out, err = run(t, "", "explain", "-some", "5", a, b); code != exitOK || !strings.Contains(out, "1 of 1 explained") {
		t.Errorf("code %d: %s%s", code, out, err)
	}
}
