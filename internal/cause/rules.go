package cause

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"cranberrypath.example/cranberrypath/internal/event"
)

// findings applies the rules for the reason of a request's end.
func (l *Logs) findings(x requestEnd) []Finding {
	switch x.reason {
	case "noRoute", "noKey":
		return l.notInConfig(x)
	case "noConfig":
		return append(l.instanceStarting(x), l.leaderUnreachable(x)...)
	case "overQuota":
		return l.rateExceeded(x)
	case "noServer":
		return append(l.instanceStarting(x), l.noServers(x)...)
	}
	f := l.instanceCutOff(x)
	for i := len(x.attempts) - 1; i >= 0; i-- {
		if x.attempts[i].failed() {
			f = append(f, l.failedAttempt(x, x.attempts[i])...)
		}
	}
	if len(x.attempts) == 0 || x.reason == "noTime" {
		f = append(f, l.notSent(x)...)
	}
	return f
}

func (l *Logs) notInConfig(x requestEnd) []Finding {
	newest := x.config
	var newer event.Event
	for _, e := range l.findEvents(time.Time{}, x.Time, func(e event.Event) bool {
		v, ok := numberField(e, "config")
		return ok && v > x.config
	}, "config.applied") {
		if v, _ := numberField(e, "config"); v > newest {
			newest, newer = v, e
		}
	}
	if newest > x.config {
		return []Finding{{ConfigBehind, fmt.Sprintf("the instance used version %d; %s had version %d", x.config, newer.Node, newest), []event.Event{newer}}}
	}
	applied := l.findEvents(time.Time{}, x.Time, func(e event.Event) bool {
		v, ok := numberField(e, "config")
		return ok && v == x.config && e.Node == x.Node
	}, "config.applied")
	missing := "route"
	if x.reason == "noKey" {
		missing = "key"
	}
	return []Finding{{NotInConfig, fmt.Sprintf("version %d, the newest applied, has no such %s", x.config, missing), applied}}
}

// instanceStarting checks whether the instance had just started.
func (l *Logs) instanceStarting(x requestEnd) []Finding {
	e := l.findEvents(x.Time.Add(-startupWithin), x.Time, func(e event.Event) bool { return e.Node == x.Node }, "process.started")
	if len(e) == 0 {
		return nil
	}
	return []Finding{{InstanceStarting, fmt.Sprintf("the instance had started %v earlier", x.Time.Sub(e[len(e)-1].Time).Round(time.Millisecond)), e}}
}

// leaderUnreachable checks whether the instance had lost the leader and not found one since.
func (l *Logs) leaderUnreachable(x requestEnd) []Finding {
	e := l.findEvents(x.Time.Add(-leaderEventWithin), x.Time, func(e event.Event) bool { return e.Node == x.Node }, "leader.lost", "leader.found", "quota.alone")
	if len(e) == 0 || e[len(e)-1].Kind == "leader.found" {
		return nil
	}
	return []Finding{{LeaderAway, "the instance could not reach the leader", e}}
}

func (l *Logs) rateExceeded(x requestEnd) []Finding {
	var out []Finding
	level, known := numberField(x.Event, "level")
	cost, _ := numberField(x.Event, "cost")
	if known && level < cost {
		org := x.Detail["organisation"]
		var admitted int64
		var ended int
		for _, o := range l.ends {
			if o.Detail["organisation"] != org || o.Time.Before(x.Time.Add(-concurrentWithin)) || o.Time.After(x.Time) {
				continue
			}
			ended++
			if o.reason != "overQuota" {
				n, _ := numberField(o.Event, "cost")
				admitted += n
			}
		}
		out = append(out, Finding{OverRate, fmt.Sprintf("organisation %s had %d units left and the request costs %d; in the preceding second %d of its requests ended and %d units were admitted",
			org, level, cost, ended, admitted), nil})
	}
	return append(out, l.leaderUnreachable(x)...)
}

func (l *Logs) noServers(x requestEnd) []Finding {
	service := x.Detail["service"]
	ready := map[string]bool{}
	var changes []event.Event
	for _, e := range l.events {
		if e.Time.After(x.Time) {
			break
		}
		if e.Node != x.Node || e.Detail["service"] != service {
			continue
		}
		switch e.Kind {
		case "server.announced":
			ready[e.Detail["server"]] = e.Detail["state"] == "ready"
		case "server.left", "server.silent", "server.quiet":
			delete(ready, e.Detail["server"])
		default:
			continue
		}
		changes = append(changes, e)
	}
	n := 0
	for _, ok := range ready {
		if ok {
			n++
		}
	}
	if n > 0 {
		return nil
	}
	return []Finding{{NoServers, fmt.Sprintf("the instance knew no ready server of service %s", service), changes[max(len(changes)-maxEvidence, 0):]}}
}

// instanceCutOff checks whether attempts of the instance failed at several servers while
// those of other instances succeeded, as in a network partition.
func (l *Logs) instanceCutOff(x requestEnd) []Finding {
	const minServers = 3
	var ownTotal, othersTotal, ownFailed, othersFailed int
	servers := map[string]bool{}
	for _, s := range l.attempts {
		switch {
		case s.endedAt.Before(x.Time.Add(-concurrentWithin)) || s.endedAt.After(x.Time.Add(concurrentWithin)):
		case s.node != x.Node:
			othersTotal++
			if s.failed() {
				othersFailed++
			}
		default:
			ownTotal++
			if s.failed() {
				ownFailed++
				servers[s.server] = true
			}
		}
	}
	if len(servers) < minServers || 2*ownFailed < ownTotal || 4*othersFailed > othersTotal {
		return nil
	}
	return []Finding{{InstanceCutOff, fmt.Sprintf("%d of %d attempts of this instance failed within %v, at %d servers; %d of %d attempts of other instances failed",
		ownFailed, ownTotal, concurrentWithin, len(servers), othersFailed, othersTotal), nil}}
}

// failedAttempt explains one failed attempt at a server.
func (l *Logs) failedAttempt(x requestEnd, s attempt) []Finding {
	var out []Finding
	changes := l.findEvents(s.endedAt.Add(-serverEventWithin), s.endedAt.Add(serverEventWithin), func(e event.Event) bool { return e.Detail["server"] == s.server }, "server.left", "server.silent", "server.quiet")
	if len(changes) > 0 {
		out = append(out, Finding{ServerGone, fmt.Sprintf("server %s deregistered, stopped announcing itself or was ejected within %v of the attempt", s.server, serverEventWithin), changes})
	}
	out = append(out, l.otherFailuresAtServer(x, s)...)
	out = append(out, l.overloaded(s)...)
	return append(out, attemptResult(s)...)
}

// otherFailuresAtServer checks whether other requests failed at the server too.
func (l *Logs) otherFailuresAtServer(x requestEnd, s attempt) []Finding {
	var n, failed int
	nodes := map[string]bool{}
	var lines []event.Event
	for _, o := range l.attempts {
		if o.server != s.server || o.request == x.Request || o.endedAt.Before(s.endedAt.Add(-concurrentWithin)) || o.endedAt.After(s.endedAt.Add(concurrentWithin)) {
			continue
		}
		n++
		if o.failed() {
			failed++
			nodes[o.node] = true
			lines = append(lines, o.event)
		}
	}
	if failed == 0 {
		return nil
	}
	return []Finding{{ServerFailing, fmt.Sprintf("%d of %d other requests at server %s failed within %v, at %d instances",
		failed, n, s.server, concurrentWithin, len(nodes)), lines[:min(len(lines), maxEvidence)]}}
}

// overloaded checks whether most attempts at the servers of the service were late.
func (l *Logs) overloaded(s attempt) []Finding {
	if !s.late() {
		return nil
	}
	var n, late int
	servers := map[string]bool{}
	for _, o := range l.attempts {
		if o.service != s.service || o.request == s.request || o.endedAt.Before(s.endedAt.Add(-concurrentWithin)) || o.endedAt.After(s.endedAt.Add(concurrentWithin)) {
			continue
		}
		n++
		servers[o.server] = true
		if o.late() {
			late++
		}
	}
	if n == 0 || 2*late < n {
		return nil
	}
	return []Finding{{Overloaded, fmt.Sprintf("%d of %d other attempts at the %d servers of service %s took more than %d times as long as expected",
		late, n, len(servers), s.service, lateFactor), nil}}
}

// attemptResult derives a cause from the result of the attempt alone.
func attemptResult(s attempt) []Finding {
	finding := func(c Code, format string, args ...any) []Finding {
		return []Finding{{c, fmt.Sprintf(format, args...), nil}}
	}
	connectionLost := slices.ContainsFunc([]string{"reset", "EOF", "refused", "broken pipe", "no route", "closed", "i/o timeout"}, func(part string) bool {
		return strings.Contains(s.err, part)
	})
	switch {
	case s.status == 503 || s.status == 429:
		return finding(ServerRefused, "server %s refused the request with status %d", s.server, s.status)
	case s.status >= 500 && s.err == "":
		return finding(ServerError, "server %s answered with status %d", s.server, s.status)
	case connectionLost:
		return finding(ConnectionLost, "the connection to server %s failed after %d ms: %s", s.server, s.tookMs, s.err)
	case s.firstMs == 0 && s.tookMs < s.expectedMs:
		return finding(TooLittleTime, "the request had %d ms left at server %s, which was expected to need %d ms", s.tookMs, s.server, s.expectedMs)
	case s.firstMs == 0:
		return finding(NoAnswer, "server %s sent no byte within %d ms; %d ms were expected", s.server, s.tookMs, s.expectedMs)
	}
	return finding(NoAnswer, "server %s sent its first byte after %d ms and did not finish within %d ms: %s", s.server, s.firstMs, s.tookMs, s.err)
}

// notSent explains a request whose last wait for a server ended without an attempt.
func (l *Logs) notSent(x requestEnd) []Finding {
	out := append(l.instanceStarting(x), l.leaderUnreachable(x)...)
	took, _ := numberField(x.Event, "tookMs")
	var n, late int
	for _, s := range l.attempts {
		if s.service == x.Detail["service"] && !s.endedAt.Before(x.Time.Add(-concurrentWithin)) && !s.endedAt.After(x.Time.Add(concurrentWithin)) {
			n++
			if s.late() || s.failed() {
				late++
			}
		}
	}
	if n > 0 && 2*late >= n {
		out = append(out, Finding{Overloaded, fmt.Sprintf("the request waited %d ms for a server; meanwhile %d of %d attempts at service %s were late or failed", took, late, n, x.Detail["service"]), nil})
	}
	if x.reason == "noTime" && took == 0 {
		out = append(out, Finding{TooLittleTime, "the request's deadline had passed on arrival, or was too short for any server", nil})
	}
	return append(out, l.noServers(x)...)
}
