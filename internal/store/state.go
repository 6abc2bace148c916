package store

import (
	"encoding/json"
	"fmt"
	"time"

	"cranberrypath.example/cranberrypath/internal/world"
	"cranberrypath.example/cranberrypath/pkg/decl"
)

// Move is a version move with the operators or controllers that started and ended it.
type Move struct {
	world.Move
	By      string `json:"by"`
	EndedBy string `json:"endedBy,omitempty"`
	// StartIndex and Version are the raft indexes of the start and the last change.
	StartIndex uint64 `json:"start"`
	Version    uint64 `json:"version"`
}

// storedResult is the result of a command, kept for repeated commands.
type storedResult struct {
	ID          string `json:"id"`
	ContentHash uint64 `json:"sum"`
	Result      Result `json:"result"`
}

// Change describes the last change of the declaration or preset.
type Change struct {
	Version uint64    `json:"version"` // raft index
	By      string    `json:"by"`
	At      time.Time `json:"at"`
}

// state is the replicated state. Its exported fields are encoded in snapshots.
type state struct {
	Format        int    `json:"format"`
	Applied       uint64 `json:"applied"` // index of the last applied command
	Version       uint64 `json:"version"` // index of the last change
	ConfigVersion uint64 `json:"config"`  // index of the last change that entry instances need
	Term          uint64 `json:"term"`    // highest term of a fenced command

	Declaration       json.RawMessage `json:"declaration,omitempty"`
	DeclarationChange Change          `json:"declared"`
	Preset            string          `json:"preset"`
	PresetChange      Change          `json:"presetSet"`
	// Serving is the version of each service that receives the traffic outside of a
	// move. Initially it is the declared version. Only moves change it, so that an
	// edit of the declaration can't shift all traffic at once.
	Serving      map[string]string         `json:"serving"`
	ServingIndex uint64                    `json:"servingVersion"`
	Moves        []Move                    `json:"moves"` // in order of their start
	Instances    map[string]world.Instance `json:"instances"`
	Results      []storedResult            `json:"answers"` // oldest first
	// PreviousPreset is the preset before the active one, which was activated at
	// PresetSince.
	PreviousPreset string    `json:"previous,omitempty"`
	PresetSince    time.Time `json:"presetAt,omitzero"`
	// PurchaseCount is the number of purchases ever recorded.
	PurchaseCount    uint64                     `json:"bought,omitempty"`
	ControllerStates map[string]json.RawMessage `json:"notes,omitempty"` // state entries of the controllers, by name

	declaration     decl.Declaration
	resultIndex     map[string]int // index in Results plus droppedResults, by command ID
	droppedResults  int
	sortedInstances []world.Instance // cached; nil after a change of Instances
}

func newState() state {
	return state{Serving: map[string]string{}, Instances: map[string]world.Instance{}, resultIndex: map[string]int{}}
}

// rebuildIndexes rebuilds the fields that a snapshot does not contain.
func (s *state) rebuildIndexes() error {
	if len(s.Declaration) > 0 {
		if err := json.Unmarshal(s.Declaration, &s.declaration); err != nil {
			return Error.Wrap(err)
		}
	}
	for i, a := range s.Results {
		s.resultIndex[a.ID] = i
	}
	return nil
}

// run applies a command and stores its result.
func (s *state) run(index uint64, cmd []byte) Result {
	var c Command
	if err := json.Unmarshal(cmd, &c); err != nil {
		s.Applied = max(s.Applied, index)
		return refuse(Invalid, "cannot be read: %v", err).withIndex(index)
	}
	if c.ID == "" {
		s.Applied = max(s.Applied, index)
		return refuse(Invalid, "has no id").withIndex(index)
	}
	hash := c.contentHash()
	if i, ok := s.resultIndex[c.ID]; ok {
		s.Applied = max(s.Applied, index)
		a := s.Results[i-s.droppedResults]
		if a.ContentHash != hash {
			return refuse(Reused, "id %q belongs to another command", c.ID).withIndex(index)
		}
		return a.Result
	}
	if index <= s.Applied {
		return refuse(Invalid, "index %d has been applied and its answer dropped", index).withIndex(index)
	}
	s.Applied = index
	r := s.dispatch(index, c).withIndex(index)
	// A newer leader may repeat a command that an older leader issued too late. The
	// refusal of the first one must not become the result of the second one.
	if r.Code != Fenced {
		s.storeResult(storedResult{c.ID, hash, r})
	}
	return r
}

func (r Result) withIndex(index uint64) Result {
	r.Index = index
	return r
}

func refuse(code, format string, args ...any) Result {
	return Result{Code: code, Message: fmt.Sprintf(format, args...)}
}

func (s *state) storeResult(a storedResult) {
	s.resultIndex[a.ID] = s.droppedResults + len(s.Results)
	s.Results = append(s.Results, a)
	if len(s.Results) <= MaxResults {
		return
	}
	delete(s.resultIndex, s.Results[0].ID)
	s.Results[0] = storedResult{}
	s.Results = s.Results[1:]
	s.droppedResults++
}

func (s *state) dispatch(index uint64, c Command) Result {
	if c.Op.isFenced() {
		if c.Term < s.Term {
			return refuse(Fenced, "term %d is older than %d", c.Term, s.Term)
		}
		if c.Term > s.Term {
			s.Term, s.Version = c.Term, index
		}
	}
	switch c.Op {
	case OpApplyDeclaration:
		return s.applyDeclaration(index, c)
	case OpSetPreset:
		return s.setPreset(index, c)
	case OpStartMove:
		return s.startMove(index, c)
	case OpRollBack:
		c.Outcome = world.TakenBack
		return s.endMove(index, c)
	case OpEndMove:
		return s.endMove(index, c)
	case OpSetShare:
		return s.setShare(index, c)
	case OpRecordInstance, OpSetPhase, OpRecordCleaned:
		return s.updateInstance(index, c)
	case OpRecordPurchase:
		return s.recordPurchase(index, c)
	case OpControllerState:
		return s.setControllerState(index, c)
	case OpFence:
		return Result{Version: s.Term}
	}
	return refuse(Invalid, "operation %q is unknown", c.Op)
}

// markConfigChange records a change that entry instances need.
func (s *state) markConfigChange(index uint64) { s.Version, s.ConfigVersion = index, index }

func (s *state) applyDeclaration(index uint64, c Command) Result {
	if c.ExpectVersion != s.DeclarationChange.Version {
		r := refuse(Conflict, "the declaration has version %d, not %d; %s applied it at %s",
			s.DeclarationChange.Version, c.ExpectVersion, s.DeclarationChange.By, s.DeclarationChange.At.Format(time.RFC3339Nano))
		r.Version, r.By, r.At = s.DeclarationChange.Version, s.DeclarationChange.By, s.DeclarationChange.At
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
	s.DeclarationChange = Change{index, c.By, c.At}
	if preset != s.Preset {
		s.changePreset(index, preset, c)
	}
	s.updateServing(index)
	s.markConfigChange(index)
	return Result{Version: index}
}

// updateServing adds new services and removes those that are no longer declared.
func (s *state) updateServing(index uint64) {
	for name := range s.Serving {
		if _, ok := s.declaration.Service(name); !ok {
			delete(s.Serving, name)
			s.ServingIndex = index
		}
	}
	for _, svc := range s.declaration.Services {
		if _, ok := s.Serving[svc.Name]; !ok {
			s.Serving[svc.Name] = svc.Version
			s.ServingIndex = index
		}
	}
}

func (s *state) setPreset(index uint64, c Command) Result {
	if c.ExpectVersion != 0 && c.ExpectVersion != s.PresetChange.Version {
		r := refuse(Conflict, "preset %q has version %d, not %d; %s set it at %s",
			s.Preset, s.PresetChange.Version, c.ExpectVersion, s.PresetChange.By, s.PresetChange.At.Format(time.RFC3339Nano))
		r.Version, r.By, r.At = s.PresetChange.Version, s.PresetChange.By, s.PresetChange.At
		return r
	}
	if _, ok := s.declaration.PresetNamed(c.Preset); !ok {
		return refuse(Unknown, "preset %q is not declared", c.Preset)
	}
	s.changePreset(index, c.Preset, c)
	s.markConfigChange(index)
	return Result{Version: index}
}

// changePreset activates a preset. It keeps the previous preset and the time of the
// change, which the fleet needs for the transition. Setting the active preset again does
// not restart the transition.
func (s *state) changePreset(index uint64, name string, c Command) {
	if name != s.Preset {
		s.PreviousPreset, s.PresetSince = s.Preset, c.At
	}
	s.Preset, s.PresetChange = name, Change{index, c.By, c.At}
}

func (s *state) startMove(index uint64, c Command) Result {
	svc, ok := s.declaration.Service(c.Service)
	if !ok {
		return refuse(Unknown, "service %q is not declared", c.Service)
	}
	if !svc.HasVersion(c.ToVersion) {
		return refuse(Unknown, "version %q of service %q is not declared", c.ToVersion, c.Service)
	}
	from := s.Serving[c.Service]
	if from == c.ToVersion {
		return refuse(Invalid, "version %q serves already", c.ToVersion)
	}
	if !c.Deadline.After(c.At) {
		return refuse(Invalid, "the deadline %s is not in the future", c.Deadline.Format(time.RFC3339))
	}
	for i, m := range s.Moves {
		if m.Service == c.Service && m.Outcome == "" {
			r := refuse(MoveRunning, "%s started move %q at %s", m.By, m.ID, m.Started.Format(time.RFC3339Nano))
			r.By, r.At, r.Move = m.By, m.Started, s.moveCopy(i)
			return r
		}
		if m.ID == c.ID {
			return refuse(Reused, "move %q exists", c.ID)
		}
	}
	s.Moves = append(s.Moves, Move{
		Move: world.Move{
			ID: c.ID, Service: c.Service, From: from, To: c.ToVersion,
			Started: c.At, Deadline: c.Deadline.UTC(), ShareAt: c.At,
		},
		By: c.By, StartIndex: index, Version: index,
	})
	s.markConfigChange(index)
	return Result{Version: index, Move: s.moveCopy(len(s.Moves) - 1)}
}

func (s *state) moveCopy(i int) *Move {
	m := s.Moves[i]
	return &m
}

// findRunningMove returns the index of a move in Moves, or a refusal if the move does
// not exist or has ended.
func (s *state) findRunningMove(id string) (int, *Result) {
	for i, m := range s.Moves {
		switch {
		case m.ID != id:
		case m.Outcome == "":
			return i, nil
		default:
			r := refuse(MoveEnded, "%s ended move %q as %s at %s", m.EndedBy, id, m.Outcome, m.Ended.Format(time.RFC3339Nano))
			r.Version, r.By, r.At, r.Move = m.Version, m.EndedBy, m.Ended, s.moveCopy(i)
			return 0, &r
		}
	}
	r := refuse(Unknown, "move %q does not exist", id)
	return 0, &r
}

func (s *state) setShare(index uint64, c Command) Result {
	i, r := s.findRunningMove(c.MoveID)
	if r != nil {
		return *r
	}
	if !(c.Share >= 0 && c.Share <= 1) {
		return refuse(Invalid, "share is %g; want 0 to 1", c.Share)
	}
	m := &s.Moves[i]
	m.Move, m.Version = m.WithShare(c.Share, c.At), index
	s.markConfigChange(index)
	return Result{Version: index, Move: s.moveCopy(i)}
}

func (s *state) endMove(index uint64, c Command) Result {
	i, r := s.findRunningMove(c.MoveID)
	if r != nil {
		return *r
	}
	if c.Outcome != world.Done && c.Outcome != world.TakenBack {
		return refuse(Invalid, "outcome is %q; want %q or %q", c.Outcome, world.Done, world.TakenBack)
	}
	m := &s.Moves[i]
	m.Move, m.EndedBy, m.Version = m.WithOutcome(c.Outcome, c.Reason, c.At), c.By, index
	if c.Outcome == world.Done {
		s.Serving[m.Service], s.ServingIndex = m.To, index
	}
	s.markConfigChange(index)
	ended := s.moveCopy(i)
	s.Moves = trimMoves(s.Moves)
	return Result{Version: index, Move: ended}
}

// trimMoves removes the oldest ended moves if there are more than MaxEndedMoves.
func trimMoves(all []Move) []Move {
	ended := 0
	for _, m := range all {
		if m.Outcome != "" {
			ended++
		}
	}
	kept := make([]Move, 0, len(all))
	for _, m := range all {
		if m.Outcome != "" && ended > MaxEndedMoves {
			ended--
			continue
		}
		kept = append(kept, m)
	}
	return kept
}

func (s *state) updateInstance(index uint64, c Command) Result {
	s.sortedInstances = nil
	if c.Op == OpRecordInstance {
		if c.Instance == nil || c.Instance.RequestID == "" {
			return refuse(Invalid, "the instance has no request id")
		}
		c.RequestID, c.Phase = c.Instance.RequestID, c.Instance.Phase
		s.Instances[c.RequestID] = *c.Instance
	}
	i, ok := s.Instances[c.RequestID]
	if !ok {
		return refuse(Unknown, "instance %q is not recorded", c.RequestID)
	}
	switch {
	case c.Op == OpRecordCleaned:
		i.Cleaned = c.At
	case c.Op == OpSetPhase && c.Phase == "":
		return refuse(Invalid, "the phase is empty")
	case c.Op == OpSetPhase:
		i = i.WithPhase(c.Phase, c.At)
	}
	s.Instances[c.RequestID] = i
	if i.Phase == PhaseGone {
		delete(s.Instances, c.RequestID)
	}
	s.Version = index
	return Result{Version: index}
}

func (s *state) recordPurchase(index uint64, c Command) Result {
	if c.PurchaseNumber != s.PurchaseCount+1 {
		return refuse(Conflict, "purchase %d is not the next one after %d", c.PurchaseNumber, s.PurchaseCount)
	}
	c.Op = OpRecordInstance
	r := s.updateInstance(index, c)
	if r.Code == "" {
		s.PurchaseCount = c.PurchaseNumber
	}
	return r
}

func (s *state) setControllerState(index uint64, c Command) Result {
	if c.StateName == "" || len(c.StateBody) == 0 {
		return refuse(Invalid, "the notes have no name or body")
	}
	if s.ControllerStates == nil {
		s.ControllerStates = map[string]json.RawMessage{}
	}
	s.ControllerStates[c.StateName] = c.StateBody
	s.Version = index
	return Result{Version: index}
}
