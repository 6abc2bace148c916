package store

import (
	"encoding/json"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"cranberrypath.example/cranberrypath/internal/world"
	"cranberrypath.example/cranberrypath/pkg/decl"
)

// Op is the operation of a command.
type Op string

// The operations. Fenced operations are issued by the controllers on the leader and
// carry its raft term. They are refused after a fenced command of a newer term.
const (
	OpApplyDeclaration Op = "apply"     // replace the declaration
	OpSetPreset        Op = "preset"    // activate a preset
	OpStartMove        Op = "startMove" // start a version move
	OpRollBack         Op = "takeBack"  // an operator rolls a move back
	OpSetShare         Op = "share"     // fenced: set the traffic share of a move
	OpEndMove          Op = "endMove"   // fenced: end a move
	OpRecordInstance   Op = "record"    // fenced: write an instance record
	OpSetPhase         Op = "phase"     // fenced: change the phase of an instance
	OpRecordCleaned    Op = "cleaned"   // fenced: record that the cleaning of an instance ended
	OpRecordPurchase   Op = "buy"       // fenced: record the next purchase
	OpControllerState  Op = "notes"     // fenced: replace a state entry of a controller
	OpFence            Op = "fence"     // fenced: no other effect; shuts out older leaders
)

func (o Op) isFenced() bool {
	switch o {
	case OpSetShare, OpEndMove, OpRecordInstance, OpSetPhase, OpRecordCleaned, OpRecordPurchase, OpControllerState, OpFence:
		return true
	}
	return false
}

// PhaseGone is the phase that removes an instance record.
const PhaseGone = "gone"

// Command is an entry of the replicated log. Use the functions below to create commands.
type Command struct {
	ID   string    `json:"id"` // chosen by the client; the same if the command is repeated
	Op   Op        `json:"op"`
	By   string    `json:"by"` // operator or controller
	At   time.Time `json:"at"` // when the command was issued; the only clock that Apply uses
	Term uint64    `json:"term,omitempty"`
	// ExpectVersion is the version of the declaration or preset that the operator saw.
	ExpectVersion  uint64          `json:"expect,omitempty"`
	Declaration    json.RawMessage `json:"declaration,omitempty"`
	Preset         string          `json:"preset,omitempty"`
	MoveID         string          `json:"move,omitempty"`
	Service        string          `json:"service,omitempty"`
	ToVersion      string          `json:"to,omitempty"`
	Deadline       time.Time       `json:"deadline,omitzero"`
	Share          float64         `json:"share,omitempty"`
	Outcome        world.Outcome   `json:"outcome,omitempty"`
	Reason         string          `json:"reason,omitempty"`
	Instance       *world.Instance `json:"instance,omitempty"`
	RequestID      string          `json:"request,omitempty"` // RequestID of an instance record
	Phase          string          `json:"phase,omitempty"`
	PurchaseNumber uint64          `json:"number,omitempty"` // sequence number of a purchase
	StateName      string          `json:"notes,omitempty"`  // name of a controller's state entry
	StateBody      json.RawMessage `json:"body,omitempty"`
}

// Origin identifies a command and says who issued it and when.
type Origin struct {
	ID, By string
	At     time.Time
}

// Controller is the origin of a fenced command, with the raft term of the leader that
// the controller runs on.
type Controller struct {
	Origin
	Term uint64
}

// Apply replaces the declaration with d if the current one has the version expect,
// which is 0 for the first declaration. The caller must have validated d. The store
// doesn't validate it again, because members that run different releases must come to
// the same result.
func Apply(o Origin, expect uint64, d decl.Declaration) Command {
	b, err := json.Marshal(d)
	if err != nil {
		panic(err) // plain data always marshals
	}
	return Command{ID: o.ID, Op: OpApplyDeclaration, By: o.By, At: o.At, ExpectVersion: expect, Declaration: b}
}

// SetPreset activates a preset. The expected version is the one that the operator
// saw; 0 replaces any version.
func SetPreset(o Origin, expect uint64, name string) Command {
	return Command{ID: o.ID, Op: OpSetPreset, By: o.By, At: o.At, ExpectVersion: expect, Preset: name}
}

// StartMove starts to move a service from its current version to another one. The ID
// of the command becomes the ID of the move.
func StartMove(o Origin, service, to string, deadline time.Time) Command {
	return Command{ID: o.ID, Op: OpStartMove, By: o.By, At: o.At, Service: service, ToVersion: to, Deadline: deadline}
}

// TakeBack ends a move by rolling it back on an operator's request.
func TakeBack(o Origin, move, reason string) Command {
	return Command{ID: o.ID, Op: OpRollBack, By: o.By, At: o.At, MoveID: move, Reason: reason}
}

// Share sets the share of the traffic, 0 to 1, that a running move directs to the new
// version. NaN and infinities are refused like any share out of range.
func Share(c Controller, move string, share float64) Command {
	if math.IsNaN(share) || math.IsInf(share, 0) {
		share = -1 // JSON can't encode NaN and infinities
	}
	return Command{ID: c.ID, Op: OpSetShare, By: c.By, At: c.At, Term: c.Term, MoveID: move, Share: share}
}

// EndMove ends a move. It is refused if the move has already ended.
func EndMove(c Controller, move string, o world.Outcome, reason string) Command {
	return Command{ID: c.ID, Op: OpEndMove, By: c.By, At: c.At, Term: c.Term, MoveID: move, Outcome: o, Reason: reason}
}

// Record creates or replaces an instance record, which is keyed by its RequestID.
func Record(c Controller, i world.Instance) Command {
	return Command{ID: c.ID, Op: OpRecordInstance, By: c.By, At: c.At, Term: c.Term, Instance: &i}
}

// Buy records the n-th purchase. It is refused unless exactly n-1 purchases are
// recorded, so that two controllers that decide on the same state record only one.
func Buy(c Controller, n uint64, i world.Instance) Command {
	return Command{ID: c.ID, Op: OpRecordPurchase, By: c.By, At: c.At, Term: c.Term, Instance: &i, PurchaseNumber: n}
}

// SetNotes replaces the state that a controller keeps under a name. The body must be
// JSON; the store doesn't interpret it.
func SetNotes(c Controller, name string, body json.RawMessage) Command {
	return Command{ID: c.ID, Op: OpControllerState, By: c.By, At: c.At, Term: c.Term, StateName: name, StateBody: body}
}

// SetPhase changes the phase of an instance; PhaseGone removes its record.
func SetPhase(c Controller, request, phase string) Command {
	return Command{ID: c.ID, Op: OpSetPhase, By: c.By, At: c.At, Term: c.Term, RequestID: request, Phase: phase}
}

// RecordCleaned records that the cleaning of an instance ended.
func RecordCleaned(c Controller, request string) Command {
	return Command{ID: c.ID, Op: OpRecordCleaned, By: c.By, At: c.At, Term: c.Term, RequestID: request}
}

// Fence makes the store refuse later fenced commands of older terms.
func Fence(c Controller) Command {
	return Command{ID: c.ID, Op: OpFence, By: c.By, At: c.At, Term: c.Term}
}

// Encode returns the command as a log entry.
func (c Command) Encode() []byte {
	c.At = c.At.UTC()
	b, err := json.Marshal(c)
	if err != nil {
		panic(err) // plain data always marshals
	}
	return b
}

// contentHash returns a hash of the command, to detect that an ID is reused for a
// different command. It excludes the time and the term, because a repeated command has
// a later time and, after an election, another term.
func (c Command) contentHash() uint64 {
	c.At, c.Term = time.Time{}, 0
	return xxhash.Sum64(c.Encode())
}

// The error codes of refused commands.
const (
	Conflict    = "conflict"    // the expected version or number is outdated; By, At and Version describe the newer change
	Invalid     = "invalid"     // the command is not valid in the current state
	Unknown     = "unknown"     // the command refers to an object that does not exist
	MoveRunning = "moveRunning" // a running move prevents the command
	MoveEnded   = "moveEnded"   // the move has already ended; Move holds its outcome
	Fenced      = "fenced"      // a controller of a newer leader has issued commands
	Reused      = "reused"      // the ID was used for a different command
)

// Result is the result of a command. A repeated command receives its first result.
type Result struct {
	// Index is the raft index at which the command was applied.
	Index uint64 `json:"index"`
	// Code is empty if the command succeeded, else one of the error codes.
	Code    string `json:"code,omitempty"`
	Message string `json:"message,omitempty"`
	// Version, By and At describe the change that the command conflicts with: of the
	// declaration, of the preset, or of the move.
	Version uint64    `json:"version,omitempty"`
	By      string    `json:"by,omitempty"`
	At      time.Time `json:"at,omitzero"`
	Move    *Move     `json:"move,omitempty"`
}

// Refusal is the error of a refused command.
type Refusal struct{ Result }

func (r *Refusal) Error() string { return r.Code + ": " + r.Message }

// DecodeResult decodes the result of Store.Apply. The error is a *Refusal if the command
// was refused.
func DecodeResult(b []byte) (Result, error) {
	var r Result
	if err := json.Unmarshal(b, &r); err != nil {
		return Result{}, Error.Wrap(err)
	}
	if r.Code != "" {
		return r, &Refusal{r}
	}
	return r, nil
}
