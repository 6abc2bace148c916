package cause

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"cranberrypath.example/cranberrypath/internal/event"
)

// explain chooses the rules by the reason of an end.
func (l *Logs) explain(x end) []Finding {
	switch x.reason {
	case "noRoute", "noKey":
		return l.notAllowed(x)
	case "noConfig":
		return append(l.starting(x), l.leaderAway(x)...)
	case "overQuota":
		return l.overRate(x)
	case "noServer":
		return append(l.starting(x), l.noServers(x)...)
	}
	f := l.cutOff(x)
	for i := len(x.sends) - 1; i >= 0; i-- {
		if x.sends[i].failed() {
			f = append(f, l.failedSend(x, x.sends[i])...)
		}
	}
	if len(x.sends) == 0 || x.reason == "noTime" {
		f = append(f, l.neverSent(x)...)
	}
	return f
}

func (l *Logs) notAllowed(x end) []Finding {
	newest := x.config
	var newer event.Event
	for _, e := range l.find(time.Time{}, x.Time, func(e event.Event) bool {
		v, ok := number(e, "config")
		return ok && v > x.config
	}, "config.applied") {
		if v, _ := number(e, "config"); v > newest {
			newest, newer = v, e
		}
	}
	if newest > x.config {
		return []Finding{{ConfigBehind, fmt.Sprintf("decided by version %d; %s had version %d", x.config, newer.Node, newest), []event.Event{newer}}}
	}
	applied := l.find(time.Time{}, x.Time, func(e event.Event) bool {
		v, ok := number(e, "config")
		return ok && v == x.config && e.Node == x.Node
	}, "config.applied")
	what := "route"
	if x.reason == "noKey" {
		what = "key"
	}
	return []Finding{{NotInConfig, fmt.Sprintf("version %d, the newest in force, has no such %s", x.config, what), applied}}
}

// starting tells whether the instance had just started.
func (l *Logs) starting(x end) []Finding {
	e := l.find(x.Time.Add(-startWithin), x.Time, func(e event.Event) bool { return e.Node == x.Node }, "process.started")
	if len(e) == 0 {
		return nil
	}
	return []Finding{{InstanceStarting, fmt.Sprintf("the instance had started %v before", x.Time.Sub(e[len(e)-1].Time).Round(time.Millisecond)), e}}
}

// leaderAway tells whether the instance had lost the leader and not found one again.
func (l *Logs) leaderAway(x end) []Finding {
	e := l.find(x.Time.Add(-leaderWithin), x.Time, func(e event.Event) bool { return e.Node == x.Node }, "leader.lost", "leader.found", "quota.alone")
	if len(e) == 0 || e[len(e)-1].Kind == "leader.found" {
		return nil
	}
	return []Finding{{LeaderAway, "the instance did not reach the leader", e}}
}

func (l *Logs) overRate(x end) []Finding {
	var out []Finding
	level, known := number(x.Event, "level")
	cost, _ := number(x.Event, "cost")
	if known && level < cost {
		org := x.Detail["organisation"]
		var admitted int64
		var tries int
		for _, o := range l.ends {
			if o.Detail["organisation"] != org || o.Time.Before(x.Time.Add(-around)) || o.Time.After(x.Time) {
				continue
			}
			tries++
			if o.reason != "overQuota" {
				n, _ := number(o.Event, "cost")
				admitted += n
			}
		}
		out = append(out, Finding{OverRate, fmt.Sprintf("organisation %s had %d units left, the request costs %d; %d of its requests ended in the second before, with %d units admitted",
			org, level, cost, tries, admitted), nil})
	}
	return append(out, l.leaderAway(x)...)
}

func (l *Logs) noServers(x end) []Finding {
	service := x.Detail["service"]
	ready := map[string]bool{}
	var last []event.Event
	for _, e := range l.all {
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
		last = append(last, e)
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
	return []Finding{{NoServers, fmt.Sprintf("the instance knew no ready server of service %s", service), last[max(len(last)-evidenceMost, 0):]}}
}

// cutOff tells whether sends of the instance failed at several servers while those of
// others did not.
func (l *Logs) cutOff(x end) []Finding {
	const leastServers = 3
	var own, others, ownBad, othersBad int
	servers := map[string]bool{}
	for _, s := range l.sends {
		switch {
		case s.at.Before(x.Time.Add(-around)) || s.at.After(x.Time.Add(around)):
		case s.node != x.Node:
			others++
			if s.failed() {
				othersBad++
			}
		default:
			own++
			if s.failed() {
				ownBad++
				servers[s.server] = true
			}
		}
	}
	if len(servers) < leastServers || 2*ownBad < own || 4*othersBad > others {
		return nil
	}
	return []Finding{{InstanceCutOff, fmt.Sprintf("%d of %d sends of this instance failed within %v, at %d servers; %d of %d of the others'",
		ownBad, own, around, len(servers), othersBad, others), nil}}
}

// failedSend explains one failed attempt at a server.
func (l *Logs) failedSend(x end, s send) []Finding {
	var out []Finding
	gone := l.find(s.at.Add(-seenWithin), s.at.Add(seenWithin), func(e event.Event) bool { return e.Detail["server"] == s.server }, "server.left", "server.silent", "server.quiet")
	if len(gone) > 0 {
		out = append(out, Finding{ServerGone, fmt.Sprintf("server %s left, fell silent or was avoided within %v of it", s.server, seenWithin), gone})
	}
	out = append(out, l.sameServer(x, s)...)
	out = append(out, l.overloaded(s)...)
	return append(out, itself(s)...)
}

// sameServer tells what became of other requests at the server.
func (l *Logs) sameServer(x end, s send) []Finding {
	var n, bad int
	nodes := map[string]bool{}
	var lines []event.Event
	for _, o := range l.sends {
		if o.server != s.server || o.request == x.Request || o.at.Before(s.at.Add(-around)) || o.at.After(s.at.Add(around)) {
			continue
		}
		n++
		if o.failed() {
			bad++
			nodes[o.node] = true
			lines = append(lines, o.line)
		}
	}
	if bad == 0 {
		return nil
	}
	return []Finding{{ServerFailing, fmt.Sprintf("%d of %d other requests at server %s failed within %v, at %d instances",
		bad, n, s.server, around, len(nodes)), lines[:min(len(lines), evidenceMost)]}}
}

// overloaded tells whether most servers of the service were late.
func (l *Logs) overloaded(s send) []Finding {
	if !s.late() {
		return nil
	}
	var n, late int
	servers := map[string]bool{}
	for _, o := range l.sends {
		if o.service != s.service || o.request == s.request || o.at.Before(s.at.Add(-around)) || o.at.After(s.at.Add(around)) {
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
	return []Finding{{Overloaded, fmt.Sprintf("%d of %d other sends to the %d servers of service %s took more than %d times as long as expected",
		late, n, len(servers), s.service, lateFactor), nil}}
}

// itself tells what the attempt's own result says.
func itself(s send) []Finding {
	one := func(c Code, format string, args ...any) []Finding {
		return []Finding{{c, fmt.Sprintf(format, args...), nil}}
	}
	ended := slices.ContainsFunc([]string{"reset", "EOF", "refused", "broken pipe", "no route", "closed", "i/o timeout"}, func(part string) bool {
		return strings.Contains(s.err, part)
	})
	switch {
	case s.status == 503 || s.status == 429:
		return one(ServerRefused, "server %s refused it with status %d", s.server, s.status)
	case s.status >= 500 && s.err == "":
		return one(ServerError, "server %s answered with status %d", s.server, s.status)
	case ended:
		return one(ConnectionLost, "the connection to server %s failed after %d ms: %s", s.server, s.took, s.err)
	case s.first == 0 && s.took < s.expected:
		return one(TooLittleTime, "it had %d ms left at server %s, which was expected to need %d ms", s.took, s.server, s.expected)
	case s.first == 0:
		return one(NoAnswer, "server %s gave no byte in %d ms; %d ms were expected", s.server, s.took, s.expected)
	}
	return one(NoAnswer, "server %s began after %d ms and did not end within %d ms: %s", s.server, s.first, s.took, s.err)
}

// neverSent explains a request that waited and was sent to no server at last.
func (l *Logs) neverSent(x end) []Finding {
	out := append(l.starting(x), l.leaderAway(x)...)
	took, _ := number(x.Event, "tookMs")
	var n, late int
	for _, s := range l.sends {
		if s.service == x.Detail["service"] && !s.at.Before(x.Time.Add(-around)) && !s.at.After(x.Time.Add(around)) {
			n++
			if s.late() || s.failed() {
				late++
			}
		}
	}
	if n > 0 && 2*late >= n {
		out = append(out, Finding{Overloaded, fmt.Sprintf("it waited %d ms for a server; %d of %d sends to service %s were late or failed then", took, late, n, x.Detail["service"]), nil})
	}
	if x.reason == "noTime" && took == 0 {
		out = append(out, Finding{TooLittleTime, "its time was over when it arrived, or too short for any server", nil})
	}
	return append(out, l.noServers(x)...)
}
