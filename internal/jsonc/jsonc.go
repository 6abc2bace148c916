// Package jsonc strictly decodes JSON with comments and reports the location of
// mistakes, because silently ignoring a setting is worse than failing to start.
package jsonc

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("jsonc")

// Problem is a mistake in a document.
type Problem struct {
	File string
	Line int    // 1-based; 0 if unknown
	Key  string // dotted path, such as "listen.callers"
	Text string // what is wrong and what is allowed
}

func (p Problem) Error() string {
	switch {
	case p.Key == "":
		return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Text)
	case p.Line == 0:
		return fmt.Sprintf("%s: %s: %s", p.File, p.Key, p.Text)
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Key, p.Text)
}

// Doc is a decoded document that can report the lines of its keys.
type Doc struct {
	file  string
	bytes []byte
	root  hujson.Value
}

// Decode parses b into v, a pointer to a struct. It rejects duplicate keys and keys
// that v does not have; all of these are reported together.
func Decode(file string, b []byte, v any) (*Doc, error) {
	root, err := hujson.Parse(b)
	if err != nil {
		return nil, syntaxProblem(file, err)
	}
	d := &Doc{file: file, bytes: b, root: root}
	var problems []error
	d.checkKeys(&d.root, reflect.TypeOf(v), "", &problems)
	if len(problems) > 0 {
		return nil, errors.Join(problems...)
	}
	standard := root.Clone()
	standard.Standardize()
	dec := json.NewDecoder(bytes.NewReader(standard.Pack()))
	if err := dec.Decode(v); err != nil {
		return nil, d.typeProblem(err)
	}
	return d, nil
}

// Problem returns a mistake at the value with the given dotted path. If the
// document lacks the key, the line is that of the nearest enclosing value.
func (d *Doc) Problem(key, format string, args ...any) Problem {
	p := Problem{File: d.file, Key: key, Text: fmt.Sprintf(format, args...)}
	for path := "/" + strings.ReplaceAll(key, ".", "/"); ; {
		if v := d.root.Find(path); v != nil {
			p.Line = d.lineAt(v.StartOffset)
			return p
		}
		i := strings.LastIndexByte(path, '/')
		if i <= 0 {
			p.Line = 1
			return p
		}
		path = path[:i]
	}
}

func (d *Doc) lineAt(offset int) int {
	return 1 + bytes.Count(d.bytes[:min(offset, len(d.bytes))], []byte("\n"))
}

func (d *Doc) checkKeys(v *hujson.Value, t reflect.Type, path string, problems *[]error) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch x := v.Value.(type) {
	case *hujson.Object:
		seen := map[string]bool{}
		for i := range x.Members {
			m := &x.Members[i]
			name := m.Name.Value.(hujson.Literal).String()
			key := strings.TrimPrefix(path+"."+name, ".")
			if seen[name] {
				*problems = append(*problems, Problem{d.file, d.lineAt(m.Name.StartOffset), key, "duplicate key"})
			}
			seen[name] = true
			var ft reflect.Type
			switch t.Kind() {
			case reflect.Struct:
				ft = fieldType(t, name)
			case reflect.Map:
				ft = t.Elem()
			default:
				return // the decoder reports the type mismatch
			}
			if ft == nil {
				*problems = append(*problems, Problem{d.file, d.lineAt(m.Name.StartOffset), key, "unknown key; allowed: " + strings.Join(fieldNames(t), ", ")})
				continue
			}
			d.checkKeys(&m.Value, ft, key, problems)
		}
	case *hujson.Array:
		if t.Kind() != reflect.Slice && t.Kind() != reflect.Array {
			return
		}
		for i := range x.Elements {
			d.checkKeys(&x.Elements[i], t.Elem(), path+"."+strconv.Itoa(i), problems)
		}
	}
}

func fieldType(t reflect.Type, name string) reflect.Type {
	for i := range t.NumField() {
		if jsonName(t.Field(i)) == name {
			return t.Field(i).Type
		}
	}
	return nil
}

func fieldNames(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		if n := jsonName(t.Field(i)); n != "" {
			names = append(names, n)
		}
	}
	return names
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	switch {
	case name == "-" || !f.IsExported():
		return ""
	case name == "":
		return f.Name
	}
	return name
}

func (d *Doc) typeProblem(err error) error {
	var te *json.UnmarshalTypeError
	if errors.As(err, &te) {
		return d.Problem(te.Field, "is a %s, want %s", te.Value, kindName(te.Type))
	}
	return Problem{File: d.file, Line: 1, Text: err.Error()}
}

func kindName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a string"
	case reflect.Slice, reflect.Array:
		return "a list"
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Float32, reflect.Float64:
		return "a number"
	}
	return "a whole number"
}

// syntaxProblem extracts the line from a hujson error, which has the form
// "hujson: line L, column C: text".
func syntaxProblem(file string, err error) error {
	p := Problem{File: file, Line: 1, Text: err.Error()}
	var line, column int
	if n, _ := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &column); n == 2 {
		p.Line = line
	}
	return p
}
