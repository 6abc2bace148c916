package cause

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"cranberrypath.example/cranberrypath/internal/event"
)

// findings applies the rules for the reason of a request's end.
func (l *Logs) findings(end requestEnd) []Finding {
	switch end.reason {
	case "noRoute", "noKey":
		return l.notInConfig(end)
	case "noConfig", "staleConfig":
		return append(l.instanceStarting(end), l.leaderUnreachable(end)...)
	case "overQuota":
		return l.rateExceeded(end)
	case "noServer":
		f := slices.Concat(l.instanceStarting(end), l.evacuated(end), l.noServers(end))
		if regions := end.Detail["regions"]; len(f) == 0 && regions != "" {
			f = []Finding{{NoneInRegions, fmt.Sprintf("the request may run in the regions %s only, and none of the servers there could take it", regions), nil}}
		}
		return f
	case "crashesServers":
		return l.blamed(end)
	case "heldOff":
		return l.serversHeldOff(end)
	case "stopping":
		return l.instanceStopping(end)
	}
	f := l.instanceCutOff(end)
	for i := len(end.attempts) - 1; i >= 0; i-- {
		if end.attempts[i].failed() {
			f = append(f, l.failedAttempt(end, end.attempts[i])...)
		}
	}
	if len(end.attempts) == 0 || end.reason == "noTime" {
		f = append(f, l.notSent(end)...)
	}
	return f
}

func (l *Logs) notInConfig(end requestEnd) []Finding {
	newest := end.config
	var newer event.Event
	for _, e := range l.findEvents(time.Time{}, end.Time, func(e event.Event) bool {
		v, ok := numberField(e, "config")
		return ok && v > end.config
	}, "config.applied") {
		if v, _ := numberField(e, "config"); v > newest {
			newest, newer = v, e
		}
	}
	if newest > end.config {
		return []Finding{{ConfigBehind, fmt.Sprintf("the instance used version %d; %s had version %d", end.config, newer.Node, newest), []event.Event{newer}}}
	}
	applied := l.findEvents(time.Time{}, end.Time, func(e event.Event) bool {
		v, ok := numberField(e, "config")
		return ok && v == end.config && e.Node == end.Node
	}, "config.applied")
	missing := "route"
	if end.reason == "noKey" {
		missing = "key"
	}
	return []Finding{{NotInConfig, fmt.Sprintf("version %d, the newest applied, has no such %s", end.config, missing), applied}}
}

// instanceStarting checks whether the instance had just started.
func (l *Logs) instanceStarting(end requestEnd) []Finding {
	e := l.findEvents(end.Time.Add(-startupWithin), end.Time, func(e event.Event) bool { return e.Node == end.Node }, "process.started")
	if len(e) == 0 {
		return nil
	}
	return []Finding{{InstanceStarting, fmt.Sprintf("the instance had started %v earlier", end.Time.Sub(e[len(e)-1].Time).Round(time.Millisecond)), e}}
}

// instanceStopping checks whether the instance was in a planned stop.
func (l *Logs) instanceStopping(end requestEnd) []Finding {
	e := l.findEvents(end.Time.Add(-stopWithin), end.Time, func(e event.Event) bool { return e.Node == end.Node }, "process.stopping")
	if len(e) == 0 {
		return nil
	}
	return []Finding{{InstanceStopping, fmt.Sprintf("a planned stop of the instance had begun %v earlier, and the request might not have completed in it", end.Time.Sub(e[len(e)-1].Time).Round(time.Millisecond)), e}}
}

// leaderUnreachable checks whether the instance had lost the leader and not found one since.
func (l *Logs) leaderUnreachable(end requestEnd) []Finding {
	e := l.findEvents(end.Time.Add(-leaderEventWithin), end.Time, func(e event.Event) bool { return e.Node == end.Node }, "leader.lost", "leader.found", "quota.alone")
	if len(e) == 0 || e[len(e)-1].Kind == "leader.found" {
		return nil
	}
	return []Finding{{LeaderAway, "the instance could not reach the leader", e}}
}

func (l *Logs) rateExceeded(end requestEnd) []Finding {
	var out []Finding
	level, known := numberField(end.Event, "level")
	cost, _ := numberField(end.Event, "cost")
	if known && level < cost {
		org := end.Detail["organisation"]
		var admitted int64
		var ended int
		for _, o := range l.ends {
			if o.Detail["organisation"] != org || o.Time.Before(end.Time.Add(-concurrentWithin)) || o.Time.After(end.Time) {
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
	return append(out, l.leaderUnreachable(end)...)
}

// blamed finds the crashes for which the instance refused a request, by any instance.
func (l *Logs) blamed(end requestEnd) []Finding {
	key := end.Detail["key"]
	e := l.findEvents(time.Time{}, end.Time, func(e event.Event) bool {
		return e.Kind == "key.blamed" && e.Node == end.Node && e.Detail["key"] == key ||
			(e.Kind == "server.crashed" || e.Kind == "server.broke" && e.Detail["crashed"] == "true") && strings.Contains(e.Detail["keys"], `"`+key+`"`)
	}, "key.blamed", "server.broke", "server.crashed")
	if key == "" || len(e) == 0 {
		return nil
	}
	return []Finding{{Blamed, fmt.Sprintf("servers crashed under requests with key %s", key), e[max(len(e)-maxEvidence, 0):]}}
}

func (l *Logs) noServers(end requestEnd) []Finding {
	service := end.Detail["service"]
	ready := map[string]bool{}
	var changes []event.Event
	for _, e := range l.events {
		if e.Time.After(end.Time) {
			break
		}
		if e.Node != end.Node || e.Detail["service"] != service {
			continue
		}
		switch e.Kind {
		case "server.announced":
			ready[e.Detail["server"]] = e.Detail["state"] == "ready"
		case "server.left", "server.leaving", "server.silent", "server.quiet":
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

// evacuated returns the last order by which the instance sent nothing to some data centres, if
// a server of the service is there by the logs of any instance.
func (l *Logs) evacuated(end requestEnd) []Finding {
	var last event.Event
	places := map[string]string{} // data centres of the service's servers
	for _, e := range l.events {
		switch {
		case e.Time.After(end.Time):
		case e.Kind == "evacuation.applied" && e.Node == end.Node:
			last = e
		case e.Kind == "server.announced" && e.Detail["service"] == end.Detail["service"]:
			places[e.Detail["server"]] = e.Detail["dataCentre"]
		case e.Kind == "server.left":
			delete(places, e.Detail["server"])
		}
	}
	var evacuated []string
	if err := json.Unmarshal([]byte(last.Detail["dataCentres"]), &evacuated); err != nil || len(evacuated) == 0 {
		return nil
	}
	for _, place := range places {
		// Earlier program versions do not log the data centre.
		if place == "" || slices.Contains(evacuated, place) {
			return []Finding{{Evacuated, fmt.Sprintf("operators had evacuated the data centres %s", last.Detail["dataCentres"]), []event.Event{last}}}
		}
	}
	return nil
}

// serversHeldOff lists the servers that wanted no requests, or no more, from the instance when
// it refused the request.
func (l *Logs) serversHeldOff(end requestEnd) []Finding {
	var lines []event.Event
	limits := map[string]event.Event{} // the last change of each server's limit, logged by any instance
	cold := map[string]event.Event{}   // the last line of any instance that says for how long a server is cold
	for _, e := range l.events {
		if e.Detail["service"] == end.Detail["service"] && !e.Time.After(end.Time) {
			switch {
			case e.Kind == "server.cold" || e.Kind == "server.announced" && e.Detail["cold"] == "true":
				if d, _ := numberField(e, "forMs"); end.Time.Sub(e.Time).Milliseconds() <= d {
					cold[e.Detail["server"]] = e
				}
			case e.Kind == "server.announced" && e.Detail["cold"] == "false", e.Kind == "server.left":
				delete(cold, e.Detail["server"])
			}
		}
		if e.Kind == "server.limit" && e.Detail["service"] == end.Detail["service"] && !e.Time.After(end.Time) {
			limits[e.Detail["server"]] = e
		}
		d, _ := numberField(e, "forMs")
		if e.Kind == "server.heldOff" && e.Node == end.Node && e.Detail["service"] == end.Detail["service"] &&
			!e.Time.After(end.Time) && end.Time.Sub(e.Time).Milliseconds() <= d {
			lines = append(lines, e)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(limits)) {
		if limits[id].Detail["limited"] == "true" {
			lines = append(lines, limits[id])
		}
	}
	for _, id := range slices.Sorted(maps.Keys(cold)) {
		lines = append(lines, cold[id])
	}
	if len(lines) == 0 {
		return nil
	}
	return []Finding{{ServersHeldOff, fmt.Sprintf("%d servers of service %s wanted no requests, or no more, from the instance, and it knew no other", len(lines), end.Detail["service"]), lines[max(len(lines)-maxEvidence, 0):]}}
}

// instanceCutOff checks whether attempts of the instance failed at several servers while
// those of other instances succeeded, as in a network partition.
func (l *Logs) instanceCutOff(end requestEnd) []Finding {
	const minServers = 3
	var ownTotal, othersTotal, ownFailed, othersFailed int
	servers := map[string]bool{}
	for _, a := range l.attempts {
		switch {
		case a.endedAt.Before(end.Time.Add(-concurrentWithin)) || a.endedAt.After(end.Time.Add(concurrentWithin)):
		case a.node != end.Node:
			othersTotal++
			if a.failed() {
				othersFailed++
			}
		default:
			ownTotal++
			if a.failed() {
				ownFailed++
				servers[a.server] = true
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
func (l *Logs) failedAttempt(end requestEnd, a attempt) []Finding {
	var out []Finding
	changes := l.findEvents(a.endedAt.Add(-serverEventWithin), a.endedAt.Add(serverEventWithin), func(e event.Event) bool { return e.Detail["server"] == a.server }, "server.left", "server.silent", "server.quiet")
	if len(changes) > 0 {
		out = append(out, Finding{ServerGone, fmt.Sprintf("server %s deregistered, stopped announcing itself or was ejected within %v of the attempt", a.server, serverEventWithin), changes})
	}
	out = append(out, l.otherFailuresAtServer(end, a)...)
	out = append(out, l.overloaded(a)...)
	return append(out, attemptResult(a)...)
}

// otherFailuresAtServer checks whether other requests failed at the server too.
func (l *Logs) otherFailuresAtServer(end requestEnd, a attempt) []Finding {
	var n, failed int
	nodes := map[string]bool{}
	var lines []event.Event
	for _, o := range l.attempts {
		if o.server != a.server || o.request == end.Request || o.endedAt.Before(a.endedAt.Add(-concurrentWithin)) || o.endedAt.After(a.endedAt.Add(concurrentWithin)) {
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
		failed, n, a.server, concurrentWithin, len(nodes)), lines[:min(len(lines), maxEvidence)]}}
}

// overloaded checks whether most attempts at the servers of the service were late.
func (l *Logs) overloaded(a attempt) []Finding {
	if !a.late() {
		return nil
	}
	var n, late int
	servers := map[string]bool{}
	for _, o := range l.attempts {
		if o.service != a.service || o.request == a.request || o.endedAt.Before(a.endedAt.Add(-concurrentWithin)) || o.endedAt.After(a.endedAt.Add(concurrentWithin)) {
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
		late, n, len(servers), a.service, lateFactor), nil}}
}

// attemptResult derives a cause from the result of the attempt alone.
func attemptResult(a attempt) []Finding {
	finding := func(c Code, format string, args ...any) []Finding {
		return []Finding{{c, fmt.Sprintf(format, args...), nil}}
	}
	connectionLost := slices.ContainsFunc([]string{"reset", "EOF", "refused", "broken pipe", "no route", "closed", "i/o timeout"}, func(part string) bool {
		return strings.Contains(a.err, part)
	})
	switch {
	case a.status == 503 || a.status == 429:
		return finding(ServerRefused, "server %s refused the request with status %d", a.server, a.status)
	case a.status >= 500 && a.err == "":
		return finding(ServerError, "server %s answered with status %d", a.server, a.status)
	case connectionLost:
		return finding(ConnectionLost, "the connection to server %s failed after %d ms: %s", a.server, a.tookMs, a.err)
	case a.firstMs == 0 && a.tookMs < a.expectedMs:
		return finding(TooLittleTime, "the request had %d ms left at server %s, which was expected to need %d ms", a.tookMs, a.server, a.expectedMs)
	case a.firstMs == 0:
		return finding(NoAnswer, "server %s sent no byte within %d ms; %d ms were expected", a.server, a.tookMs, a.expectedMs)
	}
	return finding(NoAnswer, "server %s sent its first byte after %d ms and did not finish within %d ms: %s", a.server, a.firstMs, a.tookMs, a.err)
}

// notSent explains a request whose last wait for a server ended without an attempt.
func (l *Logs) notSent(end requestEnd) []Finding {
	out := append(l.instanceStarting(end), l.leaderUnreachable(end)...)
	took, _ := numberField(end.Event, "tookMs")
	var n, late int
	for _, a := range l.attempts {
		if a.service == end.Detail["service"] && !a.endedAt.Before(end.Time.Add(-concurrentWithin)) && !a.endedAt.After(end.Time.Add(concurrentWithin)) {
			n++
			if a.late() || a.failed() {
				late++
			}
		}
	}
	if n > 0 && 2*late >= n {
		out = append(out, Finding{Overloaded, fmt.Sprintf("the request waited %d ms for a server; meanwhile %d of %d attempts at service %s were late or failed", took, late, n, end.Detail["service"]), nil})
	}
	if end.reason == "noTime" && took == 0 {
		out = append(out, Finding{TooLittleTime, "the request's deadline had passed on arrival, or was too short for any server", nil})
	}
	return append(out, l.noServers(end)...)
}
