// Package routes holds the configuration of a deployment that routes opaque
// requests by host and path: its routes, services, organisations and limits. A
// configuration is validated as a whole and immutable afterwards, so a request uses
// one version from start to end.
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

// Error is the class of this package's errors: invalid configurations.
var Error = errs.Class("routes")

// Kind determines whether the requests of a route may be retried.
type Kind uint8

// The kinds of routes.
const (
	Safe   Kind = iota // idempotent; may run more than once
	Unsafe             // runs at most once
	Stream             // answered by an event stream; runs at most once unless resumable
)

// Share is the weight of a service in the traffic of a route.
type Share struct {
	Service string
	Weight  float64
}

// Route determines the service and the handling of matching requests.
type Route struct {
	Name          string
	Host          string
	Prefix        string // begins and ends with a slash
	Kind          Kind
	Timeout       time.Duration // maximum time until the response is complete
	LatencyTarget time.Duration // target latency of a response
	MaxEventGap   time.Duration // longest acceptable time between the events of a stream
	Priority      int           // 0 is the most urgent
	Shares        []Share
	MaxAttempts   int  // maximum number of backend servers that may run one request
	Anonymous     bool // requests without an organisation are served
	Sticky        bool // requests identify the parts of their prompt, for cache affinity
	Resumable     bool // a stream may be resumed on another backend server
	// Regions are those whose backend servers may run the requests; empty means any.
	Regions []string
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }

// Pick selects the service of one request at random by weight.
func (r *Route) Pick(rng *rand.Rand) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	remaining := rng.Float64() * total
	for _, s := range r.Shares {
		if remaining -= s.Weight; remaining < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots           int
	MemoryTokens    int // KV cache capacity
	MaxPendingPolls int // concurrent long polls for cache events per engine
	// FetchPerToken is the time per token to fetch cached prompt tokens from another
	// engine; 0 if engines do not support fetching.
	FetchPerToken time.Duration
}

// Scaling bounds the engines of a service that may be ordered in each data centre.
type Scaling struct {
	Min, Max    int
	StartupTime time.Duration // start time of an engine
	// ReclaimablePrice is the price of a reclaimable engine as a fraction of the on-demand
	// price.
	ReclaimablePrice float64
	Prices           map[string]float64 // price per second, by data centre
}

// Service is a set of backend servers that run the same program.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int      // connections that one backend server accepts from all instances together
	Engine     *Engine  // nil for a plain service
	Scaling    *Scaling // nil if the fleet is fixed
	// ColdStart is how long a backend server is cold after it has started during traffic.
	ColdStart time.Duration
	// ColdRate is the number of requests a second that a cold backend server tolerates from
	// all instances together; 0 means any.
	ColdRate float64
}

// Organisation is a customer of the deployment.
type Organisation struct {
	Name          string
	Keys          []string
	Priority      int     // 0 is the most urgent; NoPriority selects the route's priority
	ByTokens      bool    // Rate and Burst count tokens, not requests
	DefaultTokens float64 // cost of a request with an unknown number of tokens
	Rate          float64 // per second; 0 means unlimited
	Burst         float64
	Regions       []string // as for a route; a request runs only in regions that both allow
}

// NoPriority means that an organisation has no priority of its own.
const NoPriority = -1

// Limits bound the size and duration of caller requests.
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
	KeysRequired  bool // also if there is no organisation, since the last one was removed
	Limits        Limits

	hosts    map[string][]*Route // longest prefix first
	services map[string]*Service
	keys     map[string]*Organisation
}

// New validates a configuration and indexes it for lookups.
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
		if slices.Contains(o.Regions, "") {
			return nil, Error.New("organisation %q allows a region without a name", o.Name)
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
	case slices.Contains(r.Regions, ""):
		return Error.New("route %q allows a region without a name", r.Name)
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
	r.MaxAttempts = max(r.MaxAttempts, 1)
	host := canonicalHost(r.Host)
	for _, other := range c.hosts[host] {
		if other.Prefix == r.Prefix {
			return Error.New("routes %q and %q share host and prefix", other.Name, r.Name)
		}
	}
	c.hosts[host] = append(c.hosts[host], r)
	return nil
}

// Match returns the route of a request, or nil.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.hosts[canonicalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by name, or nil.
func (c *Config) Service(name string) *Service { return c.services[name] }

// HasOrganisations reports whether requests must name an organisation.
func (c *Config) HasOrganisations() bool { return c.KeysRequired || len(c.Organisations) > 0 }

// Organisation returns the organisation with the given API key, or nil. No organisation has
// the empty key, whatever the configuration says: requests without a key have it.
func (c *Config) Organisation(key string) *Organisation {
	if key == "" {
		return nil
	}
	return c.keys[key]
}

// canonicalHost returns host without a port and in lower case.
func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
