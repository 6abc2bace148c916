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

// View is the state at one version. It is immutable: change nothing in it.
type View struct {
	// Version is the raft index of the last change, Config the one of the last
	// change that entry instances need. Neither ever falls.
	Version, Config uint64
	// Declaration is empty until the first one is applied.
	Declaration decl.Declaration
	Declared    Set
	Preset      string // in force
	PresetSet   Set
	Moves       []Move // running ones and the newest ended ones, in order of their start
	// Serving is the version of each service that serves outside of a move.
	Serving        map[string]string
	servingVersion uint64
	// Shares is the share of the traffic, 0 to 1, of each version of a service.
	Shares map[string]map[string]float64
	// Instances is in order of the request ids; entry instances do not get it.
	Instances []world.Instance
	// Term is the highest leader term of a fenced command.
	Term uint64
	// Previous is the preset before the one in force; empty if there was none.
	Previous string
	PresetAt time.Time                  // of the change from Previous
	Bought   uint64                     // purchases ever recorded
	Notes    map[string]json.RawMessage // of controllers, by name
}

func (s *state) view() *View {
	v := &View{
		Version: s.Version, Config: s.Config, Declaration: s.declaration, Declared: s.Declared,
		Preset: s.Preset, PresetSet: s.PresetSet, Moves: append([]Move{}, s.Moves...),
		Serving: maps.Clone(s.Serving), servingVersion: s.ServingVersion, Term: s.Term,
		Previous: s.Previous, PresetAt: s.PresetAt, Bought: s.Bought, Notes: maps.Clone(s.Notes),
	}
	v.Instances = s.instances()
	v.Shares = shares(v)
	return v
}

// instances returns the records in order, sorted anew only after a change: with
// thousands of instances that costs more than everything else in a view.
func (s *state) instances() []world.Instance {
	if s.sorted != nil {
		return s.sorted
	}
	s.sorted = make([]world.Instance, 0, len(s.Instances))
	for _, i := range s.Instances {
		s.sorted = append(s.sorted, i)
	}
	slices.SortFunc(s.sorted, func(a, b world.Instance) int { return cmp.Compare(a.RequestID, b.RequestID) })
	return s.sorted
}

func shares(v *View) map[string]map[string]float64 {
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

// Move returns the move with the given id.
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

// PresetInForce returns the declared preset that is in force.
func (v *View) PresetInForce() decl.Preset {
	p, _ := v.Declaration.PresetNamed(v.Preset)
	return p
}

// delta is what a watcher does not know.
type delta struct {
	Config         uint64            `json:"config"`
	Declaration    *decl.Declaration `json:"declaration,omitempty"`
	Declared       *Set              `json:"declared,omitempty"`
	Preset         string            `json:"preset,omitempty"`
	PresetSet      *Set              `json:"presetSet,omitempty"`
	Moves          []Move            `json:"moves,omitempty"`
	Serving        map[string]string `json:"serving,omitempty"`
	ServingVersion uint64            `json:"servingVersion,omitempty"`
}

// Delta returns what entry instances need that changed after version after of
// Config; 0 returns everything. Instances are left out.
func (v *View) Delta(after uint64) []byte {
	d := delta{Config: v.Config}
	if v.Declared.Version > after {
		d.Declaration, d.Declared = &v.Declaration, &v.Declared
	}
	if v.PresetSet.Version > after {
		d.Preset, d.PresetSet = v.Preset, &v.PresetSet
	}
	if v.servingVersion > after {
		d.Serving, d.ServingVersion = v.Serving, v.servingVersion
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

// WithDelta returns the view that results from a delta after v.Config. A delta
// that is not newer changes nothing, so versions never fall.
func (v *View) WithDelta(b []byte) (*View, error) {
	var d delta
	if err := json.Unmarshal(b, &d); err != nil {
		return nil, Error.Wrap(err)
	}
	if d.Config <= v.Config {
		return v, nil
	}
	next := *v
	next.Version, next.Config = d.Config, d.Config
	if d.Declared != nil && d.Declaration != nil {
		next.Declaration, next.Declared = *d.Declaration, *d.Declared
	}
	if d.PresetSet != nil {
		next.Preset, next.PresetSet = d.Preset, *d.PresetSet
	}
	if d.ServingVersion > 0 {
		next.Serving, next.servingVersion = d.Serving, d.ServingVersion
	}
	next.Moves = mergeMoves(v.Moves, d.Moves)
	next.Shares = shares(&next)
	return &next, nil
}

func mergeMoves(old, changed []Move) []Move {
	out := slices.Clone(old)
	for _, m := range changed {
		i := slices.IndexFunc(out, func(o Move) bool { return o.Start == m.Start })
		if i < 0 {
			out = append(out, m)
			continue
		}
		out[i] = m
	}
	slices.SortFunc(out, func(a, b Move) int { return cmp.Compare(a.Start, b.Start) })
	return trimMoves(out)
}
