// Package decl defines the declaration: what a deployment shall serve, for whom
// and under which presets. Operators keep it in version control and apply it;
// the system decides how to fulfil it.
package decl

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"cranberrypath.example/cranberrypath/internal/jsonc"
)

// Error is the class of this package's errors.
var Error = errs.Class("declaration")

// Kinds of service.
const (
	Model = "model" // generates tokens and speaks the model engine contract
	Plain = "plain" // any HTTP application
)

// Declaration is everything that operators declare. Values are immutable once
// parsed; the With methods return changed copies.
type Declaration struct {
	DataCentres   []DataCentre   `json:"dataCentres"`
	Classes       []MachineClass `json:"machineClasses"`
	Services      []Service      `json:"services"`
	Organisations []Organisation `json:"organisations"`
	Presets       []Preset       `json:"presets"`
	// Preset is the preset to put in force with this declaration; empty leaves
	// the one in force.
	Preset   string     `json:"preset,omitempty"`
	Cleaning Cleaning   `json:"cleaning"`
	Moves    MovePolicy `json:"moves"`
}

// DataCentre is one site.
type DataCentre struct {
	Name   string   `json:"name"`
	Region string   `json:"region"`
	Zones  []string `json:"zones"`
}

// MachineClass is a type of instance that the cloud offers. Prices are only
// expectations; the cloud's current prices go before them.
type MachineClass struct {
	Name             string  `json:"name"`
	Accelerators     int     `json:"accelerators"`
	OnDemandPrice    float64 `json:"onDemandPrice"`    // currency units an hour
	ReclaimablePrice float64 `json:"reclaimablePrice"` // currency units an hour
}

// Service is a model or a plain application.
type Service struct {
	Name     string   `json:"name"`
	Kind     string   `json:"kind"`
	Versions []string `json:"versions"` // versions that may run
	Version  string   `json:"version"`  // serves until the first version move
	Class    string   `json:"machineClass"`
	// Path is the path prefix of a plain service's calls, such as "/orders/".
	Path   string  `json:"path,omitempty"`
	Routes []Route `json:"routes,omitempty"`
	Target Target  `json:"target"`
	// Slots is how many requests one backend server runs at the same time
	// within the target.
	Slots int `json:"slots"`
	// TimeoutSeconds bounds one plain call, in seconds.
	TimeoutSeconds int `json:"timeoutSeconds,omitempty"`
}

// Route says whether the calls of a path prefix and method are idempotent. The
// longest matching path decides; without a match GET, HEAD and OPTIONS are
// idempotent and nothing else is.
type Route struct {
	Method     string `json:"method"` // "*" for any
	Path       string `json:"path"`
	Idempotent bool   `json:"idempotent"`
}

// Target is the latency that 95 in 100 requests shall meet.
type Target struct {
	FirstTokenMillis    float64 `json:"firstTokenMillis"`
	BetweenTokensMillis float64 `json:"betweenTokensMillis"`
}

// Organisation is a customer. Its callers present one of its keys.
type Organisation struct {
	Name string `json:"name"`
	// Keys are SHA-256 hashes (hex) of the keys its callers present, so that
	// the declaration can be kept in version control.
	Keys   []string `json:"keys"`
	Weight float64  `json:"weight"` // share of capacity when it is scarce
}

// Preset is a named set of settings of which exactly one is in force.
type Preset struct {
	Name     string     `json:"name"`
	Capacity []Capacity `json:"capacity"`
	// OnDemandShare is the least share of instances bought on demand, 0 to 1.
	OnDemandShare float64 `json:"onDemandShare"`
	// SpareDataCentres is how many data centres may be lost without losing
	// capacity below the minimum.
	SpareDataCentres int `json:"spareDataCentres"`
	// Weights replace the weights of organisations while the preset is in force.
	Weights map[string]float64 `json:"weights,omitempty"`
	// LongShare bounds the share of slots that long reviews may take, 0 to 1.
	LongShare float64 `json:"longShare"`
	// PaceSeconds spreads the change to this preset over a time, in seconds.
	PaceSeconds int `json:"paceSeconds"`
	// CleaningAllowed says whether weekly cleaning goes on under the preset.
	CleaningAllowed bool `json:"cleaningAllowed"`
}

// Capacity bounds how many instances serve a service.
type Capacity struct {
	Service string `json:"service"`
	Min     int    `json:"min"`
	Max     int    `json:"max"`
}

// Cleaning is the weekly cleaning of every backend server.
type Cleaning struct {
	EveryHours   int `json:"everyHours"`   // at most 168
	MaxAtOnce    int `json:"maxAtOnce"`    // backend servers emptied at the same time
	DrainMinutes int `json:"drainMinutes"` // longest time for running work to finish
}

// MovePolicy bounds how version moves are judged.
type MovePolicy struct {
	FirstShare  float64 `json:"firstShare"`  // traffic share of the first step, 0 to 0.1
	SoakSeconds int     `json:"soakSeconds"` // at full share while the old version can take all back
	// FalseAlarm is the accepted probability that a good version is taken back.
	FalseAlarm float64 `json:"falseAlarm"`
}

// Parse reads and checks a declaration in JSON with comments. file is used in
// messages only. All mistakes are reported together.
func Parse(file string, b []byte) (Declaration, error) {
	var d Declaration
	doc, err := jsonc.Decode(file, b, &d)
	if err != nil {
		return Declaration{}, Error.Wrap(err)
	}
	d = d.withDefaults()
	var found []error
	d.check(func(key, format string, args ...any) { found = append(found, doc.Problem(key, format, args...)) })
	if len(found) > 0 {
		return Declaration{}, Error.Wrap(errors.Join(found...))
	}
	return d, nil
}

func (d Declaration) withDefaults() Declaration {
	if d.Cleaning == (Cleaning{}) {
		d.Cleaning = Cleaning{EveryHours: 168, MaxAtOnce: 1, DrainMinutes: 30}
	}
	if d.Moves == (MovePolicy{}) {
		d.Moves = MovePolicy{FirstShare: 0.01, SoakSeconds: 60, FalseAlarm: 0.01}
	}
	services := make([]Service, len(d.Services))
	for i, s := range d.Services {
		if s.Slots == 0 {
			s.Slots = 8
		}
		if s.TimeoutSeconds == 0 {
			s.TimeoutSeconds = 30
		}
		if s.Kind == Model && s.Target == (Target{}) {
			s.Target = Target{FirstTokenMillis: 950, BetweenTokensMillis: 37}
		}
		services[i] = s
	}
	d.Services = services
	return d
}

type problemFunc func(key, format string, args ...any)

func (d Declaration) check(problem problemFunc) {
	d.checkPlaces(problem)
	d.checkServices(problem)
	d.checkOrganisations(problem)
	d.checkPresets(problem)
	within(problem, "cleaning.everyHours", d.Cleaning.EveryHours, 1, 168)
	within(problem, "cleaning.maxAtOnce", d.Cleaning.MaxAtOnce, 1, 1000)
	within(problem, "cleaning.drainMinutes", d.Cleaning.DrainMinutes, 1, 24*60)
	share(problem, "moves.firstShare", d.Moves.FirstShare, 0.001, 0.1)
	within(problem, "moves.soakSeconds", d.Moves.SoakSeconds, 1, 7*24*3600)
	share(problem, "moves.falseAlarm", d.Moves.FalseAlarm, 0.0001, 0.1)
}

func (d Declaration) checkPlaces(problem problemFunc) {
	seen := map[string]bool{}
	for i, c := range d.DataCentres {
		unique(problem, "dataCentres."+strconv.Itoa(i)+".name", c.Name, seen)
	}
	seen = map[string]bool{}
	for i, c := range d.Classes {
		key := "machineClasses." + strconv.Itoa(i)
		unique(problem, key+".name", c.Name, seen)
		if c.OnDemandPrice < 0 || c.ReclaimablePrice < 0 {
			problem(key, "has a negative price; want 0 or more")
		}
	}
}

func (d Declaration) checkServices(problem problemFunc) {
	seen := map[string]bool{}
	for i, s := range d.Services {
		key := "services." + strconv.Itoa(i)
		unique(problem, key+".name", s.Name, seen)
		if s.Kind != Model && s.Kind != Plain {
			problem(key+".kind", "is %q; want %q or %q", s.Kind, Model, Plain)
		}
		if s.Kind == Plain && (!strings.HasPrefix(s.Path, "/") || strings.HasPrefix(s.Path, "/v1/")) {
			problem(key+".path", "is %q; want a path that starts with \"/\" and not with \"/v1/\"", s.Path)
		}
		if !s.HasVersion(s.Version) {
			problem(key+".version", "is %q; want one of versions", s.Version)
		}
		if _, ok := d.Class(s.Class); !ok && len(d.Classes) > 0 {
			problem(key+".machineClass", "is %q; want one of machineClasses", s.Class)
		}
		within(problem, key+".slots", s.Slots, 1, 100_000)
		within(problem, key+".timeoutSeconds", s.TimeoutSeconds, 1, 3600)
		for j, o := range d.Services[:i] {
			if s.Kind == Plain && o.Kind == Plain && s.Path == o.Path {
				problem(key+".path", "is also the path of services.%d", j)
			}
		}
	}
}

func (d Declaration) checkOrganisations(problem problemFunc) {
	seen, keys := map[string]bool{}, map[string]bool{}
	for i, o := range d.Organisations {
		key := "organisations." + strconv.Itoa(i)
		unique(problem, key+".name", o.Name, seen)
		if o.Weight <= 0 || o.Weight > 1e6 {
			problem(key+".weight", "is %g; want more than 0 and at most 1000000", o.Weight)
		}
		for j, k := range o.Keys {
			if b, err := hex.DecodeString(k); err != nil || len(b) != sha256.Size || keys[k] {
				problem(key+".keys."+strconv.Itoa(j), "want a SHA-256 hash in 64 hex digits that no other organisation has")
			}
			keys[k] = true
		}
	}
}

func (d Declaration) checkPresets(problem problemFunc) {
	seen := map[string]bool{}
	for i, p := range d.Presets {
		key := "presets." + strconv.Itoa(i)
		unique(problem, key+".name", p.Name, seen)
		share(problem, key+".onDemandShare", p.OnDemandShare, 0, 1)
		share(problem, key+".longShare", p.LongShare, 0, 1)
		within(problem, key+".spareDataCentres", p.SpareDataCentres, 0, max(len(d.DataCentres)-1, 0))
		within(problem, key+".paceSeconds", p.PaceSeconds, 0, 24*3600)
		for j, c := range p.Capacity {
			ck := key + ".capacity." + strconv.Itoa(j)
			if _, ok := d.Service(c.Service); !ok {
				problem(ck+".service", "is %q; want one of services", c.Service)
			}
			if c.Min < 0 || c.Max < c.Min {
				problem(ck, "has min %d and max %d; want 0 <= min <= max", c.Min, c.Max)
			}
		}
		for org, w := range p.Weights {
			if _, ok := d.Organisation(org); !ok || w <= 0 {
				problem(key+".weights."+org, "want a declared organisation and a weight above 0")
			}
		}
	}
	if len(d.Presets) == 0 {
		problem("presets", "is missing; want at least one preset")
	}
	if _, ok := d.PresetNamed(d.Preset); d.Preset != "" && !ok {
		problem("preset", "is %q; want one of presets", d.Preset)
	}
}

func unique(problem problemFunc, key, name string, seen map[string]bool) {
	switch {
	case name == "" || strings.ContainsAny(name, " /\t\n"):
		problem(key, "is %q; want a name without spaces and slashes", name)
	case seen[name]:
		problem(key, "is %q a second time", name)
	}
	seen[name] = true
}

func within(problem problemFunc, key string, v, from, upTo int) {
	if v < from || v > upTo {
		problem(key, "is %d; want %d to %d", v, from, upTo)
	}
}

func share(problem problemFunc, key string, v, from, upTo float64) {
	if !(v >= from && v <= upTo) {
		problem(key, "is %g; want %g to %g", v, from, upTo)
	}
}

// Service returns the service with the given name.
func (d Declaration) Service(name string) (Service, bool) {
	for _, s := range d.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// ServiceForPath returns the plain service with the longest prefix of path.
func (d Declaration) ServiceForPath(path string) (Service, bool) {
	var best Service
	for _, s := range d.Services {
		if s.Kind == Plain && hasPathPrefix(path, s.Path) && len(s.Path) > len(best.Path) {
			best = s
		}
	}
	return best, best.Name != ""
}

// hasPathPrefix matches whole path segments, so that "/orders" covers
// "/orders/7" but not "/ordersheet".
func hasPathPrefix(path, prefix string) bool {
	return strings.HasPrefix(path, prefix) &&
		(len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/')
}

// Class returns the machine class with the given name.
func (d Declaration) Class(name string) (MachineClass, bool) {
	for _, c := range d.Classes {
		if c.Name == name {
			return c, true
		}
	}
	return MachineClass{}, false
}

// Organisation returns the organisation with the given name.
func (d Declaration) Organisation(name string) (Organisation, bool) {
	for _, o := range d.Organisations {
		if o.Name == name {
			return o, true
		}
	}
	return Organisation{}, false
}

// OrganisationForKey returns the organisation that a caller's key belongs to.
func (d Declaration) OrganisationForKey(key string) (Organisation, bool) {
	h := HashKey(key)
	for _, o := range d.Organisations {
		for _, k := range o.Keys {
			if k == h {
				return o, true
			}
		}
	}
	return Organisation{}, false
}

// HashKey returns the form in which a caller's key stands in the declaration.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// PresetNamed returns the preset with the given name.
func (d Declaration) PresetNamed(name string) (Preset, bool) {
	for _, p := range d.Presets {
		if p.Name == name {
			return p, true
		}
	}
	return Preset{}, false
}

// WeightOf returns the weight of an organisation under a preset.
func (d Declaration) WeightOf(org string, p Preset) float64 {
	if w, ok := p.Weights[org]; ok {
		return w
	}
	o, _ := d.Organisation(org)
	return o.Weight
}

// WithPreset returns a copy that puts the named preset in force.
func (d Declaration) WithPreset(name string) Declaration {
	d.Preset = name
	return d
}

// JSON returns the declaration as standard JSON with every default filled in,
// so that two declarations with the same meaning are the same bytes.
func (d Declaration) JSON() []byte {
	b, err := json.MarshalIndent(d, "", "  ")
	if err != nil {
		panic(err) // plain data always marshals
	}
	return b
}

// HasVersion reports whether v may run.
func (s Service) HasVersion(v string) bool {
	for _, have := range s.Versions {
		if have == v {
			return true
		}
	}
	return false
}

// Idempotent reports whether a call may be sent a second time.
func (s Service) Idempotent(method, path string) bool {
	best, result := -1, method == "GET" || method == "HEAD" || method == "OPTIONS"
	for _, r := range s.Routes {
		if (r.Method == "*" || r.Method == method) && hasPathPrefix(path, r.Path) && len(r.Path) > best {
			best, result = len(r.Path), r.Idempotent
		}
	}
	return result
}

// Timeout returns the longest time for one plain call.
func (s Service) Timeout() time.Duration { return time.Duration(s.TimeoutSeconds) * time.Second }

// CapacityOf returns the bounds for a service; without an entry both are 0.
func (p Preset) CapacityOf(service string) Capacity {
	for _, c := range p.Capacity {
		if c.Service == service {
			return c
		}
	}
	return Capacity{Service: service}
}
