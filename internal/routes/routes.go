// Package routes holds the configuration of a deployment that routes opaque
// requests by host and path: its routes, services, organisations and limits. A
// configuration is checked whole and never changes afterwards, so a request
// sees one version from its acceptance to its end.
package routes

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors: what makes a configuration invalid.
var Error = errs.Class("routes")

// Kind tells what may be repeated.
type Kind uint8

// The kinds of route.
const (
	Safe   Kind = iota // may run more than once
	Unsafe             // runs at most once
	Stream             // a series of events; runs at most once unless resumable
)

// Share is a service's part of the traffic of a route.
type Share struct {
	Service string
	Weight  float64
}

// Route selects the service of a request and what may be done with it.
type Route struct {
	Name      string
	Host      string
	Prefix    string // begins and ends with a slash
	Kind      Kind
	Timeout   time.Duration // longest wait of a caller
	Target    time.Duration // latency within which an answer counts fully
	Gap       time.Duration // longest pause between events of a stream that is still in time
	Priority  int           // 0 is the most urgent
	Shares    []Share
	Attempts  int // backend servers that may run one request
	Anonymous bool
	Sticky    bool // requests name the parts of their prompt
	Resume    bool // a stream may go on at another backend server
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool { return r.Kind == Safe || r.Kind == Stream && r.Resume }

// Pick draws the service of one request by weight.
func (r *Route) Pick(rnd *rand.Rand) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	at := rnd.Float64() * total
	for _, s := range r.Shares {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots         int
	MemoryTokens  int // KV cache
	WaitingEvents int // calls for cache events that one engine keeps waiting
	// FetchPerToken is the time in which one engine fetches the cache of a token from
	// another; 0 if it cannot.
	FetchPerToken time.Duration
}

// Scaling bounds what may be ordered of a service in each data centre.
type Scaling struct {
	Min, Max int
	Boot     time.Duration
	// ReclaimablePrice is the price of a reclaimable engine as a part of another's.
	ReclaimablePrice float64
	Prices           map[string]float64 // by data centre, a second
}

// Service is a set of backend servers that run the same program.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int      // that one backend server accepts, from all instances together
	Engine     *Engine  // nil for a plain service
	Scaling    *Scaling // nil if the fleet is fixed
}

// Organisation is a customer of the deployment.
type Organisation struct {
	Name        string
	Keys        []string
	Priority    int     // 0 is the most urgent; NoPriority leaves it to the route
	ByTokens    bool    // Rate and Burst are tokens, not requests
	PlainTokens float64 // cost of a request that names no tokens
	Rate        float64 // a second; 0 means unlimited
	Burst       float64
}

// NoPriority means that an organisation has no rank of its own.
const NoPriority = -1

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes, BodyBytes int
	HeaderTimeout          time.Duration
	IdleTimeout            time.Duration
}

// Config is one version of the configuration. It must not be modified after New.
type Config struct {
	Version       uint64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits

	hosts    map[string][]*Route // longest prefix first
	services map[string]*Service
	keys     map[string]*Organisation
}

// New checks a configuration and prepares it for use.
func New(c Config) (*Config, error) {
	c.hosts, c.services, c.keys = map[string][]*Route{}, map[string]*Service{}, map[string]*Organisation{}
	for i := range c.Services {
		s := &c.Services[i]
		if s.Name == "" {
			return nil, Error.New("service %d has no name", i)
		}
		if c.services[s.Name] != nil {
			return nil, Error.New("service %q stands twice", s.Name)
		}
		c.services[s.Name] = s
	}
	for i := range c.Routes {
		if err := c.addRoute(&c.Routes[i]); err != nil {
			return nil, err
		}
	}
	for _, rs := range c.hosts {
		slices.SortFunc(rs, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	names := map[string]bool{}
	for i := range c.Organisations {
		o := &c.Organisations[i]
		if o.Name == "" || names[o.Name] {
			return nil, Error.New("organisation %q is unnamed or stands twice", o.Name)
		}
		names[o.Name] = true
		for _, k := range o.Keys {
			if c.keys[k] != nil {
				return nil, Error.New("organisations %q and %q share a key", c.keys[k].Name, o.Name)
			}
			c.keys[k] = o
		}
	}
	return &c, nil
}

func (c *Config) addRoute(r *Route) error {
	switch {
	case r.Host == "":
		return Error.New("route %q has no host", r.Name)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return Error.New("route %q: prefix %q does not begin and end with a slash", r.Name, r.Prefix)
	case r.Timeout <= 0:
		return Error.New("route %q has no timeout", r.Name)
	}
	total := 0.0
	for _, s := range r.Shares {
		if c.services[s.Service] == nil {
			return Error.New("route %q names the unknown service %q", r.Name, s.Service)
		}
		if s.Weight < 0 || math.IsNaN(s.Weight) || math.IsInf(s.Weight, 0) {
			return Error.New("route %q: weight %v", r.Name, s.Weight)
		}
		total += s.Weight
	}
	if total <= 0 {
		return Error.New("route %q: the weights add up to 0", r.Name)
	}
	r.Attempts = max(r.Attempts, 1)
	host := hostOf(r.Host)
	for _, o := range c.hosts[host] {
		if o.Prefix == r.Prefix {
			return Error.New("routes %q and %q share host and prefix", o.Name, r.Name)
		}
	}
	c.hosts[host] = append(c.hosts[host], r)
	return nil
}

// Match returns the route of a request, or nil.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.hosts[hostOf(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by name, or nil.
func (c *Config) Service(name string) *Service { return c.services[name] }

// HasOrganisations reports whether requests must name an organisation.
func (c *Config) HasOrganisations() bool { return len(c.Organisations) > 0 }

// Organisation returns the holder of a key, or nil.
func (c *Config) Organisation(key string) *Organisation { return c.keys[key] }

// hostOf removes the port of a host, and case, which does not matter in names.
func hostOf(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
