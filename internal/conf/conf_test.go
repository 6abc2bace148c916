package conf

import (
	"strings"
	"testing"
)

const validSettings = `{
  // An entry instance with a disk.
  "node": "n1",
  "dataCentre": "dc1",
  "roles": ["entry", "control"],
  "listen": {"callers": "127.0.0.1:8101", "peers": "127.0.0.1:8201", "operators": "127.0.0.1:8301"},
  "seeds": ["127.0.0.1:8201"],
  "control": [{"node": "n1", "address": "127.0.0.1:8201", "dataCentre": "dc1"}],
  "dataFolder": "data", // relative to the working folder
}`

func TestDefaultsApply(t *testing.T) {
	s, err := Parse("s.json", []byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.Backends.LeaseMillis != 3000 || s.Cell != "main" || !s.HasRole("control") {
		t.Fatalf("wrong settings: %+v", s)
	}
}

// Guards against rejecting an empty cell, which was valid before cell names were
// validated.
func TestEmptyCell(t *testing.T) {
	s, err := Parse("s.json", []byte(strings.Replace(validSettings, `"node"`, `"cell": "", "node"`, 1)))
	if err != nil || s.Cell != "main" {
		t.Fatalf("cell %q, %v", s.Cell, err)
	}
}

// Guards against ignoring a mistake or reporting it without its line, key and the
// allowed range.
func TestOneMistakeEach(t *testing.T) {
	tests := []struct{ name, old, new, want string }{
		{"unknown key", `"node"`, `"nodes": 1, "node"`, "s.json:3: nodes: unknown key; allowed: node, region"},
		{"nested unknown key", `"peers":`, `"peer": "", "peers":`, "s.json:6: listen.peer: unknown key"},
		{"duplicate key", `"node": "n1"`, `"node": "n1", "node": "n2"`, "s.json:3: node: the key stands twice"},
		{"wrong type", `"n1",
  "dataCentre"`, `7,
  "dataCentre"`, "s.json:3: node: is a number, want a string"},
		{"bad role", `"entry", "control"]`, `"entry", "master", "control"]`, `s.json:5: roles.1: is "master"; want`},
		{"bad address", `"127.0.0.1:8101"`, `"localhost:8101"`, `s.json:6: listen.callers: is "localhost:8101"; want an IP address`},
		{"bad port", `"127.0.0.1:8101"`, `"127.0.0.1:81010"`, "listen.callers"},
		{"missing", `"dataFolder": "data",`, ``, "dataFolder: is missing"},
		{"claims beyond a snapshot", `"dataFolder"`, `"claimGroups": 1, "claimBytes": 104857600, "dataFolder"`, "s.json:9: claimBytes: is 104857600; want 1048576 to 100663296"},
		{"out of range", `"dataFolder"`, `"backends": {"leaseMillis": 5000}, "dataFolder"`, "s.json:9: backends.leaseMillis: is 5000; want 200 to 3000"},
		{"negative capacity", `"dataFolder"`, `"capacity": -0.5, "dataFolder"`, "s.json:9: capacity: is -0.5; want 0 to 1e+06"},
		{"bad cell", `"dataFolder"`, `"cell": "north/1", "dataFolder"`, `s.json:9: cell: is "north/1"; want 1 to 32 letters, digits`},
		{"half of tls", `"dataFolder"`, `"tls": {"key": "k.pem"}, "dataFolder"`, "s.json:9: tls: names only some of its files; want"},
		{"syntax", `"roles": [`, `"roles": (`, "s.json:5"},
		{"log level", `"dataFolder"`, `"logLevel": "all", "dataFolder"`, `logLevel: is "all"; want debug`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if !strings.Contains(validSettings, tt.old) {
				t.Fatal("the case does not change the settings")
			}
			_, err := Parse("s.json", []byte(strings.Replace(validSettings, tt.old, tt.new, 1)))
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Fatalf("got %v, want %q", err, tt.want)
			}
		})
	}
}

// Guards against panics on untrusted input.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"roles":{"a":[]},"control":[[]]}`))
	f.Fuzz(func(_ *testing.T, b []byte) { _, _ = Parse("s.json", b) })
}
