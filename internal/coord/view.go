package coord

import (
	"time"

	"cranberrypath.example/cranberrypath/internal/admit"
	"cranberrypath.example/cranberrypath/internal/coord/coordpb"
	"cranberrypath.example/cranberrypath/internal/roster"
	"cranberrypath.example/cranberrypath/internal/world"
)

// Load is the outstanding work at one backend server.
type Load struct {
	Server        string
	Running       int
	Waiting       int // requests counted in Running whose response has not started
	WaitingTokens int // uncached prompt tokens of the waiting requests
	Pace          Pace
}

// Window holds the number of requests started in one usage window, by organisation.
type Window struct {
	Number int64
	Counts map[string]float64
}

// total returns the sum of the counts. It only grows, so an equal sum means equal counts.
func (w Window) total() float64 {
	sum := 0.0
	for _, count := range w.Counts {
		sum += count
	}
	return sum
}

func (w Window) proto() *coordpb.Window {
	return &coordpb.Window{Number: w.Number, Counts: countsToProto(w.Counts)}
}

// Part is one part of a prompt that other prompts may share.
type Part struct {
	Hash   uint64 // of the part and all parts before it
	Tokens int
}

// CachedPrefix states that a backend server has the parts of a prompt in its cache.
type CachedPrefix struct {
	Server string
	Parts  []Part
}

// Report is the report of an instance to the leader.
type Report struct {
	Ready          bool
	ConfigVersion  uint64
	Servers        []roster.Server
	Spent          map[string]float64 // units admitted since the last report, by organisation
	Loads          []Load
	Windows        []Window       // total counts of recent windows
	Prefixes       []CachedPrefix // since the last report
	Demands        admit.Demands  // since the last report
	VersionResults []byte         // results of versions in a rollout, as encoded by package judge
}

// View is the leader's reply to a report. Nil fields have not changed.
type View struct {
	Leader         string
	Term           uint64
	Version        uint64 // of Config
	Config         []byte
	Servers        []roster.Server // changed servers
	Instances      []Instance      // all instances that report
	Levels         map[string]float64
	Loads          []Load // of all instances together
	Rollouts       []Rollout
	Evacuations    Evacuations // as last known; the zero value before a leader has said any
	Prefixes       []CachedPrefix
	ReadyInstances int           // number of instances that accept requests
	Relays         int           // number of instances that may serve as relays; 0 if the deployment uses none
	Parts          int           // number of instances whose parts of the rates this instance holds as a relay
	ReportSentAt   time.Time     // when the answered report was sent
	Shares         *admit.Shares // of services under load; nil if the leader does not know them
	// ConfirmedAt is a time at or after which the configuration was the newest; zero if the
	// leader could not be sure. Unlike ReportSentAt it counts suspensions of the machine.
	ConfirmedAt time.Time
}

// Local is implemented by the instance that a Coord belongs to. The methods are called
// by one goroutine.
type Local interface {
	// Report returns the next report. With full it contains all known backend servers,
	// for a newly elected leader.
	Report(full bool, now time.Time) Report
	// Apply applies the leader's reply to the last report.
	Apply(v View, now time.Time)
	// ReportFailed signals that the last report was not answered.
	ReportFailed(now time.Time)
}

// seenVersions holds the term and the change numbers of the last reply, so that the next
// one contains only changes. Without a feed the next report is a full one.
type seenVersions struct {
	feed      uint64
	term      uint64
	servers   uint64
	instances uint64
	rollouts  uint64
	prefixes  uint64
	crashes   uint64
}

func (n Instance) proto() *coordpb.Node {
	return &coordpb.Node{
		Id: n.ID, Name: n.Name, DataCentre: n.DataCentre, Region: n.Region, Callers: n.CallerAddress, Control: n.ControlAddress,
		Ready: n.Ready, Durable: n.Durable, StartedMs: n.Started.UnixMilli(), Capacity: n.Capacity,
	}
}

func instanceFromProto(p *coordpb.Node) Instance {
	return Instance{
		ID: p.Id, Name: p.Name, DataCentre: p.DataCentre, Region: p.Region, CallerAddress: p.Callers, ControlAddress: p.Control,
		Ready: p.Ready, Durable: p.Durable, Started: time.UnixMilli(p.StartedMs), Capacity: p.Capacity,
	}
}

// noLeaveTime is the wire value of a server without a LeaveBy time. Times are sent as
// durations because clocks differ.
const noLeaveTime = -1

func serverToProto(s roster.Server, now time.Time) *coordpb.Server {
	leave := int64(noLeaveTime)
	if !s.LeaveBy.IsZero() {
		leave = max(s.LeaveBy.Sub(now).Milliseconds(), 0)
	}
	cold := s.ColdFor
	if !s.ColdUntil.IsZero() {
		cold = max(s.ColdUntil.Sub(now), 0)
	}
	out := &coordpb.Server{
		Id: s.ID, Born: s.Incarnation, Seq: s.Seq, Service: s.Service, Address: s.Address, DataCentre: s.DataCentre,
		Version: s.Version, Slots: uint32(s.Slots), State: uint32(s.State), Silent: s.Expired, Reclaimable: s.Reclaimable,
		LeaveInMs: leave, ColdMs: cold.Milliseconds(),
	}
	if s.Limit != (roster.Limit{}) {
		out.Limit = &coordpb.Limit{Named: s.Limit.Named, Rate: s.Limit.Rate, Version: s.Limit.Version}
	}
	return out
}

func serverFromProto(p *coordpb.Server, now time.Time) roster.Server {
	s := roster.Server{
		ID: p.Id, Incarnation: p.Born, Seq: p.Seq, Service: p.Service, Address: p.Address, DataCentre: p.DataCentre,
		Version: p.Version, Slots: int(p.Slots), State: world.State(p.State), Expired: p.Silent, Reclaimable: p.Reclaimable,
		ColdFor: time.Duration(p.ColdMs) * time.Millisecond,
		Limit:   roster.Limit{Named: p.Limit.GetNamed(), Rate: p.Limit.GetRate(), Version: p.Limit.GetVersion()},
	}
	if p.ColdMs > 0 {
		s.ColdUntil = now.Add(s.ColdFor)
	}
	if p.LeaveInMs != noLeaveTime {
		s.LeaveBy = now.Add(time.Duration(p.LeaveInMs) * time.Millisecond)
	}
	return s
}

func loadsToProto(loads []Load, now time.Time) []*coordpb.Load {
	out := make([]*coordpb.Load, len(loads))
	for i, l := range loads {
		out[i] = &coordpb.Load{Id: l.Server, Running: uint32(l.Running), Waiting: uint32(l.Waiting), Tokens: uint32(max(l.WaitingTokens, 0))}
		out[i].Pace, out[i].PaceAgeMs = l.Pace.proto(now)
	}
	return out
}

func loadsFromProto(loads []*coordpb.Load, now time.Time) []Load {
	out := make([]Load, len(loads))
	for i, l := range loads {
		out[i] = Load{Server: l.Id, Running: int(l.Running), Waiting: int(l.Waiting), WaitingTokens: int(l.Tokens), Pace: paceFromProto(l.Pace, l.PaceAgeMs, now)}
	}
	return out
}

func prefixesToProto(all []CachedPrefix) []*coordpb.Held {
	out := make([]*coordpb.Held, len(all))
	for i, h := range all {
		out[i] = &coordpb.Held{Server: h.Server}
		for _, p := range h.Parts {
			out[i].Parts = append(out[i].Parts, p.Hash)
			out[i].Tokens = append(out[i].Tokens, uint32(p.Tokens))
		}
	}
	return out
}

func prefixesFromProto(all []*coordpb.Held) []CachedPrefix {
	out := make([]CachedPrefix, 0, len(all))
	for _, p := range all {
		if len(p.Parts) != len(p.Tokens) {
			continue // malformed message
		}
		h := CachedPrefix{Server: p.Server}
		for i := range p.Parts {
			h.Parts = append(h.Parts, Part{p.Parts[i], int(p.Tokens[i])})
		}
		out = append(out, h)
	}
	return out
}
