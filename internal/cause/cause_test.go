package cause

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"cranberrypath.example/cranberrypath/internal/event"
)

// line writes a log line of a node at a number of milliseconds after the start.
func line(node string, ms int, fields string) string {
	return fmt.Sprintf(`%s {"fields":{%s},"level":"info","timestamp":"2026-03-21T23:35:%02d.%03dZ","message":"m"}`, node, fields, ms/1000, ms%1000)
}

// ended writes the end of a request with at most one attempt.
func ended(node string, ms int, request, reason, fields, tried string) string {
	outcome := map[string]string{
		"answered": "answered", "timedOut": "failed", "lost": "failed", "streamLost": "broken",
	}[reason]
	if outcome == "" {
		outcome = "refused"
	}
	if tried != "" {
		fields += `,"tried":[` + tried + `]`
	}
	return line(node, ms, fmt.Sprintf(`"event":"request.ended","request":%q,"reason":%q,"outcome":%q,"service":"s",%s`, request, reason, outcome, fields))
}

const (
	timeout = `{"server":"i-1","expectedMs":3,"firstMs":0,"tookMs":380,"error":"unknown: backend: context deadline exceeded"}`
	reset   = `{"server":"i-1","expectedMs":79,"firstMs":0,"tookMs":3,"error":"unknown: backend: read: connection reset by peer"}`
	fine    = `{"server":"i-1","expectedMs":20,"firstMs":22,"tookMs":30,"status":200}`
	late    = `{"server":"i-2","expectedMs":20,"firstMs":900,"tookMs":950,"status":200}`
)

func logsOf(t *testing.T, lines ...string) *Logs {
	t.Helper()
	all, err := event.Read(strings.NewReader(strings.Join(lines, "\n")+"\n"), "")
	if err != nil {
		t.Fatal(err)
	}
	l, err := New(all)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// Guards against a failed request whose cause stands in the logs and is not found,
// and against a cause told where the lines show none.
func TestExplain(t *testing.T) {
	tests := []struct {
		name  string
		want  Code
		lines []string
	}{
		{"the newest configuration has no route", NotInConfig, []string{
			line("n1", 100, `"event":"config.applied","config":3`),
			ended("n1", 900, "r", "noRoute", `"config":3`, ""),
		}},
		{"another instance has a newer configuration", ConfigBehind, []string{
			line("n1", 100, `"event":"config.applied","config":3`),
			line("n2", 800, `"event":"config.applied","config":4`),
			ended("n1", 900, "r", "noKey", `"config":3`, ""),
		}},
		{"a configuration that came later explains nothing", NotInConfig, []string{
			line("n2", 950, `"event":"config.applied","config":4`),
			ended("n1", 900, "r", "noRoute", `"config":3`, ""),
		}},
		{"a rate is used up", OverRate, []string{
			ended("n1", 900, "r", "overQuota", `"organisation":"o","level":-5,"cost":10`, ""),
		}},
		{"a rate that covers the cost", Unexplained, []string{
			ended("n1", 900, "r", "overQuota", `"organisation":"o","level":82246,"cost":14575`, ""),
		}},
		{"the leader did not lend", LeaderAway, []string{
			line("n1", 700, `"event":"quota.alone","organisation":"o"`),
			ended("n1", 900, "r", "overQuota", `"organisation":"o","level":82246,"cost":14575`, ""),
		}},
		{"the leader was found again", Unexplained, []string{
			line("n1", 700, `"event":"leader.lost"`),
			line("n1", 800, `"event":"leader.found"`),
			ended("n1", 900, "r", "overQuota", `"organisation":"o","level":82246,"cost":14575`, ""),
		}},
		{"no configuration after a start", InstanceStarting, []string{
			line("n1", 500, `"event":"process.started","node":"n1"`),
			ended("n1", 900, "r", "noConfig", `"runs":0`, ""),
		}},
		{"all servers left", NoServers, []string{
			line("n1", 100, `"event":"server.announced","server":"i-1","service":"s","state":"ready"`),
			line("n1", 300, `"event":"server.left","server":"i-1","service":"s"`),
			ended("n1", 900, "r", "noServer", `"runs":0`, ""),
		}},
		{"a server is known", Unexplained, []string{
			line("n1", 100, `"event":"server.announced","server":"i-1","service":"s","state":"ready"`),
			ended("n1", 900, "r", "noServer", `"runs":0`, ""),
		}},
		{"the server fell silent afterwards", ServerGone, []string{
			ended("n1", 900, "r", "timedOut", `"runs":1`, timeout),
			line("n2", 4700, `"event":"server.silent","server":"i-1","service":"s"`),
		}},
		{"another server fell silent", NoAnswer, []string{
			ended("n1", 900, "r", "timedOut", `"runs":1`, timeout),
			line("n2", 4700, `"event":"server.silent","server":"i-2","service":"s"`),
			ended("n2", 950, "x", "answered", `"runs":1`, fine),
		}},
		{"others failed there too", ServerFailing, []string{
			ended("n2", 700, "x", "timedOut", `"runs":1`, timeout),
			ended("n1", 900, "r", "timedOut", `"runs":1`, timeout),
		}},
		{"the server reset the connection", ConnectionLost, []string{
			ended("n1", 900, "r", "lost", `"runs":1`, reset),
			ended("n2", 950, "x", "answered", `"runs":1`, fine),
		}},
		{"an error is the server's answer", ServerError, []string{
			ended("n1", 900, "r", "answered", `"runs":1`, `{"server":"i-1","expectedMs":3,"firstMs":20,"tookMs":20,"status":500}`),
		}},
		{"all servers are late", Overloaded, []string{
			ended("n2", 800, "x", "answered", `"runs":1`, late),
			ended("n2", 850, "y", "answered", `"runs":1`, late),
			ended("n1", 900, "r", "streamLost", `"runs":1`, `{"server":"i-1","expectedMs":215,"firstMs":1163,"tookMs":1303,"status":200,"error":"context deadline exceeded"}`),
		}},
		{"sends of one instance fail at several servers", InstanceCutOff, []string{
			ended("n1", 880, "x", "timedOut", `"runs":1`, strings.ReplaceAll(timeout, "i-1", "i-2")),
			ended("n1", 890, "y", "timedOut", `"runs":1`, strings.ReplaceAll(timeout, "i-1", "i-3")),
			ended("n1", 900, "r", "timedOut", `"runs":1`, timeout),
			ended("n2", 910, "z", "answered", `"runs":1`, fine),
		}},
		{"its time was over at the server", TooLittleTime, []string{
			ended("n1", 900, "r", "timedOut", `"runs":1`, `{"server":"i-1","expectedMs":300,"firstMs":0,"tookMs":80,"error":"unknown: backend: context deadline exceeded"}`),
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := logsOf(t, tt.lines...).Explain("r")
			if len(got) != 1 || got[0].Findings[0].Code != tt.want || got[0].Explained() != (tt.want != Unexplained) {
				t.Errorf("explained as %+v, want %s", got, tt.want)
			}
		})
	}
}

// Guards against good answers, and callers that left, among the failures to explain.
func TestFailed(t *testing.T) {
	l := logsOf(t,
		ended("n1", 800, "good", "answered", `"runs":1`, fine),
		ended("n1", 810, "bad", "timedOut", `"runs":1`, timeout),
		ended("n2", 820, "bad", "timedOut", `"runs":1`, timeout),
		line("n1", 830, `"event":"request.ended","request":"gone","outcome":"left","reason":"callerLeft"`),
	)
	if got := l.Failed(); len(got) != 1 || got[0] != "bad" {
		t.Errorf("failed are %v, want only bad", got)
	}
	if got := l.Explain("bad"); len(got) != 2 {
		t.Errorf("%d explanations, want one for each of two ends", len(got))
	}
	if got := l.Explain("good"); len(got) != 0 {
		t.Errorf("a good answer is explained: %v", got)
	}
}

// Guards against attempts that are left out of the counts without a word.
func TestDamagedAttempts(t *testing.T) {
	all, err := event.Read(strings.NewReader(ended("n1", 900, "r", "lost", `"runs":1`, `"text"`)+"\n"), "")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := New(all); err == nil {
		t.Error("attempts that are no list of objects were accepted")
	}
}

// Guards against causes that the operators' page does not tell.
func TestCausesAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []Code{
		ConfigBehind, NotInConfig, InstanceStarting, InstanceCutOff, LeaderAway, OverRate, NoServers, ServerGone,
		ServerFailing, ServerRefused, ServerError, ConnectionLost, NoAnswer, Overloaded, TooLittleTime, Unexplained,
	} {
		if !strings.Contains(string(page), "`"+string(c)+"`") {
			t.Errorf("cause %s is not in docs/OPERATIONS.md", c)
		}
	}
}
