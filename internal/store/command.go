package store

import (
	"encoding/json"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"cranberrypath.example/cranberrypath/internal/world"
	"cranberrypath.example/cranberrypath/pkg/decl"
)

// Op is what a command does.
type Op string

// The operations. The fenced ones come from the controllers on the leader and
// carry its raft term; they are refused once a newer leader has given one.
const (
	OpApply     Op = "apply"     // put a declaration in force
	OpPreset    Op = "preset"    // put a preset in force
	OpStartMove Op = "startMove" // start a version move
	OpTakeBack  Op = "takeBack"  // an operator ends a move by taking it back
	OpShare     Op = "share"     // fenced: set the share of a move
	OpEndMove   Op = "endMove"   // fenced: end a move
	OpRecord    Op = "record"    // fenced: write an instance record
	OpPhase     Op = "phase"     // fenced: change the phase of an instance
	OpCleaned   Op = "cleaned"   // fenced: record that an instance was cleaned
	OpBuy       Op = "buy"       // fenced: record the next purchase
	OpNotes     Op = "notes"     // fenced: replace the notes of a controller
	OpFence     Op = "fence"     // fenced: nothing else; shuts out older leaders
)

func (o Op) fenced() bool {
	switch o {
	case OpShare, OpEndMove, OpRecord, OpPhase, OpCleaned, OpBuy, OpNotes, OpFence:
		return true
	}
	return false
}

// PhaseGone is the phase that removes an instance record.
const PhaseGone = "gone"

// Command is one entry of the replicated log. Use the functions below to make one.
type Command struct {
	ID   string    `json:"id"` // chosen by the client; the same for a repeat
	Op   Op        `json:"op"`
	By   string    `json:"by"` // operator or controller
	At   time.Time `json:"at"` // when it was given; Apply knows no other time
	Term uint64    `json:"term,omitempty"`
	// Expect is the version of the declaration or preset that the operator saw.
	Expect      uint64          `json:"expect,omitempty"`
	Declaration json.RawMessage `json:"declaration,omitempty"`
	Preset      string          `json:"preset,omitempty"`
	Move        string          `json:"move,omitempty"`
	Service     string          `json:"service,omitempty"`
	To          string          `json:"to,omitempty"`
	Deadline    time.Time       `json:"deadline,omitzero"`
	Share       float64         `json:"share,omitempty"`
	Outcome     world.Outcome   `json:"outcome,omitempty"`
	Reason      string          `json:"reason,omitempty"`
	Instance    *world.Instance `json:"instance,omitempty"`
	Request     string          `json:"request,omitempty"` // RequestID of an instance
	Phase       string          `json:"phase,omitempty"`
	Number      uint64          `json:"number,omitempty"` // of a purchase
	Notes       string          `json:"notes,omitempty"`  // name of the notes
	Body        json.RawMessage `json:"body,omitempty"`
}

// Origin is who gives a command, when, under which id.
type Origin struct {
	ID, By string
	At     time.Time
}

// Controller is the origin of a fenced command with the raft term of its leader.
type Controller struct {
	Origin
	Term uint64
}

// Apply puts d in force if the present declaration has the version expect; 0 is
// for the first one. The caller has checked d; Apply does not do it again, since
// members that run different releases must come to the same result.
func Apply(o Origin, expect uint64, d decl.Declaration) Command {
	b, err := json.Marshal(d)
	if err != nil {
		panic(err) // plain data always marshals
	}
	return Command{ID: o.ID, Op: OpApply, By: o.By, At: o.At, Expect: expect, Declaration: b}
}

// SetPreset puts a preset in force. expect is the version of the preset that the
// operator saw; 0 replaces any.
func SetPreset(o Origin, expect uint64, name string) Command {
	return Command{ID: o.ID, Op: OpPreset, By: o.By, At: o.At, Expect: expect, Preset: name}
}

// StartMove starts to move a service from the version that serves to another.
// The id of the move is the id of the command.
func StartMove(o Origin, service, to string, deadline time.Time) Command {
	return Command{ID: o.ID, Op: OpStartMove, By: o.By, At: o.At, Service: service, To: to, Deadline: deadline}
}

// TakeBack ends a move for an operator.
func TakeBack(o Origin, move, reason string) Command {
	return Command{ID: o.ID, Op: OpTakeBack, By: o.By, At: o.At, Move: move, Reason: reason}
}

// Share sets the share of the traffic, 0 to 1, that a running move directs to
// the new version. A share that is not a number is refused like one out of range.
func Share(c Controller, move string, share float64) Command {
	if math.IsNaN(share) || math.IsInf(share, 0) {
		share = -1 // JSON has no form for the others
	}
	return Command{ID: c.ID, Op: OpShare, By: c.By, At: c.At, Term: c.Term, Move: move, Share: share}
}

// EndMove ends a move. The first end of a move counts.
func EndMove(c Controller, move string, o world.Outcome, reason string) Command {
	return Command{ID: c.ID, Op: OpEndMove, By: c.By, At: c.At, Term: c.Term, Move: move, Outcome: o, Reason: reason}
}

// Record writes an instance record, new or not, under its RequestID.
func Record(c Controller, i world.Instance) Command {
	return Command{ID: c.ID, Op: OpRecord, By: c.By, At: c.At, Term: c.Term, Instance: &i}
}

// Buy records the n-th purchase. It is refused unless n-1 purchases are recorded,
// so that two controllers that decide on the same state record only one.
func Buy(c Controller, n uint64, i world.Instance) Command {
	return Command{ID: c.ID, Op: OpBuy, By: c.By, At: c.At, Term: c.Term, Instance: &i, Number: n}
}

// SetNotes replaces what a controller keeps under a name. The store does not
// read the body, which must be JSON.
func SetNotes(c Controller, name string, body json.RawMessage) Command {
	return Command{ID: c.ID, Op: OpNotes, By: c.By, At: c.At, Term: c.Term, Notes: name, Body: body}
}

// SetPhase changes the phase of an instance; PhaseGone removes its record.
func SetPhase(c Controller, request, phase string) Command {
	return Command{ID: c.ID, Op: OpPhase, By: c.By, At: c.At, Term: c.Term, Request: request, Phase: phase}
}

// Cleaned records that the cleaning of an instance ended.
func Cleaned(c Controller, request string) Command {
	return Command{ID: c.ID, Op: OpCleaned, By: c.By, At: c.At, Term: c.Term, Request: request}
}

// Fence makes the store refuse fenced commands of older terms from now on.
func Fence(c Controller) Command {
	return Command{ID: c.ID, Op: OpFence, By: c.By, At: c.At, Term: c.Term}
}

// Encode returns the command as an entry of the log.
func (c Command) Encode() []byte {
	c.At = c.At.UTC()
	b, err := json.Marshal(c)
	if err != nil {
		panic(err) // plain data always marshals
	}
	return b
}

// sum identifies the content of a command, so that another command under the
// same id is noticed. A repeat has a later time and, after an election, another
// term.
func (c Command) sum() uint64 {
	c.At, c.Term = time.Time{}, 0
	return xxhash.Sum64(c.Encode())
}

// The codes of refusals.
const (
	Conflict    = "conflict"    // another operator was first; By, At and Version say who
	Invalid     = "invalid"     // the command makes no sense in the present state
	Unknown     = "unknown"     // it names something that does not exist
	MoveRunning = "moveRunning" // the service has a running move
	MoveEnded   = "moveEnded"   // the move has ended; Move holds its outcome
	Fenced      = "fenced"      // a newer leader's controller has given commands
	Reused      = "reused"      // the id belongs to another command
)

// Result answers a command. A repeated command gets the answer of its first run.
type Result struct {
	// Index is the raft index at which the command ran.
	Index uint64 `json:"index"`
	// Code is empty if the command was carried out, else one of the codes.
	Code    string `json:"code,omitempty"`
	Message string `json:"message,omitempty"`
	// Version, By and At describe the declaration or preset in force, or the end
	// of the move, that stood against the command.
	Version uint64    `json:"version,omitempty"`
	By      string    `json:"by,omitempty"`
	At      time.Time `json:"at,omitzero"`
	Move    *Move     `json:"move,omitempty"`
}

// Refusal is a Result that refuses a command.
type Refusal struct{ Result }

func (r *Refusal) Error() string { return r.Code + ": " + r.Message }

// DecodeResult reads what Store.Apply returned. The error is a *Refusal if the
// command was refused.
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
