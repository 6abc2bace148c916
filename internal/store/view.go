package store

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"cranberrypath.example/cranberrypath/internal/world"
	"cranberrypath.example/cranberrypath/pkg/decl"
)

// View is the state at one version. It is shared and must not be modified.
type View struct {
	// Version is the raft index of the last change, Config that of the last change
	// that entry instances need. Neither ever decreases.
	Version, Config uint64
	// Declaration is empty until the first one is applied.
	Declaration decl.Declaration
	Declared    Change
	Preset      string // name of the active preset
	PresetSet   Change
	Moves       []Move // running and most recently ended moves, in order of their start
	// Serving is the version of each service that receives the traffic outside of a
	// move.
	Serving      map[string]string
	servingIndex uint64
	// Shares is the traffic share, 0 to 1, by service and version.
	Shares map[string]map[string]float64
	// Instances is sorted by request ID. It is not sent to entry instances.
	Instances []world.Instance
	// Term is the highest leader term of any fenced command.
	Term uint64
	// Previous is the preset before the active one; empty if there was none.
	Previous string
	PresetAt time.Time                  // time of the change from Previous
	Bought   uint64                     // number of purchases ever recorded
	Notes    map[string]json.RawMessage // state entries of the controllers, by name
}

func (s *state) buildView() *View {
	v := &View{
		Version: s.Version, Config: s.ConfigVersion, Declaration: s.declaration, Declared: s.DeclarationChange,
		Preset: s.Preset, PresetSet: s.PresetChange, Moves: append([]Move{}, s.Moves...),
		Serving: maps.Clone(s.Serving), servingIndex: s.ServingIndex, Term: s.Term,
		Previous: s.PreviousPreset, PresetAt: s.PresetSince, Bought: s.PurchaseCount, Notes: maps.Clone(s.ControllerStates),
	}
	v.Instances = s.orderedInstances()
	v.Shares = trafficShares(v)
	return v
}

// orderedInstances returns the instance records sorted by request ID. The result is
// cached until the next change: with thousands of instances, sorting costs more than
// the rest of building a view.
func (s *state) orderedInstances() []world.Instance {
	if s.sortedInstances != nil {
		return s.sortedInstances
	}
	s.sortedInstances = make([]world.Instance, 0, len(s.Instances))
	for _, i := range s.Instances {
		s.sortedInstances = append(s.sortedInstances, i)
	}
	slices.SortFunc(s.sortedInstances, func(a, b world.Instance) int { return cmp.Compare(a.RequestID, b.RequestID) })
	return s.sortedInstances
}

func trafficShares(v *View) map[string]map[string]float64 {
	out := map[string]map[string]float64{}
	for service, version := range v.Serving {
		out[service] = map[string]float64{version: 1}
	}
	for _, m := range v.Moves {
		if m.Outcome == "" {
			out[m.Service] = map[string]float64{m.From: 1 - m.Share, m.To: m.Share}
		}
	}
	return out
}

// Move returns the move with the given ID.
func (v *View) Move(id string) (Move, bool) {
	for _, m := range v.Moves {
		if m.ID == id {
			return m, true
		}
	}
	return Move{}, false
}

// Running returns the running move of a service.
func (v *View) Running(service string) (Move, bool) {
	for _, m := range v.Moves {
		if m.Service == service && m.Outcome == "" {
			return m, true
		}
	}
	return Move{}, false
}

// PresetInForce returns the declaration of the active preset.
func (v *View) PresetInForce() decl.Preset {
	p, _ := v.Declaration.PresetNamed(v.Preset)
	return p
}

// delta is the encoded change of a view between two versions.
type delta struct {
	ConfigVersion     uint64            `json:"config"`
	Declaration       *decl.Declaration `json:"declaration,omitempty"`
	DeclarationChange *Change           `json:"declared,omitempty"`
	Preset            string            `json:"preset,omitempty"`
	PresetChange      *Change           `json:"presetSet,omitempty"`
	Moves             []Move            `json:"moves,omitempty"`
	Serving           map[string]string `json:"serving,omitempty"`
	ServingIndex      uint64            `json:"servingVersion,omitempty"`
}

// Delta returns the encoded changes after version after of Config that entry instances
// need; 0 returns the whole state. Instance records are left out.
func (v *View) Delta(after uint64) []byte {
	d := delta{ConfigVersion: v.Config}
	if v.Declared.Version > after {
		d.Declaration, d.DeclarationChange = &v.Declaration, &v.Declared
	}
	if v.PresetSet.Version > after {
		d.Preset, d.PresetChange = v.Preset, &v.PresetSet
	}
	if v.servingIndex > after {
		d.Serving, d.ServingIndex = v.Serving, v.servingIndex
	}
	for _, m := range v.Moves {
		if m.Version > after {
			d.Moves = append(d.Moves, m)
		}
	}
	b, err := json.Marshal(d)
	if err != nil {
		panic(err) // plain data always marshals
	}
	return b
}

// WithDelta returns the view with a delta applied. The delta must have been created for
// v.Config. A delta that is not newer is ignored, so that versions never decrease.
func (v *View) WithDelta(b []byte) (*View, error) {
	var d delta
	if err := json.Unmarshal(b, &d); err != nil {
		return nil, Error.Wrap(err)
	}
	if d.ConfigVersion <= v.Config {
		return v, nil
	}
	next := *v
	next.Version, next.Config = d.ConfigVersion, d.ConfigVersion
	if d.DeclarationChange != nil && d.Declaration != nil {
		next.Declaration, next.Declared = *d.Declaration, *d.DeclarationChange
	}
	if d.PresetChange != nil {
		next.Preset, next.PresetSet = d.Preset, *d.PresetChange
	}
	if d.ServingIndex > 0 {
		next.Serving, next.servingIndex = d.Serving, d.ServingIndex
	}
	next.Moves = mergeMoves(v.Moves, d.Moves)
	next.Shares = trafficShares(&next)
	return &next, nil
}

func mergeMoves(old, changed []Move) []Move {
	out := slices.Clone(old)
	for _, m := range changed {
		i := slices.IndexFunc(out, func(o Move) bool { return o.StartIndex == m.StartIndex })
		if i < 0 {
			out = append(out, m)
			continue
		}
		out[i] = m
	}
	slices.SortFunc(out, func(a, b Move) int { return cmp.Compare(a.StartIndex, b.StartIndex) })
	return trimMoves(out)
}
