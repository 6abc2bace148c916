package cause

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"cranberrypath.example/cranberrypath/internal/event"
)

// logLine returns a log line of a node, ms milliseconds after the start of the log.
func logLine(node string, ms int, fields string) string {
	return fmt.Sprintf(`%s {"fields":{%s},"level":"info","timestamp":"2026-03-21T23:35:%02d.%03dZ","message":"m"}`, node, fields, ms/1000, ms%1000)
}

// requestEnded returns the request.ended line of a request with at most one attempt.
func requestEnded(node string, ms int, request, reason, fields, tried string) string {
	outcome := map[string]string{
		"answered": "answered", "timedOut": "failed", "lost": "failed", "streamLost": "broken",
	}[reason]
	if outcome == "" {
		outcome = "refused"
	}
	if tried != "" {
		fields += `,"tried":[` + tried + `]`
	}
	return logLine(node, ms, fmt.Sprintf(`"event":"request.ended","request":%q,"reason":%q,"outcome":%q,"service":"s",%s`, request, reason, outcome, fields))
}

const (
	timedOut        = `{"server":"i-1","expectedMs":3,"firstMs":0,"tookMs":380,"error":"unknown: backend: context deadline exceeded"}`
	connectionReset = `{"server":"i-1","expectedMs":79,"firstMs":0,"tookMs":3,"error":"unknown: backend: read: connection reset by peer"}`
	answeredInTime  = `{"server":"i-1","expectedMs":20,"firstMs":22,"tookMs":30,"status":200}`
	answeredLate    = `{"server":"i-2","expectedMs":20,"firstMs":900,"tookMs":950,"status":200}`
)

func parseLogs(t *testing.T, lines ...string) *Logs {
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

// Guards against a cause in the logs that is not found, and against a cause that is
// reported although the logs do not show one.
func TestExplain(t *testing.T) {
	tests := []struct {
		name  string
		want  Code
		lines []string
	}{
		{"the newest configuration has no route", NotInConfig, []string{
			logLine("n1", 100, `"event":"config.applied","config":3`),
			requestEnded("n1", 900, "r", "noRoute", `"config":3`, ""),
		}},
		{"another instance has a newer configuration", ConfigBehind, []string{
			logLine("n1", 100, `"event":"config.applied","config":3`),
			logLine("n2", 800, `"event":"config.applied","config":4`),
			requestEnded("n1", 900, "r", "noKey", `"config":3`, ""),
		}},
		{"a later configuration is not a cause", NotInConfig, []string{
			logLine("n2", 950, `"event":"config.applied","config":4`),
			requestEnded("n1", 900, "r", "noRoute", `"config":3`, ""),
		}},
		{"rate limit exceeded", OverRate, []string{
			requestEnded("n1", 900, "r", "overQuota", `"organisation":"o","level":-5,"cost":10`, ""),
		}},
		{"rate limit covers the cost", Unexplained, []string{
			requestEnded("n1", 900, "r", "overQuota", `"organisation":"o","level":82246,"cost":14575`, ""),
		}},
		{"no quota from the leader", LeaderAway, []string{
			logLine("n1", 700, `"event":"quota.alone","organisation":"o"`),
			requestEnded("n1", 900, "r", "overQuota", `"organisation":"o","level":82246,"cost":14575`, ""),
		}},
		{"the leader was found again", Unexplained, []string{
			logLine("n1", 700, `"event":"leader.lost"`),
			logLine("n1", 800, `"event":"leader.found"`),
			requestEnded("n1", 900, "r", "overQuota", `"organisation":"o","level":82246,"cost":14575`, ""),
		}},
		{"no configuration after startup", InstanceStarting, []string{
			logLine("n1", 500, `"event":"process.started","node":"n1"`),
			requestEnded("n1", 900, "r", "noConfig", `"runs":0`, ""),
		}},
		{"no leader confirms the configuration", LeaderAway, []string{
			logLine("n1", 100, `"event":"leader.lost"`),
			requestEnded("n1", 900, "r", "staleConfig", `"config":3,"configAgeMs":2100`, ""),
		}},
		{"all servers left", NoServers, []string{
			logLine("n1", 100, `"event":"server.announced","server":"i-1","service":"s","state":"ready"`),
			logLine("n1", 300, `"event":"server.left","server":"i-1","service":"s"`),
			requestEnded("n1", 900, "r", "noServer", `"runs":0`, ""),
		}},
		{"servers crash under a part of the prompt", Blamed, []string{
			logLine("n2", 100, `"event":"server.broke","server":"i-1","crashed":true,"parts":["p"],"keys":["1f","2e"]`),
			logLine("n1", 300, `"event":"key.blamed","key":"2e"`),
			requestEnded("n1", 900, "r", "crashesServers", `"runs":0,"key":"2e"`, ""),
		}},
		{"servers crash and are back at once under a part of the prompt", Blamed, []string{
			logLine("n2", 100, `"event":"server.crashed","server":"i-1","request":"q","keys":["1f","2e"]`),
			requestEnded("n1", 900, "r", "crashesServers", `"runs":0,"key":"2e"`, ""),
		}},
		{"servers crash under another part", Unexplained, []string{
			logLine("n2", 100, `"event":"server.broke","server":"i-1","crashed":true,"parts":["p"],"keys":["1f"]`),
			requestEnded("n1", 900, "r", "crashesServers", `"runs":0,"key":"2e"`, ""),
		}},
		{"the only data centre is evacuated", Evacuated, []string{
			logLine("n1", 100, `"event":"server.announced","server":"i-1","service":"s","state":"ready"`),
			logLine("n1", 300, `"event":"evacuation.applied","dataCentres":["x"],"count":1`),
			requestEnded("n1", 900, "r", "noServer", `"runs":0`, ""),
		}},
		{"the data centre of a server that another instance heard is evacuated", Evacuated, []string{
			logLine("n2", 100, `"event":"server.announced","server":"i-1","service":"s","state":"ready","dataCentre":"x"`),
			logLine("n1", 300, `"event":"evacuation.applied","dataCentres":["x"],"count":1`),
			requestEnded("n1", 900, "r", "noServer", `"runs":0`, ""),
		}},
		{"servers of the service are elsewhere", Unexplained, []string{
			logLine("n1", 100, `"event":"server.announced","server":"i-1","service":"s","state":"ready","dataCentre":"y"`),
			logLine("n1", 100, `"event":"server.announced","server":"i-2","service":"other","state":"ready","dataCentre":"x"`),
			logLine("n1", 300, `"event":"evacuation.applied","dataCentres":["x"],"count":1`),
			requestEnded("n1", 900, "r", "noServer", `"runs":0`, ""),
		}},
		{"the server in the evacuated data centre had left", NoServers, []string{
			logLine("n1", 100, `"event":"server.announced","server":"i-1","service":"s","state":"ready","dataCentre":"x"`),
			logLine("n1", 200, `"event":"server.left","server":"i-1","service":"s"`),
			logLine("n1", 300, `"event":"evacuation.applied","dataCentres":["x"],"count":1`),
			requestEnded("n1", 900, "r", "noServer", `"runs":0`, ""),
		}},
		{"servers outside of the home only", NoneInRegions, []string{
			logLine("n1", 100, `"event":"server.announced","server":"i-1","service":"s","state":"ready"`),
			requestEnded("n1", 900, "r", "noServer", `"runs":0,"regions":["x"]`, ""),
		}},
		{"the evacuation was revoked", Unexplained, []string{
			logLine("n1", 100, `"event":"server.announced","server":"i-1","service":"s","state":"ready"`),
			logLine("n1", 300, `"event":"evacuation.applied","dataCentres":["x"],"count":1`),
			logLine("n1", 400, `"event":"evacuation.applied","dataCentres":[],"count":0`),
			requestEnded("n1", 900, "r", "noServer", `"runs":0`, ""),
		}},
		{"the only server said that it leaves", NoServers, []string{
			logLine("n1", 100, `"event":"server.announced","server":"i-1","service":"s","state":"ready"`),
			logLine("n1", 300, `"event":"server.leaving","server":"i-1","service":"s"`),
			requestEnded("n1", 900, "r", "noServer", `"runs":0`, ""),
		}},
		{"the only server wanted no requests", ServersHeldOff, []string{
			logLine("n1", 300, `"event":"server.heldOff","server":"i-1","service":"s","forMs":2000`),
			requestEnded("n1", 900, "r", "heldOff", `"runs":0`, ""),
		}},
		{"a planned stop", InstanceStopping, []string{
			logLine("n1", 300, `"event":"process.stopping"`),
			requestEnded("n1", 900, "r", "stopping", `"runs":0`, ""),
		}},
		{"the only server had a limit", ServersHeldOff, []string{
			logLine("n2", 300, `"event":"server.limit","server":"i-1","service":"s","limited":true,"rate":1,"part":0.5`),
			requestEnded("n1", 900, "r", "heldOff", `"runs":0`, ""),
		}},
		{"a server said in a response that it is cold", ServersHeldOff, []string{
			logLine("n2", 300, `"event":"server.cold","server":"i-1","service":"s","forMs":2000`),
			requestEnded("n1", 900, "r", "heldOff", `"runs":0`, ""),
		}},
		{"a server announced that it is cold", ServersHeldOff, []string{
			logLine("n2", 300, `"event":"server.announced","server":"i-1","service":"s","state":"ready","cold":true,"forMs":2000`),
			requestEnded("n1", 900, "r", "heldOff", `"runs":0`, ""),
		}},
		{"a server had been cold, and one of another service is", Unexplained, []string{
			logLine("n2", 300, `"event":"server.cold","server":"i-1","service":"s","forMs":500`),
			logLine("n2", 300, `"event":"server.cold","server":"i-2","service":"other","forMs":5000`),
			requestEnded("n1", 900, "r", "heldOff", `"runs":0`, ""),
		}},
		{"the limit of the only server had ended", Unexplained, []string{
			logLine("n2", 300, `"event":"server.limit","server":"i-1","service":"s","limited":true,"rate":1,"part":0.5`),
			logLine("n3", 400, `"event":"server.limit","server":"i-1","service":"s","limited":false`),
			requestEnded("n1", 900, "r", "heldOff", `"runs":0`, ""),
		}},
		{"a server wanted no requests before", Unexplained, []string{
			logLine("n1", 300, `"event":"server.heldOff","server":"i-1","service":"s","forMs":200`),
			requestEnded("n1", 900, "r", "heldOff", `"runs":0`, ""),
		}},
		{"a server is known", Unexplained, []string{
			logLine("n1", 100, `"event":"server.announced","server":"i-1","service":"s","state":"ready"`),
			requestEnded("n1", 900, "r", "noServer", `"runs":0`, ""),
		}},
		{"the server stopped announcing itself afterwards", ServerGone, []string{
			requestEnded("n1", 900, "r", "timedOut", `"runs":1`, timedOut),
			logLine("n2", 4700, `"event":"server.silent","server":"i-1","service":"s"`),
		}},
		{"another server stopped announcing itself", NoAnswer, []string{
			requestEnded("n1", 900, "r", "timedOut", `"runs":1`, timedOut),
			logLine("n2", 4700, `"event":"server.silent","server":"i-2","service":"s"`),
			requestEnded("n2", 950, "x", "answered", `"runs":1`, answeredInTime),
		}},
		{"other requests failed at the server", ServerFailing, []string{
			requestEnded("n2", 700, "x", "timedOut", `"runs":1`, timedOut),
			requestEnded("n1", 900, "r", "timedOut", `"runs":1`, timedOut),
		}},
		{"the server reset the connection", ConnectionLost, []string{
			requestEnded("n1", 900, "r", "lost", `"runs":1`, connectionReset),
			requestEnded("n2", 950, "x", "answered", `"runs":1`, answeredInTime),
		}},
		{"the server answers with an error", ServerError, []string{
			requestEnded("n1", 900, "r", "answered", `"runs":1`, `{"server":"i-1","expectedMs":3,"firstMs":20,"tookMs":20,"status":500}`),
		}},
		{"all servers are late", Overloaded, []string{
			requestEnded("n2", 800, "x", "answered", `"runs":1`, answeredLate),
			requestEnded("n2", 850, "y", "answered", `"runs":1`, answeredLate),
			requestEnded("n1", 900, "r", "streamLost", `"runs":1`, `{"server":"i-1","expectedMs":215,"firstMs":1163,"tookMs":1303,"status":200,"error":"context deadline exceeded"}`),
		}},
		{"attempts of one instance fail at several servers", InstanceCutOff, []string{
			requestEnded("n1", 880, "x", "timedOut", `"runs":1`, strings.ReplaceAll(timedOut, "i-1", "i-2")),
			requestEnded("n1", 890, "y", "timedOut", `"runs":1`, strings.ReplaceAll(timedOut, "i-1", "i-3")),
			requestEnded("n1", 900, "r", "timedOut", `"runs":1`, timedOut),
			requestEnded("n2", 910, "z", "answered", `"runs":1`, answeredInTime),
		}},
		{"the deadline passes at the server", TooLittleTime, []string{
			requestEnded("n1", 900, "r", "timedOut", `"runs":1`, `{"server":"i-1","expectedMs":300,"firstMs":0,"tookMs":80,"error":"unknown: backend: context deadline exceeded"}`),
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := parseLogs(t, tt.lines...).Explain("r")
			if len(got) != 1 || got[0].Findings[0].Code != tt.want || got[0].Explained() != (tt.want != Unexplained) {
				t.Errorf("explained as %+v, want %s", got, tt.want)
			}
		})
	}
}

// Guards against successful answers, and requests of callers that disconnected, being
// reported as failed.
func TestFailed(t *testing.T) {
	l := parseLogs(t,
		requestEnded("n1", 800, "good", "answered", `"runs":1`, answeredInTime),
		requestEnded("n1", 810, "bad", "timedOut", `"runs":1`, timedOut),
		requestEnded("n2", 820, "bad", "timedOut", `"runs":1`, timedOut),
		logLine("n1", 830, `"event":"request.ended","request":"gone","outcome":"left","reason":"callerLeft"`),
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

// Guards against undecodable attempts being left out of the counts without an error.
func TestDamagedAttempts(t *testing.T) {
	all, err := event.Read(strings.NewReader(requestEnded("n1", 900, "r", "lost", `"runs":1`, `"text"`)+"\n"), "")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := New(all); err == nil {
		t.Error("attempts that are not a list of objects were accepted")
	}
}

// Guards against causes that are missing from the operators' page.
func TestCausesAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []Code{
		ConfigBehind, NotInConfig, InstanceStarting, InstanceCutOff, LeaderAway, OverRate, NoServers, Blamed, ServersHeldOff, ServerGone,
		ServerFailing, ServerRefused, ServerError, ConnectionLost, NoAnswer, Overloaded, TooLittleTime, Unexplained,
	} {
		if !strings.Contains(string(page), "`"+string(c)+"`") {
			t.Errorf("cause %s is not in docs/OPERATIONS.md", c)
		}
	}
}
