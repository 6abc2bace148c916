// Package conf reads the settings of one process. They say what the process
// cannot learn from others: its addresses, its place, its roles and its keys.
// Everything that the deployment shares is in the declaration instead.
package conf

import (
	"errors"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/zeebo/errs"

	"cranberrypath.example/cranberrypath/internal/jsonc"
)

// Error is the class of this package's errors.
var Error = errs.Class("settings")

// Settings of one process.
type Settings struct {
	Node       string   `json:"node"`       // unique in the deployment
	Region     string   `json:"region"`     // region of the data centre
	DataCentre string   `json:"dataCentre"` // data centre of the instance
	Zone       string   `json:"zone"`       // zone of the instance, for reclaim notices
	Cell       string   `json:"cell"`       // cell of an entry instance; "main" if empty
	Roles      []string `json:"roles"`      // "entry", "control" or both

	Listen Listen `json:"listen"`

	// Seeds are peer addresses of a few entry instances, asked for the others.
	Seeds []string `json:"seeds"`
	// Control lists the members of the replicated log at first start.
	Control []ControlMember `json:"control"`
	// ClaimGroups is the number of replicated groups that share the claims.
	// It must be the same in every process and never change.
	ClaimGroups int `json:"claimGroups"`
	// ClaimHours is how long the key of a call that is not idempotent is
	// remembered after its last change. It must be the same in every process.
	ClaimHours int `json:"claimHours"`
	// ClaimBytes bounds the memory of the claims of all groups together. A group
	// that has reached its part refuses new calls that are not idempotent.
	ClaimBytes int `json:"claimBytes"`

	DataFolder string `json:"dataFolder"` // control role only
	EventFile  string `json:"eventFile"`  // JSON lines of the time line; empty keeps them in memory
	LogLevel   string `json:"logLevel"`   // debug, info, warn or error

	// SharedKey authenticates the system's processes to each other. Without it
	// only loopback peers are accepted.
	SharedKey string `json:"sharedKey"`
	// TLS encrypts the links between processes and the operators' listener. With
	// it, a certificate of the authority authenticates like a key or a token.
	TLS TLS `json:"tls"`
	// Operators maps an operator's name to the token sent as a bearer token.
	// Without it only loopback operators are accepted.
	Operators map[string]string `json:"operators"`

	// Limits bound what one caller can cost.
	Limits Limits `json:"limits"`
	// Backends says how backend servers behave.
	Backends Backends `json:"backends"`
	// Platform names the cloud and the weight store; both are optional.
	Platform Platform `json:"platform"`

	// DrainSeconds is the longest time that a planned stop waits for running answers.
	DrainSeconds int `json:"drainSeconds"`
}

// Listen holds the addresses (IP and port) that the process listens on.
type Listen struct {
	Callers   string `json:"callers"`   // entry role
	Peers     string `json:"peers"`     // all roles
	Operators string `json:"operators"` // control role
	Metrics   string `json:"metrics"`   // optional
	// CallersPublic is the address that the directory names; Callers if empty.
	CallersPublic string `json:"callersPublic"`
}

// ControlMember is one member of the replicated log.
type ControlMember struct {
	Node       string `json:"node"`
	Address    string `json:"address"` // of its peer listener
	DataCentre string `json:"dataCentre"`
}

// TLS names PEM files; all three are set, or none.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	Authority   string `json:"authority"`
}

// On reports whether TLS is set up.
func (t TLS) On() bool { return t.Certificate != "" }

// Limits of the callers' listener.
type Limits struct {
	HeaderBytes    int `json:"headerBytes"`
	BodyBytes      int `json:"bodyBytes"`
	IdleSeconds    int `json:"idleSeconds"`
	ReadSeconds    int `json:"readSeconds"` // for a whole request to arrive
	Connections    int `json:"connections"`
	RequestSeconds int `json:"requestSeconds"` // longest run of one request
	KeepSeconds    int `json:"keepSeconds"`    // how long a finished answer can be fetched again
}

// Backends describes the backend servers of the deployment.
type Backends struct {
	// CheckFencing is true if they refuse orders with an old fencing number.
	CheckFencing bool `json:"checkFencing"`
	// LeaseMillis is how long an entry instance may send to a backend server
	// after the last renewal of its permission.
	LeaseMillis int `json:"leaseMillis"`
}

// Platform names the platform's addresses (URL without path).
type Platform struct {
	Cloud       string `json:"cloud"`
	WeightStore string `json:"weightStore"`
	Token       string `json:"token"`
}

// Default returns the settings that apply where a file is silent.
func Default() Settings {
	return Settings{
		Cell:        "main",
		LogLevel:    "info",
		ClaimGroups: 2,
		ClaimHours:  48,
		ClaimBytes:  32 << 20,
		Limits: Limits{
			HeaderBytes: 16 << 10, BodyBytes: 8 << 20, IdleSeconds: 60, ReadSeconds: 30,
			Connections: 10_000, RequestSeconds: 3600, KeepSeconds: 120,
		},
		Backends:     Backends{LeaseMillis: 3000},
		DrainSeconds: 600,
	}
}

// Load reads and checks the settings in a file.
func Load(file string) (Settings, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, Error.Wrap(err)
	}
	return Parse(file, b)
}

// Parse reads and checks settings. All mistakes are reported together, each with
// its file, line, key and the allowed range.
func Parse(file string, b []byte) (Settings, error) {
	s := Default()
	doc, err := jsonc.Decode(file, b, &s)
	if err != nil {
		return Settings{}, Error.Wrap(err)
	}
	var found []error
	problem := func(key, format string, args ...any) { found = append(found, doc.Problem(key, format, args...)) }
	if s.Cell == "" {
		s.Cell = Default().Cell
	}
	s.check(problem)
	if len(found) > 0 {
		return Settings{}, Error.Wrap(errors.Join(found...))
	}
	return s, nil
}

// Has reports whether the process has the role.
func (s Settings) Has(role string) bool {
	for _, r := range s.Roles {
		if r == role {
			return true
		}
	}
	return false
}

// Lease returns the time that a permission to send lasts.
func (s Settings) Lease() time.Duration {
	return time.Duration(s.Backends.LeaseMillis) * time.Millisecond
}

type problemFunc func(key, format string, args ...any)

func (s Settings) check(problem problemFunc) {
	if s.Node == "" {
		problem("node", "is missing; want a name that is unique in the deployment")
	}
	if s.DataCentre == "" {
		problem("dataCentre", "is missing; want the name of the instance's data centre")
	}
	if !isCellName(s.Cell) {
		problem("cell", "is %q; want 1 to %d letters, digits, dots, hyphens or underscores", s.Cell, maxCellName)
	}
	s.checkRoles(problem)
	s.checkAddresses(problem)
	s.checkRanges(problem)
}

// maxCellName bounds the name of a cell, which is a part of every digest.
const maxCellName = 32

func isCellName(name string) bool {
	for _, r := range name {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !letter && r != '.' && r != '-' && r != '_' {
			return false
		}
	}
	return name != "" && len(name) <= maxCellName
}

func (s Settings) checkRoles(problem problemFunc) {
	if len(s.Roles) == 0 {
		problem("roles", "is missing; want a list of \"entry\" and \"control\"")
	}
	for i, r := range s.Roles {
		if r != "entry" && r != "control" {
			problem("roles."+strconv.Itoa(i), "is %q; want \"entry\" or \"control\"", r)
		}
	}
	if len(s.Control) == 0 {
		problem("control", "is missing; want at least one member of the replicated log")
	}
	if t := s.TLS; (t.Certificate == "") != (t.Key == "") || (t.Key == "") != (t.Authority == "") {
		problem("tls", "names only some of its files; want certificate, key and authority, or none")
	}
	if s.Has("control") && s.DataFolder == "" {
		problem("dataFolder", "is missing; the control role needs a folder on a disk")
	}
}

func (s Settings) checkAddresses(problem problemFunc) {
	need := []struct {
		key, addr string
		required  bool
	}{
		{"listen.peers", s.Listen.Peers, true},
		{"listen.callers", s.Listen.Callers, s.Has("entry")},
		{"listen.operators", s.Listen.Operators, s.Has("control")},
		{"listen.metrics", s.Listen.Metrics, false},
		{"listen.callersPublic", s.Listen.CallersPublic, false},
	}
	for i, a := range s.Seeds {
		need = append(need, struct {
			key, addr string
			required  bool
		}{"seeds." + strconv.Itoa(i), a, true})
	}
	for i, m := range s.Control {
		key := "control." + strconv.Itoa(i)
		if m.Node == "" {
			problem(key+".node", "is missing; want the node name of the member")
		}
		need = append(need, struct {
			key, addr string
			required  bool
		}{key + ".address", m.Address, true})
	}
	for _, n := range need {
		switch {
		case n.addr == "" && n.required:
			problem(n.key, "is missing; want an IP address and port, such as \"127.0.0.1:8100\"")
		case n.addr != "" && !isAddress(n.addr):
			problem(n.key, "is %q; want an IP address and port, such as \"127.0.0.1:8100\"", n.addr)
		}
	}
}

func isAddress(a string) bool {
	host, port, err := net.SplitHostPort(a)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	n, err := strconv.Atoi(port)
	return err == nil && n >= 0 && n <= 65535
}

// maxGroupBytes of claims may be held by one group. Answers of calls that run
// when it is reached come on top, up to as much again, and the replicated log
// takes snapshots of 256 MB at most.
const maxGroupBytes = 96 << 20

func (s Settings) checkRanges(problem problemFunc) {
	ranges := []struct {
		key        string
		value      int
		from, upTo int
	}{
		{"claimGroups", s.ClaimGroups, 1, 64},
		{"claimHours", s.ClaimHours, 1, 30 * 24},
		{"claimBytes", s.ClaimBytes, 1 << 20, max(1, s.ClaimGroups) * maxGroupBytes},
		{"limits.headerBytes", s.Limits.HeaderBytes, 1 << 10, 1 << 20},
		{"limits.bodyBytes", s.Limits.BodyBytes, 1 << 10, 64 << 20},
		{"limits.idleSeconds", s.Limits.IdleSeconds, 1, 3600},
		{"limits.readSeconds", s.Limits.ReadSeconds, 1, 600},
		{"limits.connections", s.Limits.Connections, 1, 100_000},
		{"limits.requestSeconds", s.Limits.RequestSeconds, 1, 86_400},
		{"limits.keepSeconds", s.Limits.KeepSeconds, 1, 3600},
		// A longer lease would break the promise that a leaving backend server
		// gets no new work after 3 s.
		{"backends.leaseMillis", s.Backends.LeaseMillis, 200, 3000},
		{"drainSeconds", s.DrainSeconds, 1, 86_400},
	}
	for _, r := range ranges {
		if r.value < r.from || r.value > r.upTo {
			problem(r.key, "is %d; want %d to %d", r.value, r.from, r.upTo)
		}
	}
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		problem("logLevel", "is %q; want debug, info, warn or error", s.LogLevel)
	}
}
