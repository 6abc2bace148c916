// Package decl defines the declaration: which services a deployment runs, for which
// organisations and with which presets. Operators keep the declaration in version
// control and apply it; the system decides how to fulfil it.
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

// Declaration is the desired state of a deployment. A parsed declaration is
// immutable; the With methods return modified copies.
type Declaration struct {
	DataCentres   []DataCentre   `json:"dataCentres"`
	Classes       []MachineClass `json:"machineClasses"`
	Services      []Service      `json:"services"`
	Organisations []Organisation `json:"organisations"`
	Presets       []Preset       `json:"presets"`
	// Preset is the preset to activate with this declaration; if empty, the active
	// preset stays.
	Preset   string     `json:"preset,omitempty"`
	Cleaning Cleaning   `json:"cleaning"`
	Moves    MovePolicy `json:"moves"`
}

// DataCentre is one data centre of the deployment.
type DataCentre struct {
	Name   string   `json:"name"`
	Region string   `json:"region"`
	Zones  []string `json:"zones"`
}

// MachineClass is a type of instance that the cloud offers. The prices are estimates;
// the cloud's current prices take precedence.
type MachineClass struct {
	Name             string  `json:"name"`
	Accelerators     int     `json:"accelerators"`
	OnDemandPrice    float64 `json:"onDemandPrice"`    // currency units per hour
	ReclaimablePrice float64 `json:"reclaimablePrice"` // currency units per hour
}

// Service is a model or a plain application.
type Service struct {
	Name     string   `json:"name"`
	Kind     string   `json:"kind"`
	Versions []string `json:"versions"` // versions allowed to run
	Version  string   `json:"version"`  // version that serves until the first version move
	Class    string   `json:"machineClass"`
	// Path is the path prefix of a plain service's calls, such as "/orders/".
	Path   string        `json:"path,omitempty"`
	Routes []Route       `json:"routes,omitempty"`
	Target LatencyTarget `json:"target"`
	// Slots is the number of concurrent requests that one backend server can run
	// within the latency target.
	Slots int `json:"slots"`
	// TimeoutSeconds is the timeout of a plain service's call.
	TimeoutSeconds int `json:"timeoutSeconds,omitempty"`
}

// Route says whether calls with a path prefix and method are idempotent. The longest
// matching path decides; without a match only GET, HEAD and OPTIONS are idempotent.
type Route struct {
	Method     string `json:"method"` // "*" for any
	Path       string `json:"path"`
	Idempotent bool   `json:"idempotent"`
}

// LatencyTarget is the latency that 95% of the requests should meet.
type LatencyTarget struct {
	FirstTokenMillis    float64 `json:"firstTokenMillis"`
	BetweenTokensMillis float64 `json:"betweenTokensMillis"`
}

// Organisation is a customer. Its callers authenticate with one of its keys.
type Organisation struct {
	Name string `json:"name"`
	// Keys holds SHA-256 hashes (hex) of the callers' keys. Hashes keep the keys
	// themselves out of version control.
	Keys   []string `json:"keys"`
	Weight float64  `json:"weight"` // relative share of scarce capacity
}

// Preset is a named set of settings. Exactly one preset is active.
type Preset struct {
	Name     string     `json:"name"`
	Capacity []Capacity `json:"capacity"`
	// OnDemandShare is the minimum share of on-demand instances, 0 to 1.
	OnDemandShare float64 `json:"onDemandShare"`
	// SpareDataCentres is the number of data centres that can fail without the
	// capacity falling below the minimum.
	SpareDataCentres int `json:"spareDataCentres"`
	// Weights overrides the weights of organisations while the preset is active.
	Weights map[string]float64 `json:"weights,omitempty"`
	// LongShare is the maximum share of slots for long reviews, 0 to 1.
	LongShare float64 `json:"longShare"`
	// PaceSeconds is the duration over which a change to this preset is spread.
	PaceSeconds int `json:"paceSeconds"`
	// CleaningAllowed says whether weekly cleaning continues while the preset is active.
	CleaningAllowed bool `json:"cleaningAllowed"`
}

// Capacity limits the number of instances of a service.
type Capacity struct {
	Service string `json:"service"`
	Min     int    `json:"min"`
	Max     int    `json:"max"`
}

// Cleaning configures the periodic cleaning of every backend server, at least weekly.
type Cleaning struct {
	EveryHours   int `json:"everyHours"`   // at most 168
	MaxAtOnce    int `json:"maxAtOnce"`    // backend servers drained at the same time
	DrainMinutes int `json:"drainMinutes"` // maximum time for running requests to finish
}

// MovePolicy configures how version moves proceed and are judged.
type MovePolicy struct {
	FirstShare  float64 `json:"firstShare"`  // traffic share of the first step, 0 to 0.1
	SoakSeconds int     `json:"soakSeconds"` // time at full share during which the old version can take all traffic back
	// FalseAlarm is the accepted probability that a good version is taken back.
	FalseAlarm float64 `json:"falseAlarm"`
}

// Parse decodes and validates a declaration in JSON with comments. file is only used
// in error messages. All mistakes are reported together.
func Parse(file string, b []byte) (Declaration, error) {
	var d Declaration
	doc, err := jsonc.Decode(file, b, &d)
	if err != nil {
		return Declaration{}, Error.Wrap(err)
	}
	d = d.withDefaults()
	var problems []error
	d.check(func(key, format string, args ...any) { problems = append(problems, doc.Problem(key, format, args...)) })
	if len(problems) > 0 {
		return Declaration{}, Error.Wrap(errors.Join(problems...))
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
		if s.Kind == Model && s.Target == (LatencyTarget{}) {
			s.Target = LatencyTarget{FirstTokenMillis: 950, BetweenTokensMillis: 37}
		}
		services[i] = s
	}
	d.Services = services
	return d
}

type reportFunc func(key, format string, args ...any)

func (d Declaration) check(report reportFunc) {
	d.checkInfrastructure(report)
	d.checkServices(report)
	d.checkOrganisations(report)
	d.checkPresets(report)
	checkIntRange(report, "cleaning.everyHours", d.Cleaning.EveryHours, 1, 168)
	checkIntRange(report, "cleaning.maxAtOnce", d.Cleaning.MaxAtOnce, 1, 1000)
	checkIntRange(report, "cleaning.drainMinutes", d.Cleaning.DrainMinutes, 1, 24*60)
	checkFloatRange(report, "moves.firstShare", d.Moves.FirstShare, 0.001, 0.1)
	checkIntRange(report, "moves.soakSeconds", d.Moves.SoakSeconds, 1, 7*24*3600)
	checkFloatRange(report, "moves.falseAlarm", d.Moves.FalseAlarm, 0.0001, 0.1)
}

func (d Declaration) checkInfrastructure(report reportFunc) {
	seen := map[string]bool{}
	for i, c := range d.DataCentres {
		checkName(report, "dataCentres."+strconv.Itoa(i)+".name", c.Name, seen)
	}
	seen = map[string]bool{}
	for i, c := range d.Classes {
		key := "machineClasses." + strconv.Itoa(i)
		checkName(report, key+".name", c.Name, seen)
		if c.OnDemandPrice < 0 || c.ReclaimablePrice < 0 {
			report(key, "has a negative price; want 0 or more")
		}
	}
}

func (d Declaration) checkServices(report reportFunc) {
	seen := map[string]bool{}
	for i, s := range d.Services {
		key := "services." + strconv.Itoa(i)
		checkName(report, key+".name", s.Name, seen)
		if s.Kind != Model && s.Kind != Plain {
			report(key+".kind", "is %q; want %q or %q", s.Kind, Model, Plain)
		}
		if s.Kind == Plain && (!strings.HasPrefix(s.Path, "/") || strings.HasPrefix(s.Path, "/v1/")) {
			report(key+".path", "is %q; want a path that starts with \"/\" and not with \"/v1/\"", s.Path)
		}
		if !s.HasVersion(s.Version) {
			report(key+".version", "is %q; want one of versions", s.Version)
		}
		if _, ok := d.Class(s.Class); !ok && len(d.Classes) > 0 {
			report(key+".machineClass", "is %q; want one of machineClasses", s.Class)
		}
		checkIntRange(report, key+".slots", s.Slots, 1, 100_000)
		checkIntRange(report, key+".timeoutSeconds", s.TimeoutSeconds, 1, 3600)
		for j, o := range d.Services[:i] {
			if s.Kind == Plain && o.Kind == Plain && s.Path == o.Path {
				report(key+".path", "is also the path of services.%d", j)
			}
		}
	}
}

func (d Declaration) checkOrganisations(report reportFunc) {
	seen, keys := map[string]bool{}, map[string]bool{}
	for i, o := range d.Organisations {
		key := "organisations." + strconv.Itoa(i)
		checkName(report, key+".name", o.Name, seen)
		if o.Weight <= 0 || o.Weight > 1e6 {
			report(key+".weight", "is %g; want more than 0 and at most 1000000", o.Weight)
		}
		for j, k := range o.Keys {
			if b, err := hex.DecodeString(k); err != nil || len(b) != sha256.Size || keys[k] {
				report(key+".keys."+strconv.Itoa(j), "want a SHA-256 hash in 64 hex digits that no other organisation has")
			}
			keys[k] = true
		}
	}
}

func (d Declaration) checkPresets(report reportFunc) {
	seen := map[string]bool{}
	for i, p := range d.Presets {
		key := "presets." + strconv.Itoa(i)
		checkName(report, key+".name", p.Name, seen)
		checkFloatRange(report, key+".onDemandShare", p.OnDemandShare, 0, 1)
		checkFloatRange(report, key+".longShare", p.LongShare, 0, 1)
		checkIntRange(report, key+".spareDataCentres", p.SpareDataCentres, 0, max(len(d.DataCentres)-1, 0))
		checkIntRange(report, key+".paceSeconds", p.PaceSeconds, 0, 24*3600)
		for j, bounds := range p.Capacity {
			capacityKey := key + ".capacity." + strconv.Itoa(j)
			if _, ok := d.Service(bounds.Service); !ok {
				report(capacityKey+".service", "is %q; want one of services", bounds.Service)
			}
			if bounds.Min < 0 || bounds.Max < bounds.Min {
				report(capacityKey, "has min %d and max %d; want 0 <= min <= max", bounds.Min, bounds.Max)
			}
		}
		for org, w := range p.Weights {
			if _, ok := d.Organisation(org); !ok || w <= 0 {
				report(key+".weights."+org, "want a declared organisation and a weight above 0")
			}
		}
	}
	if len(d.Presets) == 0 {
		report("presets", "is missing; want at least one preset")
	}
	if _, ok := d.PresetNamed(d.Preset); d.Preset != "" && !ok {
		report("preset", "is %q; want one of presets", d.Preset)
	}
}

func checkName(report reportFunc, key, name string, seen map[string]bool) {
	switch {
	case name == "" || strings.ContainsAny(name, " /\t\n"):
		report(key, "is %q; want a name without spaces and slashes", name)
	case seen[name]:
		report(key, "is %q a second time", name)
	}
	seen[name] = true
}

func checkIntRange(report reportFunc, key string, v, low, high int) {
	if v < low || v > high {
		report(key, "is %d; want %d to %d", v, low, high)
	}
}

func checkFloatRange(report reportFunc, key string, v, low, high float64) {
	if !(v >= low && v <= high) {
		report(key, "is %g; want %g to %g", v, low, high)
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

// ServiceForPath returns the plain service whose path is the longest prefix of path.
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

// OrganisationForKey returns the organisation that owns a caller's key.
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

// HashKey returns the hash of a caller's key as written in the declaration.
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

// WeightOf returns the weight of an organisation while a preset is active.
func (d Declaration) WeightOf(org string, p Preset) float64 {
	if w, ok := p.Weights[org]; ok {
		return w
	}
	o, _ := d.Organisation(org)
	return o.Weight
}

// WithPreset returns a copy that activates the named preset.
func (d Declaration) WithPreset(name string) Declaration {
	d.Preset = name
	return d
}

// JSON returns the declaration as standard JSON with all defaults filled in, so that
// equivalent declarations encode to the same bytes.
func (d Declaration) JSON() []byte {
	b, err := json.MarshalIndent(d, "", "  ")
	if err != nil {
		panic(err) // cannot happen: the types marshal without error
	}
	return b
}

// HasVersion reports whether version v is allowed to run.
func (s Service) HasVersion(v string) bool {
	for _, version := range s.Versions {
		if version == v {
			return true
		}
	}
	return false
}

// Idempotent reports whether a call is idempotent and may be retried.
func (s Service) Idempotent(method, path string) bool {
	longest, idempotent := -1, method == "GET" || method == "HEAD" || method == "OPTIONS"
	for _, r := range s.Routes {
		if (r.Method == "*" || r.Method == method) && hasPathPrefix(path, r.Path) && len(r.Path) > longest {
			longest, idempotent = len(r.Path), r.Idempotent
		}
	}
	return idempotent
}

// Timeout returns the timeout of a plain service's call.
func (s Service) Timeout() time.Duration { return time.Duration(s.TimeoutSeconds) * time.Second }

// CapacityOf returns the limits for a service; both are 0 if the preset has none.
func (p Preset) CapacityOf(service string) Capacity {
	for _, c := range p.Capacity {
		if c.Service == service {
			return c
		}
	}
	return Capacity{Service: service}
}
