package store

import (
	"encoding/json"
	"fmt"
	"time"

	"cranberrypath.example/cranberrypath/internal/world"
	"cranberrypath.example/cranberrypath/pkg/decl"
)

// Move is a version move with its history.
type Move struct {
	world.Move
	By      string `json:"by"`
	EndedBy string `json:"endedBy,omitempty"`
	// Start and Version are the raft indexes of its start and last change.
	Start   uint64 `json:"start"`
	Version uint64 `json:"version"`
}

// answer is a remembered command.
type answer struct {
	ID     string `json:"id"`
	Sum    uint64 `json:"sum"`
	Result Result `json:"result"`
}

// Set describes who put the declaration or preset in force.
type Set struct {
	Version uint64    `json:"version"` // raft index
	By      string    `json:"by"`
	At      time.Time `json:"at"`
}

// state is everything that a snapshot holds.
type state struct {
	Format  int    `json:"format"`
	Applied uint64 `json:"applied"` // last index
	Version uint64 `json:"version"` // index of the last change
	Config  uint64 `json:"config"`  // index of the last change that entry instances need
	Term    uint64 `json:"term"`    // highest term of a fenced command

	Declaration json.RawMessage `json:"declaration,omitempty"`
	Declared    Set             `json:"declared"`
	Preset      string          `json:"preset"`
	PresetSet   Set             `json:"presetSet"`
	// Serving is the version of each service that serves outside of a move. It
	// starts as the declared one and changes by moves only, so that no edit of
	// the declaration shifts all traffic at once.
	Serving        map[string]string         `json:"serving"`
	ServingVersion uint64                    `json:"servingVersion"`
	Moves          []Move                    `json:"moves"` // in order of their start
	Instances      map[string]world.Instance `json:"instances"`
	Answers        []answer                  `json:"answers"` // oldest first
	// Previous is the preset before the present one, PresetAt the time of the change.
	Previous string    `json:"previous,omitempty"`
	PresetAt time.Time `json:"presetAt,omitzero"`
	// Bought counts the purchases that were ever recorded.
	Bought uint64                     `json:"bought,omitempty"`
	Notes  map[string]json.RawMessage `json:"notes,omitempty"` // of controllers, by name

	declaration decl.Declaration
	answered    map[string]int // place in Answers plus dropped
	dropped     int
	sorted      []world.Instance // of Instances; nil after a change
}

func newState() state {
	return state{Serving: map[string]string{}, Instances: map[string]world.Instance{}, answered: map[string]int{}}
}

// index rebuilds what a snapshot leaves out.
func (s *state) index() error {
	if len(s.Declaration) > 0 {
		if err := json.Unmarshal(s.Declaration, &s.declaration); err != nil {
			return Error.Wrap(err)
		}
	}
	for i, a := range s.Answers {
		s.answered[a.ID] = i
	}
	return nil
}

// run carries out one command and remembers its answer.
func (s *state) run(index uint64, cmd []byte) Result {
	var c Command
	if err := json.Unmarshal(cmd, &c); err != nil {
		s.Applied = max(s.Applied, index)
		return refuse(Invalid, "cannot be read: %v", err).at(index)
	}
	if c.ID == "" {
		s.Applied = max(s.Applied, index)
		return refuse(Invalid, "has no id").at(index)
	}
	sum := c.sum()
	if i, ok := s.answered[c.ID]; ok {
		s.Applied = max(s.Applied, index)
		a := s.Answers[i-s.dropped]
		if a.Sum != sum {
			return refuse(Reused, "id %q belongs to another command", c.ID).at(index)
		}
		return a.Result
	}
	if index <= s.Applied {
		return refuse(Invalid, "index %d has been applied and its answer dropped", index).at(index)
	}
	s.Applied = index
	r := s.checked(index, c).at(index)
	// A later leader may give a command again that an older one gave too late;
	// the refusal must not be its answer.
	if r.Code != Fenced {
		s.remember(answer{c.ID, sum, r})
	}
	return r
}

func (r Result) at(index uint64) Result {
	r.Index = index
	return r
}

func refuse(code, format string, args ...any) Result {
	return Result{Code: code, Message: fmt.Sprintf(format, args...)}
}

func (s *state) remember(a answer) {
	s.answered[a.ID] = s.dropped + len(s.Answers)
	s.Answers = append(s.Answers, a)
	if len(s.Answers) <= KeepResults {
		return
	}
	delete(s.answered, s.Answers[0].ID)
	s.Answers[0] = answer{}
	s.Answers = s.Answers[1:]
	s.dropped++
}

func (s *state) checked(index uint64, c Command) Result {
	if c.Op.fenced() {
		if c.Term < s.Term {
			return refuse(Fenced, "term %d is older than %d", c.Term, s.Term)
		}
		if c.Term > s.Term {
			s.Term, s.Version = c.Term, index
		}
	}
	switch c.Op {
	case OpApply:
		return s.apply(index, c)
	case OpPreset:
		return s.setPreset(index, c)
	case OpStartMove:
		return s.startMove(index, c)
	case OpTakeBack:
		c.Outcome = world.TakenBack
		return s.endMove(index, c)
	case OpEndMove:
		return s.endMove(index, c)
	case OpShare:
		return s.setShare(index, c)
	case OpRecord, OpPhase, OpCleaned:
		return s.instance(index, c)
	case OpBuy:
		return s.buy(index, c)
	case OpNotes:
		return s.setNotes(index, c)
	case OpFence:
		return Result{Version: s.Term}
	}
	return refuse(Invalid, "operation %q is unknown", c.Op)
}

// configured notes a change that entry instances need.
func (s *state) configured(index uint64) { s.Version, s.Config = index, index }

func (s *state) apply(index uint64, c Command) Result {
	if c.Expect != s.Declared.Version {
		r := refuse(Conflict, "the declaration has version %d, not %d; %s applied it at %s",
			s.Declared.Version, c.Expect, s.Declared.By, s.Declared.At.Format(time.RFC3339Nano))
		r.Version, r.By, r.At = s.Declared.Version, s.Declared.By, s.Declared.At
		return r
	}
	var d decl.Declaration
	if err := json.Unmarshal(c.Declaration, &d); err != nil {
		return refuse(Invalid, "the declaration cannot be read: %v", err)
	}
	for _, m := range s.Moves {
		svc, ok := d.Service(m.Service)
		if m.Outcome == "" && (!ok || !svc.HasVersion(m.From) || !svc.HasVersion(m.To)) {
			return refuse(MoveRunning, "move %q of service %q needs versions %q and %q", m.ID, m.Service, m.From, m.To)
		}
	}
	for _, svc := range d.Services {
		if v, ok := s.Serving[svc.Name]; ok && !svc.HasVersion(v) {
			return refuse(Invalid, "service %q is served by version %q, which must stay in versions until a move replaces it", svc.Name, v)
		}
	}
	preset := d.Preset
	if preset == "" {
		preset = s.Preset
	}
	if preset == "" && len(d.Presets) > 0 {
		preset = d.Presets[0].Name
	}
	if _, ok := d.PresetNamed(preset); !ok {
		return refuse(Invalid, "the preset in force, %q, must be declared, or another one named in \"preset\"", preset)
	}
	s.Declaration, s.declaration = c.Declaration, d
	s.Declared = Set{index, c.By, c.At}
	if preset != s.Preset {
		s.changePreset(index, preset, c)
	}
	s.serve(index)
	s.configured(index)
	return Result{Version: index}
}

// serve adds the services that are new and removes those that are gone.
func (s *state) serve(index uint64) {
	for name := range s.Serving {
		if _, ok := s.declaration.Service(name); !ok {
			delete(s.Serving, name)
			s.ServingVersion = index
		}
	}
	for _, svc := range s.declaration.Services {
		if _, ok := s.Serving[svc.Name]; !ok {
			s.Serving[svc.Name] = svc.Version
			s.ServingVersion = index
		}
	}
}

func (s *state) setPreset(index uint64, c Command) Result {
	if c.Expect != 0 && c.Expect != s.PresetSet.Version {
		r := refuse(Conflict, "preset %q has version %d, not %d; %s set it at %s",
			s.Preset, s.PresetSet.Version, c.Expect, s.PresetSet.By, s.PresetSet.At.Format(time.RFC3339Nano))
		r.Version, r.By, r.At = s.PresetSet.Version, s.PresetSet.By, s.PresetSet.At
		return r
	}
	if _, ok := s.declaration.PresetNamed(c.Preset); !ok {
		return refuse(Unknown, "preset %q is not declared", c.Preset)
	}
	s.changePreset(index, c.Preset, c)
	s.configured(index)
	return Result{Version: index}
}

// changePreset keeps what the fleet needs to go over from one preset to the next.
// Setting the preset in force again does not start that anew.
func (s *state) changePreset(index uint64, name string, c Command) {
	if name != s.Preset {
		s.Previous, s.PresetAt = s.Preset, c.At
	}
	s.Preset, s.PresetSet = name, Set{index, c.By, c.At}
}

func (s *state) startMove(index uint64, c Command) Result {
	svc, ok := s.declaration.Service(c.Service)
	if !ok {
		return refuse(Unknown, "service %q is not declared", c.Service)
	}
	if !svc.HasVersion(c.To) {
		return refuse(Unknown, "version %q of service %q is not declared", c.To, c.Service)
	}
	from := s.Serving[c.Service]
	if from == c.To {
		return refuse(Invalid, "version %q serves already", c.To)
	}
	if !c.Deadline.After(c.At) {
		return refuse(Invalid, "the deadline %s is not in the future", c.Deadline.Format(time.RFC3339))
	}
	for i, m := range s.Moves {
		if m.Service == c.Service && m.Outcome == "" {
			r := refuse(MoveRunning, "%s started move %q at %s", m.By, m.ID, m.Started.Format(time.RFC3339Nano))
			r.By, r.At, r.Move = m.By, m.Started, s.move(i)
			return r
		}
		if m.ID == c.ID {
			return refuse(Reused, "move %q exists", c.ID)
		}
	}
	s.Moves = append(s.Moves, Move{
		Move: world.Move{
			ID: c.ID, Service: c.Service, From: from, To: c.To,
			Started: c.At, Deadline: c.Deadline.UTC(), ShareAt: c.At,
		},
		By: c.By, Start: index, Version: index,
	})
	s.configured(index)
	return Result{Version: index, Move: s.move(len(s.Moves) - 1)}
}

func (s *state) move(i int) *Move {
	m := s.Moves[i]
	return &m
}

// running finds a move that has not ended. It returns a refusal if there is none.
func (s *state) running(id string) (int, *Result) {
	for i, m := range s.Moves {
		switch {
		case m.ID != id:
		case m.Outcome == "":
			return i, nil
		default:
			r := refuse(MoveEnded, "%s ended move %q as %s at %s", m.EndedBy, id, m.Outcome, m.Ended.Format(time.RFC3339Nano))
			r.Version, r.By, r.At, r.Move = m.Version, m.EndedBy, m.Ended, s.move(i)
			return 0, &r
		}
	}
	r := refuse(Unknown, "move %q does not exist", id)
	return 0, &r
}

func (s *state) setShare(index uint64, c Command) Result {
	i, r := s.running(c.Move)
	if r != nil {
		return *r
	}
	if !(c.Share >= 0 && c.Share <= 1) {
		return refuse(Invalid, "share is %g; want 0 to 1", c.Share)
	}
	m := &s.Moves[i]
	m.Move, m.Version = m.WithShare(c.Share, c.At), index
	s.configured(index)
	return Result{Version: index, Move: s.move(i)}
}

func (s *state) endMove(index uint64, c Command) Result {
	i, r := s.running(c.Move)
	if r != nil {
		return *r
	}
	if c.Outcome != world.Done && c.Outcome != world.TakenBack {
		return refuse(Invalid, "outcome is %q; want %q or %q", c.Outcome, world.Done, world.TakenBack)
	}
	m := &s.Moves[i]
	m.Move, m.EndedBy, m.Version = m.WithOutcome(c.Outcome, c.Reason, c.At), c.By, index
	if c.Outcome == world.Done {
		s.Serving[m.Service], s.ServingVersion = m.To, index
	}
	s.configured(index)
	ended := s.move(i)
	s.Moves = trimMoves(s.Moves)
	return Result{Version: index, Move: ended}
}

// trimMoves drops the oldest ended moves beyond KeepMoves.
func trimMoves(all []Move) []Move {
	ended := 0
	for _, m := range all {
		if m.Outcome != "" {
			ended++
		}
	}
	kept := make([]Move, 0, len(all))
	for _, m := range all {
		if m.Outcome != "" && ended > KeepMoves {
			ended--
			continue
		}
		kept = append(kept, m)
	}
	return kept
}

func (s *state) instance(index uint64, c Command) Result {
	s.sorted = nil
	if c.Op == OpRecord {
		if c.Instance == nil || c.Instance.RequestID == "" {
			return refuse(Invalid, "the instance has no request id")
		}
		c.Request, c.Phase = c.Instance.RequestID, c.Instance.Phase
		s.Instances[c.Request] = *c.Instance
	}
	i, ok := s.Instances[c.Request]
	if !ok {
		return refuse(Unknown, "instance %q is not recorded", c.Request)
	}
	switch {
	case c.Op == OpCleaned:
		i.Cleaned = c.At
	case c.Op == OpPhase && c.Phase == "":
		return refuse(Invalid, "the phase is empty")
	case c.Op == OpPhase:
		i = i.WithPhase(c.Phase, c.At)
	}
	s.Instances[c.Request] = i
	if i.Phase == PhaseGone {
		delete(s.Instances, c.Request)
	}
	s.Version = index
	return Result{Version: index}
}

func (s *state) buy(index uint64, c Command) Result {
	if c.Number != s.Bought+1 {
		return refuse(Conflict, "purchase %d is not the next one after %d", c.Number, s.Bought)
	}
	c.Op = OpRecord
	r := s.instance(index, c)
	if r.Code == "" {
		s.Bought = c.Number
	}
	return r
}

func (s *state) setNotes(index uint64, c Command) Result {
	if c.Notes == "" || len(c.Body) == 0 {
		return refuse(Invalid, "the notes have no name or body")
	}
	if s.Notes == nil {
		s.Notes = map[string]json.RawMessage{}
	}
	s.Notes[c.Notes] = c.Body
	s.Version = index
	return Result{Version: index}
}
