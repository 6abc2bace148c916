package edge

import (
	"maps"
	"slices"

	"cranberrypath.example/cranberrypath/internal/roster"
	"cranberrypath.example/cranberrypath/internal/world"
)

// maxReportServers bounds the servers in one report. When a leader needs all of them, many
// instances report them at the same time.
const maxReportServers = 128

// outbox holds the servers that the leader does not know yet. Edge.mu guards it.
type outbox struct {
	fresh    map[string]roster.Server // announcements to this instance, by server ID
	inFlight map[string]roster.Server // in the report that has not been answered
	backlog  map[string]roster.Server // the rest of all known servers, for a leader without them
}

func newOutbox() outbox {
	return outbox{fresh: map[string]roster.Server{}, inFlight: map[string]roster.Server{}, backlog: map[string]roster.Server{}}
}

// add adds an announcement.
func (o *outbox) add(s roster.Server) {
	if known, ok := o.fresh[s.ID]; ok {
		s = s.MergedWith(known)
	}
	o.fresh[s.ID] = s
}

// addAll adds all known servers, to be reported after the announcements.
func (o *outbox) addAll(servers []roster.Server) {
	for _, s := range servers {
		o.backlog[s.ID] = s
	}
}

// learned drops servers that the leader has reported itself.
func (o *outbox) learned(servers []roster.Server) {
	for _, s := range servers {
		if mine, ok := o.backlog[s.ID]; ok && s.MergedWith(mine) == s {
			delete(o.backlog, s.ID)
		}
	}
}

// take returns the servers for the next report: all announcements of servers that accept no
// new requests, since requests to them fail, and up to maxReportServers others.
func (o *outbox) take() []roster.Server {
	o.inFlight = map[string]roster.Server{}
	for id, s := range o.fresh {
		if s.State != world.Ready || len(o.inFlight) < maxReportServers {
			o.inFlight[id] = s
			delete(o.fresh, id)
		}
	}
	for id, s := range o.backlog {
		if len(o.inFlight) >= maxReportServers {
			break
		}
		if _, ok := o.inFlight[id]; !ok {
			o.inFlight[id] = s
		}
		delete(o.backlog, id)
	}
	return slices.Collect(maps.Values(o.inFlight))
}

// failed puts the servers of an unanswered report back.
func (o *outbox) failed() {
	for _, s := range o.inFlight {
		o.add(s)
	}
	o.inFlight = map[string]roster.Server{}
}

// answered forgets the servers of the answered report, which the leader has now.
func (o *outbox) answered() { o.inFlight = map[string]roster.Server{} }
