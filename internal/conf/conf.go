// Package conf reads the settings of a process: its addresses, location, roles and
// keys, which it cannot learn from other processes. Configuration shared by the
// whole deployment is in the declaration instead.
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

// Settings holds the settings of a process.
type Settings struct {
	Node       string   `json:"node"`       // unique in the deployment
	Region     string   `json:"region"`     // region of the data centre
	DataCentre string   `json:"dataCentre"` // data centre of the instance
	Zone       string   `json:"zone"`       // zone of the instance; matched with reclaim notices
	Cell       string   `json:"cell"`       // cell of an entry instance; "main" if empty
	Roles      []string `json:"roles"`      // "entry", "control" or both

	Listen Listen `json:"listen"`

	// Seeds are the peer addresses of some entry instances, used to discover the
	// others.
	Seeds []string `json:"seeds"`
	// Capacity is what the machine of an entry instance can carry, relative to the others;
	// 0 means the mean of the others.
	Capacity float64 `json:"capacity"`
	// Control lists the initial members of the Raft group of control.
	Control []ControlMember `json:"control"`
	// ClaimGroups is the number of Raft groups over which claims are sharded. It must
	// be the same in every process and must never change.
	ClaimGroups int `json:"claimGroups"`
	// ClaimHours is how long the key of a non-idempotent call is retained after its
	// last change. It must be the same in every process.
	ClaimHours int `json:"claimHours"`
	// ClaimBytes limits the memory for the claims of all groups together. A group
	// that has reached its share rejects new non-idempotent calls.
	ClaimBytes int `json:"claimBytes"`

	DataFolder string `json:"dataFolder"` // control role only
	EventFile  string `json:"eventFile"`  // file for events as JSON lines; if empty, events are kept only in memory
	LogLevel   string `json:"logLevel"`   // debug, info, warn or error

	// SharedKey authenticates the processes of the deployment to each other. Without
	// a key, only loopback peers are accepted.
	SharedKey string `json:"sharedKey"`
	// TLS encrypts connections between processes and to the operators' listener. A
	// certificate signed by the authority then authenticates like a key or a token.
	TLS TLS `json:"tls"`
	// Operators maps operator names to bearer tokens. If empty, operators are accepted
	// only from loopback addresses.
	Operators map[string]string `json:"operators"`

	// Limits limits the resources that a caller can use.
	Limits Limits `json:"limits"`
	// Backends describes properties of the backend servers.
	Backends Backends `json:"backends"`
	// Platform holds the addresses of the cloud and the weight store; both are optional.
	Platform Platform `json:"platform"`

	// DrainSeconds limits how long a planned shutdown waits for requests in flight.
	DrainSeconds int `json:"drainSeconds"`
}

// Listen holds the addresses (IP and port) that the process listens on.
type Listen struct {
	Callers   string `json:"callers"`   // entry role
	Peers     string `json:"peers"`     // all roles
	Operators string `json:"operators"` // control role
	Metrics   string `json:"metrics"`   // optional
	// CallersPublic is the address announced in the directory; Callers if empty.
	CallersPublic string `json:"callersPublic"`
}

// ControlMember is a member of the Raft group of control.
type ControlMember struct {
	Node       string `json:"node"`
	Address    string `json:"address"` // of its peer listener
	DataCentre string `json:"dataCentre"`
}

// TLS holds the paths of PEM files. Either all three are set or none.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	Authority   string `json:"authority"`
}

// Enabled reports whether TLS is enabled.
func (t TLS) Enabled() bool { return t.Certificate != "" }

// Limits holds the limits of the callers' listener.
type Limits struct {
	HeaderBytes    int `json:"headerBytes"`
	BodyBytes      int `json:"bodyBytes"`
	IdleSeconds    int `json:"idleSeconds"`
	ReadSeconds    int `json:"readSeconds"` // until a whole request is received
	Connections    int `json:"connections"`
	RequestSeconds int `json:"requestSeconds"` // maximum duration of a request
	KeepSeconds    int `json:"keepSeconds"`    // how long a complete answer can still be fetched
	MemoryMB       int `json:"memoryMB"`       // memory of the machine; 0 if not known
}

// Backends describes properties of the backend servers.
type Backends struct {
	// CheckFencing is true if the servers reject orders with an outdated fencing token.
	CheckFencing bool `json:"checkFencing"`
	// LeaseMillis is the duration of the lease with which an entry instance may send
	// to backend servers.
	LeaseMillis int `json:"leaseMillis"`
}

// Platform holds the addresses of the platform (URLs without a path).
type Platform struct {
	Cloud       string `json:"cloud"`
	WeightStore string `json:"weightStore"`
	Token       string `json:"token"`
}

// Default returns the default settings.
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

// Load reads and validates the settings in a file.
func Load(file string) (Settings, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, Error.Wrap(err)
	}
	return Parse(file, b)
}

// Parse decodes and validates settings. All mistakes are reported together, each
// with its file, line, key and the allowed range.
func Parse(file string, b []byte) (Settings, error) {
	s := Default()
	doc, err := jsonc.Decode(file, b, &s)
	if err != nil {
		return Settings{}, Error.Wrap(err)
	}
	var problems []error
	problem := func(key, format string, args ...any) { problems = append(problems, doc.Problem(key, format, args...)) }
	if s.Cell == "" {
		s.Cell = Default().Cell
	}
	s.validate(problem)
	if len(problems) > 0 {
		return Settings{}, Error.Wrap(errors.Join(problems...))
	}
	return s, nil
}

// HasRole reports whether the process has a role.
func (s Settings) HasRole(role string) bool {
	for _, r := range s.Roles {
		if r == role {
			return true
		}
	}
	return false
}

// SendLease returns the duration of an entry instance's lease to send.
func (s Settings) SendLease() time.Duration {
	return time.Duration(s.Backends.LeaseMillis) * time.Millisecond
}

// MemoryBytes returns the memory of the machine; 0 if it is not known.
func (s Settings) MemoryBytes() float64 { return float64(s.Limits.MemoryMB) * (1 << 20) }

// maxCapacity bounds the capacity of an instance; sums of larger ones are not exact.
const maxCapacity = 1e6

type problemFunc func(key, format string, args ...any)

func (s Settings) validate(problem problemFunc) {
	if s.Node == "" {
		problem("node", "is missing; want a name that is unique in the deployment")
	}
	if s.DataCentre == "" {
		problem("dataCentre", "is missing; want the name of the instance's data centre")
	}
	if !isCellName(s.Cell) {
		problem("cell", "is %q; want 1 to %d letters, digits, dots, hyphens or underscores", s.Cell, maxCellNameBytes)
	}
	s.validateRoles(problem)
	s.validateAddresses(problem)
	s.validateRanges(problem)
}

// maxCellNameBytes limits the name of a cell, which is part of every digest.
const maxCellNameBytes = 32

func isCellName(name string) bool {
	for _, r := range name {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !letter && r != '.' && r != '-' && r != '_' {
			return false
		}
	}
	return name != "" && len(name) <= maxCellNameBytes
}

func (s Settings) validateRoles(problem problemFunc) {
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
	if s.HasRole("control") && s.DataFolder == "" {
		problem("dataFolder", "is missing; the control role needs a folder on a disk")
	}
}

func (s Settings) validateAddresses(problem problemFunc) {
	addresses := []struct {
		key, addr string
		required  bool
	}{
		{"listen.peers", s.Listen.Peers, true},
		{"listen.callers", s.Listen.Callers, s.HasRole("entry")},
		{"listen.operators", s.Listen.Operators, s.HasRole("control")},
		{"listen.metrics", s.Listen.Metrics, false},
		{"listen.callersPublic", s.Listen.CallersPublic, false},
	}
	for i, a := range s.Seeds {
		addresses = append(addresses, struct {
			key, addr string
			required  bool
		}{"seeds." + strconv.Itoa(i), a, true})
	}
	for i, m := range s.Control {
		key := "control." + strconv.Itoa(i)
		if m.Node == "" {
			problem(key+".node", "is missing; want the node name of the member")
		}
		addresses = append(addresses, struct {
			key, addr string
			required  bool
		}{key + ".address", m.Address, true})
	}
	for _, a := range addresses {
		switch {
		case a.addr == "" && a.required:
			problem(a.key, "is missing; want an IP address and port, such as \"127.0.0.1:8100\"")
		case a.addr != "" && !isAddress(a.addr):
			problem(a.key, "is %q; want an IP address and port, such as \"127.0.0.1:8100\"", a.addr)
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

// maxGroupClaimBytes limits the claims held by one Raft group. The answers of calls
// that are in flight when the limit is reached can take the same amount again, and
// a snapshot of the Raft log can have at most 256 MB.
const maxGroupClaimBytes = 96 << 20

func (s Settings) validateRanges(problem problemFunc) {
	ranges := []struct {
		key        string
		value      int
		from, upTo int
	}{
		{"claimGroups", s.ClaimGroups, 1, 64},
		{"claimHours", s.ClaimHours, 1, 30 * 24},
		{"claimBytes", s.ClaimBytes, 1 << 20, max(1, s.ClaimGroups) * maxGroupClaimBytes},
		{"limits.headerBytes", s.Limits.HeaderBytes, 1 << 10, 1 << 20},
		{"limits.bodyBytes", s.Limits.BodyBytes, 1 << 10, 64 << 20},
		{"limits.idleSeconds", s.Limits.IdleSeconds, 1, 3600},
		{"limits.readSeconds", s.Limits.ReadSeconds, 1, 600},
		{"limits.connections", s.Limits.Connections, 1, 100_000},
		{"limits.requestSeconds", s.Limits.RequestSeconds, 1, 86_400},
		{"limits.keepSeconds", s.Limits.KeepSeconds, 1, 3600},
		{"limits.memoryMB", s.Limits.MemoryMB, 0, 1 << 20},
		// A longer lease would violate the guarantee that a leaving backend server
		// receives no new work after 3 s.
		{"backends.leaseMillis", s.Backends.LeaseMillis, 200, 3000},
		{"drainSeconds", s.DrainSeconds, 1, 86_400},
	}
	for _, r := range ranges {
		if r.value < r.from || r.value > r.upTo {
			problem(r.key, "is %d; want %d to %d", r.value, r.from, r.upTo)
		}
	}
	if s.Capacity < 0 || s.Capacity > maxCapacity {
		problem("capacity", "is %v; want 0 to %v", s.Capacity, float64(maxCapacity))
	}
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		problem("logLevel", "is %q; want debug, info, warn or error", s.LogLevel)
	}
}
