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
	systemPolicy     = "ours"
	roundRobin       = "roundRobin"
	leastOutstanding = "leastOutstanding"
)

// Policies returns the names of all policies.
func Policies() []string { return []string{systemPolicy, roundRobin, leastOutstanding} }

// Names of the policies of version moves. All of them use the system's router.
const (
	allAtOnce  = "allAtOnce"
	fixedSteps = "fixedSteps"
)

// MovePolicies returns the names of the policies of version moves.
func MovePolicies() []string { return []string{systemPolicy, allAtOnce, fixedSteps} }

// newRouterFunc returns the constructor of a policy's router, or nil for the system's
// router.
func newRouterFunc(policy string) func(seed uint64) entry.Router {
	switch policy {
	case roundRobin:
		return func(seed uint64) entry.Router { return newNaiveRouter(seed, false) }
	case leastOutstanding:
		return func(seed uint64) entry.Router { return newNaiveRouter(seed, true) }
	}
	return nil
}

// naiveRouter routes without regard to caches, load reports, classes and prices:
// round-robin, or to the server with the fewest requests in flight from this instance.
type naiveRouter struct {
	leastOutstanding bool

	mu       sync.Mutex
	next     int
	backends []world.Backend
	inFlight map[string]int
}

func newNaiveRouter(seed uint64, least bool) *naiveRouter {
	// Instances begin at different servers, as if started at different times.
	return &naiveRouter{leastOutstanding: least, next: int(seed % 1000), inFlight: map[string]int{}}
}

// Pick implements entry.Router.
func (n *naiveRouter) Pick(q route.Query, _ time.Time) (route.Choice, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var candidates []world.Backend
	known := false
	for _, b := range n.backends {
		if b.Service != q.Service || b.State != world.Ready || !b.Runs(q.Version) {
			continue
		}
		known = true
		if slices.Contains(q.Exclude, b.ID) || (q.Adapter != "" && !slices.Contains(b.Adapters, q.Adapter)) {
			continue
		}
		candidates = append(candidates, b)
	}
	switch {
	case !known:
		return route.Choice{}, route.ErrNoServer
	case len(candidates) == 0:
		return route.Choice{}, route.ErrExcluded
	}
	n.next++
	best := candidates[n.next%len(candidates)]
	if n.leastOutstanding {
		for i := range candidates { // the round-robin order breaks ties
			if b := candidates[(n.next+i)%len(candidates)]; n.inFlight[b.ID] < n.inFlight[best.ID] {
				best = b
			}
		}
	}
	return route.Choice{Backend: best, Cost: route.Cost{Class: q.Class, UncachedTokens: q.PromptTokens, MaxTokens: q.MaxTokens}}, nil
}

// Started implements entry.Router.
func (n *naiveRouter) Started(id string, _ route.Cost, _ time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inFlight[id]++
}

// Ended implements entry.Router.
func (n *naiveRouter) Ended(id string, _ route.Result, _ time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inFlight[id]--
}

// SetBackends implements entry.Router.
func (n *naiveRouter) SetBackends(backends []world.Backend, _ time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.backends = backends
}

// FirstToken implements entry.Router; the policy does not use it.
func (*naiveRouter) FirstToken(route.Choice, time.Duration, time.Time) {}

// Report implements entry.Router; the policy does not use it.
func (*naiveRouter) Report(string, world.Load, time.Time) {}

// Cache implements entry.Router; the policy does not use it.
func (*naiveRouter) Cache(string, world.CacheEvents, time.Time) {}

// Resync implements entry.Router; the policy does not use it.
func (*naiveRouter) Resync(time.Time) []string { return nil }
