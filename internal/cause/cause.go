// Package cause finds the causes of failed requests in the logs of all processes.
// Given a request id, it does the lookups that the operators' page describes: why
// the instance decided as it did, what happened to the server, and whether other
// requests failed in the same way.
package cause

import (
	"cmp"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"cranberrypath.example/cranberrypath/internal/event"
)

// Code identifies a kind of cause.
type Code string

// Causes. Unexplained means that the logs show none.
const (
	ConfigBehind     Code = "configBehind"     // other instances had applied a newer configuration
	NotInConfig      Code = "notInConfig"      // the newest configuration has no such route or key
	InstanceStarting Code = "instanceStarting" // the instance had just started
	InstanceStopping Code = "instanceStopping" // the instance was about to stop
	InstanceCutOff   Code = "instanceCutOff"   // attempts of this instance failed at several servers, those of other instances did not
	LeaderAway       Code = "leaderAway"       // the instance could not reach the leader
	OverRate         Code = "overRate"         // the organisation exceeded its rate limit
	ServersHeldOff   Code = "serversHeldOff"   // each server wanted no requests from the instance
	NoServers        Code = "noServers"        // the instance knew no ready server of the service
	Evacuated        Code = "evacuated"        // data centres were evacuated
	NoneInRegions    Code = "noneInRegions"    // no server in the regions that the request may run in
	Blamed           Code = "blamed"           // servers crash under what the request holds
	ServerGone       Code = "serverGone"       // the server deregistered, stopped announcing itself or was ejected
	ServerFailing    Code = "serverFailing"    // other requests failed at the server too
	ServerRefused    Code = "serverRefused"    // the server refused the request
	ServerError      Code = "serverError"      // the server answered this request with an error
	ConnectionLost   Code = "connectionLost"   // the connection to the server broke
	NoAnswer         Code = "noAnswer"         // the server did not answer this request, but answered others
	Overloaded       Code = "overloaded"       // the first byte was far later than expected at most servers
	TooLittleTime    Code = "tooLittleTime"    // the request's deadline was too short for any server
	Unexplained      Code = "unexplained"
)

const (
	// concurrentWithin is the largest time difference between attempts that count as
	// concurrent.
	concurrentWithin = time.Second
	// serverEventWithin is how long before and after an attempt an event of its server
	// can explain a failure: a crash is detected after 4.2 s without announcements.
	serverEventWithin = 6 * time.Second
	// startupWithin is how long an instance counts as starting: its first reports to
	// the leader return the configuration and the servers, within a second or two.
	startupWithin = 3 * time.Second
	// stopWithin is the longest time from the beginning of a planned stop to its end.
	stopWithin = time.Minute
	// leaderEventWithin is how long before a decision the loss of the leader can
	// explain it.
	leaderEventWithin = 3 * time.Second
	// lateFactor is the multiple of the expected time above which an attempt is late.
	lateFactor = 3
	// networkSlackMs is added to expected times to allow for network delays.
	networkSlackMs = 100
	// maxEvidence is the maximum number of events shown for one cause.
	maxEvidence = 3
)

// Finding is one cause with the events that show it.
type Finding struct {
	Code     Code          `json:"code"`
	Text     string        `json:"text"`
	Evidence []event.Event `json:"evidence,omitempty"`
}

// Explanation is the failed end of a request at one instance, with its causes. The
// first finding is the most direct cause.
type Explanation struct {
	End      event.Event `json:"end"`
	Findings []Finding   `json:"findings"`
}

// Explained reports whether a cause was found.
func (x Explanation) Explained() bool {
	return len(x.Findings) > 0 && x.Findings[0].Code != Unexplained
}

// Logs holds the events of all processes.
type Logs struct {
	events   []event.Event // in order of time
	ends     []requestEnd
	attempts []attempt
}

// requestEnd is a request.ended event.
type requestEnd struct {
	event.Event
	reason, outcome string
	config          int64
	attempts        []attempt
}

// attempt is one attempt of an instance to run a request on a server.
type attempt struct {
	endedAt    time.Time
	node       string
	service    string
	request    string
	server     string
	expectedMs int64 // to the first byte
	firstMs    int64 // 0 without a first byte
	tookMs     int64
	status     int
	err        string
	event      event.Event
}

// failed reports whether the server returned no successful answer.
func (a attempt) failed() bool { return a.err != "" || a.status >= 500 }

// late reports whether the attempt took far longer than expected to its first byte, or
// to its end if no byte arrived.
func (a attempt) late() bool {
	return cmp.Or(a.firstMs, a.tookMs) > lateFactor*a.expectedMs+networkSlackMs
}

// triedEntry is an attempt in the log field "tried".
type triedEntry struct {
	Server     string
	ExpectedMs int64
	FirstMs    int64
	TookMs     int64
	Status     int
	Error      string
}

// New indexes events for lookups. It returns an error if the attempts of a
// request.ended event cannot be decoded.
func New(all []event.Event) (*Logs, error) {
	l := &Logs{events: slices.Clone(all)}
	slices.SortStableFunc(l.events, func(a, b event.Event) int { return a.Time.Compare(b.Time) })
	for _, e := range l.events {
		if e.Kind != "request.ended" {
			continue
		}
		end := requestEnd{Event: e, reason: e.Detail["reason"], outcome: e.Detail["outcome"]}
		end.config, _ = numberField(e, "config")
		if text := e.Detail["tried"]; text != "" {
			var list []triedEntry
			if err := json.Unmarshal([]byte(text), &list); err != nil {
				return nil, event.Error.New("request %s at %s: attempts %q: %v", e.Request, e.Node, text, err)
			}
			for _, t := range list {
				end.attempts = append(end.attempts, attempt{
					endedAt: e.Time, node: e.Node, service: e.Detail["service"], request: e.Request, server: t.Server,
					expectedMs: t.ExpectedMs, firstMs: t.FirstMs, tookMs: t.TookMs, status: t.Status, err: t.Error, event: e,
				})
			}
		}
		l.ends = append(l.ends, end)
		l.attempts = append(l.attempts, end.attempts...)
	}
	return l, nil
}

// numberField returns a numeric field. ok is false if it is absent: requests that
// ended early have no such field.
func numberField(e event.Event, name string) (n int64, ok bool) {
	f, err := strconv.ParseFloat(e.Detail[name], 64)
	return int64(f), err == nil
}

// Failed returns the ids of the requests that failed at an instance, each once, in
// order of time.
func (l *Logs) Failed() []string {
	var out []string
	seen := map[string]bool{}
	for _, end := range l.ends {
		if !seen[end.Request] && end.failed() {
			seen[end.Request] = true
			out = append(out, end.Request)
		}
	}
	return out
}

// failed reports whether the caller got no successful answer and had not disconnected.
func (end requestEnd) failed() bool {
	if end.outcome == "left" {
		return false
	}
	return end.outcome != "answered" || len(end.attempts) > 0 && end.attempts[len(end.attempts)-1].failed()
}

// Explain explains each failed end of a request. The list is empty if the logs contain
// none: the caller reached no instance, the log line was dropped (log.dropped counts
// these), or the instance stopped before writing the line.
func (l *Logs) Explain(request string) []Explanation {
	var out []Explanation
	for _, end := range l.ends {
		if end.Request != request || !end.failed() {
			continue
		}
		f := l.findings(end)
		if len(f) == 0 {
			f = []Finding{{Code: Unexplained, Text: "the logs show no cause"}}
		}
		out = append(out, Explanation{End: end.Event, Findings: f})
	}
	return out
}

// findEvents returns the last maxEvidence events of the given kinds that pass f and
// happened between from and until.
func (l *Logs) findEvents(from, until time.Time, f func(e event.Event) bool, kinds ...string) []event.Event {
	var out []event.Event
	for _, e := range l.events {
		if e.Time.Before(from) || e.Time.After(until) || !slices.Contains(kinds, e.Kind) || !f(e) {
			continue
		}
		out = append(out, e)
	}
	return out[max(len(out)-maxEvidence, 0):]
}
