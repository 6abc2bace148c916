package bench

import (
	"slices"
	"sync"
	"time"

	"cranberrypath.example/cranberrypath/internal/entry"
	"cranberrypath.example/cranberrypath/internal/route"
	"cranberrypath.example/cranberrypath/internal/world"
)

// Names of the policies.
const (
	ours             = "ours"
	roundRobin       = "roundRobin"
	leastOutstanding = "leastOutstanding"
)

// Policies returns the names of all policies.
func Policies() []string { return []string{ours, roundRobin, leastOutstanding} }

// Names of the policies of version moves. All of them route alike.
const (
	allAtOnce  = "allAtOnce"
	fixedSteps = "fixedSteps"
)

// MovePolicies returns the names of the policies of version moves.
func MovePolicies() []string { return []string{ours, allAtOnce, fixedSteps} }

// routerOf returns the constructor of a policy's router, nil for the system's own.
func routerOf(policy string) func(seed uint64) entry.Router {
	switch policy {
	case roundRobin:
		return func(seed uint64) entry.Router { return newNaive(seed, false) }
	case leastOutstanding:
		return func(seed uint64) entry.Router { return newNaive(seed, true) }
	}
	return nil
}

// naive routes without knowledge of caches, load reports, classes and prices:
// in turn, or to the server with the fewest requests of this instance.
type naive struct {
	least bool

	mu       sync.Mutex
	next     int
	backends []world.Backend
	own      map[string]int
}

func newNaive(seed uint64, least bool) *naive {
	// Instances begin at different servers, as after starts at different times.
	return &naive{least: least, next: int(seed % 1000), own: map[string]int{}}
}

// Pick implements entry.Router.
func (n *naive) Pick(q route.Query, _ time.Time) (route.Choice, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var fit []world.Backend
	known := false
	for _, b := range n.backends {
		if b.Service != q.Service || b.State != world.Ready || !b.Runs(q.Version) {
			continue
		}
		known = true
		if slices.Contains(q.Exclude, b.ID) || (q.Adapter != "" && !slices.Contains(b.Adapters, q.Adapter)) {
			continue
		}
		fit = append(fit, b)
	}
	switch {
	case !known:
		return route.Choice{}, route.ErrNoServer
	case len(fit) == 0:
		return route.Choice{}, route.ErrExcluded
	}
	n.next++
	best := fit[n.next%len(fit)]
	if n.least {
		for i := range fit { // ties go to the next in turn
			if b := fit[(n.next+i)%len(fit)]; n.own[b.ID] < n.own[best.ID] {
				best = b
			}
		}
	}
	return route.Choice{Backend: best, Cost: route.Cost{Class: q.Class, UncachedTokens: q.PromptTokens, MaxTokens: q.MaxTokens}}, nil
}

// Started implements entry.Router.
func (n *naive) Started(id string, _ route.Cost, _ time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.own[id]++
}

// Ended implements entry.Router.
func (n *naive) Ended(id string, _ route.Result, _ time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.own[id]--
}

// SetBackends implements entry.Router.
func (n *naive) SetBackends(backends []world.Backend, _ time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.backends = backends
}

// FirstToken implements entry.Router; the policy does not use it.
func (*naive) FirstToken(route.Choice, time.Duration, time.Time) {}

// Report implements entry.Router; the policy does not use it.
func (*naive) Report(string, world.Load, time.Time) {}

// Cache implements entry.Router; the policy does not use it.
func (*naive) Cache(string, world.CacheEvents, time.Time) {}

// Resync implements entry.Router; the policy does not use it.
func (*naive) Resync(time.Time) []string { return nil }
