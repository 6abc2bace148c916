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
	// Path is dotted; an element of a list stands under its name where it has one.
	Path string          `json:"path"`
	Old  json.RawMessage `json:"old,omitempty"` // absent if added
	New  json.RawMessage `json:"new,omitempty"` // absent if removed
}

// diff returns the differences in order of their paths.
func diff(old, next decl.Declaration) ([]change, error) {
	var a, b any
	if err := json.Unmarshal(old.JSON(), &a); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := json.Unmarshal(next.JSON(), &b); err != nil {
		return nil, Error.Wrap(err)
	}
	out := []change{}
	compare("", a, b, &out)
	return out, nil
}

func compare(path string, a, b any, out *[]change) {
	ra, rb := raw(a), raw(b)
	if bytes.Equal(ra, rb) {
		return
	}
	ma, oka := fields(a)
	mb, okb := fields(b)
	if !oka || !okb {
		*out = append(*out, change{path, ra, rb})
		return
	}
	var keys []string
	for k := range ma {
		keys = append(keys, k)
	}
	for k := range mb {
		if _, both := ma[k]; !both {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	for _, k := range keys {
		sub := k
		if path != "" {
			sub = path + "." + k
		}
		compare(sub, ma[k], mb[k], out)
	}
}

func raw(v any) json.RawMessage {
	if v == nil {
		return nil
	}
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // decoded JSON always marshals
	}
	return b
}

// fields returns the members of an object, or of a list whose elements all have
// different names. An absent list has none.
func fields(v any) (map[string]any, bool) {
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
			if _, twice := out[key]; name == nil || twice {
				return nil, false
			}
			out[key] = e
		}
		return out, len(x) > 0
	}
	return nil, false
}
