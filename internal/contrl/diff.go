package contrl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"cranberrypath.example/cranberrypath/pkg/decl"
)

// change is one difference between two declarations.
type change struct {
	// Path is dotted. List elements are identified by name if they have one.
	Path string          `json:"path"`
	Old  json.RawMessage `json:"old,omitempty"` // absent if added
	New  json.RawMessage `json:"new,omitempty"` // absent if removed
}

// diffDeclarations returns the differences, sorted by path.
func diffDeclarations(old, next decl.Declaration) ([]change, error) {
	var a, b any
	if err := json.Unmarshal(old.JSON(), &a); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := json.Unmarshal(next.JSON(), &b); err != nil {
		return nil, Error.Wrap(err)
	}
	out := []change{}
	appendChanges("", a, b, &out)
	return out, nil
}

func appendChanges(path string, a, b any, out *[]change) {
	rawA, rawB := marshal(a), marshal(b)
	if bytes.Equal(rawA, rawB) {
		return
	}
	childrenA, oka := childrenByName(a)
	childrenB, okb := childrenByName(b)
	if !oka || !okb {
		*out = append(*out, change{path, rawA, rawB})
		return
	}
	var keys []string
	for k := range childrenA {
		keys = append(keys, k)
	}
	for k := range childrenB {
		if _, both := childrenA[k]; !both {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	for _, k := range keys {
		sub := k
		if path != "" {
			sub = path + "." + k
		}
		appendChanges(sub, childrenA[k], childrenB[k], out)
	}
}

func marshal(v any) json.RawMessage {
	if v == nil {
		return nil
	}
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // decoded JSON always marshals
	}
	return b
}

// childrenByName returns the members of an object, or the elements of a non-empty
// list by their distinct names. It returns false for all other values.
func childrenByName(v any) (map[string]any, bool) {
	switch x := v.(type) {
	case map[string]any:
		return x, true
	case []any:
		out := map[string]any{}
		for _, e := range x {
			m, _ := e.(map[string]any)
			name := m["name"]
			if name == nil {
				name = m["service"]
			}
			key := fmt.Sprint(name)
			if _, duplicate := out[key]; name == nil || duplicate {
				return nil, false
			}
			out[key] = e
		}
		return out, len(x) > 0
	}
	return nil, false
}
