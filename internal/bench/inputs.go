package bench

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"cranberrypath.example/cranberrypath/internal/world"
	"cranberrypath.example/cranberrypath/pkg/decl"
)

const (
	service      = "drafts"
	version      = "v1"
	nextVersion  = "v2"
	orderPath    = "/orders"
	poisonMarker = "[crash]"
)

// organisation is a customer in the scenarios. The first one is large and sends the
// flood.
type organisation struct {
	name    string
	weight  float64
	callers int
}

var organisations = []organisation{{"acme", 4, 4}, {"brand", 2, 3}, {"civil", 1, 2}, {"delta", 1, 2}, {"ember", 1, 2}}

func callerKey(org string) string { return org + "-key" }

// request is one arrival. All fields are derived from the seed.
type request struct {
	Arrival time.Duration // after the start of the load
	ID      string
	Caller  int // index of the caller
	Org     string
	Class   world.Class // world.Call for orders
	// Service is empty for the default service, which has a single version. Other
	// services are in a version move.
	Service string

	Prompt    string
	Seed      uint64
	MaxTokens int
	Stream    bool
	// DropAfter is the number of tokens after which the caller drops the connection and
	// reconnects; 0 for never.
	DropAfter int
	// ResumeByGet makes the caller resume the answer with GET instead of the same POST.
	ResumeByGet bool
	Poison      bool

	Key, Body string // idempotency key and body of an order
	ReadBack  bool   // read the status of the order afterwards
}

func (r request) service() string { return cmp.Or(r.Service, service) }

// versions returns the versions that may answer the request.
func (r request) versions() []string {
	if r.Service == "" {
		return []string{version}
	}
	return []string{version, nextVersion}
}

// callerLocation is the organisation and data centre of a caller.
type callerLocation struct{ org, dataCentre string }

// inputs holds the inputs that are the same for every policy.
type inputs struct {
	scenario scenario
	cfg      Config
	load     time.Duration
	callers  []callerLocation
	requests []request
	faults   []fault
}

func newInputs(s scenario, cfg Config) inputs {
	in := inputs{scenario: s, cfg: cfg, load: seconds(cfg.Seconds)}
	for _, o := range organisations {
		for range o.callers {
			in.callers = append(in.callers, callerLocation{o.name, dataCentres[len(in.callers)%len(dataCentres)]})
		}
	}
	if len(s.moves) > 0 {
		in.addMoveRequests()
		return in
	}
	in.faults = s.faults(newRand(cfg.Seed, s.name+"/faults"), in.load)
	slices.SortStableFunc(in.faults, func(a, b fault) int { return cmp.Compare(a.Start, b.Start) })
	g := generator{rng: newRand(cfg.Seed, s.name+"/load"), in: &in, systemPrompts: map[string]string{}}
	g.addArrivals(cfg.Rate, 0, in.load, "")
	if s.mix.flood > 1 {
		g.addArrivals(cfg.Rate*(s.mix.flood-1)*0.4, fractionOf(in.load, 0.25), fractionOf(in.load, 0.75), organisations[0].name)
	}
	g.addPoison(s.mix.poison)
	slices.SortStableFunc(in.requests, func(a, b request) int { return cmp.Compare(a.Arrival, b.Arrival) })
	for i := range in.requests {
		in.requests[i].ID = fmt.Sprintf("r%d-%d", cfg.Seed, i)
	}
	return in
}

// generator generates requests.
type generator struct {
	rng           *rand.Rand
	in            *inputs
	systemPrompts map[string]string // system prompt by organisation
	conversations []conversation
}

// conversation is a conversation that later requests can continue.
type conversation struct {
	caller   int
	class    world.Class
	prompt   string
	nextTurn time.Duration // earliest time of the next turn
}

// addArrivals adds requests at exponentially distributed intervals, of one organisation
// if org is set.
func (g *generator) addArrivals(rate float64, from, to time.Duration, org string) {
	for at := from; ; {
		at += seconds(g.rng.ExpFloat64() / rate)
		if at >= to {
			return
		}
		g.in.requests = append(g.in.requests, g.newRequest(at, g.pickCaller(org)))
	}
}

// pickCaller chooses a caller at random, of one organisation if org is set.
func (g *generator) pickCaller(org string) int {
	for {
		i := g.rng.IntN(len(g.in.callers))
		if org == "" || g.in.callers[i].org == org {
			return i
		}
	}
}

func (g *generator) newRequest(at time.Duration, caller int) request {
	m := g.in.scenario.mix
	r := request{Arrival: at, Caller: caller, Org: g.in.callers[caller].org, Seed: g.rng.Uint64N(1 << 40)}
	switch x := g.rng.Float64() * (m.lookups + m.reviews + m.orders); {
	case x < m.orders:
		r.Class = world.Call
		r.Key = fmt.Sprintf("order-%d-%d", g.in.cfg.Seed, len(g.in.requests))
		r.Body = fmt.Sprintf(`{"pour":"C%d","note":%q}`, 20+5*g.rng.IntN(6), g.randomWords(8))
		r.ReadBack = g.rng.Float64() < 0.3
		return r
	case x < m.orders+m.reviews:
		r.Class = world.Review
		r.MaxTokens = 150 + g.rng.IntN(200)
		r.Stream = true
		if g.rng.Float64() < 0.1 {
			r.DropAfter = 1 + g.rng.IntN(r.MaxTokens-1)
		}
	default:
		r.Class = world.Lookup
		r.MaxTokens = 10 + g.rng.IntN(30)
		r.Stream = g.rng.Float64() < 0.85
	}
	r.ResumeByGet = g.rng.Float64() < 0.5
	r.Prompt = g.nextPrompt(&r)
	return r
}

// nextPrompt continues a conversation of the organisation or starts a new one.
func (g *generator) nextPrompt(r *request) string {
	if g.rng.Float64() < g.in.scenario.mix.turns {
		for i := range g.conversations {
			t := &g.conversations[i]
			if t.class == r.Class && g.in.callers[t.caller].org == r.Org && t.nextTurn <= r.Arrival {
				// The random text before the next turn stands in for the answer.
				t.prompt += g.randomWords(60) + "\nuser: " + g.randomWords(15) + "\nassistant: "
				t.nextTurn = r.Arrival + 2*time.Second + seconds(g.rng.Float64()*2)
				r.Caller = t.caller
				return t.prompt
			}
		}
	}
	if g.systemPrompts[r.Org] == "" {
		g.systemPrompts[r.Org] = "system: " + g.randomWords(500) + "\n"
	}
	p := g.systemPrompts[r.Org] + "user: " + g.randomWords(20)
	if r.Class == world.Review {
		p += "\n" + g.randomWords(1000+g.rng.IntN(2000))
	}
	p += "\nassistant: "
	g.conversations = append(g.conversations, conversation{r.Caller, r.Class, p, r.Arrival + 2*time.Second + seconds(g.rng.Float64()*2)})
	return p
}

// addPoison adds n distinct requests that crash engines, each sent five times by random
// callers.
func (g *generator) addPoison(n int) {
	for i := range n {
		prompt := fmt.Sprintf("%s %d %s", poisonMarker, i, g.randomWords(100))
		for try := range 5 {
			at := fractionOf(g.in.load, 0.2+0.1*float64(try)) + time.Duration(i)*200*time.Millisecond
			c := g.pickCaller("")
			g.in.requests = append(g.in.requests, request{
				Arrival: at, Caller: c, Org: g.in.callers[c].org, Class: world.Lookup, Prompt: prompt, MaxTokens: 20, Stream: true, Poison: true,
			})
		}
	}
}

var vocabulary = strings.Fields(`plinth deck rebar load beam survey footing barn pour slab joist schedule span
	girder column mortar lintel truss anchor bolt shear moment grade cover drain level crack repair drawing sheet`)

func (g *generator) randomWords(n int) string {
	var b strings.Builder
	for range n {
		b.WriteString(vocabulary[g.rng.IntN(len(vocabulary))])
		b.WriteByte(' ')
	}
	return b.String()
}

// declaration returns the declaration of scenarios without a cloud.
func declaration() (decl.Declaration, error) {
	return parseDeclaration(defaultServices(), []string{fmt.Sprintf(`{"service": %q, "min": 1, "max": %d}`, service, engineCount)}, "")
}

func defaultServices() []string {
	return []string{
		fmt.Sprintf(`{"name": %q, "kind": "model", "versions": [%q], "version": %q, "machineClass": "m", "slots": %d}`, service, version, version, engineSlots),
		fmt.Sprintf(`{"name": "orders", "kind": "plain", "versions": ["v1"], "version": "v1", "machineClass": "s", "path": %q, "timeoutSeconds": 5}`, orderPath),
	}
}
