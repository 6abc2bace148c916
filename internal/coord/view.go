package coord

import (
	"time"

	"cranberrypath.example/cranberrypath/internal/coord/coordpb"
	"cranberrypath.example/cranberrypath/internal/roster"
	"cranberrypath.example/cranberrypath/internal/world"
)

// Load is the outstanding work at one backend server.
type Load struct {
	Server  string
	Running int
	Waiting int // of Running, those without a first byte
	Tokens  int // prompt tokens that the waiting ones have to read
}

// Window holds how many requests began to run in one window, by organisation.
type Window struct {
	Number int64
	Counts map[string]float64
}

func (w Window) proto() *coordpb.Window {
	return &coordpb.Window{Number: w.Number, Counts: countsOf(w.Counts)}
}

// Part is one part of a prompt that other prompts may share.
type Part struct {
	Hash   uint64 // of it and all parts before it
	Tokens int
}

// Held tells that a backend server has read the parts of a prompt.
type Held struct {
	Server string
	Parts  []Part
}

// Report is what an instance tells the leader.
type Report struct {
	Ready         bool
	ConfigVersion uint64
	Servers       []roster.Server
	Spent         map[string]float64 // of each organisation's rate since the last report
	Loads         []Load
	Windows       []Window // all counts of recent windows
	Held          []Held   // since the last report
	Judged        []byte   // results of versions on trial, as package judge encodes them
}

// View is what an instance learns from the leader. Nil fields have not changed.
type View struct {
	Leader   string
	Term     uint64
	Version  uint64 // of Config
	Config   []byte
	Servers  []roster.Server // those that changed
	Nodes    []Node          // all that take part
	Levels   map[string]float64
	Loads    []Load // of all instances together
	Rollouts []Rollout
	Held     []Held
	Fronts   int       // instances that take requests
	Asked    time.Time // when the report was sent that this answers
}

// Local is what coord needs of its instance. The methods are called by one
// goroutine.
type Local interface {
	// Report returns the report. With full it holds all that is known of backend
	// servers, for a leader that has just been elected.
	Report(full bool, now time.Time) Report
	// Learn takes the leader's answer to the last report.
	Learn(v View, now time.Time)
	// Lost tells that the last report was not answered.
	Lost(now time.Time)
}

// view is what the last answer said, by number, so that only changes are sent.
type view struct {
	epoch    uint64
	servers  uint64
	nodes    uint64
	rollouts uint64
	held     uint64
}

func (n Node) proto() *coordpb.Node {
	return &coordpb.Node{
		Id: n.ID, Name: n.Name, DataCentre: n.DataCentre, Region: n.Region, Callers: n.Callers, Control: n.Control,
		Ready: n.Ready, Durable: n.Durable, StartedMs: n.Started.UnixMilli(),
	}
}

func nodeOf(p *coordpb.Node) Node {
	return Node{
		ID: p.Id, Name: p.Name, DataCentre: p.DataCentre, Region: p.Region, Callers: p.Callers, Control: p.Control,
		Ready: p.Ready, Durable: p.Durable, Started: time.UnixMilli(p.StartedMs),
	}
}

// noLeave marks a server without a time to leave on the wire, where times are
// durations because clocks differ.
const noLeave = -1

func serverProto(s roster.Server, now time.Time) *coordpb.Server {
	leave := int64(noLeave)
	if !s.LeaveBy.IsZero() {
		leave = max(s.LeaveBy.Sub(now).Milliseconds(), 0)
	}
	return &coordpb.Server{
		Id: s.ID, Born: s.Born, Seq: s.Seq, Service: s.Service, Address: s.Address, DataCentre: s.DataCentre,
		Version: s.Version, Slots: uint32(s.Slots), State: uint32(s.State), Silent: s.Silent, Reclaimable: s.Reclaimable,
		LeaveInMs: leave, ColdMs: s.Cold.Milliseconds(),
	}
}

func serverOf(p *coordpb.Server, now time.Time) roster.Server {
	s := roster.Server{
		ID: p.Id, Born: p.Born, Seq: p.Seq, Service: p.Service, Address: p.Address, DataCentre: p.DataCentre,
		Version: p.Version, Slots: int(p.Slots), State: world.State(p.State), Silent: p.Silent, Reclaimable: p.Reclaimable,
		Cold: time.Duration(p.ColdMs) * time.Millisecond,
	}
	if p.LeaveInMs != noLeave {
		s.LeaveBy = now.Add(time.Duration(p.LeaveInMs) * time.Millisecond)
	}
	return s
}

func loadsProto(loads []Load) []*coordpb.Load {
	out := make([]*coordpb.Load, len(loads))
	for i, l := range loads {
		out[i] = &coordpb.Load{Id: l.Server, Running: uint32(l.Running), Waiting: uint32(l.Waiting), Tokens: uint32(max(l.Tokens, 0))}
	}
	return out
}

func loadsOf(loads []*coordpb.Load) []Load {
	out := make([]Load, len(loads))
	for i, l := range loads {
		out[i] = Load{Server: l.Id, Running: int(l.Running), Waiting: int(l.Waiting), Tokens: int(l.Tokens)}
	}
	return out
}

func heldProto(all []Held) []*coordpb.Held {
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

func heldOf(all []*coordpb.Held) []Held {
	out := make([]Held, 0, len(all))
	for _, p := range all {
		if len(p.Parts) != len(p.Tokens) {
			continue // not from this program
		}
		h := Held{Server: p.Server}
		for i := range p.Parts {
			h.Parts = append(h.Parts, Part{p.Parts[i], int(p.Tokens[i])})
		}
		out = append(out, h)
	}
	return out
}
