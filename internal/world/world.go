// Package world defines the data types shared by other packages: backend servers,
// their load and caches, instances and version moves. It contains no decision
// logic, so that packages that make decisions need not import each other.
package world

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// BlockBytes is the length in bytes of a prompt block, for which the prefix cache
// of an engine is tracked. The protocol with model engines fixes this length.
const BlockBytes = 64

// Class is the priority class of a request.
type Class uint8

// The priority classes, most urgent first.
const (
	Lookup Class = iota // short interactive question
	Call                // call of a plain service
	Review              // long review; tolerates delay, but is expensive to repeat
)

// String returns the name used in protocol messages.
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

// State is the state that a backend server announces.
type State uint8

// The states of a backend server.
const (
	Starting State = iota // loading its model; accepts no requests
	Ready                 // accepts requests
	Leaving               // finishes running requests and accepts no new ones
	Gone                  // removed
)

// String returns the name used in protocol messages.
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

// Backend describes a backend server. Values are immutable.
type Backend struct {
	ID           string
	Incarnation  uint64 // increases with each restart of the server
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
	Price        float64 // currency units per hour
	Slots        int     // concurrent requests that the server can run within the latency target
	CacheBlocks  int     // capacity of the prefix cache, in blocks
	State        State
	// LeaveBy is the reclaim deadline; zero if there is no reclaim notice.
	LeaveBy time.Time
	// AcceptsFrom is when the server accepts new requests again; zero if it does now.
	AcceptsFrom time.Time
	// RateLimited means that the server accepts requests at a limited rate. Rate is this
	// instance's part of it, in requests a second.
	RateLimited bool
	Rate        float64
	// Evacuated means that the server gets no new requests, since operators take its data
	// centre out of service. Other servers may still fetch from its cache.
	Evacuated bool
	// Region is the region of DataCentre; empty if unknown.
	Region string
	// Cold means that the server accepts few requests until it is warm. ColdRate is this
	// instance's part of them, in requests a second.
	Cold     bool
	ColdRate float64
}

// TakesRequests reports whether the server may get new requests.
func (b Backend) TakesRequests() bool { return b.State == Ready && !b.Evacuated }

// WithState returns a copy with the given state.
func (b Backend) WithState(s State) Backend { b.State = s; return b }

// WithLeaveBy returns a copy with the reclaim deadline t.
func (b Backend) WithLeaveBy(t time.Time) Backend { b.LeaveBy = t; return b }

// Runs reports whether the server has the version loaded.
func (b Backend) Runs(version string) bool { return slices.Contains(b.Versions, version) }

// Load is the load that a backend server reports. It may be out of date.
type Load struct {
	Running         int
	Waiting         int
	Unstarted       int     // requests counted in Running whose response has not started; 0 if unknown
	WaitingTokens   int     // prompt tokens to prefill for waiting requests; 0 if unknown
	CacheUsed       float64 // fraction of the cache, 0 to 1
	TokensPerSecond float64 // generated, over the last second
	PrefillPerToken time.Duration
	MeasuredAt      time.Time // time of measurement, by the receiver's clock
}

// CacheEvents lists the prompt blocks that an engine has added to or evicted from
// its cache. Sequence numbers are consecutive; a gap means that events were lost.
type CacheEvents struct {
	From    uint64   // sequence number of the first event; Added precedes Removed
	Full    bool     // Added is the whole content of the cache and replaces earlier state
	Added   []uint64 // block hashes as computed by BlockHashes
	Removed []uint64
}

// Next returns the sequence number of the event after these.
func (e CacheEvents) Next() uint64 {
	if e.Full {
		return e.From + 1
	}
	return e.From + uint64(len(e.Added)+len(e.Removed))
}

// BlockHashes returns the hash of each complete block of a prompt. A hash covers the
// block and all blocks before it, so equal hashes imply equal prefixes.
func BlockHashes(prompt string) []uint64 {
	n := len(prompt) / BlockBytes
	out := make([]uint64, 0, n)
	var buf [8 + BlockBytes]byte
	var prev uint64
	for i := range n {
		binary.LittleEndian.PutUint64(buf[:8], prev)
		copy(buf[8:], prompt[i*BlockBytes:(i+1)*BlockBytes])
		prev = xxhash.Sum64(buf[:])
		out = append(out, prev)
	}
	return out
}

// Outcome is the outcome of a version move. It is empty while the move is running.
type Outcome string

// The outcomes of a version move.
const (
	Done       Outcome = "done"
	RolledBack Outcome = "takenBack"
)

// Move is a version move of a service. Values are immutable.
type Move struct {
	ID       string    `json:"id"`
	Service  string    `json:"service"`
	From     string    `json:"from"`
	To       string    `json:"to"`
	Started  time.Time `json:"started"`
	Deadline time.Time `json:"deadline"`
	Share    float64   `json:"share"`   // fraction of the traffic sent to version To
	ShareAt  time.Time `json:"shareAt"` // when Share was set
	Outcome  Outcome   `json:"outcome,omitempty"`
	Reason   string    `json:"reason,omitempty"`
	Ended    time.Time `json:"ended"`
}

// WithShare returns a copy with the given share, set at now.
func (m Move) WithShare(share float64, now time.Time) Move {
	m.Share, m.ShareAt = share, now
	return m
}

// WithOutcome returns a copy that has ended. A move that has already ended is
// returned unchanged.
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

// Instance is the record that control keeps of a machine rented for a backend
// server.
type Instance struct {
	RequestID    string    `json:"requestId"`    // sent to the cloud as idempotency key
	ID           string    `json:"id,omitempty"` // assigned by the cloud
	DataCentre   string    `json:"dataCentre"`
	Zone         string    `json:"zone,omitempty"`
	MachineClass string    `json:"machineClass"`
	Reclaimable  bool      `json:"reclaimable"`
	Service      string    `json:"service"`
	Version      string    `json:"version"`
	Phase        string    `json:"phase"`   // requested, running, draining, cleaning, stopping, gone
	PhaseSince   time.Time `json:"since"`   // start of the phase
	CleanedAt    time.Time `json:"cleaned"` // end of the last cleaning, or start of the instance
	LeaveBy      time.Time `json:"leaveBy"` // reclaim deadline; zero if there is no notice
	// Incarnation of the server when cleaning was ordered. A higher announced
	// incarnation means that cleaning is complete.
	Incarnation uint64 `json:"incarnation,omitempty"`
}

// WithPhase returns a copy with the given phase, starting at now.
func (i Instance) WithPhase(phase string, now time.Time) Instance {
	i.Phase, i.PhaseSince = phase, now
	return i
}
