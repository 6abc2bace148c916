// Package world holds the things that the other packages talk about: backend
// servers, their load and caches, instances and version moves. It has no
// behaviour beyond copying, so that deciding packages need not import each other.
package world

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// BlockBytes is the length of a prompt block in the prefix map, in bytes of
// UTF-8 text. The contract with model engines fixes it.
const BlockBytes = 64

// Class of work.
type Class uint8

// The classes of work, most urgent first.
const (
	Lookup Class = iota // short question; a person waits
	Call                // call of a plain service
	Review              // long review; patient but expensive to redo
)

// String returns the name used in the contracts.
func (c Class) String() string {
	switch c {
	case Lookup:
		return "lookup"
	case Call:
		return "call"
	default:
		return "review"
	}
}

// State of a backend server as it announces it.
type State uint8

// The states of a backend server.
const (
	Starting State = iota // loads its model; takes no work
	Ready                 // takes work
	Leaving               // finishes its work and takes no new one
	Gone                  // no longer there
)

// String returns the name used in the contracts.
func (s State) String() string {
	switch s {
	case Starting:
		return "starting"
	case Ready:
		return "ready"
	case Leaving:
		return "leaving"
	default:
		return "gone"
	}
}

// Backend is one backend server. Values are immutable.
type Backend struct {
	ID           string
	Incarnation  uint64 // grows with each restart of the server
	Address      string // IP address and port of its HTTP listener
	Service      string
	Kind         string // decl.Model or decl.Plain
	Versions     []string
	Adapters     []string
	Role         string // "", "prefill" or "decode"
	DataCentre   string
	Zone         string
	MachineClass string
	Reclaimable  bool
	Price        float64 // currency units an hour
	Slots        int     // requests run at the same time within the target
	CacheBlocks  int     // capacity of the prefix cache, in blocks
	State        State
	// LeaveBy is when a reclaimed server is gone; zero without a notice.
	LeaveBy time.Time
}

// WithState returns a copy in another state.
func (b Backend) WithState(s State) Backend { b.State = s; return b }

// WithLeaveBy returns a copy that is reclaimed at t.
func (b Backend) WithLeaveBy(t time.Time) Backend { b.LeaveBy = t; return b }

// Runs reports whether the server has the version loaded.
func (b Backend) Runs(version string) bool { return slices.Contains(b.Versions, version) }

// Load is a backend server's report about itself. It lags behind.
type Load struct {
	Running         int
	Waiting         int
	WaitingTokens   int     // prompt tokens that waiting requests have to read; 0 if it is not known
	CacheUsed       float64 // 0 to 1
	TokensPerSecond float64 // generated, over the last second
	PrefillPerToken time.Duration
	At              time.Time // when it was measured, by the receiver's clock
}

// CacheEvents tells which prompt blocks an engine has added to or dropped from
// its cache. Sequence numbers are consecutive; a jump means lost events.
type CacheEvents struct {
	From    uint64   // sequence number of the first event; events are Added, then Removed
	Full    bool     // Added is the whole content; forget everything earlier
	Added   []uint64 // block hashes as Blocks computes them
	Removed []uint64
}

// Next returns the sequence number that follows the events.
func (e CacheEvents) Next() uint64 {
	if e.Full {
		return e.From + 1
	}
	return e.From + uint64(len(e.Added)+len(e.Removed))
}

// Blocks returns the hash of each whole block of a prompt. A hash covers the
// block and everything before it, so equal hashes mean equal prefixes.
func Blocks(prompt string) []uint64 {
	n := len(prompt) / BlockBytes
	out := make([]uint64, 0, n)
	var buf [8 + BlockBytes]byte
	var last uint64
	for i := range n {
		binary.LittleEndian.PutUint64(buf[:8], last)
		copy(buf[8:], prompt[i*BlockBytes:(i+1)*BlockBytes])
		last = xxhash.Sum64(buf[:])
		out = append(out, last)
	}
	return out
}

// Outcome of a version move.
type Outcome string

// The outcomes of a version move; empty while it runs.
const (
	Done      Outcome = "done"
	TakenBack Outcome = "takenBack"
)

// Move is one version move of a service. Values are immutable.
type Move struct {
	ID       string    `json:"id"`
	Service  string    `json:"service"`
	From     string    `json:"from"`
	To       string    `json:"to"`
	Started  time.Time `json:"started"`
	Deadline time.Time `json:"deadline"`
	Share    float64   `json:"share"`   // of the traffic, 0 to 1, that goes to To
	ShareAt  time.Time `json:"shareAt"` // when Share was set
	Outcome  Outcome   `json:"outcome,omitempty"`
	Reason   string    `json:"reason,omitempty"`
	Ended    time.Time `json:"ended"`
}

// WithShare returns a copy with another share, set at now.
func (m Move) WithShare(share float64, now time.Time) Move {
	m.Share, m.ShareAt = share, now
	return m
}

// WithOutcome returns a copy that has ended. A move that has ended already is unchanged.
func (m Move) WithOutcome(o Outcome, reason string, now time.Time) Move {
	if m.Outcome != "" {
		return m
	}
	m.Outcome, m.Reason, m.Ended = o, reason, now
	m.Share = 0
	if o == Done {
		m.Share = 1
	}
	return m
}

// Instance is one rented machine for a backend server as control records it.
type Instance struct {
	RequestID   string    `json:"requestId"`    // sent to the cloud; a repeated request buys once
	ID          string    `json:"id,omitempty"` // given by the cloud
	DataCentre  string    `json:"dataCentre"`
	Zone        string    `json:"zone,omitempty"`
	Class       string    `json:"machineClass"`
	Reclaimable bool      `json:"reclaimable"`
	Service     string    `json:"service"`
	Version     string    `json:"version"`
	Phase       string    `json:"phase"`   // requested, running, draining, cleaning, stopping, gone
	Since       time.Time `json:"since"`   // of the phase
	Cleaned     time.Time `json:"cleaned"` // end of the last cleaning, or start of the instance
	LeaveBy     time.Time `json:"leaveBy"` // reclaim deadline; zero without a notice
	// Incarnation of its server when it was ordered to clean; a higher one ends the cleaning.
	Incarnation uint64 `json:"incarnation,omitempty"`
}

// WithPhase returns a copy in another phase since now.
func (i Instance) WithPhase(phase string, now time.Time) Instance {
	i.Phase, i.Since = phase, now
	return i
}
