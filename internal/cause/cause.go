// Package cause explains why a request ended as it did, from the log lines of all
// processes. An engineer who is called has an id and the logs; this package does
// the lookups that the operators' page describes: what decided at the instance,
// what became of the server, and whether others had the same trouble.
package cause

import (
	"cmp"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"cranberrypath.example/cranberrypath/internal/event"
)

// Code names a kind of cause.
type Code string

// Causes. Unexplained means that no line of the logs tells one.
const (
	ConfigBehind     Code = "configBehind"     // a newer configuration was in force at other instances
	NotInConfig      Code = "notInConfig"      // the configuration in force has no such route or key
	InstanceStarting Code = "instanceStarting" // the instance had just started
	InstanceCutOff   Code = "instanceCutOff"   // its sends failed at several servers, those of others did not
	LeaderAway       Code = "leaderAway"       // the instance did not reach the leader
	OverRate         Code = "overRate"         // the organisation was beyond its rate
	NoServers        Code = "noServers"        // the instance knew of no server that takes the service
	ServerGone       Code = "serverGone"       // the server left, fell silent or was avoided
	ServerFailing    Code = "serverFailing"    // other requests failed at the server too
	ServerRefused    Code = "serverRefused"    // the server took no more requests
	ServerError      Code = "serverError"      // the server answered this one with an error
	ConnectionLost   Code = "connectionLost"   // the connection to the server ended
	NoAnswer         Code = "noAnswer"         // the server gave nothing to this request only
	Overloaded       Code = "overloaded"       // first bytes came far later than expected at most servers
	TooLittleTime    Code = "tooLittleTime"    // the request's own time was shorter than any server needed
	Unexplained      Code = "unexplained"
)

const (
	// around is how far from an attempt others count as made at the same time.
	around = time.Second
	// seenWithin is how long before and after an attempt a statement about its server
	// matters: a crashed server is found after 4.2 s, by its missing announcements.
	seenWithin = 6 * time.Second
	// startWithin is how long an instance counts as just started: it learns the
	// configuration and the servers with its first reports, within a second or two.
	startWithin = 3 * time.Second
	// leaderWithin is how long before a decision a lost leader matters.
	leaderWithin = 3 * time.Second
	// lateFactor is how many times the expected time an attempt takes that counts as
	// late.
	lateFactor = 3
	// fewMs is added to expected times: below it, lateness is the network's.
	fewMs = 100
	// evidenceMost bounds the lines shown for one cause.
	evidenceMost = 3
)

// Finding is one cause with the lines that show it.
type Finding struct {
	Code     Code          `json:"code"`
	Text     string        `json:"text"`
	Evidence []event.Event `json:"evidence,omitempty"`
}

// Explanation is the end of one attempt of a caller and what led to it. The first
// finding is the nearest cause.
type Explanation struct {
	End      event.Event `json:"end"`
	Findings []Finding   `json:"findings"`
}

// Explained reports whether a cause was found.
func (x Explanation) Explained() bool {
	return len(x.Findings) > 0 && x.Findings[0].Code != Unexplained
}

// Logs are the events of all processes.
type Logs struct {
	all   []event.Event // in order of time
	ends  []end
	sends []send
}

// end is a request.ended event.
type end struct {
	event.Event
	reason, outcome string
	config          int64
	sends           []send
}

// send is one attempt of an instance at a server.
type send struct {
	at       time.Time // its end
	node     string
	service  string
	request  string
	server   string
	expected int64 // ms to the first byte
	first    int64 // ms, 0 without a first byte
	took     int64 // ms
	status   int
	err      string
	line     event.Event
}

// failed reports whether the server gave no good answer.
func (s send) failed() bool { return s.err != "" || s.status >= 500 }

// late reports whether the first byte came, or would have come, far too late.
func (s send) late() bool { return cmp.Or(s.first, s.took) > lateFactor*s.expected+fewMs }

// tried is an attempt in the field "tried" of a line.
type tried struct {
	Server     string
	ExpectedMs int64
	FirstMs    int64
	TookMs     int64
	Status     int
	Error      string
}

// New prepares events for lookups. A request.ended event whose attempts cannot be
// read is an error.
func New(all []event.Event) (*Logs, error) {
	l := &Logs{all: slices.Clone(all)}
	slices.SortStableFunc(l.all, func(a, b event.Event) int { return a.Time.Compare(b.Time) })
	for _, e := range l.all {
		if e.Kind != "request.ended" {
			continue
		}
		x := end{Event: e, reason: e.Detail["reason"], outcome: e.Detail["outcome"]}
		x.config, _ = number(e, "config")
		if text := e.Detail["tried"]; text != "" {
			var list []tried
			if err := json.Unmarshal([]byte(text), &list); err != nil {
				return nil, event.Error.New("request %s at %s: attempts %q: %v", e.Request, e.Node, text, err)
			}
			for _, t := range list {
				x.sends = append(x.sends, send{
					at: e.Time, node: e.Node, service: e.Detail["service"], request: e.Request, server: t.Server,
					expected: t.ExpectedMs, first: t.FirstMs, took: t.TookMs, status: t.Status, err: t.Error, line: e,
				})
			}
		}
		l.ends = append(l.ends, x)
		l.sends = append(l.sends, x.sends...)
	}
	return l, nil
}

// number returns a field that holds a number. ok is false without one: some lines
// are about requests that never got so far.
func number(e event.Event, name string) (n int64, ok bool) {
	f, err := strconv.ParseFloat(e.Detail[name], 64)
	return int64(f), err == nil
}

// Failed returns the ids of the requests that failed at an instance, each once, in
// order of time.
func (l *Logs) Failed() []string {
	var out []string
	seen := map[string]bool{}
	for _, x := range l.ends {
		if !seen[x.Request] && x.bad() {
			seen[x.Request] = true
			out = append(out, x.Request)
		}
	}
	return out
}

// bad reports whether the caller got no good answer and had not left.
func (x end) bad() bool {
	if x.outcome == "left" {
		return false
	}
	return x.outcome != "answered" || len(x.sends) > 0 && x.sends[len(x.sends)-1].failed()
}

// Explain explains each failed end of a request. The list is empty if the logs have
// none: the caller reached no instance, the line was left out (log.dropped counts
// these), or the instance ended without writing it.
func (l *Logs) Explain(request string) []Explanation {
	var out []Explanation
	for _, x := range l.ends {
		if x.Request != request || !x.bad() {
			continue
		}
		f := l.explain(x)
		if len(f) == 0 {
			f = []Finding{{Code: Unexplained, Text: "no line tells the cause"}}
		}
		out = append(out, Explanation{End: x.Event, Findings: f})
	}
	return out
}

// find returns the last events of the given kinds that pass f, from a time to
// another.
func (l *Logs) find(from, until time.Time, f func(e event.Event) bool, kinds ...string) []event.Event {
	var out []event.Event
	for _, e := range l.all {
		if e.Time.Before(from) || e.Time.After(until) || !slices.Contains(kinds, e.Kind) || !f(e) {
			continue
		}
		out = append(out, e)
	}
	return out[max(len(out)-evidenceMost, 0):]
}
