package proxy

import (
	"cranberrypath.example/cranberrypath/internal/coord"
	"cranberrypath.example/cranberrypath/internal/roster"
)

// The groups of servers in the route table. A service without a rollout has only accepted
// servers. Servers of a version that was rolled back are in no group.
const (
	// acceptedGroup has the servers that get all requests which are not for the target of a
	// running rollout. If that target was in force when it was ordered, it has its servers as well.
	acceptedGroup = "accepted"
	// supersededGroup has the servers of versions whose rollout another one replaced while it
	// was running: nobody knows whether they are good. They serve if there is no accepted one.
	supersededGroup = "superseded"
	// targetGroup is the prefix of the group of a running rollout's target.
	targetGroup = "is:"
)

// groupOf returns the group of a server, "" if it gets no requests. r is the last rollout of its
// service, or nil.
func groupOf(s roster.Server, r *coord.Rollout) string {
	switch {
	case r == nil:
		return acceptedGroup
	case r.WasRolledBack(s.Version):
		return ""
	case r.WasSuperseded(s.Version):
		return supersededGroup
	case r.Judges() && s.Version == r.Target:
		return targetGroup + r.Target
	}
	return acceptedGroup
}

// versionGroup picks the group for a new request at random. A running rollout sends its share
// of requests to the target version.
func (p *Proxy) versionGroup(service string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r, ok := p.rollouts[service]; ok && r.Judges() && p.rng.Float64() < r.Share {
		return targetGroup + r.Target
	}
	return acceptedGroup
}
