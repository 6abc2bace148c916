package decl

import (
	"fmt"
	"strings"
	"testing"
)

const sampleDeclaration = `{
  "dataCentres": [{"name": "dc1", "region": "r1", "zones": ["z1"]}, {"name": "dc2", "region": "r1", "zones": ["z2"]}],
  "machineClasses": [{"name": "large", "accelerators": 4, "onDemandPrice": 8, "reclaimablePrice": 3}],
  "services": [
    {"name": "drafts", "kind": "model", "versions": ["v1", "v2"], "version": "v1", "machineClass": "large"},
    {"name": "orders", "kind": "plain", "versions": ["v1"], "version": "v1", "machineClass": "large", "path": "/orders",
     "routes": [{"method": "POST", "path": "/orders", "idempotent": false}, {"method": "POST", "path": "/orders/search", "idempotent": true}]},
  ],
  "organisations": [{"name": "acme", "keys": ["` + keyHash + `"], "weight": 2}],
  "presets": [{"name": "ordinary", "capacity": [{"service": "drafts", "min": 1, "max": 9}], "spareDataCentres": 1, "weights": {"acme": 5}}],
  "preset": "ordinary",
}`

// keyHash is the SHA-256 hash of "secret".
const keyHash = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"

func ExampleParse() {
	d, err := Parse("site.json", []byte(sampleDeclaration))
	if err != nil {
		fmt.Println(err)
		return
	}
	org, _ := d.OrganisationForKey("secret")
	s, _ := d.ServiceForPath("/orders/7")
	fmt.Println(org.Name, s.Name, s.Idempotent("POST", "/orders/7"), s.Idempotent("POST", "/orders/search"))
	// Output: acme orders false true
}

// Guards against a prefix that matches only part of a path segment.
func TestServiceForPath(t *testing.T) {
	d, err := Parse("site.json", []byte(sampleDeclaration))
	if err != nil {
		t.Fatal(err)
	}
	for path, want := range map[string]bool{"/orders": true, "/orders/7": true, "/ordersheet": false, "/": false} {
		if _, ok := d.ServiceForPath(path); ok != want {
			t.Errorf("%s: got %v, want %v", path, ok, want)
		}
	}
}

// Guards against invalid declarations being accepted.
func TestMistakes(t *testing.T) {
	tests := []struct{ name, old, new, want string }{
		{"kind", `"kind": "plain"`, `"kind": "other"`, `services.1.kind: is "other"; want`},
		{"version", `"version": "v1", "machineClass": "large"}`, `"version": "v3", "machineClass": "large"}`, "services.0.version"},
		{"reserved path", `"path": "/orders",`, `"path": "/v1/x",`, "services.1.path"},
		{"class", `"machineClass": "large"}`, `"machineClass": "huge"}`, "services.0.machineClass"},
		{"weight", `"weight": 2`, `"weight": 0`, "organisations.0.weight: is 0; want more than 0"},
		{"key", keyHash, "abc", "organisations.0.keys.0"},
		{"preset", `"preset": "ordinary"`, `"preset": "none"`, "preset: is \"none\"; want one of presets"},
		{"spare", `"spareDataCentres": 1`, `"spareDataCentres": 2`, "presets.0.spareDataCentres: is 2; want 0 to 1"},
		{"min above max", `"min": 1`, `"min": 10`, "want 0 <= min <= max"},
		{"unknown key", `"preset":`, `"presset":`, "presset: unknown key"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse("site.json", []byte(strings.Replace(sampleDeclaration, tt.old, tt.new, 1)))
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Fatalf("got %v, want %q", err, tt.want)
			}
		})
	}
}

// Guards against a declaration that changes when it is stored and read again.
func TestJSONRoundTrip(t *testing.T) {
	d, err := Parse("site.json", []byte(sampleDeclaration))
	if err != nil {
		t.Fatal(err)
	}
	again, err := Parse("site.json", d.JSON())
	if err != nil || string(again.JSON()) != string(d.JSON()) {
		t.Fatalf("changed by a round trip: %v", err)
	}
}

// Guards against panics while decoding hostile input.
func FuzzParse(f *testing.F) {
	f.Add([]byte(sampleDeclaration))
	f.Fuzz(func(_ *testing.T, b []byte) { _, _ = Parse("site.json", b) })
}
